//! The end of a response that is being relayed: what it means, and what it shows of the endpoint and the
//! request. `policy::request::response_end` decides.

use super::{NextPiece, Relay, RelayError, survival_check::check_survival};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        policy::request::{
            response_end::{EndInputs, EndpointSurvival, ResponseEnd},
            retries,
        },
        request::{
            attempt::record_broken_run, crash_watch::request_served, event_cutter::EventCutter,
            response_meaning::BodyFraming,
        },
    },
};

impl Relay {
    /// Ends the response if the end of the run is that of the response.
    ///
    /// # Errors
    ///
    /// Why it is no end for the client.
    pub(super) async fn end_run(&mut self) -> Result<NextPiece, RelayError> {
        let (end, survival) = self.evaluate_end().await;
        match self.end_error(end) {
            Some(error) => Err(error),
            None => {
                self.finish(end, survival);
                Ok(NextPiece::End)
            }
        }
    }

    /// Evaluates the end of the endpoint's response.
    async fn evaluate_end(&mut self) -> (ResponseEnd, Option<EndpointSurvival>) {
        let Some(upstream) = &self.upstream else { return (ResponseEnd::Broken, None) };
        let framing = upstream.framing;
        let is_inside_event = self.cutter.as_ref().is_some_and(EventCutter::is_inside_event);
        let survival = match EndInputs::needs_survival(framing, is_inside_event) {
            true => {
                let (endpoint, id) = (upstream.guard.record(), &self.request.admitted.call.head.id);
                Some(check_survival(&self.request.context, endpoint, id).await)
            }
            false => None,
        };
        let may_resume =
            retries::may_resume(self.request.admitted.route.kind, self.cutter.is_some());
        let inputs = EndInputs {
            framing,
            is_inside_event,
            may_begin_again: may_resume && self.events == 0,
            is_chunked_for_client: self.is_chunked,
            survival: survival.unwrap_or(EndpointSurvival::Unknown),
        };
        let end = inputs.decide();
        let rest = self.cutter.as_ref().map_or(0, EventCutter::rest_length);
        self.request.trace.borrow_mut().body_ended(framing, rest, survival, end);
        (end, survival)
    }

    /// The error with which an end that is no end for the client is handled; none for the others.
    fn end_error(&mut self, end: ResponseEnd) -> Option<RelayError> {
        match end {
            ResponseEnd::Complete | ResponseEnd::Unproven => None,
            ResponseEnd::Broken => {
                self.record_break();
                Some(RelayError::BrokenOff)
            }
            ResponseEnd::Untold => {
                // It is no failure of the endpoint.
                self.upstream = None;
                Some(RelayError::EndUnknown)
            }
        }
    }

    /// Records that the endpoint has broken off its run.
    pub(super) fn record_break(&mut self) {
        if let Some(upstream) = &self.upstream {
            let (endpoint, begun) = (upstream.guard.record(), upstream.head_received);
            record_broken_run(self.request.open(), endpoint, begun);
        }
    }

    /// Ends the response. An end that proves nothing counts neither for nor against the endpoint and
    /// the request, unless the endpoint is known to go on.
    pub(super) fn finish(&mut self, end: ResponseEnd, survival: Option<EndpointSurvival>) {
        self.ended = true;
        self.request.trace.borrow_mut().finished();
        let Some(mut upstream) = self.upstream.take() else { return };
        if end != ResponseEnd::Complete && survival != Some(EndpointSurvival::Alive) {
            return;
        }
        request_served(&self.request.context, &self.request.admitted);
        upstream.guard.endpoint_ran();
        upstream.guard.finish(AttemptResult::Succeeded);
        if !upstream.metadata.closes && upstream.framing != BodyFraming::Close {
            self.request.context.connections.give_back(upstream.connection, upstream.metadata.keep);
        }
    }
}
