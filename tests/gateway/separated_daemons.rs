//! A daemon that reaches the store but none of the other daemons: it must not take itself for the whole fleet, nor
//! spend nothing once it is the only one.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, endpoint_entry, wait_for},
    platform_standin::PlatformStandin,
    replaced_seeds::state_of,
};

/// Daemons that the holder records.
const RECORDED: usize = 5;
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Longer than a daemon takes to read the record twice.
const SEPARATED_FOR: Duration = Duration::from_secs(8);
/// Units a second, and units of a request.
const RATE: u64 = 1_000;
const UNITS: u64 = 100;

/// Holder of the lease that no daemon reaches. It renews the lease until it is dropped.
struct UnreachedHolder {
    is_over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl UnreachedHolder {
    fn start(platform: &Arc<PlatformStandin>) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let (over, platform) = (is_over.clone(), platform.clone());
        let thread = thread::spawn(move || {
            for renewals in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                platform.put("gateway-leases", "duties", record(renewals));
                thread::sleep(RENEW_INTERVAL);
            }
        });
        Self { is_over, thread: Some(thread) }
    }
}

impl Drop for UnreachedHolder {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        let _ = self.thread.take().expect("thread").join();
    }
}

/// Record as a daemon of the former release writes it, whose holder doesn't respond.
fn record(renewals: u64) -> Value {
    json!({
        "holder": "edge-away", "address": "127.0.0.1:9", "incarnation": 77, "fence": 5,
        "renewals": renewals, "daemons": RECORDED, "report": null,
    })
}

/// Asks for many times the quota for this time. Returns the units of the requests that were served.
fn overload(daemon: &Gateway, time: Duration) -> u64 {
    let until = Instant::now() + time;
    let mut served = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let answer = ask(daemon.clients, "/plain/", &format!("q-{number}"), "key-1", &[], b"");
        served += u64::from(answer.status == 200) * UNITS;
        thread::sleep(Duration::from_millis(10));
    }
    served
}

// Guards against a daemon that reaches no other and spends the whole quota beside them, and against one that is the
// only one left and spends a part of it for good.
#[googletest::test]
fn daemon_that_hears_no_other_spends_its_part_of_the_quota() {
    let platform = Arc::new(PlatformStandin::start());
    let mut stored = configuration(3, &["key-1"]);
    stored["tenants"][0]["per-s"] = json!(RATE);
    stored["tenants"][0]["burst"] = json!(RATE);
    platform.put("config", "main", stored);
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let holder = UnreachedHolder::start(&platform);
    let daemon =
        Gateway::start("edge-alone", &platform, &["127.0.0.1:9".parse().expect("address")]);
    daemon.wait_ready();
    thread::sleep(SEPARATED_FOR);
    expect_that!(state_of(&daemon)["daemons_known"], eq(&json!(RECORDED + 1)));
    // The burst was full.
    overload(&daemon, Duration::from_secs(2));
    let served = overload(&daemon, Duration::from_secs(6));
    let part = RATE * 6 / (RECORDED as u64 + 1);
    expect_that!(served, all!(ge(part * 8 / 10), le(part * 12 / 10)));
    drop(holder);
    wait_for("the whole fleet", || state_of(&daemon)["daemons_known"] == json!(1));
    overload(&daemon, Duration::from_secs(1));
    expect_that!(overload(&daemon, Duration::from_secs(3)), ge(RATE * 3 * 8 / 10));
}

/// Starts two daemons whose seeds have ended, and names the first one in the settings of the second.
fn check_changed_seeds(change: impl Fn(&Gateway)) {
    let platform = Arc::new(PlatformStandin::start());
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let _holder = UnreachedHolder::start(&platform);
    let ended = "127.0.0.1:9".parse().expect("address");
    let daemons = ["edge-1", "edge-2"].map(|name| Gateway::start(name, &platform, &[ended]));
    daemons.iter().for_each(Gateway::wait_ready);
    expect_that!(state_of(&daemons[1])["daemons_heard"], eq(&json!(1)));
    daemons[1].write_seeds(&[daemons[0].peers]);
    change(&daemons[1]);
    for daemon in &daemons {
        wait_for("the other daemon", || state_of(daemon)["daemons_heard"] == json!(2));
    }
}

// Guards against a daemon that goes on with seeds that have ended after it was told of others.
#[googletest::test]
fn changed_seeds_are_used_after_a_signal() {
    check_changed_seeds(|daemon| daemon.signal("-HUP"));
}

// Guards against the same where the settings change without a signal.
#[googletest::test]
fn changed_seeds_are_used_without_a_signal() {
    check_changed_seeds(|_| {});
}
