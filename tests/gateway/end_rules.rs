//! What the end of an endpoint's response means, checked over all inputs.

use googletest::prelude::*;
use willowarch::gateway::{
    policy::request::response_end::{EndInputs, EndpointSurvival, ResponseEnd},
    request::response_meaning::BodyFraming,
};

fn all_inputs() -> impl Iterator<Item = EndInputs> {
    let framings = [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close];
    let survivals = [EndpointSurvival::Alive, EndpointSurvival::Ended, EndpointSurvival::Unknown];
    let flags = (0..8_u8).map(|bits| (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0));
    flags.flat_map(move |(is_inside_event, may_begin_again, is_chunked_for_client)| {
        framings.into_iter().flat_map(move |framing| {
            survivals.into_iter().map(move |survival| EndInputs {
                framing,
                is_inside_event,
                may_begin_again,
                is_chunked_for_client,
                survival,
            })
        })
    })
}

#[googletest::test]
fn only_a_length_or_a_last_chunk_outside_of_events_makes_an_answer_complete() {
    for inputs in all_inputs() {
        let is_marked = inputs.framing != BodyFraming::Close;
        let is_complete = inputs.decide() == ResponseEnd::Complete;
        expect_that!(is_complete, eq(is_marked && !inputs.is_inside_event), "{inputs:?}");
    }
}

#[googletest::test]
fn end_that_proves_nothing_is_never_passed_on_in_chunks() {
    let chunked = all_inputs().filter(|inputs| inputs.is_chunked_for_client);
    for inputs in chunked {
        expect_that!(inputs.decide(), not(eq(ResponseEnd::Unproven)), "{inputs:?}");
    }
}

#[googletest::test]
fn end_of_the_endpoint_or_of_an_event_s_part_is_a_break() {
    for inputs in all_inputs() {
        let has_crashed =
            inputs.framing == BodyFraming::Close && inputs.survival == EndpointSurvival::Ended;
        let is_broken = inputs.decide() == ResponseEnd::Broken;
        expect_that!(is_broken, eq(has_crashed || inputs.is_inside_event), "{inputs:?}");
    }
}

#[googletest::test]
fn refused_connections_show_an_end_only_if_it_was_not_announced() {
    expect_that!(EndpointSurvival::after_refusal(true), eq(EndpointSurvival::Ended));
    expect_that!(EndpointSurvival::after_refusal(false), eq(EndpointSurvival::Unknown));
}
