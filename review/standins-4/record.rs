//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics");
        // A record that cannot be written has no effect on the result.
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn summary(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
