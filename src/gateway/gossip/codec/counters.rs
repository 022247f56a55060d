//! Encodes and decodes the counters of a daemon or a gossip group.
//!
//! Two structures of the schema (`DaemonState` and `GroupCounters`) have the same fields, but their
//! generated types share no trait. The two macros at the end work with both.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use capnp::{Error, primitive_list, struct_list, text_list};

use super::values::{check_length, read_text};
use crate::{
    exchange_capnp::{endpoint_load, service_counters, window_counts},
    gateway::{
        gossip::messages::DaemonCounters,
        policy::{
            endpoint::endpoint_load::{EndpointLoad, ServiceCounters},
            leader::usage_counts::WindowCounts,
            request::quota::AccountCounters,
        },
    },
    ids::SharedName,
};

/// Accounts with any counters. Lists of numbers by account are in this order.
pub fn account_names(counters: &DaemonCounters) -> Vec<&SharedName> {
    let mut names: Vec<&SharedName> = counters.accounts.keys().collect();
    names.extend(counters.windows.values().flat_map(BTreeMap::keys));
    names.sort_unstable();
    names.dedup();
    names
}

/// Accounts in any of these windows.
pub fn window_names(windows: &BTreeMap<u64, WindowCounts>) -> Vec<&SharedName> {
    let names: BTreeSet<&SharedName> = windows.values().flat_map(BTreeMap::keys).collect();
    names.into_iter().collect()
}

pub fn write_names(mut target: text_list::Builder<'_>, names: &[&SharedName]) {
    for (index, name) in names.iter().enumerate() {
        target.set(index as u32, &***name);
    }
}

pub fn write_units(
    mut target: primitive_list::Builder<'_, u64>,
    names: &[&SharedName],
    counters: &DaemonCounters,
    units_of: impl Fn(&AccountCounters) -> u64,
) {
    for (index, name) in names.iter().enumerate() {
        target.set(index as u32, counters.accounts.get(*name).map_or(0, &units_of));
    }
}

pub fn write_windows(
    mut target: struct_list::Builder<'_, window_counts::Owned>,
    names: &[&SharedName],
    windows: &BTreeMap<u64, WindowCounts>,
) {
    for (index, (window, counts)) in windows.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_window(*window);
        let mut list = entry.init_counts(names.len() as u32);
        for (index, name) in names.iter().enumerate() {
            list.set(index as u32, counts.get(*name).copied().unwrap_or(0) as u32);
        }
    }
}

pub fn write_services(
    mut target: struct_list::Builder<'_, service_counters::Owned>,
    services: &BTreeMap<SharedName, ServiceCounters>,
) {
    for (index, (service, counters)) in services.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_service(&**service);
        entry.set_tokens(counters.uncached_tokens);
        entry.set_requests(counters.requests);
    }
}

pub fn write_loads(
    mut target: struct_list::Builder<'_, endpoint_load::Owned>,
    loads: &HashMap<u64, EndpointLoad>,
) {
    for (index, (endpoint, load)) in loads.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_endpoint(*endpoint);
        entry.set_running(load.running);
        entry.set_prompt_tokens(u32::try_from(load.uncached_tokens).unwrap_or(u32::MAX));
        entry.set_memory_tokens(u32::try_from(load.memory_tokens).unwrap_or(u32::MAX));
    }
}

pub fn read_names(source: text_list::Reader<'_>) -> Result<Vec<SharedName>, Error> {
    check_length(source.len())?;
    source.iter().map(|name| read_text(name?)).collect()
}

pub fn read_units(
    names: &[SharedName],
    spent: primitive_list::Reader<'_, u64>,
    requested: primitive_list::Reader<'_, u64>,
) -> BTreeMap<SharedName, AccountCounters> {
    let units = spent.iter().zip(requested.iter());
    let counters = units.map(|(spent, requested)| AccountCounters { spent, requested });
    names.iter().cloned().zip(counters).collect()
}

pub fn read_windows(
    names: &[SharedName],
    source: struct_list::Reader<'_, window_counts::Owned>,
) -> Result<BTreeMap<u64, WindowCounts>, Error> {
    let mut windows = BTreeMap::new();
    for window in source {
        let counts = names.iter().cloned().zip(window.get_counts()?.iter().map(u64::from));
        windows.insert(window.get_window(), counts.filter(|(_, count)| *count > 0).collect());
    }
    Ok(windows)
}

pub fn read_services(
    source: struct_list::Reader<'_, service_counters::Owned>,
) -> Result<BTreeMap<SharedName, ServiceCounters>, Error> {
    let mut services = BTreeMap::new();
    for entry in source {
        let counters =
            ServiceCounters { uncached_tokens: entry.get_tokens(), requests: entry.get_requests() };
        services.insert(read_text(entry.get_service()?)?, counters);
    }
    Ok(services)
}

pub fn read_loads(
    source: struct_list::Reader<'_, endpoint_load::Owned>,
) -> HashMap<u64, EndpointLoad> {
    let read_load = |load: endpoint_load::Reader<'_>| EndpointLoad {
        running: load.get_running(),
        uncached_tokens: u64::from(load.get_prompt_tokens()),
        memory_tokens: u64::from(load.get_memory_tokens()),
    };
    source.iter().map(|load| (load.get_endpoint(), read_load(load))).collect()
}

/// Writes [`DaemonCounters`] into a builder of either structure.
macro_rules! write_counters {
    ($target:expr, $counters:expr) => {{
        let mut target = $target;
        let counters: &DaemonCounters = $counters;
        let names = counters::account_names(counters);
        let length = names.len() as u32;
        counters::write_names(target.reborrow().init_accounts(length), &names);
        let spent = target.reborrow().init_spent(length);
        counters::write_units(spent, &names, counters, |one| one.spent);
        let requested = target.reborrow().init_requested(length);
        counters::write_units(requested, &names, counters, |one| one.requested);
        let windows = target.reborrow().init_windows(counters.windows.len() as u32);
        counters::write_windows(windows, &names, &counters.windows);
        let services = target.reborrow().init_services(counters.services.len() as u32);
        counters::write_services(services, &counters.services);
        let rollouts = target.reborrow().init_rollouts(counters.rollouts.len() as u32);
        rollouts::write_counts(rollouts, &counters.rollouts);
        let loads = target.init_loads(counters.loads.len() as u32);
        counters::write_loads(loads, &counters.loads);
    }};
}

/// Reads [`DaemonCounters`] from a reader of either structure.
macro_rules! read_counters {
    ($source:expr) => {{
        let source = $source;
        let names = counters::read_names(source.get_accounts()?)?;
        DaemonCounters {
            windows: counters::read_windows(&names, source.get_windows()?)?,
            loads: counters::read_loads(source.get_loads()?),
            services: counters::read_services(source.get_services()?)?,
            rollouts: rollouts::read_counts(source.get_rollouts()?)?,
            accounts: counters::read_units(&names, source.get_spent()?, source.get_requested()?),
        }
    }};
}

pub(super) use {read_counters, write_counters};
