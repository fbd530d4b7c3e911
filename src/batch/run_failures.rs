//! Which failed runs count against their worker, and which against their job.
//!
//! A worker that fails what others complete must get no starts for a while. A job that fails everywhere says
//! nothing of the workers that tried it: the failures of a task that has failed on two workers count against
//! neither, and those of a step against no worker once it has failed on most workers that ran it and nowhere
//! succeeded.

use crate::batch::job::{Occurrence, Phase, Task, TaskId, WorkerId};
use crate::batch::maintenance::{StepKey, is_at_work, step_key};
use crate::batch::owner::{Owner, OwnerEvent};
use crate::ids::{JobId, Time};
use indexmap::{IndexMap, IndexSet};

/// Workers on which a task or a step must have failed to be the cause itself.
const MIN_FAILED_WORKERS: usize = 2;

/// Failed runs of a step, none of whose tasks has succeeded since.
#[derive(Clone, Debug, Default)]
struct StepFailures {
    /// Workers on which runs failed, with the indexes of their tasks.
    workers: IndexMap<WorkerId, IndexSet<u32>>,
    /// The step is the cause: it fails on most workers.
    is_cause: bool,
}

/// Failed runs of all steps that are open, as far as this owner has seen them.
#[derive(Clone, Debug, Default)]
pub(super) struct RunFailures {
    steps: IndexMap<StepKey, StepFailures>,
}

impl RunFailures {
    /// Forgets the failures of a job that has ended.
    pub(super) fn drop_job(&mut self, job: &JobId) {
        self.steps.retain(|(id, ..), _| id != job);
    }

    /// Forgets the failures of a job's occurrences that are not `open`.
    pub(super) fn keep_open(&mut self, job: &JobId, open: &[Occurrence]) {
        let is_open = |number: u32| open.iter().any(|o| o.number == number);
        self.steps.retain(|(id, number, _), _| id != job || is_open(*number));
    }
}

impl Owner {
    /// Records that a worker has completed a task.
    pub(super) fn record_run_success(&mut self, worker: &WorkerId, id: &TaskId) {
        self.run_failures.steps.swap_remove(&step_key(id));
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.record_success();
        }
    }

    /// Records that a run of a task failed on a worker. Counts it against the worker unless the task or its
    /// step is the cause.
    pub(super) fn record_run_failure(&mut self, worker: &WorkerId, id: &TaskId, now: Time) {
        let key = step_key(id);
        let step = self.run_failures.steps.entry(key.clone()).or_default();
        step.workers.entry(worker.clone()).or_default().insert(id.index);
        if step.is_cause {
            return;
        }
        let has_task = |tasks: &IndexSet<u32>| tasks.contains(&id.index);
        if step.workers.values().filter(|tasks| has_task(tasks)).count() >= MIN_FAILED_WORKERS {
            let failed_on: Vec<WorkerId> =
                step.workers.iter().filter(|(_, t)| has_task(t)).map(|(w, _)| w.clone()).collect();
            self.exonerate(&failed_on, |task| task == id);
            return;
        }
        let failed_on: Vec<WorkerId> = step.workers.keys().cloned().collect();
        if failed_on.len() >= MIN_FAILED_WORKERS && self.fails_on_most_workers(id, &failed_on, now)
        {
            if let Some(step) = self.run_failures.steps.get_mut(&key) {
                step.is_cause = true;
            }
            self.exonerate(&failed_on, |task| step_key(task) == key);
            return;
        }
        if self.workers.get_mut(worker).is_some_and(|w| w.record_failed_run(id, now)) {
            self.emit(OwnerEvent::WorkerQuarantined { worker: worker.clone() });
        }
    }

    fn exonerate(&mut self, workers: &[WorkerId], is_exonerated: impl Fn(&TaskId) -> bool) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.exonerate(&is_exonerated);
            }
        }
    }

    /// Whether a step has failed on at least half of the workers that run it or have run it, and no task of it
    /// has succeeded, or is at work if it is a long-running one.
    fn fails_on_most_workers(&self, id: &TaskId, failed_on: &[WorkerId], now: Time) -> bool {
        let Some(step) = self.step_of(id) else { return false };
        let occurrences = self.jobs.get(&id.job).map_or(&[][..], |job| &job.open_occurrences);
        let occurrence = occurrences.iter().find(|o| o.number == id.occurrence);
        let tasks = occurrence.and_then(|o| o.steps.get(id.step as usize)).map_or(&[][..], |t| t);
        let mut used: IndexSet<&WorkerId> = failed_on.iter().collect();
        for Task { phase, .. } in tasks {
            match phase {
                Phase::Done => return false,
                Phase::Assigned(run) if step.long_running && is_at_work(run, now) => return false,
                Phase::Assigned(run) => {
                    used.insert(&run.worker);
                }
                Phase::Waiting => {}
            }
        }
        2 * failed_on.len() >= used.len()
    }

    /// Counts a rejected start against its worker.
    pub(super) fn record_rejected_start(&mut self, id: &WorkerId, now: Time) {
        if self.workers.get_mut(id).is_some_and(|w| w.record_rejection(now)) {
            self.emit(OwnerEvent::WorkerQuarantined { worker: id.clone() });
        }
    }
}
