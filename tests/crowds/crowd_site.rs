//! A daemon on a VM with little memory and few descriptors, and what is checked of it.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    crowd_client::Crowd,
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{
        Gateway, RawAnswer, Site, configuration, daemon_settings, endpoint_entry, send_raw,
    },
    platform_standin::PlatformStandin,
};

/// Memory of the VM in the daemon's settings, in MB.
pub const MEMORY_MB: u64 = 64;
/// Descriptors of the VM in the daemon's settings.
pub const MAX_FDS: usize = 600;
/// Largest body in the configuration, in bytes.
pub const MAX_BODY: usize = 1024 * 1024;
/// Time limit of the routes, in milliseconds: longer than a test takes.
const ROUTE_LIMIT_MS: u64 = 60_000;
/// Body of an ordinary request, in bytes: as long as the longest of the deployments.
const ORDINARY_BYTES: usize = 72_000;
/// Bytes in a unit of the process's memory in `/proc`.
const KIB: u64 = 1024;
/// Bytes in a unit of the settings' memory.
const MB: u64 = 1_000_000;

/// A daemon that has read nothing for this long reads no more, but for other reasons than the machine's speed.
const READ_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// One of these tests runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// A daemon on a small VM.
pub struct CrowdSite {
    pub site: Site,
    _running: MutexGuard<'static, ()>,
}

impl CrowdSite {
    pub fn start() -> Self {
        Self::start_with(EndpointManner::Answer)
    }

    /// Starts a daemon with an endpoint of this manner.
    pub fn start_with(manner: EndpointManner) -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let platform = PlatformStandin::start();
        platform.put("config", "main", crowd_configuration(3, MAX_BODY));
        let endpoint = EndpointStandin::start("i-0", manner);
        platform.put("servers", &endpoint.id, endpoint_entry(&endpoint, "ready"));
        let program = Path::new(env!("CARGO_BIN_EXE_willowarchd"));
        let gateway = Gateway::start_settings(program, "edge-1", |ip| {
            let mut settings = daemon_settings("edge-1", ip, platform.address, &[], &json!({}));
            settings["limits"] = json!({"memory-mb": MEMORY_MB, "max-fds": MAX_FDS});
            settings
        });
        gateway.wait_ready();
        let site = Site { platform, endpoints: vec![endpoint], gateway };
        Self { site, _running: running }
    }

    pub fn clients(&self) -> SocketAddr {
        self.site.gateway.clients
    }

    /// Waits until the daemon has read what a crowd has sent, or reads no more of it.
    pub fn await_read(&self) {
        await_read(self.clients());
    }

    /// Sends an ordinary request and expects an answer of the endpoint.
    pub fn expect_served(&self, id: &str) {
        let answer = send_raw(self.clients(), &ordinary_request(id));
        expect_that!(answer.status, eq(200), "{id}: {}", answer.head);
        expect_that!(answer.text(), contains_substring("i-0"));
    }

    /// Expects the process to live and to be within its VM, for all of its life.
    pub fn expect_sound(&mut self) {
        expect_that!(self.site.gateway.has_ended(), eq(false));
        let id = self.site.gateway.process_id();
        let limit = MEMORY_MB * MB;
        expect_that!(memory_line(id, "VmHWM"), le(limit), "memory at its peak");
        let unread = QueuedBytes::at(self.clients()).unread;
        expect_that!(memory_line(id, "VmRSS") + unread, le(limit), "memory with {unread} unread");
        expect_that!(open_descriptors(id), le(MAX_FDS));
    }

    /// Expects what refusals promise: a request that got one has not run.
    pub fn expect_promises(&self, crowd: &mut Crowd) {
        let seen = self.site.endpoints[0].seen();
        for (id, answer) in crowd.answers() {
            expect_that!(answer.status, any![eq(200), eq(408), eq(413), eq(503)], "{id}");
            let has_run = seen.iter().any(|request| request.id() == id);
            expect_that!(has_run, eq(answer.status == 200), "{id}: {}", answer.head);
            let names_time = answer.header("retry-after").is_some();
            expect_that!(names_time, eq(matches!(answer.status, 408 | 503)), "{}", answer.head);
        }
    }
}

/// The configuration with bodies of `max_body` bytes and routes that leave time.
pub fn crowd_configuration(version: u64, max_body: usize) -> Value {
    let mut configuration = configuration(version, &["key-1"]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = json!(ROUTE_LIMIT_MS);
    }
    configuration["limits"]["max-body-bytes"] = json!(max_body);
    configuration
}

fn ordinary_request(id: &str) -> Vec<u8> {
    let mut request = format!(
        "POST /once/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         Authorization: Token key-1\r\nConnection: close\r\nContent-Length: {ORDINARY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + ORDINARY_BYTES, b'o');
    request
}

/// A line of the process's status that tells an amount of memory, in bytes; 0 if the process has ended.
fn memory_line(id: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let amount = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    amount.unwrap_or_default() * KIB
}

fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Bytes that have been sent to `address` or from it and that the other end hasn't read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct QueuedBytes {
    /// At the daemon.
    unread: u64,
    /// At the clients.
    unsent: u64,
}

impl QueuedBytes {
    fn at(address: SocketAddr) -> Self {
        let table = fs::read_to_string("/proc/net/tcp").expect("connections");
        let mut queued = Self::default();
        for line in table.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let [_, local, remote, state, queues, ..] = words[..] else { continue };
            let Some((unsent, unread)) = queues.split_once(':') else { continue };
            let count = |text| u64::from_str_radix(text, 16).unwrap_or_default();
            if local == table_address(address) && state != LISTENING {
                queued.unread += count(unread);
            }
            if remote == table_address(address) {
                queued.unsent += count(unsent);
            }
        }
        queued
    }
}

/// State of a listener, whose queue is of connections.
const LISTENING: &str = "0A";

/// The address as the kernel's table of connections shows it.
fn table_address(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
}

/// Waits until the daemon at `address` has read all that was sent, or reads no more of it.
fn await_read(address: SocketAddr) {
    let mut last = QueuedBytes::at(address);
    while last != QueuedBytes::default() {
        thread::sleep(READ_CHECK_INTERVAL);
        let now = QueuedBytes::at(address);
        if now == last {
            return;
        }
        last = now;
    }
}

/// Answers by status.
pub fn statuses(answers: &[(String, Option<RawAnswer>)]) -> Vec<u16> {
    answers.iter().map(|(_, answer)| answer.as_ref().map_or(0, |answer| answer.status)).collect()
}
