//! A holder that lost the lease while the store was away and acquired it again with the same fence
//! began to number its renewals anew. Other daemons know renewals by fence and number, so that ten
//! seconds later they took one of the new renewals for the old one of the same number, and the lease
//! for one that had run out. Two leaders then ordered endpoints within 70 ms of each other:
//!
//!     47.180 s  scale hall-a from edge-hall-c-17, fence 4: 200
//!     47.250 s  scale hall-a from edge-hall-c-4, fence 3: 200

use std::{thread, time::Duration};

use googletest::prelude::*;
use serde_json::Value;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, wait_for},
};

/// Longer than the lease (1.5 s).
const OUTAGE: Duration = Duration::from_secs(3);

fn lease(site: &Site) -> Option<(u64, u64)> {
    let record: Value = site.platform.get("gateway-leases", "duties")?;
    Some((record["fence"].as_u64()?, record["renewals"].as_u64()?))
}

#[googletest::test]
fn renewals_of_one_fence_have_different_numbers() {
    let site = Site::start(&[EndpointManner::Answer]);
    wait_for("some renewals", || lease(&site).is_some_and(|(_, renewals)| renewals >= 3));
    site.platform.set_down(true);
    let before = lease(&site).expect("a lease");
    thread::sleep(OUTAGE);
    site.platform.set_down(false);
    wait_for("the lease to be written again", || lease(&site) != Some(before));
    expect_that!(lease(&site).expect("a lease"), gt(before), "(fence, number) only rise");
}
