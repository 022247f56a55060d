//! Records which endpoints this daemon reaches over its own links, and logs when it loses or regains
//! all of them. `policy::daemon::endpoint_access` decides.

use tokio::time::Instant;

use super::GatewayContext;
use crate::{
    boot_clock,
    gateway::policy::daemon::{
        endpoint_access::{AccessChange, LinkFailure},
        forwarder_choice::ForwarderCandidate,
    },
    ids::SharedName,
};

impl GatewayContext {
    /// Whether this daemon is partitioned from all endpoints.
    pub fn is_partitioned(&self) -> bool {
        self.endpoint_access.borrow().is_partitioned()
    }

    /// Whether connections to endpoints are opened through other daemons only.
    pub fn uses_tunnels(&self, now: Instant) -> bool {
        let access = self.endpoint_access.borrow();
        access.is_partitioned() && (access.cannot_connect() || self.has_forwarder(now))
    }

    /// Whether a daemon is known that may carry a tunnel.
    pub fn has_forwarder(&self, now: Instant) -> bool {
        let candidates = self.forwarder_candidates(now);
        self.forwarders.borrow().has_usable(&candidates, now)
    }

    /// Records that a connection to an endpoint was opened over this daemon's own links.
    pub fn endpoint_connected(&self) {
        let change = self.endpoint_access.borrow_mut().connected(boot_clock::now());
        self.apply_access_change(change);
    }

    /// Records that an endpoint has responded over a direct connection, which is new or was opened
    /// earlier.
    pub fn endpoint_responded(&self, is_new: bool) {
        let now = boot_clock::now();
        let mut access = self.endpoint_access.borrow_mut();
        let change = match is_new {
            true => access.reached(now),
            false => {
                access.responded(now);
                None
            }
        };
        drop(access);
        self.apply_access_change(change);
    }

    /// Records that a connection to an endpoint over this daemon's own links, begun at `begun`, has
    /// failed.
    pub fn endpoint_unreached(&self, endpoint: &SharedName, failure: LinkFailure, begun: Instant) {
        let (now, known) = (boot_clock::now(), self.endpoint_list.borrow().endpoints.len());
        let mut access = self.endpoint_access.borrow_mut();
        let change = access.failed(endpoint, failure, known, begun, now);
        drop(access);
        self.access_doubted.notify_one();
        self.apply_access_change(change);
    }

    /// Daemons that may carry tunnels for this one.
    pub fn forwarder_candidates(&self, now: Instant) -> Vec<ForwarderCandidate> {
        self.peers.borrow().forwarder_candidates(now)
    }

    fn apply_access_change(&self, change: Option<AccessChange>) {
        match change {
            None => {}
            Some(AccessChange::Lost { failure, unreached }) => {
                self.metrics.count("endpoint_access_lost", 1);
                // Idle connections may be silent.
                self.connections.discard_paths(true);
                self.endpoints.borrow_mut().forget_failures();
                spdlog::warn!("endpoint access", kv: { outcome = "lost", failure:, unreached });
            }
            Some(AccessChange::Regained { after }) => {
                self.connections.discard_paths(false);
                let after_ms = after.as_millis() as u64;
                spdlog::info!("endpoint access", kv: { outcome = "regained", after_ms });
            }
        }
    }
}
