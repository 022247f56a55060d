//! From a client's request to its answer: checked, admitted, and run at a replica.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, StatusCode, body::Body, body::Incoming};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::{
    call::{Call, CallHead},
    choice::{ChoiceQuery, ChoiceResult, ReplicaChoice, RunLoad},
    configuration::{Account, Configuration, Route, RouteKind, Service},
    connections::{ReplicaConnection, SendFailure},
    context::{GatewayContext, Intake},
    quota::QuotaVerdict,
    refusal::{Refusal, SpentQuota},
    relay,
    request_log::RequestTrace,
    run_guard::RunGuard,
};
use crate::{
    decide::health::AttemptResult,
    http::LocalBody,
    ids::SharedName,
    platform::ingress::{self, AnswerMeaning, AnswerSigns, AttemptHead},
};

/// Longest time that a request is held which names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// A plain request that may be repeated is sent elsewhere after this many times its target.
const PLAIN_PATIENCE: f64 = 3.0;
/// A stream that may be continued is sent elsewhere after this many times its target.
const STREAM_PATIENCE: f64 = 1.6;
/// When a client may come back whose service has no replica now.
const NO_REPLICA_WAIT: Duration = Duration::from_millis(400);
/// Why a connection is closed without an answer.
const CLIENT_BROKE_OFF: &str = "client broke off";

/// A request that has been checked and admitted.
pub struct Admitted {
    /// The request.
    pub call: Call,
    /// Configuration under which it was admitted.
    pub configuration: Rc<Configuration>,
    /// Its route.
    pub route: Rc<Route>,
    /// Service that the route's split gave it.
    pub service: Rc<Service>,
    /// Account, unless the route is public.
    pub account: Option<Rc<Account>>,
    /// When it was read.
    pub received: Instant,
    /// When it has to be over.
    pub deadline: Instant,
    /// Whether its run has been counted as used.
    pub counted: std::cell::Cell<bool>,
}

/// An answer of a replica, with all that is needed to relay it.
pub struct ReplicaAnswer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What it says.
    pub signs: AnswerSigns,
    /// Connection that it comes over.
    pub connection: ReplicaConnection,
    /// The run at the replica.
    pub guard: RunGuard,
}

/// State of the attempts at one request.
pub struct Attempts {
    /// Replicas that were tried.
    pub tried: Vec<SharedName>,
    /// Attempts that reached a replica.
    pub sent: u32,
    /// Whether an attempt ended in a way that leaves open whether the request has run.
    pub maybe_run: bool,
}

/// Answers a client's request.
pub async fn answer(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    // NOTE: the HTTP library drops a length that stands beside chunks, so a body in chunks
    // may be meant to end elsewhere. What follows it is never read as another request.
    let last = ingress::is_chunked(request.headers());
    let mut answered = answer_one(context, request).await;
    if let (true, Ok(answer)) = (last, &mut answered) {
        ingress::close_after(answer.headers_mut());
    }
    answered
}

async fn answer_one(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    let received = Instant::now();
    let _active = context.active.enter();
    let (parts, body) = request.into_parts();
    let head = match ingress::read_head(parts) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::BadHead(error);
            RequestTrace::new(context, None).refused(&refusal);
            return Ok(refusal.answer(None));
        }
    };
    let id = head.id.clone();
    let mut trace = RequestTrace::new(context, Some(id.clone()));
    match admit(context, head, body, received).await {
        Err(Refusal::BodyBroken) => {
            trace.refused(&Refusal::BodyBroken);
            Err(std::io::Error::other(CLIENT_BROKE_OFF))
        }
        Err(refusal) => {
            trace.refused(&refusal);
            Ok(refusal.answer(Some(&id)))
        }
        Ok(admitted) => {
            trace.admitted(&admitted);
            Ok(run(context, admitted, trace).await)
        }
    }
}

async fn admit(
    context: &Rc<GatewayContext>,
    head: CallHead,
    body: Incoming,
    received: Instant,
) -> Result<Admitted, Refusal> {
    if context.intake.get() != Intake::Open {
        return Err(Refusal::Leaving);
    }
    let configuration = context.configuration().ok_or(Refusal::NoConfiguration)?;
    let route = configuration.route(&head.host, head.path()).ok_or(Refusal::NoRoute)?.clone();
    let account = find_account(context, &configuration, &route, &head, received)?;
    let held = [head.deadline, route.limit].into_iter().flatten().min();
    let deadline = received + held.unwrap_or(DEFAULT_DEADLINE);
    let body = read_body(body, configuration.limits.body_bytes, deadline).await?;
    let service =
        pick_service(&configuration, &route).ok_or(Refusal::NoReplica(NO_REPLICA_WAIT))?;
    let now = Instant::now();
    if let Some(account) = &account {
        spend_quota(context, account, &head, now)?;
    }
    context.note_request(&service.name, now);
    Ok(Admitted {
        call: Call { head, body },
        configuration: configuration.clone(),
        route,
        service,
        account,
        received,
        deadline,
        counted: std::cell::Cell::new(false),
    })
}

fn find_account(
    context: &GatewayContext,
    configuration: &Configuration,
    route: &Route,
    head: &CallHead,
    now: Instant,
) -> Result<Option<Rc<Account>>, Refusal> {
    if route.public || configuration.accounts.is_empty() {
        return Ok(None);
    }
    if !context.keys_are_fresh(now) {
        return Err(Refusal::NotFresh);
    }
    let key = head.key.as_deref().ok_or(Refusal::UnknownKey)?;
    let account = configuration.account_of(key).ok_or(Refusal::UnknownKey)?;
    Ok(Some(account.clone()))
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let collecting = timeout_at(deadline, Limited::new(body, limit).collect());
    match collecting.await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyBroken),
    }
}

fn pick_service(configuration: &Configuration, route: &Route) -> Option<Rc<Service>> {
    let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
    let mut point = rand::rng().random_range(0..total.max(1));
    for (name, weight) in &route.split {
        if point < *weight {
            return configuration.services.get(name).cloned();
        }
        point -= weight;
    }
    None
}

/// Units that a request takes of its account's quota.
fn quota_units(account: &Account, head: &CallHead) -> u64 {
    if !account.quota.in_tokens {
        return 1;
    }
    head.tokens.map_or(account.quota.plain_tokens, |tokens| tokens.total())
}

fn spend_quota(
    context: &GatewayContext,
    account: &Account,
    head: &CallHead,
    now: Instant,
) -> Result<(), Refusal> {
    let units = quota_units(account, head);
    let sharing = context.sharing(now);
    let mut quotas = context.quotas.borrow_mut();
    match quotas.admit(&account.name, &account.quota, units, sharing, now) {
        QuotaVerdict::Admitted => Ok(()),
        QuotaVerdict::Refused { come_back, level } => Err(Refusal::QuotaSpent(SpentQuota {
            account: account.name.clone(),
            units,
            level,
            heard: sharing.heard,
            known: sharing.known,
            come_back,
        })),
    }
}

fn give_quota_back(context: &GatewayContext, admitted: &Admitted) {
    if let Some(account) = &admitted.account {
        let units = quota_units(account, &admitted.call.head);
        context.quotas.borrow_mut().give_back(&account.name, units);
    }
}

/// Runs an admitted request: attempts until one has an answer to pass on.
async fn run(
    context: &Rc<GatewayContext>,
    admitted: Admitted,
    mut trace: RequestTrace,
) -> Response<LocalBody> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts { tried: Vec::new(), sent: 0, maybe_run: false };
    match first_answer(context, &admitted, &mut attempts, &mut trace).await {
        Ok(answer) => relay::pass_on(context, admitted, attempts, answer, trace),
        Err(refusal) => {
            if refusal.come_back().is_some() {
                give_quota_back(context, &admitted);
            }
            trace.refused(&refusal);
            refusal.answer(Some(&admitted.call.head.id))
        }
    }
}

/// Attempts until a replica answers with something to pass on.
async fn first_answer(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    trace: &mut RequestTrace,
) -> Result<ReplicaAnswer, Refusal> {
    loop {
        let end = attempt(context, admitted, attempts, None, trace).await?;
        let may_go_on = |attempts: &Attempts| may_try_again(context, admitted, attempts);
        match end {
            AttemptEnd::Answer(answer) => {
                let failed = answer.response.status().is_server_error();
                let again =
                    failed && admitted.route.kind == RouteKind::Idempotent && may_go_on(attempts);
                if !again {
                    return Ok(*answer);
                }
                answer.guard.finish(AttemptResult::Neutral);
            }
            AttemptEnd::NotSent => {}
            AttemptEnd::NotRun if attempts.maybe_run => {
                if !may_go_on(attempts) {
                    return Err(Refusal::Unknown);
                }
            }
            AttemptEnd::NotRun => {
                if !may_go_on(attempts) {
                    return Err(Refusal::Full(come_back(admitted)));
                }
            }
            AttemptEnd::Unknown => {
                attempts.maybe_run = true;
                let again = admitted.route.kind.may_repeat() && may_go_on(attempts);
                if !again {
                    let over = Instant::now() >= admitted.deadline;
                    return Err(if over { Refusal::OutOfTime } else { Refusal::Unknown });
                }
            }
        }
    }
}

/// Whether another replica may be sent the request; draws on the budget.
pub fn may_try_again(context: &GatewayContext, admitted: &Admitted, attempts: &Attempts) -> bool {
    let now = Instant::now();
    attempts.sent < admitted.route.attempts
        && now < admitted.deadline
        && context.draw_repeat(&admitted.service.name, now)
}

/// How one attempt ended.
pub enum AttemptEnd {
    /// A replica has answered, and the answer says that the request ran.
    Answer(Box<ReplicaAnswer>),
    /// Nothing was sent.
    NotSent,
    /// The replica has not run it and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One attempt: chooses a replica, connects, sends, and reads the head of the answer.
/// `continued` is the last event that the client has of a stream that goes on.
pub async fn attempt(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    continued: Option<u64>,
    trace: &mut RequestTrace,
) -> Result<AttemptEnd, Refusal> {
    let choice = choose(context, admitted, attempts)?;
    let replica = choice.replica.clone();
    attempts.tried.push(replica.id.clone());
    trace.attempt(&choice);
    let load = RunLoad { unread: choice.unread, memory: memory_tokens(&admitted.call.head) };
    let guard = RunGuard::begin(context.clone(), &replica, &admitted.call.head.parts, load);
    let mut connection = match context.connections.take(&replica, admitted.deadline).await {
        Ok(connection) => connection,
        Err(failure) => {
            trace.failed(&failure);
            guard.finish(AttemptResult::Failed);
            return Ok(AttemptEnd::NotSent);
        }
    };
    let now = Instant::now();
    let request = replica_request(admitted, &replica.id, continued, now);
    let until = patience(admitted, attempts, now);
    match connection.send(request, until).await {
        Err(failure) => {
            trace.failed(&failure);
            let end = match failure.is_unsent() {
                true => AttemptEnd::NotSent,
                false => {
                    attempts.sent += 1;
                    context.connections.distrust(&replica.id);
                    AttemptEnd::Unknown
                }
            };
            // NOTE: a kept connection that its replica has closed says nothing of its health.
            let closed = matches!(failure, SendFailure::ClosedBefore);
            guard.finish(if closed { AttemptResult::Neutral } else { AttemptResult::Failed });
            if closed {
                attempts.tried.pop();
            }
            Ok(end)
        }
        Ok(response) => {
            attempts.sent += 1;
            Ok(judge(context, admitted, response, connection, guard, trace))
        }
    }
}

fn judge(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    response: Response<Incoming>,
    connection: ReplicaConnection,
    guard: RunGuard,
    trace: &mut RequestTrace,
) -> AttemptEnd {
    let signs = ingress::read_answer(&admitted.call.head.id, &response);
    trace.answered(response.status(), signs.meaning);
    match signs.meaning {
        AnswerMeaning::Ran => {
            AttemptEnd::Answer(Box::new(ReplicaAnswer { response, signs, connection, guard }))
        }
        AnswerMeaning::NotRun => {
            context.replicas.borrow_mut().mark_full(guard.replica(), Instant::now());
            guard.finish(AttemptResult::Neutral);
            relay::drain(context, response, connection, signs);
            AttemptEnd::NotRun
        }
        AnswerMeaning::OtherReplica => {
            guard.finish(AttemptResult::Failed);
            AttemptEnd::NotRun
        }
        AnswerMeaning::Foreign => {
            context.connections.distrust(guard.replica());
            guard.finish(AttemptResult::Failed);
            AttemptEnd::Unknown
        }
    }
}

fn choose(
    context: &GatewayContext,
    admitted: &Admitted,
    attempts: &Attempts,
) -> Result<ReplicaChoice, Refusal> {
    let head = &admitted.call.head;
    let now = Instant::now();
    if now >= admitted.deadline {
        return Err(if attempts.maybe_run {
            Refusal::OutOfTime
        } else {
            Refusal::Full(NO_REPLICA_WAIT)
        });
    }
    let query = ChoiceQuery {
        service: &admitted.service.name,
        parts: &head.parts,
        prompt_tokens: head.tokens.map_or(0, |tokens| tokens.prompt),
        memory_tokens: memory_tokens(head),
        tried: &attempts.tried,
        memory_capacity: admitted.service.engine.as_ref().map(|engine| engine.memory_tokens),
    };
    match context.replicas.borrow().choose(&query, now, &mut rand::rng()) {
        ChoiceResult::Replica(choice) => Ok(choice),
        _ if attempts.maybe_run => Err(Refusal::Unknown),
        ChoiceResult::Full(_) => Err(Refusal::Full(come_back(admitted))),
        ChoiceResult::None => Err(Refusal::NoReplica(NO_REPLICA_WAIT)),
    }
}

/// When a client that found all replicas full may come back: soon enough to be in time.
fn come_back(admitted: &Admitted) -> Duration {
    const PART_OF_TARGET: f64 = 0.5;
    admitted.route.target.mul_f64(PART_OF_TARGET)
}

fn memory_tokens(head: &CallHead) -> u64 {
    let Some(tokens) = head.tokens else { return 0 };
    let answer = head.answer_guess.map_or(tokens.answer, |guess| guess.min(tokens.answer));
    tokens.prompt + answer
}

fn replica_request(
    admitted: &Admitted,
    replica: &str,
    continued: Option<u64>,
    now: Instant,
) -> Request<Full<Bytes>> {
    const LOWEST: u8 = 9;
    const ROUTE_RANKS: u8 = 3;
    let account = admitted.account.as_ref();
    let rank = account.map_or(0, |account| account.priority).saturating_mul(ROUTE_RANKS);
    let priority = rank.saturating_add(admitted.route.priority).min(LOWEST);
    let attempt = AttemptHead {
        replica,
        account: account.map(|account| &*account.name),
        left: Some(admitted.deadline.saturating_duration_since(now)),
        priority: admitted.service.engine.is_some().then_some(priority),
        last_event: continued,
        copied_from: None,
    };
    ingress::replica_request(&admitted.call, &attempt, Full::new(admitted.call.body.clone()))
}

/// How long the head of an answer is waited for.
fn patience(admitted: &Admitted, attempts: &Attempts, now: Instant) -> Instant {
    let route = &admitted.route;
    let last = attempts.sent + 1 >= route.attempts;
    if last || !route.kind.may_repeat() {
        return admitted.deadline;
    }
    let times = if route.kind.is_stream() { STREAM_PATIENCE } else { PLAIN_PATIENCE };
    admitted.deadline.min(now + route.target.mul_f64(times))
}

/// Whether a status lets a run count as used.
pub fn counts_as_run(status: StatusCode) -> bool {
    status.is_success()
}
