//! One record of the request store.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use tokio::{sync::watch, time::Instant};

use crate::{
    ids::RequestName,
    native::request::{
        call::{CallContent, ClientCall},
        copy::{RequestCopy, RequestHolder, ResponseToken},
        response_log::{RequestProgress, ResponseLog, ResponseView},
    },
};

/// Bookkeeping bytes of a record, beside its texts.
const RECORD_BYTES: usize = 400;

#[derive(Debug)]
pub struct StoredRequest {
    /// The call, once a client brought it here.
    pub call: Option<Arc<ClientCall>>,
    /// What grows while it runs; shared with its readers.
    pub log: Rc<RefCell<ResponseLog>>,
    progress: watch::Sender<RequestProgress>,
    /// When it is forgotten, unless it runs here.
    pub expires_at: Instant,
    /// Bytes it takes, roughly.
    pub bytes: usize,
}

impl StoredRequest {
    /// Record of a request that is known from now on.
    pub fn new(call: Option<Arc<ClientCall>>, log: ResponseLog, expires_at: Instant) -> Self {
        let bytes = RECORD_BYTES + call.as_deref().map_or(0, content_bytes);
        let progress = watch::Sender::new(log.progress());
        Self { call, progress, log: Rc::new(RefCell::new(log)), expires_at, bytes }
    }

    /// Reading end of the record.
    pub fn view(&self, name: &RequestName) -> ResponseView {
        let progress = self.progress.subscribe();
        ResponseView { name: name.clone(), log: self.log.clone(), progress }
    }

    /// Number of clients and peers that wait on it.
    pub fn watchers(&self) -> usize {
        self.progress.receiver_count()
    }

    /// Whether the endpoint's response is complete; other ends may be followed by another
    /// try, since only requests that may be retried are stored.
    pub fn is_answered(&self) -> bool {
        self.log.borrow().response.as_ref().is_some_and(|response| response.is_answered())
    }

    /// Digest of the call.
    pub fn digest(&self) -> [u8; 32] {
        self.log.borrow().digest
    }

    /// Whether `holder` runs it.
    pub fn is_running_at(&self, holder: &RequestHolder) -> bool {
        let log = self.log.borrow();
        log.response.is_none() && log.holder == *holder
    }

    /// Whether `holder` runs it after so many take-overs.
    pub fn is_running_since(&self, holder: &RequestHolder, takeovers: u32) -> bool {
        self.is_running_at(holder) && self.log.borrow().takeovers == takeovers
    }

    /// State from a token on.
    pub fn copy_from(&self, name: &RequestName, first_token: usize) -> RequestCopy {
        let copy = self.log.borrow().copy_from(name, first_token);
        RequestCopy { call: self.call.clone(), ..copy }
    }

    /// Changes the state and wakes those who wait on it.
    pub fn change(&self, change: impl FnOnce(&mut ResponseLog)) {
        change(&mut self.log.borrow_mut());
        self.progress.send_replace(self.log.borrow().progress());
    }
}

/// Bytes that a token takes in a record.
pub fn token_bytes(token: &ResponseToken) -> usize {
    token.len() + size_of::<u32>()
}

fn content_bytes(call: &ClientCall) -> usize {
    match &call.content {
        CallContent::Completion(completion) => completion.prompt.len(),
        CallContent::Plain(plain) => plain.path.len() + plain.body.len(),
    }
}
