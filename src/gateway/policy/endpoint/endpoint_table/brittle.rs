//! Services whose endpoints are brittle: such an endpoint falls over when it has to refuse more than a
//! few requests in a second for want of room.
//!
//! The bound is on the refusals of all daemons together, and no daemon learns in time what the others
//! send. While a service is brittle, the slots of each of its endpoints are therefore divided among the
//! daemons that are known to run (`slot_ring`). A daemon keeps no more requests at an endpoint than its share
//! and the slots that others lend it (`slot_loans`), and refuses others itself. Nothing waits at the endpoint,
//! since it may take fewer requests that wait.
//!
//! An endpoint of a brittle service that has just started gets nothing until its slots have been divided. All
//! daemons use it first since it is empty, so that without a bound it gets far more than it has room for.
//!
//! Inputs are the responses of all endpoints of the service, at this daemon and, by gossip, at others. A
//! service counts as brittle as a whole, so that a daemon that has used only some of its endpoints keeps
//! to the shares of all.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::EndpointTable;
use crate::{gateway::policy::endpoint::endpoint_status::SlotBound, ids::SharedName};

/// Time after the last response that said so for which a service counts as brittle: endpoints without
/// requests can't say that they still are.
const BRITTLE_FOR: Duration = Duration::from_secs(30);
/// The same if endpoints have since responded without saying so: only some may be brittle.
const BRITTLE_FOR_OTHERWISE: Duration = Duration::from_secs(5);
/// Time for which a service counts as brittle that was so to a daemon before this one started. It isn't passed
/// on, so that daemons that start don't renew the report of one that has ended.
const ASSUMED_FOR: Duration = Duration::from_secs(5);
/// Most services of which it is remembered that they were brittle.
const MAX_SERVICES: usize = 10_000;

/// What the responses of a service's endpoints say of its being brittle.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrittleState {
    /// When one last said so.
    said_at: Option<Instant>,
    /// When one last did not say so.
    other_at: Option<Instant>,
    /// Until when it is assumed, by an earlier daemon's word.
    assumed_until: Option<Instant>,
}

impl BrittleState {
    /// Whether the service is brittle.
    pub fn is_brittle(&self, now: Instant) -> bool {
        self.assumed_until.is_some_and(|until| now < until) || self.is_said(now)
    }

    /// Whether its endpoints have said so to a running daemon.
    fn is_said(&self, now: Instant) -> bool {
        let Some(said_at) = self.said_at else { return false };
        let has_ended = self.other_at.is_some_and(|at| at > said_at + BRITTLE_FOR_OTHERWISE);
        !has_ended && now.saturating_duration_since(said_at) < BRITTLE_FOR
    }

    /// Records a response that says so, or doesn't.
    pub fn record(&mut self, is_brittle: bool, at: Instant) {
        let known = if is_brittle { &mut self.said_at } else { &mut self.other_at };
        *known = (*known).max(Some(at));
        if !is_brittle {
            self.assumed_until = None;
        }
    }

    /// Assumes that the service is brittle, unless its endpoints have said something before.
    fn assume(&mut self, now: Instant) {
        if self.said_at.is_none() && self.other_at.is_none() && self.assumed_until.is_none() {
            self.assumed_until = Some(now + ASSUMED_FOR);
        }
    }
}

/// An endpoint of a brittle service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittleEndpoint {
    /// Id.
    pub id: SharedName,
    /// Its number, which decides who holds its slots.
    pub number: u64,
    /// Requests that it processes concurrently.
    pub slots: u32,
}

impl EndpointTable {
    /// Records whether an endpoint has said in a response that it is brittle. Returns the service if it
    /// has become brittle.
    pub fn record_brittle(
        &mut self,
        id: &str,
        is_brittle: bool,
        now: Instant,
    ) -> Option<SharedName> {
        let service = self.endpoints.get(id)?.record.service.clone();
        if !is_brittle && !self.brittle.contains_key(&service) {
            return None;
        }
        let became_brittle = self.record_service(&service, is_brittle, now, now);
        became_brittle.then_some(service)
    }

    /// Applies another daemon's report that a service was brittle at `at`. Returns whether it has become
    /// brittle. A daemon that has just started may hear it before it has a list of endpoints.
    pub fn receive_brittle(&mut self, service: &SharedName, at: Instant, now: Instant) -> bool {
        if !self.brittle.contains_key(service) && self.brittle.len() >= MAX_SERVICES {
            return false;
        }
        self.record_service(service, true, at, now)
    }

    /// Assumes for a while that a service is brittle, as an earlier daemon has said.
    pub fn assume_brittle(&mut self, service: &SharedName, now: Instant) {
        if self.brittle.len() < MAX_SERVICES {
            self.brittle.entry(service.clone()).or_default().assume(now);
        }
    }

    fn record_service(
        &mut self,
        service: &SharedName,
        is_brittle: bool,
        at: Instant,
        now: Instant,
    ) -> bool {
        let state = self.brittle.entry(service.clone()).or_default();
        let was_brittle = state.is_brittle(now);
        state.record(is_brittle, at);
        !was_brittle && state.is_brittle(now)
    }

    /// Brittle services, and when an endpoint of each last said so.
    pub fn brittle_services(&self, now: Instant) -> Vec<(SharedName, Instant)> {
        let brittle = self.brittle.iter().filter(|(_, state)| state.is_said(now));
        brittle.filter_map(|(service, state)| Some((service.clone(), state.said_at?))).collect()
    }

    /// Whether a service is brittle.
    pub fn is_brittle(&self, service: &str, now: Instant) -> bool {
        self.brittle.get(service).is_some_and(|state| state.is_brittle(now))
    }

    /// Endpoints of brittle services.
    pub fn brittle_endpoints(&self, now: Instant) -> Vec<BrittleEndpoint> {
        let all = self.endpoints.values().filter(|status| status.is_ready());
        let brittle = all.filter(|status| self.is_brittle(&status.record.service, now));
        let endpoint = brittle.map(|status| BrittleEndpoint {
            id: status.record.id.clone(),
            number: status.number,
            slots: status.record.slots,
        });
        endpoint.collect()
    }

    /// Sets this daemon's shares of the slots of brittle endpoints. It has none at other endpoints of
    /// brittle services.
    pub fn set_slot_shares(&mut self, shares: &[(SharedName, u32)], now: Instant) {
        let shares: HashMap<&SharedName, u32> =
            shares.iter().map(|(id, share)| (id, *share)).collect();
        for (id, status) in &mut self.endpoints {
            let state = self.brittle.get(&status.record.service);
            match state.is_some_and(|state| state.is_brittle(now)) {
                true => status.slot_bound.set_share(shares.get(id).copied().unwrap_or(0)),
                false => status.slot_bound = SlotBound::Undivided,
            }
        }
    }
}
