//! Daemons whose seeds have all ended: they must find the other daemons all the same.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, wait_for},
    platform_standin::PlatformStandin,
};

const SEEDS: usize = 3;

/// Daemons of one platform. Each knows the same seeds.
pub struct SeededFleet {
    pub platform: PlatformStandin,
    pub daemons: Vec<Gateway>,
    pub seeds: Vec<SocketAddr>,
    _endpoint: EndpointStandin,
}

impl SeededFleet {
    /// Starts daemons, the first of which are the seeds, and waits until they hear each other.
    pub fn start(count: usize) -> Self {
        let platform = PlatformStandin::start_with(4 * count);
        platform.put("config", "main", configuration(3, &["key-1"]));
        let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
        platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
        let mut fleet =
            Self { platform, daemons: Vec::new(), seeds: Vec::new(), _endpoint: endpoint };
        for place in 0..count {
            let daemon = fleet.start_daemon(place);
            if place < SEEDS {
                fleet.seeds.push(daemon.peers);
            }
            fleet.daemons.push(daemon);
        }
        fleet.wait_heard(count);
        fleet
    }

    pub fn start_daemon(&self, number: usize) -> Gateway {
        Gateway::start(&format!("edge-{number}"), &self.platform, &self.seeds)
    }

    /// Ends the first daemons for good.
    pub fn end_first(&mut self, count: usize) {
        self.daemons.drain(..count).for_each(drop);
    }

    /// Starts daemons at other addresses, with the same seeds as before.
    pub fn add(&mut self, count: usize) {
        let first = self.daemons.len() + SEEDS;
        for number in first..first + count {
            let daemon = self.start_daemon(number);
            self.daemons.push(daemon);
        }
    }

    /// Waits until each daemon hears this number of daemons, itself included.
    pub fn wait_heard(&self, count: usize) {
        for daemon in &self.daemons {
            wait_for("reports of all daemons", || {
                state_of(daemon)["daemons_heard"] == json!(count)
            });
        }
    }
}

/// What a daemon serves at `/state`; null while it doesn't.
pub fn state_of(daemon: &Gateway) -> Value {
    let Ok(mut answer) = ureq::get(&format!("http://{}/state", daemon.metrics)).call() else {
        return Value::Null;
    };
    let text = answer.body_mut().read_to_string().expect("text");
    serde_json::from_str(&text).expect("JSON")
}

// Guards against new daemons that share no quota with the others, since their seeds have been replaced.
#[googletest::test]
fn new_daemons_find_the_others_although_all_seeds_have_ended() {
    let mut fleet = SeededFleet::start(5);
    fleet.end_first(SEEDS);
    fleet.add(SEEDS);
    fleet.wait_heard(5);
}

// Guards against a fleet of daemons that don't know each other after all former ones have ended.
#[googletest::test]
fn new_daemons_find_each_other_although_all_others_have_ended() {
    let mut fleet = SeededFleet::start(4);
    fleet.end_first(4);
    std::thread::sleep(Duration::from_millis(500));
    fleet.add(4);
    fleet.wait_heard(4);
}
