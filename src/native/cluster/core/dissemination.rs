//! Which items are sent to which members, and how long items are kept.
//!
//! New items are sent to the ring successors and to a few far members. Exchanges of summaries with
//! a random member deliver the items that were lost.

use std::time::Duration;

use tokio::time::Instant;

use super::{ClusterCore, SUCCESSORS};
use crate::{
    ids::{IncarnationId, hash_parts},
    native::{
        cluster::{
            events::ClusterAction,
            item_validation::{is_valid_item, parse_incarnation},
            items::{ItemKey, ItemKind, SpreadItem},
            members::{MemberRecord, MemberStatus, MemberView, split_version},
        },
        decide::subset::daemon_position,
    },
};

/// Number of far members on the ring to which a daemon sends new items.
const FAR_LINKS: usize = 3;
/// How long removed members, deleted VMs and old notices are kept: longer than a network partition
/// between regions lasts.
const TOMBSTONE_KEEP: Duration = Duration::from_secs(6 * 3_600);
/// Time between searches for items to drop: short compared with the time for which they are kept.
pub(super) const FORGET_EVERY: Duration = Duration::from_secs(60);
/// Most items in one message; the remaining items are sent with the next tick.
const PUSH_LIMIT: usize = 256;

impl ClusterCore {
    /// Stores the items that are valid and newer than the known ones, and queues them for the
    /// other links.
    pub(super) fn receive(
        &mut self,
        from: Option<IncarnationId>,
        items: Vec<SpreadItem>,
        now: Instant,
        actions: &mut Vec<ClusterAction>,
    ) {
        let mut fresh = Vec::new();
        let mut members_changed = false;
        for item in items {
            if !is_valid_item(&item) || !self.items.offer(item.clone(), now) {
                self.counters.stale_items += 1;
                continue;
            }
            self.counters.fresh_items += 1;
            if item.key.kind == ItemKind::Member {
                members_changed = true;
                self.apply_member(&item, now, actions);
            }
            self.enqueue(&item.key, from);
            fresh.push(item);
        }
        if members_changed {
            self.update_links();
            actions.push(ClusterAction::MembersChanged);
        }
        if !fresh.is_empty() {
            actions.push(ClusterAction::Changed(fresh));
        }
    }

    fn apply_member(&mut self, item: &SpreadItem, now: Instant, actions: &mut Vec<ClusterAction>) {
        let Some(incarnation) = parse_incarnation(&item.key.name) else { return };
        let Some(record) = item.decode::<MemberRecord>() else { return };
        let (refutation, status) = split_version(item.version);
        if incarnation == self.own && status != MemberStatus::Alive {
            self.counters.refuted += 1;
            self.refutation = refutation + 1;
            self.members.set(
                incarnation,
                MemberView {
                    record: self.record.clone(),
                    status: MemberStatus::Alive,
                    refutation,
                    since: now,
                },
            );
            self.announce_self(now, actions);
            return;
        }
        let known = self.members.get(incarnation);
        let unchanged = known.filter(|view| view.status == status).map(|view| view.since);
        let since = unchanged.unwrap_or(now);
        self.members.set(incarnation, MemberView { record, status, refutation, since });
    }

    /// Queues an item for all links except the one from which it came.
    fn enqueue(&mut self, key: &ItemKey, from: Option<IncarnationId>) {
        for link in &self.links {
            if Some(*link) != from {
                self.outboxes.entry(*link).or_default().insert(key.clone());
            }
        }
    }

    /// Recomputes the links after a change of members.
    fn update_links(&mut self) {
        let position = daemon_position(self.own).wrapping_add(1);
        let mut links = self.members.successors(position, SUCCESSORS, self.own);
        for index in 0..FAR_LINKS as u64 {
            let point = hash_parts(&[b"far", &self.own.0.to_le_bytes(), &index.to_le_bytes()]);
            let found = self.members.successors(point, SUCCESSORS + 1, self.own);
            links.extend(found.into_iter().find(|candidate| !links.contains(candidate)));
        }
        self.outboxes.retain(|link, _| links.contains(link));
        self.probe_at.retain(|link, _| links.contains(link));
        self.refused.retain(|link| links.contains(link));
        self.links = links;
    }

    /// Sends the queued items, at most one message to each link.
    pub(super) fn flush(&mut self, actions: &mut Vec<ClusterAction>) {
        for link in self.links.clone() {
            let Some(outbox) = self.outboxes.get_mut(&link) else { continue };
            if outbox.is_empty() {
                continue;
            }
            let keys: Vec<ItemKey> = outbox.iter().take(PUSH_LIMIT).cloned().collect();
            for key in &keys {
                outbox.remove(key);
            }
            let items = keys.iter().filter_map(|key| self.items.get(key).cloned()).collect();
            actions.extend(self.target(link).map(|target| ClusterAction::Push(target, items)));
        }
    }

    /// Drops removed members, deleted VMs and notices after `TOMBSTONE_KEEP`.
    pub(super) fn forget(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let mut gone = Vec::new();
        self.items.forget(|item, since| {
            let ended = match item.key.kind {
                ItemKind::Row => false,
                ItemKind::Vm => item.value.is_none(),
                ItemKind::Notice => true,
                ItemKind::Member => split_version(item.version).1 == MemberStatus::Dead,
            };
            let stale = ended && now.saturating_duration_since(since) > TOMBSTONE_KEEP;
            if stale && item.key.kind == ItemKind::Member {
                gone.extend(parse_incarnation(&item.key.name));
            }
            stale
        });
        if !gone.is_empty() {
            for incarnation in gone {
                self.members.remove(incarnation);
            }
            actions.push(ClusterAction::MembersChanged);
        }
    }
}
