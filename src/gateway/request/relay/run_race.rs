//! Lets another endpoint go on with a stream whose run is silent or has failed.
//!
//! A silent run is kept until another one has the next event. Whichever has it first is passed on, and the
//! others end, so that the client gets the events of one run at a time and a run at work is given up only for
//! one that serves the client. `policy::request::retries` and the retry budget decide whether another run may
//! be begun.

use std::{future::Future, pin::Pin};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    NextPiece, Relay, RelayError, fail_run,
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
            attempt::{AttemptEnd, OpenRequest, attempt, record_broken_run},
            event_cutter::{EventBatch, EventCutter},
        },
    },
};

/// A further run of a stream, with the next events or the end.
struct StreamRun {
    upstream: Upstream,
    cutter: EventCutter,
    batch: EventBatch,
}

/// Further runs in progress; none of one that has failed.
type FurtherRuns<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = Option<Box<StreamRun>>> + 'a>>>;

/// How a race ends.
enum RaceResult {
    /// The first run has sent these events.
    Events(EventBatch),
    /// The first run has ended.
    Ended,
    /// A further run goes on with the stream.
    Replaced(Box<StreamRun>),
    /// No run is left, or no time.
    Lost(RelayError),
}

/// What happens first in a race.
enum RaceEvent {
    FirstRun(BodyPiece),
    FurtherRun(Option<Box<StreamRun>>),
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
    further: FurtherRuns<'a>,
    /// Whether the route and the stream's version allow further runs.
    is_allowed: bool,
    pause: AskPause,
    ask_at: Instant,
}

impl Relay {
    /// The next piece of a stream whose run is silent: of that run, or of another one.
    ///
    /// # Errors
    ///
    /// The run has ended, and that is no end for the client.
    pub(super) async fn race_silent_run(&mut self) -> Result<NextPiece, RelayError> {
        if let Some(upstream) = &self.upstream {
            upstream.guard.set_silent(true);
            self.request.trace.borrow_mut().stream_silent(upstream.silence(), self.events);
        }
        match self.race(RelayError::BrokenOff).await {
            RaceResult::Ended => self.end_run().await,
            result => Ok(self.after_race(result)),
        }
    }

    /// The next piece of a stream whose run has failed with `error`: of another run.
    pub(super) async fn replace_run(&mut self, error: RelayError) -> NextPiece {
        fail_run(self.request.open(), &mut self.upstream);
        let result = self.race(error).await;
        self.after_race(result)
    }

    async fn race(&mut self, error: RelayError) -> RaceResult {
        let is_allowed = self.may_go_on_elsewhere();
        let now = boot_clock::now();
        let race = RunRace {
            request: self.request.open(),
            first: &mut self.upstream,
            cutter: &mut self.cutter,
            last_event: self.last_event,
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
            RaceResult::Replaced(run) => self.go_on_at(*run),
            // Only a run that is still there ends.
            RaceResult::Ended => NextPiece::Lost(RelayError::BrokenOff),
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
                RaceEvent::FurtherRun(Some(run)) => return RaceResult::Replaced(run),
                RaceEvent::FurtherRun(None) => self.ask_at = boot_clock::now(),
                RaceEvent::FirstRun(piece) => match self.take_piece(piece) {
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
    fn take_piece(&mut self, piece: BodyPiece) -> Result<Option<RaceResult>, RelayError> {
        let bytes = match piece {
            BodyPiece::Bytes(bytes) => bytes,
            BodyPiece::End => return Ok(Some(RaceResult::Ended)),
            BodyPiece::Silent => return Ok(Some(RaceResult::Lost(RelayError::OutOfTime))),
            BodyPiece::Broken => {
                if let Some(first) = self.first {
                    record_broken_run(self.request, first.guard.record(), first.head_received);
                }
                return Err(RelayError::BrokenOff);
            }
        };
        let Some(cutter) = self.cutter else { return Ok(None) };
        let batch = cutter.feed(&bytes, self.last_event).map_err(RelayError::Unreadable)?;
        Ok((!batch.bytes.is_empty()).then_some(RaceResult::Events(batch)))
    }
}

/// Begins a further run and waits for its next event, or its end. Returns none if it has failed.
async fn begin_run(request: OpenRequest<'_>, last_event: Option<u64>) -> Option<Box<StreamRun>> {
    let response = match attempt(request, last_event).await {
        Ok(AttemptEnd::Responded(response)) if response.response.status().is_success() => response,
        // The response to the client has begun, so a refusal or an error can't be passed on.
        Ok(_) => return None,
        Err(refusal) => {
            request.trace.borrow_mut().not_retried(&refusal);
            return None;
        }
    };
    let mut upstream = Upstream::of(*response).1;
    let mut cutter = EventCutter::default();
    loop {
        match next_piece_or_silence(request, &mut upstream).await {
            BodyPiece::Bytes(bytes) => {
                let batch = cutter.feed(&bytes, last_event).ok()?;
                if batch.count > 0 {
                    return Some(Box::new(StreamRun { upstream, cutter, batch }));
                }
            }
            // The client may have received all events already.
            BodyPiece::End => {
                let batch = EventBatch::default();
                return Some(Box::new(StreamRun { upstream, cutter, batch }));
            }
            BodyPiece::Broken => {
                record_broken_run(request, upstream.guard.record(), upstream.head_received);
                fail_run(request, &mut Some(upstream));
                return None;
            }
            BodyPiece::Silent => return None,
        }
    }
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
