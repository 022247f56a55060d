//! What daemons read from the platform, and the VMs that they hold and release there.

pub mod planner;
pub mod platform_watch;
