//! One attempt to run a request at an endpoint on the native path: sends the call, reads the tokens
//! or the response, and leaves the endpoint when a reclaim notice requires it.
//!
//! It only reports how the attempt ended; `run::driver` and `run::once` decide what follows. The
//! gateway's attempts (`gateway::request::attempt`) speak the platform's protocol instead.

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
        endpoint::{EngineRequest, EngineToken, STREAM_END, sse::EventDecoder},
        headers,
        request::{
            call::{ClientCall, CompletionCall, PlainCall},
            copy::ResponseToken,
            outcome::{FinalResponse, NotStartedEvidence, PlainResponse},
        },
        serve::{
            context::ServeContext,
            services::{router::messages::EndpointSlot, store_service::RequestMessage},
        },
    },
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
}

impl AttemptTask<'_> {
    /// Runs a streamed completion that continues after `tokens`, and appends new tokens to them.
    pub async fn stream(
        &self,
        completion: &CompletionCall,
        tokens: &mut Vec<ResponseToken>,
    ) -> AttemptEnd {
        let order = EngineRequest {
            prompt: completion.prompt.to_string(),
            max_tokens: completion.max_tokens as usize,
            seed: completion.seed,
            priority: self.priority.number(),
            resume_tokens: tokens.iter().map(ToString::to_string).collect(),
        };
        // This type always serializes.
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let call =
            self.build_call("stream completion", "/v1/completions", "application/json", body);
        let end = match self.open(&call).await {
            Ok(response) => self.read_stream(response, tokens).await,
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
        let response = self.context.http.open(call, limit).await.map_err(|error| {
            match NotStartedEvidence::from_error(&error) {
                Some(evidence) => AttemptEnd::NotStarted(evidence, error),
                None => AttemptEnd::Failed(error),
            }
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
        let collected = match wait_at_most(limit, body.collect()).await {
            Ok(Ok(collected)) => collected,
            Ok(Err(error)) => {
                let cause = FailureCause::Broken(error.to_string());
                return AttemptEnd::Failed(self.error(step, cause));
            }
            // The only error of the wait is the timeout.
            Err(_) => {
                let cause = FailureCause::TimedOut(limit.as_millis() as u64);
                return AttemptEnd::Failed(self.error(step, cause));
            }
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
            body: collected.to_bytes().to_vec(),
        }))
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        tokens: &mut Vec<ResponseToken>,
    ) -> AttemptEnd {
        let step = "read stream";
        if !response.status().is_success() {
            let cause = FailureCause::Status(response.status().as_u16());
            return AttemptEnd::Failed(self.error(step, cause));
        }
        let mut body = response.into_body();
        let mut decoder = EventDecoder::default();
        let mut way = self.slot.way.clone();
        let mut limit = self.context.settings.first_token_timeout;
        loop {
            let frame = tokio::select! {
                frame = wait_at_most(limit, body.frame()) => frame,
                way = wait_for_leave_order(&mut way) => return AttemptEnd::Leaving(way),
            };
            let bytes = match self.frame_bytes(frame, limit) {
                Ok(bytes) => bytes,
                Err(error) => return AttemptEnd::Failed(error),
            };
            let events = match decoder.feed(&bytes) {
                Ok(events) => events,
                Err(error) => {
                    let cause = FailureCause::Malformed(error.to_string());
                    return AttemptEnd::Failed(self.error(step, cause));
                }
            };
            for event in events {
                if let Some(end) = self.on_event(&event, tokens).await {
                    return end;
                }
            }
            if !tokens.is_empty() {
                limit = self.context.settings.token_timeout;
            }
        }
    }

    fn frame_bytes(
        &self,
        frame: Result<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>, Elapsed>,
        limit: Duration,
    ) -> Result<Bytes, StepError> {
        let step = "read stream";
        match frame {
            // The only error of the wait is the timeout.
            Err(_) => Err(self.error(step, FailureCause::TimedOut(limit.as_millis() as u64))),
            Ok(None) => Err(self.error(step, FailureCause::Broken("stream ended early".into()))),
            Ok(Some(Err(error))) => Err(self.error(step, FailureCause::Broken(error.to_string()))),
            // A frame without data carries trailers, which are ignored.
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
        }
    }

    /// Handles one event of the stream; `Some` if it ends the attempt.
    async fn on_event(&self, event: &str, tokens: &mut Vec<ResponseToken>) -> Option<AttemptEnd> {
        let step = "read stream";
        if event == STREAM_END {
            return Some(AttemptEnd::Answered(FinalResponse::Streamed));
        }
        let Ok(token) = serde_json::from_str::<EngineToken>(event) else {
            let cause = FailureCause::Malformed("not a token".into());
            return Some(AttemptEnd::Failed(self.error(step, cause)));
        };
        if token.index != tokens.len() {
            let cause = FailureCause::Malformed(format!("token {} out of order", token.index));
            return Some(AttemptEnd::Failed(self.error(step, cause)));
        }
        let text: ResponseToken = token.text.into();
        tokens.push(text.clone());
        self.slot.produced.set(tokens.len());
        let append = RequestMessage::Append {
            name: self.name.clone(),
            takeovers: self.takeovers,
            token: text,
        };
        match self.context.requests.deliver(append).await {
            Ok(()) => None,
            // The store has stopped because the daemon is stopping.
            Err(_) => Some(AttemptEnd::Superseded),
        }
    }
}

/// Waits until the router orders the stream to leave the endpoint; ignores the order to finish
/// there.
async fn wait_for_leave_order(
    way: &mut tokio::sync::watch::Receiver<Option<ReclaimWay>>,
) -> ReclaimWay {
    let leaves =
        |way: &Option<ReclaimWay>| matches!(way, Some(ReclaimWay::Move | ReclaimWay::Resume));
    match way.wait_for(leaves).await {
        Ok(found) => found.unwrap_or(ReclaimWay::Resume),
        // The router has stopped, so no order will come.
        Err(_) => std::future::pending().await,
    }
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
