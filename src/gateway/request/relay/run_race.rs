//! Lets another endpoint go on with a stream whose run is silent or has failed.
//!
//! A silent run is kept until another one has the next event. Whichever has it first is passed on, and the
//! others end, so that the client gets the events of one run at a time and a run at work is given up only for
//! one that serves the client. `policy::request::retries` and the retry budget decide whether another run may
//! be begun.

use std::{future::Future, mem, pin::Pin};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    NextPiece, Relay, RelayError, fail_run,
    response_ending::{ReceivedPart, RunEnd, record_break},
    upstream::{BodyPiece, Upstream},
};
use crate::{
    boot_clock,
    gateway::{
        policy::request::{
            retries,
            time_limits::{self, AskPause},
        },
        request::{
            attempt::{AttemptEnd, OpenRequest, attempt},
            event_cutter::{EventBatch, EventCutter},
            response_meaning::BodyFraming,
        },
    },
};

/// A further run of a stream, with the next events or the end.
struct StreamRun {
    upstream: Upstream,
    cutter: EventCutter,
    batch: EventBatch,
}

/// Why a further run doesn't go on with the stream.
enum RunFailure {
    /// No endpoint was asked.
    Refused,
    /// The endpoint has not run it, or has failed.
    Failed,
}

/// The next events of a further run, or why there are none.
type FurtherRun = Result<Box<StreamRun>, RunFailure>;

/// Further runs in progress.
type FurtherRuns<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = FurtherRun> + 'a>>>;

/// How a race ends.
enum RaceResult {
    /// The first run has sent these events, or comments.
    Events(EventBatch),
    /// The first run has ended, and the response with it.
    Ended(RunEnd),
    /// A further run goes on with the stream.
    Replaced(Box<StreamRun>),
    /// No run is left, or no time.
    Lost(RelayError),
}

/// What happens first in a race.
enum RaceEvent {
    FirstRun(BodyPiece),
    FurtherRun(FurtherRun),
    /// It is time to ask whether a further run may be begun.
    Ask,
}

/// A stream's first run, unless that has failed, and further ones.
struct RunRace<'a> {
    request: OpenRequest<'a>,
    first: &'a mut Option<Upstream>,
    cutter: &'a mut Option<EventCutter>,
    /// Id of the last event that the client has received.
    last_event: Option<u64>,
    received: ReceivedPart,
    /// Comments that the first run has sent meanwhile.
    comments: BytesMut,
    further: FurtherRuns<'a>,
    /// Whether the route and the stream's version allow further runs.
    is_allowed: bool,
    pause: AskPause,
    ask_at: Instant,
}

impl Relay {
    /// The next piece of a stream whose run is silent: of that run, or of another one.
    pub(super) async fn race_silent_run(&mut self) -> NextPiece {
        if let Some(upstream) = &self.upstream {
            upstream.guard.set_silent(true);
            self.request.trace.borrow_mut().stream_silent(upstream.silence(), self.events);
        }
        let result = self.race(RelayError::BrokenOff).await;
        self.after_race(result)
    }

    /// The next piece of a stream whose run has failed with `error`: of another run.
    pub(super) async fn replace_run(&mut self, error: RelayError) -> NextPiece {
        fail_run(self.request.open(), &mut self.upstream);
        let result = self.race(error).await;
        self.after_race(result)
    }

    async fn race(&mut self, error: RelayError) -> RaceResult {
        let (is_allowed, received) = (self.may_go_on_elsewhere(), self.received());
        let now = boot_clock::now();
        let race = RunRace {
            request: self.request.open(),
            first: &mut self.upstream,
            cutter: &mut self.cutter,
            last_event: self.last_event,
            received,
            comments: BytesMut::new(),
            further: FuturesUnordered::new(),
            is_allowed,
            pause: AskPause::new(now),
            ask_at: now,
        };
        race.run(error).await
    }

    fn after_race(&mut self, result: RaceResult) -> NextPiece {
        match result {
            RaceResult::Events(batch) => {
                if let Some(upstream) = &self.upstream {
                    upstream.guard.set_silent(false);
                }
                NextPiece::Bytes(self.pass_events(batch))
            }
            RaceResult::Ended(end) => {
                self.finish(end);
                NextPiece::End
            }
            RaceResult::Replaced(run) => self.go_on_at(*run),
            RaceResult::Lost(error) => NextPiece::Lost(error),
        }
    }

    fn may_go_on_elsewhere(&self) -> bool {
        if !retries::may_resume(self.request.admitted.route.kind, self.cutter.is_some()) {
            return false;
        }
        let knows_version = self.knows_version();
        if !knows_version {
            self.request.trace.borrow_mut().not_retried(&"version not known");
        }
        knows_version
    }

    /// Goes on with a further run; the first one ends.
    fn go_on_at(&mut self, run: StreamRun) -> NextPiece {
        self.upstream = Some(run.upstream);
        self.cutter = Some(run.cutter);
        self.record_start();
        NextPiece::Bytes(self.pass_events(run.batch))
    }
}

impl RunRace<'_> {
    /// Waits until a run has the next events. Without one that may have them, the race is lost with `error`,
    /// or with the failure of the first run.
    async fn run(mut self, mut error: RelayError) -> RaceResult {
        loop {
            self.ask();
            if self.first.is_none() && self.further.is_empty() {
                return RaceResult::Lost(error);
            }
            match self.next_event().await {
                RaceEvent::Ask => {}
                RaceEvent::FurtherRun(Ok(run)) => return RaceResult::Replaced(run),
                RaceEvent::FurtherRun(Err(RunFailure::Failed)) => self.ask_at = boot_clock::now(),
                RaceEvent::FurtherRun(Err(RunFailure::Refused)) => {
                    self.ask_at = self.pause.next(boot_clock::now());
                }
                RaceEvent::FirstRun(piece) => match self.take_piece(piece).await {
                    Ok(Some(result)) => return result,
                    Ok(None) => {}
                    Err(failure) => {
                        error = failure;
                        fail_run(self.request, self.first);
                        self.ask_at = boot_clock::now();
                    }
                },
            }
        }
    }

    /// Begins a further run if it is time to and that is allowed.
    fn ask(&mut self) {
        let now = boot_clock::now();
        if now < self.ask_at || !self.is_allowed {
            return;
        }
        if !self.request.may_run_elsewhere() {
            self.ask_at = self.pause.next(now);
            return;
        }
        self.request.attempts.borrow_mut().reserve();
        self.further.push(Box::pin(begin_run(self.request, self.last_event)));
        let OpenRequest { admitted, attempts, .. } = self.request;
        let begun = attempts.borrow().begun + 1;
        self.ask_at = time_limits::event_silence(&admitted.route, begun, 0, admitted.deadline, now);
    }

    async fn next_event(&mut self) -> RaceEvent {
        let deadline = self.request.admitted.deadline;
        let first = async {
            match self.first.as_mut() {
                Some(first) => first.next_piece(deadline).await,
                None => std::future::pending().await,
            }
        };
        let may_ask = self.is_allowed && self.ask_at < deadline;
        tokio::select! {
            biased;
            piece = first => RaceEvent::FirstRun(piece),
            Some(run) = self.further.next() => RaceEvent::FurtherRun(run),
            () = sleep_until(boot_clock::timer_at(self.ask_at)), if may_ask => RaceEvent::Ask,
        }
    }

    /// Takes a piece of the first run. Returns none if it completes no event.
    ///
    /// # Errors
    ///
    /// The first run has failed.
    async fn take_piece(&mut self, piece: BodyPiece) -> Result<Option<RaceResult>, RelayError> {
        match piece {
            BodyPiece::Bytes(bytes) => self.take_bytes(&bytes),
            BodyPiece::End => self.end_first().await,
            BodyPiece::Silent => Ok(Some(RaceResult::Lost(RelayError::OutOfTime))),
            BodyPiece::Broken => {
                if let Some(first) = self.first {
                    record_break(self.request, first);
                }
                Err(RelayError::BrokenOff)
            }
        }
    }

    /// An endpoint that sends nothing but comments is as silent as one that sends nothing.
    fn take_bytes(&mut self, bytes: &Bytes) -> Result<Option<RaceResult>, RelayError> {
        let Some(cutter) = self.cutter else { return Ok(None) };
        let mut batch = cutter.feed(bytes, self.last_event).map_err(RelayError::Unreadable)?;
        self.comments.extend_from_slice(&batch.bytes);
        if batch.count == 0 {
            return Ok(None);
        }
        batch.bytes = mem::take(&mut self.comments).freeze();
        Ok(Some(RaceResult::Events(batch)))
    }

    /// Ends the first run, and the response with it if it is whole.
    async fn end_first(&mut self) -> Result<Option<RaceResult>, RelayError> {
        if !self.comments.is_empty() {
            // The end follows again.
            let bytes = mem::take(&mut self.comments).freeze();
            return Ok(Some(RaceResult::Events(EventBatch { bytes, ..EventBatch::default() })));
        }
        let Some(first) = self.first else { return Ok(None) };
        first.guard.set_silent(false);
        let cutter = self.cutter.as_ref();
        let end = RunEnd::evaluate(self.request, first, cutter, self.received).await;
        match end.error(self.request, self.first) {
            Some(error) => Err(error),
            None => Ok(Some(RaceResult::Ended(end))),
        }
    }
}

/// Begins a further run, which has been reserved, and waits for its next event or its end.
async fn begin_run(request: OpenRequest<'_>, last_event: Option<u64>) -> FurtherRun {
    let response = match attempt(request, last_event).await {
        Ok(AttemptEnd::Responded(response)) if response.response.status().is_success() => response,
        // The response to the client has begun, so a refusal or an error can't be passed on.
        Ok(_) => return Err(RunFailure::Failed),
        Err(refusal) => {
            request.trace.borrow_mut().not_retried(&refusal);
            return Err(RunFailure::Refused);
        }
    };
    let mut upstream = Upstream::of(*response).1;
    let mut cutter = EventCutter::default();
    loop {
        match next_piece_or_silence(request, &mut upstream).await {
            BodyPiece::Bytes(bytes) => {
                let batch = cutter.feed(&bytes, last_event).map_err(|_| RunFailure::Failed)?;
                if batch.count > 0 {
                    return Ok(Box::new(StreamRun { upstream, cutter, batch }));
                }
            }
            // The client has received all events already.
            BodyPiece::End if is_whole(&upstream, &cutter) => {
                let batch = EventBatch::default();
                return Ok(Box::new(StreamRun { upstream, cutter, batch }));
            }
            // Nobody knows whether it is whole.
            BodyPiece::End if !cutter.is_inside_event() => return Err(RunFailure::Failed),
            BodyPiece::End | BodyPiece::Broken => {
                record_break(request, &upstream);
                fail_run(request, &mut Some(upstream));
                return Err(RunFailure::Failed);
            }
            BodyPiece::Silent => return Err(RunFailure::Failed),
        }
    }
}

/// Whether the end of a run is certainly that of its response.
fn is_whole(run: &Upstream, cutter: &EventCutter) -> bool {
    run.framing != BodyFraming::Close && !cutter.is_inside_event()
}

/// Waits for the next piece until the request's deadline. The run is marked as silent while nothing arrives for too
/// long.
async fn next_piece_or_silence(request: OpenRequest<'_>, run: &mut Upstream) -> BodyPiece {
    let OpenRequest { admitted, attempts, .. } = request;
    let begun = attempts.borrow().begun;
    let now = boot_clock::now();
    let until = time_limits::event_silence(&admitted.route, begun, 0, admitted.deadline, now);
    let piece = run.next_piece(until).await;
    if !matches!(piece, BodyPiece::Silent) || until >= admitted.deadline {
        return piece;
    }
    run.guard.set_silent(true);
    let piece = run.next_piece(admitted.deadline).await;
    run.guard.set_silent(matches!(piece, BodyPiece::Silent));
    piece
}
