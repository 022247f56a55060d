//! Many clients at once whose bodies are large, unfinished, in small pieces or beyond the limit.

use crate::{
    crowd_client::{Crowd, Manner},
    crowd_site::{CrowdSite, MAX_BODY},
};

/// Bytes of a body in chunks of one byte: on the wire they are six times as many.
const TINY_CHUNK_BODY: usize = 256 * 1024;

/// Lets crowds of `count` clients come one after the other, each of the next manner.
fn check_crowds(count: usize, manners: &[Manner]) {
    let mut daemon = CrowdSite::start();
    daemon.expect_served("before");
    for (index, manner) in manners.iter().enumerate() {
        let mut crowd = Crowd::start(daemon.clients(), &format!("crowd-{index}"), count, *manner);
        daemon.await_read();
        daemon.expect_served(&format!("beside-{index}"));
        daemon.expect_sound();
        daemon.expect_promises(&mut crowd);
        drop(crowd);
        daemon.expect_served(&format!("after-{index}"));
        daemon.expect_sound();
    }
}

macro_rules! crowd_case {
    ($name:ident, $count:expr, $($manner:expr),+) => {
        #[googletest::test]
        fn $name() {
            check_crowds($count, &[$($manner),+]);
        }
    };
}

const LARGE: Manner = Manner::Unfinished { length: MAX_BODY, piece: 64 * 1024 };
const PIECES: Manner = Manner::Unfinished { length: MAX_BODY, piece: 1024 };
const LARGE_CHUNKS: Manner =
    Manner::UnfinishedChunks { length: MAX_BODY - 64 * 1024, chunk: 64 * 1024 };
const TINY_CHUNKS: Manner = Manner::UnfinishedChunks { length: TINY_CHUNK_BODY, chunk: 1 };
const ENDLESS_CHUNKS: Manner = Manner::EndlessChunks { length: 16 * MAX_BODY, chunk: 4 * 1024 };
const ORDINARY_SIZE: Manner = Manner::Unfinished { length: 72_000, piece: 8 * 1024 };

crowd_case!(large_bodies_stop_before_their_last_byte, 100, LARGE);
crowd_case!(large_bodies_come_a_kilobyte_at_a_time, 100, PIECES);
crowd_case!(large_chunks_stop_before_the_last_one, 100, LARGE_CHUNKS);
crowd_case!(chunks_of_one_byte_stop_before_the_last_one, 12, TINY_CHUNKS);
crowd_case!(chunks_go_on_beyond_the_limit, 100, ENDLESS_CHUNKS);
crowd_case!(
    clients_close_their_side_before_the_last_byte,
    100,
    Manner::HalfClosed { length: MAX_BODY }
);
crowd_case!(bodies_of_ordinary_size_stop_before_their_last_byte, 400, ORDINARY_SIZE);
crowd_case!(crowds_of_one_kind_follow_each_other, 100, LARGE, LARGE, LARGE);
crowd_case!(
    crowds_of_several_kinds_follow_each_other,
    60,
    LARGE,
    LARGE_CHUNKS,
    TINY_CHUNKS,
    ORDINARY_SIZE,
    PIECES
);
