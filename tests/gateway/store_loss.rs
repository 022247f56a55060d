//! Restores the store from a backup copy: writes acknowledged after the copy are lost, and its
//! revisions go back. Changes must still be applied in time and stay in force.
//!
//! `LOSS_DAEMONS=77 cargo test --test gateway store_loss` runs a fleet of several gossip groups.
//! `LOSS_FORMER=FILE` runs the last release's program as every second daemon.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    leader_tasks::{check_reports, reports},
    store_loss_fleet::{
        AnsweredRequest, FIRST_CHANGES_AT, LAST_CHANGES_AT, LossFleet, RequestTarget, StoreLoss,
    },
};

/// Number of daemons if `LOSS_DAEMONS` is not set.
const DEFAULT_DAEMONS: usize = 9;
/// Time within which a change must be in force after the store has acknowledged it.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
const END: Duration = Duration::from_secs(60);

/// The requests of clients with their answers, and the usage reports that the cloud received.
struct LossOutcome {
    requests: Vec<AnsweredRequest>,
    /// Number of reports for each usage window.
    reports: BTreeMap<u64, usize>,
}

impl LossOutcome {
    fn in_span(
        &self,
        target: RequestTarget,
        span: Range<Duration>,
    ) -> impl Iterator<Item = &AnsweredRequest> {
        let has_target =
            move |one: &&AnsweredRequest| one.target == target && span.contains(&one.sent_at);
        self.requests.iter().filter(has_target)
    }

    fn count(
        &self,
        target: RequestTarget,
        span: Range<Duration>,
        is_wrong: impl Fn(&AnsweredRequest) -> bool,
    ) -> usize {
        self.in_span(target, span).filter(|one| is_wrong(one)).count()
    }

    /// Requests that were served by a configuration older than the first change.
    fn served_by_older_configuration(&self) -> [usize; 2] {
        let span = FIRST_CHANGES_AT + APPLY_LIMIT..LAST_CHANGES_AT;
        let moved =
            self.count(RequestTarget::MovedRoute, span.clone(), |one| one.is_served_by("former"));
        let key = self.count(RequestTarget::DroppedKey, span, |one| one.status == 200);
        [moved, key]
    }

    /// Requests that were answered as if the last change had not been made.
    fn served_without_last_change(&self) -> [usize; 2] {
        let span = LAST_CHANGES_AT + APPLY_LIMIT..END;
        let moved =
            self.count(RequestTarget::MovedRoute, span.clone(), |one| one.is_served_by("later"));
        let added =
            self.count(RequestTarget::AddedRoute, span, |one| matches!(one.status, 401 | 404));
        [moved, added]
    }

    /// Requests served by endpoints after these had written in their entries that they drain.
    fn served_by_leaving(&self) -> [usize; 2] {
        let count = |id: &str, since: Duration| {
            let span = since + APPLY_LIMIT..END;
            self.count(RequestTarget::ChangingEndpoints, span, |one| one.is_served_by(id))
        };
        [count("leaver-0", FIRST_CHANGES_AT), count("leaver-1", LAST_CHANGES_AT)]
    }

    /// Requests served by the endpoints that registered before and after the loss, counted once the
    /// last changes must be in force.
    fn served_by_registered(&self) -> [usize; 2] {
        let span = LAST_CHANGES_AT + APPLY_LIMIT..END;
        ["late-0", "late-1"].map(|id| {
            self.count(RequestTarget::ChangingEndpoints, span.clone(), |one| one.is_served_by(id))
        })
    }

    fn not_served(&self, span: Range<Duration>) -> usize {
        self.count(RequestTarget::ChangingEndpoints, span, |one| one.status != 200)
    }

    fn windows_reported_again(&self) -> usize {
        self.reports.values().filter(|count| **count > 1).count()
    }
}

fn daemon_count() -> usize {
    let named = std::env::var("LOSS_DAEMONS").ok().and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_DAEMONS)
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
        "{loss:?}: older configuration {:?}, last change missing {:?}, leaving endpoints {:?}, \
         registered endpoints {:?}, not served {}, windows reported again {} of {}",
        outcome.served_by_older_configuration(),
        outcome.served_without_last_change(),
        outcome.served_by_leaving(),
        outcome.served_by_registered(),
        outcome.not_served(Duration::ZERO..END),
        outcome.windows_reported_again(),
        outcome.reports.len(),
    );
    expect_that!(
        outcome.served_by_older_configuration(),
        none,
        "requests served by the older route and with the dropped key"
    );
    expect_that!(
        outcome.served_without_last_change(),
        eq([0, 0]),
        "requests to the moved and the added route without the last change"
    );
    expect_that!(outcome.served_by_leaving(), eq([0, 0]), "requests at endpoints that leave");
    expect_that!(
        outcome.served_by_registered(),
        each(gt(0)),
        "requests at endpoints that have registered"
    );
    expect_that!(outcome.windows_reported_again(), eq(0), "usage windows reported more than once");
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
    changes_stay_in_force_when_the_store_loses_nothing: StoreLoss::default();
    changes_stay_in_force_after_the_store_lost_few_writes: LOST;
    changes_stay_in_force_after_the_store_lost_many_writes: StoreLoss { lost_writes: 600, ..LOST };
    changes_stay_in_force_while_lost_writes_are_not_yet_written_again:
        StoreLoss { is_written_late: true, ..LOST };
    changes_stay_in_force_after_lost_revisions_were_assigned_again:
        StoreLoss { writes_after: 400, ..LOST };
    changes_stay_in_force_at_daemons_that_start_after_the_store_lost_writes:
        StoreLoss { lost_writes: 600, restarts_every_other: true, ..LOST };
    changes_stay_in_force_after_the_store_lost_writes_twice:
        StoreLoss { lost_writes: 600, is_lost_twice: true, ..LOST };
}
