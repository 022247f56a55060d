//! A fleet of real daemons whose configuration gains a route with every change, and clients at
//! every daemon that ask for the newest routes.
//!
//! Each daemon reaches the store through a proxy of its own. What is recorded of a request is
//! the age of its route when it was sent (the time since the store took the change that brought
//! the route), the status of the answer and whether its daemon had been killed or frozen lately.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use willowarch::{
    gateway::gossip::{
        caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
        peer_record::PeerReport,
        peer_table::PeerTable,
    },
    ids::IncarnationId,
};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, kept_request_bytes, wait_for},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
    route_requests::{APPLY_LIMIT, RouteRequest, ask},
};

/// Nothing is asked of a daemon for this long after it was killed or frozen.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Ages of the routes that a client asks for in turn, in milliseconds; the newest of that age or
/// older is asked for.
const ROUTE_AGES_MS: [u64; 4] = [500, 1_000, 2_000, 3_000];
/// Pause of a client between two requests.
const ASK_PAUSE: Duration = Duration::from_millis(15);
/// Calls that the store answers at once for each daemon: two watches and a call of the leader.
const CALLS_PER_DAEMON: usize = 3;
/// Executable file of another release, run by every second daemon.
const FORMER_PROGRAM: &str = "SOAK_FORMER";
/// Executable file of another release, run by all daemons.
const OTHER_PROGRAM: &str = "SOAK_PROGRAM";

/// What is changed, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct RouteChanges {
    /// Routes before the first change.
    pub first_routes: usize,
    /// Time between two changes; each adds a route.
    pub interval: Duration,
    /// How long changes are written.
    pub time: Duration,
}

/// Daemons, and what happens to them.
pub struct RouteFleet {
    pub daemons: Vec<Mutex<Gateway>>,
    pub store_links: Vec<LoopbackProxy>,
    pub platform: PlatformStandin,
    endpoint: EndpointStandin,
    addresses: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    routes: Mutex<Vec<Value>>,
    /// When the store took each change, by its number.
    taken_at: Mutex<BTreeMap<u64, Instant>>,
    /// Until when each daemon counts as disturbed.
    disturbed_until: Vec<Mutex<Option<Instant>>>,
}

fn added_route(number: u64) -> Value {
    json!({
        "name": format!("added-{number}"), "host": "site.example",
        "path-prefix": format!("/added-{number}/"), "kind": "idempotent", "timeout-ms": 4000,
        "target-latency-ms": 100, "priority": 1, "service": "pool", "attempts": 2,
        "public": false, "stream-resume": false, "gap-target-ms": 200,
    })
}

fn program_from(name: &str) -> Option<PathBuf> {
    std::env::var_os(name).map(PathBuf::from)
}

fn program_at(place: usize) -> PathBuf {
    let former = program_from(FORMER_PROGRAM).filter(|_| place % 2 == 1);
    let other = former.or_else(|| program_from(OTHER_PROGRAM));
    other.unwrap_or_else(|| env!("CARGO_BIN_EXE_willowarchd").into())
}

impl RouteFleet {
    /// So many daemons, all ready.
    pub fn start(daemon_count: usize) -> Self {
        let platform = PlatformStandin::start_with(daemon_count * CALLS_PER_DAEMON);
        let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
        let mut fleet = Self {
            daemons: Vec::new(),
            store_links: Vec::new(),
            addresses: Vec::new(),
            peers: Vec::new(),
            routes: Mutex::default(),
            taken_at: Mutex::default(),
            disturbed_until: (0..daemon_count).map(|_| Mutex::new(None)).collect(),
            platform,
            endpoint,
        };
        fleet.write(1);
        let entry = json!({
            "service": "pool", "address": fleet.endpoint.address, "zone": "hall-a",
            "version": "v1", "slots": 2000, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        fleet.platform.put("servers", "i-0", entry);
        fleet.start_daemons(daemon_count);
        fleet
    }

    fn start_daemons(&mut self, count: usize) {
        let bounds = json!({"strict-revoke": false, "config-apply-ms": APPLY_LIMIT.as_millis()});
        for place in 0..count {
            let link = LoopbackProxy::start(self.platform.address);
            let seeds: Vec<SocketAddr> = self.peers.iter().take(3).copied().collect();
            let (name, program) = (format!("fleet-{place}"), program_at(place));
            let daemon =
                Gateway::start_program(&program, &name, link.address, &seeds, bounds.clone());
            self.addresses.push(daemon.clients);
            self.peers.push(daemon.peers);
            self.daemons.push(Mutex::new(daemon));
            self.store_links.push(link);
        }
        for daemon in &self.daemons {
            daemon.lock().expect("lock").wait_ready();
        }
    }

    /// Writes the change of this number.
    fn write(&self, number: u64) {
        let mut written = configuration(number, &["key-1"]);
        written["tenants"][0]["per-s"] = json!(1e12);
        written["tenants"][0]["burst"] = json!(1e12);
        written["services"][0]["max-conns"] = json!(4_000);
        let routes = written["routes"].as_array_mut().expect("routes");
        routes.extend(self.routes.lock().expect("lock").iter().cloned());
        self.platform.put("config", "main", written);
        self.taken_at.lock().expect("lock").insert(number, Instant::now());
    }

    fn add_routes(&self, numbers: std::ops::Range<u64>) {
        self.routes.lock().expect("lock").extend(numbers.map(added_route));
    }

    /// Places of the daemons that watch the store for the others, when all know each other.
    pub fn watchers(&self) -> Vec<usize> {
        let now = tokio::time::Instant::now();
        (0..self.peers.len())
            .filter(|place| self.peer_table(*place, now).watcher_rank(now) == 0)
            .collect()
    }

    fn peer_table(&self, place: usize, now: tokio::time::Instant) -> PeerTable {
        let own = self.peers[place];
        let mut table = PeerTable::new(own, &[], GOSSIP_INTERVAL, CALLS_PER_INTERVAL);
        for (other, address) in self.peers.iter().enumerate() {
            let incarnation = IncarnationId(other as u64 + 1);
            let report = PeerReport { incarnation, sequence: 1, leaving: false };
            table.receive_report(*address, report, now);
        }
        table
    }

    /// Kills and restarts daemons.
    pub fn kill(&self, places: &[usize]) {
        for place in places {
            self.disturb(*place, Duration::ZERO);
            self.daemons[*place].lock().expect("lock").kill_and_restart();
        }
    }

    /// Freezes daemons together for `time`.
    pub fn freeze(&self, places: &[usize], time: Duration) {
        self.signal(places, "-STOP", time);
        thread::sleep(time);
        self.signal(places, "-CONT", Duration::ZERO);
    }

    fn signal(&self, places: &[usize], name: &str, time: Duration) {
        for place in places {
            self.disturb(*place, time);
            self.daemons[*place].lock().expect("lock").signal(name);
        }
    }

    fn disturb(&self, place: usize, time: Duration) {
        let until = Instant::now() + time + RECOVERY_TIME;
        *self.disturbed_until[place].lock().expect("lock") = Some(until);
    }

    /// Sets the links of these daemons to the store for `time`.
    pub fn set_store_links(&self, places: &[usize], state: LinkState, time: Duration) {
        places.iter().for_each(|place| self.store_links[*place].set(state));
        thread::sleep(time);
        places.iter().for_each(|place| self.store_links[*place].set(LinkState::Open));
    }

    /// Writes changes, asks for their routes and causes `faults` meanwhile; returns what was
    /// asked.
    pub fn play(
        &self,
        changes: RouteChanges,
        faults: impl Fn(&Self, Instant) + Sync,
    ) -> Vec<RouteRequest> {
        self.add_routes(2..2 + changes.first_routes as u64);
        let first = 2 + changes.first_routes as u64;
        let until = Instant::now() + changes.time;
        let requests = Mutex::new(Vec::new());
        let asked = AtomicU64::new(0);
        thread::scope(|scope| {
            scope.spawn(|| self.write_changes(first, changes.interval, until));
            scope.spawn(|| faults(self, until));
            for place in 0..self.addresses.len() {
                let (requests, asked) = (&requests, &asked);
                scope.spawn(move || {
                    let asked = self.ask_until(place, until + APPLY_LIMIT, asked);
                    requests.lock().expect("lock").extend(asked);
                });
            }
        });
        requests.into_inner().expect("lock")
    }

    fn write_changes(&self, first: u64, interval: Duration, until: Instant) {
        let mut number = first;
        let mut next_at = Instant::now();
        while Instant::now() < until {
            self.add_routes(number..number + 1);
            self.write(number);
            number += 1;
            next_at += interval;
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
        }
    }

    /// Asks one daemon for routes until then; what is asked while it is disturbed is left out.
    fn ask_until(&self, place: usize, until: Instant, count: &AtomicU64) -> Vec<RouteRequest> {
        let mut requests = Vec::new();
        let mut connection = None;
        for age in ROUTE_AGES_MS.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            thread::sleep(ASK_PAUSE);
            if self.is_disturbed(place) {
                connection = None;
                continue;
            }
            let Some((route, taken_at)) = self.newest_route(Duration::from_millis(*age)) else {
                continue;
            };
            let id = format!("f-{}", count.fetch_add(1, Ordering::Relaxed));
            let path = format!("/added-{route}/{id}/");
            let bytes = kept_request_bytes(&path, &id, "key-1", &[], b"");
            let sent_at = Instant::now();
            let status = ask(self.addresses[place], &mut connection, &bytes);
            // It may have been disturbed while it was asked.
            if !self.is_disturbed(place) {
                requests.push(RouteRequest { place, age: sent_at - taken_at, status });
            }
        }
        requests
    }

    fn is_disturbed(&self, place: usize) -> bool {
        let until = *self.disturbed_until[place].lock().expect("lock");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// The newest change that is so old, and when the store took it.
    fn newest_route(&self, age: Duration) -> Option<(u64, Instant)> {
        let taken_at = self.taken_at.lock().expect("lock");
        let old_enough = |(_, at): &(&u64, &Instant)| at.elapsed() >= age;
        let (number, at) = taken_at.iter().rev().find(old_enough)?;
        // The first configuration has no route of its own.
        (*number > 1).then_some((*number, *at))
    }

    /// Waits until every daemon serves by the newest configuration.
    pub fn wait_settled(&self) {
        let Some((route, _)) = self.newest_route(Duration::ZERO) else { return };
        let path = format!("/added-{route}/s/");
        let bytes = kept_request_bytes(&path, "s", "key-1", &[], b"");
        for address in &self.addresses {
            let mut connection = None;
            wait_for("the newest route", || ask(*address, &mut connection, &bytes) == 200);
        }
    }
}
