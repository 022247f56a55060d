//! The shares of a brittle endpoint's slots, against sending by reported loads; and how long a service
//! counts as brittle.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tokio::time::Instant;
use willowarch::gateway::{
    gossip::groups::hash_address,
    policy::endpoint::{
        endpoint_choice::ChoiceResult,
        endpoint_load::{RunLoad, endpoint_number},
        endpoint_table::{EndpointTable, brittle::BrittleState, slot_ring::SlotRing},
    },
};

use crate::choice_inputs::{list, query, record, start};

const SLOTS: u32 = 12;
/// Time that a request takes, and time played, in milliseconds.
const WORK_MS: u64 = 200;
const PLAYED_MS: u64 = 4_000;

/// How a daemon decides whether an endpoint has room.
#[derive(Clone, Copy, Debug)]
enum RoomRule {
    /// By its share of the slots.
    Shares,
    /// By its own requests, and those that the others have reported.
    ReportedLoads,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 250) as u8, (daemon % 250) as u8 + 1], 8229))
}

fn endpoint_key(endpoint: usize) -> u64 {
    endpoint_number(&format!("i-{endpoint}"))
}

/// Ring of the first `members` daemons of a fleet of `daemons`.
fn ring(members: usize, daemons: usize) -> SlotRing {
    let members = (0..members).map(address);
    SlotRing::new(members.map(|address| (hash_address(&address), address)), daemons)
}

/// A service whose daemons together want twice what its endpoints can serve.
struct BrittleModel {
    daemons: usize,
    ring: SlotRing,
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
        Self { daemons, ring: ring(daemons, daemons), ends, reported, reported_own }
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
                let share = self.ring.share(address(daemon), endpoint_key(endpoint), SLOTS);
                own < share as usize
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
        for endpoint in 0..20 {
            let ring = ring(daemons, daemons);
            let shares = (0..daemons)
                .map(|daemon| ring.share(address(daemon), endpoint_key(endpoint), slots));
            expect_that!(shares.sum::<u32>(), eq(slots), "{slots} slots, {daemons} daemons");
        }
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

/// Both parts of a divided fleet know fewer daemons than there are. Each divided all slots among its own.
#[googletest::test]
fn parts_of_a_divided_fleet_use_no_more_than_all_slots() {
    for (daemons, slots) in [(7, 6), (78, 6), (78, 12), (195, 12), (195, 24)] {
        for known in [1, daemons / 3, daemons / 2] {
            let part = |known: usize| {
                let ring = ring(known, daemons);
                (0..known).map(|daemon| ring.share(address(daemon), 7, slots)).sum::<u32>()
            };
            expect_that!(part(known) + part(daemons - known), le(slots), "{known} of {daemons}");
        }
    }
}

#[googletest::test]
fn lent_slots_are_used_once_and_return() {
    let now = start();
    let mut lender = EndpointTable::new("a".into());
    let mut borrower = EndpointTable::new("a".into());
    for table in [&mut lender, &mut borrower] {
        table.set_list(&list(&[record("i-0", 1)]), now);
        table.record_brittle("i-0", true, now);
    }
    lender.set_slot_shares(&[("i-0".into(), 1)], now);
    borrower.set_slot_shares(&[], now);
    expect_false!(may_be_used(&borrower, now));

    let rng = &mut SmallRng::seed_from_u64(1);
    let until = now + Duration::from_secs(2);
    let (loan, slot) = lender.lend_slot(&query(&[], false), until, now, rng).expect("a slot");
    expect_that!(lender.lend_slot(&query(&[], false), until, now, rng), none());
    expect_false!(may_be_used(&lender, now));
    expect_true!(borrower.receive_slot(&slot));
    expect_true!(may_be_used(&borrower, now));

    // Dividing the slots again must not lose the loan.
    lender.set_slot_shares(&[("i-0".into(), 1)], now);
    borrower.set_slot_shares(&[], now);
    expect_false!(may_be_used(&lender, now));
    expect_true!(may_be_used(&borrower, now));

    borrower.release_slot(&slot);
    expect_false!(may_be_used(&borrower, now));
    lender.return_slot(loan);
    expect_true!(may_be_used(&lender, now));
}

#[googletest::test]
fn lent_slot_returns_when_its_time_is_over() {
    let now = start();
    let mut lender = EndpointTable::new("a".into());
    lender.set_list(&list(&[record("i-0", 1)]), now);
    lender.record_brittle("i-0", true, now);
    lender.set_slot_shares(&[("i-0".into(), 1)], now);
    let rng = &mut SmallRng::seed_from_u64(1);
    let until = now + Duration::from_secs(2);
    let (loan, _) = lender.lend_slot(&query(&[], false), until, now, rng).expect("a slot");
    expect_that!(lender.expire_loans(now + Duration::from_secs(1)), eq(1));
    expect_false!(may_be_used(&lender, now));
    expect_that!(lender.expire_loans(until), eq(0));
    expect_true!(may_be_used(&lender, now));
    // The borrower releases it later: it must not return twice.
    lender.return_slot(loan);
    let lent = (0..3).filter(|_| lender.lend_slot(&query(&[], false), until, now, rng).is_some());
    expect_that!(lent.count(), eq(1));
}

/// Runs that began while an earlier start was listed were no longer counted, although they may be at the new
/// start: the daemon used its share twice.
#[googletest::test]
fn runs_begun_before_a_new_start_is_listed_use_its_slots() {
    let now = start();
    let mut table = EndpointTable::new("a".into());
    let list_start = |table: &mut EndpointTable, born| {
        table.set_list(&list(&[record("i-0", born)]), now);
        table.set_slot_shares(&[("i-0".into(), 1)], now);
    };
    list_start(&mut table, 1);
    table.record_brittle("i-0", true, now);
    list_start(&mut table, 1);
    let run = table.begin("i-0", &[], RunLoad::default(), now);
    list_start(&mut table, 2);
    expect_false!(may_be_used(&table, now));
    drop(run);
    expect_true!(may_be_used(&table, now));
}

#[googletest::test]
fn lent_slots_of_an_earlier_start_are_lent_at_the_new_one() {
    let now = start();
    let mut lender = EndpointTable::new("a".into());
    lender.set_list(&list(&[record("i-0", 1)]), now);
    lender.record_brittle("i-0", true, now);
    lender.set_slot_shares(&[("i-0".into(), 1)], now);
    let rng = &mut SmallRng::seed_from_u64(1);
    let until = now + Duration::from_secs(2);
    let (loan, _) = lender.lend_slot(&query(&[], false), until, now, rng).expect("a slot");
    // The endpoint is missing for a while, and listed as a later start.
    for records in [&[][..], &[record("i-0", 2)]] {
        lender.set_list(&list(records), now);
        lender.set_slot_shares(&[("i-0".into(), 1)], now);
        expect_false!(may_be_used(&lender, now));
    }
    lender.return_slot(loan);
    expect_true!(may_be_used(&lender, now));
}

/// A daemon that had just started passed over what its peers said, since it had no list of endpoints yet.
#[googletest::test]
fn report_that_comes_before_the_endpoints_counts() {
    let now = start();
    let mut table = EndpointTable::new("a".into());
    expect_true!(table.receive_brittle(&"pool".into(), now, now));
    table.set_list(&list(&[record("i-0", 1)]), now);
    expect_false!(may_be_used(&table, now));
}

#[googletest::test]
fn service_that_was_brittle_before_the_start_counts_as_such_until_its_endpoints_respond() {
    let now = start();
    let later = now + Duration::from_secs(1);
    let mut table = EndpointTable::new("a".into());
    table.assume_brittle(&"pool".into(), now);
    table.set_list(&list(&[record("i-0", 1)]), now);
    expect_false!(may_be_used(&table, now));
    // Other daemons must not hear it from this one.
    expect_that!(table.brittle_services(now).len(), eq(0));
    table.record_brittle("i-0", false, later);
    table.set_slot_shares(&[], later);
    expect_true!(may_be_used(&table, later));
    // A record that is read again doesn't renew it.
    table.assume_brittle(&"pool".into(), later);
    expect_false!(table.is_brittle("pool", later));
}

/// The slots of `member`, counted one by one.
fn counted_share(ring: &SlotRing, member: SocketAddr, endpoint: u64, slots: u32) -> u32 {
    (0..slots).filter(|slot| ring.holder(endpoint, slots, *slot) == Some(member)).count() as u32
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn shares_are_the_slots_whose_holder_the_member_is(
        members in 0_usize..12,
        missing in 0_usize..5,
        block in 0_u32..9,
        endpoint in any::<u64>(),
        slots in 0_u32..150,
    ) {
        let hashed = |address: SocketAddr| (hash_address(&address), address);
        let all = (0..members).map(address).map(hashed);
        let ring = SlotRing::with_blocks(all, members + missing, block);
        // The last one is no member.
        for member in (0..=members).map(address) {
            let share = ring.share(member, endpoint, slots);
            assert_eq!(share, counted_share(&ring, member, endpoint, slots));
        }
    }
}
