//! What was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::Instant, //
};

/// The record of one run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Begins a record.
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            started: Instant::now(),
        }
    }

    /// Adds a line with the time since the begin.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let passed_s = self.started.elapsed().as_secs_f64();
        writeln!(file, "{passed_s:8.3} {text}").expect("the record can be written");
    }
}
