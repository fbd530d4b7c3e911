//! The owner: the one instance that decides about all batch work.
//!
//! Each decision changes the state here first and comes out as a `Batch`: records for the store, and
//! the orders that may be sent once the records are stored. Ends are taken in when a worker lists
//! them, stored, and acknowledged after that.

use crate::batch::declared::{Bounds, InForce, Queue};
use crate::batch::job::{
    Held, Job, JobSpec, JobState, Occurrence, Phase, QueueId, Step, TaskId, WorkerId,
};
use crate::batch::ledger::{self, Entry, LedgerError};
use crate::batch::moves::Moves;
use crate::batch::order::{Ended, How, Look, Orders, Pace, Start, StartAnswer, Stop, WorkerClock};
use crate::batch::touched::Touched;
use crate::batch::upkeep::{Wait, Waves};
use crate::batch::worker::{Listed, Worker};
use crate::fair::Resources;
use crate::ids::{JobId, TeamId, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Lease given with each order. It outlasts the change to another owner, which takes about 2.5 s.
pub const LEASE: Duration = Duration::from_millis(4_500);
/// An owner that cannot reach the store extends leases for at most this long; longer than the
/// store's usual outages of up to 5 s.
pub const UNSTORED_HOLD: Duration = Duration::from_secs(6);
/// Time between two stops of one run.
const STOP_AGAIN: Duration = Duration::from_millis(500);
/// Delay before a task that ended badly is started again.
const START_AGAIN: Duration = Duration::from_millis(50);
/// Time that a worker which refused for want of room gets no starts: about one round of looks.
const FULL_FOR: Duration = Duration::from_millis(200);
/// Share of the tail's target above which tasks that fill are slowed.
const TAIL_HIGH: f64 = 0.8;
/// Share of the tail's target below which they are sped up again.
const TAIL_LOW: f64 = 0.5;
/// Step by which tasks that fill are sped up, in percent.
const PACE_STEP: u32 = 15;
/// Pace below which a task that fills stands still, in percent.
const PACE_MIN: u32 = 12;

/// Bits of a fence below the term: a worker that flaps once a second for half a day.
const FENCE_STEP_BITS: u32 = 16;

/// A decision's outcome for the log of events.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Placed { task: TaskId, run: u32, worker: WorkerId, waited: Duration },
    RunEnded { task: TaskId, run: u32, worker: WorkerId, how: How },
    RunLost { task: TaskId, run: u32, worker: WorkerId, why: &'static str },
    JobEnded { job: JobId, state: JobState, after: Duration },
    WorkerAside { worker: WorkerId },
    WorkerReborn { worker: WorkerId },
    WorkerLapsed { worker: WorkerId, tasks: u64 },
    UpkeepWaits { machine: Arc<str>, wait: Wait },
    BadRecord { why: String },
}

/// Decisions that are made but not stored.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub entries: Vec<Entry>,
    pub orders: Orders,
    pub notes: Vec<Note>,
    /// Jobs whose state may be shown once this is stored.
    shown: Vec<(JobId, JobState)>,
    /// Ends that may be acknowledged once this is stored, by worker and its life.
    taken: Vec<(WorkerId, u64, u64)>,
    /// Announcement of orders to machines that may be sent once this is stored.
    announced: u64,
}

impl Batch {
    /// Workers whose ends may be acknowledged once this is stored.
    pub fn stored_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.taken.iter().map(|(id, _, _)| id)
    }

    /// Jobs that are dropped: their hand-in must be dropped before their progress, or the next owner
    /// takes them for new.
    pub fn dropped(&self) -> impl Iterator<Item = &str> {
        self.entries.iter().filter(|e| e.value.is_none()).map(|e| &*e.key)
    }

    /// Whether there is nothing to store or send.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.orders == Orders::default() && self.taken.is_empty()
    }
}

/// State and decisions of the owner in one term.
pub struct Owner {
    pub in_force: Arc<InForce>,
    bounds: Bounds,
    /// Number of this owner's time in office; rises with each owner.
    term: u64,
    pub jobs: IndexMap<JobId, Job>,
    pub workers: IndexMap<WorkerId, Worker>,
    /// What each team has running or ordered.
    used: IndexMap<TeamId, Resources>,
    pub waves: Waves,
    /// Why machines that are due wait, as last noted.
    pub(super) waits: IndexMap<Arc<str>, Wait>,
    pub(super) moves: Moves,
    pub touched: Touched,
    /// When an order about a machine had no answer.
    pub(super) unsure_upkeep: IndexMap<Arc<str>, Time>,
    dirty: IndexSet<JobId>,
    pub(super) dirty_waves: IndexSet<u64>,
    orders: Orders,
    notes: Vec<Note>,
    /// When a run was last told to stop.
    stopped_at: IndexMap<Stop, Time>,
    /// Pace ordered for a task that fills, and its run.
    paces: IndexMap<TaskId, (u32, u32)>,
    /// Until when orders of earlier owners may have effect at a worker that was not greeted.
    earlier_until: Time,
}

impl Owner {
    /// The owner of a new term.
    pub fn new(term: u64, bounds: Bounds, in_force: Arc<InForce>, now: Time) -> Owner {
        Owner {
            term,
            in_force,
            bounds,
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            used: IndexMap::new(),
            waves: Waves::default(),
            waits: IndexMap::new(),
            moves: Moves::new(now),
            touched: Touched::new(bounds.holder_gap, now),
            unsure_upkeep: IndexMap::new(),
            dirty: IndexSet::new(),
            dirty_waves: IndexSet::new(),
            orders: Orders::default(),
            notes: Vec::new(),
            stopped_at: IndexMap::new(),
            paces: IndexMap::new(),
            earlier_until: now + UNSTORED_HOLD + LEASE.mul_f64(1.05),
        }
    }

    /// Lease for an order sent now, by the worker's clock; `None` while its clock is not known. The
    /// lease of a worker that does not answer is not extended, so that it ends some time.
    pub fn lease(&mut self, now: Time, worker: &str) -> Option<WorkerClock> {
        let worker = self.workers.get_mut(worker)?;
        if worker.unanswered > 0 {
            return Some(worker.lease).filter(|lease| !lease.is_zero());
        }
        let until = worker.clock_at(now)? + LEASE.min(self.bounds.max_lease);
        worker.lease = worker.lease.max(until);
        Some(worker.lease)
    }

    /// Fence of orders to a worker: the term, then how often it was greeted anew in it.
    pub fn fence(&self, worker: &str) -> u64 {
        let step = self.workers.get(worker).map_or(0, |w| w.fence_step);
        (self.term << FENCE_STEP_BITS) | u64::from(step)
    }

    /// Takes in a job that is stored. A repeat changes nothing. Answers whether the job is new.
    pub fn accept(
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
    pub fn arrived(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get(id) else { return };
        if let Some(queue) = self.in_force.declared.queue(&job.queue) {
            self.moves.arrivals.note(&queue.pool, &job.spec, now);
        }
    }

    /// Sets a job, or a wave of maintenance, to its stored progress.
    pub fn restore(&mut self, key: &str, value: &[u8], now: Time) {
        if let Some(wave) = ledger::wave_of(key) {
            match ledger::decode_wave(value) {
                Ok(begun) => self.waves.begun.insert(wave, begun),
                Err(e) => return self.notes.push(Note::BadRecord { why: e.to_string() }),
            };
            return;
        }
        if key == ledger::TOUCHED {
            match ledger::decode_touched(value) {
                Ok(machines) => self.touched.restore(machines, now),
                Err(e) => self.notes.push(Note::BadRecord { why: e.to_string() }),
            }
            return;
        }
        let id: JobId = key.into();
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its hand-in was dropped and its owner ended before the progress was.
            self.dirty.insert(id);
            return;
        };
        if let Err(e) = ledger::decode(&id, job, value, now) {
            self.notes.push(Note::BadRecord { why: LedgerError::to_string(&e) });
        }
    }

    /// The earlier owner gives no orders any more: leases that it gave end within one lease.
    pub fn earlier_is_over(&mut self, now: Time) {
        self.earlier_until = self.earlier_until.min(now + LEASE.mul_f64(1.05));
        for worker in self.workers.values_mut() {
            worker.unknown_until = worker.unknown_until.min(self.earlier_until);
        }
    }

    /// Enters the restored runs at their workers and teams; called once, after all were restored
    /// and all listed workers are known. A worker that is no longer listed may still run its tasks.
    pub fn restored(&mut self, now: Time) {
        let mut held = Vec::new();
        for (id, job) in &self.jobs {
            for_held(id, job, |task, state| held.push((task, job.team.clone(), state.clone())));
        }
        for (task, team, state) in held {
            let Some(room) = self.step_of(&task).map(Step::room) else { continue };
            if !self.workers.contains_key(&state.worker) {
                let mut gone = Worker::new(nameless(&state.worker), self.earlier_until, now);
                gone.present = false;
                self.workers.insert(state.worker.clone(), gone);
            }
            if let Some(worker) = self.workers.get_mut(&state.worker) {
                worker.held.insert(task, room);
            }
            self.charge(team.as_ref(), &room);
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
    pub fn list(&mut self, listed: &IndexMap<WorkerId, Listed>, now: Time) {
        for (id, worker) in &mut self.workers {
            worker.present = listed.contains_key(id);
        }
        for (id, entry) in listed {
            let until = self.earlier_until;
            let new = || Worker::new(entry.clone(), until, now);
            let worker = self.workers.entry(id.clone()).or_insert_with(new);
            if worker.over.is_some_and(|born| born != entry.born) {
                worker.over = None;
                worker.reborn(entry.born);
            }
            worker.present = worker.over.is_none();
            worker.listed = entry.clone();
        }
        self.workers.retain(|id, w| w.present || !w.held.is_empty() || listed.contains_key(id));
    }

    /// Takes in an answer to a start.
    pub fn start_answered(&mut self, start: &Start, answer: StartAnswer, now: Time) {
        let Some(worker) = self.workers.get_mut(&start.worker) else { return };
        if !matches!(answer, StartAnswer::Unknown | StartAnswer::NotSent) {
            worker.last_answer = now;
        }
        let why = match answer {
            StartAnswer::Started | StartAnswer::Over => return self.confirm(start, now),
            // The next look tells whether it is there.
            StartAnswer::Unknown => return,
            StartAnswer::Fenced => {
                worker.greet_again();
                "fenced"
            }
            StartAnswer::Late => "late",
            StartAnswer::NoRoom => {
                worker.full_until = now + FULL_FOR;
                "no_room"
            }
            StartAnswer::NoTicket => "no_ticket",
            StartAnswer::Busy => {
                if worker.note_failure(now) {
                    self.notes.push(Note::WorkerAside { worker: start.worker.clone() });
                }
                "busy"
            }
            StartAnswer::OtherWorker => "other_worker",
            StartAnswer::NotSent => {
                worker.full_until = now + FULL_FOR;
                "not_sent"
            }
            StartAnswer::Malformed => "malformed",
        };
        self.give_up_run(&start.task, start.run, why, now);
    }

    fn confirm(&mut self, start: &Start, now: Time) {
        if let Some(held) = self.held_mut(&start.task, start.run) {
            held.confirmed.get_or_insert(now);
        }
    }

    /// A worker answered a stop: the run ends soon, or never starts.
    pub fn stop_answered(&mut self, stop: &Stop, now: Time) {
        if let Some(held) = self.held_mut(&stop.task, stop.run) {
            held.confirmed.get_or_insert(now);
        }
    }

    /// Takes in a worker's lists. Answers whether ends were new.
    pub fn looked(&mut self, id: &WorkerId, look: Look, now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        worker.last_answer = now;
        worker.unanswered = 0;
        if worker.born != look.born && worker.clock.is_some() {
            // Read again with a higher fence, so that orders to its earlier life have no effect.
            worker.reborn(look.born);
            self.notes.push(Note::WorkerReborn { worker: id.clone() });
            return false;
        }
        let greeting = !worker.greeted;
        if greeting {
            // Earlier owners' orders end here; the last lease of theirs is at most a whole one.
            worker.unknown_until = Time::ZERO;
            worker.lease = worker.lease.max(look.clock + LEASE.min(self.bounds.max_lease));
        }
        worker.born = look.born;
        worker.clock = Some((look.clock, now));
        worker.greeted = true;
        let new = self.take_ends(id, &look.ended, now);
        self.reconcile(id, &look, greeting, now);
        self.pace(id, &look);
        new
    }

    /// A worker did not answer a look.
    pub fn look_unanswered(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered += 1;
        }
    }

    fn take_ends(&mut self, id: &WorkerId, ended: &[Ended], now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let before = worker.taken;
        let new: Vec<&Ended> = ended.iter().filter(|e| e.number > before).collect();
        worker.taken = new.iter().map(|e| e.number).max().unwrap_or(before);
        for end in &new {
            self.take_end(id, end, now);
        }
        !new.is_empty()
    }

    fn take_end(&mut self, worker: &WorkerId, end: &Ended, now: Time) {
        let Some(id) = &end.task else { return };
        let Some((queue, step)) = self.queue_and_step(id) else { return };
        let max_attempts = queue.map_or(1, |q| q.max_attempts);
        let note =
            Note::RunEnded { task: id.clone(), run: end.run, worker: worker.clone(), how: end.how };
        self.notes.push(note);
        self.note_health(worker, end.how, now);
        let here = self.held_mut(id, end.run).is_some_and(|h| h.worker == *worker);
        if end.how == How::Done && !step.lasting {
            self.finish(id, now);
            return;
        }
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        if !end.checkpoint.is_empty() && end.run == task.run {
            task.checkpoint = end.checkpoint.clone();
        }
        if end.how == How::Failed && end.run > task.failed_run {
            task.failed_run = end.run;
            task.failed += 1;
            task.avoid = Some(worker.clone());
            self.dirty.insert(id.job.clone());
        }
        let hopeless = end.how == How::Failed && !step.lasting && task.failed >= max_attempts;
        if here {
            self.release(id, now);
        }
        if hopeless {
            self.end_job(&id.job, JobState::Failed, now);
        }
    }

    fn note_health(&mut self, id: &WorkerId, how: How, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match how {
            How::Done => worker.note_success(),
            How::Failed => {
                if worker.note_failure(now) {
                    self.notes.push(Note::WorkerAside { worker: id.clone() });
                }
            }
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {}
        }
    }

    /// A run of the task ended done. Another run, if there is one, is stopped.
    fn finish(&mut self, id: &TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        if let Phase::Held(held) = std::mem::replace(&mut task.phase, Phase::Done) {
            self.leave(id, &held);
        }
        self.dirty.insert(id.job.clone());
        self.close_occurrences(&id.job, now);
    }

    fn close_occurrences(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.open.retain(|o| !o.is_done());
        if job.open.is_empty() && job.begun >= job.occurrences() && !job.state.is_final() {
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
        let after = now.saturating_sub(job.known_at);
        self.notes.push(Note::JobEnded { job: id.clone(), state, after });
        self.dirty.insert(id.clone());
        self.stop_all(id, now);
    }

    /// Orders a stop of all runs of a job that has ended.
    fn stop_all(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut stops = Vec::new();
        for_held_mut(id, job, |task, run, held| {
            held.stopping = true;
            stops.push(Stop { worker: held.worker.clone(), task, run });
        });
        for stop in stops {
            self.stop(stop, now);
        }
    }

    /// Orders a stop of a task's run; the task runs again elsewhere.
    pub(super) fn stop_task(&mut self, id: &TaskId, now: Time) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        let run = task.run;
        let Phase::Held(held) = &mut task.phase else { return };
        held.stopping = true;
        let worker = held.worker.clone();
        self.stop(Stop { worker, task: id.clone(), run }, now);
    }

    fn stop(&mut self, stop: Stop, now: Time) {
        let last = self.stopped_at.get(&stop);
        if last.is_some_and(|at| now < *at + STOP_AGAIN) {
            return;
        }
        self.stopped_at.insert(stop.clone(), now);
        self.orders.stops.push(stop);
    }

    /// Compares a worker's list of runs with what was ordered there.
    fn reconcile(&mut self, id: &WorkerId, look: &Look, greeting: bool, now: Time) {
        for running in &look.running {
            let Some(task) = &running.task else { continue };
            match self.held_mut(task, running.run) {
                Some(held) if held.worker == *id => {
                    held.confirmed.get_or_insert(now);
                    held.percent = running.percent;
                    if running.percent < 100 {
                        held.at_work_since = None;
                    } else {
                        held.at_work_since.get_or_insert(now);
                    }
                }
                // Left over from an earlier order that was given up.
                _ => self
                    .stop(Stop { worker: id.clone(), task: task.clone(), run: running.run }, now),
            }
            self.keep_checkpoint(task, running.run, &running.checkpoint);
        }
        let Some(worker) = self.workers.get(id) else { return };
        let listed: IndexSet<&TaskId> =
            look.running.iter().filter_map(|r| r.task.as_ref()).collect();
        let missing: Vec<TaskId> =
            worker.held.keys().filter(|t| !listed.contains(t)).cloned().collect();
        for task in missing {
            self.missing(id, &task, look.asked_at, greeting, now);
        }
    }

    /// A task that was ordered at a worker is not on its list.
    fn missing(&mut self, id: &WorkerId, task: &TaskId, asked: Time, greeting: bool, now: Time) {
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return;
        };
        let run = state.run;
        let Phase::Held(held) = &mut state.phase else { return };
        let settled = held.confirmed.is_some_and(|at| at < asked);
        if greeting && held.since < asked || settled {
            return self.give_up_run(task, run, "not_listed", now);
        }
        // The order has no answer: a stop of the run settles whether it ever starts.
        if held.confirmed.is_none() && asked > held.since + LEASE / 4 {
            held.stopping = true;
            self.stop(Stop { worker: id.clone(), task: task.clone(), run }, now);
        }
    }

    fn keep_checkpoint(&mut self, id: &TaskId, run: u32, checkpoint: &Arc<str>) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        // Stored with the next change of the job; an older one loses only work.
        if task.run == run && !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
    }

    /// Slows tasks that fill where a task that serves beside them nears its target.
    fn pace(&mut self, id: &WorkerId, look: &Look) {
        let mut worst: f64 = 0.0;
        let mut fills = Vec::new();
        for running in &look.running {
            let Some(task) = &running.task else { continue };
            let Some(step) = self.step_of(task) else { continue };
            if step.fills {
                fills.push((task.clone(), running.run));
            } else if !step.tail_target.is_zero() {
                worst = worst.max(running.load as f64 / step.tail_target.as_millis() as f64);
            }
        }
        for (task, run) in fills {
            let (_, now_percent) =
                self.paces.get(&task).copied().filter(|(r, _)| *r == run).unwrap_or((run, 100));
            let percent = paced(now_percent, worst);
            if percent != now_percent {
                self.paces.insert(task.clone(), (run, percent));
                self.orders.paces.push(Pace { worker: id.clone(), task, run, percent });
            }
        }
    }

    /// Lets go of workers whose leases are over, and orders stops again that had no effect.
    pub fn tick(&mut self, now: Time, wall: Duration) {
        let lapsed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|w| !w.held.is_empty() && now > w.lapses_at())
            .map(|w| w.listed.id.clone())
            .collect();
        for id in lapsed {
            self.lapse(&id, now);
        }
        self.begin_due(now, wall);
        self.stop_again(now);
        self.forget(now);
    }

    /// Another worker lives at a worker's address: the earlier one is over, with all it ran.
    pub fn replaced(&mut self, id: &WorkerId, now: Time) {
        self.lapse(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.present = false;
            worker.over = Some(worker.listed.born);
        }
    }

    fn lapse(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.greet_again();
        let tasks: Vec<TaskId> = worker.held.keys().cloned().collect();
        self.notes.push(Note::WorkerLapsed { worker: id.clone(), tasks: tasks.len() as u64 });
        for task in tasks {
            let run = self.jobs.get(&task.job).and_then(|j| j.task(&task)).map_or(0, |t| t.run);
            self.give_up_run(&task, run, "lease_over", now);
        }
    }

    fn stop_again(&mut self, now: Time) {
        let mut again = Vec::new();
        for (id, job) in &self.jobs {
            for_held(id, job, |task, held| {
                let run = job.task(&task).map_or(0, |t| t.run);
                if held.stopping {
                    again.push(Stop { worker: held.worker.clone(), task, run });
                }
            });
        }
        for stop in again {
            self.stop(stop, now);
        }
        self.stopped_at.retain(|_, at| now < *at + STOP_AGAIN);
    }

    /// Drops jobs that ended long ago.
    fn forget(&mut self, now: Time) {
        let keep = self.bounds.keep_ended;
        let old = |j: &Job| j.ended_at.is_some_and(|at| now > at + keep);
        let gone: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| old(j)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.jobs.swap_remove(&id);
            self.dirty.insert(id);
        }
    }

    /// Begins the occurrences that are due at this time since the Unix epoch.
    fn begin_due(&mut self, now: Time, wall: Duration) {
        let mut begun = Vec::new();
        for (id, job) in &mut self.jobs {
            while !job.state.is_final() && job.begun < job.occurrences() {
                let due = job.spec.first_at + job.spec.interval * job.begun;
                if job.spec.repeats > 0 && wall < due {
                    break;
                }
                job.open.push(Occurrence::new(job.begun, &job.spec));
                job.begun += 1;
                begun.push(id.clone());
            }
        }
        for id in begun {
            // A job without tasks is over as soon as it begins.
            self.close_occurrences(&id, now);
        }
    }

    /// Holds a task at a worker and orders its start.
    pub(super) fn hold(&mut self, id: &TaskId, worker: &WorkerId, run: u32, now: Time) {
        let Some(room) = self.step_of(id).map(Step::room) else { return };
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let (spec, team, known_at) = (job.spec.clone(), job.team.clone(), job.known_at);
        job.started = true;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        let Some(task) = job.task_mut(id) else { return };
        task.run = run;
        task.phase = Phase::Held(Held {
            worker: worker.clone(),
            since: now,
            confirmed: None,
            stopping: false,
            percent: 0,
            at_work_since: None,
        });
        let checkpoint = task.checkpoint.clone();
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held.insert(id.clone(), room);
        }
        self.charge(team.as_ref(), &room);
        self.dirty.insert(id.job.clone());
        let waited = now.saturating_sub(known_at);
        let (task, worker) = (id.clone(), worker.clone());
        self.notes.push(Note::Placed { task: task.clone(), run, worker: worker.clone(), waited });
        self.orders.starts.push(Start { worker, task, run, spec, checkpoint });
    }

    /// Takes back starts that were chosen in this pass and not handed out yet.
    pub(super) fn take_back(&mut self, chosen: &[(TaskId, WorkerId, u32)]) {
        for (id, _, run) in chosen {
            self.orders.starts.retain(|s| s.task != *id);
            self.notes.retain(|n| !matches!(n, Note::Placed { task, .. } if task == id));
            let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else {
                continue;
            };
            task.run = run - 1;
            if let Phase::Held(held) = std::mem::take(&mut task.phase) {
                self.leave(id, &held);
            }
        }
    }

    /// A run never started, or is surely over without an end that was listed.
    fn give_up_run(&mut self, id: &TaskId, run: u32, why: &'static str, now: Time) {
        let Some(held) = self.held_mut(id, run) else { return };
        let worker = held.worker.clone();
        self.notes.push(Note::RunLost { task: id.clone(), run, worker, why });
        self.release(id, now);
    }

    /// Makes a task that was held wait again.
    fn release(&mut self, id: &TaskId, now: Time) {
        // A lasting task is back in the same pass, before others take its room.
        let pause =
            if self.step_of(id).is_some_and(|s| s.lasting) { Duration::ZERO } else { START_AGAIN };
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        let Phase::Held(held) = std::mem::take(&mut task.phase) else { return };
        task.not_before = now + pause;
        task.avoid = Some(held.worker.clone());
        task.away_since = Some(now);
        self.leave(id, &held);
        self.dirty.insert(id.job.clone());
    }

    /// Frees what a run took up.
    fn leave(&mut self, id: &TaskId, held: &Held) {
        self.paces.swap_remove(id);
        if let Some(worker) = self.workers.get_mut(&held.worker) {
            worker.held.swap_remove(id);
        }
        let Some(room) = self.step_of(id).map(Step::room) else { return };
        let team = self.jobs.get(&id.job).and_then(|j| j.team.clone());
        if let Some(used) = team.and_then(|t| self.used.get_mut(&t)) {
            *used = used.minus(&room);
        }
    }

    fn charge(&mut self, team: Option<&TeamId>, room: &Resources) {
        let Some(team) = team else { return };
        let used = self.used.entry(team.clone()).or_default();
        *used = used.plus(room);
    }

    pub(super) fn note(&mut self, note: Note) {
        self.notes.push(note);
    }

    /// What a team has running or ordered.
    pub fn used_by(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    fn held_mut(&mut self, id: &TaskId, run: u32) -> Option<&mut Held> {
        let task = self.jobs.get_mut(&id.job)?.task_mut(id)?;
        match &mut task.phase {
            Phase::Held(held) if task.run == run => Some(held),
            Phase::Held(_) | Phase::Waiting | Phase::Done => None,
        }
    }

    pub(super) fn step_of(&self, id: &TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.spec.steps.get(id.step as usize)
    }

    fn queue_and_step(&self, id: &TaskId) -> Option<(Option<Queue>, Step)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.steps.get(id.step as usize)?.clone();
        Some((self.in_force.declared.queue(&job.queue).cloned(), step))
    }

    /// Decisions since the last call. Orders may be sent once `entries` are stored.
    pub fn collect(&mut self, now: Time) -> Batch {
        let mut batch = Batch {
            orders: std::mem::take(&mut self.orders),
            notes: std::mem::take(&mut self.notes),
            ..Batch::default()
        };
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get(&id) else {
                batch.entries.push(Entry { key: id, value: None });
                continue;
            };
            batch.entries.push(ledger::encode(&id, job));
            batch.shown.push((id, job.state));
        }
        for wave in std::mem::take(&mut self.dirty_waves) {
            if let Some(begun) = self.waves.begun.get(&wave) {
                batch.entries.push(ledger::encode_wave(wave, begun));
            }
        }
        if let Some((machines, announced)) = self.touched.to_store(now) {
            batch.entries.push(ledger::encode_touched(&machines));
            batch.announced = announced;
        }
        for worker in self.workers.values().filter(|w| w.taken > w.stored) {
            batch.taken.push((worker.listed.id.clone(), worker.born, worker.taken));
        }
        batch
    }

    /// The entries of a batch are stored.
    pub fn stored(&mut self, batch: &Batch) {
        for (id, state) in &batch.shown {
            if let Some(job) = self.jobs.get_mut(id) {
                job.shown = *state;
            }
        }
        self.touched.stored(batch.announced);
        for (id, born, taken) in &batch.taken {
            let worker = self.workers.get_mut(id).filter(|w| w.born == *born);
            if let Some(worker) = worker {
                worker.stored = worker.stored.max(*taken);
            }
        }
    }

    /// Jobs of a queue, without a schedule, of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let waits = |j: &&Job| !j.started && !j.state.is_final() && &*j.queue == queue;
        self.jobs.values().filter(waits).count() as u64
    }
}

/// Pace of a task that fills, from its pace now and the worst tail over its target beside it.
fn paced(percent: u32, worst: f64) -> u32 {
    if worst > TAIL_HIGH {
        let slower = percent / 2;
        return if slower < PACE_MIN { 0 } else { slower };
    }
    if worst < TAIL_LOW { (percent + PACE_STEP).min(100) } else { percent }
}

/// An entry for a worker that is no longer listed.
fn nameless(id: &WorkerId) -> Listed {
    Listed {
        id: id.clone(),
        machine: "".into(),
        pool: "".into(),
        zone: "".into(),
        rack: "".into(),
        labels: Vec::new(),
        address: "".into(),
        capacity: Resources::default(),
        draining: true,
        born: 0,
    }
}

/// Calls `f` for each task of a job that is held at a worker.
fn for_held(id: &JobId, job: &Job, mut f: impl FnMut(TaskId, &Held)) {
    for open in &job.open {
        for (step, tasks) in open.steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                if let Phase::Held(held) = &task.phase {
                    f(task_id(id, open.number, step, index), held);
                }
            }
        }
    }
}

/// Calls `f` with id and run of each task of a job that is held at a worker.
fn for_held_mut(id: &JobId, job: &mut Job, mut f: impl FnMut(TaskId, u32, &mut Held)) {
    for open in &mut job.open {
        for (step, tasks) in open.steps.iter_mut().enumerate() {
            for (index, task) in tasks.iter_mut().enumerate() {
                let run = task.run;
                if let Phase::Held(held) = &mut task.phase {
                    f(task_id(id, open.number, step, index), run, held);
                }
            }
        }
    }
}

pub(super) fn task_id(job: &JobId, occurrence: u32, step: usize, index: usize) -> TaskId {
    TaskId { job: job.clone(), occurrence, step: step as u32, index: index as u32 }
}
