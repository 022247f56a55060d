//! Clients that ask for one version of the weights: an endpoint with another one turns their requests away, and
//! serves all others.

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, ask},
};

const REQUESTS: usize = 6;

/// Statuses of requests with this header line, or without one.
fn statuses(site: &Site, name: &str, header: Option<&str>) -> Vec<u16> {
    let headers: Vec<&str> = header.into_iter().collect();
    let ask = |number| {
        let id = format!("{name}-{number}");
        ask(site.gateway.clients, "/plain/one", &id, "key-1", &headers, b"").status
    };
    (0..REQUESTS).map(ask).collect()
}

// Guards against endpoints that are never used again since a client has asked for other weights.
#[googletest::test]
fn request_for_other_weights_takes_no_endpoint_out_of_use() {
    let site = Site::start(&[EndpointManner::Weights(2), EndpointManner::Weights(2)]);
    expect_that!(statuses(&site, "former", Some("X-Expect-Version: 1")), each(eq(&503)));
    expect_that!(statuses(&site, "any", None), each(eq(&200)));
    expect_that!(statuses(&site, "present", Some("X-Expect-Version: 2")), each(eq(&200)));
}

// Guards against requests that are refused although another endpoint has the weights that they ask for.
#[googletest::test]
fn request_goes_on_at_an_endpoint_with_the_weights_that_it_asks_for() {
    let site = Site::start(&[EndpointManner::Weights(1), EndpointManner::Weights(2)]);
    for version in ["1", "2"] {
        let header = format!("X-Expect-Version: {version}");
        expect_that!(statuses(&site, version, Some(&header)), each(eq(&200)));
    }
}
