//! Names of VMs to start.

use std::collections::HashSet;

use super::FleetPlace;
use crate::{ids::SharedName, native::cloud_api::messages::PriceClass};

/// Returns the free name with the lowest number at a place. Two planners that decide at the same
/// time choose the same name, and the cloud starts a name only once.
pub fn free_name(
    service: &SharedName,
    place: &FleetPlace,
    taken: &HashSet<SharedName>,
) -> SharedName {
    let class = match place.class {
        PriceClass::Reclaimable => "r",
        PriceClass::OnDemand => "d",
    };
    let names = (1_usize..).map(|number| format!("{service}-{}-{class}-{number}", place.zone));
    let mut free = names.map(SharedName::from).filter(|name| !taken.contains(name));
    // The iterator is unbounded, so there always is a free name.
    free.next().unwrap_or_default()
}
