//! Service that starts and releases VMs; it is active at one daemon at a time.
//!
//! A lease in the object API (`lease`) determines which daemon plans, and `decide::fleet` decides
//! which VMs to start and release. Two planners at once (a holder that was paused past its lease) do
//! no harm: the plan is written conditionally before the cloud is called; both choose the same names
//! for new VMs, and the cloud starts each name once; and a release only completes a notice, which any
//! planner may do. If the object API cannot be reached, nothing is started or released.

mod lease;
mod plan;

use std::{collections::HashMap, rc::Rc, time::Duration};

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::planner::{
    lease::{LeaseRecord, LeaseVerdict, LeaseView},
    plan::{FleetPlan, PlannedVm, to_planned, weights_of},
};
use crate::{
    errors::{FailureCause, StepError},
    ids::SharedName,
    native::{
        cloud_api::{
            client::WriteCondition,
            messages::{PriceEntry, ReclaimNotice, VmEntry, VmStartRequest, VmState},
        },
        cluster::{
            events::ClusterEvent,
            items::{ItemKind, SpreadItem},
            service::ClusterMessage,
        },
        decide::fleet::{FleetAction, FleetPlace, FleetPlanner, HeldVm, ServiceFleet},
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
/// Time between two rounds of planning.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Time between the planner's notice to a VM and its release: longer than a response with the most
/// tokens usually takes.
const RELEASE_NOTICE_MS: u64 = 60_000;
/// Fraction of an endpoint's concurrency that is planned to be in use. The rest is for load that
/// arrives while a VM starts.
const UTILISATION: f64 = 0.7;

struct Planner {
    context: Rc<ServeContext>,
    lease: LeaseView,
    state: FleetPlanner,
    prices: Vec<PriceEntry>,
}

/// Runs the service.
pub async fn run(context: Rc<ServeContext>) {
    let mut planner = Planner {
        context,
        lease: LeaseView::default(),
        state: FleetPlanner::default(),
        prices: Vec::new(),
    };
    loop {
        sleep(ROUND_INTERVAL).await;
        if planner.is_candidate()
            && let Err(error) = planner.round().await
        {
            spdlog::warn!("planning round failed: {}", error, kv: { service = NAME });
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

    /// Acquires or renews the lease; `false` while another daemon holds it.
    async fn hold_lease(&mut self) -> Result<bool, StepError> {
        let entry = self.context.platform.read_object(LEASE_KIND, NAME).await?;
        let record = entry.value.and_then(LeaseRecord::decode);
        let own = self.context.identity.incarnation.to_string();
        let now = Instant::now();
        self.lease.observe(entry.version, now);
        let verdict = self.lease.decide(record.as_ref(), &own, now);
        let epoch = match verdict {
            LeaseVerdict::HeldByOther => {
                self.lease.lose();
                return Ok(false);
            }
            LeaseVerdict::Renew { epoch } | LeaseVerdict::Acquire { epoch } => epoch,
        };
        let record = self.lease.next_record(own, epoch);
        // The lease starts before the write is sent, not when its response arrives.
        let sent_at = Instant::now();
        let condition = condition_of(entry.version);
        let value = json!(record);
        match self.context.platform.write_object(LEASE_KIND, NAME, &value, condition).await {
            Ok(receipt) => {
                self.lease.hold(receipt.version, sent_at);
                if matches!(verdict, LeaseVerdict::Acquire { .. }) {
                    self.record_planned(format!("took the lease, epoch {epoch}"));
                }
                Ok(self.lease.is_held(Instant::now()))
            }
            Err(error) if error.cause == FailureCause::Conflict => {
                self.lease.lose();
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether the lease is valid now; checked again before every call to the cloud.
    fn holds_lease(&self) -> bool {
        self.lease.is_held(Instant::now())
    }

    fn record_planned(&self, detail: String) {
        let subject = self.context.identity.address.clone();
        self.context.record_subject_event(EventKind::Planned, &subject, detail);
    }

    async fn items(&self, kind: ItemKind) -> Vec<SpreadItem> {
        let items = self.context.cluster.ask(|reply| ClusterMessage::List { kind, reply }).await;
        items.unwrap_or_else(|error| {
            spdlog::warn!("items not read from the cluster service: {}", error, kv: { service = NAME });
            Vec::new()
        })
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

    /// Releases VMs that are still listed after their notice has expired: those whose notice came
    /// from a planner, no matter which one.
    async fn release_overdue(&mut self) -> Result<(), StepError> {
        let notices = self.notices().await;
        let now_ms = crate::wall_clock_ms();
        for vm in self.vms().await {
            let over = notices.get(&vm.id).is_some_and(|gone_at| *gone_at < now_ms);
            if over && vm.state == VmState::Live && self.holds_lease() {
                self.context.platform.release_vm(&vm.id).await?;
                self.record_planned(format!("released {}", vm.name));
            }
        }
        Ok(())
    }

    async fn plan_service(&mut self, row: &ServiceRow) -> Result<(), StepError> {
        let entry = self.context.platform.read_object(PLAN_KIND, &row.name).await?;
        let mut plan = entry.value.map_or_else(FleetPlan::default, FleetPlan::decode);
        if plan.epoch > self.lease.epoch() {
            return Ok(());
        }
        let fleet = self.collect_fleet(row, &mut plan).await;
        let actions = self.state.decide(&fleet, &self.prices, Instant::now());
        let starts: Vec<PlannedVm> = actions.iter().filter_map(to_planned).collect();
        if !starts.is_empty() {
            plan.epoch = self.lease.epoch();
            plan.pending.extend(starts.iter().cloned());
            let condition = condition_of(entry.version);
            // The plan is stored before the cloud is called.
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
        if !self.holds_lease() {
            return;
        }
        let place = vm.place();
        let order = VmStartRequest {
            name: vm.name.clone(),
            zone: vm.zone,
            class: vm.class,
            service: row.name.clone(),
        };
        match self.context.platform.start_vm(&order).await {
            Ok(_) => {
                self.state.started(&place);
                self.context.metrics.count("vms_started", 1);
                self.record_planned(format!("started {}", vm.name));
            }
            Err(error) => {
                self.state.refused(&place, Instant::now());
                self.context.metrics.count("vm_starts_refused", 1);
                self.record_planned(format!("start of {} refused: {error}", vm.name));
            }
        }
    }

    /// Gives notice to a VM on the planner's own decision. Its streams leave it or finish there,
    /// and it is released when the notice has expired.
    fn give_notice(&self, id: &SharedName) {
        let gone_at_ms = crate::wall_clock_ms() + RELEASE_NOTICE_MS;
        let notice = ReclaimNotice { sequence: 0, vm: id.clone(), gone_at_ms };
        let item = SpreadItem::new(ItemKind::Notice, id.clone(), 1, &notice);
        let event = ClusterEvent::Items(None, vec![item]);
        if self.context.cluster.send(ClusterMessage::Event(event)).is_ok() {
            self.record_planned(format!("gave notice to {id}"));
        }
    }

    /// Collects a service's VMs and the number that its demand requires. Removes planned VMs that are
    /// listed by now, were refused or have not appeared in time.
    async fn collect_fleet(&self, row: &ServiceRow, plan: &mut FleetPlan) -> ServiceFleet {
        let notices = self.notices().await;
        let vms = self.vms().await;
        let vms: Vec<VmEntry> = vms.into_iter().filter(|vm| vm.service == row.name).collect();
        let now_ms = crate::wall_clock_ms();
        plan.pending.retain(|planned| {
            let listed = vms.iter().any(|vm| vm.name == planned.name);
            let refused = self.state.is_refused(&planned.place(), Instant::now());
            !listed && planned.is_expected(now_ms) && !refused
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

    /// Number of VMs that the load of all daemons requires; `None` while the load is not known.
    async fn required_vms(&self, row: &ServiceRow) -> Option<f64> {
        let averages = self.context.limits.ask(|reply| LimitMessage::Read { reply }).await.ok()?;
        let average = averages.get(&service_demand_name(&row.name))?;
        let daemons = self.context.members().present_count() as f64;
        Some(average * daemons / (f64::from(row.concurrency) * UTILISATION))
    }
}

fn condition_of(version: u64) -> WriteCondition {
    match version {
        0 => WriteCondition::Absent,
        version => WriteCondition::Version(version),
    }
}
