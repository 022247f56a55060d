//! A daemon whose links to the platform can hold back what was sent.

use std::{net::SocketAddr, path::Path};

use serde_json::json;

use crate::{
    gateway_site::{Gateway, daemon_settings},
    held_link::HeldLink,
    platform_standin::PlatformStandin,
};

/// A daemon behind links of its own to the store and to the cloud API.
pub struct LinkedDaemon {
    pub name: String,
    pub gateway: Gateway,
    pub store: HeldLink,
    pub cloud: HeldLink,
}

impl LinkedDaemon {
    pub fn start(name: &str, platform: &PlatformStandin, seeds: &[SocketAddr]) -> Self {
        let (store, cloud) = (HeldLink::start(platform.address), HeldLink::start(platform.address));
        let program = Path::new(env!("CARGO_BIN_EXE_willowarchd"));
        let gateway = Gateway::start_settings(program, name, |ip| {
            let mut settings = daemon_settings(name, ip, store.address, seeds, &json!({}));
            settings["cloud-api"]["address"] = json!(cloud.address);
            settings
        });
        Self { name: name.into(), gateway, store, cloud }
    }
}
