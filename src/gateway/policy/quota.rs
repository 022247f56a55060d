//! Quotas of accounts, held over all daemons together.
//!
//! Every daemon keeps the same bucket for each account: what it admits itself leaves the
//! bucket at once, what others admit leaves it when they say so, at most a few hundred
//! milliseconds later; until then they are taken to go on as they did. What is overdrawn all
//! the same has to be refilled before anything more is admitted. A daemon that is not heard may
//! spend an even part of the rate; the others leave it that part, and take no more than
//! their own even parts together.
//!
//! In a large fleet word of others is so late that the bucket alone would swing between
//! admitting all and admitting nothing. Daemons therefore also tell what they were asked for. Where all are asked
//! for more than the rate, each admits the same part of what it is asked for, whatever the
//! size of a request.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::{
    gateway::{configuration::AccountQuota, gossip::report_source::ReportSource},
    ids::SharedName,
};

/// Part of the burst that all daemons that have just started may spend together of an account
/// that was crowded before: what was spent before they started is not known to them.
const START_LEVEL: f64 = 0.25;
/// Burst of a quota that names none, in seconds of its rate.
const LEAST_BURST_S: f64 = 0.1;
/// Part of the promised tolerance that is given out, so that requests within a quota are not
/// refused for what others are only guessed to have spent. The rest covers wrong guesses.
const TOLERANCE_USED: f64 = 0.3;
/// Others are taken to go on as they did for at most this long.
const GUESS_LIMIT: Duration = Duration::from_millis(1_000);
/// Word of others that is older than this is forgotten.
const HEARD_KEPT: Duration = Duration::from_secs(60);
/// Weight of the newest word in another daemon's rate.
const RATE_WEIGHT: f64 = 0.5;
/// While word of the others is newer than this, the bucket alone decides: it hardly swings, and
/// serves who comes first.
const SHORT_LAG: Duration = Duration::from_millis(900);
/// Time over which the own askings are averaged, in seconds.
const ASKED_TIME_S: f64 = 1.5;
/// Above this part of the burst everything is admitted, whatever is asked for.
const CALM_LEVEL: f64 = 0.6;
/// Shortest time between two words that a rate is taken over, in seconds.
const LEAST_ELAPSED_S: f64 = 0.1;
/// Time over which the first word of a daemon that has just started is averaged.
const FIRST_ELAPSED: Duration = Duration::from_millis(1_500);
/// Those who have told are looked through when there are more than this.
const SOURCES_KEPT: usize = 64;
/// Askings of others count for this long after their last word.
const ASKED_KEPT: Duration = Duration::from_secs(3);
/// Part of the burst at which the bucket is held while more is asked for than the rate.
const HELD_LEVEL: f64 = 0.2;
/// Time in which the bucket is brought back to that level, in times of the age of others'
/// word: a faster correction would overshoot before its effect is heard of.
const CORRECTION_LAGS: f64 = 1.5;
/// Shortest such time, in seconds.
const LEAST_CORRECTION_S: f64 = 1.0;
/// Time told to a refused client while hardly anything is admitted, in seconds.
const CROWDED_WAIT_S: f64 = 1.0;
/// Shortest and longest time told to a refused client.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// Units of one account since a daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCounters {
    /// Units admitted.
    pub spent: u64,
    /// Units asked for, admitted or not.
    pub asked: u64,
}

#[derive(Debug, Default)]
struct AccountBucket {
    level: f64,
    /// Rate and burst under which it was last asked.
    rate: f64,
    burst: f64,
    /// Last time the bucket was filled; none before the first request.
    filled_at: Option<Instant>,
    own: AccountCounters,
    own_asked: AskedRate,
    /// What others have told of, by the start of their processes; ordered, so that sums over
    /// it are rounded the same way every time.
    heard: BTreeMap<ReportSource, PeerSpending>,
    /// What others of the own group have told of.
    group_reported: AccountCounters,
}

/// Units asked for in a second, averaged.
#[derive(Clone, Copy, Debug, Default)]
struct AskedRate {
    rate: f64,
    at: Option<Instant>,
}

impl AskedRate {
    fn at(&self, now: Instant) -> f64 {
        let silence = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.rate * (-silence / ASKED_TIME_S).exp()
    }

    fn add(&mut self, units: u64, now: Instant) {
        self.rate = self.at(now) + units as f64 / ASKED_TIME_S;
        self.at = Some(now);
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerSpending {
    counters: AccountCounters,
    at: Instant,
    /// Units admitted in a second.
    rate: f64,
    /// Units asked for in a second.
    asked_rate: f64,
}

impl PeerSpending {
    fn new(counters: AccountCounters, at: Instant) -> Self {
        Self { counters, at, rate: 0.0, asked_rate: 0.0 }
    }

    /// Units that have probably been spent since the last word.
    fn guess(&self, now: Instant) -> f64 {
        let silence = now.saturating_duration_since(self.at).min(GUESS_LIMIT);
        self.rate * silence.as_secs_f64()
    }

    /// Units asked for in a second, if its word is new enough to count.
    fn asked(&self, now: Instant) -> f64 {
        let silence = now.saturating_duration_since(self.at);
        if silence < ASKED_KEPT { self.asked_rate } else { 0.0 }
    }
}

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// Within the quota.
    Admitted,
    /// Beyond it; there will be room after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// Units in the bucket.
        level: f64,
    },
}

/// How many daemons share the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSharing {
    /// Daemons that are known to run, this one included.
    pub known: usize,
    /// Those of them that were heard just now, this one included.
    pub heard: usize,
    /// How old word of the others may be.
    pub lag: Duration,
}

impl QuotaSharing {
    fn share(self) -> f64 {
        self.heard.max(1) as f64 / self.known.max(self.heard).max(1) as f64
    }
}

/// Buckets of all accounts at one daemon.
#[derive(Debug)]
pub struct QuotaLedger {
    accounts: HashMap<SharedName, AccountBucket>,
    /// Who has told of its accounts, and when.
    sources: HashMap<ReportSource, Instant>,
    /// Number of sources above which old ones are dropped.
    sources_pruned_at: usize,
    started_at: Instant,
    /// Accounts that were crowded before this daemon started, once that is known.
    throttled_before: Option<BTreeSet<SharedName>>,
    tolerance: QuotaTolerance,
}

/// By how much a quota may be overdrawn over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Part of the quota.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

impl QuotaLedger {
    /// Ledger of a daemon that starts now.
    pub fn new(tolerance: QuotaTolerance, now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            sources: HashMap::new(),
            sources_pruned_at: SOURCES_KEPT,
            started_at: now,
            throttled_before: None,
            tolerance,
        }
    }

    /// These accounts were crowded not long before this daemon started. Of others all of the
    /// burst may be taken for there.
    pub fn set_throttled_before(&mut self, accounts: impl IntoIterator<Item = SharedName>) {
        self.throttled_before.get_or_insert_with(|| accounts.into_iter().collect());
    }

    /// Accounts of which much is asked, or little is left.
    pub fn throttled(&self, now: Instant) -> Vec<SharedName> {
        let buckets = self.accounts.iter();
        let throttled = buckets.filter(|(_, bucket)| bucket.is_throttled(now));
        let mut names: Vec<SharedName> = throttled.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Asks for `units` of an account.
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
        let tolerance = self.tolerance;
        let rate = rate * (1.0 + tolerance.overage * TOLERANCE_USED);
        let burst = quota.burst.max(rate * LEAST_BURST_S) + tolerance.slack * TOLERANCE_USED;
        let started_at = self.started_at;
        let bucket = self.accounts.entry(account.clone()).or_default();
        if bucket.filled_at.is_none() {
            // NOTE: a bucket that nobody asked yet has filled since the daemon started.
            let calm = self.throttled_before.as_ref().is_some_and(|list| !list.contains(account));
            bucket.level += match calm {
                true => burst,
                false => burst * START_LEVEL / sharing.known.max(1) as f64,
            };
            bucket.filled_at = Some(started_at);
        }
        let rate = rate * sharing.share();
        (bucket.rate, bucket.burst) = (rate, burst);
        bucket.fill(rate, burst, now);
        bucket.own.asked += units;
        bucket.own_asked.add(units, now);
        // NOTE: a request larger than the burst is let in when the bucket is full.
        let needed = (units as f64).min(burst);
        let level = bucket.level - bucket.guess(now);
        let correction_s = (sharing.lag.as_secs_f64() * CORRECTION_LAGS).max(LEAST_CORRECTION_S);
        let correction = (level - burst * HELD_LEVEL) / correction_s;
        let exact = sharing.lag < SHORT_LAG || level >= burst * CALM_LEVEL;
        let admitted_part = match exact {
            true => 1.0,
            false => bucket.admitted_part(rate + correction, now),
        };
        if level >= needed && (admitted_part >= 1.0 || rng.random_bool(admitted_part)) {
            bucket.level -= units as f64;
            bucket.own.spent += units;
            return QuotaVerdict::Admitted;
        }
        let refill = (needed - level) / rate;
        let wait = refill.max(CROWDED_WAIT_S * (1.0 - admitted_part));
        let retry_after =
            Duration::from_secs_f64(wait.clamp(0.0, RETRY_AFTER_BOUNDS.1.as_secs_f64()));
        let retry_after = retry_after.max(RETRY_AFTER_BOUNDS.0);
        QuotaVerdict::Refused { retry_after, level }
    }

    /// Gives back what a request was admitted for that never ran.
    pub fn give_back(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.accounts.get_mut(account) {
            let units = units.min(bucket.own.spent);
            bucket.level += units as f64;
            bucket.own.spent -= units;
        }
    }

    /// Another daemon, or a group of them, tells of its accounts. `recent` says that it has
    /// started just now: then all that it has spent was spent just now.
    pub fn hear<'a>(
        &mut self,
        from: ReportSource,
        counters: impl IntoIterator<Item = (&'a SharedName, &'a AccountCounters)>,
        recent: bool,
        now: Instant,
    ) {
        let before = self.sources.insert(from, now);
        let just_started = recent.then(|| now.checked_sub(FIRST_ELAPSED)).flatten();
        let since = before.or(just_started);
        for (account, counters) in counters {
            let bucket = self.accounts.entry(account.clone()).or_default();
            bucket.hear(from, *counters, since, now);
        }
        let kept = |at: &mut Instant| now.saturating_duration_since(*at) < HEARD_KEPT;
        if self.sources.len() > self.sources_pruned_at {
            self.sources.retain(|_, at| kept(at));
            self.sources_pruned_at = (self.sources.len() * 2).max(SOURCES_KEPT);
        }
    }

    /// Units of the own group, as far as heard.
    pub fn group_counters(&self) -> impl Iterator<Item = (SharedName, AccountCounters)> {
        let sum = |bucket: &AccountBucket| AccountCounters {
            spent: bucket.own.spent + bucket.group_reported.spent,
            asked: bucket.own.asked + bucket.group_reported.asked,
        };
        self.accounts.iter().map(move |(account, bucket)| (account.clone(), sum(bucket)))
    }

    /// Units of this daemon since it started.
    pub fn counters(&self) -> impl Iterator<Item = (&SharedName, AccountCounters)> {
        self.accounts.iter().map(|(account, bucket)| (account, bucket.own))
    }
}

impl AccountBucket {
    fn is_throttled(&self, now: Instant) -> bool {
        let Some(filled_at) = self.filled_at else { return false };
        let elapsed = now.saturating_duration_since(filled_at).as_secs_f64();
        self.level + elapsed * self.rate < self.burst * CALM_LEVEL
    }

    /// Part of what is asked for that may be admitted so that `rate` is kept to; the same at
    /// all daemons.
    fn admitted_part(&self, rate: f64, now: Instant) -> f64 {
        if self.heard.is_empty() {
            // NOTE: a daemon alone knows its bucket exactly.
            return 1.0;
        }
        let heard: f64 = self.heard.values().map(|heard| heard.asked(now)).sum();
        let asked = self.own_asked.at(now) + heard;
        (rate / asked.max(1.0)).clamp(0.0, 1.0)
    }

    /// Takes what another daemon, or a group, tells. What it tells first is taken for spent
    /// after `since`.
    fn hear(
        &mut self,
        from: ReportSource,
        counters: AccountCounters,
        since: Option<Instant>,
        now: Instant,
    ) {
        let nothing = |at| PeerSpending::new(AccountCounters::default(), at);
        let known = self.heard.get(&from).copied();
        if known.is_none() {
            self.heard.retain(|_, heard| now.saturating_duration_since(heard.at) < HEARD_KEPT);
        }
        let Some(before) = known.or(since.map(nothing)) else {
            // NOTE: what a daemon spent before it was first heard may be long refilled.
            self.heard.insert(from, PeerSpending::new(counters, now));
            return;
        };
        // NOTE: units that were given back make the count sink.
        let spent = counters.spent as f64 - before.counters.spent as f64;
        self.level -= spent;
        let rise = AccountCounters {
            spent: counters.spent.saturating_sub(before.counters.spent),
            asked: counters.asked.saturating_sub(before.counters.asked),
        };
        self.note_group(from, rise);
        let elapsed = now.saturating_duration_since(before.at).as_secs_f64().max(LEAST_ELAPSED_S);
        let weight = if known.is_some() { RATE_WEIGHT } else { 1.0 };
        let smooth = |before: f64, newest: f64| before + (newest - before) * weight;
        let rate = smooth(before.rate, (spent / elapsed).max(0.0));
        let asked_rate = smooth(before.asked_rate, rise.asked as f64 / elapsed);
        self.heard.insert(from, PeerSpending { counters, at: now, rate, asked_rate });
    }

    fn note_group(&mut self, from: ReportSource, rise: AccountCounters) {
        if from.is_in_own_group() {
            self.group_reported.spent += rise.spent;
            self.group_reported.asked += rise.asked;
        }
    }

    fn guess(&self, now: Instant) -> f64 {
        self.heard.values().map(|heard| heard.guess(now)).sum()
    }

    fn fill(&mut self, rate: f64, burst: f64, now: Instant) {
        let filled_at = self.filled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(filled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(burst);
    }
}
