//! Member list: the state of each daemon incarnation, and its position on the ring.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    ids::{IncarnationId, SharedName, hash_parts},
    native::decide::subset::daemon_position,
};

/// Status of a daemon, published by itself or by the daemons that probe it. The order matters:
/// with the same number of refutations, a later status overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The daemon answers probes.
    Alive,
    /// The daemon did not answer; it may refute the suspicion.
    Suspect,
    /// The daemon was removed; it becomes alive again by refuting the removal.
    Dead,
}

/// Number of members considered from each point of a placement. Ranking all members would take a
/// hundred times as long with 2,100 of them.
const PLACEMENT_WINDOW: usize = 16;
/// Number of versions per refutation, to pack the status into the version: the next power of two
/// above the number of statuses. It is part of the stored form.
const STATUSES: u64 = 4;

/// Value of a member item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address of its peer listener.
    pub address: SharedName,
    /// Its availability zone.
    pub zone: SharedName,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// Packs the number of refutations by the member and its status into the version of a member item.
pub fn member_version(refutation: u64, status: MemberStatus) -> u64 {
    refutation * STATUSES + status as u64
}

/// Splits the version of a member item into the number of refutations and the status.
pub fn split_version(version: u64) -> (u64, MemberStatus) {
    let status = match version % STATUSES {
        0 => MemberStatus::Alive,
        1 => MemberStatus::Suspect,
        _ => MemberStatus::Dead,
    };
    (version / STATUSES, status)
}

/// State of a daemon incarnation in this daemon's member list.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The record that it published.
    pub record: MemberRecord,
    /// Its status.
    pub status: MemberStatus,
    /// Number of its refutations so far.
    pub refutation: u64,
    /// When this daemon learnt of the status.
    pub since: Instant,
}

impl MemberView {
    /// Whether it has not been removed, so that it may be called and may be handed the work of
    /// other daemons.
    pub fn is_present(&self) -> bool {
        self.status != MemberStatus::Dead
    }

    /// Whether it may be given new work.
    pub fn takes_work(&self) -> bool {
        self.is_present() && !self.record.leaving
    }
}

/// All daemon incarnations known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    views: HashMap<IncarnationId, MemberView>,
    ring: BTreeMap<u64, IncarnationId>,
}

impl MemberList {
    /// Sets the state of one incarnation.
    pub fn set(&mut self, incarnation: IncarnationId, view: MemberView) {
        let position = daemon_position(incarnation);
        if view.is_present() {
            self.ring.insert(position, incarnation);
        } else {
            self.ring.remove(&position);
        }
        self.views.insert(incarnation, view);
    }

    /// Removes one incarnation from the list.
    pub fn remove(&mut self, incarnation: IncarnationId) {
        self.ring.remove(&daemon_position(incarnation));
        self.views.remove(&incarnation);
    }

    /// State of one incarnation.
    pub fn get(&self, incarnation: IncarnationId) -> Option<&MemberView> {
        self.views.get(&incarnation)
    }

    /// All incarnations, removed ones included.
    pub fn iter(&self) -> impl Iterator<Item = (IncarnationId, &MemberView)> {
        self.views.iter().map(|(incarnation, view)| (*incarnation, view))
    }

    /// Incarnations that have not been removed, in ring order.
    pub fn present(&self) -> impl Iterator<Item = (IncarnationId, &MemberView)> {
        self.ring
            .values()
            .filter_map(|incarnation| Some((*incarnation, self.views.get(incarnation)?)))
    }

    /// Number of incarnations that have not been removed.
    pub fn present_count(&self) -> usize {
        self.ring.len()
    }

    /// Rank of an incarnation among those present, in ring order.
    pub fn rank(&self, incarnation: IncarnationId) -> usize {
        self.ring.range(..daemon_position(incarnation)).count()
    }

    /// Up to `count` incarnations that follow `position` on the ring, excluding `own`.
    pub fn successors(
        &self,
        position: u64,
        count: usize,
        own: IncarnationId,
    ) -> Vec<IncarnationId> {
        let after = self.ring.range(position..).chain(self.ring.range(..position));
        after
            .map(|(_, incarnation)| *incarnation)
            .filter(|found| *found != own)
            .take(count)
            .collect()
    }

    /// Incarnation at `address` that has not been removed.
    pub fn at_address(&self, address: &str) -> Option<IncarnationId> {
        let mut present = self.present();
        present.find(|(_, view)| &*view.record.address == address).map(|(found, _)| found)
    }

    /// Members that accept work and are chosen for `name`, at most `count`: one for each of
    /// `count` points on the ring, in different availability zones as far as possible.
    ///
    /// For each point, the best of the next few members by rendezvous hashing is chosen. Taking
    /// only the next member would distribute names very unevenly, and ranking all members would
    /// take time in proportion to their number. With few members, all of them are considered at
    /// every point.
    pub fn placed_for(&self, name: &[u8], count: usize) -> Vec<IncarnationId> {
        let mut chosen: Vec<IncarnationId> = Vec::with_capacity(count);
        let mut zones: Vec<&SharedName> = Vec::with_capacity(count);
        for index in 0..count as u64 {
            let point = hash_parts(&[b"place", name, &index.to_le_bytes()]);
            let best = self
                .candidates_from(point)
                .filter(|(incarnation, _)| !chosen.contains(incarnation))
                .take(PLACEMENT_WINDOW)
                .max_by_key(|(incarnation, view)| {
                    let fresh_zone = !zones.contains(&&view.record.zone);
                    (fresh_zone, hash_parts(&[name, &incarnation.0.to_le_bytes()]))
                });
            let Some((incarnation, view)) = best else { break };
            chosen.push(incarnation);
            zones.push(&view.record.zone);
        }
        chosen
    }

    fn candidates_from(&self, point: u64) -> impl Iterator<Item = (IncarnationId, &MemberView)> {
        let around = self.ring.range(point..).chain(self.ring.range(..point));
        let views = around.filter_map(|(_, found)| Some((*found, self.views.get(found)?)));
        views.filter(|(_, view)| view.takes_work())
    }

    /// Whether `own` is among the first `count` members of its zone for the role `name`, ranked by
    /// rendezvous hashing.
    pub fn has_role(&self, own: IncarnationId, name: &[u8], count: usize) -> bool {
        let Some(view) = self.get(own) else { return false };
        let weight_of =
            |incarnation: IncarnationId| hash_parts(&[name, &incarnation.0.to_le_bytes()]);
        let mine = weight_of(own);
        let better = self.present().filter(|(incarnation, other)| {
            other.record.zone == view.record.zone
                && other.takes_work()
                && weight_of(*incarnation) > mine
        });
        better.take(count).count() < count
    }
}
