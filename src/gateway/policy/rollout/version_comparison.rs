//! Decides from good and bad responses whether a version serves worse than the others.
//!
//! Answers the load pattern of a roll-out: few requests reach the new version, faults may strike
//! both versions alike, and the verdict is asked for again with each new response. Fixed thresholds
//! on counts give false alarms under such repeated looks, or miss a version that fails one response
//! in ten. The test used here is a sequential one: the ratio of the likelihoods that the two
//! versions have different fractions of bad responses and that they have the same, with the fractions
//! integrated over a Beta prior. It may be evaluated at any time. A version that only looks worse is
//! not stopped, and gets no larger share either. The idea is that of mixture sequential tests (R.
//! Johari et al., "Peeking at A/B Tests", KDD 2017); the two-sided ratio is used only if the new
//! version is the worse one, by more than [`MIN_EXCESS`].
//!
//! Inputs are the sums of all known daemons since the last change of the traffic plan, so that both
//! versions are compared in the same seconds. Reports are as old as gossip makes them. Without
//! reports a daemon decides by its own responses, of which there may be too few.

use super::version_counts::{RouteCounts, VersionCounts};

/// Logarithm of the likelihood ratio from which a version is bad.
const ALARM_LEVEL: f64 = 4.6;
/// Least number of bad responses for a verdict.
const MIN_BAD: u64 = 3;
/// Least difference of the fractions of bad responses: a good version with cold caches is a little
/// slower at first.
pub const MIN_EXCESS: f64 = 0.05;
/// Parameter of the Beta prior on both sides (Jeffreys prior).
const PRIOR: f64 = 0.5;

/// Whether the target version serves the requests of a route worse than the former versions.
pub fn is_worse(counts: &RouteCounts) -> bool {
    let RouteCounts { target, former } = counts;
    target.bad >= MIN_BAD
        && target.bad_fraction() > former.bad_fraction() + MIN_EXCESS
        && log_likelihood_ratio(target, former) >= ALARM_LEVEL
}

/// Whether the target version may be worse, on so little evidence that it is not stopped. It gets no more
/// requests than before.
pub fn looks_worse(counts: &RouteCounts) -> bool {
    let RouteCounts { target, former } = counts;
    target.bad > 1 && target.bad_fraction() > former.bad_fraction() + MIN_EXCESS
}

/// Logarithm of the ratio of two likelihoods of the counts: with different fractions of bad responses
/// and with the same.
fn log_likelihood_ratio(target: &VersionCounts, former: &VersionCounts) -> f64 {
    let mut all = *target;
    all += *former;
    log_marginal(target) + log_marginal(former) - log_marginal(&all)
}

/// Logarithm of the likelihood of the counts, integrated over the prior.
fn log_marginal(counts: &VersionCounts) -> f64 {
    let (bad, good) = (counts.bad as f64, counts.good as f64);
    ln_beta(PRIOR + bad, PRIOR + good) - ln_beta(PRIOR, PRIOR)
}

fn ln_beta(first: f64, second: f64) -> f64 {
    ln_gamma(first) + ln_gamma(second) - ln_gamma(first + second)
}

/// Smallest argument at which Stirling's series is used; smaller ones are shifted up to it.
const STIRLING_FROM: f64 = 8.0;

/// Coefficients of Stirling's series, for the inverse of the argument and its third and fifth power.
const STIRLING_SERIES: [f64; 3] = [1.0 / 12.0, -1.0 / 360.0, 1.0 / 1260.0];

/// Logarithm of the gamma function for positive arguments, by Stirling's series; its error is below
/// 1e-8.
fn ln_gamma(mut argument: f64) -> f64 {
    let mut shift = 0.0;
    while argument < STIRLING_FROM {
        shift += argument.ln();
        argument += 1.0;
    }
    let inverse = 1.0 / argument;
    let square = inverse * inverse;
    let [first, third, fifth] = STIRLING_SERIES;
    let series = inverse * (first + square * (third + square * fifth));
    let half_ln_tau = 0.5 * std::f64::consts::TAU.ln();
    (argument - 0.5) * argument.ln() - argument + half_ln_tau + series - shift
}
