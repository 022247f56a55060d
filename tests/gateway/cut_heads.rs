//! A response that ends inside its head, closed or reset, at any byte, must not reach the client as a whole
//! one.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    answer_ends::{ClientEnd, FIRST_START, ask_path, entry},
    gateway_site::{AMPLE_RETRIES, Gateway, configuration},
    head_cutting_endpoint::{
        CUT_MARK, HeadCut, HeadCuttingEndpoints, HeadKind, head_length, whole_body,
    },
    platform_standin::PlatformStandin,
};

const ENDPOINTS: usize = 6;
/// Least part of the requests that has to meet a cut: endpoints that fail often get few.
const MET_PART: f64 = 0.3;

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Sends a request, and checks that its answer is whole, an error, or plainly broken.
fn check(address: SocketAddr, route: &str, mark: &str, http: &str, cut: HeadCut) {
    let id = format!("{mark}{}", NEXT.fetch_add(1, Ordering::SeqCst));
    let (answer, end) = ask_path(address, &format!("/{route}/{id}"), &id, http);
    let is_whole = answer.text() == whole_body(route == "stream");
    let may_count_as_whole = match end {
        ClientEnd::Complete => true,
        // A client of HTTP/1.0 can't tell the end of a response without a length from a break.
        ClientEnd::Closed => http == "HTTP/1.0",
        ClientEnd::Broken => false,
    };
    let is_false = answer.status == 200 && may_count_as_whole && !is_whole;
    expect_false!(is_false, "{route} {http} {cut:?}: {end:?} {:?}", answer.text());
}

fn play(kind: HeadKind, is_reset: bool, http: &str) {
    let endpoints = HeadCuttingEndpoints::start(ENDPOINTS);
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    for (place, address) in endpoints.addresses.iter().enumerate() {
        platform.put("servers", &format!("i-{place}"), entry(*address, "ready", FIRST_START));
    }
    let bounds = json!({"retry-slack": AMPLE_RETRIES});
    let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    let mut sent = 0;
    for bytes in 0..head_length(kind, "cut-1000") {
        for route in ["stream", "plain", "once"] {
            let cut = HeadCut { bytes, kind, is_reset };
            endpoints.set_cut(cut);
            // Leaves connections that are kept.
            check(gateway.clients, route, "whole-", http, cut);
            check(gateway.clients, route, CUT_MARK, http, cut);
            sent += 1;
        }
    }
    let met = endpoints.cut_count();
    println!("{met} of {sent} requests met a cut head");
    expect_that!(met as f64, ge(f64::from(sent) * MET_PART));
}

macro_rules! heads_that_are_cut {
    ($($name:ident: $kind:ident, $is_reset:expr, $http:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play(HeadKind::$kind, $is_reset, $http);
        }
    )*};
}

heads_that_are_cut! {
    head_with_a_length_that_is_closed: Length, false, "HTTP/1.1";
    head_with_a_length_that_is_reset: Length, true, "HTTP/1.1";
    head_with_a_length_for_an_old_client: Length, false, "HTTP/1.0";
    head_of_chunks_that_is_closed: Chunks, false, "HTTP/1.1";
    head_of_chunks_that_is_reset: Chunks, true, "HTTP/1.1";
    head_of_chunks_for_an_old_client: Chunks, true, "HTTP/1.0";
    head_without_a_length_that_is_closed: Close, false, "HTTP/1.1";
    head_without_a_length_for_an_old_client: Close, false, "HTTP/1.0";
    head_after_an_informational_one_that_is_closed: Informed, false, "HTTP/1.1";
    head_after_an_informational_one_that_is_reset: Informed, true, "HTTP/1.1";
}
