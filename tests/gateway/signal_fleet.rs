//! A fleet of real daemons in front of endpoints that signal in their responses that they drain, want
//! a back-off or have a request limit. The clients send far fewer requests than the other endpoints
//! can serve.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    gateway_site::{Gateway, RawAnswer, configuration, request_bytes, try_send_raw},
    link_faults::{LinkFaults, PartitionManner},
    platform_standin::PlatformStandin,
    request_lines::print_request_lines,
    signal_checks::{Disturbance, LimitOutcome, SeenSignals, SentAt, counted_falls},
    signalling_endpoint::{Arrival, EndpointSignal, SLOTS, SignallingEndpoint},
};

/// Environment variable with the last release's executable file.
const FORMER_PROGRAM: &str = "SOAK_FORMER";
/// Number of daemons if `SIGNAL_DAEMONS` is not set.
const DEFAULT_DAEMONS: usize = 9;
/// Number of endpoints that signal, in tests where not all do.
pub const SIGNALLING: usize = 4;
pub const CLIENTS: u64 = 24;
/// Pause between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 30..50;
/// When the endpoints begin to signal, when they stop, and when the clients end.
pub const SIGNALS_FROM: Duration = Duration::from_secs(1);
pub const SIGNALS_UNTIL: Duration = Duration::from_millis(6_500);
pub const LOAD_TIME: Duration = Duration::from_millis(9_500);
/// Concurrent calls that the store serves for each daemon.
const CALLS_PER_DAEMON: usize = 3;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: usize,
}

impl FleetShape {
    /// The usual size.
    pub const USUAL: Self = Self { endpoints: 12, slots: SLOTS };
}

/// How long clients send requests, and to how many of the daemons.
#[derive(Clone, Copy, Debug)]
pub struct ClientLoad {
    pub time: Duration,
    pub daemons: usize,
    /// Number of clients, and when those beyond `CLIENTS` begin.
    pub clients: u64,
    pub wave_at: Duration,
}

impl ClientLoad {
    /// Requests to all daemons.
    pub fn of(time: Duration) -> Self {
        Self { time, daemons: usize::MAX, clients: CLIENTS, wave_at: Duration::ZERO }
    }
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub daemon: usize,
    /// Whether the request may run only once.
    pub is_once: bool,
    pub sent: Instant,
    pub answered: Instant,
    pub status: u16,
    pub retry_after: Option<f64>,
    pub names_draining: bool,
    pub names_limit: bool,
}

/// All requests of the clients, and their arrivals at the endpoints that signalled.
pub struct SignalOutcome {
    pub began: Instant,
    pub sent: HashMap<String, SentRequest>,
    /// Arrivals at each endpoint that signalled.
    pub arrivals: Vec<Vec<Arrival>>,
    disturbances: Vec<Disturbance>,
}

/// The endpoints and daemons, and the times in which daemons were disturbed.
pub struct SignalFleet {
    pub endpoints: Vec<SignallingEndpoint>,
    faults: Arc<LinkFaults>,
    daemons: Mutex<Vec<Gateway>>,
    addresses: Vec<SocketAddr>,
    disturbances: Mutex<Vec<Disturbance>>,
}

/// Number of daemons of a fleet.
pub fn daemon_count() -> usize {
    let named = std::env::var("SIGNAL_DAEMONS").ok().and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_DAEMONS)
}

/// The last release's program, if the environment names one. Every other daemon runs it, and the
/// requests of these are not checked.
pub fn former_program() -> Option<PathBuf> {
    std::env::var_os(FORMER_PROGRAM).map(PathBuf::from)
}

pub fn is_former(place: usize) -> bool {
    former_program().is_some() && place % 2 == 1
}

impl SignalFleet {
    /// Starts all daemons and endpoints, and waits until the daemons are ready.
    pub fn start() -> Self {
        Self::start_with(json!({}))
    }

    /// The same with these bounds in the daemons' settings.
    pub fn start_with(bounds: Value) -> Self {
        Self::start_shape(FleetShape::USUAL, bounds)
    }

    /// The same with these endpoints.
    pub fn start_shape(shape: FleetShape, bounds: Value) -> Self {
        let platform = Arc::new(PlatformStandin::start_with(daemon_count() * CALLS_PER_DAEMON));
        platform.put("config", "main", configuration(3, &["key-1"]));
        let faults: Arc<LinkFaults> = Arc::default();
        let start = |place| {
            let name = format!("i-{place}");
            SignallingEndpoint::start_with_slots(&name, "pool", shape.slots, &platform, &faults)
        };
        let endpoints = (0..shape.endpoints).map(start).collect();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        let mut daemons = Vec::new();
        for place in 0..daemon_count() {
            let name = format!("signal-{place}");
            let address = platform.address;
            let daemon = match former_program().filter(|_| is_former(place)) {
                Some(program) => {
                    Gateway::start_program(&program, &name, address, &seeds, bounds.clone())
                }
                None => Gateway::start_at(&name, address, &seeds, bounds.clone()),
            };
            if seeds.len() < 3 {
                seeds.push(daemon.peers);
            }
            daemons.push(daemon);
        }
        daemons.iter().for_each(Gateway::wait_ready);
        let addresses = daemons.iter().map(|daemon| daemon.clients).collect();
        let (daemons, disturbances) = (Mutex::new(daemons), Mutex::default());
        Self { endpoints, faults, daemons, addresses, disturbances }
    }

    /// Number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.addresses.len()
    }

    /// Partitions these daemons from all endpoints.
    pub fn partition(&self, daemons: &[usize], manner: PartitionManner) {
        let processes: Vec<u32> =
            self.daemons.lock().expect("lock").iter().map(Gateway::process_id).collect();
        let cut: Vec<u32> = daemons.iter().map(|daemon| processes[*daemon]).collect();
        self.faults.partition(&cut, manner);
        let ends = self.faults.cut_ends();
        self.endpoints.iter().for_each(|endpoint| endpoint.close_connections_to(&ends));
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.faults.heal();
    }

    /// Suspends every other daemon for a while.
    pub fn freeze_every_other(&self, time: Duration) {
        let daemons = self.daemons.lock().expect("lock");
        let from = Instant::now();
        daemons.iter().step_by(2).for_each(|daemon| daemon.signal("-STOP"));
        thread::sleep(time);
        daemons.iter().step_by(2).for_each(|daemon| daemon.signal("-CONT"));
        let until = Instant::now();
        let frozen = (0..daemons.len()).step_by(2);
        let disturbances = frozen.map(|daemon| Disturbance { daemon, from, until });
        self.disturbances.lock().expect("lock").extend(disturbances);
    }

    /// Kills every other daemon and starts it again.
    pub fn restart_every_other(&self) {
        (0..self.daemon_count()).step_by(2).for_each(|daemon| self.restart(daemon));
    }

    /// Kills a daemon, starts it again and waits until it is ready.
    pub fn restart(&self, daemon: usize) {
        let mut daemons = self.daemons.lock().expect("lock");
        let from = Instant::now();
        daemons[daemon].kill_and_restart();
        daemons[daemon].wait_ready();
        let disturbance = Disturbance { daemon, from, until: Instant::now() };
        self.disturbances.lock().expect("lock").push(disturbance);
    }

    /// Kills all daemons at once, and starts them again after a while.
    pub fn restart_all(&self, down_time: Duration) {
        let mut daemons = self.daemons.lock().expect("lock");
        let from = Instant::now();
        daemons.iter_mut().for_each(Gateway::kill);
        thread::sleep(down_time);
        daemons.iter_mut().for_each(Gateway::start_again);
        daemons.iter().for_each(Gateway::wait_ready);
        let until = Instant::now();
        let all = 0..daemons.len();
        let disturbances = all.map(|daemon| Disturbance { daemon, from, until });
        self.disturbances.lock().expect("lock").extend(disturbances);
    }

    /// Ends these daemons for good and starts others, which clients reach at the same addresses.
    pub fn replace(&self, replaced: &[usize]) {
        let mut daemons = self.daemons.lock().expect("lock");
        let from = Instant::now();
        replaced.iter().for_each(|daemon| daemons[*daemon].replace());
        replaced.iter().for_each(|daemon| daemons[*daemon].wait_ready());
        let until = Instant::now();
        let disturbances =
            replaced.iter().map(|daemon| Disturbance { daemon: *daemon, from, until });
        self.disturbances.lock().expect("lock").extend(disturbances);
    }

    /// Falls of the endpoints that count, and all.
    pub fn falls(&self) -> (usize, usize) {
        counted_falls(&self.endpoints, &self.disturbances.lock().expect("lock"))
    }

    /// Prints what the daemons have logged of the requests that were not served and were sent in this span.
    pub fn print_request_lines(&self, outcome: &SignalOutcome, span: std::ops::Range<Duration>) {
        let span = outcome.began + span.start..outcome.began + span.end;
        let is_printed =
            |request: &SentRequest| !request.is_served() && span.contains(&request.sent);
        let requests = outcome.sent.iter().filter(|(_, request)| is_printed(request));
        let ids: HashSet<&str> = requests.map(|(id, _)| id.as_str()).collect();
        self.faults.print_look_ups();
        let daemons = self.daemons.lock().expect("lock");
        print_request_lines(daemons.iter().map(|daemon| Path::new(&daemon.log)), &ids);
    }

    /// Runs the clients while `signal_with` controls the first `signalling` endpoints.
    pub fn play(
        &self,
        signalling: usize,
        signal_with: impl FnOnce(&[SignallingEndpoint], Instant),
    ) -> SignalOutcome {
        self.play_load(ClientLoad::of(LOAD_TIME), signalling, signal_with)
    }

    /// The same with another load.
    pub fn play_load(
        &self,
        load: ClientLoad,
        signalling: usize,
        signal_with: impl FnOnce(&[SignallingEndpoint], Instant),
    ) -> SignalOutcome {
        let began = Instant::now();
        let sent = Mutex::new(HashMap::new());
        thread::scope(|scope| {
            for number in 0..load.clients {
                let sent = &sent;
                scope.spawn(move || self.run_client(number, load, began, sent));
            }
            signal_with(&self.endpoints[..signalling], began);
        });
        let arrivals =
            self.endpoints[..signalling].iter().map(SignallingEndpoint::arrivals).collect();
        let sent = sent.into_inner().expect("lock");
        let disturbances = self.disturbances.lock().expect("lock").clone();
        SignalOutcome { began, sent, arrivals, disturbances }
    }

    fn run_client(
        &self,
        number: u64,
        load: ClientLoad,
        began: Instant,
        all: &Mutex<HashMap<String, SentRequest>>,
    ) {
        let (until, daemons) = (began + load.time, load.daemons.min(self.addresses.len()));
        let mut rng = SmallRng::seed_from_u64(number);
        let is_once = !number.is_multiple_of(2);
        if number >= CLIENTS {
            sleep_until(began, load.wave_at);
        }
        let prefix = if is_once { "/once/" } else { "/plain/" };
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let daemon = rng.random_range(0..daemons);
            let id = format!("{number}-{count}-{daemon}");
            let bytes = request_bytes(&format!("{prefix}{id}/"), &id, "key-1", &[], b"");
            let sent = Instant::now();
            let answer = try_send_raw(self.addresses[daemon], &bytes).ok();
            let request = SentRequest::of(daemon, is_once, sent, answer);
            all.lock().expect("lock").insert(id, request);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }
}

impl SentRequest {
    fn of(daemon: usize, is_once: bool, sent: Instant, answer: Option<RawAnswer>) -> Self {
        let header = |name: &str| answer.as_ref().and_then(|answer| answer.header(name));
        let retry_after = header("retry-after").and_then(|text| text.parse().ok());
        let names_draining = header("server-leaving").is_some();
        let names_limit = header("server-limit").is_some();
        let status =
            answer.as_ref().map_or(0, |answer| if answer.whole { answer.status } else { 0 });
        let answered = Instant::now();
        Self { daemon, is_once, sent, answered, status, retry_after, names_draining, names_limit }
    }

    pub fn is_served(&self) -> bool {
        self.status == 200
    }
}

impl SignalOutcome {
    /// Requests that reached endpoints although their client sent them over 2 s after the daemon had
    /// received the draining signal.
    pub fn late_arrivals(&self) -> usize {
        self.seen(&self.sent_at()).late_arrivals()
    }

    /// Number of back-offs that were asked for, and of those that were not kept.
    pub fn backoffs(&self) -> (usize, usize) {
        self.seen(&self.sent_at()).backoffs()
    }

    /// Result of checking the requests at endpoints that had named a limit.
    pub fn limits(&self) -> LimitOutcome {
        self.seen(&self.sent_at()).limits()
    }

    fn sent_at(&self) -> HashMap<String, SentAt> {
        let sent_at = |request: &SentRequest| SentAt { daemon: request.daemon, at: request.sent };
        let checked = self.sent.iter().filter(|(_, request)| !is_former(request.daemon));
        checked.map(|(id, request)| (id.clone(), sent_at(request))).collect()
    }

    fn seen<'a>(&'a self, sent: &'a HashMap<String, SentAt>) -> SeenSignals<'a> {
        SeenSignals { arrivals: &self.arrivals, sent, disturbances: &self.disturbances }
    }

    /// Requests sent in a span of time since the start of the clients.
    pub fn sent_in(&self, span: std::ops::Range<Duration>) -> Vec<&SentRequest> {
        let span = self.began + span.start..self.began + span.end;
        let checked = self.sent.values().filter(|request| !is_former(request.daemon));
        checked.filter(|request| span.contains(&request.sent)).collect()
    }

    /// Number of requests sent while the endpoints signalled, and those that were not served, by status.
    pub fn not_served(&self) -> (usize, BTreeMap<u16, usize>) {
        let requests = self.sent_in(SIGNALS_FROM..SIGNALS_UNTIL);
        let mut statuses = BTreeMap::new();
        for request in requests.iter().filter(|request| !request.is_served()) {
            *statuses.entry(request.status).or_default() += 1;
        }
        (requests.len(), statuses)
    }

    /// Number of arrivals at each endpoint that signalled, in a span since the start of the clients.
    pub fn arrivals_at_each(&self, span: std::ops::Range<Duration>) -> Vec<usize> {
        let span = self.began + span.start..self.began + span.end;
        let within = |arrivals: &Vec<Arrival>| {
            arrivals.iter().filter(|arrival| span.contains(&arrival.at)).count()
        };
        self.arrivals.iter().map(within).collect()
    }

    /// Number of arrivals at all endpoints that signalled, in a span since the start of the clients.
    pub fn arrivals_in(&self, span: std::ops::Range<Duration>) -> usize {
        let span = self.began + span.start..self.began + span.end;
        let all = self.arrivals.iter().flatten();
        all.filter(|arrival| span.contains(&arrival.at)).count()
    }
}

/// Sleeps until `at` after the start of the clients.
pub fn sleep_until(began: Instant, at: Duration) {
    thread::sleep((began + at).saturating_duration_since(Instant::now()));
}

/// Lets the endpoints send `signal` from `SIGNALS_FROM` to `SIGNALS_UNTIL`.
pub fn signal_for_a_while(signal: EndpointSignal) -> impl FnOnce(&[SignallingEndpoint], Instant) {
    move |endpoints, began| {
        sleep_until(began, SIGNALS_FROM);
        endpoints.iter().for_each(|endpoint| endpoint.set_signal(signal));
        sleep_until(began, SIGNALS_UNTIL);
        endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::None));
    }
}
