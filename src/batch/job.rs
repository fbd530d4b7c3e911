//! Jobs, their steps and the tasks that the steps consist of.

use crate::fair::Resources;
use crate::ids::{JobId, TeamId, Time};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Name of a queue: a route whose requests are jobs.
pub type QueueId = Arc<str>;
/// Name of a worker: one life of a machine in a pool.
pub type WorkerId = Arc<str>;

/// What a caller submits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobSpec {
    /// Passed to every task unchanged.
    pub payload: Arc<str>,
    pub steps: Vec<Step>,
    /// Times that the steps run on a schedule; 0 for a job that runs once, at once.
    pub repeats: u32,
    /// Due time of the first occurrence, since the Unix epoch.
    pub first_at: Duration,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
}

/// Tasks of one kind in a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    pub count: u32,
    /// What one task takes up on a worker.
    pub resources: Resources,
    /// Declared run time, often far off.
    pub estimate: Duration,
    /// Steps whose tasks must all be done first; indexes below `JobSpec::steps.len()`.
    pub after: Vec<u32>,
    /// The tasks work only all together.
    pub gang: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub data_rack: Option<Arc<str>>,
    /// All tasks belong on one rack.
    pub same_rack: bool,
    /// Most tasks of an occurrence on one worker; 0 for no bound.
    pub max_per_worker: u32,
    /// Copies of a task may run side by side.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tail of response times that a lasting task must stay below; zero for none.
    pub tail_latency_target: Duration,
    /// Uses only capacity that other tasks leave; its processors are not counted.
    pub best_effort: bool,
    /// Tasks that may be unavailable at once because of the system's own actions; `None` where the
    /// step has no such tolerance to keep.
    pub may_miss: Option<u32>,
}

impl Step {
    /// What a task takes up in a worker's room.
    pub fn reservation(&self) -> Resources {
        if self.best_effort {
            Resources { processors: 0, ..self.resources }
        } else {
            self.resources
        }
    }
}

/// One task: which job, occurrence, step and index.
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

/// What callers are shown of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    Queued,
    Running,
    Complete,
    Failed,
    Cancelled,
}

impl JobState {
    /// Whether the job will never run again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Complete | JobState::Failed | JobState::Cancelled)
    }
}

/// Where a task is.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    #[default]
    Waiting,
    /// Ordered at a worker: it runs there, or may.
    Assigned(Assignment),
    Done,
}

/// A run of a task at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    pub worker: WorkerId,
    pub assigned_at: Time,
    /// When the worker confirmed the start; `None` while the order may still be on its way.
    pub confirmed_at: Option<Time>,
    /// A stop was ordered.
    pub stop_ordered: bool,
    /// Part of the full speed in percent, as the worker reports it; 100 is at work.
    pub speed_percent: u32,
    /// Since when it works at full speed.
    pub full_speed_since: Option<Time>,
}

/// One task as the owner knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    pub phase: Phase,
    /// Highest number used for a start; rises with each start.
    pub run: u32,
    /// Runs that ended failed.
    pub failed_runs: u32,
    /// Highest run that was counted in `failed`; a worker may list an end again.
    pub last_failed_run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Worker of the last run that did not end well; avoided by the next start.
    pub avoid_worker: Option<WorkerId>,
    /// No start before this time.
    pub not_before: Time,
    /// When it last ceased to be at work.
    pub unavailable_since: Option<Time>,
}

/// All tasks of the steps, once or for one due time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Occurrence {
    pub number: u32,
    /// `steps[s][i]` is task `i` of step `s`.
    pub steps: Vec<Vec<Task>>,
}

impl Occurrence {
    /// An occurrence of which nothing has started.
    pub fn new(number: u32, spec: &JobSpec) -> Occurrence {
        let steps = spec.steps.iter().map(|s| vec![Task::default(); s.count as usize]).collect();
        Occurrence { number, steps }
    }

    /// Whether all tasks of a step are done.
    pub fn is_step_done(&self, step: u32) -> bool {
        self.steps.get(step as usize).is_some_and(|s| s.iter().all(|t| t.phase == Phase::Done))
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|s| self.is_step_done(s as u32))
    }
}

/// A job as the owner knows it.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub queue: QueueId,
    /// `None` on a queue open to all when no key came with the job.
    pub team: Option<TeamId>,
    /// When the owner first knew of it, by its own clock.
    pub first_seen_at: Time,
    /// Decided state; shown to callers once it is stored.
    pub state: JobState,
    /// Stored state.
    pub published_state: JobState,
    /// Occurrences begun and not over.
    pub open_occurrences: Vec<Occurrence>,
    /// Occurrences that were begun.
    pub begun_occurrences: u32,
    /// A task of it has started.
    pub any_task_started: bool,
    /// When it got its final state.
    pub ended_at: Option<Time>,
}

impl Job {
    /// A job that has just been accepted.
    pub fn new(spec: Arc<JobSpec>, queue: QueueId, team: Option<TeamId>, now: Time) -> Job {
        let state = JobState::Queued;
        Job {
            spec,
            queue,
            team,
            first_seen_at: now,
            state,
            published_state: state,
            open_occurrences: Vec::new(),
            begun_occurrences: 0,
            any_task_started: false,
            ended_at: None,
        }
    }

    /// Occurrences in all.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.repeats.max(1)
    }

    /// The task with this id, if its occurrence is open.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.open_occurrences.iter().find(|o| o.number == id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.get(id.index as usize)
    }

    /// The task with this id, to be changed.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let occurrence = self.open_occurrences.iter_mut().find(|o| o.number == id.occurrence)?;
        occurrence.steps.get_mut(id.step as usize)?.get_mut(id.index as usize)
    }
}
