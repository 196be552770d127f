//! The record of a run: one line for each thing that was sent, answered or run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _written = writeln!(self.file.lock().unwrap(), "{seconds:9.3}  {text}");
    }
}
