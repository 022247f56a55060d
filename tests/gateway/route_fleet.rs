//! A fleet of real daemons whose configuration gains a route with every change, and clients at
//! every daemon that send requests for the newest routes.
//!
//! Each daemon reaches the store through a proxy of its own. For each request
//! the clients record the age of its route when it was sent (the time since the store accepted the
//! change that added the route) and the status of the answer. Requests to a daemon that was killed or
//! frozen shortly before are left out.

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

/// Time after a daemon was killed or frozen during which it gets no requests.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Ages, in milliseconds, that a client cycles through: each request is for the newest route of at
/// least that age.
const ROUTE_AGES_MS: [u64; 4] = [500, 1_000, 2_000, 3_000];
/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Concurrent calls that the store serves for each daemon: two watches and a call of the leader.
const CALLS_PER_DAEMON: usize = 3;
/// Environment variable with the executable file of another release, run by every second daemon.
const FORMER_PROGRAM: &str = "SOAK_FORMER";
/// Environment variable with the executable file of another release, run by all daemons.
const OTHER_PROGRAM: &str = "SOAK_PROGRAM";

/// How many routes are added, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct RouteChanges {
    /// Routes before the first change.
    pub first_routes: usize,
    /// Time between two changes; each adds a route.
    pub interval: Duration,
    /// How long changes are made.
    pub time: Duration,
}

/// The daemons, their store links, and the time of each change.
pub struct RouteFleet {
    pub daemons: Vec<Mutex<Gateway>>,
    pub store_links: Vec<LoopbackProxy>,
    pub platform: PlatformStandin,
    endpoint: EndpointStandin,
    addresses: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    routes: Mutex<Vec<Value>>,
    /// When the store accepted each change, by its number.
    accepted_at: Mutex<BTreeMap<u64, Instant>>,
    /// Until when each daemon gets no requests because it was killed or frozen.
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
    /// Starts the daemons and waits until all are ready.
    pub fn start(daemon_count: usize) -> Self {
        let platform = PlatformStandin::start_with(daemon_count * CALLS_PER_DAEMON);
        let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
        let mut fleet = Self {
            daemons: Vec::new(),
            store_links: Vec::new(),
            addresses: Vec::new(),
            peers: Vec::new(),
            routes: Mutex::default(),
            accepted_at: Mutex::default(),
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

    /// Writes the configuration with all added routes as this version.
    fn write(&self, number: u64) {
        let mut written = configuration(number, &["key-1"]);
        written["tenants"][0]["per-s"] = json!(1e12);
        written["tenants"][0]["burst"] = json!(1e12);
        written["services"][0]["max-conns"] = json!(4_000);
        let routes = written["routes"].as_array_mut().expect("routes");
        routes.extend(self.routes.lock().expect("lock").iter().cloned());
        self.platform.put("config", "main", written);
        self.accepted_at.lock().expect("lock").insert(number, Instant::now());
    }

    fn add_routes(&self, numbers: std::ops::Range<u64>) {
        self.routes.lock().expect("lock").extend(numbers.map(added_route));
    }

    /// Indices of the daemons that watch the store for the others once all know each other.
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
            let report = PeerReport { incarnation, sequence: 1, leaving: false, forwarder: None };
            table.receive_report(*address, report, now);
        }
        table
    }

    /// Kills and restarts daemons.
    pub fn kill(&self, places: &[usize]) {
        for place in places {
            self.mark_disturbed(*place, Duration::ZERO);
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
            self.mark_disturbed(*place, time);
            self.daemons[*place].lock().expect("lock").signal(name);
        }
    }

    fn mark_disturbed(&self, place: usize, time: Duration) {
        let until = Instant::now() + time + RECOVERY_TIME;
        *self.disturbed_until[place].lock().expect("lock") = Some(until);
    }

    /// Sets the store links of these daemons to `state` for `time`.
    pub fn set_store_links(&self, places: &[usize], state: LinkState, time: Duration) {
        places.iter().for_each(|place| self.store_links[*place].set(state));
        thread::sleep(time);
        places.iter().for_each(|place| self.store_links[*place].set(LinkState::Open));
    }

    /// Writes changes, sends requests for their routes and runs `faults` meanwhile; returns the
    /// requests.
    pub fn play(
        &self,
        changes: RouteChanges,
        faults: impl Fn(&Self, Instant) + Sync,
    ) -> Vec<RouteRequest> {
        self.add_routes(2..2 + changes.first_routes as u64);
        let first = 2 + changes.first_routes as u64;
        let until = Instant::now() + changes.time;
        let requests = Mutex::new(Vec::new());
        let count = AtomicU64::new(0);
        thread::scope(|scope| {
            scope.spawn(|| self.write_changes(first, changes.interval, until));
            scope.spawn(|| faults(self, until));
            for place in 0..self.addresses.len() {
                let (requests, count) = (&requests, &count);
                scope.spawn(move || {
                    let sent = self.send_until(place, until + APPLY_LIMIT, count);
                    requests.lock().expect("lock").extend(sent);
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

    /// Sends requests to one daemon until then, except while it is disturbed.
    fn send_until(&self, place: usize, until: Instant, count: &AtomicU64) -> Vec<RouteRequest> {
        let mut requests = Vec::new();
        let mut connection = None;
        for age in ROUTE_AGES_MS.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            thread::sleep(REQUEST_PAUSE);
            if self.is_disturbed(place) {
                connection = None;
                continue;
            }
            let Some((route, accepted_at)) = self.newest_route(Duration::from_millis(*age)) else {
                continue;
            };
            let id = format!("f-{}", count.fetch_add(1, Ordering::Relaxed));
            let path = format!("/added-{route}/{id}/");
            let bytes = kept_request_bytes(&path, &id, "key-1", &[], b"");
            let sent_at = Instant::now();
            let status = ask(self.addresses[place], &mut connection, &bytes);
            // The daemon may have been disturbed during the request.
            if !self.is_disturbed(place) {
                requests.push(RouteRequest { place, age: sent_at - accepted_at, status });
            }
        }
        requests
    }

    fn is_disturbed(&self, place: usize) -> bool {
        let until = *self.disturbed_until[place].lock().expect("lock");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// The newest change of at least this age, and when the store accepted it.
    fn newest_route(&self, age: Duration) -> Option<(u64, Instant)> {
        let accepted_at = self.accepted_at.lock().expect("lock");
        let old_enough = |(_, at): &(&u64, &Instant)| at.elapsed() >= age;
        let (number, at) = accepted_at.iter().rev().find(old_enough)?;
        // The first configuration adds no route.
        (*number > 1).then_some((*number, *at))
    }

    /// Waits until every daemon serves the newest route.
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
