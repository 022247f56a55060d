//! Structured logs, one JSON object per line: the gateway logs to standard output, the native
//! interface to standard error. `LineBudget` limits log lines whose number depends on clients.

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};
use tokio::time::Instant;

use crate::native::options::settings::LogLevel;

/// Lines that may wait to be written; more are dropped. Enough for the request lines of six seconds
/// at their rate limits.
const WAITING_LINES: usize = 8_192;

/// Longest time for which the end of the process waits for its lines to be written: less than is left of a grace
/// time.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Sends the process's logs to standard output as JSON lines. A separate thread writes them, so
/// that the daemon is not blocked if nothing reads its output; lines beyond `WAITING_LINES` are
/// then dropped.
pub fn set_up_stdout() -> Result<(), spdlog::Error> {
    let stream = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let capacity = WAITING_LINES.try_into().expect("a constant above 0");
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes the waiting lines, as long as somebody reads them; the last call before the process ends, since later
/// lines are lost.
pub fn finish() {
    let Ok(silent) = Logger::builder().build() else { return };
    let logger = spdlog::swap_default_logger(Arc::new(silent));
    let (done, is_done) = mpsc::channel::<()>();
    thread::spawn(move || {
        // Waits for the thread that writes.
        drop(logger);
        drop(done);
    });
    // The thread has ended if this fails without a timeout.
    let _ = is_done.recv_timeout(FINISH_LIMIT);
}

/// Interval after which a budget is reset.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// What a log line says; lines of each rank have a limit of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineRank {
    /// All went well.
    Usual,
    /// Something was refused.
    Refusal,
    /// Something that had begun was lost.
    Loss,
}

/// Number of ranks.
const RANKS: usize = 3;

/// Limits the log lines of one kind that are written per second, and counts those dropped. Frequent lines of one rank
/// don't displace those of another.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u32,
    period_start: Instant,
    /// Lines written in the period, by rank.
    written: [u32; RANKS],
    dropped: u64,
}

impl LineBudget {
    /// Creates a budget of `lines_per_s` for the lines of each rank.
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        Self { lines_per_s, period_start: now, written: [0; RANKS], dropped: 0 }
    }

    /// Whether a usual line may be written now; counts it as written or dropped.
    pub fn allows(&mut self, now: Instant) -> bool {
        self.allows_rank(LineRank::Usual, now)
    }

    /// Whether a line of this rank may be written now; counts it as written or dropped.
    pub fn allows_rank(&mut self, rank: LineRank, now: Instant) -> bool {
        if now.saturating_duration_since(self.period_start) >= BUDGET_PERIOD {
            self.period_start = now;
            self.written = [0; RANKS];
        }
        let written = &mut self.written[rank as usize];
        let allowed = *written < self.lines_per_s;
        match allowed {
            true => *written += 1,
            false => self.dropped += 1,
        }
        allowed
    }

    /// Number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Sends the process's logs to standard error as JSON lines.
pub fn set_up(level: LogLevel) -> Result<(), spdlog::Error> {
    let filter = match level {
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
