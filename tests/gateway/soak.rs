//! Soak under faults: real daemons, links through loopback proxies, signals, a platform and
//! endpoints that misbehave; all drawn from a seed. Faults of daemons, of links, of endpoints and
//! changes of the configuration come in series and overlap, beside a request that crashes the
//! endpoints that run it, and endpoints that only say in their responses that they drain or want a
//! back-off. What must always hold is checked from what clients, endpoints and the
//! platform have seen.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1 cargo test --test gateway soak` plays more seeds, `SOAK_DAEMONS=40`
//! with more daemons: above 24 they fall into several gossip groups.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, request_bytes, try_send_raw, wait_for},
    leader_tasks::{check_reports, reports},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
    soak_clients::{Exchange, SoakClient},
    soak_crashes::{CrashTraffic, with_fragile_service},
    soak_signals::{SIGNAL_CLIENTS, SIGNALLING_GROUPS, SignalTraffic, with_signalling_service},
};

/// Seeds played where the environment names no number.
const USUAL_SEEDS: u64 = 7;
/// Daemons where the environment names no number.
const USUAL_DAEMONS: u64 = 3;
const ENDPOINTS: usize = 4;
const CLIENTS: u64 = 6;
/// Time during which faults are caused.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// How long one fault lasts, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_500;
/// Pause between two faults of one kind, in milliseconds.
const PAUSE_MS: Range<u64> = 50..1_200;
/// Changes of the configuration in one series, and the pause between two, in milliseconds.
const SERIES: Range<u64> = 1..12;
const SERIES_PAUSE_MS: Range<u64> = 20..250;
/// How long the store is away before it is restored from a copy.
const STORE_AWAY: Duration = Duration::from_millis(200);
/// Time after which operator and endpoints write again what it has lost.
const WRITE_AGAIN_TIME: Duration = Duration::from_millis(300);
/// Time after which a key that was dropped lets no request through any more.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which dropped keys are tried after the faults.
const KEYS_TRIED_FOR: Duration = Duration::from_secs(4);
/// Pause between two requests with dropped keys.
const KEY_PAUSE: Duration = Duration::from_millis(40);

/// What a series of faults strikes. Each has a thread of its own, so that they overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultLane {
    Daemons,
    Store,
    Endpoints,
    Configuration,
}

impl FaultLane {
    const ALL: [Self; 4] = [Self::Daemons, Self::Store, Self::Endpoints, Self::Configuration];
}

/// A fault; the numbers are places of daemons and endpoints.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    StopAndStart(usize),
    StoreDown,
    StoreLosesAnswers,
    StoreForgets,
    /// The store is restored from a copy that is as old as the fault is long.
    StoreLost,
    StoreLink(usize, LinkState),
    StoreConnectionsSilent,
    EndpointLink(usize, LinkState),
    EndpointConnectionsSilent(usize),
    Manner(usize, EndpointManner),
    /// Another writer spoils the endpoint's entry.
    ForeignEntry(usize, usize),
    NewConfigurations(u64),
}

/// Entries that no endpoint writes.
const FOREIGN_ENTRIES: [&str; 6] = [
    "{}",
    "null",
    r#"{"service": 5, "address": "127.0.0.1:1"}"#,
    r#"{"service": "pool", "address": "nowhere", "zone": "hall-a", "slots": 8, "state": "ready"}"#,
    r#"{"service": "pool", "address": "127.0.0.1:1", "zone": "hall-a", "slots": 8, "state": "resting"}"#,
    r#"{"service": "pool", "address": "127.0.0.1:1", "zone": "hall-a", "slots": -1, "state": "ready"}"#,
];

impl Fault {
    fn draw(lane: FaultLane, daemons: usize, rng: &mut SmallRng) -> Self {
        const MANNERS: [EndpointManner; 8] = [
            EndpointManner::Fail,
            EndpointManner::Full,
            EndpointManner::Other,
            EndpointManner::Lose,
            EndpointManner::Foreign,
            EndpointManner::Surplus,
            EndpointManner::BreakAfter(2),
            EndpointManner::BreakAfter(0),
        ];
        let daemon = rng.random_range(0..daemons);
        let endpoint = rng.random_range(0..ENDPOINTS);
        let link = if rng.random_bool(0.5) { LinkState::Silent } else { LinkState::Closed };
        match (lane, rng.random_range(0..7)) {
            (FaultLane::Daemons, 0 | 1) => Self::Kill(daemon),
            (FaultLane::Daemons, 2 | 3) => Self::Freeze(daemon),
            (FaultLane::Daemons, _) => Self::StopAndStart(daemon),
            (FaultLane::Store, 0) => Self::StoreDown,
            (FaultLane::Store, 1) => Self::StoreLosesAnswers,
            (FaultLane::Store, 2) => Self::StoreForgets,
            (FaultLane::Store, 3) => Self::StoreConnectionsSilent,
            (FaultLane::Store, 4) => Self::StoreLost,
            (FaultLane::Store, _) => Self::StoreLink(daemon, link),
            (FaultLane::Endpoints, 0) => Self::EndpointLink(endpoint, link),
            (FaultLane::Endpoints, 1) => Self::EndpointConnectionsSilent(endpoint),
            (FaultLane::Endpoints, 2) => {
                Self::ForeignEntry(endpoint, rng.random_range(0..FOREIGN_ENTRIES.len()))
            }
            (FaultLane::Endpoints, _) => {
                Self::Manner(endpoint, MANNERS[rng.random_range(0..MANNERS.len())])
            }
            (FaultLane::Configuration, _) => Self::NewConfigurations(rng.random_range(SERIES)),
        }
    }
}

/// A deployment under faults.
struct SoakSite {
    platform: Arc<PlatformStandin>,
    crash_traffic: CrashTraffic,
    signal_traffic: SignalTraffic,
    store_links: Vec<LoopbackProxy>,
    endpoints: Vec<EndpointStandin>,
    endpoint_links: Vec<LoopbackProxy>,
    daemons: Vec<Mutex<Gateway>>,
    version: AtomicU64,
    /// When each version was written, which drops the key of the one before.
    written_at: Mutex<BTreeMap<u64, Instant>>,
}

/// Key that came with a version.
fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}

impl SoakSite {
    fn start(daemon_count: usize) -> Self {
        let platform = Arc::new(PlatformStandin::start());
        let crash_traffic = CrashTraffic::start(&platform);
        let signal_traffic = SignalTraffic::start(&platform);
        let endpoints: Vec<EndpointStandin> = (0..ENDPOINTS)
            .map(|place| EndpointStandin::start(&format!("i-{place}"), EndpointManner::Serve))
            .collect();
        let links = endpoints.iter().map(|endpoint| LoopbackProxy::start(endpoint.address));
        let endpoint_links: Vec<LoopbackProxy> = links.collect();
        let store_links: Vec<LoopbackProxy> =
            (0..daemon_count).map(|_| LoopbackProxy::start(platform.address)).collect();
        let version = AtomicU64::new(2);
        let mut site = Self {
            platform,
            crash_traffic,
            signal_traffic,
            store_links,
            endpoints,
            endpoint_links,
            daemons: Vec::new(),
            version,
            written_at: Mutex::default(),
        };
        site.platform.set_era(1);
        site.write_next_version();
        (0..ENDPOINTS).for_each(|place| site.write_entry(place));
        site.start_daemons();
        site
    }

    /// Starts one daemon behind each link to the store; the first three are everyone's seeds.
    fn start_daemons(&mut self) {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for (place, link) in self.store_links.iter().enumerate() {
            let name = format!("soak-{place}");
            let daemon = Gateway::start_at(&name, link.address, &seeds, json!({}));
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
            Fault::StoreLink(place, state) => hold(&self.store_links[place], state, time),
            Fault::StoreConnectionsSilent => {
                self.store_links.iter().for_each(LoopbackProxy::silence_open);
            }
            Fault::EndpointLink(place, state) => hold(&self.endpoint_links[place], state, time),
            Fault::EndpointConnectionsSilent(place) => self.endpoint_links[place].silence_open(),
            Fault::Manner(place, manner) => {
                self.endpoints[place].set(manner);
                thread::sleep(time);
                self.endpoints[place].set(EndpointManner::Serve);
            }
            Fault::ForeignEntry(place, entry) => {
                let spoilt = serde_json::from_str(FOREIGN_ENTRIES[entry]).expect("JSON");
                self.platform.put("servers", &self.endpoints[place].id, spoilt);
                thread::sleep(time);
                self.write_entry(place);
            }
            Fault::NewConfigurations(count) => self.write_versions(count, rng),
        }
        if let Fault::Kill(place) | Fault::Freeze(place) | Fault::StopAndStart(place) = fault {
            self.signal_traffic.disturbed(place, from);
        }
    }

    fn lose_writes(&self, age: Duration) {
        self.platform.copy_contents();
        thread::sleep(age);
        self.platform.set_down(true);
        thread::sleep(STORE_AWAY);
        let lost = self.platform.lose_writes();
        self.platform.set_down(false);
        thread::sleep(WRITE_AGAIN_TIME);
        self.platform.write_again(lost);
    }

    /// Writes the entry of an endpoint as it does itself.
    fn write_entry(&self, place: usize) {
        let entry = json!({
            "service": "pool", "address": self.endpoint_links[place].address, "zone": "hall-a",
            "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        self.platform.put("servers", &self.endpoints[place].id, entry);
    }

    fn write_versions(&self, count: u64, rng: &mut SmallRng) {
        for _ in 0..count {
            self.write_next_version();
            thread::sleep(Duration::from_millis(rng.random_range(SERIES_PAUSE_MS)));
        }
    }

    /// Writes a version with a key of its own; returns its number.
    fn write_next_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let written = configuration(version, &["key-1", &version_key(version)]);
        self.platform.put("config", "main", with_signalling_service(with_fragile_service(written)));
        self.written_at.lock().expect("lock").insert(version, Instant::now());
        version
    }

    /// The newest version whose key was dropped so long ago that it may let no request through.
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

fn hold(link: &LoopbackProxy, state: LinkState, time: Duration) {
    link.set(state);
    thread::sleep(time);
    link.set(LinkState::Open);
}

/// What endpoints have run, by the id of the request.
fn runs_by_id(site: &SoakSite) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for request in site.endpoints.iter().flat_map(|endpoint| endpoint.seen()) {
        assert_eq!(request.header("x-tenant"), Some("reader"), "{}", request.line);
        assert_eq!(request.header("authorization"), None, "{}", request.line);
        if request.ran {
            *runs.entry(request.id().to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Tries dropped keys at all daemons in turn; none may let a request through.
fn try_dropped_keys(site: &SoakSite, addresses: &[SocketAddr], until: Instant) {
    for (number, address) in addresses.iter().cycle().enumerate() {
        if Instant::now() >= until {
            break;
        }
        thread::sleep(KEY_PAUSE);
        let Some(version) = site.newest_revoked() else { continue };
        let (id, key) = (format!("dropped-{number}"), version_key(version));
        let bytes = request_bytes("/plain/dropped/", &id, &key, &[], b"");
        let Ok(answer) = try_send_raw(*address, &bytes) else { continue };
        assert_ne!(answer.status, 200, "key of version {version} at {address}");
    }
}

/// Faults of one lane until the time is over.
fn cause_faults(site: &SoakSite, lane: FaultLane, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed * 10 + lane as u64);
    while Instant::now() < until {
        let fault = Fault::draw(lane, site.daemons.len(), &mut rng);
        let time = Duration::from_millis(rng.random_range(FAULT_MS));
        println!("seed {seed}: {fault:?} for {time:?}");
        site.cause(fault, time, &mut rng);
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}

fn play(seed: u64, daemon_count: usize) {
    let site = SoakSite::start(daemon_count);
    let exchanges = Mutex::new(Vec::new());
    let until = Instant::now() + FAULT_TIME;
    let addresses = site.addresses();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (addresses, exchanges) = (&addresses, &exchanges);
            scope.spawn(move || SoakClient::new(number, seed).run(addresses, until, exchanges));
        }
        let (lane, addresses) = (&site.crash_traffic, &addresses);
        scope.spawn(move || lane.crash(addresses, until, seed));
        scope.spawn(move || lane.ask(addresses, until, seed));
        let lane = &site.signal_traffic;
        for group in 0..SIGNALLING_GROUPS {
            scope.spawn(move || lane.speak(group, until, seed));
        }
        for number in 0..SIGNAL_CLIENTS {
            scope.spawn(move || lane.ask(number, addresses, until, seed));
        }
        let site_of_keys = &site;
        scope.spawn(move || try_dropped_keys(site_of_keys, addresses, until + KEYS_TRIED_FOR));
        for lane in FaultLane::ALL {
            let site = &site;
            scope.spawn(move || cause_faults(site, lane, seed, until));
        }
    });
    for (place, address) in addresses.iter().enumerate() {
        let bytes = request_bytes("/plain/after/", &format!("after-{place}"), "key-1", &[], b"");
        wait_for("service after the faults", || {
            try_send_raw(*address, &bytes).is_ok_and(|answer| answer.status == 200)
        });
    }
    site.crash_traffic.check();
    site.signal_traffic.check();
    check_configuration(&site, &addresses);
    check(&site, &exchanges.into_inner().expect("lock"));
}

/// After a series of changes every daemon serves by the last one, and keeps to it.
fn check_configuration(site: &SoakSite, addresses: &[SocketAddr]) {
    site.write_versions(SERIES.end, &mut SmallRng::seed_from_u64(1));
    let version = site.write_next_version();
    let is_served = |address: SocketAddr, id: &str| {
        ask(address, "/plain/after/", id, &version_key(version), &[], b"").status == 200
    };
    for (place, address) in addresses.iter().enumerate() {
        wait_for("the newest configuration", || is_served(*address, &format!("after-new-{place}")));
    }
    for (place, address) in addresses.iter().enumerate() {
        assert!(is_served(*address, &format!("after-again-{place}")), "{address} went back");
    }
}

fn check(site: &SoakSite, exchanges: &[Exchange]) {
    let runs = runs_by_id(site);
    let sent: HashSet<&str> = exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
    for id in runs.keys() {
        let is_known = sent.contains(id.as_str()) || id.starts_with("after-");
        assert!(is_known, "{id} was never sent");
    }
    for exchange in exchanges {
        exchange.check(runs.get(&exchange.id).copied().unwrap_or(0));
    }
    let served = exchanges.iter().filter(|exchange| exchange.is_served()).count();
    println!("{served} of {} served", exchanges.len());
    assert!(served * 4 > exchanges.len(), "{served} of {} served", exchanges.len());
    check_reports(&reports(&site.platform));
}

fn number_from(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[googletest::test]
fn promises_hold_under_faults_of_a_seed() {
    let first = number_from("SOAK_FIRST", 1);
    let daemons = number_from("SOAK_DAEMONS", USUAL_DAEMONS) as usize;
    for seed in first..first + number_from("SOAK_SEEDS", USUAL_SEEDS) {
        play(seed, daemons);
    }
}
