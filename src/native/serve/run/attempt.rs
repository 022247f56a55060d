//! One attempt to run a request at an endpoint on the native path: sends the call, reads the tokens
//! or the response, and leaves the endpoint when a reclaim notice requires it.
//!
//! It only reports that the endpoint is silent, and how the attempt ended; `run::driver` and
//! `run::once` decide what follows. A silent attempt goes on until it is dropped, or for
//! `CLIENT_WAIT`. The gateway's attempts (`gateway::request::attempt`) speak the platform's protocol instead.

mod stream_reading;

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Response, body::Incoming};
use tokio::time::Duration;

use crate::{
    endpoint_health::AttemptResult,
    errors::{FailureCause, StepError},
    http::client::OutgoingCall,
    ids::{AttemptId, RequestName},
    native::{
        decide::{limits::RequestPriority, reclaim::ReclaimWay},
        endpoint::EngineRequest,
        headers,
        request::{
            call::{ClientCall, CompletionCall, PlainCall},
            outcome::{FinalResponse, NotStartedEvidence, PlainResponse},
        },
        serve::{
            CLIENT_WAIT, context::ServeContext, run::response_lead::ResponseLead,
            services::router::messages::EndpointSlot,
        },
    },
    response_memory::{HeldBytes, ResponseMemory},
    timeouts::{Elapsed, wait_at_most},
};

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The endpoint's response is complete.
    Answered(FinalResponse),
    /// The endpoint did not start the request.
    NotStarted(NotStartedEvidence, StepError),
    /// The attempt failed; the request may have run.
    Failed(StepError),
    /// The endpoint is being reclaimed, and the stream has to continue at another one.
    Leaving(ReclaimWay),
    /// This daemon no longer runs the request.
    Superseded,
}

/// Inputs of one attempt.
pub struct AttemptTask<'a> {
    /// Shared handles of the daemon.
    pub context: &'a Rc<ServeContext>,
    /// Name of the request.
    pub name: &'a RequestName,
    /// Take-overs of the request before this daemon ran it.
    pub takeovers: u32,
    /// Call to send.
    pub call: &'a Arc<ClientCall>,
    /// Priority of the request at the engine.
    pub priority: RequestPriority,
    /// Identity of this attempt.
    pub attempt: AttemptId,
    /// Endpoint that the router assigned.
    pub slot: &'a EndpointSlot,
    /// Tokens of the response, and which run the client gets.
    pub lead: &'a ResponseLead,
}

impl AttemptTask<'_> {
    /// Runs a streamed completion that continues after the tokens so far.
    pub async fn stream(&self, completion: &CompletionCall) -> AttemptEnd {
        let order = EngineRequest {
            prompt: completion.prompt.to_string(),
            max_tokens: completion.max_tokens as usize,
            seed: completion.seed,
            priority: self.priority.number(),
            resume_tokens: self.lead.tokens().iter().map(ToString::to_string).collect(),
        };
        // This type always serializes.
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let call =
            self.build_call("stream completion", "/v1/completions", "application/json", body);
        let end = match self.open(&call).await {
            Ok(response) => self.read_stream(response).await,
            Err(end) => end,
        };
        self.slot.result.set(result_for_health(&end));
        end
    }

    /// Runs a plain call.
    pub async fn plain(&self, plain: &PlainCall) -> AttemptEnd {
        let body = plain.body.as_bytes().to_vec();
        let call = self.build_call("call service", &plain.path, &plain.content_type, body);
        let end = match self.open(&call).await {
            Ok(response) => self.read_response(response).await,
            Err(end) => end,
        };
        self.slot.result.set(result_for_health(&end));
        end
    }

    fn build_call(
        &self,
        step: &'static str,
        path: &str,
        content_type: &str,
        body: Vec<u8>,
    ) -> OutgoingCall {
        let mut call = OutgoingCall::get(step, &self.slot.pick.address, path)
            .with_header("content-type", content_type)
            .with_header(headers::REQUEST_ID, self.name)
            .with_header(headers::ATTEMPT_ID, self.attempt);
        if let Some(trace) = &self.call.traceparent {
            call = call.with_header(headers::TRACEPARENT, trace);
        }
        call.method = Method::POST;
        call.body = Bytes::from(body);
        call
    }

    async fn open(&self, call: &OutgoingCall) -> Result<Response<Incoming>, AttemptEnd> {
        let limit = self.context.settings.first_token_timeout;
        let opening = self.context.http.open(call, limit.max(CLIENT_WAIT));
        let opened = match self.wait_beyond_silence(limit, opening).await {
            Ok(opened) => opened,
            Err(cause) => Err(self.error(call.step, cause)),
        };
        let response = opened.map_err(|error| match NotStartedEvidence::from_error(&error) {
            Some(evidence) => AttemptEnd::NotStarted(evidence, error),
            None => AttemptEnd::Failed(error),
        })?;
        if let Some(evidence) = NotStartedEvidence::from_headers(response.headers()) {
            let cause = FailureCause::Status(response.status().as_u16());
            return Err(AttemptEnd::NotStarted(evidence, self.error(call.step, cause)));
        }
        if !self.is_from_this_attempt(response.headers()) && response.status().is_success() {
            self.context.metrics.count("answers_of_other_attempts", 1);
            let cause = FailureCause::Malformed("answer of another attempt".into());
            return Err(AttemptEnd::Failed(self.error(call.step, cause)));
        }
        Ok(response)
    }

    /// Waits for something from the endpoint. After `limit` it is reported as silent.
    async fn wait_beyond_silence<F: Future>(
        &self,
        limit: Duration,
        awaited: F,
    ) -> Result<F::Output, FailureCause> {
        tokio::pin!(awaited);
        if let Ok(output) = wait_at_most(limit, awaited.as_mut()).await {
            return Ok(output);
        }
        // Holds if the attempt is dropped before anything arrives.
        self.slot.result.set(AttemptResult::Failed);
        self.lead.set_silent(self.attempt);
        let rest = CLIENT_WAIT.saturating_sub(limit);
        wait_at_most(rest, awaited)
            .await
            .map_err(|Elapsed| FailureCause::timed_out(limit.max(CLIENT_WAIT)))
    }

    fn is_from_this_attempt(&self, response: &HeaderMap) -> bool {
        let echoed = response.get(headers::ATTEMPT_ID).and_then(|value| value.to_str().ok());
        echoed == Some(&self.attempt.to_string())
    }

    fn error(&self, step: &'static str, cause: FailureCause) -> StepError {
        StepError::new(step, self.slot.pick.address.clone(), cause)
    }

    async fn read_response(&self, response: Response<Incoming>) -> AttemptEnd {
        let step = "read answer";
        let (head, body) = response.into_parts();
        let limit = self.context.settings.first_token_timeout;
        let reading = read_body(body, &self.context.response_memory);
        let body = match self.wait_beyond_silence(limit, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) | Err(cause) => return AttemptEnd::Failed(self.error(step, cause)),
        };
        let status = head.status.as_u16();
        if head.status.is_server_error() && self.call.repeatable {
            return AttemptEnd::Failed(self.error(step, FailureCause::Status(status)));
        }
        let content_type = head.headers.get(hyper::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        AttemptEnd::Answered(FinalResponse::Plain(PlainResponse {
            status,
            content_type: content_type.unwrap_or("application/octet-stream").into(),
            body: body.to_vec(),
        }))
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// It broke off, or there is no memory for it.
async fn read_body(mut body: Incoming, memory: &ResponseMemory) -> Result<Bytes, FailureCause> {
    let mut held = HeldBytes::new(memory);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| FailureCause::Broken(error.to_string()))?;
        // Trailers are not used.
        let Ok(piece) = frame.into_data() else { continue };
        held.append(&piece).map_err(|error| FailureCause::Broken(error.to_string()))?;
    }
    Ok(held.take())
}

fn result_for_health(end: &AttemptEnd) -> AttemptResult {
    match end {
        AttemptEnd::Answered(_) => AttemptResult::Succeeded,
        AttemptEnd::Failed(_) => AttemptResult::Failed,
        // A refused connection counts as a failure: nothing listens at the address.
        AttemptEnd::NotStarted(_, error) if matches!(error.cause, FailureCause::Unreachable(_)) => {
            AttemptResult::Failed
        }
        AttemptEnd::NotStarted(..) | AttemptEnd::Leaving(_) | AttemptEnd::Superseded => {
            AttemptResult::Neutral
        }
    }
}
