//! Soak test under random faults: real daemons, links through loopback proxies, signals, and a
//! platform and endpoints that misbehave, all chosen from a seed. Faults of daemons, of the store and
//! of endpoints overlap with each other and with series of configuration changes. At the same time a
//! client sends a request that crashes the endpoints that run it, responses pause, and some endpoints signal only in
//! their responses that they drain, want a back-off or have a limit. Endpoints of two software versions
//! serve side by side, and clients take streams that have broken off up again at other daemons. Daemons are replaced
//! at other addresses while the seeds of all stay, and endpoints send bytes without end. Brittle
//! endpoints get more requests than they can serve, and start again. Another writer creates odd entries and entries
//! under odd names, in lists of several pages, daemons are
//! suspended during a release, and the times of the configuration that end connections rise and fall. The guarantees
//! are checked against what clients, endpoints and the platform have recorded.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1 cargo test --test gateway soak` runs more seeds, `SOAK_DAEMONS=40`
//! more daemons: above 24 they form several gossip groups.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread::{self, Scope},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    endless_endpoint::Endless,
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, request_bytes, try_send_raw, wait_for},
    leader_tasks::{check_reports, reports},
    link_faults::{LinkFaults, PartitionManner},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
    replaced_seeds::state_of,
    soak_brittle::{BRITTLE_CLIENTS, BrittleTraffic, with_brittle_service},
    soak_clients::{Exchange, SoakClient},
    soak_crashes::{CrashTraffic, with_fragile_service},
    soak_entries::OddEntries,
    soak_pauses::{PauseKinds, check_paused, pause_responses},
    soak_releases::{self, RELEASE_CLIENTS, ReleaseTraffic, with_released_service},
    soak_signals::{SIGNAL_CLIENTS, SIGNALLING_GROUPS, SignalTraffic, with_signalling_service},
    soak_times::{self, BODY_CLIENTS, ClientTimes, KEPT_CLIENTS, TimesTraffic, with_timed_service},
};

/// Most objects on a page of the store's lists.
const PAGE_SIZE: usize = 1;
/// Number of seeds if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 7;
/// Number of daemons if `SOAK_DAEMONS` is not set.
const DEFAULT_DAEMONS: u64 = 3;
const ENDPOINTS: usize = 4;
/// Software versions of the endpoints.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Most streams that may hold events of two versions.
const ALLOWED_MIXED: usize = 2;
const CLIENTS: u64 = 6;
/// Bounds of the retries: the usual ones, and in every other seed few and no reserve, so that few runs are begun beside
/// silent ones.
const RETRY_BOUNDS: [(f64, u32); 2] = [(0.2, 50), (0.05, 0)];
/// Time during which faults are caused.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// How long one fault lasts, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_500;
/// Pause between two faults of one group, in milliseconds.
const PAUSE_MS: Range<u64> = 50..1_200;
/// Number of configuration changes in one series, and the pause after each, in milliseconds.
const SERIES_LENGTH: Range<u64> = 1..12;
const SERIES_PAUSE_MS: Range<u64> = 20..250;
/// How long the store is unreachable before it is restored from a copy.
const STORE_UNREACHABLE_TIME: Duration = Duration::from_millis(200);
/// Time after the restore until the operator and the endpoints repeat the lost writes.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Time after which requests with a dropped key must be refused.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time after the faults during which requests with dropped keys are still sent.
const KEY_CHECK_TIME: Duration = Duration::from_secs(4);
/// How long the links to the endpoints are closed after the faults, so that no connection stays silent.
const RECONNECT_TIME: Duration = Duration::from_millis(100);
/// Time after it until endpoints are used as before.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time during which responses pause beside configuration changes only.
const PAUSE_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests with dropped keys.
const KEY_PAUSE: Duration = Duration::from_millis(40);

/// The part of the deployment that a series of faults affects. Each group has its own thread, so that
/// faults of different groups overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultGroup {
    Daemons,
    Store,
    Endpoints,
    Configuration,
    Seeds,
    Endless,
}

impl FaultGroup {
    const ALL: [Self; 6] = [
        Self::Daemons,
        Self::Store,
        Self::Endpoints,
        Self::Configuration,
        Self::Seeds,
        Self::Endless,
    ];
}

/// A fault; the numbers are indices of daemons, endpoints and foreign entries, and a count of changes.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    StopAndStart(usize),
    /// The daemon is replaced by one at another address; the seeds of all stay those of the start.
    Replace(usize),
    StoreDown,
    StoreLosesAnswers,
    StoreForgets,
    /// The store is restored from a copy whose age is the duration of the fault.
    StoreLost,
    StoreLink(usize, LinkState),
    StoreConnectionsSilent,
    EndpointLink(usize, LinkState),
    EndpointConnectionsSilent(usize),
    /// The daemon reaches no endpoint over new connections.
    Partition(usize, PartitionManner),
    Manner(usize, EndpointManner),
    /// Another writer replaces the endpoint's entry with an invalid one.
    ForeignEntry(usize, usize),
    NewConfigurations(u64),
}

/// Invalid entries, such as no endpoint writes.
const FOREIGN_ENTRIES: [&str; 6] = [
    "{}",
    "null",
    r#"{"service": 5, "address": "127.0.0.1:1"}"#,
    r#"{"service": "pool", "address": "nowhere", "zone": "hall-a", "slots": 8, "state": "ready"}"#,
    r#"{"service": "pool", "address": "127.0.0.1:1", "zone": "hall-a", "slots": 8, "state": "resting"}"#,
    r#"{"service": "pool", "address": "127.0.0.1:1", "zone": "hall-a", "slots": -1, "state": "ready"}"#,
];

impl Fault {
    fn random(group: FaultGroup, daemons: usize, rng: &mut SmallRng) -> Self {
        const MANNERS: [EndpointManner; 12] = [
            EndpointManner::Fail,
            EndpointManner::Full,
            EndpointManner::Other,
            EndpointManner::Lose,
            EndpointManner::Foreign,
            EndpointManner::Surplus,
            EndpointManner::BreakAfter(2),
            EndpointManner::BreakAfter(0),
            EndpointManner::Unframed,
            EndpointManner::UnframedBreakAfter(2),
            EndpointManner::UnframedBreakAfter(0),
            EndpointManner::EndInside(2),
        ];
        let daemon = rng.random_range(0..daemons);
        let endpoint = rng.random_range(0..ENDPOINTS);
        let link = if rng.random_bool(0.5) { LinkState::Silent } else { LinkState::Closed };
        const TROUBLE: [EndpointManner; 4] = [
            EndpointManner::Endless(Endless::InformationalHeads),
            EndpointManner::Endless(Endless::HeadLines),
            EndpointManner::Endless(Endless::Refusal),
            EndpointManner::Malformed,
        ];
        match (group, rng.random_range(0..7)) {
            (FaultGroup::Seeds, _) => Self::Replace(daemon),
            (FaultGroup::Endless, _) => {
                Self::Manner(endpoint, TROUBLE[rng.random_range(0..TROUBLE.len())])
            }
            (FaultGroup::Daemons, 0 | 1) => Self::Kill(daemon),
            (FaultGroup::Daemons, 2 | 3) => Self::Freeze(daemon),
            (FaultGroup::Daemons, _) => Self::StopAndStart(daemon),
            (FaultGroup::Store, 0) => Self::StoreDown,
            (FaultGroup::Store, 1) => Self::StoreLosesAnswers,
            (FaultGroup::Store, 2) => Self::StoreForgets,
            (FaultGroup::Store, 3) => Self::StoreConnectionsSilent,
            (FaultGroup::Store, 4) => Self::StoreLost,
            (FaultGroup::Store, _) => Self::StoreLink(daemon, link),
            (FaultGroup::Endpoints, 0) => Self::EndpointLink(endpoint, link),
            (FaultGroup::Endpoints, 1) => Self::EndpointConnectionsSilent(endpoint),
            (FaultGroup::Endpoints, 2) => {
                Self::ForeignEntry(endpoint, rng.random_range(0..FOREIGN_ENTRIES.len()))
            }
            (FaultGroup::Endpoints, 3) => {
                let is_silent = link == LinkState::Silent;
                let manner =
                    if is_silent { PartitionManner::Silent } else { PartitionManner::NewClosed };
                Self::Partition(daemon, manner)
            }
            (FaultGroup::Endpoints, _) => {
                Self::Manner(endpoint, MANNERS[rng.random_range(0..MANNERS.len())])
            }
            (FaultGroup::Configuration, _) => {
                Self::NewConfigurations(rng.random_range(SERIES_LENGTH))
            }
        }
    }
}

/// A deployment under faults.
struct SoakSite {
    platform: Arc<PlatformStandin>,
    faults: Arc<LinkFaults>,
    crash_traffic: CrashTraffic,
    signal_traffic: SignalTraffic,
    brittle_traffic: BrittleTraffic,
    odd_entries: OddEntries,
    release_traffic: ReleaseTraffic,
    times_traffic: TimesTraffic,
    store_links: Vec<LoopbackProxy>,
    endpoints: Vec<EndpointStandin>,
    endpoint_links: Vec<LoopbackProxy>,
    daemons: Vec<Mutex<Gateway>>,
    newest: Mutex<NewestConfiguration>,
    /// When each version with another key was written; each one drops the key of the one before.
    written_at: Mutex<BTreeMap<u64, Instant>>,
}

/// The configuration that was written last.
#[derive(Clone, Copy, Debug)]
struct NewestConfiguration {
    version: u64,
    /// The version whose key it contains.
    key_version: u64,
    times: ClientTimes,
}

/// Software version of an endpoint, which stands in its events.
fn version_of(place: usize) -> &'static str {
    VERSIONS[place % VERSIONS.len()]
}

/// The key that only this version contains.
fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}

impl SoakSite {
    fn start(daemon_count: usize, retries: (f64, u32)) -> Self {
        let platform = Arc::new(PlatformStandin::start());
        platform.set_page_size(PAGE_SIZE);
        let faults: Arc<LinkFaults> = Arc::default();
        let crash_traffic = CrashTraffic::start(&platform, &faults);
        let signal_traffic = SignalTraffic::start(&platform, &faults);
        let brittle_traffic = BrittleTraffic::start(&platform, &faults);
        let odd_entries = OddEntries::start(&platform);
        let release_traffic = ReleaseTraffic::start(&platform);
        let times_traffic = TimesTraffic::start(&platform);
        let endpoints: Vec<EndpointStandin> = (0..ENDPOINTS)
            .map(|place| EndpointStandin::start(&format!("i-{place}"), EndpointManner::Serve))
            .collect();
        for (place, endpoint) in endpoints.iter().enumerate() {
            endpoint.set_label(version_of(place));
        }
        let link = |endpoint: &EndpointStandin| {
            LoopbackProxy::start_behind(endpoint.address, Arc::clone(&faults))
        };
        let endpoint_links: Vec<LoopbackProxy> = endpoints.iter().map(link).collect();
        let store_links: Vec<LoopbackProxy> =
            (0..daemon_count).map(|_| LoopbackProxy::start(platform.address)).collect();
        let newest = NewestConfiguration { version: 2, key_version: 2, times: ClientTimes::USUAL };
        let mut site = Self {
            platform,
            faults,
            crash_traffic,
            signal_traffic,
            brittle_traffic,
            odd_entries,
            release_traffic,
            times_traffic,
            store_links,
            endpoints,
            endpoint_links,
            daemons: Vec::new(),
            newest: Mutex::new(newest),
            written_at: Mutex::default(),
        };
        site.platform.set_era(1);
        site.write_next_version();
        (0..ENDPOINTS).for_each(|place| site.write_entry(place));
        site.start_daemons(retries);
        site
    }

    /// Starts one daemon behind each link to the store; the first three are the seeds of all.
    fn start_daemons(&mut self, (ratio, slack): (f64, u32)) {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for (place, link) in self.store_links.iter().enumerate() {
            let name = format!("soak-{place}");
            let bounds = json!({"retry-ratio": ratio, "retry-slack": slack});
            let daemon = Gateway::start_at(&name, link.address, &seeds, bounds);
            if seeds.len() < 3 {
                seeds.push(daemon.peers);
            }
            self.daemons.push(Mutex::new(daemon));
        }
        for daemon in &self.daemons {
            daemon.lock().expect("lock").wait_ready();
        }
    }

    /// Causes a fault for `time`, then ends it.
    fn cause(&self, fault: Fault, time: Duration, rng: &mut SmallRng) {
        let daemon = |place: usize| self.daemons[place].lock().expect("lock");
        let from = Instant::now();
        match fault {
            Fault::Kill(place) => daemon(place).kill_and_restart(),
            Fault::Replace(place) => {
                daemon(place).replace();
                thread::sleep(time);
            }
            Fault::Freeze(place) => {
                daemon(place).signal("-STOP");
                thread::sleep(time);
                daemon(place).signal("-CONT");
            }
            Fault::StopAndStart(place) => {
                let mut daemon = daemon(place);
                daemon.signal("-TERM");
                wait_for("end of a daemon that was stopped", || daemon.has_ended());
                daemon.kill_and_restart();
            }
            Fault::StoreDown => {
                self.platform.set_down(true);
                thread::sleep(time);
                self.platform.set_down(false);
            }
            Fault::StoreLosesAnswers => self.platform.lose_answers(2),
            Fault::StoreForgets => self.platform.forget_history(),
            Fault::StoreLost => self.lose_writes(time),
            Fault::StoreLink(place, state) => set_for(&self.store_links[place], state, time),
            Fault::StoreConnectionsSilent => {
                self.store_links.iter().for_each(LoopbackProxy::silence_open);
            }
            Fault::EndpointLink(place, state) => set_for(&self.endpoint_links[place], state, time),
            Fault::EndpointConnectionsSilent(place) => self.endpoint_links[place].silence_open(),
            Fault::Partition(place, manner) => {
                let process = daemon(place).process_id();
                self.faults.partition(&[process], manner);
                thread::sleep(time);
                self.faults.heal();
            }
            Fault::Manner(place, manner) => {
                self.endpoints[place].set(manner);
                thread::sleep(time);
                self.endpoints[place].set(EndpointManner::Serve);
            }
            Fault::ForeignEntry(place, entry) => {
                let invalid = serde_json::from_str(FOREIGN_ENTRIES[entry]).expect("JSON");
                self.platform.put("servers", &self.endpoints[place].id, invalid);
                thread::sleep(time);
                self.write_entry(place);
            }
            Fault::NewConfigurations(count) => self.write_versions(count, rng),
        }
        if let Fault::Kill(place)
        | Fault::Replace(place)
        | Fault::Freeze(place)
        | Fault::StopAndStart(place) = fault
        {
            self.record_disturbance(place, from);
        }
        if let Fault::Kill(place) | Fault::Replace(place) | Fault::StopAndStart(place) = fault {
            self.times_traffic.record_end(place, from);
        }
    }

    fn record_disturbance(&self, place: usize, from: Instant) {
        self.signal_traffic.record_disturbance(place, from);
        self.brittle_traffic.record_disturbance(place, from);
    }

    /// Suspends random daemons until then.
    fn suspend_daemons(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(soak_releases::SEED_OFFSET + seed * 10);
        while Instant::now() < until {
            let place = rng.random_range(0..self.daemons.len());
            let time = Duration::from_millis(rng.random_range(soak_releases::SUSPENDED_MS));
            println!("seed {seed}: daemon {place} is suspended for {time:?}");
            self.suspend(place, time);
            thread::sleep(Duration::from_millis(rng.random_range(soak_releases::RUNNING_MS)));
        }
    }

    fn suspend(&self, place: usize, time: Duration) {
        // Kept for this time: a daemon that is to stop has to run.
        let daemon = self.daemons[place].lock().expect("lock");
        let from = Instant::now();
        daemon.signal("-STOP");
        thread::sleep(time);
        daemon.signal("-CONT");
        drop(daemon);
        self.record_disturbance(place, from);
    }

    /// Sends signals to read the settings again to random daemons until then.
    fn reload_daemons(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(soak_times::SEED_OFFSET + seed * 10);
        while Instant::now() < until {
            let place = rng.random_range(0..self.daemons.len());
            let daemon = self.daemons[place].lock().expect("lock");
            if handles_reload_signal(daemon.process_id()) {
                daemon.signal("-HUP");
            }
            drop(daemon);
            thread::sleep(Duration::from_millis(rng.random_range(soak_times::RELOAD_MS)));
        }
    }

    /// Changes the times of the configuration that end connections until then, and restores them.
    fn change_times(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(soak_times::SEED_OFFSET + seed * 10 + 1);
        while Instant::now() < until {
            self.write_times(ClientTimes::random(&mut rng));
            thread::sleep(Duration::from_millis(rng.random_range(soak_times::CHANGE_MS)));
        }
        self.write_times(ClientTimes::USUAL);
    }

    fn lose_writes(&self, age: Duration) {
        self.platform.copy_contents();
        thread::sleep(age);
        self.platform.set_down(true);
        thread::sleep(STORE_UNREACHABLE_TIME);
        let lost = self.platform.lose_writes();
        self.platform.set_down(false);
        thread::sleep(REWRITE_DELAY);
        self.platform.write_again(lost);
    }

    /// Writes the entry of an endpoint as the endpoint itself does.
    fn write_entry(&self, place: usize) {
        let entry = json!({
            "service": "pool", "address": self.endpoint_links[place].address, "zone": "hall-a",
            "version": version_of(place), "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        self.platform.put("servers", &self.endpoints[place].id, entry);
    }

    fn write_versions(&self, count: u64, rng: &mut SmallRng) {
        for _ in 0..count {
            self.write_next_version();
            thread::sleep(Duration::from_millis(rng.random_range(SERIES_PAUSE_MS)));
        }
    }

    /// Writes the next version, which has its own key; returns its number.
    fn write_next_version(&self) -> u64 {
        let mut newest = self.newest.lock().expect("lock");
        newest.version += 1;
        newest.key_version = newest.version;
        self.put_configuration(*newest);
        self.written_at.lock().expect("lock").insert(newest.version, Instant::now());
        newest.version
    }

    /// Writes the next version, which has other times than the newest one and the same keys.
    fn write_times(&self, times: ClientTimes) {
        let mut newest = self.newest.lock().expect("lock");
        newest.version += 1;
        newest.times = times;
        self.put_configuration(*newest);
    }

    fn put_configuration(&self, newest: NewestConfiguration) {
        let keys = ["key-1", &version_key(newest.key_version)];
        let written = with_fragile_service(configuration(newest.version, &keys));
        let written = with_brittle_service(with_signalling_service(written));
        let written = with_timed_service(with_released_service(written));
        self.platform.put("config", "main", newest.times.set_in(written));
    }

    /// The newest version whose key was dropped at least `REVOKE_LIMIT` ago.
    fn newest_revoked(&self) -> Option<u64> {
        let written_at = self.written_at.lock().expect("lock");
        let is_old = |(_, at): &(&u64, &Instant)| at.elapsed() >= REVOKE_LIMIT;
        let (successor, _) = written_at.iter().rev().find(is_old)?;
        written_at.range(..successor).next_back().map(|(version, _)| *version)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.lock().expect("lock").clients).collect()
    }
}

/// Whether a process handles SIGHUP, which ends it otherwise: one that has just started may not yet.
fn handles_reload_signal(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let handled = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = handled.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    // The lowest bit is that of signal 1, SIGHUP.
    mask.is_some_and(|mask| mask & 1 == 1)
}

fn set_for(link: &LoopbackProxy, state: LinkState, time: Duration) {
    link.set(state);
    thread::sleep(time);
    link.set(LinkState::Open);
}

/// How often endpoints have run each request, by its id.
fn runs_by_id(site: &SoakSite) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let endpoints = site.endpoints.iter().chain([site.odd_entries.pool_endpoint()]);
    let requests = endpoints.flat_map(|endpoint| endpoint.seen());
    // Health checks come from daemons that reach no endpoint, and belong to no account.
    for request in requests.filter(|request| request.line != "GET /health HTTP/1.1") {
        assert_eq!(
            request.header("x-tenant"),
            Some("reader"),
            "client account of {}",
            request.line
        );
        assert_eq!(
            request.header("authorization"),
            None,
            "client key forwarded with {}",
            request.line
        );
        if request.ran {
            *runs.entry(request.id().to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Sends requests with dropped keys to all daemons in turn and checks that none is served.
fn check_dropped_keys(site: &SoakSite, addresses: &[SocketAddr], until: Instant) {
    for (number, address) in addresses.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        thread::sleep(KEY_PAUSE);
        let Some(version) = site.newest_revoked() else { continue };
        let (id, key) = (format!("dropped-{number}"), version_key(version));
        let bytes = request_bytes("/plain/dropped/", &id, &key, &[], b"");
        let Ok(answer) = try_send_raw(*address, &bytes) else { continue };
        assert_ne!(
            answer.status, 200,
            "dropped key of version {version} was accepted by {address}"
        );
    }
}

/// Causes random faults of one group until then.
fn cause_faults(site: &SoakSite, group: FaultGroup, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed * 10 + group as u64);
    while Instant::now() < until {
        let fault = Fault::random(group, site.daemons.len(), &mut rng);
        let time = Duration::from_millis(rng.random_range(FAULT_MS));
        println!("seed {seed}: {fault:?} for {time:?}");
        site.cause(fault, time, &mut rng);
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}

fn play(seed: u64, daemon_count: usize) {
    let site = SoakSite::start(daemon_count, RETRY_BOUNDS[(seed % 2) as usize]);
    let exchanges = Mutex::new(Vec::new());
    let until = Instant::now() + FAULT_TIME;
    let addresses = site.addresses();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (addresses, exchanges) = (&addresses, &exchanges);
            scope.spawn(move || SoakClient::new(number, seed).run(addresses, until, exchanges));
        }
        let (crashes, addresses) = (&site.crash_traffic, &addresses);
        scope.spawn(move || crashes.run_crashing_client(addresses, until, seed));
        scope.spawn(move || crashes.run_harmless_client(addresses, until, seed));
        let signals = &site.signal_traffic;
        for group in 0..SIGNALLING_GROUPS {
            scope.spawn(move || signals.run_signalling_group(group, until, seed));
        }
        for number in 0..SIGNAL_CLIENTS {
            scope.spawn(move || signals.run_client(number, addresses, until, seed));
        }
        let brittle = &site.brittle_traffic;
        for number in 0..BRITTLE_CLIENTS {
            scope.spawn(move || brittle.run_client(number, addresses, until, seed));
        }
        scope.spawn(move || brittle.start_endpoints_again(until, seed));
        let key_site = &site;
        scope.spawn(move || check_dropped_keys(key_site, addresses, until + KEY_CHECK_TIME));
        for group in FaultGroup::ALL {
            let site = &site;
            scope.spawn(move || cause_faults(site, group, seed, until));
        }
        let endpoints = &site.endpoints;
        scope.spawn(move || pause_responses(endpoints, PauseKinds::All, seed, until));
        scope.spawn(|| site.odd_entries.write_entries(until, seed));
        scope.spawn(|| site.odd_entries.write_odd_names(until, seed));
        play_release(scope, &site, addresses, until, seed);
        play_times(scope, &site, addresses, until, seed);
    });
    for (place, address) in addresses.iter().enumerate() {
        let bytes = request_bytes("/plain/after/", &format!("after-{place}"), "key-1", &[], b"");
        wait_for("a served request after the faults", || {
            try_send_raw(*address, &bytes).is_ok_and(|answer| answer.status == 200)
        });
    }
    check_contact(&site);
    site.crash_traffic.check();
    site.signal_traffic.check();
    site.brittle_traffic.check();
    site.release_traffic.check();
    site.times_traffic.check();
    site.odd_entries.check_odd_names();
    check_configuration(&site, &addresses);
    let paused = play_pauses(&site, &addresses, seed);
    check_paused(&paused);
    let mut exchanges = exchanges.into_inner().expect("lock");
    exchanges.extend(paused);
    check(&site, &exchanges);
}

/// Replaces a version while daemons are suspended and clients get streams.
fn play_release<'scope>(
    scope: &'scope Scope<'scope, '_>,
    site: &'scope SoakSite,
    addresses: &'scope [SocketAddr],
    until: Instant,
    seed: u64,
) {
    let release = &site.release_traffic;
    scope.spawn(move || site.suspend_daemons(until, seed));
    scope.spawn(move || release.run_release(seed));
    for number in 0..RELEASE_CLIENTS {
        scope.spawn(move || release.run_client(number, addresses, until, seed));
    }
}

/// Changes the times that end connections while clients have connections at rest or send long bodies.
fn play_times<'scope>(
    scope: &'scope Scope<'scope, '_>,
    site: &'scope SoakSite,
    addresses: &'scope [SocketAddr],
    until: Instant,
    seed: u64,
) {
    let times = &site.times_traffic;
    scope.spawn(move || site.change_times(until, seed));
    scope.spawn(move || site.reload_daemons(until, seed));
    for number in 0..KEPT_CLIENTS {
        scope.spawn(move || times.run_kept_client(number, addresses, until, seed));
    }
    for number in 0..BODY_CLIENTS {
        scope.spawn(move || times.run_body_client(number, addresses, until, seed));
    }
}

/// Checks that all daemons find each other again, although their seeds may have been replaced.
fn check_contact(site: &SoakSite) {
    for daemon in &site.daemons {
        wait_for("reports of all daemons", || {
            state_of(&daemon.lock().expect("lock"))["daemons_heard"] == json!(site.daemons.len())
        });
    }
}

/// Lets responses pause beside configuration changes only; returns what the clients got. In every other seed, one
/// endpoint of each version marks no ends.
fn play_pauses(site: &SoakSite, addresses: &[SocketAddr], seed: u64) -> Vec<Exchange> {
    let unframed = if seed.is_multiple_of(2) { &site.endpoints[VERSIONS.len()..] } else { &[] };
    unframed.iter().for_each(|endpoint| endpoint.set(EndpointManner::Unframed));
    let set_links = |state| site.endpoint_links.iter().for_each(|link| link.set(state));
    set_links(LinkState::Closed);
    thread::sleep(RECONNECT_TIME);
    set_links(LinkState::Open);
    thread::sleep(SETTLE_TIME);
    let exchanges = Mutex::new(Vec::new());
    let until = Instant::now() + PAUSE_TIME;
    thread::scope(|scope| {
        for number in CLIENTS..2 * CLIENTS {
            let exchanges = &exchanges;
            scope.spawn(move || SoakClient::new(number, seed).run(addresses, until, exchanges));
        }
        scope.spawn(move || pause_responses(&site.endpoints, PauseKinds::Ending, seed, until));
        scope.spawn(move || cause_faults(site, FaultGroup::Configuration, seed, until));
    });
    unframed.iter().for_each(|endpoint| endpoint.set(EndpointManner::Serve));
    exchanges.into_inner().expect("lock")
}

/// Checks that after a series of changes every daemon serves by the last one and does not go back to
/// an older one.
fn check_configuration(site: &SoakSite, addresses: &[SocketAddr]) {
    site.write_versions(SERIES_LENGTH.end, &mut SmallRng::seed_from_u64(1));
    let version = site.write_next_version();
    let is_served = |address: SocketAddr, id: &str| {
        ask(address, "/plain/after/", id, &version_key(version), &[], b"").status == 200
    };
    for (place, address) in addresses.iter().enumerate() {
        wait_for("the newest configuration", || is_served(*address, &format!("after-new-{place}")));
    }
    for (place, address) in addresses.iter().enumerate() {
        assert!(
            is_served(*address, &format!("after-again-{place}")),
            "{address} went back to an older configuration"
        );
    }
}

fn check(site: &SoakSite, exchanges: &[Exchange]) {
    let runs = runs_by_id(site);
    let sent: HashSet<&str> = exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
    for id in runs.keys() {
        let is_known = sent.contains(id.as_str()) || id.starts_with("after-");
        assert!(is_known, "endpoints ran {id}, which was never sent");
    }
    for exchange in exchanges {
        exchange.check(runs.get(&exchange.id).copied().unwrap_or(0));
    }
    let served = exchanges.iter().filter(|exchange| exchange.is_served()).count();
    println!("{served} of {} requests served", exchanges.len());
    assert!(served * 4 > exchanges.len(), "only {served} of {} requests served", exchanges.len());
    check_versions(exchanges);
    check_reports(&reports(&site.platform));
}

/// Checks that streams hold events of one version, over all tries of a client.
fn check_versions(exchanges: &[Exchange]) {
    let mut versions: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for exchange in exchanges.iter().filter(|exchange| exchange.kind.is_stream()) {
        versions.entry(&exchange.stream).or_default().extend(exchange.versions());
    }
    let mixed: Vec<_> = versions.iter().filter(|(_, versions)| versions.len() > 1).collect();
    let taken_up: Vec<_> = exchanges.iter().filter(|exchange| exchange.after > 0).collect();
    let gone_on = taken_up.iter().filter(|exchange| exchange.has_begun()).count();
    println!("{gone_on} of {} streams taken up go on, {} mixed", taken_up.len(), mixed.len());
    assert!(mixed.len() <= ALLOWED_MIXED, "streams of two versions: {mixed:?}");
}

pub fn number_from(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[googletest::test]
fn guarantees_hold_under_faults_of_a_seed() {
    let first = number_from("SOAK_FIRST", 1);
    let daemons = number_from("SOAK_DAEMONS", DEFAULT_DAEMONS) as usize;
    for seed in first..first + number_from("SOAK_SEEDS", DEFAULT_SEEDS) {
        play(seed, daemons);
    }
}
