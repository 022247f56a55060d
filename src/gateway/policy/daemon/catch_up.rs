//! Decides when to fetch a newer configuration or endpoint list, and from which daemon.
//!
//! Inputs are the revisions that peers report with each gossip message, the revisions that this
//! daemon holds, and how long it waits for the store to deliver a change first. Both texts are
//! long; each is requested from one daemon at a time, so that it crosses a link once and not
//! from every neighbour. The daemon that was asked may withhold the text, because it is sending it
//! to another (`text_pacing`), or not deliver it in `FETCH_TIMEOUT`: then the next daemon that
//! reports the same revision is asked. Without reports nothing is fetched.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Time after which another daemon is asked for a revision that was requested and not received.
///
/// Basis: chosen, not measured by itself: 253 KB take 0.2 s on an idle link of 10 Mbit/s by
/// calculation; three times that.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that a daemon that watches the store waits for a change from there before it requests
/// the change from a peer.
///
/// Basis: chosen, not measured by itself: commit 7b3298c, under which the standard days stayed
/// at 1.000.
const STORE_HEAD_START: Duration = Duration::from_millis(300);

/// Revisions that a daemon holds; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldRevisions {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the list of endpoints.
    pub endpoints: u64,
}

/// What to request from a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionsToFetch {
    /// Its configuration.
    pub configuration: bool,
    /// Its list of endpoints.
    pub endpoints: bool,
}

/// How a request for a text ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The text has arrived.
    Received,
    /// The daemon asked is sending it to another one first.
    Withheld,
    /// No response in time, or the connection broke.
    Failed,
}

impl FetchOutcome {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Withheld => "withheld",
            Self::Failed => "failed",
        }
    }
}

/// How long a daemon was known to hold an older configuration, and what it tried meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationLag {
    /// Milliseconds since a newer revision was reported; 0 if none was.
    pub duration_ms: u64,
    /// Requests for the text that were withheld.
    pub withheld: u32,
    /// Requests for the text that failed.
    pub failed: u32,
}

/// Requests for one text that did not bring it, since the text held was applied.
#[derive(Clone, Copy, Debug, Default)]
struct FetchRecord {
    lagging_since: Option<Instant>,
    withheld: u32,
    failed: u32,
}

/// Time for which a lagging daemon waits for the store before it asks peers.
pub fn wait_for_store(watches_store: bool, store_fails: bool) -> Duration {
    match watches_store && !store_fails {
        true => STORE_HEAD_START,
        false => Duration::ZERO,
    }
}

/// The newest revision of one thing that a peer has reported.
#[derive(Clone, Copy, Debug, Default)]
struct NewestRevision {
    revision: u64,
    holder: Option<SocketAddr>,
    /// Since when this daemon was known to hold an older one, for the wait for the store.
    lagging_since: Option<Instant>,
    fetches: FetchRecord,
    requested_at: Option<Instant>,
    /// Whether the holder was asked and is sending it to another daemon first.
    is_withheld: bool,
}

impl NewestRevision {
    fn receive(&mut self, holder: SocketAddr, revision: u64, now: Instant) {
        let timed_out = |at: Instant| now.saturating_duration_since(at) >= FETCH_TIMEOUT;
        let is_other = self.is_withheld && self.holder != Some(holder);
        let is_unanswered = is_other || self.requested_at.is_some_and(timed_out);
        if revision > self.revision || (revision == self.revision && is_unanswered) {
            self.revision = revision;
            self.holder = Some(holder);
            self.is_withheld = false;
            self.lagging_since = self.lagging_since.or(Some(now));
            self.fetches.lagging_since = self.fetches.lagging_since.or(Some(now));
        }
    }

    /// Whether to request it now, given the revision held; notes the request.
    fn start_fetch(&mut self, held: u64, wait_for_store: Duration, now: Instant) -> bool {
        if held >= self.revision {
            self.lagging_since = None;
            self.requested_at = None;
            return false;
        }
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let waits_for_store = self.lagging_since.is_some_and(|at| elapsed(at) < wait_for_store);
        let is_requested = self.requested_at.is_some_and(|at| elapsed(at) < FETCH_TIMEOUT);
        if waits_for_store || is_requested {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// The daemon that holds something newer than `held`.
    fn newer_holder(&self, held: u64) -> Option<SocketAddr> {
        self.holder.filter(|_| self.revision > held)
    }
}

/// Newer revisions that peers have reported, and what was requested of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUpState {
    configuration: NewestRevision,
    endpoints: NewestRevision,
}

impl CatchUpState {
    /// Receives the revisions that a daemon holds.
    pub fn receive(&mut self, holder: SocketAddr, held: HeldRevisions, now: Instant) {
        self.configuration.receive(holder, held.configuration, now);
        self.endpoints.receive(holder, held.endpoints, now);
    }

    /// What to request from the daemon at `address`, which is called now.
    pub fn revisions_to_fetch(
        &mut self,
        address: SocketAddr,
        held: HeldRevisions,
        wait_for_store: Duration,
        now: Instant,
    ) -> RevisionsToFetch {
        let is_holder = |newest: &NewestRevision| newest.holder == Some(address);
        let configuration = is_holder(&self.configuration)
            && self.configuration.start_fetch(held.configuration, wait_for_store, now);
        let endpoints = is_holder(&self.endpoints)
            && self.endpoints.start_fetch(held.endpoints, wait_for_store, now);
        RevisionsToFetch { configuration, endpoints }
    }

    /// Notes how a request for a configuration ended. One that was withheld may be sent to
    /// another daemon at once.
    pub fn configuration_fetched(&mut self, outcome: FetchOutcome) {
        let newest = &mut self.configuration;
        match outcome {
            FetchOutcome::Received => {}
            FetchOutcome::Failed => newest.fetches.failed += 1,
            FetchOutcome::Withheld => {
                newest.fetches.withheld += 1;
                newest.requested_at = None;
                newest.is_withheld = true;
            }
        }
    }

    /// The lag that ends now, because a newer configuration is applied.
    pub fn take_configuration_lag(&mut self, now: Instant) -> ConfigurationLag {
        let record = std::mem::take(&mut self.configuration.fetches);
        let elapsed = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        ConfigurationLag {
            duration_ms: record.lagging_since.map_or(0, elapsed),
            withheld: record.withheld,
            failed: record.failed,
        }
    }

    /// Daemons that hold something newer than `held`, each once.
    pub fn newer_holders(&self, held: HeldRevisions) -> impl Iterator<Item = SocketAddr> + use<> {
        let configuration = self.configuration.newer_holder(held.configuration);
        let endpoints = self.endpoints.newer_holder(held.endpoints);
        configuration.into_iter().chain(endpoints.filter(move |one| Some(*one) != configuration))
    }
}
