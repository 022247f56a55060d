//! What this daemon knows of all roll-outs: the orders with their plans, and the responses of each
//! version as counted here and reported by other daemons.
//!
//! Each daemon decides for itself, so that a bad version is stopped without the leader and without
//! the store, and tells its peers. Plans and verdicts are only ever replaced by later ones, so it
//! doesn't matter in which order messages arrive. Counts of a daemon that has not reported for a
//! while are dropped.

mod evidence;
mod pending_runs;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use self::pending_runs::PendingRuns;
pub use self::pending_runs::RunTicket;
use super::{
    response_times::ResponseTimes,
    rollout_order::{
        KnownRollout, OrderId, RecordedState, RolloutOrder, RolloutPhase, RolloutState, TrafficPlan,
    },
    version_counts::{RolloutCounts, RouteCounts},
};
use crate::{
    gateway::gossip::report_source::ReportSource, ids::SharedName, store_position::StorePosition,
};

/// One response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseQuality {
    /// In the usual time.
    Good,
    /// A failure or a slow response.
    Bad,
}

/// The target version of a roll-out has been found to be bad.
#[derive(Clone, Debug, PartialEq)]
pub struct BadVersion {
    /// The service.
    pub service: SharedName,
    /// The version.
    pub target: SharedName,
    /// The route whose responses decided.
    pub route: SharedName,
    /// Its responses since the last change of the plan.
    pub counts: RouteCounts,
}

/// A roll-out and what only this daemon knows of it.
#[derive(Clone, Debug)]
struct TrackedRollout {
    known: KnownRollout,
    /// The state in the store's object, as last read.
    recorded: Option<RecordedState>,
    /// When this daemon learned of the current plan.
    planned_at: Instant,
    /// Sums of the responses at that time.
    counted_before: RolloutCounts,
}

/// All roll-outs that this daemon knows.
#[derive(Debug, Default)]
pub struct RolloutTable {
    rollouts: BTreeMap<SharedName, TrackedRollout>,
    /// Starts of orders in the leader's record.
    restored: HashMap<OrderId, Instant>,
    own: RolloutCounts,
    reports: HashMap<ReportSource, (Instant, RolloutCounts)>,
    times: ResponseTimes,
    pending: PendingRuns,
}

impl RolloutTable {
    /// Applies an order read from the store at `position`, with the state that the store holds.
    /// Returns whether the order is new.
    pub fn observe_order(
        &mut self,
        order: RolloutOrder,
        position: StorePosition,
        recorded: Option<RecordedState>,
        now: Instant,
    ) -> bool {
        let service = order.service.clone();
        let known_id = self.rollouts.get(&service).map(|tracked| tracked.known.order.id);
        // The state of an earlier order may still be there.
        let may_be_earlier = known_id.is_some_and(|id| id != order.id);
        let target = order.target.clone();
        let is_new = self.receive(KnownRollout::new(order, position, now), now);
        let Some(tracked) = self.rollouts.get_mut(&service) else { return is_new };
        if position < tracked.known.position {
            return is_new;
        }
        let final_phase = recorded.as_ref().filter(|recorded| recorded.target == target);
        let final_phase = match final_phase.map(|recorded| recorded.state) {
            Some(RolloutState::Completed) => Some(RolloutPhase::Completed),
            Some(RolloutState::Reverted) => Some(RolloutPhase::Reverted),
            Some(RolloutState::Active) | None => None,
        };
        tracked.recorded = recorded;
        if let Some(phase) = final_phase.filter(|_| !may_be_earlier) {
            self.finish(&service, phase, now);
        }
        is_new
    }

    /// Applies the removal of a service's order, read from the store at `position`.
    pub fn withdraw(&mut self, service: &str, position: StorePosition, now: Instant) {
        let Some(tracked) = self.rollouts.get_mut(service) else { return };
        if tracked.known.position >= position {
            return;
        }
        tracked.known.position = position;
        tracked.recorded = None;
        let service = tracked.known.order.service.clone();
        self.finish(&service, RolloutPhase::Withdrawn, now);
    }

    /// Applies a complete listing of the orders' services at `position`: orders that it lacks were
    /// removed.
    pub fn retain_listed(&mut self, listed: &[SharedName], position: StorePosition, now: Instant) {
        let missing = self.rollouts.keys().filter(|service| !listed.contains(service));
        let missing: Vec<SharedName> = missing.cloned().collect();
        for service in missing {
            self.withdraw(&service, position, now);
        }
    }

    fn finish(&mut self, service: &SharedName, phase: RolloutPhase, now: Instant) {
        let Some(tracked) = self.rollouts.get(service) else { return };
        if tracked.known.plan.phase.is_final() {
            return;
        }
        let share = if phase == RolloutPhase::Completed { 1.0 } else { 0.0 };
        let step = tracked.known.plan.step.saturating_add(1);
        self.apply_plan(service, TrafficPlan { phase, share, step }, now);
    }

    /// Applies what another daemon knows, or a new order. Returns whether the order is new.
    pub fn receive(&mut self, heard: KnownRollout, now: Instant) -> bool {
        let service = heard.order.service.clone();
        let Some(tracked) = self.rollouts.get_mut(&service) else {
            self.track(heard, now);
            return true;
        };
        let known = &mut tracked.known;
        if known.order.id != heard.order.id {
            let is_later = heard.position > known.position;
            if is_later {
                self.track(heard, now);
            }
            return is_later;
        }
        known.position = known.position.max(heard.position);
        known.begun_at = known.begun_at.min(heard.begun_at);
        known.is_stopped |= heard.is_stopped;
        if heard.plan.replaces(&known.plan) {
            self.apply_plan(&service, heard.plan, now);
        }
        false
    }

    fn track(&mut self, mut known: KnownRollout, now: Instant) {
        if let Some(begun_at) = self.restored.get(&known.order.id) {
            known.begun_at = known.begun_at.min(*begun_at);
        }
        let service = known.order.service.clone();
        let tracked = TrackedRollout {
            known,
            recorded: None,
            planned_at: now,
            counted_before: RolloutCounts::new(),
        };
        self.rollouts.insert(service, tracked);
        self.drop_ended_counts();
    }

    /// Drops counts of orders that are no longer known.
    fn drop_ended_counts(&mut self) {
        let ids: Vec<OrderId> =
            self.rollouts.values().map(|tracked| tracked.known.order.id).collect();
        self.own.retain(|route, _| ids.contains(&route.order));
    }

    /// Applies a newer plan of a service's roll-out.
    pub fn apply_plan(&mut self, service: &SharedName, plan: TrafficPlan, now: Instant) {
        let counted = self.sums(now);
        if let Some(tracked) = self.rollouts.get_mut(service) {
            tracked.known.plan = plan;
            tracked.planned_at = now;
            tracked.counted_before = counted;
        }
    }

    /// Sets the start of an order from the leader's record, whether the order is known yet or not.
    pub fn restore_start(&mut self, order: OrderId, begun_at: Instant) {
        self.restored.insert(order, begun_at);
        let mut known = self.rollouts.values_mut().map(|tracked| &mut tracked.known);
        if let Some(known) = known.find(|known| known.order.id == order) {
            known.begun_at = known.begun_at.min(begun_at);
        }
    }

    /// All known roll-outs.
    pub fn known(&self) -> impl Iterator<Item = &KnownRollout> {
        self.rollouts.values().map(|tracked| &tracked.known)
    }

    /// The newest roll-out of a service.
    pub fn of_service(&self, service: &str) -> Option<&KnownRollout> {
        self.rollouts.get(service).map(|tracked| &tracked.known)
    }

    /// The version of a service that is being rolled out, if there is one.
    pub fn unproven_version(&self, service: &str) -> Option<&SharedName> {
        let known = self.of_service(service).filter(|known| known.is_active())?;
        Some(&known.order.target)
    }

    /// Time since this daemon learned of the current plan.
    pub fn plan_age(&self, service: &str, now: Instant) -> Duration {
        let tracked = self.rollouts.get(service);
        tracked.map_or(Duration::ZERO, |one| now.saturating_duration_since(one.planned_at))
    }

    /// Records the state that was written into the store's object at `position`.
    pub fn mark_recorded(
        &mut self,
        service: &str,
        recorded: RecordedState,
        position: StorePosition,
    ) {
        if let Some(tracked) = self.rollouts.get_mut(service) {
            tracked.recorded = Some(recorded);
            tracked.known.position = tracked.known.position.max(position);
        }
    }

    /// States that have to be written into the store: the service, the state, and the position at which
    /// the object was read.
    pub fn unrecorded(&self) -> Vec<(SharedName, RecordedState, StorePosition)> {
        let due = self.rollouts.iter().filter_map(|(service, tracked)| {
            let state = tracked.known.plan.phase.recorded_state()?;
            let target = tracked.known.order.target.clone();
            let wanted = RecordedState { state, target };
            let is_due = tracked.recorded.as_ref() != Some(&wanted);
            is_due.then(|| (service.clone(), wanted, tracked.known.position))
        });
        due.collect()
    }
}
