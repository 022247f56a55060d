//! A fleet of real daemons whose store is restored from a copy, and clients at every daemon.
//!
//! Meanwhile the operator moves a route, drops a key, adds a route and a key, and endpoints register
//! and leave. For each request the clients record when it was sent, the status of its answer, and the
//! endpoint that served it.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, wait_for},
    platform_standin::PlatformStandin,
};

/// When the store is copied. All these times count from the start of the clients.
pub const COPIED_AT: Duration = Duration::from_millis(500);
/// When the first changes are written: a route moves, a key is dropped, an endpoint writes
/// that it drains, another one registers.
pub const FIRST_CHANGES_AT: Duration = Duration::from_millis(1_000);
/// When the store becomes unreachable.
const UNREACHABLE_AT: Duration = Duration::from_millis(2_000);
/// When the store is back, with the contents of the copy.
pub const BACK_AT: Duration = Duration::from_millis(2_500);
/// When the store becomes unreachable and comes back a second time, if the copy is restored twice.
const UNREACHABLE_AGAIN: (Duration, Duration) =
    (Duration::from_millis(2_900), Duration::from_millis(3_200));
/// When the operator and the endpoints repeat their lost writes.
const REWRITTEN_AT: Duration = Duration::from_millis(3_500);
/// When they repeat them if `is_written_late` is set.
const REWRITTEN_LATE_AT: Duration = Duration::from_millis(5_000);
/// When the last changes are written: the route moves back, a route and a key are added, a second
/// endpoint writes that it drains, another one registers.
pub const LAST_CHANGES_AT: Duration = Duration::from_millis(5_600);
/// When the clients end.
const END_AT: Duration = Duration::from_millis(9_500);
/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);
/// Environment variable with the last release's executable file. Every second daemon runs it, and no
/// client sends requests to these.
const FORMER_PROGRAM: &str = "LOSS_FORMER";
/// Concurrent calls that the store serves for each daemon: two watches and a call of the leader.
const CALLS_PER_DAEMON: usize = 3;

/// What is done to the store and to the daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLoss {
    /// Whether the store is restored from the copy at all.
    pub is_lost: bool,
    /// Writes to other objects after the copy and before the first changes.
    pub lost_writes: u64,
    /// Writes to other objects after the restore, before any daemon can read the store.
    pub writes_after: u64,
    /// Whether the operator and the endpoints take longer to repeat their lost writes.
    pub is_written_late: bool,
    /// Whether the same copy is restored a second time.
    pub is_lost_twice: bool,
    /// Whether every other daemon is killed and restarted when the store is back.
    pub restarts_every_other: bool,
}

/// The route and key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// The route that is moved, with the key that stays.
    MovedRoute,
    /// The route that is moved, with the key that is dropped.
    DroppedKey,
    /// The route whose endpoints register and leave.
    ChangingEndpoints,
    /// The route that the last changes add, with the key that they add.
    AddedRoute,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct AnsweredRequest {
    pub target: RequestTarget,
    /// When it was sent, from the start of the clients.
    pub sent_at: Duration,
    pub status: u16,
    /// Id of the endpoint that has served it.
    pub endpoint: Option<String>,
}

impl AnsweredRequest {
    /// Whether an endpoint whose id begins with `prefix` served it.
    pub fn is_served_by(&self, prefix: &str) -> bool {
        self.endpoint.as_ref().is_some_and(|id| id.starts_with(prefix))
    }
}

/// The store, the endpoints and the daemons.
pub struct LossFleet {
    pub platform: PlatformStandin,
    endpoints: Vec<EndpointStandin>,
    daemons: Vec<Mutex<Gateway>>,
    /// Number of requests sent so far.
    request_count: AtomicU64,
}

/// Endpoints that are registered from the start, with their services.
const ENDPOINTS: [(&str, &str); 8] = [
    ("former-0", "former"),
    ("former-1", "former"),
    ("later-0", "later"),
    ("later-1", "later"),
    ("stay-0", "changing"),
    ("stay-1", "changing"),
    ("leaver-0", "changing"),
    ("leaver-1", "changing"),
];
/// Endpoints of the service `changing` that register at the first and the last changes.
const LATE_ENDPOINTS: [&str; 2] = ["late-0", "late-1"];

fn entry(endpoint: &EndpointStandin, service: &str, state: &str) -> Value {
    json!({
        "service": service, "address": endpoint.address, "zone": "hall-a", "version": "v1",
        "slots": 100, "state": state, "cold-left-ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    })
}

fn own_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_willowarchd"))
}

/// The last release's program, if the daemon with this index runs it.
fn former_program(place: usize) -> Option<PathBuf> {
    std::env::var_os(FORMER_PROGRAM).filter(|_| place % 2 == 1).map(PathBuf::from)
}

/// A configuration whose moved route goes to `service`; the last one also has the added route.
fn written_configuration(version: u64, service: &str, keys: &[&str], is_last: bool) -> Value {
    let mut written = configuration(version, keys);
    let plain = written["routes"][0].clone();
    let route = |name: &str, service: &str| {
        let mut route = plain.clone();
        route["name"] = json!(name);
        route["path-prefix"] = json!(format!("/{name}/"));
        route["service"] = json!(service);
        route
    };
    let mut routes = vec![route("moved", service), route("changing", "changing")];
    if is_last {
        routes.push(route("added", "changing"));
    }
    written["routes"] = json!(routes);
    let services = ["former", "later", "changing"];
    let service = |name: &&str| json!({"name": name, "health-path": "/health", "max-conns": 2000});
    written["services"] = services.iter().map(service).collect();
    written["tenants"][0]["per-s"] = json!(1e12);
    written["tenants"][0]["burst"] = json!(1e12);
    written
}

impl LossFleet {
    /// Starts the daemons and waits until all are ready.
    pub fn start(daemon_count: usize) -> Self {
        let platform = PlatformStandin::start_with(daemon_count * CALLS_PER_DAEMON + 8);
        platform.set_era(1);
        let names = ENDPOINTS.iter().map(|(id, _)| *id).chain(LATE_ENDPOINTS);
        let start = |id| EndpointStandin::start(id, EndpointManner::Answer);
        let endpoints: Vec<EndpointStandin> = names.map(start).collect();
        let mut fleet =
            Self { platform, endpoints, daemons: Vec::new(), request_count: AtomicU64::default() };
        for (id, service) in ENDPOINTS {
            fleet.write_entry(id, service, "ready");
        }
        let first = written_configuration(10, "former", &["key-1", "key-dropped"], false);
        fleet.platform.put("config", "main", first);
        fleet.start_daemons(daemon_count);
        fleet
    }

    fn start_daemons(&mut self, count: usize) {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for place in 0..count {
            let name = format!("loss-{place}");
            let program = former_program(place).unwrap_or_else(|| own_program().into());
            let platform = self.platform.address;
            let daemon = Gateway::start_program(&program, &name, platform, &seeds, json!({}));
            if seeds.len() < 3 {
                seeds.push(daemon.peers);
            }
            self.daemons.push(Mutex::new(daemon));
        }
        for daemon in &self.daemons {
            daemon.lock().expect("lock").wait_ready();
        }
        wait_for("a lease", || self.platform.get("gateway-leases", "duties").is_some());
    }

    fn write_entry(&self, id: &str, service: &str, state: &str) {
        let endpoint = self.endpoints.iter().find(|one| one.id == id).expect("endpoint");
        self.platform.put("servers", id, entry(endpoint, service, state));
    }

    fn write_first_changes(&self) {
        let second = written_configuration(14, "later", &["key-1"], false);
        self.platform.put("config", "main", second);
        self.write_entry("leaver-0", "changing", "draining");
        self.write_entry("late-0", "changing", "ready");
    }

    fn write_last_changes(&self) {
        let last = written_configuration(19, "former", &["key-1", "key-added"], true);
        self.platform.put("config", "main", last);
        self.write_entry("leaver-1", "changing", "draining");
        self.write_entry("late-1", "changing", "ready");
    }

    fn lose_writes(&self, loss: StoreLoss) {
        if loss.is_lost {
            let lost = self.platform.restore_copy();
            println!("{lost} writes lost");
        }
        self.platform.write_others(loss.writes_after);
        self.platform.set_down(false);
    }

    /// Makes the changes, causes the loss, and returns the requests of the clients.
    pub fn play(&self, loss: StoreLoss) -> Vec<AnsweredRequest> {
        let began = Instant::now();
        let requests = Mutex::new(Vec::new());
        thread::scope(|scope| {
            scope.spawn(|| self.make_changes(loss, began));
            let own = (0..self.daemons.len()).filter(|place| former_program(*place).is_none());
            for place in own {
                let requests = &requests;
                scope.spawn(move || {
                    let answered = self.send_until_end(place, began);
                    requests.lock().expect("lock").extend(answered);
                });
            }
        });
        requests.into_inner().expect("lock")
    }

    fn make_changes(&self, loss: StoreLoss, began: Instant) {
        sleep_until(began, COPIED_AT);
        self.platform.copy_contents();
        self.platform.write_others(loss.lost_writes);
        sleep_until(began, FIRST_CHANGES_AT);
        self.write_first_changes();
        if loss.is_lost {
            sleep_until(began, UNREACHABLE_AT);
            self.platform.set_down(true);
            sleep_until(began, BACK_AT);
            self.lose_writes(loss);
        }
        if loss.restarts_every_other {
            for daemon in self.daemons.iter().step_by(2) {
                daemon.lock().expect("lock").kill_and_restart();
            }
        }
        if loss.is_lost_twice {
            sleep_until(began, UNREACHABLE_AGAIN.0);
            self.platform.set_down(true);
            sleep_until(began, UNREACHABLE_AGAIN.1);
            self.lose_writes(loss);
        }
        if loss.is_lost {
            let again = if loss.is_written_late { REWRITTEN_LATE_AT } else { REWRITTEN_AT };
            sleep_until(began, again);
            self.write_first_changes();
        }
        sleep_until(began, LAST_CHANGES_AT);
        self.write_last_changes();
    }

    fn send_until_end(&self, daemon: usize, began: Instant) -> Vec<AnsweredRequest> {
        let address = self.daemons[daemon].lock().expect("lock").clients;
        let mut requests = Vec::new();
        let all = [
            RequestTarget::MovedRoute,
            RequestTarget::DroppedKey,
            RequestTarget::ChangingEndpoints,
            RequestTarget::AddedRoute,
        ];
        for target in all.iter().cycle() {
            let sent_at = began.elapsed();
            if sent_at >= END_AT {
                break;
            }
            requests.extend(self.send(address, *target, sent_at));
            thread::sleep(REQUEST_PAUSE);
        }
        requests
    }

    /// Sends a request; none if the daemon accepts no connection.
    fn send(
        &self,
        address: SocketAddr,
        target: RequestTarget,
        sent_at: Duration,
    ) -> Option<AnsweredRequest> {
        std::net::TcpStream::connect(address).ok()?;
        let (path, key) = match target {
            RequestTarget::MovedRoute => ("/moved/", "key-1"),
            RequestTarget::DroppedKey => ("/moved/", "key-dropped"),
            RequestTarget::ChangingEndpoints => ("/changing/", "key-1"),
            RequestTarget::AddedRoute => ("/added/", "key-added"),
        };
        let id = format!("loss-{}", self.request_count.fetch_add(1, Ordering::Relaxed));
        let answer = ask(address, path, &id, key, &[], b"");
        let is_served = answer.status == 200;
        let endpoint = is_served.then(|| answer.text().split(' ').next().unwrap_or("").to_owned());
        Some(AnsweredRequest { target, sent_at, status: answer.status, endpoint })
    }
}

fn sleep_until(began: Instant, at: Duration) {
    thread::sleep(at.saturating_sub(began.elapsed()));
}
