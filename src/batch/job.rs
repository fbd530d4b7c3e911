//! Jobs, their steps, and the tasks of each step.

use crate::batch::declarations::{Declarations, Queue};
use crate::batch::wall_clock::Moment;
use crate::fair::Resources;
use crate::ids::{JobId, TeamId, Time};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of tasks per job in open occurrences, unless a single one has more.
pub const MAX_OPEN_TASKS: u64 = 5_000;
/// Maximum number of open occurrences per job, which bounds those without tasks that begin in one pass.
const MAX_OPEN_OCCURRENCES: u64 = 1_000;

/// Name of a queue: a route whose requests are jobs.
pub type QueueId = Arc<str>;
/// Name of a worker: a process on a machine in one pool.
pub type WorkerId = Arc<str>;

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobSpec {
    /// Passed unchanged to every task.
    pub payload: Arc<str>,
    pub steps: Vec<Step>,
    /// Number of scheduled occurrences of the steps; 0 for a job that runs once, immediately.
    pub repeats: u32,
    /// Due time of the first occurrence, since the Unix epoch.
    pub first_at: Duration,
    /// Time between the due times of consecutive occurrences.
    pub interval: Duration,
}

impl JobSpec {
    /// Returns when an occurrence is due, since the Unix epoch.
    pub fn due_time(&self, occurrence: u32) -> Duration {
        let since_first = self.interval.checked_mul(occurrence).unwrap_or(Duration::MAX);
        self.first_at.saturating_add(since_first)
    }
}

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    pub count: u32,
    /// Resources that one task uses on a worker.
    pub resources: Resources,
    /// Run time declared by the caller; often inaccurate.
    pub estimate: Duration,
    /// Steps that must be done before this one starts; indexes below `JobSpec::steps.len()`.
    pub after: Vec<u32>,
    /// Gang scheduling: all tasks start together or not at all.
    pub gang: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Preferred rack: the one that holds the data.
    pub data_rack: Option<Arc<str>>,
    /// All tasks should run on the same rack.
    pub same_rack: bool,
    /// Maximum number of tasks of one occurrence on a single worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Several copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Limit for the tail latency of a long-running task; zero for none.
    pub tail_latency_target: Duration,
    /// The tasks use only processor capacity that other tasks leave idle, so their processors are
    /// not reserved.
    pub best_effort: bool,
    /// Maximum number of tasks that maintenance and moves may make unavailable at once; `None` if
    /// the step declares no such tolerance.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Resources that a task reserves on its worker.
    pub fn reservation(&self) -> Resources {
        if self.best_effort {
            Resources { processors: 0, ..self.resources }
        } else {
            self.resources
        }
    }
}

/// Identifies a task by job, occurrence, step and index.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u32,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Job state as shown to callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    Queued,
    Running,
    Complete,
    Failed,
    Cancelled,
}

impl JobState {
    /// Whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Complete | JobState::Failed | JobState::Cancelled)
    }
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    #[default]
    Waiting,
    /// Ordered to start on a worker: it runs there, or may start.
    Assigned(Assignment),
    Done,
}

/// Process of a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerProcess {
    /// Start time; 0 if it is not known.
    pub incarnation: u64,
    /// Machine that it runs on; empty if it is not known.
    pub machine: Arc<str>,
}

/// What the owner knows about whether a run has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartStatus {
    /// The order waits to be sent, or for its response.
    InFlight,
    /// The order got no response, or one that does not tell.
    Unanswered,
    /// An earlier owner decided on the run; it may not have sent the order.
    Inherited,
    /// The worker has confirmed the start or listed the run.
    Started,
}

/// Assignment of a task's run to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    pub worker: WorkerId,
    pub process: WorkerProcess,
    pub assigned_at: Time,
    pub start: StartStatus,
    /// Attempts to send the start that have no answer; any of them may still be carried out.
    pub open_attempts: u32,
    /// When the worker confirmed the start; `None` while the start order may still be in flight.
    pub confirmed_at: Option<Time>,
    /// A stop order was issued.
    pub stop_ordered: bool,
    /// Speed as a percentage of full speed, as reported by the worker. Below 100, the task counts
    /// as unavailable.
    pub speed_percent: u32,
    /// Since when the task has run at full speed.
    pub full_speed_since: Option<Time>,
}

/// Workers that crashed under runs of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskCrashes {
    /// All crashes; at least `blamed`.
    pub total: u32,
    /// Crashes soon after the run began, and at a time at which few other workers were lost.
    pub blamed: u32,
    /// Crashes under runs that the worker had confirmed.
    pub confirmed: u32,
    /// Latest run that is counted. Later evidence of the same crash is not counted again.
    pub last_run: u32,
}

/// State of a task as known to the owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    pub phase: Phase,
    /// Number of the latest run; increases with each start.
    pub run: u32,
    /// Number of failed runs.
    pub failed_runs: u32,
    /// Latest run counted in `failed_runs`. A worker may report the same end more than once.
    pub last_failed_run: u32,
    /// Crashes of workers under runs of the task, since one ended otherwise.
    pub crashes: TaskCrashes,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Worker on which the last run was lost or failed; the next start avoids it.
    pub avoid_worker: Option<WorkerId>,
    /// Earliest time of the next start.
    pub not_before: Time,
    /// When the task was last taken off a worker.
    pub unavailable_since: Option<Time>,
}

/// All tasks of a job's steps, for one due time or for a job that runs once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Occurrence {
    pub number: u32,
    /// `steps[s][i]` is task `i` of step `s`.
    pub steps: Vec<Vec<Task>>,
}

impl Occurrence {
    /// Creates an occurrence in which no task has started.
    pub fn new(number: u32, spec: &JobSpec) -> Occurrence {
        let steps = spec.steps.iter().map(|s| vec![Task::default(); s.count as usize]).collect();
        Occurrence { number, steps }
    }

    /// Whether all tasks of a step are done.
    pub fn is_step_done(&self, step: u32) -> bool {
        self.steps.get(step as usize).is_some_and(|s| s.iter().all(|t| t.phase == Phase::Done))
    }

    /// Whether any task is assigned to a worker.
    pub fn is_assigned(&self) -> bool {
        self.steps.iter().flatten().any(|t| matches!(t.phase, Phase::Assigned(_)))
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|s| self.is_step_done(s as u32))
    }
}

/// State of a job as known to the owner.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub queue: QueueId,
    /// The queue as it was declared when the job was accepted; `None` if that is not known.
    pub accepted_queue: Option<Arc<Queue>>,
    /// `None` if the job came without a key on a public queue.
    pub team: Option<TeamId>,
    /// When this owner first saw the job, by its own clock.
    pub first_seen_at: Time,
    /// Current state; may not be stored yet.
    pub state: JobState,
    /// State shown to callers; stored, if it is final.
    pub published_state: JobState,
    /// Occurrences that have begun and are not done.
    pub open_occurrences: Vec<Occurrence>,
    /// Number of occurrences that have begun.
    pub begun_occurrences: u32,
    /// Whether a worker has begun a task. Stored with the next change; until then, reports of workers tell
    /// it to the next owner.
    pub any_task_started: bool,
    /// It arrived beyond the rate of its team. Not known to later owners.
    pub is_beyond_rate: bool,
    /// Until when it may be set aside for lack of room; `None` if it never was. Not known to later owners.
    pub set_aside_until: Option<Time>,
    /// When the job reached its final state.
    pub ended_at: Option<Moment>,
    /// The record from which the job was restored leaves its tasks to records of their own.
    pub is_split: bool,
    /// For each step, the sum of the declared run times along the longest chain of dependent steps
    /// that begins with it.
    remaining_path: Vec<Duration>,
}

impl Job {
    /// Creates a job that has just been accepted.
    pub fn new(spec: Arc<JobSpec>, queue: QueueId, team: Option<TeamId>, now: Time) -> Job {
        let state = JobState::Queued;
        Job {
            remaining_path: remaining_path(&spec.steps),
            spec,
            queue,
            accepted_queue: None,
            team,
            first_seen_at: now,
            state,
            published_state: state,
            open_occurrences: Vec::new(),
            begun_occurrences: 0,
            any_task_started: false,
            is_beyond_rate: false,
            set_aside_until: None,
            ended_at: None,
            is_split: false,
        }
    }

    /// Returns the queue by which the job is run: as declared now, or as it was when the job was accepted if it
    /// is no longer declared.
    pub fn queue_in<'a>(&'a self, declarations: &'a Declarations) -> Option<&'a Queue> {
        declarations.queue(&self.queue).or(self.accepted_queue.as_deref())
    }

    /// Returns the number of failed runs of a task after which the job fails: what was declared when the job
    /// was accepted. `None` if it is not known.
    pub fn max_attempts(&self, declarations: &Declarations) -> Option<u32> {
        let queue = self.accepted_queue.as_deref().or_else(|| declarations.queue(&self.queue));
        queue.map(|queue| queue.max_attempts)
    }

    /// Sum of the declared run times along the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        self.remaining_path.iter().max().copied().unwrap_or_default()
    }

    /// Like `critical_path`, for the chains that begin with a step.
    pub fn remaining_path(&self, step: usize) -> Duration {
        self.remaining_path.get(step).copied().unwrap_or_default()
    }

    /// Total number of occurrences.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.repeats.max(1)
    }

    /// Whether the next occurrence may begin once it is due. If many are due, it waits for earlier ones.
    pub fn may_begin_occurrence(&self) -> bool {
        let tasks = self.spec.steps.iter().map(|s| u64::from(s.count)).sum::<u64>();
        let open = self.open_occurrences.len() as u64;
        let has_room = open < MAX_OPEN_OCCURRENCES && (open + 1) * tasks <= MAX_OPEN_TASKS;
        !self.state.is_final()
            && self.begun_occurrences < self.occurrence_count()
            && (open == 0 || has_room)
    }

    /// Whether the job is unfinished and none of its tasks has started.
    pub fn is_pending(&self) -> bool {
        !self.any_task_started && !self.state.is_final()
    }

    /// Returns the task with this id if its occurrence is open.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.open_occurrences.iter().find(|o| o.number == id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.get(id.index as usize)
    }

    /// Returns the task with this id for modification if its occurrence is open.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let occurrence = self.open_occurrences.iter_mut().find(|o| o.number == id.occurrence)?;
        occurrence.steps.get_mut(id.step as usize)?.get_mut(id.index as usize)
    }
}

fn remaining_path(steps: &[Step]) -> Vec<Duration> {
    let mut paths: Vec<Duration> = steps.iter().map(|s| s.estimate).collect();
    // Steps depend only on earlier ones; the parser enforces this.
    for (index, step) in steps.iter().enumerate().rev() {
        for earlier in step.after.iter().map(|s| *s as usize).filter(|s| *s < index) {
            let path = steps[earlier].estimate.saturating_add(paths[index]);
            paths[earlier] = paths[earlier].max(path);
        }
    }
    paths
}
