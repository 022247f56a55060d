//! Requests that a stop of their daemon cuts, or that their client leaves: each has a line in the log that says so,
//! and none is cut earlier than necessary.

use std::thread;

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cut_site::{CutSite, GRACE_S, STOP_PAUSE, patient_request, send},
    endpoint_standin::EndpointManner,
    gateway_site::wait_for,
};

/// Outcome of a request that a stop cuts.
const STOPPED: &str = "daemon stopped";

/// When a request that a stop cuts begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutBegin {
    BeforeSignal,
    AfterSignal,
}

/// Stops the daemon with a request in progress at an endpoint that never ends it.
fn cut_by_a_stop(manner: EndpointManner, path: &str, begin: CutBegin) {
    let mut site = CutSite::start(manner, GRACE_S);
    if begin == CutBegin::AfterSignal {
        site.gateway.signal("-TERM");
        thread::sleep(STOP_PAUSE);
    }
    let _client = send(site.gateway.clients, &patient_request(path, "cut", b""));
    wait_for("the request at the endpoint", || !site.endpoint.seen().is_empty());
    match begin {
        CutBegin::BeforeSignal => site.stop(),
        CutBegin::AfterSignal => {
            wait_for("the end of the daemon", || site.gateway.has_ended());
        }
    }
    expect_that!(site.outcomes("cut"), elements_are![eq(STOPPED)]);
    expect_that!(site.cut_off(), elements_are![eq("1")]);
    expect_that!(site.log().last().expect("a line")["payload"], eq(&json!("stopped")));
}

macro_rules! request_cut_by_a_stop_has_its_line {
    ($($name:ident: $manner:expr, $path:expr, $begin:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            cut_by_a_stop($manner, $path, $begin);
        }
    )*};
}

request_cut_by_a_stop_has_its_line! {
    stream_cut_by_a_stop: EndpointManner::StallAfter(2), "/rigid/", CutBegin::BeforeSignal;
    awaited_response_cut_by_a_stop: EndpointManner::Silent, "/once/", CutBegin::BeforeSignal;
    stream_begun_and_cut_by_a_stop: EndpointManner::StallAfter(2), "/rigid/", CutBegin::AfterSignal;
    awaited_response_begun_and_cut_by_a_stop: EndpointManner::Silent, "/once/", CutBegin::AfterSignal;
}
