//! What the platform tells the daemons, and the VMs that they ask it for.

pub mod planner;
pub mod platform_watch;
