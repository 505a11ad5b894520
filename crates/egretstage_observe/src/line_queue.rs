//! A bounded queue of log lines between those who log and standard output.
//!
//! Whoever reads standard output may stop reading. A line that finds the queue
//! full, or the second's share used up, is dropped and counted, so a process
//! never waits for its log.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Lines that wait for standard output: about a megabyte.
const QUEUED_LINES: usize = 4_096;

/// Lines written in a second: three for each of a thousand calls.
const LINES_PER_SECOND: u32 = 3_000;

/// Longest wait for the queued lines at the end of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A line, or a request to say when all lines before it are written.
enum Item {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
pub(crate) struct LineQueue {
    tx: Sender<Item>,
    dropped: Arc<AtomicU64>,
}

impl std::fmt::Debug for Item {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Line(_) => "Line",
            Self::Flush(_) => "Flush",
        })
    }
}

impl LineQueue {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub(crate) fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = bounded(QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        let thread = std::thread::Builder::new().name("log-lines".to_owned());
        thread.spawn(move || write(&rx, out, &count))?;
        Ok(Self { tx, dropped })
    }

    /// Queues a line, or drops and counts it.
    pub(crate) fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Item::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a moment until the queued lines are written.
    pub(crate) fn flush(&self) {
        let (done, written) = bounded(1);
        if self
            .tx
            .send_timeout(Item::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // A reader that has stopped is not waited for.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Counts the lines of a second.
struct Rate {
    since: Instant,
    lines: u32,
}

impl Rate {
    fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

fn write(rx: &Receiver<Item>, mut out: impl Write, dropped: &AtomicU64) {
    let mut rate = Rate {
        since: Instant::now(),
        lines: 0,
    };
    for item in rx {
        let written = match item {
            Item::Line(line) if rate.allows(Instant::now()) => out.write_all(&line),
            Item::Line(_) => {
                dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            Item::Flush(done) => {
                let flushed = out.flush();
                // Whoever waited may have given up.
                let _ = done.send(());
                flushed
            }
        };
        if written.is_err() {
            // Nobody reads any more, and there is nowhere to say so.
            return;
        }
        if rx.is_empty() {
            tell_dropped(&mut out, dropped);
        }
    }
}

/// Writes how many lines were dropped, once the queue is empty again.
fn tell_dropped(out: &mut impl Write, dropped: &AtomicU64) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Micros, true);
        let line = format!(
            "{{\"time\":\"{time}\",\"level\":\"WARN\",\"target\":\"egretstage_observe\",\
             \"message\":\"log lines dropped\",\"dropped\":{count}}}\n"
        );
        // The next line meets the same error and ends the thread.
        let _ = out.write_all(line.as_bytes());
    }
}
