//! Sends responses to clients: reads them from the request store as they grow, and streams them as
//! events or sends them complete.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Response, StatusCode, header::HeaderValue};
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::{
    problem::Problem,
    stream_chunks::{render_chunk, render_end},
};
use crate::{
    counting::CountGuard,
    http::{BodyError, ResponseBody, stream_body, whole_body},
    ids::RequestName,
    kernel::LifePhase,
    native::{
        request::{
            copy::RequestCopy,
            outcome::{FinalResponse, PlainResponse, UnknownReason},
            response_log::ResponseView,
        },
        serve::{
            context::ServeContext, services::store_service::RequestMessage, timeline::EventKind,
        },
    },
};

/// Chunks buffered for a slow client before its stream pauses: bounds memory per stream.
const STREAM_CHUNKS: usize = 32;

/// Response with a JSON body.
pub fn json_response(value: &impl Serialize) -> Response<ResponseBody> {
    // These types always serialize.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole_body(body));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Response of a plain endpoint.
pub fn plain_response(plain: &PlainResponse) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(plain.body.clone()));
    *response.status_mut() = StatusCode::from_u16(plain.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&plain.content_type) {
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    }
    response
}

/// Problem for a client whose request's record was removed while it waited: the request was cancelled,
/// or was refused at the same time for another client with the same key.
pub fn removed_problem() -> Problem {
    Problem::unknown(UnknownReason::Cancelled, true)
}

/// Cancels a request when its last client has disconnected and can't resume any more.
struct ClientGuard {
    context: Rc<ServeContext>,
    name: RequestName,
    keyed: bool,
    done: bool,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        if self.done || self.context.is_leaving() {
            return;
        }
        let context = self.context.clone();
        let name = self.name.clone();
        // A client that gave no key cannot resume.
        let grace = if self.keyed { context.settings.resume_grace } else { Duration::ZERO };
        tokio::task::spawn_local(async move {
            context.record_event(EventKind::ClientLeft, &name, "its connection broke");
            tokio::time::sleep(grace).await;
            cancel_if_unwatched(&context, name).await;
        });
    }
}

async fn cancel_if_unwatched(context: &Rc<ServeContext>, name: RequestName) {
    let read = context.requests.ask(|reply| RequestMessage::Read {
        name: name.clone(),
        first_token: usize::MAX,
        reply,
    });
    let Ok(Some(copy)) = read.await else { return };
    if copy.response.is_some() || copy.holder != context.holder() {
        return;
    }
    let watchers =
        context.requests.ask(|reply| RequestMessage::Watchers { name: name.clone(), reply });
    // The task that runs the request (its driver) is one of the watchers.
    if watchers.await.is_ok_and(|watchers| watchers <= 1) {
        context.metrics.count("requests_cancelled", 1);
        // If the store is overloaded, the request runs to its end without a client.
        let _ = context.requests.send(RequestMessage::Remove { name });
    }
}

/// Reads a request's response from the store as it grows.
pub struct ResponseReader {
    context: Rc<ServeContext>,
    name: RequestName,
    view: ResponseView,
    sent: usize,
    guard: ClientGuard,
    _client: CountGuard,
}

impl ResponseReader {
    /// Reader for a client that has received `have_tokens`; `keyed` if it can resume.
    pub fn new(
        context: &Rc<ServeContext>,
        name: &RequestName,
        view: ResponseView,
        have_tokens: usize,
        keyed: bool,
    ) -> Self {
        let guard =
            ClientGuard { context: context.clone(), name: name.clone(), keyed, done: false };
        let _client = context.clients.enter();
        Self {
            context: context.clone(),
            name: name.clone(),
            view,
            sent: have_tokens,
            guard,
            _client,
        }
    }

    /// Waits for more tokens than were sent, or for the end of the request.
    async fn next_update(&mut self) -> Option<RequestCopy> {
        let sent = self.sent;
        if !self.view.wait_for(|progress| progress.ended || progress.tokens > sent).await {
            return None;
        }
        let copy = self.view.copy_from(sent);
        if copy.response.is_some() {
            self.guard.done = true;
        }
        Some(copy)
    }

    async fn wait_for_end(&mut self) -> Option<RequestCopy> {
        if !self.view.wait_for(|progress| progress.ended).await {
            return None;
        }
        self.guard.done = true;
        Some(self.view.copy_from(0))
    }

    /// Sends the response of a plain endpoint.
    pub async fn plain(mut self) -> Result<Response<ResponseBody>, Problem> {
        let copy = self.wait_for_end().await.ok_or_else(removed_problem)?;
        match copy.response.as_deref() {
            Some(FinalResponse::Plain(plain)) => Ok(plain_response(plain)),
            Some(response) => Err(Problem::of(response, true).unwrap_or_else(removed_problem)),
            None => Err(removed_problem()),
        }
    }

    /// Sends the complete response in one document.
    pub async fn document(mut self, chat: bool) -> Result<Response<ResponseBody>, Problem> {
        let copy = self.wait_for_end().await.ok_or_else(removed_problem)?;
        if let Some(problem) = copy.response.as_deref().and_then(|end| Problem::of(end, true)) {
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

    /// Streams events. The response head waits for the first token, so that a request that fails
    /// before it gets an error status.
    pub async fn events(mut self, chat: bool) -> Result<Response<ResponseBody>, Problem> {
        let first = self.next_update().await.ok_or_else(removed_problem)?;
        if first.tokens.is_empty()
            && let Some(problem) = first.response.as_deref().and_then(|end| Problem::of(end, true))
        {
            return Err(problem);
        }
        let (sender, body) = stream_body(STREAM_CHUNKS);
        let context = self.context.clone();
        context.kernel.spawn("answer", async move { self.send_events(chat, first, sender).await });
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        let no_store = HeaderValue::from_static("no-store");
        response.headers_mut().insert(hyper::header::CACHE_CONTROL, no_store);
        Ok(response)
    }

    async fn send_events(
        mut self,
        chat: bool,
        first: RequestCopy,
        sender: mpsc::Sender<Result<Bytes, BodyError>>,
    ) {
        let mut update = Some(first);
        let mut phase = self.context.kernel.phase();
        loop {
            let Some(copy) = update else { return };
            let events = self.render(&copy, chat);
            if !events.is_empty() && sender.send(Ok(events)).await.is_err() {
                return;
            }
            if let Some(response) = &copy.response {
                let end = render_end(&self.name, response, chat);
                // Fails if the client has disconnected.
                let _ = sender.send(Ok(end)).await;
                return;
            }
            update = tokio::select! {
                update = self.next_update() => update,
                () = sender.closed() => return,
                _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => None,
            };
        }
    }

    /// Events of the tokens that have not been sent yet.
    fn render(&mut self, copy: &RequestCopy, chat: bool) -> Bytes {
        let mut text = String::new();
        // After a take-over the store may have fewer tokens than were sent.
        let known = self.sent.saturating_sub(copy.first_token);
        for token in copy.tokens.iter().skip(known) {
            let chunk = render_chunk(&self.name, Some(token), chat, None);
            text.push_str(&format!("id: {}\ndata: {chunk}\n\n", self.sent));
            self.sent += 1;
        }
        Bytes::from(text)
    }
}
