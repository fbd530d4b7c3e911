//! What was sent, answered and run, with the time since the begin.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A start or an end of a run of a task.
#[derive(Clone, Debug)]
pub struct Note {
    pub at: f64,
    pub run: u64,
    pub what: &'static str,
}

struct Inner {
    file: File,
    /// Lines about runs that are left out of the file once there are this many.
    lines_left: u32,
    notes: HashMap<String, Vec<Note>>,
}

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
    begin: Instant,
}

impl Record {
    pub fn new(path: &str, most_lines: u32) -> Record {
        let file = File::create(path).expect("record.txt");
        let inner = Inner { file, lines_left: most_lines, notes: HashMap::new() };
        Record { inner: Arc::new(Mutex::new(inner)), begin: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// Writes a line about runs, unless there are too many.
    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut inner = self.inner.lock().unwrap();
        if inner.lines_left == 0 {
            return;
        }
        inner.lines_left -= 1;
        let last = if inner.lines_left == 0 { " (further lines about runs are left out)" } else { "" };
        let _ = writeln!(inner.file, "{at:8.3} {text}{last}");
    }

    /// Writes a line in any case.
    pub fn say(&self, text: &str) {
        let at = self.now();
        println!("{at:8.3} {text}");
        let _ = writeln!(self.inner.lock().unwrap().file, "{at:8.3} {text}");
    }

    pub fn started(&self, task: &str, run: u64) {
        self.note(task, run, "start");
    }

    pub fn ended(&self, task: &str, run: u64, how: &'static str) {
        self.note(task, run, how);
    }

    fn note(&self, task: &str, run: u64, what: &'static str) {
        let note = Note { at: self.now(), run, what };
        self.inner.lock().unwrap().notes.entry(task.to_string()).or_default().push(note);
    }

    /// Returns the starts and ends of the tasks whose names begin with `prefix`.
    pub fn notes(&self, prefix: &str) -> Vec<(String, Note)> {
        let inner = self.inner.lock().unwrap();
        let mut found: Vec<(String, Note)> = inner
            .notes
            .iter()
            .filter(|(task, _)| task.starts_with(prefix))
            .flat_map(|(task, notes)| notes.iter().map(|note| (task.clone(), note.clone())))
            .collect();
        found.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
        found
    }
}
