//! Soak under faults: real daemons, links through loopback proxies, signals, a platform and
//! endpoints that misbehave; all drawn from a seed. What must always hold is checked from what
//! clients, endpoints and the platform have seen.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1 cargo test --test gateway soak` plays more seeds.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, RawAnswer, configuration, request_bytes, try_send_raw, wait_for},
    leader_tasks::{check_reports, reports},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
};

/// Seeds played where the environment names no number.
const USUAL_SEEDS: u64 = 2;
const DAEMONS: usize = 3;
const ENDPOINTS: usize = 4;
const CLIENTS: u64 = 6;
/// Time during which faults are caused.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// How long one fault lasts, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_500;
/// Pause between two faults, in milliseconds.
const PAUSE_MS: Range<u64> = 50..400;
/// Pause between two requests of one client, in milliseconds.
const THINK_MS: Range<u64> = 5..30;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Plain,
    Once,
    Stream,
    Rigid,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Plain, Self::Once, Self::Stream, Self::Rigid];

    fn prefix(self) -> &'static str {
        match self {
            Self::Plain => "/plain/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Rigid => "/rigid/",
        }
    }

    fn may_repeat(self) -> bool {
        matches!(self, Self::Plain | Self::Stream)
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Rigid)
    }
}

/// A request and what came of it; no answer where the connection did not come up or broke.
struct Exchange {
    id: String,
    kind: RequestKind,
    answer: Option<RawAnswer>,
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
    StoreLink(usize, LinkState),
    EndpointLink(usize, LinkState),
    Manner(usize, EndpointManner),
    NewConfiguration,
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
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
        let daemon = rng.random_range(0..DAEMONS);
        let endpoint = rng.random_range(0..ENDPOINTS);
        let link = if rng.random_bool(0.5) { LinkState::Silent } else { LinkState::Closed };
        match rng.random_range(0..10) {
            0 => Self::Kill(daemon),
            1 => Self::Freeze(daemon),
            2 => Self::StopAndStart(daemon),
            3 => Self::StoreDown,
            4 => Self::StoreLosesAnswers,
            5 => Self::StoreForgets,
            6 => Self::StoreLink(daemon, link),
            7 => Self::EndpointLink(endpoint, link),
            8 => Self::Manner(endpoint, MANNERS[rng.random_range(0..MANNERS.len())]),
            _ => Self::NewConfiguration,
        }
    }
}

/// A deployment under faults.
struct SoakSite {
    platform: PlatformStandin,
    store_links: Vec<LoopbackProxy>,
    endpoints: Vec<EndpointStandin>,
    endpoint_links: Vec<LoopbackProxy>,
    daemons: Vec<Gateway>,
    version: u64,
}

impl SoakSite {
    fn start() -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let endpoints: Vec<EndpointStandin> = (0..ENDPOINTS)
            .map(|place| EndpointStandin::start(&format!("i-{place}"), EndpointManner::Serve))
            .collect();
        let links = endpoints.iter().map(|endpoint| LoopbackProxy::start(endpoint.address));
        let endpoint_links: Vec<LoopbackProxy> = links.collect();
        for (endpoint, link) in endpoints.iter().zip(&endpoint_links) {
            let entry = json!({
                "service": "pool", "address": link.address, "zone": "hall-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
            });
            platform.put("servers", &endpoint.id, entry);
        }
        let store_links: Vec<LoopbackProxy> =
            (0..DAEMONS).map(|_| LoopbackProxy::start(platform.address)).collect();
        let mut daemons: Vec<Gateway> = Vec::new();
        for (place, link) in store_links.iter().enumerate() {
            let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.peers).collect();
            let name = format!("soak-{place}");
            daemons.push(Gateway::start_at(&name, link.address, &seeds, json!({})));
        }
        for daemon in &daemons {
            daemon.wait_ready();
        }
        Self { platform, store_links, endpoints, endpoint_links, daemons, version: 3 }
    }

    /// Causes a fault for `time`, then ends it.
    fn cause(&mut self, fault: Fault, time: Duration) {
        match fault {
            Fault::Kill(place) => self.daemons[place].kill_and_restart(),
            Fault::Freeze(place) => {
                self.daemons[place].signal("-STOP");
                thread::sleep(time);
                self.daemons[place].signal("-CONT");
            }
            Fault::StopAndStart(place) => {
                self.daemons[place].signal("-TERM");
                let daemon = &mut self.daemons[place];
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
            Fault::StoreLink(place, state) => hold(&self.store_links[place], state, time),
            Fault::EndpointLink(place, state) => hold(&self.endpoint_links[place], state, time),
            Fault::Manner(place, manner) => {
                self.endpoints[place].set(manner);
                thread::sleep(time);
                self.endpoints[place].set(EndpointManner::Serve);
            }
            Fault::NewConfiguration => {
                self.version += 1;
                let written = configuration(self.version, &["key-1"]);
                self.platform.put("config", "main", written);
            }
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.clients).collect()
    }
}

fn hold(link: &LoopbackProxy, state: LinkState, time: Duration) {
    link.set(state);
    thread::sleep(time);
    link.set(LinkState::Open);
}

/// One client: asks for something of a random daemon, again and again.
fn run_client(
    number: u64,
    seed: u64,
    addresses: &[SocketAddr],
    until: Instant,
    exchanges: &Mutex<Vec<Exchange>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + number);
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = format!("{number}-{count}");
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let address = addresses[rng.random_range(0..addresses.len())];
        let path = format!("{}{id}/", kind.prefix());
        let bytes = request_bytes(&path, &id, "key-1", &[], b"");
        let answer = try_send_raw(address, &bytes).ok();
        exchanges.lock().expect("lock").push(Exchange { id, kind, answer });
        thread::sleep(Duration::from_millis(rng.random_range(THINK_MS)));
    }
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

fn check_exchange(exchange: &Exchange, runs: usize) {
    let Exchange { id, kind, answer } = exchange;
    if !kind.may_repeat() {
        assert!(runs <= 1, "{id} ({kind:?}) ran {runs} times");
    }
    let Some(answer) = answer else { return };
    let promises_no_run = matches!(answer.status, 408 | 421 | 429 | 503);
    if promises_no_run && !kind.may_repeat() {
        assert_eq!(runs, 0, "{id} ({kind:?}) ran after {}", answer.status);
    }
    if promises_no_run && answer.header("x-response-seal").is_none() {
        assert!(answer.header("retry-after").is_some(), "{id}: {}", answer.head);
    }
    if answer.status == 200 && answer.whole {
        check_body(id, *kind, answer);
    }
}

fn check_body(id: &str, kind: RequestKind, answer: &RawAnswer) {
    let text = answer.text();
    if !kind.is_stream() {
        assert!(text.contains(&format!("{}{id}/ ", kind.prefix())), "{id} got {text}");
        return;
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|number| number.parse().expect("event id")).collect();
    let expected: Vec<u64> = (1..=ids.len() as u64).collect();
    assert_eq!(ids, expected, "events of {id}");
    assert!(ids.len() >= 5, "{id} ends after {} events", ids.len());
}

fn play(seed: u64) {
    let mut site = SoakSite::start();
    let mut rng = SmallRng::seed_from_u64(seed);
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + FAULT_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (addresses, exchanges) = (site.addresses(), exchanges.clone());
            thread::spawn(move || run_client(number, seed, &addresses, until, &exchanges))
        })
        .collect();
    while Instant::now() < until {
        let fault = Fault::draw(&mut rng);
        let time = Duration::from_millis(rng.random_range(FAULT_MS));
        println!("seed {seed}: {fault:?} for {time:?}");
        site.cause(fault, time);
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    for client in clients {
        client.join().expect("client");
    }
    for (place, daemon) in site.daemons.iter().enumerate() {
        let bytes = request_bytes("/plain/after/", &format!("after-{place}"), "key-1", &[], b"");
        wait_for("service after the faults", || {
            try_send_raw(daemon.clients, &bytes).is_ok_and(|answer| answer.status == 200)
        });
    }
    check(&site, &exchanges.lock().expect("lock"));
}

fn check(site: &SoakSite, exchanges: &[Exchange]) {
    let runs = runs_by_id(site);
    let sent: HashSet<&str> = exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
    for id in runs.keys() {
        assert!(sent.contains(id.as_str()) || id.starts_with("after-"), "{id} was never sent");
    }
    for exchange in exchanges {
        check_exchange(exchange, runs.get(&exchange.id).copied().unwrap_or(0));
    }
    let whole = |exchange: &&Exchange| {
        exchange.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.whole)
    };
    let served = exchanges.iter().filter(whole).count();
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
    for seed in first..first + number_from("SOAK_SEEDS", USUAL_SEEDS) {
        play(seed);
    }
}
