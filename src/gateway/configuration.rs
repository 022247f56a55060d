//! The operators' configuration as the gateway uses it, and route lookup.
//!
//! `platform::configuration` decodes a configuration from the text in the store; it is then shared and
//! never changed. `context` holds the newest one; a request uses the one with which it was admitted.

pub mod configuration_check;

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::ids::SharedName;

/// Default limit of a head, in bytes: room for a few long headers.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Default limit of a body, in bytes. A body is kept in memory while its request runs.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Default timeout of a head.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Default time after which an idle connection is closed: long enough for clients to reuse their
/// connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether a route's requests may run more than once, and whether their responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Running a request more than once has the same effect as running it once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The response is a stream of events.
    Stream {
        /// Whether another endpoint may run the request again to resume the stream after the last event.
        resume: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resume: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, used in logs.
    pub name: SharedName,
    /// Host for which the route applies.
    pub host: SharedName,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: SharedName,
    /// How its requests may run and respond.
    pub kind: RouteKind,
    /// Time within which a request must end, counted from its arrival.
    pub timeout: Option<Duration>,
    /// Time within which the first part of a response should arrive. 1 s if the route sets none.
    pub target: Duration,
    /// Time within which each further event of a stream should arrive.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are divided according to their weights.
    pub services: Vec<ServiceWeight>,
    /// Largest number of attempts for one request that may reach an endpoint; at least 1.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// The service to which all its requests go; none if there are several.
    pub fn sole_service(&self) -> Option<&SharedName> {
        match &self.services[..] {
            [sole] => Some(&sole.service),
            _ => None,
        }
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: SharedName,
    /// Weight relative to the route's other services; 0 means no requests.
    pub weight: u32,
}

/// Inference engine of a service that generates tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an endpoint processes concurrently.
    pub slots: u32,
    /// Number of tokens that fit into an endpoint's memory.
    pub memory_tokens: u64,
}

/// How many endpoints may be ordered, and at what price.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// Smallest number of endpoints in each zone.
    pub min: u32,
    /// Largest number of endpoints in each zone; at least `min`.
    pub max: u32,
    /// Time from ordering an endpoint until it takes requests.
    pub start_time: Duration,
    /// Price of a reclaimable endpoint as a fraction of the zone's price; none if reclaimable endpoints
    /// are not available.
    pub reclaimable_price: Option<f64>,
    /// Price of one endpoint for a second, by zone.
    pub zone_prices: Vec<(SharedName, f64)>,
}

/// A service whose endpoints run requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: SharedName,
    /// Path of an endpoint's health checks.
    pub health_path: SharedName,
    /// Engine, if the service generates tokens.
    pub engine: Option<EngineSpec>,
    /// Limits and prices of the fleet, if the gateway orders the service's endpoints.
    pub fleet: Option<FleetSpec>,
}

/// Quota of an account, in requests or tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// Units a second; none means no limit.
    pub rate: Option<f64>,
    /// Units that may be spent at once (size of the token bucket).
    pub burst: f64,
    /// Whether the unit is tokens rather than requests.
    pub in_tokens: bool,
    /// Tokens charged for a request that states no token counts.
    pub default_tokens: u64,
}

/// One client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name.
    pub name: SharedName,
    /// Priority, which takes precedence over that of the route; 0 is the most urgent.
    pub priority: u8,
    /// Quota for all daemons together.
    pub quota: AccountQuota,
}

/// Limits for client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A complete configuration; never modified, only replaced by a newer version.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; rises with every edit.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<SharedName, Rc<Service>>,
    /// Accounts by name.
    pub accounts: HashMap<SharedName, Rc<Account>>,
    /// Whether requests need an API key, except on public routes. Without any account every key is unknown.
    pub requires_keys: bool,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// Longest time limit of the routes whose responses are streams, if they have any.
    pub longest_stream: Option<Duration>,
    routes: HashMap<SharedName, Vec<Rc<Route>>>,
    keys: HashMap<SharedName, Rc<Account>>,
}

impl Configuration {
    /// Creates an empty configuration.
    pub fn new(version: u64, limits: ClientLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        if route.kind.is_stream() {
            self.longest_stream = self.longest_stream.max(route.timeout);
        }
        let routes = self.routes.entry(route.host.to_ascii_lowercase().into()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), Rc::new(service));
    }

    /// Adds an account and its API keys, which requests need from now on.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = SharedName>) {
        self.requires_keys = true;
        let account = Rc::new(account);
        self.accounts.insert(account.name.clone(), account.clone());
        for key in keys {
            self.keys.insert(key, account.clone());
        }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account to which an API key belongs.
    pub fn account_of(&self, key: &str) -> Option<&Rc<Account>> {
        self.keys.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }
}
