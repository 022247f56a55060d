//! Borrows slots of brittle endpoints from the daemons that hold them, and lends this daemon's.
//!
//! A loan is an object of the lender (`SlotLease`), which the borrower releases when its run ends. If the borrower
//! or the connection to it fails, the loan lasts as long as the run may: the endpoint may go on with it.
//! `policy::endpoint::slot_borrower` decides who is asked, and
//! `policy::endpoint::endpoint_table::slot_loans` keeps the accounts.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use capnp::{Error, ErrorKind};
use tokio::{
    sync::oneshot,
    time::{Instant, error::Elapsed, timeout},
};

use super::super::peer_connections::{CALL_LIMIT, OpenConnection};
use crate::{
    boot_clock,
    exchange_capnp::{exchange, slot_lease},
    gateway::{
        context::GatewayContext,
        policy::endpoint::{endpoint_choice::ChoiceQuery, endpoint_table::slot_loans::LoanId},
    },
    ids::SharedName,
};

/// Longest wait for the answer of a holder: several round trips, and the work of a busy daemon.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);
/// Most endpoints that a borrower may name as tried.
const MAX_TRIED: u32 = 1_000;

/// A slot that another daemon has offered; it is released when dropped.
struct OfferedSlot {
    endpoint: SharedName,
    lender: SocketAddr,
    lease: slot_lease::Client,
    connection: Rc<OpenConnection>,
}

impl Drop for OfferedSlot {
    fn drop(&mut self) {
        let released = self.lease.release_request().send().promise;
        let connection = self.connection.clone();
        tokio::task::spawn_local(async move {
            // If the lender isn't reached, it takes the slot back later.
            let _ = timeout(CALL_LIMIT, released).await;
            drop(connection);
        });
    }
}

/// An offered slot that counts among those that this daemon may use, until it is dropped.
pub struct BorrowedSlot {
    context: Rc<GatewayContext>,
    offer: OfferedSlot,
}

impl BorrowedSlot {
    /// Counts an offered slot; none if the slots of its endpoint aren't divided here. The request for which it
    /// was offered has to use it before anything is awaited, or another one may.
    fn accept(context: &Rc<GatewayContext>, offer: OfferedSlot) -> Option<Self> {
        let is_usable = context.endpoints.borrow_mut().receive_slot(&offer.endpoint);
        is_usable.then(|| Self { context: context.clone(), offer })
    }

    /// Id of the endpoint.
    pub fn endpoint(&self) -> &SharedName {
        &self.offer.endpoint
    }

    /// The daemon that has lent it.
    pub fn lender(&self) -> SocketAddr {
        self.offer.lender
    }
}

impl Drop for BorrowedSlot {
    fn drop(&mut self) {
        self.context.endpoints.borrow_mut().release_slot(&self.offer.endpoint);
    }
}

/// What a daemon wants to borrow.
#[derive(Clone)]
pub struct WantedSlot {
    /// The service.
    pub service: SharedName,
    /// The version that its endpoint has to have; none if any may run the request.
    pub version: Option<SharedName>,
    /// Endpoints that the request has tried.
    pub tried: Vec<SharedName>,
    /// When the slot is needed no longer.
    pub until: Instant,
}

impl WantedSlot {
    fn query(&self, load_age: Duration) -> ChoiceQuery<'_> {
        ChoiceQuery {
            version: self.version.as_deref(),
            tried: &self.tried,
            load_age,
            ..ChoiceQuery::of_any_request(&self.service)
        }
    }
}

/// Asks holders of slots until one lends one that this daemon can use, or `limit` is over.
pub async fn borrow_slot(
    context: &Rc<GatewayContext>,
    wanted: &WantedSlot,
    limit: Duration,
) -> Option<BorrowedSlot> {
    let begun = boot_clock::now();
    let max_asked = context.slot_borrower.borrow().max_asked(&wanted.service, begun);
    let mut asked = Vec::new();
    while asked.len() < max_asked {
        let left = limit.saturating_sub(boot_clock::since(begun));
        let Some(holder) = next_holder(context, wanted, &asked).filter(|_| !left.is_zero()) else {
            break;
        };
        asked.push(holder);
        let offer = ask_in_time(context, holder, wanted, left.min(ANSWER_LIMIT)).await;
        if let Some(slot) = offer.and_then(|offer| BorrowedSlot::accept(context, offer)) {
            context.metrics.count("slots_borrowed", 1);
            return Some(slot);
        }
    }
    context.metrics.count("slots_denied", 1);
    context.slot_borrower.borrow_mut().record_denial(&wanted.service, boot_clock::now());
    None
}

fn next_holder(
    context: &GatewayContext,
    wanted: &WantedSlot,
    asked: &[SocketAddr],
) -> Option<SocketAddr> {
    let endpoints = context.endpoints.borrow().wanted_endpoints(&wanted.query(Duration::ZERO));
    let (ring, own) = (context.slot_ring.borrow(), context.settings.peer_address);
    let now = boot_clock::now();
    let borrower = context.slot_borrower.borrow();
    borrower.next_holder(&ring, &endpoints, own, asked, now, &mut rand::rng())
}

/// The slot that a holder offers; none if it has none, or doesn't answer within `limit`.
async fn ask_in_time(
    context: &Rc<GatewayContext>,
    holder: SocketAddr,
    wanted: &WantedSlot,
    limit: Duration,
) -> Option<OfferedSlot> {
    let (sender, receiver) = oneshot::channel();
    let (task_context, wanted) = (context.clone(), wanted.clone());
    // Goes on if nobody waits for it any more: a slot that is lent late has to be released.
    tokio::task::spawn_local(async move {
        let answer = timeout(CALL_LIMIT, ask(&task_context, holder, &wanted)).await;
        // Dropping the offer releases the slot.
        let _ = sender.send(apply_answer(&task_context, holder, answer));
    });
    match timeout(limit, receiver).await {
        Ok(Ok(offer)) => offer,
        // The task has ended without an answer: the daemon stops.
        Ok(Err(_)) => None,
        // Too late; the task releases what is still offered.
        Err(_) => {
            if limit >= ANSWER_LIMIT {
                context.slot_borrower.borrow_mut().record_silence(holder, boot_clock::now());
            }
            None
        }
    }
}

fn apply_answer(
    context: &GatewayContext,
    holder: SocketAddr,
    answer: Result<Result<Option<OfferedSlot>, Error>, Elapsed>,
) -> Option<OfferedSlot> {
    // A daemon of the last release lends no slots, but its connection is sound.
    let is_sound = match answer {
        Ok(Ok(offer)) => return offer,
        Ok(Err(error)) => error.kind == ErrorKind::Unimplemented,
        // No answer in time: the connection may be silent for good.
        Err(_) => false,
    };
    if !is_sound {
        context.peer_connections.close(holder);
    }
    context.slot_borrower.borrow_mut().record_silence(holder, boot_clock::now());
    None
}

async fn ask(
    context: &Rc<GatewayContext>,
    lender: SocketAddr,
    wanted: &WantedSlot,
) -> Result<Option<OfferedSlot>, Error> {
    let connection = context.peer_connections.connect(lender).await?;
    let mut request = connection.client.borrow_slot_request();
    write_wanted(request.get(), wanted);
    let response = request.send().promise.await?;
    let answer = response.get()?;
    if !answer.get_granted() {
        return Ok(None);
    }
    let endpoint = answer.get_endpoint()?.to_str()?.into();
    let lease = answer.get_lease()?;
    Ok(Some(OfferedSlot { endpoint, lender, lease, connection }))
}

fn write_wanted(mut target: exchange::borrow_slot_params::Builder<'_>, wanted: &WantedSlot) {
    target.set_service(&*wanted.service);
    // Empty: any version.
    target.set_version(wanted.version.as_deref().unwrap_or_default());
    let mut tried = target.reborrow().init_tried(wanted.tried.len() as u32);
    for (index, endpoint) in wanted.tried.iter().enumerate() {
        tried.set(index as u32, &**endpoint);
    }
    let hold = wanted.until.saturating_duration_since(boot_clock::now());
    target.set_hold_ms(u32::try_from(hold.as_millis()).unwrap_or(u32::MAX));
}

fn read_wanted(params: exchange::borrow_slot_params::Reader<'_>) -> Result<WantedSlot, Error> {
    let tried = params.get_tried()?;
    if tried.len() > MAX_TRIED {
        return Err(Error::failed("too many endpoints".into()));
    }
    let version = params.get_version()?.to_str()?;
    let tried = tried.iter().map(|id| Ok(id?.to_str()?.into()));
    Ok(WantedSlot {
        service: params.get_service()?.to_str()?.into(),
        version: (!version.is_empty()).then(|| version.into()),
        tried: tried.collect::<Result<Vec<SharedName>, Error>>()?,
        until: boot_clock::now() + Duration::from_millis(u64::from(params.get_hold_ms())),
    })
}

/// A slot that this daemon has lent.
struct LentSlot {
    context: Rc<GatewayContext>,
    id: LoanId,
}

impl slot_lease::Server for LentSlot {
    async fn release(
        self: Rc<Self>,
        _params: slot_lease::ReleaseParams,
        _results: slot_lease::ReleaseResults,
    ) -> Result<(), Error> {
        self.context.endpoints.borrow_mut().return_slot(self.id);
        Ok(())
    }
}

/// Lends a slot to another daemon if this one has one free.
///
/// # Errors
///
/// The call is malformed or too long.
pub fn lend_slot(
    context: &Rc<GatewayContext>,
    params: exchange::borrow_slot_params::Reader<'_>,
    mut answer: exchange::borrow_slot_results::Builder<'_>,
) -> Result<(), Error> {
    let wanted = read_wanted(params)?;
    let query = wanted.query(context.peers.borrow().report_age());
    let now = boot_clock::now();
    let lent =
        context.endpoints.borrow_mut().lend_slot(&query, wanted.until, now, &mut rand::rng());
    let Some((id, endpoint)) = lent else { return Ok(()) };
    context.metrics.count("slots_lent", 1);
    answer.set_granted(true);
    answer.set_endpoint(&*endpoint);
    answer.set_lease(capnp_rpc::new_client(LentSlot { context: context.clone(), id }));
    Ok(())
}
