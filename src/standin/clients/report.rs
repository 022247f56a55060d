//! What a run came to: counts of outcomes, times, cost.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    errors::StepError,
    http::client::{HttpClient, OutgoingCall},
    native::cloud_api::messages::{PriceEntry, VmList},
    standin::endpoint::WorkCounts,
};

/// Failures that a report describes: enough to see what goes wrong.
const DESCRIBED_FAILURES: usize = 10;
/// Longest duration told apart, in microseconds: ten minutes. Longer than all tries of a request.
const HIGHEST_US: u64 = 600_000_000;
/// Significant digits of durations: within 0.1%.
const PRECISION: u8 = 3;
/// Quantiles that a report gives.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Longest wait for a response of the cloud or of an endpoint.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Seconds in the hour for which prices are given.
const HOUR_S: f64 = 3_600.0;

/// What a run of the clients came to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClientReport {
    /// Requests sent.
    pub requests: u64,
    /// Whole and correct responses.
    pub answered: u64,
    /// Requests whose last try was refused as "not run".
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Responses that were not the one expected.
    pub wrong: u64,
    /// Requests that came to nothing else.
    pub failed: u64,
    /// Refusals with a time to retry after.
    pub refusals: u64,
    /// Times a broken connection was resumed.
    pub resumed: u64,
    /// First token or response, in milliseconds: median, 95, 99 in 100.
    pub first_token_ms: [f64; 3],
    /// Time between tokens, in milliseconds: median, 95, 99 in 100.
    pub token_gap_ms: [f64; 3],
    /// Prompt tokens that engines computed again for resumed streams.
    pub tokens_recomputed: u64,
    /// Tokens that engines generated.
    pub tokens_generated: u64,
    /// Cost of the VMs during the run, in cost units.
    pub cost: f64,
    /// First few failures, in words.
    pub failures: Vec<String>,
}

/// How a request ended that did not get its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum FailedOutcome {
    /// Refused to the last; it has not run.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// Responded with something else than expected.
    #[display("wrong")]
    Wrong,
    /// Anything else.
    #[display("failed")]
    Failed,
}

/// Report in the making.
pub(super) struct RunRecord {
    pub(super) report: ClientReport,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl Default for RunRecord {
    fn default() -> Self {
        Self {
            report: ClientReport::default(),
            first: micros_histogram(),
            gaps: micros_histogram(),
        }
    }
}

impl RunRecord {
    /// Records the time until the first token or the response.
    pub(super) fn record_first(&mut self, elapsed: Duration) {
        self.first.saturating_record(elapsed.as_micros() as u64);
    }

    /// Records the time between two tokens.
    pub(super) fn record_gap(&mut self, gap: Duration) {
        self.gaps.saturating_record(gap.as_micros() as u64);
    }

    /// Records a request that failed; `request` says which.
    pub(super) fn record_failure(&mut self, request: &str, outcome: FailedOutcome, detail: &str) {
        let report = &mut self.report;
        match outcome {
            FailedOutcome::NotRun => report.not_run += 1,
            FailedOutcome::Unknown => report.unknown += 1,
            FailedOutcome::Wrong => report.wrong += 1,
            FailedOutcome::Failed => report.failed += 1,
        }
        if report.failures.len() < DESCRIBED_FAILURES {
            report.failures.push(format!("{request}: {outcome}: {detail}"));
        }
    }

    /// The report of a run of `requests`.
    pub(super) fn finish(&self, requests: u64) -> ClientReport {
        ClientReport {
            requests,
            first_token_ms: percentiles(&self.first),
            token_gap_ms: percentiles(&self.gaps),
            ..self.report.clone()
        }
    }
}

fn micros_histogram() -> Histogram<u64> {
    // The arguments are constants within the allowed bounds.
    Histogram::new_with_max(HIGHEST_US, PRECISION).expect("constant histogram bounds")
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    QUANTILES.map(|quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS)
}

/// Adds what the endpoints and the platform know to a report.
pub async fn complete_report(
    report: &mut ClientReport,
    cloud: SocketAddr,
    length: Duration,
) -> Result<(), StepError> {
    let http = HttpClient::new();
    let list = OutgoingCall::get("list VMs", cloud, "/vms");
    let list: VmList = http.fetch(&list, CALL_LIMIT).await?.json("list VMs", "cloud")?;
    let prices = OutgoingCall::get("list prices", cloud, "/prices");
    let prices: Vec<PriceEntry> =
        http.fetch(&prices, CALL_LIMIT).await?.json("list prices", "cloud")?;
    for vm in list.vms {
        let price = prices.iter().find(|price| price.zone == vm.zone && price.class == vm.class);
        let per_hour = price.map_or(0.0, |price| price.per_hour);
        report.cost += per_hour * length.as_secs_f64() / HOUR_S;
        let counts = OutgoingCall::get("read counts", &vm.address, "/runs");
        // Entry VMs and plain services among them have no counts to give.
        let Ok(answer) = http.fetch(&counts, CALL_LIMIT).await else { continue };
        let Ok(counts) = answer.json::<WorkCounts>("read counts", &vm.address) else { continue };
        report.tokens_recomputed += counts.resumed_tokens;
        report.tokens_generated += counts.generated_tokens;
    }
    Ok(())
}
