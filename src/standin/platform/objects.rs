//! The object API: reads, conditional writes, watches.

use std::time::Duration;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::Value;

use super::Platform;
use crate::{
    http::ResponseBody,
    native::cloud_api::messages::{ObjectEntry, WriteReceipt},
    standin::{object_store::StoreCondition, reply},
};

impl Platform {
    fn admit_read(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.counts.reads += 1;
        let admitted = state.reads.admit();
        state.counts.limited += u64::from(!admitted);
        admitted
    }

    pub(super) fn list(&self, kind: &str) -> Response<ResponseBody> {
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let mut state = self.state.borrow_mut();
        if let Some(revision) = state.take_stale_revision() {
            return reply::json(StatusCode::OK, &state.store.list_as_of(kind, revision));
        }
        reply::json(StatusCode::OK, &state.store.list(kind))
    }

    pub(super) fn read(&self, kind: &str, name: &str) -> Response<ResponseBody> {
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let mut state = self.state.borrow_mut();
        if let Some(revision) = state.take_stale_revision() {
            let old = state.store.list_as_of(kind, revision);
            let entry = old.entries.into_iter().find(|entry| &*entry.name == name);
            let absent = ObjectEntry { name: name.into(), version: 0, value: None };
            return reply::json(StatusCode::OK, &entry.unwrap_or(absent));
        }
        reply::json(StatusCode::OK, &state.store.read(kind, name))
    }

    pub(super) async fn write(
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
            Ok(_) if lost => reply::lost_response(),
            Ok(version) => reply::json(StatusCode::OK, &WriteReceipt { version }),
            Err(current) => reply::json(StatusCode::PRECONDITION_FAILED, &current),
        }
    }

    pub(super) async fn watch(
        &self,
        kind: &str,
        request: &Request<Incoming>,
    ) -> Response<ResponseBody> {
        self.state.borrow_mut().counts.watches += 1;
        if !self.admit_read() {
            return reply::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let query = reply::query(request);
        let after = query.get("after").copied().unwrap_or(0);
        let find_changes = || {
            let state = self.state.borrow();
            let changes = state.store.changes(kind, after);
            (!changes.entries.is_empty() || state.faults.outage).then_some(changes)
        };
        let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
        let changes = self.wait_for(find_changes, wait).await;
        if self.state.borrow().faults.outage {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let changes = changes.unwrap_or_else(|| self.state.borrow().store.changes(kind, after));
        reply::json(StatusCode::OK, &changes)
    }
}
