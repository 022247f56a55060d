//! What a daemon that may be stopping accepts.

/// Whether a daemon accepts requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Accepts both.
    Open,
    /// Accepts connections and refuses requests.
    Refusing,
    /// Accepts no connections.
    Closed,
}
