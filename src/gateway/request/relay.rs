//! Passes an endpoint's response on to the client as it arrives. If the route allows it, a stream whose
//! run has broken or is silent goes on at another endpoint within the same response.
//!
//! Streams are passed on in complete events, so that a resumed stream continues after the last one.
//! `policy::request::retries` decides whether to resume, and `policy::request::time_limits` how
//! long an endpoint may be silent. `policy::request::response_end` decides what the end of an
//! endpoint's response means.

mod further_run;
mod response_ending;
mod run_race;
mod stream_start;
mod survival_check;
mod upstream;

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::{Response, body::Frame};
use tokio::time::Instant;

use self::{
    response_ending::record_break,
    upstream::{BodyPiece, Upstream},
};
use super::{
    admission::Admitted,
    attempt::{Attempts, OpenRequest, endpoint_response::EndpointResponse},
    event_cutter::{EventBatch, EventCutter, EventError},
    request_log::RequestTrace,
    response_meaning::BodyFraming,
    sized_body::SizedBody,
};
use crate::{
    boot_clock,
    counting::CountGuard,
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext, gossip::streams::ActiveStream, policy::request::time_limits,
    },
    http::{BodyError, LocalBody},
    platform::ingress,
};

/// Why a response is broken off.
#[derive(
    Clone, Copy, Debug, derive_more::Display, derive_more::Error, derive_more::From, PartialEq, Eq,
)]
enum RelayError {
    #[display("endpoint broke off")]
    BrokenOff,
    #[display("{_0}")]
    #[from]
    Unreadable(EventError),
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
    request: HeldRequest,
    /// The run that is being passed on; `None` after the end of the response, and while another one is
    /// awaited.
    upstream: Option<Upstream>,
    /// Only for streams of events.
    cutter: Option<EventCutter>,
    /// Id of the last event that the client has received.
    last_event: Option<u64>,
    /// Events passed on.
    events: u64,
    /// Since when an event is awaited. Bytes that complete no event don't change it, and time that the client
    /// takes to read isn't counted.
    awaited_since: Instant,
    /// When the client was given the last piece.
    given_at: Option<Instant>,
    /// Whether the client was given any piece.
    has_given: bool,
    /// Where the stream was begun, if that is known; kept for clients that take it up again.
    start: Option<ActiveStream>,
    ended: bool,
    /// Whether the client gets the body in chunks, unless it speaks HTTP/1.0.
    is_chunked: bool,
    _active: CountGuard,
}

/// The request of a response.
struct HeldRequest {
    context: Rc<GatewayContext>,
    admitted: Rc<Admitted>,
    attempts: RefCell<Attempts>,
    trace: RefCell<RequestTrace>,
}

impl HeldRequest {
    fn open(&self) -> OpenRequest<'_> {
        let Self { context, admitted, attempts, trace } = self;
        OpenRequest { context, admitted, attempts, trace }
    }
}

/// Next piece of a response.
enum NextPiece {
    Bytes(Bytes),
    End,
    BrokenOff(RelayError),
}

/// Passes `response` on; the body is relayed as the client reads it.
pub fn pass_on(
    context: &Rc<GatewayContext>,
    admitted: Rc<Admitted>,
    attempts: RefCell<Attempts>,
    response: EndpointResponse,
    trace: RefCell<RequestTrace>,
) -> Response<LocalBody> {
    let (mut head, upstream) = Upstream::of(response);
    let whole_length = upstream.length();
    let streams = head.status().is_success() && admitted.route.kind.is_stream();
    let ends_with_connection = upstream.framing == BodyFraming::Close;
    adapt_head(&mut head, ends_with_connection, streams);
    let mut relay = Relay {
        last_event: admitted.call.head.last_event,
        request: HeldRequest { context: context.clone(), admitted, attempts, trace },
        upstream: Some(upstream),
        cutter: streams.then(|| EventCutter::new(&context.response_memory)),
        events: 0,
        awaited_since: boot_clock::now(),
        given_at: None,
        has_given: false,
        start: None,
        ended: false,
        is_chunked: !ends_with_connection,
        _active: context.active.enter(),
    };
    relay.record_start();
    if relay.has_whole_plain_response() {
        relay.finish_whole();
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
        let given_at = self.given_at.take();
        self.awaited_since += given_at.map_or(Duration::ZERO, boot_clock::since);
        loop {
            match self.next_piece().await {
                NextPiece::Bytes(bytes) => {
                    if self.has_whole_plain_response() {
                        // The HTTP library doesn't poll the body again once its length is reached.
                        self.finish_whole();
                    }
                    if bytes.is_empty() && !self.ended {
                        continue;
                    }
                    if !self.has_given {
                        self.until_logged().await;
                        self.awaited_since = boot_clock::now();
                        self.has_given = true;
                    }
                    self.given_at = Some(boot_clock::now());
                    return Some(Ok(bytes));
                }
                NextPiece::End => {
                    let rest = self.cutter.as_mut().map(EventCutter::take_rest);
                    return rest.filter(|rest| !rest.is_empty()).map(Ok);
                }
                NextPiece::BrokenOff(error) => {
                    self.ended = true;
                    self.request.trace.borrow_mut().broken_off(&error.to_string());
                    return Some(Err(error.into()));
                }
            }
        }
    }

    /// Whether the response is not a stream and has been received completely.
    fn has_whole_plain_response(&self) -> bool {
        self.cutter.is_none() && self.upstream.as_ref().is_some_and(Upstream::is_at_end)
    }

    /// The next piece from the endpoint, or from another one that goes on with the stream; only complete
    /// events if the response is a stream.
    async fn next_piece(&mut self) -> NextPiece {
        match self.read_piece().await {
            Ok(piece) => piece,
            Err(error) => self.replace_run(error).await,
        }
    }

    /// The next piece of the run that is being passed on, or of another one if that has it first.
    ///
    /// # Errors
    ///
    /// The run has failed.
    async fn read_piece(&mut self) -> Result<NextPiece, RelayError> {
        let until = self.wait_until();
        let Some(upstream) = &mut self.upstream else { return Err(RelayError::BrokenOff) };
        match upstream.next_piece(until).await {
            BodyPiece::Bytes(bytes) => self.pass_piece(&bytes),
            BodyPiece::End => self.end_run().await,
            BodyPiece::Silent if until >= self.request.admitted.deadline => {
                self.handle_timeout();
                Ok(NextPiece::BrokenOff(RelayError::OutOfTime))
            }
            BodyPiece::Silent => Ok(self.race_silent_run().await),
            BodyPiece::Broken => {
                record_break(self.request.open(), upstream);
                Err(RelayError::BrokenOff)
            }
        }
    }

    /// Takes what is complete of the next bytes.
    fn pass_piece(&mut self, bytes: &Bytes) -> Result<NextPiece, RelayError> {
        let Some(cutter) = &mut self.cutter else { return Ok(NextPiece::Bytes(bytes.clone())) };
        let batch = cutter.feed(bytes, self.last_event)?;
        Ok(NextPiece::Bytes(self.pass_events(batch)))
    }

    /// Records events that are passed on next, and returns their bytes.
    fn pass_events(&mut self, batch: EventBatch) -> Bytes {
        let Some(upstream) = self.upstream.as_mut().filter(|_| batch.count > 0) else {
            return batch.bytes;
        };
        if self.events == 0 {
            let HeldRequest { context, admitted, attempts, .. } = &self.request;
            admitted.count_run(context);
            let record = upstream.guard.record();
            attempts.borrow_mut().version.get_or_insert_with(|| record.version.clone());
        }
        upstream.guard.prefill_done();
        upstream.guard.endpoint_ran();
        self.events += batch.count as u64;
        self.awaited_since = boot_clock::now();
        self.request.trace.borrow_mut().passed_events(batch.count as u64);
        self.last_event = batch.last_id.or(self.last_event);
        batch.bytes
    }

    /// When the run that is being passed on is silent for too long.
    fn wait_until(&self) -> Instant {
        let Admitted { route, deadline, .. } = &*self.request.admitted;
        let begun = self.request.attempts.borrow().begun;
        match self.cutter {
            None => *deadline,
            Some(_) => {
                time_limits::event_silence(route, begun, self.events, *deadline, self.awaited_since)
            }
        }
    }

    /// Records the result for the endpoint after the deadline: a failure if it sent nothing of the
    /// body. If it sent a part, it was working.
    fn handle_timeout(&mut self) {
        if let Some(upstream) = self.upstream.take_if(|upstream| !upstream.has_body) {
            upstream.guard.finish(AttemptResult::Failed);
        }
    }
}

/// Ends a run that has failed. Its endpoint's idle connections are not used again.
fn fail_run(request: OpenRequest<'_>, run: &mut Option<Upstream>) {
    if let Some(upstream) = run.take() {
        request.context.connections.discard_connections(upstream.guard.endpoint());
        upstream.guard.finish(AttemptResult::Failed);
    }
}
