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

/// Memory overhead of a record beside its texts, in bytes.
const RECORD_BYTES: usize = 400;

#[derive(Debug)]
pub struct StoredRequest {
    /// The call, if a client has sent it to this daemon.
    pub call: Option<Arc<ClientCall>>,
    /// The state that changes while the request runs; shared with its readers.
    pub log: Rc<RefCell<ResponseLog>>,
    progress: watch::Sender<RequestProgress>,
    /// When the record is removed, unless the request is running at this daemon.
    pub expires_at: Instant,
    /// Approximate memory use of the record, in bytes.
    pub bytes: usize,
}

impl StoredRequest {
    /// Creates the record of a new request.
    pub fn new(call: Option<Arc<ClientCall>>, log: ResponseLog, expires_at: Instant) -> Self {
        let bytes = RECORD_BYTES + call.as_deref().map_or(0, content_bytes);
        let progress = watch::Sender::new(log.progress());
        Self { call, progress, log: Rc::new(RefCell::new(log)), expires_at, bytes }
    }

    /// Returns read access to the record.
    pub fn view(&self, name: &RequestName) -> ResponseView {
        let progress = self.progress.subscribe();
        ResponseView { name: name.clone(), log: self.log.clone(), progress }
    }

    /// Number of clients and peers that wait for its progress.
    pub fn watchers(&self) -> usize {
        self.progress.receiver_count()
    }

    /// Whether the endpoint's response is complete. After any other outcome the request may be run
    /// again, since only requests that may be retried are stored.
    pub fn is_answered(&self) -> bool {
        self.log.borrow().response.as_ref().is_some_and(|response| response.is_answered())
    }

    /// Digest of the call.
    pub fn digest(&self) -> [u8; 32] {
        self.log.borrow().digest
    }

    /// Whether the request is running at `holder`.
    pub fn is_running_at(&self, holder: &RequestHolder) -> bool {
        let log = self.log.borrow();
        log.response.is_none() && log.holder == *holder
    }

    /// Whether the request is running at `holder` and has been taken over `takeovers` times.
    pub fn is_running_since(&self, holder: &RequestHolder, takeovers: u32) -> bool {
        self.is_running_at(holder) && self.log.borrow().takeovers == takeovers
    }

    /// State with the tokens from `first_token` on.
    pub fn copy_from(&self, name: &RequestName, first_token: usize) -> RequestCopy {
        let copy = self.log.borrow().copy_from(name, first_token);
        RequestCopy { call: self.call.clone(), ..copy }
    }

    /// Changes the state and wakes the tasks that wait for it.
    pub fn change(&self, change: impl FnOnce(&mut ResponseLog)) {
        change(&mut self.log.borrow_mut());
        self.progress.send_replace(self.log.borrow().progress());
    }
}

/// Memory that a token uses in a record, in bytes.
pub fn token_bytes(token: &ResponseToken) -> usize {
    token.len() + size_of::<u32>()
}

fn content_bytes(call: &ClientCall) -> usize {
    match &call.content {
        CallContent::Completion(completion) => completion.prompt.len(),
        CallContent::Plain(plain) => plain.path.len() + plain.body.len(),
    }
}
