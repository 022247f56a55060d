//! Finds out at which version a stream was begun that a client takes up here: from this daemon's records, the holders'
//! answers, the log of streams and, for an only version, the store's list of endpoints.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep, timeout};

use super::{
    codec::read_report,
    list_check::{ListCheck, check_only_version},
    log::restore_streams,
    own_report,
    versions::list_age,
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::request::stream_origin::{
            HOLDERS, HolderAnswers, OriginReport, StreamKey, StreamOrigin, StreamStart, decide,
            needs_confirmation,
        },
    },
    ids::SharedName,
};

/// Longest wait for the answer of a holder: several round trips, and the work of a busy daemon.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Pause before the holders are asked again: a record may still be on its way.
const SECOND_ASK_DELAY: Duration = Duration::from_millis(50);
/// Holders asked beyond those that are told, since the order of the daemons may have changed.
const EXTRA_HOLDERS: usize = 1;

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
        // Without a record the answers have decided.
        own.recorded.as_ref()?;
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
    let calls = holders.into_iter().map(|holder| ask_in_time(context, holder, key, service));
    let mut answers: FuturesUnordered<_> = calls.collect();
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
