//! A fleet of real daemons before endpoints that a request can crash, calm clients, and a client
//! that sends such a request again and again.

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
    crashing_endpoint::{CRASHING, CrashNote, CrashingEndpoint},
    gateway_site::{
        Gateway, RawAnswer, configuration, read_metric, request_bytes, try_send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
};

/// Time in which daemons that can talk to each other have to know of the third crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which a request has to be stopped.
const CRASHES: usize = 3;
/// Pause between two requests that crash an endpoint.
const CRASH_PAUSE: Duration = Duration::from_millis(125);
/// Pause between two requests of a calm client, in milliseconds.
const THINK_MS: Range<u64> = 10..40;
/// Calls that the store answers at once for each daemon: two watches and a call of the leader.
const CALLS_PER_DAEMON: usize = 3;
/// What a refusal says whose request has crashed endpoints.
const REASON: &str = "crashed endpoints";

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub struct CrashLoad {
    /// Path of the requests that crash endpoints.
    pub path: &'static str,
    /// Different requests, sent by turns.
    pub requests: usize,
    pub time: Duration,
}

/// Requests of the calm clients, and what became of them.
#[derive(Clone, Debug, Default)]
pub struct CalmOutcome {
    pub sent: usize,
    pub not_served: BTreeMap<u16, usize>,
    /// Refused as if they had crashed endpoints.
    pub refused_for_crashes: usize,
}

impl CalmOutcome {
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

/// What became of all requests.
#[derive(Debug)]
pub struct CrashOutcome {
    pub calm: CalmOutcome,
    pub notes: Vec<CrashNote>,
    /// Statuses of the answers to requests that crash endpoints.
    pub statuses: BTreeMap<u16, usize>,
}

impl CrashOutcome {
    pub fn crashes(&self) -> usize {
        self.notes.iter().filter(|note| note.crashed.is_some()).count()
    }

    /// Arrivals of each request at endpoints when all daemons have to know of its third crash.
    pub fn late_arrivals(&self) -> BTreeMap<&str, usize> {
        late_arrivals(&self.notes)
    }
}

/// Arrivals of each request at endpoints when all daemons have to know of its third crash.
pub fn late_arrivals(notes: &[CrashNote]) -> BTreeMap<&str, usize> {
    let mut crashes: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for note in notes {
        crashes.entry(&note.body).or_default().extend(note.crashed);
    }
    let mut late = BTreeMap::new();
    for (body, mut times) in crashes {
        times.sort_unstable();
        let known_from = times.get(CRASHES - 1).map(|third| *third + CONTACT_TIME);
        let is_late = |note: &&CrashNote| {
            note.body == body && known_from.is_some_and(|from| note.arrived > from)
        };
        late.insert(body, notes.iter().filter(is_late).count());
    }
    late
}

/// The fleet.
pub struct CrashFleet {
    pub daemons: Vec<Gateway>,
    pub endpoints: Vec<CrashingEndpoint>,
    is_mended: Arc<AtomicBool>,
    addresses: Vec<SocketAddr>,
}

impl CrashFleet {
    /// So many daemons, all ready; half of the endpoints keep their id when they start again.
    pub fn start(daemon_count: usize, endpoint_count: usize) -> Self {
        let platform = Arc::new(PlatformStandin::start_with(daemon_count * CALLS_PER_DAEMON));
        platform.put("config", "main", configuration(3, &["key-1"]));
        let is_mended = Arc::new(AtomicBool::new(false));
        let endpoints = (0..endpoint_count).map(|place| {
            let (name, keeps_id) = (format!("i-{place}"), place % 2 == 0);
            CrashingEndpoint::start(&name, "pool", keeps_id, &platform, &is_mended)
        });
        let endpoints = endpoints.collect();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        let mut daemons = Vec::new();
        for place in 0..daemon_count {
            let name = format!("crash-{place}");
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

    /// Sends the load beside so many calm clients.
    pub fn play(&self, load: CrashLoad, calm_clients: u64) -> CrashOutcome {
        let until = Instant::now() + load.time;
        let calm = Mutex::new(CalmOutcome::default());
        let statuses = Mutex::new(BTreeMap::new());
        thread::scope(|scope| {
            for number in 0..calm_clients {
                let calm = &calm;
                scope.spawn(move || self.be_calm(number, until, calm));
            }
            let mut rng = SmallRng::seed_from_u64(calm_clients);
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
                thread::sleep(CRASH_PAUSE);
            }
        });
        CrashOutcome {
            calm: calm.into_inner().expect("lock"),
            notes: self.endpoints.iter().flat_map(CrashingEndpoint::notes).collect(),
            statuses: statuses.into_inner().expect("lock"),
        }
    }

    /// Sends one request to the daemons again and again until all refuse it; returns a refusal.
    pub fn send_until_refused(&self, path: &str) -> RawAnswer {
        wait_for("all daemons to refuse it", || self.all_refuse(path));
        self.send(0, path).expect("an answer")
    }

    /// Sends the request that crashes endpoints to one daemon.
    pub fn send(&self, place: usize, path: &str) -> std::io::Result<RawAnswer> {
        send_crashing(self.addresses[place], path, CRASHING, 0)
    }

    /// Whether one daemon refuses the request.
    pub fn refuses(&self, place: usize, path: &str) -> bool {
        self.send(place, path).is_ok_and(|answer| is_refused(&answer))
    }

    /// Whether all daemons refuse the request.
    pub fn all_refuse(&self, path: &str) -> bool {
        (0..self.addresses.len()).all(|place| self.refuses(place, path))
    }

    /// Whether all daemons serve the request.
    pub fn all_serve(&self, path: &str) -> bool {
        let serves =
            |place| self.send(place, path).is_ok_and(|answer: RawAnswer| answer.status == 200);
        (0..self.addresses.len()).all(serves)
    }

    /// Kills all daemons, then starts them again.
    pub fn restart_daemons(&mut self) {
        self.daemons.iter_mut().for_each(Gateway::kill);
        self.daemons.iter_mut().for_each(Gateway::start_again);
        self.daemons.iter().for_each(Gateway::wait_ready);
    }

    /// From now on nothing crashes the endpoints.
    pub fn mend_endpoints(&self) {
        self.is_mended.store(true, Ordering::SeqCst);
    }

    /// A metric of one daemon, if it has it.
    pub fn metric(&self, place: usize, name: &str) -> Option<f64> {
        read_metric(self.daemons[place].metrics, name)
    }

    /// How often the endpoints have ended.
    pub fn crashes(&self) -> usize {
        let notes = self.endpoints.iter().flat_map(CrashingEndpoint::notes);
        notes.filter(|note| note.crashed.is_some()).count()
    }

    /// Asks again and again, every other time for the same as all calm clients.
    fn be_calm(&self, number: u64, until: Instant, calm: &Mutex<CalmOutcome>) {
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
            calm.lock().expect("lock").record(answer);
            thread::sleep(Duration::from_millis(rng.random_range(THINK_MS)));
        }
    }
}

/// Sends one request that crashes the endpoint that runs it.
pub fn send_crashing(
    address: SocketAddr,
    path: &str,
    body: &str,
    number: usize,
) -> std::io::Result<RawAnswer> {
    let id = format!("crashing-{number}");
    try_send_raw(address, &request_bytes(path, &id, "key-1", &[], body.as_bytes()))
}

pub fn is_refused(answer: &RawAnswer) -> bool {
    answer.status == 503 && answer.text().contains(REASON)
}
