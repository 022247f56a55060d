//! A holder that could not reach the store for longer than the lease, and acquired its own lease again,
//! kept the fence and numbered its renewals from 0. Other daemons know renewals by fence and number:
//! they ignored the new ones as old, and one that read the store just as the old number came round
//! took that renewal for the old one. It acquired the lease while the holder was acting: among seven
//! daemons, with six renewals before the outage, in seven of seven runs 1.8 to 2.0 s after the
//! holder had its lease again. With other numbers of renewals no read fell on the old number. What
//! settled it, at the daemon that acquired the lease:
//!
//!     read (fence 1, renewal 6), taken as unchanged for 4.000 s; known (1, 6), 4.000 s old
//!     "outcome":"acquired","fence":2

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Gateway, Site, configuration, wait_for},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
};

/// Longer than the lease (1.5 s).
const OUTAGE: Duration = Duration::from_secs(3);
/// Longer than the lease from its last renewal, and shorter than the 1.9 s after which another
/// daemon acquires it.
const HOLDER_OUTAGE: Duration = Duration::from_millis(1_600);
/// Time in which the holder acquires it again.
const REACQUIRE_TIME: Duration = Duration::from_millis(600);
/// Time in which the holder renews it as often as before the outage, and more.
const RENEWING_TIME: Duration = Duration::from_secs(8);
/// Renewals before the one after which the holder is cut off: with these the old number comes
/// round as the others read the store again.
const RENEWALS: u64 = 5;
/// Daemons beside the holder.
const OTHERS: usize = 6;
/// Outages after which another daemon may have been faster.
const TRIES: usize = 10;

/// Fence of the lease and number of its newest renewal.
fn lease(platform: &PlatformStandin) -> Option<(u64, u64)> {
    let record: Value = platform.get("gateway-leases", "duties")?;
    Some((record["fence"].as_u64()?, record["renewals"].as_u64()?))
}

fn holder(platform: &PlatformStandin) -> Option<String> {
    let record: Value = platform.get("gateway-leases", "duties")?;
    record["holder"].as_str().map(str::to_owned)
}

#[googletest::test]
fn renewals_of_one_fence_have_different_numbers() {
    let site = Site::start(&[EndpointManner::Answer]);
    let lease = || lease(&site.platform);
    wait_for("some renewals", || lease().is_some_and(|(_, renewals)| renewals >= 3));
    site.platform.set_down(true);
    let before = lease().expect("a lease");
    thread::sleep(OUTAGE);
    site.platform.set_down(false);
    wait_for("the lease to be written again", || lease() != Some(before));
    expect_that!(lease().expect("a lease"), gt(before), "(fence, number) only rise");
}

/// Daemons that each reach the store over a link of their own.
struct LeaseFleet {
    platform: PlatformStandin,
    links: Vec<LoopbackProxy>,
    _daemons: Vec<Gateway>,
}

impl LeaseFleet {
    fn start() -> Self {
        let platform = PlatformStandin::start_with((OTHERS + 1) * 3);
        platform.put("config", "main", configuration(3, &["key-1"]));
        let (mut links, mut daemons): (Vec<LoopbackProxy>, Vec<Gateway>) = Default::default();
        for place in 0..=OTHERS {
            let link = LoopbackProxy::start(platform.address);
            let seeds: Vec<SocketAddr> = daemons.first().map(|one| one.peers).into_iter().collect();
            let name = name_of(place);
            daemons.push(Gateway::start_at(&name, link.address, &seeds, json!({})));
            links.push(link);
        }
        wait_for("a lease", || lease(&platform).is_some());
        Self { platform, links, _daemons: daemons }
    }

    /// Cuts the holder from the store until it has lost the lease, and returns its fence once it
    /// has acquired it again; none if another daemon was faster.
    fn interrupt_holder(&self) -> Option<u64> {
        wait_for("renewals", || lease(&self.platform).is_some_and(|(_, n)| n >= RENEWALS));
        let (fence, renewals) = lease(&self.platform)?;
        let holder = holder(&self.platform)?;
        wait_for("a renewal", || lease(&self.platform) != Some((fence, renewals)));
        let place = (0..=OTHERS).find(|place| name_of(*place) == holder)?;
        self.links[place].set(LinkState::Closed);
        thread::sleep(HOLDER_OUTAGE);
        self.links[place].set(LinkState::Open);
        let last = lease(&self.platform)?;
        thread::sleep(REACQUIRE_TIME);
        let now = lease(&self.platform)?;
        (now.0 == fence && now != last).then_some(fence)
    }
}

fn name_of(place: usize) -> String {
    format!("lease-{place}")
}

#[googletest::test]
fn nobody_acquires_a_lease_that_its_holder_renews() {
    let fleet = LeaseFleet::start();
    let fence = (0..TRIES).find_map(|_| fleet.interrupt_holder()).expect("acquired again");
    let begun = Instant::now();
    while begun.elapsed() < RENEWING_TIME {
        let (now, renewals) = lease(&fleet.platform).expect("a lease");
        assert_eq!(now, fence, "another holder after {:?}, renewal {renewals}", begun.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}
