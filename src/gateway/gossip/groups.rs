//! Decides which daemons a daemon exchanges gossip with, its neighbours.
//!
//! Daemons fall into gossip groups by a hash of their addresses: about as many groups as there
//! are daemons in each, with about [`GROUP_SIZE`] daemons in a group or more. Within a group
//! every daemon exchanges with every other. From each other group a daemon asks one member, its
//! representative there, for sums over the group. With n daemons each has about twice the
//! square root of n neighbours, and a report has passed two exchanges at most.
//!
//! The input is the list of known addresses. Daemons that know different lists may disagree on
//! the groups for a while; a daemon then reports for itself or not at all, until they agree.

use std::net::SocketAddr;

use crate::ids::hash_parts;

/// Least number of daemons in a group, about: keeps the calls of a daemon below 22 a second at 300
/// daemons.
pub const GROUP_SIZE: usize = 12;
/// Largest fleet that stays in one group: two groups would be smaller than `GROUP_SIZE`.
const SINGLE_GROUP_SIZE: usize = GROUP_SIZE * 2;

/// Number of groups for this many daemons; a power of two, so that it seldom changes.
pub fn group_count(daemons: usize) -> usize {
    if daemons <= SINGLE_GROUP_SIZE {
        return 1;
    }
    let daemons = daemons as f64;
    let groups = daemons / daemons.sqrt().max(GROUP_SIZE as f64);
    1 << (groups.log2().round() as u32)
}

/// Hash of a daemon's address.
pub fn hash_of(address: &SocketAddr) -> u64 {
    hash_parts(&[address.to_string().as_bytes()])
}

/// Group of a daemon.
pub fn group_of(address: &SocketAddr, groups: usize) -> usize {
    (hash_of(address) % groups.max(1) as u64) as usize
}

/// Daemons that one daemon exchanges with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Number of groups.
    pub groups: usize,
    /// Group of the daemon itself.
    pub own_group: usize,
    /// Other daemons of its group.
    pub group: Vec<SocketAddr>,
    /// Its representative in each other group, by group.
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
            // Each daemon prefers others, so that all members of a group are called equally.
            let weight = hash_parts(&[&hash_of(own).to_le_bytes(), &hash_of(other).to_le_bytes()]);
            if best[group].is_none_or(|(min, _)| weight < min) {
                best[group] = Some((weight, *other));
            }
        }
        let representatives = best.into_iter().enumerate();
        neighbours.representatives =
            representatives.filter_map(|(group, found)| Some((group, found?.1))).collect();
        neighbours
    }

    /// Whether a daemon is in the same group.
    pub fn in_own_group(&self, address: &SocketAddr) -> bool {
        group_of(address, self.groups) == self.own_group
    }

    /// The group that a daemon is the representative of.
    pub fn represented_group(&self, address: &SocketAddr) -> Option<usize> {
        let mut representatives = self.representatives.iter();
        representatives.find(|(_, one)| one == address).map(|(group, _)| *group)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &SocketAddr> {
        self.group.iter().chain(self.representatives.iter().map(|(_, address)| address))
    }
}
