//! Entry daemon.

use std::{path::PathBuf, process::ExitCode};

use willowarch::{daemon, kernel::KernelExit, logs, options::settings::DaemonSettings};

/// Exit code for settings or arguments that are not allowed.
const EXIT_USAGE: u8 = 64;
/// Exit code for a daemon that could not start.
const EXIT_UNAVAILABLE: u8 = 69;
/// Exit code for a service that failed.
const EXIT_FAILED: u8 = 70;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Entry daemon of willowarch: accepts requests and passes them to endpoints.
        cmd willowarchd {
            /// Settings file, in JSON (docs/settings.md).
            required --settings path: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Willowarchd::from_env_or_exit();
    let Some(settings) = read_settings(&flags.settings) else { return ExitCode::from(EXIT_USAGE) };
    if let Err(error) = logs::set_up(settings.log_level) {
        eprintln!("willowarchd: logs: {error}");
        return ExitCode::from(EXIT_UNAVAILABLE);
    }
    match run(settings) {
        Ok(KernelExit::Stopped) => ExitCode::SUCCESS,
        Ok(exit) => {
            spdlog::critical!("ended: {}", exit, kv: { service = "kernel" });
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            spdlog::critical!("cannot start: {}", error, kv: { service = "kernel" });
            ExitCode::from(EXIT_UNAVAILABLE)
        }
    }
}

fn read_settings(path: &PathBuf) -> Option<DaemonSettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("willowarchd: {}: {error}", path.display());
            return None;
        }
    };
    match DaemonSettings::parse(&text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("willowarchd: {}: {error}", path.display());
            }
            None
        }
    }
}

fn run(settings: DaemonSettings) -> Result<KernelExit, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, daemon::run(settings))?)
}
