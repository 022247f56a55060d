//! Applies what the store holds, read from there or from a peer, to the daemon's state.
//!
//! Which configuration is the newest is decided by `configuration_state`, which endpoints are used
//! while the store lacks some by `policy::endpoint::endpoint_starts`.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::GatewayContext;
use crate::{
    boot_clock,
    gateway::{
        configuration_state::{ApplyOutcome, ConfigurationSource},
        endpoint::EndpointList,
        gossip::codec::endpoint_list,
        policy::{
            daemon::catch_up::ConfigurationLag,
            endpoint::{
                endpoint_starts::keep_latest_starts,
                signal_ledger::{EndpointWarning, WarningKind},
            },
        },
    },
    platform,
    store_position::{StoreEra, StorePosition},
};

impl GatewayContext {
    /// Applies a configuration if its version is above the one held.
    pub fn apply_configuration(
        &self,
        source: ConfigurationSource,
        position: StorePosition,
        text: Bytes,
    ) {
        let now = boot_clock::now();
        let mut state = self.configuration.borrow_mut();
        let is_shown = source == ConfigurationSource::Store;
        if is_shown && state.is_shown(position) {
            return;
        }
        let decoded = platform::configuration::decode(&text);
        if is_shown {
            let version = decoded.as_ref().ok().map(|decoded| decoded.version);
            state.show(position, version, now);
            self.expect_peers_at_start(state.current.is_none(), now);
        }
        let decoded = match decoded {
            Ok(decoded) => decoded,
            Err(error) => {
                spdlog::error!("configuration not decoded: {}", error, kv: { position: = position });
                return;
            }
        };
        let (version, before) = (decoded.version, state.version());
        let outcome = state.apply(decoded, position);
        let lag = match outcome {
            ApplyOutcome::Applied => self.end_configuration_lag(),
            ApplyOutcome::Held | ApplyOutcome::Older => ConfigurationLag::default(),
        };
        spdlog::info!("configuration", kv: {
            version: = version, era: = position.era(), revision = position.revision(), before,
            outcome: = outcome, source: = source, bytes = text.len(), lag_ms = lag.duration_ms,
            withheld = lag.withheld, failed = lag.failed
        });
        if outcome == ApplyOutcome::Applied {
            self.configuration_texts.borrow_mut().push(text);
        }
    }

    fn end_configuration_lag(&self) -> ConfigurationLag {
        let lag = self.catch_up.borrow_mut().take_configuration_lag(boot_clock::now());
        self.metrics.duration("configuration_lag_us", Duration::from_millis(lag.duration_ms));
        lag
    }

    /// Applies a list of endpoints if it is newer than the one held; says whether it was.
    pub fn apply_endpoints(&self, list: EndpointList) -> bool {
        if list.position <= self.endpoint_list.borrow().position {
            return false;
        }
        let list = keep_latest_starts(list, &self.endpoint_list.borrow());
        let text = endpoint_list::write_text(&list);
        self.endpoint_texts.borrow_mut().push(text);
        let now = boot_clock::now();
        self.expect_peers_at_start(self.endpoint_list.borrow().position.is_none(), now);
        self.note_endpoint_era(list.position.era(), now);
        self.entry_history.borrow_mut().apply(list, now);
        self.use_endpoints(now);
        true
    }

    /// What this daemon reads first may be of a copy of the store; its peers know better.
    fn expect_peers_at_start(&self, is_first: bool, now: Instant) {
        if is_first {
            self.peer_contact.borrow_mut().expect_response(now);
        }
    }

    /// Notes an era in which endpoints are listed. In a new one those that drain are remembered: the
    /// store may no longer say so.
    pub fn note_endpoint_era(&self, era: StoreEra, now: Instant) {
        let drained = self.entry_history.borrow_mut().begin_era(era);
        let mut endpoints = self.endpoints.borrow_mut();
        for start in drained {
            let warning = EndpointWarning { start, kind: WarningKind::Draining, at: now };
            endpoints.receive_warning(warning, now, &mut rand::rng());
        }
    }

    /// Uses other endpoints once those that a restored copy of the store lacks had time to write again.
    pub fn end_write_again(&self, now: Instant) {
        if self.entry_history.borrow_mut().end_rewrite_period(now) {
            self.use_endpoints(now);
            let count = self.endpoint_list.borrow().endpoints.len();
            spdlog::info!("endpoints", kv: { count, source = "time to write again is over" });
        }
    }

    fn use_endpoints(&self, now: Instant) {
        let used = self.entry_history.borrow().used();
        self.endpoints.borrow_mut().set_list(&used, now);
        *self.endpoint_list.borrow_mut() = used;
    }

    /// Logs and counts an era of the store that has begun.
    pub fn observe_store_era(&self) {
        let era = self.store.era();
        let before = self.store_era.replace(era);
        if before == era {
            return;
        }
        self.metrics.gauge("store_era", era.0 as f64);
        match before {
            StoreEra(0) => spdlog::info!("store era", kv: { era: = era }),
            _ => spdlog::warn!("store era", kv: { era: = era, before: = before }),
        }
    }
}
