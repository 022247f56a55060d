//! Serves the calls of a peer after its hello: turns each into a message to the service that owns
//! the state, and sends the service's reply back. The only checks made here are that a ticket
//! names this daemon as its witness, or the peer as its holder.

use std::{rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use tokio::time::timeout;

use super::{codec, overloaded};
use crate::{
    ids::IncarnationId,
    native::{
        cluster::{
            averaging::DemandOffer,
            events::{ClusterEvent, PeerTarget},
            service::ClusterMessage,
        },
        request::{
            call::ClientCall,
            store::OfferVerdict,
            tickets::{SealVerdict, TicketId},
        },
        serve::{
            context::ServeContext,
            run::once,
            services::{
                limit_service::LimitMessage, store_service::RequestMessage,
                ticket_service::TicketMessage,
            },
        },
    },
    peer_capnp::peer,
};

/// Longest wait of an attach call, whatever the peer asks for: bounds the calls that a faulty peer
/// can keep open.
const ATTACH_LIMIT: Duration = Duration::from_secs(5);

fn read_ticket(text: capnp::text::Reader<'_>) -> Result<TicketId, Error> {
    let text = text.to_str().map_err(|_| Error::failed("malformed ticket".into()))?;
    text.parse().map_err(|_| Error::failed("malformed ticket".into()))
}

/// Serves the calls of one peer, over one connection.
pub(super) struct PeerServer {
    /// Incarnation from the peer's hello.
    pub(super) from: IncarnationId,
    pub(super) context: Rc<ServeContext>,
}

impl peer::Server for PeerServer {
    async fn probe(
        self: Rc<Self>,
        _params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        results.get().set_incarnation(self.context.identity.incarnation.0);
        Ok(())
    }

    async fn probe_via(
        self: Rc<Self>,
        params: peer::ProbeViaParams,
        mut results: peer::ProbeViaResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let target = PeerTarget {
            incarnation: IncarnationId(params.get_incarnation()),
            address: codec::read_name(params.get_address()?)?,
        };
        let alive = self.context.pool.probe(&target).await.is_ok();
        results.get().set_alive(alive);
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        _results: peer::PushResults,
    ) -> Result<(), Error> {
        let items = codec::read_items(params.get()?.get_items()?)?;
        let event = ClusterEvent::Items(Some(self.from), items);
        self.context.cluster.send(ClusterMessage::Event(event)).map_err(overloaded)
    }

    async fn summary(
        self: Rc<Self>,
        params: peer::SummaryParams,
        mut results: peer::SummaryResults,
    ) -> Result<(), Error> {
        let theirs: Vec<u64> = params.get()?.get_buckets()?.iter().collect();
        let answer =
            self.context.cluster.ask(|reply| ClusterMessage::Summary { theirs, reply }).await;
        let (differing, versions) = answer.map_err(overloaded)?;
        let mut list = results.get().init_differing(differing.len() as u32);
        for (index, bucket) in differing.iter().enumerate() {
            list.set(index as u32, *bucket as u16);
        }
        let list = results.get().init_versions(versions.len() as u32);
        codec::write_versions(list, &versions);
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let wanted = codec::read_versions(params.get()?.get_wanted()?)?;
        let keys = wanted.into_iter().map(|(key, _)| key).collect();
        let answer = self.context.cluster.ask(|reply| ClusterMessage::Fetch { keys, reply }).await;
        let items = answer.map_err(overloaded)?;
        codec::write_items(results.get().init_items(items.len() as u32), &items);
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: peer::OfferParams,
        mut results: peer::OfferResults,
    ) -> Result<(), Error> {
        let copy = codec::read_copy(params.get()?.get_copy()?)?;
        let answer = self.context.requests.ask(|reply| RequestMessage::Offer { copy, reply }).await;
        match answer.map_err(overloaded)? {
            OfferVerdict::Stored => results.get().set_accepted(true),
            OfferVerdict::Known(known) => {
                codec::write_copy(results.get().init_known(), &known);
            }
        }
        Ok(())
    }

    async fn append(
        self: Rc<Self>,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> Result<(), Error> {
        let copies = params.get()?.get_copies()?;
        let mut refused = Vec::new();
        for copy in copies.iter() {
            let copy = codec::read_copy(copy)?;
            let name = copy.name.clone();
            let answer =
                self.context.requests.ask(|reply| RequestMessage::Offer { copy, reply }).await;
            if matches!(answer.map_err(overloaded)?, OfferVerdict::Known(_)) {
                refused.push(name);
            }
        }
        let mut list = results.get().init_superseded(refused.len() as u32);
        for (index, name) in refused.iter().enumerate() {
            codec::write_request_name(list.reborrow().get(index as u32), name);
        }
        Ok(())
    }

    async fn attach(
        self: Rc<Self>,
        params: peer::AttachParams,
        mut results: peer::AttachResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let name = codec::read_request_name(params.get_name()?)?;
        let first_token = params.get_first_token() as usize;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms())).min(ATTACH_LIMIT);
        let view =
            self.context.requests.ask(|reply| RequestMessage::View { name: name.clone(), reply });
        let Some(mut view) = view.await.map_err(overloaded)? else { return Ok(()) };
        let progress = view.wait_for(|progress| progress.ended || progress.tokens > first_token);
        // After a timeout too, the response has everything known so far.
        let _ = timeout(wait, progress).await;
        let read =
            self.context.requests.ask(|reply| RequestMessage::Read { name, first_token, reply });
        if let Some(copy) = read.await.map_err(overloaded)? {
            results.get().set_found(true);
            codec::write_copy(results.get().init_copy(), &copy);
        }
        Ok(())
    }

    async fn run_once(
        self: Rc<Self>,
        params: peer::RunOnceParams,
        mut results: peer::RunOnceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let ticket = read_ticket(params.get_ticket()?)?;
        let call: Option<ClientCall> = codec::read_json(params.get_call()?, "call")?;
        let call = call.ok_or_else(|| Error::failed("no call".into()))?;
        let settled = once::run_as_holder(&self.context, ticket, Arc::new(call)).await;
        results.get().set_settled(&codec::to_json(&settled));
        Ok(())
    }

    async fn consent(
        self: Rc<Self>,
        params: peer::ConsentParams,
        mut results: peer::ConsentResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let ticket = read_ticket(params.get_ticket()?)?;
        let own = self.context.identity.incarnation;
        if ticket.holder != self.from || ticket.witness != own {
            return Err(Error::failed("not the witness of this ticket".into()));
        }
        let answer =
            self.context.tickets.ask(|reply| TicketMessage::Consent { ticket, reply }).await;
        results.get().set_verdict(codec::write_verdict(answer.map_err(overloaded)?));
        Ok(())
    }

    async fn seal(
        self: Rc<Self>,
        params: peer::SealParams,
        mut results: peer::SealResults,
    ) -> Result<(), Error> {
        let ticket = read_ticket(params.get()?.get_ticket()?)?;
        if ticket.witness != self.context.identity.incarnation {
            return Err(Error::failed("not the witness of this ticket".into()));
        }
        let answer = self.context.tickets.ask(|reply| TicketMessage::Seal { ticket, reply }).await;
        match answer.map_err(overloaded)? {
            SealVerdict::NotDispatched => {}
            SealVerdict::MayHaveRun => results.get().set_dispatched(true),
            SealVerdict::Ended(settled) => {
                results.get().set_dispatched(true);
                results.get().set_settled(&codec::to_json(&settled));
            }
        }
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: peer::SettleParams,
        _results: peer::SettleResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let ticket = read_ticket(params.get_ticket()?)?;
        let settled = codec::read_json(params.get_settled()?, "settled answer")?;
        if let Some(settled) = settled.filter(|_| ticket.holder == self.from) {
            let message = TicketMessage::Settle { ticket, settled };
            self.context.tickets.send(message).map_err(overloaded)?;
        }
        Ok(())
    }

    async fn average(
        self: Rc<Self>,
        params: peer::AverageParams,
        mut results: peer::AverageResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let theirs = DemandOffer {
            epoch: params.get_epoch(),
            order: params.get_order(),
            values: codec::read_values(params.get_values()?)?,
        };
        let answer = self.context.limits.ask(|reply| LimitMessage::Average { theirs, reply }).await;
        let Some(values) = answer.map_err(overloaded)? else { return Ok(()) };
        results.get().set_accepted(true);
        results.get().set_values(values.as_slice())?;
        Ok(())
    }
}
