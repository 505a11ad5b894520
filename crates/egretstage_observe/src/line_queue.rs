//! A bounded queue of log lines in front of standard output.
//!
//! The reader of standard output may stop reading. A line that finds the queue
//! full or exceeds the rate limit is dropped and counted, so logging never blocks
//! the process.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Most lines that wait for standard output: about a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Most lines written in a second: three for each of a thousand calls.
const MAX_LINES_PER_SECOND: u32 = 3_000;

/// Longest time for each of the two steps of a flush at the end of a process:
/// queueing the request, and writing the lines before it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A line, or a request to report when all lines before it are written.
enum QueueItem {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Queues lines for the thread that writes them.
#[derive(Debug)]
pub(crate) struct LineQueue {
    tx: Sender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl std::fmt::Debug for QueueItem {
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
        let (tx, rx) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        let thread = std::thread::Builder::new().name("log-lines".to_owned());
        thread.spawn(move || write_lines(&rx, out, &count))?;
        Ok(Self { tx, dropped })
    }

    /// Queues a line without blocking; drops and counts it if the queue is full.
    pub(crate) fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(QueueItem::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, for a limited time.
    pub(crate) fn flush(&self) {
        let (done, written) = bounded(1);
        if self
            .tx
            .send_timeout(QueueItem::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // On a timeout, the reader of standard output has stopped.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Limits the lines written in each second.
struct RateLimit {
    /// Start of the current second.
    since: Instant,
    /// Lines counted in the current second.
    lines: u32,
}

impl RateLimit {
    /// Counts a line and returns whether it may be written.
    fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}

fn write_lines(rx: &Receiver<QueueItem>, mut out: impl Write, dropped: &AtomicU64) {
    let mut rate = RateLimit {
        since: Instant::now(),
        lines: 0,
    };
    for item in rx {
        let written = match item {
            QueueItem::Line(line) if rate.allows(Instant::now()) => out.write_all(&line),
            QueueItem::Line(_) => {
                dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            QueueItem::Flush(done) => {
                let flushed = out.flush();
                // The caller may have timed out.
                let _ = done.send(());
                flushed
            }
        };
        if written.is_err() {
            // Standard output is closed, and the log has no other output.
            return;
        }
        if rx.is_empty() {
            report_dropped(&mut out, dropped);
        }
    }
}

/// Writes how many lines were dropped since the last report, if any.
fn report_dropped(out: &mut impl Write, dropped: &AtomicU64) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Micros, true);
        let line = format!(
            "{{\"time\":\"{time}\",\"level\":\"WARN\",\"target\":\"egretstage_observe\",\
             \"message\":\"log lines dropped\",\"dropped\":{count}}}\n"
        );
        // After an error, the write of the next line fails and ends the thread.
        let _ = out.write_all(line.as_bytes());
    }
}
