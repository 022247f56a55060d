//! The operators' configuration as the gateway uses it, and the search for a route.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::ids::SharedName;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    Once,
    /// Answers with a stream of events; may be continued elsewhere only where `resume`.
    Stream {
        /// Whether another endpoint may continue after the last event.
        resume: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resume: true })
    }

    /// Whether the answer is a stream of events.
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
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub limit: Option<Duration>,
    /// Time within which the first part of an answer is worth its full credit.
    pub target: Duration,
    /// Longest pause between events of a stream that keeps it in time.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<(SharedName, u32)>,
    /// Most endpoints that one request may go to.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
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
    pub least: u32,
    /// Most endpoints in each zone.
    pub most: u32,
    /// Time until a new endpoint serves.
    pub start_time: Duration,
    /// Price of a reclaimable endpoint as a share of the others'; none if there are none.
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
    /// Units that may be spent at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens (else requests).
    pub in_tokens: bool,
    /// Tokens that a request counts as that names none.
    pub plain_tokens: u64,
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
    /// Longest time for a head. Read from the configuration and not enforced by itself: a head
    /// that never ends is cut off with an idle connection (docs/findings.md).
    pub head_time: Duration,
    /// Longest time that a connection may rest.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
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
