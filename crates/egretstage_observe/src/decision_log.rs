//! Writes decision lines to the log on a separate thread.
//!
//! Formatting a line costs more than the decision that it records, so the
//! reducer loop only queues the line.

use crate::DECISION_TARGET;
use crossbeam_channel::{Sender, TrySendError, bounded};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;

/// A record of a decision that can be written as a log line.
pub trait DecisionRecord: Serialize + Send + 'static {
    /// Returns the kind of the decision, which is the text of its log line.
    fn verb(&self) -> &'static str;
}

/// A decision line, or `None` to end the log.
type QueueItem<T> = Option<Box<T>>;

/// Most decision lines that wait to be written.
const MAX_QUEUED_DECISIONS: usize = 4_096;

/// Queues decision lines for the thread that writes them.
#[derive(Debug)]
pub struct DecisionWriter<T> {
    tx: Sender<QueueItem<T>>,
    dropped: Arc<AtomicU64>,
}

impl<T> DecisionWriter<T> {
    /// Queues a line without blocking.
    ///
    /// A line that finds the queue full is dropped and counted; one written
    /// after the end of the log is dropped.
    pub fn write(&self, line: Box<T>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Some(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes decision lines in the order in which they were queued.
#[derive(Debug)]
pub struct DecisionLog<T> {
    tx: Sender<QueueItem<T>>,
    dropped: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl<T: DecisionRecord> DecisionLog<T> {
    /// Starts the thread that writes the lines.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (tx, rx) = bounded::<QueueItem<T>>(MAX_QUEUED_DECISIONS);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        let thread = std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || {
                for line in rx.iter().map_while(|item| item) {
                    log::info!(target: DECISION_TARGET, decision:serde = line; "{}", line.verb());
                    let dropped = count.swap(0, Ordering::Relaxed);
                    if dropped > 0 {
                        log::warn!(dropped; "decision lines dropped");
                    }
                }
            })?;
        Ok(Self {
            tx,
            dropped,
            thread,
        })
    }

    /// Returns a writer for the reducer loop.
    #[must_use]
    pub fn writer(&self) -> DecisionWriter<T> {
        DecisionWriter {
            tx: self.tx.clone(),
            dropped: Arc::clone(&self.dropped),
        }
    }

    /// Ends the log and waits until all lines are written.
    pub fn finish(self) {
        let _ = self.tx.send(None);
        let _ = self.thread.join();
    }
}
