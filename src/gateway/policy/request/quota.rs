//! Decides whether a request is within its account's quota, which all daemons share.
//!
//! Inputs are the quota (units per second and a burst), the units of the request, how many daemons
//! share the quotas, how old their reports are, and a random number. The decision is
//! [`QuotaVerdict`]. The native path has its own rule (`native::decide::limits`), which divides a
//! limit by demand; its shares are coarser than one large prompt of a small account.
//!
//! Every daemon keeps a token bucket for the whole quota of each account. Units that it admits
//! leave the bucket immediately; units that peers admit leave it when their reports arrive, a few
//! hundred milliseconds later in a fleet of one gossip group. Until its next report, a peer is
//! assumed to continue at its last rate, for one second or for the greatest age of reports if that
//! is longer. If the account is overdrawn nevertheless, the level is negative, and nothing is
//! admitted until the bucket has been refilled.
//!
//! A peer that has stopped reporting may still be admitting requests. Its equal share of the rate
//! is therefore reserved: daemons that receive each other's reports only admit up to their own
//! shares. Otherwise a partitioned fleet would spend the quota once in each partition.
//!
//! A quota has a tolerance. Part of it is added to rate and burst; the rest covers what peers admit
//! before their reports arrive. As long as that much suffices, the bucket alone decides, with the
//! units that have been reported: rates from single reports vary too much where an account sends
//! few requests of very different sizes, and a request would be refused while the quota holds
//! enough for it.
//!
//! Answers the load pattern in which an account sends many times its quota to all daemons of a large
//! fleet, whose reports are seconds old. With the bucket alone, all daemons would admit everything
//! until the reports arrive and then refuse everything. So daemons also report how many units were
//! requested. While more may be requested beyond the rate before reports arrive than the tolerance
//! covers, each daemon admits the same fraction of its requests, chosen at random.
//!
//! A daemon that has just started doesn't know how much was spent before. Accounts that were
//! throttled according to the lease record start with a small part of the burst, divided by the
//! number of daemons. Until the lease record has been read, this applies to all accounts.

mod account_bucket;
mod offered_load;
mod peer_spending;

use std::{
    collections::{BTreeSet, HashMap},
    ops::AddAssign,
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::quota::account_bucket::{AccountBucket, BucketLimits, REPORT_RETENTION};
use crate::{
    gateway::{configuration::AccountQuota, gossip::report_source::ReportSource},
    ids::SharedName,
};

/// Fraction of the burst that all newly started daemons together may spend of an account that was
/// throttled before.
const START_BURST_FRACTION: f64 = 0.25;
/// Time over which the first report of a newly started daemon is averaged: about the time until its
/// first report arrives.
const FIRST_REPORT_PERIOD: Duration = Duration::from_millis(1_500);
/// Old report sources are removed when there are more than this: more than a daemon has neighbours
/// in a fleet of 300.
const SOURCES_BEFORE_PRUNING: usize = 64;
/// Retry-after of a refused client while almost nothing is admitted, in seconds.
const THROTTLED_WAIT_S: f64 = 1.0;
/// Shortest retry-after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry-after: larger debts are rare, and the load may be over by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Units of one account since a daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCounters {
    /// Units admitted.
    pub spent: u64,
    /// Units requested, admitted or not.
    pub requested: u64,
}

impl AddAssign for AccountCounters {
    fn add_assign(&mut self, other: Self) {
        self.spent = self.spent.saturating_add(other.spent);
        self.requested = self.requested.saturating_add(other.requested);
    }
}

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// Within the quota.
    Admitted,
    /// Beyond the quota.
    Refused {
        /// Time after which there will be room.
        retry_after: Duration,
        /// Units in the bucket.
        level: f64,
    },
}

/// How many daemons share the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSharing {
    /// Daemons that are known to be running, including this one.
    pub known: usize,
    /// Those of them whose reports are recent, including this one.
    pub heard: usize,
    /// Greatest age that reports of other daemons may have.
    pub report_age: Duration,
}

impl QuotaSharing {
    /// Share of a rate that the daemons with recent reports may spend together.
    fn share(self) -> f64 {
        self.heard.max(1) as f64 / self.known.max(self.heard).max(1) as f64
    }
}

/// By how much a quota may be exceeded over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Fraction of the quota.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// Buckets of all accounts at one daemon.
#[derive(Debug)]
pub struct QuotaLedger {
    accounts: HashMap<SharedName, AccountBucket>,
    /// When each source last reported.
    sources: HashMap<ReportSource, Instant>,
    /// Number of sources above which old ones are removed.
    sources_pruned_at: usize,
    started_at: Instant,
    /// Accounts that were throttled before this daemon started; `None` until they are known.
    throttled_before: Option<BTreeSet<SharedName>>,
    tolerance: QuotaTolerance,
}

impl QuotaLedger {
    /// Ledger of a daemon that starts now.
    pub fn new(tolerance: QuotaTolerance, now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            sources: HashMap::new(),
            sources_pruned_at: SOURCES_BEFORE_PRUNING,
            started_at: now,
            throttled_before: None,
            tolerance,
        }
    }

    /// Sets the accounts that were throttled shortly before this daemon started. All others start
    /// with their full burst. Only the first call has an effect.
    pub fn set_throttled_before(&mut self, accounts: impl IntoIterator<Item = SharedName>) {
        self.throttled_before.get_or_insert_with(|| accounts.into_iter().collect());
    }

    /// Accounts that have little of their burst left, sorted. Reports of other daemons may be
    /// `report_age` old.
    pub fn throttled(&self, report_age: Duration, now: Instant) -> Vec<SharedName> {
        let buckets = self.accounts.iter();
        let throttled = buckets.filter(|(_, bucket)| bucket.is_throttled(report_age, now));
        let mut names: Vec<SharedName> = throttled.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Decides whether a request for `units` of an account is admitted, and spends them if so.
    pub fn admit(
        &mut self,
        account: &SharedName,
        quota: &AccountQuota,
        units: u64,
        sharing: QuotaSharing,
        now: Instant,
        rng: &mut impl Rng,
    ) -> QuotaVerdict {
        let Some(rate) = quota.rate else { return QuotaVerdict::Admitted };
        let whole = BucketLimits::new(rate, quota.burst, self.tolerance);
        let limits = BucketLimits { rate: whole.rate * sharing.share(), ..whole };
        let start_level = self.start_level(account, limits.burst, sharing);
        let bucket = self.accounts.entry(account.clone()).or_default();
        if bucket.is_new() {
            bucket.start(start_level, self.started_at);
        }
        bucket.fill(limits, now);
        bucket.count_requested(units, now);
        // A request larger than the burst is admitted when the bucket is full.
        let needed = (units as f64).min(limits.burst);
        let level = bucket.estimated_level(sharing.report_age, now);
        let fraction = bucket.admitted_fraction(level, sharing.report_age, now);
        if level >= needed && (fraction >= 1.0 || rng.random_bool(fraction)) {
            bucket.spend(units);
            return QuotaVerdict::Admitted;
        }
        let refill_s = (needed - level) / limits.rate;
        QuotaVerdict::Refused { retry_after: retry_after(refill_s, fraction), level }
    }

    /// Level of an account's bucket at the daemon's start.
    fn start_level(&self, account: &SharedName, burst: f64, sharing: QuotaSharing) -> f64 {
        let unthrottled =
            self.throttled_before.as_ref().is_some_and(|list| !list.contains(account));
        match unthrottled {
            true => burst,
            false => burst * START_BURST_FRACTION / sharing.known.max(1) as f64,
        }
    }

    /// Returns units that were admitted for a request that never ran.
    pub fn give_back(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.accounts.get_mut(account) {
            bucket.give_back(units);
        }
    }

    /// Applies the counters reported by a peer or by another group. If the source has
    /// `just_started`, all units of its first report count as spent within `FIRST_REPORT_PERIOD`.
    pub fn receive<'a>(
        &mut self,
        from: ReportSource,
        counters: impl IntoIterator<Item = (&'a SharedName, &'a AccountCounters)>,
        just_started: bool,
        now: Instant,
    ) {
        let before = self.sources.insert(from, now);
        let started_at = just_started.then(|| now.checked_sub(FIRST_REPORT_PERIOD)).flatten();
        let spent_since = before.or(started_at);
        for (account, counters) in counters {
            let bucket = self.accounts.entry(account.clone()).or_default();
            bucket.receive(from, *counters, spent_since, now);
        }
        self.prune_sources(now);
    }

    fn prune_sources(&mut self, now: Instant) {
        if self.sources.len() <= self.sources_pruned_at {
            return;
        }
        self.sources.retain(|_, at| now.saturating_duration_since(*at) < REPORT_RETENTION);
        self.sources_pruned_at = (self.sources.len() * 2).max(SOURCES_BEFORE_PRUNING);
    }

    /// Counters of this daemon's group by account, as far as reported.
    pub fn group_counters(&self) -> impl Iterator<Item = (SharedName, AccountCounters)> {
        self.accounts.iter().map(|(account, bucket)| (account.clone(), bucket.group_counters()))
    }

    /// Counters of this daemon since it started, by account.
    pub fn counters(&self) -> impl Iterator<Item = (&SharedName, AccountCounters)> {
        self.accounts.iter().map(|(account, bucket)| (account, bucket.own_counters()))
    }
}

/// Time after which a refused request may be retried: the time to refill the bucket, or a time that
/// grows as the admitted fraction falls if that is longer.
fn retry_after(refill_s: f64, admitted_fraction: f64) -> Duration {
    let wait_s = refill_s.max(THROTTLED_WAIT_S * (1.0 - admitted_fraction));
    let wait = Duration::from_secs_f64(wait_s.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()));
    wait.max(MIN_RETRY_AFTER)
}
