//! A fleet in simulated time whose endpoints are silent: daemons with their retry budgets and usual silences,
//! endpoints with slots and a queue, streams and plain requests.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::policy::request::{retry_budget::BudgetTerms, time_limits::CheckPause},
    ids::{SharedName, hash_parts},
};

use crate::{
    silence_endpoints::{
        EVENTS, EndpointPool, ModelRun, RunStep, TROUBLE_FROM, TROUBLE_UNTIL, Trouble,
    },
    silence_requests::{Figures, Fleet, ModelDaemon, ModelRequest, Way},
    usual_silence::SilenceStage,
};

const WINDOW: Duration = Duration::from_secs(10);
const SHARE: f64 = 0.2;
const ATTEMPTS: u32 = 3;
/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(4);
/// When the last request arrives.
const ARRIVALS_UNTIL: Duration = Duration::from_secs(13);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    Step(usize),
    Ask { request: usize, question: u32 },
    Deadline(usize),
}

/// A fleet at work.
pub struct SilenceFleet {
    way: Way,
    fleet: Fleet,
    terms: BudgetTerms,
    /// Numbers of the arrivals, the same for each way.
    arrivals: SmallRng,
    /// Numbers of the choice of endpoints.
    choices: SmallRng,
    seed: u64,
    begin: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, ModelEvent)>>,
    daemons: Vec<ModelDaemon>,
    pool: EndpointPool,
    requests: Vec<ModelRequest>,
    /// Of streams, and of plain requests.
    routes: [SharedName; 2],
    figures: Figures,
}

impl SilenceFleet {
    /// A fleet that has been at work for a window.
    pub fn new(way: Way, fleet: Fleet, trouble: Trouble, seed: u64) -> Self {
        let mut arrivals = SmallRng::seed_from_u64(seed);
        let started = Instant::now();
        let begin = started + WINDOW;
        let reserve = fleet.reserve / fleet.daemons as f64;
        let terms = BudgetTerms { window: WINDOW, share: SHARE, reserve };
        let earlier = (fleet.rate * WINDOW.as_secs_f64()) as usize / fleet.daemons;
        let daemon = |_| ModelDaemon::new(arrivals.random(), terms, earlier, started, begin);
        let daemons = (0..fleet.daemons).map(daemon).collect();
        Self {
            way,
            fleet,
            terms,
            choices: SmallRng::seed_from_u64(!seed),
            arrivals,
            seed,
            begin,
            now: begin,
            events: BinaryHeap::from([Reverse((begin, ModelEvent::Arrival))]),
            daemons,
            pool: EndpointPool::new(fleet.endpoints, trouble, begin),
            requests: Vec::new(),
            routes: ["stream".into(), "plain".into()],
            figures: Figures::default(),
        }
    }

    /// Serves all requests.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                ModelEvent::Arrival => self.arrive(),
                ModelEvent::Step(run) => self.step(run),
                ModelEvent::Ask { request, question } => self.ask(request, question),
                ModelEvent::Deadline(request) => self.finish(request, false),
            }
        }
        self.figures
    }

    fn arrive(&mut self) {
        let now = self.now;
        let since_begin = now - self.begin;
        let id = self.requests.len();
        let daemon = self.arrivals.random_range(0..self.fleet.daemons);
        self.daemons[daemon].budget.record_request(self.terms, now);
        let is_counted = (TROUBLE_FROM..TROUBLE_UNTIL).contains(&since_begin);
        self.requests.push(ModelRequest::new(daemon, id.is_multiple_of(2), is_counted, now));
        self.figures.requests += usize::from(self.requests[id].is_counted);
        self.plan(TIMEOUT, ModelEvent::Deadline(id));
        if since_begin < ARRIVALS_UNTIL {
            let pause = -self.arrivals.random::<f64>().max(1e-9).ln() / self.fleet.rate;
            self.plan(Duration::from_secs_f64(pause), ModelEvent::Arrival);
        }
        if !self.begin_run(id) {
            self.finish(id, false);
        }
    }

    /// Begins a run, if an endpoint has room.
    fn begin_run(&mut self, id: usize) -> bool {
        let request = &mut self.requests[id];
        let (question, has_head) = (request.question, request.has_head);
        let Some(endpoint) = self.pool.choose(&request.tried, &mut self.choices) else {
            return false;
        };
        request.tried.push(endpoint);
        self.figures.runs += usize::from(request.is_counted);
        let (is_stream, events) = (request.is_stream, request.events);
        let key = [self.seed, id as u64, request.tried.len() as u64].map(u64::to_le_bytes).concat();
        let run = ModelRun::new(id, endpoint, is_stream, events, self.now);
        let mut hangs = SmallRng::seed_from_u64(hash_parts(&[&key]));
        let run = self.pool.begin(run, self.now, &mut hangs);
        self.requests[id].open.push(run);
        self.start_waiting(endpoint);
        // Unless its head has been heard at once.
        if self.requests[id].question == question {
            let stage = if has_head { SilenceStage::FirstEvent } else { SilenceStage::Head };
            self.await_next(id, stage);
        }
        true
    }

    /// Lets waiting runs of an endpoint take its free slots.
    fn start_waiting(&mut self, endpoint: usize) {
        while let Some(run) = self.pool.start_next(endpoint, self.now) {
            if self.pool.runs[run].is_stream && self.pool.runs[run].has_next_step() {
                self.hear(run, SilenceStage::Head);
            }
            self.plan_step(run);
        }
    }

    fn plan_step(&mut self, run: usize) {
        if let Some(time) = self.pool.step_time(run, self.now) {
            self.plan(time, ModelEvent::Step(run));
        }
    }

    fn step(&mut self, run: usize) {
        if !self.pool.runs[run].is_open {
            return;
        }
        match self.pool.advance(run) {
            RunStep::Event(stage) => {
                self.hear(run, stage);
                let request = &mut self.requests[self.pool.runs[run].request];
                request.events += 1;
                request.first_event.get_or_insert(self.now);
                if request.events == EVENTS {
                    self.finish(self.pool.runs[run].request, true);
                } else {
                    self.plan_step(run);
                }
            }
            RunStep::PlainEnd => {
                self.hear(run, SilenceStage::Head);
                self.finish(self.pool.runs[run].request, true);
            }
        }
    }

    /// A run has sent something. The others of its request end, unless it is a head after another one.
    fn hear(&mut self, run: usize, stage: SilenceStage) {
        let now = self.now;
        let id = self.pool.runs[run].request;
        let silence = now - self.pool.runs[run].heard_at;
        self.pool.runs[run].heard_at = now;
        let request = &mut self.requests[id];
        let route = &self.routes[usize::from(!request.is_stream)];
        self.daemons[request.daemon].silences.record(route, stage, silence, now);
        if stage == SilenceStage::Head && request.has_head {
            return;
        }
        request.has_head = true;
        request.heard_at = now;
        request.useful += self.pool.take_useful(run, now);
        let others: Vec<usize> = request.open.iter().copied().filter(|open| *open != run).collect();
        others.into_iter().for_each(|other| self.close(other));
        let next = match stage {
            SilenceStage::Head => SilenceStage::FirstEvent,
            SilenceStage::FirstEvent | SilenceStage::NextEvent => SilenceStage::NextEvent,
        };
        self.await_next(id, next);
    }

    /// Plans the question what to do if nothing is heard until the limit.
    fn await_next(&mut self, id: usize, stage: SilenceStage) {
        let request = &self.requests[id];
        let is_last = request.tried.len() >= ATTEMPTS as usize;
        if self.way == Way::NeverEnd || is_last || request.is_done {
            self.requests[id].question += 1;
            return;
        }
        let fixed = request.fixed_limit(stage);
        let route = &self.routes[usize::from(!request.is_stream)];
        let silences = &mut self.daemons[request.daemon].silences;
        let limit = match self.way {
            Way::RunBesideLearnt => silences.limit(route, stage, fixed, self.now),
            _ => fixed,
        };
        self.plan_question(id, self.now + limit);
    }

    fn plan_question(&mut self, id: usize, at: Instant) {
        let request = &mut self.requests[id];
        request.question += 1;
        let question = request.question;
        self.events.push(Reverse((at, ModelEvent::Ask { request: id, question })));
    }

    fn ask(&mut self, id: usize, question: u32) {
        let request = &self.requests[id];
        if request.is_done || request.question != question {
            return;
        }
        let mut open = request.open.clone();
        let pause = CheckPause::new(request.heard_at);
        if self.way == Way::EndThenAsk {
            open.drain(..).for_each(|run| self.close(run));
        }
        if self.may_begin(id) {
            if self.way == Way::AskThenEnd {
                open.into_iter().for_each(|run| self.close(run));
            }
            self.begin_run(id);
        } else if self.way == Way::EndThenAsk {
            self.finish(id, false);
        } else {
            self.plan_question(id, pause.next(self.now));
        }
    }

    /// Whether attempts, another endpoint and the retry budget allow a further run.
    fn may_begin(&mut self, id: usize) -> bool {
        let request = &self.requests[id];
        if request.tried.len() >= ATTEMPTS as usize || !self.pool.has_room(&request.tried) {
            return false;
        }
        self.daemons[request.daemon].budget.try_withdraw(self.terms, self.now).is_granted()
    }

    fn close(&mut self, run: usize) {
        let end = self.pool.close(run, self.now);
        let request = &mut self.requests[self.pool.runs[run].request];
        request.open.retain(|open| *open != run);
        if request.is_counted {
            self.figures.given_up += usize::from(end.is_at_work);
            self.figures.work += end.unused;
            self.figures.in_vain += end.unused;
        }
        self.start_waiting(self.pool.runs[run].endpoint);
    }

    fn finish(&mut self, id: usize, is_whole: bool) {
        let request = &mut self.requests[id];
        if request.is_done {
            return;
        }
        request.is_done = true;
        for run in request.open.clone() {
            self.close(run);
        }
        let request = &self.requests[id];
        if !request.is_counted {
            return;
        }
        self.figures.work += request.useful;
        if !is_whole {
            self.figures.in_vain += request.useful;
            return;
        }
        self.figures.whole += 1;
        self.figures.in_target += usize::from(request.is_in_target(self.now));
    }

    fn plan(&mut self, pause: Duration, event: ModelEvent) {
        self.events.push(Reverse((self.now + pause, event)));
    }
}
