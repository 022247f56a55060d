//! Service that carries out the cluster core's actions over the peer protocol and publishes new
//! items and the member list to other services.

mod messages;
mod tasks;

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval},
};

pub use super::service::{
    messages::{ClusterMessage, ItemVersions},
    tasks::newer_than,
};
use super::{
    core::ClusterCore,
    events::{ClusterAction, ClusterEvent},
    items::{ItemKey, ItemKind, SpreadItem},
    members::MemberList,
    service::tasks::{greet, probe, probe_via, synchronize},
};
use crate::{
    ids::SharedName,
    kernel::{ServiceAddress, ServiceInbox},
    native::{
        cloud_api::messages::{ENTRY_SERVICE, ReclaimNotice, VmEntry},
        options::rows::{TableRow, TableSnapshot},
        peer::client::PeerPool,
        serve::{
            services::{router::messages::RouterMessage, send_reply},
            timeline::{EventKind, TimelineHandle},
        },
    },
};

/// Name of the service.
pub const NAME: &str = "cluster";
/// Time between ticks of the core: short compared with every interval of the core.
const TICK: Duration = Duration::from_millis(50);
/// Idle time after which a connection to a peer is closed: longer than the interval of every
/// regular exchange.
const IDLE: Duration = Duration::from_secs(30);
/// Time between searches for idle connections: a third of `IDLE`.
const CLOSE_EVERY: Duration = Duration::from_secs(10);

/// The service's connections to peers and other services.
pub struct ClusterOutputs {
    /// Address of this service, to which its tasks report.
    pub address: ServiceAddress<ClusterMessage>,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Address of the router, which receives VMs and notices.
    pub router: ServiceAddress<RouterMessage>,
    /// Current table.
    pub table: watch::Sender<Arc<TableSnapshot>>,
    /// Current member list.
    pub members: watch::Sender<Rc<MemberList>>,
    /// Notice of this daemon's own VM.
    pub own_notice: watch::Sender<Option<ReclaimNotice>>,
    /// Timeline on which changes are recorded.
    pub timeline: TimelineHandle,
}

struct ClusterService {
    core: ClusterCore,
    outputs: ClusterOutputs,
    own_address: SharedName,
}

/// Runs the service.
pub async fn run(
    mut inbox: ServiceInbox<ClusterMessage>,
    core: ClusterCore,
    own_address: SharedName,
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
    fn handle(&mut self, message: ClusterMessage) {
        let items = self.core.items();
        match message {
            ClusterMessage::Event(event) => self.event(event),
            ClusterMessage::Summary { theirs, reply } => {
                let differing = items.differing(&theirs);
                let versions = items.versions_in(&differing);
                send_reply(reply, (differing, versions));
            }
            ClusterMessage::Versions { buckets, reply } => {
                send_reply(reply, items.versions_in(&buckets));
            }
            ClusterMessage::Fetch { keys, reply } => {
                let found = keys.iter().filter_map(|key| items.get(key).cloned()).collect();
                send_reply(reply, found);
            }
            ClusterMessage::List { kind, reply } => {
                send_reply(reply, items.of_kind(kind).cloned().collect());
            }
            ClusterMessage::Gauge { reply } => {
                send_reply(reply, (self.core.counters(), items.count(), items.bytes()));
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
                // Items that are lost here are sent again by the next exchange of summaries.
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
            &*entry.service == ENTRY_SERVICE && entry.address == self.own_address
        })
    }

    fn send_to_router(&self, message: RouterMessage) {
        if let Err(error) = self.outputs.router.send(message) {
            spdlog::error!("message to router not sent: {}", error, kv: { service = NAME });
        }
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
