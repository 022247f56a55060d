//! CPU time and memory of a process, read from `/proc`; benches use it too.

use std::{fs, path::Path};

/// CPU seconds used so far, and resident memory in kilobytes, of the process `id` (`self` for
/// the calling process).
pub fn cpu_and_rss(id: &str) -> (f64, f64) {
    const TICKS_PER_S: f64 = 100.0;
    let folder = Path::new("/proc").join(id);
    let stat = fs::read_to_string(folder.join("stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let cpu_s = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S;
    let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let rss_kb = rss.and_then(|text| text.trim().split(' ').next()?.parse().ok());
    (cpu_s, rss_kb.unwrap_or(0.0))
}
