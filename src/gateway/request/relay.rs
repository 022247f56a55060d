//! Passes an endpoint's response on to the client as it arrives. If the route allows it, a broken
//! stream is resumed at another endpoint within the same response.
//!
//! Streams are passed on in complete events, so that a resumed stream continues after the last one.
//! `policy::request::retries` decides whether to resume, and `policy::request::time_limits` how
//! long an endpoint may be silent. `policy::request::response_end` decides what the end of an
//! endpoint's response means.

mod response_ending;
mod stream_start;
mod survival_check;
mod upstream;

use std::rc::Rc;

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::{Response, body::Frame};
use tokio::time::Instant;

use self::upstream::{BodyPiece, Upstream};
use super::{
    admission::Admitted,
    attempt::{AttemptEnd, Attempts, attempt, endpoint_response::EndpointResponse, may_try_again},
    event_cutter::{EventCutter, EventTooLong},
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
        gossip::streams::ActiveStream,
        policy::request::{response_end::ResponseEnd, retries, time_limits},
    },
    http::{BodyError, LocalBody},
    platform::ingress,
};

/// Why a response is broken off.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
enum RelayError {
    #[display("endpoint broke off")]
    BrokenOff,
    #[display("endpoint silent")]
    Silent,
    #[display("{_0}")]
    Unreadable(EventTooLong),
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
    adapt_head(&mut head, ends_with_connection, streams);
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

fn adapt_head(head: &mut Response<()>, ends_with_connection: bool, streams: bool) {
    if ends_with_connection {
        head.extensions_mut().insert(EndsWithConnection);
    }
    if streams {
        // A stream that is resumed elsewhere gets another length.
        ingress::remove_length(head.headers_mut());
    }
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
            BodyPiece::Silent => {
                self.trace.silent(upstream.silence(), self.events);
                return NextPiece::Broken(RelayError::Silent);
            }
            BodyPiece::Broken => {
                self.record_break();
                return NextPiece::Broken(RelayError::BrokenOff);
            }
        };
        let Some(cutter) = &mut self.cutter else { return NextPiece::Bytes(bytes) };
        let batch = match cutter.feed(&bytes, self.last_event) {
            Ok(batch) => batch,
            Err(error) => return NextPiece::Broken(RelayError::Unreadable(error)),
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
        if !retries::may_resume(self.admitted.route.kind, self.cutter.is_some()) {
            return false;
        }
        if !self.knows_version() {
            self.trace.not_retried(&"version not known");
            return false;
        }
        while may_try_again(&self.context, &self.admitted, &self.attempts, &mut self.trace) {
            let (last, trace) = (self.last_event, &mut self.trace);
            let attempt = attempt(&self.context, &self.admitted, &mut self.attempts, last, trace);
            let resumed = match attempt.await {
                // No endpoint or no time is left. The response has begun, so the refusal cannot be
                // sent; the request log reports the response as broken off.
                Err(refusal) => {
                    trace.not_retried(&refusal);
                    return false;
                }
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
}
