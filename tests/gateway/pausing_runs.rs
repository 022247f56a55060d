//! A run at work is given up for something better only: a request whose endpoint pauses must be served by it if
//! no other endpoint serves it sooner, and one whose run never goes on must be served by another endpoint.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::event,
    gateway_site::{Gateway, ask, configuration},
    pausing_endpoint::{
        AfterPause, EVENTS, PLAIN_BODY, PausePlace, PausePlan, PausingEndpoint, RunCounts,
    },
    platform_standin::PlatformStandin,
};

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 4;
const ATTEMPTS: u32 = 3;
/// Longer than endpoints may be silent on these routes, and shorter than clients wait.
const PAUSE: Duration = Duration::from_millis(700);
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// What the users' fleets allow.
const USUAL_RETRIES: (f64, u32) = (0.2, 54);
const AMPLE_RETRIES: (f64, u32) = (0.2, 50_000);
const NO_RETRIES: (f64, u32) = (0.0, 0);

/// Endpoints, how they pause, and the retries that the fleet may make.
#[derive(Clone, Copy, Debug)]
struct PauseCase {
    daemons: usize,
    endpoints: usize,
    /// Number of software versions of the endpoints.
    versions: usize,
    plan: PausePlan,
    /// `retry-ratio` and `retry-slack`.
    retries: (f64, u32),
    route: &'static str,
    /// Whether all endpoints but the first refuse everything as full.
    others_full: bool,
}

/// What clients got.
#[derive(Debug, Default)]
struct PauseOutcome {
    asked: usize,
    /// Whole answers.
    whole: usize,
    statuses: Vec<u16>,
    runs: usize,
    given_up: usize,
    slowest: Duration,
}

const STREAM_PAUSES: PauseCase = PauseCase {
    daemons: 4,
    endpoints: 6,
    versions: 1,
    plan: PausePlan {
        place: PausePlace::BetweenEvents,
        time: Some(PAUSE),
        percent: 100,
        pauses_again: false,
        event_pause: EVENT_PAUSE,
        then: AfterPause::GoOn,
        ends_with_connection: false,
    },
    retries: USUAL_RETRIES,
    route: "stream",
    others_full: false,
};

const fn at(place: PausePlace, case: PauseCase) -> PauseCase {
    PauseCase { plan: PausePlan { place, ..case.plan }, ..case }
}

const fn hangs(percent: u64, case: PauseCase) -> PauseCase {
    PauseCase { plan: PausePlan { time: None, percent, ..case.plan }, ..case }
}

impl PauseCase {
    fn play(self) -> PauseOutcome {
        let platform = PlatformStandin::start_with(3 * self.daemons);
        platform.put("config", "main", self.configuration());
        let counts = Arc::<RunCounts>::default();
        let endpoints: Vec<PausingEndpoint> = (0..self.endpoints)
            .map(|place| PausingEndpoint::start(&format!("i-{place}"), self.plan, &counts))
            .collect();
        for (place, endpoint) in endpoints.iter().enumerate() {
            endpoint.set_full(self.others_full && place > 0);
            platform.put("servers", &endpoint.id, self.entry(place, endpoint));
        }
        let daemons = self.start_daemons(&platform);
        let addresses: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.clients).collect();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let address = addresses[client % addresses.len()];
                thread::spawn(move || self.run_client(client, address))
            })
            .collect();
        let mut outcome = PauseOutcome::default();
        for client in clients {
            outcome.add(client.join().expect("client"));
        }
        outcome.runs = counts.runs.load(Ordering::SeqCst);
        outcome.given_up = counts.given_up.load(Ordering::SeqCst);
        println!("{outcome:?}");
        outcome
    }

    fn configuration(self) -> Value {
        let mut stored = configuration(3, &["key-1"]);
        for route in stored["routes"].as_array_mut().expect("routes") {
            if route["attempts"] != 1 {
                route["attempts"] = json!(ATTEMPTS);
            }
        }
        stored
    }

    fn entry(self, place: usize, endpoint: &PausingEndpoint) -> Value {
        json!({
            "service": "pool", "address": endpoint.address, "zone": "hall-a",
            "version": format!("v{}", place % self.versions), "slots": 8, "state": "ready",
            "cold-left-ms": 0, "seq": 1,
        })
    }

    fn start_daemons(self, platform: &PlatformStandin) -> Vec<Gateway> {
        let (ratio, slack) = self.retries;
        let bounds = json!({"retry-ratio": ratio, "retry-slack": slack});
        let mut daemons: Vec<Gateway> = Vec::new();
        for place in 0..self.daemons {
            let seeds: Vec<SocketAddr> = daemons.iter().take(2).map(|one| one.peers).collect();
            let name = format!("edge-{place}");
            daemons.push(Gateway::start_with(&name, platform, &seeds, bounds.clone()));
        }
        daemons.iter().for_each(Gateway::wait_ready);
        daemons
    }

    fn run_client(self, client: usize, address: SocketAddr) -> PauseOutcome {
        let mut outcome = PauseOutcome::default();
        let whole_stream: String = (1..=EVENTS).map(event).collect();
        for number in 0..REQUESTS_PER_CLIENT {
            let (id, path) = (format!("r-{client}-{number}"), format!("/{}/one", self.route));
            let begun = Instant::now();
            let answer = ask(address, &path, &id, "key-1", &[], b"");
            outcome.slowest = outcome.slowest.max(begun.elapsed());
            outcome.asked += 1;
            let body = answer.text();
            let is_whole = body == PLAIN_BODY || body == whole_stream;
            outcome.whole += usize::from(answer.status == 200 && answer.whole && is_whole);
            outcome.statuses.push(answer.status);
        }
        outcome
    }
}

impl PauseOutcome {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.whole += other.whole;
        self.statuses.extend(other.statuses);
        self.slowest = self.slowest.max(other.slowest);
    }
}

macro_rules! request_whose_endpoint_pauses_is_served {
    ($($name:ident: $case:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let outcome = $case.play();
            expect_that!(outcome.whole, eq(outcome.asked));
        }
    )*};
}

request_whose_endpoint_pauses_is_served! {
    stream_that_pauses_is_served: STREAM_PAUSES;
    stream_that_pauses_is_served_without_retries: PauseCase { retries: NO_RETRIES, ..STREAM_PAUSES };
    stream_that_pauses_is_served_by_the_only_endpoint:
        PauseCase { endpoints: 1, retries: AMPLE_RETRIES, ..STREAM_PAUSES };
    stream_that_pauses_is_served_by_the_only_endpoint_of_its_version:
        PauseCase { endpoints: 2, versions: 2, retries: AMPLE_RETRIES, ..STREAM_PAUSES };
    stream_that_pauses_is_served_while_others_are_full:
        PauseCase { endpoints: 2, others_full: true, retries: AMPLE_RETRIES, ..STREAM_PAUSES };
    stream_that_pauses_in_each_run_is_served: PauseCase {
        retries: AMPLE_RETRIES, plan: PausePlan { pauses_again: true, ..STREAM_PAUSES.plan },
        ..STREAM_PAUSES
    };
    stream_that_pauses_inside_an_event_is_served_without_retries:
        at(PausePlace::InsideEvent, PauseCase { retries: NO_RETRIES, ..STREAM_PAUSES });
    stream_that_pauses_before_its_first_event_is_served: at(PausePlace::AfterHead, STREAM_PAUSES);
    stream_that_pauses_before_its_head_is_served_without_retries:
        at(PausePlace::BeforeHead, PauseCase { retries: NO_RETRIES, ..STREAM_PAUSES });
    plain_request_that_pauses_before_its_head_is_served_without_retries:
        at(PausePlace::BeforeHead, PauseCase { retries: NO_RETRIES, route: "plain", ..STREAM_PAUSES });
    plain_request_that_pauses_before_its_head_is_served:
        at(PausePlace::BeforeHead, PauseCase { route: "plain", ..STREAM_PAUSES });
    plain_request_that_pauses_before_its_body_is_served:
        at(PausePlace::AfterHead, PauseCase { route: "plain", ..STREAM_PAUSES });
    stream_that_hangs_is_served_by_another_endpoint:
        hangs(20, PauseCase { retries: AMPLE_RETRIES, ..STREAM_PAUSES });
    stream_that_hangs_before_its_first_event_is_served_by_another_endpoint:
        at(PausePlace::AfterHead, hangs(20, PauseCase { retries: AMPLE_RETRIES, ..STREAM_PAUSES }));
    plain_request_that_hangs_is_served_by_another_endpoint: at(
        PausePlace::BeforeHead,
        hangs(20, PauseCase { retries: AMPLE_RETRIES, route: "plain", ..STREAM_PAUSES })
    );
    stream_that_may_not_be_resumed_is_served: PauseCase { route: "rigid", ..STREAM_PAUSES };
}
