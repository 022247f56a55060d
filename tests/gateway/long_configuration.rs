//! A configuration with many routes reaches every daemon of a large fleet in time, over thin
//! links: a model without I/O of the calls, and of the links that the texts cross.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        gossip::{
            caller::{CALLS_PER_INTERVAL, FETCH_LIMIT, GOSSIP_INTERVAL},
            peer_record::PeerReport,
            peer_table::PeerTable,
        },
        policy::daemon::{
            catch_up::{CatchUpState, FetchOutcome, HeldRevisions},
            text_pacing::TextPacer,
        },
    },
    ids::IncarnationId,
};

/// Daemons of a grown site.
const DAEMONS: usize = 87;
/// Daemons that watch the store, and so have a new configuration first: one a gossip group.
const WATCHERS: usize = 8;
/// A configuration with 1,400 routes more, in bytes.
const TEXT_BYTES: f64 = 253_000.0;
/// What a link of 10 Mbit/s carries in a gossip interval, in bytes.
const LINK_BYTES: f64 = 125_000.0;
const NEWER: HeldRevisions = HeldRevisions { configuration: 2, endpoints: 1 };
const OLDER: HeldRevisions = HeldRevisions { configuration: 1, endpoints: 1 };

/// A text on its way to a daemon.
struct TextTransfer {
    to: usize,
    left: f64,
    started_at: Instant,
}

struct ModelDaemon {
    peers: PeerTable,
    catch_up: CatchUpState,
    pacer: TextPacer,
    held: HeldRevisions,
    sending: Vec<TextTransfer>,
}

struct TextModel {
    daemons: Vec<ModelDaemon>,
    now: Instant,
    rng: SmallRng,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, place as u8 + 1], 8229))
}

impl TextModel {
    /// Daemons that know each other; the watchers have just received the newer configuration.
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let daemon = |place: usize| {
            let mut peers =
                PeerTable::new(address(place), &[], GOSSIP_INTERVAL, CALLS_PER_INTERVAL);
            for other in (0..DAEMONS).filter(|other| *other != place) {
                let incarnation = IncarnationId(other as u64 + 1);
                let report = PeerReport { incarnation, sequence: 1, leaving: false };
                peers.receive_report(address(other), report, now);
            }
            ModelDaemon {
                peers,
                catch_up: CatchUpState::default(),
                pacer: TextPacer::default(),
                held: if place < WATCHERS { NEWER } else { OLDER },
                sending: Vec::new(),
            }
        };
        let daemons = (0..DAEMONS).map(daemon).collect();
        Self { daemons, now, rng: SmallRng::seed_from_u64(seed) }
    }

    fn interval(&mut self) {
        self.now += GOSSIP_INTERVAL;
        for place in 0..DAEMONS {
            let daemon = &mut self.daemons[place];
            let mut calls = daemon.peers.next_calls(self.now, &mut self.rng);
            calls.extend(daemon.catch_up.newer_holders(daemon.held));
            for peer in calls {
                let other = (0..DAEMONS).find(|other| address(*other) == peer).expect("a daemon");
                self.call(place, other);
            }
        }
        self.carry();
    }

    /// One call: the caller may request the text; both sides learn what the other holds.
    fn call(&mut self, caller: usize, callee: usize) {
        let now = self.now;
        let (caller_held, callee_held) = (self.daemons[caller].held, self.daemons[callee].held);
        let fetch = self.daemons[caller].catch_up.revisions_to_fetch(
            address(callee),
            caller_held,
            Duration::ZERO,
            now,
        );
        if fetch.configuration {
            let sender = &mut self.daemons[callee];
            match sender.pacer.try_send(TEXT_BYTES as usize, now) {
                true => sender.sending.push(TextTransfer {
                    to: caller,
                    left: TEXT_BYTES,
                    started_at: now,
                }),
                false => {
                    self.daemons[caller].catch_up.configuration_fetched(FetchOutcome::Withheld)
                }
            }
        }
        self.daemons[caller].catch_up.receive(address(callee), callee_held, now);
        self.daemons[callee].catch_up.receive(address(caller), caller_held, now);
    }

    /// Every sender's link carries its texts, each an even share; calls end after their limit.
    fn carry(&mut self) {
        let mut received = Vec::new();
        for sender in &mut self.daemons {
            let share = LINK_BYTES / sender.sending.len().max(1) as f64;
            for transfer in &mut sender.sending {
                transfer.left -= share;
            }
            let arrived = sender.sending.iter().filter(|transfer| transfer.left <= 0.0);
            received.extend(arrived.map(|transfer| transfer.to));
            sender.sending.retain(|transfer| {
                transfer.left > 0.0 && self.now - transfer.started_at < FETCH_LIMIT
            });
        }
        for place in received {
            self.daemons[place].held = NEWER;
        }
    }

    fn lagging(&self) -> usize {
        self.daemons.iter().filter(|daemon| daemon.held != NEWER).count()
    }
}

#[googletest::test]
fn long_configuration_reaches_a_large_fleet_over_thin_links() {
    const WITHIN: Duration = Duration::from_millis(2_500);
    for seed in 1..=5 {
        let mut model = TextModel::new(seed);
        let start = model.now;
        while model.now - start < WITHIN {
            model.interval();
        }
        expect_that!(model.lagging(), eq(0), "seed {seed}");
    }
}
