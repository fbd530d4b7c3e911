//! Selection of the worker for a task.

use crate::batch::job::{Step, Task, WorkerId};
use crate::batch::worker::Worker;
use crate::fair::Resources;
use crate::ids::{PoolId, RackId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};

/// A task to be placed, with the current distribution of its step.
pub struct PlacementRequest<'a> {
    pub pool: &'a PoolId,
    pub step: &'a Step,
    pub task: &'a Task,
    /// Number of tasks of the same step and occurrence on each worker.
    pub tasks_per_worker: &'a IndexMap<WorkerId, u32>,
    /// Number of tasks of the same step and occurrence on each rack.
    pub tasks_per_rack: &'a IndexMap<RackId, u32>,
}

/// Whether a worker can receive any start now.
pub fn accepts_starts(worker: &Worker, zones_out: &IndexSet<ZoneId>, now: Time) -> bool {
    worker.registered
        && worker.synced
        && !worker.cordoned
        && !worker.info.draining
        && worker.unanswered_polls == 0
        && now >= worker.quarantined_until
        && now >= worker.start_backoff_until
        && !zones_out.contains(&worker.info.zone)
}

/// Returns the best worker for a task, or `None` if none fits. Prefers, in this order: workers
/// other than the one where the task last failed, the rack that holds the data, workers with few
/// recent failures, workers and racks with few tasks of the same long-running step, and the least
/// free capacity, so that machines which the pool does not need become idle.
pub fn best_worker(
    workers: &IndexMap<WorkerId, Worker>,
    zones_out: &IndexSet<ZoneId>,
    now: Time,
    request: &PlacementRequest<'_>,
) -> Option<WorkerId> {
    let reservation = request.step.reservation();
    let fits = |w: &&Worker| {
        w.info.pool == *request.pool
            && accepts_starts(w, zones_out, now)
            && request.step.label.as_ref().is_none_or(|l| w.info.labels.contains(l))
            && within_worker_limit(w, request)
            && reservation.fits(&free_resources_of(w))
    };
    let best = workers.values().filter(fits).min_by_key(|w| rank(w, request, &reservation));
    best.map(|w| w.info.id.clone())
}

fn within_worker_limit(worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    let limit = request.step.max_per_worker;
    let on_worker = request.tasks_per_worker.get(&worker.info.id).copied().unwrap_or(0);
    limit == 0 || on_worker < limit
}

/// Free resources with unlimited slots, since workers limit processors, memory and accelerators but
/// not the number of tasks.
fn free_resources_of(worker: &Worker) -> Resources {
    Resources { slots: u32::MAX, ..worker.free_resources() }
}

/// Sort key of a worker for a task; the smallest value is best.
fn rank(
    worker: &Worker,
    request: &PlacementRequest<'_>,
    reservation: &Resources,
) -> (bool, bool, u32, u32, u32, u64) {
    let info = &worker.info;
    let off_rack = request.step.data_rack.as_ref().is_some_and(|r| *r != info.rack);
    let avoided = request.task.avoid_worker.as_ref() == Some(&info.id);
    let on_rack = request.tasks_per_rack.get(&info.rack).copied().unwrap_or(0);
    // A machine with more tasks of a step than the step may miss cannot undergo maintenance.
    let on_worker = match request.step.long_running {
        true => request.tasks_per_worker.get(&info.id).copied().unwrap_or(0),
        false => 0,
    };
    let rack = if request.step.long_running {
        on_rack
    } else if request.step.same_rack {
        u32::MAX - on_rack
    } else {
        0
    };
    let free_permille = 1_000u64.saturating_sub(used_permille(worker, reservation));
    (avoided, off_rack, worker.consecutive_failures, on_worker, rack, free_permille)
}

/// Utilization of the worker with the task placed on it, in thousandths of the scarcer of
/// processors and memory.
fn used_permille(worker: &Worker, reservation: &Resources) -> u64 {
    let (free, all) = (worker.free_resources().minus(reservation), worker.info.capacity);
    let used = |free: u64, all: u64| (all.saturating_sub(free) * 1_000).checked_div(all);
    let processors = used(free.processors, all.processors).unwrap_or(0);
    processors.max(used(free.memory, all.memory).unwrap_or(0))
}
