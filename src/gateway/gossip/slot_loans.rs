//! Borrows slots of brittle endpoints from the daemons that hold them, and lends this daemon's.
//!
//! A loan is an object of the lender (`SlotLease`). It ends when the borrower releases the object or its
//! connection to the lender ends. `policy::endpoint::slot_borrower` decides who is asked, and
//! `policy::endpoint::endpoint_table::slot_loans` keeps the accounts.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use capnp::{Error, ErrorKind};
use tokio::time::{Instant, timeout};

use super::peer_connections::OpenConnection;
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

/// A slot that another daemon has lent; it is released when dropped.
pub struct BorrowedSlot {
    context: Rc<GatewayContext>,
    endpoint: SharedName,
    lender: SocketAddr,
    _lease: slot_lease::Client,
    /// The lease ends with the connection.
    _connection: Rc<OpenConnection>,
}

impl BorrowedSlot {
    /// Id of the endpoint.
    pub fn endpoint(&self) -> &SharedName {
        &self.endpoint
    }

    /// The daemon that has lent it.
    pub fn lender(&self) -> SocketAddr {
        self.lender
    }
}

impl Drop for BorrowedSlot {
    fn drop(&mut self) {
        self.context.endpoints.borrow_mut().release_slot(&self.endpoint);
    }
}

/// What a daemon wants to borrow.
pub struct WantedSlot<'a> {
    /// The request's query, which finds no endpoint with room.
    pub query: ChoiceQuery<'a>,
    /// The service.
    pub service: &'a SharedName,
    /// When the slot is needed no longer.
    pub until: Instant,
}

/// Asks holders of slots until one lends one that this daemon can use, or `limit` is over.
pub async fn borrow_slot(
    context: &Rc<GatewayContext>,
    wanted: &WantedSlot<'_>,
    limit: Duration,
) -> Option<BorrowedSlot> {
    let begun = boot_clock::now();
    let max_asked = context.slot_borrower.borrow().max_asked(wanted.service, begun);
    let mut asked = Vec::new();
    while asked.len() < max_asked {
        let left = limit.saturating_sub(boot_clock::since(begun));
        let Some(holder) = next_holder(context, wanted, &asked).filter(|_| !left.is_zero()) else {
            break;
        };
        asked.push(holder);
        let lent = ask_in_time(context, holder, wanted, left.min(ANSWER_LIMIT)).await;
        if lent.is_some() {
            context.metrics.count("slots_borrowed", 1);
            return lent;
        }
    }
    context.metrics.count("slots_denied", 1);
    context.slot_borrower.borrow_mut().record_denial(wanted.service, boot_clock::now());
    None
}

fn next_holder(
    context: &GatewayContext,
    wanted: &WantedSlot<'_>,
    asked: &[SocketAddr],
) -> Option<SocketAddr> {
    let endpoints = context.endpoints.borrow().wanted_endpoints(&wanted.query);
    let (ring, own) = (context.slot_ring.borrow(), context.settings.peer_address);
    let now = boot_clock::now();
    let borrower = context.slot_borrower.borrow();
    borrower.next_holder(&ring, &endpoints, own, asked, now, &mut rand::rng())
}

/// The slot that a holder lends; none if it has none, or doesn't answer in time.
async fn ask_in_time(
    context: &Rc<GatewayContext>,
    holder: SocketAddr,
    wanted: &WantedSlot<'_>,
    limit: Duration,
) -> Option<BorrowedSlot> {
    match timeout(limit, ask(context, holder, wanted)).await {
        Ok(Ok(lent)) => lent,
        // A daemon of the last release lends no slots.
        Ok(Err(error)) => {
            if error.kind != ErrorKind::Unimplemented {
                context.peer_connections.close(holder);
            }
            context.slot_borrower.borrow_mut().record_silence(holder, boot_clock::now());
            None
        }
        Err(_) => {
            if limit >= ANSWER_LIMIT {
                context.slot_borrower.borrow_mut().record_silence(holder, boot_clock::now());
            }
            None
        }
    }
}

async fn ask(
    context: &Rc<GatewayContext>,
    lender: SocketAddr,
    wanted: &WantedSlot<'_>,
) -> Result<Option<BorrowedSlot>, Error> {
    let connection = context.peer_connections.connect(lender).await?;
    let mut request = connection.client.borrow_slot_request();
    write_wanted(request.get(), wanted);
    let response = request.send().promise.await?;
    let answer = response.get()?;
    if !answer.get_granted() {
        return Ok(None);
    }
    let endpoint: SharedName = answer.get_endpoint()?.to_str()?.into();
    let lease = answer.get_lease()?;
    if !context.endpoints.borrow_mut().receive_slot(&endpoint) {
        return Ok(None);
    }
    let context = context.clone();
    Ok(Some(BorrowedSlot { context, endpoint, lender, _lease: lease, _connection: connection }))
}

fn write_wanted(mut target: exchange::borrow_slot_params::Builder<'_>, wanted: &WantedSlot<'_>) {
    let WantedSlot { query, until, .. } = wanted;
    target.set_service(query.service);
    target.set_version(query.version.unwrap_or_default());
    let mut tried = target.reborrow().init_tried(query.tried.len() as u32);
    for (index, endpoint) in query.tried.iter().enumerate() {
        tried.set(index as u32, &**endpoint);
    }
    let hold = until.saturating_duration_since(boot_clock::now());
    target.set_hold_ms(u32::try_from(hold.as_millis()).unwrap_or(u32::MAX));
}

/// A slot that this daemon has lent; it is taken back when dropped.
struct LentSlot {
    context: Rc<GatewayContext>,
    id: LoanId,
}

impl slot_lease::Server for LentSlot {}

impl Drop for LentSlot {
    fn drop(&mut self) {
        self.context.endpoints.borrow_mut().return_slot(self.id);
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
    let (service, version) = (params.get_service()?.to_str()?, params.get_version()?.to_str()?);
    let tried = params.get_tried()?;
    if tried.len() > MAX_TRIED {
        return Err(Error::failed("too many endpoints".into()));
    }
    let tried = tried.iter().map(|id| Ok(id?.to_str()?.into()));
    let tried = tried.collect::<Result<Vec<SharedName>, Error>>()?;
    let query = ChoiceQuery {
        version: Some(version).filter(|version| !version.is_empty()),
        tried: &tried,
        load_age: context.peers.borrow().report_age(),
        ..ChoiceQuery::of_any_request(service)
    };
    let hold = Duration::from_millis(u64::from(params.get_hold_ms()));
    let now = boot_clock::now();
    let lent = context.endpoints.borrow_mut().lend_slot(&query, hold, now, &mut rand::rng());
    let Some((id, endpoint)) = lent else { return Ok(()) };
    context.metrics.count("slots_lent", 1);
    answer.set_granted(true);
    answer.set_endpoint(&*endpoint);
    answer.set_lease(capnp_rpc::new_client(LentSlot { context: context.clone(), id }));
    Ok(())
}
