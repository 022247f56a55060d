//! The operators' listener: status, metrics, time line, drain and notices.

use std::rc::Rc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;

use super::{problem::Problem, response::json_response};
use crate::{
    http::{ResponseBody, server, whole_body},
    ids::{IncarnationId, SharedName},
    kernel::LifePhase,
    native::{
        cloud_api::messages::ReclaimNotice,
        cluster::{
            events::ClusterEvent,
            items::{ItemKind, SpreadItem},
            members::MemberStatus,
            service::ClusterMessage,
        },
        serve::{
            context::ServeContext,
            services::{
                limit_service::LimitMessage,
                router::messages::{RouterMessage, RouterStatus},
                store_service::{RequestMessage, StoreGauge},
                ticket_service::TicketMessage,
            },
        },
    },
    store_position::StorePosition,
};

/// Name of the service.
pub const NAME: &str = "admin";

/// Largest body of a notice, in bytes: a notice has three short fields.
const NOTICE_BYTES: usize = 4_096;

/// One member, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberLine {
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Address of its peer listener.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Status.
    pub status: MemberStatus,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
}

/// State of one daemon, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonStatus {
    /// Deployment.
    pub deployment: SharedName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Availability zone.
    pub zone: SharedName,
    /// Phase of its life, such as running or draining.
    pub phase: String,
    /// Requests in progress.
    pub active: usize,
    /// Number of request records, including copies.
    pub records: usize,
    /// Size of the records in bytes.
    pub record_bytes: usize,
    /// Versions of the table's rows at this daemon.
    pub rows: Vec<(SharedName, u64)>,
    /// Members known to this daemon.
    pub members: Vec<MemberLine>,
    /// State of the router.
    pub router: RouterStatus,
}

/// Serves operators on `listener` until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<ServeContext>) {
    // Operators are served while the daemon drains, until it is `Stopping`.
    let phase = stopping_only(&context);
    server::serve(listener, phase, move |request| {
        let context = context.clone();
        async move { handle(context, request).await }
    })
    .await;
}

fn stopping_only(context: &Rc<ServeContext>) -> tokio::sync::watch::Receiver<LifePhase> {
    let (sender, receiver) = tokio::sync::watch::channel(LifePhase::Running);
    let mut phase = context.kernel.phase();
    context.kernel.spawn(NAME, async move {
        if phase.wait_for(|phase| *phase == LifePhase::Stopping).await.is_ok() {
            sender.send_replace(LifePhase::Stopping);
        }
    });
    receiver
}

async fn handle(context: Rc<ServeContext>, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/status") => json_response(&status(&context).await),
        (&Method::GET, "/metrics") => {
            set_gauges(&context).await;
            Response::new(whole_body(context.metrics.render()))
        }
        (&Method::GET, "/timeline") => {
            // Without a subject all events are returned.
            let query = request.uri().query().unwrap_or_default();
            // Other parameters are ignored.
            let subject = query.strip_prefix("subject=").unwrap_or_default();
            json_response(&context.timeline.read(subject))
        }
        (&Method::POST, "/drain") => {
            context.kernel.enter(LifePhase::Draining);
            json_response(&json!({ "draining": true }))
        }
        (&Method::POST, "/notices") => accept_notice(&context, request).await,
        _ => Problem::new(StatusCode::NOT_FOUND, "(path)", "is not served here").into_response(),
    }
}

/// Accepts a reclaim notice that was sent to this daemon only, and spreads it to the others.
async fn accept_notice(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    use http_body_util::{BodyExt, Limited};
    let body = Limited::new(request.into_body(), NOTICE_BYTES).collect().await;
    let notice =
        body.ok().and_then(|body| serde_json::from_slice::<ReclaimNotice>(&body.to_bytes()).ok());
    let Some(notice) = notice else {
        return Problem::bad_request("(body)", "must be a notice").into_response();
    };
    let item = SpreadItem::new(ItemKind::Notice, notice.vm.clone(), 1, &notice);
    let event = ClusterEvent::Items(None, vec![item]);
    match context.cluster.send(ClusterMessage::Event(event)) {
        Ok(()) => json_response(&notice),
        Err(error) => Problem::new(StatusCode::SERVICE_UNAVAILABLE, "(daemon)", error.to_string())
            .into_response(),
    }
}

async fn store_gauge(context: &ServeContext) -> StoreGauge {
    // An overloaded store is shown as empty.
    context.requests.ask(|reply| RequestMessage::Gauge { reply }).await.unwrap_or_default()
}

/// Version of a row as the object API shows it.
fn shown_version(version: u64) -> u64 {
    StorePosition::unpack(version).revision()
}

async fn status(context: &Rc<ServeContext>) -> DaemonStatus {
    let gauge = store_gauge(context).await;
    let rows = context.cluster.ask(|reply| ClusterMessage::List { kind: ItemKind::Row, reply });
    // If the cluster service is overloaded, no rows are shown.
    let rows = rows.await.unwrap_or_default();
    let mut rows: Vec<(SharedName, u64)> =
        rows.into_iter().map(|item| (item.key.name, shown_version(item.version))).collect();
    rows.sort();
    let members = context.members();
    let lines = members.iter().map(|(incarnation, view)| MemberLine {
        incarnation,
        address: view.record.address.clone(),
        zone: view.record.zone.clone(),
        status: view.status,
        leaving: view.record.leaving,
    });
    let mut lines: Vec<MemberLine> = lines.collect();
    lines.sort_by(|left, right| left.address.cmp(&right.address));
    let router = context.router.ask(RouterMessage::Status).await;
    DaemonStatus {
        deployment: context.identity.deployment.clone(),
        incarnation: context.identity.incarnation,
        zone: context.identity.zone.clone(),
        phase: format!("{:?}", *context.kernel.phase().borrow()).to_lowercase(),
        active: context.active.get(),
        records: gauge.records,
        record_bytes: gauge.bytes,
        rows,
        members: lines,
        // An overloaded router is shown as empty.
        router: router.unwrap_or_default(),
    }
}

async fn set_gauges(context: &Rc<ServeContext>) {
    let metrics = &context.metrics;
    let gauge = store_gauge(context).await;
    metrics.gauge("requests_active", context.active.get() as f64);
    metrics.gauge("request_records", gauge.records as f64);
    metrics.gauge("request_record_bytes", gauge.bytes as f64);
    metrics.gauge("platform_calls", context.platform.calls() as f64);
    metrics.gauge("peer_bytes", context.pool.traffic().bytes() as f64);
    metrics.gauge("peer_connections", context.pool.open_count() as f64);
    let members = context.members();
    metrics.gauge("members_present", members.present_count() as f64);
    if let Ok((held, witnessed)) = context.tickets.ask(|reply| TicketMessage::Gauge { reply }).await
    {
        metrics.gauge("tickets_held", held as f64);
        metrics.gauge("tickets_witnessed", witnessed as f64);
    }
    let gauge = context.cluster.ask(|reply| ClusterMessage::Gauge { reply }).await;
    if let Ok((counters, items, bytes)) = gauge {
        metrics.gauge("spread_items", items as f64);
        metrics.gauge("spread_item_bytes", bytes as f64);
        metrics.gauge("members_suspected", counters.suspected as f64);
        metrics.gauge("members_removed", counters.removed as f64);
        metrics.gauge("suspicions_refuted", counters.refuted as f64);
        metrics.gauge("items_stale", counters.stale_items as f64);
        metrics.gauge("items_fresh", counters.fresh_items as f64);
    }
    if let Ok(averages) = context.limits.ask(|reply| LimitMessage::Read { reply }).await {
        let daemons = members.present_count() as f64;
        for (account, average) in averages {
            let name = match account.strip_prefix("service/") {
                Some(service) => format!("service_load{{service=\"{service}\"}}"),
                None => format!("account_demand_tokens_per_s{{account=\"{account}\"}}"),
            };
            metrics.gauge(&name, average * daemons);
        }
    }
}
