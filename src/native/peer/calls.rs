//! Typed calls to other daemons, each with a time limit; `served_calls` handles them.

use std::time::Duration;

use super::{
    client::{CALL_LIMIT, PeerPool},
    codec,
};
use crate::{
    errors::StepError,
    ids::RequestName,
    native::{
        cluster::{
            averaging::DemandOffer,
            events::PeerTarget,
            items::{ItemKey, SpreadItem},
        },
        request::{
            call::ClientCall,
            copy::RequestCopy,
            tickets::{ConsentVerdict, SealVerdict, SettledResponse, TicketId},
        },
    },
};

impl PeerPool {
    /// Checks that the target responds.
    pub async fn probe(&self, target: &PeerTarget) -> Result<(), StepError> {
        let incarnation = target.incarnation.0;
        self.call("probe", target, CALL_LIMIT, |client| async move {
            let mut request = client.probe_request();
            request.get().set_incarnation(incarnation);
            request.send().promise.await?.get()?;
            Ok(())
        })
        .await
    }

    /// Asks `helper` to probe `target`.
    pub async fn probe_via(
        &self,
        helper: &PeerTarget,
        target: &PeerTarget,
    ) -> Result<bool, StepError> {
        let target = target.clone();
        self.call("probe via helper", helper, CALL_LIMIT * 2, |client| async move {
            let mut request = client.probe_via_request();
            request.get().set_address(&*target.address);
            request.get().set_incarnation(target.incarnation.0);
            Ok(request.send().promise.await?.get()?.get_alive())
        })
        .await
    }

    /// Sends items.
    pub async fn push(&self, target: &PeerTarget, items: &[SpreadItem]) -> Result<(), StepError> {
        let items = items.to_vec();
        self.call("push items", target, CALL_LIMIT, |client| async move {
            let mut request = client.push_request();
            codec::write_items(request.get().init_items(items.len() as u32), &items);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Sends the hashes of this daemon's item buckets; returns the buckets that differ at the
    /// target and the versions of the items in them.
    pub async fn summary(
        &self,
        target: &PeerTarget,
        buckets: Vec<u64>,
    ) -> Result<(Vec<usize>, Vec<(ItemKey, u64)>), StepError> {
        self.call("exchange summaries", target, CALL_LIMIT, |client| async move {
            let mut request = client.summary_request();
            let mut list = request.get().init_buckets(buckets.len() as u32);
            for (index, bucket) in buckets.iter().enumerate() {
                list.set(index as u32, *bucket);
            }
            let response = request.send().promise.await?;
            let results = response.get()?;
            let differing = results.get_differing()?.iter().map(usize::from).collect();
            Ok((differing, codec::read_versions(results.get_versions()?)?))
        })
        .await
    }

    /// Fetches items.
    pub async fn fetch(
        &self,
        target: &PeerTarget,
        wanted: Vec<(ItemKey, u64)>,
    ) -> Result<Vec<SpreadItem>, StepError> {
        self.call("fetch items", target, CALL_LIMIT * 2, |client| async move {
            let mut request = client.fetch_request();
            codec::write_versions(request.get().init_wanted(wanted.len() as u32), &wanted);
            let response = request.send().promise.await?;
            codec::read_items(response.get()?.get_items()?)
        })
        .await
    }

    /// Offers a whole copy; returns the target's own state if that takes precedence.
    pub async fn offer(
        &self,
        target: &PeerTarget,
        copy: &RequestCopy,
    ) -> Result<Option<RequestCopy>, StepError> {
        let copy = copy.clone();
        self.call("offer copy", target, CALL_LIMIT, |client| async move {
            let mut request = client.offer_request();
            codec::write_copy(request.get().init_copy(), &copy);
            let response = request.send().promise.await?;
            let results = response.get()?;
            if results.get_accepted() {
                return Ok(None);
            }
            codec::read_copy(results.get_known()?).map(Some)
        })
        .await
    }

    /// Sends what was appended to copies; returns the names of those that the target rejected.
    pub async fn append(
        &self,
        target: &PeerTarget,
        copies: &[RequestCopy],
    ) -> Result<Vec<RequestName>, StepError> {
        let copies = copies.to_vec();
        self.call("append to copies", target, CALL_LIMIT * 2, |client| async move {
            let mut request = client.append_request();
            let mut list = request.get().init_copies(copies.len() as u32);
            for (index, copy) in copies.iter().enumerate() {
                codec::write_copy(list.reborrow().get(index as u32), copy);
            }
            let response = request.send().promise.await?;
            let refused = response.get()?.get_superseded()?;
            refused.iter().map(codec::read_request_name).collect()
        })
        .await
    }

    /// Waits at most `wait` for the holder to have tokens from `first_token` on; `None` if it does
    /// not know the request.
    pub async fn attach(
        &self,
        target: &PeerTarget,
        name: &RequestName,
        first_token: usize,
        wait: Duration,
    ) -> Result<Option<RequestCopy>, StepError> {
        let name = name.clone();
        self.call("attach to request", target, CALL_LIMIT + wait, |client| async move {
            let mut request = client.attach_request();
            codec::write_request_name(request.get().init_name(), &name);
            request.get().set_first_token(first_token as u32);
            request.get().set_wait_ms(wait.as_millis() as u32);
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_found() {
                return Ok(None);
            }
            codec::read_copy(results.get_copy()?).map(Some)
        })
        .await
    }

    /// Asks the holder of `ticket` to run `call`, and waits for the final response.
    pub async fn run_once(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
        call: &ClientCall,
        limit: Duration,
    ) -> Result<SettledResponse, StepError> {
        let call = codec::to_json(call);
        self.call("run at holder", target, limit, |client| async move {
            let mut request = client.run_once_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_call(&call);
            let response = request.send().promise.await?;
            let settled = codec::read_json(response.get()?.get_settled()?, "settled answer")?;
            settled.ok_or_else(|| capnp::Error::failed("no settled answer".into()))
        })
        .await
    }

    /// Asks the witness of `ticket` for consent to dispatch it.
    pub async fn consent(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
    ) -> Result<ConsentVerdict, StepError> {
        self.call("ask for consent", target, CALL_LIMIT, |client| async move {
            let mut request = client.consent_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_holder(ticket.holder.0);
            let response = request.send().promise.await?;
            Ok(codec::read_verdict(response.get()?.get_verdict()?))
        })
        .await
    }

    /// Asks the witness to seal `ticket`, so that it can no longer be dispatched.
    pub async fn seal(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
    ) -> Result<SealVerdict, StepError> {
        self.call("seal ticket", target, CALL_LIMIT, |client| async move {
            let mut request = client.seal_request();
            request.get().set_ticket(ticket.to_string());
            let response = request.send().promise.await?;
            let results = response.get()?;
            let settled = codec::read_json(results.get_settled()?, "settled answer")?;
            Ok(match settled {
                Some(settled) => SealVerdict::Ended(settled),
                None if results.get_dispatched() => SealVerdict::MayHaveRun,
                None => SealVerdict::NotDispatched,
            })
        })
        .await
    }

    /// Reports the final response of `ticket` to its witness.
    pub async fn settle(
        &self,
        target: &PeerTarget,
        ticket: TicketId,
        settled: &SettledResponse,
    ) -> Result<(), StepError> {
        let settled = codec::to_json(settled);
        self.call("settle ticket", target, CALL_LIMIT, |client| async move {
            let mut request = client.settle_request();
            request.get().set_ticket(ticket.to_string());
            request.get().set_settled(&settled);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Exchanges demand averages; `None` if the target is in another epoch or order.
    pub async fn average(
        &self,
        target: &PeerTarget,
        offer: &DemandOffer,
    ) -> Result<Option<Vec<f32>>, StepError> {
        let offer = offer.clone();
        self.call("exchange averages", target, CALL_LIMIT, |client| async move {
            let mut request = client.average_request();
            request.get().set_epoch(offer.epoch);
            request.get().set_order(offer.order);
            request.get().set_values(offer.values.as_slice())?;
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_accepted() {
                return Ok(None);
            }
            codec::read_values(results.get_values()?).map(Some)
        })
        .await
    }
}
