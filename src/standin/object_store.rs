//! In-memory object store of the platform stand-in: versions, conditional writes, and a log of
//! the writes for watches and stale reads.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    ids::SharedName,
    native::cloud_api::messages::{ObjectEntry, ObjectList},
    store_position::StoreEra,
};

/// Condition of a write, from its `if-match` and `if-none-match` headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
    /// No condition.
    Any,
}

type ObjectKey = (String, SharedName);

/// Objects by kind and name, with the log of all writes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<ObjectKey, (u64, Value)>,
    log: Vec<(String, ObjectEntry)>,
}

impl ObjectStore {
    /// Revision of the newest write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads one object; a missing one has version 0 and no value.
    pub fn read(&self, kind: &str, name: &str) -> ObjectEntry {
        let name: SharedName = name.into();
        match self.objects.get(&(kind.to_owned(), name.clone())) {
            Some((version, value)) => {
                ObjectEntry { name, version: *version, value: Some(value.clone()) }
            }
            None => ObjectEntry { name, version: 0, value: None },
        }
    }

    /// All objects of a kind.
    pub fn list(&self, kind: &str) -> ObjectList {
        let of_kind = self.objects.iter().filter(|((other, _), _)| other == kind);
        let entries = of_kind
            .map(|((_, name), (version, value))| ObjectEntry {
                name: name.clone(),
                version: *version,
                value: Some(value.clone()),
            })
            .collect();
        ObjectList { revision: self.revision, entries, era: StoreEra::default() }
    }

    /// All objects of a kind as they were at `revision`, from the log.
    pub fn list_as_of(&self, kind: &str, revision: u64) -> ObjectList {
        let mut entries: BTreeMap<SharedName, ObjectEntry> = BTreeMap::new();
        let past = self.log.iter().filter(|(other, _)| other == kind).map(|(_, entry)| entry);
        for entry in past.take_while(|entry| entry.version <= revision) {
            match entry.value {
                Some(_) => entries.insert(entry.name.clone(), entry.clone()),
                None => entries.remove(&entry.name),
            };
        }
        ObjectList { revision, entries: entries.into_values().collect(), era: StoreEra::default() }
    }

    /// Changes of a kind after `revision`.
    pub fn changes(&self, kind: &str, revision: u64) -> ObjectList {
        let newer = self.log.iter().rev().take_while(|(_, entry)| entry.version > revision);
        let of_kind = newer.filter(|(other, _)| other == kind);
        let mut entries: Vec<ObjectEntry> = of_kind.map(|(_, entry)| entry.clone()).collect();
        entries.reverse();
        ObjectList { revision: self.revision, entries, era: StoreEra::default() }
    }

    /// Writes (`Some`) or deletes (`None`) an object if `condition` holds, and returns the new
    /// version; otherwise fails with the current entry.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        condition: StoreCondition,
    ) -> Result<u64, ObjectEntry> {
        let current = self.read(kind, name);
        let holds = match condition {
            StoreCondition::Any => true,
            StoreCondition::Absent => current.value.is_none(),
            StoreCondition::Version(version) => {
                current.value.is_some() && current.version == version
            }
        };
        if !holds {
            return Err(current);
        }
        self.revision += 1;
        let key = (kind.to_owned(), current.name.clone());
        match &value {
            Some(value) => self.objects.insert(key, (self.revision, value.clone())),
            None => self.objects.remove(&key),
        };
        let entry = ObjectEntry { name: current.name, version: self.revision, value };
        self.log.push((kind.to_owned(), entry));
        Ok(self.revision)
    }
}
