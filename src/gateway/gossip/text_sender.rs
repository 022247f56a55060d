//! Sends the newest text of one thing to peers that request it, in the shortest form that each
//! can read, one after the other where it is long.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    messages::{SentText, TextRequest},
    text_codec,
};
use crate::gateway::policy::daemon::{held_texts::HeldTexts, text_pacing::TextPacer};

/// Compressed forms of the newest text, and the moments at which it was sent.
#[derive(Debug, Default)]
pub struct TextSender {
    /// Revision of the newest text when `compressed` was filled.
    revision: u64,
    /// By the revision of the base; 0 is none.
    compressed: BTreeMap<u64, Bytes>,
    pacer: TextPacer,
}

impl TextSender {
    /// The newest of `texts` for a peer; none if there is none, or if it is withheld because a
    /// long one is on its way to another peer.
    pub fn try_send(
        &mut self,
        texts: &HeldTexts,
        request: &TextRequest,
        now: Instant,
    ) -> Option<SentText> {
        let newest = texts.newest_revision()?;
        let sent = match request.accepts_compressed {
            true => self.compressed(texts, newest, texts.newest_common(&request.bases)),
            false => SentText::Plain(texts.newest()),
        };
        self.pacer.try_send(sent.len(), now).then_some(sent)
    }

    /// Compressed once for each base and kept until there is a newer text: all peers that lag
    /// by the same revisions are sent the same.
    fn compressed(&mut self, texts: &HeldTexts, newest: u64, base: Option<u64>) -> SentText {
        if self.revision != newest {
            self.revision = newest;
            self.compressed.clear();
        }
        let base = base.unwrap_or(0);
        let data = match self.compressed.get(&base) {
            Some(data) => data.clone(),
            None => match text_codec::compress(&texts.newest(), texts.get(base).map(AsRef::as_ref))
            {
                Ok(data) => Bytes::from(data),
                Err(error) => {
                    spdlog::warn!("text not compressed: {}", error, kv: { revision = newest });
                    return SentText::Plain(texts.newest());
                }
            },
        };
        self.compressed.insert(base, data.clone());
        SentText::Compressed { base, data }
    }
}
