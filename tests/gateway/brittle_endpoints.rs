//! Endpoints that say in their responses that they are brittle must not have to refuse so many requests
//! that they fall over.

use std::time::Duration;

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{ClientLoad, SignalFleet, sleep_until},
    signalling_endpoint::{EndpointSignal, SignallingEndpoint},
};

const BRITTLE_FROM: Duration = Duration::from_secs(1);
const WAVE_AT: Duration = Duration::from_secs(5);
const LOAD_TIME: Duration = Duration::from_secs(11);
/// Falls that are allowed: this number, and one for so many endpoints.
const ALLOWED_FALLS: usize = 2;
const ENDPOINTS_PER_FALL: usize = 10;
/// Requests a second that twelve endpoints with four slots of 60 ms can serve, and the fraction of these
/// that has to be served.
const CAPACITY_PER_S: f64 = 800.0;
const SERVED_FRACTION: f64 = 0.4;

fn play(brittle: usize, text: &'static str, clients: u64, wave_at: Duration) {
    let _place = acquire_fleet_slot();
    let fleet = SignalFleet::start();
    let load = ClientLoad { clients, wave_at, ..ClientLoad::of(LOAD_TIME) };
    let outcome = fleet.play_load(load, brittle, |endpoints, began| {
        sleep_until(began, BRITTLE_FROM);
        endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::Brittle(text)));
    });
    let falls: usize = fleet.endpoints.iter().map(SignallingEndpoint::falls).sum();
    let sent = outcome.sent_in(WAVE_AT..LOAD_TIME);
    let served = sent.iter().filter(|request| request.is_served()).count();
    println!("{falls} falls of {brittle} endpoints; {served} of {} requests served", sent.len());
    expect_that!(falls, le(ALLOWED_FALLS + brittle / ENDPOINTS_PER_FALL));
    let capacity = CAPACITY_PER_S * (LOAD_TIME - WAVE_AT).as_secs_f64();
    expect_that!(served as f64, ge(capacity * SERVED_FRACTION));
}

macro_rules! brittle_endpoints_do_not_fall_over {
    ($($name:ident: $brittle:expr, $text:expr, $clients:expr, $wave_at:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($brittle, $text, $clients, $wave_at);
        }
    )*};
}

brittle_endpoints_do_not_fall_over! {
    all_brittle_in_overload: 12, "2", 80, Duration::ZERO;
    all_brittle_in_a_wave: 12, "2", 80, WAVE_AT;
    all_brittle_without_any_refusal_allowed: 12, "0", 80, WAVE_AT;
    some_brittle_in_a_wave: 4, "2", 80, WAVE_AT;
    unreadable_bound: 12, "few", 80, WAVE_AT;
}
