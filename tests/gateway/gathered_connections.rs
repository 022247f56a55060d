//! Requests are served as before while most new connections go to one daemon, which the load balancer
//! chooses for seconds, and then to another one.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    endpoint_standin::EndpointManner,
    fleet_places::acquire_fleet_slot,
    gateway_site::{request_bytes, try_send_raw},
    retry_fleet::RetryFleet,
};

/// Number of daemons if the environment variable is not set.
const DEFAULT_DAEMONS: usize = 9;
const CLIENTS: u64 = 48;
/// Pause between two connections of a client, in milliseconds; while they gather, clients open them twice as often.
const PAUSE_MS: std::ops::Range<u64> = 300..500;
/// Time that an endpoint takes for a request, in milliseconds.
const PROCESSING_MS: u64 = 20;
/// Fraction of the new connections that go to one daemon.
const GATHERED: f64 = 0.9;
/// When connections begin to gather, when they go to another daemon, and when clients end.
const GATHERED_FROM: Duration = Duration::from_secs(4);
const OTHER_FROM: Duration = Duration::from_secs(9);
const LOAD_TIME: Duration = Duration::from_secs(13);
/// Time after which requests have to be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Part of the fraction served before that has to be served while connections gather.
const REQUIRED: f64 = 0.75;
/// Units of a request, and those per second that the account may use: 1.5 times what clients ask for while
/// connections gather.
const QUOTA: u64 = 100 * CLIENTS * 5 * 3 / 2;
const BURST: u64 = QUOTA / 2;

/// A request that a daemon has read.
#[derive(Clone, Copy, Debug)]
struct ReadRequest {
    sent: Duration,
    is_served: bool,
}

fn run_client(
    fleet: &RetryFleet,
    number: u64,
    begun: Instant,
    next_id: &AtomicU64,
    requests: &Mutex<Vec<ReadRequest>>,
) {
    let mut rng = SmallRng::seed_from_u64(number);
    let daemons = fleet.addresses();
    while begun.elapsed() < LOAD_TIME {
        let sent = begun.elapsed();
        let is_gathered = sent >= GATHERED_FROM && rng.random_bool(GATHERED);
        let place = match is_gathered {
            true => usize::from(sent >= OTHER_FROM),
            false => rng.random_range(0..daemons.len()),
        };
        let id = format!("gathered-{}", next_id.fetch_add(1, Ordering::SeqCst));
        let path = format!("/plain/{id}/");
        // A refused connection has read no request.
        let answer = try_send_raw(daemons[place], &request_bytes(&path, &id, "key-1", &[], b""));
        if let Ok(answer) = answer.as_ref().map(|answer| answer.status) {
            let request = ReadRequest { sent, is_served: answer == 200 };
            requests.lock().expect("lock").push(request);
        }
        let pause_ms = rng.random_range(PAUSE_MS);
        let pause_ms = if sent >= GATHERED_FROM { pause_ms / 2 } else { pause_ms };
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// Number of requests sent in a span, and fraction of them that was served.
fn served_in(requests: &[ReadRequest], span: std::ops::Range<Duration>) -> (usize, f64) {
    let sent = requests.iter().filter(|request| span.contains(&request.sent));
    let served = sent.clone().filter(|request| request.is_served).count();
    let sent = sent.count();
    (sent, served as f64 / sent.max(1) as f64)
}

/// Plays the load; `ends`: whether the first daemon stops in order when connections go to another one.
fn check(ends: bool) {
    let _place = acquire_fleet_slot();
    let named = std::env::var("GATHER_DAEMONS").ok().and_then(|text| text.parse().ok());
    let fleet = RetryFleet::start(named.unwrap_or(DEFAULT_DAEMONS));
    fleet.set_manner(EndpointManner::Delayed(PROCESSING_MS));
    fleet.limit_account(QUOTA, BURST);
    let (requests, next_id) = (Mutex::default(), AtomicU64::new(0));
    let begun = Instant::now();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (fleet, requests, next_id) = (&fleet, &requests, &next_id);
            scope.spawn(move || run_client(fleet, number, begun, next_id, requests));
        }
        thread::sleep(OTHER_FROM.saturating_sub(begun.elapsed()));
        if ends {
            fleet.stop(0);
        }
    });
    let requests = requests.into_inner().expect("lock");
    let (before, served_before) = served_in(&requests, Duration::ZERO..GATHERED_FROM);
    let spans =
        [(GATHERED_FROM + CONTACT_TIME, OTHER_FROM), (OTHER_FROM + CONTACT_TIME, LOAD_TIME)];
    for (from, to) in spans {
        let (sent, served) = served_in(&requests, from..to);
        println!(
            "{served_before:.3} of {before} served before, {served:.3} of {sent} from {from:?} on"
        );
        expect_that!(sent, ge(20));
        expect_that!(served, ge(served_before * REQUIRED));
    }
}

#[googletest::test]
fn requests_are_served_while_most_connections_go_to_one_daemon() {
    check(false);
}

#[googletest::test]
fn requests_are_served_while_the_daemon_with_most_connections_stops() {
    check(true);
}
