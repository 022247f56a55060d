//! Tells other daemons at which versions this one has begun streams, and asks them about a stream that is
//! taken up here. `policy::request::stream_origin` decides who is told and what follows from the answers.

pub mod codec;
pub mod list_check;
pub mod log;
pub mod state;
mod versions;

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::time::{Instant, sleep, timeout};

use self::{
    codec::{read_report, read_start, write_start},
    list_check::{ListCheck, check_only_version},
    log::restore_streams,
    state::{LogTicket, UnsentRecords},
    versions::{list_age, needs_record, served_versions_since, serves_several_versions},
};
use super::peer_connections::CALL_LIMIT;
use crate::{
    boot_clock,
    exchange_capnp::stream_start,
    gateway::{
        context::GatewayContext,
        policy::{
            request::stream_origin::{
                HOLDERS, HolderAnswers, OriginReport, OriginSource, StreamKey, StreamOrigin,
                StreamStart, decide, needs_confirmation, stream_life,
            },
            rollout::version_history::ServedVersions,
        },
    },
    ids::SharedName,
};

/// Time in which records for the same daemon are collected for one call: short beside the time from the head
/// of a stream to its first event.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// Longest wait for the answer of a holder: several round trips, and the work of a busy daemon.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Longest time for which the first event of a stream waits until the log names it: below the delay of an event that
/// callers notice.
const LOG_WAIT: Duration = Duration::from_millis(90);
/// Pause before the holders are asked again: a record may still be on its way.
const SECOND_ASK_DELAY: Duration = Duration::from_millis(50);
/// Most records in one message.
const MAX_STREAMS: u32 = 10_000;
/// Holders asked beyond those that are told, since the order of the daemons may have changed.
const EXTRA_HOLDERS: usize = 1;

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

/// Where a stream that is taken up goes on, and what that is known from.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    /// Where it goes on; none if that isn't known.
    pub origin: Option<StreamOrigin>,
    /// Number of holders asked last.
    pub asked: usize,
    /// Number of these that have answered.
    pub answered: usize,
    /// What the store's list of endpoints says of the only version.
    pub list_check: ListCheck,
    /// Time since the log of streams was last read; none if it wasn't.
    pub log_age: Option<Duration>,
}

/// Search for the origin of a stream that a request takes up.
struct OriginSearcher<'a> {
    context: &'a Rc<GatewayContext>,
    key: StreamKey,
    /// Service of the stream's route if there is only one.
    service: Option<&'a SharedName>,
    arrived_at: Instant,
    answers: HolderAnswers,
    list_check: ListCheck,
}

/// Finds out where a stream was begun. `service` is that of its route if there is only one.
pub async fn find_origin(
    context: &Rc<GatewayContext>,
    key: StreamKey,
    service: Option<&SharedName>,
) -> OriginSearch {
    let mut searcher = OriginSearcher {
        context,
        key,
        service,
        arrived_at: boot_clock::now(),
        answers: HolderAnswers::default(),
        list_check: ListCheck::NotRead,
    };
    let origin = searcher.find().await;
    let HolderAnswers { asked, reports } = searcher.answers;
    let (answered, log_age) = (reports.len(), context.streams.log_age(boot_clock::now()));
    OriginSearch { origin, asked, answered, list_check: searcher.list_check, log_age }
}

impl OriginSearcher<'_> {
    async fn find(&mut self) -> Option<StreamOrigin> {
        let found = self.find_once().await;
        if found.is_some() {
            return found;
        }
        sleep(SECOND_ASK_DELAY).await;
        let found = self.find_once().await;
        if found.is_some() {
            return found;
        }
        restore_streams(self.context).await;
        let own = self.own_report();
        if own.recorded.is_none() {
            return None;
        }
        let found = decide(&own, &self.answers.reports, self.service);
        self.confirm(found).await
    }

    async fn find_once(&mut self) -> Option<StreamOrigin> {
        let own = self.own_report();
        if own.has_origin() {
            return decide(&own, &[], self.service);
        }
        let service = self.service.map_or("", |service| &**service);
        self.answers = ask_holders(self.context, self.key, service).await;
        let held = self.answers.reports.iter().filter_map(|report| report.recorded.as_ref());
        for (start, age) in held {
            self.context.streams.record_unknown(self.key, start, *age, boot_clock::now());
        }
        // Covers the time since the first report of the stream to any of them, too.
        let found = decide(&self.own_report(), &self.answers.reports, self.service);
        self.confirm(found).await
    }

    fn own_report(&self) -> OriginReport {
        own_report(self.context, self.key, self.service.map(|service| &**service))
    }

    /// When the stream had certainly begun: when the request arrived, or an earlier one that took it up in vain.
    fn last_begin(&self) -> Instant {
        let unknown_for = self.own_report().recorded.map_or(Duration::ZERO, |(_, age)| age);
        let first_take_up = boot_clock::now().checked_sub(unknown_for);
        first_take_up.map_or(self.arrived_at, |at| at.min(self.arrived_at))
    }

    /// The same origin, unless it is an only version that is not proved.
    async fn confirm(&mut self, found: Option<StreamOrigin>) -> Option<StreamOrigin> {
        let origin = found?;
        if !needs_confirmation(&origin, &self.answers, list_age(self.context)) {
            return Some(origin);
        }
        let StreamStart { service, version } = &origin.start;
        let since = self.last_begin();
        self.list_check = check_only_version(self.context, service, version, since).await;
        (self.list_check == ListCheck::Confirmed).then_some(origin)
    }
}

/// Asks the holders of a stream until one has a record, or all have answered or taken too long.
async fn ask_holders(context: &GatewayContext, key: StreamKey, service: &str) -> HolderAnswers {
    let holders = context.peers.borrow().rendezvous_first(key.0, HOLDERS + 1 + EXTRA_HOLDERS);
    let asked = holders.len();
    let asking = holders.into_iter().map(|holder| ask_in_time(context, holder, key, service));
    let mut answers: FuturesUnordered<_> = asking.collect();
    let mut reports = Vec::new();
    while let Some(answer) = answers.next().await {
        let Some(report) = answer else { continue };
        let is_recorded = report.has_origin();
        reports.push(report);
        if is_recorded {
            break;
        }
    }
    HolderAnswers { asked, reports }
}

/// The answer of a holder; none if it doesn't answer in time, or is of an earlier release.
async fn ask_in_time(
    context: &GatewayContext,
    holder: SocketAddr,
    key: StreamKey,
    service: &str,
) -> Option<OriginReport> {
    match timeout(ANSWER_LIMIT, ask(context, holder, key, service)).await {
        Ok(Ok(report)) => Some(report),
        // The error makes no difference. The connection may be silent for good.
        Ok(Err(_)) | Err(_) => {
            context.peer_connections.close(holder);
            None
        }
    }
}

async fn ask(
    context: &GatewayContext,
    holder: SocketAddr,
    key: StreamKey,
    service: &str,
) -> Result<OriginReport, Error> {
    let connection = context.peer_connections.connect(holder).await?;
    let mut request = connection.client.find_stream_request();
    request.get().set_stream(key.0);
    request.get().set_service(service);
    let response = request.send().promise.await?;
    read_report(response.get()?.get_report()?)
}
