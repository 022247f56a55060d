//! Results of a run of the clients: numbers of outcomes, latencies and cost.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    errors::StepError,
    http::client::{HttpClient, OutgoingCall},
    native::cloud_api::messages::{PriceEntry, VmList},
    standin::endpoint::WorkCounts,
};

/// Maximum number of failures described in a report: enough to see what goes wrong.
const MAX_DESCRIBED_FAILURES: usize = 10;
/// Longest duration that the histograms distinguish, in microseconds: ten minutes, more than all
/// tries of a request take.
const MAX_DURATION_US: u64 = 600_000_000;
/// Significant digits of recorded durations: an error below 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Quantiles given in a report.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Time limit for a response of the cloud or of an endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Seconds in an hour, the unit of time of VM prices.
const HOUR_S: f64 = 3_600.0;

/// Results of a run of the clients.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClientReport {
    /// Requests sent.
    pub requests: u64,
    /// Complete and correct responses.
    pub answered: u64,
    /// Requests whose last try was refused as "not run".
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Responses that differ from the expected one.
    pub wrong: u64,
    /// Requests that failed in any other way.
    pub failed: u64,
    /// Refusals that asked the client to retry after a time.
    pub refusals: u64,
    /// Number of times a request was resumed after its connection broke.
    pub resumed: u64,
    /// Time to the first token or the plain response, in milliseconds: median, 95th and 99th
    /// percentile.
    pub first_token_ms: [f64; 3],
    /// Time between tokens, in milliseconds: median, 95th and 99th percentile.
    pub token_gap_ms: [f64; 3],
    /// Prompt tokens that engines recomputed for resumed streams.
    pub tokens_recomputed: u64,
    /// Tokens that engines generated.
    pub tokens_generated: u64,
    /// Cost of the VMs during the run, in cost units.
    pub cost: f64,
    /// Descriptions of the first failures.
    pub failures: Vec<String>,
}

/// Outcome of a request that did not get the expected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum FailedOutcome {
    /// Still refused at the last try; the request has not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The response differs from the expected one.
    #[display("wrong")]
    Wrong,
    /// Any other failure.
    #[display("failed")]
    Failed,
}

/// Collects the results of a run until its report is made.
pub(super) struct RunRecord {
    pub(super) report: ClientReport,
    first_responses: Histogram<u64>,
    token_gaps: Histogram<u64>,
}

impl Default for RunRecord {
    fn default() -> Self {
        Self {
            report: ClientReport::default(),
            first_responses: micros_histogram(),
            token_gaps: micros_histogram(),
        }
    }
}

impl RunRecord {
    /// Records the time from the start of a request to its first token or its plain response.
    pub(super) fn record_first_response(&mut self, elapsed: Duration) {
        self.first_responses.saturating_record(elapsed.as_micros() as u64);
    }

    /// Records the time between two tokens.
    pub(super) fn record_token_gap(&mut self, gap: Duration) {
        self.token_gaps.saturating_record(gap.as_micros() as u64);
    }

    /// Records the failure of the request that `request` describes.
    pub(super) fn record_failure(&mut self, request: &str, outcome: FailedOutcome, detail: &str) {
        let report = &mut self.report;
        match outcome {
            FailedOutcome::NotRun => report.not_run += 1,
            FailedOutcome::Unknown => report.unknown += 1,
            FailedOutcome::Wrong => report.wrong += 1,
            FailedOutcome::Failed => report.failed += 1,
        }
        if report.failures.len() < MAX_DESCRIBED_FAILURES {
            report.failures.push(format!("{request}: {outcome}: {detail}"));
        }
    }

    /// Report of the run, in which `requests` requests were sent.
    pub(super) fn finish(&self, requests: u64) -> ClientReport {
        ClientReport {
            requests,
            first_token_ms: percentiles(&self.first_responses),
            token_gap_ms: percentiles(&self.token_gaps),
            ..self.report.clone()
        }
    }
}

fn micros_histogram() -> Histogram<u64> {
    // Can't fail: the arguments are constants within the allowed bounds.
    Histogram::new_with_max(MAX_DURATION_US, SIGNIFICANT_DIGITS)
        .expect("the histogram bounds are valid")
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    QUANTILES.map(|quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS)
}

/// Adds the cost of the VMs and the token counts of the engines to a report.
pub async fn complete_report(
    report: &mut ClientReport,
    cloud: SocketAddr,
    length: Duration,
) -> Result<(), StepError> {
    let http = HttpClient::new();
    let list = OutgoingCall::get("list VMs", cloud, "/vms");
    let list: VmList = http.fetch(&list, CALL_TIMEOUT).await?.json("list VMs", "cloud")?;
    let prices = OutgoingCall::get("list prices", cloud, "/prices");
    let prices: Vec<PriceEntry> =
        http.fetch(&prices, CALL_TIMEOUT).await?.json("list prices", "cloud")?;
    for vm in list.vms {
        let price = prices.iter().find(|price| price.zone == vm.zone && price.class == vm.class);
        let per_hour = price.map_or(0.0, |price| price.per_hour);
        report.cost += per_hour * length.as_secs_f64() / HOUR_S;
        let counts = OutgoingCall::get("read counts", &vm.address, "/runs");
        // Some of the VMs, such as entry VMs and plain services, don't report counts.
        let Ok(response) = http.fetch(&counts, CALL_TIMEOUT).await else { continue };
        let Ok(counts) = response.json::<WorkCounts>("read counts", &vm.address) else { continue };
        report.tokens_recomputed += counts.resumed_tokens;
        report.tokens_generated += counts.generated_tokens;
    }
    Ok(())
}
