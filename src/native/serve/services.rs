//! Services that own a daemon's state. Each runs as one task with a mailbox, so that its
//! state has one writer.

pub mod copies;
pub mod limit_service;
pub mod router;
pub mod store_service;
pub mod ticket_service;

use tokio::sync::oneshot;

/// Answers a message. The asker may be gone meanwhile; then nobody wants the reply.
pub fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    drop(reply.send(value));
}
