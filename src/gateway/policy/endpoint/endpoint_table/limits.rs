//! Limits that endpoints report for the requests from all daemons together, and this daemon's
//! shares of them.

use std::{collections::HashMap, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::EndpointTable;
use crate::{
    gateway::{
        gossip::report_source::ReportSource,
        policy::endpoint::{
            endpoint_status::EndpointStatus,
            request_limit::{HolderShare, LimitBucket, token_lending::spare_tokens},
            service_demand::DemandRate,
            signal_ledger::{EndpointLimit, LimitObservation, NumberedStart},
        },
    },
    ids::SharedName,
};

/// An endpoint that has reported a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedEndpoint {
    /// Id of the endpoint.
    pub id: SharedName,
    /// Its service.
    pub service: SharedName,
    /// The start that has reported it.
    pub start: NumberedStart,
    /// Requests per second that it takes from all daemons together.
    pub limit: f64,
}

/// Change of an endpoint's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Id of the endpoint.
    pub endpoint: SharedName,
    /// Requests per second; none if it has no limit.
    pub limit: Option<f64>,
}

/// Time for which the bucket of an endpoint that is not listed is kept: longer than it takes to list entries again
/// that lapsed while the store was away.
const UNLISTED_BUCKET_KEPT: Duration = Duration::from_secs(30);

impl EndpointTable {
    /// Keeps the tokens for an endpoint that has left the list: it may be listed again.
    pub(super) fn keep_bucket(&mut self, status: &EndpointStatus, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNLISTED_BUCKET_KEPT;
        self.unlisted_buckets.retain(|_, (_, at)| is_recent(at));
        if let Some(mut bucket) = status.limit {
            bucket.set_share(None, now);
            self.unlisted_buckets.entry(status.start()).or_insert((bucket, now));
        }
    }

    /// The bucket of a start that is listed again, or `new`.
    pub(super) fn take_bucket(
        &mut self,
        start: NumberedStart,
        new: LimitBucket,
        now: Instant,
    ) -> LimitBucket {
        let Some((mut bucket, _)) = self.unlisted_buckets.remove(&start) else { return new };
        bucket.set_limit(new.limit(), now);
        bucket
    }

    /// Records the limit in a response of an endpoint, or its absence. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        id: &str,
        observation: LimitObservation,
        now: Instant,
    ) -> Option<LimitChange> {
        let start = self.endpoints.get(id)?.start();
        self.signals.record_limit(EndpointLimit { start, observation }, now);
        self.apply_limit(id, now)
    }

    /// Applies another daemon's report of a limit. Returns the change, if any. A report without a
    /// start time counts only if the endpoint's start time is not known here either: the endpoint
    /// may have restarted since.
    pub fn receive_limit(&mut self, limit: EndpointLimit, now: Instant) -> Option<LimitChange> {
        let NumberedStart { endpoint, born } = limit.start;
        let known = self.endpoints.values().find(|status| status.number == endpoint);
        if born == 0 && known.is_some_and(|status| status.record.born != 0) {
            return None;
        }
        self.signals.receive_limit(limit, now);
        let id = known?.record.id.clone();
        self.apply_limit(&id, now)
    }

    /// Applies the limit in the ledger to the endpoint's status.
    fn apply_limit(&mut self, id: &str, now: Instant) -> Option<LimitChange> {
        let status = self.endpoints.get_mut(id)?;
        let held = self.signals.of(status.start()).limit_per_second();
        let known = status.limit.map(|bucket| bucket.limit());
        if held == known {
            return None;
        }
        match (held, &mut status.limit) {
            (Some(limit), Some(bucket)) => bucket.set_limit(limit, now),
            (Some(limit), None) => status.limit = Some(LimitBucket::new(limit, now)),
            (None, _) => {
                status.limit = None;
                // Without a slow start all daemons would send it all their requests at once.
                status.pause.resume_slowly(now);
            }
        }
        Some(LimitChange { endpoint: status.record.id.clone(), limit: held })
    }

    /// Limits to report to the other daemons.
    pub fn limits(&self, now: Instant, rng: &mut impl Rng) -> Vec<EndpointLimit> {
        self.signals.limits(now, rng)
    }

    /// Endpoints that take requests and have reported a limit.
    pub fn limited(&self) -> Vec<LimitedEndpoint> {
        let ready = self.endpoints.values().filter(|status| status.is_ready());
        let limited = ready.filter_map(|status: &EndpointStatus| {
            Some(LimitedEndpoint {
                id: status.record.id.clone(),
                service: status.record.service.clone(),
                start: status.start(),
                limit: status.limit?.limit(),
            })
        });
        limited.collect()
    }

    /// Updates the demand of this daemon for all services.
    pub fn observe_demand(&mut self, now: Instant) {
        for (service, counters) in &self.services {
            self.demands.entry(service.clone()).or_default().observe(counters.requests, now);
        }
    }

    /// Demand of this daemon for a service, in requests per second.
    pub fn own_demand(&self, service: &str) -> f64 {
        self.demands.get(service).map_or(0.0, DemandRate::per_second)
    }

    /// Demand of another daemon for a service, in requests per second; none if it has not reported.
    pub fn reported_demand(&self, from: ReportSource, service: &str) -> Option<f64> {
        self.reports.demand(from, service)
    }

    /// Sets this daemon's share of an endpoint's limit; none if it has no share.
    pub fn set_limit_share(&mut self, id: &str, share: Option<HolderShare>, now: Instant) {
        if let Some(bucket) = self.limit_of(id) {
            bucket.set_share(share, now);
        }
    }

    /// Takes a token for a request to an endpoint; false if its limit has none left.
    pub fn try_take_token(&mut self, id: &str, now: Instant) -> bool {
        self.limit_of(id).is_none_or(|bucket| bucket.try_take(now))
    }

    /// Returns the token of a request that was not sent.
    pub fn give_back_token(&mut self, id: &str) {
        if let Some(bucket) = self.limit_of(id) {
            bucket.give_back();
        }
    }

    /// Whether an endpoint of a service takes requests, but none of this daemon now because of its
    /// limit.
    pub fn is_any_at_limit(&self, service: &str, now: Instant) -> bool {
        self.of_service(service).any(|status| !status.is_within_limit(now))
    }

    /// Takes out the tokens that this daemon doesn't need, to lend them to another one. Shares of
    /// which it will lend tokens later are listed with 0.
    pub fn lend_tokens(&mut self, now: Instant) -> Vec<(NumberedStart, f64)> {
        let mut rates: HashMap<SharedName, f64> = HashMap::new();
        for status in self.endpoints.values().filter(|status| status.is_ready()) {
            let rate = status.limit.map_or(0.0, |bucket| bucket.rate());
            *rates.entry(status.record.service.clone()).or_default() += rate;
        }
        let demands = &self.demands;
        let ready = self.endpoints.values_mut().filter(|status| status.is_ready());
        let lend = |status: &mut EndpointStatus| {
            let service = &status.record.service;
            let demand = demands.get(service).map_or(0.0, DemandRate::per_second);
            let rate = rates.get(service).copied().unwrap_or(0.0);
            let start = status.start();
            let bucket = status.limit.as_mut().filter(|bucket| bucket.rate() > 0.0)?;
            let tokens = bucket.lend(|level| spare_tokens(level, demand, rate), now)?;
            Some((start, tokens))
        };
        ready.filter_map(lend).collect()
    }

    /// Adds tokens that another daemon has lent. Those for an endpoint without a limit, or for
    /// another start of it, are dropped.
    pub fn receive_lent(&mut self, start: NumberedStart, tokens: f64, now: Instant) {
        let known = self.endpoints.values_mut().find(|status| status.start() == start);
        if let Some(bucket) = known.and_then(|status| status.limit.as_mut()) {
            bucket.receive_lent(tokens, now);
        }
    }

    fn limit_of(&mut self, id: &str) -> Option<&mut LimitBucket> {
        self.endpoints.get_mut(id)?.limit.as_mut()
    }
}
