//! Notices when the cloud reclaims a whole zone of endpoints, as a warning for the other zones.
//!
//! Reclaims come in waves, one zone after another within seconds, and replacements take a start
//! time to serve. Waiting for the next zone's notice is therefore too late: from the first zone
//! on, reclaimable endpoints anywhere count as endangered for a while.
//!
//! Inputs are the endpoints held in each zone whenever their list changes, up to a second old.
//! All daemons look, so that a leader that takes over within a wave knows of it. The first look after a start
//! has nothing to compare with, so a zone lost before it goes unnoticed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::zone_plan::{ReclaimRisk, ZoneHolding};
use crate::ids::SharedName;

/// A wave is over when no zone was lost for this multiple of the endpoints' start time.
const WAVE_START_TIMES: f64 = 2.5;
/// Waves of all services, as this daemon has seen them.
#[derive(Debug, Default)]
pub struct ReclaimWaves {
    by_service: HashMap<SharedName, ReclaimWave>,
}

impl ReclaimWaves {
    /// Notes what is held of a service now.
    pub fn observe(
        &mut self,
        service: &SharedName,
        held: &BTreeMap<SharedName, ZoneHolding>,
        now: Instant,
    ) {
        self.by_service.entry(service.clone()).or_default().observe(held, now);
    }

    /// Which zones of a service have to be expected to go; see [`ReclaimWave::risk`].
    pub fn risk(&self, service: &str, start_time: Duration, now: Instant) -> ReclaimRisk {
        let wave = self.by_service.get(service);
        wave.map_or_else(ReclaimRisk::default, |wave| wave.risk(start_time, now))
    }
}

/// Zones of one service lost lately.
#[derive(Debug, Default)]
pub struct ReclaimWave {
    /// Zones that held reclaimable endpoints at the last look.
    occupied: BTreeSet<SharedName>,
    /// When the last zone was lost.
    lost_at: Option<Instant>,
}

impl ReclaimWave {
    /// Notes what is held now.
    pub fn observe(&mut self, held: &BTreeMap<SharedName, ZoneHolding>, now: Instant) {
        let occupied = held.iter().filter(|(_, holding)| holding.reclaimable > 0);
        let occupied: BTreeSet<SharedName> = occupied.map(|(zone, _)| zone.clone()).collect();
        if !self.occupied.is_subset(&occupied) {
            self.lost_at = Some(now);
        }
        self.occupied = occupied;
    }

    /// Which zones have to be expected to go, where new endpoints serve after `start_time`.
    pub fn risk(&self, start_time: Duration, now: Instant) -> ReclaimRisk {
        let lasts = start_time.mul_f64(WAVE_START_TIMES);
        let is_under_way = |at| now.saturating_duration_since(at) < lasts;
        match self.lost_at.is_some_and(is_under_way) {
            true => ReclaimRisk::AllZones,
            false => ReclaimRisk::OneZone,
        }
    }
}
