//! Chooses the endpoint for a request.
//!
//! Each candidate's expected wait is estimated in milliseconds: the prompt tokens it
//! has probably not cached, and its load. The load is the last report corrected by
//! what this daemon has started and ended since, scaled by the number of daemons that
//! share the endpoint: they all see the same stale report and act alike. A random
//! part that grows with the report's age keeps them from choosing the same one.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::{
    limits::RequestPriority,
    prefix::{BLOCK_TOKENS, PrefixCache},
};
use crate::{
    endpoint_health::{AttemptResult, EndpointHealth, HealthState},
    ids::SharedName,
    native::cloud_api::messages::PriceClass,
};

/// Time to compute a prompt token that is not cached, in milliseconds.
const PREFILL_MS: f64 = 0.25;
/// By how much a full batch slows a request down, in milliseconds.
const BATCH_MS: f64 = 60.0;
/// Wait for each request beyond the endpoint's concurrency, in milliseconds.
const QUEUE_MS: f64 = 40.0;
/// Wait assumed for each failure in a row: an endpoint that has just failed comes last
/// well before it is ejected.
const FAILURE_MS: f64 = 400.0;
/// Time between probes of a service's ejected endpoints by one daemon: each probe is a
/// client's request that will probably fail.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Share of its own requests that a daemon keeps to, from one report to the next, while
/// an endpoint has more than it should.
const KEPT_WHEN_OVER: f64 = 0.8;
/// Cost of crossing to another availability zone, in milliseconds.
const ZONE_MS: f64 = 2.0;
/// Blocks remembered for each endpoint.
const CACHE_BLOCKS: usize = 4_096;
/// Largest share of a service's endpoints that may be ejected at once.
const EJECTED_SHARE: f64 = 0.5;

/// What is known of an endpoint from the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Identity of its VM.
    pub id: SharedName,
    /// Where it listens.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// How its VM is paid for.
    pub class: PriceClass,
}

/// The choice for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPick {
    /// Identity of the VM.
    pub id: SharedName,
    /// Where it listens.
    pub address: SharedName,
    /// Prompt blocks that it has probably cached.
    pub cached_blocks: usize,
}

/// Result of a search for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// This one.
    Endpoint(EndpointPick),
    /// All are as full as their row allows.
    Busy,
    /// There is none.
    Nowhere,
}

#[derive(Debug)]
struct EndpointRoute {
    info: EndpointInfo,
    in_flight: u32,
    reported: u32,
    /// Starts less ends of this daemon since the report.
    drift: i64,
    /// Requests of its own that this daemon may have there though it is full.
    allowance: f64,
    health: EndpointHealth,
    cache: PrefixCache,
    cache_sequence: u64,
}

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

/// Part of an endpoint that requests of a priority may fill. What accounts over their
/// share leave free is there at once when another account asks.
fn open_share(priority: RequestPriority) -> f64 {
    const LEFT_FREE: f64 = 0.2;
    match priority {
        RequestPriority::Normal => 1.0,
        RequestPriority::Low => 1.0 - LEFT_FREE,
    }
}

/// What a request asks of its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service that is to answer.
    pub service: &'a str,
    /// Block hashes of the prompt.
    pub chain: &'a [u64],
    /// Endpoints that were tried already.
    pub exclude: &'a [SharedName],
    /// Whether the account is over its share.
    pub priority: RequestPriority,
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

    /// Takes a load report (running and waiting requests).
    pub fn report_load(&mut self, service: &str, id: &str, load: u32) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let concurrency = routes.concurrency;
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.reported = load;
        route.drift = 0;
        let kept = if load > concurrency { KEPT_WHEN_OVER } else { 1.0 };
        route.allowance = f64::from(route.in_flight) * kept;
    }

    /// Takes a cache event; after a gap, what was stored before is doubted but kept:
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

    /// Newest cache event taken from an endpoint.
    pub fn cache_sequence(&self, service: &str, id: &str) -> u64 {
        let route = self.services.get(service).and_then(|routes| routes.endpoints.get(id));
        route.map_or(0, |route| route.cache_sequence)
    }

    /// Chooses an endpoint; constant in the number of replicas, since a daemon uses
    /// only its subset.
    pub fn pick(&self, query: RouteQuery<'_>, now: Instant, rng: &mut impl Rng) -> RouteChoice {
        let Some(routes) = self.services.get(query.service) else { return RouteChoice::Nowhere };
        let usable = |route: &&EndpointRoute| {
            !self.leaving.contains(&route.info.id) && !query.exclude.contains(&route.info.id)
        };
        let present: Vec<&EndpointRoute> = routes.endpoints.values().filter(usable).collect();
        let may_probe = routes.probe_at.is_none_or(|at| now >= at);
        let admitted = admit_by_health(&present, may_probe, now);
        let open = open_share(query.priority);
        let concurrency = f64::from(routes.concurrency) * open;
        // NOTE: a daemon may always use its even part and, for a time, what it used when the
        // last report came, whatever that says of all together; else its own ended requests
        // would free nothing for it until the next report.
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
            let wait = self.expected_wait(route, load, concurrency, query.chain)
                + route.noise(routes.sharing, concurrency) * rng.random_range(0.0..1.0);
            if best.is_none_or(|(least, _)| wait < least) {
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

    fn expected_wait(
        &self,
        route: &EndpointRoute,
        load: f64,
        concurrency: f64,
        chain: &[u64],
    ) -> f64 {
        let missing = chain.len() - route.cache.overlap(chain);
        let prefill = (missing * BLOCK_TOKENS) as f64 * PREFILL_MS;
        let batch = load / concurrency * BATCH_MS;
        let queue = (load + 1.0 - concurrency).max(0.0) * QUEUE_MS;
        let zone = if route.info.zone == self.zone { 0.0 } else { ZONE_MS };
        let failures = f64::from(route.health.failures()) * FAILURE_MS;
        prefill + batch + queue + zone + failures
    }

    /// An attempt was started at an endpoint.
    pub fn started(&mut self, service: &str, id: &str, chain: &[u64], now: Instant) {
        let Some(routes) = self.services.get_mut(service) else { return };
        let Some(route) = routes.endpoints.get_mut(id) else { return };
        route.in_flight += 1;
        route.drift += 1;
        route.cache.insert(chain);
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
            route.in_flight = route.in_flight.saturating_sub(1);
            route.drift -= 1;
            route.health.record(result, now);
            route.cache.insert(chain);
        }
    }

    fn route(&mut self, service: &str, id: &str) -> Option<&mut EndpointRoute> {
        self.services.get_mut(service)?.endpoints.get_mut(id)
    }
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Running number.
    pub sequence: u64,
    /// Blocks stored.
    pub stored: Arc<[u64]>,
    /// Blocks forgotten.
    pub forgotten: Arc<[u64]>,
}

impl EndpointRoute {
    fn new(info: EndpointInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            reported: 0,
            drift: 0,
            allowance: 0.0,
            health: EndpointHealth::default(),
            cache: PrefixCache::new(CACHE_BLOCKS),
            cache_sequence: 0,
        }
    }

    fn load(&self, sharing: f64) -> f64 {
        let corrected = f64::from(self.reported) + self.drift as f64 * sharing;
        corrected.max(f64::from(self.in_flight))
    }

    /// Spread of the load estimate: what the other daemons may have started unseen.
    fn noise(&self, sharing: f64, concurrency: f64) -> f64 {
        let unseen = (sharing - 1.0).max(0.0) * (self.drift.unsigned_abs() as f64 + 1.0).sqrt();
        unseen / concurrency * BATCH_MS
    }
}

/// Candidates after ejection. If more than the allowed share is ejected, or nothing
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
            // NOTE: the first probe that is due goes alone, before the healthy ones.
            HealthState::Probing if may_probe => return vec![*route],
            HealthState::Probing | HealthState::Ejected => {}
        }
    }
    let ejected = present.len() - admitted.len();
    if ejected as f64 > present.len() as f64 * EJECTED_SHARE {
        return present.to_vec();
    }
    admitted
}
