//! Records which endpoints this daemon reaches over its own links, and logs when it loses or regains
//! all of them. `policy::daemon::endpoint_access` decides.

use tokio::time::Instant;

use super::GatewayContext;
use crate::{boot_clock, gateway::policy::daemon::endpoint_access::AccessChange, ids::SharedName};

impl GatewayContext {
    /// Whether this daemon is partitioned from all endpoints.
    pub fn is_partitioned(&self) -> bool {
        self.endpoint_access.borrow().is_partitioned()
    }

    /// Records that an endpoint has responded over a new connection of this daemon.
    pub fn endpoint_reached(&self) {
        let change = self.endpoint_access.borrow_mut().reached(boot_clock::now());
        self.apply_access_change(change);
    }

    /// Records that a new connection to an endpoint, begun at `begun`, has failed or carried no
    /// response.
    pub fn endpoint_unreached(&self, endpoint: &SharedName, begun: Instant) {
        let (now, known) = (boot_clock::now(), self.endpoint_list.borrow().endpoints.len());
        let change = self.endpoint_access.borrow_mut().failed(endpoint, known, begun, now);
        self.apply_access_change(change);
    }

    fn apply_access_change(&self, change: Option<AccessChange>) {
        match change {
            None => {}
            Some(AccessChange::Lost { unreached }) => {
                self.metrics.count("endpoint_access_lost", 1);
                spdlog::warn!("endpoint access", kv: { outcome = "lost", unreached });
            }
            Some(AccessChange::Regained { after }) => {
                let after_ms = after.as_millis() as u64;
                spdlog::info!("endpoint access", kv: { outcome = "regained", after_ms });
            }
        }
    }
}
