//! What workers received and ran in true time, and the rules that are checked with it.

use indexmap::IndexMap;
use parking_lot::Mutex;
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
    fn ended_at(&self) -> f64 {
        self.end.map_or(f64::INFINITY, |(at, _)| at)
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

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    pub what: &'static str,
    pub first: Run,
    pub second: Run,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (first, second) = (self.first.describe(), self.second.describe());
        write!(f, "{}: {first} / {second}", self.what)
    }
}

struct Line {
    at: f64,
    worker: String,
    text: String,
    is_stray: bool,
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

    /// Adds a line on a worker; an empty name stands for the world.
    pub fn line(&self, worker: &str, text: String) {
        self.order_line(worker, text, false);
    }

    /// Adds a line on an order. A stray met another process than the one it was sent to, or gave a lease that
    /// the worker's own clock did not give.
    pub fn order_line(&self, worker: &str, text: String, is_stray: bool) {
        let at = self.seconds(Instant::now());
        self.entries.lock().lines.push(Line { at, worker: worker.into(), text, is_stray });
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
        let is_done = |task: &str| {
            let mut runs = entries.runs.iter().filter(|run| run.task == task);
            runs.any(|run| run.end.is_some_and(|(_, how)| how == RunEnd::Done))
        };
        (0..count).all(|index| is_done(&format!("{job}.0.0.{index}")))
    }

    /// Returns the runs of a job.
    pub fn runs(&self, job: &str) -> String {
        let entries = self.entries.lock();
        let runs = entries.runs.iter().filter(|run| run.task.starts_with(job));
        runs.map(|run| format!("\n  {}", run.describe())).collect()
    }

    /// Returns what broke the rule TWICE: two runs of a task at once, or a start after an acknowledged end
    /// as done.
    pub fn breaches(&self) -> Vec<Breach> {
        let entries = self.entries.lock();
        let mut by_task: IndexMap<&str, Vec<&Run>> = IndexMap::new();
        for run in &entries.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        let mut breaches = Vec::new();
        for runs in by_task.values() {
            for (position, first) in runs.iter().enumerate() {
                let is_over = first.is_end_acknowledged
                    && first.end.is_some_and(|(_, how)| how == RunEnd::Done);
                for second in &runs[position + 1..] {
                    let what = if second.began < first.ended_at() {
                        "two runs at once"
                    } else if is_over {
                        "a start after an acknowledged end"
                    } else {
                        continue;
                    };
                    let (first, second) = ((*first).clone(), (*second).clone());
                    breaches.push(Breach { what, first, second });
                }
            }
        }
        breaches
    }

    /// Returns the lines of the world, and those of workers that are strays or lie around a breach.
    pub fn excerpt(&self, breaches: &[Breach]) -> String {
        let entries = self.entries.lock();
        let is_near = |line: &Line| {
            breaches.iter().any(|breach| {
                let began = [breach.first.began, breach.second.began];
                breach.first.worker == line.worker
                    && began.iter().any(|b| (b - line.at).abs() < 0.7)
            })
        };
        let lines =
            entries.lines.iter().filter(|l| l.worker.is_empty() || l.is_stray || is_near(l));
        let mut text = String::new();
        for line in lines {
            let stray = if line.is_stray { " STRAY" } else { "" };
            text.push_str(&format!("{:8.3} {}{stray} {}\n", line.at, line.worker, line.text));
        }
        text
    }
}
