//! Part of the soak test with endpoints that are brittle all the time, get more requests than they can serve,
//! and start again now and then. They have their own service.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::Value;

use crate::{
    gateway_site::{request_bytes, try_send_raw},
    link_faults::LinkFaults,
    platform_standin::PlatformStandin,
    signal_checks::{Disturbance, counted_falls},
    signalling_endpoint::{EndpointSignal, SignallingEndpoint},
    soak_signals::with_service,
};

pub const SERVICE: &str = "brittle";
const ENDPOINTS: usize = 3;
/// Number of clients: somewhat more than the endpoints can serve.
pub const BRITTLE_CLIENTS: u64 = 24;
/// Falls that are allowed: this number, and one for so many endpoints.
const ALLOWED_FALLS: usize = 2;
const ENDPOINTS_PER_FALL: usize = 10;
/// Pause between two requests of one client, in milliseconds.
const PAUSE_MS: Range<u64> = 10..60;
/// Time between two starts of endpoints, and for which an endpoint is down, in milliseconds.
const START_INTERVAL_MS: Range<u64> = 300..2_500;
const DOWN_MS: Range<u64> = 1..400;
/// Distinguishes the random numbers of this part from those of the other faults.
const SEED_OFFSET: u64 = 9_000_000;

/// The endpoints, and the times in which daemons were disturbed.
pub struct BrittleTraffic {
    endpoints: Vec<SignallingEndpoint>,
    disturbances: Mutex<Vec<Disturbance>>,
}

/// Adds the service of these endpoints to a configuration.
pub fn with_brittle_service(configuration: Value) -> Value {
    with_service(configuration, SERVICE)
}

impl BrittleTraffic {
    pub fn start(platform: &Arc<PlatformStandin>, faults: &Arc<LinkFaults>) -> Self {
        let start = |place: usize| {
            let name = format!("brittle-{place}");
            let endpoint = SignallingEndpoint::start(&name, SERVICE, platform, faults);
            endpoint.set_signal(EndpointSignal::Brittle("2"));
            endpoint
        };
        Self { endpoints: (0..ENDPOINTS).map(start).collect(), disturbances: Mutex::default() }
    }

    /// Records that a daemon was killed, stopped or frozen from `from` until now.
    pub fn record_disturbance(&self, daemon: usize, from: Instant) {
        let disturbance = Disturbance { daemon, from, until: Instant::now() };
        self.disturbances.lock().expect("lock").push(disturbance);
    }

    /// Starts random endpoints again until then.
    pub fn start_endpoints_again(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(rng.random_range(START_INTERVAL_MS)));
            let endpoint = self.endpoints.choose(&mut rng).expect("an endpoint");
            endpoint.end();
            thread::sleep(Duration::from_millis(rng.random_range(DOWN_MS)));
            endpoint.start_signalling_again();
        }
    }

    /// Sends requests for the endpoints to random daemons until then.
    pub fn run_client(&self, number: u64, addresses: &[SocketAddr], until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed * 100 + number);
        let prefix = ["plain", "once"][number as usize % 2];
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let daemon = rng.random_range(0..addresses.len());
            // The endpoints read the daemon from the id.
            let id = format!("{SERVICE}-{number}-{count}-{daemon}");
            let path = format!("/{SERVICE}/{prefix}/{id}/");
            let bytes = request_bytes(&path, &id, "key-1", &[], b"");
            // A daemon may be down or frozen.
            let _ = try_send_raw(addresses[daemon], &bytes);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    /// Checks that the endpoints did not fall over too often because of daemons that ran undisturbed.
    pub fn check(&self) {
        let disturbances = self.disturbances.lock().expect("lock");
        let (counted, all) = counted_falls(&self.endpoints, &disturbances);
        println!("{counted} falls of brittle endpoints that count, {all} in all");
        let allowed = ALLOWED_FALLS + ENDPOINTS / ENDPOINTS_PER_FALL;
        assert!(counted <= allowed, "{counted} falls of brittle endpoints, {allowed} allowed");
    }
}
