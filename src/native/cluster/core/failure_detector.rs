//! Failure detection: greetings, probes, suspicion and removal of members.
//!
//! Each daemon probes the few daemons that follow it on a ring of hashed incarnations, so each is
//! probed by a few others. Inputs are the results of probes, seconds old at most. A daemon that
//! does not answer is probed through helpers, then suspected, and removed only if it does not
//! refute the suspicion in time (as in SWIM). A daemon that was paused itself ignores its own
//! failed probes for a while (as in Lifeguard). A wrong removal is corrected: the removed daemon
//! refutes it as soon as it learns of it.

use std::{collections::BTreeSet, time::Duration};

use rand::RngExt;
use tokio::time::Instant;

use super::{ClusterCore, JITTER, SUCCESSORS};
use crate::{
    ids::{IncarnationId, SharedName},
    native::cluster::{
        events::{ClusterAction, PeerTarget},
        items::{ItemKind, SpreadItem},
        members::{MemberRecord, MemberStatus, MemberView, member_version},
    },
};

/// Time between probes of one neighbour.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time between greetings to addresses that are not members yet: as often as probes.
const GREET_EVERY: Duration = Duration::from_secs(1);
/// Time between greetings to a removed member, in case it was only disconnected.
pub(super) const GREET_REMOVED_EVERY: Duration = Duration::from_secs(5);
/// Time that a suspect has to refute the suspicion: longer than most pauses of a process.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a suspect has to refute the suspicion if its address refuses connections: a process
/// that restarts listens again within this time.
const REFUSED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of helpers that probe a neighbour which does not answer, as one may be disconnected
/// itself.
const PROBE_HELPERS: usize = 2;

impl ClusterCore {
    pub(super) fn greet_seeds(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.greet_at || self.seeds.is_empty() {
            return;
        }
        self.greet_at = now + GREET_EVERY;
        let known: BTreeSet<&SharedName> =
            self.members.present().map(|(_, view)| &view.record.address).collect();
        let unknown: Vec<&SharedName> =
            self.seeds.iter().filter(|address| !known.contains(address)).collect();
        // Greets only a few a second, whatever the number of seeds: the summaries of the first
        // members that answer contain the others.
        for _ in 0..SUCCESSORS.min(unknown.len()) {
            let index = self.rng.random_range(0..unknown.len());
            actions.push(ClusterAction::Greet(unknown[index].clone()));
        }
    }

    /// Periodically greets a random removed member. After a network partition, both sides have
    /// removed each other; with the first greeting that arrives they learn of it and refute.
    pub(super) fn greet_removed(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.greet_removed_at {
            return;
        }
        self.greet_removed_at = now + GREET_REMOVED_EVERY.mul_f64(self.rng.random_range(JITTER));
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

    pub(super) fn probe_neighbours(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        for incarnation in self.neighbours() {
            let due = *self.probe_at.entry(incarnation).or_insert(now);
            if now >= due {
                self.probe_at.insert(incarnation, now + PROBE_EVERY);
                actions.extend(self.target(incarnation).map(ClusterAction::Probe));
            }
        }
    }

    pub(super) fn probe_failed(
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
        let helpers = self.members.successors(point, PROBE_HELPERS + 1, self.own);
        let helpers: Vec<PeerTarget> = helpers
            .into_iter()
            .filter(|helper| *helper != incarnation)
            .take(PROBE_HELPERS)
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

    pub(super) fn suspect(
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
            self.publish_status(incarnation, MemberStatus::Suspect, now, actions);
        }
    }

    /// Removes the neighbours whose time to refute a suspicion is over.
    pub(super) fn remove_suspects(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.ignore_probes_until {
            return;
        }
        for incarnation in self.neighbours() {
            let Some(view) = self.members.get(incarnation) else { continue };
            let refused = self.refused.contains(&incarnation);
            let allowed = if refused { REFUSED_SUSPICION_TIMEOUT } else { SUSPICION_TIMEOUT };
            let over = now.saturating_duration_since(view.since) > allowed;
            if view.status == MemberStatus::Suspect && over {
                self.counters.removed += 1;
                self.publish_status(incarnation, MemberStatus::Dead, now, actions);
            }
        }
    }

    /// Publishes the status of another daemon as found by probes.
    pub(super) fn publish_status(
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

    pub(super) fn greeted(
        &mut self,
        incarnation: IncarnationId,
        record: MemberRecord,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        if incarnation == self.own {
            return;
        }
        // Only one process listens on an address, so an older incarnation there is gone.
        let before = self.members.at_address(&record.address);
        if let Some(before) = before.filter(|before| *before < incarnation) {
            self.publish_status(before, MemberStatus::Dead, now, actions);
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
        // A removed member learns of its removal by this exchange and refutes it.
        let target = PeerTarget { incarnation, address: record.address };
        actions.push(ClusterAction::Sync(target));
    }
}
