//! Bounds the memory in which this process holds what endpoints have sent and what can't be passed on yet, such as an
//! event that isn't complete.
//!
//! A single response is bounded by its length; many at once are bounded here. A response may hold a part of what is
//! free, so that the first ones may be long, and none takes the rest. A small part of each response isn't counted:
//! it is bounded by the number of connections, and ordinary events pass whatever others hold.
//!
//! Inputs: what all responses of this process hold at this moment, and the VM's memory, from the settings.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Part of the VM's memory that all responses may hold.
const VM_SHARE: u64 = 8;
/// Part of the free memory that one response may hold.
const FREE_SHARE: usize = 4;
/// Memory of a response that isn't counted, in bytes.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// There is no memory left for more of a response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no memory for {wanted} bytes of a response")]
pub struct NoResponseMemory {
    /// Bytes that the response would hold.
    wanted: usize,
}

/// Whether a response may hold `wanted` bytes of the `limit` for all, of which others hold `others`.
fn may_hold(wanted: usize, others: usize, limit: usize) -> bool {
    wanted <= limit.saturating_sub(others) / FREE_SHARE
}

/// Memory of all responses; clones share it.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    limit: usize,
    /// Atomic since bytes on their way to a client may be freed by any thread.
    held: Arc<AtomicUsize>,
}

impl ResponseMemory {
    /// Memory on a VM with so many bytes.
    pub fn of_vm(memory_bytes: u64) -> Self {
        let limit = usize::try_from(memory_bytes / VM_SHARE).unwrap_or(usize::MAX);
        Self { limit, held: Arc::default() }
    }

    /// Bytes that responses hold.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Begins to account for a response, which holds nothing.
    pub fn begin(&self) -> MemoryCharge {
        MemoryCharge { memory: self.clone(), counted: 0 }
    }
}

/// Memory of one response; accounted for until this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    memory: ResponseMemory,
    counted: usize,
}

impl MemoryCharge {
    /// Accounts for `held` bytes in all.
    ///
    /// # Errors
    ///
    /// There is no memory for that; the former amount is still accounted for.
    pub fn grow_to(&mut self, held: usize) -> Result<(), NoResponseMemory> {
        let others = self.memory.held() - self.counted;
        if held > UNCOUNTED_BYTES && !may_hold(held, others, self.memory.limit) {
            return Err(NoResponseMemory { wanted: held });
        }
        self.set(held);
        Ok(())
    }

    fn set(&mut self, held: usize) {
        let counted = if held > UNCOUNTED_BYTES { held } else { 0 };
        self.memory.held.fetch_add(counted, Ordering::Relaxed);
        self.memory.held.fetch_sub(self.counted, Ordering::Relaxed);
        self.counted = counted;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes of a response that are held until they can be used.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: BytesMut,
    charge: MemoryCharge,
}

impl HeldBytes {
    /// Holds nothing yet.
    pub fn new(memory: &ResponseMemory) -> Self {
        Self { bytes: BytesMut::new(), charge: memory.begin() }
    }

    /// The memory of all responses.
    pub fn memory(&self) -> &ResponseMemory {
        &self.charge.memory
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a copy of `piece`.
    ///
    /// # Errors
    ///
    /// There is no memory for it; nothing is appended.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), NoResponseMemory> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            self.enlarge(needed)?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Moves the bytes to a larger block, which has spare room if that is allowed.
    fn enlarge(&mut self, needed: usize) -> Result<(), NoResponseMemory> {
        let mut capacity = needed + self.bytes.len() / 2;
        if self.charge.grow_to(capacity).is_err() {
            capacity = needed;
            self.charge.grow_to(capacity)?;
        }
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        Ok(())
    }

    /// Removes the first `length` bytes and returns them. They are accounted for until `settle` is called.
    pub fn split_to(&mut self, length: usize) -> BytesMut {
        self.bytes.split_to(length)
    }

    /// Moves the bytes that are left to a block of their own, after others were removed.
    pub fn settle(&mut self) {
        self.bytes = match self.bytes.is_empty() {
            true => BytesMut::new(),
            false => BytesMut::from(&self.bytes[..]),
        };
        self.charge.set(self.bytes.capacity());
    }

    /// Removes all bytes and returns them. They are accounted for until they are dropped.
    pub fn take(&mut self) -> Bytes {
        let bytes = std::mem::take(&mut self.bytes).freeze();
        self.charge.set(0);
        charge_sent(bytes, &self.charge.memory)
    }
}

/// Bytes of a response on their way to the client, accounted for until they are dropped. They were accounted for
/// before, so there is memory for them.
pub fn charge_sent(bytes: Bytes, memory: &ResponseMemory) -> Bytes {
    if bytes.len() <= UNCOUNTED_BYTES {
        return bytes;
    }
    let mut charge = memory.begin();
    charge.set(bytes.len());
    Bytes::from_owner(ChargedBytes { bytes, _charge: charge })
}

/// Bytes that are accounted for.
struct ChargedBytes {
    bytes: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
