//! The ports of clients and of operators: HTTP in, HTTP out. Requests are checked here and
//! handed to [`super::run`]; nothing here decides where they run.

pub mod admin;
pub mod client_listener;
pub mod parse;
pub mod problem;
pub mod request_headers;
pub mod response;
pub mod stream_chunks;
