//! The store is restored from a copy: what it had acknowledged since is lost, and its revisions go back.
//!
//! `LOSS_DAEMONS=77 cargo test --test gateway store_loss` plays with a fleet of several gossip groups,
//! `LOSS_FORMER=FILE` with the last release's program at every second place.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    leader_tasks::{check_reports, reports},
    store_loss_fleet::{
        AnsweredRequest, FIRST_CHANGES_AT, LAST_CHANGES_AT, LossFleet, RequestTarget, StoreLoss,
    },
};

/// Daemons where the environment names no number.
const USUAL_DAEMONS: usize = 9;
/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
const END: Duration = Duration::from_secs(60);

/// What clients have got, and what the cloud was told.
struct LossOutcome {
    requests: Vec<AnsweredRequest>,
    /// Times that each window was reported.
    reports: BTreeMap<u64, usize>,
}

impl LossOutcome {
    fn in_span(
        &self,
        asked: RequestTarget,
        span: Range<Duration>,
    ) -> impl Iterator<Item = &AnsweredRequest> {
        let is_asked =
            move |one: &&AnsweredRequest| one.asked == asked && span.contains(&one.sent_at);
        self.requests.iter().filter(is_asked)
    }

    fn count(
        &self,
        asked: RequestTarget,
        span: Range<Duration>,
        is_wrong: impl Fn(&AnsweredRequest) -> bool,
    ) -> usize {
        self.in_span(asked, span).filter(|one| is_wrong(one)).count()
    }

    /// Requests that an older configuration than the first changed one has let through.
    fn served_by_older(&self) -> [usize; 2] {
        let span = FIRST_CHANGES_AT + APPLY_LIMIT..LAST_CHANGES_AT;
        let moved =
            self.count(RequestTarget::MovedRoute, span.clone(), |one| one.is_served_by("former"));
        let key = self.count(RequestTarget::DroppedKey, span, |one| one.status == 200);
        [moved, key]
    }

    /// Requests that the last configuration would have served otherwise.
    fn served_without_last(&self) -> [usize; 2] {
        let span = LAST_CHANGES_AT + APPLY_LIMIT..END;
        let moved =
            self.count(RequestTarget::MovedRoute, span.clone(), |one| one.is_served_by("later"));
        let added =
            self.count(RequestTarget::AddedRoute, span, |one| matches!(one.status, 401 | 404));
        [moved, added]
    }

    /// Requests that endpoints got after they had said that they leave.
    fn at_leaving(&self) -> [usize; 2] {
        let count = |id: &str, since: Duration| {
            let span = since + APPLY_LIMIT..END;
            self.count(RequestTarget::ChangingEndpoints, span, |one| one.is_served_by(id))
        };
        [count("leaver-0", FIRST_CHANGES_AT), count("leaver-1", LAST_CHANGES_AT)]
    }

    /// Requests at the endpoints that have registered before and after the loss, in the last second.
    fn at_registered(&self) -> [usize; 2] {
        let span = LAST_CHANGES_AT + APPLY_LIMIT..END;
        ["late-0", "late-1"].map(|id| {
            self.count(RequestTarget::ChangingEndpoints, span.clone(), |one| one.is_served_by(id))
        })
    }

    fn not_served(&self, span: Range<Duration>) -> usize {
        self.count(RequestTarget::ChangingEndpoints, span, |one| one.status != 200)
    }

    fn reported_again(&self) -> usize {
        self.reports.values().filter(|count| **count > 1).count()
    }
}

fn daemon_count() -> usize {
    let named = std::env::var("LOSS_DAEMONS").ok().and_then(|text| text.parse().ok());
    named.unwrap_or(USUAL_DAEMONS)
}

fn play(loss: StoreLoss) -> LossOutcome {
    let _place = acquire_fleet_slot();
    let fleet = LossFleet::start(daemon_count());
    let requests = fleet.play(loss);
    let sent = reports(&fleet.platform);
    check_reports(&sent);
    let mut by_window = BTreeMap::new();
    for report in sent {
        *by_window.entry(report.body["window"].as_u64().expect("window")).or_default() += 1;
    }
    LossOutcome { requests, reports: by_window }
}

fn check(loss: StoreLoss) {
    let outcome = play(loss);
    let none = eq([0, 0]);
    println!(
        "{loss:?}: older {:?}, without last {:?}, leaving {:?}, registered {:?}, not served {}, \
         reported again {} of {}",
        outcome.served_by_older(),
        outcome.served_without_last(),
        outcome.at_leaving(),
        outcome.at_registered(),
        outcome.not_served(Duration::ZERO..END),
        outcome.reported_again(),
        outcome.reports.len(),
    );
    expect_that!(outcome.served_by_older(), none, "older configuration, dropped key");
    expect_that!(outcome.served_without_last(), eq([0, 0]), "moved route, added route");
    expect_that!(outcome.at_leaving(), eq([0, 0]), "endpoints that leave");
    expect_that!(outcome.at_registered(), each(gt(0)), "endpoints that have registered");
    expect_that!(outcome.reported_again(), eq(0), "usage windows");
}

macro_rules! loss_cases {
    ($($name:ident: $loss:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($loss);
        }
    )*};
}

const LOST: StoreLoss = StoreLoss {
    is_lost: true,
    lost_writes: 0,
    writes_after: 0,
    is_written_late: false,
    is_lost_twice: false,
    restarts_every_other: false,
};

loss_cases! {
    changes_hold_where_the_store_loses_nothing: StoreLoss::default();
    changes_hold_after_the_store_lost_few_writes: LOST;
    changes_hold_after_the_store_lost_many_writes: StoreLoss { lost_writes: 600, ..LOST };
    changes_hold_while_lost_writes_are_not_yet_written_again:
        StoreLoss { is_written_late: true, ..LOST };
    changes_hold_after_lost_revisions_were_soon_given_out_again:
        StoreLoss { writes_after: 400, ..LOST };
    changes_hold_at_daemons_that_start_after_the_store_lost_writes:
        StoreLoss { lost_writes: 600, restarts_every_other: true, ..LOST };
    changes_hold_after_the_store_lost_writes_twice:
        StoreLoss { lost_writes: 600, is_lost_twice: true, ..LOST };
}
