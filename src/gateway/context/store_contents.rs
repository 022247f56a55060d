//! Applies configurations and endpoint lists, read from the store or received from a peer, to the
//! daemon's state.
//!
//! `configuration_state` decides which configuration is the newest; `policy::endpoint::endpoint_starts`
//! decides which endpoints are used while entries are missing from the store.

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
            endpoint::signal_ledger::{EndpointWarning, WarningKind},
        },
    },
    platform,
    store_position::{StoreEra, StorePosition},
};

impl GatewayContext {
    /// Applies a configuration if its version is higher than the current one.
    pub fn apply_configuration(
        &self,
        source: ConfigurationSource,
        position: StorePosition,
        text: Bytes,
    ) {
        let now = boot_clock::now();
        let mut state = self.configuration.borrow_mut();
        let is_from_store = source == ConfigurationSource::Store;
        if is_from_store && state.is_last_read(position) {
            return;
        }
        let decoded = platform::configuration::decode(&text);
        if is_from_store {
            let version = decoded.as_ref().ok().map(|decoded| decoded.version);
            state.record_read(position, version, now);
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
        let (requires_keys, accounts) = (decoded.requires_keys, decoded.accounts.len());
        let required_before = state.current.as_ref().is_some_and(|current| current.requires_keys);
        let outcome = state.apply(decoded, position);
        let lag = match outcome {
            ApplyOutcome::Applied => self.end_configuration_lag(),
            ApplyOutcome::Held | ApplyOutcome::Older => ConfigurationLag::default(),
        };
        spdlog::info!("configuration", kv: {
            version: = version, era: = position.era(), revision = position.revision(), before,
            outcome: = outcome, source: = source, bytes = text.len(), lag_ms = lag.duration_ms,
            withheld = lag.withheld, failed = lag.failed, requires_keys, accounts
        });
        if outcome == ApplyOutcome::Applied {
            log_key_change(version, required_before, requires_keys);
            self.publish_configuration(text);
        }
    }

    /// Offers the text of the new configuration to peers, and wakes those that wait for a change.
    fn publish_configuration(&self, text: Bytes) {
        self.configuration_texts.borrow_mut().push(text);
        self.configuration_changed.notify_waiters();
    }

    fn end_configuration_lag(&self) -> ConfigurationLag {
        let lag = self.catch_up.borrow_mut().take_configuration_lag(boot_clock::now());
        self.metrics.duration("configuration_lag_us", Duration::from_millis(lag.duration_ms));
        lag
    }

    /// Applies a list of endpoints if it is newer than the current one. Returns whether it was.
    pub fn apply_endpoints(&self, list: EndpointList) -> bool {
        if list.position <= self.endpoint_list.borrow().position {
            return false;
        }
        // As listed: each daemon decides for itself which starts are used.
        let text = endpoint_list::write_text(&list);
        self.endpoint_texts.borrow_mut().push(text);
        let now = boot_clock::now();
        let ordered = self.start_order.borrow_mut().apply(list, &self.endpoint_list.borrow(), now);
        for start in &ordered.dropped {
            self.endpoints.borrow_mut().forget_start(*start);
            spdlog::warn!("later start of an endpoint dropped", kv: {
                endpoint = start.endpoint, born = start.born
            });
        }
        let list = ordered.list;
        self.expect_peers_at_start(self.endpoint_list.borrow().position.is_none(), now);
        self.observe_endpoint_era(list.position.era(), now);
        self.entry_history.borrow_mut().apply(list, now);
        self.use_endpoints(now);
        self.endpoints_changed.notify_waiters();
        true
    }

    /// The first data that this daemon reads may come from a store restored from an old copy, so it has to
    /// hear from its peers before it counts as up to date.
    fn expect_peers_at_start(&self, is_first: bool, now: Instant) {
        if is_first {
            self.peer_contact.borrow_mut().expect_response(now);
        }
    }

    /// Records the era of an endpoint list. If it is new, the endpoints that were draining are remembered,
    /// since the restored store may list them as ready.
    pub fn observe_endpoint_era(&self, era: StoreEra, now: Instant) {
        let drained = self.entry_history.borrow_mut().begin_era(era);
        let mut endpoints = self.endpoints.borrow_mut();
        for start in drained {
            let warning = EndpointWarning { start, kind: WarningKind::Draining, at: now };
            endpoints.receive_warning(warning, now, &mut rand::rng());
        }
    }

    /// Uses the listed endpoints alone again once endpoints had the time to rewrite the entries that the
    /// store lost when it was restored from a copy.
    pub fn end_rewrite_period(&self, now: Instant) {
        if self.entry_history.borrow_mut().end_rewrite_period(now) {
            self.use_endpoints(now);
            let count = self.endpoint_list.borrow().endpoints.len();
            spdlog::info!("endpoints", kv: { count, source = "grace period after a store restore ended" });
        }
    }

    fn use_endpoints(&self, now: Instant) {
        let used = self.entry_history.borrow().used();
        self.endpoints.borrow_mut().set_list(&used, now);
        self.versions.borrow_mut().apply(&used, now);
        *self.endpoint_list.borrow_mut() = used;
    }

    /// Records how current the list of endpoints is known to be, by the proof of the configuration, which
    /// is read from the same store and passed on by the same calls.
    pub fn confirm_versions(&self, now: Instant) {
        let proof = self.configuration.borrow().proof;
        self.versions.borrow_mut().confirm(proof, now);
    }

    /// Logs a new era of the store and updates its metric.
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

/// Logs that requests no longer need a key: a slip of an operator would open all routes.
fn log_key_change(version: u64, required_before: bool, requires_keys: bool) {
    if required_before && !requires_keys {
        spdlog::warn!("configuration: names no accounts, requests need no key any more", kv: { version });
    }
}
