//! Handles reclaim notices: the VM gets no new work, and each of its streams is told how to leave.

use std::{cell::Cell, rc::Rc};

use tokio::sync::watch;

use super::{RouterService, messages::StreamShape};
use crate::{
    ids::{AttemptId, SharedName},
    native::{
        cloud_api::messages::ReclaimNotice,
        decide::reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
        serve::timeline::EventKind,
    },
};

/// Time assumed between tokens of a stream, in milliseconds.
const TOKEN_MS: f64 = 20.0;
/// Time assumed to compute one prompt token, in milliseconds: the speed of the stand-in engine.
const PREFILL_MS: f64 = 0.25;
/// Time assumed to move the KV cache of one token, in milliseconds.
const MOVE_MS: f64 = 0.125;
/// Cost of a millisecond of delay to one stream. It is the unit of `recompute_weight`: only the ratio
/// of the two matters.
const DELAY_WEIGHT: f64 = 1.0;

/// A stream in progress at an endpoint.
pub struct RunningStream {
    /// Service.
    pub service: SharedName,
    /// VM of the endpoint.
    pub vm: SharedName,
    /// Properties that matter for moving it.
    pub shape: StreamShape,
    /// Tokens produced so far.
    pub produced: Rc<Cell<usize>>,
    /// Tells its attempt how to leave.
    pub way: watch::Sender<Option<ReclaimWay>>,
}

impl RunningStream {
    fn to_leaving_stream(&self) -> LeavingStream {
        let produced = self.produced.get();
        LeavingStream {
            name: self.shape.name.clone(),
            prompt_tokens: self.shape.prompt_tokens,
            produced,
            remaining: self.shape.max_tokens.saturating_sub(produced),
            cached_elsewhere: 0,
        }
    }
}

impl RouterService {
    /// Stops new work for the VM, and decides for each of its streams how to leave.
    pub(super) fn apply_notice(&mut self, notice: &ReclaimNotice) {
        self.routes.mark_leaving(&notice.vm);
        let left_ms = notice.gone_at_ms.saturating_sub(crate::wall_clock_ms()) as f64;
        let affected: Vec<(&AttemptId, &RunningStream)> =
            self.streams.iter().filter(|(_, stream)| stream.vm == notice.vm).collect();
        let Some((_, first)) = affected.first() else { return };
        let weights = self.reclaim_weights(&first.service);
        let shapes: Vec<LeavingStream> =
            affected.iter().map(|(_, stream)| stream.to_leaving_stream()).collect();
        let ways = plan_reclaim(&shapes, left_ms, &weights);
        for ((_, stream), (name, way)) in affected.iter().zip(ways) {
            stream.way.send_replace(Some(way));
            let detail = format!("{way:?} off VM {} in {left_ms} ms", notice.vm);
            self.timeline.record(EventKind::Moved, Some(name.to_string().into()), detail);
            self.metrics.count_labelled("reclaim_ways", "way", &format!("{way:?}"));
        }
    }

    fn reclaim_weights(&self, service: &SharedName) -> ReclaimWeights {
        let row = self.table.borrow().service(service);
        // If the row was deleted, the default weight is used.
        let recompute = row.map_or(1.0, |row| row.recompute_weight);
        ReclaimWeights {
            recompute,
            delay: DELAY_WEIGHT,
            token_ms: TOKEN_MS,
            prefill_ms: PREFILL_MS,
            // All daemons that use the endpoint move their streams at the same time.
            move_ms: MOVE_MS * self.daemons_per_endpoint,
        }
    }
}
