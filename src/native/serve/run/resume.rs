//! Finds or starts the request that a client names, wherever it runs.
//!
//! The daemon that accepts a request tells a few peers, which anyone can work out from
//! the request's name, that it runs it; its tokens go to its partners, which anyone can
//! work out from the daemon. A client whose connection broke asks any daemon: that one
//! offers itself to the same peers, is told who runs the request, and follows that
//! holder; if the holder cannot be reached, it gets the tokens from the holder's partners
//! and takes the request over.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future::LocalBoxFuture;
use tokio::time::{Instant, timeout};

use super::driver::RequestDriver;
use crate::{
    ids::RequestName,
    kernel::SendError,
    native::{
        cluster::events::PeerTarget,
        decide::limits::{LimitVerdict, RequestPriority},
        request::{
            call::ClientCall,
            copy::RequestCopy,
            outcome::{CallStage, DispatchedCall, FinalResponse, NotRunReason, UndispatchedCall},
            store::ClaimVerdict,
        },
        serve::{
            context::ServeContext,
            services::{
                copies::{messages::CopyMessage, supersede},
                limit_service::LimitMessage,
                store_service::RequestMessage,
            },
            timeline::EventKind,
        },
    },
};

/// Longest wait for a peer to take a copy before the request goes on without it.
const OFFER_LIMIT: Duration = Duration::from_millis(150);
/// Longest wait for a partner of a lost holder to tell what it knows.
const RECOVER_LIMIT: Duration = Duration::from_millis(300);
/// Partners of a lost holder that are asked: one more than it sends to, since members
/// may have changed meanwhile.
const PARTNERS_ASKED: usize = 3;
/// How long one request to a remote holder waits for an update.
const ATTACH_WAIT: Duration = Duration::from_millis(1_000);
/// When a client may come back to another daemon.
const ELSEWHERE: Duration = Duration::ZERO;
/// When a client may come back after an overload.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What was found.
#[derive(Debug)]
pub enum ObtainedRequest {
    /// Its state can be read from the store as it grows.
    Ready,
    /// The key names another request.
    KeyReused,
    /// It was refused.
    Refused(FinalResponse),
}

/// Finds the request `name`, or starts it with `call`.
pub async fn obtain(
    context: &Rc<ServeContext>,
    name: &RequestName,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    let claim = context.requests.ask(|reply| RequestMessage::Claim {
        name: name.clone(),
        call: call.clone(),
        reply,
    });
    match claim.await? {
        ClaimVerdict::KeyReused => Ok(ObtainedRequest::KeyReused),
        ClaimVerdict::Here => Ok(ObtainedRequest::Ready),
        ClaimVerdict::Copied(copy) => follow(context, copy).await,
        ClaimVerdict::New => start_new(context, name, call).await,
    }
}

async fn start_new(
    context: &Rc<ServeContext>,
    name: &RequestName,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    let undispatched = UndispatchedCall::new(call.clone());
    let copy = RequestCopy {
        name: name.clone(),
        term: 0,
        holder: context.holder(),
        digest: Some(call.digest()),
        call: Some(call.clone()),
        first_token: 0,
        tokens: Vec::new(),
        response: None,
    };
    let (targets, known) = place(context, &copy).await;
    if let Some(known) = known {
        context.requests.send(RequestMessage::Remove { name: name.clone() })?;
        if known.digest.is_some_and(|digest| digest != call.digest()) {
            return Ok(ObtainedRequest::KeyReused);
        }
        return adopt(context, known, call).await;
    }
    let priority = match admit(context, &call).await? {
        Ok(priority) => priority,
        Err((reason, wait)) => {
            context.requests.send(RequestMessage::Remove { name: name.clone() })?;
            return Ok(ObtainedRequest::Refused(undispatched.refuse(reason, wait)));
        }
    };
    if targets.is_empty() {
        context.metrics.count("accepted_without_copy", 1);
    }
    context.copies.send(CopyMessage::Track(name.clone()))?;
    context.note(EventKind::Accepted, name, format!("service {}", call.service));
    let mut driver = RequestDriver::new(context.clone(), name.clone(), 0, call, Vec::new());
    driver.priority = priority;
    spawn_driver(context, driver, CallStage::Undispatched(undispatched));
    Ok(ObtainedRequest::Ready)
}

fn spawn_driver(context: &Rc<ServeContext>, driver: RequestDriver, stage: CallStage) {
    let active = context.active.enter();
    context.kernel.spawn("driver", async move {
        let (context, name) = driver.run(stage).await;
        drop(active);
        // NOTE: a driver also stops when another daemon has taken its request over; then
        // clients here must get the response from there.
        follow_again(context, name).await;
    });
}

/// Priority of a new request; or why it may not start here and now, and when it may come
/// back.
pub async fn admit(
    context: &Rc<ServeContext>,
    call: &ClientCall,
) -> Result<Result<RequestPriority, (NotRunReason, Duration)>, SendError> {
    if context.is_leaving() {
        return Ok(Err((NotRunReason::Draining, ELSEWHERE)));
    }
    if context.active.get() >= context.settings.request_limit {
        return Ok(Err((NotRunReason::Overloaded, RETRY_AFTER)));
    }
    let Some(row) = context.table().account(&call.account) else {
        return Ok(Err((NotRunReason::NoTable, RETRY_AFTER)));
    };
    let verdict = context.limits.ask(|reply| LimitMessage::Admit {
        account: call.account.clone(),
        weight: row.weight,
        tokens: call.expected_tokens(),
        limit: row.tokens_per_s,
        reply,
    });
    Ok(match verdict.await? {
        LimitVerdict::Admitted(priority) => Ok(priority),
        LimitVerdict::Refused(wait) => Err((NotRunReason::AccountLimit, wait)),
    })
}

/// Tells the peers of a request's placement that this daemon runs it. Returns those that
/// took note, and the state that one of them knows to go before it.
async fn place(
    context: &Rc<ServeContext>,
    copy: &RequestCopy,
) -> (Vec<PeerTarget>, Option<RequestCopy>) {
    let entry = RequestCopy { tokens: Vec::new(), first_token: 0, ..copy.clone() };
    let targets = context.directory_targets(&copy.name);
    let offers =
        targets.iter().map(|target| timeout(OFFER_LIMIT, context.pool.offer(target, &entry)));
    let answers = futures::future::join_all(offers).await;
    let mut taken = Vec::new();
    let mut known: Option<RequestCopy> = None;
    for (target, response) in targets.into_iter().zip(answers) {
        match response {
            Ok(Ok(None)) => taken.push(target),
            Ok(Ok(Some(state))) => {
                let goes_before = known.as_ref().is_none_or(|known| rank(&state) > rank(known));
                if goes_before {
                    known = Some(state);
                }
            }
            Ok(Err(_)) | Err(_) => {
                context.metrics.count("copy_offers_failed", 1);
            }
        }
    }
    (taken, known)
}

/// Which of several known states goes first: a response, then the later term.
fn rank(copy: &RequestCopy) -> (bool, u32) {
    let answered = copy.response.as_ref().is_some_and(|response| response.is_answered());
    (answered, copy.term)
}

/// Gets what the partners of a lost holder know, before this daemon takes its place.
async fn recover(context: &Rc<ServeContext>, name: &RequestName) {
    let Some(own) = read_state(context, name).await else { return };
    let partners = context.partner_targets(own.holder.incarnation, PARTNERS_ASKED);
    let asked = partners.iter().map(|partner| {
        timeout(RECOVER_LIMIT, context.pool.attach(partner, name, own.first_token, Duration::ZERO))
    });
    for response in futures::future::join_all(asked).await {
        if let Ok(Ok(Some(copy))) = response {
            supersede_quietly(context, copy).await;
        }
    }
}

/// Takes a request that peers know to be run elsewhere, for a client that asks here.
async fn adopt(
    context: &Rc<ServeContext>,
    known: RequestCopy,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    supersede(context, known.clone()).await;
    // NOTE: the second claim gives the record its call, which peers do not keep.
    let name = known.name.clone();
    let claim = context.requests.ask(|reply| RequestMessage::Claim { name, call, reply });
    claim.await?;
    follow(context, known).await
}

/// Goes on with a request that is known as a copy.
async fn follow(
    context: &Rc<ServeContext>,
    copy: RequestCopy,
) -> Result<ObtainedRequest, SendError> {
    if copy.response.as_ref().is_some_and(|response| response.is_answered()) {
        return Ok(ObtainedRequest::Ready);
    }
    let name = copy.name.clone();
    let holder = context.target(copy.holder.incarnation);
    let ended = copy.response.is_some();
    match holder.filter(|_| !ended && copy.holder != context.holder()) {
        Some(holder) => {
            if context.mirrors.borrow_mut().insert(name.clone()) {
                let mirror = mirror(context.clone(), name, holder);
                context.kernel.spawn("mirror", mirror);
            }
            Ok(ObtainedRequest::Ready)
        }
        None => take_over(context, &name).await,
    }
}

/// Keeps the local copy up to date from its holder; takes over when that fails.
async fn mirror(context: Rc<ServeContext>, name: RequestName, holder: PeerTarget) {
    let lost = !follow_holder(&context, &name, &holder).await;
    context.mirrors.borrow_mut().remove(&name);
    let still_holder = match read_state(&context, &name).await {
        Some(own) => own.holder.incarnation == holder.incarnation,
        None => return,
    };
    if lost && still_holder {
        // NOTE: a daemon that is leaving has closed its clients' connections; they ask
        // another daemon, which takes over instead.
        if !context.is_leaving() {
            let _ = take_over(&context, &name).await;
        }
    } else {
        follow_again(context, name).await;
    }
}

/// State of a request without its tokens.
async fn read_state(context: &Rc<ServeContext>, name: &RequestName) -> Option<RequestCopy> {
    let read = context.requests.ask(|reply| RequestMessage::Read {
        name: name.clone(),
        first_token: usize::MAX,
        reply,
    });
    read.await.ok().flatten()
}

/// Follows whoever holds a request by now, unless it has ended or is held here. Boxed,
/// since following may lead to following again.
fn follow_again(context: Rc<ServeContext>, name: RequestName) -> LocalBoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(copy) = read_state(&context, &name).await else { return };
        if copy.response.is_none() && copy.holder != context.holder() {
            // NOTE: fails only while the daemon stops.
            let _ = follow(&context, copy).await;
        }
    })
}

/// Follows the holder until the request has ended or another one holds it (`true`), or
/// the holder is lost (`false`).
async fn follow_holder(
    context: &Rc<ServeContext>,
    name: &RequestName,
    holder: &PeerTarget,
) -> bool {
    loop {
        let Some(own) = read_state(context, name).await else { return true };
        if own.response.is_some() || own.holder.incarnation != holder.incarnation {
            return true;
        }
        let attached = context.pool.attach(holder, name, own.first_token, ATTACH_WAIT).await;
        let Ok(Some(update)) = attached else { return false };
        if update.holder.incarnation != holder.incarnation {
            // NOTE: the holder was itself superseded; its copy names the next one.
            supersede(context, update).await;
            return true;
        }
        if update.term < own.term {
            // It does not know that it was superseded; nothing more comes from it.
            return false;
        }
        let ended = update.response.is_some();
        supersede_quietly(context, update).await;
        if ended {
            return true;
        }
    }
}

async fn supersede_quietly(context: &Rc<ServeContext>, update: RequestCopy) {
    let offer = context.requests.ask(|reply| RequestMessage::Offer { copy: update, reply });
    // An update that is not newer changes nothing; a send fails only while the daemon stops.
    let _ = offer.await;
}

/// Makes this daemon the holder, and goes on after the tokens known here.
async fn take_over(
    context: &Rc<ServeContext>,
    name: &RequestName,
) -> Result<ObtainedRequest, SendError> {
    recover(context, name).await;
    let taken =
        context.requests.ask(|reply| RequestMessage::TakeOver { name: name.clone(), reply });
    let Some(copy) = taken.await? else { return Ok(ObtainedRequest::Refused(gone())) };
    let Some(call) = copy.call.clone() else { return Ok(ObtainedRequest::Refused(gone())) };
    let begun_at = Instant::now();
    let (targets, known) = place(context, &copy).await;
    if let Some(known) = known.filter(|known| rank(known) > rank(&copy)) {
        // Another daemon was faster.
        supersede(context, known.clone()).await;
        return Box::pin(follow(context, known)).await;
    }
    context.metrics.count("requests_taken_over", 1);
    let tokens = copy.tokens.len();
    let detail =
        format!("term {}, {tokens} tokens, {} ms", copy.term, begun_at.elapsed().as_millis());
    context.note(EventKind::TakenOver, name, detail);
    if targets.is_empty() {
        context.metrics.count("accepted_without_copy", 1);
    }
    context.copies.send(CopyMessage::Track(name.clone()))?;
    let stage = CallStage::Dispatched(DispatchedCall::taken_over(call.clone()));
    let driver = RequestDriver::new(context.clone(), name.clone(), copy.term, call, copy.tokens);
    spawn_driver(context, driver, stage);
    Ok(ObtainedRequest::Ready)
}

/// The record expired between two steps: nothing is known of the request any more.
fn gone() -> FinalResponse {
    FinalResponse::Unknown(crate::native::request::outcome::UnknownReason::HolderLost)
}
