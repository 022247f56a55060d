//! Many cluster cores in one process, on a simulated clock: a loop carries messages between
//! them with delays, losses, partitions, suspensions and kills. The cores are the daemons' own;
//! only the connections between peers are replaced. benches/fleet.rs uses it too.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use willowarch::{
    ids::{IncarnationId, SharedName},
    native::cluster::{
        core::ClusterCore,
        events::{ClusterAction, ClusterEvent, PeerTarget},
        items::{BUCKETS, SpreadItem},
        members::{MemberRecord, MemberStatus},
        service::newer_than,
    },
};

/// Interval between ticks of a core, the same as in the cluster service.
const TICK: Duration = Duration::from_millis(50);
/// Time after which a probe has failed, the same as in `native::peer`.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Bytes of a message without its items, as seen on the wire: frames and RPC envelope of call and
/// return together.
const ENVELOPE_BYTES: u64 = 200;
/// Bytes of a key with its version.
const VERSION_BYTES: u64 = 40;
/// Interval at which a condition is checked.
const CHECK_EVERY: Duration = Duration::from_millis(10);

/// Messages and bytes of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeTraffic {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent and received.
    pub bytes: u64,
}

/// A simulated node.
pub struct FleetNode {
    /// Its core.
    pub core: ClusterCore,
    /// Its availability zone.
    pub zone: usize,
    /// Its traffic so far.
    pub traffic: NodeTraffic,
    address: SharedName,
    up: bool,
    suspended_until: Duration,
}

#[derive(Debug)]
enum NodeEvent {
    Tick,
    Core(ClusterEvent),
}

type QueueEntry = (Duration, u64, usize);

/// Simulated nodes and the events scheduled for them.
pub struct InMemoryFleet {
    base: Instant,
    now: Duration,
    /// All nodes.
    pub nodes: Vec<FleetNode>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Availability zone that is partitioned from the others.
    pub partitioned_zone: Option<usize>,
    by_address: HashMap<SharedName, usize>,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    events: HashMap<u64, NodeEvent>,
    next_event: u64,
    rng: SmallRng,
}

impl InMemoryFleet {
    /// Creates `count` nodes in `zones` availability zones; each knows only the addresses of the
    /// first three nodes.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            nodes: Vec::new(),
            loss: 0.0,
            partitioned_zone: None,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..count {
            fleet.add_node(index % zones);
        }
        fleet
    }

    /// Adds a node that knows only the addresses of the first three nodes.
    pub fn add_node(&mut self, zone: usize) -> usize {
        let index = self.nodes.len();
        let address: SharedName = format!("node-{index}:1").into();
        let core = self.new_core(zone, &address);
        self.by_address.insert(address.clone(), index);
        let traffic = NodeTraffic::default();
        let suspended_until = Duration::ZERO;
        self.nodes.push(FleetNode { core, zone, traffic, address, up: true, suspended_until });
        let jitter = Duration::from_micros(self.rng.random_range(0..50_000));
        self.schedule(self.now + jitter, index, NodeEvent::Tick);
        index
    }

    fn new_core(&mut self, zone: usize, address: &SharedName) -> ClusterCore {
        // As with real daemons, a later start must have a higher incarnation number.
        let incarnation =
            IncarnationId((self.next_event + 1) << 24 | self.rng.random::<u32>() as u64 >> 8);
        self.next_event += 1;
        let record = MemberRecord {
            address: address.clone(),
            zone: format!("z{zone}").into(),
            leaving: false,
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let mut core = ClusterCore::new(incarnation, record, self.instant(), rng);
        for seed in 0..3 {
            let seed: SharedName = format!("node-{seed}:1").into();
            core.on(self.instant(), ClusterEvent::Seed(seed));
        }
        core
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Simulated time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Gives every node the member items of all others, as after a long time without changes.
    pub fn introduce_all(&mut self) {
        let now = self.instant();
        let items: Vec<SpreadItem> = self
            .nodes
            .iter()
            .flat_map(|node| {
                node.core
                    .items()
                    .of_kind(willowarch::native::cluster::items::ItemKind::Member)
                    .cloned()
            })
            .collect();
        for node in &mut self.nodes {
            node.core.on(now, ClusterEvent::Items(None, items.clone()));
            node.core.drop_outboxes();
        }
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Restarts a killed or running node at the same address, with a new incarnation.
    pub fn restart(&mut self, index: usize) {
        let (zone, address) = (self.nodes[index].zone, self.nodes[index].address.clone());
        let core = self.new_core(zone, &address);
        let was_up = std::mem::replace(&mut self.nodes[index].up, true);
        self.nodes[index].core = core;
        if !was_up {
            self.schedule(self.now, index, NodeEvent::Tick);
        }
    }

    /// Suspends a node for `length`; its events wait until then.
    pub fn suspend(&mut self, index: usize, length: Duration) {
        self.nodes[index].suspended_until = self.now + length;
    }

    /// Delivers an item to a node from outside the fleet.
    pub fn inject(&mut self, index: usize, item: SpreadItem) {
        self.schedule(self.now, index, NodeEvent::Core(ClusterEvent::Items(None, vec![item])));
    }

    /// Runs until the simulated time `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Runs until `holds` returns true, checked every 10 ms, and returns that time; `None` if it
    /// has not returned true by `until`.
    pub fn run_until_holds(
        &mut self,
        until: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        while self.now < until {
            self.run_until(self.now + CHECK_EVERY);
            if holds(self) {
                return Some(self.now);
            }
        }
        None
    }

    fn schedule(&mut self, at: Duration, node: usize, event: NodeEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event, node)));
    }

    fn step(&mut self) {
        let Some(Reverse((at, id, index))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let Some(event) = self.events.remove(&id) else { return };
        let node = &self.nodes[index];
        if !node.up {
            return;
        }
        if node.suspended_until > self.now {
            let resumed_at = node.suspended_until;
            self.schedule(resumed_at, index, event);
            return;
        }
        let event = match event {
            NodeEvent::Tick => {
                self.schedule(self.now + TICK, index, NodeEvent::Tick);
                ClusterEvent::Tick
            }
            NodeEvent::Core(event) => event,
        };
        let instant = self.instant();
        let actions = self.nodes[index].core.on(instant, event);
        for action in actions {
            self.carry_out(index, action);
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(600..1_600))
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        let partitioned = self
            .partitioned_zone
            .is_some_and(|zone| (self.nodes[from].zone == zone) != (self.nodes[to].zone == zone));
        let lost = self.loss > 0.0 && self.rng.random_range(0.0..1.0) < self.loss;
        self.nodes[to].up && !partitioned && !lost
    }

    fn count(&mut self, from: usize, to: usize, bytes: u64) {
        let bytes = bytes + ENVELOPE_BYTES;
        self.nodes[from].traffic.messages += 1;
        self.nodes[from].traffic.bytes += bytes;
        self.nodes[to].traffic.bytes += bytes;
    }

    /// Node at the target's address, and whether it has the expected incarnation.
    fn find(&self, target: &PeerTarget) -> Option<(usize, bool)> {
        let index = *self.by_address.get(&target.address)?;
        Some((index, self.nodes[index].core.own() == target.incarnation))
    }

    fn carry_out(&mut self, from: usize, action: ClusterAction) {
        match action {
            ClusterAction::Greet(address) => self.greet(from, &address),
            ClusterAction::Probe(target) => self.probe(from, &target),
            ClusterAction::ProbeVia(helpers, target) => self.probe_via(from, &helpers, &target),
            ClusterAction::Push(target, items) => self.push(from, &target, items),
            ClusterAction::Sync(target) => self.synchronize(from, &target),
            ClusterAction::Changed(_) | ClusterAction::MembersChanged => {}
        }
    }

    fn greet(&mut self, from: usize, address: &SharedName) {
        let Some(to) = self.by_address.get(address).copied() else { return };
        if !self.reaches(from, to) || self.nodes[to].suspended_until > self.now {
            return;
        }
        self.count(from, to, 100);
        let at = self.now + self.delay() * 2;
        for (node, other) in [(from, to), (to, from)] {
            let other = &self.nodes[other];
            let record = MemberRecord {
                address: other.address.clone(),
                zone: format!("z{}", other.zone).into(),
                leaving: false,
            };
            let event = ClusterEvent::Greeted(other.core.own(), record);
            self.schedule(at, node, NodeEvent::Core(event));
        }
    }

    fn probe(&mut self, from: usize, target: &PeerTarget) {
        let Some((to, same)) = self.find(target) else { return };
        let refused = !self.nodes[to].up;
        self.count(from, to, 16);
        let answers = self.reaches(from, to) && self.nodes[to].suspended_until <= self.now;
        let incarnation = target.incarnation;
        let (wait, event) = if !answers {
            let wait = if refused { self.delay() } else { PROBE_LIMIT };
            (wait, ClusterEvent::ProbeFailed(incarnation, refused))
        } else if same {
            (self.delay() * 2, ClusterEvent::ProbeAnswered(incarnation))
        } else {
            (self.delay() * 2, ClusterEvent::Replaced(incarnation))
        };
        self.schedule(self.now + wait, from, NodeEvent::Core(event));
    }

    fn probe_via(&mut self, from: usize, helpers: &[PeerTarget], target: &PeerTarget) {
        let Some((to, same)) = self.find(target) else { return };
        let mut alive = false;
        for helper in helpers {
            let Some((helper, _)) = self.find(helper) else { continue };
            self.count(from, helper, 40);
            let helper_reached =
                self.reaches(from, helper) && self.nodes[helper].suspended_until <= self.now;
            if helper_reached {
                self.count(helper, to, 16);
                let suspended = self.nodes[to].suspended_until > self.now;
                alive |= self.reaches(helper, to) && !suspended && same;
            }
        }
        let refused = !self.nodes[to].up;
        let incarnation = target.incarnation;
        let (wait, event) = if alive {
            (self.delay() * 4, ClusterEvent::ProbeAnswered(incarnation))
        } else {
            (PROBE_LIMIT * 2, ClusterEvent::HelpersFailed(incarnation, refused))
        };
        self.schedule(self.now + wait, from, NodeEvent::Core(event));
    }

    fn push(&mut self, from: usize, target: &PeerTarget, items: Vec<SpreadItem>) {
        let Some((to, same)) = self.find(target) else { return };
        let bytes: usize = items.iter().map(SpreadItem::bytes).sum();
        self.count(from, to, bytes as u64);
        if same && self.reaches(from, to) {
            let at = self.now + self.delay();
            let own = self.nodes[from].core.own();
            self.schedule(at, to, NodeEvent::Core(ClusterEvent::Items(Some(own), items)));
        }
    }

    fn synchronize(&mut self, from: usize, target: &PeerTarget) {
        let Some((to, same)) = self.find(target) else { return };
        self.count(from, to, BUCKETS as u64 * 8);
        if !same || !self.reaches(from, to) || self.nodes[to].suspended_until > self.now {
            return;
        }
        let (own, their) = (self.nodes[from].core.items(), self.nodes[to].core.items());
        let differing = their.differing(own.summary());
        if differing.is_empty() {
            return;
        }
        let own_versions = own.versions_in(&differing);
        let their_versions = their.versions_in(&differing);
        let fetch = |items: &willowarch::native::cluster::items::ItemStore, keys: Vec<(_, u64)>| {
            keys.iter().filter_map(|(key, _)| items.get(key).cloned()).collect::<Vec<SpreadItem>>()
        };
        let wanted = fetch(their, newer_than(&their_versions, &own_versions));
        let surplus = fetch(own, newer_than(&own_versions, &their_versions));
        let moved: usize = wanted.iter().chain(&surplus).map(SpreadItem::bytes).sum();
        let bytes = their_versions.len() as u64 * VERSION_BYTES + moved as u64;
        self.count(to, from, bytes);
        let at = self.now + self.delay() * 4;
        let (own, their) = (self.nodes[from].core.own(), self.nodes[to].core.own());
        if !wanted.is_empty() {
            self.schedule(at, from, NodeEvent::Core(ClusterEvent::Items(Some(their), wanted)));
        }
        if !surplus.is_empty() {
            self.schedule(at, to, NodeEvent::Core(ClusterEvent::Items(Some(own), surplus)));
        }
    }

    /// Whether the member list of every running node consists of exactly the running nodes.
    pub fn agrees(&self) -> bool {
        let mut running: Vec<IncarnationId> =
            self.nodes.iter().filter(|node| node.up).map(|node| node.core.own()).collect();
        running.sort();
        self.nodes.iter().filter(|node| node.up).all(|node| {
            let members = node.core.members();
            members.present_count() == running.len()
                && running.iter().all(|own| {
                    members.get(*own).is_some_and(|view| view.status == MemberStatus::Alive)
                })
        })
    }

    /// Number of removals of members, added up over all nodes.
    pub fn removals(&self) -> u64 {
        self.nodes.iter().map(|node| node.core.counters().removed).sum()
    }

    /// Mean traffic of the running nodes.
    #[allow(dead_code, reason = "the bench uses it")]
    pub fn traffic(&self) -> NodeTraffic {
        let running: Vec<&FleetNode> = self.nodes.iter().filter(|node| node.up).collect();
        let count = running.len().max(1) as u64;
        let messages: u64 = running.iter().map(|node| node.traffic.messages).sum();
        let bytes: u64 = running.iter().map(|node| node.traffic.bytes).sum();
        NodeTraffic { messages: messages / count, bytes: bytes / count }
    }
}
