//! Decides which versions of a text a daemon keeps. A text is the serialized form of the
//! configuration or of the endpoint list. Beside the newest version, former ones are kept: a peer
//! that still has one of them is sent only the difference from it.
//!
//! Inputs are the versions in the order in which they were applied. Not every daemon receives every
//! version, so a peer names all those that it keeps. If the two daemons have none in common, or if
//! a difference could not be applied, the whole text is sent. A version is identified by its hash,
//! because the store may assign the same revision twice, to different texts. Daemons of the
//! previous release identify texts by revision, and are sent whole texts.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{ids::hash_parts, store_position::StorePosition};

/// Maximum total size of the former versions in bytes: three configurations of 1,400 routes.
const MAX_FORMER_BYTES: usize = 1_000_000;
/// Maximum number of former versions. Their hashes add 128 bytes to a request.
const MAX_FORMER_TEXTS: usize = 16;

/// Hash of a text, which identifies it at all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextId(pub u64);

impl TextId {
    /// Stands for no base: the whole text is sent.
    pub const NO_BASE: Self = Self(0);

    /// Hashes `text`.
    pub fn of(text: &[u8]) -> Self {
        Self(hash_parts(&[text]))
    }
}

/// Versions of the configuration and of the endpoint list that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldVersions {
    /// The version number that operators give the configuration; 0 if there is none, or if it is
    /// reported by a daemon of the previous release.
    pub configuration: u64,
    /// Store position at which the endpoint list was read.
    pub endpoints: StorePosition,
}

#[derive(Clone, Debug)]
struct HeldText {
    id: TextId,
    text: Bytes,
}

/// The newest version of a text and some former ones.
#[derive(Clone, Debug, Default)]
pub struct HeldTexts {
    /// The newest first.
    texts: VecDeque<HeldText>,
    /// Whether a difference from one of them could not be applied.
    bases_rejected: bool,
}

impl HeldTexts {
    /// Adds a text that is newer than all others, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, text: Bytes) {
        self.bases_rejected = false;
        self.texts.push_front(HeldText { id: TextId::of(&text), text });
        while self.texts.len() > MAX_FORMER_TEXTS + 1 || self.former_bytes() > MAX_FORMER_BYTES {
            self.texts.pop_back();
        }
    }

    fn former_bytes(&self) -> usize {
        self.texts.iter().skip(1).map(|held| held.text.len()).sum()
    }

    /// The newest text, if there is one.
    pub fn newest(&self) -> Option<Bytes> {
        self.texts.front().map(|held| held.text.clone())
    }

    /// The text with this hash, as the base of a difference: empty for `NO_BASE`, `None` if the
    /// text is not kept.
    pub fn base(&self, id: TextId) -> Option<Bytes> {
        if id == TextId::NO_BASE {
            return Some(Bytes::new());
        }
        let held = self.texts.iter().find(|held| held.id == id)?;
        Some(held.text.clone())
    }

    fn ids(&self) -> impl Iterator<Item = TextId> {
        self.texts.iter().map(|held| held.id)
    }

    /// The bases to name in a request, the newest first.
    pub fn bases(&self) -> Vec<TextId> {
        match self.bases_rejected {
            true => Vec::new(),
            false => self.ids().collect(),
        }
    }

    /// Called after a difference could not be applied: until there is a newer text, requests name
    /// no bases, so that the whole text is sent.
    pub fn reject_bases(&mut self) {
        self.bases_rejected = true;
    }

    /// The newest text that both this daemon and a peer with these `bases` keep, or `NO_BASE`.
    pub fn newest_common(&self, bases: &[TextId]) -> TextId {
        self.ids().find(|id| bases.contains(id)).unwrap_or(TextId::NO_BASE)
    }
}
