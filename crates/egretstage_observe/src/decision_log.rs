//! Writes decision lines on a thread of their own.
//!
//! Formatting a line costs more than the decision that it records, so the
//! loop that decides only hands the line over.

use crate::DECISION_TARGET;
use crossbeam_channel::{Sender, TrySendError, bounded};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;

/// A line that can be written as a decision.
pub trait DecisionRecord: Serialize + Send + 'static {
    /// Returns what was decided, in a word.
    fn verb(&self) -> &'static str;
}

/// A line, or the end of the log.
type Item<T> = Option<Box<T>>;

/// Decisions that wait for the thread that writes them.
const QUEUED_DECISIONS: usize = 4_096;

/// Hands decision lines to the thread that writes them.
#[derive(Debug)]
pub struct DecisionWriter<T> {
    tx: Sender<Item<T>>,
    dropped: Arc<AtomicU64>,
}

impl<T> DecisionWriter<T> {
    /// Hands a line over; one that finds the queue full, or the log ended, is
    /// dropped and counted: a decision never waits for its line.
    pub fn write(&self, line: Box<T>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Some(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes decision lines in the order in which they were handed over.
#[derive(Debug)]
pub struct DecisionLog<T> {
    tx: Sender<Item<T>>,
    dropped: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl<T: DecisionRecord> DecisionLog<T> {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (tx, rx) = bounded::<Item<T>>(QUEUED_DECISIONS);
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

    /// Returns a writer for the loop that decides.
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
