//! Decides how much memory the bodies of requests may hold, and which body gives way when there is none left.
//!
//! What counts is the memory that is allocated for a body, from its first byte until its last run has ended, not
//! the length that its client has announced. Small bodies and large ones have bounds of their own, so that
//! large ones never keep ordinary requests out.
//!
//! A body that has not arrived completely can give way, since its request has not run: the one that has held the
//! most memory for the longest time. That is never an ordinary request beside clients that stop in the middle
//! of theirs or send them slowly. Where all memory is held by requests that run, the newcomer is refused.
//!
//! Inputs: what each body holds and when it began, at this daemon and at this moment; the VM's memory, from the
//! settings.

use std::time::Duration;

use tokio::time::Instant;

/// Largest memory of a small body, in bytes.
pub const SMALL_BODY_BYTES: usize = 128 * 1024;
/// Largest piece of memory that is allocated for a body at once, in bytes.
pub const SEGMENT_BYTES: usize = 64 * 1024;
/// Part of the VM's memory that the bodies of each size may hold.
const SHARE_PER_SIZE: u64 = 8;

/// Sizes of bodies, each of which has a bound of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySize {
    /// Up to `SMALL_BODY_BYTES`.
    Small,
    /// All others.
    Large,
}

impl BodySize {
    /// Size of a body that holds so many bytes.
    pub fn of(held: usize) -> Self {
        if held <= SMALL_BODY_BYTES { Self::Small } else { Self::Large }
    }
}

/// How much memory all bodies of a size may hold together.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    per_size: usize,
}

impl BodyBounds {
    /// Bounds on a VM with so many bytes of memory.
    pub fn of_vm(memory_bytes: u64) -> Self {
        Self { per_size: usize::try_from(memory_bytes / SHARE_PER_SIZE).unwrap_or(usize::MAX) }
    }

    /// Bytes that all bodies of a size may hold together, if a single one may have `largest_body` bytes: that
    /// one is served on every VM.
    pub fn limit(self, size: BodySize, largest_body: usize) -> usize {
        match size {
            BodySize::Small => self.per_size,
            BodySize::Large => self.per_size.max(largest_body.saturating_add(SEGMENT_BYTES)),
        }
    }
}

/// A body that has not arrived completely.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingBody<I> {
    /// What identifies it.
    pub id: I,
    /// Memory that it holds, in bytes.
    pub held: usize,
    /// When its request arrived.
    pub begun: Instant,
}

/// The body that gives way: the one with the largest product of memory and time.
pub fn first_to_give_way<I>(
    bodies: impl Iterator<Item = ArrivingBody<I>>,
    now: Instant,
) -> Option<I> {
    let cost = |body: &ArrivingBody<I>| {
        let age = now.saturating_duration_since(body.begun).max(Duration::from_nanos(1));
        age.as_nanos().saturating_mul(body.held as u128)
    };
    bodies.max_by_key(cost).map(|body| body.id)
}
