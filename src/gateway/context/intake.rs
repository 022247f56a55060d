//! What a daemon that may be stopping accepts and passes on.

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{boot_clock, gateway::policy::daemon::stop_times::StopTimes};

/// Whether a daemon accepts requests and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Intake {
    /// Accepts both.
    #[default]
    Open,
    /// Accepts both, and passes requests on as long as these times allow.
    Stopping(StopTimes),
    /// Accepts connections and refuses requests.
    Refusing(StopTimes),
    /// Accepts no connections.
    Closed(StopTimes),
}

impl Intake {
    fn stop_times(self) -> Option<StopTimes> {
        match self {
            Self::Open => None,
            Self::Stopping(times) | Self::Refusing(times) | Self::Closed(times) => Some(times),
        }
    }
}

/// The present intake of a daemon.
#[derive(Debug, Default)]
pub struct IntakeState(watch::Sender<Intake>);

impl IntakeState {
    /// Sets what is accepted from now on.
    pub fn set(&self, intake: Intake) {
        self.0.send_replace(intake);
    }

    /// Whether requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        matches!(*self.0.borrow(), Intake::Open | Intake::Stopping(_))
    }

    /// Whether a request that has to end by `deadline` may be passed on at `now`.
    pub fn may_pass_on(&self, deadline: Instant, now: Instant) -> bool {
        let times = self.0.borrow().stop_times();
        times.is_none_or(|times| times.may_pass_on(deadline, now))
    }

    /// Waits until a request that has to end by `deadline` may no longer be passed on.
    pub async fn until_too_late(&self, deadline: Instant) {
        let mut changes = self.0.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let stopping = changes.wait_for(|intake| intake.stop_times().is_some()).await;
        let Some(times) = stopping.ok().and_then(|intake| intake.stop_times()) else { return };
        if deadline <= times.cut_at {
            std::future::pending::<()>().await;
        }
        sleep_until(boot_clock::timer_at(times.bounded_from)).await;
    }

    /// Waits until no connections are accepted.
    pub async fn until_closed(&self) {
        let is_closed = |intake: &Intake| matches!(intake, Intake::Closed(_));
        // Can't fail: the sender lives as long as `self`.
        let _ = self.0.subscribe().wait_for(is_closed).await;
    }
}
