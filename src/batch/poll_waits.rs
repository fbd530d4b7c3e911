//! For how long a worker may delay its response to a poll until a run ends.
//!
//! A long wait saves polls; while it is open whether a run has started, and while answers are lost, it hides what has
//! become of the worker's runs.

use crate::batch::job::{Phase, StartStatus, Step, TaskId};
use crate::batch::owner::{Owner, POLL_WAIT};
use crate::batch::worker::Worker;
use crate::ids::Time;
use std::time::Duration;

/// Like `POLL_WAIT`, while it is open whether a run has started: no end of a run tells that it has not.
const OPEN_START_POLL_WAIT: Duration = Duration::from_millis(200);
/// Time after which a start without a response counts as open; workers respond within a few ms.
const START_RESPONSE_TIME: Duration = Duration::from_millis(100);

impl Owner {
    /// Returns for how long a worker may delay its response to a poll that is sent now, until a run ends.
    pub fn poll_wait(&self, worker: &Worker, now: Time) -> Duration {
        let is_urgent = !worker.synced
            || worker.assigned.is_empty()
            || worker.last_processed > worker.last_stored
            || worker.unanswered_polls > 0
            || worker.lease_withheld;
        if is_urgent {
            Duration::ZERO
        } else if worker.assigned.keys().any(|task| self.is_start_open(task, now)) {
            OPEN_START_POLL_WAIT
        } else {
            POLL_WAIT
        }
    }

    /// Returns the wait of `poll_wait` with `lossy_wait` as the longest one, for use while answers are lost. Polls of
    /// long-running tasks stay as they are: their jobs wait for no end, and a stop that is sent sooner may end one at
    /// work whose start took effect late.
    pub fn lossy_poll_wait(&self, worker: &Worker, lossy_wait: Duration, now: Time) -> Duration {
        let wait = self.poll_wait(worker, now);
        let is_long_running = |task: &TaskId| self.step_of(task).is_some_and(|s| s.long_running);
        let ends = worker.assigned.keys().any(|task| !is_long_running(task));
        let starts_long =
            worker.assigned.keys().any(|task| is_long_running(task) && !self.has_started(task));
        if ends && !starts_long { wait.min(lossy_wait) } else { wait }
    }

    fn has_started(&self, id: &TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        matches!(task.map(|t| &t.phase), Some(Phase::Assigned(a)) if a.start == StartStatus::Started)
    }

    /// Whether it should be known by now whether the current run of a task has started, and is not. Long-running tasks
    /// do not count: a stop that is sent sooner may end one at work whose start took effect late.
    fn is_start_open(&self, id: &TaskId, now: Time) -> bool {
        if self.step_of(id).is_some_and(|s: &Step| s.long_running) {
            return false;
        }
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let Some(Phase::Assigned(assignment)) = task.map(|t| &t.phase) else { return false };
        assignment.start != StartStatus::Started
            && now >= assignment.assigned_at + START_RESPONSE_TIME
    }
}
