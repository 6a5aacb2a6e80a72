//! What was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Begins the record `record.txt` in a folder.
    pub fn begin(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3} {text}", self.now());
    }

    /// Adds a line, and prints it too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now());
    }

    /// Writes everything to the file.
    pub fn flush(&self) {
        let _ = self.file.lock().expect("the record").flush();
    }
}
