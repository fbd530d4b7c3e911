//! What the owner wants done, and what workers answer.

use crate::batch::job::{JobSpec, TaskId, WorkerId};
use crate::ids::Time;
use std::sync::Arc;
use std::time::Duration;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    pub spec: Arc<JobSpec>,
    /// Empty for none.
    pub checkpoint: Arc<str>,
}

/// An order to a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
}

/// Sets the speed of a task that uses what others leave.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    /// Share of the full speed, 0 to 100.
    pub speed_percent: u32,
}

/// Orders that may be sent now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    pub paces: Vec<PaceOrder>,
}

/// Clock of a worker, since its start.
pub type WorkerTime = Duration;

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// A newer owner has given orders.
    Fenced,
    /// This run, or a later one, ended or was stopped there.
    Over,
    /// The lease was over on arrival.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket is missing or too old.
    NoTicket,
    /// The worker takes nothing now; it did nothing.
    Busy,
    /// The address belongs to another worker now.
    OtherWorker,
    /// The order was not sent, so that it cannot take effect.
    NotSent,
    /// Without an answer: it may have taken effect, or may still.
    Unknown,
    /// The worker does not understand the order; it did nothing.
    Malformed,
}

impl StartOutcome {
    /// What is known after the order was sent again: one without an answer may still take effect,
    /// unless the worker has the run by now.
    pub fn merge_retry(self, retry: StartOutcome) -> StartOutcome {
        match (self, retry) {
            (_, StartOutcome::Started | StartOutcome::Over) => retry,
            (StartOutcome::Unknown, _) => StartOutcome::Unknown,
            _ => retry,
        }
    }
}

/// A task that runs, as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    pub task: Option<TaskId>,
    /// Name as listed, for a stop of what has no id that can be read.
    pub name: Arc<str>,
    pub run: u32,
    pub checkpoint: Arc<str>,
    pub speed_percent: u32,
    /// Tail of response times in ms of a task that serves, thousandths of a processor for another.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    Done,
    Failed,
    Stopped,
    /// The lease was over.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// A run that ended, as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRun {
    /// Position in the worker's list, from 1.
    pub index: u64,
    pub task: Option<TaskId>,
    pub run: u32,
    pub outcome: RunOutcome,
    pub checkpoint: Arc<str>,
}

/// A worker's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerReport {
    /// When the worker started; tells two lives of one id apart.
    pub incarnation: u64,
    pub clock: WorkerTime,
    pub running: Vec<RunningTask>,
    pub finished: Vec<FinishedRun>,
    /// When the question was sent.
    pub requested_at: Time,
}
