//! The request log: one structured line per request with its outcome and the steps that led to it.
//! Also updates the metrics of the same events.
//!
//! The number of lines per second is limited, separately for requests that were served, that were refused
//! or broke, and whose client left; dropped lines are counted and logged.

mod attempt_steps;
pub mod cut_cause;

use std::{fmt::Write, net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{client_listener::connection_use::ConnectionUse, response_meaning::BodyFraming};
use crate::{
    boot_clock,
    gateway::{
        call::PartId,
        context::GatewayContext,
        forwarding::open_path::EndpointPath,
        gossip::streams::origin_search::OriginSearch,
        policy::{
            endpoint::{endpoint_choice::EndpointChoice, service_room::ServiceRoom},
            request::{
                admission::MatchedHead,
                fingerprint::RequestFingerprint,
                refusal::Refusal,
                response_end::{EndpointSurvival, ResponseEnd},
                retry_budget::RetryWithdrawal,
                stream_origin::{OriginSource, StreamOrigin},
            },
        },
    },
    ids::SharedName,
    logs::LineRank,
};

/// Outcome of a request whose response was passed on completely.
const SERVED: &str = "answered";

/// Trace of one request. Writes the log line when the request ends, or when the trace is dropped.
pub struct RequestTrace {
    context: Rc<GatewayContext>,
    /// The connection on which the request arrived.
    connection: Rc<ConnectionUse>,
    id: Option<SharedName>,
    route: Option<SharedName>,
    account: Option<SharedName>,
    /// Description of all attempts, in order.
    steps: String,
    /// Number of attempts.
    attempts: u32,
    begun: Instant,
    first_after: Option<Duration>,
    /// Events passed on.
    events: u64,
    /// When something last arrived from an endpoint, or the request itself.
    heard_at: Instant,
    /// Set only for requests with a broken run.
    fingerprint: Option<RequestFingerprint>,
    /// Parts of the prompt that other requests may have too, separated by commas; set with `fingerprint`.
    shared_parts: String,
    ended: bool,
}

impl RequestTrace {
    /// Trace of a request that has just been read.
    pub fn new(
        context: &Rc<GatewayContext>,
        connection: &Rc<ConnectionUse>,
        id: Option<SharedName>,
    ) -> Self {
        Self {
            context: context.clone(),
            connection: connection.clone(),
            id,
            route: None,
            account: None,
            steps: String::new(),
            attempts: 0,
            begun: boot_clock::now(),
            first_after: None,
            events: 0,
            heard_at: boot_clock::now(),
            fingerprint: None,
            shared_parts: String::new(),
            ended: false,
        }
    }

    /// Records the route and the account of the request.
    pub fn matched(&mut self, matched: &MatchedHead) {
        self.route = Some(matched.route.name.clone());
        self.account = matched.account.as_ref().map(|account| account.name.clone());
    }

    /// Records that an endpoint was chosen.
    pub fn attempt(&mut self, choice: &EndpointChoice, prompt_tokens: u64) {
        let (endpoint, uncached) = (&choice.endpoint.id, choice.uncached_tokens);
        let (version, wait) = (&choice.endpoint.version, choice.estimated_wait_ms);
        // Writing to a string cannot fail.
        let _ = write!(
            self.steps,
            "{endpoint} {version} uncached {uncached} of {prompt_tokens} wait {wait:.0};"
        );
        if let Some(slot_use) = choice.slot_use {
            // Writing to a string cannot fail.
            let _ = write!(self.steps, " {slot_use};");
        }
        self.attempts += 1;
        self.context.metrics.count("attempts", 1);
    }

    /// Records that another daemon has lent a slot for the attempt.
    pub fn slot_borrowed(&mut self, lender: SocketAddr) {
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " slot lent by {lender};");
    }

    /// Records that no endpoint could be chosen.
    pub fn found_no_endpoint(&mut self, room: &ServiceRoom) {
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " {room};");
    }

    /// Records that the client takes a stream up, where that goes on, and what that is known from.
    pub fn taken_up(&mut self, stream: &str, search: &OriginSearch) {
        let origin = search.origin.as_ref();
        let source = origin.map_or("unknown".to_owned(), |origin| origin.source.to_string());
        self.context.metrics.count_labelled("streams_taken_up", "source", &source);
        // Writing to a string cannot fail.
        let _ = match origin {
            Some(StreamOrigin { start, age, .. }) => {
                let age_ms = age.as_millis();
                write!(
                    self.steps,
                    "takes up {stream} at {} by {source} of {age_ms} ms; ",
                    start.version
                )
            }
            None => write!(self.steps, "takes up {stream} of unknown version; "),
        };
        if origin.is_none_or(|origin| origin.source == OriginSource::OnlyVersion) {
            let OriginSearch { asked, answered, list_check, log_age, .. } = search;
            let log_ms = log_age.map_or(-1, |age| age.as_millis() as i64);
            // Writing to a string cannot fail.
            let _ = write!(
                self.steps,
                "{answered} of {asked} daemons answered, store's list {list_check}, log read {log_ms} ms ago; "
            );
        }
    }

    /// Records that a retry was taken from the budget of the service, or that none was left.
    pub fn retry_withdrawal(&mut self, service: &str, withdrawal: RetryWithdrawal) {
        let name = match withdrawal {
            RetryWithdrawal::Granted(_) => "retries",
            RetryWithdrawal::Denied(_) => "retries_denied",
        };
        self.context.metrics.count_labelled(name, "service", service);
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " {withdrawal};");
    }

    /// Records the way of the connection that an attempt uses.
    pub fn path(&mut self, path: EndpointPath) {
        if let EndpointPath::Forwarded(forwarder) = path {
            // Writing to a string cannot fail.
            let _ = write!(self.steps, " via {forwarder}");
            self.context.metrics.count("attempts_forwarded", 1);
        }
    }

    /// Records that a run broke. The fingerprint identifies repetitions of the same request, the parts
    /// of its prompt what it shares with others.
    pub fn run_broke(&mut self, request: RequestFingerprint, shared_parts: &[PartId]) {
        self.fingerprint = Some(request);
        let names: Vec<String> = shared_parts.iter().map(PartId::to_string).collect();
        self.shared_parts = names.join(",");
    }

    /// Records how the body of a response ended, the number of bytes after its last event, and what
    /// follows.
    pub fn body_ended(
        &mut self,
        framing: BodyFraming,
        rest: usize,
        survival: Option<EndpointSurvival>,
        end: ResponseEnd,
    ) {
        self.context.metrics.count_labelled("response_ends", "end", &end.to_string());
        if framing != BodyFraming::Close && rest == 0 {
            return;
        }
        // Writing to a string cannot fail.
        let _ = write!(self.steps, " ended by {framing}, {rest} bytes after the last event");
        if let Some(survival) = survival {
            let _ = write!(self.steps, ", {survival}");
        }
        let _ = write!(self.steps, ": {end};");
    }

    /// Records that events of a stream were passed on.
    pub fn passed_events(&mut self, count: u64) {
        self.events += count;
        self.heard_at = boot_clock::now();
        if self.first_after.is_none() {
            let after = boot_clock::since(self.begun);
            self.first_after = Some(after);
            self.context.metrics.duration("first_event", after);
        }
    }

    /// Ends the trace of a refused request.
    pub fn refused(&mut self, refusal: &Refusal) {
        let status = refusal.status().as_str().to_owned();
        self.context.metrics.count_labelled("refused", "status", &status);
        self.steps.push_str(&refusal.inputs());
        if let Some(wait) = refusal.retry_after() {
            // Writing to a string cannot fail.
            let _ = write!(self.steps, " retry after {} ms", wait.as_millis());
        }
        self.end(&refusal.to_string());
    }

    /// Ends the trace of a request whose response was passed on completely.
    pub fn finished(&mut self) {
        self.context.metrics.count("answered", 1);
        self.context.metrics.duration("answer", boot_clock::since(self.begun));
        self.end(SERVED);
    }

    /// Ends the trace of a request whose response was broken off.
    pub fn broken_off(&mut self, reason: &str) {
        self.context.metrics.count("broken_off", 1);
        self.end_as(LineRank::Loss, reason);
    }

    fn end(&mut self, outcome: &str) {
        let rank = if outcome == SERVED { LineRank::Usual } else { LineRank::Refusal };
        self.end_as(rank, outcome);
    }

    fn end_as(&mut self, rank: LineRank, outcome: &str) {
        self.ended = true;
        if self.context.request_lines.borrow_mut().allows_rank(rank, boot_clock::now()) {
            self.write_line(outcome);
        } else {
            self.context.metrics.count("request_lines_dropped", 1);
        }
    }

    fn write_line(&self, outcome: &str) {
        let dropped = self.context.request_lines.borrow_mut().take_dropped();
        if dropped > 0 {
            spdlog::warn!("request lines dropped", kv: { dropped });
        }
        let now = boot_clock::now();
        let configuration = self.context.configuration();
        let version = configuration.map_or(0, |current| current.version);
        let proof_age_ms = self.context.configuration.borrow().proof_age_ms(now);
        let lag_ms = self.context.configuration_lag_ms(now);
        let id = self.id.as_deref().unwrap_or("-");
        let route = self.route.as_deref().unwrap_or("-");
        let account = self.account.as_deref().unwrap_or("-");
        let total_ms = boot_clock::since(self.begun).as_millis() as u64;
        let fingerprint = self.fingerprint.map_or("-".to_owned(), |one| one.to_string());
        let silent_ms = boot_clock::since(self.heard_at).as_millis() as u64;
        let first_ms = self.first_after.map_or(-1, |after| after.as_millis() as i64);
        spdlog::info!("request", kv: {
            id, outcome, route, account, steps: = self.steps, events = self.events, first_ms,
            silent_ms, total_ms,
            version, proof_age_ms, lag_ms, fingerprint, shared_parts: = self.shared_parts
        });
    }
}
