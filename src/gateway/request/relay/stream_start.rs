//! The version that began a stream which is being relayed.

use super::Relay;
use crate::gateway::{
    gossip::streams::record_stream,
    policy::request::{
        retries,
        stream_origin::{StreamKey, StreamStart},
    },
};

impl Relay {
    /// Records where a stream is begun or goes on, before its first event is passed on. An endpoint that has
    /// started again may have another version than the list says, so nothing is recorded of it.
    pub(super) fn record_start(&mut self) {
        self.start = None;
        let may_resume =
            retries::may_resume(self.request.admitted.route.kind, self.cutter.is_some());
        let Some(upstream) = self.upstream.as_ref().filter(|_| may_resume) else { return };
        let record = upstream.guard.record();
        if !self.request.context.endpoints.borrow().knows_start(record) {
            return;
        }
        let start =
            StreamStart { service: record.service.clone(), version: record.version.clone() };
        let account = self.request.admitted.account.as_ref().map(|account| &*account.name);
        let key = StreamKey::of(account, self.request.admitted.call.head.stream_id());
        let is_ambiguous = self.request.admitted.route.sole_service().is_none();
        self.start = Some(record_stream(&self.request.context, key, start, is_ambiguous));
    }

    /// Waits before the first event of a new stream until its record outlives this daemon and those that it has told.
    pub(super) async fn until_logged(&mut self) {
        let is_new = self.request.admitted.call.head.last_event.is_none();
        if let Some(start) = self.start.as_mut().filter(|_| is_new) {
            start.until_logged().await;
        }
    }

    /// Whether it is known which version has written the events that were passed on.
    pub(super) fn knows_version(&self) -> bool {
        match &self.request.attempts.borrow().version {
            Some(version) => !version.is_empty() && self.start.is_some(),
            None => true,
        }
    }
}
