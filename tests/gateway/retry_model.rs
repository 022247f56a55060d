//! Compares ways to bound the retries of a fleet, in simulated time: the bound in the worst window, and
//! how many of the failed requests are retried.
//!
//! `cargo test --release --test gateway retry_model -- --nocapture` prints the figures.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::gateway::policy::request::retry_budget::{BudgetTerms, RetryBudget};

const WINDOW: Duration = Duration::from_secs(10);
const SHARE: f64 = 0.2;
/// Part of the window's budget that a way by windows uses.
const USED_BY_WINDOWS: f64 = 0.8;
const STEP: Duration = Duration::from_millis(20);
/// When endpoints begin to fail and daemons to end.
const TROUBLE_FROM: Duration = Duration::from_secs(20);
/// When many requests fail at once.
const BURST_AT: Duration = Duration::from_secs(25);
const TIME: Duration = Duration::from_secs(50);
const SEEDS: u64 = 4;

/// How a daemon bounds its retries.
enum Way {
    /// By a window, in each process.
    Window(WindowBudget),
    /// The same, with no retries in the first window of a process.
    Wait(WindowBudget),
    /// By income, with nothing saved at first: `policy::request::retry_budget`.
    Income(RetryBudget),
}

#[derive(Clone, Copy, Debug)]
enum WayKind {
    Window,
    Wait,
    Income,
}

struct WindowBudget {
    started: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowBudget {
    fn try_withdraw(&mut self, reserve: f64, now: Instant) -> bool {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > WINDOW) {
                times.pop_front();
            }
        }
        let allowed = (self.requests.len() as f64 * SHARE + reserve) * USED_BY_WINDOWS;
        let is_granted = self.retries.len() as f64 + 1.0 <= allowed;
        if is_granted {
            self.retries.push_back(now);
        }
        is_granted
    }
}

impl Way {
    fn start(kind: WayKind, fraction: f64, now: Instant) -> Self {
        let window =
            || WindowBudget { started: now, requests: VecDeque::new(), retries: VecDeque::new() };
        match kind {
            WayKind::Window => Self::Window(window()),
            WayKind::Wait => Self::Wait(window()),
            WayKind::Income => Self::Income(RetryBudget::new(fraction, now)),
        }
    }

    fn record_request(&mut self, terms: BudgetTerms, now: Instant) {
        match self {
            Self::Window(budget) | Self::Wait(budget) => budget.requests.push_back(now),
            Self::Income(budget) => budget.record_request(terms, now),
        }
    }

    fn try_withdraw(&mut self, terms: BudgetTerms, now: Instant) -> bool {
        match self {
            Self::Wait(budget) if now - budget.started < WINDOW => false,
            Self::Window(budget) | Self::Wait(budget) => budget.try_withdraw(terms.reserve, now),
            Self::Income(budget) => budget.try_withdraw(terms, now).is_granted(),
        }
    }
}

/// A deployment.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    daemons: usize,
    /// Requests per second.
    rate: f64,
    reserve: f64,
    /// Requests that fail at once.
    burst: usize,
}

const FLEETS: [Fleet; 3] = [
    Fleet { daemons: 7, rate: 157.0, reserve: 54.0, burst: 150 },
    Fleet { daemons: 78, rate: 523.0, reserve: 194.0, burst: 300 },
    Fleet { daemons: 195, rate: 420.0, reserve: 430.0, burst: 300 },
];

/// How daemons end.
#[derive(Clone, Copy, Debug)]
enum Ends {
    None,
    All(Duration),
    ByTurns(Duration),
}

const ALL_ENDS: [Ends; 4] = [
    Ends::None,
    Ends::All(Duration::from_secs(4)),
    Ends::All(Duration::from_secs(15)),
    Ends::ByTurns(Duration::from_millis(500)),
];

/// Failed requests, and those of them that were retried.
#[derive(Clone, Copy, Debug, Default)]
struct Retried {
    failed: usize,
    retried: usize,
}

impl Retried {
    fn fraction(self) -> f64 {
        self.retried as f64 / self.failed.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Retries in the worst window as a fraction of what is allowed.
    worst: f64,
    lasting: Retried,
    burst: Retried,
}

struct Model {
    kind: WayKind,
    fleet: Fleet,
    terms: BudgetTerms,
    ways: Vec<Way>,
    rng: SmallRng,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Model {
    fn new(kind: WayKind, fleet: Fleet, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let reserve = fleet.reserve / fleet.daemons as f64;
        let ways = (0..fleet.daemons).map(|_| Way::start(kind, rng.random(), now)).collect();
        let terms = BudgetTerms { window: WINDOW, share: SHARE, reserve };
        Self { kind, fleet, terms, ways, rng, requests: Vec::new(), retries: Vec::new() }
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.ways.len())
    }

    fn request(&mut self, now: Instant) -> usize {
        let daemon = self.any_daemon();
        self.ways[daemon].record_request(self.terms, now);
        self.requests.push(now);
        daemon
    }

    fn fail(&mut self, daemon: usize, counts: &mut Retried, now: Instant) {
        counts.failed += 1;
        if self.ways[daemon].try_withdraw(self.terms, now) {
            counts.retried += 1;
            self.retries.push(now);
        }
    }

    fn restart(&mut self, daemon: usize, now: Instant) {
        self.ways[daemon] = Way::start(self.kind, self.rng.random(), now);
    }

    fn run(mut self, failing: f64, ends: Ends, begin: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        let mut next_end = begin + TROUBLE_FROM;
        let mut turn = 0;
        let steps = TIME.as_millis() / STEP.as_millis();
        for step in 1..=steps as u32 {
            let now = begin + STEP * step;
            let expected = self.fleet.rate * STEP.as_secs_f64();
            let extra = usize::from(self.rng.random_bool(expected.fract()));
            for _ in 0..expected as usize + extra {
                let daemon = self.request(now);
                if now >= begin + TROUBLE_FROM && self.rng.random_bool(failing) {
                    self.fail(daemon, &mut outcome.lasting, now);
                }
            }
            if now == begin + BURST_AT {
                for _ in 0..self.fleet.burst {
                    let daemon = self.any_daemon();
                    self.fail(daemon, &mut outcome.burst, now);
                }
            }
            if now < next_end {
                continue;
            }
            match ends {
                Ends::None => {}
                Ends::All(pause) => {
                    (0..self.ways.len()).for_each(|daemon| self.restart(daemon, now));
                    next_end += pause;
                }
                Ends::ByTurns(pause) => {
                    self.restart(turn % self.fleet.daemons, now);
                    turn += 1;
                    next_end += pause;
                }
            }
        }
        outcome.worst = self.worst_window();
        outcome
    }

    fn worst_window(&self) -> f64 {
        let count = |times: &[Instant], from: Instant| {
            let begin = times.partition_point(|at| *at < from);
            times.partition_point(|at| *at < from + WINDOW) - begin
        };
        let excess = |from: &Instant| {
            let begins = [*from, *from - WINDOW / 2, *from - WINDOW];
            let most = begins.map(|begin| count(&self.requests, begin)).into_iter().max();
            let allowed = SHARE * most.unwrap_or(0) as f64 + self.fleet.reserve;
            count(&self.retries, *from) as f64 / allowed
        };
        self.retries.iter().step_by(7).map(excess).fold(0.0, f64::max)
    }
}

fn run(kind: WayKind, fleet: Fleet, failing: f64, ends: Ends) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let begin = Instant::now();
        let outcome = Model::new(kind, fleet, seed, begin).run(failing, ends, begin);
        sum.worst = sum.worst.max(outcome.worst);
        for (total, one) in [(&mut sum.lasting, outcome.lasting), (&mut sum.burst, outcome.burst)] {
            total.failed += one.failed;
            total.retried += one.retried;
        }
    }
    sum
}

#[googletest::test]
fn retries_stay_within_the_budget_in_fleets_of_any_size_however_daemons_end() {
    let mut window_exceeds = false;
    for fleet in FLEETS {
        for ends in ALL_ENDS {
            for failing in [0.03, 0.1, 0.3] {
                let outcomes = [WayKind::Window, WayKind::Wait, WayKind::Income]
                    .map(|kind| run(kind, fleet, failing, ends));
                let figures = outcomes.each_ref().map(|outcome| {
                    let (lasting, burst) = (outcome.lasting.fraction(), outcome.burst.fraction());
                    format!("{:.2} {lasting:.2} {burst:.2}", outcome.worst)
                });
                println!("{} daemons, {ends:?}, {failing}: {figures:?}", fleet.daemons);
                let [window, _, income] = outcomes;
                window_exceeds |= window.worst > 1.0;
                expect_that!(income.worst, le(1.0), "{fleet:?}, {ends:?}, {failing}");
            }
        }
    }
    // Otherwise the model would not show what the budget is for.
    expect_that!(window_exceeds, eq(true));
}
