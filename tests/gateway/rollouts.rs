//! Roll-outs with real daemons: versions that serve well and versions that don't, while daemons are
//! killed, the store is away, and orders are odd.
//!
//! The clients are at all daemons. The exposure to a bad version is counted at the endpoints, as the
//! operators count it.

use std::{
    collections::HashSet,
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, request_bytes, try_send_raw, wait_for},
    platform_standin::PlatformStandin,
    request_lines::print_request_lines,
};

/// Time from an order to its deadline. The steps of so short a roll-out take half of their time.
const DURATION: Duration = Duration::from_secs(6);
/// Fraction of the requests that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.1;
/// Requests that it may get beyond that.
const EXPOSURE_SLACK: f64 = 50.0;
/// Time after the fiftieth bad response from which a bad version may get none.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(5);
/// Least time of a response that may count as bad for being late.
const SLOW_MS: u64 = 30;
/// Pause of each client after a response.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 6;
const DAEMONS: usize = 3;

/// Endpoints of the running version and of the one to be rolled out.
struct RolloutSite {
    platform: PlatformStandin,
    former: Vec<EndpointStandin>,
    target: Vec<EndpointStandin>,
    daemons: Vec<Gateway>,
}

/// A request line of a daemon's log.
struct RequestLine {
    is_stream: bool,
    steps: String,
    total_ms: u64,
}

impl RequestLine {
    fn parse(line: &str) -> Option<Self> {
        let line: Value = serde_json::from_str(line).ok()?;
        let fields = line.get("kv").filter(|_| line["payload"] == "request")?;
        Some(Self {
            is_stream: fields["route"] == "stream",
            steps: fields["steps"].as_str()?.to_owned(),
            total_ms: fields["total_ms"].as_u64()?,
        })
    }
}

/// What the clients and the endpoints have seen.
struct RolloutResult {
    sent: u64,
    not_served: u64,
    status: Value,
}

fn versioned_entry(endpoint: &EndpointStandin, version: &str) -> Value {
    let mut entry = endpoint_entry(endpoint, "ready");
    entry["version"] = json!(version);
    entry
}

fn order(version: &str) -> Value {
    json!({"service": "pool", "target-version": version, "duration-s": DURATION.as_secs_f64()})
}

impl RolloutSite {
    fn start() -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let endpoint = |index| EndpointStandin::start(&format!("i-{index}"), EndpointManner::Serve);
        let former: Vec<EndpointStandin> = (0..4).map(endpoint).collect();
        let target: Vec<EndpointStandin> = (10..14).map(endpoint).collect();
        for endpoint in &former {
            platform.put("servers", &endpoint.id, versioned_entry(endpoint, "v1"));
        }
        let mut daemons: Vec<Gateway> = Vec::new();
        for index in 0..DAEMONS {
            let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.peers).collect();
            let bounds =
                json!({"exposure-share": EXPOSURE_SHARE, "exposure-slack": EXPOSURE_SLACK});
            let name = format!("edge-{index}");
            daemons.push(Gateway::start_with(&name, &platform, &seeds, bounds));
        }
        daemons.iter().for_each(Gateway::wait_ready);
        Self { platform, former, target, daemons }
    }

    fn set_target(&self, manner: EndpointManner) {
        self.target.iter().for_each(|endpoint| endpoint.set(manner));
    }

    fn order(&self, version: &str) {
        self.platform.put("rollouts", "pool", order(version));
    }

    /// Lists the endpoints of the target version.
    fn list_target(&self, version: &str) {
        for endpoint in &self.target {
            self.platform.put("servers", &endpoint.id, versioned_entry(endpoint, version));
        }
    }

    fn status(&self) -> Value {
        self.platform.status("rollouts", "pool").unwrap_or(Value::Null)
    }

    fn state(&self) -> String {
        self.status()["state"].as_str().unwrap_or("none").to_owned()
    }

    fn requests_at(endpoints: &[EndpointStandin]) -> u64 {
        endpoints.iter().map(|endpoint| endpoint.seen().len() as u64).sum()
    }

    /// Holder of the lease, by the store's record.
    fn leader(&mut self) -> Option<&mut Gateway> {
        let record = self.platform.get("gateway-leases", "duties")?;
        let index: usize = record["holder"].as_str()?.strip_prefix("edge-")?.parse().ok()?;
        self.daemons.get_mut(index)
    }

    /// Sends requests until `act` has ended; `act` gets the site with its clients running.
    fn play(mut self, act: impl FnOnce(&mut Self)) -> (Self, RolloutResult) {
        let stop = AtomicBool::new(false);
        let (sent, not_served) = (AtomicU64::new(0), Mutex::new(HashSet::new()));
        let clients: Vec<_> = self.daemons.iter().map(|daemon| daemon.clients).collect();
        std::thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (stop, sent, not_served, clients) = (&stop, &sent, &not_served, &clients);
                scope.spawn(move || {
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let daemon = clients[(client + number) % clients.len()];
                        let path = if number % 3 == 0 { "/stream/" } else { "/plain/" };
                        let id = format!("{client}-{number}");
                        let request = request_bytes(path, &id, "key-1", &[], b"");
                        let response = try_send_raw(daemon, &request);
                        let is_served = response.is_ok_and(|one| one.status == 200 && one.whole);
                        sent.fetch_add(1, Ordering::Relaxed);
                        if !is_served {
                            not_served.lock().expect("lock").insert(id);
                        }
                        std::thread::sleep(CLIENT_PAUSE);
                    }
                });
            }
            act(&mut self);
            stop.store(true, Ordering::Relaxed);
        });
        let status = self.status();
        let not_served: HashSet<String> = not_served.into_inner().expect("lock");
        let result =
            RolloutResult { sent: sent.into_inner(), not_served: not_served.len() as u64, status };
        println!("{} sent, {} not served, {}", result.sent, result.not_served, result.status);
        self.print_rollout_lines();
        self.print_slow_lines();
        let ids = not_served.iter().map(String::as_str).collect();
        print_request_lines(self.daemons.iter().map(|daemon| Path::new(&daemon.log)), &ids);
        (self, result)
    }

    /// Prints what the daemons have logged about roll-outs, with the counts that decided.
    fn print_rollout_lines(&self) {
        for daemon in &self.daemons {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            let lines = log.lines().filter(|line| line.contains(r#""payload":"roll-out""#));
            lines.for_each(|line| println!("{}: {line}", daemon.peers));
        }
    }

    /// Prints the request lines of responses that came late enough to count as bad.
    fn print_slow_lines(&self) {
        for daemon in &self.daemons {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            let requests = log.lines().filter_map(RequestLine::parse);
            let slow = requests.filter(|one| one.total_ms >= SLOW_MS && !one.is_stream);
            slow.for_each(|one| println!("{} ms: {}", one.total_ms, one.steps));
        }
    }

    /// Orders the target version and lists its endpoints.
    fn begin(&self) {
        self.order("v2");
        self.list_target("v2");
    }

    /// Waits for a final state.
    fn wait_for_end(&self) {
        wait_for("the end of the roll-out", || ["completed", "reverted"].contains(&&*self.state()));
    }

    /// Checks that the target version got no more requests than a bad one may.
    fn check_exposure(&self, result: &RolloutResult) {
        let exposed = Self::requests_at(&self.target);
        let allowed = result.sent as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
        println!("{exposed} at the bad version, {allowed:.0} allowed");
        expect_that!(exposed as f64, le(allowed));
    }
}

/// Checks that a version that serves badly is reverted by the deadline, within its exposure, and that
/// few clients notice.
fn check_bad_version(manner: EndpointManner, turns_bad_after: Duration) {
    let (site, result) = RolloutSite::start().play(|site| {
        let began = Instant::now();
        site.begin();
        std::thread::sleep(turns_bad_after);
        site.set_target(manner);
        site.wait_for_end();
        expect_that!(began.elapsed(), le(DURATION));
        std::thread::sleep(Duration::from_secs(1));
    });
    expect_that!(result.status, eq(&json!({"state": "reverted", "target-version": "v2"})));
    site.check_exposure(&result);
    let at_end = RolloutSite::requests_at(&site.target);
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(RolloutSite::requests_at(&site.target), eq(at_end));
    expect_that!(result.not_served as f64, le(result.sent as f64 * 0.02));
}

macro_rules! bad_versions_are_reverted {
    ($($name:ident: $manner:expr, $after_ms:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check_bad_version($manner, Duration::from_millis($after_ms));
        }
    )*};
}

bad_versions_are_reverted! {
    version_that_fails_is_reverted: EndpointManner::Fail, 0;
    version_that_closes_connections_is_reverted: EndpointManner::Lose, 0;
    version_that_is_slow_is_reverted: EndpointManner::Delayed(150), 0;
    version_that_fails_later_is_reverted: EndpointManner::Fail, 2_000;
}

/// All requests must end up at the good version before the state says so, since then the former
/// endpoints stop at once.
#[googletest::test]
fn good_version_is_completed_by_the_deadline() {
    let mut former_at_end = 0;
    let (site, result) = RolloutSite::start().play(|site| {
        let began = Instant::now();
        site.begin();
        wait_for("active", || site.state() == "active");
        site.wait_for_end();
        expect_that!(began.elapsed(), le(DURATION));
        former_at_end = RolloutSite::requests_at(&site.former);
        std::thread::sleep(Duration::from_secs(1));
    });
    expect_that!(result.status, eq(&json!({"state": "completed", "target-version": "v2"})));
    expect_that!(RolloutSite::requests_at(&site.former), eq(former_at_end));
    expect_that!(result.not_served, eq(0));
}

/// Each daemon stops alone on what it and its peers have seen.
#[googletest::test]
fn bad_version_is_stopped_while_the_store_is_down() {
    let site = RolloutSite::start();
    let (site, result) = site.play(|site| {
        site.begin();
        wait_for("first requests at the new version", || {
            RolloutSite::requests_at(&site.target) > 0
        });
        site.platform.set_down(true);
        site.set_target(EndpointManner::Fail);
        std::thread::sleep(ROLLBACK_LIMIT);
        let stopped_at = RolloutSite::requests_at(&site.target);
        std::thread::sleep(Duration::from_secs(1));
        expect_that!(RolloutSite::requests_at(&site.target), eq(stopped_at));
        site.platform.set_down(false);
        site.wait_for_end();
    });
    expect_that!(result.status["state"], eq(&json!("reverted")));
    site.check_exposure(&result);
}

/// Plays a roll-out in which the leader is killed, and started again, once the state is `active` and
/// `delay` has passed.
fn play_with_killed_leader(
    manner: EndpointManner,
    delay: Duration,
) -> (RolloutSite, RolloutResult) {
    let site = RolloutSite::start();
    site.set_target(manner);
    site.play(|site| {
        site.begin();
        wait_for("active", || site.state() == "active");
        std::thread::sleep(delay);
        site.leader().expect("a leader").kill_and_restart();
        site.wait_for_end();
        std::thread::sleep(Duration::from_millis(500));
    })
}

macro_rules! leader_is_killed {
    ($($name:ident: $manner:expr, $delay_ms:expr, $states:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let delay = Duration::from_millis($delay_ms);
            let (site, result) = play_with_killed_leader($manner, delay);
            expect_that!(result.status["state"].as_str(), some(any_of_states($states)));
            if $manner == EndpointManner::Fail {
                site.check_exposure(&result);
            }
        }
    )*};
}

fn any_of_states(states: &'static [&'static str]) -> impl for<'a> Matcher<&'a str> {
    predicate(move |state: &str| states.contains(&state))
}

leader_is_killed! {
    good_version_whose_leader_is_killed_at_first: EndpointManner::Serve, 0, &["completed"];
    good_version_whose_leader_is_killed_while_the_share_grows:
        EndpointManner::Serve, 3_500, &["completed"];
    bad_version_whose_leader_is_killed_at_first: EndpointManner::Fail, 0, &["reverted"];
}

/// All daemons lose power in the middle of the roll-out of a bad version.
#[googletest::test]
fn bad_version_is_reverted_after_all_daemons_were_killed() {
    let site = RolloutSite::start();
    let (site, result) = site.play(|site| {
        site.begin();
        wait_for("active", || site.state() == "active");
        std::thread::sleep(Duration::from_millis(500));
        site.daemons.iter_mut().for_each(Gateway::kill);
        site.set_target(EndpointManner::Fail);
        site.daemons.iter_mut().for_each(Gateway::start_again);
        site.wait_for_end();
    });
    expect_that!(result.status["state"], eq(&json!("reverted")));
    site.check_exposure(&result);
}

/// Waits while the clients go on, then checks that the clients noticed nothing.
fn play_unaffected(act: impl FnOnce(&mut RolloutSite)) -> (RolloutSite, RolloutResult) {
    let (site, result) = RolloutSite::start().play(act);
    expect_that!(result.not_served, eq(0));
    (site, result)
}

macro_rules! malformed_orders_are_ignored {
    ($($name:ident: $order:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let (site, result) = play_unaffected(|site| {
                site.platform.put("rollouts", "pool", $order);
                std::thread::sleep(Duration::from_secs(1));
            });
            expect_that!(result.status, eq(&Value::Null));
            expect_that!(RolloutSite::requests_at(&site.former), ge(result.sent));
        }
    )*};
}

malformed_orders_are_ignored! {
    order_without_a_version_is_ignored: json!({"service": "pool", "duration-s": 6});
    order_with_a_negative_duration_is_ignored:
        json!({"service": "pool", "target-version": "v2", "duration-s": -1});
    order_for_another_service_is_ignored:
        json!({"service": "other", "target-version": "v2", "duration-s": 6});
    order_that_is_no_object_is_ignored: json!([1, 2]);
}

/// The roll-out is over at once, and no request is refused meanwhile.
#[googletest::test]
fn order_for_the_running_version_is_completed() {
    let (_site, result) = play_unaffected(|site| {
        site.order("v1");
        site.wait_for_end();
    });
    expect_that!(result.status, eq(&json!({"state": "completed", "target-version": "v1"})));
}

#[googletest::test]
fn version_without_endpoints_is_reverted_at_the_deadline() {
    let (_site, result) = play_unaffected(|site| {
        let began = Instant::now();
        site.order("v2");
        wait_for("active", || site.state() == "active");
        site.wait_for_end();
        expect_that!(began.elapsed(), ge(DURATION));
    });
    expect_that!(result.status["state"], eq(&json!("reverted")));
}

/// A version whose order is removed gets no further requests.
#[googletest::test]
fn withdrawn_version_is_no_longer_used() {
    let (_site, _) = play_unaffected(|site| {
        site.begin();
        wait_for("first requests at the new version", || {
            RolloutSite::requests_at(&site.target) > 0
        });
        site.platform.remove("rollouts", "pool");
        std::thread::sleep(Duration::from_secs(1));
        let withdrawn_at = RolloutSite::requests_at(&site.target);
        std::thread::sleep(Duration::from_secs(2));
        expect_that!(RolloutSite::requests_at(&site.target), eq(withdrawn_at));
    });
}

/// The state names the version of the newest order.
#[googletest::test]
fn order_that_replaces_another_is_carried_out() {
    let (_site, result) = play_unaffected(|site| {
        site.order("v2");
        wait_for("active", || site.state() == "active");
        site.order("v3");
        site.list_target("v3");
        wait_for("the state of the new order", || site.status()["target-version"] == json!("v3"));
        site.wait_for_end();
    });
    expect_that!(result.status, eq(&json!({"state": "completed", "target-version": "v3"})));
}

/// A second roll-out of a service follows a finished one.
#[googletest::test]
fn roll_out_after_a_reverted_one_is_completed() {
    let site = RolloutSite::start();
    site.set_target(EndpointManner::Fail);
    let (_site, result) = site.play(|site| {
        site.begin();
        site.wait_for_end();
        expect_that!(site.state(), eq("reverted"));
        site.set_target(EndpointManner::Serve);
        site.order("v3");
        site.list_target("v3");
        wait_for("the state of the new order", || site.status()["target-version"] == json!("v3"));
        site.wait_for_end();
    });
    expect_that!(result.status, eq(&json!({"state": "completed", "target-version": "v3"})));
}

/// The store carries out writes whose responses are lost.
#[googletest::test]
fn states_are_recorded_although_responses_are_lost() {
    let (_site, result) = play_unaffected(|site| {
        site.platform.lose_answers(3);
        site.begin();
        site.wait_for_end();
    });
    expect_that!(result.status["state"], eq(&json!("completed")));
}
