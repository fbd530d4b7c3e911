//! Maintenance of machines in waves.
//!
//! A machine that is due receives no new starts until its short tasks have ended. Maintenance ends
//! its long-running tasks, so it begins only while each of their steps may miss one more task.

use crate::batch::declarations::Wave;
use crate::batch::job::{Assignment, Phase, TaskId, WorkerId};
use crate::batch::owner::{Owner, OwnerEvent};
use crate::ids::{JobId, PoolId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest time after which the platform carries out an order that got no response.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(12);
/// Time for which a task must have run at full speed to count as available. A worker lists a run as
/// running while it carries out a stop, which takes 200 ms at most, and reports the end at once. After
/// its first report to an owner, it rejects the stops of previous ones.
const STOP_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Name of a machine; stays the same when the worker on it changes.
pub type MachineId = Arc<str>;
/// Machines of a wave to drain in addition to those that may be in maintenance, so that the next
/// one is ready in time.
const DRAIN_AHEAD: usize = 1;

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    Up,
    Moving,
    Maintenance,
    Down,
}

/// A machine as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub id: MachineId,
    pub pool: PoolId,
    pub zone: ZoneId,
    pub state: MachineState,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
}

/// Order to the platform to begin a machine's maintenance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct MaintenanceOrder {
    pub machine: MachineId,
    pub wave: u64,
}

/// Why a machine's maintenance is delayed although the wave has a free slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Blocker {
    /// A task that is not long-running is assigned to the machine.
    ShortTask { task: TaskId },
    /// The step would miss too many tasks: `away` of its tasks are already unavailable, and `here`
    /// more would end with this machine and others chosen in the same pass.
    Tolerance { task: TaskId, away: u32, here: u32, may_miss: u32 },
}

/// Progress of the active waves.
#[derive(Clone, Debug, Default)]
pub struct WaveProgress {
    /// Machines whose maintenance has begun, by wave.
    pub begun_machines: IndexMap<u64, IndexSet<MachineId>>,
}

impl WaveProgress {
    /// Returns the machines of a wave whose maintenance has not begun.
    pub fn remaining_machines<'a>(&'a self, wave: &'a Wave) -> impl Iterator<Item = &'a MachineId> {
        let begun = self.begun_machines.get(&wave.number);
        wave.machines.iter().filter(move |m| !begun.is_some_and(|b| b.contains(*m)))
    }

    /// Records that a machine's maintenance has begun.
    pub fn mark_begun(&mut self, wave: u64, machine: MachineId) {
        self.begun_machines.entry(wave).or_default().insert(machine);
    }
}

impl Owner {
    /// Returns the machines whose maintenance may begin now, and cordons those to be drained. Orders
    /// of previous owners may still take effect: the machines that they ordered count as down, and
    /// tasks as unavailable until their workers have been followed for `STOP_SETTLE_TIME`.
    pub fn plan_maintenance(
        &mut self,
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Vec<MaintenanceOrder> {
        self.maintenance_in_flight.clear();
        self.ordered_machines.expire(now);
        self.machines_listed_at = Some(now);
        self.unanswered_maintenance.retain(|machine, at| {
            let is_down = |m: &Machine| m.state == MachineState::Maintenance;
            now < *at + LATE_ORDER_WINDOW && !machines.get(machine).is_some_and(is_down)
        });
        let active_config = self.active_config.clone();
        let mut chosen = Vec::new();
        let mut lost_tasks = StepCounts::new();
        let mut blocked: Vec<(MachineId, Blocker)> = Vec::new();
        let mut cordoned: IndexSet<WorkerId> = IndexSet::new();
        for wave in active_config.waves.values() {
            let away = wave
                .machines
                .iter()
                .filter(|m| {
                    machines.get(*m).is_some_and(|m| m.state == MachineState::Maintenance)
                        || self.may_follow_previous_order(m)
                })
                .count();
            let mut available_slots = (wave.max_at_once as usize).saturating_sub(away);
            let mut cordons_left = available_slots + DRAIN_AHEAD;
            for machine in self.due_machines(wave, machines, now) {
                let worker = machine.worker.as_ref().filter(|w| self.workers.contains_key(*w));
                if let Some(worker) = worker
                    && cordons_left > 0
                {
                    cordons_left -= 1;
                    cordoned.insert(worker.clone());
                }
                if available_slots == 0 {
                    continue;
                }
                let lost_with_machine = match worker {
                    Some(worker) => self.tasks_lost_with(worker, &lost_tasks, now),
                    None => Ok(lost_tasks.clone()),
                };
                match lost_with_machine {
                    Ok(lost_with_machine) => {
                        lost_tasks = lost_with_machine;
                        available_slots -= 1;
                        chosen.push(MaintenanceOrder {
                            machine: machine.id.clone(),
                            wave: wave.number,
                        });
                    }
                    Err(blocker) => {
                        // The machine may go down without another order.
                        if self.may_begin_maintenance(&machine.id, now) {
                            available_slots -= 1;
                        }
                        blocked.push((machine.id.clone(), blocker));
                    }
                }
            }
        }
        for (machine, blocker) in blocked {
            self.evict_excess_task(&blocker, &lost_tasks, now);
            if self.maintenance_blockers.insert(machine.clone(), blocker.clone()).as_ref()
                != Some(&blocker)
            {
                self.emit(OwnerEvent::MaintenanceBlocked { machine, blocker });
            }
        }
        for order in &chosen {
            // Prevents a start between this decision and the order to the platform.
            let worker = machines.get(&order.machine).and_then(|m| m.worker.clone());
            cordoned.extend(worker);
        }
        for (id, worker) in &mut self.workers {
            worker.cordoned =
                cordoned.contains(id) || self.moves.in_flight.contains_key(&worker.info.machine);
        }
        chosen
    }

    /// Returns the chosen orders that are still permitted after their announcement. A task lost in
    /// the meantime may have used up its step's tolerance.
    pub fn confirm_maintenance(
        &mut self,
        chosen: &[MaintenanceOrder],
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Vec<MaintenanceOrder> {
        let mut confirmed = self.plan_maintenance(machines, now);
        confirmed.retain(|order| chosen.contains(order));
        self.maintenance_in_flight = confirmed.iter().map(|o| o.machine.clone()).collect();
        confirmed
    }

    /// Returns the machines of a wave that can begin maintenance: those whose order got no response
    /// first, then those with the fewest tasks.
    fn due_machines<'a>(
        &self,
        wave: &Wave,
        machines: &'a IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Vec<&'a Machine> {
        let remaining =
            self.wave_progress.remaining_machines(wave).filter_map(|id| machines.get(id));
        let mut due_machines: Vec<&Machine> = remaining
            .filter(|m| m.state == MachineState::Up && self.can_be_ordered(&m.id))
            .collect();
        let worker = |m: &Machine| m.worker.as_ref().and_then(|id| self.workers.get(id));
        // Machines that are already being drained stay first; otherwise they would have been
        // drained for nothing.
        due_machines.sort_by_key(|m| {
            let (is_new, tasks) = worker(m)
                .map_or((false, 0), |w| (!w.cordoned && !w.assigned.is_empty(), w.assigned.len()));
            (!self.may_begin_maintenance(&m.id, now), is_new, tasks)
        });
        due_machines
    }

    /// Stops one long-running task on a machine that holds more tasks of a step than the step may
    /// miss, so that it runs on another machine. `lost_tasks` are the tasks that end with machines
    /// chosen in the same pass.
    fn evict_excess_task(&mut self, blocker: &Blocker, lost_tasks: &StepCounts, now: Time) {
        let Blocker::Tolerance { task, here, may_miss, .. } = blocker else { return };
        // Counted again because evictions from other machines in this pass may have changed it.
        let away = self.count_unavailable(task, None, now)
            + lost_tasks.get(&step_key(task)).copied().unwrap_or(0);
        if here > may_miss && away < *may_miss {
            self.stop_task(task, now);
        }
    }

    /// Records that a machine's maintenance has begun, now or earlier. The platform gives the same
    /// answer to a repeated order, so only the list of machines shows whether its worker has ended.
    pub fn record_maintenance_start(&mut self, order: &MaintenanceOrder) {
        // A repeated order has no further effect.
        self.unanswered_maintenance.swap_remove(&order.machine);
        self.crashes.forget_machine(&order.machine);
        self.wave_progress.mark_begun(order.wave, order.machine.clone());
        self.dirty_waves.insert(order.wave);
    }

    /// Ends the workers of machines that are moving or in maintenance, together with all their
    /// runs. A worker that the owner learned of after the list was requested may be the next one on
    /// its machine, and is left alone.
    pub fn apply_machine_list(
        &mut self,
        machines: &IndexMap<MachineId, Machine>,
        requested_at: Time,
        now: Time,
    ) {
        let away =
            |m: &Machine| matches!(m.state, MachineState::Moving | MachineState::Maintenance);
        let ended = self.workers.values().filter(|w| {
            w.ended_incarnation.is_none()
                && w.incarnation_seen_at < requested_at
                && machines.get(&w.info.machine).is_some_and(away)
        });
        let ended: Vec<WorkerId> = ended.map(|w| w.info.id.clone()).collect();
        for id in ended {
            self.end_incarnation(&id, now);
            self.crashes.forget_losses(&id);
        }
    }

    /// Skips a machine that does not belong to the wave or no longer exists.
    pub fn skip_maintenance(&mut self, order: &MaintenanceOrder) {
        self.wave_progress.mark_begun(order.wave, order.machine.clone());
        self.dirty_waves.insert(order.wave);
    }

    /// Records that a maintenance order got no response, so the machine may be down, or may go down
    /// within `LATE_ORDER_WINDOW`.
    pub fn record_unanswered_maintenance(&mut self, order: &MaintenanceOrder, now: Time) {
        self.unanswered_maintenance.insert(order.machine.clone(), now);
    }

    /// Returns the long-running tasks by step that end with a worker, added to `lost_tasks`, the
    /// tasks that end with machines chosen in the same pass. Fails with the reason if the worker
    /// must keep running.
    fn tasks_lost_with(
        &self,
        worker: &str,
        lost_tasks: &StepCounts,
        now: Time,
    ) -> Result<StepCounts, Blocker> {
        let mut total = lost_tasks.clone();
        let Some(worker) = self.workers.get(worker) else { return Ok(total) };
        let machine = &*worker.info.machine;
        for task in worker.assigned.keys() {
            if self.step_of(task).is_none_or(|step| !step.long_running) {
                return Err(Blocker::ShortTask { task: task.clone() });
            }
            *total.entry(step_key(task)).or_insert(0) += 1;
        }
        for task in worker.assigned.keys() {
            let Some(may_miss) = self.step_of(task).and_then(|step| step.may_miss) else {
                continue;
            };
            let here = total.get(&step_key(task)).copied().unwrap_or(0);
            let away = self.count_unavailable(task, Some(machine), now);
            if away + here > may_miss {
                return Err(Blocker::Tolerance { task: task.clone(), away, here, may_miss });
            }
        }
        Ok(total)
    }

    /// Counts the tasks of the same step that do not run at full speed, whose machine may be down, or
    /// whose machine may go down on an order that got no response; the last not for the machine
    /// `except`.
    pub(super) fn count_unavailable(&self, task: &TaskId, except: Option<&str>, now: Time) -> u32 {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        let Some(occurrence) = job.open_occurrences.iter().find(|o| o.number == task.occurrence)
        else {
            return 0;
        };
        let Some(tasks) = occurrence.steps.get(task.step as usize) else { return 0 };
        let away = tasks.iter().filter(|t| match &t.phase {
            Phase::Assigned(assignment) => {
                assignment.stop_ordered
                    || !is_at_work(assignment, now)
                    || self.may_be_down(&assignment.worker, except, now)
            }
            Phase::Waiting | Phase::Done => true,
        });
        away.count() as u32
    }

    /// Whether another task of the same step is on a machine whose maintenance is being ordered.
    pub(super) fn may_lose_task_to_maintenance(&self, task: &TaskId) -> bool {
        let machines = &self.maintenance_in_flight;
        self.workers.values().filter(|w| machines.contains(&w.info.machine)).any(|w| {
            let mut assigned = w.assigned.keys();
            assigned.any(|other| other != task && step_key(other) == step_key(task))
        })
    }

    fn may_be_down(&self, worker: &str, except: Option<&str>, now: Time) -> bool {
        let Some(worker) = self.workers.get(worker) else { return true };
        let machine = &*worker.info.machine;
        worker.unanswered_polls > 0
            || self.may_follow_previous_order(machine)
            || (except != Some(machine) && self.may_begin_maintenance(machine, now))
    }

    /// Whether a maintenance order of a previous owner may still take effect on the machine. Once it
    /// has, the machine list shows it.
    fn may_follow_previous_order(&self, machine: &str) -> bool {
        let wave = self.ordered_machines.wave_ordered_by_previous(machine);
        wave.is_some_and(|wave| {
            let begun = self.wave_progress.begun_machines.get(&wave);
            !begun.is_some_and(|begun| begun.contains(machine))
        })
    }

    /// Whether a maintenance order without a response may still take effect on the machine.
    fn may_begin_maintenance(&self, machine: &str, now: Time) -> bool {
        let unanswered_at = self.unanswered_maintenance.get(machine);
        unanswered_at.is_some_and(|at| now < *at + LATE_ORDER_WINDOW)
    }
}

/// Whether a run has been at full speed for so long that it counts as available.
pub(super) fn is_at_work(assignment: &Assignment, now: Time) -> bool {
    assignment.full_speed_since.is_some_and(|since| now >= since + STOP_SETTLE_TIME)
}

/// Job, occurrence and step.
pub(super) type StepKey = (JobId, u32, u32);

/// Number of tasks by step.
type StepCounts = IndexMap<StepKey, u32>;

pub(super) fn step_key(task: &TaskId) -> StepKey {
    (task.job.clone(), task.occurrence, task.step)
}
