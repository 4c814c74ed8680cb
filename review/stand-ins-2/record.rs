//! The record of a case: a line for each thing sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes `record.txt`. Clones share the file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates or empties the file.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.now().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:10.1} ms  {}", text.as_ref()).expect("the record can be written");
    }
}
