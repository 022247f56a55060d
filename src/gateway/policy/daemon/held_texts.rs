//! Decides which texts of one thing a daemon keeps: the newest, and former ones from which a
//! peer that still holds one of them can be sent the difference only.
//!
//! Inputs are the texts in the order in which they were applied. Daemons skip revisions, each
//! others, so a peer names all that it keeps. Without a revision in common the whole text is
//! sent, and so it is after a difference that could not be applied.

use std::collections::VecDeque;

use bytes::Bytes;

/// Most bytes of former texts that are kept: three texts of 1,400 routes.
const MAX_FORMER_BYTES: usize = 1_000_000;
/// Most former texts that are kept, however short. Their revisions add 128 bytes to a request.
const MAX_FORMER_TEXTS: usize = 16;

/// In place of a base's revision: the whole text is sent. Revisions of the store begin at 1.
pub const NO_BASE: u64 = 0;

/// Revisions that a daemon holds; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldRevisions {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the list of endpoints.
    pub endpoints: u64,
}

#[derive(Clone, Debug)]
struct HeldText {
    revision: u64,
    text: Bytes,
}

/// Texts of one thing by their revisions, the newest and some former ones.
#[derive(Clone, Debug, Default)]
pub struct HeldTexts {
    /// The newest first.
    texts: VecDeque<HeldText>,
    /// Whether a difference from one of them could not be applied.
    are_rejected: bool,
}

impl HeldTexts {
    /// Keeps a text that is newer than all others, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, revision: u64, text: Bytes) {
        self.are_rejected = false;
        self.texts.push_front(HeldText { revision, text });
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
    pub fn base(&self, revision: u64) -> Option<Bytes> {
        if revision == NO_BASE {
            return Some(Bytes::new());
        }
        let held = self.texts.iter().find(|held| held.revision == revision)?;
        Some(held.text.clone())
    }

    fn revisions(&self) -> impl Iterator<Item = u64> {
        self.texts.iter().map(|held| held.revision)
    }

    /// The revisions to name in a request, the newest first.
    pub fn bases(&self) -> Vec<u64> {
        match self.are_rejected {
            true => Vec::new(),
            false => self.revisions().collect(),
        }
    }

    /// Notes that a difference could not be applied: no bases are named until there is a newer
    /// text.
    pub fn reject_bases(&mut self) {
        self.are_rejected = true;
    }

    /// The newest revision that is kept here and among the bases that a peer has named, or
    /// `NO_BASE`.
    pub fn newest_common(&self, bases: &[u64]) -> u64 {
        self.revisions().find(|revision| bases.contains(revision)).unwrap_or(NO_BASE)
    }
}
