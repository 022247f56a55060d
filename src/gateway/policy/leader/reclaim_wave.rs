//! Detects that the cloud reclaims all endpoints of a zone, which puts the other zones at risk.
//!
//! Reclaims come in waves, one zone after another within seconds, and replacements serve only
//! after the endpoints' start time. Waiting for the next zone's notice would therefore be too late:
//! after the first zone, reclaimable endpoints of all zones count as at risk for a while.
//!
//! Inputs are the endpoints held in each zone whenever their list changes, up to a second old. All
//! daemons observe them, so that a leader that takes over during a wave knows of it. The first
//! observation after a start can't be compared with an earlier one, so a zone lost before it is not
//! detected.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::zone_plan::{ReclaimRisk, ZoneHolding};
use crate::ids::SharedName;

/// A wave is over if no zone was lost for this multiple of the endpoints' start time.
const WAVE_START_TIMES: f64 = 2.5;

/// Waves of all services, as this daemon has seen them.
#[derive(Debug, Default)]
pub struct ReclaimWaves {
    by_service: HashMap<SharedName, ReclaimWave>,
}

impl ReclaimWaves {
    /// Records the endpoints of a service that are held now.
    pub fn observe(
        &mut self,
        service: &SharedName,
        held: &BTreeMap<SharedName, ZoneHolding>,
        now: Instant,
    ) {
        self.by_service.entry(service.clone()).or_default().observe(held, now);
    }

    /// Reclaim risk of a service; see [`ReclaimWave::risk`].
    pub fn risk(&self, service: &str, start_time: Duration, now: Instant) -> ReclaimRisk {
        let wave = self.by_service.get(service);
        wave.map_or_else(ReclaimRisk::default, |wave| wave.risk(start_time, now))
    }
}

/// Recent loss of zones of one service.
#[derive(Debug, Default)]
pub struct ReclaimWave {
    /// Zones that held reclaimable endpoints at the last observation.
    occupied: BTreeSet<SharedName>,
    /// When the last zone was lost.
    lost_at: Option<Instant>,
}

impl ReclaimWave {
    /// Records the endpoints that are held now.
    pub fn observe(&mut self, held: &BTreeMap<SharedName, ZoneHolding>, now: Instant) {
        let occupied = held.iter().filter(|(_, holding)| holding.reclaimable > 0);
        let occupied: BTreeSet<SharedName> = occupied.map(|(zone, _)| zone.clone()).collect();
        if !self.occupied.is_subset(&occupied) {
            self.lost_at = Some(now);
        }
        self.occupied = occupied;
    }

    /// Which zones are at risk, if new endpoints serve after `start_time`.
    pub fn risk(&self, start_time: Duration, now: Instant) -> ReclaimRisk {
        let lasts = start_time.mul_f64(WAVE_START_TIMES);
        let is_under_way = |at| now.saturating_duration_since(at) < lasts;
        match self.lost_at.is_some_and(is_under_way) {
            true => ReclaimRisk::AllZones,
            false => ReclaimRisk::OneZone,
        }
    }
}
