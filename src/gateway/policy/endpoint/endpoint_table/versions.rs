//! Versions of a service's endpoints, for roll-outs.

use tokio::time::Instant;

use super::EndpointTable;
use crate::{
    gateway::policy::{
        endpoint::endpoint_status::EndpointStatus, rollout::version_split::VersionFilter,
    },
    ids::{SharedName, hash_parts},
};

impl EndpointTable {
    /// Numbers of a service's endpoints that take requests: those of a version, and all others.
    pub fn count_versions(&self, service: &str, version: &str) -> (usize, usize) {
        let (of_version, others): (Vec<_>, Vec<_>) =
            self.of_service(service).partition(|status| &*status.record.version == version);
        (of_version.len(), others.len())
    }

    /// Requests known to run at a service's endpoints of other versions than this one.
    pub fn running_at_others(&self, service: &str, version: &str, now: Instant) -> u32 {
        let others = self.endpoints.values().filter(|status| {
            &*status.record.service == service && &*status.record.version != version
        });
        others.map(|status| self.load_at(status, now).running).fold(0, u32::saturating_add)
    }

    /// Requests of all daemons for a service, per second.
    pub fn demand(&self, service: &str) -> f64 {
        self.own_demand(service) + self.reports.total_demand(service)
    }

    /// Keeps the candidates that a filter allows.
    pub(super) fn retain_versions(
        &self,
        candidates: &mut Vec<&EndpointStatus>,
        service: &str,
        filter: &VersionFilter,
    ) {
        match filter {
            VersionFilter::Any => {}
            VersionFilter::Except(version) => {
                candidates.retain(|status| status.record.version != *version);
            }
            VersionFilter::Only(version) => {
                candidates.retain(|status| status.record.version == *version);
            }
            VersionFilter::Share(version, fraction) => {
                let used = self.first_of_version(service, version, *fraction);
                candidates.retain(|status| used.contains(&status.record.id));
            }
        }
    }

    /// The endpoints of a version that get `fraction` of the requests. All daemons with the same list
    /// use the same ones.
    fn first_of_version(
        &self,
        service: &str,
        version: &SharedName,
        fraction: f64,
    ) -> Vec<SharedName> {
        let (_, others) = self.count_versions(service, version);
        let count = (others as f64 * fraction).ceil().max(1.0) as usize;
        let of_version =
            self.of_service(service).filter(|status| status.record.version == *version);
        let mut ids: Vec<&SharedName> = of_version.map(|status| &status.record.id).collect();
        ids.sort_by_key(|id| hash_parts(&[version.as_bytes(), id.as_bytes()]));
        ids.into_iter().take(count).cloned().collect()
    }
}
