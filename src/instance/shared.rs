//! Tables of one process.
//!
//! Lock order: `owner` before `term`, `term` before `view`, `view` before `lead`, `lead` before `recent`; no lock is held
//! across an await.

use crate::batch::declarations::ActiveConfig;
use crate::batch::owner::{Owner, OwnerEvent};
use crate::event::{Event, Log};
use crate::ids::{EntryId, JobId, Time, ZoneId};
use crate::instance::boottime;
use crate::instance::config::InstanceConfig;
use crate::instance::intake::Intake;
use crate::metrics::Metrics;
use crate::platform::http::Http;
use crate::platform::runner::Runners;
use crate::platform::store::Store;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Part of the time for withdrawals in which a view must have been confirmed; the rest is for the
/// request to be answered.
const REVOKE_SHARE: f64 = 0.85;
/// A job accepted here is known here at least this long; the owner reads it within a second.
const RECENT_FOR: Duration = Duration::from_secs(10);

/// Who owns the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Leader {
    pub term: u64,
    /// Which life of the instance.
    pub life: u64,
    pub name: EntryId,
    pub zone: ZoneId,
    /// Where it answers other instances, `IP:PORT`.
    pub peers: String,
}

/// Operators' declarations as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub active_config: Arc<ActiveConfig>,
    /// When the last answer was asked for that showed that nothing is missing, since boot.
    pub confirmed: Option<Duration>,
}

/// Tables of one process.
pub struct Shared {
    pub cfg: InstanceConfig,
    /// Drawn at random at the start; tells two lives of one instance apart.
    pub life: u64,
    pub log: Log,
    pub metrics: Arc<Metrics>,
    pub http: Http,
    pub store: Store,
    pub runners: Runners,
    pub intake: Arc<Intake>,
    started: Instant,
    /// Present while this instance owns the decisions.
    pub owner: Mutex<Option<Owner>>,
    /// The term in which this instance gives orders.
    pub term: Mutex<Option<u64>>,
    pub view: Mutex<View>,
    pub lead: Mutex<Option<Leader>>,
    /// When the owner's last read of callers' jobs was answered.
    jobs_read: Mutex<Option<Instant>>,
    /// Jobs accepted here a short time ago.
    recent: Mutex<IndexMap<JobId, Instant>>,
    /// Something changed that the owner decides on.
    pub wake: Notify,
    /// A batch of decisions was stored.
    pub committed: Notify,
    /// Ends were stored; workers wait for their acknowledgement.
    pub stored: WorkerWakes,
    /// The process was asked to stop.
    pub stopping: AtomicBool,
    /// The store answered this instance's last call.
    pub store_answers: AtomicBool,
}

/// Wake-ups by worker.
pub type WorkerWakes = Mutex<HashMap<Arc<str>, Arc<Notify>>>;

impl Shared {
    /// Tables of a process that has just started.
    pub fn new(cfg: InstanceConfig, log: Log, metrics: Arc<Metrics>, http: Http) -> Shared {
        Shared {
            store: Store::new(http.clone(), cfg.store.clone()),
            runners: Runners::new(http.clone()),
            intake: Arc::new(Intake::default()),
            cfg,
            life: rand::rng().random(),
            log,
            metrics,
            http,
            started: Instant::now(),
            owner: Mutex::new(None),
            term: Mutex::new(None),
            view: Mutex::new(View::default()),
            lead: Mutex::new(None),
            jobs_read: Mutex::new(None),
            recent: Mutex::new(IndexMap::new()),
            wake: Notify::new(),
            committed: Notify::new(),
            stored: Mutex::new(HashMap::new()),
            stopping: AtomicBool::new(false),
            store_answers: AtomicBool::new(false),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// What operators have in force.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.view.lock().active_config.clone()
    }

    /// Age of the view of the operators' declarations; `None` without one.
    pub fn view_age(&self) -> Option<Duration> {
        let confirmed = self.view.lock().confirmed?;
        Some(boottime::now().saturating_sub(confirmed))
    }

    /// Whether the view is young enough to accept a key, which may have been withdrawn since.
    pub fn keys_are_fresh(&self) -> bool {
        let bound = self.cfg.bounds.max_revocation_delay.mul_f64(REVOKE_SHARE);
        self.view_age().is_some_and(|age| age < bound)
    }

    /// Notes that callers' jobs were read to their end.
    pub fn jobs_were_read(&self) {
        *self.jobs_read.lock() = Some(Instant::now());
    }

    /// Time since callers' jobs were read to their end.
    pub fn jobs_age(&self) -> Duration {
        self.jobs_read.lock().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Notes a job that was accepted here.
    pub fn remember(&self, id: &str) {
        let mut recent = self.recent.lock();
        let now = Instant::now();
        recent.retain(|_, at| now.duration_since(*at) < RECENT_FOR);
        recent.insert(id.into(), now);
    }

    /// Whether a job was accepted here a short time ago.
    pub fn is_recent(&self, id: &str) -> bool {
        self.recent.lock().get(id).is_some_and(|at| at.elapsed() < RECENT_FOR)
    }

    /// The wake-up of a worker's loop.
    pub fn worker_wake(&self, worker: &Arc<str>) -> Arc<Notify> {
        self.stored.lock().entry(worker.clone()).or_default().clone()
    }

    /// Notes whether the store answers, and logs a change.
    pub fn store_answered(&self, answers: bool, error: &str) {
        if self.store_answers.swap(answers, Ordering::Relaxed) == answers {
            return;
        }
        let age = self.view_age().unwrap_or_default().as_millis() as u64;
        if answers {
            self.log.event(Event::StoreBack, &[("view_age_ms", age.into())]);
        } else {
            let fields = [("error", error.into()), ("view_age_ms", age.into())];
            self.log.event(Event::StoreLost, &fields);
        }
    }

    /// Logs the owner's decisions.
    pub fn log_owner_events(&self, owner_events: &[OwnerEvent]) {
        for owner_event in owner_events {
            self.log_owner_event(owner_event);
        }
    }

    fn log_owner_event(&self, owner_event: &OwnerEvent) {
        let ms = |d: &Duration| d.as_millis() as u64;
        match owner_event {
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
            OwnerEvent::WorkerQuarantined { worker } => {
                self.log.event(Event::UpstreamSetAside, &[("instance", worker.into())]);
            }
            OwnerEvent::WorkerRestarted { worker } => {
                self.log.event(Event::WorkerReborn, &[("worker", worker.into())]);
            }
            OwnerEvent::WorkerLeaseExpired { worker, tasks } => {
                let fields = [("worker", worker.into()), ("tasks", (*tasks).into())];
                self.log.event(Event::WorkerLapsed, &fields);
            }
            OwnerEvent::MaintenanceBlocked { machine, blocker } => {
                let reason = format!("{blocker:?}");
                let fields = [("machine", machine.into()), ("reason", (&reason).into())];
                self.log.event(Event::UpkeepWaits, &fields);
            }
            OwnerEvent::BadRecord { error } => {
                self.log.event(Event::RecordUnreadable, &[("error", error.into())]);
            }
        }
    }
}
