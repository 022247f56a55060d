//! A fleet in simulated time whose seeds are replaced: daemons with their peer tables, quotas and contact, and the
//! lease record in the store.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        configuration::AccountQuota,
        gossip::{
            caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
            peer_record::PeerReport,
            peer_table::PeerTable,
            report_source::ReportSource,
        },
        policy::{
            daemon::{
                daemon_count::{RecordedCount, assumed_sharing},
                fleet_contact::{ContactMonitor, FleetContact, HeardLease, RenewalNumber},
            },
            request::quota::{QuotaLedger, QuotaSharing, QuotaTolerance, QuotaVerdict},
        },
    },
    ids::{IncarnationId, SharedName},
};

const SEEDS: usize = 3;
const SUMMARIES: usize = 8;
const MEMBERS: usize = 8;
const LEASE: Duration = Duration::from_secs(3);
const ACQUIRE_WAIT: Duration = Duration::from_millis(3_400);
const RENEW_INTERVAL: Duration = Duration::from_millis(1_050);
/// Time in which a starting daemon discovers the others, before this was changed.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
/// A daemon with a lower sequence number has just started.
const JUST_STARTED: u64 = 200;

/// Units a second, and the burst: the smallest quota of the large deployment.
pub const RATE: f64 = 36_000.0;
/// The users' tolerance.
pub const TOLERANCE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 140_000.0 };
const QUOTA: AccountQuota =
    AccountQuota { rate: Some(RATE), burst: RATE, in_tokens: true, default_tokens: 1 };
const UNITS: u64 = 2_000;
/// Demand as a multiple of the rate.
const DEMAND: f64 = 7.5;

/// How daemons find each other, and how many they assume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactWay {
    /// By seeds only; those that were found are all.
    Seeds,
    /// Also by the address of the holder in the lease record.
    Holder,
    /// Also by those of other members in it.
    Members,
    /// By seeds only; the recorded number is a lower bound.
    Recorded,
    /// By the record, whose number is a lower bound.
    MembersAndRecorded,
}

impl ContactWay {
    fn reads_addresses(self) -> bool {
        matches!(self, Self::Holder | Self::Members | Self::MembersAndRecorded)
    }

    fn reads_members(self) -> bool {
        matches!(self, Self::Members | Self::MembersAndRecorded)
    }

    fn assumes_recorded(self) -> bool {
        matches!(self, Self::Recorded | Self::MembersAndRecorded)
    }
}

#[derive(Clone, Debug)]
struct Record {
    address: SocketAddr,
    number: RenewalNumber,
    daemons: usize,
    members: Vec<SocketAddr>,
}

struct ModelDaemon {
    address: SocketAddr,
    incarnation: IncarnationId,
    sequence: u64,
    started: Instant,
    peers: PeerTable,
    quotas: QuotaLedger,
    monitor: ContactMonitor,
    contact: FleetContact,
    recorded: Option<usize>,
    heard: RenewalNumber,
    heard_at: Option<Instant>,
    is_holder: bool,
    renew_at: Instant,
    read_at: Instant,
    /// Record as last read, and since when it is unchanged.
    seen: Option<(RenewalNumber, Instant)>,
    is_up: bool,
    /// Whether only daemons of the same side reach it.
    side: u32,
}

/// The fleet.
pub struct ContactFleet {
    way: ContactWay,
    daemons: Vec<ModelDaemon>,
    places: HashMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    record: Option<Record>,
    pub reads: usize,
    now: Instant,
    rng: SmallRng,
    account: SharedName,
    admitted: VecDeque<(Instant, u64)>,
}

impl ContactFleet {
    /// Daemons that start now; the first of them are the seeds of all.
    pub fn new(way: ContactWay, count: usize, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let mut fleet = Self {
            way,
            daemons: Vec::new(),
            places: HashMap::new(),
            seeds: Vec::new(),
            record: None,
            reads: 0,
            now,
            rng: SmallRng::seed_from_u64(seed),
            account: "reader".into(),
            admitted: VecDeque::new(),
        };
        fleet.add(count, 0);
        fleet
    }

    /// Starts daemons that know the first seeds.
    pub fn add(&mut self, count: usize, side: u32) {
        for _ in 0..count {
            let place = self.daemons.len();
            let address =
                SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 1));
            if place < SEEDS {
                self.seeds.push(address);
            }
            self.places.insert(address, place);
            let jitter = Duration::from_millis(self.rng.random_range(0..300));
            self.daemons.push(ModelDaemon {
                address,
                incarnation: IncarnationId(place as u64 + 1),
                sequence: 0,
                started: self.now,
                peers: PeerTable::new(address, &self.seeds, GOSSIP_INTERVAL, CALLS_PER_INTERVAL),
                quotas: QuotaLedger::new(TOLERANCE, self.now),
                monitor: ContactMonitor::default(),
                contact: FleetContact::NoHolder,
                recorded: None,
                heard: RenewalNumber::default(),
                heard_at: None,
                is_holder: false,
                renew_at: self.now,
                read_at: self.now + jitter,
                seen: None,
                is_up: true,
                side,
            });
        }
    }

    /// Ends the first daemons that run.
    pub fn end_first(&mut self, count: usize) {
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up).take(count) {
            daemon.is_up = false;
        }
    }

    /// Runs for this time, with requests if `has_demand`.
    pub fn run(&mut self, time: Duration, has_demand: bool) {
        let until = self.now + time;
        while self.now < until {
            self.now += GOSSIP_INTERVAL;
            for place in 0..self.daemons.len() {
                if self.daemons[place].is_up {
                    self.use_lease(place);
                    self.gossip(place);
                }
            }
            if has_demand {
                self.request();
            }
        }
    }

    /// Number of daemons that the least informed one hears.
    pub fn least_heard(&self) -> usize {
        let up = self.daemons.iter().filter(|daemon| daemon.is_up);
        up.map(|daemon| daemon.peers.sharing(self.now).heard).min().unwrap_or(0)
    }

    /// Most units admitted in 8 s, as a multiple of what the quota allows.
    pub fn busiest_window(&self) -> f64 {
        let window = Duration::from_secs(8);
        let allowed = (RATE * 8.0 + RATE) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack;
        let (mut most, mut sum, mut first) = (0, 0, 0);
        for (at, units) in &self.admitted {
            sum += units;
            while *at - self.admitted[first].0 >= window {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most as f64 / allowed
    }

    /// Units admitted in the last `time`, as a multiple of the rate.
    pub fn used(&self, time: Duration) -> f64 {
        let recent = self.admitted.iter().filter(|(at, _)| self.now - *at < time);
        recent.map(|(_, units)| *units as f64).sum::<f64>() / RATE / time.as_secs_f64()
    }

    fn heard_lease(&self, place: usize) -> HeardLease {
        let daemon = &self.daemons[place];
        let is_recent = |at: Instant| self.now - at < LEASE;
        HeardLease {
            is_own: daemon.is_holder,
            renewal: daemon.heard,
            is_overdue: !daemon.heard_at.is_some_and(is_recent),
        }
    }

    fn sharing(&self, place: usize) -> QuotaSharing {
        let daemon = &self.daemons[place];
        let discovered = daemon.peers.sharing(self.now);
        let age = self.now - daemon.started;
        let recorded = daemon.recorded.map_or(RecordedCount::Unknown, RecordedCount::Known);
        match self.way.assumes_recorded() {
            true => assumed_sharing(discovered, recorded, daemon.contact, age),
            false if age >= DISCOVERY_TIME => discovered,
            false => {
                let known = discovered.known.max(daemon.recorded.unwrap_or(10));
                QuotaSharing { known, ..discovered }
            }
        }
    }

    /// Renews the lease, or reads it if no renewal is reported.
    fn use_lease(&mut self, place: usize) {
        let (heard, now) = (self.heard_lease(place), self.now);
        let daemon = &mut self.daemons[place];
        daemon.contact = daemon.monitor.evaluate(heard, LEASE, now);
        if daemon.is_holder {
            let is_other =
                self.record.as_ref().is_some_and(|record| record.address != daemon.address);
            daemon.is_holder = !is_other;
            if daemon.is_holder && now >= daemon.renew_at {
                let number = RenewalNumber { renewals: daemon.heard.renewals + 1, ..daemon.heard };
                self.write(place, number);
            }
        } else if heard.is_overdue && now >= daemon.read_at {
            self.read(place, heard);
        }
    }

    fn read(&mut self, place: usize, heard: HeardLease) {
        let (now, way) = (self.now, self.way);
        self.reads += 1;
        let wait = ACQUIRE_WAIT + Duration::from_millis(self.rng.random_range(0..300));
        let daemon = &mut self.daemons[place];
        daemon.read_at = now + wait;
        let Some(record) = self.record.clone() else {
            return self.write(place, RenewalNumber { fence: 1, renewals: 0 });
        };
        daemon.recorded = Some(record.daemons);
        daemon.monitor.read(record.number, heard, now);
        daemon.quotas.set_throttled_before([self.account.clone()]);
        let members = record.members.iter().copied().filter(|_| way.reads_members());
        let holder = Some(record.address).filter(|_| way.reads_addresses());
        daemon.peers.add_addresses(holder.into_iter().chain(members));
        let since = daemon.seen.filter(|(number, _)| *number == record.number).map(|(_, at)| at);
        daemon.seen = Some((record.number, since.unwrap_or(now)));
        if since.is_some_and(|since| now - since >= ACQUIRE_WAIT) {
            self.write(place, RenewalNumber { fence: record.number.fence + 1, renewals: 0 });
        }
    }

    /// Writes the record as the holder.
    fn write(&mut self, place: usize, number: RenewalNumber) {
        let now = self.now;
        let daemons = match self.way.assumes_recorded() {
            true => self.sharing(place).known,
            false => self.daemons[place].peers.sharing(now).known,
        };
        let daemon = &mut self.daemons[place];
        daemon.is_holder = true;
        daemon.heard = number;
        daemon.heard_at = Some(now);
        daemon.renew_at = now + RENEW_INTERVAL;
        daemon.recorded = Some(daemons);
        let members = daemon.peers.sample_heard(MEMBERS, now, &mut self.rng);
        self.record = Some(Record { address: daemon.address, number, daemons, members });
    }

    fn gossip(&mut self, place: usize) {
        for peer in self.daemons[place].peers.next_calls(self.now, &mut self.rng) {
            let other = self.places[&peer];
            let (from, to) = (&self.daemons[place], &self.daemons[other]);
            if !to.is_up || from.side != to.side {
                self.daemons[place].peers.call_failed(peer);
                continue;
            }
            self.send(place, other, false);
            self.send(other, place, true);
        }
    }

    fn send(&mut self, from: usize, to: usize, is_response: bool) {
        let now = self.now;
        let sender = &mut self.daemons[from];
        sender.sequence += 1;
        let (address, incarnation, sequence) =
            (sender.address, sender.incarnation, sender.sequence);
        let summaries = sender.peers.summaries(SUMMARIES, now, &mut self.rng);
        let own: Vec<_> = sender.quotas.counters().map(|(name, one)| (name.clone(), one)).collect();
        let group: Vec<_> = sender.quotas.group_counters().collect();
        let (heard, heard_at, recorded) = (sender.heard, sender.heard_at, sender.recorded);
        let receiver = &mut self.daemons[to];
        for summary in &summaries {
            receiver.peers.receive_summary(summary, now);
        }
        let report = PeerReport { incarnation, sequence, leaving: false, forwarder: None };
        receiver.peers.receive_report(address, report, now);
        if heard > receiver.heard {
            receiver.is_holder = false;
            (receiver.heard, receiver.heard_at, receiver.recorded) = (heard, heard_at, recorded);
        }
        let neighbours = receiver.peers.neighbours();
        let represented = neighbours.represented_group(&address).filter(|_| is_response);
        let (source, counters) = if neighbours.in_own_group(&address) {
            (ReportSource::Daemon(incarnation), own)
        } else if let Some(number) = represented {
            (ReportSource::Group { number, representative: incarnation }, group)
        } else {
            return;
        };
        let counters = counters.iter().map(|(account, counters)| (account, counters));
        receiver.quotas.receive(source, counters, sequence < JUST_STARTED, now);
    }

    /// Requests of one interval, evenly over the daemons.
    fn request(&mut self) {
        let up: Vec<usize> =
            (0..self.daemons.len()).filter(|place| self.daemons[*place].is_up).collect();
        let requests = RATE * DEMAND * GOSSIP_INTERVAL.as_secs_f64() / UNITS as f64;
        for _ in 0..requests as usize {
            let place = up[self.rng.random_range(0..up.len())];
            let sharing = self.sharing(place);
            let quotas = &mut self.daemons[place].quotas;
            let verdict =
                quotas.admit(&self.account, &QUOTA, UNITS, sharing, self.now, &mut self.rng);
            if verdict == QuotaVerdict::Admitted {
                self.admitted.push_back((self.now, UNITS));
            }
        }
    }
}
