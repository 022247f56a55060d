//! Heads of requests that are not complete in time.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{KeptConnection, Site, WAIT_TIMEOUT, configuration, kept_request_bytes},
};

#[googletest::test]
fn only_a_head_that_is_not_complete_in_time_ends_its_connection() {
    let site = Site::start(&[EndpointManner::Answer]);
    let mut changed = configuration(4, &["key-1"]);
    changed["limits"]["header-timeout-ms"] = json!(300);
    changed["limits"]["idle-timeout-ms"] = json!(60_000);
    site.platform.put("config", "main", changed);
    let mut unused = KeptConnection::open(site.gateway.clients).expect("connection");
    let mut late = TcpStream::connect(site.gateway.clients).expect("connection");
    late.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
    late.write_all(b"GET /plain/late HT").expect("a part of a head");
    let mut bytes = Vec::new();
    expect_that!(late.read_to_end(&mut bytes), ok(eq(&0)));
    let request = kept_request_bytes("/plain/idle", "idle", "key-1", &[], b"");
    expect_that!(unused.ask(&request).expect("answer").status, eq(200));
}
