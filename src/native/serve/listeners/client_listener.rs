//! The clients' listener: model-serving HTTP with server-sent events, and plain HTTP.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    time::{Instant, timeout},
};

use super::{
    parse::{self, CheckedRequest, ResponseForm},
    problem::Problem,
    request_headers,
    response::{ResponseReader, json_response, plain_response, removed_problem},
};
use crate::{
    http::{ResponseBody, server, whole_body},
    ids::RequestName,
    kernel::SendError,
    native::{
        headers,
        request::outcome::FinalResponse,
        serve::{
            CLIENT_WAIT,
            context::ServeContext,
            run::{
                once::{self, OnceOutcome},
                resume::{self, ObtainedRequest},
            },
            services::store_service::RequestMessage,
            timeline::EventKind,
        },
    },
};

/// Name of the service.
pub const NAME: &str = "client-listener";
/// Longest time a client may take to send its body: bounds how long an idle client holds a
/// connection.
const BODY_TIME: Duration = Duration::from_secs(30);
/// Most tickets that one call may request: bounds the call's share of the ledger.
const TICKET_LIMIT: u64 = 100;

/// Serves clients on `listener` until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<ServeContext>) {
    let phase = context.kernel.phase();
    server::serve(listener, phase, move |request| {
        let context = context.clone();
        async move { handle(context, request).await }
    })
    .await;
}

async fn handle(context: Rc<ServeContext>, request: Request<Incoming>) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let _client = context.clients.enter();
    let result = route(&context, request).await;
    let response = result.unwrap_or_else(Problem::into_response);
    context.metrics.duration("answer_head", started_at.elapsed());
    context.metrics.count_labelled("answers", "status", response.status().as_str());
    response
}

fn overloaded_problem(error: SendError) -> Problem {
    let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "(daemon)", error.to_string());
    problem.outcome = "unknown";
    problem.field = None;
    problem
}

async fn route(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
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

/// Tells the platform's load balancer whether to send clients to this daemon.
fn health(context: &Rc<ServeContext>) -> Response<ResponseBody> {
    let ready = !context.is_leaving() && !context.table().is_empty();
    let mut response = Response::new(whole_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn models(
    context: &Rc<ServeContext>,
    request: &Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let table = context.table();
    request_headers::account(request.headers(), &table)?;
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
) -> Result<Response<ResponseBody>, Problem> {
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
) -> Result<Response<ResponseBody>, Problem> {
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

/// The current table; refuses the request if this daemon has just started and has none yet.
fn known_table(
    context: &Rc<ServeContext>,
) -> Result<std::sync::Arc<crate::native::options::rows::TableSnapshot>, Problem> {
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
) -> Result<Response<ResponseBody>, Problem> {
    let headers = request.headers().clone();
    let account = request_headers::account(&headers, &*known_table(context)?)?;
    let body = read_body(request).await?;
    let count = if body.is_empty() {
        Some(1)
    } else {
        // A body that is not JSON has no count and is refused below.
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        value
            .get("count")
            .and_then(Value::as_u64)
            .filter(|count| (1..=TICKET_LIMIT).contains(count))
    };
    let rule = || format!("must be a whole number from 1 to {TICKET_LIMIT}");
    let count = count.ok_or_else(|| Problem::bad_request("count", rule()))?;
    if context.is_leaving() {
        return Err(leaving_problem());
    }
    let mut issued = Vec::new();
    for _ in 0..count {
        let ticket = once::issue(context, &account.name).await;
        issued.extend(ticket.map(|ticket| ticket.to_string()));
    }
    Ok(json_response(&json!({ "tickets": issued })))
}

fn leaving_problem() -> Problem {
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
) -> Result<Response<ResponseBody>, Problem> {
    let account = request_headers::account(request.headers(), &context.table())?;
    let name = RequestName::new(account.name.clone(), key);
    context.record_event(EventKind::ClientLeft, &name, "cancelled by its caller");
    context.requests.send(RequestMessage::Remove { name }).map_err(overloaded_problem)?;
    Ok(json_response(&json!({ "cancelled": key })))
}

async fn serve_once(
    context: &Rc<ServeContext>,
    checked: CheckedRequest,
) -> Result<Response<ResponseBody>, Problem> {
    let call = std::sync::Arc::new(checked.call);
    let key = checked.key.as_deref();
    match once::serve_within(context, key, call, CLIENT_WAIT).await {
        OnceOutcome::KeyReused => Err(Problem::key_reused()),
        OnceOutcome::ForeignTicket => Err(Problem::foreign_ticket()),
        OnceOutcome::Final(FinalResponse::Plain(plain)) => Ok(plain_response(&plain)),
        OnceOutcome::Final(response) => {
            // A request that may not be retried is never streamed.
            let problem = Problem::of(&response, false);
            Err(problem.unwrap_or_else(|| Problem::bad_request("(path)", "cannot be streamed")))
        }
    }
}

async fn serve_repeatable(
    context: &Rc<ServeContext>,
    checked: CheckedRequest,
) -> Result<Response<ResponseBody>, Problem> {
    let name = checked.name(&context.next_attempt().to_string());
    let keyed = checked.key.is_some();
    let call = std::sync::Arc::new(checked.call);
    match resume::obtain(context, &name, call).await.map_err(overloaded_problem)? {
        ObtainedRequest::KeyReused => return Err(Problem::key_reused()),
        ObtainedRequest::Refused(response) => {
            let problem = Problem::of(&response, true);
            return Err(problem.unwrap_or_else(|| Problem::bad_request("(body)", "was refused")));
        }
        ObtainedRequest::Ready => {}
    }
    let view = context.requests.ask(|reply| RequestMessage::View { name: name.clone(), reply });
    let Some(view) = view.await.map_err(overloaded_problem)? else { return Err(removed_problem()) };
    let reader = ResponseReader::new(context, &name, view, checked.have_tokens, keyed);
    let response = match checked.form {
        ResponseForm::Events { chat } => reader.events(chat).await?,
        ResponseForm::Document { chat } => reader.document(chat).await?,
        ResponseForm::Plain => reader.plain().await?,
    };
    Ok(with_key(response, &name))
}

fn with_key(mut response: Response<ResponseBody>, name: &RequestName) -> Response<ResponseBody> {
    if let Ok(value) = HeaderValue::from_str(&name.key) {
        response.headers_mut().insert(headers::IDEMPOTENCY_KEY, value.clone());
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}
