//! Passes an endpoint's response on to the client as it arrives. If the route allows it, a broken
//! stream is resumed at another endpoint within the same response.
//!
//! Streams are passed on in complete events, so that a resumed stream continues after the last one.
//! `policy::request::retries` decides whether to resume, and `policy::request::time_limits` how
//! long an endpoint may be silent. `policy::request::response_end` decides what the end of an
//! endpoint's response means.

mod survival_check;
mod upstream;

use std::rc::Rc;

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::{Response, body::Frame};
use tokio::time::Instant;

use self::{
    survival_check::check_survival,
    upstream::{BodyPiece, Upstream},
};
use super::{
    admission::Admitted,
    attempt::{
        AttemptEnd, Attempts, attempt, endpoint_response::EndpointResponse, may_try_again,
        record_broken_run,
    },
    crash_watch::request_served,
    event_cutter::EventCutter,
    request_log::RequestTrace,
    response_meaning::BodyFraming,
    sized_body::SizedBody,
};
use crate::{
    boot_clock,
    counting::CountGuard,
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext,
        gossip::streams::{ActiveStream, record_stream},
        policy::request::{
            response_end::{EndInputs, EndpointSurvival, ResponseEnd},
            retries,
            stream_origin::{StreamKey, StreamStart},
            time_limits,
        },
    },
    http::{BodyError, LocalBody},
    platform::ingress,
};

/// Why a response is broken off.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
enum RelayError {
    #[display("endpoint broke off")]
    BrokenOff,
    #[display("out of time")]
    OutOfTime,
    #[display("not known whether the endpoint has finished")]
    EndUnknown,
}

/// Extension of a response whose end can only be marked by that of the connection.
#[derive(Clone, Copy, Debug)]
pub struct EndsWithConnection;

/// A response that is being passed on to the client.
struct Relay {
    context: Rc<GatewayContext>,
    admitted: Rc<Admitted>,
    attempts: Attempts,
    trace: RequestTrace,
    /// `None` after the end of the response, and while it is being resumed.
    upstream: Option<Upstream>,
    /// Only for streams of events.
    cutter: Option<EventCutter>,
    /// Id of the last event that the client has received.
    last_event: Option<u64>,
    /// Events passed on.
    events: u64,
    /// Where the stream was begun, if that is known; kept for clients that take it up again.
    start: Option<ActiveStream>,
    ended: bool,
    /// Whether the client gets the body in chunks, unless it speaks HTTP/1.0.
    is_chunked: bool,
    _active: CountGuard,
}

/// Next piece of a response.
enum NextPiece {
    Bytes(Bytes),
    End,
    Broken(RelayError),
}

/// Passes `response` on; the body is relayed as the client reads it.
pub fn pass_on(
    context: &Rc<GatewayContext>,
    admitted: Rc<Admitted>,
    attempts: Attempts,
    response: EndpointResponse,
    trace: RequestTrace,
) -> Response<LocalBody> {
    let (mut head, upstream) = Upstream::of(response);
    let whole_length = upstream.length();
    let streams = head.status().is_success() && admitted.route.kind.is_stream();
    let ends_with_connection = upstream.framing == BodyFraming::Close;
    if ends_with_connection {
        head.extensions_mut().insert(EndsWithConnection);
    }
    if streams {
        // A stream that is resumed elsewhere gets another length.
        ingress::remove_length(head.headers_mut());
    }
    let mut relay = Relay {
        context: context.clone(),
        last_event: admitted.call.head.last_event,
        admitted,
        attempts,
        trace,
        upstream: Some(upstream),
        cutter: streams.then(EventCutter::default),
        events: 0,
        start: None,
        ended: false,
        is_chunked: !ends_with_connection,
        _active: context.active.enter(),
    };
    relay.record_start();
    if relay.has_whole_plain_response() {
        relay.finish(ResponseEnd::Complete, None);
    }
    let frames = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece.map(Frame::data), relay))
    });
    let body = StreamBody::new(frames);
    head.map(|()| match whole_length {
        Some(length) if !streams => Box::pin(SizedBody::new(body, length)) as LocalBody,
        _ => Box::pin(body),
    })
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.ended {
            return None;
        }
        loop {
            let piece = self.next_piece().await;
            let error = match piece {
                NextPiece::Bytes(bytes) => {
                    if self.has_whole_plain_response() {
                        // The HTTP library doesn't poll the body again once its length is reached.
                        self.finish(ResponseEnd::Complete, None);
                    }
                    if bytes.is_empty() && !self.ended {
                        continue;
                    }
                    return Some(Ok(bytes));
                }
                NextPiece::End => {
                    let (end, survival) = self.evaluate_end().await;
                    match self.end_error(end) {
                        Some(error) => error,
                        None => {
                            self.finish(end, survival);
                            let rest = self.cutter.as_mut().map(EventCutter::take_rest);
                            return rest.filter(|rest| !rest.is_empty()).map(Ok);
                        }
                    }
                }
                NextPiece::Broken(error) => error,
            };
            if error == RelayError::OutOfTime {
                self.handle_timeout();
            }
            if error == RelayError::OutOfTime || !self.resume().await {
                self.ended = true;
                self.trace.broken_off(error.to_string(), self.events);
                return Some(Err(error.into()));
            }
        }
    }

    /// Whether the response is not a stream and has been received completely.
    fn has_whole_plain_response(&self) -> bool {
        self.cutter.is_none() && self.upstream.as_ref().is_some_and(Upstream::is_at_end)
    }

    /// The next piece from the endpoint; only complete events if the response is a stream.
    async fn next_piece(&mut self) -> NextPiece {
        let until = self.wait_until();
        let deadline = self.admitted.deadline;
        let Some(upstream) = &mut self.upstream else {
            return NextPiece::Broken(RelayError::BrokenOff);
        };
        let bytes = match upstream.next_piece(until).await {
            BodyPiece::Bytes(bytes) => bytes,
            BodyPiece::End => return NextPiece::End,
            BodyPiece::Silent if until >= deadline => {
                return NextPiece::Broken(RelayError::OutOfTime);
            }
            BodyPiece::Silent => return NextPiece::Broken(RelayError::BrokenOff),
            BodyPiece::Broken => {
                self.record_break();
                return NextPiece::Broken(RelayError::BrokenOff);
            }
        };
        let Some(cutter) = &mut self.cutter else { return NextPiece::Bytes(bytes) };
        let Ok(batch) = cutter.feed(&bytes, self.last_event) else {
            return NextPiece::Broken(RelayError::BrokenOff);
        };
        if batch.count > 0 {
            if self.events == 0 {
                self.admitted.count_run(&self.context);
                self.trace.first_event();
                let record = upstream.guard.record();
                self.attempts.version.get_or_insert_with(|| record.version.clone());
            }
            upstream.guard.prefill_done();
            upstream.guard.endpoint_ran();
            self.events += batch.count as u64;
            self.last_event = batch.last_id.or(self.last_event);
        }
        NextPiece::Bytes(batch.bytes)
    }

    /// Until when to wait for the next piece.
    fn wait_until(&self) -> Instant {
        let (route, deadline) = (&self.admitted.route, self.admitted.deadline);
        match self.cutter {
            None => deadline,
            Some(_) => time_limits::event_deadline(
                route,
                self.attempts.sent,
                self.events,
                deadline,
                boot_clock::now(),
            ),
        }
    }

    /// Records the result for the endpoint after the deadline: a failure if it sent nothing of the
    /// body. If it sent a part, it was working.
    fn handle_timeout(&mut self) {
        if let Some(upstream) = self.upstream.take_if(|upstream| !upstream.has_body) {
            upstream.guard.finish(AttemptResult::Failed);
        }
    }

    /// Resumes a broken stream at another endpoint if that is allowed; returns whether it was
    /// resumed.
    async fn resume(&mut self) -> bool {
        if let Some(upstream) = self.upstream.take() {
            self.context.connections.discard_connections(upstream.guard.endpoint());
            upstream.guard.finish(AttemptResult::Failed);
        }
        if !retries::may_resume(self.admitted.route.kind, self.cutter.is_some())
            || !self.knows_version()
        {
            return false;
        }
        while may_try_again(&self.context, &self.admitted, &self.attempts) {
            let (last, trace) = (self.last_event, &mut self.trace);
            let attempt = attempt(&self.context, &self.admitted, &mut self.attempts, last, trace);
            let resumed = match attempt.await {
                // No endpoint or no time is left. The response has begun, so the refusal cannot be
                // sent; the request log reports the response as broken off.
                Err(_) => return false,
                Ok(AttemptEnd::Responded(resumed)) if resumed.response.status().is_success() => {
                    resumed
                }
                Ok(_) => continue,
            };
            self.cutter = Some(EventCutter::default());
            self.upstream = Some(Upstream::of(*resumed).1);
            self.record_start();
            return true;
        }
        false
    }

    /// Records where a stream is begun or goes on, before its first event is passed on. An endpoint that has
    /// started again may have another version than the list says, so nothing is recorded of it.
    fn record_start(&mut self) {
        self.start = None;
        let Some(upstream) = self.upstream.as_ref().filter(|_| self.cutter.is_some()) else {
            return;
        };
        let record = upstream.guard.record();
        if !self.context.endpoints.borrow().knows_start(record) {
            return;
        }
        let start =
            StreamStart { service: record.service.clone(), version: record.version.clone() };
        let account = self.admitted.account.as_ref().map(|account| &*account.name);
        let key = StreamKey::of(account, self.admitted.call.head.stream_id());
        let is_ambiguous = self.admitted.route.sole_service().is_none();
        self.start = Some(record_stream(&self.context, key, start, is_ambiguous));
    }

    /// Whether it is known which version has written the events that were passed on.
    fn knows_version(&self) -> bool {
        match &self.attempts.version {
            Some(version) => !version.is_empty() && self.start.is_some(),
            None => true,
        }
    }

    /// Evaluates the end of the endpoint's response.
    async fn evaluate_end(&mut self) -> (ResponseEnd, Option<EndpointSurvival>) {
        let Some(upstream) = &self.upstream else { return (ResponseEnd::Broken, None) };
        let framing = upstream.framing;
        let is_inside_event = self.cutter.as_ref().is_some_and(EventCutter::is_inside_event);
        let survival = match EndInputs::needs_survival(framing, is_inside_event) {
            true => {
                let (endpoint, id) = (upstream.guard.record(), &self.admitted.call.head.id);
                Some(check_survival(&self.context, endpoint, id).await)
            }
            false => None,
        };
        let may_resume = retries::may_resume(self.admitted.route.kind, self.cutter.is_some());
        let inputs = EndInputs {
            framing,
            is_inside_event,
            may_begin_again: may_resume && self.events == 0,
            is_chunked_for_client: self.is_chunked,
            survival: survival.unwrap_or(EndpointSurvival::Unknown),
        };
        let end = inputs.decide();
        let rest = self.cutter.as_ref().map_or(0, EventCutter::rest_length);
        self.trace.body_ended(framing, rest, survival, end);
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
    fn record_break(&mut self) {
        if let Some(upstream) = &self.upstream {
            let (endpoint, begun) = (upstream.guard.record(), upstream.head_received);
            record_broken_run(&self.context, &self.admitted, endpoint, begun, &mut self.trace);
        }
    }

    /// Ends the response. An end that proves nothing counts neither for nor against the endpoint and
    /// the request, unless the endpoint is known to go on.
    fn finish(&mut self, end: ResponseEnd, survival: Option<EndpointSurvival>) {
        self.ended = true;
        self.trace.finished(self.events);
        let Some(mut upstream) = self.upstream.take() else { return };
        if end != ResponseEnd::Complete && survival != Some(EndpointSurvival::Alive) {
            return;
        }
        request_served(&self.context, &self.admitted);
        upstream.guard.endpoint_ran();
        upstream.guard.finish(AttemptResult::Succeeded);
        if !upstream.metadata.closes && upstream.framing != BodyFraming::Close {
            self.context.connections.give_back(upstream.connection, upstream.metadata.keep);
        }
    }
}
