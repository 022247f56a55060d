//! Which responses count as slow: those that take several times as long as the responses of the
//! same route from versions that are not being rolled out.
//!
//! Inputs are this daemon's own responses. A route without any yet is compared with its target.

use std::{collections::HashMap, time::Duration};

use crate::ids::SharedName;

/// A response is slow if it takes longer than this multiple of the mean.
const SLOW_FACTOR: f64 = 2.0;
/// Time by which a response must exceed that multiple: covers the noise of very fast routes.
const SLOW_MARGIN: Duration = Duration::from_millis(30);
/// Weight of the newest response in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Mean times to the first part of a response, by route.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    means: HashMap<SharedName, Duration>,
}

impl ResponseTimes {
    /// Records a response of a version that is not being rolled out.
    pub fn record(&mut self, route: &SharedName, elapsed: Duration) {
        match self.means.get_mut(route) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - NEWEST_WEIGHT) + elapsed.mul_f64(NEWEST_WEIGHT);
            }
            None => {
                self.means.insert(route.clone(), elapsed);
            }
        }
    }

    /// Longest time of a response of `route` that does not count as slow; `target` is the time within
    /// which the operators want it.
    pub fn limit(&self, route: &str, target: Duration) -> Duration {
        let mean = self.means.get(route).copied();
        mean.map_or(target, |mean| mean.mul_f64(SLOW_FACTOR)) + SLOW_MARGIN
    }
}
