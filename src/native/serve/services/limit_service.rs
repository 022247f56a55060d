//! Service that enforces the limits of client accounts jointly with all other daemons.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use super::send_reply;
use crate::{
    ids::{IncarnationId, SharedName},
    kernel::{ServiceAddress, ServiceInbox},
    native::{
        cluster::{
            averaging::{AccountOrder, DemandAveraging, DemandOffer, EXCHANGE_MS},
            events::PeerTarget,
            members::MemberList,
        },
        decide::limits::{AccountLimiter, LimitVerdict},
        options::rows::TableSnapshot,
        peer::client::PeerPool,
    },
};

/// Name of the service.
pub const NAME: &str = "limits";

/// Number of members from which each exchange's partner is drawn: few enough to keep connections
/// open, and enough that the members form an expander graph.
const PARTNERS: u64 = 6;

/// Messages to the service.
#[derive(Debug)]
pub enum LimitMessage {
    /// Asks whether an account may use `tokens`.
    Admit {
        /// Account.
        account: SharedName,
        /// Weight of the account.
        weight: f64,
        /// Tokens expected.
        tokens: f64,
        /// Limit over all daemons, in tokens a second.
        limit: f64,
        /// Verdict.
        reply: oneshot::Sender<LimitVerdict>,
    },
    /// A peer begins an exchange of averages.
    Average {
        /// Its values.
        theirs: DemandOffer,
        /// Own values before the exchange, if both sides have the same epoch and order.
        reply: oneshot::Sender<Option<Vec<f32>>>,
    },
    /// A peer has replied to an exchange.
    Answered {
        /// Values that were sent to it.
        sent: DemandOffer,
        /// Its values.
        theirs: Vec<f32>,
    },
    /// Current averages, for operators.
    Read {
        /// Averages.
        reply: oneshot::Sender<HashMap<SharedName, f64>>,
    },
}

/// Name under which a service's demand is averaged along with the accounts'. It can't clash with an
/// account's name, since names of rows contain no slash.
pub fn service_demand_name(service: &str) -> SharedName {
    format!("service/{service}").into()
}

struct LimitService {
    limiter: AccountLimiter,
    averaging: DemandAveraging,
    order: Rc<AccountOrder>,
    loads: watch::Receiver<ServiceLoads>,
    table: watch::Receiver<Arc<TableSnapshot>>,
    own: IncarnationId,
    members: watch::Receiver<Rc<MemberList>>,
    pool: PeerPool,
    address: ServiceAddress<LimitMessage>,
    rng: SmallRng,
}

/// Requests in progress and waiting at this daemon, by service.
pub type ServiceLoads = Rc<HashMap<SharedName, f64>>;

/// State of other services that this service reads.
pub struct LimitViews {
    /// Current members.
    pub members: watch::Receiver<Rc<MemberList>>,
    /// Current table.
    pub table: watch::Receiver<Arc<TableSnapshot>>,
    /// This daemon's load, by service.
    pub loads: watch::Receiver<ServiceLoads>,
}

/// Runs the service of the daemon `own`.
pub async fn run(
    mut inbox: ServiceInbox<LimitMessage>,
    address: ServiceAddress<LimitMessage>,
    own: IncarnationId,
    views: LimitViews,
    pool: PeerPool,
) {
    let mut service = LimitService {
        limiter: AccountLimiter::default(),
        averaging: DemandAveraging::default(),
        order: Rc::default(),
        loads: views.loads,
        table: views.table,
        own,
        members: views.members,
        pool,
        address,
        rng: rand::make_rng(),
    };
    let mut exchange = interval(Duration::from_millis(EXCHANGE_MS));
    exchange.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle(message),
                None => return,
            },
            _ = exchange.tick() => service.exchange(),
        }
    }
}

impl LimitService {
    fn handle(&mut self, message: LimitMessage) {
        match message {
            LimitMessage::Admit { account, weight, tokens, limit, reply } => {
                send_reply(
                    reply,
                    self.limiter.admit(&account, weight, tokens, limit, Instant::now()),
                );
            }
            LimitMessage::Average { theirs, reply } => {
                self.enter_epoch();
                send_reply(reply, self.averaging.answer(&theirs));
            }
            LimitMessage::Answered { sent, theirs } => self.averaging.finish(&sent, &theirs),
            LimitMessage::Read { reply } => {
                send_reply(reply, self.averaging.result().clone());
            }
        }
    }

    fn enter_epoch(&mut self) {
        let now = Instant::now();
        // If the sender is gone, the daemon is stopping and the table no longer changes.
        if self.table.has_changed().unwrap_or(false) {
            let table = self.table.borrow_and_update();
            let accounts = table.accounts().map(|row| row.name.clone());
            let services = table.services().map(|row| service_demand_name(&row.name));
            self.order = Rc::new(AccountOrder::new(accounts.chain(services)));
        }
        let limiter = &mut self.limiter;
        let wall_clock_ms = crate::wall_clock_ms();
        let loads = &self.loads;
        let demand = || {
            let mut demand = limiter.publish_demand(now);
            let loads = loads.borrow();
            demand.extend(loads.iter().map(|(name, load)| (service_demand_name(name), *load)));
            demand
        };
        if self.averaging.enter(wall_clock_ms, &self.order, demand) {
            let daemons = self.members.borrow().present_count();
            self.limiter.set_averages(self.averaging.result().clone(), daemons);
        }
    }

    fn exchange(&mut self) {
        self.enter_epoch();
        let sent = self.averaging.offer();
        let Some(target) = self.random_member() else { return };
        let (pool, address) = (self.pool.clone(), self.address.clone());
        tokio::task::spawn_local(async move {
            // An exchange that fails is not repeated: it matters only until its epoch ends.
            if let Ok(Some(theirs)) = pool.average(&target, &sent).await {
                // Lost if the limiter is overloaded, like a failed exchange.
                let _ = address.send(LimitMessage::Answered { sent, theirs });
            }
        });
    }

    /// Draws the partner of an exchange from a small fixed set of members, so that connections can
    /// stay open. The set consists of the ring successors of fixed points, which makes an expander
    /// graph.
    fn random_member(&mut self) -> Option<PeerTarget> {
        let index = self.rng.random_range(0..PARTNERS);
        let point =
            crate::ids::hash_parts(&[b"partner", &self.own.0.to_le_bytes(), &index.to_le_bytes()]);
        let members = self.members.borrow();
        let incarnation = *members.successors(point, 1, self.own).first()?;
        let view = members.get(incarnation)?;
        Some(PeerTarget { incarnation, address: view.record.address.clone() })
    }
}
