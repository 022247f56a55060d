//! Slots of brittle endpoints that this daemon has lent to others or borrowed from them.
//!
//! A lent slot is taken out of the lender's share before the borrower learns of it, and returns when the
//! borrower releases it, or the time is over for which it wanted the slot. So lending never raises the
//! sum of what all daemons may use. Loans are for an endpoint's id: they stay when a new start of it is listed,
//! since the run of a daemon whose list is older may be at that start already.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{
    super::{
        endpoint_choice::{ChoiceQuery, ChoiceResult},
        endpoint_status::{SlotBound, SlotShare},
    },
    EndpointTable,
    slot_borrower::WantedEndpoint,
};
use crate::ids::SharedName;

/// Longest time for which a slot is lent: the borrower names its request's deadline, which may be far off.
const MAX_LOAN: Duration = Duration::from_secs(300);

/// Identifies a loan of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId(u64);

/// Slots that this daemon has lent.
#[derive(Debug, Default)]
pub(super) struct SlotLoans {
    newest: u64,
    /// Ids of the endpoints, and when the slots are taken back.
    open: BTreeMap<LoanId, (SharedName, Instant)>,
}

impl EndpointTable {
    /// Lends a free slot of this daemon's shares until `until`; none if it has none at an endpoint that
    /// fits the query.
    pub fn lend_slot(
        &mut self,
        query: &ChoiceQuery<'_>,
        until: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(LoanId, SharedName)> {
        let ChoiceResult::Endpoint(choice) = self.choose(query, now, rng) else { return None };
        let endpoint = choice.endpoint.id.clone();
        self.share_at(&endpoint)?.lent += 1;
        self.loans.newest += 1;
        let id = LoanId(self.loans.newest);
        self.loans.open.insert(id, (endpoint.clone(), until.min(now + MAX_LOAN)));
        Some((id, endpoint))
    }

    /// Takes a lent slot back. Does nothing if its time was over before.
    pub fn return_slot(&mut self, id: LoanId) {
        let Some((endpoint, _)) = self.loans.open.remove(&id) else { return };
        if let Some(share) = self.share_at(&endpoint) {
            share.lent = share.lent.saturating_sub(1);
        }
    }

    /// Takes back the lent slots whose time is over. Returns the number of those that are still lent.
    pub fn expire_loans(&mut self, now: Instant) -> usize {
        let open = self.loans.open.iter();
        let over: Vec<LoanId> =
            open.filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.return_slot(id));
        self.loans.open.len()
    }

    /// Adds a slot that another daemon has lent. Returns whether it can be used.
    pub fn receive_slot(&mut self, endpoint: &str) -> bool {
        let share = self.share_at(endpoint);
        let is_usable = share.is_some();
        share.into_iter().for_each(|share| share.borrowed += 1);
        is_usable
    }

    /// Removes a borrowed slot.
    pub fn release_slot(&mut self, endpoint: &str) {
        if let Some(share) = self.share_at(endpoint) {
            share.borrowed = share.borrowed.saturating_sub(1);
        }
    }

    /// This daemon's share at an endpoint whose slots are divided.
    fn share_at(&mut self, endpoint: &str) -> Option<&mut SlotShare> {
        match &mut self.endpoints.get_mut(endpoint)?.slot_bound {
            SlotBound::Divided(share) => Some(share),
            SlotBound::Undivided => None,
        }
    }

    /// Endpoints of a service, of this version if one is named, at which a slot may be borrowed.
    pub fn wanted_endpoints(&self, query: &ChoiceQuery<'_>) -> Vec<WantedEndpoint> {
        let all = self.of_service(query.service);
        let untried = all.filter(|status| !query.tried.contains(&status.record.id));
        let fitting = untried.filter(|status| {
            query.version.is_none_or(|version| *version == *status.record.version)
        });
        let wanted = fitting
            .map(|status| WantedEndpoint { number: status.number, slots: status.record.slots });
        wanted.collect()
    }
}
