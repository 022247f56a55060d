//! Calls to the cloud's API by the leader: usage reports and orders of endpoints.
//!
//! Each call carries the leader's name and fence, so that the cloud can refuse a leader that has been
//! replaced. A call is neither written nor left on its way once the lease may be another daemon's. A call
//! that times out may have been carried out; both kinds of calls can be retried, since they state totals,
//! not changes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    boot_clock,
    errors::StepError,
    http::api_client::{ApiClient, ApiResponse},
    ids::SharedName,
};

/// Timeout of a call: a call that begins just before the holder has to stop acting ends before another
/// daemon may acquire the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The lease holder that makes a call.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Name of the daemon.
    pub name: SharedName,
    /// Fencing number; rises whenever the holder changes.
    pub fence: u64,
    /// When the lease ends unless it is renewed, a time of `boot_clock`.
    pub ends_at: Instant,
}

/// Outcome of a call to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudOutcome {
    /// The cloud has carried out the call.
    Done,
    /// Refused: another holder has a higher fence.
    Fenced,
    /// Refused: the zone has no capacity at present.
    CapacityRefused,
}

/// An order for the total number of endpoints of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointOrder {
    /// Service.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Whether the cloud may reclaim these endpoints.
    pub reclaimable: bool,
    /// Required number of endpoints.
    pub count: u32,
}

#[derive(Serialize)]
struct ReportBody<'a> {
    window: u64,
    counts: &'a BTreeMap<SharedName, u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    /// Whether the cloud may reclaim them; left out for on-demand ones.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    use_spot: bool,
}

/// Client of the cloud's API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    api: ApiClient,
}

impl CloudClient {
    /// Client of the API at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ApiClient::new(address) }
    }

    /// Reports the usage of each account in a usage window.
    pub async fn report(
        &self,
        holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<SharedName, u64>,
    ) -> Result<CloudOutcome, StepError> {
        let body = ReportBody { window, counts };
        let response = self.post("report usage", "/reports", holder, &body).await?;
        read_outcome(&response, CloudOutcome::Fenced)
    }

    /// Orders a number of endpoints.
    ///
    /// The cloud responds with a conflict both to an outdated fence and to a lack of capacity; it is
    /// treated as the latter (docs/questions.md).
    pub async fn order(
        &self,
        holder: &LeaseHolder,
        order: &EndpointOrder,
    ) -> Result<CloudOutcome, StepError> {
        let body = ScaleBody {
            service: &order.service,
            zone: &order.zone,
            desired: order.count,
            use_spot: order.reclaimable,
        };
        let response = self.post("order endpoints", "/scale", holder, &body).await?;
        read_outcome(&response, CloudOutcome::CapacityRefused)
    }

    async fn post(
        &self,
        step: &'static str,
        path: &'static str,
        holder: &LeaseHolder,
        body: &impl Serialize,
    ) -> Result<ApiResponse, StepError> {
        let now = boot_clock::now();
        let limit = holder.ends_at.saturating_duration_since(now).min(CALL_TIMEOUT);
        let call = self
            .api
            .send(step, Method::POST, path, body)?
            .with_header("x-duty-holder", &holder.name)
            .with_header("x-fencing-token", holder.fence)
            .with_write_by(now + limit);
        self.api.fetch(call, limit).await
    }
}

/// Determines the outcome from the status alone; `on_conflict` is the meaning of 409 for this call.
fn read_outcome(
    response: &ApiResponse,
    on_conflict: CloudOutcome,
) -> Result<CloudOutcome, StepError> {
    if response.status() == StatusCode::CONFLICT {
        return Ok(on_conflict);
    }
    response.check_status()?;
    Ok(CloudOutcome::Done)
}
