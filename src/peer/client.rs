//! Connections to other daemons and typed calls over them; every wait is bounded.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::{net::TcpStream, time::timeout};

use super::{
    codec, is_compatible,
    transport::{TrafficCounter, rpc_system},
};
use crate::{
    clock::wait_at_most,
    cluster::{
        averaging::DemandOffer,
        core::PeerTarget,
        items::{ItemKey, SpreadItem},
        members::MemberRecord,
    },
    errors::{FailureCause, StepError},
    ids::{IncarnationId, RequestName, SharedName},
    peer_capnp::{gate, peer},
    request::{
        call::CallerCall,
        store::RequestCopy,
        tickets::{ConsentVerdict, SealVerdict, SettledAnswer, TicketId},
    },
};

/// Longest wait for a connection and the hello over it.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for an answer that a peer gives at once.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// What this daemon says in its hello.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Deployment.
    pub deployment: SharedName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Address of its own gate.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
}

struct OpenPeer {
    incarnation: IncarnationId,
    client: peer::Client,
    task: tokio::task::AbortHandle,
    used: std::cell::Cell<tokio::time::Instant>,
}

impl Drop for OpenPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of connections to other daemons, one for each.
#[derive(Clone)]
pub struct PeerPool {
    identity: Rc<LocalIdentity>,
    open: Rc<RefCell<HashMap<SharedName, Rc<OpenPeer>>>>,
    traffic: TrafficCounter,
}

/// Answer to a greeting.
#[derive(Clone, Debug)]
pub struct GreetedPeer {
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// What it says of itself.
    pub record: MemberRecord,
}

impl PeerPool {
    /// Pool of the daemon `identity`.
    pub fn new(identity: LocalIdentity) -> Self {
        Self {
            identity: Rc::new(identity),
            open: Rc::default(),
            traffic: TrafficCounter::default(),
        }
    }

    /// Closes connections that have not been used for `idle`.
    pub fn close_idle(&self, idle: Duration) {
        self.open.borrow_mut().retain(|_, open| open.used.get().elapsed() < idle);
    }

    /// Bytes over all connections to peers, also those that they opened.
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

    async fn connect(&self, address: &SharedName) -> Result<(GreetedPeer, OpenPeer), StepError> {
        let error = |cause| StepError::new("greet peer", address.clone(), cause);
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(&**address)).await;
        let stream = match connecting {
            Err(_) => {
                return Err(error(FailureCause::TimedOut(CONNECT_LIMIT.as_millis() as u64)));
            }
            Ok(Err(cause)) => return Err(error(FailureCause::Unreachable(cause.to_string()))),
            Ok(Ok(stream)) => stream,
        };
        let mut rpc = rpc_system(stream, Side::Client, None, &self.traffic);
        let door: gate::Client = rpc.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            let _ = rpc.await;
        })
        .abort_handle();
        let hello = self.say_hello(&door);
        let answered = timeout(CONNECT_LIMIT, hello).await;
        let result = match answered {
            Err(_) => Err(error(FailureCause::TimedOut(CONNECT_LIMIT.as_millis() as u64))),
            Ok(Err(cause)) => Err(error(to_cause(&cause))),
            Ok(Ok((greeted, client))) => {
                let used = std::cell::Cell::new(tokio::time::Instant::now());
                let incarnation = greeted.incarnation;
                let open = OpenPeer { incarnation, client, task: task.clone(), used };
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
        door: &gate::Client,
    ) -> Result<(GreetedPeer, peer::Client), capnp::Error> {
        let mut request = door.hello_request();
        super::server::write_hello(request.get().init_hello(), &self.identity);
        let response = request.send().promise.await?;
        let results = response.get()?;
        let hello = results.get_hello()?;
        if hello.get_deployment()?.to_str() != Ok(&self.identity.deployment) {
            return Err(capnp::Error::failed("other deployment".into()));
        }
        if !is_compatible(hello.get_version()) {
            let version = hello.get_version();
            return Err(capnp::Error::failed(format!("unknown protocol version {version}")));
        }
        let record = super::server::read_record(hello)?;
        let incarnation = IncarnationId(hello.get_incarnation());
        Ok((GreetedPeer { incarnation, record }, results.get_peer()?))
    }

    /// Connection to exactly the incarnation of `target`.
    async fn peer(
        &self,
        step: &'static str,
        target: &PeerTarget,
    ) -> Result<Rc<OpenPeer>, StepError> {
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
        found.used.set(tokio::time::Instant::now());
        Ok(found)
    }

    /// Runs one call within `limit`; a broken connection is dropped from the pool.
    async fn call<T, F>(
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
            Err(_) => FailureCause::TimedOut(limit.as_millis() as u64),
        };
        if matches!(cause, FailureCause::Broken(_) | FailureCause::TimedOut(_)) {
            let mut pool = self.open.borrow_mut();
            if pool.get(&target.address).is_some_and(|other| Rc::ptr_eq(other, &open)) {
                pool.remove(&target.address);
            }
        }
        Err(StepError::new(step, target.address.clone(), cause))
    }

    /// Probes the target.
    pub async fn probe(&self, target: &PeerTarget) -> Result<(), StepError> {
        let incarnation = target.incarnation.0;
        self.call("probe", target, CALL_LIMIT, |client| async move {
            let mut request = client.probe_request();
            request.get().set_incarnation(incarnation);
            request.send().promise.await?.get()?;
            Ok(())
        })
        .await
    }

    /// Asks `helper` to probe `target`.
    pub async fn probe_via(
        &self,
        helper: &PeerTarget,
        target: &PeerTarget,
    ) -> Result<bool, StepError> {
        let target = target.clone();
        self.call("probe via helper", helper, CALL_LIMIT * 2, |client| async move {
            let mut request = client.probe_via_request();
            request.get().set_address(&*target.address);
            request.get().set_incarnation(target.incarnation.0);
            Ok(request.send().promise.await?.get()?.get_alive())
        })
        .await
    }

    /// Sends items.
    pub async fn push(&self, target: &PeerTarget, items: &[SpreadItem]) -> Result<(), StepError> {
        let items = items.to_vec();
        self.call("push items", target, CALL_LIMIT, |client| async move {
            let mut request = client.push_request();
            codec::write_items(request.get().init_items(items.len() as u32), &items);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Sends a summary; returns the target's differing buckets and their versions.
    pub async fn summary(
        &self,
        target: &PeerTarget,
        buckets: Vec<u64>,
    ) -> Result<(Vec<usize>, Vec<(ItemKey, u64)>), StepError> {
        self.call("exchange summaries", target, CALL_LIMIT, |client| async move {
            let mut request = client.summary_request();
            let mut list = request.get().init_buckets(buckets.len() as u32);
            for (index, bucket) in buckets.iter().enumerate() {
                list.set(index as u32, *bucket);
            }
            let response = request.send().promise.await?;
            let results = response.get()?;
            let differing = results.get_differing()?.iter().map(usize::from).collect();
            Ok((differing, codec::read_versions(results.get_versions()?)?))
        })
        .await
    }

    /// Fetches items.
    pub async fn fetch(
        &self,
        target: &PeerTarget,
        wanted: Vec<(ItemKey, u64)>,
    ) -> Result<Vec<SpreadItem>, StepError> {
        self.call("fetch items", target, CALL_LIMIT * 2, |client| async move {
            let mut request = client.fetch_request();
            codec::write_versions(request.get().init_wanted(wanted.len() as u32), &wanted);
            let response = request.send().promise.await?;
            codec::read_items(response.get()?.get_items()?)
        })
        .await
    }

    /// Offers a whole copy; returns the state that goes before it, if there is one.
    pub async fn offer(
        &self,
        target: &PeerTarget,
        copy: &RequestCopy,
    ) -> Result<Option<RequestCopy>, StepError> {
        let copy = copy.clone();
        self.call("offer copy", target, CALL_LIMIT, |client| async move {
            let mut request = client.offer_request();
            codec::write_copy(request.get().init_copy(), &copy);
            let response = request.send().promise.await?;
            let results = response.get()?;
            if results.get_accepted() {
                return Ok(None);
            }
            codec::read_copy(results.get_known()?).map(Some)
        })
        .await
    }

    /// Sends news of copies; returns the names of those that the target cannot use.
    pub async fn append(
        &self,
        target: &PeerTarget,
        copies: &[RequestCopy],
    ) -> Result<Vec<RequestName>, StepError> {
        let copies = copies.to_vec();
        self.call("append to copies", target, CALL_LIMIT * 2, |client| async move {
            let mut request = client.append_request();
            let mut list = request.get().init_copies(copies.len() as u32);
            for (index, copy) in copies.iter().enumerate() {
                codec::write_copy(list.reborrow().get(index as u32), copy);
            }
            let response = request.send().promise.await?;
            let refused = response.get()?.get_superseded()?;
            refused.iter().map(codec::read_request_name).collect()
        })
        .await
    }

    /// Waits at the holder for tokens from `first_token` on; `None` if it does not know
    /// the request.
    pub async fn attach(
        &self,
        target: &PeerTarget,
        name: &RequestName,
        first_token: usize,
        wait: Duration,
    ) -> Result<Option<RequestCopy>, StepError> {
        let name = name.clone();
        self.call("attach to request", target, CALL_LIMIT + wait, |client| async move {
            let mut request = client.attach_request();
            codec::write_request_name(request.get().init_name(), &name);
            request.get().set_first_token(first_token as u32);
            request.get().set_wait_ms(wait.as_millis() as u32);
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_found() {
                return Ok(None);
            }
            codec::read_copy(results.get_copy()?).map(Some)
        })
        .await
    }

    /// Has the holder of `ticket` run `call`, and waits for its final answer.
    pub async fn run_once(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
        call: &CallerCall,
        limit: Duration,
    ) -> Result<SettledAnswer, StepError> {
        let call = codec::to_json(call);
        self.call("run at holder", target, limit, |client| async move {
            let mut request = client.run_once_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_call(&call);
            let response = request.send().promise.await?;
            let settled = codec::read_json(response.get()?.get_settled()?, "settled answer")?;
            settled.ok_or_else(|| capnp::Error::failed("no settled answer".into()))
        })
        .await
    }

    /// Asks the witness of `ticket` for consent.
    pub async fn consent(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
    ) -> Result<ConsentVerdict, StepError> {
        self.call("ask for consent", target, CALL_LIMIT, |client| async move {
            let mut request = client.consent_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_holder(ticket.holder.0);
            let response = request.send().promise.await?;
            Ok(super::server::read_verdict(response.get()?.get_verdict()?))
        })
        .await
    }

    /// Has the witness seal `ticket`.
    pub async fn seal(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
    ) -> Result<SealVerdict, StepError> {
        self.call("seal ticket", target, CALL_LIMIT, |client| async move {
            let mut request = client.seal_request();
            request.get().set_ticket(ticket.to_string());
            let response = request.send().promise.await?;
            let results = response.get()?;
            let settled = codec::read_json(results.get_settled()?, "settled answer")?;
            Ok(match settled {
                Some(settled) => SealVerdict::Ended(settled),
                None if results.get_dispatched() => SealVerdict::MayHaveRun,
                None => SealVerdict::NotDispatched,
            })
        })
        .await
    }

    /// Reports the final answer of `ticket` to its witness.
    pub async fn settle(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
        settled: &SettledAnswer,
    ) -> Result<(), StepError> {
        let settled = codec::to_json(settled);
        self.call("settle ticket", target, CALL_LIMIT, |client| async move {
            let mut request = client.settle_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_settled(&settled);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Exchanges averages; `None` if the target is in another epoch or order.
    pub async fn average(
        &self,
        target: &PeerTarget,
        offer: &DemandOffer,
    ) -> Result<Option<Vec<f32>>, StepError> {
        let offer = offer.clone();
        self.call("exchange averages", target, CALL_LIMIT, |client| async move {
            let mut request = client.average_request();
            request.get().set_epoch(offer.epoch);
            request.get().set_order(offer.order);
            request.get().set_values(offer.values.as_slice())?;
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_accepted() {
                return Ok(None);
            }
            super::server::read_values(results.get_values()?).map(Some)
        })
        .await
    }
}

fn to_cause(error: &capnp::Error) -> FailureCause {
    match error.kind {
        capnp::ErrorKind::Disconnected => FailureCause::Broken(error.extra.clone()),
        capnp::ErrorKind::Failed => FailureCause::Refused(error.extra.clone()),
        _ => FailureCause::Malformed(error.to_string()),
    }
}
