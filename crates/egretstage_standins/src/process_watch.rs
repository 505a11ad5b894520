//! What the kernel tells about a running process.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time without work after which a process is idle.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Time between two looks at the descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for a process to become idle or calm.
const CALM_TIMEOUT: Duration = Duration::from_mins(1);

/// Descriptors that a calm process may have beyond those of its start: its connections to
/// upstreams and to the store.
const SPARE_DESCRIPTORS: usize = 20;

/// Reads the state of a process.
#[derive(Debug)]
pub struct ProcessWatch {
    directory: PathBuf,
}

impl ProcessWatch {
    /// Watches the process with an id.
    #[must_use]
    pub fn new(id: u32) -> Self {
        let directory = PathBuf::from(format!("/proc/{id}"));
        Self { directory }
    }

    /// Returns the largest memory that the process has had, 0 if it has ended.
    ///
    /// # Panics
    ///
    /// Panics when the kernel's text has another form.
    #[must_use]
    pub fn peak_memory_bytes(&self) -> usize {
        let status = fs::read_to_string(self.directory.join("status")).unwrap_or_default();
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|text| text.trim().strip_suffix(" kB"));
        kib.map_or(0, |kib| kib.parse::<usize>().expect("a number") * 1024)
    }

    /// Returns the number of open descriptors, 0 if the process has ended.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        fs::read_dir(self.directory.join("fd")).map_or(0, Iterator::count)
    }

    /// Returns the largest number of open descriptors seen until an end.
    pub fn peak_descriptors_until(&self, end: &AtomicBool) -> usize {
        let mut peak = 0;
        while !end.load(Ordering::Relaxed) {
            peak = peak.max(self.descriptors());
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        peak
    }

    /// Returns the processor time used, in ticks.
    fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(self.directory.join("stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        // User and system time are the 14th and 15th field; the third is the first here.
        let times = after_name.split_whitespace().skip(11).take(2);
        times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Waits until the process has nothing left to do, at most [`CALM_TIMEOUT`].
    pub fn await_idle(&self) {
        let start = Instant::now();
        let mut ticks = self.processor_ticks();
        while start.elapsed() < CALM_TIMEOUT {
            std::thread::sleep(IDLE_TIME);
            let now = self.processor_ticks();
            // The feeds of the store wake the process now and then.
            if now <= ticks + 1 {
                return;
            }
            ticks = now;
        }
    }

    /// Waits until the process has closed the connections of a crowd.
    pub fn await_descriptors(&self, calm: usize) {
        let start = Instant::now();
        while self.descriptors() > calm + SPARE_DESCRIPTORS && start.elapsed() < CALM_TIMEOUT {
            std::thread::sleep(IDLE_TIME);
        }
    }
}
