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
/// Time between searches for records that have expired: short beside the time for which records are
/// kept.
const EXPIRE_EVERY: Duration = Duration::from_millis(500);

/// Size of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreGauge {
    /// Records.
    pub records: usize,
    /// Bytes.
    pub bytes: usize,
}

/// What the service is asked.
#[derive(Debug)]
pub enum RequestMessage {
    /// A client asks for `call` under `name`.
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
        /// State to go on from.
        reply: oneshot::Sender<Option<RequestCopy>>,
    },
    /// A token has been produced here.
    Append {
        /// Name.
        name: RequestName,
        /// Take-overs before it was produced.
        takeovers: u32,
        /// Token.
        token: ResponseToken,
    },
    /// A request that ran here has ended.
    End {
        /// Name.
        name: RequestName,
        /// Take-overs before it ran.
        takeovers: u32,
        /// Outcome.
        response: Arc<FinalResponse>,
    },
    /// A peer's copy, whole or an update.
    Offer {
        /// Copy.
        copy: RequestCopy,
        /// Verdict.
        reply: oneshot::Sender<OfferVerdict>,
    },
    /// State from a token on.
    Read {
        /// Name.
        name: RequestName,
        /// First token wanted.
        first_token: usize,
        /// State, if known.
        reply: oneshot::Sender<Option<RequestCopy>>,
    },
    /// Reading end of a request's state.
    View {
        /// Name.
        name: RequestName,
        /// Reading end, if known.
        reply: oneshot::Sender<Option<ResponseView>>,
    },
    /// Number of those who wait on a request.
    Watchers {
        /// Name.
        name: RequestName,
        /// Number.
        reply: oneshot::Sender<usize>,
    },
    /// Forget a request that was refused before it ran.
    Remove {
        /// Name.
        name: RequestName,
    },
    /// Whole state of all requests that run here.
    Running {
        /// States.
        reply: oneshot::Sender<Vec<RequestCopy>>,
    },
    /// Size of the store.
    Gauge {
        /// Size.
        reply: oneshot::Sender<StoreGauge>,
    },
}

/// Runs the service.
pub async fn run(mut inbox: ServiceInbox<RequestMessage>, mut store: RequestStore) {
    let mut expiry = interval(EXPIRE_EVERY);
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
            // After a later take-over the token is dropped; its driver learns of it from the
            // progress.
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
