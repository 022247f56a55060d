//! Reads the tokens of a streamed attempt, until it ends or the endpoint has to be left.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};

use super::{AttemptEnd, AttemptTask};
use crate::{
    endpoint_health::AttemptResult,
    errors::{FailureCause, StepError},
    native::{
        decide::reclaim::ReclaimWay,
        endpoint::{EngineToken, STREAM_END, sse::EventDecoder},
        request::{copy::ResponseToken, outcome::FinalResponse},
        serve::services::store_service::RequestMessage,
    },
    response_memory::MemoryCharge,
};

impl AttemptTask<'_> {
    pub(super) async fn read_stream(&self, response: Response<Incoming>) -> AttemptEnd {
        let step = "read stream";
        if !response.status().is_success() {
            let cause = FailureCause::Status(response.status().as_u16());
            return AttemptEnd::Failed(self.error(step, cause));
        }
        let mut body = response.into_body();
        let mut decoder = EventDecoder::default();
        let mut charge = self.context.response_memory.begin();
        let mut way = self.slot.way.clone();
        let mut limit = self.context.settings.first_token_timeout;
        loop {
            let frame = tokio::select! {
                frame = self.wait_beyond_silence(limit, body.frame()) => frame,
                way = wait_for_leave_order(&mut way) => return AttemptEnd::Leaving(way),
            };
            let bytes = match self.frame_bytes(frame) {
                Ok(bytes) => bytes,
                Err(error) => return AttemptEnd::Failed(error),
            };
            let events = match decode(&mut decoder, &mut charge, &bytes) {
                Ok(events) => events,
                Err(cause) => return AttemptEnd::Failed(self.error(step, cause)),
            };
            for event in events {
                if let Some(end) = self.on_event(&event).await {
                    return end;
                }
            }
            if !self.lead.tokens().is_empty() {
                limit = self.context.settings.token_timeout;
            }
        }
    }

    fn frame_bytes(
        &self,
        frame: Result<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>, FailureCause>,
    ) -> Result<Bytes, StepError> {
        let step = "read stream";
        match frame {
            Err(cause) => Err(self.error(step, cause)),
            Ok(None) => Err(self.error(step, FailureCause::Broken("stream ended early".into()))),
            Ok(Some(Err(error))) => Err(self.error(step, FailureCause::Broken(error.to_string()))),
            // A frame without data carries trailers, which are ignored.
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
        }
    }

    /// Handles one event of the stream; `Some` if it ends the attempt.
    async fn on_event(&self, event: &str) -> Option<AttemptEnd> {
        let step = "read stream";
        if self.lead.is_overtaken(self.attempt) {
            // The driver drops the attempt.
            return std::future::pending().await;
        }
        if event == STREAM_END {
            return Some(AttemptEnd::Answered(FinalResponse::Streamed));
        }
        let Ok(token) = serde_json::from_str::<EngineToken>(event) else {
            let cause = FailureCause::Malformed("not a token".into());
            return Some(AttemptEnd::Failed(self.error(step, cause)));
        };
        if token.index != self.lead.tokens().len() {
            let cause = FailureCause::Malformed(format!("token {} out of order", token.index));
            return Some(AttemptEnd::Failed(self.error(step, cause)));
        }
        self.add_token(token).await
    }

    async fn add_token(&self, token: EngineToken) -> Option<AttemptEnd> {
        let token: ResponseToken = token.text.into();
        self.lead.add(self.attempt, token.clone());
        self.slot.produced.set(self.lead.tokens().len());
        self.slot.result.set(AttemptResult::Neutral);
        let append =
            RequestMessage::Append { name: self.name.clone(), takeovers: self.takeovers, token };
        match self.context.requests.deliver(append).await {
            Ok(()) => None,
            // The store has stopped because the daemon is stopping.
            Err(_) => Some(AttemptEnd::Superseded),
        }
    }
}

/// Decodes the next bytes of a stream, and accounts for what is held of incomplete events.
fn decode(
    decoder: &mut EventDecoder,
    charge: &mut MemoryCharge,
    bytes: &[u8],
) -> Result<Vec<String>, FailureCause> {
    let events = decoder.feed(bytes).map_err(|error| FailureCause::Malformed(error.to_string()))?;
    let charged = charge.grow_to(decoder.held());
    charged.map_err(|error| FailureCause::Broken(error.to_string()))?;
    Ok(events)
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
