//! Runs a request at an endpoint, and at others too while the newest run is silent.
//!
//! A silent run is kept until another one has the next token or the whole response, so that a run at
//! work ends only for one that serves the client. `decide::retries` decides whether another
//! run may be begun; it is begun only at an endpoint that has none of this request in progress.

use std::pin::Pin;

use futures::future::select_all;
use tokio::time::sleep;

use super::RequestDriver;
use crate::{
    ids::{AttemptId, SharedName},
    native::{
        decide::retries::{may_run_beside, retry_pause},
        request::call::CallContent,
        serve::{
            run::{
                attempt::{AttemptEnd, AttemptTask},
                response_lead::LeadState,
            },
            services::router::messages::{EndpointSlot, PickReply},
            timeline::EventKind,
        },
    },
};

/// A run in progress.
struct EndpointRun {
    attempt: AttemptId,
    endpoint: SharedName,
    work: Pin<Box<dyn Future<Output = (AttemptEnd, EndpointSlot)>>>,
}

/// How a race ends.
pub(super) struct RaceEnd {
    /// End of the last run, or of the one that has answered.
    pub end: AttemptEnd,
    /// Its endpoint.
    pub slot: EndpointSlot,
    /// Whether one of the other runs may have run.
    pub others_may_have_run: bool,
}

/// What happens next in a race.
enum RaceEvent {
    /// A run has sent the next token.
    Led(AttemptId),
    /// The run at this index has ended.
    Ended(usize, AttemptEnd, Box<EndpointSlot>),
    /// The newest run is silent.
    Silent,
    /// Another run may be begun here.
    Endpoint(Box<EndpointSlot>),
}

impl RequestDriver {
    /// Runs the request at the endpoint of `slot`, and at others too if that is silent.
    pub(super) async fn race(&mut self, slot: EndpointSlot) -> RaceEnd {
        let mut runs = vec![self.begin_run(slot)];
        let mut others_may_have_run = false;
        loop {
            match self.next_event(&mut runs).await {
                RaceEvent::Led(leading) => {
                    runs.retain(|run| run.attempt == leading);
                    others_may_have_run = true;
                }
                RaceEvent::Ended(index, end, slot) => {
                    let run = runs.remove(index);
                    if runs.is_empty() || ends_request(&end) {
                        return RaceEnd { end, slot: *slot, others_may_have_run };
                    }
                    others_may_have_run |= !matches!(end, AttemptEnd::NotStarted(..));
                    self.lose_run(&run, &end, &slot);
                }
                RaceEvent::Silent => {}
                RaceEvent::Endpoint(slot) => {
                    self.context.metrics.count("retries", 1);
                    runs.push(self.begin_run(*slot));
                }
            }
        }
    }

    fn begin_run(&mut self, slot: EndpointSlot) -> EndpointRun {
        self.count_attempt();
        let detail = format!("attempt {} at VM {}", self.attempts, slot.pick.id);
        self.context.record_event(EventKind::Dispatched, &self.name, detail);
        let (attempt, endpoint) = (slot.attempt(), slot.pick.id.clone());
        self.lead.begin(attempt);
        let (context, name, call) = (self.context.clone(), self.name.clone(), self.call.clone());
        let (takeovers, priority, lead) = (self.takeovers, self.priority, self.lead.clone());
        let work = Box::pin(async move {
            let task = AttemptTask {
                context: &context,
                name: &name,
                takeovers,
                call: &call,
                priority,
                attempt,
                slot: &slot,
                lead: &lead,
            };
            let end = match &call.content {
                CallContent::Completion(completion) => task.stream(completion).await,
                CallContent::Plain(plain) => task.plain(plain).await,
            };
            (end, slot)
        });
        EndpointRun { attempt, endpoint, work }
    }

    async fn next_event(&mut self, runs: &mut [EndpointRun]) -> RaceEvent {
        let lead = self.lead.clone();
        let is_silent = lead.state() == LeadState::Silent;
        let has_several = runs.len() > 1;
        let running = runs.iter().map(|run| run.endpoint.clone()).collect();
        let ended = select_all(runs.iter_mut().map(|run| run.work.as_mut()));
        tokio::select! {
            biased;
            leading = lead.leader(), if has_several => RaceEvent::Led(leading),
            ((end, slot), index, _) = ended => RaceEvent::Ended(index, end, Box::new(slot)),
            () = lead.silence(), if !is_silent => RaceEvent::Silent,
            slot = self.next_endpoint(running), if is_silent => {
                RaceEvent::Endpoint(Box::new(slot))
            }
        }
    }

    /// Records the end of a run beside which others go on.
    fn lose_run(&mut self, run: &EndpointRun, end: &AttemptEnd, slot: &EndpointSlot) {
        if let AttemptEnd::Failed(error) | AttemptEnd::NotStarted(_, error) = end {
            self.record_failure(slot, error);
        }
        self.lead.set_silent(run.attempt);
    }

    /// Waits until another run may be begun, and for an endpoint other than those in `running`.
    async fn next_endpoint(&mut self, running: Vec<SharedName>) -> EndpointSlot {
        let mut asked = 0;
        loop {
            if let Some(slot) = self.pick_beside(&running).await {
                return slot;
            }
            sleep(retry_pause(asked, &mut rand::rng())).await;
            asked += 1;
        }
    }

    async fn pick_beside(&mut self, running: &[SharedName]) -> Option<EndpointSlot> {
        let (service, attempts) = (self.call.service.clone(), self.attempts);
        if !self.context.budget(&service, |bucket| may_run_beside(attempts, bucket)) {
            return None;
        }
        self.exclude.retain(|tried| !running.contains(tried));
        self.exclude.extend_from_slice(running);
        match self.pick().await {
            PickReply::Slot(slot) => {
                let is_allowed = self.context.budget(&service, |bucket| bucket.try_withdraw());
                is_allowed.then_some(slot)
            }
            PickReply::NoEndpoint => {
                // Every endpoint was tried; those that failed first may have recovered.
                self.exclude.clear();
                None
            }
            PickReply::Busy(_) => None,
        }
    }
}

/// Whether a run's end is the request's, whatever other runs are in progress.
fn ends_request(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered(_) | AttemptEnd::Superseded => true,
        AttemptEnd::NotStarted(..) | AttemptEnd::Failed(_) | AttemptEnd::Leaving(_) => false,
    }
}
