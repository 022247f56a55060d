//! Part of the soak test with endpoints that signal in their responses that they drain, want a
//! back-off or have a request limit. They have their own service, their entries in the store stay
//! `ready`, and clients send them requests. The rules are checked while the soak test runs.

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
    link_faults::LinkFaults,
    platform_standin::PlatformStandin,
    signal_checks::{Disturbance, SeenSignals, SentAt},
    signalling_endpoint::{Arrival, EndpointSignal, SignallingEndpoint},
};

pub const SERVICE: &str = "speaking";
/// Number of endpoint groups, in each of which one endpoint at a time signals, and the size of a group.
pub const SIGNALLING_GROUPS: usize = 3;
const GROUP_SIZE: usize = 2;
/// Number of clients of this service.
pub const SIGNAL_CLIENTS: u64 = 4;
/// Pause between two requests of one client, in milliseconds.
const PAUSE_MS: Range<u64> = 10..60;
/// How long an endpoint sends a signal other than a limit, in milliseconds.
const SIGNAL_MS: Range<u64> = 300..4_000;
/// How long it sends a limit, which is checked from 3 s on, in milliseconds.
const LIMIT_SIGNAL_MS: Range<u64> = 300..9_000;
/// Pause before the next endpoint of the group signals, in milliseconds.
const QUIET_MS: Range<u64> = 50..600;
/// How long an endpoint is down before it starts again, in milliseconds.
const DOWN_MS: Range<u64> = 1..300;
/// Signals that an endpoint may send.
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

/// The endpoints, the requests of their clients, and the times in which daemons were disturbed.
pub struct SignalTraffic {
    endpoints: Vec<SignallingEndpoint>,
    sent: Mutex<HashMap<String, SentAt>>,
    disturbances: Mutex<Vec<Disturbance>>,
}

/// Adds the service of these endpoints to a configuration, with a route for requests that may be
/// retried and one for requests that may run only once.
pub fn with_signalling_service(configuration: Value) -> Value {
    with_service(configuration, SERVICE)
}

/// The same for a service of this name.
pub fn with_service(mut configuration: Value, service_name: &str) -> Value {
    for (place, kind) in ["plain", "once"].into_iter().enumerate() {
        let mut route = configuration["routes"][place].clone();
        let (name, prefix) =
            (format!("{service_name}-{place}"), format!("/{service_name}/{kind}/"));
        for (field, value) in
            [("name", &*name), ("service", service_name), ("path-prefix", &*prefix)]
        {
            route[field] = json!(value);
        }
        configuration["routes"].as_array_mut().expect("routes").push(route);
    }
    let mut service = configuration["services"][0].clone();
    service["name"] = json!(service_name);
    configuration["services"].as_array_mut().expect("services").push(service);
    configuration
}

impl SignalTraffic {
    pub fn start(platform: &Arc<PlatformStandin>, faults: &Arc<LinkFaults>) -> Self {
        let endpoint = |place: usize| {
            let name = format!("speaking-{place}");
            SignallingEndpoint::start(&name, SERVICE, platform, faults)
        };
        Self {
            endpoints: (0..SIGNALLING_GROUPS * GROUP_SIZE).map(endpoint).collect(),
            sent: Mutex::default(),
            disturbances: Mutex::default(),
        }
    }

    /// Records that a daemon was killed, stopped or frozen from `from` until now.
    pub fn record_disturbance(&self, daemon: usize, from: Instant) {
        let disturbance = Disturbance { daemon, from, until: Instant::now() };
        self.disturbances.lock().expect("lock").push(disturbance);
    }

    /// Lets one random endpoint of a group after the other send a signal, and checks the rules.
    pub fn run_signalling_group(&self, group: usize, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed * 10 + group as u64);
        let endpoints = &self.endpoints[group * GROUP_SIZE..][..GROUP_SIZE];
        while Instant::now() < until {
            let endpoint = endpoints.choose(&mut rng).expect("an endpoint");
            let signal = *SIGNALS.choose(&mut rng).expect("a signal");
            endpoint.set_signal(signal);
            self.rewrite_entry(endpoint, &mut rng);
            let signal_ms = if signal.limit().is_some() { LIMIT_SIGNAL_MS } else { SIGNAL_MS };
            thread::sleep(Duration::from_millis(rng.random_range(signal_ms)));
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

    /// Writes the endpoint's entry again as `ready`, removes it for a moment, or leaves it as it is.
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

    /// Sends requests for the endpoints to random daemons until then.
    pub fn run_client(&self, number: u64, addresses: &[SocketAddr], until: Instant, seed: u64) {
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
            // The outcome is checked at the endpoints; a daemon may be down or frozen.
            let _ = try_send_raw(addresses[daemon], &bytes);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    /// Checks that no request came over 2 s after an endpoint had signalled that it drains, at most
    /// two came during a back-off, and no more than a limit allows.
    pub fn check(&self) {
        let arrivals: Vec<Vec<Arrival>> =
            self.endpoints.iter().map(SignallingEndpoint::arrivals).collect();
        let sent = self.sent.lock().expect("lock").clone();
        let disturbances = self.disturbances.lock().expect("lock").clone();
        let seen = SeenSignals { arrivals: &arrivals, sent: &sent, disturbances: &disturbances };
        let (late, (asked, broken)) = (seen.late_arrivals(), seen.backoffs());
        assert_eq!(late, 0, "late requests to endpoints that drain");
        assert_eq!(broken, 0, "back-offs not kept, of {asked}");
        let limits = seen.limits();
        assert_eq!(limits.beyond, 0, "requests beyond limits: {limits:?}");
    }
}
