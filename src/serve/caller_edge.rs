//! The callers' port: model-serving HTTP with server-sent events, and plain HTTP.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, timeout},
};

use super::{
    context::ServeContext,
    once::{self, OnceOutcome},
    parse::{self, AnswerForm, CheckedRequest},
    problem::Problem,
    resume::{self, ObtainedRequest},
    store_service::RequestMessage,
    timeline::EventKind,
};
use crate::{
    headers,
    http::{AnswerBody, BodyError, server, stream_body, whole_body},
    ids::RequestName,
    kernel::SendError,
    request::{
        outcome::{FinalAnswer, PlainAnswer},
        store::{AnswerView, RequestCopy},
    },
};

/// Name of the service.
pub const NAME: &str = "caller-edge";
/// Longest time a caller may take to send its body.
const BODY_TIME: Duration = Duration::from_secs(30);
/// Chunks that wait for a slow caller before its stream waits too.
const STREAM_CHUNKS: usize = 32;
/// Most tickets issued at a time.
const TICKET_LIMIT: u64 = 100;

/// Serves callers on `listener` until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<ServeContext>) {
    let phase = context.kernel.phase();
    server::serve(listener, phase, move |request| {
        let context = context.clone();
        async move { answer(context, request).await }
    })
    .await;
}

async fn answer(context: Rc<ServeContext>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started_at = Instant::now();
    let result = route(&context, request).await;
    let response = result.unwrap_or_else(Problem::into_response);
    context.metrics.duration("answer_head", started_at.elapsed());
    context.metrics.count_labelled("answers", "status", response.status().as_str());
    response
}

fn overloaded(error: SendError) -> Problem {
    let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "(daemon)", error.to_string());
    problem.outcome = "unknown";
    problem.field = None;
    problem
}

async fn route(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Problem> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["healthz"]) => Ok(health(context)),
        (&Method::GET, ["v1", "models"]) => models(context, &request),
        (&Method::POST, ["v1", "completions"]) => completion(context, request, false).await,
        (&Method::POST, ["v1", "chat", "completions"]) => completion(context, request, true).await,
        (&Method::POST, ["v1", "tickets"]) => tickets(context, request).await,
        (&Method::DELETE, ["v1", "requests", key]) => cancel(context, &request, key),
        (&Method::POST, ["services", service, rest]) => {
            let (service, rest) = ((*service).to_owned(), (*rest).to_owned());
            plain(context, request, &service, &rest).await
        }
        (
            _,
            ["v1", "completions" | "tickets"] | ["v1", "chat", "completions"] | ["services", ..],
        ) => Err(Problem::new(StatusCode::METHOD_NOT_ALLOWED, "(method)", "must be POST")),
        _ => Err(Problem::new(StatusCode::NOT_FOUND, "(path)", "is not served here")),
    }
}

/// For the platform's balancer: whether to send callers here.
fn health(context: &Rc<ServeContext>) -> Response<AnswerBody> {
    let ready = !context.is_leaving() && !context.table().is_empty();
    let mut response = Response::new(whole_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn json_response(value: &Value) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(value.to_string()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}

fn models(
    context: &Rc<ServeContext>,
    request: &Request<Incoming>,
) -> Result<Response<AnswerBody>, Problem> {
    let table = context.table();
    parse::account(request.headers(), &table)?;
    let services = table.services().map(|row| json!({ "id": row.name, "object": "model" }));
    let list: Vec<Value> = services.collect();
    Ok(json_response(&json!({ "object": "list", "data": list })))
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, Problem> {
    let limited = Limited::new(request.into_body(), parse::BODY_LIMIT);
    let collected = timeout(BODY_TIME, limited.collect()).await.map_err(|_| {
        Problem::new(StatusCode::REQUEST_TIMEOUT, "(body)", "did not arrive in time")
    })?;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let rule = format!("must be at most {} bytes", parse::BODY_LIMIT);
            Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "(body)", rule)
        } else {
            Problem::bad_request("(body)", "broke off")
        }
    })?;
    Ok(collected.to_bytes())
}

async fn completion(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Response<AnswerBody>, Problem> {
    let headers = request.headers().clone();
    let body = read_body(request).await?;
    let checked = parse::completion(&headers, &body, chat, &*known_table(context)?)?;
    serve_repeatable(context, checked).await
}

async fn plain(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
    service: &str,
    path: &str,
) -> Result<Response<AnswerBody>, Problem> {
    let headers = request.headers().clone();
    let body = read_body(request).await?;
    let table = known_table(context)?;
    let checked = parse::plain(&headers, service, path, body.to_vec(), &table)?;
    if checked.call.repeatable {
        serve_repeatable(context, checked).await
    } else {
        serve_once(context, checked).await
    }
}

/// The table, which a daemon that has just started may not know yet.
fn known_table(
    context: &Rc<ServeContext>,
) -> Result<std::sync::Arc<crate::options::rows::TableSnapshot>, Problem> {
    let table = context.table();
    if table.is_empty() {
        let mut problem =
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "(daemon)", "the table is not known yet");
        problem.field = None;
        problem.retry_after = Some(0.0);
        return Err(problem);
    }
    Ok(table)
}

async fn tickets(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Problem> {
    let headers = request.headers().clone();
    let account = parse::account(&headers, &*known_table(context)?)?;
    let body = read_body(request).await?;
    let count = if body.is_empty() {
        Some(1)
    } else {
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        value
            .get("count")
            .and_then(Value::as_u64)
            .filter(|count| (1..=TICKET_LIMIT).contains(count))
    };
    let rule = || format!("must be a whole number from 1 to {TICKET_LIMIT}");
    let count = count.ok_or_else(|| Problem::bad_request("count", rule()))?;
    if context.is_leaving() {
        return Err(leaving());
    }
    let mut issued = Vec::new();
    for _ in 0..count {
        let ticket = once::issue(context, &account.name).await;
        issued.extend(ticket.map(|ticket| ticket.to_string()));
    }
    Ok(json_response(&json!({ "tickets": issued })))
}

fn leaving() -> Problem {
    let mut problem =
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, "(daemon)", "this daemon is leaving");
    problem.field = None;
    problem.retry_after = Some(0.0);
    problem
}

/// Cancels a request of the account by its key.
fn cancel(
    context: &Rc<ServeContext>,
    request: &Request<Incoming>,
    key: &str,
) -> Result<Response<AnswerBody>, Problem> {
    let account = parse::account(request.headers(), &context.table())?;
    let name = RequestName::new(account.name.clone(), key);
    context.note(EventKind::CallerLeft, &name, "cancelled by its caller");
    context.requests.send(RequestMessage::Remove { name }).map_err(overloaded)?;
    Ok(json_response(&json!({ "cancelled": key })))
}

async fn serve_once(
    context: &Rc<ServeContext>,
    checked: CheckedRequest,
) -> Result<Response<AnswerBody>, Problem> {
    const CALLER_WAIT: Duration = Duration::from_secs(45);
    let call = std::sync::Arc::new(checked.call);
    let key = checked.key.as_deref();
    match once::serve_within(context, key, call, CALLER_WAIT).await {
        OnceOutcome::KeyReused => Err(Problem::key_reused()),
        OnceOutcome::ForeignTicket => Err(Problem::foreign_ticket()),
        OnceOutcome::Final(FinalAnswer::Plain(plain)) => Ok(plain_response(&plain)),
        OnceOutcome::Final(answer) => {
            // NOTE: a request that may not be repeated is never streamed.
            let problem = Problem::of(&answer, false);
            Err(problem.unwrap_or_else(|| Problem::bad_request("(path)", "cannot be streamed")))
        }
    }
}

fn plain_response(plain: &PlainAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(plain.body.clone()));
    *response.status_mut() = StatusCode::from_u16(plain.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&plain.content_type) {
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    }
    response
}

async fn serve_repeatable(
    context: &Rc<ServeContext>,
    checked: CheckedRequest,
) -> Result<Response<AnswerBody>, Problem> {
    let name = checked.name(&context.next_attempt().to_string());
    let keyed = checked.key.is_some();
    let call = std::sync::Arc::new(checked.call);
    match resume::obtain(context, &name, call).await.map_err(overloaded)? {
        ObtainedRequest::KeyReused => return Err(Problem::key_reused()),
        ObtainedRequest::Refused(answer) => {
            let problem = Problem::of(&answer, true);
            return Err(problem.unwrap_or_else(|| Problem::bad_request("(body)", "was refused")));
        }
        ObtainedRequest::Ready => {}
    }
    let view = context.requests.ask(|reply| RequestMessage::View { name: name.clone(), reply });
    let Some(view) = view.await.map_err(overloaded)? else { return Err(vanished()) };
    let reader = AnswerReader {
        context: context.clone(),
        name: name.clone(),
        view,
        sent: checked.have_tokens,
        _guard: CallerGuard { context: context.clone(), name: name.clone(), keyed, done: false },
    };
    let response = match checked.form {
        AnswerForm::Events { chat } => reader.events(chat).await?,
        AnswerForm::Document { chat } => reader.document(chat).await?,
        AnswerForm::Plain => reader.plain().await?,
    };
    Ok(with_key(response, &name))
}

fn with_key(mut response: Response<AnswerBody>, name: &RequestName) -> Response<AnswerBody> {
    if let Ok(value) = HeaderValue::from_str(&name.key) {
        response.headers_mut().insert(headers::IDEMPOTENCY_KEY, value.clone());
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}

/// The record was removed while its caller waited: it was cancelled, or refused in the
/// same moment for another caller of the same key.
fn vanished() -> Problem {
    Problem::unknown(crate::request::outcome::UnknownReason::Cancelled, true)
}

/// Cancels a request when its last caller has left for good.
struct CallerGuard {
    context: Rc<ServeContext>,
    name: RequestName,
    keyed: bool,
    done: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.done || self.context.is_leaving() {
            return;
        }
        let context = self.context.clone();
        let name = self.name.clone();
        // NOTE: a caller without a key of its own cannot come back.
        let grace = if self.keyed { context.settings.resume_grace } else { Duration::ZERO };
        tokio::task::spawn_local(async move {
            context.note(EventKind::CallerLeft, &name, "its connection broke");
            tokio::time::sleep(grace).await;
            cancel_if_alone(&context, name).await;
        });
    }
}

async fn cancel_if_alone(context: &Rc<ServeContext>, name: RequestName) {
    let read = context.requests.ask(|reply| RequestMessage::Read {
        name: name.clone(),
        first_token: usize::MAX,
        reply,
    });
    let Ok(Some(copy)) = read.await else { return };
    if copy.answer.is_some() || copy.holder != context.holder() {
        return;
    }
    let watchers =
        context.requests.ask(|reply| RequestMessage::Watchers { name: name.clone(), reply });
    // NOTE: one watcher is the request's own driver.
    if watchers.await.is_ok_and(|watchers| watchers <= 1) {
        context.metrics.count("requests_cancelled", 1);
        let _ = context.requests.send(RequestMessage::Remove { name });
    }
}

/// Reads a request's answer from the store as it grows.
struct AnswerReader {
    context: Rc<ServeContext>,
    name: RequestName,
    view: AnswerView,
    sent: usize,
    _guard: CallerGuard,
}

impl AnswerReader {
    /// Waits until there is more than has been sent, or the end.
    async fn news(&mut self) -> Option<RequestCopy> {
        let sent = self.sent;
        if !self.view.wait_for(|progress| progress.ended || progress.tokens > sent).await {
            return None;
        }
        let copy = self.view.copy_from(sent);
        if copy.answer.is_some() {
            self._guard.done = true;
        }
        Some(copy)
    }

    async fn whole(&mut self) -> Option<RequestCopy> {
        if !self.view.wait_for(|progress| progress.ended).await {
            return None;
        }
        self._guard.done = true;
        Some(self.view.copy_from(0))
    }

    async fn plain(mut self) -> Result<Response<AnswerBody>, Problem> {
        let copy = self.whole().await.ok_or_else(vanished)?;
        match copy.answer.as_deref() {
            Some(FinalAnswer::Plain(plain)) => Ok(plain_response(plain)),
            Some(answer) => Err(Problem::of(answer, true).unwrap_or_else(vanished)),
            None => Err(vanished()),
        }
    }

    async fn document(mut self, chat: bool) -> Result<Response<AnswerBody>, Problem> {
        let copy = self.whole().await.ok_or_else(vanished)?;
        if let Some(problem) = copy.answer.as_deref().and_then(|end| Problem::of(end, true)) {
            return Err(problem);
        }
        let text = copy.tokens.concat();
        let (object, part) = if chat {
            let message = json!({ "role": "assistant", "content": text });
            ("chat.completion", ("message", message))
        } else {
            ("text_completion", ("text", json!(text)))
        };
        let mut choice = json!({ "index": 0, "finish_reason": "stop" });
        choice[part.0] = part.1;
        let usage = json!({ "completion_tokens": copy.tokens.len() });
        Ok(json_response(&json!({
            "id": self.name.key,
            "object": object,
            "choices": [choice],
            "usage": usage,
        })))
    }

    /// Streams events. The head waits for the first token, so that a request that comes
    /// to nothing is answered with a status that says so.
    async fn events(mut self, chat: bool) -> Result<Response<AnswerBody>, Problem> {
        let first = self.news().await.ok_or_else(vanished)?;
        if first.tokens.is_empty()
            && let Some(problem) = first.answer.as_deref().and_then(|end| Problem::of(end, true))
        {
            return Err(problem);
        }
        let (sender, body) = stream_body(STREAM_CHUNKS);
        let context = self.context.clone();
        context.kernel.spawn(NAME, async move { self.send_events(chat, first, sender).await });
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        let fresh = HeaderValue::from_static("no-store");
        response.headers_mut().insert(hyper::header::CACHE_CONTROL, fresh);
        Ok(response)
    }

    async fn send_events(
        mut self,
        chat: bool,
        first: RequestCopy,
        sender: mpsc::Sender<Result<Bytes, BodyError>>,
    ) {
        let mut news = Some(first);
        let mut phase = self.context.kernel.phase();
        loop {
            let Some(copy) = news else { return };
            let events = self.render(&copy, chat);
            if !events.is_empty() && sender.send(Ok(events)).await.is_err() {
                return;
            }
            if let Some(answer) = &copy.answer {
                let end = render_end(&self.name, answer, chat);
                let _ = sender.send(Ok(end)).await;
                return;
            }
            news = tokio::select! {
                news = self.news() => news,
                () = sender.closed() => return,
                _ = phase.wait_for(|phase| *phase == crate::kernel::LifePhase::Stopping) => None,
            };
        }
    }

    /// Events of the tokens that have not been sent yet.
    fn render(&mut self, copy: &RequestCopy, chat: bool) -> Bytes {
        let mut text = String::new();
        // NOTE: after a take-over the store may know fewer tokens than were sent.
        let known = self.sent.saturating_sub(copy.first_token);
        for token in copy.tokens.iter().skip(known) {
            let chunk = render_chunk(&self.name, Some(token), chat, None);
            text.push_str(&format!("id: {}\ndata: {chunk}\n\n", self.sent));
            self.sent += 1;
        }
        Bytes::from(text)
    }
}

/// Chunk of a stream, in the usual form.
#[derive(Serialize)]
struct StreamChunk<'a> {
    id: &'a str,
    object: &'static str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChunkDelta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChunkDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

fn render_chunk(
    name: &RequestName,
    token: Option<&str>,
    chat: bool,
    finish_reason: Option<&'static str>,
) -> String {
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let text = (!chat).then_some(token.unwrap_or(""));
    let delta = chat.then_some(ChunkDelta { content: token });
    let choice = ChunkChoice { index: 0, text, delta, finish_reason };
    let chunk = StreamChunk { id: &name.key, object, choices: [choice] };
    // NOTE: these types always serialize.
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// Last events of a stream. One that failed midway ends with its problem as an error
/// event and without the usual end, so that no caller takes it for whole.
fn render_end(name: &RequestName, answer: &FinalAnswer, chat: bool) -> Bytes {
    match Problem::of(answer, true) {
        None => {
            let chunk = render_chunk(name, None, chat, Some("stop"));
            Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
        }
        Some(problem) => {
            let problem = json!({ "error": problem });
            Bytes::from(format!("event: error\ndata: {problem}\n\n"))
        }
    }
}
