//! What workers received and ran in true time, and the rules that are checked with it.

use indexmap::IndexMap;
use parking_lot::Mutex;
use std::collections::HashSet;
use std::time::Instant;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The worker's process ended.
    Crashed,
    Done,
    Lapsed,
    Stopped,
}

impl RunEnd {
    /// Spelling in a worker's list of ended runs.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Crashed => "crashed",
            RunEnd::Done => "done",
            RunEnd::Lapsed => "lapsed",
            RunEnd::Stopped => "stopped",
        }
    }
}

/// Run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub born: u64,
    pub fence: u64,
    pub began: f64,
    pub end: Option<(f64, RunEnd)>,
    /// Whether the start was carried out seconds after its call.
    pub is_late: bool,
    /// Whether the end was acknowledged before a lease lapsed.
    pub is_end_acknowledged: bool,
}

impl Run {
    fn is_done(&self) -> bool {
        self.end.is_some_and(|(_, how)| how == RunEnd::Done)
    }

    fn describe(&self) -> String {
        let end = match self.end {
            Some((at, how)) => format!("{} at {at:.3}", how.name()),
            None => "running".into(),
        };
        let late = if self.is_late { ", carried out late" } else { "" };
        let end = end + if self.is_end_acknowledged { ", acknowledged" } else { "" };
        format!(
            "{} run {} on {} (born {}) fence {}, began {:.3}, {end}{late}",
            self.task, self.run, self.worker, self.born, self.fence, self.began
        )
    }
}

struct Line {
    at: f64,
    worker: String,
    text: String,
    is_stray: bool,
    /// Whether it tells of an order that met the process it was meant for.
    is_usual: bool,
}

impl Line {
    fn describe(&self) -> String {
        let stray = if self.is_stray { "STRAY " } else { "" };
        format!("\n  {:8.3} {} {stray}{}", self.at, self.worker, self.text)
    }
}

#[derive(Default)]
struct Entries {
    runs: Vec<Run>,
    lines: Vec<Line>,
    /// Orders to stop a run that met another process than the one they were meant for, and stopped it.
    stray_stops: Vec<String>,
}

/// Trace of a world.
pub struct Trace {
    started: Instant,
    entries: Mutex<Entries>,
}

impl Trace {
    pub fn new() -> Trace {
        Trace { started: Instant::now(), entries: Mutex::default() }
    }

    /// Seconds from the begin to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Adds a line on an event at a worker; an empty name stands for an instance.
    pub fn line(&self, worker: &str, text: String) {
        self.push_line(worker, text, false, false);
    }

    /// Adds a line on an order. A stray met another process than the one it was sent to, or gave a lease that
    /// the worker's own clock did not give.
    pub fn order_line(&self, worker: &str, text: String, is_stray: bool) {
        self.push_line(worker, text, is_stray, !is_stray);
    }

    fn push_line(&self, worker: &str, text: String, is_stray: bool, is_usual: bool) {
        let (at, worker) = (self.seconds(Instant::now()), worker.to_string());
        self.entries.lock().lines.push(Line { at, worker, text, is_stray, is_usual });
    }

    /// Adds a run. Returns its index.
    pub fn push_run(&self, run: Run) -> usize {
        let mut entries = self.entries.lock();
        entries.runs.push(run);
        entries.runs.len() - 1
    }

    pub fn end_run(&self, index: usize, at: Instant, how: RunEnd) {
        self.entries.lock().runs[index].end = Some((self.seconds(at), how));
    }

    pub fn acknowledge_end(&self, index: usize) {
        self.entries.lock().runs[index].is_end_acknowledged = true;
    }

    pub fn note_stray_stop(&self, worker: &str, task: &str, run: u64) {
        let text =
            format!("{task} run {run} on {worker} is stopped by an order for another process");
        self.entries.lock().stray_stops.push(text);
    }

    /// Returns stops that hit another process, and numbers of runs that were given to two runs by orders
    /// that were carried out at once.
    pub fn stray_stops_and_reused_runs(&self) -> Vec<String> {
        let entries = self.entries.lock();
        let mut found = entries.stray_stops.clone();
        let mut known = IndexMap::new();
        for run in entries.runs.iter().filter(|run| !run.is_late) {
            if let Some(first) = known.insert((&run.task, run.run), run) {
                found.push(format!("a reused number: {} / {}", first.describe(), run.describe()));
            }
        }
        found
    }

    /// Number of runs that began.
    pub fn run_count(&self) -> usize {
        self.entries.lock().runs.len()
    }

    /// Number of orders that met another process than the one they were meant for.
    pub fn stray_count(&self) -> usize {
        self.entries.lock().lines.iter().filter(|line| line.is_stray).count()
    }

    /// Whether each of the `count` tasks of a job's only step has a run that ended as done.
    pub fn is_done(&self, job: &str, count: u64) -> bool {
        let entries = self.entries.lock();
        let done = entries.runs.iter().filter(|run| run.is_done() && run.task.starts_with(job));
        let tasks: HashSet<&str> = done.map(|run| run.task.as_str()).collect();
        tasks.len() as u64 == count
    }

    /// Returns the runs of a job.
    pub fn runs(&self, job: &str) -> String {
        let entries = self.entries.lock();
        let runs = entries.runs.iter().filter(|run| run.task.starts_with(job));
        runs.map(|run| format!("\n  {}", run.describe())).collect()
    }

    /// Returns what broke the rule TWICE, with the strays of the worker: two runs of a task at once, or a start
    /// after an acknowledged end as done.
    pub fn twice(&self) -> Vec<String> {
        let entries = self.entries.lock();
        let mut by_task: IndexMap<&str, Vec<&Run>> = IndexMap::new();
        for run in &entries.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        let mut found = Vec::new();
        for runs in by_task.values() {
            for (position, first) in runs.iter().enumerate() {
                let ended_at = first.end.map_or(f64::INFINITY, |(at, _)| at);
                let is_over = first.is_end_acknowledged && first.is_done();
                for second in &runs[position + 1..] {
                    let what = match second.began < ended_at {
                        true => "two runs at once",
                        false if is_over => "a start after an acknowledged end",
                        false => continue,
                    };
                    let lines = entries.lines.iter().filter(|line| {
                        let is_before = line.at < second.began && line.at > first.began - 10.0;
                        let is_of_worker = line.worker.is_empty() || line.worker == first.worker;
                        is_before && is_of_worker && !line.is_usual
                    });
                    let lines: String = lines.map(Line::describe).collect();
                    let (first, second) = (first.describe(), second.describe());
                    found.push(format!("{what}: {first} / {second}{lines}"));
                }
            }
        }
        found
    }
}
