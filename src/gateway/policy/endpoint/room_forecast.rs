//! When the endpoints of a service will have room: sets the retry time of refused requests.

use tokio::time::Instant;

/// When one endpoint will have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointRoom {
    /// It has room now.
    Now,
    /// It takes no requests of this daemon before this time.
    At(Instant),
    /// It is full, and it is not known when one of its requests will end.
    Unknown,
}

/// When a service will have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomForecast {
    /// An endpoint has room now.
    Now,
    /// No endpoint takes requests of this daemon now, because of back-offs or limits.
    Later {
        /// When the first of them takes requests again.
        first: Instant,
        /// When the last of them does.
        last: Instant,
    },
    /// No endpoint has room now and some are full, or there are no endpoints.
    Unknown,
}

impl RoomForecast {
    /// Forecast for a service whose endpoints have this room.
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
