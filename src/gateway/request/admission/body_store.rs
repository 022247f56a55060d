//! Memory of the bodies of requests: those that arrive, and those whose requests run.
//!
//! The bytes of a body are copied into segments as they arrive, so that neither the HTTP library's frames nor
//! its read buffers stay. `policy::request::body_memory` says how much may be held and which body gives way; the
//! memory of that one is freed at once, and its reader is told.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use bytes::Bytes;
use tokio::{sync::Notify, time::Instant};

use crate::gateway::{
    call::call_body::CallBody,
    policy::request::body_memory::{
        ArrivingBody, BodyBounds, BodySize, SEGMENT_BYTES, first_to_give_way,
    },
};

/// There is no memory left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoBodyMemory;

/// Memory of all bodies at one daemon.
#[derive(Debug)]
pub struct BodyStore {
    bounds: BodyBounds,
    small: Cell<usize>,
    large: Cell<usize>,
    arriving: RefCell<BTreeMap<u64, Rc<BodySlot>>>,
    next_number: Cell<u64>,
    given_way: Cell<u64>,
}

/// A body that arrives.
#[derive(Debug)]
struct BodySlot {
    begun: Instant,
    segments: RefCell<Vec<Vec<u8>>>,
    held: Cell<usize>,
    has_given_way: Cell<bool>,
    gave_way: Notify,
}

impl BodyStore {
    /// An empty store with these bounds.
    pub fn new(bounds: BodyBounds) -> Self {
        Self {
            bounds,
            small: Cell::default(),
            large: Cell::default(),
            arriving: RefCell::default(),
            next_number: Cell::default(),
            given_way: Cell::default(),
        }
    }

    /// Begins a body that may have up to `largest` bytes.
    pub fn begin(self: &Rc<Self>, largest: usize, begun: Instant) -> BodyWriter {
        let slot = Rc::new(BodySlot {
            begun,
            segments: RefCell::default(),
            held: Cell::default(),
            has_given_way: Cell::default(),
            gave_way: Notify::new(),
        });
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.arriving.borrow_mut().insert(number, slot.clone());
        BodyWriter { store: self.clone(), number, slot, largest }
    }

    /// Bytes that all bodies of a size hold.
    pub fn held(&self, size: BodySize) -> usize {
        self.total(size).get()
    }

    /// Number of bodies that have given way to others.
    pub fn given_way(&self) -> u64 {
        self.given_way.get()
    }

    fn total(&self, size: BodySize) -> &Cell<usize> {
        match size {
            BodySize::Small => &self.small,
            BodySize::Large => &self.large,
        }
    }

    /// Accounts for a body that held `former` bytes and holds `held` from now on.
    fn recount(&self, former: usize, held: usize) {
        let total = self.total(BodySize::of(former));
        total.set(total.get() - former);
        let total = self.total(BodySize::of(held));
        total.set(total.get() + held);
    }

    /// The body of a size that gives way, if one of this size is about to hold `held` bytes.
    fn choose_to_give_way(&self, size: BodySize, grown: (u64, usize), now: Instant) -> Option<u64> {
        let arriving = self.arriving.borrow();
        let bodies = arriving.iter().map(|(&id, slot)| {
            let held = if id == grown.0 { grown.1 } else { slot.held.get() };
            ArrivingBody { id, held, begun: slot.begun }
        });
        first_to_give_way(bodies.filter(|body| BodySize::of(body.held) == size), now)
    }

    /// Frees the memory of a body, and tells its reader.
    fn give_way(&self, number: u64) {
        let Some(slot) = self.arriving.borrow_mut().remove(&number) else { return };
        slot.segments.take();
        self.recount(slot.held.take(), 0);
        self.given_way.set(self.given_way.get() + 1);
        slot.has_given_way.set(true);
        slot.gave_way.notify_one();
    }
}

/// Takes the bytes of one body; they are freed when it is dropped.
#[derive(Debug)]
pub struct BodyWriter {
    store: Rc<BodyStore>,
    number: u64,
    slot: Rc<BodySlot>,
    /// Largest body that is allowed, in bytes.
    largest: usize,
}

impl BodyWriter {
    /// Waits until the body has to give way to others.
    pub async fn gave_way(&self) {
        self.slot.gave_way.notified().await;
    }

    /// Appends a copy of `bytes`.
    pub fn append(&self, mut bytes: &[u8], now: Instant) -> Result<(), NoBodyMemory> {
        while !bytes.is_empty() {
            if self.spare() == 0 {
                self.enlarge(bytes.len(), now)?;
            }
            let length = bytes.len().min(self.spare());
            if let Some(last) = self.slot.segments.borrow_mut().last_mut() {
                last.extend_from_slice(&bytes[..length]);
            }
            bytes = &bytes[length..];
        }
        Ok(())
    }

    /// The body, which is complete.
    pub fn finish(self) -> Result<CallBody, NoBodyMemory> {
        if self.slot.has_given_way.get() {
            return Err(NoBodyMemory);
        }
        let segments = self.slot.segments.take().into_iter().map(Bytes::from).collect();
        let charge = BodyCharge { store: self.store.clone(), held: self.slot.held.take() };
        Ok(CallBody::new(segments, charge))
    }

    /// Bytes that the last segment still takes.
    fn spare(&self) -> usize {
        let segments = self.slot.segments.borrow();
        segments.last().map_or(0, |last| last.capacity() - last.len())
    }

    /// Allocates memory for at least one of `wanted` bytes: the first segment grows up to its full size, and
    /// further ones have that from the start.
    fn enlarge(&self, wanted: usize, now: Instant) -> Result<(), NoBodyMemory> {
        let first = match &self.slot.segments.borrow()[..] {
            [] => Some(0),
            [first] if first.capacity() < SEGMENT_BYTES => Some(first.capacity()),
            _ => None,
        };
        let extra = match first {
            Some(capacity) => wanted.max(capacity).min(SEGMENT_BYTES - capacity),
            None => SEGMENT_BYTES,
        };
        self.reserve(extra, now)?;
        let mut segments = self.slot.segments.borrow_mut();
        match (first, segments.first_mut()) {
            (Some(_), Some(segment)) => segment.reserve_exact(extra),
            _ => segments.push(Vec::with_capacity(extra)),
        }
        Ok(())
    }

    /// Accounts for `extra` bytes, for which other bodies may have to give way.
    fn reserve(&self, extra: usize, now: Instant) -> Result<(), NoBodyMemory> {
        let (store, former) = (&self.store, self.slot.held.get());
        let held = former + extra;
        let size = BodySize::of(held);
        let counted = if BodySize::of(former) == size { former } else { 0 };
        let limit = store.bounds.limit(size, self.largest);
        while store.held(size) - counted + held > limit {
            match store.choose_to_give_way(size, (self.number, held), now) {
                Some(number) if number != self.number => store.give_way(number),
                _ => {
                    store.give_way(self.number);
                    return Err(NoBodyMemory);
                }
            }
        }
        if self.slot.has_given_way.get() {
            return Err(NoBodyMemory);
        }
        store.recount(former, held);
        self.slot.held.set(held);
        Ok(())
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        self.store.arriving.borrow_mut().remove(&self.number);
        self.store.recount(self.slot.held.take(), 0);
    }
}

/// Memory of a complete body; accounted for until this is dropped.
#[derive(Debug)]
pub struct BodyCharge {
    store: Rc<BodyStore>,
    held: usize,
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.store.recount(self.held, 0);
    }
}
