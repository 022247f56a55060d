//! A further run of a stream, until its next event.

use tokio::time::Instant;

use super::{
    fail_run,
    response_ending::record_break,
    upstream::{BodyPiece, Upstream},
};
use crate::{
    boot_clock,
    gateway::{
        policy::request::time_limits,
        request::{
            attempt::{AttemptEnd, OpenRequest, attempt},
            event_cutter::{EventBatch, EventCutter},
            response_meaning::BodyFraming,
        },
    },
};

/// A further run of a stream, with the next events or the end.
pub(super) struct StreamRun {
    pub upstream: Upstream,
    pub cutter: EventCutter,
    pub batch: EventBatch,
}

/// Why a further run doesn't go on with the stream.
pub(super) enum RunFailure {
    /// No endpoint was asked.
    Refused,
    /// The endpoint has not run it, or has failed.
    Failed,
}

/// The next events of a further run, or why there are none.
pub(super) type FurtherRun = Result<Box<StreamRun>, RunFailure>;

/// Begins a further run, which has been reserved, and waits for its next event or its end.
pub(super) async fn begin_run(request: OpenRequest<'_>, last_event: Option<u64>) -> FurtherRun {
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
    let mut cutter = EventCutter::new(&request.context.response_memory);
    let silent_at = first_event_silence(request);
    loop {
        match next_piece_flagging_silence(request, &mut upstream, silent_at).await {
            BodyPiece::Bytes(bytes) => {
                let Ok(batch) = cutter.feed(&bytes, last_event) else {
                    fail_run(request, &mut Some(upstream));
                    return Err(RunFailure::Failed);
                };
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

/// When a run that begins now counts as silent if it has no event until then.
fn first_event_silence(request: OpenRequest<'_>) -> Instant {
    let OpenRequest { admitted, attempts, .. } = request;
    let begun = attempts.borrow().begun;
    time_limits::event_silence(&admitted.route, begun, 0, admitted.deadline, boot_clock::now())
}

/// Waits for the next piece until the request's deadline. The run is marked as silent while nothing arrives after
/// `silent_at`.
async fn next_piece_flagging_silence(
    request: OpenRequest<'_>,
    run: &mut Upstream,
    silent_at: Instant,
) -> BodyPiece {
    let deadline = request.admitted.deadline;
    let piece = run.next_piece(silent_at).await;
    if !matches!(piece, BodyPiece::Silent) || silent_at >= deadline {
        return piece;
    }
    run.guard.set_silent(true);
    let piece = run.next_piece(deadline).await;
    run.guard.set_silent(matches!(piece, BodyPiece::Silent));
    piece
}
