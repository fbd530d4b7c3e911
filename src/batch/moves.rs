//! Machines follow the demand from pool to pool.
//!
//! A pool wants as many machines as its running and waiting tasks fill, and at least as many as the
//! work that arrives will keep busy when a machine that is ordered now is there. One that is short gets
//! machines from the standby pool, which cost nothing there, and then idle ones of other pools. A
//! machine that its pool has not wanted for a while goes to the standby pool. Only machines on which
//! nothing runs are moved, so a move throws no work away.

use crate::batch::forecast::Arrivals;
use crate::batch::job::{Job, Step, Task};
use crate::batch::owner::Owner;
use crate::batch::plan::startable;
use crate::batch::upkeep::{Machine, MachineId, MachineState};
use crate::fair::Resources;
use crate::ids::{PoolId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Part of a pool's room that its tasks are expected to fill; tasks of different sizes leave gaps.
const FILL: f64 = 0.85;
/// Part of the waiting tasks for which room is wanted at once; the rest follows the ones that end.
const WAITING_SHARE: f64 = 0.8;
/// Time that a pool must not want a machine before the machine leaves it. A seat for this long costs
/// about as much as the two moves that leaving and coming back take.
const UNWANTED_FOR: Duration = Duration::from_millis(2_500);
/// Fewest machines that stay in a pool, so that a first task starts without a move.
const MIN_MACHINES: usize = 2;
/// Time that a lasting task waits before its pool wants one more machine: a few passes of placement.
const LASTING_WAITS: Duration = Duration::from_millis(300);
/// Looks in a row without an answer after which a worker counts as no seat.
const MAX_UNANSWERED: u32 = 2;
/// Time after which an ordered move that the list does not show is ordered again.
const MOVE_AGAIN: Duration = Duration::from_secs(4);

/// An order to move a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    pub machine: MachineId,
    pub to: PoolId,
}

/// Moves under way and how long pools have had too much.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    /// Target and time of orders that the list may not show yet.
    pub ordered: IndexMap<MachineId, (PoolId, Time)>,
    /// When a pool last wanted so many machines, by number of machines.
    wanted_at: IndexMap<PoolId, Vec<Time>>,
    pub(super) arrivals: Arrivals,
}

impl Moves {
    /// No orders, and no demand known yet.
    pub fn new(now: Time) -> Moves {
        Moves { arrivals: Arrivals::new(now), ..Moves::default() }
    }
}

/// What a pool has and wants, in machines.
struct Seats {
    have: usize,
    want: usize,
    /// Machines without any task that may get one.
    idle: Vec<MachineId>,
    /// Machines without any task that get none, since their zone is out.
    useless: Vec<MachineId>,
}

impl Owner {
    /// Machines that are to move now. Their workers get no starts from here on.
    pub fn plan_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) -> Vec<Move> {
        self.touched.forget(now);
        self.forget_moves(machines, now);
        let pools = self.in_force.declared.pools.clone();
        let standby = pools.iter().find(|(_, p)| p.standby).map(|(id, _)| id.clone());
        let mut spare = self.spare_machines(machines, standby.as_ref());
        let mut seats: IndexMap<PoolId, Seats> = IndexMap::new();
        for (pool, _) in pools.iter().filter(|(_, p)| !p.standby) {
            seats.insert(pool.clone(), self.seats(pool, machines, now));
        }
        let mut moves = Vec::new();
        for (pool, short) in short_pools(&seats) {
            for _ in 0..short {
                let from_pool = || take_surplus(&mut seats, &pool);
                let Some(machine) = spare.pop().or_else(from_pool) else { break };
                moves.push(Move { machine, to: pool.clone() });
            }
        }
        if let Some(standby) = standby {
            for (pool, seat) in &mut seats {
                for machine in seat.useless.drain(..) {
                    moves.push(Move { machine, to: standby.clone() });
                }
                let keep = self.kept(pool, now).max(seat.want).max(MIN_MACHINES);
                while seat.have > keep {
                    let Some(machine) = seat.idle.pop() else { break };
                    seat.have -= 1;
                    moves.push(Move { machine, to: standby.clone() });
                }
            }
        }
        for order in &moves {
            self.moves.ordered.insert(order.machine.clone(), (order.to.clone(), now));
        }
        self.reserve_moving();
        moves
    }

    /// A machine's move will not begin.
    pub fn move_refused(&mut self, order: &Move) {
        self.moves.ordered.swap_remove(&order.machine);
        self.reserve_moving();
    }

    /// Whether a machine may get an order: it is not about to move, and no earlier owner gave it one a
    /// short time ago.
    pub(super) fn is_free(&self, machine: &str) -> bool {
        !self.moves.ordered.contains_key(machine) && !self.touched.is_earlier(machine)
    }

    fn reserve_moving(&mut self) {
        for worker in self.workers.values_mut() {
            if self.moves.ordered.contains_key(&worker.listed.machine) {
                worker.reserved = true;
            }
        }
    }

    /// Drops orders that the list shows as done, or that were given long ago.
    fn forget_moves(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) {
        self.moves.ordered.retain(|id, (to, at)| {
            let there = machines.get(id).is_none_or(|m| m.pool == *to);
            !there && now < *at + MOVE_AGAIN
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
                && self.is_free(&m.id)
                && !self.in_force.zones_out.contains(&m.zone)
        });
        spare.map(|m| m.id.clone()).collect()
    }

    fn seats(
        &mut self,
        pool: &PoolId,
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Seats {
        let leaving = |m: &Machine| self.moves.ordered.get(&m.id).is_some_and(|(to, _)| to != pool);
        let here: Vec<&Machine> =
            machines.values().filter(|m| m.pool == *pool && !leaving(m)).collect();
        let coming = self.moves.ordered.iter().filter(|(id, (to, _))| {
            to == pool && machines.get(*id).is_some_and(|m| m.pool != *pool)
        });
        let have = here.iter().filter(|m| self.is_seat(m)).count() + coming.count();
        let idle = here.iter().filter(|m| m.state == MachineState::Up && self.is_idle(m));
        let (idle, useless): (Vec<&&Machine>, Vec<_>) = idle.partition(|m| self.is_seat(m));
        let ids = |machines: Vec<&&Machine>| machines.iter().map(|m| m.id.clone()).collect();
        let (idle, useless) = (ids(idle), ids(useless));
        // Tasks that must be apart may need one more machine though there is room.
        let more = if self.lasting_waits(pool, now) { have + 1 } else { 0 };
        let want = self.wanted(pool, now).max(more);
        // What was there when the owner began counts as wanted then.
        let wanted_at = self.moves.wanted_at.entry(pool.clone()).or_insert_with(|| vec![now; have]);
        wanted_at.resize(wanted_at.len().max(want), Time::ZERO);
        wanted_at[..want].fill(now);
        Seats { have, want, idle, useless }
    }

    /// Whether a machine takes starts, now or after what it is at.
    fn is_seat(&self, machine: &Machine) -> bool {
        if machine.state == MachineState::Down || self.in_force.zones_out.contains(&machine.zone) {
            return false;
        }
        let worker = machine.worker.as_ref().and_then(|id| self.workers.get(id));
        worker.is_none_or(|w| !w.listed.draining && w.unanswered <= MAX_UNANSWERED)
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        let Some(worker) = machine.worker.as_ref().and_then(|id| self.workers.get(id)) else {
            return false;
        };
        // A wave empties it; it goes back to work after its maintenance.
        let idle = worker.present && worker.greeted && worker.held.is_empty();
        idle && !worker.reserved && self.is_free(&machine.id)
    }

    /// Machines that a pool wanted within `UNWANTED_FOR`.
    fn kept(&self, pool: &PoolId, now: Time) -> usize {
        let wanted_at = self.moves.wanted_at.get(pool).map_or(&[][..], Vec::as_slice);
        wanted_at.iter().filter(|at| now < **at + UNWANTED_FOR).count()
    }

    /// Machines that running and waiting tasks of a pool fill, or that the demand to come will.
    fn wanted(&mut self, pool: &PoolId, now: Time) -> usize {
        let expected = self.moves.arrivals.expected(pool, now);
        let workers = || self.workers.values().filter(|w| w.listed.pool == *pool);
        let Some(one) = workers().map(|w| w.listed.capacity).max_by_key(|c| c.processors) else {
            // No worker tells the size of a machine; one task wants one machine.
            return usize::from(self.waiting(pool, now) != Resources::default()) * MIN_MACHINES;
        };
        let held = workers().flat_map(|w| w.held.values());
        let held = held.fold(Resources::default(), |sum, need| sum.plus(need));
        let waiting = self.waiting(pool, now);
        let part = |held: u64, waiting: u64, one: u64| {
            let load = held as f64 + WAITING_SHARE * waiting as f64;
            if one == 0 { 0.0 } else { load / (FILL * one as f64) }
        };
        let machines = part(held.processors, waiting.processors, one.processors).max(part(
            held.memory,
            waiting.memory,
            one.memory,
        ));
        let coming = part(self.held_lasting(pool) + expected, 0, one.processors);
        machines.max(coming).ceil() as usize
    }

    /// Thousandths of a processor that lasting tasks take up in a pool.
    fn held_lasting(&self, pool: &PoolId) -> u64 {
        let workers = self.workers.values().filter(|w| w.listed.pool == *pool);
        let held = workers.flat_map(|w| w.held.iter());
        held.filter(|(task, _)| self.step_of(task).is_some_and(|s| s.lasting))
            .map(|(_, room)| room.processors)
            .sum()
    }

    /// Whether a lasting task finds no place for a while.
    fn lasting_waits(&self, pool: &PoolId, now: Time) -> bool {
        let declared = &self.in_force.declared;
        let here = |j: &&Job| declared.queue(&j.queue).is_some_and(|q| q.pool == *pool);
        let mut jobs = self.jobs.values().filter(|j| !j.state.is_final()).filter(here);
        jobs.any(|job| {
            let lasting = job.spec.steps.iter().enumerate().filter(|(_, s)| s.lasting);
            let tasks = lasting.flat_map(|(index, _)| {
                job.open.iter().flat_map(move |open| {
                    let waiting = startable(job, open, index, now).into_iter();
                    waiting.map(move |task| &open.steps[index][task])
                })
            });
            let since = |t: &Task| t.away_since.unwrap_or(job.known_at);
            tasks.into_iter().any(|t| now > since(t) + LASTING_WAITS)
        })
    }

    /// What the tasks of a pool take up that may start but have no place.
    fn waiting(&self, pool: &PoolId, now: Time) -> Resources {
        let mut sum = Resources::default();
        for job in self.jobs.values().filter(|j| !j.state.is_final()) {
            let queue = self.in_force.declared.queue(&job.queue);
            if queue.is_none_or(|q| q.pool != *pool) {
                continue;
            }
            for open in &job.open {
                for (index, step) in job.spec.steps.iter().enumerate() {
                    let tasks = startable(job, open, index, now).len();
                    sum = sum.plus(&times(step, tasks as u64));
                }
            }
        }
        sum
    }
}

fn times(step: &Step, count: u64) -> Resources {
    let room = step.room();
    Resources {
        processors: room.processors.saturating_mul(count),
        memory: room.memory.saturating_mul(count),
        ..Resources::default()
    }
}

/// Pools that are short and by how many machines, the shortest first.
fn short_pools(seats: &IndexMap<PoolId, Seats>) -> Vec<(PoolId, usize)> {
    let short = seats.iter().filter(|(_, s)| s.want > s.have);
    let mut short: Vec<_> = short.map(|(pool, s)| (pool.clone(), s.want - s.have)).collect();
    short.sort_by_key(|(_, machines)| std::cmp::Reverse(*machines));
    short
}

/// An idle machine of the pool with the largest surplus.
fn take_surplus(seats: &mut IndexMap<PoolId, Seats>, for_pool: &PoolId) -> Option<MachineId> {
    let donors = seats.iter_mut().filter(|(pool, s)| {
        *pool != for_pool && s.have > s.want.max(MIN_MACHINES) && !s.idle.is_empty()
    });
    let (_, donor) = donors.max_by_key(|(_, s)| s.have - s.want)?;
    donor.have -= 1;
    donor.idle.pop()
}
