//! Requests of a fleet in simulated time, what is done when their runs are silent, and the figures.

use std::{ops::AddAssign, time::Duration};

use tokio::time::Instant;
use willowarch::gateway::policy::request::retry_budget::{BudgetTerms, RetryBudget};

use crate::{
    silence_endpoints::EVENTS,
    usual_silence::{SilenceStage, SilenceTable},
};

const STREAM_TARGET: Duration = Duration::from_millis(300);
const GAP_TARGET: Duration = Duration::from_millis(100);
const PLAIN_TARGET: Duration = Duration::from_millis(800);
/// Fixed limits, as `time_limits` has them: 1.6 and 2 times the stream's target, 2 times the gap's, 3 times the plain
/// request's.
const STREAM_HEAD_LIMIT: Duration = Duration::from_millis(480);
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(600);
const GAP_LIMIT: Duration = Duration::from_millis(200);
const PLAIN_HEAD_LIMIT: Duration = Duration::from_millis(2_400);

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub daemons: usize,
    /// Requests per second.
    pub rate: f64,
    pub reserve: f64,
    pub endpoints: usize,
}

/// What is done about a silent run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// It is ended, then it is asked whether another may be begun.
    EndThenAsk,
    /// It is ended if another may be begun.
    AskThenEnd,
    /// Nothing.
    NeverEnd,
    /// Another is begun beside it, if it may.
    RunBeside,
    /// The same, after limits that are learnt.
    RunBesideLearnt,
}

/// Sums over the requests that arrive during the trouble.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: usize,
    pub whole: usize,
    pub in_target: usize,
    pub runs: usize,
    /// Runs ended by their daemon while they were at work.
    pub given_up: usize,
    /// Time in slots, and the part of it that served no one.
    pub work: Duration,
    pub in_vain: Duration,
}

/// What a daemon has learnt and saved.
pub struct ModelDaemon {
    pub budget: RetryBudget,
    pub silences: SilenceTable,
}

impl ModelDaemon {
    /// A daemon that has received this number of requests until `now`.
    pub fn new(
        fraction: f64,
        terms: BudgetTerms,
        requests: usize,
        started: Instant,
        now: Instant,
    ) -> Self {
        let mut budget = RetryBudget::new(fraction, started);
        (0..requests).for_each(|_| budget.record_request(terms, now));
        Self { budget, silences: SilenceTable::default() }
    }
}

/// A client's request.
pub struct ModelRequest {
    pub daemon: usize,
    pub is_stream: bool,
    pub is_counted: bool,
    pub arrived: Instant,
    /// Runs in progress.
    pub open: Vec<usize>,
    pub tried: Vec<usize>,
    pub has_head: bool,
    /// Events passed on.
    pub events: u32,
    pub first_event: Option<Instant>,
    pub heard_at: Instant,
    /// Slot time whose events were passed on.
    pub useful: Duration,
    pub is_done: bool,
    /// Distinguishes the newest question from former ones.
    pub question: u32,
}

impl ModelRequest {
    /// A request that arrives now.
    pub fn new(daemon: usize, is_stream: bool, is_counted: bool, now: Instant) -> Self {
        Self {
            daemon,
            is_stream,
            is_counted,
            arrived: now,
            open: Vec::new(),
            tried: Vec::new(),
            has_head: false,
            events: 0,
            first_event: None,
            heard_at: now,
            useful: Duration::ZERO,
            is_done: false,
            question: 0,
        }
    }

    /// Whether a request that ends now has met its route's target.
    pub fn is_in_target(&self, now: Instant) -> bool {
        let first_event = self.first_event.unwrap_or(now);
        let wait = first_event - self.arrived;
        match self.is_stream {
            true => wait <= STREAM_TARGET && now - first_event <= GAP_TARGET * (EVENTS - 1),
            false => wait <= PLAIN_TARGET,
        }
    }

    /// The fixed limit of a silence.
    pub fn fixed_limit(&self, stage: SilenceStage) -> Duration {
        match (self.is_stream, stage) {
            (false, _) => PLAIN_HEAD_LIMIT,
            (true, SilenceStage::Head) => STREAM_HEAD_LIMIT,
            (true, SilenceStage::FirstEvent) => FIRST_EVENT_LIMIT,
            (true, SilenceStage::NextEvent) => GAP_LIMIT,
        }
    }
}

impl AddAssign for Figures {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.in_target += other.in_target;
        self.runs += other.runs;
        self.given_up += other.given_up;
        self.work += other.work;
        self.in_vain += other.in_vain;
    }
}
