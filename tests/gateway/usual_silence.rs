//! How long runs of a route are usually silent now, and after which silence a further run is worth beginning.
//!
//! While all endpoints of a service are slow, a silence beyond the fixed limit says nothing about its run: a
//! further run would be as slow, and would add its prompt to the load. The limit therefore rises with the
//! silences that have ended lately, and never falls below the fixed one of `time_limits`.
//!
//! Only silences that ended with the awaited head or event count. Runs that hang never end one, so they don't raise
//! the limit, however many there are; a run that ends while it is silent isn't counted either, since nobody knows
//! how long its silence would have lasted.
//!
//! Inputs are the silences that this daemon has seen: of each route and stage the last 64, and none older than
//! 10 s. With fewer than 8 the fixed limit applies.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use willowarch::ids::SharedName;

/// Silences that are kept of each stage of a route.
const KEPT_SILENCES: usize = 64;
/// Time after which a silence is forgotten.
const MEMORY: Duration = Duration::from_secs(10);
/// With fewer silences, the usual one is not known.
const FEWEST_SILENCES: usize = 8;
/// Fraction of the silences that are no longer than the usual one. Slow endpoints are in the rest as long as
/// they are few.
const USUAL_FRACTION: f64 = 0.75;
/// A further run is worth beginning after this multiple of the usual silence.
const USUAL_MULTIPLE: f64 = 1.5;
/// Lengths are counted in two classes for each power of two microseconds, from the shortest power to the longest.
const SHORTEST_POWER: u32 = 10;
const LONGEST_POWER: u32 = 26;
const CLASSES: usize = 2 * (LONGEST_POWER - SHORTEST_POWER) as usize;

/// What a silent run is awaited to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceStage {
    /// The head of its response.
    Head,
    /// The first event after the head.
    FirstEvent,
    /// A later event.
    NextEvent,
}

/// Class of similar lengths of silences.
#[derive(Clone, Copy, Debug)]
struct LengthClass(u8);

impl LengthClass {
    fn of(silence: Duration) -> Self {
        let shortest = 1 << SHORTEST_POWER;
        let longest = (1 << LONGEST_POWER) - 1;
        let micros =
            u64::try_from(silence.as_micros()).unwrap_or(u64::MAX).clamp(shortest, longest);
        let power = micros.ilog2();
        let is_upper_half = micros >> (power - 1) & 1;
        let class = 2 * u64::from(power - SHORTEST_POWER) + is_upper_half;
        Self(class as u8)
    }

    /// The shortest silence that is longer than all of the class.
    fn end(self) -> Duration {
        let (power, half) = (u32::from(self.0 / 2) + SHORTEST_POWER, u64::from(self.0 % 2));
        Duration::from_micros((3 + half) << (power - 1))
    }
}

/// The last silences of one stage of a route.
#[derive(Debug)]
struct RecentSilences {
    silences: VecDeque<(Instant, LengthClass)>,
    /// Number of kept silences of each class.
    counts: [u8; CLASSES],
}

impl RecentSilences {
    fn new() -> Self {
        Self { silences: VecDeque::with_capacity(KEPT_SILENCES), counts: [0; CLASSES] }
    }

    fn record(&mut self, silence: Duration, now: Instant) {
        if self.silences.len() == KEPT_SILENCES {
            self.drop_oldest();
        }
        let class = LengthClass::of(silence);
        self.silences.push_back((now, class));
        self.counts[usize::from(class.0)] += 1;
    }

    /// A length that most silences don't exceed; none if too few are known.
    fn usual(&mut self, now: Instant) -> Option<Duration> {
        let is_expired = |(at, _): &(Instant, LengthClass)| is_forgotten(*at, now);
        while self.silences.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
        if self.silences.len() < FEWEST_SILENCES {
            return None;
        }
        let mut missing = (self.silences.len() as f64 * USUAL_FRACTION).ceil() as usize;
        for (class, count) in (0..).zip(self.counts) {
            missing = missing.saturating_sub(usize::from(count));
            if missing == 0 {
                return Some(LengthClass(class).end());
            }
        }
        None
    }

    fn drop_oldest(&mut self) {
        if let Some((_, class)) = self.silences.pop_front() {
            self.counts[usize::from(class.0)] -= 1;
        }
    }
}

/// Silences of one route.
#[derive(Debug)]
struct RouteSilences {
    head: RecentSilences,
    first_event: RecentSilences,
    next_event: RecentSilences,
    recorded_at: Instant,
}

impl RouteSilences {
    fn new(now: Instant) -> Self {
        Self {
            head: RecentSilences::new(),
            first_event: RecentSilences::new(),
            next_event: RecentSilences::new(),
            recorded_at: now,
        }
    }

    fn of_stage(&mut self, stage: SilenceStage) -> &mut RecentSilences {
        match stage {
            SilenceStage::Head => &mut self.head,
            SilenceStage::FirstEvent => &mut self.first_event,
            SilenceStage::NextEvent => &mut self.next_event,
        }
    }
}

/// Silences of all routes that have been in use lately.
#[derive(Debug, Default)]
pub struct SilenceTable {
    by_route: HashMap<SharedName, RouteSilences>,
}

impl SilenceTable {
    /// Counts a silence that has ended now, with what was awaited.
    pub fn record(
        &mut self,
        route: &SharedName,
        stage: SilenceStage,
        silence: Duration,
        now: Instant,
    ) {
        if !self.by_route.contains_key(route) {
            self.by_route.retain(|_, silences| !is_forgotten(silences.recorded_at, now));
            self.by_route.insert(route.clone(), RouteSilences::new(now));
        }
        if let Some(silences) = self.by_route.get_mut(route) {
            silences.recorded_at = now;
            silences.of_stage(stage).record(silence, now);
        }
    }

    /// The silence after which a further run is worth beginning: the fixed limit, or a multiple of the
    /// usual silence if that is longer.
    pub fn limit(
        &mut self,
        route: &SharedName,
        stage: SilenceStage,
        fixed: Duration,
        now: Instant,
    ) -> Duration {
        let usual =
            self.by_route.get_mut(route).and_then(|silences| silences.of_stage(stage).usual(now));
        usual.map_or(fixed, |usual| fixed.max(usual.mul_f64(USUAL_MULTIPLE)))
    }

    /// Number of routes whose silences are kept.
    pub fn routes(&self) -> usize {
        self.by_route.len()
    }
}

fn is_forgotten(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > MEMORY
}
