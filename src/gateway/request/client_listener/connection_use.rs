//! What a connection of a client is used for at the moment, and how it answers a wish to close it.

use std::{cell::Cell, rc::Rc};

use tokio::{sync::Notify, time::Instant};

use super::connection_end::ConnectionEnd;
use crate::{boot_clock, gateway::policy::daemon::client_connections::ConnectionStage};

/// What a connection is used for.
#[derive(Debug)]
pub struct ConnectionUse {
    /// Whether a request is being handled or its response is being passed on.
    is_busy: Cell<bool>,
    /// Whether a request has begun.
    had_request: Cell<bool>,
    /// Whether a request's body has not been read to its end.
    has_unread_body: Cell<bool>,
    /// Whether the HTTP library has begun to write and not flushed since.
    has_unsent: Cell<bool>,
    /// Whether it has had its last response.
    is_ending: Cell<bool>,
    /// When the last response ended, or the connection began.
    idle_since: Cell<Instant>,
    /// When the first byte of a head arrived that is not complete.
    head_since: Cell<Option<Instant>>,
    /// Whether bytes of a further request have arrived behind the one that runs.
    has_next: Cell<bool>,
    /// When a request began whose body is not complete.
    body_since: Cell<Option<Instant>>,
    /// Whether it has to be closed for another one.
    is_closing: Cell<bool>,
    close_asked: Notify,
    /// Whether the request whose body arrives has to be refused.
    gives_way: Cell<bool>,
    gave_way: Notify,
    /// Why it ends, as soon as that is known.
    end_cause: Cell<Option<ConnectionEnd>>,
}

impl ConnectionUse {
    /// Use of a connection that begins.
    pub fn starting_at(now: Instant) -> Self {
        Self {
            is_busy: Cell::default(),
            had_request: Cell::default(),
            has_unread_body: Cell::default(),
            has_unsent: Cell::default(),
            is_ending: Cell::default(),
            idle_since: Cell::new(now),
            head_since: Cell::default(),
            has_next: Cell::default(),
            body_since: Cell::default(),
            is_closing: Cell::default(),
            close_asked: Notify::new(),
            gives_way: Cell::default(),
            gave_way: Notify::new(),
            end_cause: Cell::default(),
        }
    }

    /// Marks the connection as busy until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestEnd {
        self.is_busy.set(true);
        self.had_request.set(true);
        self.gives_way.set(false);
        self.head_since.set(None);
        self.has_next.set(false);
        RequestEnd(self.clone())
    }

    fn end_request(&self) {
        let now = boot_clock::now();
        self.is_busy.set(false);
        self.gives_way.set(false);
        self.idle_since.set(now);
        if self.has_next.get() {
            self.head_since.set(Some(now));
        }
    }

    /// Bytes have arrived.
    pub fn bytes_arrived(&self) {
        if self.is_busy.get() {
            let is_behind = self.body_since.get().is_none() && !self.has_unread_body.get();
            self.has_next.set(self.has_next.get() || is_behind);
        } else if self.head_since.get().is_none() {
            self.head_since.set(Some(boot_clock::now()));
        }
    }

    /// Whether bytes of a further request have arrived behind the one that runs.
    pub fn has_next(&self) -> bool {
        self.has_next.get()
    }

    /// The body of a request begins to be read.
    pub fn begin_body(&self) {
        self.body_since.set(Some(boot_clock::now()));
    }

    /// The body of a request is complete, or is read no further.
    pub fn end_body(&self, is_whole: bool) {
        self.body_since.set(None);
        self.has_unread_body.set(!is_whole);
    }

    /// Whether the HTTP library has begun to write and not flushed since.
    pub fn has_unsent(&self) -> bool {
        self.has_unsent.get()
    }

    /// The HTTP library has begun to write.
    pub fn begin_write(&self) {
        self.has_unsent.set(true);
    }

    /// Everything that the HTTP library wrote has been given to the kernel.
    pub fn end_write(&self) {
        if self.has_unsent.replace(false) && !self.is_busy.get() {
            self.idle_since.set(boot_clock::now());
        }
    }

    /// The connection has had its last response.
    pub fn end(&self) {
        self.is_ending.set(true);
        self.idle_since.set(boot_clock::now());
    }

    /// Records why the connection ends; the first cause counts, others follow from it.
    pub fn set_end(&self, cause: ConnectionEnd) {
        let first = self.end_cause.get().unwrap_or(cause);
        self.end_cause.set(Some(first));
    }

    /// Why the connection ends, if it does.
    pub fn end_cause(&self) -> Option<ConnectionEnd> {
        self.end_cause.get()
    }

    /// Whether a request is being handled or its response is being passed on.
    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Whether a request has begun.
    pub fn had_request(&self) -> bool {
        self.had_request.get()
    }

    /// Whether a request's body has not been read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// When the last response ended, or the connection began.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// When the first byte of a head arrived that is not complete.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// Asks the connection's task to close it for another one, unless that was done.
    pub fn ask_to_close(&self) {
        if !self.is_closing.replace(true) {
            self.close_asked.notify_one();
        }
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn close_asked(&self) {
        self.close_asked.notified().await;
    }

    /// What a connection does that is asked to close for another one; `has_unread` says whether bytes wait in its
    /// socket.
    pub fn make_room(&self, has_unread: bool) -> RoomAnswer {
        self.is_closing.set(false);
        match self.stage().0 {
            ConnectionStage::Ending => RoomAnswer::Close,
            ConnectionStage::New | ConnectionStage::Idle if !has_unread => RoomAnswer::Close,
            ConnectionStage::Body => {
                self.gives_way.set(true);
                self.gave_way.notify_one();
                RoomAnswer::Stay
            }
            ConnectionStage::New | ConnectionStage::Idle | ConnectionStage::Running => {
                RoomAnswer::Stay
            }
        }
    }

    /// Waits until the request whose body arrives has to be refused.
    pub async fn gave_way(&self) {
        while !self.gives_way.get() {
            self.gave_way.notified().await;
        }
    }

    /// What the connection is used for, and since when.
    pub fn stage(&self) -> (ConnectionStage, Instant) {
        let idle_since = self.idle_since.get();
        match (self.body_since.get(), self.is_busy.get(), self.had_request.get()) {
            _ if self.is_ending.get() => (ConnectionStage::Ending, idle_since),
            _ if self.has_unsent.get() => (ConnectionStage::Running, idle_since),
            _ if self.gives_way.get() => (ConnectionStage::Running, idle_since),
            (Some(since), _, _) => (ConnectionStage::Body, since),
            (None, true, _) => (ConnectionStage::Running, idle_since),
            (None, false, true) => (ConnectionStage::Idle, idle_since),
            (None, false, false) => (ConnectionStage::New, idle_since),
        }
    }
}

/// What a connection does that is asked to close for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomAnswer {
    /// It closes.
    Close,
    /// It stays open, since a request has begun on it. One whose body arrives is refused first.
    Stay,
}

/// When dropped, marks the connection as idle: with the response's body, or before there is one.
pub struct RequestEnd(Rc<ConnectionUse>);

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
