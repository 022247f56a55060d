//! Which items may be stored at all, whatever their version: those whose value decodes.

use super::{
    items::{ItemKind, SpreadItem},
    members::MemberRecord,
};
use crate::{
    ids::IncarnationId,
    native::{
        cloud_api::messages::{ReclaimNotice, VmEntry},
        options::rows::TableRow,
    },
};

/// A corrupt item must not take a good one's place.
pub fn is_sound(item: &SpreadItem) -> bool {
    match item.key.kind {
        ItemKind::Member => {
            parse_incarnation(&item.key.name).is_some() && item.decode::<MemberRecord>().is_some()
        }
        ItemKind::Row => {
            item.value.is_none()
                || item
                    .decode::<serde_json::Value>()
                    .is_some_and(|value| TableRow::parse(&value, "row").is_ok())
        }
        ItemKind::Vm => item.value.is_none() || item.decode::<VmEntry>().is_some(),
        ItemKind::Notice => item.decode::<ReclaimNotice>().is_some(),
    }
}

/// Incarnation named by a member item.
pub fn parse_incarnation(name: &str) -> Option<IncarnationId> {
    u64::from_str_radix(name, 16).ok().map(IncarnationId)
}
