//! Chooses the endpoint of each attempt on the native path.
//!
//! Decides which endpoint of the daemon's window gets the attempt, or that all are full, or
//! that there is none. The gateway's `gateway::policy::endpoint::endpoint_choice` has other
//! inputs: the requests that peers report, and affinity endpoints. Here endpoints report their own
//! load and cache contents, so the two do not share code.
//!
//! Inputs: the VM list (by gossip), load and cache reports (polled every 2 s), the attempts that
//! this daemon has started and ended, and their results. For each candidate, the wait is estimated
//! in milliseconds from the prompt tokens that it has probably not cached and from its load; the
//! candidate with the shortest wait is chosen. All daemons see the same report and would choose the
//! same endpoint. Therefore the reported load is corrected by the number of attempts that this
//! daemon has started minus those that have ended since, multiplied by the number of daemons that
//! share the endpoint, and a random part that grows with the age of the report is added.
//!
//! If a report is missing, the last one stays in use, corrected as above. A missing cache event
//! leads to a wrong estimate. Nothing is retried here: the caller excludes the endpoints that it
//! has tried.

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

/// Time between one daemon's probes of a service's ejected endpoints. It limits their number,
/// since each probe is a client's request that will probably fail.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Largest fraction of a service's endpoints that may be ejected at once: if more fail, the load or
/// the network is the cause.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Fraction of each endpoint's concurrency that is closed to accounts over their share, so that
/// another account's request can start at once.
const LOW_PRIORITY_HEADROOM: f64 = 0.2;

#[derive(Debug, Default)]
struct ServiceRoutes {
    endpoints: BTreeMap<SharedName, EndpointRoute>,
    concurrency: u32,
    /// Number of daemons that share each endpoint.
    daemons_per_endpoint: f64,
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
    /// Creates the empty table of a daemon in `zone`.
    pub fn new(zone: SharedName) -> Self {
        Self { zone, services: HashMap::new(), leaving: HashSet::new() }
    }

    /// Replaces the endpoints of a service; those that remain keep their state.
    pub fn set_endpoints(
        &mut self,
        service: &SharedName,
        infos: Vec<EndpointInfo>,
        concurrency: u32,
        daemons_per_endpoint: f64,
    ) {
        let routes = self.services.entry(service.clone()).or_default();
        routes.concurrency = concurrency;
        routes.daemons_per_endpoint = daemons_per_endpoint.max(1.0);
        let mut previous = std::mem::take(&mut routes.endpoints);
        for info in infos {
            let known = previous.remove(&info.id).filter(|route| route.info == info);
            let route = known.unwrap_or_else(|| EndpointRoute::new(info.clone()));
            routes.endpoints.insert(info.id, route);
        }
    }

    /// Marks a VM that has a reclaim notice: it gets no new attempts, whatever the VM list says.
    /// The mark is never removed, because VM ids are never reused.
    pub fn mark_leaving(&mut self, id: &SharedName) {
        self.leaving.insert(id.clone());
    }

    /// Whether the VM has a reclaim notice.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving.contains(id)
    }

    /// The endpoints that this daemon uses, each with its service.
    pub fn endpoints(&self) -> impl Iterator<Item = (&SharedName, &EndpointInfo)> {
        self.services.iter().flat_map(|(service, routes)| {
            routes.endpoints.values().map(move |route| (service, &route.info))
        })
    }

    /// Number of this daemon's attempts in progress, by service.
    pub fn in_flight(&self) -> HashMap<SharedName, f64> {
        let total = |routes: &ServiceRoutes| {
            routes.endpoints.values().map(|route| f64::from(route.in_flight)).sum::<f64>()
        };
        self.services.iter().map(|(service, routes)| (service.clone(), total(routes))).collect()
    }

    /// Applies a load report: the number of running and waiting requests.
    pub fn apply_load_report(&mut self, service: &str, id: &str, load: u32) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let concurrency = routes.concurrency;
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.apply_load_report(load, concurrency);
    }

    /// Applies a cache event. After a gap in the events, the blocks stored before it are kept:
    /// dropping all of them would cost more than an occasional wrong estimate.
    pub fn apply_cache_event(&mut self, service: &str, id: &str, event: &CacheChange) {
        if let Some(route) = self.route(service, id) {
            route.cache_sequence = route.cache_sequence.max(event.sequence);
            route.cache.insert(&event.stored);
            for block in event.forgotten.iter() {
                route.cache.remove(*block);
            }
        }
    }

    /// Sequence number of the newest cache event applied for an endpoint.
    pub fn cache_sequence(&self, service: &str, id: &str) -> u64 {
        let route = self.services.get(service).and_then(|routes| routes.endpoints.get(id));
        route.map_or(0, |route| route.cache_sequence)
    }

    /// Chooses an endpoint. The running time does not depend on the number of endpoints of the
    /// service, since a daemon uses only its window of them.
    pub fn pick(&self, query: RouteQuery<'_>, now: Instant, rng: &mut impl Rng) -> RouteChoice {
        let Some(routes) = self.services.get(query.service) else { return RouteChoice::NoEndpoint };
        let usable = |route: &&EndpointRoute| {
            !self.leaving.contains(&route.info.id) && !query.exclude.contains(&route.info.id)
        };
        let present: Vec<&EndpointRoute> = routes.endpoints.values().filter(usable).collect();
        let may_probe = routes.probe_at.is_none_or(|at| now >= at);
        let admitted = admit_by_health(&present, may_probe, now);
        let open = usable_fraction(query.priority);
        let slots = f64::from(routes.concurrency) * open;
        // Whatever the reported load of all daemons is, a daemon may always use an equal share
        // and, until the next report, as many slots as it used at the last one. Otherwise it could
        // not reuse the slots of its own ended requests until the next report.
        let own_part = (slots / routes.daemons_per_endpoint).floor().max(1.0);
        let mut best: Option<(f64, &EndpointRoute)> = None;
        let mut busy = false;
        for route in admitted {
            let load = route.load(routes.daemons_per_endpoint);
            if load >= slots && f64::from(route.in_flight) >= (route.allowance * open).max(own_part)
            {
                busy = true;
                continue;
            }
            let wait = route.expected_wait(&self.zone, load, slots, query.chain)
                + route.noise(routes.daemons_per_endpoint, slots) * rng.random_range(0.0..1.0);
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
            None => RouteChoice::NoEndpoint,
        }
    }

    /// Records that an attempt was started at an endpoint.
    pub fn started(&mut self, service: &str, id: &str, chain: &[u64], now: Instant) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.start(chain);
        if route.health.state(now) == HealthState::Probing {
            route.health.begin_probe();
            routes.probe_at = Some(now + PROBE_EVERY);
        }
    }

    /// Records that an attempt has ended; `chain` lists the blocks that the endpoint has cached by
    /// now.
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

/// Fraction of an endpoint's concurrency that requests of a priority may use.
fn usable_fraction(priority: RequestPriority) -> f64 {
    match priority {
        RequestPriority::Normal => 1.0,
        RequestPriority::Low => 1.0 - LOW_PRIORITY_HEADROOM,
    }
}

/// Returns the candidates that are not ejected. If more than the allowed fraction is ejected, or
/// none is left, returns all: if many fail at once, the cause is rather the load than the
/// endpoints.
fn admit_by_health<'a>(
    present: &[&'a EndpointRoute],
    may_probe: bool,
    now: Instant,
) -> Vec<&'a EndpointRoute> {
    let mut admitted = Vec::with_capacity(present.len());
    for route in present {
        match route.health.state(now) {
            HealthState::Healthy => admitted.push(*route),
            // An endpoint that is due for a probe is chosen before the healthy ones.
            HealthState::Probing if may_probe => return vec![*route],
            HealthState::Probing | HealthState::Ejected => {}
        }
    }
    let ejected = present.len() - admitted.len();
    if ejected as f64 > present.len() as f64 * MAX_EJECTED_FRACTION {
        return present.to_vec();
    }
    admitted
}
