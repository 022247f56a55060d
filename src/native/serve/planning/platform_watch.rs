//! Reads rows, VMs and notices from the platform and spreads them to all daemons.
//!
//! Only the first few daemons of each availability zone, ranked by hash, poll the platform; the
//! others receive the items from them. The daemons need not agree on who polls: one daemon too many
//! costs a few calls, and if one is missing, its successor in the ranking notices that.
//!
//! Rows and VMs are versioned by the platform's era and its change counter. A platform that was
//! restored from a copy shows an older state in a new era. The daemons then keep their state for some
//! time, in which operators can write their edits again; after that they accept the platform's state.

use std::{collections::HashMap, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    errors::StepError,
    ids::SharedName,
    native::{
        cloud_api::messages::{ENTRY_SERVICE, ObjectEntry, VmEntry, VmList},
        cluster::{
            events::ClusterEvent,
            items::{ItemKind, SpreadItem},
            service::ClusterMessage,
        },
        serve::context::ServeContext,
    },
    store_position::{StoreEra, StorePosition},
};

/// Name of the service.
pub const NAME: &str = "platform-watch";
/// Kind of the objects that hold the table's rows.
pub const ROW_KIND: &str = "rows";
/// Number of daemons of each availability zone that poll the platform: with two, one may be
/// lost.
const WATCHERS: usize = 2;
/// Time between checks whether this daemon is to poll: short compared with the time until a daemon
/// that polled and was lost is removed from the members (5 s).
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time that operators have to repeat lost edits after the object API was restored from a copy.
const REPEAT_EDITS_TIME: Duration = Duration::from_secs(2);
/// How long a daemon that has just started waits for the table from its peers: enough for the first
/// handshakes and an exchange of summaries.
const PEER_TABLE_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call; each further failure doubles it. Short, so that a single failure causes
/// little delay.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest pause after failed calls. It bounds how late the end of an outage is noticed.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Time between checks while a daemon that has just started waits for its peers: a fifth of that
/// wait.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Runs the service.
pub async fn run(context: Rc<ServeContext>) {
    let rows = watch_rows(context.clone());
    let vms = watch_vms(context.clone());
    let notices = watch_notices(context);
    tokio::join!(rows, vms, notices);
}

/// Pause that grows with consecutive failures.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: BACKOFF_MIN }
    }

    fn reset(&mut self) {
        self.next = BACKOFF_MIN;
    }

    async fn wait(&mut self, error: &StepError) {
        spdlog::warn!("platform call failed: {}", error, kv: { service = NAME });
        sleep(self.next).await;
        self.next = (self.next * 2).min(BACKOFF_MAX);
    }
}

fn has_role(context: &ServeContext, role: &[u8]) -> bool {
    context.members().has_role(context.identity.incarnation, role, WATCHERS)
}

fn spread(context: &ServeContext, items: Vec<SpreadItem>) {
    if items.is_empty() {
        return;
    }
    let event = ClusterEvent::Items(None, items);
    if let Err(error) = context.cluster.send(ClusterMessage::Event(event)) {
        spdlog::error!("items not passed to the cluster service: {}", error, kv: { service = NAME });
    }
}

async fn watch_rows(context: Rc<ServeContext>) {
    let started_at = Instant::now();
    let mut backoff = Backoff::new();
    let mut position = None;
    loop {
        let alone = context.members().present_count() <= 1;
        let new = started_at.elapsed() < PEER_TABLE_WAIT && !context.settings.seeds.is_empty();
        if !has_role(&context, b"rows") || (alone && new) {
            position = None;
            sleep(ROLE_CHECK_INTERVAL.min(START_CHECK_INTERVAL)).await;
            continue;
        }
        let read = match position {
            None => list_rows(&context).await,
            Some(after) => watch_once(&context, after).await,
        };
        match read {
            Ok(next) => {
                backoff.reset();
                // A store that was restored from a copy may lack known changes, so list it again.
                // Newer known versions stay in use until then.
                position = Some(next)
                    .filter(|next| position.is_none_or(|before| can_continue(before, *next)));
            }
            Err(error) => {
                position = None;
                backoff.wait(&error).await;
            }
        }
    }
}

/// Whether the watch may continue from `next`, after it was at `before`.
fn can_continue(before: StorePosition, next: StorePosition) -> bool {
    next.era() == before.era() && next >= before
}

fn row_item(era: StoreEra, entry: ObjectEntry) -> SpreadItem {
    let version = StorePosition::new(era, entry.version).packed();
    match entry.value {
        Some(value) => SpreadItem::new(ItemKind::Row, entry.name, version, &value),
        None => SpreadItem::deleted(ItemKind::Row, entry.name, version),
    }
}

async fn known_versions(context: &ServeContext, kind: ItemKind) -> HashMap<SharedName, SpreadItem> {
    let items = context.cluster.ask(|reply| ClusterMessage::List { kind, reply }).await;
    // If the cluster service is overloaded, all listed items are spread again.
    let items = items.unwrap_or_default();
    items.into_iter().map(|item| (item.key.name.clone(), item)).collect()
}

/// Latest era among `known`; `None` if it is empty.
fn known_era(known: &HashMap<SharedName, SpreadItem>) -> Option<StoreEra> {
    known.values().map(|item| StorePosition::unpack(item.version).era()).max()
}

async fn list_rows(context: &ServeContext) -> Result<StorePosition, StepError> {
    let mut list = context.platform.list_objects(ROW_KIND).await?;
    let mut known = known_versions(context, ItemKind::Row).await;
    if known_era(&known).is_some_and(|known| known < list.era) {
        spdlog::warn!("object API restored from a copy", kv: { era: = list.era });
        sleep(REPEAT_EDITS_TIME).await;
        list = context.platform.list_objects(ROW_KIND).await?;
        known = known_versions(context, ItemKind::Row).await;
    }
    let position = StorePosition::new(list.era, list.revision);
    let mut items = Vec::new();
    for entry in list.entries {
        known.remove(&entry.name);
        items.push(row_item(list.era, entry));
    }
    // Known rows that are not listed were deleted, unless they are newer than the list.
    for (name, item) in known {
        if item.value.is_some() && item.version <= position.packed() {
            items.push(SpreadItem::deleted(ItemKind::Row, name, position.packed()));
        }
    }
    spread(context, items);
    Ok(position)
}

async fn watch_once(
    context: &ServeContext,
    after: StorePosition,
) -> Result<StorePosition, StepError> {
    let changes = context.platform.watch_objects(ROW_KIND, after.revision()).await?;
    let position = StorePosition::new(changes.era, changes.revision);
    // Changes of another era are ignored; the list that follows gives the state in that era.
    if position.era() == after.era() {
        let rows = changes.entries.into_iter().map(|entry| row_item(position.era(), entry));
        spread(context, rows.collect());
    }
    Ok(position)
}

async fn watch_vms(context: Rc<ServeContext>) {
    let mut backoff = Backoff::new();
    let mut newest = StorePosition::NONE;
    loop {
        if !has_role(&context, b"vms") {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match context.platform.list_vms().await {
            Ok(list) => {
                backoff.reset();
                let position = StorePosition::new(list.era, list.revision);
                if position >= newest {
                    newest = position;
                    apply_vms(&context, list).await;
                }
                sleep(VM_LIST_INTERVAL).await;
            }
            Err(error) => backoff.wait(&error).await,
        }
    }
}

/// Spreads the entries that differ from the known ones. Another daemon may have read and spread them
/// already.
async fn apply_vms(context: &ServeContext, list: VmList) {
    let version = StorePosition::new(list.era, list.revision).packed();
    let mut known = known_versions(context, ItemKind::Vm).await;
    let mut items = Vec::new();
    for vm in list.vms {
        if &*vm.service == ENTRY_SERVICE {
            let seed = ClusterEvent::Seed(vm.address.clone());
            // Lost if the cluster service is overloaded; the next list contains it again.
            let _ = context.cluster.send(ClusterMessage::Event(seed));
        }
        let before = known.remove(&vm.id);
        let same = before.and_then(|item| item.decode::<VmEntry>()).is_some_and(|old| old == vm);
        if !same {
            items.push(SpreadItem::new(ItemKind::Vm, vm.id.clone(), version, &vm));
        }
    }
    for (id, item) in known {
        if item.value.is_some() && item.version < version {
            items.push(SpreadItem::deleted(ItemKind::Vm, id, version));
        }
    }
    spread(context, items);
}

async fn watch_notices(context: Rc<ServeContext>) {
    let mut backoff = Backoff::new();
    // Sequence number and era of the newest notice.
    let mut newest = StorePosition::NONE;
    loop {
        if !has_role(&context, b"notices") {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match context.platform.watch_notices(newest.revision()).await {
            Ok(list) => {
                backoff.reset();
                if list.era != newest.era() {
                    // In a new era the numbering of notices starts again, so all are fetched.
                    newest = StorePosition::new(list.era, 0);
                    continue;
                }
                let mut items = Vec::new();
                for notice in list.notices {
                    newest = newest.max(StorePosition::new(list.era, notice.sequence));
                    items.push(SpreadItem::new(ItemKind::Notice, notice.vm.clone(), 1, &notice));
                }
                spread(&context, items);
            }
            Err(error) => backoff.wait(&error).await,
        }
    }
}
