//! Service that keeps the copies of running requests at peers up to date.
//!
//! News of all requests for one peer go in one message every few milliseconds, so
//! copying costs tokens' bytes and a constant number of messages a second.

use std::{
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use tokio::time::{MissedTickBehavior, interval};

use super::{context::ServeContext, store_service::RequestMessage};
use crate::{
    cluster::core::PeerTarget,
    ids::RequestName,
    kernel::{ServiceAddress, ServiceInbox},
    request::store::{AnswerView, OfferVerdict, RequestCopy, RequestProgress},
};

/// Name of the service.
pub const NAME: &str = "copies";
/// Time between messages to one peer.
const FLUSH_EVERY: Duration = Duration::from_millis(40);

/// What the service is told.
#[derive(Debug)]
pub enum CopyMessage {
    /// The peers have the request whole, up to `tokens`.
    Track {
        /// Request.
        name: RequestName,
        /// Peers that keep it.
        targets: Vec<PeerTarget>,
        /// Tokens they have.
        tokens: usize,
    },
    /// A peer could not take news of these requests: it needs them whole, or knows better.
    Refused(PeerTarget, Vec<RequestName>),
    /// A peer did not answer.
    Failed(PeerTarget),
}

#[derive(Debug)]
struct TrackedCopy {
    view: AnswerView,
    /// Peers, with the number of tokens that each has been sent.
    targets: Vec<(PeerTarget, usize)>,
    /// Progress when the peers were last sent news.
    sent: RequestProgress,
}

struct CopyService {
    context: Weak<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    tracked: HashMap<RequestName, TrackedCopy>,
}

/// Runs the service; `context` is set once the daemon is assembled.
pub async fn run(
    mut inbox: ServiceInbox<CopyMessage>,
    address: ServiceAddress<CopyMessage>,
    context: Weak<ServeContext>,
) {
    let mut service = CopyService { context, address, tracked: HashMap::new() };
    let mut flush = interval(FLUSH_EVERY);
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
            CopyMessage::Track { name, targets, tokens } => {
                self.track(name, targets, tokens).await;
            }
            CopyMessage::Refused(target, names) => {
                let Some(context) = self.context.upgrade() else { return };
                for name in names {
                    if self.tracked.contains_key(&name) {
                        let repair = offer_again(context.clone(), target.clone(), name);
                        tokio::task::spawn_local(repair);
                    }
                }
            }
            CopyMessage::Failed(target) => self.replace(&target),
        }
    }

    async fn track(&mut self, name: RequestName, targets: Vec<PeerTarget>, tokens: usize) {
        let Some(context) = self.context.upgrade() else { return };
        let view = context.requests.ask(|reply| RequestMessage::View { name: name.clone(), reply });
        let Ok(Some(view)) = view.await else { return };
        let targets = targets.into_iter().map(|target| (target, tokens)).collect();
        let sent = RequestProgress::default();
        self.tracked.insert(name, TrackedCopy { view, targets, sent });
    }

    /// Requests whose copy was at `target` get another copy holder.
    fn replace(&mut self, target: &PeerTarget) {
        let Some(context) = self.context.upgrade() else { return };
        for (name, copy) in &mut self.tracked {
            let before = copy.targets.len();
            copy.targets.retain(|(held, _)| held != target);
            if copy.targets.len() < before {
                let kept: Vec<PeerTarget> =
                    copy.targets.iter().map(|(target, _)| target.clone()).collect();
                let failed = target.clone();
                let address = self.address.clone();
                let place = place_again(context.clone(), address, name.clone(), kept, failed);
                tokio::task::spawn_local(place);
            }
        }
    }

    fn flush(&mut self) {
        let Some(context) = self.context.upgrade() else { return };
        let mut by_target: HashMap<PeerTarget, Vec<RequestCopy>> = HashMap::new();
        for copy in self.tracked.values_mut() {
            let progress = copy.view.progress();
            if progress == copy.sent {
                continue;
            }
            copy.sent = progress;
            for (target, sent) in &mut copy.targets {
                let news = copy.view.copy_from(*sent);
                *sent = news.first_token + news.tokens.len();
                by_target.entry(target.clone()).or_default().push(news);
            }
        }
        self.tracked.retain(|_, copy| !copy.sent.ended);
        for (target, copies) in by_target {
            let bytes: usize = copies.iter().map(news_bytes).sum();
            context.metrics.count("copy_bytes", bytes as u64);
            context.metrics.count("copy_messages", 1);
            let send = send_news(context.clone(), self.address.clone(), target, copies);
            tokio::task::spawn_local(send);
        }
    }
}

fn news_bytes(copy: &RequestCopy) -> usize {
    const FIELDS: usize = 64;
    let tokens: usize = copy.tokens.iter().map(|token| token.len() + size_of::<u64>()).sum();
    FIELDS + copy.name.key.len() + copy.name.account.len() + tokens
}

async fn send_news(
    context: Rc<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    target: PeerTarget,
    copies: Vec<RequestCopy>,
) {
    let message = match context.pool.append(&target, &copies).await {
        Ok(refused) if refused.is_empty() => return,
        Ok(refused) => CopyMessage::Refused(target, refused),
        Err(_) => CopyMessage::Failed(target),
    };
    // NOTE: the service ends only with the daemon.
    let _ = address.send(message);
}

/// Offers a request whole; if the peer knows a later term, this daemon is superseded.
async fn offer_again(context: Rc<ServeContext>, target: PeerTarget, name: RequestName) {
    let read = context.requests.ask(|reply| RequestMessage::Read { name, first_token: 0, reply });
    let Ok(Some(copy)) = read.await else { return };
    if let Ok(Some(known)) = context.pool.offer(&target, &copy).await {
        supersede(&context, known).await;
    }
}

/// Takes over what a peer knows, if that goes before what is known here.
pub async fn supersede(context: &Rc<ServeContext>, known: RequestCopy) {
    let name = known.name.clone();
    let offer = context.requests.ask(|reply| RequestMessage::Offer { copy: known, reply });
    if matches!(offer.await, Ok(OfferVerdict::Stored)) {
        context.metrics.count("requests_superseded", 1);
        spdlog::info!("superseded", kv: { service = NAME, request: = name });
    }
}

async fn place_again(
    context: Rc<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    name: RequestName,
    kept: Vec<PeerTarget>,
    failed: PeerTarget,
) {
    let read = context.requests.ask(|reply| RequestMessage::Read {
        name: name.clone(),
        first_token: 0,
        reply,
    });
    let Ok(Some(copy)) = read.await else { return };
    let placed = context.copy_targets(&name);
    let fresh = placed.into_iter().find(|target| !kept.contains(target) && *target != failed);
    let mut targets = kept;
    if let Some(fresh) = fresh
        && let Ok(None) = context.pool.offer(&fresh, &copy).await
    {
        targets.push(fresh);
    }
    let tokens = copy.tokens.len();
    // NOTE: those that were kept may have a few tokens more (they skip what they know)
    // or fewer (they refuse the news and are offered the whole).
    let _ = address.send(CopyMessage::Track { name, targets, tokens });
}
