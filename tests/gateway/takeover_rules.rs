//! Which of two runs of a stream goes on, checked over all inputs.

use googletest::prelude::*;
use willowarch::gateway::{
    policy::request::response_end::run_takeover::{RunTakeover, TakeoverInputs},
    request::response_meaning::BodyFraming,
};

const FRAMINGS: [BodyFraming; 3] = [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close];

fn all_inputs() -> impl Iterator<Item = TakeoverInputs> {
    let current = FRAMINGS.map(Some).into_iter().chain([None]);
    current.flat_map(|current| {
        FRAMINGS.into_iter().flat_map(move |further| {
            [false, true].into_iter().map(move |is_chunked_for_client| TakeoverInputs {
                is_chunked_for_client,
                current,
                further,
            })
        })
    })
}

#[googletest::test]
fn run_that_can_end_the_response_is_never_given_up_for_one_that_cannot() {
    for inputs in all_inputs().filter(|inputs| inputs.is_chunked_for_client) {
        let current_ends = inputs.current.is_some_and(|current| current != BodyFraming::Close);
        let further_ends = inputs.further != BodyFraming::Close;
        let is_held = inputs.decide() == RunTakeover::Held;
        expect_that!(is_held, eq(current_ends && !further_ends), "{inputs:?}");
    }
}

#[googletest::test]
fn further_run_takes_over_where_the_client_needs_no_marked_end() {
    for inputs in all_inputs().filter(|inputs| !inputs.is_chunked_for_client) {
        expect_that!(inputs.decide(), eq(RunTakeover::TakesOver), "{inputs:?}");
    }
}

#[googletest::test]
fn further_run_takes_over_from_one_that_has_failed() {
    for inputs in all_inputs().filter(|inputs| inputs.current.is_none()) {
        expect_that!(inputs.decide(), eq(RunTakeover::TakesOver), "{inputs:?}");
    }
}
