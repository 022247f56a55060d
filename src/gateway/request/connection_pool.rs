//! Pool of connections to endpoints, which are reused for further requests after a clean exchange.
//!
//! An exchange is clean if its response was read to the end and belonged to the request. After an
//! exchange that was not clean, all idle connections of the endpoint are closed, since a late
//! response on one of them could be read as the response to the next request.

pub mod bounded_stream;
pub mod connecting;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use self::connecting::{RequestSender, start_http};
pub use self::connecting::{SendFailure, connect_direct};
use crate::{
    boot_clock,
    gateway::{
        call::call_body::BodyFrames,
        endpoint::EndpointRecord,
        forwarding::open_path::{EndpointPath, OpenPath, OpenTunnel},
        policy::request::retries::ConnectionReuse,
    },
    ids::SharedName,
    metrics::MetricsHandle,
};

/// Longest idle time of a connection whose endpoint doesn't announce how long it keeps it open:
/// short, since the endpoint may close it at any time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Longest idle time of a connection, whatever its endpoint announces.
const MAX_IDLE: Duration = Duration::from_secs(3_600);
/// A connection is not reused within this time before its endpoint closes it: the request might
/// arrive after the close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);
/// Longest idle time of a connection for a request that must not run twice: the endpoint may have
/// dropped the connection silently, or may still send a late, surplus response.
const IDLE_LIMIT_RUN_ONCE: Duration = Duration::from_millis(250);
/// Most idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Longest wait until a connection that was just given back is ready: the HTTP library's task has
/// to run first.
const READY_LIMIT: Duration = Duration::from_millis(5);
/// Interval at which connections that were idle for too long are removed: until then they cost only
/// memory.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// One start of an endpoint's process; a later start at the same address gets its own connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EndpointStart {
    id: SharedName,
    born: u64,
}

impl EndpointStart {
    fn of(endpoint: &EndpointRecord) -> Self {
        Self { id: endpoint.id.clone(), born: endpoint.born }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    path: EndpointPath,
    since: Instant,
    until: Instant,
}

impl IdleConnection {
    fn is_open(&self, now: Instant) -> bool {
        self.until > now && !self.sender.is_closed()
    }

    fn is_usable(&self, reuse: ConnectionReuse, uses_tunnels: bool, now: Instant) -> bool {
        if (self.path == EndpointPath::Direct) == uses_tunnels {
            return false;
        }
        match reuse {
            ConnectionReuse::Any => true,
            ConnectionReuse::Recent => {
                now.saturating_duration_since(self.since) <= IDLE_LIMIT_RUN_ONCE
            }
            ConnectionReuse::Never => false,
        }
    }
}

/// A connection in use.
#[derive(Debug)]
pub struct EndpointConnection {
    endpoint: EndpointStart,
    sender: RequestSender,
    path: EndpointPath,
    is_new: bool,
}

impl EndpointConnection {
    /// The way of the connection.
    pub fn path(&self) -> EndpointPath {
        self.path
    }

    /// Whether it was opened for the attempt that uses it.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends a request and waits for the head of the response until `deadline`.
    pub async fn send(
        &mut self,
        request: Request<BodyFrames>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sending = self.sender.send(request);
        match timeout_at(boot_clock::timer_at(deadline), sending).await {
            // Timed out.
            Err(_) => Err(SendFailure::NoResponse),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(SendFailure::ClosedBefore),
                None => Err(SendFailure::Broken(error.into_error().to_string())),
            },
        }
    }
}

/// Pool of connections to all endpoints.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<EndpointStart, Vec<IdleConnection>>>>,
    pruned_at: Rc<Cell<Instant>>,
    metrics: MetricsHandle,
}

impl ConnectionPool {
    /// Empty pool.
    pub fn new(metrics: MetricsHandle) -> Self {
        let pruned_at = Rc::new(Cell::new(boot_clock::now()));
        Self { idle: Rc::default(), pruned_at, metrics }
    }

    /// Returns an idle connection to the endpoint that `reuse` allows, if there is one: a tunnel or
    /// a direct one.
    pub async fn take(
        &self,
        endpoint: &EndpointRecord,
        reuse: ConnectionReuse,
        uses_tunnels: bool,
    ) -> Option<EndpointConnection> {
        let start = EndpointStart::of(endpoint);
        while let Some(idle) = self.take_idle(&start, reuse, uses_tunnels) {
            let IdleConnection { mut sender, path, .. } = idle;
            let ready = timeout(READY_LIMIT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(EndpointConnection { endpoint: start, sender, path, is_new: false });
            }
        }
        None
    }

    /// Wraps a new connection to the endpoint.
    pub async fn add_new(
        &self,
        endpoint: &EndpointRecord,
        open: OpenPath,
    ) -> Result<EndpointConnection, SendFailure> {
        self.metrics.count("replica_connections", 1);
        let (path, sender) = match open {
            OpenPath::Direct(stream) => (EndpointPath::Direct, start_http(stream).await?),
            OpenPath::Tunnel(OpenTunnel { stream, forwarder }) => {
                self.metrics.count("tunnels_opened", 1);
                (EndpointPath::Forwarded(forwarder), start_http(stream).await?)
            }
        };
        Ok(EndpointConnection { endpoint: EndpointStart::of(endpoint), sender, path, is_new: true })
    }

    /// Whether there is an idle connection that the endpoint has not closed.
    pub fn has_open(&self, endpoint: &EndpointRecord) -> bool {
        let now = boot_clock::now();
        let idle = self.idle.borrow();
        let mut of_endpoint = idle.get(&EndpointStart::of(endpoint)).into_iter().flatten();
        of_endpoint.any(|connection| connection.is_open(now))
    }

    /// Takes the most recently used idle connection, if `reuse` allows it.
    fn take_idle(
        &self,
        endpoint: &EndpointStart,
        reuse: ConnectionReuse,
        uses_tunnels: bool,
    ) -> Option<IdleConnection> {
        let now = boot_clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(endpoint)?;
        list.retain(|connection| connection.is_open(now));
        list.pop_if(|connection| connection.is_usable(reuse, uses_tunnels, now))
    }

    /// Returns a connection to the pool after a clean exchange; `keep` is the time for which its
    /// endpoint keeps it open.
    pub fn give_back(&self, connection: EndpointConnection, keep: Option<Duration>) {
        let usable_for =
            keep.map_or(IDLE_LIMIT, |keep| keep.saturating_sub(IDLE_MARGIN).min(MAX_IDLE));
        if usable_for.is_zero() {
            return;
        }
        let now = boot_clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.endpoint).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            let EndpointConnection { sender, path, .. } = connection;
            list.push(IdleConnection { sender, path, since: now, until: now + usable_for });
        }
        if now.saturating_duration_since(self.pruned_at.get()) > PRUNE_INTERVAL {
            self.pruned_at.set(now);
            idle.retain(|_, list| {
                list.retain(|connection| connection.is_open(now));
                !list.is_empty()
            });
        }
    }

    /// Closes the idle connections of an endpoint after an exchange that was not clean.
    pub fn discard_connections(&self, endpoint: &str) {
        self.idle.borrow_mut().retain(|start, _| &*start.id != endpoint);
    }

    /// Closes all idle connections that were opened directly, or all tunnels.
    pub fn discard_paths(&self, are_direct: bool) {
        for list in self.idle.borrow_mut().values_mut() {
            list.retain(|connection| (connection.path == EndpointPath::Direct) != are_direct);
        }
    }
}
