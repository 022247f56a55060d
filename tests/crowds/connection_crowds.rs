//! More connections than a daemon has descriptors for: ordinary clients still get theirs.

use googletest::prelude::*;

use crate::{
    crowd_client::{Crowd, Manner},
    crowd_site::{CrowdSite, MAX_FDS},
};

/// More clients than the daemon has descriptors.
const CLIENTS: usize = MAX_FDS + 200;

/// Lets a crowd open connections that it doesn't use up.
fn check_connections(manner: Manner) {
    let mut daemon = CrowdSite::start();
    let crowd = Crowd::start(daemon.clients(), "connection", CLIENTS, manner);
    daemon.await_read();
    daemon.expect_served("beside");
    expect_that!(daemon.site.gateway.is_ready(), eq(true));
    daemon.expect_sound();
    drop(crowd);
    daemon.expect_served("after");
    daemon.expect_sound();
}

macro_rules! connection_case {
    ($name:ident, $manner:expr) => {
        #[googletest::test]
        fn $name() {
            check_connections($manner);
        }
    };
}

connection_case!(heads_that_stop, Manner::UnfinishedHead { length: 12_000 });
connection_case!(one_byte_and_nothing_more, Manner::UnfinishedHead { length: 1 });
connection_case!(clients_that_send_nothing, Manner::Silent);
connection_case!(small_bodies_that_stop, Manner::Unfinished { length: 100, piece: 10 });
connection_case!(trailers_without_end, Manner::EndlessTrailers);
connection_case!(responses_that_are_not_read, Manner::Unread { requests: 400 });
