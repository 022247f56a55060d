//! A fleet of real daemons in front of endpoints whose streams pause once, for longer than their route's gap
//! target and less than clients wait. Few retries are allowed, and all streams must arrive whole.
//!
//! `SIGNAL_DAEMONS=78 cargo test --test gateway pausing_fleet` runs another number of daemons. With
//! `PAUSING_PROGRAM=FILE` all of them run that program, such as the last release's, and nothing is checked.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    endpoint_standin::event,
    fleet_places::acquire_all_fleet_slots,
    gateway_site::{Gateway, configuration, request_bytes, try_send_raw},
    pausing_endpoint::{AfterPause, EVENTS, PausePlace, PausePlan, PausingEndpoint, RunCounts},
    platform_standin::PlatformStandin,
    signal_fleet::daemon_count,
};

/// Environment variable with an executable file that all daemons run.
const PROGRAM: &str = "PAUSING_PROGRAM";
const ENDPOINTS: usize = 24;
const CLIENTS: u64 = 40;
const STREAMS_PER_CLIENT: usize = 10;
/// Longer than endpoints may be silent on this route, and shorter than clients wait.
const PAUSE: Duration = Duration::from_millis(700);
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Part of the requests that the fleet may send again, and its reserve beyond that.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u32 = 54;
/// Concurrent calls that the store serves for each daemon.
const CALLS_PER_DAEMON: usize = 3;

/// The running daemons and endpoints.
struct PausingFleet {
    daemons: Vec<Gateway>,
    counts: Arc<RunCounts>,
    _endpoints: Vec<PausingEndpoint>,
    _platform: PlatformStandin,
}

fn plan(percent: u64) -> PausePlan {
    PausePlan {
        place: PausePlace::BetweenEvents,
        time: Some(PAUSE),
        percent,
        pauses_again: false,
        event_pause: EVENT_PAUSE,
        then: AfterPause::GoOn,
        ends_with_connection: false,
    }
}

fn named_program() -> Option<PathBuf> {
    std::env::var_os(PROGRAM).map(PathBuf::from)
}

fn start_daemons(platform: &PlatformStandin) -> Vec<Gateway> {
    let own_program = PathBuf::from(env!("CARGO_BIN_EXE_willowarchd"));
    let program = named_program().unwrap_or(own_program);
    let bounds = json!({"retry-ratio": RETRY_RATIO, "retry-slack": RETRY_SLACK});
    let mut daemons: Vec<Gateway> = Vec::new();
    for place in 0..daemon_count() {
        let seeds: Vec<SocketAddr> = daemons.iter().take(3).map(|one| one.peers).collect();
        let (name, store) = (format!("pausing-{place}"), platform.address);
        daemons.push(Gateway::start_program(&program, &name, store, &seeds, bounds.clone()));
    }
    daemons.iter().for_each(Gateway::wait_ready);
    daemons
}

impl PausingFleet {
    fn start(plan: PausePlan) -> Self {
        let platform = PlatformStandin::start_with(daemon_count() * CALLS_PER_DAEMON);
        platform.put("config", "main", configuration(3, &["key-1"]));
        let counts = Arc::<RunCounts>::default();
        let start = |place| PausingEndpoint::start(&format!("i-{place}"), plan, &counts);
        let endpoints: Vec<PausingEndpoint> = (0..ENDPOINTS).map(start).collect();
        for endpoint in &endpoints {
            let entry = json!({
                "service": "pool", "address": endpoint.address, "zone": "hall-a",
                "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
            });
            platform.put("servers", &endpoint.id, entry);
        }
        let daemons = start_daemons(&platform);
        Self { daemons, counts, _endpoints: endpoints, _platform: platform }
    }

    /// Number of streams that arrived whole at one client.
    fn run_client(&self, number: u64) -> usize {
        let mut rng = SmallRng::seed_from_u64(number);
        let whole_stream: String = (1..=EVENTS).map(event).collect();
        let is_whole = |count: usize| {
            let daemon = &self.daemons[rng.random_range(0..self.daemons.len())];
            let id = format!("{number}-{count}");
            let bytes = request_bytes("/stream/one", &id, "key-1", &[], b"");
            let answer = try_send_raw(daemon.clients, &bytes);
            answer.is_ok_and(|one| one.status == 200 && one.whole && one.text() == whole_stream)
        };
        (0..STREAMS_PER_CLIENT).map(is_whole).filter(|is_whole| *is_whole).count()
    }
}

/// Sends streams to all daemons and checks that each arrives whole.
fn play(percent: u64) {
    let _places = acquire_all_fleet_slots();
    let fleet = PausingFleet::start(plan(percent));
    let whole = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (fleet, whole) = (&fleet, &whole);
            scope.spawn(move || whole.fetch_add(fleet.run_client(number), Ordering::SeqCst));
        }
    });
    let (whole, sent) = (whole.into_inner(), CLIENTS as usize * STREAMS_PER_CLIENT);
    let (runs, given_up) = (&fleet.counts.runs, &fleet.counts.given_up);
    println!(
        "{} daemons: {whole} of {sent} streams whole, {} runs, {} given up at work",
        fleet.daemons.len(),
        runs.load(Ordering::SeqCst),
        given_up.load(Ordering::SeqCst)
    );
    if named_program().is_none() {
        expect_that!(whole, eq(sent));
    }
}

macro_rules! streams_that_pause_arrive_whole {
    ($($name:ident: $percent:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($percent);
        }
    )*};
}

streams_that_pause_arrive_whole! {
    fleet_whose_streams_all_pause: 100;
    fleet_whose_streams_pause_three_in_ten_times: 30;
}
