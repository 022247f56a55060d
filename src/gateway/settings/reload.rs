//! Applies the seeds of a settings file that has changed while the daemon runs. All other settings are read at the
//! start only.
//!
//! The file is read again after SIGHUP, which would otherwise end the process. It may also change without a signal,
//! so a daemon that lacks peers reads it at intervals.

use std::{rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use crate::{
    boot_clock,
    gateway::{context::GatewayContext, policy::daemon::fleet_contact::needs_seeds},
    platform::settings::SettingsSource,
};

/// Name of the service.
pub const NAME: &str = "settings-reload";
/// Interval at which a daemon that lacks peers reads the file.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings again after each signal, and at intervals while the daemon lacks peers, until the daemon stops.
pub async fn run(context: Rc<GatewayContext>, source: SettingsSource) {
    // Without the handler the daemon works, but SIGHUP ends it.
    let mut hangups = signal(SignalKind::hangup()).ok();
    loop {
        let is_signalled = tokio::select! {
            () = next_signal(&mut hangups) => true,
            () = sleep(READ_INTERVAL) => false,
        };
        if is_signalled {
            context.metrics.count("reload_signals", 1);
        }
        if is_signalled || lacks_peers(&context) {
            reload(&context, &source, is_signalled);
        }
    }
}

async fn next_signal(hangups: &mut Option<Signal>) {
    if let Some(hangups) = hangups
        && hangups.recv().await.is_some()
    {
        return;
    }
    std::future::pending().await
}

fn lacks_peers(context: &GatewayContext) -> bool {
    let heard = context.peers.borrow().sharing(boot_clock::now()).heard;
    needs_seeds(context.fleet_contact.get(), heard)
}

/// Reads the file once. A result without an effect is logged after a signal only.
fn reload(context: &GatewayContext, source: &SettingsSource, is_signalled: bool) {
    match source.read() {
        Ok(settings) => {
            let seeds = settings.seeds;
            let has_changed = context.peers.borrow_mut().set_seeds(&seeds);
            if has_changed || is_signalled {
                let outcome = if has_changed { "seeds applied" } else { "seeds unchanged" };
                spdlog::info!("settings", kv: { outcome, seeds:? = seeds });
            }
        }
        Err(error) => {
            context.metrics.count("settings_unreadable", 1);
            if is_signalled {
                spdlog::warn!("settings", kv: { outcome = "not read", error: = error });
            }
        }
    }
}
