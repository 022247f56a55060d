//! Daemons whose VM was suspended: the monotonic clock of the runtime has stopped during the suspension,
//! while real time has passed. Daemons run on threads of this process, and the tests advance the real
//! time of such a thread as a suspension does.

use std::{
    net::{IpAddr, SocketAddr},
    sync::mpsc,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::json;
use tokio::{sync::oneshot, task::LocalSet, time::Instant};
use willowarch::{
    boot_clock,
    gateway::daemon,
    platform::settings::{self, SettingsSource},
};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{
        ask, configuration, daemon_settings, endpoint_entry, read_metric, unused_loopback_address,
        wait_for,
    },
    platform_standin::PlatformStandin,
};

/// Longer than keys may be used without a freshness proof (5 s), and than the lease (1.5 s).
const LONG_SUSPENSION: Duration = Duration::from_secs(8);
/// Interval at which a daemon's thread checks for a suspension to simulate.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A few gossip intervals.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A daemon on a thread of this process.
struct ThreadDaemon {
    ip: IpAddr,
    suspensions: mpsc::Sender<Duration>,
    stop: Option<oneshot::Sender<()>>,
}

impl ThreadDaemon {
    fn start(name: &str, platform: SocketAddr) -> Self {
        let ip = unused_loopback_address();
        let text = daemon_settings(name, ip, platform, &[], &json!({})).to_string();
        let (suspensions, requested_suspensions) = mpsc::channel::<Duration>();
        let (stop, stopped) = oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("runtime"), async move {
                let parsed = settings::parse(&text).expect("settings");
                // Not read: the settings don't change.
                let source = SettingsSource::new("settings.json".into());
                tokio::task::spawn_local(async move {
                    loop {
                        requested_suspensions.try_iter().for_each(boot_clock::simulate_suspension);
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                });
                tokio::select! {
                    result = daemon::run(parsed, source) => drop(result.expect("a daemon")),
                    _ = stopped => {}
                }
            });
        });
        let daemon = Self { ip, suspensions, stop: Some(stop) };
        let readiness = format!("http://{ip}:8002/-/readiness");
        wait_for("readiness", || ureq::get(&readiness).call().is_ok());
        daemon
    }

    fn suspend(&self, duration: Duration) {
        self.suspensions.send(duration).expect("a daemon");
        thread::sleep(SETTLE_TIME);
    }

    fn status(&self, id: &str) -> u16 {
        ask(SocketAddr::new(self.ip, 8001), "/plain/", id, "key-1", &[], b"").status
    }

    fn metric(&self, name: &str) -> Option<f64> {
        read_metric(SocketAddr::new(self.ip, 8004), name)
    }
}

impl Drop for ThreadDaemon {
    fn drop(&mut self) {
        // Sending fails if the daemon has ended already.
        let _ = self.stop.take().map(|stop| stop.send(()));
    }
}

fn start_site() -> (PlatformStandin, EndpointStandin, ThreadDaemon) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let daemon = ThreadDaemon::start("edge-1", platform.address);
    (platform, endpoint, daemon)
}

#[googletest::test]
fn time_goes_on_and_timers_stay_with_the_runtime() {
    let before = boot_clock::now();
    boot_clock::simulate_suspension(LONG_SUSPENSION);
    expect_that!(boot_clock::since(before), ge(LONG_SUSPENSION));
    let runtime = Instant::now();
    let timer = boot_clock::timer_at(boot_clock::now() + Duration::from_secs(1));
    let wait = timer.saturating_duration_since(runtime);
    expect_that!(wait, all!(ge(Duration::from_millis(990)), le(Duration::from_millis(1_010))));
}

/// While a VM is suspended, keys may be revoked. The daemon must refuse requests afterwards until the
/// store has answered, although the runtime's clock shows that the last proof is recent.
#[googletest::test]
fn keys_are_not_used_after_a_suspension_until_the_store_has_answered() {
    let (platform, _endpoint, daemon) = start_site();
    expect_that!(daemon.status("a"), eq(200));
    platform.set_down(true);
    daemon.suspend(LONG_SUSPENSION);
    expect_that!(daemon.status("b"), eq(503));
    platform.set_down(false);
    wait_for("acceptance of the key after a freshness proof", || daemon.status("c") == 200);
}

#[googletest::test]
fn short_suspension_changes_nothing_for_keys() {
    let (platform, _endpoint, daemon) = start_site();
    platform.set_down(true);
    daemon.suspend(Duration::from_secs(1));
    expect_that!(daemon.status("a"), eq(200));
}

/// Another daemon may have acquired the lease during the suspension, so the former holder must give it
/// up, although the runtime's clock shows that it is still valid.
#[googletest::test]
fn leader_that_was_suspended_for_longer_than_its_lease_has_lost_it() {
    let (_platform, _endpoint, daemon) = start_site();
    wait_for("acquisition of the lease", || daemon.metric("lease_taken") == Some(1.0));
    thread::sleep(SETTLE_TIME);
    expect_that!(daemon.metric("lease_lost"), none());
    daemon.suspend(LONG_SUSPENSION);
    wait_for("loss of the lease", || daemon.metric("lease_lost") == Some(1.0));
    wait_for("a second lease with a new fence", || daemon.metric("lease_taken") == Some(2.0));
}
