//! What to do with the streams of an endpoint whose VM is being reclaimed.
//!
//! Decides for each stream whether it finishes there, has its KV cache moved to another
//! endpoint, or resumes at another endpoint from the prompt and the tokens produced so far, which
//! computes these again. Only the native path moves streams; the gateway relays and resumes
//! (`gateway::request`).
//!
//! Inputs: the time until the VM is gone, in milliseconds, and for each stream its tokens so far
//! (exact, counted by this daemon) and the tokens still to come (the client's maximum, an upper
//! bound). Each option costs tokens computed again and delay; the cheapest one that can be
//! completed before the VM is gone is taken. Moves share the leaving VM's bandwidth, so all
//! streams are planned together.

use crate::ids::RequestName;

/// Fraction of the notice period left unused, to allow for clock differences and slow streams.
const NOTICE_MARGIN: f64 = 0.15;

/// Weights of the costs, and the speeds that determine what can be completed within the notice
/// period.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimWeights {
    /// Cost of a token computed again.
    pub recompute: f64,
    /// Cost of a millisecond of delay to one stream.
    pub delay: f64,
    /// Time between tokens, in milliseconds.
    pub token_ms: f64,
    /// Time to compute one prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// Time to move the KV cache of one token, in milliseconds, when no other move uses the link.
    pub move_ms: f64,
}

/// One stream on the leaving endpoint.
#[derive(Clone, Debug)]
pub struct LeavingStream {
    /// Name of its request.
    pub name: RequestName,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens produced so far.
    pub produced: usize,
    /// Tokens still to come.
    pub remaining: usize,
    /// Tokens of prompt and response that the endpoint it would move to has cached.
    pub cached_elsewhere: usize,
}

/// How a stream is continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReclaimWay {
    /// Stays until the response is complete.
    Finish,
    /// Has its KV cache moved to another endpoint and continues there.
    Move,
    /// Continues at another endpoint, which computes prompt and tokens again.
    Resume,
}

impl LeavingStream {
    fn context(&self) -> usize {
        self.prompt_tokens + self.produced
    }

    fn recomputed(&self) -> usize {
        self.context().saturating_sub(self.cached_elsewhere)
    }

    fn finish_ms(&self, weights: &ReclaimWeights) -> f64 {
        self.remaining as f64 * weights.token_ms
    }

    fn move_ms(&self, weights: &ReclaimWeights) -> f64 {
        self.recomputed() as f64 * weights.move_ms
    }

    fn resume_cost(&self, weights: &ReclaimWeights) -> f64 {
        let tokens = self.recomputed() as f64;
        tokens * weights.recompute + tokens * weights.prefill_ms * weights.delay
    }

    /// Cost of a move. Waiting for other moves adds nothing: the stream keeps producing tokens
    /// until its own move begins.
    fn move_cost(&self, weights: &ReclaimWeights) -> f64 {
        self.move_ms(weights) * weights.delay
    }
}

/// Plans all streams of one endpoint whose VM is gone in `notice_ms`.
///
/// Streams that can finish in time stay. The others compete for the link: those that save the
/// most cost per millisecond of link time are moved first, until the notice period is used up.
pub fn plan_reclaim(
    streams: &[LeavingStream],
    notice_ms: f64,
    weights: &ReclaimWeights,
) -> Vec<(RequestName, ReclaimWay)> {
    let usable_ms = notice_ms * (1.0 - NOTICE_MARGIN);
    let mut ways = vec![ReclaimWay::Resume; streams.len()];
    let mut movers: Vec<(f64, usize)> = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        if stream.finish_ms(weights) <= usable_ms {
            ways[index] = ReclaimWay::Finish;
            continue;
        }
        let saved = stream.resume_cost(weights) - stream.move_cost(weights);
        let link_ms = stream.move_ms(weights);
        if saved > 0.0 && link_ms > 0.0 {
            movers.push((saved / link_ms, index));
        }
    }
    movers.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
    let mut link_left_ms = usable_ms;
    for (_, index) in movers {
        let link_ms = streams[index].move_ms(weights);
        if link_ms <= link_left_ms {
            link_left_ms -= link_ms;
            ways[index] = ReclaimWay::Move;
        }
    }
    streams.iter().zip(ways).map(|(stream, way)| (stream.name.clone(), way)).collect()
}
