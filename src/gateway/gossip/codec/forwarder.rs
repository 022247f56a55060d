//! What a daemon reports about the tunnels that it carries, in its state.

use std::net::SocketAddr;

use super::values::{from_ms, to_ms};
use crate::{
    exchange_capnp::daemon_state, gateway::policy::daemon::forwarder_choice::ForwarderReport,
};

/// Encodes a report.
pub fn write_forwarder(target: &mut daemon_state::Builder<'_>, source: &ForwarderReport) {
    target.set_tunnel_port(source.address.port());
    target.set_partitioned(source.is_partitioned);
    if let Some(age) = source.contact_age {
        target.set_has_contact(true);
        target.set_contact_age_ms(to_ms(age));
    }
}

/// Decodes the report of the daemon at `address`; none if it carries no tunnels, as those of the last
/// release.
pub fn read_forwarder(
    source: daemon_state::Reader<'_>,
    address: SocketAddr,
) -> Option<ForwarderReport> {
    let port = source.get_tunnel_port();
    (port != 0).then(|| ForwarderReport {
        address: SocketAddr::new(address.ip(), port),
        is_partitioned: source.get_partitioned(),
        contact_age: source.get_has_contact().then(|| from_ms(source.get_contact_age_ms())),
    })
}
