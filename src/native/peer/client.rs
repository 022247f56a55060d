//! Pool of connections to other daemons, one per daemon. Each call goes to one specific
//! incarnation, has a time limit, and fails with an error that names the cause.
//!
//! A connection that breaks or times out is removed from the pool; the next call opens a new one.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::{net::TcpStream, time::timeout};

use super::{LocalIdentity, codec, is_compatible};
use crate::{
    errors::{FailureCause, StepError},
    ids::{IncarnationId, SharedName},
    native::cluster::{events::PeerTarget, members::MemberRecord},
    peer_capnp::{gate, peer},
    rpc_transport::{TrafficCounter, rpc_system},
    timeouts::{Elapsed, wait_at_most},
};

/// Longest wait for a connection, and for the hello over it: the same as `CALL_LIMIT`.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for a call that the peer answers without waiting for anything: a probe that takes
/// longer counts as failed.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(500);

struct PeerConnection {
    incarnation: IncarnationId,
    client: peer::Client,
    task: tokio::task::AbortHandle,
    last_used: std::cell::Cell<tokio::time::Instant>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of connections to other daemons, one for each.
#[derive(Clone)]
pub struct PeerPool {
    identity: Rc<LocalIdentity>,
    open: Rc<RefCell<HashMap<SharedName, Rc<PeerConnection>>>>,
    traffic: TrafficCounter,
}

/// A peer that has responded to the hello.
#[derive(Clone, Debug)]
pub struct GreetedPeer {
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its address and zone, from its hello.
    pub record: MemberRecord,
}

impl PeerPool {
    /// Creates an empty pool for the daemon `identity`.
    pub fn new(identity: LocalIdentity) -> Self {
        Self {
            identity: Rc::new(identity),
            open: Rc::default(),
            traffic: TrafficCounter::default(),
        }
    }

    /// Closes connections that have not been used for `idle`.
    pub fn close_idle(&self, idle: Duration) {
        self.open.borrow_mut().retain(|_, open| open.last_used.get().elapsed() < idle);
    }

    /// Bytes sent and received over all connections to peers, including those that peers opened.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Connects to `address`, whoever is there.
    pub async fn greet(&self, address: &SharedName) -> Result<GreetedPeer, StepError> {
        let (greeted, open) = self.connect(address).await?;
        self.open.borrow_mut().insert(address.clone(), Rc::new(open));
        Ok(greeted)
    }

    async fn connect(
        &self,
        address: &SharedName,
    ) -> Result<(GreetedPeer, PeerConnection), StepError> {
        let error = |cause| StepError::new("greet peer", address.clone(), cause);
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(&**address)).await;
        let stream = match connecting {
            Err(_elapsed) => return Err(error(FailureCause::timed_out(CONNECT_LIMIT))),
            Ok(Err(cause)) => return Err(error(FailureCause::Unreachable(cause.to_string()))),
            Ok(Ok(stream)) => stream,
        };
        let mut rpc = rpc_system(stream, Side::Client, None, &self.traffic);
        let gate: gate::Client = rpc.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            // The error is not needed: calls over a connection that has ended fail with their own.
            let _ = rpc.await;
        })
        .abort_handle();
        let hello = self.say_hello(&gate);
        let answered = timeout(CONNECT_LIMIT, hello).await;
        let result = match answered {
            Err(_elapsed) => Err(error(FailureCause::timed_out(CONNECT_LIMIT))),
            Ok(Err(cause)) => Err(error(to_cause(&cause))),
            Ok(Ok((greeted, client))) => {
                let last_used = std::cell::Cell::new(tokio::time::Instant::now());
                let incarnation = greeted.incarnation;
                let open = PeerConnection { incarnation, client, task: task.clone(), last_used };
                Ok((greeted, open))
            }
        };
        if result.is_err() {
            task.abort();
        }
        result
    }

    async fn say_hello(
        &self,
        gate: &gate::Client,
    ) -> Result<(GreetedPeer, peer::Client), capnp::Error> {
        let mut request = gate.hello_request();
        codec::write_hello(request.get().init_hello(), &self.identity);
        let response = request.send().promise.await?;
        let results = response.get()?;
        let hello = results.get_hello()?;
        if hello.get_deployment()?.to_str() != Ok(&self.identity.deployment) {
            return Err(capnp::Error::failed("other deployment".into()));
        }
        if !is_compatible(self.identity.version, hello.get_version()) {
            let version = hello.get_version();
            return Err(capnp::Error::failed(format!("unknown protocol version {version}")));
        }
        let record = codec::read_record(hello)?;
        let incarnation = IncarnationId(hello.get_incarnation());
        Ok((GreetedPeer { incarnation, record }, results.get_peer()?))
    }

    /// Returns a connection to the incarnation of `target`; fails if another one has its address.
    async fn peer(
        &self,
        step: &'static str,
        target: &PeerTarget,
    ) -> Result<Rc<PeerConnection>, StepError> {
        let known = self.open.borrow().get(&target.address).cloned();
        let found = match known.filter(|open| open.incarnation == target.incarnation) {
            Some(open) => open,
            None => {
                let (_, open) = self.connect(&target.address).await?;
                let open = Rc::new(open);
                self.open.borrow_mut().insert(target.address.clone(), open.clone());
                open
            }
        };
        if found.incarnation != target.incarnation {
            let cause = FailureCause::Refused("another incarnation".into());
            return Err(StepError::new(step, target.address.clone(), cause));
        }
        found.last_used.set(tokio::time::Instant::now());
        Ok(found)
    }

    /// Runs one call within `limit`; removes the connection from the pool if it broke or timed out.
    pub(super) async fn call<T, F>(
        &self,
        step: &'static str,
        target: &PeerTarget,
        limit: Duration,
        run: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, StepError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let open = self.peer(step, target).await?;
        let answered = wait_at_most(limit, run(open.client.clone())).await;
        let cause = match answered {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(error)) => to_cause(&error),
            Err(Elapsed) => FailureCause::timed_out(limit),
        };
        if matches!(cause, FailureCause::Broken(_) | FailureCause::TimedOut(_)) {
            let mut pool = self.open.borrow_mut();
            if pool.get(&target.address).is_some_and(|other| Rc::ptr_eq(other, &open)) {
                pool.remove(&target.address);
            }
        }
        Err(StepError::new(step, target.address.clone(), cause))
    }
}

fn to_cause(error: &capnp::Error) -> FailureCause {
    match error.kind {
        capnp::ErrorKind::Disconnected => FailureCause::Broken(error.extra.clone()),
        capnp::ErrorKind::Failed => FailureCause::Refused(error.extra.clone()),
        _ => FailureCause::Malformed(error.to_string()),
    }
}
