//! The simulated platform: clock, workers, registry, store, and the processes that take turns as
//! owner.

use super::command::Transport;
use super::messages::{Answer, Message};
use super::oracle::{CheckResult, Oracle, SubmittedJob};
use super::process::Process;
use super::trace;
use super::worker::{Limits, SimWorker};
use crate::batch::{active_config, bounds, worker_info};
use bytes::Bytes;
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{ActiveConfig, Bounds};
use jacinthhook::batch::job::{JobSpec, Step, WorkerId};
use jacinthhook::batch::orders::{StartOrder, StartOutcome, StopOrder};
use jacinthhook::batch::owner::{DecisionBatch, MAX_STORE_OUTAGE, Owner};
use jacinthhook::batch::prior_leases::{LeaseRecord, PriorLeases};
use jacinthhook::batch::records::RecordUpdate;
use jacinthhook::batch::worker::WorkerInfo;
use jacinthhook::fair::Resources;
use jacinthhook::ids::{JobId, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of machines.
pub const MACHINES: usize = 4;
/// Tasks for which a worker has room.
const CAPACITY: usize = 4;
const MAX_ATTEMPTS: u32 = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(150);
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
const EARLIER_OWNER_POLL_INTERVAL: Duration = Duration::from_millis(200);
const ELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time in ms for which an intermediary keeps connections open after a restart.
const MAX_PROXIED_MS: u64 = 6_000;
/// Time after which a killed process is there again and says that its term is over.
const PROCESS_RESTART: Duration = Duration::from_secs(2);

/// Something that happens at a certain time.
#[derive(Clone, Debug)]
pub enum Event {
    /// An order reaches its worker.
    Arrive(Message),
    /// A worker that was polled lists its runs.
    List(Message, u64),
    /// A worker's process starts.
    WorkerUp(WorkerId),
    /// No order reaches a worker until the given time.
    Silence(WorkerId, Time),
    /// An entry of the registry changes; voided if the worker has another incarnation by then.
    Register(WorkerId, u64),
    /// An entry is removed.
    Unregister(WorkerId),
    Election,
    TakeOver,
    /// A record of an owner takes effect, if no later one has taken over.
    HeartbeatApplied(u64, LeaseRecord),
    /// An append of a batch takes effect, if its epoch is still the highest.
    Apply(u64, Vec<RecordUpdate>),
    /// The rest happens at a process, and waits while it is frozen.
    Answer(Message, Answer),
    Poll(usize, WorkerId, u64),
    /// With the number of the attempt and the outcome of those before.
    SendStart(usize, StartOrder, u32, StartOutcome),
    SendStop(usize, StopOrder),
    Commit(usize),
    Stored(usize, Time),
    /// With the number of the heartbeat.
    Heartbeat(usize, u64),
    HeartbeatStored(usize, Time),
    ReadRegistry(usize),
    ReadJobs(usize),
    Fence(usize),
    LoadProgress(usize),
    Load(usize, IndexMap<Arc<str>, Bytes>),
    QueryEarlierOwner(usize),
}

impl Event {
    /// Process at which the event happens.
    fn process(&self) -> Option<usize> {
        match self {
            Event::Answer(message, _) => Some(message.process),
            Event::Poll(process, _, _)
            | Event::SendStart(process, ..)
            | Event::SendStop(process, _)
            | Event::Commit(process)
            | Event::Stored(process, _)
            | Event::Heartbeat(process, _)
            | Event::HeartbeatStored(process, _)
            | Event::ReadRegistry(process)
            | Event::ReadJobs(process)
            | Event::Fence(process)
            | Event::LoadProgress(process)
            | Event::Load(process, _)
            | Event::QueryEarlierOwner(process) => Some(*process),
            _ => None,
        }
    }
}

/// A record of callers in the store.
#[derive(Clone, Debug)]
pub enum JobRecord {
    Submit(JobId),
    Cancel(JobId),
}

pub struct World {
    /// True time.
    pub now: Time,
    pub transport: Transport,
    rng: ChaCha8Rng,
    events: BTreeMap<(Time, u64), Event>,
    event_count: u64,
    pub workers: IndexMap<WorkerId, SimWorker>,
    worker_count: usize,
    limits: Limits,
    bounds: Bounds,
    active_config: Arc<ActiveConfig>,
    /// The workers' entries in the store.
    registry: IndexMap<WorkerId, WorkerInfo>,
    pub processes: Vec<Process>,
    killed_at: IndexMap<usize, Time>,
    /// A process is about to take over.
    takeover_pending: bool,
    /// Term of the latest owner; earlier ones cannot append heartbeats.
    latest_term: u64,
    /// Epoch of the progress topic.
    progress_epoch: u64,
    /// Latest term whose owner has resigned.
    resigned_term: u64,
    /// What the latest owner record says about leases, read at once.
    leases: PriorLeases,
    progress: IndexMap<Arc<str>, Bytes>,
    pub job_records: Vec<JobRecord>,
    read_positions: IndexMap<usize, usize>,
    pub oracle: Oracle,
    pub disorder_until: Time,
    pub fail_until: Time,
    pub slow_until: Time,
    /// All faults have ended.
    pub settling: bool,
    /// Prints what happens.
    trace: bool,
}

impl World {
    pub fn new(seed: u64, transport: Transport, trace: bool) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_lease = Duration::from_millis([4_000, 6_000, 10_000][rng.random_range(0..3)]);
        let limits = Limits { max_lease, capacity: CAPACITY, late_by_lease: rng.random() };
        let mut config = active_config();
        Arc::make_mut(&mut config.declarations).queues[0].max_attempts = MAX_ATTEMPTS;
        let mut world = World {
            now: Duration::from_secs(1_000),
            transport,
            rng,
            events: BTreeMap::new(),
            event_count: 0,
            workers: IndexMap::new(),
            worker_count: 0,
            limits,
            bounds: Bounds { max_lease, ..bounds() },
            active_config: Arc::new(config),
            registry: IndexMap::new(),
            processes: Vec::new(),
            killed_at: IndexMap::new(),
            takeover_pending: false,
            latest_term: 0,
            progress_epoch: 0,
            resigned_term: 0,
            leases: PriorLeases::default(),
            progress: IndexMap::new(),
            job_records: Vec::new(),
            read_positions: IndexMap::new(),
            oracle: Oracle::new(MAX_ATTEMPTS),
            disorder_until: Time::ZERO,
            fail_until: Time::ZERO,
            slow_until: Time::ZERO,
            settling: false,
            trace,
        };
        for slot in 0..MACHINES {
            let id = world.add_worker(slot);
            world.start_worker(&id);
            world.register(&id);
        }
        world.take_over();
        world.schedule(world.now, Event::Election);
        world
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Draws a time between `from` and `to` milliseconds, in microseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000 + 1..=to * 1_000 + 1))
    }

    pub fn schedule(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) -> CheckResult {
        let until = self.now + time;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at.max(self.now);
            self.advance_workers();
            self.happen(event)?;
        }
        self.now = until;
        self.advance_workers();
        Ok(())
    }

    fn advance_workers(&mut self) {
        for worker in self.workers.values_mut() {
            for ended in worker.advance(self.now) {
                if self.trace {
                    println!(
                        "{:?} end {} run {} {:?} on {}",
                        ended.at, ended.task, ended.run, ended.outcome, worker.id
                    );
                }
                self.oracle.record_end(ended);
            }
        }
    }

    fn happen(&mut self, event: Event) -> CheckResult {
        if let Some(process) = event.process() {
            let at = &self.processes[process];
            if !at.alive {
                return Ok(());
            }
            if at.frozen_until > self.now {
                self.schedule(at.frozen_until, event);
                return Ok(());
            }
        }
        if self.trace
            && let Some(text) = trace::describe(&event)
        {
            println!("{:?} {text}", self.now);
        }
        match event {
            Event::Arrive(message) => return self.arrive(message),
            Event::List(message, incarnation) => self.list(message, incarnation),
            Event::WorkerUp(id) => self.start_worker(&id),
            Event::Silence(id, until) => {
                if !self.settling {
                    self.workers[&id].silent_until = until;
                }
            }
            Event::Register(id, incarnation) => {
                if self.workers[&id].up && self.workers[&id].incarnation == incarnation {
                    self.register(&id);
                }
            }
            Event::Unregister(id) => self.unregister(&id),
            Event::Election => self.elect(),
            Event::TakeOver => self.take_over(),
            Event::HeartbeatApplied(term, leases) => self.apply_heartbeat(term, &leases),
            Event::Apply(term, updates) => self.apply(term, updates),
            Event::Answer(message, answer) => self.receive(message, answer),
            Event::Poll(process, id, generation) => self.poll_step(process, &id, generation),
            Event::SendStart(process, start, attempt, outcome) => {
                self.send_start(process, start, attempt, outcome);
            }
            Event::SendStop(process, stop) => self.send_stop(process, stop),
            Event::Commit(process) => self.commit(process),
            Event::Stored(process, sent_at) => return self.stored(process, sent_at),
            Event::Heartbeat(process, generation) => self.heartbeat(process, generation),
            Event::HeartbeatStored(process, sent_at) => self.heartbeat_stored(process, sent_at),
            Event::ReadRegistry(process) => self.read_registry(process),
            Event::ReadJobs(process) => self.read_jobs(process),
            Event::Fence(process) => self.fence(process),
            Event::LoadProgress(process) => {
                let delay = self.millis(2, 200);
                let progress = self.progress.clone();
                self.schedule(self.now + delay, Event::Load(process, progress));
            }
            Event::Load(process, progress) => self.load(process, progress),
            Event::QueryEarlierOwner(process) => self.query_earlier_owner(process),
        }
        Ok(())
    }

    // Workers.

    /// Adds a worker that is down. Returns its id.
    pub fn add_worker(&mut self, slot: usize) -> WorkerId {
        let id: WorkerId = format!("w{}", self.worker_count).into();
        self.worker_count += 1;
        self.workers.insert(id.clone(), SimWorker::new(id.clone(), slot, self.limits));
        id
    }

    pub fn start_worker(&mut self, id: &WorkerId) {
        let rate = 1.0 - self.below(2_001) as f64 / 100_000.0;
        let proxied_until = match self.transport {
            Transport::Bound | Transport::StrayPolls | Transport::StrayStarts => Time::ZERO,
            Transport::Proxies => self.now + self.millis(0, MAX_PROXIED_MS),
        };
        let worker = &mut self.workers[id];
        if !worker.up && !worker.replaced {
            worker.begin(self.now.as_millis() as u64, rate, self.now);
            worker.proxied_until = proxied_until;
        }
    }

    pub fn register(&mut self, id: &WorkerId) {
        let worker = &self.workers[id];
        let info = WorkerInfo {
            incarnation: worker.incarnation,
            capacity: Resources {
                processors: 1_000 * CAPACITY as u64,
                memory: 32 << 30,
                ..Resources::default()
            },
            ..worker_info(id, worker.slot)
        };
        self.registry.insert(id.clone(), info);
    }

    pub fn unregister(&mut self, id: &WorkerId) {
        self.registry.swap_remove(id);
    }

    // Callers.

    pub fn submit(&mut self, steps: Vec<Step>, payload: String) {
        let id: JobId = format!("{:016x}", self.oracle.jobs.len() + 1).into();
        let spec = JobSpec { payload: payload.into(), steps, ..JobSpec::default() };
        let job = SubmittedJob { spec: Arc::new(spec), cancelled_at: None };
        self.oracle.jobs.insert(id.clone(), job);
        self.job_records.push(JobRecord::Submit(id));
    }

    pub fn cancel(&mut self, id: &JobId) {
        let Some(job) = self.oracle.jobs.get_mut(id) else { return };
        job.cancelled_at.get_or_insert(self.now);
        self.job_records.push(JobRecord::Cancel(id.clone()));
    }

    // Owners.

    /// Returns the latest process.
    pub fn current(&mut self) -> &mut Process {
        self.processes.last_mut().expect("the first process takes over at once")
    }

    pub fn kill(&mut self) {
        self.killed_at.insert(self.processes.len() - 1, self.now);
        let current = self.current();
        current.alive = false;
        current.end_term("killed");
    }

    /// Lets another process take over when the heartbeats of the latest owner have stopped.
    fn elect(&mut self) {
        let now = self.now;
        let current = self.current();
        let is_silent = current.is_over(now)
            || !current.in_touch
            || current.frozen_until > now + Duration::from_millis(1_500);
        if is_silent && !self.takeover_pending {
            self.takeover_pending = true;
            let delay = self.millis(1_200, 1_900);
            self.schedule(now + delay, Event::TakeOver);
        }
        self.schedule(now + ELECTION_INTERVAL, Event::Election);
    }

    pub fn take_over(&mut self) {
        let now = self.now;
        self.takeover_pending = false;
        self.latest_term += 1;
        self.processes.push(Process::new(self.latest_term, self.leases.clone(), now));
        self.leases = PriorLeases::new(&self.leases.inherited_record(false, now), now);
        let process = self.processes.len() - 1;
        let delay = self.millis(2, 100);
        self.schedule(now + delay, Event::Fence(process));
        self.schedule_heartbeat(process, now + HEARTBEAT_INTERVAL);
    }

    /// Time that the store takes for a call.
    fn store_time(&mut self) -> Duration {
        match self.slow_until > self.now {
            true => self.millis(50, 3_000),
            false => self.millis(2, 30),
        }
    }

    fn schedule_heartbeat(&mut self, process: usize, at: Time) {
        let sender = &mut self.processes[process];
        sender.heartbeat_generation += 1;
        let generation = sender.heartbeat_generation;
        self.schedule(at, Event::Heartbeat(process, generation));
    }

    /// Lets the next heartbeat of an owner be sent early.
    pub fn request_heartbeat(&mut self, process: usize) {
        let sender = &mut self.processes[process];
        let was_needed = std::mem::replace(&mut sender.heartbeat_needed, true);
        if let Some(from) = sender.heartbeat_from.filter(|_| !was_needed) {
            self.schedule_heartbeat(process, from.max(self.now));
        }
    }

    fn heartbeat(&mut self, process: usize, generation: u64) {
        if generation != self.processes[process].heartbeat_generation {
            return;
        }
        let (now, took) = (self.now, self.store_time());
        let owner = &mut self.processes[process];
        if owner.in_touch {
            (owner.heartbeat_from, owner.heartbeat_needed) = (None, false);
            let (term, leases) = (owner.term.number, owner.announce_leases(false, now));
            self.schedule(now + took, Event::HeartbeatApplied(term, leases));
            self.schedule(now + took, Event::HeartbeatStored(process, now));
        } else if owner.term.may_send_orders(now) {
            self.schedule_heartbeat(process, now + RETRY_DELAY);
        } else {
            owner.end_term("the store does not answer");
        }
    }

    fn heartbeat_stored(&mut self, process: usize, sent_at: Time) {
        let now = self.now;
        let owner = &mut self.processes[process];
        if owner.term.number < self.latest_term {
            return owner.end_term("a later owner has taken over");
        }
        if !owner.term.may_send_orders(now) {
            return owner.end_term("the store does not answer");
        }
        if owner.in_touch {
            owner.term.record_stored(sent_at);
            owner.term.record_heartbeat(sent_at);
            if let Some(owner) = owner.owner.as_mut() {
                owner.record_leases_announced();
            }
        }
        owner.heartbeat_from = Some(now + MIN_HEARTBEAT_INTERVAL);
        let pause = match owner.heartbeat_needed {
            true => MIN_HEARTBEAT_INTERVAL,
            false => HEARTBEAT_INTERVAL,
        };
        self.schedule_heartbeat(process, now + pause);
    }

    fn apply_heartbeat(&mut self, term: u64, leases: &LeaseRecord) {
        // An owner resigns once the store has answered its heartbeat before.
        if term == self.latest_term && term != self.resigned_term {
            self.leases = PriorLeases::new(leases, self.now);
        }
    }

    /// Lets the owner resign, unless it is frozen or does not reach the store.
    pub fn resign(&mut self) {
        let now = self.now;
        let current = self.current();
        if current.is_over(now) || !current.in_touch || current.frozen_until > now {
            return;
        }
        current.term.resign();
        let (term, leases) = (current.term.number, current.announce_leases(true, now));
        current.end_term("stopping");
        self.apply_heartbeat(term, &leases);
        self.resigned_term = term;
        if !self.takeover_pending {
            self.takeover_pending = true;
            let delay = self.millis(5, 400);
            self.schedule(now + delay, Event::TakeOver);
        }
    }

    /// Sets the term as the epoch of the progress topic.
    fn fence(&mut self, process: usize) {
        let delay = self.store_time();
        let owner = &mut self.processes[process];
        if owner.term.number < self.progress_epoch || !owner.in_touch {
            return owner.end_term("fenced");
        }
        self.progress_epoch = owner.term.number;
        self.schedule(self.now + delay, Event::LoadProgress(process));
    }

    /// Creates the owner from the store, in the order of `instance::term`.
    fn load(&mut self, process: usize, progress: IndexMap<Arc<str>, Bytes>) {
        let now = self.now;
        let sender = &mut self.processes[process];
        if sender.is_over(now) || !sender.in_touch {
            return sender.end_term("not loaded");
        }
        let config = self.active_config.clone();
        let mut owner = Owner::new(sender.term.number, self.bounds, config, now)
            .with_prior_leases(sender.prior_leases.clone());
        for record in &self.job_records {
            if let JobRecord::Submit(id) = record {
                let spec = self.oracle.jobs[id].spec.clone();
                owner.add_job(id.clone(), spec, "queue".into(), None, now);
            }
        }
        for (key, value) in &progress {
            owner.restore_record(key, value, now);
        }
        for record in &self.job_records {
            if let JobRecord::Cancel(id) = record {
                owner.cancel(id, now);
            }
        }
        owner.update_workers(&self.registry, now);
        owner.finish_restore(now);
        sender.owner = Some(owner);
        self.read_positions.insert(process, self.job_records.len());
        for event in [
            Event::ReadRegistry(process),
            Event::ReadJobs(process),
            Event::Commit(process),
            Event::QueryEarlierOwner(process),
        ] {
            self.schedule(now, event);
        }
    }

    /// Asks the owner before whether its term is over.
    fn query_earlier_owner(&mut self, process: usize) {
        let now = self.now;
        let Some(earlier) = process.checked_sub(1) else { return };
        if self.processes[process].prior_leases.others_until().is_some() {
            return;
        }
        let others_stopped_at = self.processes[earlier].began_at + MAX_STORE_OUTAGE;
        let is_up = self.processes[earlier].frozen_until <= now;
        let has_ended = match self.killed_at.get(&earlier) {
            Some(at) => now > *at + PROCESS_RESTART,
            None => is_up && self.processes[earlier].has_ended,
        };
        if !has_ended {
            let event = Event::QueryEarlierOwner(process);
            return self.schedule(now + EARLIER_OWNER_POLL_INTERVAL, event);
        }
        if let Some(owner) = self.processes[process].owner.as_mut() {
            owner.record_previous_owners_stopped(now.max(others_stopped_at));
        }
    }

    fn read_registry(&mut self, process: usize) {
        let now = self.now;
        let sender = &mut self.processes[process];
        let Some(owner) = sender.owner.as_mut() else { return };
        if sender.in_touch {
            owner.update_workers(&self.registry, now);
        }
        let ids: Vec<WorkerId> = owner.workers.keys().cloned().collect();
        let mut new = Vec::new();
        for id in ids {
            if !sender.loops.contains_key(&id) {
                sender.loops.insert(id.clone(), Default::default());
                new.push(id);
            }
        }
        for id in new {
            self.schedule(now, Event::Poll(process, id, 0));
        }
        self.schedule(now + LIST_POLL_INTERVAL, Event::ReadRegistry(process));
    }

    fn read_jobs(&mut self, process: usize) {
        let (now, pause) = (self.now, self.millis(10, 300));
        let sender = &mut self.processes[process];
        let Some(owner) = sender.owner.as_mut() else { return };
        if sender.in_touch {
            let read = self.read_positions.entry(process).or_insert(0);
            for record in self.job_records.iter().skip(*read) {
                match record {
                    JobRecord::Submit(id) => {
                        let spec = self.oracle.jobs[id].spec.clone();
                        owner.add_job(id.clone(), spec, "queue".into(), None, now);
                    }
                    JobRecord::Cancel(id) => {
                        owner.cancel(id, now);
                    }
                }
                sender.plan_needed = true;
            }
            *read = self.job_records.len();
        }
        self.schedule(now + pause, Event::ReadJobs(process));
    }

    /// Makes decisions and begins to store them.
    fn commit(&mut self, process: usize) {
        let now = self.now;
        self.schedule(now + COMMIT_INTERVAL, Event::Commit(process));
        let sender = &mut self.processes[process];
        let is_due = sender.plan_needed || now >= sender.last_pass_at + MAX_PLAN_INTERVAL;
        if !is_due || sender.batch.is_some() {
            return;
        }
        let Some(owner) = sender.owner.as_mut() else { return };
        (sender.plan_needed, sender.last_pass_at) = (false, now);
        owner.tick(now, now);
        owner.schedule_tasks(now);
        let batch = owner.take_decisions(now);
        if self.trace {
            for event in &batch.events {
                println!("{now:?} term {} {}", sender.term.number, trace::describe_owner(event));
            }
        }
        if batch.is_empty() {
            return;
        }
        let (term, in_touch) = (sender.term.number, sender.in_touch);
        let updates = batch.updates.clone();
        sender.batch = Some(batch);
        if !in_touch {
            return;
        }
        let applied_at = now + self.store_time();
        let stored_at = applied_at + self.store_time();
        self.schedule(applied_at, Event::Apply(term, updates));
        self.schedule(stored_at, Event::Stored(process, now));
    }

    fn apply(&mut self, term: u64, updates: Vec<RecordUpdate>) {
        if term < self.progress_epoch {
            return;
        }
        for update in updates {
            match update.value {
                Some(value) => {
                    self.progress.insert(update.key, value);
                }
                None => {
                    self.progress.swap_remove(&update.key);
                }
            }
        }
    }

    /// The store has answered an append that was sent at `sent_at`.
    fn stored(&mut self, process: usize, sent_at: Time) -> CheckResult {
        let now = self.now;
        let sender = &mut self.processes[process];
        if !sender.in_touch || sender.owner.is_none() {
            return Ok(());
        }
        if sender.term.number < self.progress_epoch {
            sender.end_term("a later owner has taken over");
            return Ok(());
        }
        sender.term.record_stored(sent_at);
        let batch: DecisionBatch = sender.batch.take().unwrap_or_default();
        let Some(owner) = sender.owner.as_mut() else { return Ok(()) };
        owner.mark_stored(&batch);
        for (id, job) in &owner.jobs {
            self.oracle.check_state(id, job.published_state)?;
        }
        let to_acknowledge: Vec<WorkerId> = batch.workers_to_acknowledge().cloned().collect();
        for id in to_acknowledge {
            self.wake(process, &id);
        }
        for start in batch.orders.starts {
            let delay = match self.below(10) {
                0 => self.millis(1, 1_500),
                _ => self.millis(0, 5),
            };
            let event = Event::SendStart(process, start, 1, StartOutcome::NotSent);
            self.schedule(now + delay, event);
        }
        for stop in batch.orders.stops {
            let delay = self.millis(0, 5);
            self.schedule(now + delay, Event::SendStop(process, stop));
        }
        Ok(())
    }
}
