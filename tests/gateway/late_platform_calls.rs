//! A leader that is cut off from the platform gives its call up, and another daemon acquires the lease. The
//! call was closed with its connection in order, so the kernel went on sending it, and the platform got it with
//! a lower fence after calls of the successor (rule ONE).

use std::{
    future::poll_fn,
    io::Read,
    net::{Ipv4Addr, SocketAddr},
    pin::pin,
    task::Poll,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use hyper::Method;
use socket2::{Domain, Socket, Type};
use tokio::{runtime::Builder, task::LocalSet, time::timeout};
use willowarch::{
    boot_clock,
    http::api_client::ApiClient,
    platform::cloud::{CloudClient, EndpointOrder, LeaseHolder},
};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{configuration, endpoint_entry, wait_for},
    held_link::HeldLink,
    leader_tasks::{check_reports, reports},
    linked_daemon::LinkedDaemon,
    platform_standin::PlatformStandin,
};

/// Time that a call which was kept by the link needs to reach the platform, with much to spare.
const ARRIVAL_TIME: Duration = Duration::from_millis(800);
/// Longest time of a call to the cloud API (`platform::cloud`).
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Duration of the lease in the tests without daemons.
const LEASE: Duration = Duration::from_secs(3);
/// Time after which a frozen process is past the limit of its call.
const FREEZE: Duration = Duration::from_millis(2_500);
/// Receive buffer of a machine behind a link that loses packets, in bytes: far smaller than the call.
const SMALL_BUFFER: usize = 2_048;

/// What happens to the leader while its report is on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderEnd {
    /// It is cut off from the platform, and lives on.
    CutOff,
    /// It stops in order: it releases the lease.
    Stopped,
    /// It is killed.
    Killed,
    /// It is killed and started again at its address: it acquires the lease at once.
    Restarted,
}

fn newest_window(platform: &PlatformStandin) -> Option<u64> {
    reports(platform).iter().filter_map(|report| report.body["window"].as_u64()).max()
}

/// Waits until the leader has written a report into its lease that it has not sent yet; returns its name.
fn wait_for_unsent_report(platform: &PlatformStandin) -> String {
    let mut holder = String::new();
    let until = Instant::now() + Duration::from_secs(15);
    while holder.is_empty() {
        assert!(Instant::now() < until, "no report in the lease");
        let record = platform.get("gateway-leases", "duties").unwrap_or_default();
        if record["report"]["window"].as_u64() > newest_window(platform) {
            holder = record["holder"].as_str().unwrap_or_default().to_owned();
        }
        thread::sleep(Duration::from_millis(1));
    }
    holder
}

fn check_order_of_fences(end: LeaderEnd) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let first = LinkedDaemon::start("edge-1", &platform, &[]);
    first.gateway.wait_ready();
    let second = LinkedDaemon::start("edge-2", &platform, &[first.gateway.peers]);
    second.gateway.wait_ready();
    wait_for("two reports", || reports(&platform).len() >= 2);
    let holder = wait_for_unsent_report(&platform);
    let mut leader = if first.name == holder { first } else { second };
    match end {
        LeaderEnd::CutOff => {
            leader.store.hold_all();
            leader.cloud.hold_all();
        }
        LeaderEnd::Stopped | LeaderEnd::Killed => leader.cloud.hold_all(),
        LeaderEnd::Restarted => leader.cloud.hold_open_connections(),
    }
    wait_for("a report on the way", || leader.cloud.kept_bytes() > 0);
    let fence = reports(&platform).last().expect("a report").fence;
    match end {
        LeaderEnd::CutOff => {}
        LeaderEnd::Stopped => leader.gateway.signal("-TERM"),
        LeaderEnd::Killed => leader.gateway.kill(),
        LeaderEnd::Restarted => leader.gateway.kill_and_restart(),
    }
    wait_for("a report of the next holder", || {
        reports(&platform).last().expect("a report").fence > fence
    });
    if end == LeaderEnd::Stopped {
        wait_for("the leader's end", || leader.gateway.has_ended());
    }
    leader.store.pass_on();
    leader.cloud.pass_on();
    thread::sleep(ARRIVAL_TIME);
    check_reports(&reports(&platform));
}

macro_rules! leader_cases {
    ($($name:ident: $end:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check_order_of_fences($end);
        }
    )*};
}

leader_cases! {
    report_that_timed_out_arrives_after_the_next_holders: LeaderEnd::CutOff;
    report_of_a_stopped_leader_arrives_after_the_next_holders: LeaderEnd::Stopped;
    report_of_a_killed_leader_arrives_after_the_next_holders: LeaderEnd::Killed;
    report_of_a_former_process_arrives_after_the_next_holders: LeaderEnd::Restarted;
}

fn order(service: &str) -> EndpointOrder {
    let (service, zone) = (service.into(), "hall-a".into());
    EndpointOrder { service, zone, reclaimable: false, count: 3 }
}

fn holder() -> LeaseHolder {
    LeaseHolder { name: "edge-1".into(), fence: 1, ends_at: boot_clock::now() + LEASE }
}

/// Runs `task` as a daemon runs its services.
fn run_local(task: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    LocalSet::new().block_on(&runtime, task);
}

/// The task that makes the call ends, as on a lost lease or a changed configuration.
#[googletest::test]
fn order_whose_caller_ended_arrives_later() {
    let platform = PlatformStandin::start();
    let link = HeldLink::start(platform.address);
    run_local(async {
        let cloud = CloudClient::new(link.address);
        cloud.order(&holder(), &order("pool")).await.expect("the first order");
        link.hold_all();
        let limit = Duration::from_millis(200);
        let given_up = timeout(limit, cloud.order(&holder(), &order("pool"))).await;
        expect_that!(given_up.is_err(), eq(true));
        // The client's connection task ends.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    expect_that!(link.kept_bytes(), gt(0));
    link.pass_on();
    thread::sleep(ARRIVAL_TIME);
    expect_that!(platform.cloud_calls().len(), eq(1));
}

/// Listener whose connections take only a little before they are read, like a peer whose acknowledgements
/// are lost.
fn bind_narrow_listener() -> std::net::TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("buffer size");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&address.into()).expect("bind");
    socket.listen(4).expect("listen");
    socket.into()
}

/// The process is frozen while the call is on the way: it can neither time out nor reset its connection.
#[googletest::test]
fn order_of_a_frozen_process_arrives_after_its_time_limit() {
    let listener = bind_narrow_listener();
    let address = listener.local_addr().expect("address");
    let accepting = thread::spawn(move || listener.accept().expect("accept").0);
    let name = "s".repeat(4 * SMALL_BUFFER);
    run_local(async {
        let cloud = CloudClient::new(address);
        let (holder, order) = (holder(), order(&name));
        let mut call = pin!(cloud.order(&holder, &order));
        let sent = timeout(Duration::from_millis(100), call.as_mut()).await;
        expect_that!(sent.is_err(), eq(true));
        // The runtime stands still, as in a frozen process.
        thread::sleep(FREEZE);
        let mut stream = accepting.join().expect("accepted");
        stream.set_read_timeout(Some(ARRIVAL_TIME)).expect("timeout");
        let mut received = Vec::new();
        // Ends with an error when nothing more comes, or at a reset.
        let _ = stream.read_to_end(&mut received);
        let text = String::from_utf8_lossy(&received);
        expect_that!(text, contains_substring("POST /scale"));
        expect_that!(text, not(contains_substring("desired")));
    });
}

/// The VM is suspended while the call waits for its connection: it was written when others held the lease.
#[googletest::test]
fn order_that_waited_for_a_connection_is_sent_after_its_time_limit() {
    let platform = PlatformStandin::start();
    run_local(async {
        let cloud = CloudClient::new(platform.address);
        let (holder, order) = (holder(), order("pool"));
        let mut call = pin!(cloud.order(&holder, &order));
        let is_waiting = poll_fn(|task| Poll::Ready(call.as_mut().poll(task).is_pending())).await;
        expect_that!(is_waiting, eq(true));
        boot_clock::simulate_suspension(2 * CALL_LIMIT);
        expect_that!(call.await.is_err(), eq(true));
    });
    thread::sleep(ARRIVAL_TIME);
    expect_that!(platform.cloud_calls().len(), eq(0));
}

/// A call that began just before the lease ends was on the way longer than the lease.
#[googletest::test]
fn order_outlasts_a_lease_that_ends() {
    let platform = PlatformStandin::start();
    let link = HeldLink::start(platform.address);
    link.hold_all();
    run_local(async {
        let cloud = CloudClient::new(link.address);
        let ends_in = CALL_LIMIT / 5;
        let holder = LeaseHolder { ends_at: boot_clock::now() + ends_in, ..holder() };
        let begun = Instant::now();
        expect_that!(cloud.order(&holder, &order("pool")).await.is_err(), eq(true));
        expect_that!(begun.elapsed(), lt(CALL_LIMIT / 2));
    });
}

/// The kernel gives such a connection up before the call times out; the client took it for a broken one, and went on
/// using others that were silent, too.
#[googletest::test]
fn call_that_is_not_acknowledged_is_taken_for_one_on_a_broken_connection() {
    let listener = bind_narrow_listener();
    let address = listener.local_addr().expect("address");
    run_local(async {
        let api = ApiClient::new(address);
        let body = "b".repeat(4 * SMALL_BUFFER);
        let call = api.send("write", Method::POST, "/", &body).expect("a call");
        let error = api.fetch(call, 5 * CALL_LIMIT).await.expect_err("no response");
        expect_that!(error.is_time_out(), eq(true), "{error}");
    });
}
