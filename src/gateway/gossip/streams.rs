//! Tells other daemons at which versions this one has begun streams. `origin_search` asks them about a stream that is
//! taken up here. `policy::request::stream_origin` decides who is told and what follows from the answers.

pub mod codec;
pub mod list_check;
pub mod log;
pub mod origin_search;
pub mod state;
mod versions;

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use self::{
    codec::{read_start, write_start},
    state::{LogTicket, UnsentRecords},
    versions::{needs_record, served_versions_since, serves_several_versions},
};
use super::peer_connections::CALL_LIMIT;
use crate::{
    boot_clock,
    exchange_capnp::stream_start,
    gateway::{
        context::GatewayContext,
        policy::{
            request::stream_origin::{
                HOLDERS, OriginReport, OriginSource, StreamKey, StreamOrigin, StreamStart,
                stream_life,
            },
            rollout::version_history::ServedVersions,
        },
    },
    ids::SharedName,
};

/// Time in which records for the same daemon are collected for one call: short beside the time from the head
/// of a stream to its first event.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// Longest time for which the first event of a stream waits until the log names it: below the delay of an event that
/// callers notice.
const LOG_WAIT: Duration = Duration::from_millis(90);
/// Most records in one message.
const MAX_STREAMS: u32 = 10_000;

/// A stream that this daemon is passing on; forgotten when dropped.
pub struct ActiveStream {
    context: Rc<GatewayContext>,
    key: StreamKey,
    /// Its record for the log, while several versions serve.
    ticket: Option<Rc<LogTicket>>,
}

impl ActiveStream {
    /// Waits until the log names the stream, so that it can go on after all daemons have ended; not for long, and only
    /// while several versions serve.
    pub async fn until_logged(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        if self.context.streams.is_log_failing.get() {
            return;
        }
        if timeout(LOG_WAIT, ticket.logged()).await.is_err() {
            self.context.metrics.count("streams_logged_late", 1);
        }
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.context.streams.active.borrow_mut().remove(&self.key);
    }
}

/// Records that a stream is begun, or goes on. Others are told unless no other version can serve it.
/// `is_ambiguous`: its route leads to several services.
pub fn record_stream(
    context: &Rc<GatewayContext>,
    key: StreamKey,
    start: StreamStart,
    is_ambiguous: bool,
) -> ActiveStream {
    context.streams.active.borrow_mut().insert(key, start.clone());
    let is_logged = serves_several_versions(context, &start.service);
    let mut ticket = None;
    if is_ambiguous || needs_record(context, &start.service) {
        let told = tell_holders(context, key, start);
        ticket = is_logged.then_some(told);
    }
    ActiveStream { context: context.clone(), key, ticket }
}

/// Tells others of the streams that this daemon is passing on, after a second version of their service
/// has been listed.
pub fn tell_active_streams(context: &Rc<GatewayContext>) {
    for (key, start) in untold_streams(context) {
        tell_holders(context, key, start);
    }
}

/// Streams of services with several versions that have begun while there was one.
fn untold_streams(context: &GatewayContext) -> Vec<(StreamKey, StreamStart)> {
    let active = context.streams.active.borrow();
    let services: BTreeSet<&SharedName> = active.values().map(|start| &start.service).collect();
    let needing: BTreeSet<&SharedName> =
        services.into_iter().filter(|service| needs_record(context, service)).collect();
    if needing.is_empty() {
        return Vec::new();
    }
    let ledger = context.streams.ledger.borrow();
    let is_untold = |(key, start): &(&StreamKey, &StreamStart)| {
        let is_known = ledger.find(**key).is_some_and(|(known, _)| known.is_known());
        needing.contains(&start.service) && !is_known
    };
    let untold = active.iter().filter(is_untold);
    untold.map(|(key, start)| (*key, start.clone())).collect()
}

/// Tells others of a stream. The ticket is that of the daemon that writes it into the log.
fn tell_holders(context: &Rc<GatewayContext>, key: StreamKey, start: StreamStart) -> Rc<LogTicket> {
    let life = stream_life(context.configuration().as_deref());
    let now = boot_clock::now();
    let ticket = context.streams.record(key, start.clone(), life, now);
    context.metrics.count("streams_recorded", 1);
    let recorder = context.peers.borrow().stream_recorder(now);
    let holders = context.peers.borrow().rendezvous_first(key.0, HOLDERS + 1);
    let told: BTreeSet<SocketAddr> = holders.into_iter().chain(recorder).collect();
    let mut unsent = context.streams.unsent.borrow_mut();
    let is_first = unsent.is_empty();
    for address in told {
        let batch = unsent.entry(address).or_default();
        batch.records.push((key, start.clone()));
        if Some(address) == recorder {
            batch.tickets.push(ticket.clone());
        }
    }
    if is_first && !unsent.is_empty() {
        tokio::task::spawn_local(send_records(context.clone()));
    }
    ticket
}

/// Records that a client has taken up a stream, so that it isn't forgotten while its client goes on trying.
pub fn record_take_up(context: &Rc<GatewayContext>, key: StreamKey, origin: Option<&StreamOrigin>) {
    let start = match origin {
        Some(origin) if origin.source == OriginSource::OnlyVersion => return,
        Some(origin) => origin.start.clone(),
        None => StreamStart::unknown(),
    };
    tell_holders(context, key, start);
}

async fn send_records(context: Rc<GatewayContext>) {
    sleep(COLLECT_TIME).await;
    let unsent = context.streams.unsent.take();
    for (holder, batch) in unsent {
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let UnsentRecords { records, tickets } = batch;
            let sent = timeout(CALL_LIMIT, send_to(&context, holder, &records)).await;
            if matches!(sent, Ok(Ok(()))) {
                tickets.iter().for_each(|ticket| ticket.set_logged());
                return;
            }
            // The connection may be silent for good; other holders have the records too.
            context.peer_connections.close(holder);
            context.metrics.count("stream_records_failed", records.len() as u64);
        });
    }
}

async fn send_to(
    context: &GatewayContext,
    holder: SocketAddr,
    records: &[(StreamKey, StreamStart)],
) -> Result<(), Error> {
    let connection = context.peer_connections.connect(holder).await?;
    let mut request = connection.client.record_streams_request();
    let mut streams = request.get().init_streams(records.len() as u32);
    for (index, (key, start)) in records.iter().enumerate() {
        write_start(streams.reborrow().get(index as u32), *key, start);
    }
    request.send().promise.await?;
    Ok(())
}

/// Records the streams that another daemon has begun. If this daemon writes them into the log, the answer waits until
/// that is done, or fails to be done in time.
///
/// # Errors
///
/// The message is malformed or too long.
pub async fn receive_records(
    context: &GatewayContext,
    streams: capnp::struct_list::Reader<'_, stream_start::Owned>,
) -> Result<(), Error> {
    if streams.len() > MAX_STREAMS {
        return Err(Error::failed("too many streams".into()));
    }
    let life = stream_life(context.configuration().as_deref());
    let now = boot_clock::now();
    let belongs = log::belonging(context);
    let mut tickets = Vec::new();
    for stream in streams {
        let (key, start) = (StreamKey(stream.get_stream()), read_start(stream)?);
        let is_logged = belongs(&start);
        let ticket = context.streams.record(key, start, life, now);
        tickets.extend(is_logged.then_some(ticket));
    }
    if context.streams.is_log_failing.get() {
        return Ok(());
    }
    let logged = join_all(tickets.iter().map(|ticket| ticket.logged()));
    // The records stand here all the same.
    let _ = timeout(LOG_WAIT, logged).await;
    Ok(())
}

/// What this daemon knows of a stream, and of its service if that is known.
pub fn own_report(context: &GatewayContext, key: StreamKey, service: Option<&str>) -> OriginReport {
    let now = boot_clock::now();
    let ledger = context.streams.ledger.borrow();
    let recorded =
        ledger.find(key).map(|(start, at)| (start.clone(), now.saturating_duration_since(at)));
    let age = recorded.as_ref().map_or(Duration::ZERO, |(_, age)| *age);
    let served = service
        .map_or(ServedVersions::Unknown, |service| served_versions_since(context, service, age));
    OriginReport {
        recorded,
        has_several: served == ServedVersions::Several,
        only_version: match served {
            ServedVersions::Only(version) => Some(version),
            ServedVersions::Several | ServedVersions::Unknown => None,
        },
    }
}
