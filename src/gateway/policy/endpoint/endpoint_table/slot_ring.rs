//! Divides the slots of brittle endpoints among the daemons of a fleet.
//!
//! The daemons form a ring, ordered by the hashes of their addresses. The slots of an endpoint go in blocks
//! to the daemons that follow the endpoint's hash in the ring. Blocks are small enough that a daemon which
//! is wrong about who is there can't exceed an endpoint's room by much, and large enough that a daemon
//! without a share finds a free slot at one of the first holders that it asks (`slot_borrower`).
//!
//! Inputs are the daemons known by gossip, up to 20 s after the last word of them: a daemon that has ended or
//! is suspended keeps its share that long, since its requests may still run. The ring doesn't depend on
//! the starts of endpoints, so daemons that haven't learnt of a new start yet divide it alike. Daemons that
//! know fewer others than there are divide only their part of the slots, so that the parts of a fleet that don't
//! hear each other never use more than all of them.

use std::net::SocketAddr;

/// Slots of one endpoint in a block.
pub const SLOTS_PER_BLOCK: u32 = 4;

/// Daemons among which slots are divided.
#[derive(Clone, Debug, Default)]
pub struct SlotRing {
    /// Hashes of their addresses and the addresses, in order.
    members: Vec<(u64, SocketAddr)>,
    /// Number of daemons in the fleet, which may be more than the members.
    daemons: usize,
    /// Slots of one endpoint in a block.
    block: u32,
}

impl SlotRing {
    /// Ring of these members, with the hashes of their addresses, in a fleet of `daemons`.
    pub fn new(members: impl IntoIterator<Item = (u64, SocketAddr)>, daemons: usize) -> Self {
        Self::with_blocks(members, daemons, SLOTS_PER_BLOCK)
    }

    /// The same with blocks of this many slots, at least one.
    pub fn with_blocks(
        members: impl IntoIterator<Item = (u64, SocketAddr)>,
        daemons: usize,
        block: u32,
    ) -> Self {
        let mut members: Vec<(u64, SocketAddr)> = members.into_iter().collect();
        members.sort_unstable();
        Self { members, daemons, block }
    }

    /// Slots that `member` holds at the endpoint with this hash.
    pub fn share(&self, member: SocketAddr, endpoint: u64, slots: u32) -> u32 {
        let places = self.members.iter().enumerate();
        let own = places.filter(|(_, (_, address))| *address == member);
        own.map(|(place, _)| self.share_at(place, endpoint, slots)).sum()
    }

    /// Slots that the member at this place of the ring holds: whole blocks, one in each round, and those of
    /// an incomplete last block.
    fn share_at(&self, place: usize, endpoint: u64, slots: u32) -> u32 {
        let divided = self.divided(slots);
        let (block, members) = (u64::from(self.block.max(1)), self.members.len() as u64);
        // The first holder may be the place after the last one, which is the first one.
        let first = self.first_holder(endpoint) as u64;
        let steps_after_first = (place as u64 + members - first) % members;
        let (whole_blocks, rest) = (u64::from(divided) / block, u64::from(divided) % block);
        let whole_rounds = whole_blocks / members;
        let blocks_of_last_round = whole_blocks % members;
        let own_blocks = whole_rounds + u64::from(steps_after_first < blocks_of_last_round);
        let own_rest = if steps_after_first == blocks_of_last_round { rest } else { 0 };
        (own_blocks * block + own_rest) as u32
    }

    /// Holder of a slot of the endpoint with this hash; none if the slot isn't divided.
    pub fn holder(&self, endpoint: u64, slots: u32, slot: u32) -> Option<SocketAddr> {
        if slot >= self.divided(slots) {
            return None;
        }
        self.holder_after(self.first_holder(endpoint), slot)
    }

    /// The members' part of an endpoint's slots.
    fn divided(&self, slots: u32) -> u32 {
        let (members, daemons) = (self.members.len() as u64, self.daemons as u64);
        if members >= daemons {
            return slots;
        }
        (u64::from(slots) * members / daemons) as u32
    }

    fn first_holder(&self, endpoint: u64) -> usize {
        self.members.partition_point(|(hash, _)| *hash < endpoint)
    }

    fn holder_after(&self, first: usize, slot: u32) -> Option<SocketAddr> {
        let place = first + (slot / self.block.max(1)) as usize;
        let index = place.checked_rem(self.members.len())?;
        self.members.get(index).map(|(_, address)| *address)
    }
}
