//! Part of the soak test with series of configurations that differ in their idle and header times only, beside
//! kept connections at rest, long bodies and signals to read the settings again. Every request that was sent whole
//! gets a response or a refusal, unless its daemon ended. The requests have their own service, whose endpoint serves
//! undisturbed.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin, has_closed},
    gateway_site::{WAIT_TIMEOUT, kept_request_bytes, parse_answer},
    platform_standin::PlatformStandin,
    signal_checks::Disturbance,
    soak_signals::with_service,
};

const SERVICE: &str = "timed";
/// Number of clients with kept connections, and of those with long bodies.
pub const KEPT_CLIENTS: u64 = 8;
pub const BODY_CLIENTS: u64 = 4;
/// Pause between two changes of the times, and between two signals, in milliseconds.
pub const CHANGE_MS: Range<u64> = 50..200;
pub const RELOAD_MS: Range<u64> = 50..400;
/// Lowered and raised times, in milliseconds.
const LOW_IDLE_MS: Range<u64> = 200..600;
const HIGH_IDLE_MS: Range<u64> = 1_000..20_000;
const LOW_HEADER_MS: Range<u64> = 50..200;
const HIGH_HEADER_MS: Range<u64> = 500..5_000;
/// How long a kept connection rests, in milliseconds: shorter than every idle time.
const REST_MS: Range<u64> = 0..150;
/// The same beyond some idle times and the margin of the daemons.
const LONG_REST_MS: Range<u64> = 400..1_500;
/// Pieces of a long body, their length in bytes, and the pause after each in milliseconds.
const BODY_PIECES: Range<usize> = 3..10;
const PIECE_BYTES: usize = 900;
const PIECE_PAUSE_MS: Range<u64> = 20..250;
/// Distinguishes the random numbers of this part from those of the other faults.
pub const SEED_OFFSET: u64 = 17_000_000;

/// Times of a configuration that end connections of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimes {
    pub idle_ms: u64,
    pub header_ms: u64,
}

impl ClientTimes {
    /// Those of `configuration`.
    pub const USUAL: Self = Self { idle_ms: 15_000, header_ms: 3_000 };

    /// Random times: each one is lowered or raised.
    pub fn random(rng: &mut SmallRng) -> Self {
        let mut draw = |low: Range<u64>, high: Range<u64>| {
            let range = if rng.random_bool(0.5) { low } else { high };
            rng.random_range(range)
        };
        Self {
            idle_ms: draw(LOW_IDLE_MS, HIGH_IDLE_MS),
            header_ms: draw(LOW_HEADER_MS, HIGH_HEADER_MS),
        }
    }

    /// A configuration with these times.
    pub fn set_in(self, mut configuration: Value) -> Value {
        configuration["limits"]["idle-timeout-ms"] = json!(self.idle_ms);
        configuration["limits"]["header-timeout-ms"] = json!(self.header_ms);
        configuration
    }
}

/// Adds the service of the endpoint to a configuration.
pub fn with_timed_service(configuration: Value) -> Value {
    with_service(configuration, SERVICE)
}

/// A request that was sent whole and got neither a response nor a refusal.
#[derive(Clone, Debug)]
struct LostRequest {
    id: String,
    daemon: usize,
    /// How long its connection had been at rest; none if it was new.
    rest: Option<Duration>,
    sent: Instant,
    ended: Instant,
}

/// The lost requests, and the times in which daemons ended.
pub struct TimesTraffic {
    /// Number of requests that were sent whole.
    whole: Mutex<usize>,
    lost: Mutex<Vec<LostRequest>>,
    ends: Mutex<Vec<Disturbance>>,
}

/// A connection to one daemon.
struct TimedConnection {
    daemon: usize,
    stream: TcpStream,
    /// When its last response was complete.
    rests_since: Option<Instant>,
}

impl TimedConnection {
    /// Opens a connection to a random daemon; none if that is down.
    fn open(addresses: &[SocketAddr], rng: &mut SmallRng) -> Option<Self> {
        let daemon = rng.random_range(0..addresses.len());
        let stream = TcpStream::connect(addresses[daemon]).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { daemon, stream, rests_since: None })
    }

    /// Sends pieces of a request with pauses between them; false if the daemon has closed the connection before.
    fn send(&mut self, pieces: &[&[u8]], rng: &mut SmallRng) -> bool {
        for (place, piece) in pieces.iter().enumerate() {
            if place > 0 {
                thread::sleep(Duration::from_millis(rng.random_range(PIECE_PAUSE_MS)));
            }
            if self.stream.write_all(piece).is_err() {
                return false;
            }
        }
        true
    }

    /// Reads a response; returns whether one has begun, and whether the connection can be kept.
    fn read(&mut self) -> (bool, bool) {
        let (mut all, mut buffer) = (Vec::new(), [0; 4_096]);
        loop {
            let length = self.stream.read(&mut buffer).unwrap_or(0);
            all.extend_from_slice(&buffer[..length]);
            let answer = parse_answer(&all);
            if answer.whole || length == 0 {
                let closes = answer.header("connection").is_some_and(|value| value == "close");
                self.rests_since = Some(Instant::now());
                return (answer.status != 0, answer.whole && !closes);
            }
        }
    }
}

impl TimesTraffic {
    /// Starts the endpoint, which serves until the process ends.
    pub fn start(platform: &Arc<PlatformStandin>) -> Self {
        let endpoint = EndpointStandin::start("timed-0", EndpointManner::Serve);
        let entry = json!({
            "service": SERVICE, "address": endpoint.address, "zone": "hall-a", "version": "v1",
            "slots": 50, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        platform.put("servers", &endpoint.id, entry);
        Self { whole: Mutex::default(), lost: Mutex::default(), ends: Mutex::default() }
    }

    /// Records that a daemon ended after `from`, and that another process has taken its place by now.
    pub fn record_end(&self, daemon: usize, from: Instant) {
        let end = Disturbance { daemon, from, until: Instant::now() };
        self.ends.lock().expect("lock").push(end);
    }

    /// Sends a request whose parts are these, and notes it if it is lost; returns whether the connection can be kept.
    fn exchange(
        &self,
        connection: &mut TimedConnection,
        id: &str,
        pieces: &[&[u8]],
        rng: &mut SmallRng,
    ) -> bool {
        let sent = Instant::now();
        let rest = connection.rests_since.map(|since| sent - since);
        let is_whole = connection.send(pieces, rng);
        let (has_begun, is_kept) = connection.read();
        if is_whole {
            *self.whole.lock().expect("lock") += 1;
        }
        if is_whole && !has_begun {
            let (daemon, ended) = (connection.daemon, Instant::now());
            let lost = LostRequest { id: id.to_owned(), daemon, rest, sent, ended };
            self.lost.lock().expect("lock").push(lost);
        }
        is_kept
    }

    /// Sends requests over kept connections that rest in between, until then.
    pub fn run_kept_client(
        &self,
        number: u64,
        addresses: &[SocketAddr],
        until: Instant,
        seed: u64,
    ) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed * 100 + number);
        // Half of the clients let connections rest for so long that the daemons close some.
        let rest_ms = if number.is_multiple_of(2) { REST_MS } else { LONG_REST_MS };
        let mut kept: Option<TimedConnection> = None;
        for count in 0.. {
            thread::sleep(Duration::from_millis(rng.random_range(rest_ms.clone())));
            if Instant::now() >= until {
                return;
            }
            let open = kept.take().filter(|connection| !has_closed(&connection.stream));
            let open = open.or_else(|| TimedConnection::open(addresses, &mut rng));
            let Some(mut connection) = open else { continue };
            let id = format!("{SERVICE}-{number}-{count}");
            let bytes = request_bytes(&id, number, b"");
            if self.exchange(&mut connection, &id, &[&bytes], &mut rng) {
                kept = Some(connection);
            }
        }
    }

    /// Sends requests with bodies that arrive slowly, until then.
    pub fn run_body_client(
        &self,
        number: u64,
        addresses: &[SocketAddr],
        until: Instant,
        seed: u64,
    ) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed * 100 + KEPT_CLIENTS + number);
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let Some(mut connection) = TimedConnection::open(addresses, &mut rng) else {
                thread::sleep(Duration::from_millis(rng.random_range(PIECE_PAUSE_MS)));
                continue;
            };
            let id = format!("{SERVICE}-body-{number}-{count}");
            let body = vec![b'x'; rng.random_range(BODY_PIECES) * PIECE_BYTES];
            let bytes = request_bytes(&id, number, &body);
            let pieces: Vec<&[u8]> = bytes.chunks(PIECE_BYTES).collect();
            self.exchange(&mut connection, &id, &pieces, &mut rng);
        }
    }

    /// Checks that no request was lost at a daemon that did not end meanwhile.
    pub fn check(&self) {
        let ends = self.ends.lock().expect("lock");
        let has_ended = |request: &LostRequest| {
            let mut of_daemon = ends.iter().filter(|end| end.daemon == request.daemon);
            of_daemon.any(|end| end.until >= request.sent && end.from <= request.ended)
        };
        let all = self.lost.lock().expect("lock");
        let lost: Vec<&LostRequest> = all.iter().filter(|request| !has_ended(request)).collect();
        let (whole, excused) = (*self.whole.lock().expect("lock"), all.len() - lost.len());
        println!("{} of {whole} whole requests lost, {excused} at daemons that ended", lost.len());
        for LostRequest { id, daemon, rest, sent, ended } in &lost {
            println!(
                "{id} at daemon {daemon}, at rest for {rest:?}: lost after {:?}",
                *ended - *sent
            );
        }
        assert!(lost.is_empty(), "{} requests without a response or a refusal", lost.len());
    }
}

/// A request that keeps its connection; every other client sends such as may run only once.
fn request_bytes(id: &str, client: u64, body: &[u8]) -> Vec<u8> {
    let kind = ["plain", "once"][client as usize / 2 % 2];
    kept_request_bytes(&format!("/{SERVICE}/{kind}/{id}/"), id, "key-1", &[], body)
}
