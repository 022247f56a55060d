//! Runs requests at this daemon: admission, attempts, retries, moves between endpoints and
//! take-overs.

pub mod admission;
pub mod attempt;
pub mod driver;
pub mod once;
pub mod response_lead;
pub mod resume;
