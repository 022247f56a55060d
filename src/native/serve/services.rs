//! Services that own a daemon's state. Each runs as one task with an inbox, so that its state has
//! one writer.

pub mod copies;
pub mod limit_service;
pub mod router;
pub mod store_service;
pub mod ticket_service;

use tokio::sync::oneshot;

/// Replies to a message. The reply is dropped if its receiver is gone.
pub fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    drop(reply.send(value));
}
