//! What must hold of requests to endpoints that say that they drain or want a back-off, judged by what
//! clients and endpoints have seen.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::signalling_endpoint::Arrival;

/// Time after an endpoint's signal within which requests may still be on their way to it.
const DRAINING_SLACK: Duration = Duration::from_secs(2);
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint within a back-off after that.
const ALLOWED_IN_BACKOFF: usize = 2;

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

    fn is_excused(&self, daemon: usize, since: Instant, until: Instant) -> bool {
        let mut of_daemon = self.disturbances.iter().filter(|one| one.daemon == daemon);
        of_daemon.any(|one| one.until >= since && one.from <= until)
    }
}
