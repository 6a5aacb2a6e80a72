//! The record of a run: what was sent, answered and run, with times from its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes a line to the record only.
    pub fn log(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.log(text);
    }
}
