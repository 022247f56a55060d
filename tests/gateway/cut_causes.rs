//! Why a request ends without a response or a refusal: from the phase of the daemon and whether its task panics.

use googletest::prelude::*;
use willowarch::{gateway::request::request_log::cut_cause::CutCause, kernel::LifePhase};

macro_rules! cause_of_a_cut {
    ($($name:ident: $phase:ident, $panicking:expr => $cause:ident;)*) => {$(
        #[googletest::test]
        fn $name() {
            let cause = CutCause::find(LifePhase::$phase, $panicking);
            expect_that!(cause, eq(CutCause::$cause));
        }
    )*};
}

cause_of_a_cut! {
    client_of_a_running_daemon_left: Running, false => ClientLeft;
    client_of_a_draining_daemon_left: Draining, false => ClientLeft;
    daemon_stopped: Stopping, false => DaemonStopped;
    request_of_a_running_daemon_panicked: Running, true => RequestPanicked;
    request_panicked_while_the_daemon_stopped: Stopping, true => RequestPanicked;
}
