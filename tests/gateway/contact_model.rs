//! Compares ways to find the fleet and to count it after seeds were replaced, in simulated time.
//!
//! `CONTACT_WAYS=1 cargo test --test gateway contact_model -- --nocapture` prints the figures of all ways.

use std::time::Duration;

use googletest::prelude::*;

use crate::contact_fleet::{ContactFleet, ContactWay};

const WAYS: [ContactWay; 5] = [
    ContactWay::Seeds,
    ContactWay::Holder,
    ContactWay::Members,
    ContactWay::Recorded,
    ContactWay::MembersAndRecorded,
];
const SETTLED: Duration = Duration::from_secs(30);
/// Time until the new daemons come.
const ABSENCE: Duration = Duration::from_secs(2);
const OVERLOAD: Duration = Duration::from_secs(40);
/// Last part of it, in which all is settled.
const LAST: Duration = Duration::from_secs(15);

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Nothing.
    None,
    /// The three daemons that the seeds name are replaced.
    Seeds,
    /// All daemons are replaced at once.
    All,
    /// The seeds are replaced by daemons that reach the store, but no other daemon.
    SeedsByUnreached,
}

#[derive(Clone, Copy, Debug)]
struct Figures {
    /// Most units in 8 s, as a multiple of what is allowed.
    busiest: f64,
    /// Part of the rate that is used at the end.
    used: f64,
    least_heard: usize,
    reads: usize,
}

fn play(way: ContactWay, size: usize, loss: Loss) -> Figures {
    let mut fleet = ContactFleet::new(way, size, 7);
    fleet.run(SETTLED, false);
    let lost = match loss {
        Loss::None => 0,
        Loss::Seeds | Loss::SeedsByUnreached => 3,
        Loss::All => size,
    };
    fleet.end_first(lost);
    fleet.run(ABSENCE, false);
    match loss {
        Loss::SeedsByUnreached => (1..=3).for_each(|side| fleet.add(1, side)),
        Loss::None | Loss::Seeds | Loss::All => fleet.add(lost, 0),
    }
    let reads = fleet.reads;
    fleet.run(OVERLOAD, true);
    let figures = Figures {
        busiest: fleet.busiest_window(),
        used: fleet.used(LAST),
        least_heard: fleet.least_heard(),
        reads: fleet.reads - reads,
    };
    println!(
        "| {size}, {loss:?} | {way:?} | {:.2} | {:.2} | {} | {} |",
        figures.busiest, figures.used, figures.least_heard, figures.reads
    );
    figures
}

/// The way that is built keeps the quota and uses it.
fn check(size: usize, loss: Loss) {
    if std::env::var_os("CONTACT_WAYS").is_some() {
        for way in WAYS {
            play(way, size, loss);
        }
    }
    let figures = play(ContactWay::MembersAndRecorded, size, loss);
    expect_that!(figures.busiest, le(1.0));
    expect_that!(figures.used, ge(0.8));
    if loss != Loss::SeedsByUnreached {
        expect_that!(figures.least_heard, eq(size));
    }
}

macro_rules! quota_holds_and_is_used_after_a_loss {
    ($($name:ident: $size:literal, $loss:ident;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($size, Loss::$loss);
        }
    )*};
}

quota_holds_and_is_used_after_a_loss! {
    no_daemon_is_replaced_small: 7, None;
    no_daemon_is_replaced_grown: 78, None;
    no_daemon_is_replaced_large: 195, None;
    seeds_are_replaced_small: 7, Seeds;
    seeds_are_replaced_grown: 78, Seeds;
    seeds_are_replaced_large: 195, Seeds;
    all_daemons_are_replaced_small: 7, All;
    all_daemons_are_replaced_grown: 78, All;
    all_daemons_are_replaced_large: 195, All;
    seeds_are_replaced_by_unreached_daemons_small: 7, SeedsByUnreached;
    seeds_are_replaced_by_unreached_daemons_grown: 78, SeedsByUnreached;
    seeds_are_replaced_by_unreached_daemons_large: 195, SeedsByUnreached;
}
