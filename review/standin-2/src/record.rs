//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Log(Arc<Mutex<File>>, Instant);

impl Log {
    /// Creates the file, over an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(
            Arc::new(Mutex::new(File::create(path)?)),
            Instant::now(),
        ))
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().expect("not poisoned");
        // A record that can't be written doesn't change the result.
        drop(writeln!(file, "{seconds:8.3} {text}"));
    }
}
