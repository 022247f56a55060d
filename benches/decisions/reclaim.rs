//! Tokens that are recomputed when an endpoint is reclaimed, for several strategies.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use willowarch::{
    ids::RequestName,
    native::decide::reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
};

use crate::{
    SEEDS,
    report::{StrategyResults, plot_seeds, write_table},
};

const STREAMS: usize = 40;
const WAVES: usize = 3;
const MOVE_MS: f64 = 0.125;
const TOKEN_MS: f64 = 20.0;

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Restart,
    ResumeOnly,
    Planner,
    Clairvoyant,
}

#[derive(Clone)]
struct Stream {
    prompt: usize,
    produced: usize,
    max_tokens: usize,
    /// Number of tokens that the response will have in fact.
    length: usize,
    cached_elsewhere: usize,
}

fn random_streams(rng: &mut SmallRng) -> Vec<Stream> {
    (0..STREAMS)
        .map(|_| {
            let long = rng.random_range(0.0..1.0) < 0.3;
            let (prompt, max_tokens) = if long { (1_240, 600) } else { (90, 48) };
            let length = (max_tokens as f64 * rng.random_range(0.4..1.0)) as usize;
            // Some prompts belong to a series whose beginning other endpoints have cached.
            let cached_elsewhere =
                if rng.random_range(0.0..1.0) < 0.3 { prompt * 7 / 10 } else { 0 };
            let produced = rng.random_range(0..length);
            Stream { prompt, produced, max_tokens, length, cached_elsewhere }
        })
        .collect()
}

fn leaving_stream(index: usize, stream: &Stream, knows_future: bool) -> LeavingStream {
    let end = if knows_future { stream.length } else { stream.max_tokens };
    LeavingStream {
        name: RequestName::new("reader", format!("k{index}")),
        prompt_tokens: stream.prompt,
        produced: stream.produced,
        remaining: end - stream.produced,
        cached_elsewhere: stream.cached_elsewhere.min(stream.prompt),
    }
}

fn weights(recompute: f64) -> ReclaimWeights {
    let prefill_ms = 0.25;
    ReclaimWeights { recompute, delay: 1.0, token_ms: TOKEN_MS, prefill_ms, move_ms: MOVE_MS }
}

/// Runs successive waves of reclaims; returns the tokens recomputed and the streams moved.
fn simulate(seed: u64, strategy: Strategy, recompute: f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut streams = random_streams(&mut rng);
    let (mut tokens, mut moved) = (0.0, 0.0);
    for _ in 0..WAVES {
        let notice_ms = rng.random_range(1_000.0..8_000.0);
        let leaving: Vec<LeavingStream> = streams
            .iter()
            .enumerate()
            .map(|(index, stream)| leaving_stream(index, stream, strategy == Strategy::Clairvoyant))
            .collect();
        let ways: Vec<ReclaimWay> = match strategy {
            Strategy::Restart | Strategy::ResumeOnly => vec![ReclaimWay::Resume; streams.len()],
            Strategy::Planner => plan(&leaving, notice_ms, recompute),
            // Knows the length of each response, and uses the safety margin of the notice too.
            Strategy::Clairvoyant => plan(&leaving, notice_ms / 0.85, recompute),
        };
        let mut staying = Vec::new();
        for (stream, chosen) in streams.into_iter().zip(ways) {
            let after = apply_way(stream, chosen, strategy, notice_ms, &mut tokens, &mut moved);
            staying.extend(after);
        }
        streams = staying;
        // The streams continue between two waves.
        let pause = rng.random_range(20..120);
        for stream in &mut streams {
            stream.produced = (stream.produced + pause).min(stream.length);
        }
        streams.retain(|stream| stream.produced < stream.length);
    }
    (tokens, moved)
}

fn plan(leaving: &[LeavingStream], notice_ms: f64, recompute: f64) -> Vec<ReclaimWay> {
    plan_reclaim(leaving, notice_ms, &weights(recompute)).into_iter().map(|(_, way)| way).collect()
}

/// Applies the chosen way to a stream; returns the stream that remains, or `None` if it finished
/// in time.
fn apply_way(
    mut stream: Stream,
    chosen: ReclaimWay,
    strategy: Strategy,
    notice_ms: f64,
    tokens: &mut f64,
    moved: &mut f64,
) -> Option<Stream> {
    let left_ms = (stream.length - stream.produced) as f64 * TOKEN_MS;
    match chosen {
        ReclaimWay::Finish if left_ms <= notice_ms => return None,
        ReclaimWay::Move => *moved += 1.0,
        ReclaimWay::Finish | ReclaimWay::Resume if strategy == Strategy::Restart => {
            // The prompt and all tokens produced so far are computed again.
            *tokens += (stream.prompt - stream.cached_elsewhere + stream.produced) as f64;
            stream.produced = 0;
        }
        ReclaimWay::Finish | ReclaimWay::Resume => {
            *tokens += (stream.prompt + stream.produced - stream.cached_elsewhere) as f64;
        }
    }
    Some(stream)
}

pub fn reclaim() {
    let strategies = [
        ("restart", Strategy::Restart, 5.0),
        ("resume only", Strategy::ResumeOnly, 5.0),
        ("ours, Inkbridge's weight 5", Strategy::Planner, 5.0),
        ("ours, bakery's weight 0.5", Strategy::Planner, 0.5),
        ("knows the answers' lengths", Strategy::Clairvoyant, 5.0),
    ];
    let mut results = Vec::new();
    for (name, strategy, weight) in strategies {
        let values = SEEDS.map(|seed| {
            let (tokens, moved) = simulate(seed, strategy, weight);
            let (restarted, _) = simulate(seed, Strategy::Restart, weight);
            vec![tokens, tokens / restarted * 100.0, moved]
        });
        results.push(StrategyResults { label: name, values: values.collect() });
    }
    let about = format!(
        "{STREAMS} streams on one endpoint, a third of them long arcs, hit by {WAVES} reclaims one \
         after another with 1 to 8 s of notice each. Moves share the link at {MOVE_MS} ms a token."
    );
    let measures = ["tokens recomputed", "of restart's, %", "streams moved"];
    write_table("reclaim", &about, &measures, &results);
    plot_seeds("reclaim", "tokens recomputed", 0, &results);
}
