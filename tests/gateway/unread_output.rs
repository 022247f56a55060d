//! A daemon whose output nobody reads serves requests and ends in time when it is stopped.

use std::{
    fs::{self, File, Permissions},
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cut_site::{GRACE_S, patient_request, slow_configuration},
    gateway_site::{Gateway, KeptConnection, wait_for},
    platform_standin::PlatformStandin,
};

/// Requests whose lines are more than a pipe holds.
const REQUESTS: usize = 1_000;

/// A program that starts the daemon with a named pipe as its output.
struct PipedDaemon {
    script: PathBuf,
    pipe: PathBuf,
}

impl PipedDaemon {
    fn create() -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = format!("unread-{}", std::process::id());
        let (script, pipe) =
            (folder.join(format!("{name}.sh")), folder.join(format!("{name}.pipe")));
        let daemon = env!("CARGO_BIN_EXE_willowarchd");
        let text = format!("#!/bin/sh\nexec {daemon} \"$@\" > {}\n", pipe.display());
        fs::write(&script, text).expect("script");
        fs::set_permissions(&script, Permissions::from_mode(0o700)).expect("executable");
        let made = Command::new("mkfifo").arg(&pipe).status().expect("mkfifo");
        assert!(made.success());
        Self { script, pipe }
    }

    /// Opens the reading end as soon as the daemon opens the other one.
    fn open_pipe(&self) -> thread::JoinHandle<File> {
        let pipe = self.pipe.clone();
        thread::spawn(move || File::open(pipe).expect("pipe"))
    }
}

impl Drop for PipedDaemon {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.script);
        let _ = fs::remove_file(&self.pipe);
    }
}

#[googletest::test]
fn daemon_whose_output_is_not_read_ends_within_its_grace_time() {
    let daemon = PipedDaemon::create();
    let platform = PlatformStandin::start();
    platform.put("config", "main", slow_configuration(3));
    let opening = daemon.open_pipe();
    let bounds = json!({"grace-s": GRACE_S});
    let mut gateway =
        Gateway::start_program(&daemon.script, "edge-1", platform.address, &[], bounds);
    let _unread = opening.join().expect("reader");
    gateway.wait_ready();
    let mut connection = KeptConnection::open(gateway.clients).expect("connection");
    for number in 0..REQUESTS {
        let request = patient_request("/none/", &format!("unread-{number}"), b"");
        expect_that!(connection.ask(&request).expect("answer").status, eq(404));
    }
    drop(connection);
    let signalled = Instant::now();
    gateway.signal("-TERM");
    wait_for("the end of the daemon", || gateway.has_ended());
    expect_that!(signalled.elapsed(), le(Duration::from_secs_f64(GRACE_S)));
}
