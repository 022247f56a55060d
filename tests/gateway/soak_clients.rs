//! Clients of the soak test, and the checks of each of their requests.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::gateway_site::{
    KeptConnection, RawAnswer, kept_request_bytes, request_bytes, try_send_raw,
};

/// Pause between two requests of one client, in milliseconds.
const PAUSE_MS: Range<u64> = 5..30;
/// Requests over one kept connection before the client opens another one.
const KEPT_REQUESTS: Range<u64> = 5..60;

/// The route of a request, which decides whether it may be repeated and whether it is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Plain,
    Once,
    Stream,
    Rigid,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Plain, Self::Once, Self::Stream, Self::Rigid];

    fn prefix(self) -> &'static str {
        match self {
            Self::Plain => "/plain/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Rigid => "/rigid/",
        }
    }

    /// Whether it may be sent to another endpoint, or resumed there.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Plain | Self::Stream)
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Rigid)
    }
}

/// A request and its answer; none if the connection could not be opened or broke.
pub struct Exchange {
    pub id: String,
    /// Id of the attempt that brought the first event, if it is a stream.
    pub stream: String,
    /// Number of events that the client had before.
    pub after: u64,
    pub kind: RequestKind,
    pub answer: Option<RawAnswer>,
}

impl Exchange {
    pub fn is_served(&self) -> bool {
        let is_whole = |answer: &RawAnswer| answer.whole || answer.may_be_whole();
        self.answer.as_ref().is_some_and(|answer| answer.status == 200 && is_whole(answer))
    }

    /// Whether a response has begun.
    pub fn has_begun(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }

    /// Versions that have written the events.
    pub fn versions(&self) -> Vec<String> {
        let text = self.answer.as_ref().filter(|answer| answer.status == 200).map(RawAnswer::text);
        let text = text.unwrap_or_default();
        whole_events(&text)
            .filter_map(|event| event.split_once("data: "))
            .map(|(_, version)| version.to_owned())
            .collect()
    }

    /// Number of the last event that has arrived, if it is a stream that has broken off.
    fn last_event(&self) -> Option<u64> {
        let answer = self.answer.as_ref().filter(|_| self.kind == RequestKind::Stream)?;
        if answer.status != 200 || self.is_served() {
            return None;
        }
        let text = answer.text();
        let last = whole_events(&text).last()?;
        last.strip_prefix("id: ")?.lines().next()?.parse().ok()
    }

    /// Checks the answer against the number of times that endpoints ran the request.
    pub fn check(&self, runs: usize) {
        let Self { id, kind, answer, after, .. } = self;
        if !kind.may_repeat() {
            assert!(runs <= 1, "{id} ({kind:?}) ran {runs} times");
        }
        let Some(answer) = answer else { return };
        let status_means_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
        if status_means_not_run && !kind.may_repeat() {
            assert_eq!(runs, 0, "{id} ({kind:?}) ran although its status was {}", answer.status);
        }
        if status_means_not_run && answer.header("x-response-seal").is_none() {
            assert!(
                answer.header("retry-after").is_some(),
                "{id}: no Retry-After in {}",
                answer.head
            );
        }
        if self.is_served() {
            check_body(id, *kind, *after, answer);
        }
    }
}

/// The events of a stream that have arrived whole.
fn whole_events(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive("\n\n").filter_map(|event| event.strip_suffix("\n\n"))
}

fn check_body(id: &str, kind: RequestKind, after: u64, answer: &RawAnswer) {
    let text = answer.text();
    if !kind.is_stream() {
        assert!(
            text.contains(&format!("{}{id}/ ", kind.prefix())),
            "{id} got the body of another request: {text}"
        );
        return;
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|number| number.parse().expect("event id")).collect();
    assert!(text.ends_with("\n\n"), "stream of {id} ends inside an event: {text:?}");
    let expected: Vec<u64> = (after + 1..=after + ids.len() as u64).collect();
    assert_eq!(ids, expected, "event ids of {id}");
    assert!(ids.len() >= 5, "stream of {id} ends after {} events", ids.len());
}

/// A client that sends requests of random kinds to random daemons. Every other client sends many
/// requests over one connection, until the daemon closes it.
pub struct SoakClient {
    number: u64,
    count: u64,
    rng: SmallRng,
    kept: Option<KeptConnection>,
    /// Number of requests that may still be sent over the kept connection.
    requests_left: u64,
}

impl SoakClient {
    pub fn new(number: u64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + number);
        Self { number, count: 0, rng, kept: None, requests_left: 0 }
    }

    pub fn run(&mut self, addresses: &[SocketAddr], until: Instant, log: &Mutex<Vec<Exchange>>) {
        while Instant::now() < until {
            self.count += 1;
            let id = format!("{}-{}", self.number, self.count);
            let kind = RequestKind::ALL[self.rng.random_range(0..RequestKind::ALL.len())];
            let address = addresses[self.rng.random_range(0..addresses.len())];
            let path = format!("{}{id}/", kind.prefix());
            let answer = match self.number % 2 {
                0 => try_send_raw(address, &request_bytes(&path, &id, "key-1", &[], b"")).ok(),
                _ => self.ask_kept(address, &kept_request_bytes(&path, &id, "key-1", &[], b"")),
            };
            let exchange = Exchange { stream: id.clone(), after: 0, id, kind, answer };
            let taken_up = self.take_up(addresses, &path, &exchange);
            log.lock().expect("lock").extend([exchange].into_iter().chain(taken_up));
            thread::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS)));
        }
    }

    /// Takes a stream that has broken off up again at some daemon.
    fn take_up(
        &mut self,
        addresses: &[SocketAddr],
        path: &str,
        broken: &Exchange,
    ) -> Option<Exchange> {
        let after = broken.last_event()?;
        self.count += 1;
        let (id, stream) = (format!("{}-{}", self.number, self.count), broken.stream.clone());
        let (last, resumes) = (format!("Last-Event-Id: {after}"), format!("Resumes: {stream}"));
        let address = addresses[self.rng.random_range(0..addresses.len())];
        let request = request_bytes(path, &id, "key-1", &[&last, &resumes], b"");
        let answer = try_send_raw(address, &request).ok();
        Some(Exchange { id, stream, after, kind: broken.kind, answer })
    }

    /// Sends a request over the kept connection, or a new one if there is none.
    fn ask_kept(&mut self, address: SocketAddr, bytes: &[u8]) -> Option<RawAnswer> {
        let mut connection = match self.kept.take() {
            Some(connection) => connection,
            None => {
                self.requests_left = self.rng.random_range(KEPT_REQUESTS);
                KeptConnection::open(address).ok()?
            }
        };
        let answer = connection.ask(bytes).ok()?;
        self.requests_left = self.requests_left.saturating_sub(1);
        let closes = answer.header("connection").is_some_and(|value| value == "close");
        if answer.whole && !closes && self.requests_left > 0 {
            self.kept = Some(connection);
        }
        Some(answer)
    }
}
