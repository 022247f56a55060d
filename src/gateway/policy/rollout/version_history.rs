//! Software versions of a service's endpoints that this daemon has seen in its lists, and for how long it
//! has seen them without a gap.
//!
//! Tells whether one version alone can have begun a stream. A daemon that has just started, or whose lists
//! may be old, can't tell.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use crate::{gateway::endpoint::EndpointList, ids::SharedName};

/// A list that was confirmed longer ago than this may lack endpoints that serve: several reads of the
/// store or exchanges with peers.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Time for which a version is remembered, at least: a stream that clients keep taking up may be old.
const MIN_KEPT: Duration = Duration::from_secs(600);

/// Versions that have served a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedVersions {
    /// One alone.
    Only(SharedName),
    /// Several.
    Several,
    /// Not known: the lists don't reach back far enough, or no endpoint was listed.
    Unknown,
}

/// Time for which the leader knew that one version alone had served a service.
#[derive(Clone, Copy, Debug)]
struct RestoredSpan {
    /// When this daemon learnt of it.
    restored_at: Instant,
    /// How long before that the span begins.
    reach: Duration,
}

/// Versions by service, with the time at which each was last listed.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<SharedName, BTreeMap<SharedName, Instant>>,
    /// Versions in the newest list.
    listed: HashMap<SharedName, BTreeSet<SharedName>>,
    /// Since when the lists have been confirmed without a gap.
    covered_since: Option<Instant>,
    /// Services whose versions before that are known from the leader, and how far back.
    restored: HashMap<SharedName, RestoredSpan>,
    confirmed_at: Option<Instant>,
}

impl VersionHistory {
    /// Applies a new list.
    pub fn apply(&mut self, list: &EndpointList, now: Instant) {
        self.mark_listed(now);
        self.listed.clear();
        for endpoint in &list.endpoints {
            let versions = self.listed.entry(endpoint.service.clone()).or_default();
            versions.insert(endpoint.version.clone());
        }
        self.mark_listed(now);
    }

    /// Records that the newest list was found to be current at `confirmed`.
    pub fn confirm(&mut self, confirmed: Option<Instant>, now: Instant) {
        let Some(confirmed) = confirmed else { return };
        let has_gap = self
            .confirmed_at
            .is_none_or(|before| confirmed.saturating_duration_since(before) > MAX_LIST_AGE);
        if has_gap {
            self.covered_since = Some(now);
        }
        if has_gap && self.confirmed_at.is_some() {
            self.restored.clear();
        }
        self.confirmed_at = self.confirmed_at.max(Some(confirmed));
    }

    /// Time since the newest list was confirmed; none if none was.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Restores that one version alone had served a service for `alone`, until `age` ago.
    pub fn restore(
        &mut self,
        service: &SharedName,
        version: &SharedName,
        alone: Duration,
        age: Duration,
        now: Instant,
    ) {
        let seen_at = now.checked_sub(age).unwrap_or(now);
        let seen = self.services.entry(service.clone()).or_default();
        let at = seen.entry(version.clone()).or_insert(seen_at);
        *at = (*at).max(seen_at);
        let span = RestoredSpan { restored_at: now, reach: alone + age };
        self.restored.insert(service.clone(), span);
    }

    /// Services that one version alone has served within the last `span`, with that version.
    pub fn sole_versions(&mut self, span: Duration, now: Instant) -> Vec<(SharedName, SharedName)> {
        let services: Vec<SharedName> = self.services.keys().cloned().collect();
        let sole =
            services.into_iter().filter_map(|service| match self.served(&service, span, now) {
                ServedVersions::Only(version) => Some((service, version)),
                ServedVersions::Several | ServedVersions::Unknown => None,
            });
        sole.collect()
    }

    fn mark_listed(&mut self, now: Instant) {
        for (service, versions) in &self.listed {
            let seen = self.services.entry(service.clone()).or_default();
            for version in versions {
                seen.insert(version.clone(), now);
            }
        }
    }

    /// Versions that have served a service within the last `span`.
    pub fn served(&mut self, service: &str, span: Duration, now: Instant) -> ServedVersions {
        self.mark_listed(now);
        let Some(seen) = self.services.get_mut(service) else { return ServedVersions::Unknown };
        let is_within = |at: &Instant, time: Duration| now.saturating_duration_since(*at) <= time;
        seen.retain(|_, at| is_within(at, span.max(MIN_KEPT)));
        let mut within = seen.iter().filter(|(_, at)| is_within(at, span));
        let (first, second) = (within.next(), within.next());
        if second.is_some() {
            return ServedVersions::Several;
        }
        let is_current = self.confirmed_at.is_some_and(|at| is_within(&at, MAX_LIST_AGE));
        let restored = self
            .restored
            .get(service)
            .map(|restored| now.saturating_duration_since(restored.restored_at) + restored.reach);
        let confirmed = self.covered_since.map(|since| now.saturating_duration_since(since));
        let is_covered = restored.max(confirmed).is_some_and(|covered| covered >= span);
        match first.map(|(version, _)| version) {
            // An empty version is one that isn't known.
            Some(version) if is_current && is_covered && !version.is_empty() => {
                ServedVersions::Only(version.clone())
            }
            _ => ServedVersions::Unknown,
        }
    }
}
