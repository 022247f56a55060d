//! Compares ways to go on when a run is silent, in simulated time: requests served whole and within their target,
//! runs begun, runs ended at work, and work in vain.
//!
//! `cargo test --test gateway silence_model -- --nocapture` prints the figures, `SILENCE_SEEDS=8` of more seeds than 4.

use std::collections::HashMap;

use googletest::prelude::*;

use crate::{
    silence_endpoints::Trouble,
    silence_fleet::SilenceFleet,
    silence_requests::{Figures, Fleet, Way},
};

const FLEETS: [Fleet; 3] = [
    Fleet { daemons: 7, rate: 157.0, reserve: 54.0, endpoints: 36 },
    Fleet { daemons: 78, rate: 523.0, reserve: 194.0, endpoints: 120 },
    Fleet { daemons: 195, rate: 420.0, reserve: 430.0, endpoints: 96 },
];
const WAYS: [Way; 5] =
    [Way::EndThenAsk, Way::AskThenEnd, Way::NeverEnd, Way::RunBeside, Way::RunBesideLearnt];

/// Requests that may be served less than where no run is ended: the further runs take a part of the slots.
const FEWER_THAN_NEVER_END: f64 = 0.01;

fn seeds() -> u64 {
    std::env::var("SILENCE_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(4)
}

fn play(way: Way, fleet: Fleet, trouble: Trouble) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..seeds() {
        sum += SilenceFleet::new(way, fleet, trouble, seed).run();
    }
    sum
}

fn cell(figures: Figures) -> String {
    let part = |count: usize| count as f64 / figures.requests as f64;
    let in_vain = figures.in_vain.div_duration_f64(figures.work);
    format!(
        "{:.3} {:.3} {:.2} {:.3} {in_vain:.2}",
        part(figures.whole),
        part(figures.in_target),
        part(figures.runs),
        part(figures.given_up)
    )
}

/// Figures of all ways.
fn compare(fleet: Fleet, trouble: Trouble) -> HashMap<Way, Figures> {
    let figures = WAYS.map(|way| play(way, fleet, trouble));
    println!(
        "| {} before {}, {trouble:?} | {} |",
        fleet.daemons,
        fleet.endpoints,
        figures.map(cell).join(" | ")
    );
    WAYS.into_iter().zip(figures).collect()
}

/// A way that runs beside a silent one serves at least so many requests.
#[derive(Clone, Copy, Debug)]
enum Least {
    /// As many as are served where silent runs are ended first.
    AsEndThenAsk,
    /// Those, and nearly as many as are served where no run is ended.
    AsNeverEnd,
}

fn check(trouble: Trouble, room: usize, least: Least) {
    for fleet in FLEETS {
        let fleet = Fleet { endpoints: fleet.endpoints * room, ..fleet };
        let figures = compare(fleet, trouble);
        let never_end = figures[&Way::NeverEnd];
        let allowed = (never_end.requests as f64 * FEWER_THAN_NEVER_END) as usize;
        for way in [Way::RunBeside, Way::RunBesideLearnt] {
            let whole = figures[&way].whole;
            expect_that!(whole, ge(figures[&Way::EndThenAsk].whole), "{way:?}, {fleet:?}");
            if matches!(least, Least::AsNeverEnd) {
                expect_that!(whole + allowed, ge(never_end.whole), "{way:?}, {fleet:?}");
            }
        }
    }
}

macro_rules! troubles {
    ($($name:ident: $trouble:expr, room $room:expr => $least:expr;)*) => {
        $(#[googletest::test]
        fn $name() {
            check($trouble, $room, $least);
        })*
    };
}

troubles! {
    no_trouble: Trouble::None, room 1 => Least::AsNeverEnd;
    all_twice_as_slow: Trouble::AllSlow(2.0), room 1 => Least::AsNeverEnd;
    all_four_times_as_slow: Trouble::AllSlow(4.0), room 1 => Least::AsNeverEnd;
    all_eight_times_as_slow: Trouble::AllSlow(8.0), room 1 => Least::AsNeverEnd;
    all_twelve_times_as_slow: Trouble::AllSlow(12.0), room 1 => Least::AsNeverEnd;
    all_eight_times_as_slow_with_room: Trouble::AllSlow(8.0), room 4 => Least::AsNeverEnd;
    all_twelve_times_as_slow_with_room: Trouble::AllSlow(12.0), room 4 => Least::AsNeverEnd;
    a_part_eight_times_as_slow: Trouble::PartSlow(8.0), room 1 => Least::AsNeverEnd;
    one_run_in_five_hangs: Trouble::Hangs, room 1 => Least::AsEndThenAsk;
    all_four_times_as_slow_with_room_and_one_run_in_five_hangs:
        Trouble::SlowAndHangs(4.0), room 4 => Least::AsEndThenAsk;
    all_eight_times_as_slow_with_room_and_one_run_in_five_hangs:
        Trouble::SlowAndHangs(8.0), room 4 => Least::AsEndThenAsk;
    one_endpoint_is_dark: Trouble::OneDark, room 1 => Least::AsEndThenAsk;
}

#[googletest::test]
fn learnt_limits_begin_fewer_runs_while_all_are_slow_with_room() {
    for fleet in FLEETS {
        let fleet = Fleet { endpoints: fleet.endpoints * 4, ..fleet };
        let [fixed, learnt] = [Way::RunBeside, Way::RunBesideLearnt]
            .map(|way| play(way, fleet, Trouble::AllSlow(8.0)).runs);
        expect_that!(learnt, lt(fixed), "{fleet:?}");
    }
}
