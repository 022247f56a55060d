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
    gateway_site::{AMPLE_RETRIES, Gateway, configuration, wait_for},
    head_cutting_endpoint::{
        CUT_MARK, HeadCut, HeadCuttingEndpoints, HeadKind, head_length, whole_body,
    },
    link_faults::PartitionManner,
    platform_standin::PlatformStandin,
};

const ENDPOINTS: usize = 6;
/// Least part of the requests that has to meet a cut: endpoints that fail often get few.
const MET_PART: f64 = 0.3;

/// Steps between the lengths of heads that are cut behind a tunnel: each takes a new one.
const TUNNELLED_STEP: usize = 5;

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

/// Endpoints that cut heads, and daemons before them. Clients are at the first daemon.
struct HeadSite {
    endpoints: HeadCuttingEndpoints,
    gateways: Vec<Gateway>,
    _platform: PlatformStandin,
}

impl HeadSite {
    fn start(daemons: usize) -> Self {
        let endpoints = HeadCuttingEndpoints::start(ENDPOINTS);
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        for (place, address) in endpoints.addresses.iter().enumerate() {
            platform.put("servers", &format!("i-{place}"), entry(*address, "ready", FIRST_START));
        }
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 1..=daemons {
            let seeds: Vec<_> = gateways.iter().map(|gateway| gateway.peers).collect();
            let bounds = json!({"retry-slack": AMPLE_RETRIES});
            let name = format!("edge-{number}");
            gateways.push(Gateway::start_with(&name, &platform, &seeds, bounds));
        }
        gateways.iter().for_each(Gateway::wait_ready);
        Self { endpoints, gateways, _platform: platform }
    }

    /// Partitions the clients' daemon from all endpoints, and waits until it serves by tunnels.
    fn force_tunnels(&self) {
        let cut = [self.gateways[0].process_id()];
        self.endpoints.faults().partition(&cut, PartitionManner::Closed);
        let address = self.gateways[0].clients;
        let is_served = || {
            let id = format!("first-{}", NEXT.fetch_add(1, Ordering::SeqCst));
            ask_path(address, &format!("/plain/{id}"), &id, "HTTP/1.1").0.status == 200
        };
        wait_for("a request through a tunnel", is_served);
    }

    /// Cuts heads after each number of bytes that is a multiple of `step`; checks each answer.
    fn check_all(&self, kind: HeadKind, is_reset: bool, http: &str, step: usize) {
        let address = self.gateways[0].clients;
        let mut sent = 0;
        for bytes in (0..head_length(kind, "cut-1000")).step_by(step) {
            for route in ["stream", "plain", "once"] {
                let cut = HeadCut { bytes, kind, is_reset };
                self.endpoints.set_cut(cut);
                // Leaves connections that are kept.
                check(address, route, "whole-", http, cut);
                check(address, route, CUT_MARK, http, cut);
                sent += 1;
            }
        }
        let met = self.endpoints.cut_count();
        println!("{met} of {sent} requests met a cut head");
        expect_that!(met as f64, ge(f64::from(sent) * MET_PART));
    }
}

macro_rules! heads_that_are_cut {
    ($($name:ident: $kind:ident, $is_reset:expr, $http:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            HeadSite::start(1).check_all(HeadKind::$kind, $is_reset, $http, 1);
        }
    )*};
}

macro_rules! tunnelled_heads_that_are_cut {
    ($($name:ident: $kind:ident, $is_reset:expr, $http:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let site = HeadSite::start(2);
            site.force_tunnels();
            site.check_all(HeadKind::$kind, $is_reset, $http, TUNNELLED_STEP);
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

tunnelled_heads_that_are_cut! {
    tunnelled_head_with_a_length_that_is_closed: Length, false, "HTTP/1.1";
    tunnelled_head_of_chunks_that_is_reset: Chunks, true, "HTTP/1.1";
    tunnelled_head_without_a_length_for_an_old_client: Close, false, "HTTP/1.0";
}
