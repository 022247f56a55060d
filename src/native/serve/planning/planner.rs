//! Service that holds and releases VMs, at one daemon at a time.
//!
//! A lease in the object API says which daemon plans. Its expiry is judged by watching
//! the lease object stay unchanged, on the watcher's own clock, so clocks need not
//! agree. Two planners at once (a holder paused over its lease) do no harm: the plan is
//! written conditionally before the cloud is asked, VMs are started under names that
//! both would choose, and a release follows a notice that anybody can carry out.

use std::{collections::HashMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    errors::{FailureCause, StepError},
    ids::SharedName,
    native::{
        cloud_api::{
            client::WriteCondition,
            messages::{PriceClass, PriceEntry, ReclaimNotice, StartOrder, VmEntry, VmState},
        },
        cluster::{
            events::ClusterEvent,
            items::{ItemKind, SpreadItem},
            service::ClusterMessage,
        },
        decide::fleet::{
            FleetAction, FleetPlace, FleetPlanner, FleetWeights, HeldVm, ServiceFleet,
        },
        options::rows::ServiceRow,
        serve::{
            context::ServeContext,
            services::limit_service::{LimitMessage, service_demand_name},
            timeline::EventKind,
        },
    },
};

/// Name of the service.
pub const NAME: &str = "planner";
const LEASE_KIND: &str = "leases";
const PLAN_KIND: &str = "plans";
/// Time between rounds.
const ROUND: Duration = Duration::from_secs(2);
/// How long a lease is good for after its last renewal.
const LEASE: Duration = Duration::from_secs(10);
/// Part of the lease left unused: for the pace of clocks.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// How long a watcher sees a lease unchanged before it takes it.
const LEASE_QUIET: Duration = Duration::from_secs(14);
/// How long a started VM may be missing from the lagging VM list.
const PENDING_KEEP_MS: u64 = 90_000;
/// Time between a notice that the planner gives and the release.
const RELEASE_NOTICE_MS: u64 = 60_000;
/// Share of an endpoint's concurrency that is planned for.
const UTILISATION: f64 = 0.7;
/// Tokens that a stream has computed when it is cut off, on the mean.
const STREAM_TOKENS: f64 = 300.0;
/// Recomputed tokens per cost unit, at a weight of one.
const TOKENS_PER_UNIT: f64 = 50_000.0;

/// Value of the lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    epoch: u64,
    renewal: u64,
}

/// One VM that a plan has asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PlannedVm {
    name: SharedName,
    zone: SharedName,
    class: PriceClass,
    asked_at_ms: u64,
}

/// Value of a service's plan: VMs asked for that the VM list may not show yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct FleetPlan {
    epoch: u64,
    pending: Vec<PlannedVm>,
}

/// The lease as this daemon knows it.
#[derive(Debug, Default)]
struct LeaseView {
    version: u64,
    seen_at: Option<Instant>,
    epoch: u64,
    renewal: u64,
    valid_until: Option<Instant>,
}

struct Planner {
    context: Rc<ServeContext>,
    lease: LeaseView,
    memory: FleetPlanner,
    prices: Vec<PriceEntry>,
}

/// Runs the service.
pub async fn run(context: Rc<ServeContext>) {
    let mut planner = Planner {
        context,
        lease: LeaseView::default(),
        memory: FleetPlanner::default(),
        prices: Vec::new(),
    };
    loop {
        sleep(ROUND).await;
        if planner.is_candidate()
            && let Err(error) = planner.round().await
        {
            spdlog::warn!("round failed: {}", error, kv: { service = NAME });
        }
    }
}

impl Planner {
    fn is_candidate(&self) -> bool {
        let own = self.context.identity.incarnation;
        !self.context.is_leaving() && self.context.members().has_role(own, b"planner", 1)
    }

    async fn round(&mut self) -> Result<(), StepError> {
        if !self.hold_lease().await? {
            return Ok(());
        }
        self.prices = self.context.platform.list_prices().await?;
        self.release_overdue().await?;
        let table = self.context.table();
        let mut rows: Vec<_> = table.services().cloned().collect();
        rows.sort_by(|left, right| left.name.cmp(&right.name));
        for row in rows {
            self.plan_service(&row).await?;
        }
        Ok(())
    }

    /// Whether the lease is good right now; checked again before every call to the cloud.
    fn holds(&self) -> bool {
        self.lease.valid_until.is_some_and(|until| Instant::now() + LEASE_MARGIN < until)
    }

    /// Takes or renews the lease; `false` while another daemon has it.
    async fn hold_lease(&mut self) -> Result<bool, StepError> {
        let entry = self.context.platform.read_object(LEASE_KIND, NAME).await?;
        let record =
            entry.value.and_then(|value| serde_json::from_value::<LeaseRecord>(value).ok());
        let own = self.context.identity.incarnation.to_string();
        let now = Instant::now();
        if self.lease.seen_at.is_none() || entry.version > self.lease.version {
            self.lease.version = entry.version;
            self.lease.seen_at = Some(now);
        }
        let mine = record.as_ref().is_some_and(|record| record.holder == own);
        let quiet = self.lease.seen_at.is_some_and(|seen| now - seen >= LEASE_QUIET);
        if !mine && record.is_some() && !quiet {
            self.lease.valid_until = None;
            return Ok(false);
        }
        let before = record.map_or(0, |record| record.epoch);
        self.lease.epoch = if mine { before } else { before + 1 };
        self.lease.renewal += 1;
        let record =
            LeaseRecord { holder: own, epoch: self.lease.epoch, renewal: self.lease.renewal };
        let condition = match entry.version {
            0 => WriteCondition::Absent,
            version => WriteCondition::Version(version),
        };
        // NOTE: counted from before the write was sent, not from its response.
        let asked_at = Instant::now();
        let value = json!(record);
        match self.context.platform.write_object(LEASE_KIND, NAME, &value, condition).await {
            Ok(receipt) => {
                self.lease.version = receipt.version;
                self.lease.seen_at = Some(asked_at);
                self.lease.valid_until = Some(asked_at + LEASE);
                if !mine {
                    self.note(format!("took the lease, epoch {}", self.lease.epoch));
                }
                Ok(self.holds())
            }
            Err(error) if error.cause == FailureCause::Conflict => {
                self.lease.valid_until = None;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    fn note(&self, detail: String) {
        let subject = self.context.identity.address.clone();
        self.context.note_subject(EventKind::Planned, &subject, detail);
    }

    async fn items(&self, kind: ItemKind) -> Vec<SpreadItem> {
        let items = self.context.cluster.ask(|reply| ClusterMessage::List { kind, reply }).await;
        items.unwrap_or_default()
    }

    async fn notices(&self) -> HashMap<SharedName, u64> {
        let notices = self.items(ItemKind::Notice).await;
        let notices = notices.iter().filter_map(SpreadItem::decode::<ReclaimNotice>);
        notices.map(|notice| (notice.vm, notice.gone_at_ms)).collect()
    }

    async fn vms(&self) -> Vec<VmEntry> {
        let vms = self.items(ItemKind::Vm).await;
        vms.iter().filter_map(SpreadItem::decode::<VmEntry>).collect()
    }

    /// Releases VMs whose notice is over but that are still listed: those that a planner
    /// gave the notice to, whichever planner that was.
    async fn release_overdue(&mut self) -> Result<(), StepError> {
        let notices = self.notices().await;
        let now_ms = crate::wall_clock_ms();
        for vm in self.vms().await {
            let over = notices.get(&vm.id).is_some_and(|gone_at| *gone_at < now_ms);
            if over && vm.state == VmState::Live && self.holds() {
                self.context.platform.release_vm(&vm.id).await?;
                self.note(format!("released {}", vm.name));
            }
        }
        Ok(())
    }

    async fn plan_service(&mut self, row: &ServiceRow) -> Result<(), StepError> {
        let entry = self.context.platform.read_object(PLAN_KIND, &row.name).await?;
        let plan = entry.value.and_then(|value| serde_json::from_value::<FleetPlan>(value).ok());
        let mut plan = plan.unwrap_or_default();
        if plan.epoch > self.lease.epoch {
            return Ok(());
        }
        let fleet = self.view(row, &mut plan).await;
        let actions = self.memory.decide(&fleet, &self.prices, Instant::now());
        let starts: Vec<PlannedVm> = actions.iter().filter_map(to_planned).collect();
        if !starts.is_empty() {
            plan.epoch = self.lease.epoch;
            plan.pending.extend(starts.iter().cloned());
            let condition = match entry.version {
                0 => WriteCondition::Absent,
                version => WriteCondition::Version(version),
            };
            // Written down before the cloud is asked.
            let value = json!(plan);
            self.context.platform.write_object(PLAN_KIND, &row.name, &value, condition).await?;
        }
        for start in starts {
            self.start(row, start).await;
        }
        for action in actions {
            if let FleetAction::Release { id } = action {
                self.give_notice(&id);
            }
        }
        Ok(())
    }

    async fn start(&mut self, row: &ServiceRow, vm: PlannedVm) {
        if !self.holds() {
            return;
        }
        let place = FleetPlace { zone: vm.zone.clone(), class: vm.class };
        let order = StartOrder {
            name: vm.name.clone(),
            zone: vm.zone,
            class: vm.class,
            service: row.name.clone(),
        };
        match self.context.platform.start_vm(&order).await {
            Ok(_) => {
                self.memory.started(&place);
                self.context.metrics.count("vms_started", 1);
                self.note(format!("started {}", vm.name));
            }
            Err(error) => {
                self.memory.refused(&place, Instant::now());
                self.context.metrics.count("vm_starts_refused", 1);
                self.note(format!("start of {} refused: {error}", vm.name));
            }
        }
    }

    /// Gives a VM a notice of the planner's own; its streams move off, and it is
    /// released when the notice is over.
    fn give_notice(&self, id: &SharedName) {
        let gone_at_ms = crate::wall_clock_ms() + RELEASE_NOTICE_MS;
        let notice = ReclaimNotice { sequence: 0, vm: id.clone(), gone_at_ms };
        let item = SpreadItem::new(ItemKind::Notice, id.clone(), 1, &notice);
        let event = ClusterEvent::Items(None, vec![item]);
        if self.context.cluster.send(ClusterMessage::Event(event)).is_ok() {
            self.note(format!("gave notice to {id}"));
        }
    }

    /// What there is of a service, and what its demand needs; forgets planned VMs that
    /// are listed by now or never came.
    async fn view(&self, row: &ServiceRow, plan: &mut FleetPlan) -> ServiceFleet {
        let notices = self.notices().await;
        let vms = self.vms().await;
        let vms: Vec<VmEntry> = vms.into_iter().filter(|vm| vm.service == row.name).collect();
        let now_ms = crate::wall_clock_ms();
        plan.pending.retain(|planned| {
            let listed = vms.iter().any(|vm| vm.name == planned.name);
            let place = FleetPlace { zone: planned.zone.clone(), class: planned.class };
            let expected = now_ms < planned.asked_at_ms + PENDING_KEEP_MS;
            !listed && expected && !self.memory.is_refused(&place, Instant::now())
        });
        let held: Vec<HeldVm> = vms
            .into_iter()
            .map(|vm| HeldVm {
                leaving: vm.state == VmState::Leaving || notices.contains_key(&vm.id),
                id: vm.id,
                name: vm.name,
                place: FleetPlace { zone: vm.zone, class: vm.class },
            })
            .collect();
        let required = self.required_vms(row).await.unwrap_or(held.len() as f64);
        ServiceFleet {
            service: row.name.clone(),
            required,
            bounds: (row.min_vms as usize, row.max_vms as usize),
            held,
            pending: plan.pending.iter().map(|planned| planned.name.clone()).collect(),
            weights: weights_of(row),
        }
    }

    /// VMs that the load over all daemons requires; `None` while it is not known.
    async fn required_vms(&self, row: &ServiceRow) -> Option<f64> {
        let averages = self.context.limits.ask(|reply| LimitMessage::Read { reply }).await.ok()?;
        let average = averages.get(&service_demand_name(&row.name))?;
        let daemons = self.context.members().present_count() as f64;
        Some(average * daemons / (f64::from(row.concurrency) * UTILISATION))
    }
}

fn to_planned(action: &FleetAction) -> Option<PlannedVm> {
    match action {
        FleetAction::Release { .. } => None,
        FleetAction::Start { name, place } => Some(PlannedVm {
            name: name.clone(),
            zone: place.zone.clone(),
            class: place.class,
            asked_at_ms: crate::wall_clock_ms(),
        }),
    }
}

/// Weights of a service, from its row.
pub fn weights_of(row: &ServiceRow) -> FleetWeights {
    let lost_tokens = f64::from(row.concurrency) * UTILISATION * STREAM_TOKENS;
    FleetWeights {
        shortage: row.shortage_cost,
        zone_loss: row.zone_loss_per_hour,
        replace_hours: row.replace_minutes / 60.0,
        reclaim: row.recompute_weight * lost_tokens / TOKENS_PER_UNIT,
    }
}
