//! One daemon of the native interface: registers its services, starts them, and runs them until
//! the daemon stops (`shutdown`). `willowarchd` runs either this daemon or `gateway::daemon`.

mod shutdown;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};

use tokio::{net::TcpListener, sync::watch, time::Instant};

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
            limit_service::{self, LimitViews, ServiceLoads},
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
    kernel::{KernelExit, KernelHandle, ServiceInbox, ServiceKernel},
    metrics::MetricsHandle,
    response_memory::ResponseMemory,
};

/// Limit of the memory for request records and copies, in bytes. At the target load it holds the
/// responses of 90 seconds.
const RECORD_BYTES_LIMIT: usize = 64 * 1024 * 1024;
/// Memory of the smallest VMs, in bytes.
const VM_MEMORY_BYTES: u64 = 160_000_000;
/// Name of the peer listener's service.
const PEER_LISTENER: &str = "peer-listener";

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

/// Senders of the values that the cluster service publishes.
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
    // Cannot fail: all names were registered above.
    let context = Rc::new(
        assemble(settings, kernel.handle(), &views).expect("service names were registered"),
    );
    start(&mut kernel, &context, inboxes, listeners, views);
    let detail = format!("zone {}", context.identity.zone);
    context.record_subject_event(
        EventKind::Phase,
        &context.identity.address,
        format!("running, {detail}"),
    );
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
        response_memory: ResponseMemory::of_vm(VM_MEMORY_BYTES),
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
    start_router(kernel, context, inboxes.router, load_sender);
    let copier = copies::run(inboxes.copies, context.copies.clone(), Rc::downgrade(context));
    kernel.start(copies::NAME, copier);
    start_limits(kernel, context, inboxes.limits, loads);
    kernel.start(PEER_LISTENER, peer::server::serve(listeners.peers, context.clone()));
    kernel.start(platform_watch::NAME, platform_watch::run(context.clone()));
    kernel.start(planner::NAME, planner::run(context.clone()));
    kernel.start(admin::NAME, admin::run(listeners.admin, context.clone()));
    kernel.start(client_listener::NAME, client_listener::run(listeners.clients, context.clone()));
    kernel.start(shutdown::NAME, shutdown::run(context.clone(), own_notice));
}

fn start_router(
    kernel: &mut ServiceKernel,
    context: &Rc<ServeContext>,
    inbox: ServiceInbox<router::messages::RouterMessage>,
    loads: watch::Sender<ServiceLoads>,
) {
    let inputs = RouterInputs {
        own: context.identity.incarnation,
        zone: context.identity.zone.clone(),
        address: context.router.clone(),
        table: context.table.clone(),
        members: context.members.clone(),
        http: context.http.clone(),
        metrics: context.metrics.clone(),
        timeline: context.timeline.clone(),
        loads,
    };
    kernel.start(router::NAME, router::run(inbox, inputs));
}

fn start_limits(
    kernel: &mut ServiceKernel,
    context: &Rc<ServeContext>,
    inbox: ServiceInbox<limit_service::LimitMessage>,
    loads: watch::Receiver<ServiceLoads>,
) {
    let own = context.identity.incarnation;
    let views =
        LimitViews { members: context.members.clone(), table: context.table.clone(), loads };
    let address = context.limits.clone();
    let limits = limit_service::run(inbox, address, own, views, context.pool.clone());
    kernel.start(limit_service::NAME, limits);
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
