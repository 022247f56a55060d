//! Finds or starts the request that a client names, wherever it runs.
//!
//! The daemon that accepts a request (its holder) reports it to a few directory peers, which every
//! daemon can compute from the request's name. It sends the request's tokens to its partners, which
//! every daemon can compute from the holder's identity. A client whose connection broke may ask any
//! daemon. That daemon offers to run the request to the same directory peers, learns from them who
//! runs it, and follows that holder. If the holder cannot be reached, the daemon gets the tokens from
//! the holder's partners and takes the request over.

mod directory;
mod mirror;

use std::{rc::Rc, sync::Arc};

use tokio::time::Instant;

use super::{
    admission::{AdmissionVerdict, admit},
    driver::RequestDriver,
    resume::{
        directory::{fetch_from_partners, offer_to_directory, precedence},
        mirror::{follow_again, mirror},
    },
};
use crate::{
    ids::RequestName,
    kernel::SendError,
    native::{
        request::{
            call::ClientCall,
            copy::RequestCopy,
            outcome::{CallStage, DispatchedCall, FinalResponse, UndispatchedCall, UnknownReason},
            store::ClaimVerdict,
        },
        serve::{
            context::ServeContext,
            services::{
                copies::{messages::CopyMessage, supersede},
                store_service::RequestMessage,
            },
            timeline::EventKind,
        },
    },
};

/// Result of [`obtain`].
#[derive(Debug)]
pub enum ObtainedRequest {
    /// The request's state is in the local store and is updated there.
    Ready,
    /// The key was used for another request.
    KeyReused,
    /// The request was refused.
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

/// Initial state of a request that starts at this daemon.
fn first_copy(context: &ServeContext, name: &RequestName, call: &Arc<ClientCall>) -> RequestCopy {
    RequestCopy {
        name: name.clone(),
        takeovers: 0,
        holder: context.holder(),
        digest: Some(call.digest()),
        call: Some(call.clone()),
        first_token: 0,
        tokens: Vec::new(),
        response: None,
    }
}

async fn start_new(
    context: &Rc<ServeContext>,
    name: &RequestName,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    let undispatched = UndispatchedCall::new(call.clone());
    let copy = first_copy(context, name, &call);
    let (targets, known) = offer_to_directory(context, &copy).await;
    if let Some(known) = known {
        context.requests.send(RequestMessage::Remove { name: name.clone() })?;
        if known.digest.is_some_and(|digest| digest != call.digest()) {
            return Ok(ObtainedRequest::KeyReused);
        }
        return adopt(context, known, call).await;
    }
    let priority = match admit(context, &call).await? {
        AdmissionVerdict::Admitted(priority) => priority,
        AdmissionVerdict::Refused { reason, retry_after } => {
            context.requests.send(RequestMessage::Remove { name: name.clone() })?;
            return Ok(ObtainedRequest::Refused(undispatched.refuse(reason, retry_after)));
        }
    };
    if targets.is_empty() {
        context.metrics.count("accepted_without_copy", 1);
    }
    context.copies.send(CopyMessage::Track(name.clone()))?;
    context.record_event(EventKind::Accepted, name, format!("service {}", call.service));
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
        // A driver also stops when another daemon has taken its request over. Clients of this
        // daemon then need the response of that one.
        follow_again(context, name).await;
    });
}

/// Stores and follows a request that another daemon runs, for a client of this daemon.
async fn adopt(
    context: &Rc<ServeContext>,
    known: RequestCopy,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    supersede(context, known.clone()).await;
    // The second claim adds the call to the record, since peers do not keep calls.
    let name = known.name.clone();
    let claim = context.requests.ask(|reply| RequestMessage::Claim { name, call, reply });
    claim.await?;
    follow(context, known).await
}

/// Continues a request that is known as a copy: follows its holder, or takes the request over if the
/// holder is no longer a member or the request ended without a response.
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

/// Makes this daemon the holder, and continues after the tokens known here.
async fn take_over(
    context: &Rc<ServeContext>,
    name: &RequestName,
) -> Result<ObtainedRequest, SendError> {
    fetch_from_partners(context, name).await;
    let taken =
        context.requests.ask(|reply| RequestMessage::TakeOver { name: name.clone(), reply });
    let Some(copy) = taken.await? else { return Ok(ObtainedRequest::Refused(expired())) };
    let Some(call) = copy.call.clone() else { return Ok(ObtainedRequest::Refused(expired())) };
    let begun_at = Instant::now();
    let (targets, known) = offer_to_directory(context, &copy).await;
    if let Some(known) = known.filter(|known| precedence(known) > precedence(&copy)) {
        // Another daemon was faster.
        supersede(context, known.clone()).await;
        return Box::pin(follow(context, known)).await;
    }
    context.metrics.count("requests_taken_over", 1);
    let tokens = copy.tokens.len();
    let detail =
        format!("term {}, {tokens} tokens, {} ms", copy.takeovers, begun_at.elapsed().as_millis());
    context.record_event(EventKind::TakenOver, name, detail);
    if targets.is_empty() {
        context.metrics.count("accepted_without_copy", 1);
    }
    context.copies.send(CopyMessage::Track(name.clone()))?;
    let stage = CallStage::Dispatched(DispatchedCall::taken_over(call.clone()));
    let driver =
        RequestDriver::new(context.clone(), name.clone(), copy.takeovers, call, copy.tokens);
    spawn_driver(context, driver, stage);
    Ok(ObtainedRequest::Ready)
}

/// Response for a request whose record expired during the take-over, so that its state is lost.
fn expired() -> FinalResponse {
    FinalResponse::Unknown(UnknownReason::HolderLost)
}
