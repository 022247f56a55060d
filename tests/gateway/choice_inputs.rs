//! Inputs of the endpoint choice that several test files share: endpoints of one service, times,
//! and the requirements of an attempt.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;
use willowarch::{
    gateway::{
        call::PromptPart,
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        policy::endpoint::endpoint_choice::ChoiceQuery,
    },
    store_position::{StoreEra, StorePosition},
};

/// Number of requests that an endpoint runs at once.
pub const SLOTS: u32 = 8;

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Base time of a test. It is 100 s ahead, so that earlier times can be derived from it without
/// reaching a time before the start of the clock.
pub fn start() -> Instant {
    Instant::now() + seconds(100.0)
}

pub fn record(id: &str, born: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        born,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "a".into(),
        version: "v1".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        reclaimable: false,
    }
}

pub fn list(records: &[EndpointRecord]) -> EndpointList {
    let endpoints = records.iter().cloned().map(Rc::new).collect();
    EndpointList { position: StorePosition::new(StoreEra(0), 1), endpoints }
}

/// Query of an attempt. `may_retry`: another endpoint may be tried if this one refuses or fails it.
pub fn query(parts: &[PromptPart], may_retry: bool) -> ChoiceQuery<'_> {
    ChoiceQuery {
        service: "pool",
        version: None,
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        memory_tokens: 0,
        tried: &[],
        memory_capacity: None,
        load_age: Duration::ZERO,
        may_retry,
        may_retry_after_failure: may_retry,
    }
}
