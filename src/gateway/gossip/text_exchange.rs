//! The texts of one thing, as daemons exchange them: a peer is sent the newest in the shortest
//! form that it can read, and what a peer has sent is read against a text that is kept.
//!
//! Texts that take long to send go to one peer after the other.

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

/// Texts of one thing, and the forms in which the newest was sent.
#[derive(Debug, Default)]
pub struct TextExchange {
    texts: HeldTexts,
    /// Compressed forms of the newest text by their base, or `NO_BASE`.
    compressed: BTreeMap<TextId, Bytes>,
    pacer: TextPacer,
}

impl TextExchange {
    /// Keeps a text that is newer than all others.
    pub fn push(&mut self, text: Bytes) {
        self.compressed.clear();
        self.texts.push(text);
    }

    /// Request for a newer text than those that are kept.
    pub fn request(&self) -> TextRequest {
        TextRequest { accepts_compressed: true, bases: self.texts.bases() }
    }

    /// The newest text for a peer; none if there is none, or if it is withheld because a long
    /// one is on its way to another peer.
    pub fn try_send(&mut self, request: &TextRequest, now: Instant) -> Option<SentText> {
        let newest = self.texts.newest()?;
        let compressed = match request.accepts_compressed {
            true => self.compress(&newest, self.texts.newest_common(&request.bases)),
            false => None,
        };
        let sent = compressed.map_or(SentText::Plain(newest), SentText::Compressed);
        self.pacer.try_send(sent.len(), now).then_some(sent)
    }

    /// Compresses once for each base: all peers that lag by the same texts are sent the same. None
    /// if the library fails.
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

    /// Reads what a peer has sent. After an error whole texts are requested until a newer one
    /// is kept.
    ///
    /// # Errors
    ///
    /// The base is not kept, or is another text at the peer; the data is damaged.
    pub fn read(&mut self, sent: &CompressedText) -> io::Result<Bytes> {
        let read = match self.texts.base(sent.base) {
            Some(base) => text_codec::decompress(&sent.data, &base),
            None => Err(io::Error::new(io::ErrorKind::NotFound, "base not kept")),
        };
        if read.is_err() {
            self.texts.reject_bases();
        }
        read.map(Bytes::from)
    }
}
