//! Exchanges the versions of one text (the configuration or the list of endpoints) with peers. A
//! peer is sent the newest version in the shortest form that it can read. Texts from peers are
//! decompressed against a version that this daemon keeps.
//!
//! Long texts are sent to one peer after the other.

use std::{collections::BTreeMap, io};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    messages::{CompressedText, SentText, TextRequest},
    text_codec,
};
use crate::gateway::policy::daemon::{
    held_texts::{HeldTexts, TextId},
    text_pacing::TextPacer,
};

/// Versions of one text, and the compressed forms in which the newest was sent.
#[derive(Debug, Default)]
pub struct TextExchange {
    texts: HeldTexts,
    /// Compressed forms of the newest text by base.
    compressed: BTreeMap<TextId, Bytes>,
    pacer: TextPacer,
}

impl TextExchange {
    /// Adds a text that is newer than all others.
    pub fn push(&mut self, text: Bytes) {
        self.compressed.clear();
        self.texts.push(text);
    }

    /// Builds a request for a newer text than those that are kept.
    pub fn request(&self) -> TextRequest {
        TextRequest { accepts_compressed: true, bases: self.texts.bases() }
    }

    /// The newest text for a peer; `None` if there is none, or if it is withheld because a long
    /// text is still being sent to another peer.
    pub fn try_send(&mut self, request: &TextRequest, now: Instant) -> Option<SentText> {
        let newest = self.texts.newest()?;
        let compressed = match request.accepts_compressed {
            true => self.compress(&newest, self.texts.newest_common(&request.bases)),
            false => None,
        };
        let sent = compressed.map_or(SentText::Plain(newest), SentText::Compressed);
        self.pacer.try_send(sent.len(), now).then_some(sent)
    }

    /// Compresses the newest text once for each base, because peers with the same base are sent the
    /// same data. `None` if the library fails.
    fn compress(&mut self, newest: &[u8], base: TextId) -> Option<CompressedText> {
        if let Some(data) = self.compressed.get(&base) {
            return Some(CompressedText { base, data: data.clone() });
        }
        match text_codec::compress(newest, &self.texts.base(base)?) {
            Ok(data) => {
                let data = Bytes::from(data);
                self.compressed.insert(base, data.clone());
                Some(CompressedText { base, data })
            }
            Err(error) => {
                spdlog::warn!("text not compressed: {}", error, kv: { base = base.0 });
                None
            }
        }
    }

    /// Decompresses a text from a peer. After an error, whole texts are requested until a newer
    /// text is added.
    ///
    /// # Errors
    ///
    /// Fails if the base is not kept or differs from the peer's, or if the data is damaged.
    pub fn read(&mut self, sent: &CompressedText) -> io::Result<Bytes> {
        let read = match self.texts.base(sent.base) {
            Some(base) => text_codec::decompress(&sent.data, &base),
            None => Err(io::Error::new(io::ErrorKind::NotFound, "base text not kept")),
        };
        if read.is_err() {
            self.texts.reject_bases();
        }
        read.map(Bytes::from)
    }
}
