//! HTTP listeners for clients and operators. They check requests and pass them to [`super::run`],
//! which decides where they run.

pub mod admin;
pub mod client_listener;
pub mod parse;
pub mod problem;
pub mod request_headers;
pub mod response;
pub mod stream_chunks;
