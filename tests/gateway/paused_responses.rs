//! Responses that are whole in the end and pause once: before the head, before the first event, between events
//! or inside one, for a time or for good.

use std::{
    io::{ErrorKind, Result, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    endpoint_standin::{has_closed, write_chunk},
    pausing_endpoint::PausePlace,
};

/// Piece of the body at which a response pauses between events or inside one, if it has that many.
const PAUSED_PIECE: usize = 2;
/// Interval at which it is checked whether the daemon has closed the connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a response that pauses for good keeps its connection open.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// A pause in each response.
#[derive(Clone, Copy, Debug)]
pub struct ResponsePause {
    pub place: PausePlace,
    /// None: for good.
    pub time: Option<Duration>,
}

impl ResponsePause {
    /// Writes a chunked response of these pieces, each of which is an event or a whole body.
    ///
    /// # Errors
    ///
    /// The daemon has closed the connection, or the pause was for good.
    pub fn write(self, out: &mut TcpStream, head: &str, pieces: &[String]) -> Result<()> {
        self.wait_at(out, PausePlace::BeforeHead)?;
        out.write_all(head.as_bytes())?;
        self.wait_at(out, PausePlace::AfterHead)?;
        let paused_piece = PAUSED_PIECE.min(pieces.len().saturating_sub(1));
        for (number, piece) in pieces.iter().enumerate() {
            if number != paused_piece {
                write_chunk(out, piece)?;
                continue;
            }
            let (begin, end) = piece.split_at(piece.len() / 2);
            self.wait_at(out, PausePlace::BetweenEvents)?;
            write_chunk(out, begin)?;
            self.wait_at(out, PausePlace::InsideEvent)?;
            write_chunk(out, end)?;
        }
        out.write_all(b"0\r\n\r\n")
    }

    /// Waits if the response pauses at this place.
    fn wait_at(self, out: &TcpStream, place: PausePlace) -> Result<()> {
        if place != self.place {
            return Ok(());
        }
        let until = Instant::now() + self.time.unwrap_or(MAX_PAUSE);
        while Instant::now() < until {
            if has_closed(out) {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(CLOSE_CHECK_INTERVAL);
        }
        match self.time {
            Some(_) => Ok(()),
            None => Err(ErrorKind::TimedOut.into()),
        }
    }
}
