//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The file `record.txt` of a case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes one line, also to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // A record that cannot be written does not change the result.
            let _ = writeln!(file, "{line}");
        }
    }

    /// Seconds from the start of the case to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}
