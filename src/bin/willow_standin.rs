//! Stand-ins for the systems around willowarch (engines, platform, clients), for examples, tests
//! and benchmarks.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use tokio::sync::watch;
use willowarch::{
    errors::StepError,
    kernel::LifePhase,
    native::cloud_api::messages::VmEntry,
    standin::{
        clients::{ClientPlayer, RequestMix, complete_report},
        endpoint,
        engine_model::EngineSpeed,
        platform,
    },
};

/// Default length of a run, in seconds.
const DEFAULT_SECONDS: u64 = 10;
/// Default seed of a run.
const DEFAULT_SEED: u64 = 1;

mod flags {
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Stand-ins for engines, plain services, the platform and clients. `POST /faults` at
        /// a stand-in's own address switches faults on and off.
        cmd willow-standin {
            /// Object API, cloud API, VM list and weight store.
            cmd platform {
                /// Address to listen at.
                required --listen address: SocketAddr
                /// VMs that run from the start: a JSON list.
                required --vms path: PathBuf
            }
            /// Model engines, one at each address.
            cmd engines {
                /// Addresses to listen at.
                repeated address: SocketAddr
                /// Time of one decoding step, in milliseconds.
                optional --step-ms millis: f64
                /// Streams that an engine computes at once.
                optional --slots count: usize
            }
            /// Plain services, one at each address.
            cmd plain {
                /// Addresses to listen at.
                repeated address: SocketAddr
            }
            /// Clients that send a request mix and print a report.
            cmd callers {
                /// Daemons to call.
                repeated daemon: SocketAddr
                /// Request mix: a JSON file.
                required --mix path: PathBuf
                /// Address of the cloud API, from which the report takes costs and engine counts.
                required --cloud address: SocketAddr
                /// How long to send requests, in seconds.
                optional --seconds seconds: u64
                /// Seed of the requests.
                optional --seed seed: u64
                /// Requests a second, instead of the rate in the mix.
                optional --pace pace: f64
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::WillowStandin::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    let result = match runtime {
        Ok(runtime) => local.block_on(&runtime, run(flags.subcommand)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("willow-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: flags::WillowStandinCmd) -> Result<(), Box<dyn std::error::Error>> {
    let (_running, phase) = watch::channel(LifePhase::Running);
    match command {
        flags::WillowStandinCmd::Platform(platform) => {
            let vms: Vec<VmEntry> = read_json(&platform.vms)?;
            Ok(platform::run(platform.listen, vms, phase).await?)
        }
        flags::WillowStandinCmd::Engines(engines) => {
            let mut speed = EngineSpeed::default();
            speed.step_ms = engines.step_ms.unwrap_or(speed.step_ms);
            speed.slots = engines.slots.unwrap_or(speed.slots);
            Ok(run_endpoints(engines.address, Some(speed), phase).await?)
        }
        flags::WillowStandinCmd::Plain(plain) => {
            Ok(run_endpoints(plain.address, None, phase).await?)
        }
        flags::WillowStandinCmd::Callers(callers) => play(callers).await,
    }
}

async fn run_endpoints(
    addresses: Vec<SocketAddr>,
    speed: Option<EngineSpeed>,
    phase: watch::Receiver<LifePhase>,
) -> Result<(), StepError> {
    let running = addresses.into_iter().map(|address| endpoint::run(address, speed, phase.clone()));
    futures::future::try_join_all(running).await.map(|_| ())
}

async fn play(callers: flags::Callers) -> Result<(), Box<dyn std::error::Error>> {
    let mut mix: RequestMix = read_json(&callers.mix)?;
    mix.requests_per_s = callers.pace.unwrap_or(mix.requests_per_s);
    let length = Duration::from_secs(callers.seconds.unwrap_or(DEFAULT_SECONDS));
    let player = ClientPlayer::new(callers.daemon, mix);
    let mut report = player.play(length, callers.seed.unwrap_or(DEFAULT_SEED)).await;
    complete_report(&mut report, callers.cloud, length).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

fn read_json<T: serde::de::DeserializeOwned>(
    path: &PathBuf,
) -> Result<T, Box<dyn std::error::Error>> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?)
}
