//! Orders that the owner sends to workers, and what workers report back.

use crate::batch::job::{JobSpec, StartStatus, TaskId, WorkerId};
use crate::ids::Time;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Order to start a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    pub spec: Arc<JobSpec>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Fencing token of the worker when the run was assigned to it.
    pub fence: u64,
    /// Incarnation of the worker to which the run was assigned; 0 if it is not known. No other one may get
    /// the order.
    pub incarnation: u64,
}

/// Order to stop a run of a task.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
}

/// Order to set the speed of a best-effort task.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    /// Percentage of full speed, 0 to 100.
    pub speed_percent: u32,
}

/// Orders that are ready to be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    pub paces: Vec<PaceOrder>,
}

impl Orders {
    /// Removes the start orders and returns them by worker.
    pub fn take_starts(&mut self) -> IndexMap<WorkerId, Vec<StartOrder>> {
        let mut by_worker: IndexMap<WorkerId, Vec<StartOrder>> = IndexMap::new();
        for start in std::mem::take(&mut self.starts) {
            by_worker.entry(start.worker.clone()).or_default().push(start);
        }
        by_worker
    }
}

/// Time on a worker's clock, measured from the worker's start.
pub type WorkerTime = Duration;

/// Result of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run has started.
    Started,
    /// Rejected: the worker has accepted an order with a higher fencing token.
    Fenced,
    /// This run or a later one has already ended or been stopped on the worker.
    Over,
    /// The lease had expired when the order arrived.
    Late,
    /// The worker lacks the resources.
    NoRoom,
    /// The ticket is missing or expired.
    NoTicket,
    /// The worker is overloaded and did not process the order.
    Busy,
    /// The address now belongs to another worker.
    OtherWorker,
    /// The worker has restarted since the run was assigned to it. The order was not sent.
    Restarted,
    /// The order was not sent and cannot take effect.
    NotSent,
    /// No response: the order may have taken effect, or may still do so.
    Unknown,
    /// The worker could not parse the order and did not process it.
    Malformed,
}

impl StartOutcome {
    /// Returns what the outcome tells about the run; `None` if the run has not started and cannot any more.
    pub fn start_status(self) -> Option<StartStatus> {
        match self {
            StartOutcome::Started => Some(StartStatus::Started),
            // The run may have ended, or been stopped before it started.
            StartOutcome::Over | StartOutcome::Unknown => Some(StartStatus::Unanswered),
            StartOutcome::Fenced
            | StartOutcome::Late
            | StartOutcome::NoRoom
            | StartOutcome::NoTicket
            | StartOutcome::Busy
            | StartOutcome::OtherWorker
            | StartOutcome::Restarted
            | StartOutcome::NotSent
            | StartOutcome::Malformed => None,
        }
    }

    /// Combines the outcome with that of a retry of the same order. After an unknown outcome, the
    /// first order may still take effect even if the retry is rejected, so only a confirmation that
    /// the worker knows the run settles it.
    pub fn merge_retry(self, retry: StartOutcome) -> StartOutcome {
        match (self, retry) {
            (_, StartOutcome::Started | StartOutcome::Over) => retry,
            (StartOutcome::Unknown, _) => StartOutcome::Unknown,
            _ => retry,
        }
    }
}

/// A running task in a worker's report.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    pub task: Option<TaskId>,
    /// Name of the task as reported, also if it is not a valid task id.
    pub name: Arc<str>,
    pub run: u32,
    pub checkpoint: Arc<str>,
    pub speed_percent: u32,
    /// Tail latency in ms for a task that serves requests; processor use in thousandths of a
    /// processor for other tasks.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    Done,
    Failed,
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start.
    Alone,
}

/// A finished run in a worker's report.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRun {
    /// Position in the worker's list of finished runs, starting at 1.
    pub index: u64,
    pub task: Option<TaskId>,
    pub run: u32,
    pub outcome: RunOutcome,
    pub checkpoint: Arc<str>,
}

/// Running tasks and finished runs of a worker, as returned by a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerReport {
    /// Start time of the worker process; distinguishes processes that share a worker id.
    pub incarnation: u64,
    pub clock: WorkerTime,
    pub running: Vec<RunningTask>,
    pub finished: Vec<FinishedRun>,
    /// Whether more runs may have finished than `finished` lists.
    pub more_finished: bool,
    /// When the poll was sent.
    pub requested_at: Time,
    /// Fencing token that the poll carried.
    pub fence: u64,
}

/// Whether two incarnations of a worker are the same, as far as they are known: 0 stands for one that is not.
pub fn is_same(a: u64, b: u64) -> bool {
    a == b || a == 0 || b == 0
}
