//! Assembles one daemon: registers its services, starts them, takes it down.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    cloud_api::{client::PlatformClient, messages::ReclaimNotice},
    cluster::{
        self,
        core::ClusterCore,
        events::ClusterEvent,
        members::{MemberList, MemberRecord},
        service::{ClusterMessage, ClusterOutputs},
    },
    options::{rows::TableSnapshot, settings::DaemonSettings},
    peer::{self, LocalIdentity, client::PeerPool},
    request::{copy::RequestHolder, store::RequestStore},
    serve::{
        context::ServeContext,
        listeners::{admin, client_listener},
        planning::{planner, platform_watch},
        services::{
            copies,
            limit_service::{self, LimitViews},
            router::{self, RouterInputs},
            store_service, ticket_service,
        },
        timeline::{EventKind, TimelineHandle},
    },
};
use crate::{
    counting::OpenCount,
    errors::StepError,
    http::{client::HttpClient, server},
    ids::{IncarnationId, SharedName},
    kernel::{KernelExit, KernelHandle, LifePhase, ServiceInbox, ServiceKernel},
    metrics::MetricsHandle,
};

/// Bytes of request records and copies that one daemon keeps.
const RECORD_BYTES_LIMIT: usize = 64 * 1024 * 1024;
/// Name of the peer listener's service.
const PEER_LISTENER: &str = "peer-listener";
/// Name of the service that takes the daemon down.
const LEAVER: &str = "leaver";
/// Time for the announcement of leaving to reach the peers before the daemon ends.
const LEAVE_SPREAD_TIME: Duration = Duration::from_millis(500);
/// Part of a notice kept free for handing off.
const HANDOFF_MARGIN: Duration = Duration::from_millis(1_000);

/// Listeners of one daemon.
struct DaemonListeners {
    clients: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

/// Mailboxes of one daemon's services.
struct DaemonInboxes {
    cluster: ServiceInbox<ClusterMessage>,
    requests: ServiceInbox<store_service::RequestMessage>,
    tickets: ServiceInbox<ticket_service::TicketMessage>,
    router: ServiceInbox<router::messages::RouterMessage>,
    copies: ServiceInbox<copies::messages::CopyMessage>,
    limits: ServiceInbox<limit_service::LimitMessage>,
}

/// Sending ends of what the cluster service publishes.
struct PublishedViews {
    table: watch::Sender<Arc<TableSnapshot>>,
    members: watch::Sender<Rc<MemberList>>,
    own_notice: watch::Sender<Option<ReclaimNotice>>,
}

/// Runs a daemon until it stops. Must run inside a `tokio::task::LocalSet`.
pub async fn run(settings: DaemonSettings) -> Result<KernelExit, StepError> {
    let listeners = DaemonListeners {
        clients: server::bind(settings.caller_address).await?,
        admin: server::bind(settings.admin_address).await?,
        peers: server::bind(settings.peer_address).await?,
    };
    let mut kernel = ServiceKernel::new();
    let inboxes = register(&mut kernel);
    let views = PublishedViews {
        table: watch::Sender::new(Arc::default()),
        members: watch::Sender::new(Rc::default()),
        own_notice: watch::Sender::new(None),
    };
    // NOTE: all names were registered above; finding them cannot fail.
    let context = Rc::new(assemble(settings, kernel.handle(), &views).expect("registered"));
    start(&mut kernel, &context, inboxes, listeners, views);
    let detail = format!("zone {}", context.identity.zone);
    context.note_subject(EventKind::Phase, &context.identity.address, format!("running, {detail}"));
    spdlog::info!("running", kv: {
        service = "kernel", incarnation: = context.identity.incarnation, zone: = context.identity.zone
    });
    Ok(kernel.run().await)
}

fn register(kernel: &mut ServiceKernel) -> DaemonInboxes {
    DaemonInboxes {
        cluster: kernel.register(cluster::service::NAME),
        requests: kernel.register(store_service::NAME),
        tickets: kernel.register(ticket_service::NAME),
        router: kernel.register(router::NAME),
        copies: kernel.register(copies::NAME),
        limits: kernel.register(limit_service::NAME),
    }
}

fn assemble(
    settings: DaemonSettings,
    kernel: KernelHandle,
    views: &PublishedViews,
) -> Result<ServeContext, crate::kernel::SendError> {
    let address: SharedName = settings.peer_address.to_string().into();
    let identity = Rc::new(LocalIdentity {
        deployment: settings.deployment.clone(),
        incarnation: IncarnationId::generate(),
        address: address.clone(),
        zone: settings.zone.clone(),
        version: peer::PROTOCOL_VERSION,
    });
    Ok(ServeContext {
        cluster: kernel.find(cluster::service::NAME)?,
        requests: kernel.find(store_service::NAME)?,
        tickets: kernel.find(ticket_service::NAME)?,
        router: kernel.find(router::NAME)?,
        copies: kernel.find(copies::NAME)?,
        limits: kernel.find(limit_service::NAME)?,
        platform: PlatformClient::new(settings.object_api, settings.cloud_api),
        pool: PeerPool::new((*identity).clone()),
        http: HttpClient::new(),
        table: views.table.subscribe(),
        members: views.members.subscribe(),
        metrics: MetricsHandle::default(),
        timeline: TimelineHandle::new(address),
        active: OpenCount::default(),
        clients: OpenCount::default(),
        mirrors: RefCell::new(HashSet::new()),
        attempts: Cell::new(0),
        budgets: RefCell::new(HashMap::new()),
        kernel,
        identity,
        settings,
    })
}

fn start(
    kernel: &mut ServiceKernel,
    context: &Rc<ServeContext>,
    inboxes: DaemonInboxes,
    listeners: DaemonListeners,
    views: PublishedViews,
) {
    let own = context.identity.incarnation;
    let own_notice = views.own_notice.subscribe();
    start_cluster(kernel, context, inboxes.cluster, views);
    let holder = RequestHolder { incarnation: own, address: context.identity.address.clone() };
    let store = RequestStore::new(holder, context.settings.answer_keep, RECORD_BYTES_LIMIT);
    kernel.start(store_service::NAME, store_service::run(inboxes.requests, store));
    kernel.start(ticket_service::NAME, ticket_service::run(inboxes.tickets, own));
    let (load_sender, loads) = watch::channel(Rc::default());
    let inputs = RouterInputs {
        own,
        zone: context.identity.zone.clone(),
        address: context.router.clone(),
        table: context.table.clone(),
        members: context.members.clone(),
        http: context.http.clone(),
        metrics: context.metrics.clone(),
        timeline: context.timeline.clone(),
        loads: load_sender,
    };
    kernel.start(router::NAME, router::run(inboxes.router, inputs));
    let copier = copies::run(inboxes.copies, context.copies.clone(), Rc::downgrade(context));
    kernel.start(copies::NAME, copier);
    let views =
        LimitViews { members: context.members.clone(), table: context.table.clone(), loads };
    let limits = limit_service::run(
        inboxes.limits,
        context.limits.clone(),
        own,
        views,
        context.pool.clone(),
    );
    kernel.start(limit_service::NAME, limits);
    kernel.start(PEER_LISTENER, peer::server::serve(listeners.peers, context.clone()));
    kernel.start(platform_watch::NAME, platform_watch::run(context.clone()));
    kernel.start(planner::NAME, planner::run(context.clone()));
    kernel.start(admin::NAME, admin::run(listeners.admin, context.clone()));
    kernel.start(client_listener::NAME, client_listener::run(listeners.clients, context.clone()));
    kernel.start(LEAVER, leave_when_told(context.clone(), own_notice));
}

fn start_cluster(
    kernel: &mut ServiceKernel,
    context: &Rc<ServeContext>,
    inbox: ServiceInbox<ClusterMessage>,
    views: PublishedViews,
) {
    let identity = &context.identity;
    let record = MemberRecord {
        address: identity.address.clone(),
        zone: identity.zone.clone(),
        leaving: false,
    };
    let rng = rand::make_rng();
    let mut core = ClusterCore::new(identity.incarnation, record, Instant::now(), rng);
    for seed in &context.settings.seeds {
        core.on(Instant::now(), ClusterEvent::Seed(seed.to_string().into()));
    }
    let outputs = ClusterOutputs {
        address: context.cluster.clone(),
        pool: context.pool.clone(),
        router: context.router.clone(),
        table: views.table,
        members: views.members,
        own_notice: views.own_notice,
        timeline: context.timeline.clone(),
    };
    let service = cluster::service::run(inbox, core, identity.address.clone(), outputs);
    kernel.start(cluster::service::NAME, service);
}

/// Takes the daemon down: after a drain by operators or a signal, as soon as nothing
/// is in progress; after a notice, before its VM goes.
async fn leave_when_told(
    context: Rc<ServeContext>,
    mut own_notice: watch::Receiver<Option<ReclaimNotice>>,
) {
    let mut phase = context.kernel.phase();
    let deadline = tokio::select! {
        _ = phase.wait_for(|phase| *phase >= LifePhase::Draining) => {
            Instant::now() + context.settings.drain
        }
        deadline = notice_deadline(&mut own_notice) => deadline,
        () = terminated() => Instant::now() + context.settings.drain,
    };
    context.kernel.enter(LifePhase::Draining);
    let address = &context.identity.address;
    context.note_subject(
        EventKind::Phase,
        address,
        format!("draining, {} active", context.active.get()),
    );
    let _ = context.cluster.send(ClusterMessage::Event(ClusterEvent::Leave));
    let deadline = tokio::select! {
        () = wait_until_idle(&context, deadline) => deadline,
        // NOTE: a notice may come while a planned stop waits for its requests.
        earlier = notice_deadline(&mut own_notice) => {
            let deadline = deadline.min(earlier);
            wait_until_idle(&context, deadline).await;
            deadline
        }
    };
    hand_off(&context, deadline).await;
    sleep(LEAVE_SPREAD_TIME).await;
    context.note_subject(EventKind::Phase, address, "stopping");
    context.kernel.enter(LifePhase::Stopping);
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}

async fn notice_deadline(own_notice: &mut watch::Receiver<Option<ReclaimNotice>>) -> Instant {
    let found = own_notice.wait_for(Option::is_some).await;
    let Some(notice) = found.ok().and_then(|notice| notice.clone()) else {
        return std::future::pending().await;
    };
    let left = notice.gone_at_ms.saturating_sub(crate::wall_clock_ms());
    let left = Duration::from_millis(left).saturating_sub(HANDOFF_MARGIN);
    Instant::now() + left
}

async fn wait_until_idle(context: &Rc<ServeContext>, deadline: Instant) {
    const LOOK_EVERY: Duration = Duration::from_millis(20);
    let busy = || context.active.get() > 0 || context.clients.get() > 0;
    while busy() && Instant::now() < deadline {
        sleep(LOOK_EVERY).await;
    }
}

/// Brings the copies of what still runs up to date. Clients whose connections close
/// then ask any other daemon, which takes over from a copy.
async fn hand_off(context: &Rc<ServeContext>, deadline: Instant) {
    let running = context
        .requests
        .ask(|reply| store_service::RequestMessage::Running { reply })
        .await
        .unwrap_or_default();
    if running.is_empty() {
        return;
    }
    let count = running.len();
    context.metrics.count("requests_handed_off", count as u64);
    let detail = format!("handing off {count} requests");
    context.note_subject(EventKind::Phase, &context.identity.address, detail);
    let own = context.identity.incarnation;
    let partners = context.partner_targets(own, context.settings.copies);
    let offers = partners.iter().map(|partner| context.pool.append(partner, &running));
    let limit = deadline.saturating_duration_since(Instant::now()).max(LEAVE_SPREAD_TIME);
    let _ = tokio::time::timeout(limit, futures::future::join_all(offers)).await;
}
