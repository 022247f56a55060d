//! Service that keeps the copies of running requests at peers up to date.
//!
//! News of all requests for one peer go in one message every few milliseconds, so
//! copying costs tokens' bytes and a constant number of messages a second.

use std::{
    collections::{BTreeSet, HashMap},
    rc::{Rc, Weak},
    time::Duration,
};

use tokio::time::{MissedTickBehavior, interval};

use super::{context::ServeContext, store_service::RequestMessage};
use crate::{
    cluster::core::PeerTarget,
    ids::RequestName,
    kernel::{ServiceAddress, ServiceInbox},
    request::store::{OfferVerdict, RequestCopy},
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
    /// The request has news.
    Changed(RequestName),
    /// A peer could not take news of these requests: it needs them whole, or knows better.
    Refused(PeerTarget, Vec<RequestName>),
    /// A peer did not answer.
    Failed(PeerTarget),
}

#[derive(Debug)]
struct TrackedCopy {
    targets: Vec<(PeerTarget, usize)>,
}

struct CopyService {
    context: Weak<ServeContext>,
    address: ServiceAddress<CopyMessage>,
    tracked: HashMap<RequestName, TrackedCopy>,
    changed: BTreeSet<RequestName>,
}

/// Runs the service; `context` is set once the daemon is assembled.
pub async fn run(
    mut inbox: ServiceInbox<CopyMessage>,
    address: ServiceAddress<CopyMessage>,
    context: Weak<ServeContext>,
) {
    let mut service =
        CopyService { context, address, tracked: HashMap::new(), changed: BTreeSet::new() };
    let mut flush = interval(FLUSH_EVERY);
    flush.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle(message),
                None => return,
            },
            _ = flush.tick() => service.flush().await,
        }
    }
}

impl CopyService {
    fn handle(&mut self, message: CopyMessage) {
        match message {
            CopyMessage::Track { name, targets, tokens } => {
                let targets = targets.into_iter().map(|target| (target, tokens)).collect();
                self.tracked.insert(name.clone(), TrackedCopy { targets });
                self.changed.insert(name);
            }
            CopyMessage::Changed(name) => {
                if self.tracked.contains_key(&name) {
                    self.changed.insert(name);
                }
            }
            CopyMessage::Refused(target, names) => {
                let Some(context) = self.context.upgrade() else {
                    return;
                };
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

    /// Requests whose copy was at `target` get another copy holder.
    fn replace(&mut self, target: &PeerTarget) {
        let Some(context) = self.context.upgrade() else {
            return;
        };
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

    async fn flush(&mut self) {
        let Some(context) = self.context.upgrade() else {
            return;
        };
        let changed = std::mem::take(&mut self.changed);
        let mut by_target: HashMap<PeerTarget, Vec<RequestCopy>> = HashMap::new();
        for name in changed {
            let Some(tracked) = self.tracked.get_mut(&name) else {
                continue;
            };
            let oldest = tracked.targets.iter().map(|(_, sent)| *sent).min().unwrap_or(0);
            let read = context.requests.ask(|reply| RequestMessage::Read {
                name: name.clone(),
                first_token: oldest,
                reply,
            });
            let Ok(Some(news)) = read.await else {
                self.tracked.remove(&name);
                continue;
            };
            for (target, sent) in &mut tracked.targets {
                let copy = news_after(&news, *sent);
                *sent = copy.first_token + copy.tokens.len();
                by_target.entry(target.clone()).or_default().push(copy);
            }
            if news.answer.is_some() {
                self.tracked.remove(&name);
            }
        }
        for (target, copies) in by_target {
            let bytes: usize = copies.iter().map(news_bytes).sum();
            context.metrics.count("copy_bytes", bytes as u64);
            context.metrics.count("copy_messages", 1);
            let send = send_news(context.clone(), self.address.clone(), target, copies);
            tokio::task::spawn_local(send);
        }
    }
}

fn news_after(news: &RequestCopy, sent: usize) -> RequestCopy {
    let skipped = sent - news.first_token;
    RequestCopy {
        call: None,
        first_token: sent,
        tokens: news.tokens[skipped..].to_vec(),
        ..news.clone()
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
