//! Names of VMs to start.

use std::collections::HashSet;

use super::FleetPlace;
use crate::{ids::SharedName, native::cloud_api::messages::PriceClass};

/// Lowest free name at a place. Two planners at once choose the same name, and the
/// cloud starts it once.
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
    // The numbers do not end, so there is a free one.
    free.next().unwrap_or_default()
}
