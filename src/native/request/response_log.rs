//! The state of a request that changes while it runs: its tokens, holder and final outcome.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use tokio::sync::watch;

use super::{
    copy::{RequestCopy, RequestHolder, ResponseToken},
    outcome::FinalResponse,
};
use crate::ids::RequestName;

/// Progress of a request, published to the tasks that wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// Number of tokens known at this daemon.
    pub tokens: usize,
    /// Whether the request has ended.
    pub ended: bool,
    /// How often another daemon has taken the request over.
    pub takeovers: u32,
}

/// Tokens of a response, stored in one string: a shared string for each token took five times the
/// memory.
#[derive(Debug, Default)]
pub(super) struct TokenText {
    text: String,
    /// End of each token in `text`, in bytes.
    ends: Vec<u32>,
}

impl TokenText {
    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }

    pub(super) fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    fn start_of(&self, index: usize) -> usize {
        index.checked_sub(1).map_or(0, |before| self.ends[before] as usize)
    }

    pub(super) fn truncate(&mut self, length: usize) {
        if length < self.len() {
            self.text.truncate(self.start_of(length));
            self.ends.truncate(length);
        }
    }

    fn tokens_from(&self, first: usize) -> Vec<ResponseToken> {
        let mut start = self.start_of(first);
        let tokens = self.ends[first..].iter().map(|end| {
            let token = &self.text[start..*end as usize];
            start = *end as usize;
            ResponseToken::from(token)
        });
        tokens.collect()
    }
}

/// The state of a request that changes while it runs.
#[derive(Debug)]
pub(super) struct ResponseLog {
    pub(super) digest: [u8; 32],
    pub(super) takeovers: u32,
    pub(super) holder: RequestHolder,
    pub(super) tokens: TokenText,
    pub(super) response: Option<Arc<FinalResponse>>,
}

impl ResponseLog {
    pub(super) fn copy_from(&self, name: &RequestName, first_token: usize) -> RequestCopy {
        let first_token = first_token.min(self.tokens.len());
        RequestCopy {
            name: name.clone(),
            takeovers: self.takeovers,
            holder: self.holder.clone(),
            digest: Some(self.digest),
            call: None,
            first_token,
            tokens: self.tokens.tokens_from(first_token),
            response: self.response.clone(),
        }
    }

    pub(super) fn progress(&self) -> RequestProgress {
        let ended = self.response.is_some();
        RequestProgress { tokens: self.tokens.len(), ended, takeovers: self.takeovers }
    }
}

/// Read access to a request's state for tasks on the same thread. Reading each token through the
/// store's mailbox instead would cost two task switches per token.
#[derive(Debug)]
pub struct ResponseView {
    pub(super) name: RequestName,
    pub(super) log: Rc<RefCell<ResponseLog>>,
    pub(super) progress: watch::Receiver<RequestProgress>,
}

impl ResponseView {
    /// Current progress of the request.
    pub fn progress(&self) -> RequestProgress {
        self.log.borrow().progress()
    }

    /// State with the tokens from `first_token` on, without the call.
    pub fn copy_from(&self, first_token: usize) -> RequestCopy {
        self.log.borrow().copy_from(&self.name, first_token)
    }

    /// Waits until `condition` is true of the progress. Returns `false` if the record was removed.
    pub async fn wait_for(&mut self, condition: impl Fn(&RequestProgress) -> bool) -> bool {
        self.progress.wait_for(condition).await.is_ok()
    }
}
