//! Chooses the endpoint of each attempt on the native path.
//!
//! Decides which endpoint of the daemon's window takes the attempt, or that all are full, or
//! that there is none. The gateway's rule, `gateway::policy::endpoint::endpoint_choice`, has
//! other inputs: what peers report of their requests, and affinity endpoints. Here endpoints
//! report their own load and cache, so the two stay apart.
//!
//! Inputs: the VM list (by gossip), load and cache reports (polled every 2 s), this daemon's
//! own starts and ends, and the health of its attempts. Each candidate's wait is estimated in
//! milliseconds, from the prompt tokens it has probably not cached and from its load; the
//! least wait wins. All daemons see the same old report and would act alike, so the load is
//! the report corrected by this daemon's own starts less ends, times the daemons that share
//! the endpoint; and a random part that grows with the age of the report keeps them from
//! choosing the same endpoint.
//!
//! A missing report leaves the last one in place, corrected as above. A missing cache event
//! costs a wrong guess. Nothing here is retried: the caller excludes what it has tried.

mod endpoint_route;
mod query;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::Instant;

pub use super::routing::query::{CacheChange, EndpointInfo, EndpointPick, RouteChoice, RouteQuery};
use super::{limits::RequestPriority, routing::endpoint_route::EndpointRoute};
use crate::{
    endpoint_health::{AttemptResult, HealthState},
    ids::SharedName,
};

/// Time between probes of a service's ejected endpoints by one daemon: each probe is a client's
/// request that will probably fail.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Largest fraction of a service's endpoints that may be ejected at once: when most fail, the load
/// or the network is the cause.
const EJECTED_FRACTION: f64 = 0.5;
/// Fraction of each endpoint that accounts over their share leave free, so that another account's
/// request finds room at once.
const LEFT_FREE: f64 = 0.2;

#[derive(Debug, Default)]
struct ServiceRoutes {
    endpoints: BTreeMap<SharedName, EndpointRoute>,
    concurrency: u32,
    /// Daemons that share each endpoint.
    sharing: f64,
    probe_at: Option<Instant>,
}

/// Routes of all services that this daemon uses.
#[derive(Debug)]
pub struct RouteTable {
    zone: SharedName,
    services: HashMap<SharedName, ServiceRoutes>,
    leaving: HashSet<SharedName>,
}

impl RouteTable {
    /// Empty table of a daemon in `zone`.
    pub fn new(zone: SharedName) -> Self {
        Self { zone, services: HashMap::new(), leaving: HashSet::new() }
    }

    /// Replaces the endpoints of a service; those that stay keep what is known of them.
    pub fn set_endpoints(
        &mut self,
        service: &SharedName,
        infos: Vec<EndpointInfo>,
        concurrency: u32,
        sharing: f64,
    ) {
        let routes = self.services.entry(service.clone()).or_default();
        routes.concurrency = concurrency;
        routes.sharing = sharing.max(1.0);
        let mut previous = std::mem::take(&mut routes.endpoints);
        for info in infos {
            let known = previous.remove(&info.id).filter(|route| route.info == info);
            let route = known.unwrap_or_else(|| EndpointRoute::new(info.clone()));
            routes.endpoints.insert(info.id, route);
        }
    }

    /// The VM has a notice: no new work from now on, whatever the VM list says. The
    /// identity is never used again, so the mark needs no end.
    pub fn mark_leaving(&mut self, id: &SharedName) {
        self.leaving.insert(id.clone());
    }

    /// Whether the VM has a notice.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving.contains(id)
    }

    /// Endpoints of a service that are in use, with their addresses.
    pub fn endpoints(&self) -> impl Iterator<Item = (&SharedName, &EndpointInfo)> {
        self.services.iter().flat_map(|(service, routes)| {
            routes.endpoints.values().map(move |route| (service, &route.info))
        })
    }

    /// This daemon's requests in progress, by service.
    pub fn in_flight(&self) -> HashMap<SharedName, f64> {
        let total = |routes: &ServiceRoutes| {
            routes.endpoints.values().map(|route| f64::from(route.in_flight)).sum::<f64>()
        };
        self.services.iter().map(|(service, routes)| (service.clone(), total(routes))).collect()
    }

    /// Applies a load report (running and waiting requests).
    pub fn report_load(&mut self, service: &str, id: &str, load: u32) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let concurrency = routes.concurrency;
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.report_load(load, concurrency);
    }

    /// Applies a cache event. After a gap in the events, what was stored before is kept:
    /// forgetting all would cost more than an occasional wrong guess.
    pub fn report_cache(&mut self, service: &str, id: &str, event: &CacheChange) {
        if let Some(route) = self.route(service, id) {
            route.cache_sequence = route.cache_sequence.max(event.sequence);
            route.cache.insert(&event.stored);
            for block in event.forgotten.iter() {
                route.cache.remove(*block);
            }
        }
    }

    /// Newest cache event applied of an endpoint.
    pub fn cache_sequence(&self, service: &str, id: &str) -> u64 {
        let route = self.services.get(service).and_then(|routes| routes.endpoints.get(id));
        route.map_or(0, |route| route.cache_sequence)
    }

    /// Chooses an endpoint. The cost does not depend on the number of endpoints, since a daemon
    /// uses only its window of them.
    pub fn pick(&self, query: RouteQuery<'_>, now: Instant, rng: &mut impl Rng) -> RouteChoice {
        let Some(routes) = self.services.get(query.service) else { return RouteChoice::Nowhere };
        let usable = |route: &&EndpointRoute| {
            !self.leaving.contains(&route.info.id) && !query.exclude.contains(&route.info.id)
        };
        let present: Vec<&EndpointRoute> = routes.endpoints.values().filter(usable).collect();
        let may_probe = routes.probe_at.is_none_or(|at| now >= at);
        let admitted = admit_by_health(&present, may_probe, now);
        let open = open_fraction(query.priority);
        let concurrency = f64::from(routes.concurrency) * open;
        // A daemon may always use its even part and, until the next report, what it used at the
        // last one, whatever that report says of all daemons together. Otherwise its own ended
        // requests would free nothing for it until the next report.
        let own_part = (concurrency / routes.sharing).floor().max(1.0);
        let mut best: Option<(f64, &EndpointRoute)> = None;
        let mut busy = false;
        for route in admitted {
            let load = route.load(routes.sharing);
            if load >= concurrency
                && f64::from(route.in_flight) >= (route.allowance * open).max(own_part)
            {
                busy = true;
                continue;
            }
            let wait = route.expected_wait(&self.zone, load, concurrency, query.chain)
                + route.noise(routes.sharing, concurrency) * rng.random_range(0.0..1.0);
            if best.is_none_or(|(shortest, _)| wait < shortest) {
                best = Some((wait, route));
            }
        }
        match best {
            Some((_, route)) => RouteChoice::Endpoint(EndpointPick {
                id: route.info.id.clone(),
                address: route.info.address.clone(),
                cached_blocks: route.cache.overlap(query.chain),
            }),
            None if busy => RouteChoice::Busy,
            None => RouteChoice::Nowhere,
        }
    }

    /// An attempt was started at an endpoint.
    pub fn started(&mut self, service: &str, id: &str, chain: &[u64], now: Instant) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.start(chain);
        if route.health.state(now) == HealthState::Probing {
            route.health.begin_probe();
            routes.probe_at = Some(now + PROBE_EVERY);
        }
    }

    /// An attempt has ended; `chain` is what the endpoint has cached by now.
    pub fn ended(
        &mut self,
        service: &str,
        id: &str,
        result: AttemptResult,
        chain: &[u64],
        now: Instant,
    ) {
        if let Some(route) = self.route(service, id) {
            route.end(chain);
            route.health.record(result, now);
        }
    }

    fn route(&mut self, service: &str, id: &str) -> Option<&mut EndpointRoute> {
        self.services.get_mut(service)?.endpoints.get_mut(id)
    }
}

/// Fraction of an endpoint that requests of a priority may fill.
fn open_fraction(priority: RequestPriority) -> f64 {
    match priority {
        RequestPriority::Normal => 1.0,
        RequestPriority::Low => 1.0 - LEFT_FREE,
    }
}

/// Candidates after ejection. If more than the allowed fraction is ejected, or nothing
/// is left, all are taken: many failing at once says more about the load than about them.
fn admit_by_health<'a>(
    present: &[&'a EndpointRoute],
    may_probe: bool,
    now: Instant,
) -> Vec<&'a EndpointRoute> {
    let mut admitted = Vec::with_capacity(present.len());
    for route in present {
        match route.health.state(now) {
            HealthState::Healthy => admitted.push(*route),
            // The first probe that is due goes alone, before the healthy ones.
            HealthState::Probing if may_probe => return vec![*route],
            HealthState::Probing | HealthState::Ejected => {}
        }
    }
    let ejected = present.len() - admitted.len();
    if ejected as f64 > present.len() as f64 * EJECTED_FRACTION {
        return present.to_vec();
    }
    admitted
}
