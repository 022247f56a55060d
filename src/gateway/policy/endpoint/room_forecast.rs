//! When the endpoints of a service will have room, for what clients are told that were refused.

use tokio::time::Instant;

/// When one endpoint will have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointRoom {
    /// It has some.
    Now,
    /// It wants no requests of this daemon until then.
    At(Instant),
    /// It is full; when a request ends there isn't known.
    Unknown,
}

/// When a service will have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomForecast {
    /// An endpoint has some.
    Now,
    /// All endpoints want no requests of this daemon, by back-offs or limits: the first from `first`
    /// on, the last from `last` on.
    Later {
        /// When the first may be asked again.
        first: Instant,
        /// When the last may.
        last: Instant,
    },
    /// All are full, or there is none.
    Unknown,
}

impl RoomForecast {
    /// The forecast for endpoints with this room.
    pub fn of(endpoints: impl Iterator<Item = EndpointRoom>) -> Self {
        let mut times = Vec::new();
        let mut is_any_unknown = false;
        for room in endpoints {
            match room {
                EndpointRoom::Now => return Self::Now,
                EndpointRoom::At(time) => times.push(time),
                EndpointRoom::Unknown => is_any_unknown = true,
            }
        }
        match (times.iter().min(), times.iter().max()) {
            (Some(first), Some(last)) if !is_any_unknown => {
                Self::Later { first: *first, last: *last }
            }
            _ => Self::Unknown,
        }
    }
}
