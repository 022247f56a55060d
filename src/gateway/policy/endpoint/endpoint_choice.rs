//! Chooses the endpoint with the lowest cost for an attempt, in milliseconds of waiting.
//!
//! The wait is estimated from the prompt tokens queued at the endpoint, the tokens of this prompt
//! that it has probably not cached, its use of slots and its zone. The cost adds the delay that
//! prefilling this prompt causes to other requests at the endpoint.
//!
//! An endpoint that asked for a back-off, or whose limit leaves no request for this daemon now, is
//! not a candidate. One whose limit leaves a request is preferred, since few daemons may use it.
//! One that refused requests recently, or fails more often than others, is avoided by requests that
//! could not be retried elsewhere, unless this daemon is to find out whether it works again. Loads are this daemon's own and those that others reported up to
//! two seconds ago; reported uncached tokens are reduced by what the endpoint should have read
//! since. If reports are missing, an endpoint looks idle until it refuses requests.
//!
//! Requests that share parts of their prompts have an affinity endpoint, which all daemons derive
//! by rendezvous hashing. It is expected to have cached the shared parts, so these requests go
//! there unless its wait exceeds what the cache saves.
//!
//! The native path has its own rule (`native::decide::routing`): its endpoints report their load
//! and cache, which those of the platform do only at a price.

use std::{rc::Rc, time::Duration};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::{
    endpoint_load::EndpointLoad,
    endpoint_status::{EndpointStatus, SlotUse},
    prompt_cache::{PartEnd, part_chain},
};
use crate::{
    gateway::{call::PromptPart, endpoint::EndpointRecord},
    ids::{SharedName, hash_parts},
};

/// Wait added at an endpoint whose slots are all in use, in milliseconds, and in proportion if
/// fewer are. Full batches matter less than cached prompts.
const FULL_BATCH_MS: f64 = 40.0;
/// Wait for each request that exceeds an endpoint's slots, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 60.0;
/// Wait added for an endpoint in another zone, in milliseconds: decides between endpoints that are
/// otherwise equal.
const OTHER_ZONE_MS: f64 = 4.0;
/// Advantage of an endpoint at whose limit this daemon has a token, in milliseconds: few daemons
/// may send requests there, and tokens beyond the first are lost. Above what zones, noise and a few
/// running requests cost, below what cached prompts save.
const TOKEN_ADVANTAGE_MS: f64 = 15.0;
/// Cost of an endpoint that may refuse or fail, for a request that could not be retried elsewhere,
/// in milliseconds: above any wait that a client would accept, so that the endpoint is chosen only
/// if no other has room. Requests that can be retried show whether the endpoint works again.
const PROBE_RISK_MS: f64 = 100_000.0;
/// Fraction of a prompt's shared parts that the affinity endpoint is expected to have cached.
const AFFINITY_HIT_RATIO: f64 = 1.0;
/// Delay that prefilling a prompt causes to other requests at the endpoint, as a multiple of the
/// prefill time: all running and queued requests there are delayed.
const DELAY_TO_OTHERS: f64 = 1.5;
/// Loads of other daemons up to this age count as fresh, as they are in a fleet of one gossip
/// group.
const FRESH_LOAD_AGE: Duration = Duration::from_millis(500);
/// Upper bound of a random wait added to each cost, in milliseconds: keeps daemons that see the
/// same loads from all choosing the same endpoint.
const NOISE_MS: f64 = 3.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Requirements of one attempt.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// The version at which a stream goes on; none if any may run the request.
    pub version: Option<&'a str>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Memory that the run may need, in tokens.
    pub memory_tokens: u64,
    /// Endpoints that were tried already.
    pub tried: &'a [SharedName],
    /// Memory of one endpoint in tokens; none for services without an engine.
    pub memory_capacity: Option<u64>,
    /// Greatest age of the loads that other daemons report.
    pub load_age: Duration,
    /// Whether another endpoint may be tried if this one refuses the request.
    pub may_retry: bool,
    /// Whether another endpoint may be tried if this one fails the request.
    pub may_retry_after_failure: bool,
}

impl<'a> ChoiceQuery<'a> {
    /// Query of a request of which nothing else is known.
    pub fn of_any_request(service: &'a str) -> Self {
        Self {
            service,
            version: None,
            parts: &[],
            prompt_tokens: 0,
            memory_tokens: 0,
            tried: &[],
            memory_capacity: None,
            load_age: Duration::ZERO,
            may_retry: false,
            may_retry_after_failure: false,
        }
    }

    /// Delay caused to other requests, as a multiple of the prefill time. This cost concentrates
    /// requests on a few endpoints, so it weighs less if loads are old and queues are noticed late.
    fn delay_to_others(&self) -> f64 {
        let load_age = self.load_age.max(FRESH_LOAD_AGE);
        DELAY_TO_OTHERS * FRESH_LOAD_AGE.div_duration_f64(load_age)
    }
}

/// Daemon and service for which the choice is made.
pub struct ChoiceContext<'a, L> {
    /// Zone of this daemon.
    pub zone: &'a str,
    /// Prefill rate of the service's endpoints, in tokens per millisecond.
    pub prefill_rate: f64,
    /// Returns the known load of all daemons at an endpoint.
    pub load_of: L,
}

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChoice {
    /// Endpoint.
    pub endpoint: Rc<EndpointRecord>,
    /// Prompt tokens that it is expected not to have cached.
    pub uncached_tokens: u64,
    /// Expected wait for the first token, in milliseconds.
    pub estimated_wait_ms: f64,
    /// This daemon's use of its share of the slots; none if the endpoint's slots aren't divided.
    pub slot_use: Option<SlotUse>,
}

impl EndpointChoice {
    fn of(status: &EndpointStatus, uncached_tokens: u64, estimated_wait_ms: f64) -> Self {
        let (endpoint, slot_use) = (status.record.clone(), status.slot_use());
        Self { endpoint, uncached_tokens, estimated_wait_ms, slot_use }
    }

    /// Expected wait for the first token; `Duration::MAX` if the client gave a number of prompt
    /// tokens that overflows it.
    pub fn estimated_wait(&self) -> Duration {
        Duration::try_from_secs_f64(self.estimated_wait_ms / MS_PER_S).unwrap_or(Duration::MAX)
    }
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceResult {
    /// The endpoint with the lowest cost.
    Endpoint(EndpointChoice),
    /// All untried endpoints are full.
    Full,
    /// All endpoints that take requests were tried, or there are none.
    None,
}

/// Chooses among `candidates`, the untried endpoints that take requests.
pub fn choose<L: Fn(&EndpointStatus) -> EndpointLoad>(
    candidates: &[&EndpointStatus],
    context: &ChoiceContext<'_, L>,
    query: &ChoiceQuery<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> ChoiceResult {
    let (backing_off, available): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|status| status.pause.backs_off_until(now).is_some());
    let affinity = affinity_endpoint(&unrestricted(&available, now), query.parts);
    let avoids_failures = avoids_failures(&available, query, now);
    let chain = part_chain(query.parts);
    let (mut best, mut last_resort): (Option<CostedChoice>, Option<CostedChoice>) = (None, None);
    let mut any_full = !backing_off.is_empty();
    for status in available {
        let load = (context.load_of)(status);
        if status.is_full(&load, query.memory_tokens, query.memory_capacity, now) {
            any_full = true;
            continue;
        }
        let is_affinity = affinity.as_ref() == Some(&status.record.id);
        let uncached_tokens = uncached_tokens(status, query, &chain, is_affinity);
        let estimated_wait_ms = context.estimated_wait_ms(status, &load, uncached_tokens);
        let delay_ms = context.prefill_ms(uncached_tokens) * query.delay_to_others();
        let noise_ms = rng.random_range(0.0..NOISE_MS);
        let restriction_ms = restriction_ms(status, query, avoids_failures, now);
        let cost_ms = estimated_wait_ms + delay_ms + restriction_ms + noise_ms;
        let cheapest = if status.pause.is_last_resort(now) { &mut last_resort } else { &mut best };
        if cheapest.as_ref().is_none_or(|cheapest| cost_ms < cheapest.cost_ms) {
            let choice = EndpointChoice::of(status, uncached_tokens, estimated_wait_ms);
            *cheapest = Some(CostedChoice { choice, cost_ms });
        }
    }
    match best.or(last_resort) {
        Some(best) => ChoiceResult::Endpoint(best.choice),
        None if any_full => ChoiceResult::Full,
        None => ChoiceResult::None,
    }
}

/// Whether the request avoids endpoints that fail more often than others: if it could not be
/// retried after a failure, unless most of the candidates fail more often.
fn avoids_failures(candidates: &[&EndpointStatus], query: &ChoiceQuery<'_>, now: Instant) -> bool {
    let outliers = candidates.iter().filter(|status| status.failures.is_outlier(now)).count();
    !query.may_retry_after_failure && outliers * 2 <= candidates.len()
}

/// Cost of what restricts an endpoint, in milliseconds: the risk that it refuses the request or
/// fails, less the advantage of a limit that leaves a request.
fn restriction_ms(
    status: &EndpointStatus,
    query: &ChoiceQuery<'_>,
    avoids_failures: bool,
    now: Instant,
) -> f64 {
    let may_refuse = status.pause.is_risky(now) && !query.may_retry;
    let may_fail = avoids_failures && status.failures.is_outlier(now);
    let risk_ms = match status.pause.is_trial_due() {
        true => -PROBE_RISK_MS,
        false if may_refuse || may_fail => PROBE_RISK_MS,
        false => 0.0,
    };
    let advantage_ms = if status.limit.is_some() { TOKEN_ADVANTAGE_MS } else { 0.0 };
    risk_ms - advantage_ms
}

/// A chosen endpoint with its cost.
struct CostedChoice {
    choice: EndpointChoice,
    cost_ms: f64,
}

impl<L> ChoiceContext<'_, L> {
    /// Time in which an endpoint prefills these tokens, in milliseconds.
    fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    fn estimated_wait_ms(
        &self,
        status: &EndpointStatus,
        load: &EndpointLoad,
        uncached: u64,
    ) -> f64 {
        let slots = f64::from(status.record.slots);
        let running = f64::from(load.running);
        let prefill = self.prefill_ms(load.uncached_tokens.saturating_add(uncached));
        let batch = running / slots * FULL_BATCH_MS;
        let queue = (running + 1.0 - slots).max(0.0) * QUEUED_REQUEST_MS;
        let zone = if &*status.record.zone == self.zone { 0.0 } else { OTHER_ZONE_MS };
        prefill + batch + queue + zone
    }
}

/// Tokens of the prompt that the endpoint has probably not cached.
fn uncached_tokens(
    status: &EndpointStatus,
    query: &ChoiceQuery<'_>,
    chain: &[PartEnd],
    is_affinity: bool,
) -> u64 {
    let remembered = status.cache.remembered(chain);
    let shared: u64 = shared_parts(query.parts).iter().map(|part| part.tokens).sum();
    let expected = if is_affinity { (shared as f64 * AFFINITY_HIT_RATIO) as u64 } else { 0 };
    query.prompt_tokens.saturating_sub(remembered.max(expected))
}

/// The parts that other requests may share: all but the last, which is specific to the request.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// The affinity endpoint of requests with these shared parts.
fn affinity_endpoint(candidates: &[&EndpointStatus], parts: &[PromptPart]) -> Option<SharedName> {
    let last = shared_parts(parts).last()?;
    let weight = |status: &&&EndpointStatus| {
        hash_parts(&[&last.id.to_le_bytes(), status.record.id.as_bytes()])
    };
    candidates.iter().max_by_key(weight).map(|status| status.record.id.clone())
}

/// Candidates without a limit that don't fail more often than others, or all candidates if there
/// are none. An affinity endpoint should be able to take all requests with its shared parts: a
/// request that it can't take, or fails, has to be prefilled again at another endpoint.
fn unrestricted<'a>(candidates: &[&'a EndpointStatus], now: Instant) -> Vec<&'a EndpointStatus> {
    let is_unrestricted =
        |status: &&&EndpointStatus| status.limit.is_none() && !status.failures.is_outlier(now);
    let unrestricted: Vec<&EndpointStatus> =
        candidates.iter().filter(is_unrestricted).copied().collect();
    if unrestricted.is_empty() { candidates.to_vec() } else { unrestricted }
}
