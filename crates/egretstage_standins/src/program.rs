//! Process that runs one of the product's programs.

use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

/// Maximum wait for a condition, such as a program becoming ready or ending.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Process that runs one of the product's programs; killed when dropped.
#[derive(Debug)]
pub struct Program {
    pub(crate) name: String,
    pub(crate) child: Child,
    /// Address of `/livez`, `/readyz`, `/metrics` and `/status`.
    pub admin: SocketAddr,
    /// Address for callers (entry) or links (companion).
    pub address: SocketAddr,
    pub(crate) log: PathBuf,
}

impl Program {
    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory of the process in KiB, or 0 when the process
    /// has ended.
    #[must_use]
    pub fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let rss_line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = rss_line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process with `SIGSTOP`.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a planned stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics when the process doesn't end in time.
    pub fn wait(&mut self) -> ExitStatus {
        let name = self.name.clone();
        wait_for(&format!("the end of {name}"), || {
            self.child.try_wait().ok().flatten()
        })
    }

    /// Returns the log lines that are valid JSON.
    #[must_use]
    pub fn log_lines(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Waits until `/readyz` reports the given state.
    ///
    /// # Panics
    ///
    /// Panics when that takes too long, with the program's error output and last
    /// log line.
    pub fn wait_until_ready(&self, ready: bool) {
        let url = format!("http://{}/readyz", self.admin);
        let agent = agent();
        let expected = if ready { 200 } else { 503 };
        let start = Instant::now();
        loop {
            let last_status = agent.get(&url).call().map(|resp| resp.status().as_u16());
            if matches!(last_status, Ok(status) if status == expected) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {} to report ready = {ready}, last status {last_status:?}; stderr: {}; last log line: {:?}",
                self.name,
                std::fs::read_to_string(self.log.with_extension("err")).unwrap_or_default(),
                self.log_lines().last(),
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the JSON value of `/status`, or null when it can't be read.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/status", self.admin);
        let resp = agent().get(&url).call().ok();
        let text = resp.and_then(|mut r| r.body_mut().read_to_string().ok());
        text.and_then(|text| serde_json::from_str(&text).ok())
            .unwrap_or_default()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(1)))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Waits until a condition holds and returns its value.
///
/// # Panics
///
/// Panics when that takes longer than 30 seconds.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
