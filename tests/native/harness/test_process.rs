//! One process of a test deployment, and waiting for what it does.

use std::{
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use super::process_usage;

/// Longest wait for something that takes a moment.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// One process, killed when dropped.
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts `program` without input, its errors unseen.
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// CPU seconds so far and resident kilobytes.
    #[allow(dead_code, reason = "the benches use it")]
    pub fn cpu_and_rss(&self) -> (f64, f64) {
        process_usage::cpu_and_rss(&self.child.id().to_string())
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name}");
    }

    /// Waits for it to end by itself; its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let found = eventually("the process ends", || self.child.try_wait().ok().flatten());
        found.code()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `look` finds something.
pub fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(started_at.elapsed() < WAIT_LIMIT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
