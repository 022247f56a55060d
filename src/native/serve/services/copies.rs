//! Service that copies the tokens of running requests to this daemon's partners.
//!
//! Ten times a second the updates of all requests go to each partner in one message. Copying thus
//! costs the tokens' bytes and a constant number of messages a second, regardless of the number of
//! requests and daemons. docs/design/copies.md compares the alternatives.

pub mod messages;

use std::{
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{copies::messages::CopyMessage, store_service::RequestMessage};
use crate::{
    ids::RequestName,
    kernel::{ServiceAddress, ServiceInbox},
    native::{
        cluster::events::PeerTarget,
        request::{
            copy::RequestCopy,
            response_log::{RequestProgress, ResponseView},
            store::OfferVerdict,
        },
        serve::context::ServeContext,
    },
};

/// Name of the service.
pub const NAME: &str = "copies";
/// Time between messages to one partner. Updates of this time are sent together.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of an update in addition to its name and tokens.
const FIELD_BYTES: usize = 64;
/// Directory entries are renewed after the time for which they are kept, divided by this, so that one
/// lost message does no harm.
const RENEWAL_DIVISOR: u32 = 3;

#[derive(Debug)]
struct TrackedCopy {
    view: ResponseView,
    /// Number of tokens sent to each partner. A partner without an entry has no tokens.
    sent: HashMap<PeerTarget, usize>,
    /// Progress when the partners were last sent an update.
    progress: Option<RequestProgress>,
    /// When the directory's entry was last renewed.
    renewed_at: Instant,
}

struct CopyService {
    context: Weak<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    tracked: HashMap<RequestName, TrackedCopy>,
}

/// Runs the service. `context` can be upgraded once the daemon is assembled.
pub async fn run(
    mut inbox: ServiceInbox<CopyMessage>,
    address: ServiceAddress<CopyMessage>,
    context: Weak<ServeContext>,
) {
    let mut service = CopyService { context, address, tracked: HashMap::new() };
    let mut flush = interval(FLUSH_INTERVAL);
    flush.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle(message).await,
                None => return,
            },
            _ = flush.tick() => service.flush(),
        }
    }
}

impl CopyService {
    async fn handle(&mut self, message: CopyMessage) {
        match message {
            CopyMessage::Track(name) => self.track(name).await,
            CopyMessage::Refused(target, names) => {
                let Some(context) = self.context.upgrade() else { return };
                for name in names {
                    if let Some(copy) = self.tracked.get_mut(&name) {
                        copy.sent.remove(&target);
                        copy.progress = None;
                        let check = check_superseded(context.clone(), target.clone(), name);
                        tokio::task::spawn_local(check);
                    }
                }
            }
            CopyMessage::Failed(target) => {
                // If it is still a partner at the next flush, it is sent everything again.
                for copy in self.tracked.values_mut() {
                    copy.sent.remove(&target);
                    copy.progress = None;
                }
            }
        }
    }

    async fn track(&mut self, name: RequestName) {
        let Some(context) = self.context.upgrade() else { return };
        let view = context.requests.ask(|reply| RequestMessage::View { name: name.clone(), reply });
        let Ok(Some(view)) = view.await else { return };
        let renewed_at = Instant::now();
        let copy = TrackedCopy { view, sent: HashMap::new(), progress: None, renewed_at };
        self.tracked.insert(name, copy);
    }

    fn flush(&mut self) {
        if self.tracked.is_empty() {
            return;
        }
        let Some(context) = self.context.upgrade() else { return };
        let own = context.identity.incarnation;
        let partners = context.partner_targets(own, context.settings.copies);
        let mut by_target: HashMap<PeerTarget, Vec<RequestCopy>> = HashMap::new();
        for (name, copy) in &mut self.tracked {
            let progress = copy.view.progress();
            let known = partners.iter().all(|partner| copy.sent.contains_key(partner));
            if copy.progress == Some(progress) && known {
                continue;
            }
            copy.progress = Some(progress);
            for partner in &partners {
                let sent = copy.sent.entry(partner.clone()).or_default();
                let update = copy.view.copy_from(*sent);
                *sent = update.first_token + update.tokens.len();
                by_target.entry(partner.clone()).or_default().push(update);
            }
            if copy.renewed_at.elapsed() > context.settings.answer_keep / RENEWAL_DIVISOR {
                copy.renewed_at = Instant::now();
                let entry = copy.view.copy_from(usize::MAX);
                tokio::task::spawn_local(renew_directory(context.clone(), name.clone(), entry));
            }
        }
        self.tracked.retain(|_, copy| !copy.progress.is_some_and(|progress| progress.ended));
        for (target, copies) in by_target {
            let bytes: usize = copies.iter().map(update_bytes).sum();
            context.metrics.count("copy_bytes", bytes as u64);
            context.metrics.count("copy_messages", 1);
            let send = send_updates(context.clone(), self.address.clone(), target, copies);
            tokio::task::spawn_local(send);
        }
    }
}

fn update_bytes(copy: &RequestCopy) -> usize {
    let tokens: usize = copy.tokens.iter().map(|token| token.len() + size_of::<u64>()).sum();
    FIELD_BYTES + copy.name.key.len() + copy.name.account.len() + tokens
}

async fn send_updates(
    context: Rc<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    target: PeerTarget,
    copies: Vec<RequestCopy>,
) {
    let message = match context.pool.append(&target, &copies).await {
        Ok(refused) if refused.is_empty() => return,
        Ok(refused) => CopyMessage::Refused(target, refused),
        // After any error the partner is sent everything again.
        Err(_) => CopyMessage::Failed(target),
    };
    // Fails if the copier is overloaded or has stopped. If it is overloaded, the partner refuses the
    // next update and is then sent the whole copy.
    let _ = address.send(message);
}

/// Checks, after a partner refused an update, whether the partner knows a later take-over.
async fn check_superseded(context: Rc<ServeContext>, target: PeerTarget, name: RequestName) {
    if let Ok(Some(known)) = context.pool.attach(&target, &name, 0, Duration::ZERO).await {
        supersede(&context, known).await;
    }
}

/// Renews the directory entry of a long-running request, so that it does not expire.
async fn renew_directory(context: Rc<ServeContext>, name: RequestName, entry: RequestCopy) {
    let entry = RequestCopy { first_token: 0, tokens: Vec::new(), ..entry };
    for target in context.directory_targets(&name) {
        if let Ok(Some(known)) = context.pool.offer(&target, &entry).await {
            supersede(&context, known).await;
        }
    }
}

/// Replaces the local state by a peer's state if the peer's takes precedence.
pub async fn supersede(context: &Rc<ServeContext>, known: RequestCopy) {
    let name = known.name.clone();
    let offer = context.requests.ask(|reply| RequestMessage::Offer { copy: known, reply });
    if matches!(offer.await, Ok(OfferVerdict::Stored)) {
        context.metrics.count("requests_superseded", 1);
        spdlog::info!("request state replaced by a peer's", kv: { service = NAME, request: = name });
    }
}
