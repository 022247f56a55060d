//! Decides when to fetch a newer configuration or endpoint list, and from which daemon.
//!
//! Inputs are the versions that peers report with each gossip message, those that this daemon holds,
//! and how long it waits for the store to deliver a change first. Each text is
//! requested from one daemon at a time. Any daemon that holds a newer text than this one will do:
//! the newest is asked first, but not one that has just refused while others are left. A
//! request ends with its response; one that is not answered in `FETCH_TIMEOUT`, or with a text
//! that can't be read, holds up the next for that time. Without reports nothing is fetched.
//!
//! If each asked only the daemon that reported the newest revision, the few that hold it would be
//! asked by all others at once and refuse most of them, the same ones each time: with a change
//! every 0.2 s up to 6.0 s pass until all of 87 daemons hold it or a newer one, 1.0 s by this rule
//! (model of tests/gateway/text_model.rs, 18 KB, seeds 1 to 8).

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::{
    held_texts::HeldVersions,
    text_fetches::{FetchOutcome, FetchOutcomes, TextFetches},
};
use crate::store_position::StorePosition;

/// Time after which a text that was requested and not received is requested again: three times what
/// a long text takes on an idle link of 10 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that a daemon that watches the store waits for a change from there before it requests the
/// change from a peer.
const STORE_HEAD_START: Duration = Duration::from_millis(300);

/// How long a daemon was known to hold an older configuration, and what it tried meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationLag {
    /// Milliseconds since a newer version was reported; 0 if none was.
    pub duration_ms: u64,
    /// Requests for the text that were withheld.
    pub withheld: u32,
    /// Requests for the text that failed or brought one that can't be read.
    pub failed: u32,
}

/// Time for which a lagging daemon waits for the store before it asks peers.
pub fn wait_for_store(watches_store: bool, store_fails: bool) -> Duration {
    match watches_store && !store_fails {
        true => STORE_HEAD_START,
        false => Duration::ZERO,
    }
}

/// A daemon that holds a newer text.
#[derive(Clone, Copy, Debug)]
struct TextHolder<V> {
    version: V,
    /// When a request to it was last withheld or failed.
    refused_at: Option<Instant>,
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    to: SocketAddr,
    at: Instant,
}

/// What is known of newer texts of one thing.
#[derive(Clone, Debug, Default)]
struct TextCatchUp<V> {
    held: V,
    /// Since when a newer version than `held` is known.
    lagging_since: Option<Instant>,
    /// Daemons that hold a newer one.
    holders: BTreeMap<SocketAddr, TextHolder<V>>,
    request: Option<PendingRequest>,
    withheld: u32,
    failed: u32,
}

impl<V: Copy + Ord> TextCatchUp<V> {
    /// Notes what this daemon holds now; what it has tried for an older text no longer counts.
    fn set_held(&mut self, held: V, now: Instant) {
        if held == self.held {
            return;
        }
        self.held = held;
        self.holders.retain(|_, holder| holder.version > held);
        self.lagging_since = (!self.holders.is_empty()).then_some(now);
    }

    fn receive(&mut self, address: SocketAddr, version: V, now: Instant) {
        if version <= self.held {
            self.holders.remove(&address);
            return;
        }
        let unknown = TextHolder { version, refused_at: None };
        self.holders.entry(address).or_insert(unknown).version = version;
        self.lagging_since = self.lagging_since.or(Some(now));
    }

    /// The daemon to request the text from now, if any; notes the request.
    fn start_fetch(
        &mut self,
        wait_for_store: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        if elapsed(self.lagging_since?) < wait_for_store {
            return None;
        }
        if let Some(request) = self.request {
            if elapsed(request.at) < FETCH_TIMEOUT {
                return None;
            }
            self.note_refusal(request.to, now);
        }
        let to = self.best_holder(rng)?;
        self.request = Some(PendingRequest { to, at: now });
        Some(to)
    }

    /// Least recently refused, then newest, then any: those that hold the same are asked evenly.
    fn best_holder(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let rank = |holder: &TextHolder<V>| (holder.refused_at, Reverse(holder.version));
        let best = self.holders.values().map(rank).min()?;
        let equals = self.holders.iter().filter(|(_, holder)| rank(holder) == best);
        equals.map(|(address, _)| *address).choose(rng)
    }

    fn end_fetch(&mut self, from: SocketAddr, outcome: FetchOutcome, now: Instant) {
        // A text that can't be read here is no better elsewhere: it is not requested again at once.
        let is_over = outcome != FetchOutcome::Unreadable;
        if is_over && self.request.is_some_and(|request| request.to == from) {
            self.request = None;
        }
        match outcome {
            FetchOutcome::Received => return,
            FetchOutcome::Withheld => self.withheld += 1,
            FetchOutcome::Failed | FetchOutcome::Unreadable => self.failed += 1,
        }
        self.note_refusal(from, now);
    }

    fn note_refusal(&mut self, address: SocketAddr, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&address) {
            holder.refused_at = Some(now);
        }
    }
}

/// Newer versions that peers have reported, and what was requested of them.
#[derive(Clone, Debug, Default)]
pub struct CatchUpState {
    configuration: TextCatchUp<u64>,
    endpoints: TextCatchUp<StorePosition>,
}

impl CatchUpState {
    fn set_held(&mut self, held: HeldVersions, now: Instant) {
        self.configuration.set_held(held.configuration, now);
        self.endpoints.set_held(held.endpoints, now);
    }

    /// Receives the versions that the daemon at `holder` has reported; this one holds `held`.
    pub fn receive(
        &mut self,
        holder: SocketAddr,
        reported: HeldVersions,
        held: HeldVersions,
        now: Instant,
    ) {
        self.set_held(held, now);
        self.configuration.receive(holder, reported.configuration, now);
        self.endpoints.receive(holder, reported.endpoints, now);
    }

    /// The daemons to request texts from now; the requests count as made.
    pub fn start_fetches(
        &mut self,
        held: HeldVersions,
        wait_for_store: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> TextFetches {
        self.set_held(held, now);
        TextFetches {
            configuration: self.configuration.start_fetch(wait_for_store, now, rng),
            endpoints: self.endpoints.start_fetch(wait_for_store, now, rng),
        }
    }

    /// Notes how the requests of `fetches` to `from` ended.
    pub fn end_fetches(
        &mut self,
        from: SocketAddr,
        fetches: TextFetches,
        outcomes: FetchOutcomes,
        now: Instant,
    ) {
        if fetches.configuration == Some(from) {
            self.configuration.end_fetch(from, outcomes.configuration, now);
        }
        if fetches.endpoints == Some(from) {
            self.endpoints.end_fetch(from, outcomes.endpoints, now);
        }
    }

    /// How long a newer configuration than the one held has been known; none if there is none.
    pub fn configuration_lag(&self, now: Instant) -> Option<Duration> {
        self.configuration.lagging_since.map(|since| now.saturating_duration_since(since))
    }

    /// The lag that ends now, because a newer configuration is applied.
    pub fn take_configuration_lag(&mut self, now: Instant) -> ConfigurationLag {
        let catch_up = &mut self.configuration;
        let elapsed = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        ConfigurationLag {
            duration_ms: catch_up.lagging_since.map_or(0, elapsed),
            withheld: std::mem::take(&mut catch_up.withheld),
            failed: std::mem::take(&mut catch_up.failed),
        }
    }
}
