//! Room of a pool and work of its jobs, as input for `batch::overload`.

use crate::batch::forecast::FORECAST_HORIZON;
use crate::batch::job::{Job, Phase, Step};
use crate::batch::overload::{Amounts, Room, WaitingJob, plus};
use crate::batch::owner::Owner;
use crate::batch::placement::accepts_starts;
use crate::fair::Resources;
use crate::ids::{PoolId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Least time that a running task is expected to go on, also beyond its estimate.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(100);
/// Time after which a machine that has not arrived is no room any more: its order may be lost.
const MAX_MOVE_DELAY: Duration = Duration::from_secs(1);

/// Returns what a pool can do: its workers that take starts, and machines that are moving to it.
pub fn pool_room(owner: &Owner, pool: &PoolId, now: Time) -> Room {
    let mut room = Room::default();
    let (mut all, mut count) = (Amounts::default(), 0u64);
    for worker in owner.workers.values().filter(|w| w.info.pool == *pool) {
        if !accepts_starts(worker, &owner.active_config.zones_out, now) {
            continue;
        }
        let mut capacity = worker.info.capacity;
        all = plus(&all, &amounts(&capacity));
        count += 1;
        for (id, reservation) in &worker.assigned {
            let Some(job) = owner.jobs.get(&id.job) else { continue };
            let Some(step) = job.spec.steps.get(id.step as usize) else { continue };
            if step.long_running {
                capacity = capacity.minus(reservation);
                continue;
            }
            let Some(Phase::Assigned(run)) = job.task(id).map(|task| &task.phase) else { continue };
            let remaining = step.estimate.saturating_sub(now.saturating_sub(run.assigned_at));
            room.running.push((remaining.max(MIN_REMAINING_TIME), amounts(reservation)));
        }
        room.capacity = plus(&room.capacity, &amounts(&capacity));
    }
    let machine = all.map(|amount| amount.checked_div(count).unwrap_or(0));
    let mut arriving: IndexMap<Time, Amounts> = IndexMap::new();
    for in_flight in owner.moves.in_flight.values().filter(|m| m.to == *pool) {
        let arrives_at = in_flight.first_ordered_at + FORECAST_HORIZON;
        if now > arrives_at + MAX_MOVE_DELAY {
            continue;
        }
        let sum = arriving.entry(arrives_at).or_default();
        *sum = plus(sum, &machine);
    }
    room.arriving = arriving.into_iter().collect();
    room
}

/// Describes a job whose next step has to start at `latest_start`.
pub fn waiting_job(job: &Job, priority: u32, latest_start: Time) -> WaitingJob {
    let (mut work, mut width, mut has_begun) = (Amounts::default(), Amounts::default(), false);
    for occurrence in &job.open_occurrences {
        for (step, tasks) in job.spec.steps.iter().zip(&occurrence.steps) {
            let waiting = tasks.iter().filter(|task| task.phase == Phase::Waiting).count();
            has_begun |= waiting < tasks.len();
            work = plus(&work, &step_uses(step, waiting as u64));
            // Steps that follow each other do not run at one time; the bound may be too high.
            width = plus(&width, &step_width(step, waiting as u64));
        }
    }
    WaitingJob { priority, latest_start, work, width, is_fixed: has_begun }
}

fn step_uses(step: &Step, tasks: u64) -> Amounts {
    if step.long_running {
        return Amounts::default();
    }
    uses(&step.reservation(), step.estimate, tasks)
}

fn step_width(step: &Step, tasks: u64) -> Amounts {
    if step.long_running {
        return Amounts::default();
    }
    amounts(&step.reservation()).map(|amount| amount.saturating_mul(tasks))
}

fn uses(reservation: &Resources, time: Duration, tasks: u64) -> Amounts {
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).saturating_mul(tasks);
    amounts(reservation).map(|amount| amount.saturating_mul(ms))
}

fn amounts(resources: &Resources) -> Amounts {
    [resources.processors, resources.memory >> 20, resources.accelerators.into()]
}
