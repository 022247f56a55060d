//! Decides when to fetch a newer configuration or endpoint list, and from which daemon.
//!
//! Inputs are the versions that peers report in gossip messages, the versions that this daemon
//! holds, and how long it first waits for the store to deliver a change. Each text is requested
//! from one daemon at a time. Any daemon with a newer text than this one is a candidate: those that
//! have not refused come first, then those that refused longest ago, and among equals the one with
//! the newest text. A request ends with its response. A request without a response, or whose
//! response can't be read, blocks the next one for `FETCH_TIMEOUT`. Without reports nothing is
//! fetched.
//!
//! If every daemon asked only the one that reported the newest revision, the few daemons that hold
//! it would get the requests of all others at once and refuse most of them, the same ones each
//! time. With a change every 0.2 s, it then takes up to 6.0 s until all of 87 daemons hold the
//! change or a newer one; with this rule it takes 1.0 s (model in tests/gateway/text_model.rs,
//! 18 KB, seeds 1 to 8).

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::{
    held_texts::HeldVersions,
    text_fetches::{FetchOutcome, FetchOutcomes, TextFetches},
};
use crate::store_position::StorePosition;

/// Time after which a text that has not arrived is requested again: three times the transfer time
/// of a long text on an idle 10 Mbit/s link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a daemon that watches the store waits to read a change there before it requests
/// the change from a peer.
const STORE_WAIT: Duration = Duration::from_millis(300);

/// How long the configuration of this daemon was known to be out of date, and the failed attempts
/// to fetch a newer one in that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationLag {
    /// Milliseconds since a newer version was reported; 0 if none was.
    pub duration_ms: u64,
    /// Requests that the peer answered without the text.
    pub withheld: u32,
    /// Requests that failed or returned an unreadable text.
    pub failed: u32,
}

/// How long a daemon waits for the store before it requests a newer text from peers.
pub fn wait_for_store(watches_store: bool, store_fails: bool) -> Duration {
    match watches_store && !store_fails {
        true => STORE_WAIT,
        false => Duration::ZERO,
    }
}

/// A daemon that holds a newer text.
#[derive(Clone, Copy, Debug)]
struct TextHolder<V> {
    version: V,
    /// When it last withheld the text or a request to it failed.
    refused_at: Option<Instant>,
}

/// A request that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    to: SocketAddr,
    at: Instant,
}

/// Which peers hold newer versions of one text, and the request for it.
#[derive(Clone, Debug, Default)]
struct TextCatchUp<V> {
    held: V,
    /// Since when a newer version than `held` is known.
    lagging_since: Option<Instant>,
    /// Daemons that hold a newer version.
    holders: BTreeMap<SocketAddr, TextHolder<V>>,
    request: Option<PendingRequest>,
    withheld: u32,
    failed: u32,
}

impl<V: Copy + Ord> TextCatchUp<V> {
    /// Sets the version that this daemon holds, and drops the holders of versions that are not
    /// newer. If newer ones are left, the lag begins again now.
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

    /// Picks the daemon to request the text from, if one should be requested now, and records the
    /// request.
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
            self.record_refusal(request.to, now);
        }
        let to = self.best_holder(rng)?;
        self.request = Some(PendingRequest { to, at: now });
        Some(to)
    }

    /// Picks the holder that refused longest ago or never, then the one with the newest version.
    /// The choice among equals is random, so that requests are spread evenly over them.
    fn best_holder(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let rank = |holder: &TextHolder<V>| (holder.refused_at, Reverse(holder.version));
        let best = self.holders.values().map(rank).min()?;
        let equals = self.holders.iter().filter(|(_, holder)| rank(holder) == best);
        equals.map(|(address, _)| *address).choose(rng)
    }

    fn end_fetch(&mut self, from: SocketAddr, outcome: FetchOutcome, now: Instant) {
        // A text that this daemon can't read from one peer is unreadable from others too. The
        // request stays pending, so that the text is not requested again before `FETCH_TIMEOUT`.
        let is_over = outcome != FetchOutcome::Unreadable;
        if is_over && self.request.is_some_and(|request| request.to == from) {
            self.request = None;
        }
        match outcome {
            FetchOutcome::Received => return,
            FetchOutcome::Withheld => self.withheld += 1,
            FetchOutcome::Failed | FetchOutcome::Unreadable => self.failed += 1,
        }
        self.record_refusal(from, now);
    }

    fn record_refusal(&mut self, address: SocketAddr, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&address) {
            holder.refused_at = Some(now);
        }
    }
}

/// Newer texts that peers have reported, and the requests for them.
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

    /// Records the versions that the daemon at `holder` has reported; this daemon holds `held`.
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

    /// Picks the daemons to request texts from now, and records these requests.
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

    /// Records how the requests of `fetches` to `from` ended.
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

    /// How long this daemon has known that a newer configuration exists; `None` if it holds the
    /// newest that was reported.
    pub fn configuration_lag(&self, now: Instant) -> Option<Duration> {
        self.configuration.lagging_since.map(|since| now.saturating_duration_since(since))
    }

    /// The lag that ends now because a newer configuration is applied. Resets its counts of
    /// requests.
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
