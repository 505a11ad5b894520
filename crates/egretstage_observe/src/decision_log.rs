//! Writes decision lines on a thread of their own.
//!
//! Formatting a line costs more than the decision that it records, so the
//! loop that decides only hands the line over.

use crate::DECISION_TARGET;
use crossbeam_channel::{Sender, unbounded};
use serde::Serialize;
use std::thread::JoinHandle;

/// A line that can be written as a decision.
pub trait DecisionRecord: Serialize + Send + 'static {
    /// Returns what was decided, in a word.
    fn verb(&self) -> &'static str;
}

/// A line, or the end of the log.
type Item<T> = Option<Box<T>>;

/// Hands decision lines to the thread that writes them.
#[derive(Debug)]
pub struct DecisionWriter<T>(Sender<Item<T>>);

impl<T> DecisionWriter<T> {
    /// Hands a line over; a line after the end of the log is dropped.
    pub fn write(&self, line: Box<T>) {
        let _ = self.0.send(Some(line));
    }
}

/// Writes decision lines in the order in which they were handed over.
#[derive(Debug)]
pub struct DecisionLog<T> {
    tx: Sender<Item<T>>,
    thread: JoinHandle<()>,
}

impl<T: DecisionRecord> DecisionLog<T> {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (tx, rx) = unbounded::<Item<T>>();
        let thread = std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || {
                for line in rx.iter().map_while(|item| item) {
                    log::info!(target: DECISION_TARGET, decision:serde = line; "{}", line.verb());
                }
            })?;
        Ok(Self { tx, thread })
    }

    /// Returns a writer for the loop that decides.
    #[must_use]
    pub fn writer(&self) -> DecisionWriter<T> {
        DecisionWriter(self.tx.clone())
    }

    /// Ends the log and waits until all lines are written.
    pub fn finish(self) {
        let _ = self.tx.send(None);
        let _ = self.thread.join();
    }
}
