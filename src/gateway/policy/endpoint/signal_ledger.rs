//! Signals that endpoints have sent in their responses, by start of the endpoint.
//!
//! | signal | source | valid | reported to other daemons |
//! |---|---|---|---|
//! | draining | any response of the endpoint itself | until a later start is listed | for 10 s |
//! | back-off | a 503 to this daemon | until its end or a later start | as a refusal |
//! | refusal despite apparent room, or repeated failure | a response to this daemon, or a missing one | see `endpoint_pause` | for 2 s |
//! | single failure | the same | the same | for 2 s, the first one urgently |
//! | limit | any response of the endpoint itself | until a later response has none | while valid; its end for 10 s |
//!
//! Draining applies to all daemons, so the others stop sending requests too. A refusal and its
//! back-off may be meant for the daemon that received it, so the others only take more care
//! (`endpoint_pause`). Without these reports, each of 87 daemons would find out by refused
//! requests.
//!
//! A limit applies to all daemons together, so the others apply it as soon as they receive it. A
//! response without a limit ends it if its request was sent after the last response with a limit
//! had arrived; otherwise it may have overtaken that response. Of two reports that may be from the
//! same time, the one with the smaller limit counts.
//!
//! Nothing else revokes a signal. A list may be older than the response, or lack the endpoint for a
//! while, if the store is unavailable or the list comes from a daemon that lags behind. Responses
//! may overtake each other, so of two back-offs the one that ends later counts. Entries are
//! identified by the endpoint's number and start; if the start is not known (0), by the number
//! alone.

mod active_signals;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

pub use self::active_signals::{ActiveSignals, LimitObservation};

/// Time for which other daemons are sent the report that an endpoint drains, or that its limit has
/// ended: some gossip rounds of a large fleet. Daemons that start later learn it from the endpoint.
const REPORTED_FOR: Duration = Duration::from_secs(10);
/// Time for which other daemons are sent the report that an endpoint has not served a request: a
/// gossip round of a large fleet.
const NOT_SERVED_REPORTED_FOR: Duration = Duration::from_secs(2);
/// Time for which other daemons are informed of a failure without delay: some gossip intervals, in which the
/// report reaches all daemons of a large fleet.
const URGENT_FOR: Duration = Duration::from_millis(300);
/// Time for which signals of an unlisted endpoint are kept: longer than store outages and than the
/// delay of lists.
const UNLISTED_KEPT: Duration = Duration::from_secs(3_600);
/// Most warnings in one message. If there are more, daemons also learn from the lists.
const MAX_WARNINGS: usize = 64;
/// Most limits in one message. Each message has a new random sample, so that all of them reach all
/// daemons if there are more.
const MAX_LIMITS: usize = 16;

/// One start of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NumberedStart {
    /// Number of the endpoint.
    pub endpoint: u64,
    /// When it started, in milliseconds since 1970 by its own clock; 0 if not known.
    pub born: u64,
}

/// Kind of a warning to the other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarningKind {
    /// The endpoint drains.
    Draining,
    /// The endpoint asks for a back-off, refuses requests although it seemed to have room, or fails
    /// them repeatedly.
    NotServing,
    /// The endpoint, which fails more often than others, has failed a request.
    Failed,
}

/// Warning about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWarning {
    /// The endpoint.
    pub start: NumberedStart,
    /// Kind of the warning.
    pub kind: WarningKind,
    /// When a daemon received the response with the signal: the first one with the draining signal,
    /// or the newest refusal or failure.
    pub at: Instant,
}

/// Report of an endpoint's limit to the other daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLimit {
    /// The endpoint.
    pub start: NumberedStart,
    /// The limit in its responses.
    pub observation: LimitObservation,
}

#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    born: u64,
    signals: ActiveSignals,
    received_at: Instant,
}

/// Signals of all endpoints.
#[derive(Debug, Default)]
pub struct SignalLedger {
    by_endpoint: HashMap<u64, LedgerEntry>,
    /// Until when other daemons are informed of a failure without delay.
    urgent_until: Option<Instant>,
}

impl SignalLedger {
    /// Records a warning, from a response to this daemon or from another daemon. Returns whether it
    /// is new.
    pub fn record(&mut self, warning: EndpointWarning, now: Instant) -> bool {
        let Some(entry) = self.entry_of(warning.start, now) else { return false };
        let (is_new, is_first_failure) = match warning.kind {
            WarningKind::Draining => (entry.signals.record_draining(warning.at), false),
            WarningKind::NotServing => (entry.signals.record_not_served(warning.at), false),
            WarningKind::Failed => entry.signals.record_failed(warning.at),
        };
        if is_first_failure {
            self.urgent_until = Some(now + URGENT_FOR);
        }
        is_new
    }

    /// Whether other daemons should be informed of a failure without delay.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.urgent_until.is_some_and(|until| now < until)
    }

    /// Records a back-off for this daemon.
    pub fn record_backoff(&mut self, start: NumberedStart, until: Instant, now: Instant) {
        let Some(entry) = self.entry_of(start, now) else { return };
        let known = entry.signals.backoff_until;
        entry.signals.backoff_until = known.max(Some(until));
    }

    /// Records the limit, or its absence, in a response to this daemon.
    pub fn record_limit(&mut self, limit: EndpointLimit, now: Instant) {
        let EndpointLimit { start, observation } = limit;
        if observation.limit.is_none() && self.of(start).limit.is_none() {
            return;
        }
        if let Some(entry) = self.entry_of(start, now) {
            entry.signals.record_limit(observation);
        }
    }

    /// Records a limit, or its end, that another daemon has reported.
    pub fn receive_limit(&mut self, limit: EndpointLimit, now: Instant) {
        if let Some(entry) = self.entry_of(limit.start, now) {
            entry.signals.receive_limit(limit.observation);
        }
    }

    /// Limits to report to the other daemons: valid ones and, for a while, those that have ended.
    /// If there are too many for a message, a random sample.
    pub fn limits(&self, now: Instant, rng: &mut impl Rng) -> Vec<EndpointLimit> {
        let reported = self.by_endpoint.iter().filter_map(|(endpoint, entry)| {
            let start = NumberedStart { endpoint: *endpoint, born: entry.born };
            let ActiveSignals { limit, limit_ended_at, .. } = entry.signals;
            let is_over = |at: Instant| now.saturating_duration_since(at) >= REPORTED_FOR;
            let is_reported = !limit_ended_at.is_some_and(is_over);
            limit.filter(|_| is_reported).map(|observation| EndpointLimit { start, observation })
        });
        reported.sample(rng, MAX_LIMITS)
    }

    /// Signals that apply to a start: its own, or those of a later start that no list has shown
    /// yet.
    pub fn of(&self, start: NumberedStart) -> ActiveSignals {
        let entry = self.by_endpoint.get(&start.endpoint);
        let applicable = entry.filter(|entry| entry.born == 0 || start.born <= entry.born);
        applicable.map_or_else(ActiveSignals::default, |entry| entry.signals)
    }

    /// Drops signals of starts earlier than the listed ones, and old signals of unlisted endpoints.
    /// Returns the endpoints that have restarted.
    pub fn apply_list(
        &mut self,
        starts: impl Iterator<Item = NumberedStart>,
        now: Instant,
    ) -> HashSet<u64> {
        let (mut listed, mut restarted) = (HashSet::new(), HashSet::new());
        if self.by_endpoint.is_empty() {
            return restarted;
        }
        for NumberedStart { endpoint, born } in starts {
            listed.insert(endpoint);
            let Some(entry) = self.by_endpoint.get_mut(&endpoint) else { continue };
            match entry.born {
                0 => entry.born = born,
                earlier if earlier < born => {
                    self.by_endpoint.remove(&endpoint);
                    restarted.insert(endpoint);
                }
                _ => {}
            }
        }
        let is_recent =
            |entry: &LedgerEntry| now.saturating_duration_since(entry.received_at) < UNLISTED_KEPT;
        self.by_endpoint.retain(|endpoint, entry| listed.contains(endpoint) || is_recent(entry));
        restarted
    }

    /// Drops the signals of a start that no endpoint has had.
    pub fn forget(&mut self, start: NumberedStart) {
        let entry = self.by_endpoint.get(&start.endpoint);
        if entry.is_some_and(|entry| entry.born == start.born) {
            self.by_endpoint.remove(&start.endpoint);
        }
    }

    /// Warnings to report to the other daemons, newest first.
    pub fn warnings(&self, now: Instant) -> Vec<EndpointWarning> {
        let mut warnings = Vec::new();
        for (endpoint, entry) in &self.by_endpoint {
            let start = NumberedStart { endpoint: *endpoint, born: entry.born };
            let ActiveSignals { draining_since, not_served_at, failed_at, .. } = entry.signals;
            let draining = draining_since.map(|at| (WarningKind::Draining, at, REPORTED_FOR));
            let refusing =
                not_served_at.map(|at| (WarningKind::NotServing, at, NOT_SERVED_REPORTED_FOR));
            let failed = failed_at.map(|at| (WarningKind::Failed, at, NOT_SERVED_REPORTED_FOR));
            for (kind, at, reported_for) in draining.into_iter().chain(refusing).chain(failed) {
                if now.saturating_duration_since(at) < reported_for {
                    warnings.push(EndpointWarning { start, kind, at });
                }
            }
        }
        warnings.sort_by_key(|warning| std::cmp::Reverse(warning.at));
        warnings.truncate(MAX_WARNINGS);
        warnings
    }

    /// Returns the entry of a start. Creates it if there is none, or only one of an earlier start;
    /// returns none if signals of a later start are known.
    fn entry_of(&mut self, start: NumberedStart, now: Instant) -> Option<&mut LedgerEntry> {
        let NumberedStart { endpoint, born } = start;
        let new = LedgerEntry { born, signals: ActiveSignals::default(), received_at: now };
        let entry = self.by_endpoint.entry(endpoint).or_insert(new);
        match entry.born {
            known if known == born || born == 0 => {}
            0 => entry.born = born,
            known if known < born => *entry = new,
            _ => return None,
        }
        entry.received_at = now;
        Some(entry)
    }
}
