//! What was sent, answered and run, with the time since the begin of the case.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A run of a task on a runner.
#[derive(Clone, Debug)]
pub struct RunTrace {
    pub task: String,
    pub started_at: Duration,
    /// When and how it ended; `crashed` if its runner did.
    pub end: Option<(Duration, &'static str)>,
}

impl RunTrace {
    pub fn is_of(&self, job: &str) -> bool {
        self.task.split('.').next() == Some(job)
    }
}

pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<RunTrace>>,
    /// Position in `runs` by task, run and runner.
    open: Mutex<HashMap<(String, u64, String), usize>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            began_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
            open: Mutex::default(),
        })
    }

    /// Returns the time since the begin of the case.
    pub fn now(&self) -> Duration {
        self.began_at.elapsed()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn run_started(&self, task: &str, run: u64, runner: &str) {
        self.write(&format!("runner {runner} starts {task} run {run}"));
        let mut runs = self.runs.lock().unwrap();
        let position = runs.len();
        let key = (task.into(), run, runner.into());
        self.open.lock().unwrap().insert(key, position);
        runs.push(RunTrace {
            task: task.into(),
            started_at: self.now(),
            end: None,
        });
    }

    pub fn run_ended(&self, task: &str, run: u64, runner: &str, how: &'static str) {
        self.write(&format!("runner {runner} ends {task} run {run}: {how}"));
        let at = self.now();
        let key = (task.to_string(), run, runner.to_string());
        let position = self.open.lock().unwrap().remove(&key);
        if let Some(position) = position {
            self.runs.lock().unwrap()[position].end = Some((at, how));
        }
    }

    pub fn runs_of(&self, job: &str) -> Vec<RunTrace> {
        self.runs.lock().unwrap().iter().filter(|run| run.is_of(job)).cloned().collect()
    }
}
