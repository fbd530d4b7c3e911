//! Machines follow the demand from pool to pool.
//!
//! A pool wants as many machines as its running and waiting tasks fill, and at least as many as the
//! work that arrives will keep busy when a machine that is ordered now is there. One that is short gets
//! machines from the standby pool, which cost nothing there, and then idle ones of other pools. A
//! machine that its pool has not wanted for a while goes to the standby pool. Only machines on which
//! nothing runs are moved, so a move throws no work away.

use crate::batch::forecast::Arrivals;
use crate::batch::job::{Job, Step, Task};
use crate::batch::maintenance::{Machine, MachineId, MachineState};
use crate::batch::owner::Owner;
use crate::batch::scheduler::startable_tasks;
use crate::fair::Resources;
use crate::ids::{PoolId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Part of a pool's room that its tasks are expected to fill; tasks of different sizes leave gaps.
const TARGET_UTILIZATION: f64 = 0.85;
/// Part of the waiting tasks for which room is wanted at once; the rest follows the ones that end.
const WAITING_FRACTION: f64 = 0.8;
/// Time that a pool must not want a machine before the machine leaves it. A seat for this long costs
/// about as much as the two moves that leaving and coming back take.
const SURPLUS_DELAY: Duration = Duration::from_millis(2_500);
/// Fewest machines that stay in a pool, so that a first task starts without a move.
const MIN_POOL_MACHINES: usize = 2;
/// Time that a lasting task waits before its pool wants one more machine: a few passes of placement.
const LONG_RUNNING_WAIT: Duration = Duration::from_millis(300);
/// Looks in a row without an answer after which a worker counts as no seat.
const MAX_UNANSWERED_POLLS: u32 = 2;
/// Time after which an ordered move that the list does not show is ordered again.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// An order to move a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    pub machine: MachineId,
    pub to: PoolId,
}

/// Moves under way and how long pools have had too much.
#[derive(Clone, Debug, Default)]
pub struct MoveState {
    /// Target and time of orders that the list may not show yet.
    pub in_flight: IndexMap<MachineId, (PoolId, Time)>,
    /// When a pool last wanted so many machines, by number of machines.
    last_wanted_at: IndexMap<PoolId, Vec<Time>>,
    pub(super) arrivals: Arrivals,
}

impl MoveState {
    /// No orders, and no demand known yet.
    pub fn new(now: Time) -> MoveState {
        MoveState { arrivals: Arrivals::new(now), ..MoveState::default() }
    }
}

/// What a pool has and wants, in machines.
struct PoolMachines {
    current: usize,
    wanted: usize,
    /// Machines without any task that may get one.
    idle: Vec<MachineId>,
    /// Machines without any task that get none, since their zone is out.
    unusable: Vec<MachineId>,
}

impl Owner {
    /// Machines that are to move now. Their workers get no starts from here on.
    pub fn plan_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) -> Vec<Move> {
        self.ordered_machines.expire(now);
        self.expire_moves(machines, now);
        let pools = self.active_config.declarations.pools.clone();
        let standby = pools.iter().find(|(_, p)| p.standby).map(|(id, _)| id.clone());
        let mut spare = self.spare_machines(machines, standby.as_ref());
        let mut pool_machines: IndexMap<PoolId, PoolMachines> = IndexMap::new();
        for (pool, _) in pools.iter().filter(|(_, p)| !p.standby) {
            pool_machines.insert(pool.clone(), self.pool_machines(pool, machines, now));
        }
        let mut moves = Vec::new();
        for (pool, deficit) in pools_with_deficit(&pool_machines) {
            for _ in 0..deficit {
                let from_pool = || take_surplus_machine(&mut pool_machines, &pool);
                let Some(machine) = spare.pop().or_else(from_pool) else { break };
                moves.push(Move { machine, to: pool.clone() });
            }
        }
        if let Some(standby) = standby {
            for (pool, pool_machines) in &mut pool_machines {
                for machine in pool_machines.unusable.drain(..) {
                    moves.push(Move { machine, to: standby.clone() });
                }
                let keep = self
                    .recently_wanted(pool, now)
                    .max(pool_machines.wanted)
                    .max(MIN_POOL_MACHINES);
                while pool_machines.current > keep {
                    let Some(machine) = pool_machines.idle.pop() else { break };
                    pool_machines.current -= 1;
                    moves.push(Move { machine, to: standby.clone() });
                }
            }
        }
        for order in &moves {
            self.moves.in_flight.insert(order.machine.clone(), (order.to.clone(), now));
        }
        self.cordon_moving_workers();
        moves
    }

    /// A machine's move will not begin.
    pub fn abandon_move(&mut self, order: &Move) {
        self.moves.in_flight.swap_remove(&order.machine);
        self.cordon_moving_workers();
    }

    /// Whether a machine may get an order: it is not about to move, and no earlier owner gave it one a
    /// short time ago.
    pub(super) fn can_be_ordered(&self, machine: &str) -> bool {
        !self.moves.in_flight.contains_key(machine)
            && !self.ordered_machines.was_ordered_by_previous(machine)
    }

    fn cordon_moving_workers(&mut self) {
        for worker in self.workers.values_mut() {
            if self.moves.in_flight.contains_key(&worker.info.machine) {
                worker.cordoned = true;
            }
        }
    }

    /// Drops orders that the list shows as done, or that were given long ago.
    fn expire_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) {
        self.moves.in_flight.retain(|id, (to, at)| {
            let there = machines.get(id).is_none_or(|m| m.pool == *to);
            !there && now < *at + MOVE_RETRY_DELAY
        });
    }

    fn spare_machines(
        &self,
        machines: &IndexMap<MachineId, Machine>,
        standby: Option<&PoolId>,
    ) -> Vec<MachineId> {
        let spare = machines.values().filter(|m| {
            Some(&m.pool) == standby
                && m.state == MachineState::Up
                && self.can_be_ordered(&m.id)
                && !self.active_config.zones_out.contains(&m.zone)
        });
        spare.map(|m| m.id.clone()).collect()
    }

    fn pool_machines(
        &mut self,
        pool: &PoolId,
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> PoolMachines {
        let leaving =
            |m: &Machine| self.moves.in_flight.get(&m.id).is_some_and(|(to, _)| to != pool);
        let here: Vec<&Machine> =
            machines.values().filter(|m| m.pool == *pool && !leaving(m)).collect();
        let coming = self.moves.in_flight.iter().filter(|(id, (to, _))| {
            to == pool && machines.get(*id).is_some_and(|m| m.pool != *pool)
        });
        let current = here.iter().filter(|m| self.counts_as_capacity(m)).count() + coming.count();
        let idle = here.iter().filter(|m| m.state == MachineState::Up && self.is_idle(m));
        let (idle, unusable): (Vec<&&Machine>, Vec<_>) =
            idle.partition(|m| self.counts_as_capacity(m));
        let ids = |machines: Vec<&&Machine>| machines.iter().map(|m| m.id.clone()).collect();
        let (idle, unusable) = (ids(idle), ids(unusable));
        // Tasks that must be apart may need one more machine though there is room.
        let more = if self.long_running_task_waits(pool, now) { current + 1 } else { 0 };
        let wanted = self.machines_needed(pool, now).max(more);
        // What was there when the owner began counts as wanted then.
        let last_wanted_at =
            self.moves.last_wanted_at.entry(pool.clone()).or_insert_with(|| vec![now; current]);
        last_wanted_at.resize(last_wanted_at.len().max(wanted), Time::ZERO);
        last_wanted_at[..wanted].fill(now);
        PoolMachines { current, wanted, idle, unusable }
    }

    /// Whether a machine takes starts, now or after what it is at.
    fn counts_as_capacity(&self, machine: &Machine) -> bool {
        if machine.state == MachineState::Down
            || self.active_config.zones_out.contains(&machine.zone)
        {
            return false;
        }
        let worker = machine.worker.as_ref().and_then(|id| self.workers.get(id));
        worker.is_none_or(|w| !w.info.draining && w.unanswered_polls <= MAX_UNANSWERED_POLLS)
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let Some(worker) = machine.worker.as_ref().and_then(|id| self.workers.get(id)) else {
            return false;
        };
        // A wave empties it; it goes back to work after its maintenance.
        let idle = worker.registered && worker.synced && worker.assigned.is_empty();
        idle && !worker.cordoned && self.can_be_ordered(&machine.id)
    }

    /// Machines that a pool wanted within `UNWANTED_FOR`.
    fn recently_wanted(&self, pool: &PoolId, now: Time) -> usize {
        let last_wanted_at = self.moves.last_wanted_at.get(pool).map_or(&[][..], Vec::as_slice);
        last_wanted_at.iter().filter(|at| now < **at + SURPLUS_DELAY).count()
    }

    /// Machines that running and waiting tasks of a pool fill, or that the demand to come will.
    fn machines_needed(&mut self, pool: &PoolId, now: Time) -> usize {
        let expected = self.moves.arrivals.expected_demand(pool, now);
        let workers = || self.workers.values().filter(|w| w.info.pool == *pool);
        let Some(one) = workers().map(|w| w.info.capacity).max_by_key(|c| c.processors) else {
            // No worker tells the size of a machine; one task wants one machine.
            return usize::from(self.waiting_demand(pool, now) != Resources::default())
                * MIN_POOL_MACHINES;
        };
        let assigned = workers().flat_map(|w| w.assigned.values());
        let assigned = assigned.fold(Resources::default(), |sum, need| sum.plus(need));
        let waiting = self.waiting_demand(pool, now);
        let part = |assigned: u64, waiting: u64, one: u64| {
            let load = assigned as f64 + WAITING_FRACTION * waiting as f64;
            if one == 0 { 0.0 } else { load / (TARGET_UTILIZATION * one as f64) }
        };
        let machines = part(assigned.processors, waiting.processors, one.processors).max(part(
            assigned.memory,
            waiting.memory,
            one.memory,
        ));
        let coming = part(self.long_running_processors(pool) + expected, 0, one.processors);
        machines.max(coming).ceil() as usize
    }

    /// Thousandths of a processor that lasting tasks take up in a pool.
    fn long_running_processors(&self, pool: &PoolId) -> u64 {
        let workers = self.workers.values().filter(|w| w.info.pool == *pool);
        let assigned = workers.flat_map(|w| w.assigned.iter());
        assigned
            .filter(|(task, _)| self.step_of(task).is_some_and(|s| s.long_running))
            .map(|(_, reservation)| reservation.processors)
            .sum()
    }

    /// Whether a lasting task finds no place for a while.
    fn long_running_task_waits(&self, pool: &PoolId, now: Time) -> bool {
        let declared = &self.active_config.declarations;
        let here = |j: &&Job| declared.queue(&j.queue).is_some_and(|q| q.pool == *pool);
        let mut jobs = self.jobs.values().filter(|j| !j.state.is_final()).filter(here);
        jobs.any(|job| {
            let long_running = job.spec.steps.iter().enumerate().filter(|(_, s)| s.long_running);
            let tasks = long_running.flat_map(|(index, _)| {
                job.open_occurrences.iter().flat_map(move |occurrence| {
                    let waiting = startable_tasks(job, occurrence, index, now).into_iter();
                    waiting.map(move |task| &occurrence.steps[index][task])
                })
            });
            let since = |t: &Task| t.unavailable_since.unwrap_or(job.first_seen_at);
            tasks.into_iter().any(|t| now > since(t) + LONG_RUNNING_WAIT)
        })
    }

    /// What the tasks of a pool take up that may start but have no place.
    fn waiting_demand(&self, pool: &PoolId, now: Time) -> Resources {
        let mut sum = Resources::default();
        for job in self.jobs.values().filter(|j| !j.state.is_final()) {
            let queue = self.active_config.declarations.queue(&job.queue);
            if queue.is_none_or(|q| q.pool != *pool) {
                continue;
            }
            for occurrence in &job.open_occurrences {
                for (index, step) in job.spec.steps.iter().enumerate() {
                    let tasks = startable_tasks(job, occurrence, index, now).len();
                    sum = sum.plus(&reservation_times(step, tasks as u64));
                }
            }
        }
        sum
    }
}

fn reservation_times(step: &Step, count: u64) -> Resources {
    let reservation = step.reservation();
    Resources {
        processors: reservation.processors.saturating_mul(count),
        memory: reservation.memory.saturating_mul(count),
        ..Resources::default()
    }
}

/// Pools that are short and by how many machines, the shortest first.
fn pools_with_deficit(pool_machines: &IndexMap<PoolId, PoolMachines>) -> Vec<(PoolId, usize)> {
    let deficit = pool_machines.iter().filter(|(_, s)| s.wanted > s.current);
    let mut deficit: Vec<_> =
        deficit.map(|(pool, s)| (pool.clone(), s.wanted - s.current)).collect();
    deficit.sort_by_key(|(_, machines)| std::cmp::Reverse(*machines));
    deficit
}

/// An idle machine of the pool with the largest surplus.
fn take_surplus_machine(
    pool_machines: &mut IndexMap<PoolId, PoolMachines>,
    for_pool: &PoolId,
) -> Option<MachineId> {
    let donors = pool_machines.iter_mut().filter(|(pool, s)| {
        *pool != for_pool && s.current > s.wanted.max(MIN_POOL_MACHINES) && !s.idle.is_empty()
    });
    let (_, donor) = donors.max_by_key(|(_, s)| s.current - s.wanted)?;
    donor.current -= 1;
    donor.idle.pop()
}
