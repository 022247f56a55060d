//! Applies lists of endpoints: which state outlives a new list.

use std::rc::Rc;

use tokio::time::Instant;

use super::{
    super::{
        endpoint_load::endpoint_number,
        endpoint_status::{EndpointStatus, SlotBound},
        signal_ledger::NumberedStart,
    },
    EndpointTable,
};
use crate::{
    counting::OpenCount,
    gateway::endpoint::{EndpointList, EndpointRecord, EndpointState},
};

impl EndpointTable {
    /// Applies a new list. Endpoints that stay in it keep their state unless they have restarted.
    /// An endpoint that was missing for a while gets the signals back that it sent earlier.
    pub fn set_list(&mut self, list: &EndpointList, now: Instant) {
        let mut previous = std::mem::take(&mut self.endpoints);
        let starts = list.endpoints.iter().map(|record| NumberedStart {
            endpoint: endpoint_number(&record.id),
            born: record.born,
        });
        let restarted = self.signals.apply_list(starts, now);
        for record in &list.endpoints {
            let is_same_start = |known: &EndpointStatus| {
                known.record.is_same_start(record) && !restarted.contains(&known.number)
            };
            let status = match previous.remove(&record.id) {
                Some(known) if is_same_start(&known) => {
                    EndpointStatus { record: record.clone(), ..known }
                }
                earlier => self.new_status(record, earlier, now),
            };
            self.endpoints.insert(record.id.clone(), status);
        }
        // Requests may still run at endpoints that have left the list.
        for (id, mut status) in previous {
            if !status.is_in_use() {
                self.keep_bucket(&status, now);
                continue;
            }
            let gone =
                EndpointRecord { state: EndpointState::Draining, ..(*status.record).clone() };
            status.record = Rc::new(gone);
            self.endpoints.insert(id, status);
        }
    }

    /// Drops the signals of a start that no endpoint has had.
    pub fn forget_start(&mut self, start: NumberedStart) {
        self.signals.forget(start);
    }

    /// State of a start that is new in the list. Runs that began while an `earlier` start was listed, and slots
    /// that were lent, may be at the new one: the endpoint may have started long before.
    fn new_status(
        &mut self,
        record: &Rc<EndpointRecord>,
        earlier: Option<EndpointStatus>,
        now: Instant,
    ) -> EndpointStatus {
        let start = NumberedStart { endpoint: endpoint_number(&record.id), born: record.born };
        let is_brittle = self.is_brittle(&record.service, now);
        let (slot_bound, runs) = match earlier {
            Some(earlier) => (earlier.slot_bound.without_share(is_brittle), earlier.runs),
            None => (SlotBound::before_division(is_brittle), OpenCount::default()),
        };
        let mut status =
            EndpointStatus::new(record.clone(), self.signals.of(start), slot_bound, runs);
        status.limit = status.limit.map(|bucket| self.take_bucket(start, bucket, now));
        status
    }
}
