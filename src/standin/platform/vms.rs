//! The cloud API, with a VM list that may lag, and the weight store.

use std::time::Duration;

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use super::Platform;
use crate::{
    http::ResponseBody,
    ids::SharedName,
    native::cloud_api::messages::{NoticeList, ReclaimNotice, VmEntry, VmStartRequest, VmState},
    standin::reply,
    store_position::StoreEra,
};

/// Body of `POST /reclaim`: one VM or a whole zone.
#[derive(Debug, Deserialize)]
struct ReclaimOrder {
    vm: Option<SharedName>,
    zone: Option<SharedName>,
    seconds: f64,
}

impl Platform {
    pub(super) fn list_vms(&self) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        state.counts.cloud += 1;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let recorded = state.past_vm_lists.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        let list = recorded.or(state.past_vm_lists.front()).map(|(_, list)| list.clone());
        reply::json(StatusCode::OK, &list)
    }

    pub(super) async fn start_vm(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(order) = reply::read_json::<VmStartRequest>(request).await else {
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
        state.record_vm_list();
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &vm)
    }

    pub(super) fn remove_vm(&self, id: &str) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        if let Some(index) = state.vms.iter().position(|vm| &*vm.id == id) {
            let vm = state.vms.remove(index);
            state.free_addresses.entry(vm.zone).or_default().push(vm.address);
            state.record_vm_list();
        }
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &json!({}))
    }

    pub(super) async fn reclaim(&self, request: Request<Incoming>) -> Response<ResponseBody> {
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
        state.record_vm_list();
        drop(state);
        self.notify();
        reply::json(StatusCode::OK, &leaving)
    }

    pub(super) async fn notices(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        self.state.borrow_mut().counts.cloud += 1;
        let query = reply::query(request);
        let after = query.get("after").copied().unwrap_or(0) as usize;
        let find_newer = || {
            let state = self.state.borrow();
            // A reader that has all notices, or asks from beyond the last one, waits.
            let newer = state.notices.get(after..).unwrap_or_default().to_vec();
            (!newer.is_empty()).then_some(newer)
        };
        let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
        // If none arrive in time, the response is an empty list.
        let notices = self.wait_for(find_newer, wait).await.unwrap_or_default();
        reply::json(StatusCode::OK, &NoticeList { notices, era: StoreEra::default() })
    }

    pub(super) fn load_weights(&self) -> Response<ResponseBody> {
        let admitted = self.state.borrow_mut().weights.admit();
        let status = if admitted { StatusCode::OK } else { StatusCode::TOO_MANY_REQUESTS };
        reply::json(status, &json!({ "admitted": admitted }))
    }
}
