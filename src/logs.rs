//! Structured logs, one JSON object a line: the gateway's to standard output, the native
//! interface's to standard error. `LineBudget` bounds lines whose number clients decide.

use std::{sync::Arc, time::Duration};

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};
use tokio::time::Instant;

use crate::native::options::settings::LogLevel;

/// Lines that wait to be written; more are dropped. Ten seconds of request lines at their own
/// bound.
const WAITING_LINES: usize = 4_096;

/// Sends the process's logs to standard output as JSON lines. A thread of its own writes
/// them, so that a reader that stops reading does not block the daemon; lines beyond
/// `WAITING_LINES` are dropped.
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

/// Writes out what still waits, before the process ends.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// How long a budget lasts before it is full again.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// Number of lines of a kind that may be written in a second; the rest is counted.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u32,
    second_began: Instant,
    written: u32,
    dropped: u64,
}

impl LineBudget {
    /// Budget of `lines_per_s`.
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        Self { lines_per_s, second_began: now, written: 0, dropped: 0 }
    }

    /// Whether a line may be written now.
    pub fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second_began) >= BUDGET_PERIOD {
            self.second_began = now;
            self.written = 0;
        }
        let allowed = self.written < self.lines_per_s;
        match allowed {
            true => self.written += 1,
            false => self.dropped += 1,
        }
        allowed
    }

    /// Lines dropped since this was last asked.
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
