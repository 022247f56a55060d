//! Chooses the endpoint for an attempt: the one where it costs least, in milliseconds of waiting.
//!
//! The wait is estimated from the prompt tokens that wait at the endpoint, the tokens of this
//! prompt that it has probably not cached, how full it is and its zone. To it come the waits that
//! reading this prompt causes for others at the endpoint.
//!
//! An endpoint that wants no requests for a while, or of whose limit nothing is left for this daemon,
//! is none to choose from. One that has just refused some, or fails more often than others, is left
//! to requests that may go elsewhere if it does so again. Loads are those of this daemon and of the
//! others' reports, which are up to two seconds old; what they show of prompts to be read is counted
//! down meanwhile. Missing reports make an endpoint look idle, which its own refusals then correct.
//!
//! Requests that share parts of their prompts have an affinity endpoint, the same at every
//! daemon by rendezvous hashing. It is expected to have the shared parts cached, so requests
//! gather there unless its wait has grown beyond what the cache saves.
//!
//! The native path has a rule of its own (`native::decide::routing`): its endpoints report
//! their load and cache, which those of the platform do only at a price.

use std::{rc::Rc, time::Duration};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::{
    endpoint_load::EndpointLoad,
    endpoint_status::EndpointStatus,
    prompt_cache::{PartEnd, part_chain},
};
use crate::{
    gateway::{call::PromptPart, endpoint::EndpointRecord},
    ids::{SharedName, hash_parts},
};

/// Wait added at an endpoint whose slots are all in use, in milliseconds; in proportion below.
/// Full batches matter less than cached prompts.
const FULL_BATCH_MS: f64 = 40.0;
/// Wait for each request beyond an endpoint's slots, in milliseconds.
const BEYOND_SLOTS_MS: f64 = 60.0;
/// Wait added for an endpoint in another zone, in milliseconds: decides among endpoints that are
/// otherwise alike.
const OTHER_ZONE_MS: f64 = 4.0;
/// Cost of an endpoint that may refuse or fail, for a request that then could not go elsewhere, in
/// milliseconds: above any wait that a client would accept, so that it is chosen only where no
/// other has room. Whether the endpoint works again shows by requests that can be retried.
const PROBE_RISK_MS: f64 = 100_000.0;
/// Fraction of a prompt's shared parts that the affinity endpoint is expected to have cached.
const AFFINITY_HIT_RATIO: f64 = 1.0;
/// Cost of reading a prompt for others at the endpoint, as a multiple of the time it takes: all
/// that runs and waits there is delayed.
const DELAY_TO_OTHERS: f64 = 1.5;
/// Loads of other daemons up to this age count as fresh: those of a fleet of one gossip group.
const FRESH_LOAD_AGE: Duration = Duration::from_millis(500);
/// Upper bound of a random wait added to each estimate, in milliseconds: keeps daemons that see equal
/// loads from all choosing alike.
const NOISE_MS: f64 = 3.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// What one attempt needs.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of memory that the run may take.
    pub memory_tokens: u64,
    /// Endpoints that were tried already.
    pub tried: &'a [SharedName],
    /// Memory of one endpoint in tokens; none for services without an engine.
    pub memory_capacity: Option<u64>,
    /// How old the loads that other daemons report may be.
    pub load_age: Duration,
    /// Whether another endpoint may be tried if this one refuses.
    pub may_retry: bool,
    /// Whether another endpoint may be tried if this one fails.
    pub may_retry_after_failure: bool,
}

impl ChoiceQuery<'_> {
    /// Cost of reading a prompt for others, as a multiple of the time it takes. It makes
    /// requests gather at endpoints, and so is given less weight the later a queue would be seen.
    fn delay_to_others(&self) -> f64 {
        let load_age = self.load_age.max(FRESH_LOAD_AGE);
        DELAY_TO_OTHERS * FRESH_LOAD_AGE.div_duration_f64(load_age)
    }
}

/// Where the choice is made.
pub struct ChoiceSite<'a, L> {
    /// Zone of this daemon.
    pub zone: &'a str,
    /// Tokens that an endpoint of the service reads in a millisecond.
    pub prefill_rate: f64,
    /// Load of all daemons at an endpoint, as far as known.
    pub load_of: L,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChoice {
    /// Endpoint.
    pub endpoint: Rc<EndpointRecord>,
    /// Prompt tokens that it is expected to have to read.
    pub uncached_tokens: u64,
    /// Expected wait for the first token, in milliseconds.
    pub estimated_wait_ms: f64,
}

impl EndpointChoice {
    /// Expected wait for the first token; the longest that there is where a client names more
    /// prompt tokens than could ever be read.
    pub fn estimated_wait(&self) -> Duration {
        Duration::try_from_secs_f64(self.estimated_wait_ms / MS_PER_S).unwrap_or(Duration::MAX)
    }
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceResult {
    /// This one.
    Endpoint(EndpointChoice),
    /// All that could be tried are full.
    Full,
    /// There is none that takes requests and was not tried.
    None,
}

/// Chooses among the endpoints that take requests and were not tried.
pub fn choose<L: Fn(&EndpointStatus) -> EndpointLoad>(
    candidates: &[&EndpointStatus],
    site: &ChoiceSite<'_, L>,
    query: &ChoiceQuery<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> ChoiceResult {
    let (backing_off, awake): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|status| status.pause.backs_off_until(now).is_some());
    let affinity = affinity_endpoint(&sound(&awake, now), query.parts);
    let avoids_failures = avoids_failures(&awake, query, now);
    let chain = part_chain(query.parts);
    let (mut best, mut last_resort): (Option<CostedChoice>, Option<CostedChoice>) = (None, None);
    let mut any_full = !backing_off.is_empty();
    for status in awake {
        let load = (site.load_of)(status);
        if status.is_full(&load, query.memory_tokens, query.memory_capacity, now) {
            any_full = true;
            continue;
        }
        let is_affinity = affinity.as_ref() == Some(&status.record.id);
        let uncached_tokens = uncached_tokens(status, query, &chain, is_affinity);
        let estimated_wait_ms = site.estimated_wait_ms(status, &load, uncached_tokens);
        let delay_ms = site.prefill_ms(uncached_tokens) * query.delay_to_others();
        let noise_ms = rng.random_range(0.0..NOISE_MS);
        let cost_ms =
            estimated_wait_ms + delay_ms + risk_ms(status, query, avoids_failures, now) + noise_ms;
        let least = if status.pause.is_last_resort(now) { &mut last_resort } else { &mut best };
        if least.as_ref().is_none_or(|least| cost_ms < least.cost_ms) {
            let endpoint = status.record.clone();
            let choice = EndpointChoice { endpoint, uncached_tokens, estimated_wait_ms };
            *least = Some(CostedChoice { choice, cost_ms });
        }
    }
    match best.or(last_resort) {
        Some(best) => ChoiceResult::Endpoint(best.choice),
        None if any_full => ChoiceResult::Full,
        None => ChoiceResult::None,
    }
}

/// Whether a request that would be lost by a failure passes endpoints over that fail more often than
/// others; not if these are most of them.
fn avoids_failures(candidates: &[&EndpointStatus], query: &ChoiceQuery<'_>, now: Instant) -> bool {
    let outliers = candidates.iter().filter(|status| status.failures.is_outlier(now)).count();
    !query.may_retry_after_failure && outliers * 2 <= candidates.len()
}

/// Cost of an endpoint that may refuse the request or fail, in milliseconds.
fn risk_ms(
    status: &EndpointStatus,
    query: &ChoiceQuery<'_>,
    avoids_failures: bool,
    now: Instant,
) -> f64 {
    let may_refuse = status.pause.is_risky(now) && !query.may_retry;
    let may_fail = avoids_failures && status.failures.is_outlier(now);
    if may_refuse || may_fail { PROBE_RISK_MS } else { 0.0 }
}

/// A choice with its cost.
struct CostedChoice {
    choice: EndpointChoice,
    cost_ms: f64,
}

impl<L> ChoiceSite<'_, L> {
    /// Time in which an endpoint reads these tokens, in milliseconds.
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
        let prefill = self.prefill_ms(load.uncached_tokens + uncached);
        let batch = running / slots * FULL_BATCH_MS;
        let queue = (running + 1.0 - slots).max(0.0) * BEYOND_SLOTS_MS;
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

/// The parts that other requests may share: all but the last, which is the request's own.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// The endpoint at which requests with these shared parts gather.
fn affinity_endpoint(candidates: &[&EndpointStatus], parts: &[PromptPart]) -> Option<SharedName> {
    let last = shared_parts(parts).last()?;
    let weight = |status: &&&EndpointStatus| {
        hash_parts(&[&last.id.to_le_bytes(), status.record.id.as_bytes()])
    };
    candidates.iter().max_by_key(weight).map(|status| status.record.id.clone())
}

/// Candidates that have named no limit and don't fail more often than others; all, if there are none of
/// these. Requests gather at endpoints that can take them all: what finds a limit reached, or fails,
/// would be read anew wherever it goes.
fn sound<'a>(candidates: &[&'a EndpointStatus], now: Instant) -> Vec<&'a EndpointStatus> {
    let is_sound =
        |status: &&&EndpointStatus| status.limit.is_none() && !status.failures.is_outlier(now);
    let sound: Vec<&EndpointStatus> = candidates.iter().filter(is_sound).copied().collect();
    if sound.is_empty() { candidates.to_vec() } else { sound }
}
