//! The owner: the one instance that decides about all batch work.
//!
//! Each decision changes the state here first and comes out as a `Batch`: records for the store, and
//! the orders that may be sent once the records are stored. Ends are taken in when a worker lists
//! them, stored, and acknowledged after that.

use crate::batch::declarations::{ActiveConfig, Bounds, Queue};
use crate::batch::job::{
    Assignment, Job, JobSpec, JobState, Occurrence, Phase, QueueId, Step, TaskId, WorkerId,
};
use crate::batch::maintenance::{Blocker, WaveProgress};
use crate::batch::moves::MoveState;
use crate::batch::ordered_machines::OrderedMachines;
use crate::batch::orders::{
    FinishedRun, Orders, PaceOrder, RunOutcome, StartOrder, StartOutcome, StopOrder, WorkerReport,
    WorkerTime,
};
use crate::batch::records::{self, ProgressError, RecordUpdate};
use crate::batch::worker::{Worker, WorkerInfo};
use crate::fair::Resources;
use crate::ids::{JobId, TeamId, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Lease given with each order. It outlasts the change to another owner, which takes about 2.5 s.
pub const LEASE_DURATION: Duration = Duration::from_millis(4_500);
/// An owner that cannot reach the store extends leases for at most this long; longer than the
/// store's usual outages of up to 5 s.
pub const MAX_STORE_OUTAGE: Duration = Duration::from_secs(6);
/// Time between two stops of one run.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a task that ended badly is started again.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// Time that a worker which refused for want of room gets no starts: about one round of looks.
const START_BACKOFF: Duration = Duration::from_millis(200);
/// Share of the tail's target above which tasks that fill are slowed.
const TAIL_RATIO_HIGH: f64 = 0.8;
/// Share of the tail's target below which they are sped up again.
const TAIL_RATIO_LOW: f64 = 0.5;
/// Step by which tasks that fill are sped up, in percent.
const PACE_STEP_PERCENT: u32 = 15;
/// Pace below which a task that fills stands still, in percent.
const MIN_PACE_PERCENT: u32 = 12;

/// Bits of a fence below the term: a worker that flaps once a second for half a day.
const FENCE_COUNTER_BITS: u32 = 16;

/// A decision's outcome for the log of events.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    TaskPlaced { task: TaskId, run: u32, worker: WorkerId, job_age: Duration },
    RunEnded { task: TaskId, run: u32, worker: WorkerId, outcome: RunOutcome },
    RunLost { task: TaskId, run: u32, worker: WorkerId, reason: &'static str },
    JobEnded { job: JobId, state: JobState, job_age: Duration },
    WorkerQuarantined { worker: WorkerId },
    WorkerRestarted { worker: WorkerId },
    WorkerLeaseExpired { worker: WorkerId, tasks: u64 },
    MaintenanceBlocked { machine: Arc<str>, blocker: Blocker },
    BadRecord { error: String },
}

/// Decisions that are made but not stored.
#[derive(Clone, Debug, Default)]
pub struct DecisionBatch {
    pub updates: Vec<RecordUpdate>,
    pub orders: Orders,
    pub events: Vec<OwnerEvent>,
    /// Jobs whose state may be shown once this is stored.
    published_states: Vec<(JobId, JobState)>,
    /// Ends that may be acknowledged once this is stored, by worker and its life.
    processed_runs: Vec<(WorkerId, u64, u64)>,
    /// Announcement of orders to machines that may be sent once this is stored.
    announcement: u64,
}

impl DecisionBatch {
    /// Workers whose ends may be acknowledged once this is stored.
    pub fn workers_to_acknowledge(&self) -> impl Iterator<Item = &WorkerId> {
        self.processed_runs.iter().map(|(id, _, _)| id)
    }

    /// Jobs that are dropped: their hand-in must be dropped before their progress, or the next owner
    /// takes them for new.
    pub fn dropped_jobs(&self) -> impl Iterator<Item = &str> {
        self.updates.iter().filter(|e| e.value.is_none()).map(|e| &*e.key)
    }

    /// Whether there is nothing to store or send.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
            && self.orders == Orders::default()
            && self.processed_runs.is_empty()
    }
}

/// State and decisions of the owner in one term.
pub struct Owner {
    pub active_config: Arc<ActiveConfig>,
    bounds: Bounds,
    /// Number of this owner's time in office; rises with each owner.
    term: u64,
    pub jobs: IndexMap<JobId, Job>,
    pub workers: IndexMap<WorkerId, Worker>,
    /// What each team has running or ordered.
    usage_by_team: IndexMap<TeamId, Resources>,
    pub wave_progress: WaveProgress,
    /// Why machines that are due wait, as last noted.
    pub(super) maintenance_blockers: IndexMap<Arc<str>, Blocker>,
    pub(super) moves: MoveState,
    pub ordered_machines: OrderedMachines,
    /// When an order about a machine had no answer.
    pub(super) unanswered_maintenance: IndexMap<Arc<str>, Time>,
    dirty_jobs: IndexSet<JobId>,
    pub(super) dirty_waves: IndexSet<u64>,
    orders: Orders,
    events: Vec<OwnerEvent>,
    /// When a run was last told to stop.
    stop_ordered_at: IndexMap<StopOrder, Time>,
    /// Pace ordered for a task that fills, and its run.
    ordered_paces: IndexMap<TaskId, (u32, u32)>,
    /// Until when orders of earlier owners may have effect at a worker that was not greeted.
    prior_leases_until: Time,
}

impl Owner {
    /// The owner of a new term.
    pub fn new(term: u64, bounds: Bounds, active_config: Arc<ActiveConfig>, now: Time) -> Owner {
        Owner {
            term,
            active_config,
            bounds,
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            usage_by_team: IndexMap::new(),
            wave_progress: WaveProgress::default(),
            maintenance_blockers: IndexMap::new(),
            moves: MoveState::new(now),
            ordered_machines: OrderedMachines::new(bounds.holder_gap, now),
            unanswered_maintenance: IndexMap::new(),
            dirty_jobs: IndexSet::new(),
            dirty_waves: IndexSet::new(),
            orders: Orders::default(),
            events: Vec::new(),
            stop_ordered_at: IndexMap::new(),
            ordered_paces: IndexMap::new(),
            prior_leases_until: now + MAX_STORE_OUTAGE + LEASE_DURATION.mul_f64(1.05),
        }
    }

    /// Lease for an order sent now, by the worker's clock; `None` while its clock is not known. The
    /// lease of a worker that does not answer is not extended, so that it ends some time.
    pub fn extend_lease(&mut self, now: Time, worker: &str) -> Option<WorkerTime> {
        let worker = self.workers.get_mut(worker)?;
        if worker.unanswered_polls > 0 {
            return Some(worker.lease_until).filter(|lease| !lease.is_zero());
        }
        let until = worker.estimate_clock(now)? + LEASE_DURATION.min(self.bounds.max_lease);
        worker.lease_until = worker.lease_until.max(until);
        Some(worker.lease_until)
    }

    /// Fence of orders to a worker: the term, then how often it was greeted anew in it.
    pub fn fence(&self, worker: &str) -> u64 {
        let counter = self.workers.get(worker).map_or(0, |w| w.fence_counter);
        (self.term << FENCE_COUNTER_BITS) | u64::from(counter)
    }

    /// Takes in a job that is stored. A repeat changes nothing. Answers whether the job is new.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        queue: QueueId,
        team: Option<TeamId>,
        now: Time,
    ) -> bool {
        let new = !self.jobs.contains_key(&id);
        self.jobs.entry(id).or_insert_with(|| Job::new(spec, queue, team, now));
        new
    }

    /// Counts a job that was handed in just now towards the demand to come.
    pub fn record_arrival(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get(id) else { return };
        if let Some(queue) = self.active_config.declarations.queue(&job.queue) {
            self.moves.arrivals.record(&queue.pool, &job.spec, now);
        }
    }

    /// Sets a job, or a wave of maintenance, to its stored progress.
    pub fn restore_record(&mut self, key: &str, value: &[u8], now: Time) {
        if let Some(wave) = records::wave_of_key(key) {
            match records::decode_wave(value) {
                Ok(begun) => self.wave_progress.begun_machines.insert(wave, begun),
                Err(e) => return self.events.push(OwnerEvent::BadRecord { error: e.to_string() }),
            };
            return;
        }
        if key == records::ORDERED_MACHINES_KEY {
            match records::decode_ordered_machines(value) {
                Ok(machines) => self.ordered_machines.restore(machines, now),
                Err(e) => self.events.push(OwnerEvent::BadRecord { error: e.to_string() }),
            }
            return;
        }
        let id: JobId = key.into();
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its hand-in was dropped and its owner ended before the progress was.
            self.dirty_jobs.insert(id);
            return;
        };
        if let Err(e) = records::decode_job(&id, job, value, now) {
            self.events.push(OwnerEvent::BadRecord { error: ProgressError::to_string(&e) });
        }
    }

    /// The earlier owner gives no orders any more: leases that it gave end within one lease.
    pub fn record_previous_owner_stopped(&mut self, now: Time) {
        self.prior_leases_until = self.prior_leases_until.min(now + LEASE_DURATION.mul_f64(1.05));
        for worker in self.workers.values_mut() {
            worker.prior_leases_until = worker.prior_leases_until.min(self.prior_leases_until);
        }
    }

    /// Enters the restored runs at their workers and teams; called once, after all were restored
    /// and all listed workers are known. A worker that is no longer listed may still run its tasks.
    pub fn finish_restore(&mut self, now: Time) {
        let mut runs = Vec::new();
        for (id, job) in &self.jobs {
            visit_assigned(id, job, |task, run| runs.push((task, job.team.clone(), run.clone())));
        }
        for (task, team, run) in runs {
            let Some(reservation) = self.step_of(&task).map(Step::reservation) else { continue };
            if !self.workers.contains_key(&run.worker) {
                let mut gone =
                    Worker::new(unlisted_worker(&run.worker), self.prior_leases_until, now);
                gone.registered = false;
                self.workers.insert(run.worker.clone(), gone);
            }
            if let Some(worker) = self.workers.get_mut(&run.worker) {
                worker.assigned.insert(task, reservation);
            }
            self.charge_team(team.as_ref(), &reservation);
        }
    }

    /// Cancels a job. Answers whether it is known.
    pub fn cancel(&mut self, id: &str, now: Time) -> bool {
        let Some((id, job)) = self.jobs.get_key_value(id) else { return false };
        if job.state.is_final() {
            return true;
        }
        let id = id.clone();
        self.end_job(&id, JobState::Cancelled, now);
        true
    }

    /// Takes in what workers say of themselves in the list; one that is left out is absent.
    pub fn update_workers(&mut self, registry: &IndexMap<WorkerId, WorkerInfo>, now: Time) {
        for (id, worker) in &mut self.workers {
            worker.registered = registry.contains_key(id);
        }
        for (id, entry) in registry {
            let until = self.prior_leases_until;
            let new = || Worker::new(entry.clone(), until, now);
            let worker = self.workers.entry(id.clone()).or_insert_with(new);
            if worker.ended_incarnation.is_some_and(|incarnation| incarnation != entry.incarnation)
            {
                worker.ended_incarnation = None;
                worker.begin_incarnation(entry.incarnation);
            }
            worker.registered = worker.ended_incarnation.is_none();
            worker.info = entry.clone();
        }
        self.workers
            .retain(|id, w| w.registered || !w.assigned.is_empty() || registry.contains_key(id));
    }

    /// Takes in an answer to a start.
    pub fn record_start_outcome(&mut self, start: &StartOrder, answer: StartOutcome, now: Time) {
        let Some(worker) = self.workers.get_mut(&start.worker) else { return };
        if !matches!(answer, StartOutcome::Unknown | StartOutcome::NotSent) {
            worker.last_answer_at = now;
        }
        let reason = match answer {
            StartOutcome::Started | StartOutcome::Over => return self.confirm_start(start, now),
            // The next look tells whether it is there.
            StartOutcome::Unknown => return,
            StartOutcome::Fenced => {
                worker.resync();
                "fenced"
            }
            StartOutcome::Late => "late",
            StartOutcome::NoRoom => {
                worker.start_backoff_until = now + START_BACKOFF;
                "no_room"
            }
            StartOutcome::NoTicket => "no_ticket",
            StartOutcome::Busy => {
                if worker.record_failure(now) {
                    self.events
                        .push(OwnerEvent::WorkerQuarantined { worker: start.worker.clone() });
                }
                "busy"
            }
            StartOutcome::OtherWorker => "other_worker",
            StartOutcome::NotSent => {
                worker.start_backoff_until = now + START_BACKOFF;
                "not_sent"
            }
            StartOutcome::Malformed => "malformed",
        };
        self.abandon_run(&start.task, start.run, reason, now);
    }

    fn confirm_start(&mut self, start: &StartOrder, now: Time) {
        if let Some(assignment) = self.assignment_mut(&start.task, start.run) {
            assignment.confirmed_at.get_or_insert(now);
        }
    }

    /// A worker answered a stop: the run ends soon, or never starts.
    pub fn record_stop_accepted(&mut self, stop: &StopOrder, now: Time) {
        if let Some(assignment) = self.assignment_mut(&stop.task, stop.run) {
            assignment.confirmed_at.get_or_insert(now);
        }
    }

    /// Takes in a worker's lists. Answers whether ends were new.
    pub fn apply_report(&mut self, id: &WorkerId, report: WorkerReport, now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        worker.last_answer_at = now;
        worker.unanswered_polls = 0;
        if worker.incarnation != report.incarnation && worker.clock_reading.is_some() {
            // Read again with a higher fence, so that orders to its earlier life have no effect.
            worker.begin_incarnation(report.incarnation);
            self.events.push(OwnerEvent::WorkerRestarted { worker: id.clone() });
            return false;
        }
        let syncing = !worker.synced;
        if syncing {
            // Earlier owners' orders end here; the last lease of theirs is at most a whole one.
            worker.prior_leases_until = Time::ZERO;
            worker.lease_until =
                worker.lease_until.max(report.clock + LEASE_DURATION.min(self.bounds.max_lease));
        }
        worker.incarnation = report.incarnation;
        worker.clock_reading = Some((report.clock, now));
        worker.synced = true;
        let new = self.process_finished_runs(id, &report.finished, now);
        self.reconcile(id, &report, syncing, now);
        self.adjust_pace(id, &report);
        new
    }

    /// A worker did not answer a look.
    pub fn record_unanswered_poll(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered_polls += 1;
        }
    }

    fn process_finished_runs(&mut self, id: &WorkerId, ended: &[FinishedRun], now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let before = worker.last_processed;
        let new: Vec<&FinishedRun> = ended.iter().filter(|e| e.index > before).collect();
        worker.last_processed = new.iter().map(|e| e.index).max().unwrap_or(before);
        for end in &new {
            self.process_finished_run(id, end, now);
        }
        !new.is_empty()
    }

    fn process_finished_run(&mut self, worker: &WorkerId, end: &FinishedRun, now: Time) {
        let Some(id) = &end.task else { return };
        let Some((queue, step)) = self.queue_and_step(id) else { return };
        let max_attempts = queue.map_or(1, |q| q.max_attempts);
        let event = OwnerEvent::RunEnded {
            task: id.clone(),
            run: end.run,
            worker: worker.clone(),
            outcome: end.outcome,
        };
        self.events.push(event);
        self.update_worker_health(worker, end.outcome, now);
        let here = self.assignment_mut(id, end.run).is_some_and(|h| h.worker == *worker);
        if end.outcome == RunOutcome::Done && !step.long_running {
            self.complete_task(id, now);
            return;
        }
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        if !end.checkpoint.is_empty() && end.run == task.run {
            task.checkpoint = end.checkpoint.clone();
        }
        if end.outcome == RunOutcome::Failed && end.run > task.last_failed_run {
            task.last_failed_run = end.run;
            task.failed_runs += 1;
            task.avoid_worker = Some(worker.clone());
            self.dirty_jobs.insert(id.job.clone());
        }
        let hopeless = end.outcome == RunOutcome::Failed
            && !step.long_running
            && task.failed_runs >= max_attempts;
        if here {
            self.requeue(id, now);
        }
        if hopeless {
            self.end_job(&id.job, JobState::Failed, now);
        }
    }

    fn update_worker_health(&mut self, id: &WorkerId, outcome: RunOutcome, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match outcome {
            RunOutcome::Done => worker.record_success(),
            RunOutcome::Failed => {
                if worker.record_failure(now) {
                    self.events.push(OwnerEvent::WorkerQuarantined { worker: id.clone() });
                }
            }
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {}
        }
    }

    /// A run of the task ended done. Another run, if there is one, is stopped.
    fn complete_task(&mut self, id: &TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        if let Phase::Assigned(assignment) = std::mem::replace(&mut task.phase, Phase::Done) {
            self.release_resources(id, &assignment);
        }
        self.dirty_jobs.insert(id.job.clone());
        self.close_occurrences(&id.job, now);
    }

    fn close_occurrences(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.open_occurrences.retain(|o| !o.is_done());
        if job.open_occurrences.is_empty()
            && job.begun_occurrences >= job.occurrence_count()
            && !job.state.is_final()
        {
            self.end_job(&id.clone(), JobState::Complete, now);
        }
    }

    fn end_job(&mut self, id: &JobId, state: JobState, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_at = Some(now);
        let job_age = now.saturating_sub(job.first_seen_at);
        self.events.push(OwnerEvent::JobEnded { job: id.clone(), state, job_age });
        self.dirty_jobs.insert(id.clone());
        self.stop_all_runs(id, now);
    }

    /// Orders a stop of all runs of a job that has ended.
    fn stop_all_runs(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut stops = Vec::new();
        visit_assigned_mut(id, job, |task, run, assignment| {
            assignment.stop_ordered = true;
            stops.push(StopOrder { worker: assignment.worker.clone(), task, run });
        });
        for stop in stops {
            self.order_stop(stop, now);
        }
    }

    /// Orders a stop of a task's run; the task runs again elsewhere.
    pub(super) fn stop_task(&mut self, id: &TaskId, now: Time) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        let run = task.run;
        let Phase::Assigned(assignment) = &mut task.phase else { return };
        assignment.stop_ordered = true;
        let worker = assignment.worker.clone();
        self.order_stop(StopOrder { worker, task: id.clone(), run }, now);
    }

    fn order_stop(&mut self, stop: StopOrder, now: Time) {
        let last = self.stop_ordered_at.get(&stop);
        if last.is_some_and(|at| now < *at + STOP_RETRY_INTERVAL) {
            return;
        }
        self.stop_ordered_at.insert(stop.clone(), now);
        self.orders.stops.push(stop);
    }

    /// Compares a worker's list of runs with what was ordered there.
    fn reconcile(&mut self, id: &WorkerId, report: &WorkerReport, syncing: bool, now: Time) {
        for running in &report.running {
            let Some(task) = &running.task else { continue };
            match self.assignment_mut(task, running.run) {
                Some(assignment) if assignment.worker == *id => {
                    assignment.confirmed_at.get_or_insert(now);
                    assignment.speed_percent = running.speed_percent;
                    if running.speed_percent < 100 {
                        assignment.full_speed_since = None;
                    } else {
                        assignment.full_speed_since.get_or_insert(now);
                    }
                }
                // Left over from an earlier order that was given up.
                _ => self.order_stop(
                    StopOrder { worker: id.clone(), task: task.clone(), run: running.run },
                    now,
                ),
            }
            self.update_checkpoint(task, running.run, &running.checkpoint);
        }
        let Some(worker) = self.workers.get(id) else { return };
        let listed_tasks: IndexSet<&TaskId> =
            report.running.iter().filter_map(|r| r.task.as_ref()).collect();
        let missing: Vec<TaskId> =
            worker.assigned.keys().filter(|t| !listed_tasks.contains(t)).cloned().collect();
        for task in missing {
            self.handle_missing_task(id, &task, report.requested_at, syncing, now);
        }
    }

    /// A task that was ordered at a worker is not on its list.
    fn handle_missing_task(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        requested_at: Time,
        syncing: bool,
        now: Time,
    ) {
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return;
        };
        let run = state.run;
        let Phase::Assigned(assignment) = &mut state.phase else { return };
        let settled = assignment.confirmed_at.is_some_and(|at| at < requested_at);
        if syncing && assignment.assigned_at < requested_at || settled {
            return self.abandon_run(task, run, "not_listed", now);
        }
        // The order has no answer: a stop of the run settles whether it ever starts.
        if assignment.confirmed_at.is_none()
            && requested_at > assignment.assigned_at + LEASE_DURATION / 4
        {
            assignment.stop_ordered = true;
            self.order_stop(StopOrder { worker: id.clone(), task: task.clone(), run }, now);
        }
    }

    fn update_checkpoint(&mut self, id: &TaskId, run: u32, checkpoint: &Arc<str>) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        // Stored with the next change of the job; an older one loses only work.
        if task.run == run && !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
    }

    /// Slows tasks that fill where a task that serves beside them nears its target.
    fn adjust_pace(&mut self, id: &WorkerId, report: &WorkerReport) {
        let mut worst_ratio: f64 = 0.0;
        let mut best_effort = Vec::new();
        for running in &report.running {
            let Some(task) = &running.task else { continue };
            let Some(step) = self.step_of(task) else { continue };
            if step.best_effort {
                best_effort.push((task.clone(), running.run));
            } else if !step.tail_latency_target.is_zero() {
                worst_ratio = worst_ratio
                    .max(running.load as f64 / step.tail_latency_target.as_millis() as f64);
            }
        }
        for (task, run) in best_effort {
            let (_, current_percent) = self
                .ordered_paces
                .get(&task)
                .copied()
                .filter(|(r, _)| *r == run)
                .unwrap_or((run, 100));
            let speed_percent = next_pace(current_percent, worst_ratio);
            if speed_percent != current_percent {
                self.ordered_paces.insert(task.clone(), (run, speed_percent));
                self.orders.paces.push(PaceOrder { worker: id.clone(), task, run, speed_percent });
            }
        }
    }

    /// Lets go of workers whose leases are over, and orders stops again that had no effect.
    pub fn tick(&mut self, now: Time, wall: Duration) {
        let expired: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|w| !w.assigned.is_empty() && now > w.leases_expire_at())
            .map(|w| w.info.id.clone())
            .collect();
        for id in expired {
            self.expire_lease(&id, now);
        }
        self.begin_due_occurrences(now, wall);
        self.retry_stops(now);
        self.drop_old_jobs(now);
    }

    /// Another worker lives at a worker's address: the earlier one is over, with all it ran.
    pub fn end_incarnation(&mut self, id: &WorkerId, now: Time) {
        self.expire_lease(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.registered = false;
            worker.ended_incarnation = Some(worker.info.incarnation);
        }
    }

    fn expire_lease(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.resync();
        let tasks: Vec<TaskId> = worker.assigned.keys().cloned().collect();
        self.events
            .push(OwnerEvent::WorkerLeaseExpired { worker: id.clone(), tasks: tasks.len() as u64 });
        for task in tasks {
            let run = self.jobs.get(&task.job).and_then(|j| j.task(&task)).map_or(0, |t| t.run);
            self.abandon_run(&task, run, "lease_over", now);
        }
    }

    fn retry_stops(&mut self, now: Time) {
        let mut stops = Vec::new();
        for (id, job) in &self.jobs {
            visit_assigned(id, job, |task, assignment| {
                let run = job.task(&task).map_or(0, |t| t.run);
                if assignment.stop_ordered {
                    stops.push(StopOrder { worker: assignment.worker.clone(), task, run });
                }
            });
        }
        for stop in stops {
            self.order_stop(stop, now);
        }
        self.stop_ordered_at.retain(|_, at| now < *at + STOP_RETRY_INTERVAL);
    }

    /// Drops jobs that ended long ago.
    fn drop_old_jobs(&mut self, now: Time) {
        let keep = self.bounds.ended_job_retention;
        let old = |j: &Job| j.ended_at.is_some_and(|at| now > at + keep);
        let gone: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| old(j)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.jobs.swap_remove(&id);
            self.dirty_jobs.insert(id);
        }
    }

    /// Begins the occurrences that are due at this time since the Unix epoch.
    fn begin_due_occurrences(&mut self, now: Time, wall: Duration) {
        let mut begun = Vec::new();
        for (id, job) in &mut self.jobs {
            while !job.state.is_final() && job.begun_occurrences < job.occurrence_count() {
                let due = job.spec.first_at + job.spec.interval * job.begun_occurrences;
                if job.spec.repeats > 0 && wall < due {
                    break;
                }
                job.open_occurrences.push(Occurrence::new(job.begun_occurrences, &job.spec));
                job.begun_occurrences += 1;
                begun.push(id.clone());
            }
        }
        for id in begun {
            // A job without tasks is over as soon as it begins.
            self.close_occurrences(&id, now);
        }
    }

    /// Holds a task at a worker and orders its start.
    pub(super) fn assign(&mut self, id: &TaskId, worker: &WorkerId, run: u32, now: Time) {
        let Some(reservation) = self.step_of(id).map(Step::reservation) else { return };
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let (spec, team, first_seen_at) = (job.spec.clone(), job.team.clone(), job.first_seen_at);
        job.any_task_started = true;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        let Some(task) = job.task_mut(id) else { return };
        task.run = run;
        task.phase = Phase::Assigned(Assignment {
            worker: worker.clone(),
            assigned_at: now,
            confirmed_at: None,
            stop_ordered: false,
            speed_percent: 0,
            full_speed_since: None,
        });
        let checkpoint = task.checkpoint.clone();
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.assigned.insert(id.clone(), reservation);
        }
        self.charge_team(team.as_ref(), &reservation);
        self.dirty_jobs.insert(id.job.clone());
        let job_age = now.saturating_sub(first_seen_at);
        let (task, worker) = (id.clone(), worker.clone());
        self.events.push(OwnerEvent::TaskPlaced {
            task: task.clone(),
            run,
            worker: worker.clone(),
            job_age,
        });
        self.orders.starts.push(StartOrder { worker, task, run, spec, checkpoint });
    }

    /// Takes back starts that were chosen in this pass and not handed out yet.
    pub(super) fn undo_assignments(&mut self, chosen: &[(TaskId, WorkerId, u32)]) {
        for (id, _, run) in chosen {
            self.orders.starts.retain(|s| s.task != *id);
            self.events.retain(|n| !matches!(n, OwnerEvent::TaskPlaced { task, .. } if task == id));
            let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else {
                continue;
            };
            task.run = run - 1;
            if let Phase::Assigned(assignment) = std::mem::take(&mut task.phase) {
                self.release_resources(id, &assignment);
            }
        }
    }

    /// A run never started, or is surely over without an end that was listed.
    fn abandon_run(&mut self, id: &TaskId, run: u32, reason: &'static str, now: Time) {
        let Some(assignment) = self.assignment_mut(id, run) else { return };
        let worker = assignment.worker.clone();
        self.events.push(OwnerEvent::RunLost { task: id.clone(), run, worker, reason });
        self.requeue(id, now);
    }

    /// Makes a task that was held wait again.
    fn requeue(&mut self, id: &TaskId, now: Time) {
        // A lasting task is back in the same pass, before others take its room.
        let pause = if self.step_of(id).is_some_and(|s| s.long_running) {
            Duration::ZERO
        } else {
            RESTART_DELAY
        };
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        let Phase::Assigned(assignment) = std::mem::take(&mut task.phase) else { return };
        task.not_before = now + pause;
        task.avoid_worker = Some(assignment.worker.clone());
        task.unavailable_since = Some(now);
        self.release_resources(id, &assignment);
        self.dirty_jobs.insert(id.job.clone());
    }

    /// Frees what a run took up.
    fn release_resources(&mut self, id: &TaskId, assignment: &Assignment) {
        self.ordered_paces.swap_remove(id);
        if let Some(worker) = self.workers.get_mut(&assignment.worker) {
            worker.assigned.swap_remove(id);
        }
        let Some(reservation) = self.step_of(id).map(Step::reservation) else { return };
        let team = self.jobs.get(&id.job).and_then(|j| j.team.clone());
        if let Some(used) = team.and_then(|t| self.usage_by_team.get_mut(&t)) {
            *used = used.minus(&reservation);
        }
    }

    fn charge_team(&mut self, team: Option<&TeamId>, reservation: &Resources) {
        let Some(team) = team else { return };
        let used = self.usage_by_team.entry(team.clone()).or_default();
        *used = used.plus(reservation);
    }

    pub(super) fn emit(&mut self, event: OwnerEvent) {
        self.events.push(event);
    }

    /// What a team has running or ordered.
    pub fn team_usage(&self, team: &str) -> Resources {
        self.usage_by_team.get(team).copied().unwrap_or_default()
    }

    fn assignment_mut(&mut self, id: &TaskId, run: u32) -> Option<&mut Assignment> {
        let task = self.jobs.get_mut(&id.job)?.task_mut(id)?;
        match &mut task.phase {
            Phase::Assigned(assignment) if task.run == run => Some(assignment),
            Phase::Assigned(_) | Phase::Waiting | Phase::Done => None,
        }
    }

    pub(super) fn step_of(&self, id: &TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.spec.steps.get(id.step as usize)
    }

    fn queue_and_step(&self, id: &TaskId) -> Option<(Option<Queue>, Step)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.steps.get(id.step as usize)?.clone();
        Some((self.active_config.declarations.queue(&job.queue).cloned(), step))
    }

    /// Decisions since the last call. Orders may be sent once `entries` are stored.
    pub fn take_decisions(&mut self, now: Time) -> DecisionBatch {
        let mut batch = DecisionBatch {
            orders: std::mem::take(&mut self.orders),
            events: std::mem::take(&mut self.events),
            ..DecisionBatch::default()
        };
        for id in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get(&id) else {
                batch.updates.push(RecordUpdate { key: id, value: None });
                continue;
            };
            batch.updates.push(records::encode_job(&id, job));
            batch.published_states.push((id, job.state));
        }
        for wave in std::mem::take(&mut self.dirty_waves) {
            if let Some(begun) = self.wave_progress.begun_machines.get(&wave) {
                batch.updates.push(records::encode_wave(wave, begun));
            }
        }
        if let Some((machines, announcement)) = self.ordered_machines.unstored(now) {
            batch.updates.push(records::encode_ordered_machines(&machines));
            batch.announcement = announcement;
        }
        for worker in self.workers.values().filter(|w| w.last_processed > w.last_stored) {
            batch.processed_runs.push((
                worker.info.id.clone(),
                worker.incarnation,
                worker.last_processed,
            ));
        }
        batch
    }

    /// The entries of a batch are stored.
    pub fn mark_stored(&mut self, batch: &DecisionBatch) {
        for (id, state) in &batch.published_states {
            if let Some(job) = self.jobs.get_mut(id) {
                job.published_state = *state;
            }
        }
        self.ordered_machines.mark_stored(batch.announcement);
        for (id, incarnation, last_processed) in &batch.processed_runs {
            let worker = self.workers.get_mut(id).filter(|w| w.incarnation == *incarnation);
            if let Some(worker) = worker {
                worker.last_stored = worker.last_stored.max(*last_processed);
            }
        }
    }

    /// Jobs of a queue, without a schedule, of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> u64 {
        let is_pending =
            |j: &&Job| !j.any_task_started && !j.state.is_final() && &*j.queue == queue;
        self.jobs.values().filter(is_pending).count() as u64
    }
}

/// Pace of a task that fills, from its pace now and the worst tail over its target beside it.
fn next_pace(speed_percent: u32, worst_ratio: f64) -> u32 {
    if worst_ratio > TAIL_RATIO_HIGH {
        let slower = speed_percent / 2;
        return if slower < MIN_PACE_PERCENT { 0 } else { slower };
    }
    if worst_ratio < TAIL_RATIO_LOW {
        (speed_percent + PACE_STEP_PERCENT).min(100)
    } else {
        speed_percent
    }
}

/// An entry for a worker that is no longer listed.
fn unlisted_worker(id: &WorkerId) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        machine: "".into(),
        pool: "".into(),
        zone: "".into(),
        rack: "".into(),
        labels: Vec::new(),
        address: "".into(),
        capacity: Resources::default(),
        draining: true,
        incarnation: 0,
    }
}

/// Calls `f` for each task of a job that is held at a worker.
fn visit_assigned(id: &JobId, job: &Job, mut f: impl FnMut(TaskId, &Assignment)) {
    for occurrence in &job.open_occurrences {
        for (step, tasks) in occurrence.steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                if let Phase::Assigned(assignment) = &task.phase {
                    f(task_id(id, occurrence.number, step, index), assignment);
                }
            }
        }
    }
}

/// Calls `f` with id and run of each task of a job that is held at a worker.
fn visit_assigned_mut(id: &JobId, job: &mut Job, mut f: impl FnMut(TaskId, u32, &mut Assignment)) {
    for occurrence in &mut job.open_occurrences {
        for (step, tasks) in occurrence.steps.iter_mut().enumerate() {
            for (index, task) in tasks.iter_mut().enumerate() {
                let run = task.run;
                if let Phase::Assigned(assignment) = &mut task.phase {
                    f(task_id(id, occurrence.number, step, index), run, assignment);
                }
            }
        }
    }
}

pub(super) fn task_id(job: &JobId, occurrence: u32, step: usize, index: usize) -> TaskId {
    TaskId { job: job.clone(), occurrence, step: step as u32, index: index as u32 }
}
