//! Which daemons a daemon exchanges news with, so that the cost of it hardly grows with
//! their number.
//!
//! Daemons fall into groups by a hash of their addresses, as many groups as daemons in each, about,
//! but at least [`GROUP_SIZE`] in a group. Within a group all exchange with all. For every other group
//! a daemon asks one of its members, its representative there, for the sums of that group. With n
//! daemons each has about twice the square root of n others to exchange with, and news are two
//! exchanges old at most.

use std::net::SocketAddr;

use crate::ids::hash_parts;

/// Fewest daemons in a group, about.
pub const GROUP_SIZE: usize = 12;
/// Groups are never fewer than this part of what they could be: fleets up to twice a group
/// stay in one.
const SINGLE_GROUP: usize = GROUP_SIZE * 2;

/// Number of groups for this many daemons; a power of two, so that it seldom changes.
pub fn group_count(daemons: usize) -> usize {
    if daemons <= SINGLE_GROUP {
        return 1;
    }
    let daemons = daemons as f64;
    let groups = daemons / daemons.sqrt().max(GROUP_SIZE as f64);
    1 << (groups.log2().round() as u32)
}

fn hash_of(address: &SocketAddr) -> u64 {
    hash_parts(&[address.to_string().as_bytes()])
}

/// Row of a daemon.
pub fn group_of(address: &SocketAddr, groups: usize) -> usize {
    (hash_of(address) % groups.max(1) as u64) as usize
}

/// Those that one daemon exchanges with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Number of groups.
    pub groups: usize,
    /// Row of the daemon itself.
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
            // NOTE: each daemon prefers others, so that all members of a group serve alike.
            let weight = hash_parts(&[&hash_of(own).to_le_bytes(), &hash_of(other).to_le_bytes()]);
            if best[group].is_none_or(|(least, _)| weight < least) {
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

    /// The group that a daemon is the representative for.
    pub fn represented_group(&self, address: &SocketAddr) -> Option<usize> {
        self.representatives
            .iter()
            .find(|(_, representative)| representative == address)
            .map(|(group, _)| *group)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &SocketAddr> {
        self.group
            .iter()
            .chain(self.representatives.iter().map(|(_, representative)| representative))
    }
}
