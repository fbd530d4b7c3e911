//! Selection of the worker for a task.

use crate::batch::crashes::{Isolation, Suspicion};
use crate::batch::job::{Step, Task, WorkerId};
use crate::batch::worker::Worker;
use crate::fair::Resources;
use crate::ids::{JobId, PoolId, RackId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a long-running task may wait for the lease of a worker that has fallen silent. The
/// platform asks for such a task to run again within 9 s.
const MAX_LONG_RUNNING_WAIT: Duration = Duration::from_secs(8);

/// A task to be placed, with the current distribution of its step.
pub struct PlacementRequest<'a> {
    pub pool: &'a PoolId,
    pub step: &'a Step,
    pub job: &'a JobId,
    pub task: &'a Task,
    /// How much the task is suspected of crashing workers, and where other suspects run.
    pub suspicion: Suspicion,
    pub isolation: &'a Isolation,
    /// Number of tasks of the same step and occurrence on each worker.
    pub tasks_per_worker: &'a IndexMap<WorkerId, u32>,
    /// Number of tasks of the same step and occurrence on each rack.
    pub tasks_per_rack: &'a IndexMap<RackId, u32>,
}

/// Whether a worker can receive any start now.
pub fn accepts_starts(worker: &Worker, zones_out: &IndexSet<ZoneId>, now: Time) -> bool {
    now >= worker.quarantined_until && is_available(worker, zones_out, now)
}

/// Whether a worker can receive starts now, but for a quarantine.
fn is_available(worker: &Worker, zones_out: &IndexSet<ZoneId>, now: Time) -> bool {
    worker.registered
        && worker.synced
        && !worker.cordoned
        && !worker.info.draining
        && worker.unanswered_polls == 0
        && !worker.lease_withheld
        && !worker.stray_lease.is_unannounced(now)
        && now >= worker.start_backoff_until
        && !zones_out.contains(&worker.info.zone)
}

/// A worker that can receive starts.
#[derive(Clone, Debug)]
struct Candidate {
    /// Position in the owner's workers.
    index: usize,
    /// Unreserved resources, with unlimited slots: workers limit processors, memory and accelerators
    /// but not the number of tasks.
    free: Resources,
    /// Only for long-running tasks that have no room elsewhere: they have no attempts to lose.
    is_quarantined: bool,
    /// Time that is left of a stray lease; zero if there is none. If the worker falls silent, its tasks wait for it.
    stray_left: Duration,
}

/// Workers that can receive starts in one planning pass. Valid while no worker is added or removed.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    by_pool: IndexMap<PoolId, Vec<Candidate>>,
    /// By pool, what found no room. Room only shrinks within a pass, so no task with that label that
    /// needs at least as much finds any.
    exhausted: IndexMap<PoolId, Vec<Unplaceable>>,
}

/// Label and reservation of a task that found no room.
#[derive(Clone, Debug)]
struct Unplaceable {
    label: Option<Arc<str>>,
    reservation: Resources,
    /// Quarantined workers were looked at, too.
    long_running: bool,
}

impl Candidates {
    /// Collects the workers that can receive starts now.
    pub fn new(
        workers: &IndexMap<WorkerId, Worker>,
        zones_out: &IndexSet<ZoneId>,
        now: Time,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for (index, worker) in workers.values().enumerate() {
            if is_available(worker, zones_out, now) {
                let is_quarantined = now < worker.quarantined_until;
                let stray_left = worker.stray_lease.left(now).unwrap_or_default();
                let free = Resources { slots: u32::MAX, ..worker.free_resources() };
                let pool = candidates.by_pool.entry(worker.info.pool.clone()).or_default();
                pool.push(Candidate { index, free, is_quarantined, stray_left });
            }
        }
        candidates
    }

    /// Sum of what is free on all workers of the pool.
    pub fn free(&self, pool: &PoolId) -> Resources {
        let candidates = self.by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        candidates.iter().fold(Resources::default(), |sum, c| sum.plus(&c.free))
    }

    /// Whether a worker of the pool may have room for a task of the step. Cheap; a search that fails
    /// costs a look at every worker of the pool.
    pub fn may_fit(&self, pool: &PoolId, step: &Step) -> bool {
        let reservation = step.reservation();
        let exhausted = self.exhausted.get(pool).map_or(&[][..], Vec::as_slice);
        !exhausted.iter().any(|task| {
            (task.label.is_none() || task.label == step.label)
                && task.reservation.fits(&reservation)
                && (task.long_running || !step.long_running)
        })
    }

    /// Returns the best worker for a task, or `None` if none fits. Prefers, in this order: workers
    /// that are not in quarantine, workers apart from suspects, or for these from other work, workers other than the one where the task last failed, the rack that holds the data, workers without a stray lease, workers with few
    /// recent failures, workers and racks with few tasks of the same long-running step, and the
    /// least free capacity, so that machines which the pool does not need become idle. `previous` is
    /// the choice for the task before of the same step, if it has been reserved.
    pub fn best_worker(
        &mut self,
        workers: &IndexMap<WorkerId, Worker>,
        request: &PlacementRequest<'_>,
        previous: Option<&Placement>,
    ) -> Option<Placement> {
        if !self.may_fit(request.pool, request.step) {
            return None;
        }
        let reservation = request.step.reservation();
        let candidates = self.by_pool.get(request.pool).map_or(&[][..], Vec::as_slice);
        if let Some(previous) = previous.filter(|p| p.repeatable && is_repeatable(request))
            && candidates.get(previous.position).is_some_and(|c| reservation.fits(&c.free))
        {
            // It was the best one, and has less free capacity than it had.
            return Some(previous.clone());
        }
        let mut best: Option<((bool, u8, Rank), usize, &WorkerId)> = None;
        let mut any_room = false;
        for (position, candidate) in candidates.iter().enumerate() {
            if !reservation.fits(&candidate.free)
                || candidate.is_quarantined && !request.step.long_running
            {
                continue;
            }
            let Some((id, worker)) = workers.get_index(candidate.index) else { continue };
            if request.step.label.as_ref().is_some_and(|l| !worker.info.labels.contains(l)) {
                continue;
            }
            any_room = true;
            if candidate.stray_left > MAX_LONG_RUNNING_WAIT && request.step.long_running
                || !within_worker_limit(worker, request)
            {
                continue;
            }
            let (job, step, suspicion) = (request.job, request.step, request.suspicion);
            let Some(exposure) = request.isolation.rank(worker, job, step, suspicion) else {
                continue;
            };
            let rank = rank(worker, request, candidate, &candidate.free.minus(&reservation));
            let rank = (candidate.is_quarantined, exposure, rank);
            if best.as_ref().is_none_or(|(lowest, _, _)| rank < *lowest) {
                best = Some((rank, position, id));
            }
        }
        if !any_room {
            let exhausted = self.exhausted.entry(request.pool.clone()).or_default();
            let (label, long_running) = (request.step.label.clone(), request.step.long_running);
            exhausted.push(Unplaceable { label, reservation, long_running });
        }
        let repeatable = is_repeatable(request);
        best.map(|(_, position, id)| Placement { worker: id.clone(), position, repeatable })
    }

    /// Reserves resources for a task placed in this pass.
    pub fn reserve(&mut self, pool: &PoolId, placement: &Placement, reservation: &Resources) {
        let candidates = self.by_pool.get_mut(pool);
        if let Some(candidate) = candidates.and_then(|c| c.get_mut(placement.position)) {
            candidate.free = candidate.free.minus(reservation);
        }
    }
}

/// Choice of a worker for a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    pub worker: WorkerId,
    /// Position among the candidates of the pool.
    position: usize,
    /// Whether it is also the best choice for a like task of the same step, while it has room.
    repeatable: bool,
}

/// Whether the choice for a task does not depend on the tasks placed before it, except by what is
/// free.
fn is_repeatable(request: &PlacementRequest<'_>) -> bool {
    let step = request.step;
    request.task.avoid_worker.is_none()
        && request.suspicion == Suspicion::None
        && !step.long_running
        && !step.same_rack
        && step.max_per_worker == 0
}

fn within_worker_limit(worker: &Worker, request: &PlacementRequest<'_>) -> bool {
    let limit = request.step.max_per_worker;
    let on_worker = request.tasks_per_worker.get(&worker.info.id).copied().unwrap_or(0);
    limit == 0 || on_worker < limit
}

/// Sort key of a worker for a task; the smallest value is best.
type Rank = (bool, bool, bool, u32, u32, u32, u64);

/// Returns the sort key of a worker. `free_after` is what remains free with the task placed on it.
fn rank(
    worker: &Worker,
    request: &PlacementRequest<'_>,
    candidate: &Candidate,
    free_after: &Resources,
) -> Rank {
    let info = &worker.info;
    let off_rack = request.step.data_rack.as_ref().is_some_and(|r| *r != info.rack);
    let avoided = request.task.avoid_worker.as_ref() == Some(&info.id);
    let on_rack = || request.tasks_per_rack.get(&info.rack).copied().unwrap_or(0);
    // A machine with more tasks of a step than the step may miss cannot undergo maintenance.
    let on_worker = match request.step.long_running {
        true => request.tasks_per_worker.get(&info.id).copied().unwrap_or(0),
        false => 0,
    };
    let rack = if request.step.long_running {
        on_rack()
    } else if request.step.same_rack {
        u32::MAX - on_rack()
    } else {
        0
    };
    let free_permille = 1_000u64.saturating_sub(used_permille(worker, free_after));
    let holds_stray = !candidate.stray_left.is_zero();
    (avoided, off_rack, holds_stray, worker.consecutive_failures(), on_worker, rack, free_permille)
}

/// Utilization of a worker that has `free` left, in thousandths of the scarcer of processors and
/// memory.
fn used_permille(worker: &Worker, free: &Resources) -> u64 {
    let all = worker.info.capacity;
    let used =
        |free: u64, all: u64| all.saturating_sub(free).saturating_mul(1_000).checked_div(all);
    let processors = used(free.processors, all.processors).unwrap_or(0);
    processors.max(used(free.memory, all.memory).unwrap_or(0))
}
