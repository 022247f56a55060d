//! Membership and the spread of items, without I/O: takes events and returns actions.
//!
//! `failure_detector` decides which daemons are members, and `dissemination` which items are sent
//! to which of them. The cost for a daemon does not depend on the number of daemons. Gateway
//! daemons use `gateway::gossip` instead, which shares no code with this module.

mod dissemination;
mod failure_detector;

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    core::{dissemination::FORGET_EVERY, failure_detector::GREET_REMOVED_EVERY},
    events::{ClusterAction, ClusterCounters, ClusterEvent, PeerTarget},
    items::{ItemKey, ItemKind, ItemStore, SpreadItem},
    members::{MemberList, MemberRecord, MemberStatus, member_version},
};
use crate::ids::{IncarnationId, SharedName};

/// Number of ring successors that a daemon probes and sends new items to. Together with three far
/// links, this lets an edit reach 2,100 daemons in a moment.
const SUCCESSORS: usize = 3;
/// Time between exchanges of summaries with a random member. The size of a summary does not grow
/// with the number of daemons.
const SYNC_EVERY: Duration = Duration::from_secs(1);
/// If the time between two ticks is longer than this, the process was paused. It is sixteen ticks
/// of the service (50 ms).
const PAUSE_THRESHOLD: Duration = Duration::from_millis(800);
/// How long failed probes are ignored after a pause, in which this daemon may have missed the
/// answers: two probe intervals.
const IGNORE_PROBES_FOR: Duration = Duration::from_secs(2);
/// Random factor of the intervals of periodic work, so that daemons do not act at the same time: up
/// to a fifth shorter or longer.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Membership and item state of one daemon.
#[derive(Debug)]
pub struct ClusterCore {
    own: IncarnationId,
    record: MemberRecord,
    refutation: u64,
    members: MemberList,
    items: ItemStore,
    /// Items to be sent to each link.
    outboxes: HashMap<IncarnationId, BTreeSet<ItemKey>>,
    seeds: BTreeSet<SharedName>,
    /// Members to which new items are sent; the first `SUCCESSORS` are also probed.
    links: Vec<IncarnationId>,
    probe_at: HashMap<IncarnationId, Instant>,
    /// Links whose addresses refused a connection.
    refused: BTreeSet<IncarnationId>,
    sync_at: Instant,
    greet_at: Instant,
    greet_removed_at: Instant,
    forget_at: Instant,
    last_tick: Instant,
    ignore_probes_until: Instant,
    counters: ClusterCounters,
    rng: SmallRng,
}

impl ClusterCore {
    /// Creates the core of a daemon that knows only itself.
    pub fn new(own: IncarnationId, record: MemberRecord, now: Instant, rng: SmallRng) -> Self {
        let mut core = Self {
            own,
            record,
            refutation: 0,
            members: MemberList::default(),
            items: ItemStore::default(),
            outboxes: HashMap::new(),
            seeds: BTreeSet::new(),
            links: Vec::new(),
            probe_at: HashMap::new(),
            refused: BTreeSet::new(),
            sync_at: now,
            greet_at: now,
            greet_removed_at: now + GREET_REMOVED_EVERY,
            forget_at: now + FORGET_EVERY,
            last_tick: now,
            ignore_probes_until: now,
            counters: ClusterCounters::default(),
            rng,
        };
        core.announce_self(now, &mut Vec::new());
        core
    }

    /// Handles one event and returns the actions to carry out.
    pub fn on(&mut self, now: Instant, event: ClusterEvent) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        match event {
            ClusterEvent::Tick => self.tick(now, &mut actions),
            ClusterEvent::Seed(address) => {
                if address != self.record.address {
                    self.seeds.insert(address);
                }
            }
            ClusterEvent::Greeted(incarnation, record) => {
                self.greeted(incarnation, record, now, &mut actions);
            }
            ClusterEvent::ProbeAnswered(incarnation) => {
                self.refused.remove(&incarnation);
            }
            ClusterEvent::ProbeFailed(incarnation, refused) => {
                self.probe_failed(incarnation, refused, now, &mut actions);
            }
            ClusterEvent::HelpersFailed(incarnation, refused) => {
                self.suspect(incarnation, refused, now, &mut actions);
            }
            ClusterEvent::Replaced(incarnation) => {
                self.publish_status(incarnation, MemberStatus::Dead, now, &mut actions);
            }
            ClusterEvent::Items(from, items) => self.receive(from, items, now, &mut actions),
            ClusterEvent::Leave => {
                self.record.leaving = true;
                self.refutation += 1;
                self.announce_self(now, &mut actions);
            }
        }
        actions
    }

    /// Member list of this daemon.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Items that this daemon has stored.
    pub fn items(&self) -> &ItemStore {
        &self.items
    }

    /// Own incarnation; used by the in-memory fleet of the tests.
    pub fn own(&self) -> IncarnationId {
        self.own
    }

    /// Counters for metrics.
    pub fn counters(&self) -> ClusterCounters {
        self.counters
    }

    /// Drops the items that have not been sent yet; the next exchanges of summaries deliver them.
    /// The in-memory fleet of the tests calls it to show that summaries alone are sufficient.
    pub fn drop_outboxes(&mut self) {
        self.outboxes.clear();
    }

    /// Returns a random other member that has not been removed.
    pub fn random_member(&mut self) -> Option<PeerTarget> {
        let point: u64 = self.rng.random();
        let found = self.members.successors(point, 1, self.own);
        self.target(*found.first()?)
    }

    /// Returns the target for a member that has not been removed.
    pub fn target(&self, incarnation: IncarnationId) -> Option<PeerTarget> {
        let view = self.members.get(incarnation).filter(|view| view.is_present())?;
        Some(PeerTarget { incarnation, address: view.record.address.clone() })
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            self.ignore_probes_until = now + IGNORE_PROBES_FOR;
        }
        self.last_tick = now;
        self.greet_seeds(now, actions);
        self.greet_removed(now, actions);
        self.probe_neighbours(now, actions);
        self.remove_suspects(now, actions);
        self.flush(actions);
        if now >= self.sync_at {
            self.sync_at = now + SYNC_EVERY.mul_f64(self.rng.random_range(JITTER));
            actions.extend(self.random_member().map(ClusterAction::Sync));
        }
        if now >= self.forget_at {
            self.forget_at = now + FORGET_EVERY;
            self.forget(now, actions);
        }
    }

    fn announce_self(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let version = member_version(self.refutation, MemberStatus::Alive);
        let name = self.own.to_string().into();
        let item = SpreadItem::new(ItemKind::Member, name, version, &self.record);
        self.receive(None, vec![item], now, actions);
    }
}
