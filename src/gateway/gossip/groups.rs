//! Decides with which daemons a daemon exchanges gossip: its neighbours.
//!
//! Daemons are divided into gossip groups by a hash of their addresses. There are about as many
//! groups as daemons in each, and about [`GROUP_SIZE`] or more daemons in a group. Within a group,
//! every daemon exchanges messages with every other. In each other group, a daemon asks one member,
//! the representative, for sums over that group. With n daemons, each has about 2 * sqrt(n)
//! neighbours, and a report passes at most two exchanges.
//!
//! The input is the list of known addresses. Daemons that know different addresses may disagree on
//! the groups for a while. Until they agree, a daemon's counters are reported by itself or not at
//! all.

use std::net::SocketAddr;

use crate::ids::hash_parts;

/// Approximate minimum number of daemons in a group. Keeps a daemon below 22 calls per second in a
/// fleet of 300 daemons.
pub const GROUP_SIZE: usize = 12;
/// Largest fleet that stays in one group: two groups would be smaller than `GROUP_SIZE`.
const SINGLE_GROUP_SIZE: usize = GROUP_SIZE * 2;

/// Number of groups for this many daemons: a power of two, so that it rarely changes.
pub fn group_count(daemons: usize) -> usize {
    if daemons <= SINGLE_GROUP_SIZE {
        return 1;
    }
    let daemons = daemons as f64;
    let groups = daemons / daemons.sqrt().max(GROUP_SIZE as f64);
    1 << (groups.log2().round() as u32)
}

/// Hash of a daemon's address.
pub fn hash_address(address: &SocketAddr) -> u64 {
    hash_parts(&[address.to_string().as_bytes()])
}

/// Group of a daemon, from 0 to `groups - 1`.
pub fn group_of(address: &SocketAddr, groups: usize) -> usize {
    (hash_address(address) % groups.max(1) as u64) as usize
}

/// Daemons with which one daemon exchanges gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Number of groups.
    pub groups: usize,
    /// Group of the daemon itself.
    pub own_group: usize,
    /// Other daemons of its group.
    pub group: Vec<SocketAddr>,
    /// Its representative in each other group, with the number of the group.
    pub representatives: Vec<(usize, SocketAddr)>,
}

impl Neighbours {
    /// Neighbours of the daemon at `own` among `others`.
    pub fn of(own: &SocketAddr, others: &[SocketAddr]) -> Self {
        let groups = group_count(others.len() + 1);
        let own_group = group_of(own, groups);
        let mut neighbours = Self { groups, own_group, ..Self::default() };
        let mut best: Vec<Option<(u64, SocketAddr)>> = vec![None; groups];
        for other in others {
            let group = group_of(other, groups);
            if group == own_group {
                neighbours.group.push(*other);
                continue;
            }
            // The hash covers both addresses, so that the daemons choose different
            // representatives and all members of a group are called equally often.
            let weight =
                hash_parts(&[&hash_address(own).to_le_bytes(), &hash_address(other).to_le_bytes()]);
            if best[group].is_none_or(|(min, _)| weight < min) {
                best[group] = Some((weight, *other));
            }
        }
        let representatives = best.into_iter().enumerate();
        neighbours.representatives =
            representatives.filter_map(|(group, found)| Some((group, found?.1))).collect();
        neighbours
    }

    /// Whether the daemon at `address` is in the same group.
    pub fn in_own_group(&self, address: &SocketAddr) -> bool {
        group_of(address, self.groups) == self.own_group
    }

    /// The group whose representative is the daemon at `address`, if any.
    pub fn represented_group(&self, address: &SocketAddr) -> Option<usize> {
        let mut representatives = self.representatives.iter();
        representatives.find(|(_, one)| one == address).map(|(group, _)| *group)
    }

    /// All neighbours.
    pub fn all(&self) -> impl Iterator<Item = &SocketAddr> {
        self.group.iter().chain(self.representatives.iter().map(|(_, address)| address))
    }
}
