//! A fleet of real daemons in front of endpoints that fail most requests. Endpoints count how often
//! each request arrives; clients count the requests that they send.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    ops::Range,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, request_bytes, try_send_raw, wait_for},
    platform_standin::PlatformStandin,
};

/// Part of the requests that endpoints may receive again.
const RETRY_RATIO: f64 = 0.2;
/// Requests that they may receive again beyond that.
const RETRY_SLACK: f64 = 54.0;
/// Window in which both are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const ENDPOINTS: usize = 12;
const CLIENTS: u64 = 16;
/// Pause between two requests of a client, in milliseconds.
const PAUSE_MS: Range<u64> = 150..250;
/// Endpoints that one request may reach.
const ATTEMPTS: u32 = 3;
/// How long clients send requests. The endpoints begin to fail after a third of it.
const LOAD_TIME: Duration = Duration::from_secs(18);
/// Concurrent calls that the store serves for each daemon.
const CALLS_PER_DAEMON: usize = 3;
/// Interval at which it is checked whether the clients have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Version of the first configuration.
const CONFIGURATION_VERSION: u64 = 3;

/// What happens to the daemons while the endpoints fail.
#[derive(Clone, Copy, Debug)]
pub enum DaemonEnds {
    /// Nothing.
    None,
    /// All are killed and started again at this interval.
    KillAll(Duration),
    /// One is killed and started again at this interval, by turns.
    KillOne(Duration),
    /// One is stopped in order and started again when it has ended, by turns.
    StopOne(Duration),
}

/// Arrivals beyond the first of each request in the worst window.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorstWindow {
    pub beyond: usize,
    pub allowed: f64,
}

/// What clients sent and endpoints received.
#[derive(Debug, Default)]
pub struct RetryOutcome {
    pub sent: Vec<Instant>,
    pub served: usize,
    /// Number of requests by status; 0 means no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Arrivals at endpoints beyond the first of each request, in order.
    pub beyond: Vec<Instant>,
}

impl RetryOutcome {
    /// The window with the most arrivals beyond the first, compared with what is allowed in it.
    pub fn worst_window(&self) -> WorstWindow {
        let windows = self.beyond.iter().map(|begin| self.window(*begin));
        let excess = |window: &WorstWindow| window.beyond as f64 - window.allowed;
        windows.max_by(|one, other| excess(one).total_cmp(&excess(other))).unwrap_or_default()
    }

    /// Requests are counted in the window, in the one before it, or in that which begins half a window
    /// before it, whichever holds the most.
    fn window(&self, begin: Instant) -> WorstWindow {
        let count = |all: &[Instant], from: Instant| {
            all.iter().filter(|at| **at >= from && **at < from + RETRY_WINDOW).count()
        };
        let begins = [begin, begin - RETRY_WINDOW / 2, begin - RETRY_WINDOW];
        let requests = begins.map(|from| count(&self.sent, from)).into_iter().max().unwrap_or(0);
        WorstWindow {
            beyond: count(&self.beyond, begin),
            allowed: RETRY_RATIO * requests as f64 + RETRY_SLACK,
        }
    }
}

/// Running daemons and endpoints.
pub struct RetryFleet {
    platform: PlatformStandin,
    endpoints: Vec<EndpointStandin>,
    daemons: Mutex<Vec<Gateway>>,
    addresses: Vec<SocketAddr>,
    is_over: AtomicBool,
}

impl RetryFleet {
    /// Starts daemons and endpoints that work, and waits until all daemons are ready.
    pub fn start(daemon_count: usize) -> Self {
        let platform = PlatformStandin::start_with(daemon_count * CALLS_PER_DAEMON);
        let mut stored = configuration(CONFIGURATION_VERSION, &["key-1"]);
        for route in stored["routes"].as_array_mut().expect("routes") {
            if route["attempts"] != 1 {
                route["attempts"] = json!(ATTEMPTS);
            }
        }
        platform.put("config", "main", stored);
        let start = |place| EndpointStandin::start(&format!("i-{place}"), EndpointManner::Answer);
        let endpoints: Vec<EndpointStandin> = (0..ENDPOINTS).map(start).collect();
        for endpoint in &endpoints {
            platform.put("servers", &endpoint.id, endpoint_entry(endpoint, "ready"));
        }
        let bounds = json!({
            "retry-ratio": RETRY_RATIO, "retry-slack": RETRY_SLACK,
            "retry-window-s": RETRY_WINDOW.as_secs(),
        });
        let mut seeds: Vec<SocketAddr> = Vec::new();
        let mut daemons = Vec::new();
        for place in 0..daemon_count {
            let name = format!("retry-{place}");
            let daemon = Gateway::start_with(&name, &platform, &seeds, bounds.clone());
            if seeds.len() < 3 {
                seeds.push(daemon.peers);
            }
            daemons.push(daemon);
        }
        daemons.iter().for_each(Gateway::wait_ready);
        let addresses = daemons.iter().map(|daemon| daemon.clients).collect();
        let (daemons, is_over) = (Mutex::new(daemons), AtomicBool::new(false));
        Self { platform, endpoints, daemons, addresses, is_over }
    }

    /// Addresses of the daemons for clients.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// From now on all endpoints respond in this manner.
    pub fn set_manner(&self, manner: EndpointManner) {
        self.endpoints.iter().for_each(|endpoint| endpoint.set(manner));
    }

    /// Gives the only account this quota, in units per second and beyond that; a request has 100 units.
    pub fn limit_account(&self, per_s: u64, burst: u64) {
        let mut stored = self.platform.get("config", "main").expect("a configuration");
        stored["version"] = json!(CONFIGURATION_VERSION + 1);
        stored["tenants"][0]["per-s"] = json!(per_s);
        stored["tenants"][0]["burst"] = json!(burst);
        self.platform.put("config", "main", stored);
    }

    /// Stops a daemon in order, without waiting for its end.
    pub fn stop(&self, place: usize) {
        self.daemons.lock().expect("lock")[place].signal("-TERM");
    }

    /// Sends requests while the endpoints respond in `manner` and daemons end.
    pub fn play(&self, manner: EndpointManner, ends: DaemonEnds) -> RetryOutcome {
        let until = Instant::now() + LOAD_TIME;
        let outcome = Mutex::new(RetryOutcome::default());
        thread::scope(|scope| {
            for number in 0..CLIENTS {
                let outcome = &outcome;
                scope.spawn(move || self.run_client(number, until, outcome));
            }
            thread::sleep(LOAD_TIME / 3);
            self.set_manner(manner);
            scope.spawn(move || self.end_daemons(ends));
            thread::sleep(until.saturating_duration_since(Instant::now()));
            self.is_over.store(true, Ordering::SeqCst);
        });
        let mut outcome = outcome.into_inner().expect("lock");
        outcome.sent.sort_unstable();
        outcome.beyond = self.arrivals_beyond_the_first();
        outcome
    }

    fn run_client(&self, number: u64, until: Instant, outcome: &Mutex<RetryOutcome>) {
        let mut rng = SmallRng::seed_from_u64(number);
        for count in 0_u64.. {
            let sent = Instant::now();
            if sent >= until {
                return;
            }
            let address = self.addresses[rng.random_range(0..self.addresses.len())];
            let id = format!("client-{number}-{count}");
            let path = format!("/plain/{id}/");
            let answer = try_send_raw(address, &request_bytes(&path, &id, "key-1", &[], b""));
            let status = answer.map_or(0, |answer| answer.status);
            {
                let mut outcome = outcome.lock().expect("lock");
                outcome.sent.push(sent);
                outcome.served += usize::from(status == 200);
                *outcome.statuses.entry(status).or_default() += 1;
            }
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    fn end_daemons(&self, ends: DaemonEnds) {
        let (DaemonEnds::KillAll(pause) | DaemonEnds::KillOne(pause) | DaemonEnds::StopOne(pause)) =
            ends
        else {
            return;
        };
        for number in 0.. {
            self.pause(pause);
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            let mut daemons = self.daemons.lock().expect("lock");
            let next = number % daemons.len();
            match ends {
                DaemonEnds::None => {}
                DaemonEnds::KillAll(_) => {
                    daemons.iter_mut().for_each(Gateway::kill);
                    daemons.iter_mut().for_each(Gateway::start_again);
                }
                DaemonEnds::KillOne(_) => daemons[next].kill_and_restart(),
                DaemonEnds::StopOne(_) => {
                    daemons[next].signal("-TERM");
                    wait_for("the daemon's end", || daemons[next].has_ended());
                    daemons[next].start_again();
                }
            }
        }
    }

    /// Waits for this time, or until the clients have ended.
    fn pause(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until && !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(END_CHECK_INTERVAL);
        }
    }

    fn arrivals_beyond_the_first(&self) -> Vec<Instant> {
        let seen = self.endpoints.iter().flat_map(EndpointStandin::seen);
        // Health checks have no id.
        let seen = seen.filter(|request| !request.id().is_empty());
        let mut arrivals: Vec<(Instant, String)> =
            seen.map(|request| (request.arrived, request.id().to_owned())).collect();
        arrivals.sort();
        let mut known = HashSet::new();
        let beyond = arrivals.into_iter().filter(|(_, id)| !known.insert(id.clone()));
        beyond.map(|(arrived, _)| arrived).collect()
    }
}
