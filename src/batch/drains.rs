//! Moves of long-running tasks off workers that leave.
//!
//! A worker that leaves ends everything that runs on it, and a task that ends so may start again only
//! once the worker's lease is over. Its long-running tasks are therefore stopped before: each as soon as
//! another worker has room for it and few other tasks of its step are unavailable, and whatever is left
//! shortly before the worker may leave. A pool without room wants more machines meanwhile.

use crate::batch::crashes::Isolation;
use crate::batch::job::{Job, Phase, Step, TaskId, WorkerId};
use crate::batch::maintenance::{StepKey, is_at_work, step_key};
use crate::batch::owner::{Owner, OwnerEvent};
use crate::batch::placement::{Candidates, Placement, PlacementRequest};
use crate::batch::worker::Worker;
use crate::ids::{PoolId, RackId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Time beside the stop itself until the end of a run is known: a planning pass, an append to the store,
/// an order that is sent twice, and a poll.
const STOP_OVERHEAD: Duration = Duration::from_millis(800);

/// Machines that pools lack for tasks on draining workers, as of the last pass.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingMachines(IndexMap<PoolId, usize>);

impl MissingMachines {
    /// Returns the number of machines that a pool lacks.
    pub(super) fn of_pool(&self, pool: &str) -> usize {
        self.0.get(pool).copied().unwrap_or(0)
    }

    /// Counts `tasks` of a step that have no room.
    fn record(&mut self, pool: PoolId, step: &Step, tasks: u32) {
        let machines = match step.max_per_worker {
            // If these need more than one, the load of the pool shows it.
            0 => 1,
            limit => tasks.div_ceil(limit),
        };
        let missing = self.0.entry(pool).or_insert(0);
        *missing = (*missing).max(machines as usize);
    }
}

/// A long-running task on a draining worker.
pub(super) struct LeavingTask {
    id: TaskId,
    run: u32,
    worker: WorkerId,
    pool: PoolId,
    /// When the worker may leave, at the earliest.
    leaves_at: Time,
    is_stopping: bool,
    is_at_work: bool,
}

/// Number of a step's tasks by worker and by rack, with those for which room is reserved.
#[derive(Default)]
struct Distribution {
    by_worker: IndexMap<WorkerId, u32>,
    by_rack: IndexMap<RackId, u32>,
}

impl Owner {
    /// Stops those of the `leaving` tasks that may move now, and reserves room for those that are being
    /// stopped.
    pub(super) fn move_from_draining_workers(
        &mut self,
        leaving: Vec<LeavingTask>,
        candidates: &mut Candidates,
        now: Time,
    ) {
        let isolation = self.isolation(now);
        let mut distributions: IndexMap<StepKey, Distribution> = IndexMap::new();
        let mut without_room: IndexMap<StepKey, (PoolId, u32)> = IndexMap::new();
        for task in leaving {
            let Some(step) = self.step_of(&task.id).cloned() else { continue };
            let key = step_key(&task.id);
            let distribution =
                distributions.entry(key.clone()).or_insert_with(|| self.distribution_of(&task.id));
            let placement = self.find_room(&task, &step, distribution, &isolation, candidates);
            if placement.is_none() {
                without_room.entry(key).or_insert_with(|| (task.pool.clone(), 0)).1 += 1;
            }
            let has_room = placement.is_some();
            if !task.is_stopping && self.may_stop(&task, &step, has_room, now) {
                self.stop_task(&task.id, now);
                self.emit(OwnerEvent::DrainStop {
                    task: task.id.clone(),
                    run: task.run,
                    worker: task.worker.clone(),
                    time_left: task.leaves_at.saturating_sub(now),
                    has_room,
                });
            } else if !task.is_stopping {
                continue;
            }
            let Some(placement) = placement else { continue };
            candidates.reserve(&task.pool, &placement, &step.reservation());
            if let Some(worker) = self.workers.get(&placement.worker) {
                *distribution.by_rack.entry(worker.info.rack.clone()).or_insert(0) += 1;
            }
            *distribution.by_worker.entry(placement.worker).or_insert(0) += 1;
        }
        self.missing_machines = MissingMachines::default();
        for ((job, _, step), (pool, tasks)) in without_room {
            let step = self.jobs.get(&job).and_then(|job| job.spec.steps.get(step as usize));
            let Some(step) = step else { continue };
            self.missing_machines.record(pool, step, tasks);
        }
    }

    /// Returns the long-running tasks on draining workers that respond: those being stopped first, then
    /// those whose worker leaves first.
    pub(super) fn leaving_tasks(&self, now: Time) -> Vec<LeavingTask> {
        let mut leaving = Vec::new();
        for worker in self.workers.values().filter(|w| w.synced && w.unanswered_polls == 0) {
            let Some(leaves_at) = worker.leaves_at else { continue };
            let tasks = worker.assigned.keys();
            leaving
                .extend(tasks.filter_map(|task| self.leaving_task(task, worker, leaves_at, now)));
        }
        leaving.sort_by_key(|task| (!task.is_stopping, task.leaves_at));
        leaving
    }

    fn leaving_task(
        &self,
        id: &TaskId,
        worker: &Worker,
        leaves_at: Time,
        now: Time,
    ) -> Option<LeavingTask> {
        let job = self.jobs.get(&id.job).filter(|job| !job.state.is_final())?;
        let queue = job.queue_in(&self.active_config.declarations)?;
        let step = job.spec.steps.get(id.step as usize).filter(|step| step.long_running)?;
        // The stop of one task of a gang also ends those on workers that do not leave.
        let ends_others = step.gang && step.may_miss.is_some();
        if ends_others || queue.requires_advice {
            return None;
        }
        let task = job.task(id)?;
        let Phase::Assigned(assignment) = &task.phase else { return None };
        Some(LeavingTask {
            id: id.clone(),
            run: task.run,
            worker: worker.info.id.clone(),
            pool: queue.pool.clone(),
            leaves_at,
            is_stopping: assignment.stop_ordered,
            is_at_work: is_at_work(assignment, now),
        })
    }

    fn distribution_of(&self, task: &TaskId) -> Distribution {
        let open = |job: &'_ Job| {
            let occurrence = job.open_occurrences.iter().find(|o| o.number == task.occurrence)?;
            Some(self.count_assigned(&task.job, occurrence, task.step as usize))
        };
        let (by_worker, by_rack) = self.jobs.get(&task.job).and_then(open).unwrap_or_default();
        Distribution { by_worker, by_rack }
    }

    fn find_room(
        &self,
        task: &LeavingTask,
        step: &Step,
        distribution: &Distribution,
        isolation: &Isolation,
        candidates: &mut Candidates,
    ) -> Option<Placement> {
        let state = self.jobs.get(&task.id.job)?.task(&task.id)?;
        let request = PlacementRequest {
            pool: &task.pool,
            step,
            job: &task.id.job,
            task: state,
            suspicion: isolation.suspicion(&task.id.job, state, step),
            isolation,
            tasks_per_worker: &distribution.by_worker,
            tasks_per_rack: &distribution.by_rack,
        };
        candidates.best_worker(&self.workers, &request, None)
    }

    /// Whether a task on a draining worker may be stopped now.
    fn may_stop(&self, task: &LeavingTask, step: &Step, has_room: bool, now: Time) -> bool {
        if step.may_miss.is_some() && self.may_lose_task_to_maintenance(&task.id) {
            return false;
        }
        if now + self.bounds.max_stop_duration + STOP_OVERHEAD >= task.leaves_at {
            return true;
        }
        // The platform sets no limit to stops on workers that leave, but a service whose workers leave
        // together must not stop as a whole.
        let limit = step.may_miss.unwrap_or(0).max(1);
        let own = u32::from(!task.is_at_work);
        let others = self.count_unavailable(&task.id, None, now).saturating_sub(own);
        has_room && !step.gang && others < limit
    }
}
