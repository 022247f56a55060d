//! One run of a ticket at its holder: admits the request, picks an endpoint, obtains the witness's
//! consent and dispatches once.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    ids::{RequestName, SharedName},
    native::{
        decide::{fair_queue::QueueTurn, limits::RequestPriority},
        request::{
            call::{CallContent, ClientCall},
            outcome::{CallStage, FinalResponse, NotRunReason, UndispatchedCall, UnknownReason},
            tickets::{ConsentVerdict, TicketId},
        },
        serve::{
            RETRY_AFTER,
            context::ServeContext,
            run::{
                admission::{AdmissionVerdict, admit},
                attempt::{AttemptEnd, AttemptTask},
                response_lead::ResponseLead,
            },
            services::router::messages::{EndpointSlot, PickOrder, PickReply},
            timeline::EventKind,
        },
    },
};

/// Longest wait in the queue for an endpoint: leaves most of the client's 45 s for the run itself.
const QUEUE_WAIT: Duration = Duration::from_secs(10);
/// Refusals by endpoints after which a request ends as not run: a few endpoints are tried, then the
/// client decides whether to send it again.
const REFUSAL_LIMIT: usize = 4;

/// One run of a ticket at its holder.
pub struct OnceRun {
    context: Rc<ServeContext>,
    ticket: TicketId,
    call: Arc<ClientCall>,
    name: RequestName,
    refused_by: Vec<SharedName>,
    started_at: Instant,
    priority: RequestPriority,
}

impl OnceRun {
    /// Run of `ticket` for `call`.
    pub fn new(context: Rc<ServeContext>, ticket: TicketId, call: Arc<ClientCall>) -> Self {
        let name = RequestName::new(call.account.clone(), ticket.to_string());
        let (started_at, priority) = (Instant::now(), RequestPriority::Normal);
        Self { context, ticket, call, name, refused_by: Vec::new(), started_at, priority }
    }

    /// Records the end of the request.
    pub fn record_end(&self, response: &FinalResponse) {
        let label = response.label();
        self.context.metrics.count_labelled("requests_ended", "outcome", label);
        let reason = match response {
            FinalResponse::NotRun(proof) => format!(" ({})", proof.reason()),
            FinalResponse::Unknown(reason) => format!(" ({reason})"),
            FinalResponse::Streamed | FinalResponse::Plain(_) => String::new(),
        };
        let refusals = self.refused_by.len();
        let took = self.started_at.elapsed().as_millis();
        let detail = format!("{label}{reason}; {refusals} refusals, {took} ms");
        self.context.record_event(EventKind::Ended, &self.name, detail);
    }

    /// Runs the request to its final response.
    pub async fn run(&mut self) -> FinalResponse {
        let undispatched = UndispatchedCall::new(self.call.clone());
        match admit(&self.context, &self.call).await {
            Ok(AdmissionVerdict::Admitted(priority)) => self.priority = priority,
            Ok(AdmissionVerdict::Refused { reason, retry_after }) => {
                return undispatched.refuse(reason, retry_after);
            }
            // The limiter does not answer: the daemon is overloaded or stopping.
            Err(_) => return undispatched.refuse(NotRunReason::Overloaded, RETRY_AFTER),
        }
        self.context.record_event(
            EventKind::Accepted,
            &self.name,
            format!("service {}", self.call.service),
        );
        let mut stage = undispatched;
        let mut consented = false;
        loop {
            let slot = match self.pick().await {
                PickReply::Slot(slot) => slot,
                PickReply::Busy(wait) => return stage.refuse(NotRunReason::Overloaded, wait),
                PickReply::NoEndpoint => {
                    return stage.refuse(NotRunReason::NoEndpoint, RETRY_AFTER);
                }
            };
            if !consented {
                if let Err(reason) = self.obtain_consent().await {
                    return stage.refuse(reason, Duration::ZERO);
                }
                consented = true;
            }
            match self.dispatch(stage, &slot).await {
                Ok(response) => return response,
                Err(undispatched) => stage = undispatched,
            }
            if self.refused_by.len() >= REFUSAL_LIMIT {
                return stage.refuse(NotRunReason::EndpointRefused, RETRY_AFTER);
            }
        }
    }

    async fn pick(&self) -> PickReply {
        let order = PickOrder {
            service: self.call.service.clone(),
            turn: QueueTurn {
                account: self.call.account.clone(),
                weight: self.context.weight_of(&self.call.account),
                priority: self.priority,
                tokens: self.call.expected_tokens(),
            },
            chain: Arc::from([]),
            exclude: self.refused_by.clone(),
            deadline: Instant::now() + QUEUE_WAIT,
            attempt: self.context.next_attempt(),
            stream: None,
        };
        self.context.pick(order).await
    }

    /// Has the witness record that this holder may have dispatched from now on.
    async fn obtain_consent(&self) -> Result<(), NotRunReason> {
        if self.ticket.witness == self.ticket.holder {
            return Ok(());
        }
        let witness = self.context.target(self.ticket.witness).ok_or(NotRunReason::NoWitness)?;
        match self.context.pool.consent(&witness, self.ticket).await {
            Ok(ConsentVerdict::Granted) => Ok(()),
            Ok(ConsentVerdict::Sealed | ConsentVerdict::AlreadyGranted) => {
                self.context.record_event(
                    EventKind::TicketSealed,
                    &self.name,
                    "the witness refused",
                );
                Err(NotRunReason::HolderGone)
            }
            // The witness may have recorded its consent. That does no harm, since this holder ends
            // the ticket without dispatching.
            Err(_) => Err(NotRunReason::NoWitness),
        }
    }

    /// Dispatches the call once, to the endpoint of `to`. Returns the call only if the endpoint did
    /// not start it.
    async fn dispatch(
        &mut self,
        stage: UndispatchedCall,
        to: &EndpointSlot,
    ) -> Result<FinalResponse, UndispatchedCall> {
        self.context.record_event(EventKind::Dispatched, &self.name, format!("VM {}", to.pick.id));
        let dispatched = stage.begin();
        let Some(end) = self.attempt(to).await else {
            return Ok(dispatched.give_up(UnknownReason::AnswerLost));
        };
        match end {
            AttemptEnd::Answered(response) => Ok(response),
            AttemptEnd::NotStarted(evidence, error) => {
                self.refused_by.push(to.pick.id.clone());
                self.context.record_event(EventKind::AttemptFailed, &self.name, error.to_string());
                match dispatched.not_started(evidence) {
                    CallStage::Undispatched(undispatched) => Err(undispatched),
                    CallStage::Dispatched(call) => Ok(call.give_up(UnknownReason::AnswerLost)),
                }
            }
            AttemptEnd::Failed(error) => {
                self.context.record_event(EventKind::AttemptFailed, &self.name, error.to_string());
                Ok(dispatched.give_up(UnknownReason::AnswerLost))
            }
            AttemptEnd::Leaving(_) | AttemptEnd::Superseded => {
                Ok(dispatched.give_up(UnknownReason::AnswerLost))
            }
        }
    }

    /// Runs the call at an endpoint; none if it isn't one that may run once. No other run may be begun, so a
    /// silent one is waited for.
    async fn attempt(&self, to: &EndpointSlot) -> Option<AttemptEnd> {
        let lead = ResponseLead::new(Vec::new());
        let task = AttemptTask {
            context: &self.context,
            name: &self.name,
            takeovers: 0,
            call: &self.call,
            priority: self.priority,
            attempt: to.attempt(),
            slot: to,
            lead: &lead,
        };
        match &self.call.content {
            CallContent::Plain(plain) => Some(task.plain(plain).await),
            CallContent::Completion(_) => None,
        }
    }
}
