//! Validation of items: only those whose value decodes are stored, whatever their version.

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

/// Whether the name and value of an item decode. A corrupt item must not replace a valid one.
pub fn is_valid_item(item: &SpreadItem) -> bool {
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

/// Parses the name of a member item.
pub fn parse_incarnation(name: &str) -> Option<IncarnationId> {
    u64::from_str_radix(name, 16).ok().map(IncarnationId)
}
