//! Endpoints that say in their responses that they are brittle must not have to refuse so many requests
//! that they fall over.

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{ClientLoad, FleetShape, SignalFleet, daemon_count, sleep_until},
    signalling_endpoint::{EndpointSignal, SLOTS, WORK_TIME},
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
    let (_, falls) = fleet.falls();
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

/// When something else changes in a fleet whose endpoints are brittle, and when the clients end.
const CHANGE_FROM: Duration = Duration::from_secs(5);
const CHANGE_UNTIL: Duration = Duration::from_secs(12);
/// Time from the end of an endpoint until it starts again.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Groups of daemons that are replaced one after the other, and how often.
const REPLACED_GROUPS: usize = 8;
const REPLACE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which all daemons are down.
const ALL_DOWN_TIME: Duration = Duration::from_secs(1);
/// Fraction of the capacity that has to be used by more clients than it suffices for.
const USED_FRACTION: f64 = 0.8;

/// A fleet whose endpoints are brittle, and its clients.
#[derive(Clone, Copy, Debug)]
struct BrittleFleet {
    shape: FleetShape,
    clients: u64,
    /// Daemons that get requests.
    daemons: usize,
}

/// Requests sent from `CHANGE_FROM` on.
struct BrittleOutcome {
    sent: usize,
    served: usize,
    /// Falls that count, and all.
    falls: (usize, usize),
    capacity: f64,
}

impl BrittleFleet {
    /// Plays the fleet while `change` disturbs it from `CHANGE_FROM` on.
    fn play(self, change: impl FnOnce(&SignalFleet)) -> BrittleOutcome {
        let _place = acquire_fleet_slot();
        let fleet = SignalFleet::start_shape(self.shape, json!({}));
        let load = ClientLoad {
            clients: self.clients,
            daemons: self.daemons,
            ..ClientLoad::of(CHANGE_UNTIL)
        };
        let outcome = fleet.play_load(load, self.shape.endpoints, |endpoints, began| {
            sleep_until(began, BRITTLE_FROM);
            endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::Brittle("2")));
            sleep_until(began, CHANGE_FROM);
            change(&fleet);
        });
        let sent = outcome.sent_in(CHANGE_FROM..CHANGE_UNTIL);
        let served = sent.iter().filter(|request| request.is_served()).count();
        let slots = self.shape.endpoints * self.shape.slots;
        let per_s = slots as f64 / WORK_TIME.as_secs_f64();
        let capacity = per_s * (CHANGE_UNTIL - CHANGE_FROM).as_secs_f64();
        let (sent, falls) = (sent.len(), fleet.falls());
        println!(
            "{} falls that count, {} in all; {served} of {sent} requests served, capacity {capacity:.0}",
            falls.0, falls.1
        );
        BrittleOutcome { sent, served, falls, capacity }
    }

    fn allowed_falls(self) -> usize {
        ALLOWED_FALLS + self.shape.endpoints / ENDPOINTS_PER_FALL
    }
}

fn start_endpoints_again(fleet: &SignalFleet) {
    for endpoint in &fleet.endpoints {
        endpoint.end();
        thread::sleep(DOWN_TIME);
        endpoint.start_signalling_again();
    }
}

fn replace_daemons(fleet: &SignalFleet) {
    let until = Instant::now() + (CHANGE_UNTIL - CHANGE_FROM);
    let daemons: Vec<usize> = (0..fleet.daemon_count()).collect();
    for replaced in daemons.chunks(daemons.len().div_ceil(REPLACED_GROUPS)).cycle() {
        let next = Instant::now() + REPLACE_INTERVAL;
        if next >= until {
            return;
        }
        fleet.replace(replaced);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// An endpoint that had just started had no share of its slots, which counted as no bound: all daemons sent
/// it what they thought it had room for.
#[googletest::test]
fn brittle_endpoints_that_start_again_get_too_many_requests() {
    let fleet = BrittleFleet { shape: FleetShape::USUAL, clients: 80, daemons: usize::MAX };
    let outcome = fleet.play(start_endpoints_again);
    expect_that!(outcome.falls.1, le(fleet.allowed_falls()));
}

/// Daemons that had just started exceeded their shares.
#[googletest::test]
fn brittle_endpoints_get_too_many_requests_from_new_daemons() {
    let fleet = BrittleFleet { shape: FleetShape::USUAL, clients: 80, daemons: usize::MAX };
    let outcome = fleet.play(replace_daemons);
    expect_that!(outcome.falls.0, le(fleet.allowed_falls()));
}

/// Daemons that start after all others have ended know nothing of the endpoints.
#[googletest::test]
fn brittle_endpoints_get_too_many_requests_after_all_daemons_are_killed() {
    let fleet = BrittleFleet { shape: FleetShape::USUAL, clients: 80, daemons: usize::MAX };
    let outcome = fleet.play(|fleet| fleet.restart_all(ALL_DOWN_TIME));
    expect_that!(outcome.falls.1, le(fleet.allowed_falls()));
}

/// The slots were divided evenly, so that the shares of daemons without clients were not used.
#[googletest::test]
fn brittle_endpoints_are_not_used_by_clients_at_few_daemons() {
    let daemons = daemon_count().div_ceil(10);
    let shape = FleetShape { endpoints: 4, slots: SLOTS };
    let fleet = BrittleFleet { shape, clients: 50, daemons };
    let outcome = fleet.play(|_| {});
    expect_that!(outcome.falls.1, eq(0));
    expect_that!(outcome.served as f64, ge(outcome.capacity * USED_FRACTION));
}

/// The slots were divided evenly, so that daemons without a share refused requests while endpoints had room.
#[googletest::test]
fn brittle_endpoints_with_room_are_refused_to_clients() {
    // Each daemon has clients, and there are fewer slots than daemons. A client uses 0.6 of a slot.
    let slots = 6;
    let endpoints = daemon_count().div_ceil(3 * slots).max(1);
    let shape = FleetShape { endpoints, slots };
    let clients = (endpoints * slots) as u64 / 2;
    let fleet = BrittleFleet { shape, clients, daemons: usize::MAX };
    let outcome = fleet.play(|_| {});
    expect_that!(outcome.falls.1, eq(0));
    expect_that!(outcome.served, eq(outcome.sent));
}
