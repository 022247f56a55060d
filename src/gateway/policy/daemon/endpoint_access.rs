//! Decides whether this daemon is partitioned from all endpoints, by the new connections that it
//! opens to them itself.
//!
//! The daemon counts as partitioned once new connections to several different endpoints have failed
//! and none has carried a response since these attempts began. The first response over a new
//! connection, of a request or of a probe, ends that. Connections that were opened earlier are no
//! evidence: they may work while new ones are refused. Connections through another daemon are none
//! either, since they don't use this daemon's own links.
//!
//! Inputs are this daemon's own attempts of the last seconds. Without attempts it does not count as
//! partitioned. A wrong verdict costs little: a probe follows at once, and until its response
//! requests take the way over another daemon.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::ids::SharedName;

/// Number of different endpoints whose connections have to fail; fewer if fewer are known. A few
/// endpoints may end at the same time.
const MIN_UNREACHED: usize = 3;
/// The number of endpoints below which nothing is concluded: one of its own may have ended.
const MIN_KNOWN: usize = 2;
/// Time after which a failure no longer counts: an endpoint that has ended has left the list.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(4);

/// A change of the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessChange {
    /// The daemon has become partitioned; the number of endpoints that it failed to reach.
    Lost {
        /// Number of these endpoints.
        unreached: usize,
    },
    /// It reaches endpoints again.
    Regained {
        /// Time since it became partitioned.
        after: Duration,
    },
}

/// Access of this daemon to the endpoints over its own links.
#[derive(Clone, Debug, Default)]
pub struct EndpointAccess {
    /// Endpoints that new connections have failed to reach since `reached_at`, and when.
    unreached: BTreeMap<SharedName, Instant>,
    /// When an endpoint last responded over a new connection.
    reached_at: Option<Instant>,
    partitioned_since: Option<Instant>,
}

impl EndpointAccess {
    /// Whether the daemon is partitioned from all endpoints.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Records that an endpoint has responded over a new connection.
    pub fn reached(&mut self, now: Instant) -> Option<AccessChange> {
        self.reached_at = Some(now);
        self.unreached.clear();
        let since = self.partitioned_since.take()?;
        Some(AccessChange::Regained { after: now.saturating_duration_since(since) })
    }

    /// Records that a new connection to an endpoint, begun at `begun`, has failed or carried no
    /// response. `known` is the number of listed endpoints.
    pub fn failed(
        &mut self,
        endpoint: &SharedName,
        known: usize,
        begun: Instant,
        now: Instant,
    ) -> Option<AccessChange> {
        if self.reached_at.is_some_and(|reached| reached >= begun) {
            return None;
        }
        self.unreached.insert(endpoint.clone(), now);
        self.unreached.retain(|_, at| now.saturating_duration_since(*at) < EVIDENCE_LIFETIME);
        let unreached = self.unreached.len();
        let is_enough = known >= MIN_KNOWN && unreached >= MIN_UNREACHED.min(known);
        if self.is_partitioned() || !is_enough {
            return None;
        }
        self.partitioned_since = Some(now);
        Some(AccessChange::Lost { unreached })
    }
}
