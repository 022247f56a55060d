//! Resource usage of real daemon processes, idle and under load, for several numbers of daemons:
//! CPU, memory, bytes per second and calls of the platform. docs/CAPACITY.md quotes the results.
//!
//!     cargo bench --bench daemons [-- COUNT...]

#[path = "../tests/native/harness.rs"]
#[allow(dead_code)]
mod harness;

use std::time::{Duration, Instant};

use harness::{Deployment, Layout, get_text, try_get};
use serde_json::{Value, json};
use willowarch::standin::clients::{ClientPlayer, MixEntry, MixKind, RequestMix};

const IDLE_TIME: Duration = Duration::from_secs(12);
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Resource usage so far: mean per daemon, and the total numbers of platform calls.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    rss_kb: f64,
    control_bytes: f64,
    copy_bytes: f64,
    platform_reads: f64,
    platform_writes: f64,
}

fn usage(deployment: &Deployment) -> Usage {
    let mut usage = Usage::default();
    let count = deployment.daemons.len();
    for (index, daemon) in deployment.daemons.iter().enumerate() {
        let (cpu_s, rss_kb) = daemon.cpu_and_rss();
        usage.cpu_s += cpu_s / count as f64;
        usage.rss_kb += rss_kb / count as f64;
        let text = get_text(deployment.admin(index), "/metrics").unwrap_or_default();
        let value = |name: &str| {
            let line =
                text.lines().find_map(|line| line.strip_prefix(&format!("willowarch_{name} ")));
            line.and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0)
        };
        usage.control_bytes += value("peer_bytes") / count as f64;
        usage.copy_bytes += value("copy_bytes") / count as f64;
    }
    let stats = try_get(deployment.platform_address(), "/stats").unwrap_or_default();
    usage.platform_reads =
        stats["reads"].as_f64().unwrap_or(0.0) + stats["cloud"].as_f64().unwrap_or(0.0);
    usage.platform_writes = stats["writes"].as_f64().unwrap_or(0.0);
    usage
}

fn print_usage(what: &str, count: usize, length: f64, before: Usage, after: Usage) {
    println!(
        "{count:>3} daemons, {what:<28} CPU {:5.2}% of a core, RSS {:5.1} MB, peers {:6.0} B/s \
         (of which copies {:6.0}), platform {:5.1} calls/s in all, {:4.2} writes/s",
        (after.cpu_s - before.cpu_s) / length * 100.0,
        after.rss_kb / 1_024.0,
        (after.control_bytes - before.control_bytes) / length,
        (after.copy_bytes - before.copy_bytes) / length,
        (after.platform_reads - before.platform_reads) / length,
        (after.platform_writes - before.platform_writes) / length,
    );
}

fn mix(pace: f64) -> RequestMix {
    let entry = |name: &str, kind, service: &str, account: &str| MixEntry {
        name: name.into(),
        weight: 1.0,
        kind,
        service: service.into(),
        path: "tags".into(),
        api_key: format!("key-{account}"),
        account: account.into(),
        shared_words: 64,
        series: 20,
        own_words: 16,
        max_tokens: 40,
    };
    RequestMix {
        requests_per_s: pace,
        entries: vec![
            entry("translation", MixKind::Completion, "model", "reader"),
            entry("tagging", MixKind::Once, "tagging", "press"),
        ],
    }
}

fn play(deployment: &Deployment, pace: f64) -> Value {
    let daemons = (0..deployment.layout.daemons).map(|index| deployment.caller(index)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    let report = local.block_on(&runtime.expect("a runtime"), async move {
        ClientPlayer::new(daemons, mix(pace)).play(LOAD_TIME, 1).await
    });
    json!(report)
}

fn measure(count: usize) {
    let layout = Layout { daemons: count, engines: 8, plain: 4, ..Layout::default() };
    let deployment = Deployment::start(layout);
    std::thread::sleep(Duration::from_secs(3));
    let before = usage(&deployment);
    let from = Instant::now();
    std::thread::sleep(IDLE_TIME);
    print_usage("idle", count, from.elapsed().as_secs_f64(), before, usage(&deployment));
    for pace in [40.0, 120.0] {
        let before = usage(&deployment);
        let from = Instant::now();
        let report = play(&deployment, pace);
        let what = format!("{pace} requests/s in all");
        print_usage(&what, count, from.elapsed().as_secs_f64(), before, usage(&deployment));
        println!(
            "      answered {} of {}, first token {} ms, gap {} ms",
            report["answered"],
            report["requests"],
            report["first_token_ms"],
            report["token_gap_ms"]
        );
    }
}

fn main() {
    let counts: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let counts = if counts.is_empty() { vec![8, 16, 32] } else { counts };
    for count in counts {
        measure(count);
    }
}
