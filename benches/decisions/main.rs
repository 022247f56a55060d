//! Experiments on the decisions: ours against naive ones and against bounds that know
//! the future, over seeds. Each writes a table and a plot into docs/measurements.
//! Routing, fairness, limits and retries were measured here once; docs/measurements/README.md
//! keeps their tables.
//!
//!     cargo bench --bench decisions [-- reclaim|fleet]

mod fleet;
mod reclaim;
mod report;

/// Seeds of every experiment.
const SEEDS: std::ops::Range<u64> = 1..13;

fn main() {
    let wanted: Vec<String> =
        std::env::args().skip(1).filter(|text| !text.starts_with("--")).collect();
    let experiments: [(&str, fn()); 2] = [("reclaim", reclaim::reclaim), ("fleet", fleet::fleet)];
    for (name, run) in experiments {
        if wanted.is_empty() || wanted.iter().any(|text| text == name) {
            run();
        }
    }
}
