//! News between daemons, translated from and to the schema.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use capnp::Error;

use super::peer_table::PeerSummary;
use crate::{
    exchange_capnp::{daemon_state, news, peer_word},
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        policy::{endpoint_load::LoadSum, quota::AccountCounters, usage_counts::WindowCounts},
    },
    ids::{IncarnationId, SharedName},
};

/// Most entries of a list that are taken from a peer.
const LIST_LIMIT: u32 = 65_536;

/// State of a daemon, as it tells the others.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonState {
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Name of its VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Where its gate listens.
    pub address: SocketAddr,
    /// Rises with every state.
    pub sequence: u64,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// What it has done.
    pub counters: DaemonCounters,
}

/// What one daemon, or a group of daemons, has done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonCounters {
    /// Quota units by account, since the daemon that tells of them started.
    pub accounts: BTreeMap<SharedName, AccountCounters>,
    /// Requests that began to run, by window and account.
    pub windows: BTreeMap<u64, WindowCounts>,
    /// Loads, by the numbers of the endpoints.
    pub loads: HashMap<u64, LoadSum>,
    /// Prompt tokens sent to be read, by service.
    pub sent: BTreeMap<SharedName, u64>,
}

/// Word of the lease of the duties.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSummary {
    /// Fence of the holder.
    pub fence: u64,
    /// Name of the holder.
    pub holder: SharedName,
    /// Milliseconds since its newest renewal was begun.
    pub age_ms: u32,
    /// Daemons that the holder knew of; 0 if not known.
    pub daemons: usize,
}

/// Word of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationSummary {
    /// Revision held; 0 if none.
    pub revision: u64,
    /// Its text, where the other side has asked for it.
    pub text: Option<Vec<u8>>,
    /// Milliseconds since the store was asked that answered with this revision.
    pub proof_age_ms: Option<u32>,
}

/// What an answer should hold beside the usual. Long texts are only sent to who asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestedParts {
    /// Sums of the group of the daemon that answers.
    pub group: bool,
    /// Text of its configuration.
    pub configuration: bool,
    /// Its list of endpoints.
    pub endpoints: bool,
}

/// All that one side of an exchange tells.
#[derive(Clone, Debug)]
pub struct GossipMessage {
    /// Its state.
    pub state: DaemonState,
    /// Some other daemons.
    pub known: Vec<PeerSummary>,
    /// The configuration.
    pub configuration: ConfigurationSummary,
    /// Revision of its list of endpoints.
    pub endpoint_revision: u64,
    /// The list, where the other side has asked for it.
    pub endpoints: Option<EndpointList>,
    /// The lease, if any is known.
    pub lease: Option<LeaseSummary>,
    /// What the answer should hold beside the usual.
    pub wants: RequestedParts,
    /// Sums of the group of the daemon that answers.
    pub group: Option<DaemonCounters>,
}

fn text(reader: capnp::text::Reader<'_>) -> Result<SharedName, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    Ok(text.into())
}

fn address(reader: capnp::text::Reader<'_>) -> Result<SocketAddr, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    text.parse().map_err(|_| Error::failed("malformed address".into()))
}

fn bounded(length: u32) -> Result<u32, Error> {
    match length <= LIST_LIMIT {
        true => Ok(length),
        false => Err(Error::failed("list too long".into())),
    }
}

/// Writes a tally into the fields that the schema's two structures for it share.
macro_rules! write_counters {
    ($target:expr, $source:expr) => {{
        let (mut target, source): (_, &DaemonCounters) = ($target, $source);
        let mut accounts: Vec<&SharedName> = source.accounts.keys().collect();
        accounts.extend(source.windows.values().flat_map(BTreeMap::keys));
        accounts.sort_unstable();
        accounts.dedup();
        let mut names = target.reborrow().init_accounts(accounts.len() as u32);
        for (index, name) in accounts.iter().enumerate() {
            names.set(index as u32, &***name);
        }
        let mut spent = target.reborrow().init_spent(accounts.len() as u32);
        for (index, name) in accounts.iter().enumerate() {
            spent.set(index as u32, source.accounts.get(*name).map_or(0, |one| one.spent));
        }
        let mut asked = target.reborrow().init_asked(accounts.len() as u32);
        for (index, name) in accounts.iter().enumerate() {
            asked.set(index as u32, source.accounts.get(*name).map_or(0, |one| one.requested));
        }
        let mut windows = target.reborrow().init_windows(source.windows.len() as u32);
        for (place, (window, counts)) in source.windows.iter().enumerate() {
            let mut entry = windows.reborrow().get(place as u32);
            entry.set_window(*window);
            let mut list = entry.init_counts(accounts.len() as u32);
            for (index, name) in accounts.iter().enumerate() {
                list.set(index as u32, counts.get(*name).copied().unwrap_or(0) as u32);
            }
        }
        let mut sent = target.reborrow().init_sent(source.sent.len() as u32);
        for (index, (service, tokens)) in source.sent.iter().enumerate() {
            let mut entry = sent.reborrow().get(index as u32);
            entry.set_service(&**service);
            entry.set_tokens(*tokens);
        }
        let mut loads = target.init_loads(source.loads.len() as u32);
        for (index, (endpoint, load)) in source.loads.iter().enumerate() {
            let mut entry = loads.reborrow().get(index as u32);
            entry.set_replica(*endpoint);
            entry.set_running(load.running);
            entry.set_prompt_tokens(u32::try_from(load.uncached).unwrap_or(u32::MAX));
            entry.set_memory_tokens(u32::try_from(load.memory).unwrap_or(u32::MAX));
        }
    }};
}

/// Reads a tally from the fields that the schema's two structures for it share.
macro_rules! read_counters {
    ($source:expr) => {{
        let source = $source;
        let accounts = source.get_accounts()?;
        bounded(accounts.len())?;
        let accounts: Vec<Arc<str>> =
            accounts.iter().map(|name| text(name?)).collect::<Result<_, Error>>()?;
        let mut windows = BTreeMap::new();
        for window in source.get_windows()? {
            let counts = accounts.iter().cloned().zip(window.get_counts()?.iter().map(u64::from));
            windows.insert(window.get_window(), counts.filter(|(_, count)| *count > 0).collect());
        }
        let mut loads = HashMap::new();
        for load in source.get_loads()? {
            let sum = LoadSum {
                running: load.get_running(),
                uncached: u64::from(load.get_prompt_tokens()),
                memory: u64::from(load.get_memory_tokens()),
            };
            loads.insert(load.get_replica(), sum);
        }
        let mut sent = BTreeMap::new();
        for entry in source.get_sent()? {
            sent.insert(text(entry.get_service()?)?, entry.get_tokens());
        }
        let units = source.get_spent()?.iter().zip(source.get_asked()?.iter());
        let counters = units.map(|(spent, requested)| AccountCounters { spent, requested });
        let accounts = accounts.iter().cloned().zip(counters).collect();
        DaemonCounters { accounts, windows, loads, sent }
    }};
}

/// Writes a daemon's news.
pub fn write_message(mut target: news::Builder<'_>, source: &GossipMessage) {
    write_state(target.reborrow().init_state(), &source.state);
    let mut known = target.reborrow().init_known(source.known.len() as u32);
    for (index, word) in source.known.iter().enumerate() {
        let mut entry = known.reborrow().get(index as u32);
        entry.set_address(word.address.to_string());
        entry.set_incarnation(word.incarnation.0);
        entry.set_age_ms(u32::try_from(word.age.as_millis()).unwrap_or(u32::MAX));
    }
    target.set_wants_row(source.wants.group);
    target.set_wants_configuration(source.wants.configuration);
    target.set_wants_replicas(source.wants.endpoints);
    if let Some(group) = &source.group {
        target.set_has_row(true);
        write_counters!(target.reborrow().init_row(), group);
    }
    target.set_configuration(source.configuration.revision);
    if let Some(text) = &source.configuration.text {
        target.set_configuration_text(text);
    }
    if let Some(age) = source.configuration.proof_age_ms {
        target.set_proven(true);
        target.set_proof_age_ms(age);
    }
    target.set_replicas(source.endpoint_revision);
    if let Some(list) = &source.endpoints {
        target.set_has_replicas(true);
        let mut entries = target.reborrow().init_replica_entries(list.endpoints.len() as u32);
        for (index, record) in list.endpoints.iter().enumerate() {
            let mut entry = entries.reborrow().get(index as u32);
            entry.set_id(&*record.id);
            entry.set_service(&*record.service);
            entry.set_address(record.address.to_string());
            entry.set_zone(&*record.zone);
            entry.set_slots(record.slots);
            entry.set_draining(record.state == EndpointState::Draining);
            entry.set_reclaimable(record.reclaimable);
        }
    }
    if let Some(lease) = &source.lease {
        let mut target = target.init_lease();
        target.set_fence(lease.fence);
        target.set_holder(&*lease.holder);
        target.set_age_ms(lease.age_ms);
        target.set_daemons(u32::try_from(lease.daemons).unwrap_or(u32::MAX));
    }
}

fn write_state(mut target: daemon_state::Builder<'_>, source: &DaemonState) {
    target.set_incarnation(source.incarnation.0);
    target.set_name(&*source.name);
    target.set_zone(&*source.zone);
    target.set_address(source.address.to_string());
    target.set_sequence(source.sequence);
    target.set_leaving(source.leaving);
    write_counters!(target, &source.counters);
}

/// Reads a daemon's news.
pub fn read_message(source: news::Reader<'_>) -> Result<GossipMessage, Error> {
    let known = source.get_known()?;
    bounded(known.len())?;
    let known = known.iter().map(read_summary).collect::<Result<_, Error>>()?;
    let endpoint_revision = source.get_replicas();
    let endpoints = match source.get_has_replicas() {
        true => Some(read_endpoints(source, endpoint_revision)?),
        false => None,
    };
    let text_bytes = source.get_configuration_text()?;
    let lease = source.get_lease()?;
    let lease = match lease.get_fence() {
        0 => None,
        fence => Some(LeaseSummary {
            fence,
            holder: text(lease.get_holder()?)?,
            age_ms: lease.get_age_ms(),
            daemons: lease.get_daemons() as usize,
        }),
    };
    Ok(GossipMessage {
        state: read_state(source.get_state()?)?,
        known,
        configuration: ConfigurationSummary {
            revision: source.get_configuration(),
            text: (!text_bytes.is_empty()).then(|| text_bytes.to_vec()),
            proof_age_ms: source.get_proven().then(|| source.get_proof_age_ms()),
        },
        endpoint_revision,
        endpoints,
        lease,
        wants: RequestedParts {
            group: source.get_wants_row(),
            configuration: source.get_wants_configuration(),
            endpoints: source.get_wants_replicas(),
        },
        group: match source.get_has_row() {
            true => Some(read_counters!(source.get_row()?)),
            false => None,
        },
    })
}

fn read_endpoints(source: news::Reader<'_>, revision: u64) -> Result<EndpointList, Error> {
    let entries = source.get_replica_entries()?;
    bounded(entries.len())?;
    let mut endpoints = Vec::with_capacity(entries.len() as usize);
    for entry in entries {
        let state = match entry.get_draining() {
            true => EndpointState::Draining,
            false => EndpointState::Ready,
        };
        endpoints.push(Rc::new(EndpointRecord {
            id: text(entry.get_id()?)?,
            service: text(entry.get_service()?)?,
            address: address(entry.get_address()?)?,
            zone: text(entry.get_zone()?)?,
            slots: entry.get_slots(),
            state,
            reclaimable: entry.get_reclaimable(),
        }));
    }
    Ok(EndpointList { revision, endpoints })
}

fn read_state(source: daemon_state::Reader<'_>) -> Result<DaemonState, Error> {
    Ok(DaemonState {
        incarnation: IncarnationId(source.get_incarnation()),
        name: text(source.get_name()?)?,
        zone: text(source.get_zone()?)?,
        address: address(source.get_address()?)?,
        sequence: source.get_sequence(),
        leaving: source.get_leaving(),
        counters: read_counters!(source),
    })
}

fn read_summary(source: peer_word::Reader<'_>) -> Result<PeerSummary, Error> {
    Ok(PeerSummary {
        address: address(source.get_address()?)?,
        incarnation: IncarnationId(source.get_incarnation()),
        age: Duration::from_millis(u64::from(source.get_age_ms())),
    })
}
