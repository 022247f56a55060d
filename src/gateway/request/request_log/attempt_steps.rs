//! Steps of a request's log line that say how its attempts went.

use std::{
    fmt::{Display, Write},
    time::Duration,
};

use hyper::StatusCode;

use super::RequestTrace;
use crate::{
    boot_clock,
    gateway::request::{connection_pool::SendFailure, response_meaning::ResponseMetadata},
    http::response_framing::FramingError,
};

impl RequestTrace {
    /// Names the endpoint of a step if there have been several.
    fn source(&self, endpoint: &str) -> String {
        match self.attempts {
            0 | 1 => String::new(),
            _ => format!(" from {endpoint}"),
        }
    }

    /// Records that an attempt failed.
    pub fn failed(&mut self, failure: &SendFailure, endpoint: &str) {
        let after = boot_clock::since(self.begun).as_millis();
        let source = self.source(endpoint);
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " {failure}{source} after {after};");
        self.context.metrics.count("attempts_failed", 1);
    }

    /// Records the head of an endpoint's response.
    pub fn responded(&mut self, status: StatusCode, metadata: &ResponseMetadata, endpoint: &str) {
        let after = boot_clock::since(self.begun).as_millis();
        self.heard_at = boot_clock::now();
        let (status, meaning) = (status.as_u16(), metadata.meaning);
        let source = self.source(endpoint);
        // Writing to a string cannot fail.
        let _ =
            write!(self.steps, " {status} {meaning:?}{}{source} after {after};", metadata.signals);
    }

    /// Records that the head of an endpoint's response can't be read with certainty.
    pub fn malformed(&mut self, error: &FramingError, endpoint: &str) {
        let after = boot_clock::since(self.begun).as_millis();
        self.heard_at = boot_clock::now();
        let source = self.source(endpoint);
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " malformed head: {error}{source} after {after};");
        self.context.metrics.count("responses_malformed", 1);
        self.context.metrics.count("attempts_failed", 1);
    }

    /// Records that nothing was sent: the endpoint stopped accepting requests while its connection
    /// was being opened.
    pub fn not_sent(&mut self) {
        self.steps.push_str(" not sent, choosing again;");
        self.context.metrics.count("attempts_chosen_anew", 1);
    }

    /// Records that no body followed a response's head, and that another attempt follows.
    pub fn missing_body(&mut self) {
        let after = boot_clock::since(self.begun).as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " no body after {after};");
        self.context.metrics.count("attempts_failed", 1);
    }

    /// Records that an attempt has had no response for a while.
    pub fn attempt_silent(&mut self) {
        let after = boot_clock::since(self.begun).as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " silent after {after};");
        self.context.metrics.count("attempts_silent", 1);
    }

    /// Records that nothing has arrived of a stream for a while, after `events`.
    pub fn stream_silent(&mut self, silence: Duration, events: u64) {
        self.context.metrics.count("streams_silent", 1);
        let after = boot_clock::since(self.begun).as_millis();
        let silence = silence.as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " silent for {silence} ms after {events} events, at {after};");
    }

    /// Records that a further run of a stream has the next events, but is only held: it can't mark the end of
    /// the client's response, and the run at work can.
    pub fn run_held(&mut self, endpoint: &str) {
        self.context.metrics.count("runs_held", 1);
        let after = boot_clock::since(self.begun).as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " {endpoint} held at {after}: its end isn't marked;");
    }

    /// Records why a request is not sent to another endpoint.
    pub fn not_retried(&mut self, reason: &dyn Display) {
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " not retried: {reason};");
    }
}
