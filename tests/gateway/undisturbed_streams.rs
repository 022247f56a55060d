//! Streams whose connection must not be closed under them: by a change of the configuration, by SIGHUP or by an idle
//! time that is shorter than they are.

use std::{thread, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    cut_site::{CutSite, GRACE_S, STOP_PAUSE, patient_request, slow_configuration},
    endpoint_standin::EndpointManner,
    gateway_site::{KeptConnection, wait_for},
};

/// What happens to a daemon while a stream of three seconds runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Configurations,
    ReloadSignals,
    IdleTimeout,
}

fn stream_goes_on_during(disturbance: Disturbance) {
    let site = CutSite::start(EndpointManner::Stream(300), GRACE_S);
    if disturbance == Disturbance::IdleTimeout {
        site.platform.put("config", "main", short_idle(4, 200));
        thread::sleep(STOP_PAUSE);
    }
    let address = site.gateway.clients;
    let client = thread::spawn(move || {
        let mut connection = KeptConnection::open(address).expect("connection");
        connection.ask(&patient_request("/rigid/", "long", b"")).expect("answer")
    });
    for version in 5.. {
        if client.is_finished() {
            break;
        }
        match disturbance {
            Disturbance::Configurations => {
                site.platform.put("config", "main", short_idle(version, 200 + version));
            }
            Disturbance::ReloadSignals => site.gateway.signal("-HUP"),
            Disturbance::IdleTimeout => {}
        }
        thread::sleep(Duration::from_millis(150));
    }
    expect_that!(client.join().expect("client").whole, eq(true));
    wait_for("the line", || !site.outcomes("long").is_empty());
    expect_that!(site.outcomes("long"), elements_are![eq("answered")]);
}

/// A configuration with this idle time and other limits than before.
fn short_idle(version: u64, idle_ms: u64) -> Value {
    let mut stored = slow_configuration(version);
    stored["limits"] = json!({
        "max-header-bytes": 16_384 + version, "max-body-bytes": 10_000 + version,
        "header-timeout-ms": 100 + version, "idle-timeout-ms": idle_ms,
    });
    stored
}

macro_rules! stream_is_not_cut_by {
    ($($name:ident: $disturbance:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            stream_goes_on_during($disturbance);
        }
    )*};
}

stream_is_not_cut_by! {
    stream_goes_on_while_configurations_change: Disturbance::Configurations;
    stream_goes_on_while_the_daemon_gets_reload_signals: Disturbance::ReloadSignals;
    stream_goes_on_for_longer_than_the_idle_time: Disturbance::IdleTimeout;
}
