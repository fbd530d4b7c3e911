//! Moves of machines between pools to follow demand.
//!
//! A pool wants enough machines for its running and waiting tasks, and at least as many as the work
//! that is expected to arrive will need once a machine ordered now is available. A pool with a
//! deficit receives machines first from the standby pool, where they cost nothing, and then idle
//! machines of other pools. A machine that its pool has not wanted for a while moves to the standby
//! pool. Only machines without running tasks are moved, so a move never discards work.

use crate::batch::forecast::Arrivals;
use crate::batch::job::{Job, Step, Task};
use crate::batch::maintenance::{LATE_ORDER_WINDOW, Machine, MachineId, MachineState};
use crate::batch::owner::Owner;
use crate::batch::scheduler::startable_tasks;
use crate::batch::worker::Worker;
use crate::fair::Resources;
use crate::ids::{PoolId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Fraction of a pool's capacity that its tasks are expected to fill. Tasks of different sizes
/// leave gaps.
const TARGET_UTILIZATION: f64 = 0.85;
/// Fraction of the waiting tasks for which capacity is wanted immediately. The rest starts as
/// running tasks end.
const WAITING_FRACTION: f64 = 0.8;
/// How long a pool must not have wanted a machine before the machine leaves it. Keeping a machine
/// this long costs about as much as moving it away and back.
const SURPLUS_DELAY: Duration = Duration::from_millis(2_500);
/// Minimum number of machines in a pool, so that its first task starts without a move.
const MIN_POOL_MACHINES: usize = 2;
/// How long a long-running task waits before its pool wants one more machine: a few scheduling
/// passes.
const LONG_RUNNING_WAIT: Duration = Duration::from_millis(300);
/// Consecutive unanswered polls after which a worker no longer counts as capacity.
const MAX_UNANSWERED_POLLS: u32 = 2;
/// Time after which a move that the machine list does not show is forgotten, or ordered again if its
/// order got no response.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// An order to move a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    pub machine: MachineId,
    pub to: PoolId,
}

/// A move that the machine list may not show yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveInFlight {
    pub to: PoolId,
    pub first_ordered_at: Time,
    pub ordered_at: Time,
    /// Until when an order without a response may take effect; zero if there is none. The worker on
    /// the machine gets no starts as long.
    pub unanswered_until: Time,
}

impl MoveInFlight {
    /// By when a move that the machine list does not show is forgotten.
    fn expires_at(&self) -> Time {
        (self.ordered_at + MOVE_RETRY_DELAY).max(self.unanswered_until)
    }
}

/// Moves in flight, and the recent demand of each pool.
#[derive(Clone, Debug, Default)]
pub struct MoveState {
    pub in_flight: IndexMap<MachineId, MoveInFlight>,
    /// For each pool, when it last wanted at least `i + 1` machines, at index `i`.
    last_wanted_at: IndexMap<PoolId, Vec<Time>>,
    /// Current and wanted number of machines of each pool at the last pass.
    last_counts: IndexMap<PoolId, (usize, usize)>,
    pub(super) arrivals: Arrivals,
}

impl MoveState {
    /// Creates a state without moves or known demand.
    pub fn new(now: Time) -> MoveState {
        MoveState { arrivals: Arrivals::new(now), ..MoveState::default() }
    }
}

/// Use of a pool, for the event log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Machines that can receive starts, or will after their move or maintenance.
    pub machines: usize,
    /// Machines that the pool wanted at the last pass.
    pub wanted: usize,
    /// Workers without tasks.
    pub idle: usize,
    /// Workers that run only long-running tasks.
    pub long_running_only: usize,
    /// Reserved processors and memory, in thousandths of what the workers have.
    pub processors_permille: u64,
    pub memory_permille: u64,
    /// Processors of tasks that could start if there were room, in thousandths of a processor.
    pub waiting_processors: u64,
}

/// Current and wanted number of machines of a pool.
struct PoolMachines {
    current: usize,
    wanted: usize,
    /// Machines without tasks that can receive starts.
    idle: Vec<MachineId>,
    /// Machines without tasks that cannot receive starts, for example because their zone is out.
    unusable: Vec<MachineId>,
}

impl Owner {
    /// Returns the moves to order now. The workers on these machines receive no more starts.
    pub fn plan_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) -> Vec<Move> {
        self.ordered_machines.expire(now);
        self.machines_listed_at = Some(now);
        self.expire_moves(machines, now);
        let pools = self.active_config.declarations.pools.clone();
        let standby = pools.iter().find(|(_, p)| p.standby).map(|(id, _)| id.clone());
        let mut spare = self.spare_machines(machines, standby.as_ref());
        let mut machines_by_pool: IndexMap<PoolId, PoolMachines> = IndexMap::new();
        for (pool, _) in pools.iter().filter(|(_, p)| !p.standby) {
            machines_by_pool.insert(pool.clone(), self.pool_machines(pool, machines, now));
        }
        let mut moves = self.repeated_moves(machines, now);
        let repeated = moves.len();
        while let Some(pool) = neediest_pool(&machines_by_pool) {
            let from_pool = || take_surplus_machine(&mut machines_by_pool, &pool);
            let Some(machine) = spare.pop().or_else(from_pool) else { break };
            machines_by_pool[&pool].current += 1;
            moves.push(Move { machine, to: pool });
        }
        if let Some(standby) = standby {
            for (pool, pool_machines) in &mut machines_by_pool {
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
        for order in &moves[repeated..] {
            let (to, unanswered_until) = (order.to.clone(), Time::ZERO);
            let (first_ordered_at, ordered_at) = (now, now);
            let in_flight = MoveInFlight { to, first_ordered_at, ordered_at, unanswered_until };
            self.moves.in_flight.insert(order.machine.clone(), in_flight);
        }
        self.cordon_moving_workers();
        moves
    }

    /// Returns the moves to order again. An order that got no response may still take effect, so the
    /// machine is of no use until it has moved. Each order without a response keeps it so for longer;
    /// after `LATE_ORDER_WINDOW`, the machine is planned anew by the demand.
    fn repeated_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) -> Vec<Move> {
        let mut repeated = Vec::new();
        for (id, in_flight) in &mut self.moves.in_flight {
            let is_up = machines.get(id).is_some_and(|m| m.state == MachineState::Up);
            let may_repeat = now < in_flight.first_ordered_at + LATE_ORDER_WINDOW;
            if is_up && may_repeat && now >= in_flight.ordered_at + MOVE_RETRY_DELAY {
                in_flight.ordered_at = now;
                repeated.push(Move { machine: id.clone(), to: in_flight.to.clone() });
            }
        }
        repeated
    }

    /// Forgets a move that will not be carried out, unless an earlier order of it may still be.
    pub fn abandon_move(&mut self, order: &Move) {
        let moves = &mut self.moves.in_flight;
        if moves.get(&order.machine).is_some_and(|m| m.unanswered_until.is_zero()) {
            moves.swap_remove(&order.machine);
        }
        self.cordon_moving_workers();
    }

    /// Records that the order of a move got no response.
    pub fn record_unanswered_move(&mut self, order: &Move, now: Time) {
        if let Some(in_flight) = self.moves.in_flight.get_mut(&order.machine) {
            in_flight.unanswered_until = now + LATE_ORDER_WINDOW;
        }
    }

    /// Whether a machine may receive an order: it has no move in flight, and no previous owner
    /// ordered it recently.
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

    /// Forgets moves that the machine list shows as done, and answered ones that it does not show in time.
    fn expire_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) {
        self.moves.in_flight.retain(|id, in_flight| {
            let arrived = machines.get(id).is_none_or(|m| m.pool == in_flight.to);
            !arrived && now < in_flight.expires_at()
        });
    }

    /// Returns machines to use that were taken out of it, once the machine list has been unavailable
    /// for so long that no order can take effect any more.
    pub(super) fn release_machines(&mut self, now: Time) {
        if self.machines_listed_at.is_none_or(|at| now < at + LATE_ORDER_WINDOW) {
            return;
        }
        self.moves.in_flight.retain(|_, in_flight| now < in_flight.expires_at());
        let (moves, unanswered) = (&self.moves.in_flight, &self.unanswered_maintenance);
        let may_go_down = |machine: &str| {
            let unanswered_at = unanswered.get(machine);
            moves.contains_key(machine)
                || unanswered_at.is_some_and(|at| now < *at + LATE_ORDER_WINDOW)
        };
        for worker in self.workers.values_mut() {
            worker.cordoned &= may_go_down(&worker.info.machine);
        }
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
        let leaving = |m: &Machine| self.moves.in_flight.get(&m.id).is_some_and(|m| m.to != *pool);
        let here: Vec<&Machine> =
            machines.values().filter(|m| m.pool == *pool && !leaving(m)).collect();
        let arriving = self.moves.in_flight.iter().filter(|(id, in_flight)| {
            in_flight.to == *pool && machines.get(*id).is_some_and(|m| m.pool != *pool)
        });
        let arriving = arriving.count();
        let current = here.iter().filter(|m| self.counts_as_capacity(m)).count() + arriving;
        let idle = here.iter().filter(|m| m.state == MachineState::Up && self.is_idle(m));
        let (idle, unusable): (Vec<&&Machine>, Vec<_>) =
            idle.partition(|m| self.counts_as_capacity(m));
        let ids = |machines: Vec<&&Machine>| machines.iter().map(|m| m.id.clone()).collect();
        let (idle, unusable) = (ids(idle), ids(unusable));
        // Tasks that must run on different workers may need another machine although there is free
        // capacity.
        let needs_one_more = self.long_running_task_waits(pool, now)
            || self.isolated_job_waits(pool)
            || arriving == 0 && self.task_waits_for_whole_machine(pool, now);
        let wanted_for_waiting = if needs_one_more { current + 1 } else { 0 };
        // Machines that are not ready yet may have room for tasks that have to leave their worker.
        let ready = here.iter().filter(|m| self.counts_as_capacity(m) && self.is_ready(m)).count();
        let wanted_for_draining = match self.missing_machines.of_pool(pool) {
            0 => 0,
            missing => ready + missing,
        };
        let wanted =
            self.machines_needed(pool, now).max(wanted_for_waiting).max(wanted_for_draining);
        // The machines present when the owner started count as wanted at that time.
        let last_wanted_at =
            self.moves.last_wanted_at.entry(pool.clone()).or_insert_with(|| vec![now; current]);
        // A pool never has more than all machines, however many it wants.
        let tracked = wanted.min(machines.len());
        last_wanted_at.resize(last_wanted_at.len().max(tracked), Time::ZERO);
        last_wanted_at[..tracked].fill(now);
        self.moves.last_counts.insert(pool.clone(), (current, wanted));
        PoolMachines { current, wanted, idle, unusable }
    }

    /// Returns the use of each pool that tasks run in.
    pub fn pool_loads(&self, now: Time) -> IndexMap<PoolId, PoolLoad> {
        let counts = self.moves.last_counts.iter();
        counts.map(|(pool, counts)| (pool.clone(), self.pool_load(pool, *counts, now))).collect()
    }

    fn pool_load(&self, pool: &PoolId, (machines, wanted): (usize, usize), now: Time) -> PoolLoad {
        let waiting_processors = self.waiting_demand(pool, None, now).processors;
        let mut load = PoolLoad { machines, wanted, waiting_processors, ..PoolLoad::default() };
        let (mut used, mut capacity) = (Resources::default(), Resources::default());
        for worker in self.workers.values().filter(|w| w.info.pool == *pool && w.registered) {
            let mut tasks = worker.assigned.keys();
            if worker.assigned.is_empty() {
                load.idle += 1;
            } else if tasks.all(|t| self.step_of(t).is_some_and(|s| s.long_running)) {
                load.long_running_only += 1;
            }
            used = worker.assigned.values().fold(used, |sum, r| sum.plus(r));
            capacity = capacity.plus(&worker.info.capacity);
        }
        let permille =
            |used: u64, all: u64| used.saturating_mul(1_000).checked_div(all).unwrap_or(0);
        load.processors_permille = permille(used.processors, capacity.processors);
        // In KiB, so that a thousand times the memory of a large fleet fits.
        load.memory_permille = permille(used.memory >> 10, capacity.memory >> 10);
        load
    }

    /// Whether a machine can receive starts, now or once its move or maintenance is over.
    fn counts_as_capacity(&self, machine: &Machine) -> bool {
        if machine.state == MachineState::Down
            || self.active_config.zones_out.contains(&machine.zone)
        {
            return false;
        }
        let worker = machine.worker.as_ref().and_then(|id| self.workers.get(id));
        worker.is_none_or(|w| !w.info.draining && w.unanswered_polls <= MAX_UNANSWERED_POLLS)
    }

    /// Whether a worker is up on the machine.
    fn is_ready(&self, machine: &Machine) -> bool {
        let worker = machine.worker.as_ref().and_then(|id| self.workers.get(id));
        machine.state == MachineState::Up && worker.is_some_and(|w| w.synced)
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let Some(worker) = machine.worker.as_ref().and_then(|id| self.workers.get(id)) else {
            return false;
        };
        // A cordoned worker is being drained for maintenance and returns to the pool afterwards.
        let idle = worker.registered && worker.synced && worker.assigned.is_empty();
        idle && !worker.cordoned && self.can_be_ordered(&machine.id)
    }

    /// Returns how many machines the pool wanted within `SURPLUS_DELAY`.
    fn recently_wanted(&self, pool: &PoolId, now: Time) -> usize {
        let last_wanted_at = self.moves.last_wanted_at.get(pool).map_or(&[][..], Vec::as_slice);
        last_wanted_at.iter().filter(|at| now < **at + SURPLUS_DELAY).count()
    }

    /// Returns how many machines the running and waiting tasks of a pool need, or the expected
    /// demand if that needs more.
    fn machines_needed(&mut self, pool: &PoolId, now: Time) -> usize {
        let expected_processors = self.moves.arrivals.expected_demand(pool, now);
        let workers = || self.workers.values().filter(|w| w.info.pool == *pool);
        let known = self.known_workers(pool);
        let Some(full) = known.iter().map(|w| w.full_capacity).max_by_key(|c| c.processors) else {
            // Without a worker, the size of a machine is unknown; any waiting task then needs the
            // minimum number of machines.
            return usize::from(self.waiting_demand(pool, None, now) != Resources::default())
                * MIN_POOL_MACHINES;
        };
        let assigned = workers().flat_map(|w| w.assigned.values());
        let assigned =
            assigned.fold(Resources::default(), |sum, reservation| sum.plus(reservation));
        let waiting = self.waiting_demand(pool, Some(&full), now);
        let machines_for = |assigned: u64, waiting: u64, size: fn(&Resources) -> u64| {
            let whole = size(&full);
            if whole == 0 {
                return 0;
            }
            let load = assigned as f64 + WAITING_FRACTION * waiting as f64;
            let shares = known.iter().map(|w| {
                let (now, whole) = (size(&w.info.capacity), size(&w.full_capacity));
                if now < whole { now as f64 / whole as f64 } else { 1.0 }
            });
            count_machines(load / (TARGET_UTILIZATION * whole as f64), shares)
        };
        let expected = self.long_running_processors(pool).saturating_add(expected_processors);
        machines_for(assigned.processors, waiting.processors, |r| r.processors)
            .max(machines_for(assigned.memory, waiting.memory, |r| r.memory))
            .max(machines_for(expected, 0, |r| r.processors))
    }

    /// Returns the workers of a pool by which its size is known. No worker may stand behind an entry that
    /// has not answered; in a new term none has.
    fn known_workers(&self, pool: &PoolId) -> Vec<&Worker> {
        let in_pool = || self.workers.values().filter(|w| w.info.pool == *pool);
        let has_answered =
            |w: &&Worker| w.registered && w.clock_reading.is_some() && !w.info.draining;
        let answered: Vec<&Worker> = in_pool().filter(has_answered).collect();
        if answered.is_empty() { in_pool().collect() } else { answered }
    }

    /// Whether a task waits that has room on a whole machine, but on no worker of the pool since these
    /// have shrunk.
    fn task_waits_for_whole_machine(&self, pool: &PoolId, now: Time) -> bool {
        let known = self.known_workers(pool);
        if known.iter().all(|w| w.info.capacity == w.full_capacity) {
            return false;
        }
        let fits = |step: &Step, capacity: &Resources| {
            step.reservation().fits(&Resources { slots: u32::MAX, ..*capacity })
        };
        self.waiting_steps(pool, now).any(|(step, tasks)| {
            tasks > 0
                && known.iter().any(|w| fits(step, &w.full_capacity))
                && !known.iter().any(|w| fits(step, &w.info.capacity))
        })
    }

    /// Processors that long-running tasks reserve in a pool, in thousandths.
    fn long_running_processors(&self, pool: &PoolId) -> u64 {
        let workers = self.workers.values().filter(|w| w.info.pool == *pool);
        let assigned = workers.flat_map(|w| w.assigned.iter());
        assigned
            .filter(|(task, _)| self.step_of(task).is_some_and(|s| s.long_running))
            .fold(0, |sum: u64, (_, reservation)| sum.saturating_add(reservation.processors))
    }

    /// Whether any long-running task of a pool has been waiting for placement for longer than
    /// `LONG_RUNNING_WAIT`.
    fn long_running_task_waits(&self, pool: &PoolId, now: Time) -> bool {
        let declarations = &self.active_config.declarations;
        let in_pool = |j: &&Job| j.queue_in(declarations).is_some_and(|q| q.pool == *pool);
        let mut jobs = self.jobs.values().filter(|j| !j.state.is_final()).filter(in_pool);
        jobs.any(|job| {
            let steps = job.spec.steps.iter().enumerate().filter(|(_, s)| s.long_running);
            let tasks = steps.flat_map(|(index, _)| {
                job.open_occurrences.iter().flat_map(move |occurrence| {
                    let waiting = startable_tasks(job, occurrence, index, now).into_iter();
                    waiting.map(move |task| &occurrence.steps[index][task])
                })
            });
            let waiting_since = |t: &Task| t.unavailable_since.unwrap_or(job.first_seen_at);
            tasks.into_iter().any(|t| now > waiting_since(t) + LONG_RUNNING_WAIT)
        })
    }

    /// Resources of the tasks of a pool that may start but are not assigned. A task counts for no more
    /// than `capacity`, that of a machine, if it is known: more machines do not help a larger one.
    fn waiting_demand(&self, pool: &PoolId, capacity: Option<&Resources>, now: Time) -> Resources {
        self.waiting_steps(pool, now).fold(Resources::default(), |sum, (step, tasks)| {
            sum.plus(&reservation_times(step, tasks as u64, capacity))
        })
    }

    /// Returns the open steps of a pool's jobs, each with the number of tasks that may start but are not
    /// assigned.
    fn waiting_steps(&self, pool: &PoolId, now: Time) -> impl Iterator<Item = (&Step, usize)> {
        let declarations = &self.active_config.declarations;
        let jobs = self.jobs.values().filter(move |job| {
            let queue = job.queue_in(declarations);
            !job.state.is_final() && queue.is_some_and(|q| q.pool == *pool)
        });
        jobs.flat_map(move |job| {
            job.open_occurrences.iter().flat_map(move |occurrence| {
                job.spec.steps.iter().enumerate().map(move |(index, step)| {
                    (step, startable_tasks(job, occurrence, index, now).len())
                })
            })
        })
    }
}

/// Returns how many machines stand for a number of whole ones, if of the pool's machines only these shares
/// are left. Shrunk ones count first: the tasks that they run keep them in the pool.
fn count_machines(whole: f64, shares: impl Iterator<Item = f64>) -> usize {
    let mut shrunk: Vec<f64> = shares.filter(|share| *share < 1.0).collect();
    shrunk.sort_by(f64::total_cmp);
    let (mut count, mut left): (usize, f64) = (0, whole);
    for share in shrunk {
        if left <= 0.0 {
            return count;
        }
        left -= share;
        count += 1;
    }
    count.saturating_add(left.max(0.0).ceil() as usize)
}

fn reservation_times(step: &Step, count: u64, capacity: Option<&Resources>) -> Resources {
    let reservation = step.reservation();
    let (max_processors, max_memory) =
        capacity.map_or((u64::MAX, u64::MAX), |c| (c.processors, c.memory));
    Resources {
        processors: reservation.processors.min(max_processors).saturating_mul(count),
        memory: reservation.memory.min(max_memory).saturating_mul(count),
        ..Resources::default()
    }
}

/// Returns the pool with the smallest fraction of the machines that it wants, so that several short
/// pools share what there is in proportion; `None` if no pool wants more.
fn neediest_pool(machines_by_pool: &IndexMap<PoolId, PoolMachines>) -> Option<PoolId> {
    let short = machines_by_pool.iter().filter(|(_, p)| p.wanted > p.current);
    let neediest = short.min_by_key(|(_, p)| p.current * 1_000 / p.wanted);
    neediest.map(|(pool, _)| pool.clone())
}

/// Removes an idle machine from the pool with the largest surplus and returns it.
fn take_surplus_machine(
    machines_by_pool: &mut IndexMap<PoolId, PoolMachines>,
    for_pool: &PoolId,
) -> Option<MachineId> {
    let donors = machines_by_pool.iter_mut().filter(|(pool, p)| {
        *pool != for_pool && p.current > p.wanted.max(MIN_POOL_MACHINES) && !p.idle.is_empty()
    });
    let (_, donor) = donors.max_by_key(|(_, p)| p.current - p.wanted)?;
    donor.current -= 1;
    donor.idle.pop()
}
