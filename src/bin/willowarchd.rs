//! Entry daemon: reads its settings and runs either the gateway on the users' platform
//! (`--gateway`) or the native interface, on one thread.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use willowarch::{
    gateway,
    kernel::KernelExit,
    logs,
    native::{daemon, options::settings::DaemonSettings},
    platform::{self, settings::SettingsSource},
};

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
            /// Settings file, in JSON (docs/native/settings.md).
            optional --settings path: PathBuf
            /// Run the gateway on the users' platform; --settings is then the gateway's file.
            optional --gateway
        }
    }
}

type RunResult = Result<KernelExit, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let flags = flags::Willowarchd::from_env_or_exit();
    let result = match (flags.gateway, &flags.settings) {
        (true, settings) => start_gateway(settings.clone()),
        (false, Some(settings)) => start_daemon(settings),
        (false, None) => {
            eprintln!("willowarchd: flag is required: --settings");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let code = log_result(result);
    logs::finish();
    code
}

/// Logs a result other than a planned stop, and returns its exit code.
fn log_result(result: Option<RunResult>) -> ExitCode {
    match result {
        None => ExitCode::from(EXIT_USAGE),
        Some(Ok(KernelExit::Stopped)) => ExitCode::SUCCESS,
        Some(Ok(exit)) => {
            spdlog::critical!("ended: {}", exit, kv: { service = "kernel" });
            ExitCode::from(EXIT_FAILED)
        }
        Some(Err(error)) => {
            spdlog::critical!("cannot start: {}", error, kv: { service = "kernel" });
            ExitCode::from(EXIT_UNAVAILABLE)
        }
    }
}

fn start_gateway(settings: Option<PathBuf>) -> Option<RunResult> {
    let from_environment =
        std::env::var_os(platform::settings::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = settings.or(from_environment) else {
        eprintln!(
            "willowarchd: --settings or {} must name the settings file",
            platform::settings::SETTINGS_VARIABLE
        );
        return None;
    };
    let source = SettingsSource::new(path.clone());
    let settings = match source.read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("willowarchd: {}: {error}", path.display());
            return None;
        }
    };
    if let Err(error) = logs::set_up_stdout() {
        return Some(Err(error.into()));
    }
    Some(run_local(gateway::daemon::run(settings, source)))
}

fn start_daemon(path: &Path) -> Option<RunResult> {
    let text = read_file(path)?;
    let settings = match DaemonSettings::parse(&text) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("willowarchd: {}: {error}", path.display());
            }
            return None;
        }
    };
    if let Err(error) = logs::set_up(settings.log_level) {
        return Some(Err(error.into()));
    }
    Some(run_local(daemon::run(settings)))
}

fn read_file(path: &Path) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            eprintln!("willowarchd: {}: {error}", path.display());
            None
        }
    }
}

fn run_local<E: std::error::Error + 'static>(
    service: impl Future<Output = Result<KernelExit, E>>,
) -> RunResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, service)?)
}
