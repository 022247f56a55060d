//! Endpoint entries that another writer has changed or created and that are invalid: their endpoint
//! gets no requests, and all other entries stay in use. In 14 of the 17 cases here, 9 to 21 of 30
//! requests still went to the endpoint, because the former record was kept when an entry could not be
//! read, and any state counted as ready.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use willowarch::gateway::endpoint::VALID_SLOTS;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, endpoint_entry, wait_for},
};

/// Time within which a change of an entry is applied.
const APPLY_LIMIT: Duration = Duration::from_millis(1_500);
const REQUESTS: usize = 30;

/// The first endpoint's entry with one field changed.
fn with(site: &Site, field: &str, value: Value) -> Value {
    let mut entry = endpoint_entry(&site.endpoints[0], "ready");
    entry[field] = value;
    entry
}

/// The first endpoint's entry without one field.
fn without(site: &Site, field: &str) -> Value {
    let mut entry = endpoint_entry(&site.endpoints[0], "ready");
    entry.as_object_mut().expect("entry").remove(field);
    entry
}

/// A test for each case: the entry with which another writer replaces that of the first of two
/// endpoints.
macro_rules! invalid_entry_cases {
    ($($name:ident: $entry:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let site = Site::start(&[EndpointManner::Answer, EndpointManner::Answer]);
            let entry: fn(&Site) -> Value = $entry;
            site.platform.put("servers", &site.endpoints[0].id, entry(&site));
            std::thread::sleep(APPLY_LIMIT);
            let before = site.runs();
            for number in 0..REQUESTS {
                expect_that!(site.ask("/plain/", &format!("a-{number}")).status, eq(200));
            }
            let after = site.runs();
            expect_that!(after[0] - before[0], eq(0), "requests at the endpoint whose entry is invalid");
            expect_that!(after[1] - before[1], eq(REQUESTS));
        }
    )*};
}

invalid_entry_cases! {
    service_of_another_type: |_| json!({"service": 5});
    text_in_place_of_an_entry: |_| json!("ready");
    nothing_in_place_of_an_entry: |_| Value::Null;
    list_in_place_of_an_entry: |_| json!([1, 2]);
    state_of_another_type: |site| with(site, "state", json!(7));
    unknown_state: |site| with(site, "state", json!("retired"));
    no_state: |site| without(site, "state");
    slots_of_another_type: |site| with(site, "slots", json!("4"));
    no_slots: |site| without(site, "slots");
    slots_below_one: |site| with(site, "slots", json!(0));
    slots_out_of_range: |site| with(site, "slots", json!(1e30));
    slots_beyond_any_endpoint: |site| with(site, "slots", json!(VALID_SLOTS.end() + 1));
    no_zone: |site| without(site, "zone");
    malformed_address: |site| with(site, "address", json!("nowhere"));
    sequence_of_another_type: |site| with(site, "seq", json!([]));
    born_of_another_type: |site| with(site, "born", json!("yesterday"));
    born_with_a_fraction: |site| with(site, "born", json!(1.5));
    unknown_service: |site| with(site, "service", json!("other"));
}

#[googletest::test]
fn other_entries_of_a_listing_with_an_invalid_entry_are_used() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("servers", "i-foreign", json!("no entry"));
    let other = crate::endpoint_standin::EndpointStandin::start("i-9", EndpointManner::Answer);
    site.platform.put("servers", "i-9", endpoint_entry(&other, "ready"));
    site.platform.forget_history();
    wait_for("a request at the endpoint listed after the invalid entry", || {
        site.ask("/plain/", "a");
        !other.seen().is_empty()
    });
}

#[googletest::test]
fn corrected_entry_is_used_again() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Full]);
    let (id, entry) = (&site.endpoints[0].id, endpoint_entry(&site.endpoints[0], "ready"));
    site.platform.put("servers", id, json!({}));
    wait_for("a refusal while there is no usable endpoint", || {
        site.ask("/plain/", "a").status == 503
    });
    site.platform.put("servers", id, entry);
    wait_for("a response of the endpoint with the corrected entry", || {
        site.ask("/plain/", "b").status == 200
    });
}
