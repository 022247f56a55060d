//! A fleet of real daemons and endpoints that certain requests crash. One client repeats such
//! requests, while background clients send requests that crash nothing.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;

use crate::{
    crashing_endpoint::{CRASHING, CRASHING_PART, CrashingEndpoint, CrashingRun},
    gateway_site::{
        Gateway, RawAnswer, configuration, read_metric, request_bytes, try_send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
};

/// Time after a third crash in which all daemons that can reach each other must know of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which a request must be stopped.
const QUARANTINE_CRASHES: usize = 3;
/// The same for a part of prompts.
const PART_QUARANTINE_CRASHES: usize = 5;
/// Pause between two requests of the client whose requests crash endpoints.
const CRASHING_REQUEST_PAUSE: Duration = Duration::from_millis(125);
/// Pause between two requests of a background client, in milliseconds.
const BACKGROUND_PAUSE_MS: Range<u64> = 10..40;
/// Calls per daemon that the store serves concurrently: two watches and a call of the leader.
const STORE_CALLS_PER_DAEMON: usize = 3;
/// Part of the text that refuses a request because it has crashed endpoints.
const REFUSAL_TEXT: &str = "crashed endpoints";

/// The requests that crash endpoints.
#[derive(Clone, Copy, Debug)]
pub struct CrashLoad {
    /// Path of the requests that crash endpoints.
    pub path: &'static str,
    /// Number of different requests, which are sent in turn.
    pub requests: usize,
    pub time: Duration,
}

/// Requests of the background clients and their results.
#[derive(Clone, Debug, Default)]
pub struct BackgroundOutcome {
    pub sent: usize,
    /// Number of requests that were not served, by status; 0 means no answer.
    pub not_served: BTreeMap<u16, usize>,
    /// Number of requests that were wrongly refused as requests that crash endpoints.
    pub refused_for_crashes: usize,
}

impl BackgroundOutcome {
    fn record(&mut self, answer: std::io::Result<RawAnswer>) {
        self.sent += 1;
        let Ok(answer) = answer else {
            *self.not_served.entry(0).or_default() += 1;
            return;
        };
        if answer.status == 200 && answer.whole {
            return;
        }
        *self.not_served.entry(answer.status).or_default() += 1;
        self.refused_for_crashes += usize::from(is_refused(&answer));
    }
}

/// Results of all requests.
#[derive(Debug)]
pub struct CrashOutcome {
    pub background: BackgroundOutcome,
    pub runs: Vec<CrashingRun>,
    /// Number of answers to requests that crash endpoints, by status; 0 means no answer.
    pub statuses: BTreeMap<u16, usize>,
}

impl CrashOutcome {
    pub fn crashes(&self) -> usize {
        self.runs.iter().filter(|run| run.crashed.is_some()).count()
    }

    /// Arrivals of each request at endpoints after all daemons must know of its third crash.
    pub fn late_arrivals(&self) -> BTreeMap<&str, usize> {
        late_arrivals(&self.runs)
    }
}

/// Arrivals of each request, or of requests with each part, at endpoints after all daemons must know that it
/// crashes them.
pub fn late_arrivals(runs: &[CrashingRun]) -> BTreeMap<&str, usize> {
    let mut crashes: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for run in runs {
        crashes.entry(&run.cause).or_default().extend(run.crashed);
    }
    let mut late = BTreeMap::new();
    for (cause, mut times) in crashes {
        times.sort_unstable();
        let needed = match cause.starts_with(CRASHING_PART) {
            true => PART_QUARANTINE_CRASHES,
            false => QUARANTINE_CRASHES,
        };
        let late_from = times.get(needed - 1).map(|last| *last + PROPAGATION_TIME);
        let is_late = |run: &&CrashingRun| {
            run.cause == cause && late_from.is_some_and(|from| run.arrived > from)
        };
        late.insert(cause, runs.iter().filter(is_late).count());
    }
    late
}

/// Running daemons and endpoints.
pub struct CrashFleet {
    pub daemons: Vec<Gateway>,
    pub endpoints: Vec<CrashingEndpoint>,
    is_mended: Arc<AtomicBool>,
    pub addresses: Vec<SocketAddr>,
}

impl CrashFleet {
    /// Starts endpoints and daemons, and waits until all daemons are ready. Half of the endpoints
    /// keep their id when they restart.
    pub fn start(daemon_count: usize, endpoint_count: usize) -> Self {
        let platform = Arc::new(PlatformStandin::start_with(daemon_count * STORE_CALLS_PER_DAEMON));
        platform.put("config", "main", configuration(3, &["key-1"]));
        let is_mended = Arc::new(AtomicBool::new(false));
        let endpoints = (0..endpoint_count).map(|index| {
            let (name, keeps_id) = (format!("i-{index}"), index % 2 == 0);
            CrashingEndpoint::start(&name, "pool", keeps_id, &platform, &is_mended)
        });
        let endpoints = endpoints.collect();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        let mut daemons = Vec::new();
        for index in 0..daemon_count {
            let name = format!("crash-{index}");
            let daemon = Gateway::start_at(&name, platform.address, &seeds, json!({}));
            if seeds.len() < 3 {
                seeds.push(daemon.peers);
            }
            daemons.push(daemon);
        }
        daemons.iter().for_each(Gateway::wait_ready);
        let addresses = daemons.iter().map(|daemon| daemon.clients).collect();
        Self { daemons, endpoints, is_mended, addresses }
    }

    /// Sends the requests of `load` while `background_clients` background clients send theirs.
    pub fn run_load(&self, load: CrashLoad, background_clients: u64) -> CrashOutcome {
        let until = Instant::now() + load.time;
        let background = Mutex::new(BackgroundOutcome::default());
        let statuses = Mutex::new(BTreeMap::new());
        thread::scope(|scope| {
            for number in 0..background_clients {
                let background = &background;
                scope.spawn(move || self.run_background_client(number, until, background));
            }
            let mut rng = SmallRng::seed_from_u64(background_clients);
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let address = *self.addresses.choose(&mut rng).expect("a daemon");
                let statuses = &statuses;
                scope.spawn(move || {
                    let body = format!("{CRASHING}-{}", number % load.requests);
                    let answer = send_crashing(address, load.path, &body, number);
                    let status = answer.map_or(0, |answer| answer.status);
                    *statuses.lock().expect("lock").entry(status).or_default() += 1;
                });
                thread::sleep(CRASHING_REQUEST_PAUSE);
            }
        });
        CrashOutcome {
            background: background.into_inner().expect("lock"),
            runs: self.endpoints.iter().flat_map(CrashingEndpoint::runs).collect(),
            statuses: statuses.into_inner().expect("lock"),
        }
    }

    /// Repeats one request to all daemons until each of them refuses it. Returns a refusal.
    pub fn send_until_refused(&self, path: &str) -> RawAnswer {
        wait_for("all daemons to refuse the request", || self.all_refuse(path));
        self.send(0, path).expect("an answer")
    }

    /// Sends a request that crashes endpoints to one daemon.
    pub fn send(&self, index: usize, path: &str) -> std::io::Result<RawAnswer> {
        send_crashing(self.addresses[index], path, CRASHING, 0)
    }

    /// Whether one daemon refuses the request.
    pub fn refuses(&self, index: usize, path: &str) -> bool {
        self.send(index, path).is_ok_and(|answer| is_refused(&answer))
    }

    /// Whether all daemons refuse the request.
    pub fn all_refuse(&self, path: &str) -> bool {
        (0..self.addresses.len()).all(|index| self.refuses(index, path))
    }

    /// Whether all daemons serve the request.
    pub fn all_serve(&self, path: &str) -> bool {
        let serves =
            |index| self.send(index, path).is_ok_and(|answer: RawAnswer| answer.status == 200);
        (0..self.addresses.len()).all(serves)
    }

    /// Kills all daemons, then restarts them and waits until they are ready.
    pub fn restart_daemons(&mut self) {
        self.daemons.iter_mut().for_each(Gateway::kill);
        self.daemons.iter_mut().for_each(Gateway::start_again);
        self.daemons.iter().for_each(Gateway::wait_ready);
    }

    /// From now on no request crashes the endpoints.
    pub fn mend_endpoints(&self) {
        self.is_mended.store(true, Ordering::SeqCst);
    }

    /// Value of a metric of one daemon, if the daemon exports it.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        read_metric(self.daemons[index].metrics, name)
    }

    /// Number of crashes of all endpoints.
    pub fn crashes(&self) -> usize {
        let runs = self.endpoints.iter().flat_map(CrashingEndpoint::runs);
        runs.filter(|run| run.crashed.is_some()).count()
    }

    /// Sends requests until `until`. Every other one has the path that all background clients use.
    fn run_background_client(
        &self,
        number: u64,
        until: Instant,
        background: &Mutex<BackgroundOutcome>,
    ) {
        let mut rng = SmallRng::seed_from_u64(number);
        for count in 0_u64.. {
            if Instant::now() >= until {
                return;
            }
            let address = *self.addresses.choose(&mut rng).expect("a daemon");
            let id = format!("calm-{number}-{count}");
            let prefix = ["/plain/", "/stream/", "/once/"][rng.random_range(0..3)];
            let path = match count % 2 {
                0 => format!("{prefix}popular/"),
                _ => format!("{prefix}{id}/"),
            };
            let answer = try_send_raw(address, &request_bytes(&path, &id, "key-1", &[], b"calm"));
            background.lock().expect("lock").record(answer);
            thread::sleep(Duration::from_millis(rng.random_range(BACKGROUND_PAUSE_MS)));
        }
    }
}

/// Sends a request that crashes the endpoint that runs it, if `body` starts with `CRASHING`.
pub fn send_crashing(
    address: SocketAddr,
    path: &str,
    body: &str,
    number: usize,
) -> std::io::Result<RawAnswer> {
    let id = format!("crashing-{number}");
    try_send_raw(address, &request_bytes(path, &id, "key-1", &[], body.as_bytes()))
}

/// Whether a request was refused because it has crashed endpoints.
pub fn is_refused(answer: &RawAnswer) -> bool {
    answer.status == 503 && answer.text().contains(REFUSAL_TEXT)
}
