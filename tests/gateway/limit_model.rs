//! Whether the daemons of a fleet of any size keep to the limit of an endpoint together: their tables
//! of peers and endpoints, which exchange as the real ones do, on a clock of the test's own.
//!
//! `LIMIT_MODEL=300 cargo test --release --test gateway limit_model -- --nocapture` plays one
//! more size.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::{
            caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
            endpoint_signals::limits::{DIVIDE_INTERVAL, own_share},
            peer_record::PeerReport,
            peer_table::PeerTable,
            report_source::ReportSource,
        },
        policy::endpoint::{
            endpoint_load::{ReportedLoads, RunLoad, ServiceCounters},
            endpoint_table::EndpointTable,
            signal_ledger::{EndpointLimit, LimitObservation},
        },
    },
    ids::{IncarnationId, SharedName},
    store_position::{StoreEra, StorePosition},
};

const ENDPOINT: &str = "i-0";
const SERVICE: &str = "pool";
const SLOTS: u32 = 1_000;
/// When the endpoint names its limit, to one daemon, and how long the model goes on.
const NAMED_AT: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(20);
/// Time from then on after which the limit is kept, and over which requests are counted.
const KEPT_AFTER: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// What may come within it: a multiple of the limit, and some requests besides.
const MULTIPLE: f64 = 1.5;
const BESIDES: f64 = 5.0;
/// Share of the limit that is used where clients want more.
const USED_SHARE: std::ops::RangeInclusive<f64> = 0.7..=1.0;
/// Limits, in requests a second.
const LIMITS: [f64; 9] = [0.0, 0.1, 0.4, 1.2, 1.6, 4.0, 12.0, 40.0, 100.0];
/// Those of them that large fleets are played with, which take long.
const FEW_LIMITS: [f64; 2] = [1.2, 40.0];
const LARGE_FLEET: usize = 50;
/// Time between two daemons that are replaced, and for which clients stay at one daemon.
const REPLACE_INTERVAL: Duration = Duration::from_secs(1);
const STAY: Duration = Duration::from_secs(2);

/// To which daemons clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientPlaces {
    /// To all alike.
    All,
    /// To one.
    One,
    /// To one after the other.
    Moving,
    /// To all alike, and one daemon after the other is replaced.
    AllWhileReplaced,
    /// To none at first, then all at once to all.
    AllLate,
}

struct ModelDaemon {
    address: SocketAddr,
    incarnation: IncarnationId,
    peers: PeerTable,
    endpoints: EndpointTable,
    has_contact: bool,
}

/// What one daemon tells another.
#[derive(Clone)]
struct Report {
    incarnation: IncarnationId,
    services: BTreeMap<SharedName, ServiceCounters>,
    limits: Vec<EndpointLimit>,
}

struct LimitModel {
    daemons: Vec<ModelDaemon>,
    places: HashMap<SocketAddr, usize>,
    clients: ClientPlaces,
    /// Requests a second of all clients.
    offered: f64,
    began: Instant,
    now: Instant,
    rng: SmallRng,
    incarnations: u64,
    arrivals: Vec<Instant>,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 8229))
}

fn endpoint_list() -> EndpointList {
    let record = EndpointRecord {
        id: ENDPOINT.into(),
        born: 7,
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "a".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        reclaimable: false,
    };
    EndpointList { position: StorePosition::new(StoreEra(0), 1), endpoints: vec![Rc::new(record)] }
}

impl ModelDaemon {
    fn new(place: usize, seeds: &[SocketAddr], incarnation: u64, now: Instant) -> Self {
        let own = address(place);
        let mut endpoints = EndpointTable::new("a".into());
        endpoints.set_list(&endpoint_list(), now);
        Self {
            address: own,
            incarnation: IncarnationId(incarnation),
            peers: PeerTable::new(own, seeds, GOSSIP_INTERVAL, CALLS_PER_INTERVAL),
            endpoints,
            has_contact: false,
        }
    }

    fn divide(&mut self, daemons: usize, now: Instant) {
        self.endpoints.observe_demand(now);
        for endpoint in self.endpoints.limited() {
            let share = own_share(&self.peers, &self.endpoints, &endpoint, daemons);
            self.endpoints.set_limit_share(&endpoint.id, share, now);
        }
    }

    /// Whether a request is sent to the endpoint.
    fn sends(&mut self, now: Instant) -> bool {
        self.endpoints.count_request(&SERVICE.into());
        if self.endpoints.limited().is_empty() {
            return self.has_contact;
        }
        let permits = self.endpoints.begin(ENDPOINT, &[], RunLoad::default(), now);
        self.has_contact && permits.has_token
    }
}

impl LimitModel {
    /// Daemons that know each other.
    fn new(count: usize, clients: ClientPlaces, offered: f64, seed: u64) -> Self {
        let now = Instant::now();
        let mut daemons: Vec<ModelDaemon> =
            (0..count).map(|place| ModelDaemon::new(place, &[], place as u64 + 1, now)).collect();
        for (place, daemon) in daemons.iter_mut().enumerate() {
            daemon.has_contact = true;
            for other in (0..count).filter(|other| *other != place) {
                let incarnation = IncarnationId(other as u64 + 1);
                let report = PeerReport { incarnation, sequence: 1, leaving: false };
                daemon.peers.receive_report(address(other), report, now);
            }
        }
        Self {
            daemons,
            places: (0..count).map(|place| (address(place), place)).collect(),
            clients,
            offered,
            began: now,
            now,
            rng: SmallRng::seed_from_u64(seed),
            incarnations: count as u64,
            arrivals: Vec::new(),
        }
    }

    fn play(&mut self, limit: f64) {
        let mut is_named = false;
        while self.now < self.began + LENGTH {
            if !is_named && self.now >= self.began + NAMED_AT {
                is_named = true;
                let observation = LimitObservation { limit: Some(limit), at: self.now };
                self.daemons[0].endpoints.record_limit(ENDPOINT, observation, self.now);
                let count = self.daemons.len();
                self.daemons[0].divide(count, self.now);
            }
            self.interval();
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.began
    }

    fn is_time_for(&self, interval: Duration) -> bool {
        self.elapsed().as_millis().is_multiple_of(interval.as_millis())
    }

    /// One gossip interval of every daemon. What is received in it is passed on in the next one.
    fn interval(&mut self) {
        self.send_requests();
        self.now += GOSSIP_INTERVAL;
        if self.clients == ClientPlaces::AllWhileReplaced && self.is_time_for(REPLACE_INTERVAL) {
            self.replace();
        }
        let reports: Vec<Report> = (0..self.daemons.len()).map(|one| self.report(one)).collect();
        for place in 0..self.daemons.len() {
            for peer in self.daemons[place].peers.next_calls(self.now, &mut self.rng) {
                let other = self.places[&peer];
                self.receive(other, place, &reports[place]);
                self.receive(place, other, &reports[other]);
            }
        }
        if self.is_time_for(DIVIDE_INTERVAL) {
            let (count, now) = (self.daemons.len(), self.now);
            self.daemons.iter_mut().for_each(|daemon| daemon.divide(count, now));
        }
    }

    /// Requests of one gossip interval, at random moments.
    fn send_requests(&mut self) {
        let mean = self.offered * GOSSIP_INTERVAL.as_secs_f64();
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        let mut moments: Vec<Duration> =
            (0..count).map(|_| GOSSIP_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0))).collect();
        moments.sort_unstable();
        for moment in moments {
            let Some(place) = self.place_of_client() else { return };
            let now = self.now + moment;
            if self.daemons[place].sends(now) {
                self.arrivals.push(now);
            }
        }
    }

    fn place_of_client(&mut self) -> Option<usize> {
        let count = self.daemons.len();
        match self.clients {
            ClientPlaces::One => Some(0),
            ClientPlaces::Moving => {
                Some(self.elapsed().div_duration_f64(STAY) as usize * 7 % count)
            }
            ClientPlaces::AllLate if self.elapsed() < NAMED_AT * 2 => None,
            ClientPlaces::All | ClientPlaces::AllWhileReplaced | ClientPlaces::AllLate => {
                Some(self.rng.random_range(0..count))
            }
        }
    }

    /// A daemon is replaced by one that knows three seeds.
    fn replace(&mut self) {
        let place = self.rng.random_range(0..self.daemons.len());
        let seeds: Vec<SocketAddr> = (0..3.min(self.daemons.len())).map(address).collect();
        self.incarnations += 1;
        self.daemons[place] = ModelDaemon::new(place, &seeds, self.incarnations, self.now);
        self.daemons[place].has_contact = self.daemons.len() == 1;
    }

    fn report(&mut self, place: usize) -> Report {
        let daemon = &self.daemons[place];
        Report {
            incarnation: daemon.incarnation,
            services: daemon.endpoints.own_services().clone(),
            limits: daemon.endpoints.limits(self.now, &mut self.rng),
        }
    }

    fn receive(&mut self, to: usize, from: usize, report: &Report) {
        let (now, address) = (self.now, self.daemons[from].address);
        let summaries = self.daemons[from].peers.summaries(8, now, &mut self.rng);
        let count = self.daemons.len();
        let sequence = self.elapsed().as_millis() as u64;
        let daemon = &mut self.daemons[to];
        for summary in &summaries {
            daemon.peers.receive_summary(summary, now);
        }
        let incarnation = report.incarnation;
        daemon.peers.receive_report(
            address,
            PeerReport { incarnation, sequence, leaving: false },
            now,
        );
        if daemon.peers.neighbours().in_own_group(&address) {
            let services = report.services.clone();
            let loads = ReportedLoads { at: now, loads: HashMap::new(), services };
            daemon.endpoints.apply_report(ReportSource::Daemon(incarnation), loads);
        }
        daemon.has_contact = true;
        let changes: Vec<_> = report
            .limits
            .iter()
            .filter_map(|limit| daemon.endpoints.receive_limit(*limit, now))
            .collect();
        if !changes.is_empty() {
            daemon.divide(count, now);
        }
    }

    /// The most that came in a window, as a multiple of what is allowed.
    fn most(&self, limit: f64) -> f64 {
        let from = self.began + NAMED_AT + KEPT_AFTER;
        let kept: Vec<Instant> = self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let allowed = limit * MULTIPLE * WINDOW.as_secs_f64() + BESIDES;
        let within = |last: usize| {
            kept[..=last].iter().rev().take_while(|at| kept[last] - **at < WINDOW).count()
        };
        (0..kept.len()).map(within).max().unwrap_or(0) as f64 / allowed
    }

    /// Share of the limit that was used once it was kept.
    fn used(&self, limit: f64) -> f64 {
        let from = self.began + NAMED_AT + KEPT_AFTER;
        let kept = self.arrivals.iter().filter(|at| **at >= from).count();
        kept as f64 / (limit * (self.now - from).as_secs_f64())
    }
}

/// Plays all limits at fleets of these sizes; clients want ten times as much, or five requests a
/// second at each daemon.
fn play_all(
    clients: ClientPlaces,
    sizes: &[usize],
    mut check: impl FnMut(usize, f64, &LimitModel),
) {
    let asked = std::env::var("LIMIT_MODEL").ok().and_then(|text| text.parse().ok());
    for count in sizes.iter().copied().chain(asked) {
        let mut worst = 0.0_f64;
        let limits = if count > LARGE_FLEET { &FEW_LIMITS[..] } else { &LIMITS };
        for (seed, limit) in (1..).zip(limits.iter().copied()) {
            let offered = (limit * 10.0).max(count as f64 * 5.0);
            let mut model = LimitModel::new(count, clients, offered, seed);
            model.play(limit);
            let most = model.most(limit);
            worst = worst.max(most);
            expect_that!(most, le(1.0), "{count} daemons, limit {limit}, {clients:?}");
            check(count, limit, &model);
        }
        println!("{count} daemons, {clients:?}: at most {worst:.2} of what is allowed");
    }
}

fn check_used(count: usize, limit: f64, model: &LimitModel) {
    if limit < 1.0 {
        return;
    }
    let used = model.used(limit);
    println!("{count} daemons, limit {limit}: {used:.2} used");
    expect_true!(USED_SHARE.contains(&used), "{count} daemons, limit {limit}: {used:.2}");
}

#[googletest::test]
fn limits_are_kept_and_used_by_fleets_of_any_size() {
    play_all(ClientPlaces::All, &[1, 2, 9, 30, 77], check_used);
}

#[googletest::test]
fn limits_are_kept_and_used_when_all_clients_are_at_one_daemon() {
    // With more daemons the one is not always among those that share the limit.
    play_all(ClientPlaces::One, &[1, 2], check_used);
    play_all(ClientPlaces::One, &[9], |count, limit, model| {
        if limit >= 12.0 {
            check_used(count, limit, model);
        }
    });
}

#[googletest::test]
fn limits_are_kept_while_clients_move_from_daemon_to_daemon() {
    play_all(ClientPlaces::Moving, &[2, 9, 77], |_, _, _| {});
}

#[googletest::test]
fn limits_are_kept_while_daemons_are_replaced() {
    play_all(ClientPlaces::AllWhileReplaced, &[9, 30, 77], |_, _, _| {});
}

#[googletest::test]
fn limits_are_kept_when_all_clients_come_at_once() {
    play_all(ClientPlaces::AllLate, &[9, 77], |_, _, _| {});
}
