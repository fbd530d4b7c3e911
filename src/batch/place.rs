//! Which worker gets a task.

use crate::batch::job::{Step, Task, WorkerId};
use crate::batch::worker::Worker;
use crate::fair::Resources;
use crate::ids::{PoolId, RackId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};

/// What decides on a worker besides its room.
pub struct Wanted<'a> {
    pub pool: &'a PoolId,
    pub step: &'a Step,
    pub task: &'a Task,
    /// Tasks of the occurrence's step at each worker.
    pub beside: &'a IndexMap<WorkerId, u32>,
    /// Tasks of the occurrence's step on each rack.
    pub racks: &'a IndexMap<RackId, u32>,
}

/// Whether a worker may get any start now.
pub fn is_usable(worker: &Worker, zones_out: &IndexSet<ZoneId>, now: Time) -> bool {
    worker.present
        && worker.greeted
        && !worker.reserved
        && !worker.listed.draining
        && now >= worker.aside_until
        && now >= worker.full_until
        && !zones_out.contains(&worker.listed.zone)
}

/// The best worker for a task, or none that fits. Prefers the rack of the data, other workers than
/// the one where it last failed, workers and racks that hold few of a lasting step, and then the least room left, so
/// that machines become idle that the pool does not need.
pub fn place(
    workers: &IndexMap<WorkerId, Worker>,
    zones_out: &IndexSet<ZoneId>,
    now: Time,
    wanted: &Wanted<'_>,
) -> Option<WorkerId> {
    let need = wanted.step.room();
    let fits = |w: &&Worker| {
        w.listed.pool == *wanted.pool
            && is_usable(w, zones_out, now)
            && wanted.step.label.as_ref().is_none_or(|l| w.listed.labels.contains(l))
            && is_apart(w, wanted)
            && need.fits(&slots_of(w))
    };
    let best = workers.values().filter(fits).min_by_key(|w| rank(w, wanted, &need));
    best.map(|w| w.listed.id.clone())
}

fn is_apart(worker: &Worker, wanted: &Wanted<'_>) -> bool {
    let most = wanted.step.max_per_worker;
    let here = wanted.beside.get(&worker.listed.id).copied().unwrap_or(0);
    most == 0 || here < most
}

/// Room left; workers bound processors, memory and accelerators, not the number of tasks.
fn slots_of(worker: &Worker) -> Resources {
    Resources { slots: u32::MAX, ..worker.free() }
}

/// Smaller is better.
fn rank(
    worker: &Worker,
    wanted: &Wanted<'_>,
    need: &Resources,
) -> (bool, bool, u32, u32, u32, u64) {
    let listed = &worker.listed;
    let far = wanted.step.home_rack.as_ref().is_some_and(|r| *r != listed.rack);
    let avoid = wanted.task.avoid.as_ref() == Some(&listed.id);
    let on_rack = wanted.racks.get(&listed.rack).copied().unwrap_or(0);
    // A machine with more tasks of a step than the step may miss cannot have its maintenance.
    let beside = match wanted.step.lasting {
        true => wanted.beside.get(&listed.id).copied().unwrap_or(0),
        false => 0,
    };
    let rack = if wanted.step.lasting {
        on_rack
    } else if wanted.step.same_rack {
        u32::MAX - on_rack
    } else {
        0
    };
    let left = 1_000u64.saturating_sub(used_permille(worker, need));
    (avoid, far, worker.failures, beside, rack, left)
}

/// Room that would be taken with the task there, in thousandths of the scarcer resource.
fn used_permille(worker: &Worker, need: &Resources) -> u64 {
    let (free, all) = (worker.free().minus(need), worker.listed.capacity);
    let used = |free: u64, all: u64| (all.saturating_sub(free) * 1_000).checked_div(all);
    let processors = used(free.processors, all.processors).unwrap_or(0);
    processors.max(used(free.memory, all.memory).unwrap_or(0))
}
