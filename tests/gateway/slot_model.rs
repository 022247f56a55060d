//! Simulates the requests of a fleet at brittle endpoints under several ways to divide their slots. The ring
//! and the choice of lenders are the real ones; time is simulated in steps of a millisecond.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        gossip::groups::hash_address,
        policy::endpoint::{
            endpoint_load::endpoint_number,
            endpoint_table::{
                slot_borrower::{SlotBorrower, WantedEndpoint},
                slot_ring::SlotRing,
            },
        },
    },
    ids::SharedName,
};

use crate::choice_inputs::start;

/// Time that a request takes, that an answer of a lender takes, and that is played, in milliseconds.
const WORK_MS: u64 = 60;
const ANSWER_MS: u64 = 3;
const PLAYED_MS: u64 = 3_000;
/// Time from which requests are counted, in milliseconds.
const COUNTED_FROM_MS: u64 = 500;
/// Part of the capacity that has to be used in overload.
const USED_PART: f64 = 0.8;

/// How the slots are divided.
#[derive(Clone, Copy, Debug)]
struct SlotWay {
    /// Slots of an endpoint that go to the same daemon.
    block: u32,
    is_lending: bool,
}

/// The way that is built.
const BUILT: SlotWay = SlotWay { block: 4, is_lending: true };
/// Others that were weighed.
const OTHERS: [(&str, SlotWay); 3] = [
    ("even shares", SlotWay { block: 1, is_lending: false }),
    ("single slots lent", SlotWay { block: 1, is_lending: true }),
    ("one holder for each endpoint", SlotWay { block: u32::MAX, is_lending: true }),
];

/// A fleet and its clients.
#[derive(Clone, Copy, Debug)]
struct SlotFleet {
    daemons: usize,
    endpoints: usize,
    slots: u32,
    /// Daemons that get requests.
    used_daemons: usize,
    /// Requests, as a multiple of what the endpoints can serve.
    demand: f64,
}

/// Slots of one daemon at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct OwnSlots {
    held: u32,
    /// In use, by this daemon or a borrower.
    used: u32,
}

/// A request that has found no slot yet.
struct Asking {
    daemon: usize,
    asked: Vec<SocketAddr>,
    max_asked: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct SlotOutcome {
    used: f64,
    refused: f64,
    /// Questions for each request.
    asked: f64,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 250) as u8, (daemon % 250) as u8 + 1], 8229))
}

fn members(daemons: impl Iterator<Item = usize>) -> Vec<(u64, SocketAddr)> {
    daemons.map(address).map(|address| (hash_address(&address), address)).collect()
}

fn endpoint_key(endpoint: usize) -> u64 {
    endpoint_number(&format!("i-{endpoint}"))
}

struct SlotModel {
    fleet: SlotFleet,
    ring: SlotRing,
    wanted: Vec<WantedEndpoint>,
    places: BTreeMap<SocketAddr, usize>,
    own: Vec<Vec<OwnSlots>>,
    borrowers: Vec<SlotBorrower>,
    /// Lender and endpoint of the runs that end at a time.
    ends: BTreeMap<u64, Vec<(usize, usize)>>,
    rng: SmallRng,
    began: Instant,
    service: SharedName,
}

impl SlotModel {
    fn new(fleet: SlotFleet, way: SlotWay) -> Self {
        let ring = SlotRing::with_blocks(members(0..fleet.daemons), fleet.daemons, way.block);
        let wanted: Vec<WantedEndpoint> = (0..fleet.endpoints)
            .map(|endpoint| WantedEndpoint { number: endpoint_key(endpoint), slots: fleet.slots })
            .collect();
        let slots_of = |daemon: usize| {
            let held = |one: &WantedEndpoint| ring.share(address(daemon), one.number, one.slots);
            wanted.iter().map(|one| OwnSlots { held: held(one), used: 0 }).collect()
        };
        let own = (0..fleet.daemons).map(slots_of).collect();
        Self {
            fleet,
            wanted: wanted.clone(),
            places: (0..fleet.daemons).map(|daemon| (address(daemon), daemon)).collect(),
            own,
            ring,
            borrowers: (0..fleet.daemons).map(|_| SlotBorrower::default()).collect(),
            ends: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(fleet.daemons as u64),
            began: start(),
            service: "pool".into(),
        }
    }

    /// Uses a free slot of a daemon's shares until a run of that length is over.
    fn try_use(&mut self, holder: usize, now_ms: u64) -> bool {
        let offset = self.rng.random_range(0..self.fleet.endpoints);
        let places = (0..self.fleet.endpoints).map(|step| (step + offset) % self.fleet.endpoints);
        let slots = &mut self.own[holder];
        let Some(endpoint) = places.into_iter().find(|one| slots[*one].used < slots[*one].held)
        else {
            return false;
        };
        slots[endpoint].used += 1;
        self.ends.entry(now_ms + WORK_MS).or_default().push((holder, endpoint));
        true
    }

    fn next_holder(&mut self, asking: &Asking, now: Instant) -> Option<SocketAddr> {
        if asking.asked.len() >= asking.max_asked {
            return None;
        }
        let borrower = &self.borrowers[asking.daemon];
        let own = address(asking.daemon);
        borrower.next_holder(&self.ring, &self.wanted, own, &asking.asked, now, &mut self.rng)
    }

    fn play(mut self, is_lending: bool) -> SlotOutcome {
        let capacity_per_ms =
            f64::from(self.fleet.slots) * self.fleet.endpoints as f64 / WORK_MS as f64;
        let (mut sent, mut served, mut refused, mut questions) = (0_u32, 0_u32, 0_u32, 0_u32);
        let mut asking: BTreeMap<u64, Vec<Asking>> = BTreeMap::new();
        let mut due = 0.0;
        for ms in 0..PLAYED_MS {
            let now = self.began + Duration::from_millis(ms);
            for (holder, endpoint) in self.ends.remove(&ms).unwrap_or_default() {
                self.own[holder][endpoint].used -= 1;
            }
            let is_counted = u32::from(ms >= COUNTED_FROM_MS);
            let mut waiting = asking.remove(&ms).unwrap_or_default();
            due += capacity_per_ms * self.fleet.demand;
            while due >= 1.0 {
                due -= 1.0;
                sent += is_counted;
                let daemon = self.rng.random_range(0..self.fleet.used_daemons);
                if self.try_use(daemon, ms) {
                    served += is_counted;
                    continue;
                }
                let max_asked = match is_lending {
                    true => self.borrowers[daemon].max_asked(&self.service, now),
                    false => 0,
                };
                waiting.push(Asking { daemon, asked: Vec::new(), max_asked });
            }
            for mut one in waiting {
                // The holder that was asked last answers now.
                let lender = one.asked.last().map(|holder| self.places[holder]);
                if lender.is_some_and(|lender| self.try_use(lender, ms)) {
                    served += is_counted;
                    continue;
                }
                match self.next_holder(&one, now) {
                    Some(holder) => {
                        questions += is_counted;
                        one.asked.push(holder);
                        asking.entry(ms + ANSWER_MS).or_default().push(one);
                    }
                    None => {
                        refused += is_counted;
                        self.borrowers[one.daemon].record_denial(&self.service, now);
                    }
                }
            }
        }
        let counted_ms = (PLAYED_MS - COUNTED_FROM_MS) as f64;
        SlotOutcome {
            used: f64::from(served) / (capacity_per_ms * counted_ms),
            refused: f64::from(refused) / f64::from(sent),
            asked: f64::from(questions) / f64::from(sent),
        }
    }
}

/// Fleets by daemons, endpoints and slots of each endpoint.
const FLEETS: [(usize, usize, u32); 5] =
    [(7, 4, 6), (9, 18, 24), (78, 4, 6), (78, 112, 12), (195, 99, 12)];

fn play(fleet: SlotFleet, way: SlotWay) -> SlotOutcome {
    SlotModel::new(fleet, way).play(way.is_lending)
}

fn print(name: &str, fleet: SlotFleet, outcome: SlotOutcome) {
    let SlotFleet { daemons, endpoints, slots, used_daemons, demand } = fleet;
    println!(
        "{daemons} daemons ({used_daemons} used), {endpoints} endpoints of {slots} slots, demand {demand}; \
         {name}: {:.2} of the capacity used, {:.4} refused, {:.2} questions a request",
        outcome.used, outcome.refused, outcome.asked
    );
}

#[googletest::test]
fn lent_slots_serve_what_the_endpoints_can() {
    for (daemons, endpoints, slots) in FLEETS {
        for (part, demand) in [(1, 0.5), (1, 2.0), (10, 0.5), (10, 2.0)] {
            let used_daemons = daemons.div_ceil(part);
            let fleet = SlotFleet { daemons, endpoints, slots, used_daemons, demand };
            for (name, way) in OTHERS {
                print(name, fleet, play(fleet, way));
            }
            let outcome = play(fleet, BUILT);
            print("blocks of four lent", fleet, outcome);
            match demand < 1.0 {
                true => expect_that!(outcome.refused, le(0.005), "{fleet:?}"),
                false => expect_that!(outcome.used, ge(USED_PART), "{fleet:?}"),
            }
        }
    }
}

/// Half of the daemons don't know yet that another one has started.
#[googletest::test]
fn daemons_that_disagree_exceed_the_slots_by_one_block_at_most() {
    const SLOTS: u32 = 12;
    for daemons in [7, 78, 195] {
        for (block, allowed) in [(1, 1), (BUILT.block, BUILT.block), (u32::MAX, SLOTS)] {
            let former = SlotRing::with_blocks(members(0..daemons), daemons, block);
            let newer = SlotRing::with_blocks(members(0..daemons + 1), daemons + 1, block);
            let used = |endpoint: usize| -> u32 {
                let share = |daemon: usize| {
                    let ring = if daemon.is_multiple_of(2) { &former } else { &newer };
                    ring.share(address(daemon), endpoint_key(endpoint), SLOTS)
                };
                let of_new = newer.share(address(daemons), endpoint_key(endpoint), SLOTS);
                (0..daemons).map(share).sum::<u32>() + of_new
            };
            let most = (0..500).map(used).max().unwrap_or(0);
            println!("{daemons} daemons, blocks of {block}: up to {most} of {SLOTS} slots used");
            expect_that!(most, le(SLOTS + allowed));
        }
    }
}
