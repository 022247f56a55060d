//! What endpoints have said of themselves in their responses, for each start of them.
//!
//! | signal | heard | holds | others are told |
//! |---|---|---|---|
//! | it drains | in any own response of it | until a later start of it is listed | for 10 s |
//! | it asks for a back-off | in a 503 to this daemon | until its end or a later start | it refuses |
//! | it refuses, and seemed to have room, or fails | in a response to this daemon, or the want of one | see `endpoint_pause` | for 2 s |
//! | it takes so many requests | in any own response of it | until a later response names none | while it holds, for 10 s that it has ended |
//!
//! An endpoint drains whoever asks, so that the other daemons stop too. A refusal, and the time in it,
//! may be meant for the daemon that got it: others are only careful there (`endpoint_pause`). With 87
//! daemons each would otherwise find out by requests that are refused.
//!
//! A limit binds all daemons together, so the others keep to it as soon as they hear it. A response
//! that names none ends it if its request was sent after the last one that names a limit had come;
//! otherwise it may have overtaken that one. Of two reports that may be of the same time the one
//! with the smaller limit counts.
//!
//! Nothing else takes a signal back. A list may be older than the response, and may lack the endpoint
//! for a while: both come when the store is away, or from a daemon that lags behind. Two responses
//! may overtake each other, so that of two back-offs the one that ends later counts. Inputs are an
//! endpoint's number and start; of a start that isn't known (0) the number alone decides.

mod held_signals;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

pub use self::held_signals::{HeldSignals, LimitObservation};

/// Time for which other daemons are told that an endpoint drains, or that its limit has ended: some
/// gossip rounds of a large fleet. Daemons that start later hear it from the endpoint.
const TOLD_FOR: Duration = Duration::from_secs(10);
/// Time for which other daemons are told that an endpoint has not served a request: a gossip round of a
/// large fleet.
const NOT_SERVED_TOLD_FOR: Duration = Duration::from_secs(2);
/// Time for which the signals of an endpoint are kept that no list names any more: longer than the
/// store is away, and than lists lag behind.
const UNLISTED_KEPT: Duration = Duration::from_secs(3_600);
/// Most warnings in one message; of more at once, lists tell too.
const MAX_TOLD: usize = 64;
/// Most limits in one message, drawn anew for each, so that more of them reach all daemons too.
const MAX_LIMITS_TOLD: usize = 16;

/// One start of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberedStart {
    /// Number of the endpoint.
    pub endpoint: u64,
    /// When it started, in milliseconds since 1970 by its own clock; 0 if not known.
    pub born: u64,
}

/// What the other daemons are warned of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarningKind {
    /// The endpoint drains.
    Draining,
    /// It asks for a back-off, refuses requests though it seemed to have room, or fails them.
    NotServing,
}

/// Warning of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWarning {
    /// The endpoint.
    pub start: NumberedStart,
    /// What it is about.
    pub kind: WarningKind,
    /// When a daemon got the response that it comes from: the first that said that the endpoint
    /// drains, the newest refusal.
    pub at: Instant,
}

/// Report of an endpoint's limit to the other daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLimit {
    /// The endpoint.
    pub start: NumberedStart,
    /// What it has said.
    pub observation: LimitObservation,
}

#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    born: u64,
    signals: HeldSignals,
    heard_at: Instant,
}

/// Signals of all endpoints.
#[derive(Debug, Default)]
pub struct SignalLedger {
    by_endpoint: HashMap<u64, LedgerEntry>,
}

impl SignalLedger {
    /// Takes a warning, from an own response or another daemon; whether it is news.
    pub fn record(&mut self, warning: EndpointWarning, now: Instant) -> bool {
        let Some(entry) = self.entry_of(warning.start, now) else { return false };
        match warning.kind {
            WarningKind::Draining => entry.signals.record_draining(warning.at),
            WarningKind::NotServing => entry.signals.record_not_served(warning.at),
        }
    }

    /// The endpoint wants no requests from this daemon until then.
    pub fn record_backoff(&mut self, start: NumberedStart, until: Instant, now: Instant) {
        let Some(entry) = self.entry_of(start, now) else { return };
        let known = entry.signals.backoff_until;
        entry.signals.backoff_until = known.max(Some(until));
    }

    /// Takes what an endpoint has said of its limit to this daemon.
    pub fn record_limit(&mut self, limit: EndpointLimit, now: Instant) {
        let EndpointLimit { start, observation } = limit;
        if observation.limit.is_none() && self.of(start).limit.is_none() {
            return;
        }
        if let Some(entry) = self.entry_of(start, now) {
            entry.signals.record_limit(observation);
        }
    }

    /// Takes what an endpoint has said of its limit to another daemon.
    pub fn receive_limit(&mut self, limit: EndpointLimit, now: Instant) {
        if let Some(entry) = self.entry_of(limit.start, now) {
            entry.signals.receive_limit(limit.observation);
        }
    }

    /// Reports of limits to the other daemons: those that hold, and for a while those that have ended.
    /// Of many some are drawn at random, so that each has its turn.
    pub fn limits(&self, now: Instant, rng: &mut impl Rng) -> Vec<EndpointLimit> {
        let told = self.by_endpoint.iter().filter_map(|(endpoint, entry)| {
            let start = NumberedStart { endpoint: *endpoint, born: entry.born };
            let HeldSignals { limit, limit_ended_at, .. } = entry.signals;
            let is_over = |at: Instant| now.saturating_duration_since(at) >= TOLD_FOR;
            let is_told = !limit_ended_at.is_some_and(is_over);
            limit.filter(|_| is_told).map(|observation| EndpointLimit { start, observation })
        });
        told.sample(rng, MAX_LIMITS_TOLD)
    }

    /// Signals that hold for a start: its own, and those of later starts, of which no list has
    /// told yet.
    pub fn of(&self, start: NumberedStart) -> HeldSignals {
        let entry = self.by_endpoint.get(&start.endpoint);
        let held = entry.filter(|entry| entry.born == 0 || start.born <= entry.born);
        held.map_or_else(HeldSignals::default, |entry| entry.signals)
    }

    /// Drops signals of earlier starts than those of the list, and old ones of endpoints that it
    /// doesn't name. Returns the endpoints that have started again.
    pub fn apply_list(
        &mut self,
        starts: impl Iterator<Item = NumberedStart>,
        now: Instant,
    ) -> HashSet<u64> {
        let (mut listed, mut started_again) = (HashSet::new(), HashSet::new());
        if self.by_endpoint.is_empty() {
            return started_again;
        }
        for NumberedStart { endpoint, born } in starts {
            listed.insert(endpoint);
            let Some(entry) = self.by_endpoint.get_mut(&endpoint) else { continue };
            match entry.born {
                0 => entry.born = born,
                earlier if earlier < born => {
                    self.by_endpoint.remove(&endpoint);
                    started_again.insert(endpoint);
                }
                _ => {}
            }
        }
        let is_recent =
            |entry: &LedgerEntry| now.saturating_duration_since(entry.heard_at) < UNLISTED_KEPT;
        self.by_endpoint.retain(|endpoint, entry| listed.contains(endpoint) || is_recent(entry));
        started_again
    }

    /// Warnings for the other daemons, the newest first.
    pub fn warnings(&self, now: Instant) -> Vec<EndpointWarning> {
        let mut warnings = Vec::new();
        for (endpoint, entry) in &self.by_endpoint {
            let start = NumberedStart { endpoint: *endpoint, born: entry.born };
            let HeldSignals { draining_since, not_served_at, .. } = entry.signals;
            let draining = draining_since.map(|at| (WarningKind::Draining, at, TOLD_FOR));
            let refusing =
                not_served_at.map(|at| (WarningKind::NotServing, at, NOT_SERVED_TOLD_FOR));
            for (kind, at, told_for) in draining.into_iter().chain(refusing) {
                if now.saturating_duration_since(at) < told_for {
                    warnings.push(EndpointWarning { start, kind, at });
                }
            }
        }
        warnings.sort_by_key(|warning| std::cmp::Reverse(warning.at));
        warnings.truncate(MAX_TOLD);
        warnings
    }

    /// The entry of a start, made where there is none or one of an earlier start; none if the
    /// signals of a later start are known.
    fn entry_of(&mut self, start: NumberedStart, now: Instant) -> Option<&mut LedgerEntry> {
        let NumberedStart { endpoint, born } = start;
        let new = LedgerEntry { born, signals: HeldSignals::default(), heard_at: now };
        let entry = self.by_endpoint.entry(endpoint).or_insert(new);
        match entry.born {
            known if known == born || born == 0 => {}
            0 => entry.born = born,
            known if known < born => *entry = new,
            _ => return None,
        }
        entry.heard_at = now;
        Some(entry)
    }
}
