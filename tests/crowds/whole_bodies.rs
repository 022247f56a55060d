//! Whole bodies within the limits: a few are served, however they are sent, and of many as many as there is
//! memory for.

use googletest::prelude::*;

use crate::{
    crowd_client::{Crowd, Manner},
    crowd_site::{CrowdSite, MAX_BODY, statuses},
    endpoint_standin::EndpointManner,
};

/// Lets `count` clients send whole bodies at once, and expects them all to be served.
fn check_served(count: usize, manner: Manner) {
    let mut daemon = CrowdSite::start();
    let mut crowd = Crowd::start(daemon.clients(), "calm", count, manner);
    let answers = crowd.await_answers();
    expect_that!(statuses(&answers), each(eq(&200)));
    expect_that!(answers, len(eq(count)));
    let seen = daemon.site.endpoints[0].seen();
    for (id, _) in &answers {
        let request = seen.iter().find(|request| request.id() == id).expect("a run");
        expect_that!(request.body, len(eq(MAX_BODY)));
        expect_that!(request.body, each(eq(&b'b')));
    }
    daemon.expect_sound();
}

macro_rules! served_case {
    ($name:ident, $count:expr, $manner:expr) => {
        #[googletest::test]
        fn $name() {
            check_served($count, $manner);
        }
    };
}

const TINY_CHUNKS: Manner = Manner::WholeChunks { length: MAX_BODY, chunk: 1 };

served_case!(one_of_the_largest_bodies, 1, Manner::Whole { length: MAX_BODY });
served_case!(one_in_chunks_of_one_byte, 1, TINY_CHUNKS);
served_case!(three_in_chunks_of_one_byte, 3, TINY_CHUNKS);

/// Time that an endpoint takes for a response, in milliseconds: all bodies of the crowd arrive within it.
const LONG_RUN_MS: u64 = 3_000;

#[googletest::test]
fn many_of_the_largest_bodies_are_held_while_their_requests_run() {
    let mut daemon = CrowdSite::start_with(EndpointManner::Delayed(LONG_RUN_MS));
    let mut crowd =
        Crowd::start(daemon.clients(), "whole", 100, Manner::Whole { length: MAX_BODY });
    daemon.expect_served("beside");
    let answers = crowd.await_answers();
    expect_that!(statuses(&answers), contains(eq(&200)));
    expect_that!(statuses(&answers), each(any![eq(&200), eq(&503)]));
    daemon.expect_promises(&mut crowd);
    daemon.expect_sound();
    drop(crowd);
    daemon.expect_served("after");
}
