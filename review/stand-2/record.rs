//! What was sent, answered and run, in the order of time.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("the record"))),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}
