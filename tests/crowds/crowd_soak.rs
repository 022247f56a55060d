//! Crowds in series and beside each other, drawn from seeds, while the daemon gets signals, other limits and pauses,
//! and at last a stop, during which the crowds keep their connections.
//!
//! `CROWD_SEEDS=50 CROWD_FIRST=1 cargo test --test crowds crowd_soak` runs more seeds.

use std::{env, process::Command, thread, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    crowd_client::{Crowd, Manner},
    crowd_site::{CrowdSite, MAX_BODY, crowd_configuration},
    gateway_site::wait_for,
};

/// Number of seeds if `CROWD_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 8;
/// Steps of one seed.
const STEPS: usize = 6;
/// Most crowds that stay beside each other; the oldest leaves for another one.
const MAX_CROWDS: usize = 3;
/// How long the process is suspended: its sockets fill meanwhile.
const PAUSE: Duration = Duration::from_millis(700);
/// Limit of bodies while it is lowered, in bytes.
const LOWERED_BODY: usize = MAX_BODY / 4;

/// Crowds with their numbers of clients.
const CROWDS: [(usize, Manner); 14] = [
    (60, Manner::Unfinished { length: MAX_BODY, piece: 64 * 1024 }),
    (60, Manner::Unfinished { length: MAX_BODY, piece: 1024 }),
    (200, Manner::Unfinished { length: 72_000, piece: 8 * 1024 }),
    (300, Manner::Unfinished { length: 100, piece: 10 }),
    (60, Manner::UnfinishedChunks { length: MAX_BODY - 64 * 1024, chunk: 64 * 1024 }),
    (8, Manner::UnfinishedChunks { length: MAX_BODY / 4, chunk: 1 }),
    (60, Manner::Whole { length: MAX_BODY }),
    (3, Manner::WholeChunks { length: MAX_BODY / 4, chunk: 1 }),
    (60, Manner::HalfClosed { length: MAX_BODY }),
    (20, Manner::Announced { length: 16 * MAX_BODY }),
    (60, Manner::EndlessChunks { length: 16 * MAX_BODY, chunk: 4 * 1024 }),
    (300, Manner::UnfinishedHead { length: 12_000 }),
    (300, Manner::Silent),
    (30, Manner::Unread { requests: 100 }),
];

/// What happens next to the daemon.
#[derive(Clone, Copy, Debug)]
enum SoakStep {
    /// A crowd comes.
    Come(usize, Manner),
    /// A crowd comes while the process is suspended.
    ComeDuringPause(usize, Manner),
    /// All crowds leave.
    Leave,
    /// The settings file is read again.
    Hangup,
    /// The configuration allows bodies of this length.
    LimitBody(usize),
}

impl SoakStep {
    fn random(rng: &mut SmallRng) -> Self {
        let (count, manner) = CROWDS[rng.random_range(0..CROWDS.len())];
        match rng.random_range(0..10) {
            0 => Self::Leave,
            1 => Self::Hangup,
            2 => Self::LimitBody(LOWERED_BODY),
            3 => Self::LimitBody(MAX_BODY),
            4 => Self::ComeDuringPause(count, manner),
            _ => Self::Come(count, manner),
        }
    }
}

/// A daemon with its crowds.
struct SoakedDaemon {
    daemon: CrowdSite,
    crowds: Vec<Crowd>,
    /// Version of the newest configuration.
    version: u64,
    /// Number of crowds so far.
    come: usize,
}

impl SoakedDaemon {
    fn carry_out(&mut self, step: SoakStep) {
        match step {
            SoakStep::Come(count, manner) => self.let_come(count, manner),
            SoakStep::ComeDuringPause(count, manner) => {
                self.daemon.site.gateway.signal("-STOP");
                let process = self.daemon.site.gateway.process_id();
                let resuming = thread::spawn(move || {
                    thread::sleep(PAUSE);
                    let resumed =
                        Command::new("kill").args(["-CONT", &process.to_string()]).status();
                    assert!(resumed.expect("kill").success());
                });
                self.let_come(count, manner);
                resuming.join().expect("resumed");
            }
            SoakStep::Leave => self.crowds.clear(),
            SoakStep::Hangup => self.daemon.site.gateway.signal("-HUP"),
            SoakStep::LimitBody(length) => {
                self.version += 1;
                let configuration = crowd_configuration(self.version, length);
                self.daemon.site.platform.put("config", "main", configuration);
            }
        }
    }

    fn let_come(&mut self, count: usize, manner: Manner) {
        if self.crowds.len() == MAX_CROWDS {
            self.crowds.remove(0);
        }
        self.come += 1;
        let name = format!("soak-{}", self.come);
        self.crowds.push(Crowd::start(self.daemon.clients(), &name, count, manner));
    }

    fn check(&mut self, name: &str) {
        self.daemon.await_read();
        self.daemon.site.gateway.wait_ready();
        self.daemon.expect_served(name);
        self.daemon.expect_sound();
        for crowd in &mut self.crowds {
            self.daemon.expect_promises(crowd);
        }
    }

    /// Stops the daemon while the crowds stay.
    fn stop(mut self) {
        self.daemon.site.gateway.signal("-TERM");
        let (count, manner) = CROWDS[0];
        self.let_come(count, manner);
        wait_for("the end of the daemon", || self.daemon.site.gateway.has_ended());
    }
}

fn number_from(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[googletest::test]
fn daemon_bears_crowds_in_any_order() {
    let first = number_from("CROWD_FIRST", 1);
    for seed in first..first + number_from("CROWD_SEEDS", DEFAULT_SEEDS) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemon = CrowdSite::start();
        let mut soaked = SoakedDaemon { daemon, crowds: Vec::new(), version: 3, come: 0 };
        for number in 0..STEPS {
            let step = SoakStep::random(&mut rng);
            println!("seed {seed}, step {number}: {step:?}");
            soaked.carry_out(step);
            soaked.check(&format!("soak-ordinary-{number}"));
        }
        soaked.stop();
    }
}
