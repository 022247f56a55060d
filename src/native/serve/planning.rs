//! Reads the platform's state, and starts and releases VMs at the cloud.

pub mod planner;
pub mod platform_watch;
