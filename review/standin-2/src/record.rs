//! The record of a run: what was sent, answered and run, with the time in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(BufWriter::new(File::create(path).expect("the record"))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        // Without a record the run still has its result.
        let _ = writeln!(file, "{ms} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
