//! The owner: the single instance that makes all decisions about batch work.
//!
//! A decision first changes the state in memory. It is then collected in a `DecisionBatch`: the
//! record updates to store, and the orders that may be sent once the updates are stored. Ends of
//! runs are processed when a worker reports them, then stored, and only then acknowledged.

use crate::batch::crashes::CrashState;
use crate::batch::declarations::{ActiveConfig, Bounds, Queue};
use crate::batch::drains::MissingMachines;
use crate::batch::job::{
    Assignment, Job, JobSpec, JobState, Occurrence, Phase, QueueId, StartStatus, Step, TaskId,
    WorkerId, WorkerProcess,
};
use crate::batch::maintenance::{Blocker, WaveProgress};
use crate::batch::moves::MoveState;
use crate::batch::ordered_machines::OrderedMachines;
use crate::batch::orders::{
    FinishedRun, Orders, PaceOrder, RunOutcome, StartOrder, StartOutcome, StopOrder, WorkerReport,
    WorkerTime, is_same,
};
use crate::batch::overload::{Delay, OverloadSettings, TeamRates};
use crate::batch::prior_leases::{
    LeaseRecord, PriorLeases, WorkerLease, fits_open_orders, leases_per_record, remaining_ms,
};
use crate::batch::record_parts::{self, PartKey, StoredParts};
use crate::batch::records::{self, ProgressError, RecordUpdate};
use crate::batch::run_failures::RunFailures;
use crate::batch::stray_lease::{
    LeaseOrderEnd, LeaseOrderId, LeaseOrders, StrayLease, StraySource, order_horizon,
};
use crate::batch::wall_clock::{MAX_CLOCK_DIFFERENCE, Moment, WallClock};
use crate::batch::worker::{LeaseSource, Worker, WorkerInfo, lease_end};
use crate::fair::Resources;
use crate::ids::{JobId, TeamId, Time};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Length of the lease sent with each order. Longer than a change of owner, which takes about
/// 2.5 s.
pub const LEASE_DURATION: Duration = Duration::from_millis(4_500);
/// Longest time for which an owner that cannot reach the store keeps extending leases. Longer than
/// the store's usual outages of up to 5 s.
pub const MAX_STORE_OUTAGE: Duration = Duration::from_secs(6);
/// Time for which a worker delays its response to a poll until a run ends. Leases last 4.5 s and are
/// extended at least this often.
pub const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two stop orders for the same run.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a task whose run was lost or did not succeed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// Time without starts for a worker that had no room for one or could not be reached: about one
/// round of polls.
const START_BACKOFF: Duration = Duration::from_millis(200);
/// Ratio of tail latency to its target above which best-effort tasks are slowed down.
const TAIL_RATIO_HIGH: f64 = 0.8;
/// Ratio of tail latency to its target below which best-effort tasks are sped up.
const TAIL_RATIO_LOW: f64 = 0.5;
/// Increment by which a best-effort task is sped up, in percent of full speed.
const PACE_STEP_PERCENT: u32 = 15;
/// Lowest speed of a best-effort task before it is paused, in percent of full speed.
const MIN_PACE_PERCENT: u32 = 12;

/// Width of the counter below the term in a fencing token.
const FENCE_COUNTER_BITS: u32 = 32;
/// Highest term. It keeps the token within the integers that JSON numbers hold exactly.
pub const MAX_TERM: u64 = (1 << 21) - 1;

/// What showed the owner that a worker restarted. The new incarnation is 0 if this does not name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartSource {
    Registry,
    Report,
    /// The clock in the answer to a start, which does not name the new incarnation.
    StartClock,
}

/// Size of a worker's loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LossCounts {
    pub runs: u64,
    /// Runs that the worker had confirmed.
    pub started: u64,
    pub jobs: u64,
}

/// An outcome of a decision, for the event log.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    TaskPlaced {
        task: TaskId,
        run: u32,
        worker: WorkerId,
        job_age: Duration,
    },
    RunEnded {
        task: TaskId,
        run: u32,
        worker: WorkerId,
        outcome: RunOutcome,
    },
    RunLost {
        task: TaskId,
        run: u32,
        worker: WorkerId,
        reason: &'static str,
    },
    DrainStop {
        task: TaskId,
        run: u32,
        worker: WorkerId,
        time_left: Duration,
        has_room: bool,
    },
    JobEnded {
        job: JobId,
        state: JobState,
        job_age: Duration,
    },
    JobDelayed {
        job: JobId,
        delay: Delay,
    },
    WorkerQuarantined {
        worker: WorkerId,
    },
    WorkerDraining {
        worker: WorkerId,
        tasks: u64,
        time_left: Duration,
    },
    WorkerRestarted {
        worker: WorkerId,
        earlier: u64,
        incarnation: u64,
        source: RestartSource,
    },
    WorkerLeaseExpired {
        worker: WorkerId,
        tasks: u64,
        silent_for: Duration,
        lease: LeaseSource,
    },
    // With the longest time until the leases of the worker are over.
    WorkerSilent {
        worker: WorkerId,
        incarnation: u64,
        tasks: u64,
        silent_for: Duration,
        lease: LeaseSource,
        lease_left: Duration,
    },
    // The worker may hold a lease by an order that was meant for its earlier process.
    WorkerStrayLease {
        worker: WorkerId,
        incarnation: u64,
        source: StraySource,
        lease_left: Duration,
    },
    // The registry lists a worker that this owner did not know.
    WorkerListed {
        worker: WorkerId,
        machine: Arc<str>,
        incarnation: u64,
    },
    // Runs were lost with the process `earlier` of a worker; `incarnation` runs in its place.
    WorkerCrashed {
        worker: WorkerId,
        earlier: u64,
        incarnation: u64,
        counts: LossCounts,
    },
    // With the runs of the task, and their workers, that this owner counted.
    JobGivenUp {
        task: TaskId,
        crashes: Vec<(u32, WorkerId)>,
    },
    MaintenanceBlocked {
        machine: Arc<str>,
        blocker: Blocker,
    },
    BadRecord {
        key: Arc<str>,
        error: String,
    },
}

/// Decisions that have been made but not stored.
#[derive(Clone, Debug, Default)]
pub struct DecisionBatch {
    pub updates: Vec<RecordUpdate>,
    pub orders: Orders,
    pub events: Vec<OwnerEvent>,
    /// Jobs that have ended, with the state that may be shown to callers once this batch is stored.
    final_states: Vec<(JobId, JobState)>,
    /// Worker, when the owner learned of its process, and index of that one's last finished run that may
    /// be acknowledged once this batch is stored. An incarnation is not known of each process.
    processed_runs: Vec<(WorkerId, Time, u64)>,
    /// Latest announcement of machine orders that this batch stores.
    announcement: u64,
}

impl DecisionBatch {
    /// Returns the workers whose finished runs may be acknowledged once this batch is stored.
    pub fn workers_to_acknowledge(&self) -> impl Iterator<Item = &WorkerId> {
        self.processed_runs.iter().map(|(id, _, _)| id)
    }

    /// Whether there is nothing to store, send or acknowledge.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
            && self.orders == Orders::default()
            && self.processed_runs.is_empty()
    }
}

/// State of the owner in one term, and its decisions.
pub struct Owner {
    pub active_config: Arc<ActiveConfig>,
    pub(super) bounds: Bounds,
    /// Increases with each owner.
    term: u64,
    began_at: Time,
    /// When the leases of orders of earlier owners have expired, however late these are carried out.
    earlier_orders_until: Time,
    pub jobs: IndexMap<JobId, Job>,
    pub workers: IndexMap<WorkerId, Worker>,
    /// Number of resyncs of all workers in this term. A worker that is forgotten and listed again
    /// thus never gets a lower fence than before.
    fence_counter: u32,
    /// Resources of the running and ordered tasks of each team.
    usage_by_team: IndexMap<TeamId, Resources>,
    pub wave_progress: WaveProgress,
    /// Last logged reason for the delay of each machine's maintenance.
    pub(super) maintenance_blockers: IndexMap<Arc<str>, Blocker>,
    pub moves: MoveState,
    pub(super) missing_machines: MissingMachines,
    pub ordered_machines: OrderedMachines,
    /// When a maintenance order for a machine last got no response.
    pub(super) unanswered_maintenance: IndexMap<Arc<str>, Time>,
    /// Machines whose maintenance is being ordered, until the list of machines is read again.
    pub(super) maintenance_in_flight: IndexSet<Arc<str>>,
    /// When moves or maintenance were last planned, by a new list of machines.
    pub(super) machines_listed_at: Option<Time>,
    dirty_jobs: IndexSet<JobId>,
    stored_parts: StoredParts,
    /// Parts that were read, until all records are restored. Those of a job may be read before its record.
    restored_parts: IndexMap<JobId, Vec<(PartKey, Bytes)>>,
    /// Up to when all submissions stored were read; jobs are dropped as of then, so that a copy is no new job.
    pub submissions_read_at: Time,
    /// Jobs that are dropped and whose submissions may still be stored.
    dropped_jobs: IndexSet<JobId>,
    pub(super) dirty_waves: IndexSet<u64>,
    orders: Orders,
    events: Vec<OwnerEvent>,
    /// When a run was last ordered to stop.
    pub(super) stop_ordered_at: IndexMap<StopOrder, Time>,
    /// Run and ordered speed of each best-effort task.
    ordered_paces: IndexMap<TaskId, (u32, u32)>,
    /// What the latest record of previous owners says about leases.
    prior_leases: PriorLeases,
    /// Until when orders of previous owners may affect workers neither synced nor named in `prior_leases`.
    prior_leases_until: Time,
    /// When the leases of workers that the owner has forgotten have expired.
    forgotten_leases_until: Time,
    /// When jobs were cancelled whose submission has not been read yet.
    early_cancellations: IndexMap<JobId, Moment>,
    wall_clock: WallClock,
    pub(super) crashes: CrashState,
    pub(super) overload: OverloadSettings,
    team_rates: TeamRates,
    pub(super) run_failures: RunFailures,
}

impl Owner {
    /// Creates the owner of a new term.
    pub fn new(term: u64, bounds: Bounds, active_config: Arc<ActiveConfig>, now: Time) -> Owner {
        Owner {
            term,
            began_at: now,
            earlier_orders_until: now
                + MAX_STORE_OUTAGE
                + order_horizon(lease_end(Time::ZERO, bounds.max_lease)),
            active_config,
            bounds,
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            fence_counter: 0,
            usage_by_team: IndexMap::new(),
            wave_progress: WaveProgress::default(),
            maintenance_blockers: IndexMap::new(),
            moves: MoveState::new(now),
            missing_machines: MissingMachines::default(),
            ordered_machines: OrderedMachines::new(bounds.holder_gap),
            unanswered_maintenance: IndexMap::new(),
            maintenance_in_flight: IndexSet::new(),
            machines_listed_at: None,
            dirty_jobs: IndexSet::new(),
            stored_parts: StoredParts::default(),
            restored_parts: IndexMap::new(),
            submissions_read_at: Time::MAX,
            dropped_jobs: IndexSet::new(),
            dirty_waves: IndexSet::new(),
            orders: Orders::default(),
            events: Vec::new(),
            stop_ordered_at: IndexMap::new(),
            ordered_paces: IndexMap::new(),
            prior_leases: PriorLeases::default(),
            prior_leases_until: now + MAX_STORE_OUTAGE + LEASE_DURATION.mul_f64(1.05),
            forgotten_leases_until: Time::ZERO,
            early_cancellations: IndexMap::new(),
            wall_clock: WallClock::default(),
            crashes: CrashState::default(),
            overload: OverloadSettings::default(),
            team_rates: TeamRates::default(),
            run_failures: RunFailures::default(),
        }
    }

    /// Sets how the owner decides while there is too little room.
    pub fn with_overload_settings(mut self, overload: OverloadSettings) -> Owner {
        self.overload = overload;
        self
    }

    /// Sets what is known about leases of previous owners. Called before any worker is known.
    pub fn with_prior_leases(mut self, prior_leases: PriorLeases) -> Owner {
        if let Some(until) = prior_leases.others_until() {
            self.prior_leases_until = until;
            self.earlier_orders_until = self.began_at + self.order_horizon();
        }
        self.prior_leases = prior_leases;
        self
    }

    /// Returns what the owner's next record says about leases. Workers that it names as silent get no lease
    /// from now on. `resigning` tells that the owner sends no orders any more.
    pub fn announce_leases(&mut self, resigning: bool, now: Time) -> LeaseRecord {
        let silent = self.workers.values_mut().filter_map(|w| {
            let has_begun = w.begin_silence(now);
            has_begun.then(|| worker_silent_event(w, now))
        });
        self.events.extend(silent);
        let workers = self.workers.values_mut().filter_map(|w| w.announce_lease(resigning, now));
        let mut workers: Vec<WorkerLease> = workers.collect();
        // Those that respond count as others if there are too many, then those that do not.
        workers.sort_by_key(|lease| !lease.withheld);
        let mut open_orders: Vec<WorkerId> = match resigning {
            true => self.workers_with_open_orders(now),
            false => Vec::new(),
        };
        let names_stray_leases = fits_open_orders(&open_orders);
        if !names_stray_leases {
            open_orders.clear();
        }
        let unnamed = workers.split_off(leases_per_record(&workers, &open_orders));
        let others_until = self.prior_leases_until.max(self.forgotten_leases_until);
        let mut others_ms = remaining_ms(others_until, now);
        for lease in unnamed {
            others_ms = others_ms.max(lease.lease_ms);
            if let Some(worker) = self.workers.get_mut(&lease.worker) {
                worker.leave_unannounced();
            }
        }
        LeaseRecord {
            names_stray_leases,
            open_orders,
            workers,
            others_ms: resigning.then_some(others_ms),
        }
    }

    /// Time from sending an order to the end of the lease that it brings, however late it is carried out.
    fn order_horizon(&self) -> Duration {
        order_horizon(lease_end(Time::ZERO, self.bounds.max_lease))
    }

    fn workers_with_open_orders(&self, now: Time) -> Vec<WorkerId> {
        let is_open = |w: &&Worker| w.lease_orders.stray_source(now).is_some();
        self.workers.values().filter(is_open).map(|w| w.info.id.clone()).collect()
    }

    /// Records that the owner record with the latest announcement is stored: workers that it does not name
    /// get leases again.
    pub fn record_leases_announced(&mut self) {
        self.workers.values_mut().for_each(Worker::record_lease_announced);
    }

    /// Extends a worker's lease and returns its expiry by the worker's clock, or `None` while that
    /// clock is unknown or the lease is withheld. The lease of a worker that does not respond is not
    /// extended, so that it eventually expires.
    pub fn extend_lease(&mut self, now: Time, worker: &str) -> Option<WorkerTime> {
        let worker = self.workers.get_mut(worker)?;
        if worker.lease_withheld {
            return None;
        }
        if worker.unanswered_polls > 0 {
            return Some(worker.lease_until).filter(|lease| !lease.is_zero());
        }
        let until = worker.estimate_clock(now)? + LEASE_DURATION.min(self.bounds.max_lease);
        worker.lease_until = worker.lease_until.max(until);
        Some(worker.lease_until)
    }

    /// Fencing token for orders to a worker: the term, followed by the number of resyncs of any
    /// worker in this term up to the worker's latest.
    pub fn fence(&self, worker: &str) -> u64 {
        let counter = self.workers.get(worker).map_or(self.fence_counter, |w| w.fence_counter);
        (self.term << FENCE_COUNTER_BITS) | u64::from(counter)
    }

    /// Adds a stored job. Does nothing if the job is already known. Returns whether it is new. A job whose
    /// cancellation was stored before it ends at once.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        queue: QueueId,
        team: Option<TeamId>,
        now: Time,
    ) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        self.dropped_jobs.swap_remove(&id);
        let mut job = Job::new(spec, queue, team, now);
        // Unless its submission tells.
        job.accepted_queue =
            self.active_config.declarations.queue(&job.queue).cloned().map(Arc::new);
        self.jobs.insert(id.clone(), job);
        if self.early_cancellations.swap_remove(&id).is_some() {
            self.end_job(&id, JobState::Cancelled, now);
        }
        true
    }

    /// Sets how the queue of a job was declared when the job was accepted.
    pub fn record_accepted_queue(&mut self, id: &str, queue: Queue) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted_queue = Some(Arc::new(queue));
        }
    }

    /// Counts a newly submitted job toward the expected demand of its pool and the rate of its team.
    pub fn record_arrival(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let declared = &self.active_config.declarations;
        if let Some(queue) = job.queue_in(declared) {
            self.moves.arrivals.record(&queue.pool, &job.spec, now);
        }
        let team = job.team.as_ref().and_then(|id| declared.teams.get_key_value(id));
        let delay = team.and_then(|team| self.team_rates.record(team, &self.overload, now));
        job.is_beyond_rate = delay.is_some();
        let job = JobId::from(id);
        self.events.extend(delay.map(|delay| OwnerEvent::JobDelayed { job, delay }));
    }

    /// Restores the stored progress of a job or wave, or the machines that received orders.
    pub fn restore_record(&mut self, key: &str, value: &[u8], now: Time) {
        if let Some(wave) = records::wave_of_key(key) {
            match records::decode_wave(value) {
                Ok(begun) => {
                    self.wave_progress.begun_machines.insert(wave, begun);
                }
                Err(e) => self.emit_bad_record(key, &e),
            }
            return;
        }
        if key == records::ORDERED_MACHINES_KEY {
            match records::decode_ordered_machines(value, now) {
                Ok(machines) => self.ordered_machines.restore(machines),
                Err(e) => self.emit_bad_record(key, &e),
            }
            return;
        }
        if let Some(part) = PartKey::parse(key) {
            return self.restore_part(part, value, now);
        }
        let id: JobId = key.into();
        if !records::is_job_key(key) {
            return self.emit_bad_record(key, &ProgressError::ForeignKey { key: id });
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            match records::decode_early_cancellation(value, now) {
                Some(cancelled_at) => {
                    self.early_cancellations.insert(id, cancelled_at);
                }
                // The submission was deleted, but not the progress before its owner ended.
                None => {
                    self.dropped_jobs.insert(id);
                }
            }
            return;
        };
        if let Err(e) = records::decode_job(&id, job, value, now) {
            return self.emit_bad_record(key, &e);
        }
        for (part, value) in self.restored_parts.get(&id).cloned().unwrap_or_default() {
            self.apply_part(&part, &value, now);
        }
    }

    /// Restores a part of a job's tasks.
    fn restore_part(&mut self, part: PartKey, value: &[u8], now: Time) {
        self.stored_parts.record(&part);
        if !self.jobs.contains_key(&part.job) {
            self.dropped_jobs.insert(part.job);
            return;
        }
        self.apply_part(&part, value, now);
        let parts = self.restored_parts.entry(part.job.clone()).or_default();
        parts.push((part, Bytes::copy_from_slice(value)));
    }

    fn apply_part(&mut self, part: &PartKey, value: &[u8], now: Time) {
        let Some(job) = self.jobs.get_mut(&part.job).filter(|job| job.is_split) else { return };
        if let Err(e) = record_parts::decode_part(part, job, value, now) {
            self.emit_bad_record(&part.name(), &e);
        }
    }

    fn emit_bad_record(&mut self, key: &str, error: &dyn std::error::Error) {
        self.events.push(OwnerEvent::BadRecord { key: key.into(), error: error.to_string() });
    }

    /// Records that all previous owners have stopped sending orders by `stopped_at`, which may lie ahead.
    /// Their last leases expire within one lease duration.
    pub fn record_previous_owners_stopped(&mut self, stopped_at: Time) {
        let until = stopped_at + LEASE_DURATION.mul_f64(1.05);
        self.prior_leases_until = self.prior_leases_until.min(until);
        let orders_until = stopped_at + self.order_horizon();
        self.earlier_orders_until = self.earlier_orders_until.min(orders_until);
        for worker in self.workers.values_mut() {
            worker.prior_leases_until = worker.prior_leases_until.min(self.prior_leases_until);
            worker.lease_orders.limit_earlier_owners(self.earlier_orders_until);
        }
    }

    /// Returns until when leases of earlier owners may last at workers that have not responded yet.
    pub fn prior_leases_until(&self) -> Time {
        self.prior_leases_until
    }

    /// Registers the restored runs with their workers and teams. Called once, after all records are
    /// restored and all listed workers are known. A worker that is no longer listed may still be
    /// running its tasks.
    pub fn finish_restore(&mut self, now: Time) {
        self.restored_parts = IndexMap::new();
        let mut runs = Vec::new();
        for (id, job) in &self.jobs {
            visit_assigned(id, job, |task, run| runs.push((task, job.team.clone(), run.clone())));
        }
        for (task, team, run) in runs {
            let Some(reservation) = self.step_of(&task).map(Step::reservation) else { continue };
            if !self.workers.contains_key(&run.worker) {
                let mut unlisted = self.new_worker(WorkerInfo::unlisted(&run.worker), now);
                unlisted.registered = false;
                self.workers.insert(run.worker.clone(), unlisted);
            }
            if let Some(worker) = self.workers.get_mut(&run.worker) {
                worker.assigned.insert(task, reservation);
            }
            self.charge_team(team.as_ref(), &reservation);
        }
        self.restore_suspects(now);
        // Reading the end of a gang for all its members may have completed a job.
        let unfinished = self.jobs.iter().filter(|(_, j)| !j.state.is_final());
        let done = unfinished.filter(|(_, j)| j.open_occurrences.iter().any(Occurrence::is_done));
        let done: Vec<JobId> = done.map(|(id, _)| id.clone()).collect();
        for id in done {
            self.close_occurrences(&id, now);
        }
    }

    /// Cancels a job, also one whose submission arrives later. Returns whether the job is known.
    pub fn cancel(&mut self, id: &str, now: Time) -> bool {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            let id: JobId = id.into();
            self.early_cancellations.entry(id.clone()).or_insert_with(|| {
                self.dirty_jobs.insert(id);
                Moment::new(now)
            });
            return false;
        };
        if job.state.is_final() {
            return true;
        }
        let id = id.clone();
        self.end_job(&id, JobState::Cancelled, now);
        true
    }

    /// Updates the workers from the registry. Workers that are not listed are marked as
    /// unregistered. Returns those that restarted, which get no starts until they are polled again.
    pub fn update_workers(
        &mut self,
        registry: &IndexMap<WorkerId, WorkerInfo>,
        now: Time,
    ) -> Vec<WorkerId> {
        let mut restarted = Vec::new();
        for (id, worker) in &mut self.workers {
            worker.registered = registry.contains_key(id);
        }
        for (id, entry) in registry {
            if !self.workers.contains_key(id) {
                self.events.push(OwnerEvent::WorkerListed {
                    worker: id.clone(),
                    machine: entry.machine.clone(),
                    incarnation: entry.incarnation,
                });
                self.workers.insert(id.clone(), self.new_worker(entry.clone(), now));
            }
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.is_restart(entry) {
                self.events.push(OwnerEvent::WorkerRestarted {
                    worker: id.clone(),
                    earlier: worker.incarnation,
                    incarnation: entry.incarnation,
                    source: RestartSource::Registry,
                });
                worker.ended_incarnation = None;
                worker.begin_incarnation(
                    Some(entry.incarnation),
                    self.bounds.max_lease,
                    &mut self.fence_counter,
                    now,
                );
                restarted.push(id.clone());
            }
            worker.registered = worker.ended_incarnation.is_none();
            if worker.apply_entry(entry, now) {
                self.events.push(OwnerEvent::WorkerDraining {
                    worker: id.clone(),
                    tasks: worker.assigned.len() as u64,
                    time_left: entry.time_left,
                });
            }
        }
        self.workers.retain(|id, w| {
            // A worker that the latest owner record names is forgotten once a record without it is stored.
            let is_kept = w.registered
                || !w.assigned.is_empty()
                || w.lease_withheld
                || w.stray_lease.left(now).is_some()
                || w.lease_orders.stray_source(now).is_some()
                || registry.contains_key(id);
            if !is_kept && w.ended_incarnation.is_none() {
                let until = self.forgotten_leases_until.max(w.leases_expire_at());
                self.forgotten_leases_until = until;
            }
            is_kept
        });
        restarted
    }

    /// Returns a worker that the owner learns of, with the leases of previous owners.
    fn new_worker(&self, info: WorkerInfo, now: Time) -> Worker {
        let prior_lease = self.prior_leases.get(&info.id);
        let mut worker = Worker::new(info, self.fence_counter, self.prior_leases_until, now);
        if self.prior_leases.may_have_open_orders(&worker.info.id) {
            worker.lease_orders = LeaseOrders::new(self.earlier_orders_until);
        }
        match prior_lease {
            Some(lease) => worker.with_prior_lease(lease),
            None => worker,
        }
    }

    /// Returns the lease to send with a start order, or `None` if the order must not be sent, or
    /// sent again: the run has been given up or is being stopped, orders in flight have been
    /// invalidated since the run was assigned, or the worker has stopped responding or has shrunk.
    pub fn authorize_start(&mut self, start: &StartOrder, now: Time) -> Option<WorkerTime> {
        if !self.is_start_valid(start, now) {
            return None;
        }
        self.extend_lease(now, &start.worker)
    }

    /// Whether a start order may still be sent, as far as the owner's state tells.
    pub fn is_start_valid(&self, start: &StartOrder, now: Time) -> bool {
        let task = self.jobs.get(&start.task.job).and_then(|j| j.task(&start.task));
        let Some(Phase::Assigned(assignment)) = task.map(|t| &t.phase) else { return false };
        let is_wanted = task.is_some_and(|t| t.run == start.run)
            && assignment.worker == start.worker
            && !assignment.stop_ordered;
        let reservation = self.step_of(&start.task).map(Step::reservation).unwrap_or_default();
        let is_unable = |w: &Worker| {
            w.unanswered_polls > 0
                || w.lease_withheld
                || w.stray_lease.is_unannounced(now)
                || w.exceeds_capacity(&reservation)
        };
        let is_unable = self.workers.get(&start.worker).is_none_or(is_unable);
        is_wanted && !is_unable && self.fence(&start.worker) == start.fence
    }

    /// Processes the worker's clock in the answer to a start order that was sent at `sent_at`. A clock
    /// that went back shows a restart of a worker that does not name its incarnation.
    pub fn record_start_clock(
        &mut self,
        start: &StartOrder,
        clock: WorkerTime,
        sent_at: Time,
        now: Time,
    ) {
        if self.fence(&start.worker) != start.fence {
            return;
        }
        let Some(worker) = self.workers.get_mut(&start.worker) else { return };
        if !worker.clock_went_back(clock, sent_at) {
            return;
        }
        self.events.push(OwnerEvent::WorkerRestarted {
            worker: start.worker.clone(),
            earlier: worker.incarnation,
            incarnation: 0,
            source: RestartSource::StartClock,
        });
        worker.begin_incarnation(None, self.bounds.max_lease, &mut self.fence_counter, now);
    }

    /// Processes the outcome of a start order.
    pub fn record_start_outcome(&mut self, start: &StartOrder, outcome: StartOutcome, now: Time) {
        self.record_start_status(start, outcome);
        let is_current = self.fence(&start.worker) == start.fence;
        let Some(worker) = self.workers.get_mut(&start.worker) else { return };
        if !matches!(outcome, StartOutcome::Unknown | StartOutcome::NotSent) {
            worker.last_answer_at = now;
        }
        let reason = match outcome {
            StartOutcome::Started | StartOutcome::Over => return self.confirm_start(start, now),
            // The next poll shows whether the run has started.
            StartOutcome::Unknown => return,
            StartOutcome::Fenced => {
                worker.resync(&mut self.fence_counter);
                "fenced"
            }
            StartOutcome::Late => "late",
            StartOutcome::NoRoom => {
                worker.start_backoff_until = now + START_BACKOFF;
                "no_room"
            }
            StartOutcome::NoTicket => "no_ticket",
            StartOutcome::Busy => {
                self.record_rejected_start(&start.worker, now);
                "busy"
            }
            StartOutcome::OtherWorker => "other_worker",
            StartOutcome::Restarted => {
                // The next poll shows the new incarnation.
                if is_current {
                    worker.resync(&mut self.fence_counter);
                }
                "restarted"
            }
            StartOutcome::NotSent => {
                worker.start_backoff_until = now + START_BACKOFF;
                "not_sent"
            }
            StartOutcome::Malformed => "malformed",
        };
        self.abandon_run(&start.task, start.run, reason, now);
    }

    /// Records what the outcome of a start order tells about its run, which may have been given up.
    fn record_start_status(&mut self, start: &StartOrder, outcome: StartOutcome) {
        let status = outcome.start_status();
        if status == Some(StartStatus::Started) {
            self.record_started(&start.task);
        }
        match (self.assignment_mut(&start.task, start.run), status) {
            // A list of the worker may have shown the run.
            (Some(assignment), Some(status)) if assignment.start != StartStatus::Started => {
                assignment.start = status;
            }
            (Some(_), _) => {}
            (None, _) => self.crashes.record_start_status(start, status),
        }
    }

    /// Records that a worker has begun a task: its job is no longer pending.
    fn record_started(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.any_task_started || job.state.is_final() {
            return;
        }
        job.any_task_started = true;
        (job.state, job.published_state) = (JobState::Running, JobState::Running);
        // Stored with the end of the first run; a long-running task may have none.
        if job.spec.steps.get(id.step as usize).is_some_and(|s| s.long_running) {
            self.dirty_jobs.insert(id.job.clone());
        }
    }

    fn confirm_start(&mut self, start: &StartOrder, now: Time) {
        if let Some(assignment) = self.assignment_mut(&start.task, start.run) {
            assignment.confirmed_at.get_or_insert(now);
        }
    }

    /// Records that a worker accepted a stop order: the run will end soon, or will never start.
    pub fn record_stop_accepted(&mut self, stop: &StopOrder, now: Time) {
        if let Some(assignment) = self.assignment_mut(&stop.task, stop.run) {
            assignment.confirmed_at.get_or_insert(now);
        }
    }

    /// Processes a worker's report. Returns whether it contained new finished runs.
    pub fn apply_report(&mut self, id: &WorkerId, report: WorkerReport, now: Time) -> bool {
        let fence = self.fence(id);
        let hides_restart =
            self.workers.get(id).is_some_and(|w| self.may_hide_restart(w, &report, now));
        let Some(worker) = self.workers.get_mut(id) else { return false };
        worker.last_answer_at = now;
        worker.unanswered_polls = 0;
        if report.fence < fence {
            // Orders that have been voided since may still take effect.
            return false;
        }
        let incarnation =
            if report.incarnation == 0 { worker.incarnation } else { report.incarnation };
        // A report without an incarnation shows a restart only by its clock.
        let has_restarted = worker.incarnation != incarnation && worker.clock_reading.is_some()
            || report.incarnation == 0 && worker.clock_went_back(report.clock, report.requested_at);
        if has_restarted {
            // Polled again under a higher fence, so that orders to the previous incarnation cannot
            // take effect.
            self.events.push(OwnerEvent::WorkerRestarted {
                worker: id.clone(),
                earlier: worker.incarnation,
                incarnation: report.incarnation,
                source: RestartSource::Report,
            });
            let named = Some(report.incarnation).filter(|incarnation| *incarnation != 0);
            worker.begin_incarnation(named, self.bounds.max_lease, &mut self.fence_counter, now);
            return false;
        }
        let syncing = !worker.synced;
        if syncing {
            // From here on the worker rejects orders of previous owners. The last lease that they
            // sent is at most one full lease.
            let max_lease = self.bounds.max_lease;
            let prior_lease = report.clock + LEASE_DURATION.min(max_lease);
            if hides_restart {
                worker.stray_lease = StrayLease::Open(StraySource::EarlierOwner);
            }
            let before = worker.stray_lease;
            worker.settle_leases(prior_lease, report.incarnation, max_lease, now);
            if let (StrayLease::Open(source), Some(lease_left)) =
                (before, worker.stray_lease.left(now))
            {
                let worker = id.clone();
                let event =
                    OwnerEvent::WorkerStrayLease { worker, incarnation, source, lease_left };
                self.events.push(event);
            }
        }
        worker.incarnation = incarnation;
        worker.clock_reading = Some((report.clock, now));
        worker.synced = true;
        let new = self.process_finished_runs(id, &report.finished, now);
        self.reconcile(id, &report, syncing, now);
        self.adjust_pace(id, &report);
        new
    }

    /// Whether a worker's first report to this owner may come from a process that holds a lease by an order of
    /// earlier owners for its earlier process.
    fn may_hide_restart(&self, worker: &Worker, report: &WorkerReport, now: Time) -> bool {
        let is_first = !worker.prior_leases_until.is_zero() && worker.clock_reading.is_none();
        if !is_first || !worker.lease_orders.may_be_earlier_owners(now) {
            return false;
        }
        let (reported, incarnation) =
            (self.prior_leases.reported_incarnation(&worker.info.id), report.incarnation);
        let is_known = incarnation != 0
            && self.prior_leases.names_stray_leases()
            && (reported == Some(incarnation) || self.inherits_run_of(worker, incarnation));
        if is_known {
            return false;
        }
        // An order cannot bring a lease that lasts until a process has this age.
        let age = report.clock.saturating_sub(now.saturating_sub(self.began_at));
        reported.is_some_and(|reported| reported != incarnation) || age < self.order_horizon()
    }

    /// Whether an earlier owner assigned a task to this incarnation of a worker.
    fn inherits_run_of(&self, worker: &Worker, incarnation: u64) -> bool {
        worker.assigned.keys().any(|id| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            let Some(Phase::Assigned(assignment)) = task.map(|t| &t.phase) else { return false };
            assignment.start == StartStatus::Inherited
                && assignment.process.incarnation == incarnation
        })
    }

    /// Adds an order with a lease that is about to be sent to a worker.
    pub fn begin_lease_order(&mut self, id: &str, now: Time) -> Option<LeaseOrderId> {
        let horizon = self.order_horizon();
        Some(self.workers.get_mut(id)?.lease_orders.begin(now, horizon))
    }

    /// Records how an order with a lease ended.
    pub fn end_lease_order(&mut self, id: &str, order: LeaseOrderId, end: LeaseOrderEnd) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lease_orders.end(order, end);
        }
    }

    /// Adds an attempt to send a start order to its worker.
    pub fn begin_start_attempt(&mut self, start: &StartOrder, now: Time) -> Option<LeaseOrderId> {
        let order = self.begin_lease_order(&start.worker, now)?;
        if let Some(assignment) = self.assignment_mut(&start.task, start.run) {
            assignment.open_attempts += 1;
        }
        Some(order)
    }

    /// Records how an attempt to send a start order ended, by the worker's clock in the answer if there was one. Returns
    /// the outcome as far as it is known: a process other than the one that the order was meant for, shown by a clock
    /// that went back or a restart that is known by now, may be running the task.
    pub fn end_start_attempt(
        &mut self,
        start: &StartOrder,
        order: LeaseOrderId,
        outcome: StartOutcome,
        clock: Option<WorkerTime>,
        sent_at: Time,
    ) -> StartOutcome {
        let Some(worker) = self.workers.get_mut(&start.worker) else { return outcome };
        let is_misdirected = worker.incarnation != start.incarnation
            || clock.is_some_and(|clock| worker.clock_went_back(clock, sent_at));
        match outcome {
            StartOutcome::Unknown => worker.lease_orders.end(order, LeaseOrderEnd::Unanswered),
            StartOutcome::Started | StartOutcome::Over | StartOutcome::NoRoom if is_misdirected => {
                worker.lease_orders.end(order, LeaseOrderEnd::Misdirected);
                return StartOutcome::Unknown;
            }
            _ => worker.lease_orders.end(order, LeaseOrderEnd::Settled),
        }
        if outcome != StartOutcome::Unknown
            && let Some(assignment) = self.assignment_mut(&start.task, start.run)
        {
            assignment.open_attempts = assignment.open_attempts.saturating_sub(1);
        }
        outcome
    }

    /// Whether a worker gets no starts until an owner record names the lease that it may hold.
    pub fn awaits_stray_announcement(&self, id: &str, now: Time) -> bool {
        self.workers.get(id).is_some_and(|w| w.synced && w.stray_lease.is_unannounced(now))
    }

    /// Records a poll without a response.
    pub fn record_unanswered_poll(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered_polls += 1;
        }
    }

    /// Records that another worker answered a poll that carried `fence`. After a resync the poll may
    /// have gone to the address of an earlier incarnation; the next one settles it.
    pub fn record_other_worker(&mut self, id: &WorkerId, fence: u64, now: Time) {
        if self.fence(id) == fence {
            self.end_incarnation(id, now);
        }
    }

    /// Records that a worker answered a poll that carried `fence` and `acknowledged`, the index of the
    /// last finished run to drop. After a resync the index may belong to an earlier incarnation.
    pub fn record_acknowledged(&mut self, id: &WorkerId, fence: u64, acknowledged: u64) {
        if self.fence(id) != fence {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_acknowledged = worker.last_acknowledged.max(acknowledged);
        }
    }

    fn process_finished_runs(
        &mut self,
        id: &WorkerId,
        finished: &[FinishedRun],
        now: Time,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let before = worker.last_processed;
        let new: Vec<&FinishedRun> = finished.iter().filter(|run| run.index > before).collect();
        worker.last_processed = new.iter().map(|run| run.index).max().unwrap_or(before);
        for run in &new {
            self.process_finished_run(id, run, now);
        }
        !new.is_empty()
    }

    fn process_finished_run(&mut self, worker: &WorkerId, finished: &FinishedRun, now: Time) {
        let Some(id) = &finished.task else { return };
        let Some(step) = self.step_of(id).cloned() else { return };
        let declarations = &self.active_config.declarations;
        let max_attempts = self.jobs.get(&id.job).and_then(|job| job.max_attempts(declarations));
        let event = OwnerEvent::RunEnded {
            task: id.clone(),
            run: finished.run,
            worker: worker.clone(),
            outcome: finished.outcome,
        };
        self.events.push(event);
        self.record_started(id);
        match finished.outcome {
            RunOutcome::Done => self.record_run_success(worker, id),
            RunOutcome::Failed => self.record_run_failure(worker, id, now),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {}
        }
        let is_assigned_here =
            self.assignment_mut(id, finished.run).is_some_and(|h| h.worker == *worker);
        if finished.outcome == RunOutcome::Done && !step.long_running {
            if !is_assigned_here {
                self.stop_other_run(id, now);
            }
            self.complete_task(id, now);
            if step.gang {
                self.complete_gang(id, finished.run, &step, now);
            }
            return;
        }
        self.update_checkpoint(id, finished.run, &finished.checkpoint);
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        if finished.outcome == RunOutcome::Failed {
            if finished.run > task.last_failed_run {
                task.avoid_worker = Some(worker.clone());
            }
            self.count_failure(id, finished.run, &step);
        }
        let failed_runs =
            self.jobs.get(&id.job).and_then(|j| j.task(id)).map_or(0, |t| t.failed_runs);
        let attempts_exhausted = finished.outcome == RunOutcome::Failed
            && !step.long_running
            && max_attempts.is_some_and(|max| failed_runs >= max);
        if is_assigned_here {
            self.requeue(id, now);
        }
        if attempts_exhausted {
            self.end_job(&id.job, JobState::Failed, now);
        }
    }

    /// Counts a failed run. A gang fails as a whole: its members count each run once, whichever of them
    /// failed.
    fn count_failure(&mut self, id: &TaskId, run: u32, step: &Step) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let members = if step.gang { 0..step.count } else { id.index..id.index + 1 };
        for index in members {
            let Some(task) = job.task_mut(&TaskId { index, ..id.clone() }) else { continue };
            if run > task.last_failed_run {
                task.last_failed_run = run;
                task.failed_runs = task.failed_runs.saturating_add(1);
            }
        }
        self.dirty_jobs.insert(id.job.clone());
    }

    /// Stops the current run of a task that an earlier run has completed. It counts as running until a
    /// report of its worker shows that it is gone.
    fn stop_other_run(&mut self, id: &TaskId, now: Time) {
        let Some(reservation) = self.step_of(id).map(Step::reservation) else { return };
        let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else { return };
        let Phase::Assigned(assignment) = &task.phase else { return };
        let (worker, run) = (assignment.worker.clone(), task.run);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.unassigned_runs = worker.unassigned_runs.plus(&reservation);
        }
        self.order_stop(StopOrder { worker, task: id.clone(), run }, now);
    }

    /// Marks all members of a gang as done once the end of one is reported. They end together, and the
    /// ends of the others may be lost with their workers.
    fn complete_gang(&mut self, id: &TaskId, run: u32, step: &Step, now: Time) {
        for index in (0..step.count).filter(|index| *index != id.index) {
            let member = TaskId { index, ..id.clone() };
            if self.assignment_mut(&member, run).is_none() {
                self.stop_other_run(&member, now);
            }
            self.complete_task(&member, now);
        }
    }

    /// Marks a task as done and releases its assignment.
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
        self.run_failures.keep_open(id, &job.open_occurrences);
        if job.open_occurrences.is_empty()
            && job.begun_occurrences >= job.occurrence_count()
            && !job.state.is_final()
        {
            self.end_job(&id.clone(), JobState::Complete, now);
        }
    }

    pub(super) fn end_job(&mut self, id: &JobId, state: JobState, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_at = Some(Moment::new(now));
        self.run_failures.drop_job(id);
        let job_age = now.saturating_sub(job.first_seen_at);
        self.events.push(OwnerEvent::JobEnded { job: id.clone(), state, job_age });
        self.dirty_jobs.insert(id.clone());
        self.stop_all_runs(id, now);
    }

    /// Orders stops for all runs of a job that has ended.
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

    /// Orders a stop of a task's current run. The task is then started again.
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

    /// Compares a worker's reported runs with its assignments.
    fn reconcile(&mut self, id: &WorkerId, report: &WorkerReport, syncing: bool, now: Time) {
        let mut unassigned_runs = Resources::default();
        let incarnation = self.workers.get(id).map_or(0, |w| w.incarnation);
        for running in &report.running {
            let Some(task) = &running.task else { continue };
            self.record_started(task);
            match self.assignment_mut(task, running.run) {
                Some(assignment) if assignment.worker == *id => {
                    assignment.start = StartStatus::Started;
                    // The worker may have restarted before the start reached it.
                    assignment.process.incarnation = incarnation;
                    assignment.confirmed_at.get_or_insert(now);
                    assignment.speed_percent = running.speed_percent;
                    if running.speed_percent < 100 {
                        assignment.full_speed_since = None;
                    } else {
                        assignment.full_speed_since.get_or_insert(now);
                    }
                }
                // Left over from an order that was abandoned.
                _ => {
                    let reservation = self.step_of(task).map(Step::reservation).unwrap_or_default();
                    unassigned_runs = unassigned_runs.plus(&reservation);
                    self.order_stop(
                        StopOrder { worker: id.clone(), task: task.clone(), run: running.run },
                        now,
                    );
                }
            }
            self.update_checkpoint(task, running.run, &running.checkpoint);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unassigned_runs = unassigned_runs;
        }
        // The end of a run that is not listed as running may come with the next report.
        if report.more_finished {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let listed_tasks: IndexSet<&TaskId> =
            report.running.iter().filter_map(|r| r.task.as_ref()).collect();
        let missing: Vec<TaskId> =
            worker.assigned.keys().filter(|t| !listed_tasks.contains(t)).cloned().collect();
        if missing.is_empty() {
            return;
        }
        let runs = self.assigned_runs(id);
        for task in missing {
            self.handle_missing_task(id, &task, report.requested_at, syncing, now);
        }
        self.record_lost_runs(id, runs, now);
    }

    /// Handles a task that is assigned to a worker but missing from its report.
    fn handle_missing_task(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        requested_at: Time,
        syncing: bool,
        now: Time,
    ) {
        let Some(task_state) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return;
        };
        let run = task_state.run;
        let Phase::Assigned(assignment) = &mut task_state.phase else { return };
        let confirmed_before = assignment.confirmed_at.is_some_and(|at| at < requested_at);
        if syncing && assignment.assigned_at < requested_at || confirmed_before {
            return self.abandon_run(task, run, "not_listed", now);
        }
        // The start order has no known outcome. Once the worker accepts a stop of the run, the run
        // can no longer start.
        if assignment.confirmed_at.is_none()
            && requested_at > assignment.assigned_at + LEASE_DURATION / 4
        {
            assignment.stop_ordered = true;
            self.order_stop(StopOrder { worker: id.clone(), task: task.clone(), run }, now);
        }
    }

    fn update_checkpoint(&mut self, id: &TaskId, run: u32, checkpoint: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        if task.run != run || checkpoint.is_empty() || task.checkpoint == *checkpoint {
            return;
        }
        // Stored with the next update of the job. An older checkpoint only loses work.
        task.checkpoint = checkpoint.clone();
        // A gang resumes from one checkpoint, which may come from any member.
        let gang = job.spec.steps.get(id.step as usize).filter(|s| s.gang).map_or(0, |s| s.count);
        for index in 0..gang {
            if let Some(member) = job.task_mut(&TaskId { index, ..id.clone() }) {
                member.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Slows down best-effort tasks on a worker whose serving tasks approach their tail latency
    /// target.
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

    /// Expires leases, begins due occurrences, retries stop orders and drops old jobs. `unix_time`
    /// is the time since the Unix epoch.
    pub fn tick(&mut self, now: Time, unix_time: Duration) {
        self.wall_clock.set(now, unix_time);
        self.ordered_machines.set_wall_clock(self.wall_clock);
        let expired = self.workers.values().filter(|w| now > w.leases_expire_at());
        let expired = expired.filter_map(|w| {
            let over: Vec<TaskId> =
                w.assigned.keys().filter(|t| !self.may_start_late(w, t, now)).cloned().collect();
            (!over.is_empty()).then(|| (w.info.id.clone(), over))
        });
        for (id, over) in expired.collect::<Vec<_>>() {
            self.expire_lease(&id, over, now);
        }
        self.update_crash_state(now);
        self.begin_due_occurrences(now, unix_time);
        self.retry_stops(now);
        self.release_machines(now);
        self.settle_ends();
        self.drop_old_jobs(now.min(self.submissions_read_at));
    }

    /// Ends a worker's current incarnation and all its runs, because another worker uses its
    /// address or its machine was taken away.
    pub fn end_incarnation(&mut self, id: &WorkerId, now: Time) {
        let over =
            self.workers.get(id).map_or(Vec::new(), |w| w.assigned.keys().cloned().collect());
        self.expire_lease(id, over, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.registered = false;
            worker.ended_incarnation = Some(worker.incarnation);
        }
    }

    /// Whether a start of the task that was not answered may still begin a run of the worker's next process, which has
    /// not reported, or that run may last. Long-running tasks do not wait for it.
    fn may_start_late(&self, worker: &Worker, task: &TaskId, now: Time) -> bool {
        let state = self.jobs.get(&task.job).and_then(|j| j.task(task));
        let Some(Phase::Assigned(assignment)) = state.map(|t| &t.phase) else { return false };
        if self.step_of(task).is_some_and(|s| s.long_running) {
            return false;
        }
        match assignment.start {
            // An earlier attempt may be carried out by the next process all the same.
            StartStatus::Started if assignment.open_attempts == 0 => false,
            StartStatus::Started | StartStatus::InFlight | StartStatus::Unanswered => {
                matches!(worker.stray_lease, StrayLease::Open(_))
                    && now <= assignment.assigned_at + self.order_horizon()
            }
            StartStatus::Inherited => {
                let is_other = !is_same(assignment.process.incarnation, worker.incarnation);
                worker.clock_reading.is_none()
                    && worker.lease_orders.may_be_earlier_owners(now)
                    && (is_other || self.may_be_unnamed_stray(worker, now))
            }
        }
    }

    /// Whether a worker may hold a stray lease that an owner of an earlier version knew of and did not name, by the time
    /// at which its process began.
    fn may_be_unnamed_stray(&self, worker: &Worker, now: Time) -> bool {
        let Some(unix_time) = self.wall_clock.unix_time(now) else { return false };
        let age = unix_time.saturating_sub(Duration::from_millis(worker.incarnation));
        !self.prior_leases.names_stray_leases() && age < self.order_horizon() + MAX_CLOCK_DIFFERENCE
    }

    /// Gives up `tasks` of a worker, whose leases are over.
    fn expire_lease(&mut self, id: &WorkerId, tasks: Vec<TaskId>, now: Time) {
        let runs = self.assigned_runs(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.resync(&mut self.fence_counter);
        self.events.push(OwnerEvent::WorkerLeaseExpired {
            worker: id.clone(),
            tasks: tasks.len() as u64,
            silent_for: now.saturating_sub(worker.last_answer_at),
            lease: worker.longest_lease().1,
        });
        for task in tasks {
            let run = self.jobs.get(&task.job).and_then(|j| j.task(&task)).map_or(0, |t| t.run);
            self.abandon_run(&task, run, "lease_over", now);
        }
        self.record_lost_runs(id, runs, now);
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

    /// Has the time of day stored of all ends that are stored without, so that later owners can tell
    /// their age.
    fn settle_ends(&mut self) {
        let ended = self.jobs.iter_mut().filter_map(|(id, j)| Some((id, j.ended_at.as_mut()?)));
        for (id, ended_at) in ended.chain(self.early_cancellations.iter_mut()) {
            if ended_at.settle(&self.wall_clock) {
                self.dirty_jobs.insert(id.clone());
            }
        }
    }

    /// Drops jobs whose retention has passed.
    fn drop_old_jobs(&mut self, now: Time) {
        let (clock, retention) = (self.wall_clock, self.bounds.ended_job_retention);
        let is_expired = |ended_at: &Moment| clock.least_age(ended_at, now) > retention;
        let has_runs = |id: &JobId| {
            let open = self.jobs.get(id).map_or(&[][..], |j| &j.open_occurrences);
            open.iter().any(Occurrence::is_assigned)
        };
        let ended = self.jobs.iter().filter_map(|(id, j)| Some((id, j.ended_at.as_ref()?)));
        let ended = ended.chain(&self.early_cancellations);
        let expired = ended.filter(|(id, ended_at)| is_expired(ended_at) && !has_runs(id));
        let expired: Vec<JobId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            // Jobs stay in the order in which they were accepted.
            self.jobs.shift_remove(&id);
            self.early_cancellations.swap_remove(&id);
            self.dropped_jobs.insert(id);
        }
    }

    /// Returns the jobs whose submissions are to be deleted.
    pub fn dropped_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.dropped_jobs.iter()
    }

    /// Records that the submissions of dropped jobs are deleted. Their progress is deleted only then:
    /// the next owner would take a submission without progress for a new job.
    pub fn record_submissions_deleted(&mut self, ids: &[JobId]) {
        for id in ids {
            if self.dropped_jobs.swap_remove(id) {
                self.dirty_jobs.insert(id.clone());
            }
        }
    }

    /// Begins the occurrences that are due at `unix_time`, the time since the Unix epoch.
    fn begin_due_occurrences(&mut self, now: Time, unix_time: Duration) {
        let mut begun = Vec::new();
        for (id, job) in &mut self.jobs {
            while job.may_begin_occurrence() {
                let due = job.spec.due_time(job.begun_occurrences);
                if job.spec.repeats > 0 && unix_time < due {
                    break;
                }
                job.open_occurrences.push(Occurrence::new(job.begun_occurrences, &job.spec));
                job.begun_occurrences += 1;
                begun.push(id.clone());
            }
        }
        for id in begun {
            // An occurrence without tasks is done as soon as it begins.
            self.close_occurrences(&id, now);
        }
    }

    /// Assigns a task to a worker and orders its start.
    pub(super) fn assign(&mut self, id: &TaskId, worker: &WorkerId, run: u32, now: Time) {
        let Some(reservation) = self.step_of(id).map(Step::reservation) else { return };
        let process = self.workers.get(worker).map_or_else(WorkerProcess::default, |w| {
            WorkerProcess { incarnation: w.incarnation, machine: w.info.machine.clone() }
        });
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let (spec, team, first_seen_at) = (job.spec.clone(), job.team.clone(), job.first_seen_at);
        let Some(task) = job.task_mut(id) else { return };
        task.run = run;
        task.phase = Phase::Assigned(Assignment {
            worker: worker.clone(),
            process,
            assigned_at: now,
            start: StartStatus::InFlight,
            open_attempts: 0,
            confirmed_at: None,
            stop_ordered: false,
            speed_percent: 0,
            full_speed_since: None,
        });
        let checkpoint = task.checkpoint.clone();
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.assigned.insert(id.clone(), reservation);
        }
        // The last lease of an idle worker may be over. The order, which may be delayed, carries at
        // least this one.
        self.extend_lease(now, worker);
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
        let fence = self.fence(&worker);
        let incarnation = self.workers.get(&worker).map_or(0, |w| w.incarnation);
        let start = StartOrder { worker, task, run, spec, checkpoint, fence, incarnation };
        self.orders.starts.push(start);
    }

    /// Gives up a run that never started, or that has certainly ended without being reported as
    /// finished.
    fn abandon_run(&mut self, id: &TaskId, run: u32, reason: &'static str, now: Time) {
        let Some(assignment) = self.assignment_mut(id, run) else { return };
        let worker = assignment.worker.clone();
        self.events.push(OwnerEvent::RunLost { task: id.clone(), run, worker, reason });
        self.requeue(id, now);
    }

    /// Makes an assigned task wait for another start.
    fn requeue(&mut self, id: &TaskId, now: Time) {
        // A long-running task may restart in the same pass, before other tasks take its resources.
        let delay = if self.step_of(id).is_some_and(|s| s.long_running) {
            Duration::ZERO
        } else {
            RESTART_DELAY
        };
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        let Phase::Assigned(assignment) = std::mem::take(&mut task.phase) else { return };
        task.not_before = now + delay;
        task.avoid_worker = Some(assignment.worker.clone());
        task.unavailable_since = Some(now);
        self.release_resources(id, &assignment);
        self.dirty_jobs.insert(id.job.clone());
    }

    /// Releases the resources that a run reserved.
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

    pub(super) fn mark_dirty(&mut self, job: &JobId) {
        self.dirty_jobs.insert(job.clone());
    }

    pub(super) fn emit(&mut self, event: OwnerEvent) {
        self.events.push(event);
    }

    /// Resources of a team's running and ordered tasks.
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

    /// Returns the decisions made since the last call. The orders may be sent once the `updates`
    /// are stored.
    pub fn take_decisions(&mut self, now: Time) -> DecisionBatch {
        let mut batch = DecisionBatch {
            orders: std::mem::take(&mut self.orders),
            events: std::mem::take(&mut self.events),
            ..DecisionBatch::default()
        };
        for id in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get(&id) else {
                batch.updates.push(match self.early_cancellations.get(&id) {
                    Some(at) => records::encode_early_cancellation(&id, at),
                    None => RecordUpdate { key: id.clone(), value: None },
                });
                batch.updates.extend(self.stored_parts.update(&id, None).deleted);
                continue;
            };
            let parts = self.stored_parts.update(&id, Some(job));
            batch.updates.extend(parts.written);
            batch.updates.push(records::encode_job(&id, job));
            batch.updates.extend(parts.deleted);
            if job.state.is_final() {
                batch.final_states.push((id, job.state));
            }
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
                worker.incarnation_seen_at,
                worker.last_processed,
            ));
        }
        batch
    }

    /// Applies the effects of a batch whose `updates` are stored.
    pub fn mark_stored(&mut self, batch: &DecisionBatch) {
        for (id, state) in &batch.final_states {
            if let Some(job) = self.jobs.get_mut(id) {
                job.published_state = *state;
            }
        }
        self.ordered_machines.mark_stored(batch.announcement);
        for (id, seen_at, last_processed) in &batch.processed_runs {
            let worker = self.workers.get_mut(id).filter(|w| w.incarnation_seen_at == *seen_at);
            if let Some(worker) = worker {
                worker.last_stored = worker.last_stored.max(*last_processed);
            }
        }
    }

    /// Returns the number of unfinished jobs of a queue in which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> u64 {
        self.jobs.values().filter(|j| j.is_pending() && &*j.queue == queue).count() as u64
    }

    /// Returns the number of unfinished jobs of all queues in which no task has started.
    pub fn pending_job_count(&self) -> u64 {
        self.jobs.values().filter(|j| j.is_pending()).count() as u64
    }
}

/// Returns the next speed of a best-effort task from its current speed and the highest ratio of
/// tail latency to target on the same worker.
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

fn worker_silent_event(worker: &Worker, now: Time) -> OwnerEvent {
    let (until, lease) = worker.longest_lease();
    OwnerEvent::WorkerSilent {
        worker: worker.info.id.clone(),
        incarnation: worker.incarnation,
        tasks: worker.assigned.len() as u64,
        silent_for: now.saturating_sub(worker.last_answer_at),
        lease,
        lease_left: until.saturating_sub(now),
    }
}

/// Calls `f` for each assigned task of a job.
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

/// Calls `f` with the id and run of each assigned task of a job.
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
