//! Endpoints that are silent for about a second and then go on work: their requests must be served, none
//! of those that may run only once may run twice, and they must be used again soon.

use std::{collections::HashMap, time::Duration};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{ClientLoad, SIGNALLING, SignalFleet, SignalOutcome, sleep_until},
    signalling_endpoint::EndpointSignal,
};

const SILENT_FOR: Duration = Duration::from_secs(1);
/// When the endpoints fall silent, since the start of the clients.
const SILENCES_FROM: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(3), Duration::from_secs(5)];
/// Time after a silence within which each endpoint must get requests again.
const REUSE_TIME: Duration = Duration::from_millis(800);
const LOAD_TIME: Duration = Duration::from_secs(8);

fn play(silent: usize) -> SignalOutcome {
    let _place = acquire_fleet_slot();
    SignalFleet::start().play_load(ClientLoad::of(LOAD_TIME), silent, |endpoints, began| {
        for from in SILENCES_FROM {
            sleep_until(began, from);
            endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::Pauses));
            sleep_until(began, from + SILENT_FOR);
            endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::None));
        }
    })
}

fn check(outcome: &SignalOutcome) {
    let sent = outcome.sent_in(Duration::ZERO..LOAD_TIME);
    let not_served = sent.iter().filter(|request| !request.is_served()).count();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in outcome.arrivals.iter().flatten() {
        *runs.entry(&arrival.id).or_default() += 1;
    }
    let is_once = |id: &str| outcome.sent.get(id).is_some_and(|request| request.is_once);
    let twice = runs.iter().filter(|(id, runs)| is_once(id) && **runs > 1).count();
    let again: Vec<Vec<usize>> = SILENCES_FROM
        .iter()
        .map(|from| *from + SILENT_FOR)
        .map(|end| outcome.arrivals_at_each(end..end + REUSE_TIME))
        .collect();
    println!("not served {not_served} of {}, {twice} run twice, used again {again:?}", sent.len());
    expect_that!(not_served * 50, le(sent.len()));
    expect_that!(twice, eq(0));
    expect_that!(again.concat(), each(gt(&0)));
}

macro_rules! endpoints_that_are_silent_for_a_second_go_on {
    ($($name:ident: $silent:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check(&play($silent));
        }
    )*};
}

endpoints_that_are_silent_for_a_second_go_on! {
    some_silent: SIGNALLING;
    one_silent: 1;
    all_silent: 12;
}
