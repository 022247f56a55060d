//! Requests that may not be retried: finds the one daemon that may dispatch them.
//!
//! docs/design/at-most-once.md compares the alternatives. The right to dispatch is a ticket
//! (`crate::native::request::tickets`). A client may fetch a ticket beforehand and send it as its
//! key. Any other key is bound to a ticket by a conditional create in the object API. A request
//! without a key gets a ticket that nobody else knows.

mod claims;
mod run;

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep, timeout};

use super::once::{
    claims::{abandon, claim, claim_name},
    run::OnceRun,
};
use crate::{
    ids::RequestName,
    native::{
        cloud_api::client::WriteCondition,
        request::{
            call::ClientCall,
            outcome::{FinalResponse, NotRunReason, UndispatchedCall, UnknownReason},
            tickets::{SealVerdict, SettledResponse, TicketId, TicketUse},
        },
        serve::{
            RETRY_AFTER, context::ServeContext, services::ticket_service::TicketMessage,
            timeline::EventKind,
        },
    },
};

/// Longest wait for a ticket's holder: less than the 45 s for which a client is kept waiting.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between attempts to reach a holder that may have dispatched: long enough that few calls are
/// made within `HOLDER_TIMEOUT`.
const HOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of a request that may not be retried.
#[derive(Debug)]
pub enum OnceOutcome {
    /// The request has a final response.
    Final(FinalResponse),
    /// The key was used for another request of the account.
    KeyReused,
    /// The key is a ticket of another client account.
    ForeignTicket,
}

/// Issues a ticket to `account`.
pub async fn issue(context: &Rc<ServeContext>, account: &str) -> Option<TicketId> {
    let witness = context.choose_witness();
    context.attempts.set(context.attempts.get() + 1);
    let scope = TicketId::scope_of(account);
    context.tickets.ask(|reply| TicketMessage::Issue { witness, scope, reply }).await.ok()
}

/// Serves a request under the client's key, if it gave one.
pub async fn serve(
    context: &Rc<ServeContext>,
    key: Option<&str>,
    call: Arc<ClientCall>,
) -> OnceOutcome {
    let scope = TicketId::scope_of(&call.account);
    let ticket = match key.map(str::parse::<TicketId>) {
        Some(Ok(ticket)) if ticket.scope != scope => return OnceOutcome::ForeignTicket,
        Some(Ok(ticket)) => ticket,
        // A key that is not a ticket was made up by the client.
        Some(Err(_)) => return serve_claimed(context, key.unwrap_or_default(), call).await,
        None => match issue(context, &call.account).await {
            Some(ticket) => ticket,
            None => return refuse(call, NotRunReason::Overloaded),
        },
    };
    resolve(context, ticket, call).await
}

fn refuse(call: Arc<ClientCall>, reason: NotRunReason) -> OnceOutcome {
    OnceOutcome::Final(UndispatchedCall::new(call).refuse(reason, RETRY_AFTER))
}

/// Serves a request under a key that the client made up, which a claim binds to a ticket.
async fn serve_claimed(
    context: &Rc<ServeContext>,
    key: &str,
    call: Arc<ClientCall>,
) -> OnceOutcome {
    let object = claim_name(&call.account, key);
    let Some(own) = issue(context, &call.account).await else {
        return refuse(call, NotRunReason::Overloaded);
    };
    let (bound, version) = match claim(context, &object, own, WriteCondition::Absent).await {
        Ok(found) => found,
        Err(()) => {
            // The write may still take effect. Using up the ticket gives the right outcome to
            // whoever finds the claim later.
            abandon(context, own, &call).await;
            return refuse(call, NotRunReason::ClaimFailed);
        }
    };
    let outcome = resolve(context, bound, call.clone()).await;
    if bound == own || !matches!(outcome, OnceOutcome::Final(FinalResponse::NotRun(_))) {
        return outcome;
    }
    // The earlier request did not run, and its ticket can't be used again: bind the key to the new
    // ticket.
    match claim(context, &object, own, WriteCondition::Version(version)).await {
        Ok((rebound, _)) => resolve(context, rebound, call).await,
        Err(()) => {
            abandon(context, own, &call).await;
            refuse(call, NotRunReason::ClaimFailed)
        }
    }
}

/// Has the holder of `ticket` run the call, or finds out how an earlier run ended.
async fn resolve(
    context: &Rc<ServeContext>,
    ticket: TicketId,
    call: Arc<ClientCall>,
) -> OnceOutcome {
    let digest = call.digest();
    let settled = if ticket.holder == context.identity.incarnation {
        run_as_holder(context, ticket, call).await
    } else {
        ask_holder(context, ticket, call).await
    };
    if settled.digest == digest {
        OnceOutcome::Final(settled.response)
    } else {
        OnceOutcome::KeyReused
    }
}

async fn ask_holder(
    context: &Rc<ServeContext>,
    ticket: TicketId,
    call: Arc<ClientCall>,
) -> SettledResponse {
    let digest = call.digest();
    let deadline = Instant::now() + HOLDER_TIMEOUT;
    loop {
        let holder = context.target(ticket.holder);
        if let Some(holder) = &holder {
            let left = deadline.saturating_duration_since(Instant::now());
            if let Ok(settled) = context.pool.run_once(holder, ticket, &call, left).await {
                return settled;
            }
        }
        match seal(context, ticket).await {
            Some(SealVerdict::Ended(settled)) => return settled,
            Some(SealVerdict::NotDispatched) => {
                let name = RequestName::new(call.account.clone(), ticket.to_string());
                context.record_event(
                    EventKind::TicketSealed,
                    &name,
                    "its holder could not be reached",
                );
                let undispatched = UndispatchedCall::new(call);
                let response = undispatched.refuse(NotRunReason::HolderGone, Duration::ZERO);
                return SettledResponse { digest, response };
            }
            Some(SealVerdict::MayHaveRun) | None => {}
        }
        // While the holder is a member it may still deliver the response; once it has been
        // removed, no other daemon can get it.
        if context.target(ticket.holder).is_none() || Instant::now() >= deadline {
            let response = FinalResponse::Unknown(UnknownReason::HolderLost);
            return SettledResponse { digest, response };
        }
        sleep(HOLDER_RETRY_INTERVAL).await;
    }
}

/// Has the witness seal the ticket; `None` if it cannot be reached.
async fn seal(context: &Rc<ServeContext>, ticket: TicketId) -> Option<SealVerdict> {
    if ticket.witness == context.identity.incarnation {
        // An overloaded ledger counts as a witness that cannot be reached.
        return context.tickets.ask(|reply| TicketMessage::Seal { ticket, reply }).await.ok();
    }
    let witness = context.target(ticket.witness)?;
    context.pool.seal(&witness, ticket).await.ok()
}

/// Runs the call as the holder of `ticket`: at most once, no matter how often and by whom it is
/// requested.
pub async fn run_as_holder(
    context: &Rc<ServeContext>,
    ticket: TicketId,
    call: Arc<ClientCall>,
) -> SettledResponse {
    let digest = call.digest();
    let unknown = |reason| SettledResponse { digest, response: FinalResponse::Unknown(reason) };
    if ticket.holder != context.identity.incarnation {
        return unknown(UnknownReason::HolderLost);
    }
    let begin = context.tickets.ask(|reply| TicketMessage::Begin { ticket, digest, reply });
    match begin.await {
        Ok(TicketUse::Granted) => spawn_run(context, ticket, call, digest),
        Ok(TicketUse::InProgress) => {}
        Ok(TicketUse::Ended(response)) => return SettledResponse { digest, response },
        Ok(TicketUse::KeyReused) => {
            let response = FinalResponse::Unknown(UnknownReason::TicketExpired);
            return SettledResponse { digest: [0; 32], response };
        }
        Ok(TicketUse::Forgotten) => return unknown(UnknownReason::TicketExpired),
        // The ledger is overloaded or has stopped.
        Err(_) => return unknown(UnknownReason::HolderLost),
    }
    match context.tickets.ask(|reply| TicketMessage::Wait { ticket, reply }).await {
        Ok(response) => SettledResponse { digest, response },
        // The ledger is overloaded or has stopped.
        Err(_) => unknown(UnknownReason::HolderLost),
    }
}

/// Runs the call in its own task, so that it continues if the client disconnects.
fn spawn_run(
    context: &Rc<ServeContext>,
    ticket: TicketId,
    call: Arc<ClientCall>,
    digest: [u8; 32],
) {
    let active = context.active.enter();
    let context = context.clone();
    context.clone().kernel.spawn("once", async move {
        let _active = active;
        let mut run = OnceRun::new(context.clone(), ticket, call);
        let response = run.run().await;
        run.record_end(&response);
        // If the ledger is overloaded, those who wait for the response do not get it from the ledger,
        // but the witness still gets it.
        let _ = context.tickets.send(TicketMessage::End { ticket, response: response.clone() });
        settle(&context, ticket, SettledResponse { digest, response }).await;
    });
}

async fn settle(context: &Rc<ServeContext>, ticket: TicketId, settled: SettledResponse) {
    if ticket.witness == ticket.holder {
        return;
    }
    let Some(witness) = context.target(ticket.witness) else { return };
    if context.pool.settle(&witness, ticket, &settled).await.is_err() {
        context.metrics.count("settles_lost", 1);
    }
}

/// Runs [`serve`] with a timeout, after which the outcome is unknown to the client.
pub async fn serve_within(
    context: &Rc<ServeContext>,
    key: Option<&str>,
    call: Arc<ClientCall>,
    limit: Duration,
) -> OnceOutcome {
    let served = timeout(limit, serve(context, key, call)).await;
    served.unwrap_or(OnceOutcome::Final(FinalResponse::Unknown(UnknownReason::AnswerLost)))
}
