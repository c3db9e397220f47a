//! The record of a run: one line for each event, with the time since the start in milliseconds.
use std::fmt::Display;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn note(&self, text: impl Display) {
        self.note_at(self.now_ms(), text);
    }

    pub fn note_at(&self, at_ms: f64, text: impl Display) {
        self.lines.lock().unwrap().push((at_ms, text.to_string()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:10.1} {line}\n")).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
