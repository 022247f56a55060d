//! Who is a member: greetings, probes, suspicion and removal.
//!
//! Each daemon probes the few that follow it on a ring of hashed incarnations, so each is
//! watched by a few. Inputs are the results of probes, seconds old at most. A daemon that does
//! not answer is probed through helpers, then suspected, and removed only if it does not refute
//! in time (after SWIM). A daemon that was paused itself ignores its own probes for a while
//! (after Lifeguard). A wrong removal heals: the daemon refutes as soon as it learns of it.

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
/// Time between greetings of addresses that are not members yet: as often as probes.
const GREET_EVERY: Duration = Duration::from_secs(1);
/// Time between greetings of a removed member, in case it was only cut off.
pub(super) const RECALL_EVERY: Duration = Duration::from_secs(5);
/// Time a suspect has to refute: longer than most freezes.
const SUSPICION: Duration = Duration::from_secs(5);
/// Time a suspect has to refute whose address refuses connections: a process that restarts listens
/// again within it.
const SUSPICION_REFUSED: Duration = Duration::from_secs(2);
/// Helpers that probe a neighbour which does not answer: one may itself be cut off.
const HELPERS: usize = 2;

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
        // A few a second, whatever the number of seeds: the first members to answer have the
        // others in their summaries.
        for _ in 0..SUCCESSORS.min(unknown.len()) {
            let index = self.rng.random_range(0..unknown.len());
            actions.push(ClusterAction::Greet(unknown[index].clone()));
        }
    }

    /// Greets a removed member now and then. After a cut, both sides have removed each
    /// other; the first greeting that gets through lets them learn of it and refute.
    pub(super) fn recall_removed(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if now < self.recall_at {
            return;
        }
        self.recall_at = now + RECALL_EVERY.mul_f64(self.rng.random_range(JITTER));
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

    /// Monitors remove the suspects among their neighbours once their time is over.
    pub(super) fn remove_suspects(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
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
                self.publish_status(incarnation, MemberStatus::Dead, now, actions);
            }
        }
    }

    /// Publishes the status that probes found for another daemon.
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
        // An address has one process: an older incarnation there is gone.
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
        // A removed member learns of its removal by this exchange, and refutes.
        let target = PeerTarget { incarnation, address: record.address };
        actions.push(ClusterAction::Sync(target));
    }
}
