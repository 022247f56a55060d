//! Finds or starts the request that a client names, wherever it runs.
//!
//! The daemon that accepts a request reports it to a few directory peers, which anyone can work
//! out from the request's name; its tokens go to its partners, which anyone can work out from the
//! daemon. A client whose connection broke asks any daemon. That one offers itself to the same
//! directory peers, learns who runs the request, and follows that holder; if the holder cannot
//! be reached, it gets the tokens from the holder's partners and takes the request over.

mod directory;
mod mirror;

use std::{rc::Rc, sync::Arc};

use tokio::time::Instant;

use super::{
    admission::{AdmissionVerdict, admit},
    driver::RequestDriver,
    resume::{
        directory::{place, rank, recover},
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

/// State of a request that starts here.
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
    let (targets, known) = place(context, &copy).await;
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
        // A driver also stops when another daemon has taken its request over; then
        // clients here must get the response from there.
        follow_again(context, name).await;
    });
}

/// Stores a request that runs elsewhere, for a client that asks here.
async fn adopt(
    context: &Rc<ServeContext>,
    known: RequestCopy,
    call: Arc<ClientCall>,
) -> Result<ObtainedRequest, SendError> {
    supersede(context, known.clone()).await;
    // The second claim gives the record its call, which peers do not keep.
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
        format!("term {}, {tokens} tokens, {} ms", copy.takeovers, begun_at.elapsed().as_millis());
    context.note(EventKind::TakenOver, name, detail);
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

/// The record expired between two steps: nothing is known of the request any more.
fn gone() -> FinalResponse {
    FinalResponse::Unknown(UnknownReason::HolderLost)
}
