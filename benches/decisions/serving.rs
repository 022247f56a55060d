//! Routing and retries: daemons with the real route tables before model engines, on a
//! clock of numbers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::AttemptResult,
    ids::SharedName,
    native::{
        cloud_api::messages::PriceClass,
        decide::{
            fair_queue::{FairQueue, QueueTurn},
            limits::{AccountLimiter, LimitVerdict, RequestPriority},
            prefix::prefix_chain,
            retries::{RetryBucket, retry_pause},
            routing::{EndpointInfo, RouteChoice, RouteQuery, RouteTable},
        },
    },
    standin::engine_model::{EngineModel, EngineSpeed},
};

use crate::{
    SEEDS,
    report::{WayResults, plot_lines, plot_seeds, write_table},
};

const DAEMONS: usize = 8;
const ENGINES: usize = 10;
const SLOTS: usize = 16;
const CONCURRENCY: u32 = 16;
const REPORT_EVERY_S: f64 = 2.0;
const REPORT_LAG_S: f64 = 1.0;
const FAIL_AFTER_S: f64 = 0.05;
const SERVICE: &str = "model";
const QUIET: &str = "kiosks";

#[derive(Clone, Copy, PartialEq)]
pub enum RoutingWay {
    Ours,
    /// Ours without the correction by own dispatches: many see the same stale report.
    WithoutSharing,
    RoundRobin,
    LeastReported,
}

#[derive(Clone, Copy, PartialEq)]
pub enum RetryWay {
    Budgeted,
    /// Up to three retries at once, wherever the turn falls, no ejection.
    FixedThree,
}

#[derive(Clone, Copy, PartialEq)]
enum QueueWay {
    /// Requests wait at the engines, first come first served.
    AtEngines,
    /// Requests wait at the daemons, and accounts take turns.
    Fair,
    /// So, and engines take requests of accounts over their share last.
    FairWithPriorities,
}

#[derive(Clone)]
struct Arrival {
    at: f64,
    daemon: usize,
    prompt: String,
    chain: Vec<u64>,
    tokens: usize,
    account: &'static str,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(usize),
    Attempt(usize),
    Begin(usize, usize),
    Finish(usize, usize),
    Fail(usize, usize),
    Sample,
    Deliver(usize),
}

struct Engine {
    model: EngineModel,
    /// Waiting requests: priority, then arrival.
    queue: BTreeMap<(u8, u64), usize>,
}

/// What one run came to.
#[derive(Default)]
pub struct RunResult {
    first_ms: Vec<f64>,
    /// First tokens of the quiet account, by arrival.
    quiet_first: Vec<(f64, f64)>,
    prefill_tokens: f64,
    /// Largest load of an engine over the mean, averaged over samples.
    imbalance: f64,
    attempts: f64,
    requests: f64,
    answered: f64,
    /// Answers by second.
    goodput: Vec<f64>,
}

struct Run {
    base: Instant,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Event>,
    arrivals: Vec<Arrival>,
    tried: Vec<Vec<SharedName>>,
    attempts: Vec<u32>,
    engines: Vec<Engine>,
    routes: Vec<RouteTable>,
    budgets: Vec<RetryBucket>,
    samples: Vec<Vec<u32>>,
    reported: Vec<u32>,
    turn: usize,
    /// Requests waiting at each daemon, where endpoints are as full as their row allows.
    waiting: Vec<FairQueue<usize>>,
    queueing: QueueWay,
    priorities: Vec<u8>,
    places: u64,
    limiters: Vec<AccountLimiter>,
    routing: RoutingWay,
    retry: RetryWay,
    brownout: Option<(f64, f64)>,
    rng: SmallRng,
    result: RunResult,
    imbalance_samples: f64,
}

fn engine_info(index: usize) -> EndpointInfo {
    EndpointInfo {
        id: format!("vm-{index}").into(),
        address: format!("10.0.0.{index}:1").into(),
        zone: format!("z{}", index % 4).into(),
        class: PriceClass::Reclaimable,
    }
}

/// A mix of long arcs that share much and short translations that share little.
fn make_arrivals(seed: u64, pace: f64, length_s: f64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < length_s {
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / pace;
        let number = arrivals.len();
        let long = rng.random_range(0.0..1.0) < 0.25;
        let (shared, series, own, tokens) =
            if long { (900, 24, 60, 120) } else { (80, 40, 24, 32) };
        let series = rng.random_range(0..series);
        let kind = if long { "arc" } else { "balloon" };
        let words: Vec<String> = (0..shared)
            .map(|word| format!("{kind}{series}x{word}"))
            .chain((0..own).map(|word| format!("r{number}x{word}")))
            .collect();
        let prompt = words.join(" ");
        let chain = prefix_chain(&prompt);
        arrivals.push(Arrival {
            at,
            daemon: rng.random_range(0..DAEMONS),
            prompt,
            chain,
            tokens,
            account: "reader",
        });
    }
    arrivals
}

impl Run {
    fn new(seed: u64, arrivals: Vec<Arrival>, routing: RoutingWay, retry: RetryWay) -> Self {
        let speed = EngineSpeed { slots: SLOTS, cache_blocks: 400, ..EngineSpeed::default() };
        let engines =
            (0..ENGINES).map(|_| Engine { model: EngineModel::new(speed), queue: BTreeMap::new() });
        let sharing = if routing == RoutingWay::WithoutSharing { 1.0 } else { DAEMONS as f64 };
        let routes = (0..DAEMONS).map(|daemon| {
            let mut routes = RouteTable::new(format!("z{}", daemon % 4).into());
            let infos = (0..ENGINES).map(engine_info).collect();
            routes.set_endpoints(&SERVICE.into(), infos, CONCURRENCY * 4, sharing);
            routes
        });
        let count = arrivals.len();
        let mut run = Self {
            base: Instant::now(),
            now: 0.0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            tried: vec![Vec::new(); count],
            attempts: vec![0; count],
            engines: engines.collect(),
            routes: routes.collect(),
            budgets: vec![RetryBucket::default(); DAEMONS],
            samples: Vec::new(),
            reported: vec![0; ENGINES],
            turn: 0,
            waiting: (0..DAEMONS).map(|_| FairQueue::new(100_000)).collect(),
            queueing: QueueWay::AtEngines,
            priorities: vec![0; count],
            places: 0,
            limiters: (0..DAEMONS).map(|_| AccountLimiter::default()).collect(),
            routing,
            retry,
            brownout: None,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            result: RunResult::default(),
            imbalance_samples: 0.0,
            arrivals,
        };
        for index in 0..count {
            let at = run.arrivals[index].at;
            run.schedule(at, Event::Arrive(index));
        }
        let last = run.arrivals.last().map_or(0.0, |arrival| arrival.at);
        let mut at = 0.0;
        while at < last {
            run.schedule(at, Event::Sample);
            at += REPORT_EVERY_S;
        }
        run
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.events.push(event);
        self.queue.push(Reverse(((at * 1e6) as u64, self.events.len() as u64 - 1)));
    }

    fn run(mut self) -> RunResult {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at as f64 / 1e6;
            match self.events[id as usize] {
                Event::Arrive(request) => {
                    self.result.requests += 1.0;
                    let daemon = self.arrivals[request].daemon;
                    self.budgets[daemon].deposit();
                    self.admit(request);
                }
                Event::Attempt(request) => {
                    self.attempt(request);
                }
                Event::Begin(engine, request) => self.begin(engine, request),
                Event::Finish(engine, request) => self.finish(engine, request),
                Event::Fail(engine, request) => self.fail(engine, request),
                Event::Sample => self.sample(),
                Event::Deliver(sample) => self.deliver(sample),
            }
        }
        self.result.imbalance /= self.imbalance_samples.max(1.0);
        self.result
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let daemon = self.arrivals[request].daemon;
        match self.routing {
            RoutingWay::RoundRobin => {
                self.turn += 1;
                Some(self.turn % ENGINES)
            }
            RoutingWay::LeastReported => (0..ENGINES).min_by_key(|engine| self.reported[*engine]),
            RoutingWay::Ours | RoutingWay::WithoutSharing => {
                let query = RouteQuery {
                    service: SERVICE,
                    chain: &self.arrivals[request].chain,
                    exclude: &self.tried[request],
                    priority: match self.priorities[request] {
                        0 => RequestPriority::Normal,
                        _ => RequestPriority::Low,
                    },
                };
                let now = self.base + Duration::from_secs_f64(self.now);
                let choice = self.routes[daemon].pick(query, now, &mut self.rng);
                match choice {
                    RouteChoice::Endpoint(pick) => {
                        pick.id.strip_prefix("vm-").and_then(|text| text.parse().ok())
                    }
                    RouteChoice::Busy if self.queueing != QueueWay::AtEngines => None,
                    RouteChoice::Busy | RouteChoice::Nowhere => {
                        Some(self.rng.random_range(0..ENGINES))
                    }
                }
            }
        }
    }

    /// Sends a request on, or has it wait for its account's turn.
    fn admit(&mut self, request: usize) {
        let daemon = self.arrivals[request].daemon;
        if self.queueing == QueueWay::AtEngines {
            self.attempt(request);
            return;
        }
        let arrival = &self.arrivals[request];
        let tokens = (arrival.chain.len() * 16 + arrival.tokens) as f64;
        if self.queueing == QueueWay::FairWithPriorities {
            let now = self.instant();
            let limiter = &mut self.limiters[daemon];
            let verdict = limiter.admit(&arrival.account.into(), 1.0, tokens, 1e12, now);
            if let LimitVerdict::Admitted(priority) = verdict {
                self.priorities[request] = priority.number();
            }
        }
        let far = self.instant() + Duration::from_secs(3_600);
        let priority = match self.priorities[request] {
            0 => RequestPriority::Normal,
            _ => RequestPriority::Low,
        };
        let account = arrival.account.into();
        let turn = QueueTurn { account, weight: 1.0, priority, tokens };
        self.waiting[daemon].push(&turn, far, request);
        self.serve_waiting(daemon);
    }

    fn serve_waiting(&mut self, daemon: usize) {
        while let Some(request) = self.waiting[daemon].pop() {
            if !self.attempt(request) {
                let far = self.instant() + Duration::from_secs(3_600);
                self.waiting[daemon].push_front(far, request);
                return;
            }
        }
    }

    /// `false` if all endpoints are full.
    fn attempt(&mut self, request: usize) -> bool {
        let Some(engine) = self.choose(request) else { return false };
        self.attempts[request] += 1;
        self.result.attempts += 1.0;
        let arrival = &self.arrivals[request];
        let id = format!("vm-{engine}");
        let now = self.base + Duration::from_secs_f64(self.now);
        self.routes[arrival.daemon].started(SERVICE, &id, &arrival.chain, now);
        let failing = self
            .brownout
            .is_some_and(|(from, until)| (from..until).contains(&self.now) && engine < ENGINES / 2);
        if failing {
            self.schedule(self.now + FAIL_AFTER_S, Event::Fail(engine, request));
        } else if self.engines[engine].model.has_slot() {
            self.begin(engine, request);
        } else {
            self.places += 1;
            let place = (self.priorities[request], self.places);
            self.engines[engine].queue.insert(place, request);
        }
        true
    }

    fn begin(&mut self, engine: usize, request: usize) {
        let arrival = &self.arrivals[request];
        let model = &mut self.engines[engine].model;
        let (cost, _, _) = model.start(&arrival.prompt);
        let step_s = model.step_ms() / 1e3;
        let first_at = self.now + cost.millis / 1e3 + step_s;
        self.result.prefill_tokens += cost.computed_tokens as f64;
        let first_ms = (first_at - arrival.at) * 1e3;
        self.result.first_ms.push(first_ms);
        if arrival.account == QUIET {
            self.result.quiet_first.push((arrival.at, first_ms));
        }
        let finish_at = first_at + step_s * arrival.tokens as f64;
        self.schedule(finish_at, Event::Finish(engine, request));
    }

    fn ended(&mut self, engine: usize, request: usize, result: AttemptResult) {
        let arrival = &self.arrivals[request];
        let now = self.instant();
        let id = format!("vm-{engine}");
        let chain: &[u64] = if result == AttemptResult::Succeeded { &arrival.chain } else { &[] };
        self.routes[arrival.daemon].ended(SERVICE, &id, result, chain, now);
    }

    fn finish(&mut self, engine: usize, request: usize) {
        self.engines[engine].model.end();
        self.ended(engine, request, AttemptResult::Succeeded);
        self.result.answered += 1.0;
        let second = self.now as usize;
        if self.result.goodput.len() <= second {
            self.result.goodput.resize(second + 1, 0.0);
        }
        self.result.goodput[second] += 1.0;
        if let Some((_, next)) = self.engines[engine].queue.pop_first() {
            self.schedule(self.now, Event::Begin(engine, next));
        }
        let daemon = self.arrivals[request].daemon;
        self.serve_waiting(daemon);
    }

    fn fail(&mut self, engine: usize, request: usize) {
        const FIXED_RETRIES: u32 = 3;
        self.ended(engine, request, AttemptResult::Failed);
        let retries = self.attempts[request] - 1;
        match self.retry {
            RetryWay::FixedThree if retries < FIXED_RETRIES => {
                self.schedule(self.now, Event::Attempt(request));
            }
            RetryWay::FixedThree => {}
            RetryWay::Budgeted => {
                self.tried[request].push(format!("vm-{engine}").into());
                let daemon = self.arrivals[request].daemon;
                if self.budgets[daemon].try_withdraw() {
                    let pause = retry_pause(retries, &mut self.rng).as_secs_f64();
                    self.schedule(self.now + pause, Event::Attempt(request));
                }
            }
        }
    }

    fn sample(&mut self) {
        let loads: Vec<u32> = self
            .engines
            .iter()
            .map(|engine| (engine.model.running() + engine.queue.len()) as u32)
            .collect();
        let mean = loads.iter().sum::<u32>() as f64 / ENGINES as f64;
        if mean >= 1.0 {
            let most = loads.iter().copied().max().unwrap_or(0);
            self.result.imbalance += f64::from(most) / mean;
            self.imbalance_samples += 1.0;
        }
        self.samples.push(loads);
        self.schedule(self.now + REPORT_LAG_S, Event::Deliver(self.samples.len() - 1));
    }

    fn deliver(&mut self, sample: usize) {
        self.reported = self.samples[sample].clone();
        for routes in &mut self.routes {
            for (engine, load) in self.reported.iter().enumerate() {
                routes.report_load(SERVICE, &format!("vm-{engine}"), *load);
            }
        }
        for daemon in 0..DAEMONS {
            self.serve_waiting(daemon);
        }
    }
}

fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

pub fn routing() {
    const PACE: f64 = 55.0;
    const LENGTH_S: f64 = 60.0;
    let ways = [
        ("ours", RoutingWay::Ours),
        ("ours, not scaled by sharing", RoutingWay::WithoutSharing),
        ("round robin", RoutingWay::RoundRobin),
        ("least reported load", RoutingWay::LeastReported),
    ];
    let mut results: Vec<WayResults> = Vec::new();
    for (name, way) in ways {
        let values = SEEDS.map(|seed| {
            let arrivals = make_arrivals(seed, PACE, LENGTH_S);
            let run = Run::new(seed, arrivals, way, RetryWay::Budgeted).run();
            vec![
                quantile(&run.first_ms, 0.5),
                quantile(&run.first_ms, 0.95),
                run.prefill_tokens / run.requests,
                run.imbalance,
            ]
        });
        results.push(WayResults { way: name, values: values.collect() });
    }
    let about = format!(
        "{DAEMONS} daemons share {ENGINES} engines of {SLOTS} slots; load reports every \
         {REPORT_EVERY_S} s, {REPORT_LAG_S} s late; {PACE} requests a second, a quarter of \
         them long arcs of 24 series, whose prefixes do not all fit into one engine's cache. \
         Imbalance: the fullest engine over the mean."
    );
    let measures = [
        "first token p50, ms",
        "first token p95, ms",
        "prompt tokens computed a request",
        "imbalance",
    ];
    write_table("routing", &about, &measures, &results);
    plot_seeds("routing", "first token p95, ms", 1, &results);
}

pub fn retries() {
    const PACE: f64 = 35.0;
    const LENGTH_S: f64 = 40.0;
    const BROWNOUT: (f64, f64) = (10.0, 15.0);
    let ways = [
        ("ours", RoutingWay::Ours, RetryWay::Budgeted),
        ("fixed three, round robin", RoutingWay::RoundRobin, RetryWay::FixedThree),
    ];
    let mut results: Vec<WayResults> = Vec::new();
    let mut lines = Vec::new();
    for (name, routing, retry) in ways {
        let mut goodput = Vec::new();
        let values = SEEDS.map(|seed| {
            let arrivals = make_arrivals(seed, PACE, LENGTH_S);
            let offered: Vec<f64> = arrivals.iter().map(|arrival| arrival.at).collect();
            let mut run = Run::new(seed, arrivals, routing, retry);
            run.brownout = Some(BROWNOUT);
            let run = run.run();
            goodput = run.goodput.clone();
            let before = run.goodput[4..10].iter().sum::<f64>() / 6.0;
            let recovered = (BROWNOUT.1 as usize..run.goodput.len())
                .find(|second| run.goodput[*second] >= before * 0.9)
                .map_or(f64::NAN, |second| second as f64 - BROWNOUT.1);
            let arrived =
                offered.iter().filter(|at| (BROWNOUT.0..BROWNOUT.1).contains(*at)).count();
            let lost = (run.requests - run.answered) / arrived as f64 * 100.0;
            vec![run.attempts / run.requests, lost, recovered]
        });
        results.push(WayResults { way: name, values: values.collect() });
        let points = goodput.iter().enumerate().map(|(second, rate)| (second as f64, *rate));
        lines.push((name, points.collect()));
    }
    let about = format!(
        "Half of {ENGINES} engines fail every attempt after {FAIL_AFTER_S} s, from second {} to \
         second {}, at {PACE} requests a second. Lost: share of the requests that arrived \
         meanwhile. Recovered: seconds after the end until nine tenths of the goodput before.",
        BROWNOUT.0, BROWNOUT.1
    );
    let measures = ["attempts a request", "lost, %", "recovered after, s"];
    write_table("retries", &about, &measures, &results);
    plot_lines("retries", "s", "answers a second (last seed)", &lines);
}

/// One account's burst beside another that goes on as before.
pub fn fairness() {
    const LENGTH_S: f64 = 50.0;
    const BURST: (f64, f64) = (20.0, 35.0);
    const BURST_PACE: f64 = 500.0;
    let ways = [
        ("ours: turns, and priorities at engines", QueueWay::FairWithPriorities),
        ("turns at daemons only", QueueWay::Fair),
        ("first come first served", QueueWay::AtEngines),
    ];
    let mut results: Vec<WayResults> = Vec::new();
    for (name, queueing) in ways {
        let values =
            SEEDS.map(|seed| {
                let mut arrivals = make_arrivals(seed, 40.0, LENGTH_S);
                for arrival in &mut arrivals {
                    arrival.account = QUIET;
                }
                let burst = make_arrivals(seed ^ 0xb0, BURST_PACE, BURST.1 - BURST.0);
                arrivals.extend(burst.into_iter().filter(|arrival| arrival.tokens < 100).map(
                    |arrival| Arrival { at: arrival.at + BURST.0, account: "press", ..arrival },
                ));
                arrivals.sort_by(|left, right| left.at.total_cmp(&right.at));
                let mut run = Run::new(seed, arrivals, RoutingWay::Ours, RetryWay::Budgeted);
                run.queueing = queueing;
                for routes in &mut run.routes {
                    let infos = (0..ENGINES).map(engine_info).collect();
                    routes.set_endpoints(&SERVICE.into(), infos, CONCURRENCY, DAEMONS as f64);
                }
                let run = run.run();
                let within = |from: f64, until: f64| {
                    let inside =
                        run.quiet_first.iter().filter(|(at, _)| (from..until).contains(at));
                    inside.map(|(_, first_ms)| *first_ms).collect::<Vec<f64>>()
                };
                let quiet = quantile(&within(8.0, BURST.0), 0.95);
                let during = quantile(&within(BURST.0, BURST.1), 0.95);
                vec![quiet, during, (during / quiet - 1.0) * 100.0]
            });
        results.push(WayResults { way: name, values: values.collect() });
    }
    let about = format!(
        "One account goes on with 40 requests a second, a quarter of them long arcs, while \
         another bursts with {BURST_PACE} short requests a second from second {} to second {}, \
         more than the engines carry. First token p95 of the account that goes on.",
        BURST.0, BURST.1
    );
    let measures = ["before, ms", "in the burst, ms", "longer by, %"];
    write_table("fairness", &about, &measures, &results);
    plot_seeds("fairness", "first token p95 in the burst, ms", 1, &results);
}
