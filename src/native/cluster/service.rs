//! Service that carries out the cluster core's actions over the peers' protocol and
//! publishes what it learns.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::{oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    core::ClusterCore,
    events::{ClusterAction, ClusterCounters, ClusterEvent, PeerTarget},
    items::{ItemKey, ItemKind, SpreadItem},
    members::MemberList,
};
use crate::{
    errors::{FailureCause, StepError},
    kernel::{ServiceAddress, ServiceInbox},
    native::{
        cloud_api::messages::{ReclaimNotice, VmEntry},
        options::rows::{TableRow, TableSnapshot},
        peer::client::PeerPool,
        serve::{
            services::router::messages::RouterMessage,
            timeline::{EventKind, TimelineHandle},
        },
    },
};

/// Name of the service.
pub const NAME: &str = "cluster";
/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Idle connections to peers are closed after this time.
const IDLE: Duration = Duration::from_secs(30);
const CLOSE_EVERY: Duration = Duration::from_secs(10);

/// Names and versions of items.
pub type ItemVersions = Vec<(ItemKey, u64)>;

/// What the service is asked.
#[derive(Debug)]
pub enum ClusterMessage {
    /// Something has happened.
    Event(ClusterEvent),
    /// A peer sends its summary.
    Summary {
        /// Its bucket hashes.
        theirs: Vec<u64>,
        /// Differing buckets and the versions in them.
        reply: oneshot::Sender<(Vec<usize>, ItemVersions)>,
    },
    /// Versions in some buckets.
    Versions {
        /// Buckets.
        buckets: Vec<usize>,
        /// Versions.
        reply: oneshot::Sender<ItemVersions>,
    },
    /// Items that are wanted.
    Fetch {
        /// Their names.
        keys: Vec<ItemKey>,
        /// Those known.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// All items of a kind.
    List {
        /// Kind.
        kind: ItemKind,
        /// Items.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// Counters, number of items, their bytes.
    Gauge {
        /// Numbers.
        reply: oneshot::Sender<(ClusterCounters, usize, usize)>,
    },
}

/// What the service publishes to and works with.
pub struct ClusterOutputs {
    /// Own address, for tasks that report back.
    pub address: ServiceAddress<ClusterMessage>,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Router, which is told of VMs and notices.
    pub router: ServiceAddress<RouterMessage>,
    /// Table in force.
    pub table: watch::Sender<Arc<TableSnapshot>>,
    /// Member list in force.
    pub members: watch::Sender<Rc<MemberList>>,
    /// Notice of this daemon's own VM.
    pub own_notice: watch::Sender<Option<ReclaimNotice>>,
    /// Time line.
    pub timeline: TimelineHandle,
}

struct ClusterService {
    core: ClusterCore,
    outputs: ClusterOutputs,
    own_address: crate::ids::SharedName,
}

/// Runs the service.
pub async fn run(
    mut inbox: ServiceInbox<ClusterMessage>,
    core: ClusterCore,
    own_address: crate::ids::SharedName,
    outputs: ClusterOutputs,
) {
    let mut service = ClusterService { core, outputs, own_address };
    service.publish_members();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut close = interval(CLOSE_EVERY);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle(message),
                None => return,
            },
            _ = tick.tick() => service.event(ClusterEvent::Tick),
            _ = close.tick() => service.outputs.pool.close_idle(IDLE),
        }
    }
}

impl ClusterService {
    // NOTE: whoever asked may have gone meanwhile; then the reply is not wanted any more.
    fn handle(&mut self, message: ClusterMessage) {
        let items = self.core.items();
        match message {
            ClusterMessage::Event(event) => self.event(event),
            ClusterMessage::Summary { theirs, reply } => {
                let differing = items.differing(&theirs);
                let versions = items.versions_in(&differing);
                let _ = reply.send((differing, versions));
            }
            ClusterMessage::Versions { buckets, reply } => {
                let _ = reply.send(items.versions_in(&buckets));
            }
            ClusterMessage::Fetch { keys, reply } => {
                let found = keys.iter().filter_map(|key| items.get(key).cloned()).collect();
                let _ = reply.send(found);
            }
            ClusterMessage::List { kind, reply } => {
                let _ = reply.send(items.of_kind(kind).cloned().collect());
            }
            ClusterMessage::Gauge { reply } => {
                let _ = reply.send((self.core.counters(), items.count(), items.bytes()));
            }
        }
    }

    fn event(&mut self, event: ClusterEvent) {
        let actions = self.core.on(Instant::now(), event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: ClusterAction) {
        let pool = self.outputs.pool.clone();
        let address = self.outputs.address.clone();
        match action {
            ClusterAction::Greet(peer) => spawn(greet(pool, address, peer)),
            ClusterAction::Probe(target) => spawn(probe(pool, address, target)),
            ClusterAction::ProbeVia(helpers, target) => {
                spawn(probe_via(pool, address, helpers, target));
            }
            ClusterAction::Push(target, items) => spawn(async move {
                // NOTE: what is lost here is found by the next exchange of summaries.
                let _ = pool.push(&target, &items).await;
            }),
            ClusterAction::Sync(target) => {
                let summary = self.core.items().summary().to_vec();
                spawn(synchronize(pool, address, target, summary));
            }
            ClusterAction::MembersChanged => self.publish_members(),
            ClusterAction::Changed(items) => self.publish_items(&items),
        }
    }

    fn publish_members(&self) {
        let members = self.core.members().clone();
        self.outputs.members.send_replace(Rc::new(members));
    }

    fn publish_items(&self, items: &[SpreadItem]) {
        for item in items {
            match item.key.kind {
                ItemKind::Row => {
                    let detail = format!("version {}", item.version);
                    let subject = Some(item.key.name.clone());
                    self.outputs.timeline.record(EventKind::RowInForce, subject, detail);
                }
                ItemKind::Vm => self.publish_vm(item),
                ItemKind::Notice => self.publish_notice(item),
                ItemKind::Member => {
                    let (refutation, status) = super::members::split_version(item.version);
                    let detail = format!("{status:?} after {refutation} refutations");
                    let subject = Some(item.key.name.clone());
                    self.outputs.timeline.record(EventKind::Member, subject, detail);
                }
            }
        }
        if items.iter().any(|item| item.key.kind == ItemKind::Row) {
            self.publish_table();
        }
    }

    fn publish_table(&self) {
        let rows = self.core.items().of_kind(ItemKind::Row);
        let rows = rows.filter_map(SpreadItem::decode::<TableRow>);
        self.outputs.table.send_replace(Arc::new(TableSnapshot::new(rows)));
    }

    fn publish_vm(&self, item: &SpreadItem) {
        let entry = item.decode::<VmEntry>();
        let id = item.key.name.clone();
        self.send_to_router(RouterMessage::Vm { id, entry });
    }

    fn publish_notice(&self, item: &SpreadItem) {
        let Some(notice) = item.decode::<ReclaimNotice>() else { return };
        let detail = format!("gone at {}", notice.gone_at_ms);
        self.outputs.timeline.record(EventKind::Notice, Some(notice.vm.clone()), detail);
        if self.is_own_vm(&notice) {
            self.outputs.own_notice.send_replace(Some(notice.clone()));
        }
        self.send_to_router(RouterMessage::Notice(notice));
    }

    fn is_own_vm(&self, notice: &ReclaimNotice) -> bool {
        let key = ItemKey { kind: ItemKind::Vm, name: notice.vm.clone() };
        let entry = self.core.items().get(&key).and_then(SpreadItem::decode::<VmEntry>);
        entry.is_some_and(|entry| {
            &*entry.service == crate::native::cloud_api::messages::ENTRY_SERVICE
                && entry.address == self.own_address
        })
    }

    fn send_to_router(&self, message: RouterMessage) {
        if let Err(error) = self.outputs.router.send(message) {
            spdlog::error!("router not told: {}", error, kv: { service = NAME });
        }
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}

// NOTE: while the daemon stops, the service may be gone before its tasks.
fn report(address: &ServiceAddress<ClusterMessage>, event: ClusterEvent) {
    let _ = address.send(ClusterMessage::Event(event));
}

async fn greet(
    pool: PeerPool,
    address: ServiceAddress<ClusterMessage>,
    peer: crate::ids::SharedName,
) {
    match pool.greet(&peer).await {
        Ok(greeted) => {
            report(&address, ClusterEvent::Greeted(greeted.incarnation, greeted.record));
        }
        Err(error) => {
            spdlog::debug!("greeting failed: {}", error, kv: { service = NAME, peer: = peer });
        }
    }
}

fn is_refused(error: &StepError) -> bool {
    matches!(error.cause, FailureCause::Unreachable(_))
}

async fn probe(pool: PeerPool, address: ServiceAddress<ClusterMessage>, target: PeerTarget) {
    let incarnation = target.incarnation;
    let event = match pool.probe(&target).await {
        Ok(()) => ClusterEvent::ProbeAnswered(incarnation),
        Err(error) if matches!(error.cause, FailureCause::Refused(_)) => {
            ClusterEvent::Replaced(incarnation)
        }
        Err(error) => ClusterEvent::ProbeFailed(incarnation, is_refused(&error)),
    };
    report(&address, event);
}

async fn probe_via(
    pool: PeerPool,
    address: ServiceAddress<ClusterMessage>,
    helpers: Vec<PeerTarget>,
    target: PeerTarget,
) {
    let asked = helpers.iter().map(|helper| pool.probe_via(helper, &target));
    let answers = futures::future::join_all(asked).await;
    let alive = answers.iter().any(|answer| matches!(answer, Ok(true)));
    if alive {
        report(&address, ClusterEvent::ProbeAnswered(target.incarnation));
        return;
    }
    let refused = pool.probe(&target).await.is_err_and(|error| is_refused(&error));
    report(&address, ClusterEvent::HelpersFailed(target.incarnation, refused));
}

/// Exchanges summaries, then fetches what is newer there and sends what is newer here.
async fn synchronize(
    pool: PeerPool,
    address: ServiceAddress<ClusterMessage>,
    target: PeerTarget,
    summary: Vec<u64>,
) {
    let Ok((buckets, theirs)) = pool.summary(&target, summary).await else { return };
    if buckets.is_empty() {
        return;
    }
    let own = address.ask(|reply| ClusterMessage::Versions { buckets, reply }).await;
    let Ok(own) = own else { return };
    let wanted = newer_than(&theirs, &own);
    if !wanted.is_empty() {
        let Ok(items) = pool.fetch(&target, wanted).await else { return };
        report(&address, ClusterEvent::Items(Some(target.incarnation), items));
    }
    let surplus: Vec<ItemKey> = newer_than(&own, &theirs).into_iter().map(|(key, _)| key).collect();
    if !surplus.is_empty() {
        let items = address.ask(|reply| ClusterMessage::Fetch { keys: surplus, reply }).await;
        let Ok(items) = items else { return };
        let _ = pool.push(&target, &items).await;
    }
}

/// Entries of `left` that are newer than in `right`, or missing there.
pub fn newer_than(left: &ItemVersions, right: &ItemVersions) -> ItemVersions {
    let known: std::collections::HashMap<&ItemKey, u64> =
        right.iter().map(|(key, version)| (key, *version)).collect();
    let newer =
        left.iter().filter(|(key, version)| known.get(key).is_none_or(|known| known < version));
    newer.cloned().collect()
}
