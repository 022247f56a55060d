//! Versioned items that are spread to every daemon: table rows, VMs, reclaim notices, members.
//!
//! Only a strictly newer version replaces an item. By comparing hashes over buckets of items, two
//! daemons find out in one short exchange which items either of them lacks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ids::{SharedName, hash_parts};

/// Number of buckets in a summary, which makes it 512 bytes long.
pub const BUCKETS: usize = 64;

/// Size of an item without its name and value, in bytes: version, kind and lengths.
const FIELD_BYTES: usize = 24;

/// Kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// Row of the operators' table; versioned by the object API.
    Row,
    /// VM, from the VM list; versioned by the list's revision.
    Vm,
    /// Reclaim notice of a VM; never changes.
    Notice,
    /// Daemon incarnation; versioned by itself and by the daemons that probe it.
    Member,
}

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name, unique within the kind.
    pub name: SharedName,
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadItem {
    /// Key of the item.
    pub key: ItemKey,
    /// Version of the item.
    pub version: u64,
    /// Value as JSON; `None` if the item was deleted.
    pub value: Option<Arc<[u8]>>,
}

impl SpreadItem {
    /// Creates an item from a value that serializes to JSON.
    pub fn new(kind: ItemKind, name: SharedName, version: u64, value: &impl Serialize) -> Self {
        // These types always serialize; `item_validation` would refuse an empty value.
        let json = serde_json::to_vec(value).unwrap_or_default();
        Self { key: ItemKey { kind, name }, version, value: Some(json.into()) }
    }

    /// Creates the tombstone of an item.
    pub fn deleted(kind: ItemKind, name: SharedName, version: u64) -> Self {
        Self { key: ItemKey { kind, name }, version, value: None }
    }

    /// Decodes the value from JSON; `None` if that fails or the item was deleted.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        serde_json::from_slice(self.value.as_deref()?).ok()
    }

    /// Approximate size of the item in bytes.
    pub fn bytes(&self) -> usize {
        FIELD_BYTES + self.key.name.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// All items that one daemon has stored.
#[derive(Debug)]
pub struct ItemStore {
    items: HashMap<ItemKey, (SpreadItem, Instant)>,
    by_bucket: Vec<BTreeMap<ItemKey, u64>>,
    summary: Vec<u64>,
}

impl Default for ItemStore {
    fn default() -> Self {
        Self {
            items: HashMap::new(),
            by_bucket: vec![BTreeMap::new(); BUCKETS],
            summary: vec![0; BUCKETS],
        }
    }
}

fn bucket_of(key: &ItemKey) -> usize {
    hash_parts(&[&[key.kind as u8], key.name.as_bytes()]) as usize % BUCKETS
}

fn version_hash(key: &ItemKey, version: u64) -> u64 {
    hash_parts(&[&[key.kind as u8], key.name.as_bytes(), &version.to_le_bytes()])
}

impl ItemStore {
    /// Stores an item if it is strictly newer than the known version. Returns whether it was.
    pub fn offer(&mut self, item: SpreadItem, now: Instant) -> bool {
        let known = self.version(&item.key);
        if known.is_some_and(|known| known >= item.version) {
            return false;
        }
        let bucket = bucket_of(&item.key);
        if let Some(known) = known {
            self.summary[bucket] ^= version_hash(&item.key, known);
        }
        self.summary[bucket] ^= version_hash(&item.key, item.version);
        self.by_bucket[bucket].insert(item.key.clone(), item.version);
        self.items.insert(item.key.clone(), (item, now));
        true
    }

    /// Known version of an item.
    pub fn version(&self, key: &ItemKey) -> Option<u64> {
        self.items.get(key).map(|(item, _)| item.version)
    }

    /// Returns one item.
    pub fn get(&self, key: &ItemKey) -> Option<&SpreadItem> {
        self.items.get(key).map(|(item, _)| item)
    }

    /// All items of a kind, tombstones included.
    pub fn of_kind(&self, kind: ItemKind) -> impl Iterator<Item = &SpreadItem> {
        self.items.values().map(|(item, _)| item).filter(move |item| item.key.kind == kind)
    }

    /// Hash of each bucket.
    pub fn summary(&self) -> &[u64] {
        &self.summary
    }

    /// Buckets in which another daemon's summary differs.
    pub fn differing(&self, theirs: &[u64]) -> Vec<usize> {
        let pairs = self.summary.iter().zip(theirs);
        pairs.enumerate().filter(|(_, (own, their))| own != their).map(|(index, _)| index).collect()
    }

    /// Keys and versions of the items in `buckets`.
    pub fn versions_in(&self, buckets: &[usize]) -> Vec<(ItemKey, u64)> {
        let chosen = buckets.iter().filter_map(|bucket| self.by_bucket.get(*bucket));
        chosen.flatten().map(|(key, version)| (key.clone(), *version)).collect()
    }

    /// Removes the items for which `is_stale` returns `true`. It gets the time at which the item
    /// was stored.
    pub fn forget(&mut self, mut is_stale: impl FnMut(&SpreadItem, Instant) -> bool) {
        let stale: Vec<ItemKey> = self
            .items
            .values()
            .filter(|(item, since)| is_stale(item, *since))
            .map(|(item, _)| item.key.clone())
            .collect();
        for key in stale {
            let Some((item, _)) = self.items.remove(&key) else { continue };
            let bucket = bucket_of(&key);
            self.summary[bucket] ^= version_hash(&key, item.version);
            self.by_bucket[bucket].remove(&key);
        }
    }

    /// Number of items, tombstones included.
    pub fn count(&self) -> usize {
        self.items.len()
    }

    /// Approximate size of all items in bytes.
    pub fn bytes(&self) -> usize {
        self.items.values().map(|(item, _)| item.bytes()).sum()
    }
}
