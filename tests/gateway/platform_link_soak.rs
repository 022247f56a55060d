//! Soak of the lease: daemons are cut off from the platform, killed, stopped and suspended, chosen from a seed, and
//! their links keep what was sent for later. A daemon has one fault at a time; those of several overlap. No call may
//! arrive with a lower fence than one before it (rule ONE), and reports must go on.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1 cargo test --test gateway platform_link_soak` runs more seeds.

use std::{
    collections::BTreeMap,
    ops::Range,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{configuration, endpoint_entry, wait_for},
    leader_tasks::{check_reports, put_fleet, reports},
    linked_daemon::LinkedDaemon,
    platform_standin::PlatformStandin,
    soak::number_from,
};

const DEFAULT_SEEDS: u64 = 3;
const DAEMONS: usize = 3;
/// Begin of the daemons' names; their place follows.
const NAME_PREFIX: &str = "edge-";
/// Sequences of faults at the same time.
const SEQUENCES: u64 = 2;
/// Time during which faults are caused.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// How long one fault lasts, in milliseconds: up to twice the time after which the lease is acquired.
const FAULT_MS: Range<u64> = 200..4_000;
/// Pause between two faults of a sequence, in milliseconds.
const PAUSE_MS: Range<u64> = 50..800;
/// Time that a call which was kept by a link needs to reach the platform, with much to spare.
const ARRIVAL_TIME: Duration = Duration::from_millis(800);

/// A fault of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkFault {
    /// It is cut off from the store and the cloud API.
    CutOff,
    /// It is cut off from the cloud API.
    CutOffCloud,
    /// Its open connections to the cloud API go silent; new ones work.
    SilentConnections,
    /// It is cut off from the cloud API, killed there, and started again.
    Killed,
    /// It is cut off from the cloud API, stops in order there, and is started again.
    Stopped,
    /// Its process is suspended.
    Suspended,
}

impl LinkFault {
    const ALL: [Self; 6] = [
        Self::CutOff,
        Self::CutOffCloud,
        Self::SilentConnections,
        Self::Killed,
        Self::Stopped,
        Self::Suspended,
    ];

    fn cause(self, daemon: &mut LinkedDaemon, time: Duration) {
        match self {
            Self::CutOff => {
                daemon.store.hold_all();
                daemon.cloud.hold_all();
            }
            Self::CutOffCloud | Self::Killed | Self::Stopped => daemon.cloud.hold_all(),
            Self::SilentConnections => daemon.cloud.hold_open_connections(),
            Self::Suspended => daemon.gateway.signal("-STOP"),
        }
        thread::sleep(time);
        match self {
            Self::Killed => daemon.gateway.kill_and_restart(),
            Self::Stopped => {
                daemon.gateway.signal("-TERM");
                wait_for("the end of a stopped daemon", || daemon.gateway.has_ended());
                daemon.gateway.start_again();
            }
            Self::Suspended => daemon.gateway.signal("-CONT"),
            Self::CutOff | Self::CutOffCloud | Self::SilentConnections => {}
        }
        daemon.store.pass_on();
        daemon.cloud.pass_on();
    }
}

/// Place of the daemon that holds the lease; none if the record names none.
fn holder_place(platform: &PlatformStandin) -> Option<usize> {
    let record = platform.get("gateway-leases", "duties")?;
    record["holder"].as_str()?.strip_prefix(NAME_PREFIX)?.parse().ok()
}

/// Causes faults one after the other, every other one at the daemon that holds the lease.
fn cause_faults(site: &LinkedSite, sequence: u64, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed * SEQUENCES + sequence);
    let daemons = &site.daemons;
    for aims_at_holder in [true, false].into_iter().cycle() {
        if Instant::now() >= until {
            return;
        }
        let drawn = rng.random_range(0..daemons.len());
        let holder = holder_place(&site.platform).filter(|_| aims_at_holder);
        let place = holder.unwrap_or(drawn);
        let fault = LinkFault::ALL[rng.random_range(0..LinkFault::ALL.len())];
        let time = Duration::from_millis(rng.random_range(FAULT_MS));
        println!("seed {seed}: daemon {place}: {fault:?} for {time:?}");
        fault.cause(&mut daemons[place].lock().expect("lock"), time);
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}

/// Checks that the fences of the orders for a zone never decrease.
fn check_orders(platform: &PlatformStandin) {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    for call in platform.cloud_calls().into_iter().filter(|call| call.path == "/scale") {
        let subject = format!("{} {}", call.body["service"], call.body["zone"]);
        let fence = highest.entry(subject).or_default();
        expect_that!(call.fence, ge(*fence), "{call:?}");
        *fence = call.fence;
    }
}

/// Daemons behind links to the platform.
struct LinkedSite {
    platform: PlatformStandin,
    daemons: Vec<Mutex<LinkedDaemon>>,
    _endpoint: EndpointStandin,
}

impl LinkedSite {
    /// Starts daemons and waits for the first report.
    fn start() -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        put_fleet(&platform);
        let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
        platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
        let mut daemons: Vec<LinkedDaemon> = Vec::new();
        for place in 0..DAEMONS {
            let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.gateway.peers).collect();
            daemons.push(LinkedDaemon::start(&format!("{NAME_PREFIX}{place}"), &platform, &seeds));
        }
        daemons.iter().for_each(|daemon| daemon.gateway.wait_ready());
        wait_for("a report", || !reports(&platform).is_empty());
        let daemons = daemons.into_iter().map(Mutex::new).collect();
        Self { platform, daemons, _endpoint: endpoint }
    }
}

fn play(seed: u64) {
    let site = LinkedSite::start();
    let until = Instant::now() + FAULT_TIME;
    thread::scope(|scope| {
        for sequence in 0..SEQUENCES {
            let site = &site;
            scope.spawn(move || cause_faults(site, sequence, seed, until));
        }
    });
    let before = reports(&site.platform).len();
    wait_for("reports after the faults", || reports(&site.platform).len() > before);
    thread::sleep(ARRIVAL_TIME);
    let all = reports(&site.platform);
    let fence = all.last().map(|report| report.fence);
    println!("seed {seed}: {} reports, up to fence {fence:?}", all.len());
    check_reports(&all);
    check_orders(&site.platform);
}

#[googletest::test]
fn calls_arrive_in_the_order_of_their_fences_under_faults_of_a_seed() {
    let first = number_from("SOAK_FIRST", 1);
    for seed in first..first + number_from("SOAK_SEEDS", DEFAULT_SEEDS) {
        play(seed);
    }
}
