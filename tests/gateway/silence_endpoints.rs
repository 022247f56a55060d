//! Endpoints of a fleet in simulated time: slots, a queue, a speed that depends on the load, and their trouble.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use tokio::time::Instant;

use crate::usual_silence::SilenceStage;

/// Events of a stream.
pub const EVENTS: u32 = 10;
/// When the trouble begins and ends.
pub const TROUBLE_FROM: Duration = Duration::from_secs(2);
pub const TROUBLE_UNTIL: Duration = Duration::from_secs(12);
const SLOTS: usize = 8;
const QUEUE: usize = 16;
/// Times of an endpoint with half of its slots in use.
const PROMPT_TIME: Duration = Duration::from_millis(80);
const EVENT_TIME: Duration = Duration::from_millis(40);
const PLAIN_TIME: Duration = Duration::from_millis(400);
/// Endpoints that are compared by their load.
const COMPARED: usize = 3;
/// Fraction of the runs that hang for good.
const HANGING: f64 = 0.2;
/// One endpoint in this many is slow if a part is.
const SLOW_PART: usize = 5;

/// What is wrong with the endpoints during the trouble.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    None,
    /// All take this multiple of their time.
    AllSlow(f64),
    /// One in five takes this multiple of its time.
    PartSlow(f64),
    /// One run in five hangs for good.
    Hangs,
    /// All take this multiple of their time, and one run in five hangs for good.
    SlowAndHangs(f64),
    /// Runs of one endpoint never send anything.
    OneDark,
}

/// A run of a request at an endpoint.
#[derive(Debug)]
pub struct ModelRun {
    pub request: usize,
    pub endpoint: usize,
    pub is_stream: bool,
    pub is_open: bool,
    /// When the daemon has heard of it, or it was begun.
    pub heard_at: Instant,
    /// Events before it and of it.
    events: u32,
    /// Events that it has sent itself.
    sent: u32,
    /// Number of steps after which it hangs.
    hangs_after: Option<u32>,
    /// Since when its slot time has served no one, if it has a slot.
    unused_since: Option<Instant>,
}

impl ModelRun {
    /// A run that goes on after these events.
    pub fn new(
        request: usize,
        endpoint: usize,
        is_stream: bool,
        events: u32,
        now: Instant,
    ) -> Self {
        Self {
            request,
            endpoint,
            is_stream,
            is_open: true,
            heard_at: now,
            events,
            sent: 0,
            hangs_after: None,
            unused_since: None,
        }
    }

    /// Whether it doesn't hang here.
    pub fn has_next_step(&self) -> bool {
        self.hangs_after.is_none_or(|steps| self.sent < steps)
    }
}

/// What a run has sent.
pub enum RunStep {
    Event(SilenceStage),
    PlainEnd,
}

/// How a run has ended.
pub struct RunEnd {
    /// Whether it would have gone on.
    pub is_at_work: bool,
    /// Slot time that served no one.
    pub unused: Duration,
}

#[derive(Debug, Default)]
struct ModelEndpoint {
    running: usize,
    waiting: VecDeque<usize>,
}

impl ModelEndpoint {
    fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    fn has_room(&self) -> bool {
        self.load() < SLOTS + QUEUE
    }
}

/// All endpoints, and their runs.
pub struct EndpointPool {
    endpoints: Vec<ModelEndpoint>,
    pub runs: Vec<ModelRun>,
    trouble: Trouble,
    begin: Instant,
}

impl EndpointPool {
    pub fn new(count: usize, trouble: Trouble, begin: Instant) -> Self {
        let endpoints = (0..count).map(|_| ModelEndpoint::default()).collect();
        Self { endpoints, runs: Vec::new(), trouble, begin }
    }

    /// The least loaded of a few endpoints with room that the request has not tried.
    pub fn choose(&self, tried: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let may_run = |id: &usize| self.endpoints[*id].has_room() && !tried.contains(id);
        let compared = [0; COMPARED].map(|_| rng.random_range(0..self.endpoints.len()));
        let least = |ids: &mut dyn Iterator<Item = usize>| {
            ids.filter(may_run).min_by_key(|id| self.endpoints[*id].load())
        };
        least(&mut compared.into_iter()).or_else(|| least(&mut (0..self.endpoints.len())))
    }

    /// Whether an endpoint that the request has not tried has room.
    pub fn has_room(&self, tried: &[usize]) -> bool {
        let ids = 0..self.endpoints.len();
        ids.into_iter().any(|id| self.endpoints[id].has_room() && !tried.contains(&id))
    }

    /// Lets a run wait for a slot.
    pub fn begin(&mut self, mut run: ModelRun, now: Instant, rng: &mut SmallRng) -> usize {
        let steps = if run.is_stream { EVENTS - run.events } else { 1 };
        run.hangs_after = match self.trouble {
            Trouble::Hangs | Trouble::SlowAndHangs(_)
                if self.is_trouble(now) && rng.random_bool(HANGING) =>
            {
                Some(rng.random_range(0..steps))
            }
            Trouble::OneDark if self.is_trouble(now) && run.endpoint == 0 => Some(0),
            _ => None,
        };
        let id = self.runs.len();
        self.endpoints[run.endpoint].waiting.push_back(id);
        self.runs.push(run);
        id
    }

    /// Gives a free slot to the run that has waited the longest.
    pub fn start_next(&mut self, endpoint: usize, now: Instant) -> Option<usize> {
        let endpoint = &mut self.endpoints[endpoint];
        if endpoint.running == SLOTS {
            return None;
        }
        let run = endpoint.waiting.pop_front()?;
        endpoint.running += 1;
        self.runs[run].unused_since = Some(now);
        Some(run)
    }

    /// Time until the next step of a run; none if it hangs.
    pub fn step_time(&self, run: usize, now: Instant) -> Option<Duration> {
        let run = &self.runs[run];
        if !run.has_next_step() {
            return None;
        }
        let time = match (run.is_stream, run.sent) {
            (false, _) => PLAIN_TIME,
            (true, 0) => PROMPT_TIME,
            (true, _) => EVENT_TIME,
        };
        let used = self.endpoints[run.endpoint].running as f64 / SLOTS as f64;
        Some(time.mul_f64((0.5 + used) * self.slowness(run.endpoint, now)))
    }

    fn slowness(&self, endpoint: usize, now: Instant) -> f64 {
        match self.trouble {
            Trouble::AllSlow(multiple) | Trouble::SlowAndHangs(multiple)
                if self.is_trouble(now) =>
            {
                multiple
            }
            Trouble::PartSlow(multiple)
                if self.is_trouble(now) && endpoint.is_multiple_of(SLOW_PART) =>
            {
                multiple
            }
            _ => 1.0,
        }
    }

    fn is_trouble(&self, now: Instant) -> bool {
        (TROUBLE_FROM..TROUBLE_UNTIL).contains(&(now - self.begin))
    }

    /// Makes the next step of a run.
    pub fn advance(&mut self, run: usize) -> RunStep {
        let run = &mut self.runs[run];
        run.sent += 1;
        match (run.is_stream, run.sent) {
            (false, _) => RunStep::PlainEnd,
            (true, 1) => RunStep::Event(SilenceStage::FirstEvent),
            (true, _) => RunStep::Event(SilenceStage::NextEvent),
        }
    }

    /// Slot time that has served the client now.
    pub fn take_useful(&mut self, run: usize, now: Instant) -> Duration {
        self.runs[run].unused_since.replace(now).map_or(Duration::ZERO, |since| now - since)
    }

    /// Ends a run.
    pub fn close(&mut self, id: usize, now: Instant) -> RunEnd {
        let run = &mut self.runs[id];
        run.is_open = false;
        let endpoint = &mut self.endpoints[run.endpoint];
        match run.unused_since {
            Some(_) => endpoint.running -= 1,
            None => endpoint.waiting.retain(|waiting| *waiting != id),
        }
        let steps = if run.is_stream { EVENTS - run.events } else { 1 };
        RunEnd {
            is_at_work: run.hangs_after.is_none() && run.sent < steps,
            unused: run.unused_since.map_or(Duration::ZERO, |since| now - since),
        }
    }
}
