//! State shared by the tasks of one process.
//!
//! Lock order: `owner` before `term`, `term` before `view`, `view` before `known_owner`,
//! `known_owner` before `recent_jobs`. No lock is held across an await.

use crate::batch::declarations::ActiveConfig;
use crate::batch::overload::Delay;
use crate::batch::owner::{Owner, OwnerEvent, RestartSource};
use crate::event::{Event, Log};
use crate::ids::{EntryId, JobId, Time, ZoneId};
use crate::instance::append_queue::AppendQueue;
use crate::instance::boottime;
use crate::instance::config::{InstanceConfig, MachineSize};
use crate::instance::submissions::{
    OwnerReads, partition_of, possible_partitions, readable_partitions,
};
use crate::instance::unreadable_records::UnreadableRecords;
use crate::metrics::{DelayReason, Metrics};
use crate::platform::http::Http;
use crate::platform::store::{self, Partition, Store};
use crate::platform::worker_client::WorkerClient;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Fraction of the revocation time within which the view must have been confirmed; the rest is for
/// answering the request.
const MAX_VIEW_AGE_FRACTION: f64 = 0.85;
/// Time for which an accepted job counts as recent; the owner reads it within a second.
const RECENT_JOB_RETENTION: Duration = Duration::from_secs(10);

/// Identity of an owner, as its record in the store names it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerInfo {
    pub term: u64,
    /// Incarnation of the instance.
    pub incarnation: u64,
    pub name: EntryId,
    pub zone: ZoneId,
    /// Address for other instances, `IP:PORT`.
    pub peers: String,
    /// Size of its machine, by which other instances decide when to take over.
    pub machine: MachineSize,
    /// Time since the term began, at the latest when its record was appended.
    pub term_age: Duration,
}

/// This instance's view of the configuration that operators declare.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    pub active_config: Arc<ActiveConfig>,
    /// When the request was sent whose response last showed that the view was complete, as time
    /// since boot.
    pub confirmed_at: Option<Duration>,
}

/// State shared by the tasks of one process.
pub struct Shared {
    pub cfg: InstanceConfig,
    /// Random number chosen at start that distinguishes incarnations of one instance.
    pub incarnation: u64,
    pub log: Log,
    pub metrics: Arc<Metrics>,
    pub http: Http,
    pub store: Store,
    pub worker_client: WorkerClient,
    pub append_queue: Arc<AppendQueue>,
    /// As time since boot.
    started_at: Duration,
    /// State of the owner; present while this instance is the owner.
    pub owner: Mutex<Option<Owner>>,
    /// Term in which this instance sends orders.
    pub term: Mutex<Option<u64>>,
    pub view: Mutex<ConfigView>,
    pub known_owner: Mutex<Option<OwnerInfo>>,
    owner_reads: Mutex<Option<OwnerReads>>,
    /// Over how many partitions callers' records were spread last.
    partitions_in_use: AtomicU32,
    /// When the owner last read each partition of callers' jobs up to its end, by number: when that read was
    /// requested, and when it ended.
    jobs_read_at: Mutex<IndexMap<u32, (Time, Time)>>,
    /// Recently accepted jobs of this instance, with the time of acceptance.
    recent_jobs: Mutex<IndexMap<JobId, Instant>>,
    unreadable_records: Mutex<UnreadableRecords>,
    /// Notified after a change that requires a new planning pass.
    pub plan_needed: Notify,
    /// Notified after a change that the owner's next heartbeat must tell soon.
    pub heartbeat_needed: Notify,
    /// Notified after a batch of decisions was stored.
    pub batch_stored: Notify,
    /// Notified per worker after ends of its runs were stored, so that they can be acknowledged.
    pub worker_wakes: WorkerWakes,
    /// Set once the process has been asked to stop.
    pub stopping: AtomicBool,
    /// Whether the store answered this instance's last read of the operators' records.
    pub store_reachable: AtomicBool,
}

/// Notifications by worker.
pub type WorkerWakes = Mutex<HashMap<Arc<str>, Arc<Notify>>>;

impl Shared {
    /// Creates the state of a process that has just started.
    pub fn new(cfg: InstanceConfig, log: Log, metrics: Arc<Metrics>, http: Http) -> Shared {
        // Until an owner is known.
        metrics.set_submission_partitions(1);
        Shared {
            store: Store::new(http.clone(), cfg.store_addr.clone()),
            worker_client: WorkerClient::new(http.clone()),
            append_queue: Arc::new(AppendQueue::new(readable_partitions(cfg.store_partitions))),
            cfg,
            incarnation: rand::rng().random(),
            log,
            metrics,
            http,
            started_at: boottime::now(),
            owner: Mutex::new(None),
            term: Mutex::new(None),
            view: Mutex::new(ConfigView::default()),
            known_owner: Mutex::new(None),
            owner_reads: Mutex::new(None),
            partitions_in_use: AtomicU32::new(1),
            jobs_read_at: Mutex::default(),
            recent_jobs: Mutex::new(IndexMap::new()),
            unreadable_records: Mutex::default(),
            plan_needed: Notify::new(),
            heartbeat_needed: Notify::new(),
            batch_stored: Notify::new(),
            worker_wakes: Mutex::new(HashMap::new()),
            stopping: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
        }
    }

    /// Returns the time since the process started, including time for which the machine was
    /// suspended: permissions and leases run out meanwhile.
    pub fn now(&self) -> Time {
        boottime::now().saturating_sub(self.started_at)
    }

    /// Returns the configuration that operators have in force.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.view.lock().active_config.clone()
    }

    /// Returns the age of the configuration view, or `None` if it was never confirmed.
    pub fn view_age(&self) -> Option<Duration> {
        let confirmed_at = self.view.lock().confirmed_at?;
        Some(boottime::now().saturating_sub(confirmed_at))
    }

    /// Whether the view is recent enough to accept a key, which may have been withdrawn since.
    pub fn keys_are_fresh(&self) -> bool {
        let bound = self.cfg.bounds.max_revocation_delay.mul_f64(MAX_VIEW_AGE_FRACTION);
        self.view_age().is_some_and(|age| age < bound)
    }

    /// Returns from how many partitions this instance reads callers' records as the owner.
    pub fn read_partitions(&self) -> u32 {
        readable_partitions(self.cfg.store_partitions)
    }

    /// Records from how many partitions an owner reads callers' records, as its record says.
    pub fn record_owner_reads(&self, partitions: u32) {
        let heard_at = self.now();
        *self.owner_reads.lock() = Some(OwnerReads { partitions, heard_at });
    }

    /// Returns the partition that takes a job's record now, and logs a change of their number.
    pub fn submission_partition(&self, id: &str) -> u32 {
        let (owner, now) = (*self.owner_reads.lock(), self.now());
        let settings = &self.cfg.settings.submissions;
        let partitions = settings.partitions_in_use(self.cfg.store_partitions, owner, now);
        let earlier = self.partitions_in_use.swap(partitions, Ordering::Relaxed);
        if earlier != partitions {
            self.metrics.set_submission_partitions(partitions);
            let age =
                owner.map_or(0, |reads| now.saturating_sub(reads.heard_at).as_millis() as u64);
            let fields = [
                ("partitions", partitions.into()),
                ("earlier", earlier.into()),
                ("owner_reads", owner.map_or(0, |reads| reads.partitions).into()),
                ("age_ms", age.into()),
            ];
            self.log.event(Event::SubmissionPartitions, &fields);
        }
        partition_of(id, partitions)
    }

    /// Records that a partition of callers' jobs was read up to its end.
    pub fn mark_jobs_read(&self, partition: u32, requested_at: Time) {
        self.jobs_read_at.lock().insert(partition, (requested_at, self.now()));
    }

    /// Returns up to when all records of callers' jobs are known; zero if a partition was never read.
    pub fn jobs_known_until(&self) -> Time {
        let read_at = self.jobs_read_at.lock();
        let requested = (0..self.read_partitions()).map(|n| read_at.get(&n).map(|(at, _)| *at));
        requested.min().flatten().unwrap_or_default()
    }

    /// Returns the longest time since any of these partitions of callers' jobs was read up to its end.
    fn partitions_read_age(&self, mut partitions: impl Iterator<Item = u32>) -> Duration {
        let read_at = self.jobs_read_at.lock();
        let oldest = partitions.try_fold(Time::MAX, |oldest, number| {
            read_at.get(&number).map(|(_, at)| oldest.min(*at))
        });
        oldest.map_or(Duration::MAX, |at| self.now().saturating_sub(at))
    }

    /// Returns the time since all of callers' jobs were read up to their end.
    pub fn jobs_read_age(&self) -> Duration {
        self.partitions_read_age(0..self.read_partitions())
    }

    /// Returns the time since the partitions that may hold a job were read up to their end.
    pub fn job_read_age(&self, id: &str) -> Duration {
        self.partitions_read_age(possible_partitions(id, self.read_partitions()))
    }

    /// Records that this instance accepted a job.
    pub fn add_recent_job(&self, id: &str) {
        let mut recent_jobs = self.recent_jobs.lock();
        let now = Instant::now();
        recent_jobs.retain(|_, at| now.duration_since(*at) < RECENT_JOB_RETENTION);
        recent_jobs.insert(id.into(), now);
    }

    /// Whether this instance accepted the job recently.
    pub fn is_recent_job(&self, id: &str) -> bool {
        self.recent_jobs.lock().get(id).is_some_and(|at| at.elapsed() < RECENT_JOB_RETENTION)
    }

    /// Returns the notification for a worker's poll loop.
    pub fn worker_wake(&self, worker: &Arc<str>) -> Arc<Notify> {
        self.worker_wakes.lock().entry(worker.clone()).or_default().clone()
    }

    /// Sets whether the store is reachable, and logs a change.
    pub fn set_store_reachable(&self, reachable: bool, error: &str) {
        if self.store_reachable.swap(reachable, Ordering::Relaxed) == reachable {
            return;
        }
        let age = self.view_age().unwrap_or_default().as_millis() as u64;
        if reachable {
            self.log.event(Event::StoreBack, &[("view_age_ms", age.into())]);
        } else {
            let fields = [("error", error.into()), ("view_age_ms", age.into())];
            self.log.event(Event::StoreLost, &fields);
        }
    }

    /// Logs and counts a record that is skipped, once however often it is read.
    pub fn log_unreadable<'a>(
        &self,
        partition: impl Into<Partition<'a>>,
        offset: u64,
        key: &str,
        error: &str,
    ) {
        let topic = partition.into().to_string();
        if self.unreadable_records.lock().insert(&topic, offset) {
            let fields = [
                ("topic", (&topic).into()),
                ("offset", offset.into()),
                ("key", key.into()),
                ("error", error.into()),
            ];
            self.log.event(Event::RecordUnreadable, &fields);
        }
    }

    /// Logs the owner's decisions.
    pub fn log_owner_events(&self, events: &[OwnerEvent]) {
        for event in events {
            self.log_owner_event(event);
        }
    }

    fn log_delay(&self, job: &JobId, delay: &Delay) {
        let ms = |d: &Duration| d.as_millis() as u64;
        match delay {
            Delay::BeyondRate { team, job_rate } => {
                self.metrics.record_job_delayed(DelayReason::BeyondRate);
                let fields =
                    [("job", job.into()), ("team", team.into()), ("job_rate", (*job_rate).into())];
                self.log.event(Event::BatchJobBeyondRate, &fields);
            }
            Delay::SetAside { pool, start_within, kept_time, set_aside_time } => {
                self.metrics.record_job_delayed(DelayReason::SetAside);
                let fields = [
                    ("job", job.into()),
                    ("pool", pool.into()),
                    ("start_within_ms", ms(start_within).into()),
                    ("kept_ms", ms(kept_time).into()),
                    ("set_aside_ms", ms(set_aside_time).into()),
                ];
                self.log.event(Event::BatchJobSetAside, &fields);
            }
        }
    }

    fn log_owner_event(&self, event: &OwnerEvent) {
        let ms = |d: &Duration| d.as_millis() as u64;
        match event {
            OwnerEvent::TaskPlaced { task, run, worker, job_age } => {
                let task = task.to_string();
                let fields = [
                    ("task", (&task).into()),
                    ("run", (*run).into()),
                    ("worker", worker.into()),
                    ("job_age_ms", ms(job_age).into()),
                ];
                self.log.event(Event::TaskPlaced, &fields);
            }
            OwnerEvent::RunEnded { task, run, worker, outcome } => {
                let (task, outcome) = (task.to_string(), format!("{outcome:?}").to_lowercase());
                let fields = [
                    ("task", (&task).into()),
                    ("run", (*run).into()),
                    ("worker", worker.into()),
                    ("how", (&outcome).into()),
                ];
                self.log.event(Event::RunEnded, &fields);
            }
            OwnerEvent::RunLost { task, run, worker, reason } => {
                let task = task.to_string();
                let fields = [
                    ("task", (&task).into()),
                    ("run", (*run).into()),
                    ("worker", worker.into()),
                    ("reason", (*reason).into()),
                ];
                self.log.event(Event::RunLost, &fields);
            }
            OwnerEvent::JobEnded { job, state, job_age } => {
                let state = format!("{state:?}").to_lowercase();
                let fields = [
                    ("job", job.into()),
                    ("state", (&state).into()),
                    ("job_age_ms", ms(job_age).into()),
                ];
                self.log.event(Event::BatchJobEnded, &fields);
            }
            OwnerEvent::JobDelayed { job, delay } => self.log_delay(job, delay),
            OwnerEvent::WorkerQuarantined { worker } => {
                self.log.event(Event::UpstreamSetAside, &[("instance", worker.into())]);
            }
            OwnerEvent::DrainStop { task, run, worker, time_left, has_room } => {
                let task = task.to_string();
                let fields = [
                    ("task", (&task).into()),
                    ("run", (*run).into()),
                    ("worker", worker.into()),
                    ("left_ms", ms(time_left).into()),
                    ("has_room", u64::from(*has_room).into()),
                ];
                self.log.event(Event::DrainStopOrdered, &fields);
            }
            OwnerEvent::WorkerDraining { worker, tasks, time_left } => {
                let fields = [
                    ("worker", worker.into()),
                    ("tasks", (*tasks).into()),
                    ("left_ms", ms(time_left).into()),
                ];
                self.log.event(Event::WorkerDraining, &fields);
            }
            OwnerEvent::WorkerRestarted { worker, earlier, incarnation, source } => {
                let source = match source {
                    RestartSource::Registry => "registry",
                    RestartSource::Report => "report",
                    RestartSource::StartClock => "start_clock",
                };
                let fields = [
                    ("worker", worker.into()),
                    ("earlier_incarnation", (*earlier).into()),
                    ("incarnation", (*incarnation).into()),
                    ("source", source.into()),
                ];
                self.log.event(Event::WorkerReborn, &fields);
            }
            OwnerEvent::WorkerLeaseExpired { worker, tasks, silent_for, lease } => {
                let fields = [
                    ("worker", worker.into()),
                    ("tasks", (*tasks).into()),
                    ("silent_ms", ms(silent_for).into()),
                    ("lease", lease.as_str().into()),
                ];
                self.log.event(Event::WorkerLapsed, &fields);
            }
            OwnerEvent::WorkerSilent {
                worker,
                incarnation,
                tasks,
                silent_for,
                lease,
                lease_left,
            } => {
                let fields = [
                    ("worker", worker.into()),
                    ("incarnation", (*incarnation).into()),
                    ("tasks", (*tasks).into()),
                    ("silent_ms", ms(silent_for).into()),
                    ("lease", lease.as_str().into()),
                    ("lease_ms", ms(lease_left).into()),
                ];
                self.log.event(Event::WorkerSilent, &fields);
            }
            OwnerEvent::WorkerStrayLease { worker, incarnation, source, lease_left } => {
                let fields = [
                    ("worker", worker.into()),
                    ("incarnation", (*incarnation).into()),
                    ("source", source.as_str().into()),
                    ("lease_ms", ms(lease_left).into()),
                ];
                self.log.event(Event::WorkerStrayLease, &fields);
            }
            OwnerEvent::WorkerListed { worker, machine, incarnation } => {
                let fields = [
                    ("worker", worker.into()),
                    ("machine", machine.into()),
                    ("incarnation", (*incarnation).into()),
                ];
                self.log.event(Event::WorkerListed, &fields);
            }
            OwnerEvent::WorkerCrashed { worker, earlier, incarnation, counts } => {
                self.metrics.record_worker_crash();
                let fields = [
                    ("worker", worker.into()),
                    ("earlier_incarnation", (*earlier).into()),
                    ("incarnation", (*incarnation).into()),
                    ("runs", counts.runs.into()),
                    ("started", counts.started.into()),
                    ("jobs", counts.jobs.into()),
                ];
                self.log.event(Event::WorkerCrashed, &fields);
            }
            OwnerEvent::JobGivenUp { task, crashes } => {
                self.metrics.record_job_given_up();
                let runs = crashes.iter().map(|(run, worker)| format!("{run} on {worker}"));
                let crashes = runs.collect::<Vec<_>>().join(", ");
                let name = task.to_string();
                let fields = [
                    ("job", (&task.job).into()),
                    ("task", (&name).into()),
                    ("crashes", (&crashes).into()),
                ];
                self.log.event(Event::BatchJobGivenUp, &fields);
            }
            OwnerEvent::MaintenanceBlocked { machine, blocker } => {
                let reason = format!("{blocker:?}");
                let fields = [("machine", machine.into()), ("reason", (&reason).into())];
                self.log.event(Event::UpkeepWaits, &fields);
            }
            OwnerEvent::BadRecord { key, error } => {
                let fields = [
                    ("topic", store::PROGRESS_TOPIC.into()),
                    ("key", key.into()),
                    ("error", error.into()),
                ];
                self.log.event(Event::RecordUnreadable, &fields);
            }
        }
    }
}
