//! A VM that is suspended: the runtime's clock stands still, and the time goes on. Daemons run in this
//! process, each on a thread whose time can be let go on as after a suspension.

use std::{
    net::{IpAddr, SocketAddr},
    sync::mpsc,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::json;
use tokio::{sync::oneshot, task::LocalSet, time::Instant};
use willowarch::{boot_clock, gateway::daemon, platform::settings};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{
        ask, configuration, daemon_settings, endpoint_entry, own_address, read_metric, wait_for,
    },
    platform_standin::PlatformStandin,
};

/// Longer than keys may be used without a proof (5 s), and than the lease (1.5 s).
const LONG: Duration = Duration::from_secs(8);
/// Time between looks for a suspension to pretend.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Time of a few gossip intervals.
const SHORT_WHILE: Duration = Duration::from_millis(300);

/// A daemon on a thread of this process.
struct ThreadDaemon {
    ip: IpAddr,
    suspensions: mpsc::Sender<Duration>,
    stop: Option<oneshot::Sender<()>>,
}

impl ThreadDaemon {
    fn start(name: &str, platform: SocketAddr) -> Self {
        let ip = own_address();
        let text = daemon_settings(name, ip, platform, &[], &json!({})).to_string();
        let (suspensions, pretended) = mpsc::channel::<Duration>();
        let (stop, stopped) = oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("runtime"), async move {
                let parsed = settings::parse(&text).expect("settings");
                tokio::task::spawn_local(async move {
                    loop {
                        pretended.try_iter().for_each(boot_clock::simulate_suspension);
                        tokio::time::sleep(LOOK_EVERY).await;
                    }
                });
                tokio::select! {
                    result = daemon::run(parsed) => drop(result.expect("a daemon")),
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
        thread::sleep(SHORT_WHILE);
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
        // A daemon that has ended takes no message any more.
        let _ = self.stop.take().map(|stop| stop.send(()));
    }
}

fn site() -> (PlatformStandin, EndpointStandin, ThreadDaemon) {
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
    boot_clock::simulate_suspension(LONG);
    expect_that!(boot_clock::since(before), ge(LONG));
    let runtime = Instant::now();
    let timer = boot_clock::timer_at(boot_clock::now() + Duration::from_secs(1));
    let wait = timer.saturating_duration_since(runtime);
    expect_that!(wait, all!(ge(Duration::from_millis(990)), le(Duration::from_millis(1_010))));
}

#[googletest::test]
fn keys_are_not_used_after_a_suspension_until_the_store_has_answered() {
    let (platform, _endpoint, daemon) = site();
    expect_that!(daemon.status("a"), eq(200));
    platform.set_down(true);
    daemon.suspend(LONG);
    expect_that!(daemon.status("b"), eq(503));
    platform.set_down(false);
    wait_for("a proof", || daemon.status("c") == 200);
}

#[googletest::test]
fn short_suspension_changes_nothing_for_keys() {
    let (platform, _endpoint, daemon) = site();
    platform.set_down(true);
    daemon.suspend(Duration::from_secs(1));
    expect_that!(daemon.status("a"), eq(200));
}

#[googletest::test]
fn leader_that_was_suspended_for_longer_than_its_lease_has_lost_it() {
    let (_platform, _endpoint, daemon) = site();
    wait_for("the lease", || daemon.metric("lease_taken") == Some(1.0));
    thread::sleep(SHORT_WHILE);
    expect_that!(daemon.metric("lease_lost"), none());
    daemon.suspend(LONG);
    wait_for("the loss", || daemon.metric("lease_lost") == Some(1.0));
    wait_for("a new fence", || daemon.metric("lease_taken") == Some(2.0));
}
