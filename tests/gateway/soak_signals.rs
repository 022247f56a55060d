//! Endpoints that say in their responses that they drain, want a back-off or take only so many requests,
//! in the soak: endpoints of a
//! service of their own, whose entries go on calling them ready, and clients that ask them. What
//! must hold is checked while the soak runs.

use std::{
    collections::HashMap,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::{Value, json};

use crate::{
    gateway_site::{request_bytes, try_send_raw},
    platform_standin::PlatformStandin,
    signal_checks::{Disturbance, SeenSignals, SentAt},
    signalling_endpoint::{Arrival, EndpointSignal, SignallingEndpoint},
};

const SERVICE: &str = "speaking";
/// Groups of endpoints of which one after the other says something, and the endpoints of a group.
pub const SIGNALLING_GROUPS: usize = 3;
const GROUP: usize = 2;
/// Clients of this service.
pub const SIGNAL_CLIENTS: u64 = 4;
/// Pause between two requests of one client, in milliseconds.
const PAUSE_MS: Range<u64> = 10..60;
/// How long an endpoint says something, and the pause before the next does, in milliseconds.
const SAID_MS: Range<u64> = 300..4_000;
/// The same of limits, which are judged from 3 s on.
const LIMITED_MS: Range<u64> = 300..9_000;
const QUIET_MS: Range<u64> = 50..600;
/// Time for which an endpoint is down that starts again, in milliseconds.
const DOWN_MS: Range<u64> = 1..300;
/// What an endpoint may say.
const SIGNALS: [EndpointSignal; 21] = [
    EndpointSignal::Drains,
    EndpointSignal::DrainsRefusing,
    EndpointSignal::DrainsFailing,
    EndpointSignal::BacksOff("2"),
    EndpointSignal::BacksOff("0.7"),
    EndpointSignal::BacksOffUnclear("1.5"),
    EndpointSignal::BacksOff("-1"),
    EndpointSignal::BacksOff("1e12"),
    EndpointSignal::BacksOff("soon"),
    EndpointSignal::Refuses,
    EndpointSignal::Limits("3"),
    EndpointSignal::Limits("0"),
    EndpointSignal::LimitsRefusing("1.5"),
    EndpointSignal::LimitsFailing("2"),
    EndpointSignal::LimitsBackingOff("1"),
    EndpointSignal::LimitsDraining("2"),
    EndpointSignal::Fails,
    EndpointSignal::FailsSometimes,
    EndpointSignal::Closes,
    EndpointSignal::Hangs,
    EndpointSignal::HangsAfterHead,
];

/// The endpoints, and what their clients have seen.
pub struct SignalTraffic {
    endpoints: Vec<SignallingEndpoint>,
    sent: Mutex<HashMap<String, SentAt>>,
    disturbances: Mutex<Vec<Disturbance>>,
}

/// Adds the routes and the service of these endpoints to a configuration: requests that may be
/// retried, and others.
pub fn with_signalling_service(mut configuration: Value) -> Value {
    for (place, prefix) in [(0, "/speaking/plain/"), (1, "/speaking/once/")] {
        let mut route = configuration["routes"][place].clone();
        let name = format!("{SERVICE}-{place}");
        for (field, value) in [("name", &*name), ("service", SERVICE), ("path-prefix", prefix)] {
            route[field] = json!(value);
        }
        configuration["routes"].as_array_mut().expect("routes").push(route);
    }
    let mut service = configuration["services"][0].clone();
    service["name"] = json!(SERVICE);
    configuration["services"].as_array_mut().expect("services").push(service);
    configuration
}

impl SignalTraffic {
    pub fn start(platform: &Arc<PlatformStandin>) -> Self {
        let endpoint = |place: usize| {
            SignallingEndpoint::start(&format!("speaking-{place}"), SERVICE, platform)
        };
        Self {
            endpoints: (0..SIGNALLING_GROUPS * GROUP).map(endpoint).collect(),
            sent: Mutex::default(),
            disturbances: Mutex::default(),
        }
    }

    /// Notes that a daemon was killed, stopped or frozen since `from`.
    pub fn disturbed(&self, daemon: usize, from: Instant) {
        let disturbance = Disturbance { daemon, from, until: Instant::now() };
        self.disturbances.lock().expect("lock").push(disturbance);
    }

    /// Has one endpoint of a group after the other say something, and checks what came of it.
    pub fn speak(&self, group: usize, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed * 10 + group as u64);
        let endpoints = &self.endpoints[group * GROUP..][..GROUP];
        while Instant::now() < until {
            let endpoint = endpoints.choose(&mut rng).expect("an endpoint");
            let signal = *SIGNALS.choose(&mut rng).expect("a signal");
            endpoint.set_signal(signal);
            self.rewrite_entry(endpoint, &mut rng);
            let said_ms = if signal.limit().is_some() { LIMITED_MS } else { SAID_MS };
            thread::sleep(Duration::from_millis(rng.random_range(said_ms)));
            if signal.is_draining() {
                endpoint.end();
                thread::sleep(Duration::from_millis(rng.random_range(DOWN_MS)));
                endpoint.start_again();
            }
            endpoint.set_signal(EndpointSignal::None);
            self.check();
            thread::sleep(Duration::from_millis(rng.random_range(QUIET_MS)));
        }
    }

    /// Writes the endpoint's entry anew as ready, takes it away for a moment, or leaves it.
    fn rewrite_entry(&self, endpoint: &SignallingEndpoint, rng: &mut SmallRng) {
        match rng.random_range(0..3) {
            0 => endpoint.register(),
            1 => {
                endpoint.unregister();
                thread::sleep(Duration::from_millis(rng.random_range(QUIET_MS)));
                endpoint.register();
            }
            _ => {}
        }
    }

    /// Asks the endpoints through random daemons.
    pub fn ask(&self, number: u64, addresses: &[SocketAddr], until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed * 100 + number);
        let prefix = ["/speaking/plain/", "/speaking/once/"][number as usize % 2];
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let daemon = rng.random_range(0..addresses.len());
            let id = format!("speaking-{number}-{count}");
            let sent = SentAt { daemon, at: Instant::now() };
            self.sent.lock().expect("lock").insert(id.clone(), sent);
            let bytes = request_bytes(&format!("{prefix}{id}/"), &id, "key-1", &[], b"");
            // What becomes of it is seen at the endpoints; a daemon may be down or frozen.
            let _ = try_send_raw(addresses[daemon], &bytes);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    /// No request over 2 s after an endpoint had said that it drains, at most two within a back-off, and
    /// no more than a limit allows.
    pub fn check(&self) {
        let arrivals: Vec<Vec<Arrival>> =
            self.endpoints.iter().map(SignallingEndpoint::arrivals).collect();
        let sent = self.sent.lock().expect("lock").clone();
        let disturbances = self.disturbances.lock().expect("lock").clone();
        let seen = SeenSignals { arrivals: &arrivals, sent: &sent, disturbances: &disturbances };
        let (late, (asked, broken)) = (seen.late_arrivals(), seen.backoffs());
        assert_eq!(late, 0, "requests to endpoints that drain");
        assert_eq!(broken, 0, "of {asked} back-offs were broken");
        let limits = seen.limits();
        assert_eq!(limits.beyond, 0, "requests beyond limits: {limits:?}");
    }
}
