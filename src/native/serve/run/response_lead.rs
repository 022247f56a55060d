//! Which of a request's runs its client gets, while several of them are in progress.
//!
//! The first run that has the next token leads, and its tokens are the response's. A run that has been
//! overtaken adds none, so that the client gets the tokens of one run at a time.

use std::cell::{Cell, Ref, RefCell};

use tokio::sync::watch;

use crate::{ids::AttemptId, native::request::copy::ResponseToken};

/// State of a request's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadState {
    /// The newest run has sent no token yet, but has not been silent for long.
    Awaited,
    /// The newest run has been silent for too long, or has failed.
    Silent,
    /// This run has sent the newest token.
    Led(AttemptId),
}

/// Tokens of a response, and the state of the runs that produce them.
#[derive(Debug)]
pub struct ResponseLead {
    tokens: RefCell<Vec<ResponseToken>>,
    newest: Cell<Option<AttemptId>>,
    state: watch::Sender<LeadState>,
}

impl ResponseLead {
    /// Lead of a response of which `tokens` are known.
    pub fn new(tokens: Vec<ResponseToken>) -> Self {
        Self {
            tokens: RefCell::new(tokens),
            newest: Cell::new(None),
            state: watch::Sender::new(LeadState::Awaited),
        }
    }

    /// Tokens so far.
    pub fn tokens(&self) -> Ref<'_, Vec<ResponseToken>> {
        self.tokens.borrow()
    }

    /// Current state.
    pub fn state(&self) -> LeadState {
        *self.state.borrow()
    }

    /// Records that a run begins.
    pub fn begin(&self, run: AttemptId) {
        self.newest.set(Some(run));
        self.state.send_replace(LeadState::Awaited);
    }

    /// Records that a run has been silent for too long, or has failed.
    pub fn set_silent(&self, run: AttemptId) {
        if self.newest.get() == Some(run) {
            self.state.send_replace(LeadState::Silent);
        }
    }

    /// Whether another run has sent a token since this one began, or was silent.
    pub fn is_overtaken(&self, run: AttemptId) -> bool {
        matches!(self.state(), LeadState::Led(leading) if leading != run)
    }

    /// Adds a token of a run that has not been overtaken, which leads from now on.
    pub fn add(&self, run: AttemptId, token: ResponseToken) {
        self.tokens.borrow_mut().push(token);
        self.newest.set(Some(run));
        self.state.send_replace(LeadState::Led(run));
    }

    /// Waits until the newest run is silent for too long.
    pub async fn silence(&self) {
        let mut state = self.state.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _ = state.wait_for(|state| *state == LeadState::Silent).await;
    }

    /// Waits until a run leads, and returns it.
    pub async fn leader(&self) -> AttemptId {
        let mut state = self.state.subscribe();
        loop {
            if let LeadState::Led(run) = *state.borrow_and_update() {
                return run;
            }
            // Can't fail: the sender lives as long as `self`.
            let _ = state.changed().await;
        }
    }
}
