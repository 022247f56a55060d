//! The operators' configuration as the gateway uses it, and the search for a route.
//!
//! A configuration is decoded by the platform's adapter from the store's text, then shared and
//! never changed. `context` holds the newest one; a request keeps to the one it was admitted by.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::ids::SharedName;

/// Largest head in bytes, where the configuration names no limit: room for a few long headers.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Largest body in bytes, where the configuration names no limit: bodies are held whole while a
/// request runs.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time for a head, where the configuration names no limit. Not enforced by itself, see
/// `ClientLimits::head_timeout`.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an idle connection is closed, where the configuration names none: long enough
/// for clients to reuse their connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How often a route's requests may run, and what their responses are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once, with the same effect as running once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Responds with a stream of events.
    Stream {
        /// Whether another endpoint may run it again, to resume after the last event.
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
    /// Name, for logs.
    pub name: SharedName,
    /// Host that requests name.
    pub host: SharedName,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: SharedName,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Time within which a request must be over, counted from its arrival.
    pub timeout: Option<Duration>,
    /// Time within which the first part of a response should come. The adapter puts 1 s where
    /// the route names none.
    pub target: Duration,
    /// Time within which each further event of a stream should come.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are divided by weight.
    pub services: Vec<ServiceWeight>,
    /// Attempts that may reach an endpoint for one request; at least 1.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

/// Part of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Service.
    pub service: SharedName,
    /// Weight among those of the route; 0 gets nothing.
    pub weight: u32,
}

/// Engine model of a service that generates tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an endpoint works on at once.
    pub slots: u32,
    /// Tokens that an endpoint's memory holds.
    pub memory_tokens: u64,
}

/// How many endpoints may be ordered, and at what price.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// Fewest endpoints in each zone.
    pub min: u32,
    /// Most endpoints in each zone; not below `min`.
    pub max: u32,
    /// Time until a new endpoint serves.
    pub start_time: Duration,
    /// Price of a reclaimable endpoint as a fraction of the others'; none if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint second in each zone.
    pub zone_prices: Vec<(SharedName, f64)>,
}

/// One service that requests are passed to.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: SharedName,
    /// Engine, if it generates tokens.
    pub engine: Option<EngineSpec>,
    /// Fleet, if its endpoints are ordered by the gateway.
    pub fleet: Option<FleetSpec>,
}

/// Quota of an account, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// Units a second; none sets no limit.
    pub rate: Option<f64>,
    /// Units that may be spent at once: the size of the bucket.
    pub burst: f64,
    /// Whether units are tokens (else requests).
    pub in_tokens: bool,
    /// Tokens charged for a request that doesn't say how many it takes.
    pub default_tokens: u64,
}

/// One client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name.
    pub name: SharedName,
    /// Rank before the route's; 0 is the most urgent.
    pub priority: u8,
    /// Quota over all daemons.
    pub quota: AccountQuota,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a whole head. Not enforced by itself: a head that never ends is cut off with
    /// an idle connection.
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

/// One whole configuration; never changed, only replaced by a newer version.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; rises with every edit.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<SharedName, Rc<Service>>,
    /// Accounts by name.
    pub accounts: HashMap<SharedName, Rc<Account>>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    routes: HashMap<SharedName, Vec<Rc<Route>>>,
    keys: HashMap<SharedName, Rc<Account>>,
}

impl Configuration {
    /// Empty configuration of this version.
    pub fn new(version: u64, limits: ClientLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase().into()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, Rc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), Rc::new(service));
    }

    /// Adds an account with its keys.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = SharedName>) {
        let account = Rc::new(account);
        self.accounts.insert(account.name.clone(), account.clone());
        for key in keys {
            self.keys.insert(key, account.clone());
        }
    }

    /// The route of `host` whose prefix begins `path` and is longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that holds `key`.
    pub fn account_of(&self, key: &str) -> Option<&Rc<Account>> {
        self.keys.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }
}
