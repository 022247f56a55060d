//! Lets another endpoint go on with a stream whose run is silent or has failed.
//!
//! A silent run is kept until another one has the next event. Whichever has it first is passed on, and the
//! others end, so that the client gets the events of one run at a time and a run at work ends only for one
//! that serves the client. `policy::request::response_end::run_takeover` decides whether a further run may take over;
//! `policy::request::retries` and the retry budget decide whether one may be begun.

use std::{future::Future, pin::Pin};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    NextPiece, Relay, RelayError, fail_run,
    further_run::{FurtherRun, RunFailure, StreamRun, begin_run},
    response_ending::{ReceivedPart, RunEnd, record_break},
    upstream::{BodyPiece, Upstream},
};
use crate::{
    boot_clock,
    gateway::{
        policy::request::{
            response_end::run_takeover::{RunTakeover, TakeoverInputs},
            retries,
            time_limits::{self, CheckPause},
        },
        request::{
            attempt::OpenRequest,
            event_cutter::{EVENT_LIMIT, EventBatch, EventCutter, EventError},
        },
    },
    response_memory::HeldBytes,
};

/// Further runs in progress.
type FurtherRuns<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = FurtherRun> + 'a>>>;

/// How a race ends.
enum RaceResult {
    /// The current run has sent these events, or comments.
    Events(EventBatch),
    /// The current run has ended, and the response with it.
    Ended(RunEnd),
    /// A further run goes on with the stream.
    Replaced(Box<StreamRun>),
    /// No run is left, or no time.
    NoneLeft(RelayError),
}

/// What happens first in a race.
enum RaceEvent {
    CurrentRun(BodyPiece),
    FurtherRun(FurtherRun),
    /// It is time to check whether a further run may be begun.
    Check,
    /// Another list of endpoints is in use.
    NewEndpoints,
}

/// The current run of a stream, unless that has failed, and further ones.
struct RunRace<'a> {
    request: OpenRequest<'a>,
    current: &'a mut Option<Upstream>,
    cutter: &'a mut Option<EventCutter>,
    /// Id of the last event that the client has received.
    last_event: Option<u64>,
    received: ReceivedPart,
    /// Comments that the current run has sent meanwhile.
    comments: HeldBytes,
    further: FurtherRuns<'a>,
    /// A further run that has the next events and goes on with them if the current run fails.
    held: Option<Box<StreamRun>>,
    /// Whether the route and the stream's version allow further runs.
    is_allowed: bool,
    pause: CheckPause,
    check_at: Instant,
    /// Whether the last check found that none may be begun: another list of endpoints may change that.
    awaits_endpoints: bool,
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
            current: &mut self.upstream,
            cutter: &mut self.cutter,
            last_event: self.last_event,
            received,
            comments: HeldBytes::new(&self.request.context.response_memory),
            further: FuturesUnordered::new(),
            held: None,
            is_allowed,
            pause: CheckPause::new(now),
            check_at: now,
            awaits_endpoints: false,
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
            RaceResult::NoneLeft(error) => NextPiece::BrokenOff(error),
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

    /// Goes on with a further run; the current one ends.
    fn go_on_at(&mut self, run: StreamRun) -> NextPiece {
        self.upstream = Some(run.upstream);
        self.cutter = Some(run.cutter);
        self.record_start();
        NextPiece::Bytes(self.pass_events(run.batch))
    }
}

impl RunRace<'_> {
    /// Waits until a run has the next events. Without one that may have them, the race is lost with `error`,
    /// or with the failure of the current run.
    async fn run(mut self, mut error: RelayError) -> RaceResult {
        loop {
            if self.current.is_none()
                && let Some(run) = self.held.take()
            {
                return RaceResult::Replaced(run);
            }
            self.check();
            if self.current.is_none() && self.further.is_empty() {
                return RaceResult::NoneLeft(error);
            }
            match self.next_event().await {
                RaceEvent::Check => {}
                RaceEvent::NewEndpoints => self.check_at = boot_clock::now(),
                RaceEvent::FurtherRun(Ok(run)) => match self.takeover(&run) {
                    RunTakeover::TakesOver => return RaceResult::Replaced(run),
                    RunTakeover::Held => self.hold(run),
                },
                RaceEvent::FurtherRun(Err(RunFailure::Failed)) => self.check_at = boot_clock::now(),
                RaceEvent::FurtherRun(Err(RunFailure::Refused)) => {
                    self.check_at = self.pause.next(boot_clock::now());
                }
                RaceEvent::CurrentRun(piece) => match self.take_piece(piece).await {
                    Ok(Some(result)) => return result,
                    Ok(None) => {}
                    Err(failure) => {
                        error = failure;
                        fail_run(self.request, self.current);
                        self.check_at = boot_clock::now();
                    }
                },
            }
        }
    }

    fn takeover(&self, run: &StreamRun) -> RunTakeover {
        let inputs = TakeoverInputs {
            is_chunked_for_client: self.received.is_chunked,
            current: self.current.as_ref().map(|current| current.framing),
            further: run.upstream.framing,
        };
        inputs.decide()
    }

    /// Holds a further run, unless another one is held already, and lets one more begin.
    fn hold(&mut self, run: Box<StreamRun>) {
        self.request.trace.borrow_mut().run_held(run.upstream.guard.endpoint());
        self.held.get_or_insert(run);
        self.check_at = boot_clock::now();
    }

    /// Begins a further run if it is time to and that is allowed.
    fn check(&mut self) {
        let now = boot_clock::now();
        if now < self.check_at || !self.is_allowed {
            return;
        }
        self.awaits_endpoints = !self.request.may_run_elsewhere();
        if self.awaits_endpoints {
            self.check_at = self.pause.next(now);
            return;
        }
        self.request.attempts.borrow_mut().reserve();
        self.further.push(Box::pin(begin_run(self.request, self.last_event)));
        let OpenRequest { admitted, attempts, .. } = self.request;
        let begun = attempts.borrow().begun + 1;
        self.check_at =
            time_limits::event_silence(&admitted.route, begun, 0, admitted.deadline, now);
    }

    async fn next_event(&mut self) -> RaceEvent {
        let deadline = self.request.admitted.deadline;
        let current = async {
            match self.current.as_mut() {
                Some(current) => current.next_piece(deadline).await,
                None => std::future::pending().await,
            }
        };
        let may_check = self.is_allowed && self.check_at < deadline;
        tokio::select! {
            biased;
            piece = current => RaceEvent::CurrentRun(piece),
            Some(run) = self.further.next() => RaceEvent::FurtherRun(run),
            () = sleep_until(boot_clock::timer_at(self.check_at)), if may_check => RaceEvent::Check,
            () = self.request.context.endpoints_changed.notified(), if self.awaits_endpoints => {
                RaceEvent::NewEndpoints
            }
        }
    }

    /// Takes a piece of the current run. Returns none if it completes no event.
    ///
    /// # Errors
    ///
    /// The current run has failed.
    async fn take_piece(&mut self, piece: BodyPiece) -> Result<Option<RaceResult>, RelayError> {
        match piece {
            BodyPiece::Bytes(bytes) => self.take_bytes(&bytes),
            BodyPiece::End => self.end_current().await,
            BodyPiece::Silent => Ok(Some(RaceResult::NoneLeft(RelayError::OutOfTime))),
            BodyPiece::Broken => {
                if let Some(current) = self.current {
                    record_break(self.request, current);
                }
                Err(RelayError::BrokenOff)
            }
        }
    }

    /// An endpoint that sends nothing but comments is as silent as one that sends nothing.
    fn take_bytes(&mut self, bytes: &Bytes) -> Result<Option<RaceResult>, RelayError> {
        let Some(cutter) = self.cutter else { return Ok(None) };
        let mut batch = cutter.feed(bytes, self.last_event)?;
        self.comments.append(&batch.bytes).map_err(EventError::from)?;
        if batch.count > 0 {
            batch.bytes = self.comments.take();
            return Ok(Some(RaceResult::Events(batch)));
        }
        let is_too_long = self.comments.bytes().len() > EVENT_LIMIT;
        if is_too_long { Err(EventError::TooLong.into()) } else { Ok(None) }
    }

    /// Ends the current run, and the response with it if it is whole.
    async fn end_current(&mut self) -> Result<Option<RaceResult>, RelayError> {
        if !self.comments.bytes().is_empty() {
            // The end follows again.
            let bytes = self.comments.take();
            return Ok(Some(RaceResult::Events(EventBatch { bytes, ..EventBatch::default() })));
        }
        let Some(current) = self.current else { return Ok(None) };
        current.guard.set_silent(false);
        let cutter = self.cutter.as_ref();
        let end = RunEnd::evaluate(self.request, current, cutter, self.received).await;
        match end.error(self.request, self.current) {
            Some(error) => Err(error),
            None => Ok(Some(RaceResult::Ended(end))),
        }
    }
}
