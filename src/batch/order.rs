//! What the owner wants done, and what workers answer.

use crate::batch::job::{JobSpec, TaskId, WorkerId};
use crate::ids::Time;
use std::sync::Arc;
use std::time::Duration;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    pub spec: Arc<JobSpec>,
    /// Empty for none.
    pub checkpoint: Arc<str>,
}

/// An order to a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Stop {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
}

/// Sets the speed of a task that uses what others leave.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u32,
    /// Share of the full speed, 0 to 100.
    pub percent: u32,
}

/// Orders that may be sent now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    pub starts: Vec<Start>,
    pub stops: Vec<Stop>,
    pub paces: Vec<Pace>,
}

/// Clock of a worker, since its start.
pub type WorkerClock = Duration;

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
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

impl StartAnswer {
    /// What is known after the order was sent again: one without an answer may still take effect,
    /// unless the worker has the run by now.
    pub fn then(self, again: StartAnswer) -> StartAnswer {
        match (self, again) {
            (_, StartAnswer::Started | StartAnswer::Over) => again,
            (StartAnswer::Unknown, _) => StartAnswer::Unknown,
            _ => again,
        }
    }
}

/// A task that runs, as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    pub task: Option<TaskId>,
    /// Name as listed, for a stop of what has no id that can be read.
    pub name: Arc<str>,
    pub run: u32,
    pub checkpoint: Arc<str>,
    pub percent: u32,
    /// Tail of response times in ms of a task that serves, thousandths of a processor for another.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum How {
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
pub struct Ended {
    /// Position in the worker's list, from 1.
    pub number: u64,
    pub task: Option<TaskId>,
    pub run: u32,
    pub how: How,
    pub checkpoint: Arc<str>,
}

/// A worker's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    /// When the worker started; tells two lives of one id apart.
    pub born: u64,
    pub clock: WorkerClock,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
    /// When the question was sent.
    pub asked_at: Time,
}
