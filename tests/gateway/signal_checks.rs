//! Checks of requests to endpoints that signal that they drain, want a back-off, or have a request
//! limit. They compare what clients sent with what reached the endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::signalling_endpoint::{Arrival, Fall, SignallingEndpoint};

/// Time after a draining signal during which requests may still be on their way to the endpoint.
const DRAINING_SLACK: Duration = Duration::from_secs(2);
/// The same after a response that asks for a back-off.
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
/// Time from the first response that names a limit until the limit is checked.
const LIMIT_SLACK: Duration = Duration::from_secs(3);
/// Time after a response with a limit passed through a daemon until its requests are checked.
const LIMIT_KNOWN_DELAY: Duration = Duration::from_millis(500);
/// Time window in which requests are counted, the multiple of the limit that may arrive within it,
/// and the number of requests that may arrive in addition.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_MULTIPLE: f64 = 1.5;
const BEYOND_LIMIT: f64 = 5.0;
/// Requests that may reach an endpoint during a back-off, after `BACKOFF_SLACK`.
const ALLOWED_IN_BACKOFF: usize = 2;
/// Time after a disturbance of a daemon for which falls of endpoints because of it don't count.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of distinct times in a spread of half a second, in whole milliseconds.
const DISTINCT_TIMES: usize = 500;
/// At most one client in this many may get the same time.
const CLIENTS_PER_TIME: usize = 10;

/// Checks that refused clients get different `Retry-After` times, so that they don't all retry at
/// the same moment.
pub fn check_told_differently(retry_after_s: &[f64]) {
    let mut clients_by_ms: HashMap<u64, usize> = HashMap::new();
    for seconds in retry_after_s {
        *clients_by_ms.entry((seconds * 1e3).round() as u64).or_default() += 1;
    }
    let (clients, times) = (retry_after_s.len(), clients_by_ms.len());
    let most_common = clients_by_ms.iter().max_by_key(|(_, clients)| **clients);
    let (most_common_ms, same_time) =
        most_common.map_or((0, 0), |(time, clients)| (*time, *clients));
    println!(
        "{clients} clients got {times} different retry times, {same_time} of them {most_common_ms} ms"
    );
    expect_that!(times * 2, gt(clients.min(DISTINCT_TIMES)));
    expect_that!(same_time * CLIENTS_PER_TIME, le(clients.max(CLIENTS_PER_TIME)));
}

/// When a client sent a request, and to which daemon.
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

/// Number of falls in which most of what was refused came from daemons that had not been disturbed for
/// `CONTACT_TIME`, and of all.
pub fn counted_falls(
    endpoints: &[SignallingEndpoint],
    disturbances: &[Disturbance],
) -> (usize, usize) {
    let falls: Vec<Fall> = endpoints.iter().flat_map(SignallingEndpoint::falls).collect();
    let is_disturbed = |daemon: usize, at: Instant| {
        let lately = |one: &Disturbance| one.from <= at && at < one.until + CONTACT_TIME;
        disturbances.iter().any(|one| one.daemon == daemon && lately(one))
    };
    let counts = |fall: &&Fall| {
        let refused = fall.refused.iter();
        let undisturbed = refused.filter(|daemon| !is_disturbed(**daemon, fall.at)).count();
        undisturbed * 2 > fall.refused.len()
    };
    (falls.iter().filter(counts).count(), falls.len())
}

/// What clients have sent and what has arrived at the endpoints.
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
    /// Number of requests checked.
    pub judged: usize,
    /// Number of requests at whose arrival more had come than allowed.
    pub beyond: usize,
    /// The highest number of arrivals, as a multiple of what was allowed.
    pub most: f64,
}

impl SeenSignals<'_> {
    /// Requests that a client sent over 2 s after their daemon had received an endpoint's draining
    /// signal, and that still reached the same process of this endpoint. Requests are not counted if
    /// the daemon was restarted or frozen since the signal.
    pub fn late_arrivals(&self) -> usize {
        self.arrivals.iter().map(|arrivals| self.late_at(arrivals)).sum()
    }

    fn late_at(&self, arrivals: &[Arrival]) -> usize {
        let mut signalled_at: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.signal.is_draining()) {
            let Some(sent) = self.sent.get(&arrival.id) else { continue };
            let at = signalled_at.entry((sent.daemon, arrival.start)).or_insert(arrival.answered);
            *at = (*at).min(arrival.answered);
        }
        let is_late = |arrival: &&Arrival| {
            let Some(sent) = self.sent.get(&arrival.id) else { return false };
            let signalled_at = signalled_at.get(&(sent.daemon, arrival.start));
            signalled_at.is_some_and(|signalled_at| {
                sent.at > *signalled_at + DRAINING_SLACK
                    && !self.was_disturbed(sent.daemon, *signalled_at, arrival.at)
            })
        };
        arrivals.iter().filter(is_late).count()
    }

    /// Number of back-offs that were asked for, and of those in which more than two requests came from
    /// the daemon later than half a second after the response. Back-offs during which the daemon was
    /// restarted or frozen do not count as broken.
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
        within.count() > ALLOWED_IN_BACKOFF && !self.was_disturbed(daemon, one.answered, span.end)
    }

    /// Checks the requests of daemons that had received a response with a limit against this limit.
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
                self.check_limit(span, &mut outcome);
            }
        }
        outcome
    }

    /// Checks the requests of a time during which every response of the endpoint named a limit.
    fn check_limit(&self, span: &[&Arrival], outcome: &mut LimitOutcome) {
        let named = span.iter().map(|arrival| arrival.answered).min().expect("a request");
        let counted: Vec<&&Arrival> = span
            .iter()
            .filter(|arrival| arrival.at >= named + LIMIT_SLACK && self.knows_limit(span, arrival))
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

    /// Whether the daemon that sent a request had received a response with a limit at least half a
    /// second before, and was not restarted or frozen since.
    fn knows_limit(&self, span: &[&Arrival], request: &Arrival) -> bool {
        let daemon_of = |arrival: &Arrival| self.sent.get(&arrival.id).map(|sent| sent.daemon);
        let Some(daemon) = daemon_of(request) else { return false };
        span.iter().any(|one| {
            one.answered + LIMIT_KNOWN_DELAY <= request.at
                && daemon_of(one) == Some(daemon)
                && !self.was_disturbed(daemon, one.answered, request.at)
        })
    }

    fn was_disturbed(&self, daemon: usize, since: Instant, until: Instant) -> bool {
        let mut of_daemon = self.disturbances.iter().filter(|one| one.daemon == daemon);
        of_daemon.any(|one| one.until >= since && one.from <= until)
    }
}
