//! Plans that decide for each stream of a reclaimed VM whether it finishes there, moves or
//! resumes elsewhere.

use proptest::{collection::vec, prelude::*};
use willowarch::{
    ids::RequestName,
    native::decide::reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
};

const WEIGHTS: ReclaimWeights =
    ReclaimWeights { recompute: 1.0, delay: 1.0, token_ms: 20.0, prefill_ms: 0.25, move_ms: 0.125 };

fn leaving(number: usize, prompt: usize, produced: usize, remaining: usize) -> LeavingStream {
    LeavingStream {
        name: RequestName::new("reader", format!("k{number}")),
        prompt_tokens: prompt,
        produced,
        remaining,
        cached_elsewhere: 0,
    }
}

/// Cost of a plan by the cost model, or `None` if it takes longer than the notice allows.
fn plan_cost(streams: &[LeavingStream], ways: &[ReclaimWay], notice_ms: f64) -> Option<f64> {
    let usable_ms = notice_ms * 0.85;
    let mut link_ms = 0.0;
    let mut cost = 0.0;
    for (stream, way) in streams.iter().zip(ways) {
        let context = (stream.prompt_tokens + stream.produced - stream.cached_elsewhere) as f64;
        match way {
            ReclaimWay::Finish if stream.remaining as f64 * WEIGHTS.token_ms <= usable_ms => {}
            ReclaimWay::Finish => return None,
            ReclaimWay::Move => {
                link_ms += context * WEIGHTS.move_ms;
                cost += context * WEIGHTS.move_ms * WEIGHTS.delay;
            }
            ReclaimWay::Resume => {
                cost += context * (WEIGHTS.recompute + WEIGHTS.prefill_ms * WEIGHTS.delay);
            }
        }
    }
    (link_ms <= usable_ms).then_some(cost)
}

fn best_cost(streams: &[LeavingStream], notice_ms: f64) -> f64 {
    const WAYS: [ReclaimWay; 3] = [ReclaimWay::Finish, ReclaimWay::Move, ReclaimWay::Resume];
    let plans = 3_usize.pow(streams.len() as u32);
    let costs = (0..plans).filter_map(|mut plan| {
        let ways: Vec<ReclaimWay> = streams
            .iter()
            .map(|_| {
                let way = WAYS[plan % 3];
                plan /= 3;
                way
            })
            .collect();
        plan_cost(streams, &ways, notice_ms)
    });
    costs.fold(f64::INFINITY, f64::min)
}

proptest! {
    /// Compared with all possible plans: the cost is within one stream of the optimum and never
    /// above that of resuming all streams.
    #[test]
    fn reclaim_plan_is_within_one_stream_of_the_optimum(
        shapes in vec((50_usize..3_000, 0_usize..500, 1_usize..400), 1..7),
        notice_ms in 200.0_f64..3_000.0,
    ) {
        let streams: Vec<LeavingStream> = shapes
            .iter()
            .enumerate()
            .map(|(number, (prompt, produced, remaining))| {
                leaving(number, *prompt, *produced, *remaining)
            })
            .collect();
        let ways: Vec<ReclaimWay> =
            plan_reclaim(&streams, notice_ms, &WEIGHTS).into_iter().map(|(_, way)| way).collect();
        let cost = plan_cost(&streams, &ways, notice_ms).expect("the plan fits into the notice");
        let resume_all = plan_cost(&streams, &vec![ReclaimWay::Resume; ways.len()], notice_ms);
        prop_assert!(cost <= resume_all.expect("resuming all streams always fits into the notice"));
        // Choosing streams by saved cost per link time may leave link time unused that is as
        // long as one stream takes.
        let largest = streams.iter().map(|stream| stream.prompt_tokens + stream.produced).max();
        let gap = largest.unwrap_or(0) as f64 * (WEIGHTS.recompute + WEIGHTS.prefill_ms);
        prop_assert!(cost <= best_cost(&streams, notice_ms) + gap);
    }
}
