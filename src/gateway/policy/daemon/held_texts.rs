//! Decides which texts of one thing a daemon keeps: the newest, and former ones from which a
//! peer that still holds one of them can be sent the difference only.
//!
//! Inputs are the texts in the order in which they were applied. Daemons skip texts, each
//! others, so a peer names all that it keeps. Without a text in common the whole one is sent, and so
//! it is after a difference that could not be applied. A text is named by its hash: the store may
//! give a revision out twice, for different texts. Daemons of the last release name texts by
//! revisions, and are sent whole ones.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{ids::hash_parts, store_position::StorePosition};

/// Most bytes of former texts that are kept: three texts of 1,400 routes.
const MAX_FORMER_BYTES: usize = 1_000_000;
/// Most former texts that are kept, however short. Their names add 128 bytes to a request.
const MAX_FORMER_TEXTS: usize = 16;

/// Name of a text: its hash, the same at all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextId(pub u64);

impl TextId {
    /// In place of a base's name: the whole text is sent.
    pub const NO_BASE: Self = Self(0);

    /// Name of `text`.
    pub fn of(text: &[u8]) -> Self {
        Self(hash_parts(&[text]))
    }
}

/// What a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldVersions {
    /// The operators' version of the configuration; 0 if there is none, or from a daemon of the last
    /// release.
    pub configuration: u64,
    /// Where the store stood when it held the list of endpoints.
    pub endpoints: StorePosition,
}

#[derive(Clone, Debug)]
struct HeldText {
    id: TextId,
    text: Bytes,
}

/// Texts of one thing, the newest and some former ones.
#[derive(Clone, Debug, Default)]
pub struct HeldTexts {
    /// The newest first.
    texts: VecDeque<HeldText>,
    /// Whether a difference from one of them could not be applied.
    are_rejected: bool,
}

impl HeldTexts {
    /// Keeps a text that is newer than all others, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, text: Bytes) {
        self.are_rejected = false;
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

    /// The text that another was compressed against: empty for `NO_BASE`, none if it is not kept.
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

    /// The texts to name in a request, the newest first.
    pub fn bases(&self) -> Vec<TextId> {
        match self.are_rejected {
            true => Vec::new(),
            false => self.ids().collect(),
        }
    }

    /// Notes that a difference could not be applied: no bases are named until there is a newer
    /// text.
    pub fn reject_bases(&mut self) {
        self.are_rejected = true;
    }

    /// The newest text that is kept here and among the bases that a peer has named, or `NO_BASE`.
    pub fn newest_common(&self, bases: &[TextId]) -> TextId {
        self.ids().find(|id| bases.contains(id)).unwrap_or(TextId::NO_BASE)
    }
}
