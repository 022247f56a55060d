//! Service that owns the request store.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, MissedTickBehavior, interval},
};

use super::send_reply;
use crate::{
    ids::RequestName,
    kernel::ServiceInbox,
    native::request::{
        call::ClientCall,
        copy::{RequestCopy, ResponseToken},
        outcome::FinalResponse,
        response_log::ResponseView,
        store::{ClaimVerdict, OfferVerdict, RequestStore},
    },
};

/// Name of the service.
pub const NAME: &str = "requests";
/// Time between searches for expired records: short compared with the time for which records are
/// kept.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Size of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreGauge {
    /// Number of records.
    pub records: usize,
    /// Size of the records in bytes.
    pub bytes: usize,
}

/// Messages to the service.
#[derive(Debug)]
pub enum RequestMessage {
    /// A client requests `call` under `name`.
    Claim {
        /// Name.
        name: RequestName,
        /// Call.
        call: Arc<ClientCall>,
        /// Verdict.
        reply: oneshot::Sender<ClaimVerdict>,
    },
    /// This daemon takes the request over.
    TakeOver {
        /// Name.
        name: RequestName,
        /// State from which to continue, if the request is known.
        reply: oneshot::Sender<Option<RequestCopy>>,
    },
    /// A request that runs at this daemon has produced a token.
    Append {
        /// Name.
        name: RequestName,
        /// Take-overs before it was produced.
        takeovers: u32,
        /// Token.
        token: ResponseToken,
    },
    /// A request that ran at this daemon has ended.
    End {
        /// Name.
        name: RequestName,
        /// Take-overs before this run.
        takeovers: u32,
        /// Outcome.
        response: Arc<FinalResponse>,
    },
    /// A peer sends a copy, either complete or an update.
    Offer {
        /// Copy.
        copy: RequestCopy,
        /// Verdict.
        reply: oneshot::Sender<OfferVerdict>,
    },
    /// Reads the state with the tokens from `first_token` on.
    Read {
        /// Name.
        name: RequestName,
        /// First token wanted.
        first_token: usize,
        /// State, if the request is known.
        reply: oneshot::Sender<Option<RequestCopy>>,
    },
    /// Opens a live view of a request's state.
    View {
        /// Name.
        name: RequestName,
        /// View, if the request is known.
        reply: oneshot::Sender<Option<ResponseView>>,
    },
    /// Counts those that wait for a request's progress, including its driver.
    Watchers {
        /// Name.
        name: RequestName,
        /// Number.
        reply: oneshot::Sender<usize>,
    },
    /// Removes a request that was cancelled, or refused before it ran.
    Remove {
        /// Name.
        name: RequestName,
    },
    /// Reads the complete state of all requests that run at this daemon.
    Running {
        /// States.
        reply: oneshot::Sender<Vec<RequestCopy>>,
    },
    /// Reads the size of the store.
    Gauge {
        /// Size.
        reply: oneshot::Sender<StoreGauge>,
    },
}

/// Runs the service.
pub async fn run(mut inbox: ServiceInbox<RequestMessage>, mut store: RequestStore) {
    let mut expiry = interval(EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => handle(&mut store, message),
                None => return,
            },
            _ = expiry.tick() => store.expire(Instant::now()),
        }
    }
}
fn handle(store: &mut RequestStore, message: RequestMessage) {
    let now = Instant::now();
    match message {
        RequestMessage::Claim { name, call, reply } => {
            send_reply(reply, store.claim(&name, &call, now));
        }
        RequestMessage::TakeOver { name, reply } => {
            send_reply(reply, store.take_over(&name, now));
        }
        RequestMessage::Append { name, takeovers, token } => {
            // The store drops the token if the request has been taken over since. The driver sees the
            // take-over in the request's progress.
            store.append(&name, takeovers, token);
        }
        RequestMessage::End { name, takeovers, response } => {
            store.end(&name, takeovers, response, now);
        }
        RequestMessage::Offer { copy, reply } => {
            send_reply(reply, store.offer(copy, now));
        }
        RequestMessage::Read { name, first_token, reply } => {
            send_reply(reply, store.read(&name, first_token));
        }
        RequestMessage::View { name, reply } => {
            send_reply(reply, store.view(&name));
        }
        RequestMessage::Watchers { name, reply } => {
            send_reply(reply, store.watchers(&name));
        }
        RequestMessage::Remove { name } => store.remove(&name),
        RequestMessage::Running { reply } => {
            send_reply(reply, store.running());
        }
        RequestMessage::Gauge { reply } => {
            send_reply(reply, StoreGauge { records: store.record_count(), bytes: store.bytes() });
        }
    }
}
