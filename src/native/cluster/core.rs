//! Pure core of membership and spread: events in, actions out.
//!
//! Each daemon probes the few that follow it on a ring of hashed incarnations, so each
//! is watched by a few. A daemon that does not answer is asked through helpers, then
//! suspected, and removed only if it does not refute in time (after SWIM; a daemon
//! that was paused itself distrusts its own probes, after Lifeguard). New items go to
//! ring successors and to a few far ones; summaries with one peer a second repair what
//! was lost. Cost per daemon does not depend on the number of daemons.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    events::{ClusterAction, ClusterCounters, ClusterEvent, PeerTarget},
    items::{ItemKey, ItemKind, ItemStore, SpreadItem},
    members::{MemberList, MemberRecord, MemberStatus, MemberView, member_version, split_version},
    soundness::{is_sound, parse_incarnation},
};
use crate::{
    ids::{IncarnationId, SharedName, hash_parts},
    native::decide::subset::daemon_position,
};

/// Ring successors that a daemon probes and sends new items to.
const SUCCESSORS: usize = 3;
/// Far daemons that it sends new items to.
const FAR_LINKS: usize = 3;
/// Time between probes of one neighbour.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time between exchanges of summaries.
const SYNC_EVERY: Duration = Duration::from_secs(1);
/// Time between greetings of addresses that are not members yet.
const GREET_EVERY: Duration = Duration::from_secs(1);
/// Time between greetings of a removed member, in case it was only cut off.
const RECALL_EVERY: Duration = Duration::from_secs(5);
/// Time a suspect has to refute.
const SUSPICION: Duration = Duration::from_secs(5);
/// Time a suspect has whose address refuses connections.
const SUSPICION_REFUSED: Duration = Duration::from_secs(2);
/// A tick this late means that this process was paused.
const PAUSE: Duration = Duration::from_millis(800);
/// How long probes' failures are distrusted after a pause.
const PROBES_IGNORED: Duration = Duration::from_secs(2);
/// How long removed members, gone VMs and old notices are remembered.
const TOMBSTONE_KEEP: Duration = Duration::from_secs(6 * 3_600);
/// Time between looks for stale items.
const FORGET_EVERY: Duration = Duration::from_secs(60);
/// Most items in one message.
const PUSH_LIMIT: usize = 256;
/// Helpers asked about a neighbour that does not answer.
const HELPERS: usize = 2;

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
                self.judge(incarnation, MemberStatus::Dead, now, &mut actions);
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
            self.sync_at = now + SYNC_EVERY.mul_f64(self.rng.random_range(0.8..1.2));
            actions.extend(self.random_member().map(ClusterAction::Sync));
        }
        if now >= self.forget_at {
            self.forget_at = now + FORGET_EVERY;
            self.forget(now, actions);
        }
    }

    fn greet_seeds(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.greet_at || self.seeds.is_empty() {
            return;
        }
        self.greet_at = now + GREET_EVERY;
        let known: BTreeSet<&SharedName> =
            self.members.present().map(|(_, view)| &view.record.address).collect();
        let unknown: Vec<&SharedName> =
            self.seeds.iter().filter(|address| !known.contains(address)).collect();
        // NOTE: a few a second, whatever the number of seeds; the peers met first tell
        // of the others.
        for _ in 0..SUCCESSORS.min(unknown.len()) {
            let index = self.rng.random_range(0..unknown.len());
            actions.push(ClusterAction::Greet(unknown[index].clone()));
        }
    }

    /// Greets a removed member now and then. After a cut, both sides have removed each
    /// other; the first greeting that gets through lets them learn of it and refute.
    fn recall_removed(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.recall_at {
            return;
        }
        self.recall_at = now + RECALL_EVERY.mul_f64(self.rng.random_range(0.8..1.2));
        let removed: Vec<&SharedName> = self
            .members
            .iter()
            .filter(|(_, view)| !view.is_present() && !view.record.leaving)
            .map(|(_, view)| &view.record.address)
            .collect();
        if !removed.is_empty() {
            let index = self.rng.random_range(0..removed.len());
            actions.push(ClusterAction::Greet(removed[index].clone()));
        }
    }

    /// Members that this daemon probes: its ring successors, which come first in the links.
    fn neighbours(&self) -> Vec<IncarnationId> {
        self.links.iter().take(SUCCESSORS).copied().collect()
    }

    fn probe_neighbours(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        for incarnation in self.neighbours() {
            let due = *self.probe_at.entry(incarnation).or_insert(now);
            if now >= due {
                self.probe_at.insert(incarnation, now + PROBE_EVERY);
                actions.extend(self.target(incarnation).map(ClusterAction::Probe));
            }
        }
    }

    fn probe_failed(
        &mut self,
        incarnation: IncarnationId,
        refused: bool,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        if now < self.ignore_probes_until {
            return;
        }
        let Some(target) = self.target(incarnation) else { return };
        let point: u64 = self.rng.random();
        let helpers = self.members.successors(point, HELPERS + 1, self.own);
        let helpers: Vec<PeerTarget> = helpers
            .into_iter()
            .filter(|helper| *helper != incarnation)
            .take(HELPERS)
            .filter_map(|helper| self.target(helper))
            .collect();
        if helpers.is_empty() {
            self.suspect(incarnation, refused, now, actions);
        } else {
            actions.push(ClusterAction::ProbeVia(helpers, target));
        }
        if refused {
            self.refused.insert(incarnation);
        }
    }

    fn suspect(
        &mut self,
        incarnation: IncarnationId,
        refused: bool,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        if now < self.ignore_probes_until {
            return;
        }
        if refused {
            self.refused.insert(incarnation);
        }
        let alive =
            self.members.get(incarnation).is_some_and(|view| view.status == MemberStatus::Alive);
        if alive {
            self.counters.suspected += 1;
            self.judge(incarnation, MemberStatus::Suspect, now, actions);
        }
    }

    /// Monitors remove the suspects among their neighbours once their time is over.
    fn remove_suspects(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.ignore_probes_until {
            return;
        }
        for incarnation in self.neighbours() {
            let Some(view) = self.members.get(incarnation) else { continue };
            let refused = self.refused.contains(&incarnation);
            let allowed = if refused { SUSPICION_REFUSED } else { SUSPICION };
            let over = now.saturating_duration_since(view.since) > allowed;
            if view.status == MemberStatus::Suspect && over {
                self.counters.removed += 1;
                self.judge(incarnation, MemberStatus::Dead, now, actions);
            }
        }
    }

    /// Says of another daemon what its monitors found.
    fn judge(
        &mut self,
        incarnation: IncarnationId,
        status: MemberStatus,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        let Some(view) = self.members.get(incarnation) else { return };
        let version = member_version(view.refutation, status);
        let name = incarnation.to_string().into();
        let item = SpreadItem::new(ItemKind::Member, name, version, &view.record);
        self.receive(None, vec![item], now, actions);
    }

    fn announce_self(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let version = member_version(self.refutation, MemberStatus::Alive);
        let name = self.own.to_string().into();
        let item = SpreadItem::new(ItemKind::Member, name, version, &self.record);
        self.receive(None, vec![item], now, actions);
    }

    fn greeted(
        &mut self,
        incarnation: IncarnationId,
        record: MemberRecord,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        if incarnation == self.own {
            return;
        }
        // NOTE: an address has one process; whoever was there before is gone.
        let before = self.members.at_address(&record.address);
        if let Some(before) = before.filter(|before| *before < incarnation) {
            self.judge(before, MemberStatus::Dead, now, actions);
        }
        let known = self.members.get(incarnation).map(MemberView::is_present);
        if known == Some(true) {
            return;
        }
        if known.is_none() {
            let name = incarnation.to_string().into();
            let item = SpreadItem::new(ItemKind::Member, name, 0, &record);
            self.receive(None, vec![item], now, actions);
        }
        // NOTE: one that was removed learns of it by this exchange, and refutes.
        let target = PeerTarget { incarnation, address: record.address };
        actions.push(ClusterAction::Sync(target));
    }

    fn receive(
        &mut self,
        from: Option<IncarnationId>,
        items: Vec<SpreadItem>,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        let mut fresh = Vec::new();
        let mut members_changed = false;
        for item in items {
            if !is_sound(&item) || !self.items.offer(item.clone(), now) {
                self.counters.stale_items += 1;
                continue;
            }
            self.counters.fresh_items += 1;
            if item.key.kind == ItemKind::Member {
                members_changed = true;
                self.take_member(&item, now, actions);
            }
            self.enqueue(&item.key, from);
            fresh.push(item);
        }
        if members_changed {
            self.relink();
            actions.push(ClusterAction::MembersChanged);
        }
        if !fresh.is_empty() {
            actions.push(ClusterAction::Changed(fresh));
        }
    }

    fn take_member(&mut self, item: &SpreadItem, now: Instant, actions: &mut Vec<ClusterAction>) {
        let Some(incarnation) = parse_incarnation(&item.key.name) else { return };
        let Some(record) = item.decode::<MemberRecord>() else { return };
        let (refutation, status) = split_version(item.version);
        if incarnation == self.own && status != MemberStatus::Alive {
            self.counters.refuted += 1;
            self.refutation = refutation + 1;
            self.members.set(
                incarnation,
                MemberView {
                    record: self.record.clone(),
                    status: MemberStatus::Alive,
                    refutation,
                    since: now,
                },
            );
            self.announce_self(now, actions);
            return;
        }
        let known = self.members.get(incarnation);
        let unchanged = known.filter(|view| view.status == status).map(|view| view.since);
        let since = unchanged.unwrap_or(now);
        self.members.set(incarnation, MemberView { record, status, refutation, since });
    }

    /// Marks an item to be sent on all links but the one it came from.
    fn enqueue(&mut self, key: &ItemKey, from: Option<IncarnationId>) {
        for link in &self.links {
            if Some(*link) != from {
                self.outboxes.entry(*link).or_default().insert(key.clone());
            }
        }
    }

    fn relink(&mut self) {
        let position = daemon_position(self.own).wrapping_add(1);
        let mut links = self.members.successors(position, SUCCESSORS, self.own);
        for index in 0..FAR_LINKS as u64 {
            let point = hash_parts(&[b"far", &self.own.0.to_le_bytes(), &index.to_le_bytes()]);
            let found = self.members.successors(point, SUCCESSORS + 1, self.own);
            links.extend(found.into_iter().find(|candidate| !links.contains(candidate)));
        }
        self.outboxes.retain(|link, _| links.contains(link));
        self.probe_at.retain(|link, _| links.contains(link));
        self.refused.retain(|link| links.contains(link));
        self.links = links;
    }

    fn flush(&mut self, actions: &mut Vec<ClusterAction>) {
        for link in self.links.clone() {
            let Some(outbox) = self.outboxes.get_mut(&link) else { continue };
            if outbox.is_empty() {
                continue;
            }
            let keys: Vec<ItemKey> = outbox.iter().take(PUSH_LIMIT).cloned().collect();
            for key in &keys {
                outbox.remove(key);
            }
            let items = keys.iter().filter_map(|key| self.items.get(key).cloned()).collect();
            actions.extend(self.target(link).map(|target| ClusterAction::Push(target, items)));
        }
    }

    fn forget(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let mut gone = Vec::new();
        self.items.forget(|item, since| {
            let ended = match item.key.kind {
                ItemKind::Row => false,
                ItemKind::Vm => item.value.is_none(),
                ItemKind::Notice => true,
                ItemKind::Member => split_version(item.version).1 == MemberStatus::Dead,
            };
            let stale = ended && now.saturating_duration_since(since) > TOMBSTONE_KEEP;
            if stale && item.key.kind == ItemKind::Member {
                gone.extend(parse_incarnation(&item.key.name));
            }
            stale
        });
        if !gone.is_empty() {
            for incarnation in gone {
                self.members.remove(incarnation);
            }
            actions.push(ClusterAction::MembersChanged);
        }
    }
}
