//! Member list: what is known of each daemon incarnation, and places on the ring.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    ids::{IncarnationId, SharedName, hash_parts},
    native::decide::subset::daemon_position,
};

/// What a daemon's monitors, or it itself, say of it. Order matters: within one
/// refutation, the later status goes before the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Answers.
    Alive,
    /// Did not answer; may refute.
    Suspect,
    /// Removed; becomes alive again by refuting.
    Dead,
}

/// Members considered from each point of a placement: ranking all members would take a hundred
/// times as long at 2,100 of them.
const PLACEMENT_WINDOW: usize = 16;
/// Number of statuses, for packing a status into a version: the next power of two above the
/// statuses; part of the stored form.
const STATUSES: u64 = 4;

/// Value of a member item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address of its peer listener.
    pub address: SharedName,
    /// Its availability zone.
    pub zone: SharedName,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Version of a member item: refutations by the member, then the status.
pub fn member_version(refutation: u64, status: MemberStatus) -> u64 {
    refutation * STATUSES + status as u64
}

/// Parts of a member item's version.
pub fn split_version(version: u64) -> (u64, MemberStatus) {
    let status = match version % STATUSES {
        0 => MemberStatus::Alive,
        1 => MemberStatus::Suspect,
        _ => MemberStatus::Dead,
    };
    (version / STATUSES, status)
}

/// One daemon incarnation as known here.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// What it says of itself.
    pub record: MemberRecord,
    /// Its status.
    pub status: MemberStatus,
    /// Refutations so far.
    pub refutation: u64,
    /// When this status was learnt.
    pub since: Instant,
}

impl MemberView {
    /// Whether it may be asked and may be given work of other daemons.
    pub fn is_present(&self) -> bool {
        self.status != MemberStatus::Dead
    }

    /// Whether it may be given new work.
    pub fn takes_work(&self) -> bool {
        self.is_present() && !self.record.leaving
    }
}

/// All daemon incarnations known.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    views: HashMap<IncarnationId, MemberView>,
    ring: BTreeMap<u64, IncarnationId>,
}

impl MemberList {
    /// Sets what is known of one incarnation.
    pub fn set(&mut self, incarnation: IncarnationId, view: MemberView) {
        let position = daemon_position(incarnation);
        if view.is_present() {
            self.ring.insert(position, incarnation);
        } else {
            self.ring.remove(&position);
        }
        self.views.insert(incarnation, view);
    }

    /// Forgets one incarnation.
    pub fn remove(&mut self, incarnation: IncarnationId) {
        self.ring.remove(&daemon_position(incarnation));
        self.views.remove(&incarnation);
    }

    /// What is known of one incarnation.
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

    /// Up to `count` incarnations that follow `position` on the ring, without `own`.
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

    /// Members that take work and are placed for `name`, `count` at most: one for each of
    /// `count` points on the ring, in availability zones that differ as far as they can.
    ///
    /// From each point the best of the next few by rendezvous hashing is taken. A single
    /// successor would carry very uneven shares; all members would cost time in their
    /// number. With few members every window holds all of them.
    pub fn placed_for(&self, name: &[u8], count: usize) -> Vec<IncarnationId> {
        let mut chosen: Vec<IncarnationId> = Vec::with_capacity(count);
        let mut zones: Vec<&SharedName> = Vec::with_capacity(count);
        for index in 0..count as u64 {
            let point = hash_parts(&[b"place", name, &index.to_le_bytes()]);
            let best = self
                .working_from(point)
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

    fn working_from(&self, point: u64) -> impl Iterator<Item = (IncarnationId, &MemberView)> {
        let around = self.ring.range(point..).chain(self.ring.range(..point));
        let views = around.filter_map(|(_, found)| Some((*found, self.views.get(found)?)));
        views.filter(|(_, view)| view.takes_work())
    }

    /// Whether `own` is among the first `count` of its zone for the role `name`.
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
