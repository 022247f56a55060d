//! Part of the soak test with endpoints whose responses pause, or never go on: single ones, or all together.
//! They do so beside all other faults, and then alone, beside configuration changes only: each request that
//! may be repeated, and each stream that may be resumed, must be served then.

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    endpoint_standin::EndpointStandin, paused_responses::ResponsePause,
    pausing_endpoint::PausePlace, soak_clients::Exchange,
};

/// How long a response pauses, in milliseconds: less than a client waits.
const RESPONSE_PAUSE_MS: Range<u64> = 200..1_500;
/// How long endpoints pause in each response, in milliseconds.
const PAUSING_MS: Range<u64> = 200..1_500;
/// Time in which no response pauses, in milliseconds.
const QUIET_MS: Range<u64> = 50..600;
/// Places of the pauses.
const PLACES: [PausePlace; 4] = [
    PausePlace::BeforeHead,
    PausePlace::AfterHead,
    PausePlace::BetweenEvents,
    PausePlace::InsideEvent,
];
/// Distinguishes the random numbers of this part from those of the other faults.
const SEED_OFFSET: u64 = 7_000_000;

/// Which pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseKinds {
    /// For a time or for good.
    All,
    /// For a time only.
    Ending,
}

/// A pause of one endpoint, or of all if none is named.
#[derive(Clone, Copy, Debug)]
struct PauseFault {
    endpoint: Option<usize>,
    pause: ResponsePause,
}

impl PauseFault {
    fn random(kinds: PauseKinds, endpoints: usize, rng: &mut SmallRng) -> Self {
        let endpoint = rng.random_bool(0.6).then(|| rng.random_range(0..endpoints));
        let place = *PLACES.choose(rng).expect("a place");
        let is_for_good = rng.random_bool(0.3) && kinds == PauseKinds::All;
        let pause_ms = rng.random_range(RESPONSE_PAUSE_MS);
        let time = (!is_for_good).then(|| Duration::from_millis(pause_ms));
        Self { endpoint, pause: ResponsePause { place, time } }
    }

    /// Sets this pause at its endpoints, or ends it.
    fn set(self, endpoints: &[EndpointStandin], pause: Option<ResponsePause>) {
        for (place, endpoint) in endpoints.iter().enumerate() {
            if self.endpoint.is_none_or(|paused| paused == place) {
                endpoint.set_pause(pause);
            }
        }
    }
}

/// Lets responses of random endpoints pause until then.
pub fn pause_responses(
    endpoints: &[EndpointStandin],
    kinds: PauseKinds,
    seed: u64,
    until: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed);
    while Instant::now() < until {
        let fault = PauseFault::random(kinds, endpoints.len(), &mut rng);
        let time = Duration::from_millis(rng.random_range(PAUSING_MS));
        println!("seed {seed}: {fault:?} for {time:?}");
        fault.set(endpoints, Some(fault.pause));
        thread::sleep(time);
        fault.set(endpoints, None);
        thread::sleep(Duration::from_millis(rng.random_range(QUIET_MS)));
    }
}

/// Checks requests that met no fault but pauses: those that may be sent to another endpoint are served.
pub fn check_paused(exchanges: &[Exchange]) {
    let may_repeat: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.kind.may_repeat()).collect();
    let not_served: Vec<&&Exchange> =
        may_repeat.iter().filter(|exchange| !exchange.is_served()).collect();
    println!("{} of {} beside pauses only not served", not_served.len(), may_repeat.len());
    for exchange in &not_served {
        let answer = exchange.answer.as_ref();
        let status = answer.map_or(0, |answer| answer.status);
        let text = answer.map(|answer| answer.text()).unwrap_or_default();
        println!("{} ({:?}): {status} {text:?}", exchange.id, exchange.kind);
    }
    assert!(!may_repeat.is_empty(), "no request beside pauses");
    assert!(not_served.is_empty(), "{} requests beside pauses not served", not_served.len());
}
