//! The platform's services that the native interface uses: object API, cloud API and VM list.
//! `standin::platform` implements the same protocol; the gateway uses a different platform
//! (`crate::platform`).

pub mod client;
pub mod messages;

/// Response header with the era of the objects: how many times they were restored from a backup.
pub const ERA_HEADER: &str = "store-era";
