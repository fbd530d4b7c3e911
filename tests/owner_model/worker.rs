//! A simulated worker: fences, leases, runs and ends as the platform's pages describe them.

use super::messages::PollOrder;
use indexmap::IndexMap;
use jacinthhook::batch::job::{TaskId, WorkerId};
use jacinthhook::batch::orders::{
    FinishedRun, RunOutcome, RunningTask, StartOrder, StartOutcome, StopOrder, WorkerReport,
    WorkerTime,
};
use jacinthhook::ids::Time;
use std::time::Duration;

/// Most ends that one response lists.
const ENDS_PER_REPORT: usize = 500;

/// What all workers of a sequence have in common.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub max_lease: Duration,
    /// Number of tasks for which a worker has room.
    pub capacity: usize,
    /// A start whose own deadline has passed is still carried out under a lease that has not. The
    /// pages leave this open.
    pub late_by_lease: bool,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub run: u32,
    /// When the run ends by itself or by a stop.
    pub ends_at: Time,
    pub outcome: RunOutcome,
}

/// An end that has not been acknowledged.
#[derive(Clone, Debug)]
pub struct End {
    pub listed: FinishedRun,
    pub at: Time,
    /// Number of lapsed leases at the end.
    lapses: u64,
    /// A response that was not lost has listed it.
    pub is_listed: bool,
}

/// A run that ended, in true time.
#[derive(Clone, Debug)]
pub struct Ended {
    pub task: TaskId,
    pub run: u32,
    pub outcome: RunOutcome,
    pub at: Time,
}

/// One machine's worker process.
#[derive(Clone, Debug)]
pub struct SimWorker {
    pub id: WorkerId,
    /// Number of the machine.
    pub slot: usize,
    pub incarnation: u64,
    pub up: bool,
    /// Another worker has its address.
    pub replaced: bool,
    pub silent_until: Time,
    /// Until when an intermediary connects this process to what was meant for earlier ones.
    pub proxied_until: Time,
    started_at: Time,
    /// Rate of the worker's clock.
    rate: f64,
    fence: u64,
    lease: WorkerTime,
    /// The lease has not lapsed since it was last extended.
    has_lease: bool,
    lapses: u64,
    limits: Limits,
    pub running: IndexMap<TaskId, Run>,
    /// Highest run stopped or ended of each task.
    over: IndexMap<TaskId, u32>,
    finished: Vec<End>,
    finished_count: u64,
}

impl SimWorker {
    /// Creates a worker that is down.
    pub fn new(id: WorkerId, slot: usize, limits: Limits) -> SimWorker {
        SimWorker {
            id,
            slot,
            incarnation: 0,
            up: false,
            replaced: false,
            silent_until: Time::ZERO,
            proxied_until: Time::ZERO,
            started_at: Time::ZERO,
            rate: 1.0,
            fence: 0,
            lease: WorkerTime::ZERO,
            has_lease: false,
            lapses: 0,
            limits,
            running: IndexMap::new(),
            over: IndexMap::new(),
            finished: Vec::new(),
            finished_count: 0,
        }
    }

    /// Starts a new incarnation, which knows nothing of the ones before.
    pub fn begin(&mut self, incarnation: u64, rate: f64, now: Time) {
        let silent_until = self.silent_until;
        *self = SimWorker::new(self.id.clone(), self.slot, self.limits);
        self.silent_until = silent_until;
        (self.incarnation, self.rate, self.started_at, self.up) = (incarnation, rate, now, true);
    }

    /// Ends the process with all its runs.
    pub fn end(&mut self) {
        self.up = false;
        self.running.clear();
    }

    pub fn clock(&self, now: Time) -> WorkerTime {
        // Responses carry whole milliseconds.
        let clock = now.saturating_sub(self.started_at).mul_f64(self.rate);
        Duration::from_millis(clock.as_millis() as u64)
    }

    /// When the lease lapses, if it is not extended.
    fn lapses_at(&self) -> Option<Time> {
        self.has_lease.then(|| self.started_at + self.lease.div_f64(self.rate))
    }

    /// Returns when the next run ends.
    pub fn next_end(&self) -> Option<Time> {
        self.running.values().map(|r| r.ends_at).chain(self.lapses_at()).min()
    }

    /// Carries out all ends and lapses up to `now`. Returns the runs that ended.
    pub fn advance(&mut self, now: Time) -> Vec<Ended> {
        let mut ended = Vec::new();
        while let Some(at) = self.next_end().filter(|at| self.up && *at <= now) {
            if self.lapses_at().is_some_and(|lapse| lapse <= at) {
                (self.has_lease, self.lapses) = (false, self.lapses + 1);
                for (task, run) in std::mem::take(&mut self.running) {
                    ended.push(self.list_end(task, run.run, RunOutcome::Lapsed, at));
                }
                continue;
            }
            let due = self.running.iter().find(|(_, r)| r.ends_at == at).map(|(t, _)| t.clone());
            let Some((task, run)) = due.and_then(|t| self.running.swap_remove_entry(&t)) else {
                break;
            };
            ended.push(self.list_end(task, run.run, run.outcome, at));
        }
        ended
    }

    fn list_end(&mut self, task: TaskId, run: u32, outcome: RunOutcome, at: Time) -> Ended {
        self.finished_count += 1;
        let over = self.over.entry(task.clone()).or_insert(0);
        *over = run.max(*over);
        let index = self.finished_count;
        let listed =
            FinishedRun { index, task: Some(task.clone()), run, outcome, checkpoint: "".into() };
        self.finished.push(End { listed, at, lapses: self.lapses, is_listed: false });
        Ended { task, run, outcome, at }
    }

    /// Takes note of an order's fence. Returns whether the order may be carried out.
    pub fn accept_fence(&mut self, fence: u64) -> bool {
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn extend_lease(&mut self, deadline: WorkerTime, now: Time) {
        let clock = self.clock(now);
        let lease = deadline.min(clock + self.limits.max_lease);
        if lease > self.lease {
            self.lease = lease;
            self.has_lease |= lease > clock;
        }
    }

    /// Carries out a start order; `run` is what starts, if anything does.
    pub fn start(
        &mut self,
        start: &StartOrder,
        deadline: WorkerTime,
        run: Run,
        now: Time,
    ) -> StartOutcome {
        if !self.accept_fence(start.fence) {
            return StartOutcome::Fenced;
        }
        self.extend_lease(deadline, now);
        match self.running.get(&start.task) {
            Some(present) if present.run == start.run => return StartOutcome::Started,
            Some(present) if present.run > start.run => return StartOutcome::Over,
            // The check of concurrent runs sees the second run of the task.
            Some(_) | None => {}
        }
        if self.over.get(&start.task).is_some_and(|over| *over >= start.run) {
            return StartOutcome::Over;
        }
        let is_over = deadline <= self.clock(now) && !self.limits.late_by_lease;
        if !self.has_lease || is_over {
            return StartOutcome::Late;
        }
        if self.running.len() >= self.limits.capacity {
            return StartOutcome::NoRoom;
        }
        self.running.insert(start.task.clone(), run);
        StartOutcome::Started
    }

    /// Carries out a stop order; a run that is there ends at `ends_at`. Returns whether the order was
    /// accepted.
    pub fn stop(&mut self, stop: &StopOrder, fence: u64, ends_at: Time) -> bool {
        if !self.accept_fence(fence) {
            return false;
        }
        let over = self.over.entry(stop.task.clone()).or_insert(0);
        *over = stop.run.max(*over);
        let run = self.running.get_mut(&stop.task).filter(|r| r.run == stop.run);
        if let Some(run) = run.filter(|r| ends_at < r.ends_at) {
            (run.ends_at, run.outcome) = (ends_at, RunOutcome::Stopped);
        }
        true
    }

    /// Carries out the part of a poll that changes the worker. Returns the acknowledged ends, each
    /// with whether it is taken note of, or `None` if the fence is too low.
    pub fn poll(&mut self, poll: &PollOrder, now: Time) -> Option<Vec<(End, bool)>> {
        if !self.accept_fence(poll.fence) {
            return None;
        }
        if let Some(deadline) = poll.lease {
            self.extend_lease(deadline, now);
        }
        let finished = std::mem::take(&mut self.finished);
        let (gone, left): (Vec<End>, Vec<End>) =
            finished.into_iter().partition(|e| e.listed.index <= poll.acknowledged);
        self.finished = left;
        // TWICE and BUDGET: an end is not taken note of if the lease lapsed between the end and its
        // acknowledgement. A lease without runs lapses as well; the pages leave this open.
        let lapses = self.lapses;
        Some(gone.into_iter().map(|e| (e.clone(), e.lapses == lapses)).collect())
    }

    /// Whether a poll has nothing to report yet.
    pub fn may_wait(&self) -> bool {
        self.finished.is_empty()
    }

    /// Records that a response brings the lists to an owner.
    pub fn mark_listed(&mut self) {
        self.finished.iter_mut().take(ENDS_PER_REPORT).for_each(|end| end.is_listed = true);
    }

    /// Returns the lists of runs and ends.
    pub fn report(&self, requested_at: Time, fence: u64, now: Time) -> WorkerReport {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: Some(task.clone()),
            name: task.to_string().into(),
            run: run.run,
            checkpoint: "".into(),
            speed_percent: 100,
            load: 0,
        });
        WorkerReport {
            incarnation: self.incarnation,
            clock: self.clock(now),
            running: running.collect(),
            finished: self
                .finished
                .iter()
                .take(ENDS_PER_REPORT)
                .map(|e| e.listed.clone())
                .collect(),
            more_finished: self.finished.len() >= ENDS_PER_REPORT,
            requested_at,
            fence,
        }
    }
}
