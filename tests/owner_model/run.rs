//! Runs sequences: applies the commands, ends all faults, checks liveness, and shrinks failures.

use super::command::{Cmd, Sequence};
use super::oracle::CheckResult;
use super::world::{Event, World};
use crate::batch::{long_running_step, short_step};
use jacinthhook::batch::job::{Step, WorkerId};
use jacinthhook::ids::{JobId, Time};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Time after the end of all faults within which all jobs must be shown as ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time after the cancellation of the last jobs within which nothing may run any more.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Most runs spent on shrinking one failure.
const MAX_SHRINK_RUNS: usize = 1_500;
/// Silence after which a worker's entry is removed from the registry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Jobs of each kind in a sequence.
const MAX_JOBS: usize = 24;
const MAX_LONG_RUNNING_JOBS: usize = 3;

/// A sequence that breaks a rule, and the text that names the rule.
#[derive(Clone, Debug)]
pub struct Failure {
    pub sequence: Sequence,
    pub text: String,
}

/// Runs a sequence, and prints what happens if `trace` is set. A panic counts as a failure.
pub fn run(sequence: &Sequence, trace: bool) -> CheckResult {
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut world = World::new(sequence.seed, sequence.transport, trace);
        world.advance(Duration::from_secs(1))?;
        for cmd in &sequence.steps {
            world.step(cmd)?;
        }
        world.end_faults();
        world.settle()
    }));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(format!("panic: {}", text.unwrap_or_default()))
    })
}

/// Runs the sequences that `generate` returns for `seeds` until one fails, and shrinks that failure.
/// Returns how many ran.
pub fn search(
    seeds: impl Iterator<Item = u64>,
    generate: impl Fn(u64) -> Sequence,
) -> (u64, Option<Failure>) {
    let mut count = 0;
    for seed in seeds {
        count += 1;
        let sequence = generate(seed);
        if let Err(text) = run(&sequence, false) {
            return (count, Some(shrink(Failure { sequence, text })));
        }
    }
    (count, None)
}

/// Searches for a smaller sequence that breaks the same rule.
pub fn shrink(mut failure: Failure) -> Failure {
    let mut runs = 0;
    let rule = |text: &str| text.split(':').next().map(str::to_string);
    'shrink: while runs < MAX_SHRINK_RUNS {
        for sequence in failure.sequence.shrunk() {
            runs += 1;
            match run(&sequence, false) {
                Err(text) if rule(&text) == rule(&failure.text) => {
                    failure = Failure { sequence, text };
                    continue 'shrink;
                }
                _ if runs >= MAX_SHRINK_RUNS => break 'shrink,
                _ => {}
            }
        }
        break;
    }
    failure
}

fn tenths(count: u8) -> Duration {
    Duration::from_millis(100 * u64::from(count))
}

impl World {
    fn step(&mut self, cmd: &Cmd) -> CheckResult {
        self.apply_command(cmd);
        let pause = match cmd {
            Cmd::Wait { tenths: count } => tenths(*count),
            _ => self.millis(20, 700),
        };
        self.advance(pause)
    }

    fn apply_command(&mut self, cmd: &Cmd) {
        let now = self.now;
        match *cmd {
            Cmd::Submit { count, then, tenths } => {
                let mut steps = vec![short_step(count.into())];
                if then > 0 {
                    steps.push(Step { after: vec![0], ..short_step(then.into()) });
                }
                if self.oracle.jobs.len() < MAX_JOBS {
                    self.submit(steps, tenths.to_string());
                }
            }
            Cmd::SubmitLongRunning { count } => {
                let jobs = self.oracle.jobs.values();
                if jobs.filter(|j| j.is_long_running()).count() < MAX_LONG_RUNNING_JOBS {
                    let step = Step { max_per_worker: 0, ..long_running_step(count.into(), 1) };
                    self.submit(vec![step], "10".to_string());
                }
            }
            Cmd::Cancel { job } => {
                let ids: Vec<JobId> = self.oracle.jobs.keys().cloned().collect();
                if !ids.is_empty() {
                    self.cancel(&ids[usize::from(job) % ids.len()]);
                }
            }
            Cmd::Restart { worker, tenths: count } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.crash_worker(&id);
                let up_at = now + tenths(count) + Duration::from_millis(50);
                self.schedule(up_at, Event::WorkerUp(id.clone()));
                if count > 20 {
                    self.unregister(&id);
                }
                // The registry learns of the new process with one of its first heartbeats.
                let incarnation = up_at.as_millis() as u64;
                let listed_at = up_at + self.millis(20, 2_500);
                self.schedule(listed_at, Event::Register(id, incarnation));
            }
            Cmd::RestartAndSilence { worker, tenths_up, tenths: count } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.crash_worker(&id);
                let up_at = now + self.millis(50, 300);
                self.schedule(up_at, Event::WorkerUp(id.clone()));
                let silent_at = up_at + tenths(tenths_up);
                self.schedule(silent_at, Event::Silence(id.clone(), silent_at + tenths(count)));
                let incarnation = up_at.as_millis() as u64;
                let listed_at = up_at + self.millis(20, 2_500);
                self.schedule(listed_at, Event::Register(id, incarnation));
            }
            Cmd::Replace { worker } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.crash_worker(&id);
                self.workers[&id].replaced = true;
                let new = self.add_worker(self.workers[&id].slot);
                self.start_worker(&new);
                self.unregister(&id);
                let incarnation = self.workers[&new].incarnation;
                let listed_at = now + self.millis(20, 1_000);
                self.schedule(listed_at, Event::Register(new, incarnation));
            }
            Cmd::Leave { worker, tenths: count } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.unregister(&id);
                let incarnation = self.workers[&id].incarnation;
                self.schedule(now + tenths(count), Event::Register(id, incarnation));
            }
            Cmd::Silence { worker, tenths: count } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.workers[&id].silent_until = now + tenths(count);
                // Half of the long silences are towards the store as well.
                if tenths(count) > ENTRY_TIMEOUT && count % 2 == 0 {
                    let incarnation = self.workers[&id].incarnation;
                    self.schedule(now + ENTRY_TIMEOUT, Event::Unregister(id.clone()));
                    let back_at = now + tenths(count) + self.millis(20, 1_000);
                    self.schedule(back_at, Event::Register(id, incarnation));
                }
            }
            Cmd::CutLink { worker, tenths: count } => {
                let Some(id) = self.worker_up(worker) else { return };
                self.current().cut_until.insert(id, now + tenths(count));
            }
            Cmd::Disorder { tenths: count } => self.disorder_until = now + tenths(count),
            Cmd::FailRuns { tenths: count } => self.fail_until = now + tenths(count),
            Cmd::SlowStore { tenths: count } => self.slow_until = now + tenths(count),
            Cmd::Freeze { tenths: count } => self.current().frozen_until = now + tenths(count),
            Cmd::Kill => self.kill(),
            Cmd::CutStore => self.current().in_touch = false,
            Cmd::TakeOver => self.take_over(),
            Cmd::Resign => self.resign(),
            Cmd::Wait { .. } => {}
        }
    }

    /// Ends a worker's process together with its runs.
    fn crash_worker(&mut self, id: &WorkerId) {
        for task in self.workers[id].running.keys() {
            self.oracle.record_crash(task);
        }
        self.workers[id].end();
    }

    /// Returns a worker that is up.
    fn worker_up(&self, index: u8) -> Option<WorkerId> {
        let up: Vec<&WorkerId> = self.workers.values().filter(|w| w.up).map(|w| &w.id).collect();
        up.get(usize::from(index) % up.len().max(1)).map(|id| (*id).clone())
    }

    fn end_faults(&mut self) {
        self.settling = true;
        (self.disorder_until, self.fail_until, self.slow_until) =
            (Time::ZERO, Time::ZERO, Time::ZERO);
        let mut to_register = Vec::new();
        for worker in self.workers.values_mut() {
            worker.silent_until = Time::ZERO;
            if worker.up {
                to_register.push((worker.id.clone(), worker.incarnation));
            }
        }
        for (id, incarnation) in to_register {
            self.schedule(self.now + Duration::from_secs(2), Event::Register(id, incarnation));
        }
        for process in &mut self.processes {
            process.cut_until.clear();
        }
    }

    fn settle(&mut self) -> CheckResult {
        let from = self.now;
        while let Err(text) = self.check_finished() {
            if self.now > from + SETTLE_TIMEOUT {
                return Err(format!("liveness: {text}"));
            }
            self.advance(Duration::from_secs(1))?;
        }
        let jobs = self.oracle.jobs.iter();
        let left: Vec<JobId> =
            jobs.filter(|(_, j)| j.is_long_running()).map(|(id, _)| id.clone()).collect();
        left.iter().for_each(|id| self.cancel(id));
        let from = self.now;
        loop {
            self.advance(Duration::from_secs(1))?;
            let running = self.workers.values().find_map(|w| Some((&w.id, w.running.first()?)));
            let Some((id, (task, run))) = running else { return Ok(()) };
            if self.now > from + STOP_TIMEOUT {
                return Err(format!("liveness: {task} run {} is left on {id}", run.run));
            }
        }
    }

    /// Checks that all jobs have ended, and that the tasks of the others are running.
    fn check_finished(&mut self) -> CheckResult {
        let Some(owner) = self.processes.last().and_then(|p| p.owner.as_ref()) else {
            return Err("there is no owner".into());
        };
        for (id, submitted) in &self.oracle.jobs {
            let Some(job) = owner.jobs.get(id) else { return Err(format!("{id} is not known")) };
            if job.published_state.is_final() {
                continue;
            }
            if !submitted.is_long_running() || submitted.cancelled_at.is_some() {
                return Err(format!("{id} is {:?}", job.published_state));
            }
            for task in submitted.tasks(id) {
                if !self.workers.values().any(|w| w.running.contains_key(&task)) {
                    return Err(format!("{task} is not running"));
                }
            }
        }
        Ok(())
    }
}
