//! Starts the real daemon with stand-ins for the platform and the endpoints on loopback, and sends it
//! requests over plain TCP sockets.

use std::{
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    path::Path,
    process::{Child, Command},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    platform_standin::PlatformStandin,
};

/// Longest time that a test waits for a condition or for data from a socket.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Reserve of retries of which a daemon has earned some when it is ready: a process begins with none.
pub const AMPLE_RETRIES: u32 = 5_000;

/// Environment variable that keeps the daemons' settings files and logs in the temporary folder of
/// the tests.
const KEEP_LOGS: &str = "SOAK_KEEP_LOGS";

/// Reads a metric from a daemon's metrics address; `None` if the daemon doesn't export it.
pub fn read_metric(metrics: SocketAddr, name: &str) -> Option<f64> {
    let mut answer = ureq::get(&format!("http://{metrics}/metrics")).call().expect("metrics");
    let text = answer.body_mut().read_to_string().expect("text");
    let line = text.lines().find(|line| line.starts_with(&format!("willowarch_{name} ")))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until `holds` returns true; panics with `what` if it does not in time.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Bits of a loopback address that number the daemons of a test process. A run of all tests starts many hundreds: two
/// fleets with an address in common find each other, and serve each other's clients.
const DAEMON_BITS: u32 = 12;

/// Returns a loopback address that no other test daemon on this machine uses: it contains bits of the
/// process id, and a counter.
pub fn unused_loopback_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let next = NEXT.fetch_add(1, Ordering::SeqCst) % (1 << DAEMON_BITS);
    let [_, high, middle, low] = (std::process::id() << DAEMON_BITS | next).to_be_bytes();
    IpAddr::from([127, high.max(1), middle, low])
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(log).expect("log");
    let mut command = Command::new(program);
    command.args(["--gateway", "--settings"]).arg(settings).stdout(log);
    command.spawn().expect("daemon")
}

/// Settings of a daemon that listens at `ip` and connects to the platform at `platform`; `bounds`
/// overrides the defaults.
pub fn daemon_settings(
    name: &str,
    ip: IpAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
    bounds: &Value,
) -> Value {
    let at_port = |port| SocketAddr::new(ip, port);
    let (clients, readiness, peers) = (at_port(8001), at_port(8002), at_port(8003));
    let mut all = json!({
        "grace-s": 3, "strict-revoke": true, "revoke-ms": 5000, "retry-ratio": 0.2,
        "retry-window-s": 10, "retry-slack": 50, "lease-ms": 1500, "report-window-s": 1,
    });
    let changes = bounds.as_object().cloned().unwrap_or_default();
    all.as_object_mut().expect("object").extend(changes);
    json!({
        "node": name, "zone": "hall-a", "zones": {"hall-a": "r", "hall-b": "r"},
        "listen": {"front": clients, "readiness": readiness, "control": peers},
        "port-range": [8004, 8010],
        "seeds": seeds, "bounds": all, "unknown-field": [1, 2],
        "platform": {"address": platform},
        "cloud-api": {"address": platform, "duties": ["metering", "autoscale"]},
    })
}

/// A daemon that runs as a process of its own; it is killed on drop.
pub struct Gateway {
    process: Child,
    /// The daemon's executable file.
    program: std::path::PathBuf,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    /// File with its standard output.
    pub log: std::path::PathBuf,
    settings: std::path::PathBuf,
}

impl Gateway {
    /// Starts a daemon that can retry requests as soon as it is ready.
    pub fn start(name: &str, platform: &PlatformStandin, seeds: &[SocketAddr]) -> Self {
        Self::start_with(name, platform, seeds, json!({"retry-slack": AMPLE_RETRIES}))
    }

    pub fn start_with(
        name: &str,
        platform: &PlatformStandin,
        seeds: &[SocketAddr],
        bounds: Value,
    ) -> Self {
        Self::start_at(name, platform.address, seeds, bounds)
    }

    /// Starts a daemon that connects to the platform at `platform`.
    pub fn start_at(name: &str, platform: SocketAddr, seeds: &[SocketAddr], bounds: Value) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_willowarchd"));
        Self::start_program(program, name, platform, seeds, bounds)
    }

    /// Starts a daemon from `program`, such as that of another release.
    pub fn start_program(
        program: &Path,
        name: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        bounds: Value,
    ) -> Self {
        let settings = |ip| daemon_settings(name, ip, platform, seeds, &bounds);
        Self::start_settings(program, name, settings)
    }

    /// Starts a daemon from `program` with the settings that belong to its address.
    pub fn start_settings(
        program: &Path,
        name: &str,
        settings: impl FnOnce(IpAddr) -> Value,
    ) -> Self {
        let ip = unused_loopback_address();
        let settings = settings(ip);
        let at_port = |port| SocketAddr::new(ip, port);
        let (clients, readiness, peers) = (at_port(8001), at_port(8002), at_port(8003));
        let file = format!("gateway-{name}-{ip}.json");
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = path.with_extension("log");
        let process = spawn(program, &path, &log);
        let (program, metrics) = (program.to_owned(), at_port(8004));
        Self { process, program, clients, readiness, peers, metrics, log, settings: path }
    }

    /// Kills the process and starts it again at the same addresses.
    pub fn kill_and_restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again at the same addresses, after the former one has ended.
    pub fn start_again(&mut self) {
        self.process = spawn(&self.program, &self.settings, &self.log);
    }

    /// Ends the process for good and starts one at another address for daemons. Clients reach it at the same one.
    pub fn replace(&mut self) {
        self.kill();
        let ip = unused_loopback_address();
        self.peers.set_ip(ip);
        self.metrics.set_ip(ip);
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        let mut settings: Value = serde_json::from_str(&text).expect("JSON");
        settings["listen"]["control"] = json!(self.peers);
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
        self.start_again();
    }

    /// Writes other seeds into the settings file.
    pub fn write_seeds(&self, seeds: &[SocketAddr]) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        let mut settings: Value = serde_json::from_str(&text).expect("JSON");
        settings["seeds"] = json!(seeds);
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
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
        self.kill();
        if std::env::var_os(KEEP_LOGS).is_some() {
            return;
        }
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

/// A configuration whose routes all lead to the service `pool`: an idempotent one, a non-idempotent
/// one, and two streaming ones, of which only the first may be resumed.
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

/// A daemon that is ready, with its platform and endpoints.
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

    /// Number of requests that each endpoint has received.
    pub fn runs(&self) -> Vec<usize> {
        self.endpoints.iter().map(|endpoint| endpoint.seen().len()).collect()
    }
}

/// A response as it was received, parsed but not validated.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete by its `Content-Length` or its last chunk; false if it ends with its
    /// connection.
    pub whole: bool,
    /// Whether the connection ended with a close, so that a body with neither a length nor chunks may be
    /// whole.
    pub closed: bool,
}

impl RawAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether the body has neither a length nor chunks and ended with a close, so that its client may
    /// take it for whole.
    pub fn may_be_whole(&self) -> bool {
        let is_framed =
            self.header("content-length").is_some() || self.header("transfer-encoding").is_some();
        self.closed && !is_framed
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request over a new connection and reads until the connection ends.
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

/// Bytes of a request that asks for the connection to be closed after its response.
pub fn request_bytes(path: &str, id: &str, key: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut all = vec!["Connection: close"];
    all.extend(headers);
    kept_request_bytes(path, id, key, &all, body)
}

/// Bytes of a request on a connection that is kept open for further ones.
pub fn kept_request_bytes(
    path: &str,
    id: &str,
    key: &str,
    headers: &[&str],
    body: &[u8],
) -> Vec<u8> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\n"
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

/// Sends `bytes` over a new connection and reads until the connection ends; fails if it can't connect
/// or send.
pub fn try_send_raw(address: SocketAddr, bytes: &[u8]) -> std::io::Result<RawAnswer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(bytes)?;
    let mut all = Vec::new();
    let closed = stream.read_to_end(&mut all).is_ok();
    Ok(RawAnswer { closed, ..parse_answer(&all) })
}

/// A client connection that sends several requests one after the other.
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        Ok(Self { stream })
    }

    /// Sends a request and reads until its response is complete or the connection ends.
    pub fn ask(&mut self, bytes: &[u8]) -> std::io::Result<RawAnswer> {
        self.stream.write_all(bytes)?;
        let (mut all, mut buffer) = (Vec::new(), [0; 4_096]);
        loop {
            let length = self.stream.read(&mut buffer)?;
            all.extend_from_slice(&buffer[..length]);
            let answer = parse_answer(&all);
            if answer.whole || length == 0 {
                return Ok(RawAnswer { closed: length == 0, ..answer });
            }
        }
    }
}

/// Parses what has been received of a response so far.
pub fn parse_answer(all: &[u8]) -> RawAnswer {
    let end = all.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(all.len());
    let head = String::from_utf8_lossy(&all[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let rest = &all[(end + 4).min(all.len())..];
    let mut answer = RawAnswer { status, head, body: rest.to_vec(), whole: false, closed: false };
    match answer.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => answer.whole = rest.len() == length,
        None if answer.header("transfer-encoding").is_some() => {
            (answer.body, answer.whole) = join_chunks(rest);
        }
        // Ends with the connection.
        None => {}
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
