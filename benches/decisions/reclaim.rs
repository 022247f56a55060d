//! Tokens computed again when endpoints are reclaimed, by the way that is chosen.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use willowarch::{
    ids::RequestName,
    native::decide::reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
};

use crate::{
    SEEDS,
    report::{WayResults, plot_seeds, write_table},
};

const STREAMS: usize = 40;
const WAVES: usize = 3;
const MOVE_MS: f64 = 0.125;
const TOKEN_MS: f64 = 20.0;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Restart,
    ResumeOnly,
    Ours,
    Clairvoyant,
}

#[derive(Clone)]
struct Stream {
    prompt: usize,
    produced: usize,
    most: usize,
    /// Tokens the answer will really have.
    length: usize,
    cached_elsewhere: usize,
}

fn draw(rng: &mut SmallRng) -> Vec<Stream> {
    (0..STREAMS)
        .map(|_| {
            let long = rng.random_range(0.0..1.0) < 0.3;
            let (prompt, most) = if long { (1_240, 600) } else { (90, 48) };
            let length = (most as f64 * rng.random_range(0.4..1.0)) as usize;
            // Balloons of a series share their beginning with what others have cached.
            let cached_elsewhere =
                if rng.random_range(0.0..1.0) < 0.3 { prompt * 7 / 10 } else { 0 };
            let produced = rng.random_range(0..length);
            Stream { prompt, produced, most, length, cached_elsewhere }
        })
        .collect()
}

fn shape(index: usize, stream: &Stream, knows_future: bool) -> LeavingStream {
    let end = if knows_future { stream.length } else { stream.most };
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

/// Tokens computed again over waves that hit the streams one after another.
fn recomputed(seed: u64, way: Way, recompute: f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut streams = draw(&mut rng);
    let (mut tokens, mut moved) = (0.0, 0.0);
    for _ in 0..WAVES {
        let notice_ms = rng.random_range(1_000.0..8_000.0);
        let shapes: Vec<LeavingStream> = streams
            .iter()
            .enumerate()
            .map(|(index, stream)| shape(index, stream, way == Way::Clairvoyant))
            .collect();
        let ways: Vec<ReclaimWay> = match way {
            Way::Restart | Way::ResumeOnly => vec![ReclaimWay::Resume; streams.len()],
            Way::Ours => plan(&shapes, notice_ms, recompute),
            // Knows each answer's length, and uses the margin too.
            Way::Clairvoyant => plan(&shapes, notice_ms / 0.85, recompute),
        };
        let mut staying = Vec::new();
        for (stream, chosen) in streams.into_iter().zip(ways) {
            let after = carry_out(stream, chosen, way, notice_ms, &mut tokens, &mut moved);
            staying.extend(after);
        }
        streams = staying;
        // Between two waves the streams go on for a while.
        let pause = rng.random_range(20..120);
        for stream in &mut streams {
            stream.produced = (stream.produced + pause).min(stream.length);
        }
        streams.retain(|stream| stream.produced < stream.length);
    }
    (tokens, moved)
}

fn plan(shapes: &[LeavingStream], notice_ms: f64, recompute: f64) -> Vec<ReclaimWay> {
    plan_reclaim(shapes, notice_ms, &weights(recompute)).into_iter().map(|(_, way)| way).collect()
}

/// What becomes of a stream; `None` if it finished in time.
fn carry_out(
    mut stream: Stream,
    chosen: ReclaimWay,
    way: Way,
    notice_ms: f64,
    tokens: &mut f64,
    moved: &mut f64,
) -> Option<Stream> {
    let left_ms = (stream.length - stream.produced) as f64 * TOKEN_MS;
    match chosen {
        ReclaimWay::Finish if left_ms <= notice_ms => return None,
        ReclaimWay::Move => *moved += 1.0,
        ReclaimWay::Finish | ReclaimWay::Resume if way == Way::Restart => {
            // The prompt and all tokens so far are computed again.
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
    let ways = [
        ("restart", Way::Restart, 5.0),
        ("resume only", Way::ResumeOnly, 5.0),
        ("ours, Inkbridge's weight 5", Way::Ours, 5.0),
        ("ours, bakery's weight 0.5", Way::Ours, 0.5),
        ("knows the answers' lengths", Way::Clairvoyant, 5.0),
    ];
    let mut results = Vec::new();
    for (name, way, weight) in ways {
        let values = SEEDS.map(|seed| {
            let (tokens, moved) = recomputed(seed, way, weight);
            let (restarted, _) = recomputed(seed, Way::Restart, weight);
            vec![tokens, tokens / restarted * 100.0, moved]
        });
        results.push(WayResults { way: name, values: values.collect() });
    }
    let about = format!(
        "{STREAMS} streams on one endpoint, a third of them long arcs, hit by {WAVES} reclaims one \
         after another with 1 to 8 s of notice each. Moves share the link at {MOVE_MS} ms a token."
    );
    let measures = ["tokens recomputed", "of restart's, %", "streams moved"];
    write_table("reclaim", &about, &measures, &results);
    plot_seeds("reclaim", "tokens recomputed", 0, &results);
}
