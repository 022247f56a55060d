//! Refusals reach clients that are still sending their bodies.

use googletest::prelude::*;

use crate::{
    crowd_client::{Crowd, Manner},
    crowd_site::{CrowdSite, MAX_BODY, statuses},
};

/// Length of a body far beyond the limit, in bytes: more than the sockets of a connection hold.
const HUGE: usize = 16 * MAX_BODY;
/// Number of clients. Their bodies up to the limit are more than a daemon holds.
const CLIENTS: usize = 20;

/// Expects each of a few clients to get one of these statuses although it sends all of its body first.
fn check_refused(manner: Manner, allowed: &[u16]) {
    let mut daemon = CrowdSite::start();
    let mut crowd = Crowd::start(daemon.clients(), "refused", CLIENTS, manner);
    let answers = crowd.await_answers();
    expect_that!(answers, len(eq(CLIENTS)));
    expect_that!(statuses(&answers), each(predicate(|status: &u16| allowed.contains(status))));
    expect_that!(daemon.site.runs(), elements_are![eq(&0)]);
    drop(crowd);
    daemon.expect_served("after");
    daemon.expect_sound();
}

macro_rules! refused_case {
    ($name:ident, $manner:expr, $allowed:expr) => {
        #[googletest::test]
        fn $name() {
            check_refused($manner, $allowed);
        }
    };
}

const ANNOUNCED: Manner = Manner::Announced { length: HUGE };
// Where the length is not announced, a body may have to give way to others before it is too long.
const CHUNKS: Manner = Manner::WholeChunks { length: HUGE, chunk: 4096 };

refused_case!(body_announced_beyond_the_limit, ANNOUNCED, &[413]);
refused_case!(chunks_beyond_the_limit, CHUNKS, &[413, 503]);
refused_case!(body_for_an_unknown_route, Manner::UnknownRoute { length: HUGE }, &[404]);
refused_case!(body_with_an_unknown_key, Manner::UnknownKey { length: HUGE }, &[401]);
