//! Structured logs: one JSON object a line.

use std::sync::Arc;

use spdlog::{
    Level, LevelFilter, Logger,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

use crate::options::settings::LogLevel;

/// Sends the process's logs to standard output as JSON lines.
pub fn set_up_stdout() -> Result<(), spdlog::Error> {
    set_up_stream(StdStream::Stdout, LevelFilter::MoreSevereEqual(Level::Info))
}

/// Sends the process's logs to standard error as JSON lines.
pub fn set_up(level: LogLevel) -> Result<(), spdlog::Error> {
    let filter = match level {
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
    };
    set_up_stream(StdStream::Stderr, filter)
}

fn set_up_stream(stream: StdStream, filter: LevelFilter) -> Result<(), spdlog::Error> {
    let sink =
        StdStreamSink::builder().std_stream(stream).formatter(JsonFormatter::new()).build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
