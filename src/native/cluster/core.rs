//! Membership and spread of items, without I/O: events in, actions out.
//!
//! `failure_detector` decides who is a member, `dissemination` who is sent which items.
//! The cost for a daemon does not depend on the number of daemons. The gateway's peers
//! exchange by `gateway::gossip`; the two share no code.

mod dissemination;
mod failure_detector;

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    core::{dissemination::FORGET_EVERY, failure_detector::RECALL_EVERY},
    events::{ClusterAction, ClusterCounters, ClusterEvent, PeerTarget},
    items::{ItemKey, ItemKind, ItemStore, SpreadItem},
    members::{MemberList, MemberRecord, MemberStatus, member_version},
};
use crate::ids::{IncarnationId, SharedName};

/// Ring successors that a daemon probes and sends new items to: with three far links an edit
/// reaches 2,100 nodes in a moment.
const SUCCESSORS: usize = 3;
/// Time between exchanges of summaries with a random member. Its bytes don't grow with the fleet.
const SYNC_EVERY: Duration = Duration::from_secs(1);
/// A tick this late means that this process was paused: sixteen ticks of the service (50 ms).
const PAUSE: Duration = Duration::from_millis(800);
/// How long failures of probes are ignored after a pause: this daemon may have missed the answers.
/// Two probe intervals.
const PROBES_IGNORED: Duration = Duration::from_secs(2);
/// Spread of periodic work around its interval, so that daemons do not act together: a fifth to
/// either side.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Membership and spread of one daemon.
#[derive(Debug)]
pub struct ClusterCore {
    own: IncarnationId,
    record: MemberRecord,
    refutation: u64,
    members: MemberList,
    items: ItemStore,
    outboxes: HashMap<IncarnationId, BTreeSet<ItemKey>>,
    seeds: BTreeSet<SharedName>,
    links: Vec<IncarnationId>,
    probe_at: HashMap<IncarnationId, Instant>,
    refused: BTreeSet<IncarnationId>,
    sync_at: Instant,
    greet_at: Instant,
    recall_at: Instant,
    forget_at: Instant,
    last_tick: Instant,
    ignore_probes_until: Instant,
    counters: ClusterCounters,
    rng: SmallRng,
}

impl ClusterCore {
    /// Core of a daemon that knows only itself.
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
            recall_at: now + RECALL_EVERY,
            forget_at: now + FORGET_EVERY,
            last_tick: now,
            ignore_probes_until: now,
            counters: ClusterCounters::default(),
            rng,
        };
        core.announce_self(now, &mut Vec::new());
        core
    }

    /// Handles one event.
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

    /// Members as known here.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Items as known here.
    pub fn items(&self) -> &ItemStore {
        &self.items
    }

    /// Own incarnation; read by the in-memory fleet of the tests.
    pub fn own(&self) -> IncarnationId {
        self.own
    }

    /// Counters for metrics.
    pub fn counters(&self) -> ClusterCounters {
        self.counters
    }

    /// Forgets what was still to be sent; the next exchanges of summaries make up for it.
    /// The in-memory fleet of the tests calls it, to show that summaries alone suffice.
    pub fn drop_outboxes(&mut self) {
        self.outboxes.clear();
    }

    /// Some member that has not been removed.
    pub fn random_member(&mut self) -> Option<PeerTarget> {
        let point: u64 = self.rng.random();
        let found = self.members.successors(point, 1, self.own);
        self.target(*found.first()?)
    }

    /// Target of a member that has not been removed.
    pub fn target(&self, incarnation: IncarnationId) -> Option<PeerTarget> {
        let view = self.members.get(incarnation).filter(|view| view.is_present())?;
        Some(PeerTarget { incarnation, address: view.record.address.clone() })
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now.saturating_duration_since(self.last_tick) > PAUSE {
            self.ignore_probes_until = now + PROBES_IGNORED;
        }
        self.last_tick = now;
        self.greet_seeds(now, actions);
        self.recall_removed(now, actions);
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
