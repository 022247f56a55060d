//! Why a request ends without a response or a refusal: from the phase of the daemon, the end of its connection, and
//! whether its task panics.

use googletest::prelude::*;
use willowarch::{
    gateway::request::{
        client_listener::connection_end::ConnectionEnd, request_log::cut_cause::CutCause,
    },
    kernel::LifePhase,
};

macro_rules! cause_of_a_cut {
    ($($name:ident: $phase:ident, $panicking:expr, $end:expr => $cause:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let cause = CutCause::find(LifePhase::$phase, $panicking, $end);
            expect_that!(cause, eq($cause));
        }
    )*};
}

use ConnectionEnd::{ClientLeft, ClosedForAnother, DaemonStopped, Finished, HeadLate, Idle};

cause_of_a_cut! {
    client_of_a_running_daemon_left: Running, false, None => CutCause::ClientLeft;
    client_of_a_draining_daemon_left: Draining, false, None => CutCause::ClientLeft;
    daemon_stopped: Stopping, false, None => CutCause::DaemonStopped;
    request_of_a_running_daemon_panicked: Running, true, None => CutCause::RequestPanicked;
    request_panicked_while_the_daemon_stopped: Stopping, true, None => CutCause::RequestPanicked;
    client_left_by_its_connection: Running, false, Some(ClientLeft) => CutCause::ClientLeft;
    client_left_while_the_daemon_stopped: Stopping, false, Some(ClientLeft) => CutCause::ClientLeft;
    connection_cut_by_a_stop: Stopping, false, Some(DaemonStopped) => CutCause::DaemonStopped;
    connection_finished_under_a_request: Running, false, Some(Finished) => CutCause::ClientLeft;
    connection_closed_for_another_under_a_request:
        Running, false, Some(ClosedForAnother) => CutCause::ConnectionClosed(ClosedForAnother);
    connection_closed_as_idle_under_a_request:
        Running, false, Some(Idle) => CutCause::ConnectionClosed(Idle);
    connection_closed_for_a_late_head_under_a_request:
        Draining, false, Some(HeadLate) => CutCause::ConnectionClosed(HeadLate);
    request_panicked_under_a_connection_that_ends:
        Running, true, Some(Idle) => CutCause::RequestPanicked;
}

macro_rules! text_of_a_cut {
    ($($name:ident: $cause:expr => $text:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!($cause.to_string(), eq($text));
        }
    )*};
}

text_of_a_cut! {
    log_names_a_client_that_left: CutCause::ClientLeft => "client left";
    log_names_what_closed_a_connection:
        CutCause::ConnectionClosed(ClosedForAnother) => "connection closed: closed for another";
}
