//! What must hold of requests to endpoints that say that they drain, want a back-off, or take only so
//! many requests, judged by what clients and endpoints have seen.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::signalling_endpoint::Arrival;

/// Time after an endpoint's signal within which requests may still be on their way to it.
const DRAINING_SLACK: Duration = Duration::from_secs(2);
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
/// Time from the first response that names a limit to when the limit is judged.
const LIMIT_SLACK: Duration = Duration::from_secs(3);
/// Time after which a daemon that has passed on such a response counts.
const TOLD_SLACK: Duration = Duration::from_millis(500);
/// Time over which requests are counted, the multiple of the limit that may come within it, and
/// the requests that may come besides.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_MULTIPLE: f64 = 1.5;
const BEYOND_LIMIT: f64 = 5.0;
/// Requests that may reach an endpoint within a back-off after that.
const ALLOWED_IN_BACKOFF: usize = 2;

/// Different times that a spread of half a second has, told in whole milliseconds.
const DIFFERENT_TIMES: usize = 500;
/// Clients that may be told the same time: one in so many.
const TOLD_ALIKE: usize = 10;

/// Clients that can't be served are told different times, so that they don't all come back at once.
pub fn check_told_differently(told_s: &[f64]) {
    let mut clients_by_ms: HashMap<u64, usize> = HashMap::new();
    for seconds in told_s {
        *clients_by_ms.entry((seconds * 1e3).round() as u64).or_default() += 1;
    }
    let (clients, times) = (told_s.len(), clients_by_ms.len());
    let most_alike = clients_by_ms.iter().max_by_key(|(_, alike)| **alike);
    let (most_told_ms, alike) = most_alike.map_or((0, 0), |(time, alike)| (*time, *alike));
    println!("{clients} clients told {times} times, {alike} of them {most_told_ms} ms");
    expect_that!(times * 2, gt(clients.min(DIFFERENT_TIMES)));
    expect_that!(alike * TOLD_ALIKE, le(clients.max(TOLD_ALIKE)));
}

/// A request as its client has sent it.
#[derive(Clone, Copy, Debug)]
pub struct SentAt {
    pub daemon: usize,
    pub at: Instant,
}

/// Time in which a daemon was killed, stopped or frozen.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub daemon: usize,
    pub from: Instant,
    pub until: Instant,
}

/// What clients and endpoints have seen.
pub struct SeenSignals<'a> {
    /// Arrivals at each endpoint.
    pub arrivals: &'a [Vec<Arrival>],
    /// Requests by their ids.
    pub sent: &'a HashMap<String, SentAt>,
    pub disturbances: &'a [Disturbance],
}

/// Requests at endpoints that had named a limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitOutcome {
    /// Those that were judged.
    pub judged: usize,
    /// Those at which too many had come.
    pub beyond: usize,
    /// The most that came, as a multiple of what was allowed.
    pub most: f64,
}

impl SeenSignals<'_> {
    /// Requests that a client sent over 2 s after an endpoint had told their daemon that it drains,
    /// and that reached that start of it. A restart or a freeze of the daemon since then excuses.
    pub fn late_arrivals(&self) -> usize {
        self.arrivals.iter().map(|arrivals| self.late_at(arrivals)).sum()
    }

    fn late_at(&self, arrivals: &[Arrival]) -> usize {
        let mut told: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.signal.is_draining()) {
            let Some(sent) = self.sent.get(&arrival.id) else { continue };
            let at = told.entry((sent.daemon, arrival.start)).or_insert(arrival.answered);
            *at = (*at).min(arrival.answered);
        }
        let is_late = |arrival: &&Arrival| {
            let Some(sent) = self.sent.get(&arrival.id) else { return false };
            let told = told.get(&(sent.daemon, arrival.start));
            told.is_some_and(|told| {
                sent.at > *told + DRAINING_SLACK && !self.is_excused(sent.daemon, *told, arrival.at)
            })
        };
        arrivals.iter().filter(is_late).count()
    }

    /// Back-offs that were asked for, and those in which more than two requests came from the daemon
    /// from half a second on. A restart or a freeze of the daemon excuses.
    pub fn backoffs(&self) -> (usize, usize) {
        let (mut asked, mut broken) = (0, 0);
        for arrivals in self.arrivals {
            for one in arrivals {
                let Some(backoff) = one.signal.backoff() else { continue };
                asked += 1;
                broken += usize::from(self.is_broken(arrivals, one, backoff));
            }
        }
        (asked, broken)
    }

    fn is_broken(&self, arrivals: &[Arrival], one: &Arrival, backoff: Duration) -> bool {
        let daemon_of = |arrival: &Arrival| self.sent.get(&arrival.id).map(|sent| sent.daemon);
        let Some(daemon) = daemon_of(one) else { return false };
        let span = one.answered + BACKOFF_SLACK..one.answered + backoff;
        let within = arrivals.iter().filter(|other| {
            span.contains(&other.at) && other.start == one.start && daemon_of(other) == Some(daemon)
        });
        within.count() > ALLOWED_IN_BACKOFF && !self.is_excused(daemon, one.answered, span.end)
    }

    /// Requests from daemons that had passed on responses naming a limit, by the limit.
    pub fn limits(&self) -> LimitOutcome {
        let mut outcome = LimitOutcome::default();
        for arrivals in self.arrivals {
            let mut arrivals: Vec<&Arrival> = arrivals.iter().collect();
            arrivals.sort_by_key(|arrival| arrival.at);
            let spans = arrivals.chunk_by(|one, next| {
                one.start == next.start
                    && one.signal.limit().is_some() == next.signal.limit().is_some()
            });
            for span in spans.filter(|span| span[0].signal.limit().is_some()) {
                self.judge_limit(span, &mut outcome);
            }
        }
        outcome
    }

    /// Judges requests of a time in which an endpoint has named limits all along.
    fn judge_limit(&self, span: &[&Arrival], outcome: &mut LimitOutcome) {
        let named = span.iter().map(|arrival| arrival.answered).min().expect("a request");
        let counted: Vec<&&Arrival> = span
            .iter()
            .filter(|arrival| arrival.at >= named + LIMIT_SLACK && self.is_told(span, arrival))
            .collect();
        for (place, arrival) in counted.iter().enumerate() {
            let within =
                counted[..=place].iter().filter(|other| arrival.at - other.at < LIMIT_WINDOW);
            let limits = within.clone().filter_map(|other| other.signal.limit());
            let limit = limits.fold(0.0, f64::max);
            let allowed = limit * LIMIT_MULTIPLE * LIMIT_WINDOW.as_secs_f64() + BEYOND_LIMIT;
            let multiple = within.count() as f64 / allowed;
            outcome.judged += 1;
            outcome.beyond += usize::from(multiple > 1.0);
            outcome.most = outcome.most.max(multiple);
        }
    }

    /// Whether the daemon that sent a request had passed on a response naming a limit half a second
    /// before. A restart or a freeze of the daemon since then excuses.
    fn is_told(&self, span: &[&Arrival], request: &Arrival) -> bool {
        let daemon_of = |arrival: &Arrival| self.sent.get(&arrival.id).map(|sent| sent.daemon);
        let Some(daemon) = daemon_of(request) else { return false };
        span.iter().any(|one| {
            one.answered + TOLD_SLACK <= request.at
                && daemon_of(one) == Some(daemon)
                && !self.is_excused(daemon, one.answered, request.at)
        })
    }

    fn is_excused(&self, daemon: usize, since: Instant, until: Instant) -> bool {
        let mut of_daemon = self.disturbances.iter().filter(|one| one.daemon == daemon);
        of_daemon.any(|one| one.until >= since && one.from <= until)
    }
}
