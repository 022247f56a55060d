//! The end of a response that is being relayed: what it means, and what it shows of the endpoint and the
//! request. `policy::request::response_end` decides.

use super::{NextPiece, Relay, RelayError, survival_check::check_survival, upstream::Upstream};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        policy::request::{
            response_end::{EndInputs, EndpointSurvival, ResponseEnd},
            retries,
        },
        request::{
            attempt::{OpenRequest, record_broken_run},
            crash_watch::request_served,
            event_cutter::EventCutter,
            response_meaning::BodyFraming,
        },
    },
};

/// What the client has received of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedPart {
    pub events: u64,
    /// Whether it gets the body in chunks.
    pub is_chunked: bool,
}

/// The end of a run, and whether its endpoint has survived it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEnd {
    end: ResponseEnd,
    survival: Option<EndpointSurvival>,
}

impl RunEnd {
    /// Evaluates the end of a run whose response is being passed on.
    pub(super) async fn evaluate(
        request: OpenRequest<'_>,
        upstream: &Upstream,
        cutter: Option<&EventCutter>,
        received: ReceivedPart,
    ) -> Self {
        let OpenRequest { context, admitted, trace, .. } = request;
        let framing = upstream.framing;
        let is_inside_event = cutter.is_some_and(EventCutter::is_inside_event);
        let survival = match EndInputs::needs_survival(framing, is_inside_event) {
            true => {
                let (endpoint, id) = (upstream.guard.record(), &admitted.call.head.id);
                Some(check_survival(context, endpoint, id).await)
            }
            false => None,
        };
        let may_resume = retries::may_resume(admitted.route.kind, cutter.is_some());
        let inputs = EndInputs {
            framing,
            is_inside_event,
            may_begin_again: may_resume && received.events == 0,
            is_chunked_for_client: received.is_chunked,
            survival: survival.unwrap_or(EndpointSurvival::Unknown),
        };
        let end = inputs.decide();
        let rest = cutter.map_or(0, EventCutter::rest_length);
        trace.borrow_mut().body_ended(framing, rest, survival, end);
        Self { end, survival }
    }

    /// The error with which an end that is no end for the client is handled; none for the others.
    pub(super) fn error(
        self,
        request: OpenRequest<'_>,
        run: &mut Option<Upstream>,
    ) -> Option<RelayError> {
        match self.end {
            ResponseEnd::Complete | ResponseEnd::Unproven => None,
            ResponseEnd::Broken => {
                if let Some(upstream) = run {
                    record_break(request, upstream);
                }
                Some(RelayError::BrokenOff)
            }
            ResponseEnd::Untold => {
                // It is no failure of the endpoint.
                *run = None;
                Some(RelayError::EndUnknown)
            }
        }
    }
}

/// Records that an endpoint has broken off its run.
pub(super) fn record_break(request: OpenRequest<'_>, run: &Upstream) {
    record_broken_run(request, run.guard.record(), run.head_received);
}

impl Relay {
    /// Ends the response if the end of the run is that of the response.
    ///
    /// # Errors
    ///
    /// Why it is no end for the client.
    pub(super) async fn end_run(&mut self) -> Result<NextPiece, RelayError> {
        let received = self.received();
        let Some(upstream) = &self.upstream else { return Err(RelayError::BrokenOff) };
        let end =
            RunEnd::evaluate(self.request.open(), upstream, self.cutter.as_ref(), received).await;
        match end.error(self.request.open(), &mut self.upstream) {
            Some(error) => Err(error),
            None => {
                self.finish(end);
                Ok(NextPiece::End)
            }
        }
    }

    pub(super) fn received(&self) -> ReceivedPart {
        ReceivedPart { events: self.events, is_chunked: self.is_chunked }
    }

    /// Ends a response of which everything that its length announces has been passed on.
    pub(super) fn finish_whole(&mut self) {
        self.finish(RunEnd { end: ResponseEnd::Complete, survival: None });
    }

    /// Ends the response. An end that proves nothing counts neither for nor against the endpoint and
    /// the request, unless the endpoint is known to go on.
    pub(super) fn finish(&mut self, run_end: RunEnd) {
        let RunEnd { end, survival } = run_end;
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
