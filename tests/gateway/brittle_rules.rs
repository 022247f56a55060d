//! The shares of a brittle endpoint's slots, against sending by reported loads; and how long a service
//! counts as brittle.

use std::time::Duration;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tokio::time::Instant;
use willowarch::gateway::policy::endpoint::{
    endpoint_choice::ChoiceResult,
    endpoint_table::{
        EndpointTable,
        brittle::{BrittleState, slot_share},
    },
};

use crate::choice_inputs::{list, query, record, start};

const SLOTS: u32 = 12;
/// Time that a request takes, and time played, in milliseconds.
const WORK_MS: u64 = 200;
const PLAYED_MS: u64 = 4_000;
/// Distance of the ranks of a daemon at two successive endpoints.
const RANK_STEP: usize = 7;

/// How a daemon decides whether an endpoint has room.
#[derive(Clone, Copy, Debug)]
enum RoomRule {
    /// By its share of the slots.
    Shares,
    /// By its own requests, and those that the others have reported.
    ReportedLoads,
}

/// A service whose daemons together want twice what its endpoints can serve.
struct BrittleModel {
    daemons: usize,
    /// When the requests of each daemon at each endpoint end.
    ends: Vec<Vec<Vec<u64>>>,
    /// Requests of all daemons at each endpoint, as last reported, and those of each daemon among them.
    reported: Vec<usize>,
    reported_own: Vec<Vec<usize>>,
}

impl BrittleModel {
    fn new(daemons: usize, endpoints: usize) -> Self {
        let ends = vec![vec![Vec::new(); endpoints]; daemons];
        let (reported, reported_own) = (vec![0; endpoints], vec![vec![0; endpoints]; daemons]);
        Self { daemons, ends, reported, reported_own }
    }

    fn running(&self, endpoint: usize) -> usize {
        self.ends.iter().map(|ends| ends[endpoint].len()).sum()
    }

    fn report(&mut self) {
        self.reported = (0..self.reported.len()).map(|endpoint| self.running(endpoint)).collect();
        self.reported_own =
            self.ends.iter().map(|ends| ends.iter().map(Vec::len).collect()).collect();
    }

    fn has_room(&self, rule: RoomRule, daemon: usize, endpoint: usize) -> bool {
        let own = self.ends[daemon][endpoint].len();
        match rule {
            RoomRule::Shares => {
                let rank = (daemon + endpoint * RANK_STEP) % self.daemons;
                own < slot_share(SLOTS, self.daemons, Some(rank)) as usize
            }
            RoomRule::ReportedLoads => {
                let others = self.reported[endpoint] - self.reported_own[daemon][endpoint];
                own + others < SLOTS as usize
            }
        }
    }

    /// Returns the most refusals of an endpoint within a second, and the fraction of the capacity that is
    /// used.
    fn play(mut self, rule: RoomRule, report_age_ms: u64) -> (usize, f64) {
        let endpoints = self.reported.len();
        let mut rng = SmallRng::seed_from_u64(self.daemons as u64);
        let (mut refusals, mut served) = (vec![Vec::new(); endpoints], 0_u32);
        let slots = f64::from(SLOTS) * endpoints as f64;
        let wanted_per_ms = 2.0 * slots / WORK_MS as f64 / self.daemons as f64;
        for ms in 0..PLAYED_MS {
            self.ends.iter_mut().flatten().for_each(|ends| ends.retain(|end| *end > ms));
            if ms % report_age_ms == 0 {
                self.report();
            }
            for daemon in 0..self.daemons {
                if !rng.random_bool(wanted_per_ms.min(1.0)) {
                    continue;
                }
                let with_room = (0..endpoints).filter(|one| self.has_room(rule, daemon, *one));
                match with_room.choose(&mut rng) {
                    Some(endpoint) if self.running(endpoint) < SLOTS as usize => {
                        self.ends[daemon][endpoint].push(ms + WORK_MS);
                        served += 1;
                    }
                    Some(endpoint) => refusals[endpoint].push(ms),
                    None => {}
                }
            }
        }
        let within = |all: &[u64], from: u64| {
            all.partition_point(|at| *at < from + 1_000) - all.partition_point(|at| *at < from)
        };
        let most = refusals.iter().flat_map(|all| all.iter().map(|from| within(all, *from))).max();
        (most.unwrap_or(0), f64::from(served) * WORK_MS as f64 / (slots * PLAYED_MS as f64))
    }
}

#[googletest::test]
fn shares_of_slots_leave_nothing_to_refuse() {
    for (daemons, endpoints, report_age_ms) in [(9, 18, 400), (78, 112, 1_000), (195, 99, 1_400)] {
        let play = |rule| BrittleModel::new(daemons, endpoints).play(rule, report_age_ms);
        let (refused, used) = play(RoomRule::Shares);
        let (refused_by_loads, used_by_loads) = play(RoomRule::ReportedLoads);
        println!(
            "{daemons} daemons: at most {refused} refusals a second, {used:.2} of the capacity used; by \
             reported loads {refused_by_loads}, {used_by_loads:.2}"
        );
        expect_that!(refused, eq(0));
        expect_that!(used, gt(0.6));
        expect_that!(refused_by_loads, gt(2));
    }
}

#[googletest::test]
fn shares_add_up_to_the_slots() {
    for (slots, daemons) in
        [(4, 9), (6, 9), (32, 9), (12, 78), (128, 78), (12, 195), (1, 300), (3, 1)]
    {
        let shares = (0..daemons).map(|rank| slot_share(slots, daemons, Some(rank)));
        expect_that!(shares.sum::<u32>(), eq(slots), "{slots} slots, {daemons} daemons");
    }
}

#[googletest::test]
fn service_is_brittle_until_its_endpoints_stop_saying_so() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut state = BrittleState::default();
    state.record(false, at(0));
    expect_false!(state.is_brittle(at(0)));
    state.record(true, at(1));
    expect_true!(state.is_brittle(at(1)));
    // Other endpoints of the service may not be brittle.
    state.record(false, at(5));
    expect_true!(state.is_brittle(at(5)));
    state.record(false, at(7));
    expect_false!(state.is_brittle(at(7)));
    state.record(true, at(8));
    expect_true!(state.is_brittle(at(37)));
    expect_false!(state.is_brittle(at(39)));
}

fn may_be_used(table: &EndpointTable, now: Instant) -> bool {
    let choice = table.choose(&query(&[], false), now, &mut SmallRng::seed_from_u64(1));
    matches!(choice, ChoiceResult::Endpoint(_))
}

#[googletest::test]
fn new_start_of_a_brittle_endpoint_has_no_slots_before_they_are_divided() {
    let now = start();
    let mut table = EndpointTable::new("a".into());
    table.set_list(&list(&[record("i-0", 1)]), now);
    expect_true!(may_be_used(&table, now));
    table.record_brittle("i-0", true, now);
    table.set_slot_shares(&[("i-0".into(), 1)], now);
    expect_true!(may_be_used(&table, now));
    table.set_list(&list(&[record("i-0", 2)]), now);
    expect_false!(may_be_used(&table, now));
    table.set_slot_shares(&[("i-0".into(), 1)], now);
    expect_true!(may_be_used(&table, now));
}
