//! The record of a case: what was done, sent, run and answered, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} {}\n",
            self.started.elapsed().as_secs_f64(),
            text.as_ref()
        );
        let mut file = self.file.lock().expect("not poisoned");
        let _ = file.write_all(line.as_bytes());
    }
}
