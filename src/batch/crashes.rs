//! Crashes of workers, and the jobs that are suspected of causing them.
//!
//! A task may crash each worker that starts it. A run that was lost counts as a crash once a newer
//! process runs under the worker's id or on its machine, unless the machine was moved, maintained or
//! drained. A worker that is only silent may be cut off, and proves nothing. A run that never started, or
//! that was ordered after the newer process began, does not count.
//!
//! Runs that had just started on a crashed worker are blamed, and their jobs suspected until their tasks
//! end otherwise. Suspects are placed apart from other work and from each other as far as there is room.
//! A job that is blamed twice runs alone, on one worker at a time. It fails once the evidence is certain.

use crate::batch::job::{
    Job, JobState, Phase, QueueId, StartStatus, Step, Task, TaskCrashes, TaskId, WorkerId,
    WorkerProcess,
};
use crate::batch::orders::StartOrder;
use crate::batch::owner::{LossCounts, Owner, OwnerEvent};
use crate::batch::placement::accepts_starts;
use crate::batch::worker::Worker;
use crate::ids::{JobId, PoolId, RackId, TeamId, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Crashes blamed on a task after which the job that has most of them on a worker is their cause. The
/// platform allows giving up a task after two.
const CERTAIN_CRASHES: u32 = 3;
/// Confirmed crashes without which no task counts as the cause: the runs of the others may never have
/// started.
const MIN_CONFIRMED_CRASHES: u32 = 2;
/// Blamed crashes after which a task counts as the cause although too few are confirmed. One less than
/// `MAX_CRASHES`: the news of a crash may come after the next start.
const MAX_BLAMED_CRASHES: u32 = 4;
/// Crashes after which a task is given up without certainty. The platform allows two starts after the
/// third crash.
const MAX_CRASHES: u32 = 5;
/// Age up to which a run counts as just started: twice the time from an unanswered poll to the pass that
/// sees it.
const FRESH_AGE: Duration = Duration::from_millis(500);
/// Workers of one rack lost at about the same time that count as lost with their rack.
const RACK_LOSS: usize = 3;
/// Largest difference between the starts of workers, or between the ends of their responses, that are
/// taken for one loss: the time from an unanswered poll to the pass that sees it, and some more.
const LOSS_SPREAD: Duration = Duration::from_millis(300);
/// How long a lost run waits for a sign of what happened to its worker. Longer than maintenance and a
/// move, and than an outage of the store.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(20);
/// How long an outage is remembered after its worker responded again.
const OUTAGE_RETENTION: Duration = Duration::from_secs(5);
/// Time at work after which a long-running task is no longer suspected: the platform's longest lease, so
/// that a run lasts longer than what may delay the news of its worker's crash.
const CLEARED_AFTER: Duration = Duration::from_secs(10);
/// How long a job waits for a worker of its own. The platform counts a long-running task as lost after 6 s
/// without a run.
const ISOLATION_WAIT: Duration = Duration::from_secs(3);
/// Workers that strong suspects of one queue, or of one team, may run on at a time: as many as a pool
/// keeps at least.
const MAX_ISOLATED_WORKERS: usize = 2;

/// How likely it is that a job crashes workers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    #[default]
    None,
    /// A worker crashed while the job ran on it beside others.
    Weak,
    /// This happened again.
    Strong,
}

impl Suspicion {
    fn of(crashes: &TaskCrashes) -> Suspicion {
        match crashes {
            TaskCrashes { total: 3.., .. } | TaskCrashes { blamed: 2.., .. } => Suspicion::Strong,
            TaskCrashes { total: 2.., .. } | TaskCrashes { blamed: 1.., .. } => Suspicion::Weak,
            TaskCrashes { .. } => Suspicion::None,
        }
    }
}

/// A worker that does not respond, or did not recently.
#[derive(Clone, Debug)]
struct Outage {
    since: Time,
    ended_at: Option<Time>,
    /// Jobs with runs that had just started on it.
    jobs: IndexSet<JobId>,
}

/// A run that ended with its worker.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    task: TaskId,
    run: u32,
    process: WorkerProcess,
    assigned_at: Time,
    start: StartStatus,
    confirmed_at: Option<Time>,
}

/// Runs lost with one process, which may have crashed.
#[derive(Clone, Debug)]
struct Loss {
    worker: WorkerId,
    machine: Arc<str>,
    rack: RackId,
    /// Process that was lost.
    incarnation: u64,
    at: Time,
    runs: Vec<RunInLoss>,
}

/// A run of a loss.
#[derive(Clone, Debug)]
struct RunInLoss {
    task: TaskId,
    run: u32,
    assigned_at: Time,
    start: StartStatus,
    /// It had just started.
    is_fresh: bool,
}

impl RunInLoss {
    /// Whether the worker crashed under the run; `None` as long as that is open.
    fn has_crashed(&self, newer: &NewerProcess) -> Option<bool> {
        match self.start {
            StartStatus::Started | StartStatus::Inherited => Some(true),
            StartStatus::Unanswered => {
                Some(newer.began_by.is_none_or(|began_by| self.assigned_at <= began_by))
            }
            StartStatus::InFlight => None,
        }
    }
}

impl Loss {
    /// Takes out the runs of which it is known whether the worker crashed under them. Returns the loss of those
    /// under which it did.
    fn take_crashed(&mut self, newer: &NewerProcess) -> Loss {
        let mut crashed = Loss { runs: Vec::new(), ..self.clone() };
        for run in std::mem::take(&mut self.runs) {
            match run.has_crashed(newer) {
                Some(true) => crashed.runs.push(run),
                Some(false) => {}
                None => self.runs.push(run),
            }
        }
        crashed
    }
}

/// Process that runs in place of a lost one.
#[derive(Clone, Copy, Debug)]
struct NewerProcess {
    incarnation: u64,
    /// By the owner's clock, when it ran at the latest; `None` while its clock is not known.
    began_by: Option<Time>,
}

/// What the owner knows about crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashState {
    /// When this owner began.
    began_at: Time,
    outages: IndexMap<WorkerId, Outage>,
    /// Losses that may turn out to be crashes.
    losses: Vec<Loss>,
    /// Jobs with tasks that have crashes, with the time of the latest.
    suspects: IndexMap<JobId, Time>,
    /// Run and worker of the crashes counted by this owner.
    counted: IndexMap<TaskId, Vec<(u32, WorkerId)>>,
    /// Workers that are kept free for a job.
    reserved: IndexMap<WorkerId, JobId>,
}

impl CrashState {
    /// Forgets the losses of a worker that ended as ordered.
    pub(super) fn forget_losses(&mut self, worker: &str) {
        self.losses.retain(|loss| &*loss.worker != worker);
    }

    /// Records what is known about the start of a run, if it is among the losses; `None` if it never
    /// started.
    pub(super) fn record_start_status(&mut self, start: &StartOrder, status: Option<StartStatus>) {
        for loss in self.losses.iter_mut().filter(|loss| loss.worker == start.worker) {
            let is_run = |r: &RunInLoss| {
                r.start == StartStatus::InFlight && r.task == start.task && r.run == start.run
            };
            match status {
                Some(status) => {
                    let runs = loss.runs.iter_mut().filter(|r| is_run(r));
                    runs.for_each(|r| r.start = status);
                }
                None => loss.runs.retain(|r| !is_run(r)),
            }
        }
        self.losses.retain(|loss| !loss.runs.is_empty());
    }

    /// Forgets the losses on a machine whose maintenance begins.
    pub(super) fn forget_machine(&mut self, machine: &str) {
        self.losses.retain(|loss| &*loss.machine != machine);
    }
}

impl Owner {
    /// Returns the runs assigned to a worker.
    pub(super) fn assigned_runs(&self, worker: &str) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let run = |task: &TaskId| {
            let state = self.jobs.get(&task.job)?.task(task)?;
            let Phase::Assigned(assignment) = &state.phase else { return None };
            Some(LostRun {
                task: task.clone(),
                run: state.run,
                process: assignment.process.clone(),
                assigned_at: assignment.assigned_at,
                start: assignment.start,
                confirmed_at: assignment.confirmed_at,
            })
        };
        worker.assigned.keys().filter_map(run).collect()
    }

    /// Records which of the runs that were assigned to a worker have been given up because the worker
    /// does not list them, or may not run them any more.
    pub(super) fn record_lost_runs(&mut self, id: &WorkerId, runs: Vec<LostRun>, now: Time) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_planned = worker.info.draining && !worker.info.machine.is_empty()
            || self.is_lost_with_move(worker)
            || self.unanswered_maintenance.contains_key(&worker.info.machine);
        if is_planned {
            return;
        }
        let at = self.crashes.outages.get(id).map_or(now, |outage| outage.since);
        let rack = worker.info.rack.clone();
        let is_listed =
            |lost: &LostRun| worker.synced && worker.incarnation == lost.process.incarnation;
        let mut losses: Vec<Loss> = Vec::new();
        for lost in runs {
            let task = self.jobs.get(&lost.task.job).and_then(|j| j.task(&lost.task));
            let is_assigned =
                task.is_some_and(|t| t.run == lost.run && matches!(t.phase, Phase::Assigned(_)));
            let is_late = lost.confirmed_at.is_none() && lost.assigned_at >= at;
            // A worker that lists its runs has not crashed: the start never arrived.
            if is_assigned || is_late || is_listed(&lost) || lost.process.incarnation == 0 {
                continue;
            }
            let is_fresh = self.is_fresh(&lost.task, lost.assigned_at, lost.confirmed_at, at);
            let LostRun { task, run, process, assigned_at, start, .. } = lost;
            let run = RunInLoss { task, run, assigned_at, start, is_fresh };
            match losses.iter_mut().find(|l| l.incarnation == process.incarnation) {
                Some(loss) => loss.runs.push(run),
                None => losses.push(Loss {
                    worker: id.clone(),
                    machine: process.machine,
                    rack: rack.clone(),
                    incarnation: process.incarnation,
                    at,
                    runs: vec![run],
                }),
            }
        }
        self.crashes.losses.extend(losses);
    }

    /// Whether the move of its machine may have ended a worker. A move that was ordered once a newer process
    /// ran there did not.
    fn is_lost_with_move(&self, worker: &Worker) -> bool {
        let machine = &worker.info.machine;
        let Some(in_flight) = self.moves.in_flight.get(machine) else { return false };
        !self.workers.values().any(|w| {
            w.info.machine == *machine
                && w.info.incarnation > worker.info.incarnation
                && w.incarnation_seen_at <= in_flight.first_ordered_at
        })
    }

    /// Whether a run had just started at a time. The age of a run that an earlier owner started is not
    /// known; a long-running one is likely to be old.
    fn is_fresh(
        &self,
        task: &TaskId,
        assigned_at: Time,
        confirmed_at: Option<Time>,
        at: Time,
    ) -> bool {
        if assigned_at <= self.crashes.began_at {
            return self.step_of(task).is_some_and(|s| !s.long_running);
        }
        at <= confirmed_at.unwrap_or(assigned_at) + FRESH_AGE
    }

    /// Counts the losses whose worker, or another one on its machine, has started since.
    fn settle_losses(&mut self, now: Time) {
        let mut open = Vec::new();
        let mut crashed = Vec::new();
        for mut loss in std::mem::take(&mut self.crashes.losses) {
            let newer = self.newer_process(&loss);
            if let Some(newer) = newer {
                let counted = loss.take_crashed(&newer);
                if !counted.runs.is_empty() {
                    crashed.push((counted, newer.incarnation));
                }
            }
            let is_open = newer.is_some() || !self.is_alive(&loss);
            if is_open && !loss.runs.is_empty() && now < loss.at + EVIDENCE_WINDOW {
                open.push(loss);
            }
        }
        self.crashes.losses = open;
        for (loss, incarnation) in crashed {
            self.count_crash(&loss, incarnation, now);
        }
    }

    /// Whether the worker of a loss responds again and is still the same process.
    fn is_alive(&self, loss: &Loss) -> bool {
        let worker = self.workers.get(&loss.worker);
        worker.is_some_and(|w| {
            w.synced && w.unanswered_polls == 0 && w.incarnation == loss.incarnation
        })
    }

    /// Returns the process that runs in place of the one that was lost.
    fn newer_process(&self, loss: &Loss) -> Option<NewerProcess> {
        let same_worker = self.workers.get(&loss.worker);
        let same_worker = same_worker.map(|w| (w, w.incarnation.max(w.info.incarnation)));
        let same_machine = self
            .workers
            .values()
            .filter(|w| w.registered && !loss.machine.is_empty() && w.info.machine == loss.machine)
            .map(|w| (w, w.info.incarnation));
        let newer = same_worker.into_iter().chain(same_machine);
        let newer: Vec<(&Worker, u64)> = newer.filter(|(_, b)| *b > loss.incarnation).collect();
        let (_, incarnation) = *newer.first()?;
        let reported = newer.iter().filter(|(w, _)| w.incarnation > loss.incarnation);
        // The lost process ended before the first of them began.
        let began_by = reported.filter_map(|(w, _)| w.began_by()).min();
        Some(NewerProcess { incarnation, began_by })
    }

    /// Tracks which workers do not respond, and clears tasks that have been at work for long enough.
    pub(super) fn update_crash_state(&mut self, now: Time) {
        for (id, worker) in &self.workers {
            let outage = self.crashes.outages.get_mut(id);
            match (worker.unanswered_polls > 0, outage) {
                (true, Some(outage)) if outage.ended_at.is_none() => {}
                (true, _) => {
                    let is_fresh = |task: &&TaskId| {
                        let state = self.jobs.get(&task.job).and_then(|j| j.task(task));
                        state.is_some_and(|t| match &t.phase {
                            Phase::Assigned(a) => {
                                self.is_fresh(task, a.assigned_at, a.confirmed_at, now)
                            }
                            Phase::Waiting | Phase::Done => false,
                        })
                    };
                    let jobs = worker.assigned.keys().filter(is_fresh);
                    let jobs = jobs.map(|t| t.job.clone()).collect();
                    let outage = Outage { since: now, ended_at: None, jobs };
                    self.crashes.outages.insert(id.clone(), outage);
                }
                (false, Some(outage)) => {
                    outage.ended_at.get_or_insert(now);
                }
                (false, None) => {}
            }
        }
        let workers = &self.workers;
        self.crashes.outages.retain(|id, outage| match outage.ended_at {
            Some(at) => now < at + OUTAGE_RETENTION,
            None => workers.contains_key(id) || now < outage.since + EVIDENCE_WINDOW,
        });
        self.crashes.reserved.retain(|id, _| {
            let worker = workers.get(id);
            worker.is_some_and(|w| w.registered && w.unanswered_polls == 0 && !w.cordoned)
        });
        self.settle_losses(now);
        self.clear_suspects(now);
    }

    /// Forgets the crashes of long-running tasks that have been at work for long enough, and the suspects
    /// without crashes.
    fn clear_suspects(&mut self, now: Time) {
        let mut cleared = Vec::new();
        for id in self.crashes.suspects.keys() {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.state.is_final()) else {
                cleared.push(id.clone());
                continue;
            };
            let mut crashes = 0;
            let spec = job.spec.clone();
            for occurrence in &mut job.open_occurrences {
                for (step, tasks) in spec.steps.iter().zip(&mut occurrence.steps) {
                    for task in tasks.iter_mut().filter(|t| t.crashes.total > 0) {
                        if step.long_running && has_worked_for(task, CLEARED_AFTER, now) {
                            task.crashes = TaskCrashes::default();
                        }
                        if task.phase != Phase::Done {
                            crashes += task.crashes.total;
                        }
                    }
                }
            }
            if crashes == 0 {
                cleared.push(id.clone());
            }
        }
        for id in cleared {
            self.crashes.suspects.swap_remove(&id);
            self.crashes.counted.retain(|task, _| task.job != id);
            self.crashes.reserved.retain(|_, job| *job != id);
            if self.jobs.get(&id).is_some_and(|j| !j.state.is_final()) {
                self.mark_dirty(&id);
            }
        }
    }

    /// Restores the suspects from the stored counts.
    pub(super) fn restore_suspects(&mut self, now: Time) {
        self.crashes.began_at = now;
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let mut tasks = job.open_occurrences.iter().flat_map(|o| o.steps.iter().flatten());
            if tasks.any(|t| t.crashes.total > 0 && t.phase != Phase::Done) {
                self.crashes.suspects.insert(id.clone(), now);
            }
        }
    }

    /// Counts a crash under all runs that were lost with it, and gives up the job that caused it if that
    /// is certain.
    fn count_crash(&mut self, loss: &Loss, incarnation: u64, now: Time) {
        let mut by_job: IndexMap<JobId, (TaskId, TaskCrashes)> = IndexMap::new();
        let jobs: IndexSet<&JobId> = loss.runs.iter().map(|r| &r.task.job).collect();
        for RunInLoss { task: id, run, start, is_fresh, .. } in &loss.runs {
            let is_confirmed = *start == StartStatus::Started;
            let is_blamed = *is_fresh && !self.is_common_loss(loss, incarnation, id);
            let Some(job) = self.jobs.get_mut(&id.job).filter(|j| !j.state.is_final()) else {
                continue;
            };
            let Some(task) = job.task_mut(id) else { continue };
            if task.phase == Phase::Done || *run <= task.crashes.last_run {
                continue;
            }
            task.crashes.last_run = *run;
            task.crashes.total += 1;
            task.crashes.blamed += u32::from(is_blamed);
            task.crashes.confirmed += u32::from(is_confirmed);
            let crashes = task.crashes;
            self.crashes.suspects.insert(id.job.clone(), now);
            let counted = self.crashes.counted.entry(id.clone()).or_default();
            counted.push((*run, loss.worker.clone()));
            self.mark_dirty(&id.job);
            let entry = by_job.entry(id.job.clone()).or_insert_with(|| (id.clone(), crashes));
            if (crashes.blamed, crashes.total) > (entry.1.blamed, entry.1.total) {
                *entry = (id.clone(), crashes);
            }
        }
        let started = loss.runs.iter().filter(|r| r.start == StartStatus::Started).count();
        self.emit(OwnerEvent::WorkerCrashed {
            worker: loss.worker.clone(),
            earlier: loss.incarnation,
            incarnation,
            counts: LossCounts {
                runs: loss.runs.len() as u64,
                started: started as u64,
                jobs: jobs.len() as u64,
            },
        });
        let most = by_job.values().map(|(_, c)| c.blamed).max().unwrap_or(0);
        let has_most = by_job.values().filter(|(_, c)| c.blamed == most).count();
        for (job, (task, crashes)) in by_job {
            let is_first = crashes.blamed == most && has_most == 1;
            let is_proved =
                crashes.blamed >= CERTAIN_CRASHES && crashes.confirmed >= MIN_CONFIRMED_CRASHES;
            let is_certain = is_first && (is_proved || crashes.blamed >= MAX_BLAMED_CRASHES);
            if is_certain || crashes.total >= MAX_CRASHES {
                self.give_up(&job, task, now);
            }
        }
    }

    fn give_up(&mut self, job: &JobId, task: TaskId, now: Time) {
        let crashes = self.crashes.counted.get(&task).cloned().unwrap_or_default();
        self.emit(OwnerEvent::JobGivenUp { task, crashes });
        self.end_job(job, JobState::Failed, now);
    }

    /// Whether a worker was lost with others: with its rack, or with most of the fleet. Workers on which
    /// members of the task's gang had just started do not count.
    fn is_common_loss(&self, loss: &Loss, incarnation: u64, task: &TaskId) -> bool {
        let is_gang = self.step_of(task).is_some_and(|s| s.gang);
        let spread = LOSS_SPREAD.as_millis() as u64;
        let is_common = |id: &WorkerId, worker: &Worker| {
            let outage = self.crashes.outages.get(id);
            let is_back = worker.info.incarnation > 0
                && worker.info.incarnation.abs_diff(incarnation) <= spread
                && worker.info.machine != loss.machine;
            let is_lost = outage
                .is_some_and(|o| o.ended_at.is_none() && o.since.abs_diff(loss.at) <= LOSS_SPREAD);
            let has_gang = is_gang && outage.is_some_and(|o| o.jobs.contains(&task.job));
            *id != loss.worker && (is_back || is_lost) && !has_gang
        };
        let common: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|(id, worker)| is_common(id, worker))
            .map(|(_, worker)| worker)
            .collect();
        let in_rack = common.iter().filter(|w| w.info.rack == loss.rack).count();
        in_rack + 1 >= RACK_LOSS || 2 * (common.len() + 1) > self.workers.len().max(RACK_LOSS)
    }

    /// Returns how the suspects are spread over the workers, for one scheduling pass.
    pub(super) fn isolation(&self, now: Time) -> Isolation {
        let mut isolation = Isolation::default();
        for (id, since) in &self.crashes.suspects {
            let Some(job) = self.jobs.get(id).filter(|j| !j.state.is_final()) else { continue };
            isolation.add_suspect(id, job, now > *since + ISOLATION_WAIT);
        }
        if isolation.is_empty() {
            return isolation;
        }
        isolation.reserved = self.crashes.reserved.clone();
        for (id, worker) in &self.workers {
            for task in worker.assigned.keys() {
                if !isolation.jobs.contains_key(&task.job) {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let (Some(state), Some(step)) =
                    (job.task(task), job.spec.steps.get(task.step as usize))
                else {
                    continue;
                };
                let suspicion = isolation.suspicion(&task.job, state, step);
                isolation.place(id, &task.job, suspicion);
            }
        }
        isolation
    }

    /// Keeps a worker free for a job that has to run alone and found no worker.
    pub(super) fn reserve_worker(
        &mut self,
        isolation: &mut Isolation,
        job: &JobId,
        pool: &PoolId,
        step: &Step,
        now: Time,
    ) {
        if isolation.reserved.values().any(|j| j == job) || !isolation.may_isolate(job) {
            return;
        }
        let zones_out = &self.active_config.zones_out;
        let mut best: Option<((usize, usize), WorkerId)> = None;
        for (id, worker) in &self.workers {
            let fits = worker.info.pool == *pool
                && accepts_starts(worker, zones_out, now)
                && step.label.as_ref().is_none_or(|l| worker.info.labels.contains(l))
                && step.reservation().fits(&worker.info.capacity)
                && !isolation.reserved.contains_key(id)
                && !isolation.is_strong(id);
            let is_long = |t: &&TaskId| self.step_of(t).is_some_and(|s| s.long_running);
            let long_running = worker.assigned.keys().filter(is_long).count();
            let key = (long_running, worker.assigned.len());
            if fits && best.as_ref().is_none_or(|(lowest, _)| key < *lowest) {
                best = Some((key, id.clone()));
            }
        }
        if let Some((_, id)) = best {
            self.crashes.reserved.insert(id.clone(), job.clone());
            isolation.reserved.insert(id, job.clone());
        }
    }

    /// Releases the workers that were kept free for a job.
    pub(super) fn release_reserved(&mut self, isolation: &mut Isolation, job: &JobId) {
        self.crashes.reserved.retain(|_, j| j != job);
        isolation.reserved.retain(|_, j| j != job);
    }

    /// Whether a job waits for a worker of its own in a pool.
    pub(super) fn isolated_job_waits(&self, pool: &PoolId) -> bool {
        let declarations = &self.active_config.declarations;
        let in_pool = |job: &JobId| {
            let queue = self.jobs.get(job).and_then(|j| j.queue_in(declarations));
            queue.is_some_and(|q| q.pool == *pool)
        };
        self.crashes.reserved.values().any(in_pool)
    }
}

/// Whether a task is assigned and has been at work at full speed for a time.
fn has_worked_for(task: &Task, duration: Duration, now: Time) -> bool {
    match &task.phase {
        Phase::Assigned(a) => a.full_speed_since.is_some_and(|since| now >= since + duration),
        Phase::Waiting | Phase::Done => false,
    }
}

/// A suspected job in a scheduling pass.
#[derive(Clone, Debug)]
struct Suspect {
    suspicion: Suspicion,
    queue: QueueId,
    team: Option<TeamId>,
    /// Has waited too long to wait for a worker of its own.
    is_overdue: bool,
}

/// Suspected jobs on a worker.
#[derive(Clone, Debug, Default)]
struct Guests {
    jobs: IndexSet<JobId>,
    /// Job that must run alone.
    strong: Option<JobId>,
}

/// How the suspects are spread over the workers.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    jobs: IndexMap<JobId, Suspect>,
    guests: IndexMap<WorkerId, Guests>,
    reserved: IndexMap<WorkerId, JobId>,
}

impl Isolation {
    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn add_suspect(&mut self, id: &JobId, job: &Job, is_overdue: bool) {
        let tasks = job.open_occurrences.iter().flat_map(|o| o.steps.iter().flatten());
        let open = tasks.filter(|t| t.phase != Phase::Done);
        let suspicion = open.map(|t| Suspicion::of(&t.crashes)).max().unwrap_or_default();
        if suspicion > Suspicion::None {
            let (queue, team) = (job.queue.clone(), job.team.clone());
            self.jobs.insert(id.clone(), Suspect { suspicion, queue, team, is_overdue });
        }
    }

    /// Returns how much a task is suspected: as much as its job, since tasks of a job are alike. The
    /// long-running tasks of a job each count for themselves, since each must be back soon.
    pub fn suspicion(&self, job: &JobId, task: &Task, step: &Step) -> Suspicion {
        match self.jobs.get(job) {
            None => Suspicion::None,
            Some(_) if step.long_running && !step.gang => Suspicion::of(&task.crashes),
            Some(suspect) => suspect.suspicion,
        }
    }

    /// Records that a task runs on a worker.
    pub fn place(&mut self, worker: &WorkerId, job: &JobId, suspicion: Suspicion) {
        if suspicion == Suspicion::None {
            return;
        }
        let guests = self.guests.entry(worker.clone()).or_default();
        guests.jobs.insert(job.clone());
        if suspicion == Suspicion::Strong {
            guests.strong = Some(job.clone());
        }
    }

    fn is_strong(&self, worker: &WorkerId) -> bool {
        self.guests.get(worker).is_some_and(|g| g.strong.is_some())
    }

    /// Whether strong suspects of the job's queue and team leave room for one more worker.
    fn may_isolate(&self, job: &JobId) -> bool {
        let Some(suspect) = self.jobs.get(job) else { return true };
        let strong: Vec<&Suspect> = self
            .guests
            .values()
            .filter_map(|g| g.strong.as_ref())
            .chain(self.reserved.values())
            .filter(|j| *j != job)
            .filter_map(|j| self.jobs.get(j))
            .collect();
        let of_queue = strong.iter().filter(|s| s.queue == suspect.queue).count();
        let of_team = strong.iter().filter(|s| s.team.is_some() && s.team == suspect.team).count();
        of_queue < MAX_ISOLATED_WORKERS && of_team < MAX_ISOLATED_WORKERS
    }

    /// Returns the rank of a worker for a task, the lowest first, or `None` if the task must not run there.
    pub fn rank(
        &self,
        worker: &Worker,
        job: &JobId,
        step: &Step,
        suspicion: Suspicion,
    ) -> Option<u8> {
        if self.is_empty() {
            return Some(0);
        }
        let id = &worker.info.id;
        let guests = self.guests.get(id);
        let strong = guests.and_then(|g| g.strong.as_ref());
        let reserved_for = self.reserved.get(id);
        if strong.is_some_and(|j| j != job) || reserved_for.is_some_and(|j| j != job) {
            return None;
        }
        match suspicion {
            Suspicion::None => Some(u8::from(guests.is_some())),
            Suspicion::Weak => Some(match guests {
                Some(g) if g.jobs.iter().all(|j| j == job) => 0,
                Some(_) => 3,
                None if worker.assigned.is_empty() => 1,
                None => 2,
            }),
            Suspicion::Strong => self.rank_strong(worker, job, step),
        }
    }

    fn rank_strong(&self, worker: &Worker, job: &JobId, step: &Step) -> Option<u8> {
        let is_alone = worker.assigned.keys().all(|t| t.job == *job);
        let is_overdue = self.jobs.get(job).is_some_and(|s| s.is_overdue);
        let is_here = |(_, g): (&WorkerId, &Guests)| g.strong.as_ref().is_some_and(|j| j == job);
        let mut elsewhere = self.guests.iter().filter(|(id, _)| **id != worker.info.id);
        let is_elsewhere = !step.gang && elsewhere.any(is_here);
        match (is_alone, is_overdue) {
            (true, _) if !is_elsewhere && self.may_isolate(job) => Some(0),
            (false, true) if !is_elsewhere && self.may_isolate(job) => Some(1),
            _ => None,
        }
    }
}
