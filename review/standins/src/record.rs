//! What a case has seen, written to `record.txt`.

use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The lines of a record, each with the seconds since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Default for Record {
    fn default() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }
}

impl Record {
    /// Seconds from the start of the case to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds a line for now.
    pub fn add(&self, text: &str) {
        self.add_at(Instant::now(), text);
    }

    /// Adds a line for `at`.
    pub fn add_at(&self, at: Instant, text: &str) {
        let line = format!("{:9.3} {text}", self.seconds(at));
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(line);
        }
    }

    /// Adds a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }

    /// Writes all lines, in the order of their times.
    pub fn write(&self, file: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().map(|lines| lines.clone()).unwrap_or_default();
        let at = |line: &String| line[..9].trim().parse::<f64>().unwrap_or(0.0);
        lines.sort_by(|a, b| at(a).total_cmp(&at(b)));
        std::fs::write(file, lines.join("\n") + "\n")
    }
}
