//! Which of several runs of a request its client gets.

use googletest::prelude::*;
use willowarch::{
    ids::{AttemptId, IncarnationId},
    native::serve::run::response_lead::{LeadState, ResponseLead},
};

use crate::cases;

/// What a run does.
#[derive(Clone, Copy)]
enum RunStep {
    Begins(u64),
    SendsToken(u64),
    IsSilent(u64),
}

use RunStep::{Begins, IsSilent, SendsToken};

fn run(sequence: u64) -> AttemptId {
    AttemptId { incarnation: IncarnationId(1), sequence }
}

/// Lead after these steps. A run that was overtaken sends nothing, as in an attempt.
fn lead_after(steps: &[RunStep]) -> ResponseLead {
    let lead = ResponseLead::new(Vec::new());
    for step in steps {
        match *step {
            Begins(one) => lead.begin(run(one)),
            SendsToken(one) if lead.is_overtaken(run(one)) => {}
            SendsToken(one) => lead.add(run(one), format!("{one}").into()),
            IsSilent(one) => lead.set_silent(run(one)),
        }
    }
    lead
}

fn state_follows(steps: &[RunStep], state: LeadState, tokens: &str) {
    let lead = lead_after(steps);
    expect_that!(lead.state(), eq(state));
    expect_that!(lead.tokens().concat(), eq(tokens));
}

cases!(state_follows:
    begun_run_is_awaited(&[Begins(1)], LeadState::Awaited, ""),
    token_of_the_only_run_leads(&[Begins(1), SendsToken(1)], LeadState::Led(run(1)), "1"),
    only_run_is_silent(&[Begins(1), SendsToken(1), IsSilent(1)], LeadState::Silent, "1"),
    run_beside_a_silent_one_is_awaited(
        &[Begins(1), IsSilent(1), Begins(2)], LeadState::Awaited, ""),
    silence_of_an_older_run_changes_nothing(
        &[Begins(1), IsSilent(1), Begins(2), IsSilent(1)], LeadState::Awaited, ""),
    silence_of_the_newest_run_asks_for_another(
        &[Begins(1), IsSilent(1), Begins(2), IsSilent(2)], LeadState::Silent, ""),
    run_beside_overtakes(
        &[Begins(1), SendsToken(1), IsSilent(1), Begins(2), SendsToken(2), SendsToken(1)],
        LeadState::Led(run(2)), "12"),
    silent_run_that_goes_on_overtakes(
        &[Begins(1), SendsToken(1), IsSilent(1), Begins(2), SendsToken(1), SendsToken(2)],
        LeadState::Led(run(1)), "11"),
    run_that_went_on_may_be_silent_again(
        &[Begins(1), IsSilent(1), Begins(2), SendsToken(1), IsSilent(1)],
        LeadState::Silent, "1"),
    overtaken_run_is_not_awaited_any_more(
        &[Begins(1), IsSilent(1), Begins(2), SendsToken(2), IsSilent(1)],
        LeadState::Led(run(2)), "2"),
);
