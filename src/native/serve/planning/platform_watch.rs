//! Brings what the platform knows to the daemons: rows, VMs, notices.
//!
//! Only the first few daemons of each availability zone, by hash, ask the platform;
//! the others learn from them. Nobody agrees on who that is: one daemon too many costs
//! a few calls, one too few is noticed by its successor in the ranking.
//!
//! Rows and VMs are versioned by the platform's counter and its era. A platform that was restored from a
//! copy shows an older truth in a new era: operators have some time to write their edits again, in which
//! the daemons keep what they know; then the platform's word holds.

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
/// Daemons of each availability zone that ask the platform: one may be lost.
const WATCHERS: usize = 2;
/// Time between checks whether this daemon asks: short beside the removal of a lost watcher (5 s).
const ROLE_EVERY: Duration = Duration::from_millis(500);
/// Time between reads of the VM list.
const VMS_EVERY: Duration = Duration::from_secs(2);
/// Time in which operators write again what the object API has lost that was restored from a copy.
const WRITE_AGAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which a daemon that has just started waits for the table from its peers: a round of
/// greetings and an exchange of summaries.
const PEERS_FIRST: Duration = Duration::from_millis(1_500);
/// Pause after a failed call; each further failure doubles it. A single failed call delays little.
const PAUSE_FIRST: Duration = Duration::from_millis(200);
/// Longest pause after failed calls: how late the end of an outage is noticed.
const PAUSE_LONGEST: Duration = Duration::from_secs(5);

/// Time between checks while a daemon that has just started waits for its peers: a fifth of that
/// wait.
const START_CHECK_EVERY: Duration = Duration::from_millis(300);

/// Runs the service.
pub async fn run(context: Rc<ServeContext>) {
    let rows = watch_rows(context.clone());
    let vms = watch_vms(context.clone());
    let notices = watch_notices(context);
    tokio::join!(rows, vms, notices);
}

/// Pause that grows with failures in a row.
struct FailurePause {
    next: Duration,
}

impl FailurePause {
    fn new() -> Self {
        Self { next: PAUSE_FIRST }
    }

    fn reset(&mut self) {
        self.next = PAUSE_FIRST;
    }

    async fn wait(&mut self, error: &StepError) {
        spdlog::warn!("platform call failed: {}", error, kv: { service = NAME });
        sleep(self.next).await;
        self.next = (self.next * 2).min(PAUSE_LONGEST);
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
        spdlog::error!("items lost: {}", error, kv: { service = NAME });
    }
}

async fn watch_rows(context: Rc<ServeContext>) {
    let started_at = Instant::now();
    let mut pause = FailurePause::new();
    let mut position = None;
    loop {
        let alone = context.members().present_count() <= 1;
        let new = started_at.elapsed() < PEERS_FIRST && !context.settings.seeds.is_empty();
        if !has_role(&context, b"rows") || (alone && new) {
            position = None;
            sleep(ROLE_EVERY.min(START_CHECK_EVERY)).await;
            continue;
        }
        let read = match position {
            None => list_rows(&context).await,
            Some(after) => watch_once(&context, after).await,
        };
        match read {
            Ok(next) => {
                pause.reset();
                // A store that went back shows less than is known: list it anew. Newer versions
                // stay current meanwhile.
                position =
                    Some(next).filter(|next| position.is_none_or(|before| is_next(before, *next)));
            }
            Err(error) => {
                position = None;
                pause.wait(&error).await;
            }
        }
    }
}

/// Whether a watch may go on from `next` after one from `before`.
fn is_next(before: StorePosition, next: StorePosition) -> bool {
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
    // If the cluster service is overloaded, all that is listed is spread again.
    let items = items.unwrap_or_default();
    items.into_iter().map(|item| (item.key.name.clone(), item)).collect()
}

/// Era of the newest of `known`; none if there are none.
fn known_era(known: &HashMap<SharedName, SpreadItem>) -> Option<StoreEra> {
    known.values().map(|item| StorePosition::unpack(item.version).era()).max()
}

async fn list_rows(context: &ServeContext) -> Result<StorePosition, StepError> {
    let mut list = context.platform.list_objects(ROW_KIND).await?;
    let mut known = known_versions(context, ItemKind::Row).await;
    if known_era(&known).is_some_and(|known| known < list.era) {
        spdlog::warn!("object API restored from a copy", kv: { era: = list.era });
        sleep(WRITE_AGAIN_TIME).await;
        list = context.platform.list_objects(ROW_KIND).await?;
        known = known_versions(context, ItemKind::Row).await;
    }
    let position = StorePosition::new(list.era, list.revision);
    let mut items = Vec::new();
    for entry in list.entries {
        known.remove(&entry.name);
        items.push(row_item(list.era, entry));
    }
    // Rows that are known but not listed were deleted, unless they are newer than the list.
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
    // Of another era: a list tells what holds.
    if position.era() == after.era() {
        let rows = changes.entries.into_iter().map(|entry| row_item(position.era(), entry));
        spread(context, rows.collect());
    }
    Ok(position)
}

async fn watch_vms(context: Rc<ServeContext>) {
    let mut pause = FailurePause::new();
    let mut newest = StorePosition::NONE;
    loop {
        if !has_role(&context, b"vms") {
            sleep(ROLE_EVERY).await;
            continue;
        }
        match context.platform.list_vms().await {
            Ok(list) => {
                pause.reset();
                let position = StorePosition::new(list.era, list.revision);
                if position >= newest {
                    newest = position;
                    apply_vms(&context, list).await;
                }
                sleep(VMS_EVERY).await;
            }
            Err(error) => pause.wait(&error).await,
        }
    }
}

/// Spreads the entries that differ from what is known, whoever read them first.
async fn apply_vms(context: &ServeContext, list: VmList) {
    let version = StorePosition::new(list.era, list.revision).packed();
    let mut known = known_versions(context, ItemKind::Vm).await;
    let mut items = Vec::new();
    for vm in list.vms {
        if &*vm.service == ENTRY_SERVICE {
            let seed = ClusterEvent::Seed(vm.address.clone());
            // Lost if the cluster service is overloaded; the next list has it again.
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
    let mut pause = FailurePause::new();
    // Of the newest notice, and its era.
    let mut newest = StorePosition::NONE;
    loop {
        if !has_role(&context, b"notices") {
            sleep(ROLE_EVERY).await;
            continue;
        }
        match context.platform.watch_notices(newest.revision()).await {
            Ok(list) => {
                pause.reset();
                if list.era != newest.era() {
                    // Notices of another era are numbered anew: all of them are asked for.
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
            Err(error) => pause.wait(&error).await,
        }
    }
}
