//! The platform's services as the native interface meets them: object API, cloud API, VM
//! list. `standin::platform` serves the same wire; the gateway's platform is another one
//! (`crate::platform`).

pub mod client;
pub mod messages;

/// Header of each response that names the era of the objects: how often they were restored from
/// a copy.
pub const ERA_HEADER: &str = "store-era";
