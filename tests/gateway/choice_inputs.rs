//! Inputs of the choice of an endpoint that several files of rules share: endpoints of one service, times,
//! and what an attempt needs.

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

/// Requests that an endpoint runs at once.
pub const SLOTS: u32 = 8;

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Times are in the past of this, so that none is from before the start of the clock.
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
        slots: SLOTS,
        state: EndpointState::Ready,
        reclaimable: false,
    }
}

pub fn list(records: &[EndpointRecord]) -> EndpointList {
    let endpoints = records.iter().cloned().map(Rc::new).collect();
    EndpointList { position: StorePosition::new(StoreEra(0), 1), endpoints }
}

/// What an attempt needs that may be followed by another one, if the endpoint refuses or fails, or not.
pub fn query(parts: &[PromptPart], may_retry: bool) -> ChoiceQuery<'_> {
    ChoiceQuery {
        service: "pool",
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
