//! Stand-in of the platform: object API, cloud API, lagging VM list, weight store.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

use super::{
    object_store::{ObjectStore, StoreCondition},
    reply,
};
use crate::{
    errors::StepError,
    http::{ResponseBody, server},
    ids::SharedName,
    kernel::LifePhase,
    native::cloud_api::messages::{
        NoticeList, ObjectEntry, PriceClass, PriceEntry, ReclaimNotice, StartOrder, VmEntry,
        VmList, VmState, WriteReceipt,
    },
};

/// Writes a second that the object API takes.
const WRITES_PER_S: f64 = 100.0;
/// Reads a second that the object API takes.
const READS_PER_S: f64 = 2_000.0;
/// Loads a second that the weight store takes.
const WEIGHTS_PER_S: f64 = 2.0;

/// Service of VMs in the starting list that are not held yet, but can be started.
const SPARE_SERVICE: &str = "spare";

/// Fault switches of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call of object and cloud API fails.
    pub outage: bool,
    /// Extra time each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes to come that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of reads to come that show the store as it was `stale_by` revisions ago.
    pub stale_reads: u32,
    /// How far back a stale read goes.
    pub stale_by: u64,
    /// How late the VM list is, in milliseconds.
    pub list_lag_ms: u64,
    /// Zones in which starts are refused.
    pub refuse_starts: Vec<SharedName>,
}

/// Calls since the start.
#[derive(Clone, Debug, Default, Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
    cloud: u64,
    limited: u64,
}

/// Refills at a rate and is drawn from call by call.
struct RateGate {
    per_second: f64,
    level: f64,
    filled_at: Instant,
}

impl RateGate {
    fn new(per_second: f64) -> Self {
        Self { per_second, level: per_second, filled_at: Instant::now() }
    }

    fn admit(&mut self) -> bool {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        self.level = (self.level + elapsed * self.per_second).min(self.per_second);
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}

/// Body of `POST /reclaim`: one VM or a whole zone.
#[derive(Debug, Deserialize)]
struct ReclaimOrder {
    vm: Option<SharedName>,
    zone: Option<SharedName>,
    seconds: f64,
}

struct PlatformState {
    store: ObjectStore,
    faults: PlatformFaults,
    counts: CallCounts,
    writes: RateGate,
    reads: RateGate,
    weights: RateGate,
    vms: Vec<VmEntry>,
    /// Earlier VM lists with the time each became true.
    history: VecDeque<(Instant, VmList)>,
    list_revision: u64,
    notices: Vec<ReclaimNotice>,
    prices: Vec<PriceEntry>,
    free_addresses: HashMap<SharedName, Vec<SharedName>>,
    started: u64,
}

#[derive(Clone)]
struct Platform {
    state: Rc<RefCell<PlatformState>>,
    changed: watch::Sender<u64>,
}

/// Serves the platform at `address` until `phase` stops it.
pub async fn run(
    address: SocketAddr,
    vms: Vec<VmEntry>,
    phase: watch::Receiver<LifePhase>,
) -> Result<(), StepError> {
    let listener = server::bind(address).await?;
    let platform = Platform::new(vms);
    server::serve(listener, phase, move |request| {
        let platform = platform.clone();
        async move { platform.answer(request).await }
    })
    .await;
    Ok(())
}

impl Platform {
    fn new(vms: Vec<VmEntry>) -> Self {
        let prices = default_prices(&vms);
        let (spare, vms): (Vec<VmEntry>, Vec<VmEntry>) =
            vms.into_iter().partition(|vm| &*vm.service == SPARE_SERVICE);
        let mut free_addresses: HashMap<SharedName, Vec<SharedName>> = HashMap::new();
        for vm in spare {
            free_addresses.entry(vm.zone).or_default().push(vm.address);
        }
        let mut state = PlatformState {
            store: ObjectStore::default(),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            writes: RateGate::new(WRITES_PER_S),
            reads: RateGate::new(READS_PER_S),
            weights: RateGate::new(WEIGHTS_PER_S),
            prices,
            vms,
            history: VecDeque::new(),
            list_revision: 0,
            notices: Vec::new(),
            free_addresses,
            started: 0,
        };
        state.record_list();
        Self { state: Rc::new(RefCell::new(state)), changed: watch::Sender::new(0) }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().clone();
        match parts.as_slice() {
            ["faults"] => return self.set_faults(request).await,
            ["stats"] => return reply::json(StatusCode::OK, &self.state.borrow().counts),
            ["reclaim"] => return self.reclaim(request).await,
            ["gone", id] => return self.gone(id),
            _ => {}
        }
        let faults = self.state.borrow().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&method, parts.as_slice()) {
            (&Method::GET, ["objects", kind]) => self.list(kind),
            (&Method::GET, ["objects", kind, name]) => self.read(kind, name),
            (&Method::PUT | &Method::DELETE, ["objects", kind, name]) => {
                self.write(kind, name, request).await
            }
            (&Method::GET, ["watch", kind]) => self.watch(kind, &request).await,
            (&Method::GET, ["vms"]) => self.list_vms(),
            (&Method::POST, ["vms"]) => self.start_vm(request).await,
            (&Method::DELETE, ["vms", id]) => self.gone(id),
            (&Method::GET, ["notices"]) => self.notices(&request).await,
            (&Method::GET, ["prices"]) => reply::json(StatusCode::OK, &self.state.borrow().prices),
            (&Method::GET, ["weights", _]) => self.load_weights(),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let current = self.state.borrow().faults.clone();
        match reply::change_faults(request, &current).await {
            Ok(faults) => {
                let answer = reply::json(StatusCode::OK, &faults);
                self.state.borrow_mut().faults = faults;
                // Watches that wait see an outage at once.
                self.notify();
                answer
            }
            Err(refusal) => refusal,
        }
    }

    fn admit_read(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.counts.reads += 1;
        let admitted = state.reads.admit();
        state.counts.limited += u64::from(!admitted);
        admitted
    }

    fn list(&self, kind: &str) -> Response<ResponseBody> {
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let mut state = self.state.borrow_mut();
        if let Some(horizon) = state.stale_horizon() {
            return reply::json(StatusCode::OK, &state.store.list_as_of(kind, horizon));
        }
        reply::json(StatusCode::OK, &state.store.list(kind))
    }

    fn read(&self, kind: &str, name: &str) -> Response<ResponseBody> {
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let mut state = self.state.borrow_mut();
        if let Some(horizon) = state.stale_horizon() {
            let old = state.store.list_as_of(kind, horizon);
            let entry = old.entries.into_iter().find(|entry| &*entry.name == name);
            let absent = ObjectEntry { name: name.into(), version: 0, value: None };
            return reply::json(StatusCode::OK, &entry.unwrap_or(absent));
        }
        reply::json(StatusCode::OK, &state.store.read(kind, name))
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let condition = match (
            reply::header(&request, "if-none-match"),
            reply::header(&request, "if-match").and_then(|text| text.parse().ok()),
        ) {
            (Some(_), _) => StoreCondition::Absent,
            (None, Some(version)) => StoreCondition::Version(version),
            (None, None) => StoreCondition::Any,
        };
        let value = match *request.method() {
            Method::DELETE => None,
            _ => match reply::read_json::<Value>(request).await {
                Some(value) => Some(value),
                None => return reply::empty(StatusCode::BAD_REQUEST),
            },
        };
        let mut state = self.state.borrow_mut();
        state.counts.writes += 1;
        if !state.writes.admit() {
            state.counts.limited += 1;
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let written = state.store.write(kind, name, value, condition);
        let lost = written.is_ok() && state.faults.lose_answers > 0;
        if lost {
            state.faults.lose_answers -= 1;
        }
        drop(state);
        self.notify();
        match written {
            Ok(_) if lost => reply::lost(),
            Ok(version) => reply::json(StatusCode::OK, &WriteReceipt { version }),
            Err(current) => reply::json(StatusCode::PRECONDITION_FAILED, &current),
        }
    }

    async fn watch(&self, kind: &str, request: &Request<Incoming>) -> Response<ResponseBody> {
        self.state.borrow_mut().counts.watches += 1;
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let query = reply::query(request);
        let after = query.get("after").copied().unwrap_or(0);
        let found = || {
            let state = self.state.borrow();
            let changes = state.store.changes(kind, after);
            (!changes.entries.is_empty() || state.faults.outage).then_some(changes)
        };
        let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
        let changes = self.wait_for(found, wait).await;
        if self.state.borrow().faults.outage {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let changes = changes.unwrap_or_else(|| self.state.borrow().store.changes(kind, after));
        reply::json(StatusCode::OK, &changes)
    }

    async fn wait_for<T>(&self, found: impl Fn() -> Option<T>, wait: Duration) -> Option<T> {
        let mut changed = self.changed.subscribe();
        let waiting = async {
            loop {
                if let Some(value) = found() {
                    return value;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        timeout(wait, waiting).await.ok()
    }

    fn list_vms(&self) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        state.counts.cloud += 1;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let seen = state.history.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        let list = seen.or(state.history.front()).map(|(_, list)| list.clone());
        reply::json(StatusCode::OK, &list)
    }

    async fn start_vm(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(order) = reply::read_json::<StartOrder>(request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        state.counts.cloud += 1;
        if let Some(existing) = state.vms.iter().find(|vm| vm.name == order.name) {
            return reply::json(StatusCode::OK, existing);
        }
        if state.faults.refuse_starts.contains(&order.zone) {
            return reply::empty(StatusCode::CONFLICT);
        }
        let free = state.free_addresses.get_mut(&order.zone).and_then(Vec::pop);
        let Some(address) = free else { return reply::empty(StatusCode::CONFLICT) };
        state.started += 1;
        let vm = VmEntry {
            id: format!("vm-s{}", state.started).into(),
            name: order.name,
            address,
            zone: order.zone,
            class: order.class,
            service: order.service,
            state: VmState::Live,
        };
        state.vms.push(vm.clone());
        state.record_list();
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &vm)
    }

    fn gone(&self, id: &str) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        if let Some(index) = state.vms.iter().position(|vm| &*vm.id == id) {
            let vm = state.vms.remove(index);
            state.free_addresses.entry(vm.zone).or_default().push(vm.address);
            state.record_list();
        }
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &json!({}))
    }

    async fn reclaim(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(order) = reply::read_json::<ReclaimOrder>(request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        let chosen = |vm: &&mut VmEntry| {
            order.vm.as_ref().is_some_and(|id| *id == vm.id)
                || order.zone.as_ref().is_some_and(|zone| *zone == vm.zone)
        };
        let mut leaving = Vec::new();
        for vm in state.vms.iter_mut().filter(chosen) {
            vm.state = VmState::Leaving;
            leaving.push(vm.id.clone());
        }
        let gone_at_ms = crate::wall_clock_ms() + (order.seconds * 1000.0) as u64;
        for vm in &leaving {
            let sequence = state.notices.len() as u64 + 1;
            state.notices.push(ReclaimNotice { sequence, vm: vm.clone(), gone_at_ms });
        }
        state.record_list();
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &leaving)
    }

    async fn notices(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        self.state.borrow_mut().counts.cloud += 1;
        let query = reply::query(request);
        let after = query.get("after").copied().unwrap_or(0) as usize;
        let found = || {
            let state = self.state.borrow();
            let newer = state.notices.get(after..).unwrap_or_default().to_vec();
            (!newer.is_empty()).then_some(newer)
        };
        let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
        let notices = self.wait_for(found, wait).await.unwrap_or_default();
        reply::json(StatusCode::OK, &NoticeList { notices })
    }

    fn load_weights(&self) -> Response<ResponseBody> {
        let admitted = self.state.borrow_mut().weights.admit();
        let status = if admitted { StatusCode::OK } else { StatusCode::TOO_MANY_REQUESTS };
        reply::json(status, &json!({ "admitted": admitted }))
    }
}

impl PlatformState {
    /// Revision that the next read shows, if it is to be a stale one.
    fn stale_horizon(&mut self) -> Option<u64> {
        if self.faults.stale_reads == 0 {
            return None;
        }
        self.faults.stale_reads -= 1;
        Some(self.store.revision().saturating_sub(self.faults.stale_by))
    }

    fn record_list(&mut self) {
        const HISTORY: usize = 256;
        self.list_revision += 1;
        let list = VmList { revision: self.list_revision, vms: self.vms.clone() };
        self.history.push_back((Instant::now(), list));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}

fn default_prices(vms: &[VmEntry]) -> Vec<PriceEntry> {
    const ON_DEMAND: f64 = 1.0;
    const RECLAIMABLE: f64 = 0.3;
    let mut zones: Vec<SharedName> = vms.iter().map(|vm| vm.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let both = |zone: SharedName| {
        [
            PriceEntry { zone: zone.clone(), class: PriceClass::OnDemand, per_hour: ON_DEMAND },
            PriceEntry { zone, class: PriceClass::Reclaimable, per_hour: RECLAIMABLE },
        ]
    };
    zones.into_iter().flat_map(both).collect()
}
