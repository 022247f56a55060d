//! Experiments that compare the decision algorithms with naive ones and with bounds that know the
//! future, over several seeds. Each writes a table and a plot to docs/measurements.
//! Earlier experiments on routing, fairness, limits and retries have been removed;
//! docs/measurements/README.md keeps their tables.
//!
//!     cargo bench --bench decisions [-- reclaim|fleet]

mod fleet;
mod reclaim;
mod report;

/// Seeds of every experiment.
const SEEDS: std::ops::Range<u64> = 1..13;

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|text| !text.starts_with("--")).collect();
    let experiments: [(&str, fn()); 2] = [("reclaim", reclaim::reclaim), ("fleet", fleet::fleet)];
    for (name, run) in experiments {
        if selected.is_empty() || selected.iter().any(|text| text == name) {
            run();
        }
    }
}
