//! A process of a test deployment, and a helper that waits for a condition.

use std::{
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use super::process_usage;

/// Longest time that `eventually` waits for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A process that is killed when dropped.
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts `program` with standard input and standard error redirected to `/dev/null`.
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the program");
        Self { child }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// CPU seconds used so far, and resident memory in kilobytes.
    #[allow(dead_code, reason = "the benches use it")]
    pub fn cpu_and_rss(&self) -> (f64, f64) {
        process_usage::cpu_and_rss(&self.child.id().to_string())
    }

    /// Sends the process the signal `name`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name} failed");
    }

    /// Waits until the process exits by itself, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let status = eventually("the process ends", || self.child.try_wait().ok().flatten());
        status.code()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls `check` until it returns a value; panics after `WAIT_LIMIT`.
pub fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(started_at.elapsed() < WAIT_LIMIT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
