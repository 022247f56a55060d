//! Which daemons are asked for a slot of a brittle endpoint by a daemon that has none free.
//!
//! Answers the load pattern in which some daemons get more requests than their shares of the slots
//! (`slot_ring`) suffice for while others have slots free: clients at few daemons, or fewer slots than
//! daemons. For each such request holders are asked one after the other, drawn at random by the slots that they
//! hold. If all of them deny it, the service is probably out of room, and for a moment only one is asked for a
//! request: in overload the questions then cost little, and free slots are still found by the many requests.
//!
//! Inputs are the ring and the answers to this daemon. A holder that doesn't answer is left out for a while.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::slot_ring::SlotRing;
use crate::ids::SharedName;

/// Most holders that are asked for one request.
const MAX_ASKED: usize = 4;
/// The same for `SCARCE_TIME` after a request that all holders denied.
const MAX_ASKED_IF_SCARCE: usize = 1;
/// Time for which slots count as scarce.
const SCARCE_TIME: Duration = Duration::from_millis(50);
/// Time for which a holder that hasn't answered isn't asked.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(500);
/// Most draws for one holder: most slots may be held by few daemons, which have been asked.
const MAX_DRAWS: usize = 16;

/// An endpoint at which a slot is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedEndpoint {
    /// Number of the endpoint.
    pub number: u64,
    /// Requests that it processes concurrently.
    pub slots: u32,
}

/// Decides which daemons to ask for slots.
#[derive(Debug, Default)]
pub struct SlotBorrower {
    /// When several holders are asked again, by service.
    scarce_until: HashMap<SharedName, Instant>,
    /// When a holder that hasn't answered is asked again.
    paused_until: HashMap<SocketAddr, Instant>,
}

impl SlotBorrower {
    /// Number of holders that may be asked for a request for this service.
    pub fn max_asked(&self, service: &str, now: Instant) -> usize {
        let is_scarce = self.scarce_until.get(service).is_some_and(|until| now < *until);
        if is_scarce { MAX_ASKED_IF_SCARCE } else { MAX_ASKED }
    }

    /// The next holder to ask for a slot at one of `endpoints`, other than this daemon at `own` and those
    /// that were asked for the request before.
    pub fn next_holder(
        &self,
        ring: &SlotRing,
        endpoints: &[WantedEndpoint],
        own: SocketAddr,
        asked: &[SocketAddr],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let slots: u64 = endpoints.iter().map(|endpoint| u64::from(endpoint.slots)).sum();
        if slots == 0 {
            return None;
        }
        let may_be_asked = |holder: &SocketAddr| {
            let paused_until = self.paused_until.get(holder);
            *holder != own
                && !asked.contains(holder)
                && paused_until.is_none_or(|until| now >= *until)
        };
        let draws = (0..MAX_DRAWS).filter_map(|_| {
            let (endpoint, slot) = slot_at(endpoints, rng.random_range(0..slots))?;
            ring.holder(endpoint.number, endpoint.slots, slot)
        });
        draws.into_iter().find(may_be_asked)
    }

    /// Records that no holder that was asked for a request had a slot.
    pub fn record_denial(&mut self, service: &SharedName, now: Instant) {
        self.scarce_until.insert(service.clone(), now + SCARCE_TIME);
    }

    /// Records that a holder has not answered.
    pub fn record_silence(&mut self, holder: SocketAddr, now: Instant) {
        self.paused_until.retain(|_, until| now < *until);
        self.paused_until.insert(holder, now + UNRESPONSIVE_PAUSE);
    }
}

/// The endpoint of the slot with this index among the slots of all, and the slot's index there.
fn slot_at(endpoints: &[WantedEndpoint], index: u64) -> Option<(WantedEndpoint, u32)> {
    let mut index = index;
    for endpoint in endpoints {
        let slots = u64::from(endpoint.slots);
        if index < slots {
            return Some((*endpoint, index as u32));
        }
        index -= slots;
    }
    None
}
