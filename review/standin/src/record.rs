//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut lines = self.lines.lock().expect("not poisoned");
        writeln!(lines, "{ms:>6} ms  {text}").expect("a string");
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().expect("not poisoned");
        std::fs::write(path, lines.as_bytes()).expect("the record can be written");
    }
}
