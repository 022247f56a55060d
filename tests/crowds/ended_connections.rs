//! A daemon doesn't end a connection under a request: a whole one that it has read, or could have read for longer than
//! the load balancer takes, gets an answer or a refusal.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{
        Gateway, RawAnswer, Site, WAIT_TIMEOUT, configuration, daemon_settings, endpoint_entry,
        kept_request_bytes, parse_answer,
    },
    platform_standin::PlatformStandin,
};

/// Descriptors that the VM keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Longer than bytes take on loopback, and than a request may have been sent before its connection ends.
const SENT_LONG_AGO: Duration = Duration::from_millis(300);
/// Rounds in which a race between two events of the same moment is lost at least once.
const RACE_ROUNDS: usize = 25;

/// Starts a daemon with room for this many connections of clients, and with these limits.
fn start(manner: EndpointManner, room: usize, limits: &[(&str, u64)]) -> Site {
    let platform = PlatformStandin::start();
    platform.put("config", "main", limited(3, limits));
    let endpoint = EndpointStandin::start("i-0", manner);
    platform.put("servers", &endpoint.id, endpoint_entry(&endpoint, "ready"));
    let gateway = start_gateway(&platform, room);
    Site { platform, endpoints: vec![endpoint], gateway }
}

fn start_gateway(platform: &PlatformStandin, room: usize) -> Gateway {
    let program = Path::new(env!("CARGO_BIN_EXE_willowarchd"));
    let gateway = Gateway::start_settings(program, "edge-1", |ip| {
        let mut settings = daemon_settings("edge-1", ip, platform.address, &[], &json!({}));
        // Five of eight are for clients.
        let descriptors = FILE_DESCRIPTORS + (room * 8).div_ceil(5);
        settings["limits"] = json!({"memory-mb": 260, "max-fds": descriptors});
        settings
    });
    gateway.wait_ready();
    gateway
}

/// The configuration with these limits.
fn limited(version: u64, limits: &[(&str, u64)]) -> Value {
    let mut configuration = configuration(version, &["key-1"]);
    for (name, value) in limits {
        configuration["limits"][*name] = json!(value);
    }
    configuration
}

/// A connection that stays open for further requests.
struct Kept {
    stream: TcpStream,
}

impl Kept {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
        Self { stream }
    }

    /// Sends bytes; the connection may have ended.
    fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Reads one response, or what there is of it when the connection ends.
    fn read(&mut self) -> RawAnswer {
        let (mut all, mut buffer) = (Vec::new(), [0; 16 * 1024]);
        loop {
            let length = self.stream.read(&mut buffer).unwrap_or(0);
            all.extend_from_slice(&buffer[..length]);
            let answer = parse_answer(&all);
            if answer.whole || length == 0 {
                return answer;
            }
        }
    }

    fn ask(&mut self, id: &str) -> RawAnswer {
        self.send(&request(id));
        self.read()
    }
}

fn request(id: &str) -> Vec<u8> {
    kept_request_bytes("/plain/", id, "key-1", &[], b"")
}

/// A connection at rest sends its next request while the daemon stands still and another client comes, so that the
/// daemon learns of both at once and has room for one.
#[googletest::test]
fn request_on_a_connection_that_has_to_make_room_at_that_moment_is_answered() {
    let site = start(EndpointManner::Answer, 1, &[]);
    let mut unanswered = Vec::new();
    for round in 0..RACE_ROUNDS {
        let mut kept = Kept::open(site.gateway.clients);
        expect_that!(kept.ask(&format!("first-{round}")).status, eq(200));
        site.gateway.signal("-STOP");
        let mut newcomer = Kept::open(site.gateway.clients);
        kept.send(&request(&format!("next-{round}")));
        thread::sleep(SENT_LONG_AGO);
        site.gateway.signal("-CONT");
        let answer = kept.read();
        if answer.status == 0 {
            unanswered.push(round);
        }
        drop(kept);
        expect_that!(newcomer.ask(&format!("new-{round}")).status, eq(200));
    }
    expect_that!(unanswered, is_empty(), "rounds in which the request got nothing");
}
