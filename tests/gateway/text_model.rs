//! Simulation without I/O of how configurations spread in a large fleet. It runs the daemons' own code
//! that selects the peers to call and the peers to request texts from, over links of 10 Mbit/s.
//!
//! Every daemon calls its peers at a fixed phase of the gossip interval. Daemons that start together
//! have nearly the same phase: in a real run, 65 of 79 called their peers within the same 20 ms of
//! every 100 ms. Messages take no time. Texts are compressed as in the daemons, share the bandwidth of
//! the sender's link evenly and fail after the time limit of a call. The daemons that watch the store
//! have each new text once their own link has transferred the whole of it.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        gossip::{
            caller::{CALLS_PER_INTERVAL, FETCH_LIMIT, GOSSIP_INTERVAL},
            peer_record::PeerReport,
            peer_table::PeerTable,
            text_codec,
        },
        policy::daemon::{
            catch_up::CatchUpState,
            held_texts::{HeldTexts, HeldVersions, TextId},
            text_fetches::{FetchOutcome, FetchOutcomes, TextFetches},
            text_pacing::TextPacer,
        },
    },
    ids::IncarnationId,
    store_position::StorePosition,
};

/// Bandwidth of a link of 10 Mbit/s in bytes per second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Time between two steps of the simulation; a daemon calls its peers in one of twenty steps.
const STEP: Duration = Duration::from_millis(5);
/// Fraction of the daemons that call their peers in the same `SHARED_STEPS` steps of each interval.
const SHARED_PHASE_FRACTION: f64 = 65.0 / 79.0;
/// Number of steps in which these daemons call their peers: 20 ms.
const SHARED_STEPS: u32 = 4;
/// Number of summaries of other daemons in one message, as in the daemon.
const PEER_SUMMARIES: usize = 8;

/// The changes of the configuration that operators write.
#[derive(Clone, Copy, Debug)]
pub struct TextChanges {
    /// Length of the whole text in bytes.
    pub text_bytes: usize,
    /// Time between two changes.
    pub interval: Duration,
    /// Number of changes.
    pub count: u64,
}

/// Length of a text as it is sent, in bytes.
#[derive(Clone, Copy, Debug)]
struct SentBytes {
    /// Where sender and receiver have no former text in common.
    whole: usize,
    /// As a difference from a former text.
    change: usize,
}

impl SentBytes {
    /// Lengths for a configuration of `length` bytes in which one timeout was changed.
    fn of(length: usize) -> Self {
        let former = sample_text(length, 3_000);
        let text = sample_text(length, 3_001);
        let sent = |base: &[u8]| text_codec::compress(&text, base).expect("compressed").len();
        Self { whole: sent(&[]), change: sent(&former) }
    }
}

/// A configuration of `length` bytes with one timeout and routes of random names.
fn sample_text(length: usize, timeout_ms: u32) -> Vec<u8> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut text = format!(r#"{{"timeout-ms":{timeout_ms},"routes":["#).into_bytes();
    while text.len() < length {
        let (name, prefix): (u32, u32) = (rng.random(), rng.random());
        let route = format!(
            r#"{{"name":"r-{name:x}","host":"reader.example","path-prefix":"/{prefix:x}/","kind":"streaming","timeout-ms":12000,"priority":1,"service":"pool"}},"#,
        );
        text.extend(route.as_bytes());
    }
    text.truncate(length);
    text
}

/// A text that is being sent to a daemon.
struct TextTransfer {
    from: usize,
    to: usize,
    revision: u64,
    left: f64,
    started_at: Instant,
}

struct ModelDaemon {
    peers: PeerTable,
    sequence: u64,
    catch_up: CatchUpState,
    pacer: TextPacer,
    held: u64,
    texts: HeldTexts,
    phase: u32,
    sending: Vec<TextTransfer>,
}

impl ModelDaemon {
    fn versions(&self) -> HeldVersions {
        HeldVersions { configuration: self.held, endpoints: StorePosition::NONE }
    }

    fn apply(&mut self, revision: u64, text: &Bytes) {
        if revision > self.held {
            self.held = revision;
            self.texts.push(text.clone());
        }
    }
}

/// The simulated daemons, and when each change has reached all of them.
pub struct TextModel {
    daemons: Vec<ModelDaemon>,
    /// Number of daemons that watch the store; these are the first ones.
    watchers: usize,
    changes: TextChanges,
    sent_bytes: SentBytes,
    /// Placeholders for the texts, by revision: the code only needs their lengths, and that they differ.
    texts: Vec<Bytes>,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    /// When all daemons held each revision or a newer one.
    reached_all: BTreeMap<u64, Instant>,
}

fn address(place: usize) -> SocketAddr {
    let [.., high, low] = (place as u32 + 1).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 8229))
}

fn place_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("an IPv4 address") };
    let [.., high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

fn known_peers(place: usize, daemons: usize, now: Instant) -> PeerTable {
    let mut peers = PeerTable::new(address(place), &[], GOSSIP_INTERVAL, CALLS_PER_INTERVAL);
    for other in (0..daemons).filter(|other| *other != place) {
        let incarnation = IncarnationId(other as u64 + 1);
        let report = PeerReport { incarnation, sequence: 1, leaving: false, forwarder: None };
        peers.receive_report(address(other), report, now);
    }
    peers
}

/// Steps in a gossip interval.
fn interval_steps() -> u32 {
    (GOSSIP_INTERVAL.as_millis() / STEP.as_millis()) as u32
}

/// Draws the step of each interval in which a daemon calls its peers.
fn draw_phase(rng: &mut SmallRng) -> u32 {
    let steps = match rng.random_bool(SHARED_PHASE_FRACTION) {
        true => SHARED_STEPS,
        false => interval_steps(),
    };
    rng.random_range(0..steps)
}

fn distinct_text(revision: u64, length: usize) -> Bytes {
    let mut text = revision.to_le_bytes().to_vec();
    text.resize(length, 0);
    text.into()
}

impl TextModel {
    /// Creates daemons that know each other and hold revision 1, before the first change.
    pub fn new(daemons: usize, changes: TextChanges, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let text = |revision| distinct_text(revision, changes.text_bytes);
        let texts: Vec<Bytes> = (0..=1 + changes.count).map(text).collect();
        let mut held = HeldTexts::default();
        held.push(texts[1].clone());
        let mut daemon = |place: usize| ModelDaemon {
            peers: known_peers(place, daemons, now),
            sequence: 1,
            catch_up: CatchUpState::default(),
            pacer: TextPacer::default(),
            held: 1,
            texts: held.clone(),
            phase: draw_phase(&mut rng),
            sending: Vec::new(),
        };
        let daemons: Vec<ModelDaemon> = (0..daemons).map(&mut daemon).collect();
        // One daemon of each gossip group watches the store.
        let watchers = daemons[0].peers.neighbours().groups;
        let sent_bytes = SentBytes::of(changes.text_bytes);
        let reached_all = BTreeMap::new();
        Self { daemons, watchers, changes, sent_bytes, texts, start: now, now, rng, reached_all }
    }

    /// Simulates all changes and the time `rest` after the last one. Returns the longest time until all
    /// daemons held a revision or a newer one; `None` if that did not happen for some revision.
    pub fn longest_spread(&mut self, rest: Duration) -> Option<Duration> {
        let end = self.start + self.changes.interval * self.changes.count as u32 + rest;
        while self.now < end {
            self.step();
        }
        let spread = |change| {
            let reached = self.reached_all.get(&(change + 1))?;
            Some(*reached - self.written_at(change))
        };
        let spreads: Option<Vec<Duration>> = (1..=self.changes.count).map(spread).collect();
        spreads?.into_iter().max()
    }

    fn written_at(&self, change: u64) -> Instant {
        self.start + self.changes.interval * (change as u32 - 1)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.read_store();
        let steps = (self.now - self.start).as_millis() / STEP.as_millis();
        let phase = steps as u32 % interval_steps();
        for place in 0..self.daemons.len() {
            if self.daemons[place].phase == phase {
                self.call_peers(place);
            }
        }
        self.advance_transfers();
        self.record_reached();
    }

    /// Applies each text at the daemons that watch the store, once their own link has transferred it.
    fn read_store(&mut self) {
        let carried = Duration::from_secs_f64(self.changes.text_bytes as f64 / LINK_BYTES_PER_S);
        let arrived = (1..=self.changes.count)
            .filter(|change| self.written_at(*change) + carried <= self.now);
        let revision = 1 + arrived.count() as u64;
        for watcher in &mut self.daemons[..self.watchers] {
            watcher.apply(revision, &self.texts[revision as usize]);
        }
    }

    fn call_peers(&mut self, place: usize) {
        let daemon = &mut self.daemons[place];
        let mut calls = daemon.peers.next_calls(self.now, &mut self.rng);
        let held = daemon.versions();
        let fetches = daemon.catch_up.start_fetches(held, Duration::ZERO, self.now, &mut self.rng);
        let holders = fetches.addresses().filter(|one| !calls.contains(one));
        let holders: Vec<SocketAddr> = holders.collect();
        calls.extend(holders);
        // All calls of an interval are started before the first response arrives.
        let callees: Vec<usize> = calls.into_iter().map(place_of).collect();
        if let Some(holder) = fetches.configuration {
            self.request_text(place, place_of(holder));
        }
        for callee in callees {
            self.exchange_reports(place, callee);
        }
    }

    /// Both sides of a call receive the versions that the other holds.
    fn exchange_reports(&mut self, caller: usize, callee: usize) {
        let (caller_held, callee_held) =
            (self.daemons[caller].versions(), self.daemons[callee].versions());
        self.report(caller, callee, caller_held);
        self.report(callee, caller, callee_held);
    }

    /// The daemon `to` receives a message from `from`.
    fn report(&mut self, from: usize, to: usize, held: HeldVersions) {
        let sender = &mut self.daemons[from];
        sender.sequence += 1;
        let incarnation = IncarnationId(from as u64 + 1);
        let report =
            PeerReport { incarnation, sequence: sender.sequence, leaving: false, forwarder: None };
        let summaries = sender.peers.summaries(PEER_SUMMARIES, self.now, &mut self.rng);
        let receiver = &mut self.daemons[to];
        receiver.peers.receive_report(address(from), report, self.now);
        for summary in &summaries {
            receiver.peers.receive_summary(summary, self.now);
        }
        let own = receiver.versions();
        receiver.catch_up.receive(address(from), held, own, self.now);
    }

    /// The holder begins to send the text, or withholds it.
    fn request_text(&mut self, caller: usize, holder: usize) {
        let bases = self.daemons[caller].texts.bases();
        let sender = &mut self.daemons[holder];
        let bytes = match sender.texts.newest_common(&bases) {
            TextId::NO_BASE => self.sent_bytes.whole,
            _ => self.sent_bytes.change,
        };
        if !sender.pacer.try_send(bytes, self.now) {
            self.end_fetch(caller, holder, FetchOutcome::Withheld);
            return;
        }
        let (revision, started_at) = (sender.held, self.now);
        let transfer =
            TextTransfer { from: holder, to: caller, revision, left: bytes as f64, started_at };
        sender.sending.push(transfer);
    }

    fn end_fetch(&mut self, caller: usize, holder: usize, outcome: FetchOutcome) {
        let from = address(holder);
        let fetches = TextFetches { configuration: Some(from), endpoints: None };
        let outcomes = FetchOutcomes { configuration: outcome, endpoints: outcome };
        self.daemons[caller].catch_up.end_fetches(from, fetches, outcomes, self.now);
    }

    /// Advances the transfers by one step. Each transfer gets an even share of its sender's link, and
    /// fails once the time limit of the call is over.
    fn advance_transfers(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for sender in &mut self.daemons {
            let share = LINK_BYTES_PER_S * STEP.as_secs_f64() / sender.sending.len().max(1) as f64;
            for transfer in &mut sender.sending {
                transfer.left -= share;
            }
            let is_late = |transfer: &TextTransfer| now - transfer.started_at >= FETCH_LIMIT;
            let is_over = |transfer: &mut TextTransfer| transfer.left <= 0.0 || is_late(transfer);
            ended.extend(sender.sending.extract_if(.., is_over));
        }
        for transfer in ended {
            let outcome = match transfer.left <= 0.0 {
                true => FetchOutcome::Received,
                false => FetchOutcome::Failed,
            };
            if outcome == FetchOutcome::Received {
                let text = &self.texts[transfer.revision as usize];
                self.daemons[transfer.to].apply(transfer.revision, text);
            }
            self.end_fetch(transfer.to, transfer.from, outcome);
        }
    }

    fn record_reached(&mut self) {
        let oldest = self.daemons.iter().map(|daemon| daemon.held).min().unwrap_or(0);
        for revision in 2..=oldest {
            self.reached_all.entry(revision).or_insert(self.now);
        }
    }
}
