//! The real daemon between raw clients and stand-ins, on loopback.

use std::{
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    path::Path,
    process::{Child, Command},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin, event},
    platform_standin::PlatformStandin,
};

/// Longest wait for something that comes by itself.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// Waits until `holds`; fails with `what` if it does not in time.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "no {what} in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An address of the loopback range that no other daemon of this machine uses.
fn own_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let next = NEXT.fetch_add(1, Ordering::SeqCst) as u8;
    IpAddr::from([127, high.max(1), low, next])
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(log).expect("log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_willowarchd"));
    command.args(["--gateway", "--settings"]).arg(settings).stdout(log);
    command.spawn().expect("daemon")
}

/// One daemon as a real process.
pub struct Gateway {
    process: Child,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    /// What it has written to standard output.
    pub log: std::path::PathBuf,
    settings: std::path::PathBuf,
}

impl Gateway {
    pub fn start(name: &str, platform: &PlatformStandin, seeds: &[SocketAddr]) -> Self {
        Self::start_with(name, platform, seeds, json!({}))
    }

    pub fn start_with(
        name: &str,
        platform: &PlatformStandin,
        seeds: &[SocketAddr],
        bounds: Value,
    ) -> Self {
        Self::start_at(name, platform.address, seeds, bounds)
    }

    /// Starts a daemon that reaches the platform at `platform`.
    pub fn start_at(name: &str, platform: SocketAddr, seeds: &[SocketAddr], bounds: Value) -> Self {
        let ip = own_address();
        let at_port = |port| SocketAddr::new(ip, port);
        let (clients, readiness, peers) = (at_port(8001), at_port(8002), at_port(8003));
        let mut all = json!({
            "grace-s": 3, "strict-revoke": true, "revoke-ms": 5000, "retry-ratio": 0.2,
            "retry-window-s": 10, "retry-slack": 50, "lease-ms": 1500, "report-window-s": 1,
        });
        let changes = bounds.as_object().cloned().unwrap_or_default();
        all.as_object_mut().expect("object").extend(changes);
        let settings = json!({
            "node": name, "zone": "hall-a", "zones": {"hall-a": "r", "hall-b": "r"},
            "listen": {"front": clients, "readiness": readiness, "control": peers},
            "port-range": [8004, 8010],
            "seeds": seeds, "bounds": all, "unknown-field": [1, 2],
            "platform": {"address": platform},
            "cloud-api": {"address": platform, "duties": ["metering", "autoscale"]},
        });
        let file = format!("gateway-{name}-{ip}.json");
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = path.with_extension("log");
        let process = spawn(&path, &log);
        let metrics = at_port(8004);
        Self { process, clients, readiness, peers, metrics, log, settings: path }
    }

    /// Kills the process and starts it again at the same addresses.
    pub fn kill_and_restart(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.process = spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/-/readiness", self.readiness);
        ureq::get(&url).call().is_ok()
    }

    pub fn wait_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill");
        assert!(status.success());
    }

    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().expect("wait").is_some()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

/// A configuration with plain, once-only and streaming routes to one service.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32, resume: bool| {
        json!({
            "name": name, "host": "site.example", "path-prefix": prefix, "kind": kind,
            "timeout-ms": 4000, "target-latency-ms": 100, "priority": 1, "service": "pool",
            "attempts": attempts, "public": false, "stream-resume": resume, "gap-target-ms": 200,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plain", "/plain/", "idempotent", 2, false),
            route("once", "/once/", "non_idempotent", 1, false),
            route("stream", "/stream/", "streaming", 2, true),
            route("rigid", "/rigid/", "streaming", 1, false),
        ],
        "services": [{"name": "pool", "health-path": "/health", "max-conns": 50}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 10000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "reader", "api-keys": keys, "unit": "tokens", "plain-tokens": 100,
            "per-s": 1_000_000, "burst": 1_000_000}],
    })
}

pub fn endpoint_entry(endpoint: &EndpointStandin, state: &str) -> Value {
    json!({
        "service": "pool", "address": endpoint.address, "zone": "hall-a", "version": "v1",
        "slots": 4, "state": state, "cold-left-ms": 0, "seq": 1,
    })
}

/// A daemon with endpoints in these manners, ready to serve.
pub struct Site {
    pub platform: PlatformStandin,
    pub endpoints: Vec<EndpointStandin>,
    pub gateway: Gateway,
}

impl Site {
    pub fn start(manners: &[EndpointManner]) -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let endpoints: Vec<EndpointStandin> = manners
            .iter()
            .enumerate()
            .map(|(index, manner)| EndpointStandin::start(&format!("i-{index}"), *manner))
            .collect();
        for endpoint in &endpoints {
            platform.put("servers", &endpoint.id, endpoint_entry(endpoint, "ready"));
        }
        let gateway = Gateway::start("edge-1", &platform, &[]);
        gateway.wait_ready();
        Self { platform, endpoints, gateway }
    }

    pub fn ask(&self, path: &str, id: &str) -> RawAnswer {
        ask(self.gateway.clients, path, id, "key-1", &[], b"")
    }

    /// Requests that the endpoints have seen, by endpoint.
    pub fn runs(&self) -> Vec<usize> {
        self.endpoints.iter().map(|endpoint| endpoint.seen().len()).collect()
    }
}

/// An answer as it came over the wire.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body's framing says that it is whole.
    pub whole: bool,
}

impl RawAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request over a connection of its own and reads all that comes back.
pub fn ask(
    address: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    headers: &[&str],
    body: &[u8],
) -> RawAnswer {
    send_raw(address, &request_bytes(path, id, key, headers, body))
}

/// Bytes of one request over a connection of its own.
pub fn request_bytes(path: &str, id: &str, key: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\nConnection: close\r\n"
    );
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    try_send_raw(address, bytes).expect("connect and send")
}

/// Sends bytes over a new connection and reads all that comes back, if it takes them.
pub fn try_send_raw(address: SocketAddr, bytes: &[u8]) -> std::io::Result<RawAnswer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(bytes)?;
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    Ok(parse_answer(&all))
}

fn parse_answer(all: &[u8]) -> RawAnswer {
    let end = all.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(all.len());
    let head = String::from_utf8_lossy(&all[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let rest = &all[(end + 4).min(all.len())..];
    let mut answer = RawAnswer { status, head, body: rest.to_vec(), whole: false };
    match answer.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => answer.whole = rest.len() == length,
        None => (answer.body, answer.whole) = join_chunks(rest),
    }
    answer
}

fn join_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).ok();
        let Some(size) = size.and_then(|text| usize::from_str_radix(text, 16).ok()) else { break };
        let data = &rest[end + 2..];
        if size == 0 {
            return (body, true);
        }
        let taken = size.min(data.len());
        body.extend_from_slice(&data[..taken]);
        rest = &data[(size + 2).min(data.len())..];
    }
    (body, false)
}

#[googletest::test]
fn plain_request_goes_through_unchanged() {
    let site = Site::start(&[EndpointManner::Answer]);
    let headers = ["X-Extra: kept", "X-Tenant: forged", "X-Expect-Instance: forged"];
    let path = "/plain/deep/er?query=1&other=%20";
    let answer = ask(site.gateway.clients, path, "request-1", "key-1", &headers, b"the body");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.header("x-response-seal"), some(eq("seal-i-0")));
    expect_that!(answer.header("x-request-id"), some(eq("request-1")));
    expect_that!(answer.whole, eq(true));
    let seen = site.endpoints[0].seen();
    assert_eq!(seen.len(), 1);
    expect_that!(seen[0].line, eq(&format!("POST {path} HTTP/1.1")));
    expect_that!(seen[0].body, eq(b"the body"));
    expect_that!(seen[0].header("host"), some(eq("site.example")));
    expect_that!(seen[0].header("x-extra"), some(eq("kept")));
    expect_that!(seen[0].header("x-tenant"), some(eq("reader")));
    expect_that!(seen[0].header("x-expect-instance"), some(eq("i-0")));
    expect_that!(seen[0].header("authorization"), none());
    let left: u64 = seen[0].header("x-deadline-ms").expect("deadline").parse().expect("number");
    expect_that!(left, all!(le(3_000), gt(2_000)));
}

#[googletest::test]
fn refusals_name_what_is_wrong() {
    let site = Site::start(&[EndpointManner::Answer]);
    let address = site.gateway.clients;
    expect_that!(ask(address, "/none/", "a", "key-1", &[], b"").status, eq(404));
    expect_that!(ask(address, "/plain/", "b", "other", &[], b"").status, eq(401));
    expect_that!(ask(address, "/plain/", "c", "key-1", &[], &[b'x'; 10_001]).status, eq(413));
    let no_id = b"GET /plain/ HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n";
    expect_that!(send_raw(address, no_id).status, eq(400));
    expect_that!(site.runs(), elements_are![eq(&0)]);
}

#[googletest::test]
fn a_request_inside_another_is_never_run() {
    let site = Site::start(&[EndpointManner::Answer]);
    let inner = "GET /plain/inner HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: in\r\n\
                 Authorization: Token key-1\r\n\r\n";
    let outer = format!(
        "POST /plain/outer HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: out\r\n\
         Authorization: Token key-1\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n\
         0\r\n\r\n{inner}",
        inner.len()
    );
    send_raw(site.gateway.clients, outer.as_bytes());
    let lines: Vec<String> =
        site.endpoints[0].seen().into_iter().map(|request| request.line).collect();
    expect_that!(lines, not(contains(contains_substring("inner"))));
}

#[googletest::test]
fn once_only_request_is_not_repeated_after_a_lost_answer() {
    let site = Site::start(&[EndpointManner::Lose, EndpointManner::Lose]);
    let answer = site.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.header("retry-after"), none());
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

#[googletest::test]
fn once_only_request_that_was_turned_away_is_promised_not_to_have_run() {
    let site = Site::start(&[EndpointManner::Full]);
    let answer = site.ask("/once/book", "once-2");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[googletest::test]
fn foreign_answer_is_never_passed_on() {
    let site = Site::start(&[EndpointManner::Foreign]);
    let answer = site.ask("/once/book", "mine");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.text(), not(contains_substring("foreign")));
}

#[googletest::test]
fn surplus_answer_goes_to_no_request() {
    let site = Site::start(&[EndpointManner::Surplus]);
    for number in 0..4 {
        let answer = site.ask("/plain/one", &format!("request-{number}"));
        expect_that!(answer.status, eq(200));
        expect_that!(answer.text(), not(contains_substring("surplus")));
    }
}

#[googletest::test]
fn repeatable_request_goes_to_another_endpoint() {
    for manner in [EndpointManner::Fail, EndpointManner::Lose, EndpointManner::Full] {
        let site = Site::start(&[manner, EndpointManner::Answer]);
        for number in 0..4 {
            let answer = site.ask("/plain/one", &format!("request-{number}"));
            expect_that!(answer.status, eq(200), "{manner:?}");
        }
    }
}

#[googletest::test]
fn attempts_are_not_exceeded() {
    let site = Site::start(&[EndpointManner::Lose; 4]);
    let answer = site.ask("/plain/one", "request-1");
    expect_that!(answer.status, eq(502));
    expect_that!(site.runs().iter().sum::<usize>(), eq(2));
}

#[googletest::test]
fn stream_passes_whole_and_in_order() {
    let site = Site::start(&[EndpointManner::Stream(8)]);
    let answer = site.ask("/stream/one", "stream-1");
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.text(), eq(&(1..=8).map(event).collect::<String>()));
}

#[googletest::test]
fn broken_stream_goes_on_at_another_endpoint_in_the_same_answer() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::BreakAfter(3)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/stream/one", "stream-2", "key-1", &[], b"")
    });
    wait_for("first attempt", || site.runs().iter().sum::<usize>() >= 1);
    for endpoint in site.endpoints.iter().filter(|endpoint| endpoint.seen().is_empty()) {
        endpoint.set(EndpointManner::Stream(5));
    }
    let answer = client.join().expect("client");
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.text(), eq(&(1..=8).map(event).collect::<String>()));
    let resumed: Vec<String> = site
        .endpoints
        .iter()
        .flat_map(EndpointStandin::seen)
        .filter_map(|request| request.header("last-event-id").map(str::to_owned))
        .collect();
    expect_that!(resumed, elements_are![eq("3")]);
}

#[googletest::test]
fn broken_stream_that_may_not_go_on_does_not_look_complete() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::Stream(5)]);
    site.endpoints[1].set(EndpointManner::BreakAfter(3));
    let answer = site.ask("/rigid/one", "stream-3");
    expect_that!(answer.whole, eq(false));
    expect_that!(answer.text(), eq(&(1..=3).map(event).collect::<String>()));
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

#[googletest::test]
fn stream_of_a_client_that_left_is_cancelled() {
    let site = Site::start(&[EndpointManner::Stream(500)]);
    let mut stream = TcpStream::connect(site.gateway.clients).expect("connect");
    let request = "GET /rigid/one HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: gone\r\n\
                   Authorization: Token key-1\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("send");
    let mut first = [0; 64];
    stream.read_exact(&mut first).expect("first bytes");
    drop(stream);
    wait_for("cancellation", || site.endpoints[0].was_cancelled());
}

#[googletest::test]
fn silent_endpoint_is_left_for_another() {
    let site = Site::start(&[EndpointManner::Silent, EndpointManner::Answer]);
    for number in 0..3 {
        let begun = Instant::now();
        let answer = site.ask("/plain/one", &format!("request-{number}"));
        expect_that!(answer.status, eq(200));
        expect_that!(begun.elapsed(), lt(Duration::from_secs(2)));
    }
}

#[googletest::test]
fn draining_endpoint_gets_no_more_requests() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Answer]);
    site.platform.put("servers", "i-0", endpoint_entry(&site.endpoints[0], "draining"));
    let settled = Instant::now() + Duration::from_millis(800);
    while Instant::now() < settled {
        std::thread::sleep(Duration::from_millis(50));
    }
    let before = site.endpoints[0].seen().len();
    for number in 0..10 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn endpoint_that_is_gone_gets_no_more_requests() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Answer]);
    site.platform.remove("servers", "i-0");
    std::thread::sleep(Duration::from_millis(800));
    let before = site.endpoints[0].seen().len();
    for number in 0..10 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn address_that_another_endpoint_has_taken_is_left() {
    let site = Site::start(&[EndpointManner::Other, EndpointManner::Answer]);
    for number in 0..4 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    let alone = Site::start(&[EndpointManner::Other]);
    let answer = alone.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(503));
}

#[googletest::test]
fn configuration_changes_are_in_force_and_survive_a_dropped_history() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.forget_history();
    site.platform.put("config", "main", configuration(5, &["key-2"]));
    let address = site.gateway.clients;
    wait_for("the new key", || ask(address, "/plain/", "n", "key-2", &[], b"").status == 200);
    expect_that!(ask(address, "/plain/", "o", "key-1", &[], b"").status, eq(401));
}

#[googletest::test]
fn older_version_never_comes_back() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("config", "main", configuration(2, &["key-0"]));
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(site.ask("/plain/", "a").status, eq(200));
}

#[googletest::test]
fn keys_are_refused_when_the_store_has_been_silent_too_long() {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let bounds = json!({"revoke-ms": 2500});
    let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    platform.set_down(true);
    let begun = Instant::now();
    wait_for("refusal", || ask(gateway.clients, "/plain/", "a", "key-1", &[], b"").status == 503);
    expect_that!(begun.elapsed(), lt(Duration::from_millis(3_500)));
    expect_that!(gateway.is_ready(), eq(false));
    platform.set_down(false);
    wait_for("service", || ask(gateway.clients, "/plain/", "b", "key-1", &[], b"").status == 200);
}

#[googletest::test]
fn daemon_without_a_configuration_is_not_ready_and_answers_503() {
    let platform = PlatformStandin::start();
    let gateway = Gateway::start("edge-1", &platform, &[]);
    wait_for("port", || TcpStream::connect(gateway.clients).is_ok());
    let answer = ask(gateway.clients, "/plain/", "a", "key-1", &[], b"");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(gateway.is_ready(), eq(false));
}

#[googletest::test]
fn planned_stop_ends_what_runs_and_takes_nothing_new() {
    let mut site = Site::start(&[EndpointManner::Stream(60)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/rigid/one", "long", "key-1", &[], b"")
    });
    wait_for("run", || !site.endpoints[0].seen().is_empty());
    site.gateway.signal("-TERM");
    wait_for("not ready", || !site.gateway.is_ready());
    let answer = client.join().expect("client");
    expect_that!(answer.whole, eq(true));
    wait_for("end", || site.gateway.has_ended());
}

#[googletest::test]
fn reload_signal_ends_nothing() {
    let mut site = Site::start(&[EndpointManner::Answer]);
    site.gateway.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    expect_that!(site.gateway.has_ended(), eq(false));
    expect_that!(site.ask("/plain/", "a").status, eq(200));
}
