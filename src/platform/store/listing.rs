//! Lists the objects of a kind, page by page.
//!
//! Other writers may have created any of the objects. Names that can't be sent are replaced by text that sorts
//! right behind them, so that the objects after them are listed. An incomplete list is an error: what it lacks would
//! count as deleted. Objects are handed on page by page, since all of them together may be larger than the memory.

use std::collections::HashSet;

use super::{
    CALL_TIMEOUT, StoreClient, StoredObject, kind_path,
    object_codec::{ObjectPage, decode_page},
};
use crate::{
    errors::{FailureCause, StepError},
    store_position::StorePosition,
};

/// Name of the call, for errors.
const STEP: &str = "list objects";
/// Longest name that is sent whole, in bytes. Encoded, it fits into the 8,000 bytes of a URL that HTTP servers should
/// accept (RFC 9110, section 4.1).
const MAX_SENT_NAME: usize = 2_500;
/// The first character behind the code points of surrogate pairs.
const BEHIND_SURROGATES: char = '\u{e000}';

impl StoreClient {
    /// Lists all objects of a kind, page by page, and calls `visit` with each. Changes made before the call are
    /// included. Returns the position of the store from which a watch can continue.
    ///
    /// # Errors
    ///
    /// A call failed, the store was restored from a copy between two pages, or a page doesn't come behind those
    /// before it. Some objects may have been visited.
    pub async fn list(
        &self,
        kind: &str,
        mut visit: impl FnMut(StoredObject),
    ) -> Result<StorePosition, StepError> {
        let mut page = self.list_page(kind, None).await?;
        // A watch from the position of the first page returns all later changes.
        let position = page.position;
        let mut starts = HashSet::new();
        loop {
            if page.position.era() != position.era() {
                return Err(self.api.get(STEP, "").error(FailureCause::FormerEra));
            }
            page.objects.into_iter().for_each(&mut visit);
            if !page.has_more {
                return Ok(position);
            }
            let start = page.last_name.as_deref().map(start_behind);
            let Some(start) = start.filter(|start| starts.insert(start.clone())) else {
                let cause = format!("the list of {kind} does not advance");
                return Err(self.api.get(STEP, "").error(FailureCause::Malformed(cause)));
            };
            page = self.list_page(kind, Some(&start)).await?;
        }
    }

    async fn list_page(&self, kind: &str, start: Option<&str>) -> Result<ObjectPage, StepError> {
        // Despite its name, `after-rev` takes the name of the last object on the previous page.
        let path = match start {
            None => kind_path(kind),
            Some(name) => kind_path(kind).query("after-rev", name),
        };
        let call = self.api.get(STEP, path);
        self.fetch(call, CALL_TIMEOUT).await?.decode(decode_page)
    }
}

/// Text after which the objects behind `name` are listed: the name itself if it can be sent.
fn start_behind(name: &[u8]) -> String {
    let text = leading_text(name);
    let fits = |(at, character): &(usize, char)| at + character.len_utf8() <= MAX_SENT_NAME;
    let sent = text.char_indices().take_while(fits);
    let mut start: String = sent.map(|(_, character)| character).collect();
    if start.len() < text.len() {
        start.push(char::MAX);
    } else if text.len() < name.len() {
        start.push(BEHIND_SURROGATES);
    }
    start
}

/// The text of a name up to the first half of a surrogate pair.
fn leading_text(name: &[u8]) -> &str {
    // An empty name has no parts.
    name.utf8_chunks().next().map(|chunk| chunk.valid()).unwrap_or_default()
}
