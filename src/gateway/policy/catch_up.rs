//! Whether others hold newer revisions than this daemon, and whom to ask for them.
//!
//! Texts of configurations and lists of endpoints are long; each is asked of one daemon at a
//! time, so that it crosses a link once and not from every neighbour.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::gateway::{context::GatewayContext, gossip::codec::RequestedParts};

/// An answer is waited for this long before another daemon is asked.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Revisions that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldRevisions {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the list of endpoints.
    pub endpoints: u64,
}

/// The newest revision of one thing that was heard of.
#[derive(Clone, Copy, Debug, Default)]
struct NewestKnown {
    revision: u64,
    holder: Option<SocketAddr>,
    /// When this daemon was first seen to be behind.
    behind_since: Option<Instant>,
    asked_at: Option<Instant>,
}

impl NewestKnown {
    fn hear(&mut self, holder: SocketAddr, revision: u64, now: Instant) {
        let waited = |at: Instant| now.saturating_duration_since(at) >= ASK_AGAIN;
        let unanswered = revision == self.revision && self.asked_at.is_some_and(waited);
        if revision > self.revision || unanswered {
            self.revision = revision;
            self.holder = Some(holder);
            self.behind_since = self.behind_since.or(Some(now));
        }
    }

    /// Whether to ask now, given the own revision; notes that it was asked.
    fn ask(&mut self, own: u64, attempt_timeout: Duration, now: Instant) -> bool {
        if own >= self.revision {
            self.behind_since = None;
            self.asked_at = None;
            return false;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let patient = self.behind_since.is_some_and(|at| since(at) < attempt_timeout);
        let waiting = self.asked_at.is_some_and(|at| since(at) < ASK_AGAIN);
        if patient || waiting {
            return false;
        }
        self.asked_at = Some(now);
        true
    }
}

/// What others hold that is newer.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUpState {
    configuration: NewestKnown,
    endpoints: NewestKnown,
}

impl CatchUpState {
    /// A daemon has told which revisions it holds.
    pub fn hear(&mut self, holder: SocketAddr, held: HeldRevisions, now: Instant) {
        self.configuration.hear(holder, held.configuration, now);
        self.endpoints.hear(holder, held.endpoints, now);
    }

    /// What to ask of the daemon at `address`, which is called now.
    pub fn lag(
        &mut self,
        address: SocketAddr,
        own: HeldRevisions,
        attempt_timeout: Duration,
        now: Instant,
    ) -> RequestedParts {
        let holds = |newest: &NewestKnown| newest.holder == Some(address);
        let configuration = holds(&self.configuration)
            && self.configuration.ask(own.configuration, attempt_timeout, now);
        let endpoints =
            holds(&self.endpoints) && self.endpoints.ask(own.endpoints, attempt_timeout, now);
        RequestedParts { group: false, configuration, endpoints }
    }

    /// Daemons that hold something newer than this one.
    pub fn ahead(&self, context: &GatewayContext) -> impl Iterator<Item = SocketAddr> + use<> {
        let own_configuration = context.configuration.borrow().revision;
        let own_endpoints = context.endpoint_list.borrow().revision;
        let ahead =
            |newest: &NewestKnown, own: u64| newest.holder.filter(|_| newest.revision > own);
        let configuration = ahead(&self.configuration, own_configuration);
        let endpoints = ahead(&self.endpoints, own_endpoints);
        configuration.into_iter().chain(endpoints.filter(move |one| Some(*one) != configuration))
    }
}
