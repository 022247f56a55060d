//! From a client's request to its response.

pub mod admin;
pub mod attempt;
pub mod client_listener;
pub mod context;
pub mod copies;
pub mod driver;
pub mod limit_service;
pub mod once;
pub mod parse;
pub mod planner;
pub mod platform_watch;
pub mod problem;
pub mod response;
pub mod resume;
pub mod router;
pub mod store_service;
pub mod ticket_service;
pub mod timeline;
