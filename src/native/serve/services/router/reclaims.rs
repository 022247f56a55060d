//! Reclaim notices: no new work for the VM, and a way off it for each stream there.

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

/// Time between tokens of a stream, in milliseconds.
const TOKEN_MS: f64 = 20.0;
/// Time to compute one prompt token, in milliseconds: the speed of the stand-in engine.
const PREFILL_MS: f64 = 0.25;
/// Time to move the KV cache of one token, in milliseconds.
const MOVE_MS: f64 = 0.125;
/// Cost of a millisecond of delay to one stream; the unit of `recompute_weight`. Only its ratio to
/// `recompute_weight` counts.
const DELAY_WEIGHT: f64 = 1.0;

/// A stream in progress at an endpoint.
pub struct RunningStream {
    /// Service.
    pub service: SharedName,
    /// VM of the endpoint.
    pub vm: SharedName,
    /// What matters for moving it.
    pub shape: StreamShape,
    /// Tokens produced so far.
    pub produced: Rc<Cell<usize>>,
    /// Where its attempt learns how to leave.
    pub way: watch::Sender<Option<ReclaimWay>>,
}

impl RunningStream {
    fn leaving(&self) -> LeavingStream {
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
    /// No new work for the VM from now on; each of its streams gets the way it leaves.
    pub(super) fn apply_notice(&mut self, notice: &ReclaimNotice) {
        self.routes.mark_leaving(&notice.vm);
        let left_ms = notice.gone_at_ms.saturating_sub(crate::wall_clock_ms()) as f64;
        let affected: Vec<(&AttemptId, &RunningStream)> =
            self.streams.iter().filter(|(_, stream)| stream.vm == notice.vm).collect();
        let Some((_, first)) = affected.first() else { return };
        let weights = self.reclaim_weights(&first.service);
        let shapes: Vec<LeavingStream> =
            affected.iter().map(|(_, stream)| stream.leaving()).collect();
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
        // A row that was deleted meanwhile counts with the default weight.
        let recompute = row.map_or(1.0, |row| row.recompute_weight);
        ReclaimWeights {
            recompute,
            delay: DELAY_WEIGHT,
            token_ms: TOKEN_MS,
            prefill_ms: PREFILL_MS,
            // The daemons that share the endpoint move their streams at once.
            move_ms: MOVE_MS * self.sharing,
        }
    }
}
