//! Runs a request that may be retried: attempts, retries and moves between endpoints, until it has
//! ended.

mod leaving;
mod run_race;

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use super::{attempt::AttemptEnd, driver::run_race::RaceEnd, response_lead::ResponseLead};
use crate::{
    ids::{RequestName, SharedName},
    native::{
        decide::{
            fair_queue::QueueTurn,
            limits::RequestPriority,
            prefix::{count_tokens, prefix_chain},
            retries::{RetryVerdict, after_all_tried, after_failure, after_not_started},
        },
        request::{
            call::ClientCall,
            copy::ResponseToken,
            outcome::{CallStage, DispatchedCall, FinalResponse, NotRunReason, UnknownReason},
        },
        serve::{
            RETRY_AFTER,
            context::ServeContext,
            services::{
                router::messages::{EndpointSlot, PickOrder, PickReply, StreamShape},
                store_service::RequestMessage,
            },
            timeline::EventKind,
        },
    },
};

/// Longest wait in the queue for an endpoint. It only bounds the wait: starting VMs in response to
/// overload takes longer.
const QUEUE_WAIT: Duration = Duration::from_secs(20);

/// Runs one request at this daemon until it ends or another daemon takes it over.
pub struct RequestDriver {
    /// Priority of the request in queues and engines.
    pub priority: RequestPriority,
    context: Rc<ServeContext>,
    name: RequestName,
    takeovers: u32,
    call: Arc<ClientCall>,
    lead: Rc<ResponseLead>,
    weight: f64,
    exclude: Vec<SharedName>,
    attempts: u32,
    moves: u32,
    started_at: Instant,
}

/// What to do after an attempt.
enum NextStep {
    End(FinalResponse),
    Again(CallStage),
    Stop,
}

impl RequestDriver {
    /// Driver of a request that continues after `tokens`.
    pub fn new(
        context: Rc<ServeContext>,
        name: RequestName,
        takeovers: u32,
        call: Arc<ClientCall>,
        tokens: Vec<ResponseToken>,
    ) -> Self {
        Self {
            // A request that was taken over has waited already, so it gets normal priority.
            priority: RequestPriority::Normal,
            weight: context.weight_of(&call.account),
            context,
            name,
            takeovers,
            call,
            lead: Rc::new(ResponseLead::new(tokens)),
            exclude: Vec::new(),
            attempts: 0,
            moves: 0,
            started_at: Instant::now(),
        }
    }

    /// Runs the request to its end, unless it is cancelled or superseded.
    ///
    /// Returns what the caller needs to read the request's state again.
    pub async fn run(mut self, stage: CallStage) -> (Rc<ServeContext>, RequestName) {
        let view = self
            .context
            .requests
            .ask(|reply| RequestMessage::View { name: self.name.clone(), reply });
        let Ok(Some(mut view)) = view.await else { return (self.context, self.name) };
        let takeovers = self.takeovers;
        // The wait also ends when the record is removed, which means that the request was
        // cancelled.
        let cancelled = async move {
            view.wait_for(|progress| progress.ended || progress.takeovers > takeovers).await;
        };
        let response = tokio::select! {
            response = self.run_attempts(stage) => response,
            () = cancelled => None,
        };
        if let Some(response) = response {
            self.end(response);
        }
        (self.context, self.name)
    }

    fn end(&self, response: FinalResponse) {
        let label = response.label();
        self.context.metrics.count_labelled("requests_ended", "outcome", label);
        let took = self.started_at.elapsed().as_millis();
        let detail = format!(
            "{label}; {} attempts, {} moves, {} tokens, {took} ms",
            self.attempts,
            self.moves,
            self.lead.tokens().len()
        );
        self.context.record_event(EventKind::Ended, &self.name, detail);
        let message = RequestMessage::End {
            name: self.name.clone(),
            takeovers: self.takeovers,
            response: Arc::new(response),
        };
        if let Err(error) = self.context.requests.send(message) {
            spdlog::error!("outcome of a request not stored: {}", error, kv: { service = "driver" });
        }
    }

    async fn run_attempts(&mut self, mut stage: CallStage) -> Option<FinalResponse> {
        loop {
            let slot = match self.pick().await {
                PickReply::Slot(slot) => slot,
                PickReply::Busy(wait) => {
                    return Some(self.give_up(stage, NotRunReason::Overloaded, wait));
                }
                PickReply::NoEndpoint if self.exclude.is_empty() => {
                    return Some(self.give_up(stage, NotRunReason::NoEndpoint, RETRY_AFTER));
                }
                PickReply::NoEndpoint => {
                    // Every endpoint was tried; those that failed first may have recovered.
                    self.exclude.clear();
                    let verdict = after_all_tried(self.attempts, &mut rand::rng());
                    if !wait_before_retry(verdict).await {
                        let reason = NotRunReason::EndpointRefused;
                        return Some(self.give_up(stage, reason, RETRY_AFTER));
                    }
                    continue;
                }
            };
            let mut dispatched = stage.begin();
            let RaceEnd { end, slot, others_may_have_run } = self.race(slot).await;
            if others_may_have_run {
                dispatched = dispatched.begin_again();
            }
            match self.next_step(end, dispatched, slot).await {
                NextStep::End(response) => return Some(response),
                NextStep::Again(next) => stage = next,
                NextStep::Stop => return None,
            }
        }
    }

    fn give_up(&self, stage: CallStage, reason: NotRunReason, wait: Duration) -> FinalResponse {
        stage.give_up(reason, wait, UnknownReason::AttemptsFailed)
    }

    fn count_attempt(&mut self) {
        self.attempts += 1;
        self.context.metrics.count("attempts", 1);
        if self.attempts == 1 {
            self.context.budget(&self.call.service, |bucket| bucket.deposit());
        }
    }

    async fn pick(&self) -> PickReply {
        let completion = self.call.completion();
        let text =
            completion.map(|call| format!("{} {}", call.prompt, self.lead.tokens().concat()));
        let order = PickOrder {
            service: self.call.service.clone(),
            turn: QueueTurn {
                account: self.call.account.clone(),
                weight: self.weight,
                priority: self.priority,
                tokens: self.call.expected_tokens(),
            },
            // A plain call has no prompt.
            chain: text.map(|text| prefix_chain(&text)).unwrap_or_default().into(),
            exclude: self.exclude.clone(),
            deadline: Instant::now() + QUEUE_WAIT,
            attempt: self.context.next_attempt(),
            stream: completion.map(|call| StreamShape {
                name: self.name.clone(),
                prompt_tokens: count_tokens(&call.prompt),
                max_tokens: call.max_tokens as usize,
            }),
        };
        self.context.pick(order).await
    }

    async fn next_step(
        &mut self,
        end: AttemptEnd,
        call: DispatchedCall,
        slot: EndpointSlot,
    ) -> NextStep {
        match end {
            AttemptEnd::Answered(response) => NextStep::End(response),
            AttemptEnd::Superseded => NextStep::Stop,
            AttemptEnd::Leaving(way) => {
                self.leave(way, slot).await;
                NextStep::Again(CallStage::Dispatched(call.begin_again()))
            }
            AttemptEnd::NotStarted(evidence, error) => {
                self.record_failure(&slot, &error);
                let stage = call.not_started(evidence);
                if !wait_before_retry(after_not_started(self.attempts)).await {
                    let reason = NotRunReason::EndpointRefused;
                    return NextStep::End(self.give_up(stage, reason, RETRY_AFTER));
                }
                NextStep::Again(stage)
            }
            AttemptEnd::Failed(error) => {
                self.record_failure(&slot, &error);
                let stage = CallStage::Dispatched(call.begin_again());
                let verdict = self.context.budget(&self.call.service, |bucket| {
                    after_failure(self.attempts, bucket, &mut rand::rng())
                });
                if verdict == RetryVerdict::GiveUp {
                    let reason = NotRunReason::NoEndpoint;
                    return NextStep::End(self.give_up(stage, reason, RETRY_AFTER));
                }
                self.context.metrics.count("retries", 1);
                wait_before_retry(verdict).await;
                NextStep::Again(stage)
            }
        }
    }

    fn record_failure(&mut self, slot: &EndpointSlot, error: &crate::errors::StepError) {
        self.exclude.push(slot.pick.id.clone());
        self.context.metrics.count("attempts_failed", 1);
        self.context.record_event(EventKind::AttemptFailed, &self.name, error.to_string());
    }
}

/// Waits before a retry as the verdict demands; `false` if there is no retry.
async fn wait_before_retry(verdict: RetryVerdict) -> bool {
    match verdict {
        RetryVerdict::Now => true,
        RetryVerdict::After(pause) => {
            sleep(pause).await;
            true
        }
        RetryVerdict::GiveUp => false,
    }
}
