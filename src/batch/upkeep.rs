//! Machines: maintenance in waves.
//!
//! A machine that is due gets no new starts until its short tasks have ended. Its lasting tasks end
//! with it, so it goes only while each of their steps may miss one more.

use crate::batch::declared::Wave;
use crate::batch::job::{Phase, TaskId, WorkerId};
use crate::batch::owner::{Note, Owner};
use crate::ids::{JobId, PoolId, Time, ZoneId};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Name of a machine; it outlasts the workers that live on it.
pub type MachineId = Arc<str>;
/// Machines of a wave that are emptied beyond those that may be away, so that the next one is ready.
const AHEAD: usize = 1;

/// What a machine does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    Up,
    Moving,
    Upkeep,
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub id: MachineId,
    pub pool: PoolId,
    pub zone: ZoneId,
    pub state: MachineState,
    /// The worker that lives on it.
    pub worker: Option<WorkerId>,
}

/// A call to the platform about a machine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Upkeep {
    pub machine: MachineId,
    pub wave: u64,
}

/// Why a machine's maintenance waits though the wave has room for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Wait {
    /// A task that is not lasting runs there.
    ShortTask { task: TaskId },
    /// Of the task's step `away` others are not at work and `here` would go with the machine.
    Tolerance { task: TaskId, away: u32, here: u32, may_miss: u32 },
}

/// Progress of the waves in force.
#[derive(Clone, Debug, Default)]
pub struct Waves {
    /// Machines whose maintenance has begun, by wave.
    pub begun: IndexMap<u64, IndexSet<MachineId>>,
}

impl Waves {
    /// Machines of a wave that are still to begin.
    pub fn left<'a>(&'a self, wave: &'a Wave) -> impl Iterator<Item = &'a MachineId> {
        let begun = self.begun.get(&wave.number);
        wave.machines.iter().filter(move |m| !begun.is_some_and(|b| b.contains(*m)))
    }

    /// Notes that a machine's maintenance has begun.
    pub fn begin(&mut self, wave: u64, machine: MachineId) {
        self.begun.entry(wave).or_default().insert(machine);
    }
}

impl Owner {
    /// Machines whose maintenance may begin now. Marks those that are to be emptied. A fresh owner
    /// waits: a worker lists a run as running while it carries out an earlier owner's stop, so the
    /// tasks that are away cannot be counted yet.
    pub fn plan_upkeep(
        &mut self,
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Vec<Upkeep> {
        self.touched.forget(now);
        if !self.touched.is_apart(now) {
            return Vec::new();
        }
        let in_force = self.in_force.clone();
        let mut chosen = Vec::new();
        let mut taken = StepCounts::new();
        let mut waits: Vec<(MachineId, Wait)> = Vec::new();
        let mut reserved: IndexSet<WorkerId> = IndexSet::new();
        for wave in in_force.waves.values() {
            let away = wave
                .machines
                .iter()
                .filter(|m| machines.get(*m).is_some_and(|m| m.state == MachineState::Upkeep))
                .count();
            let mut room = (wave.max_at_once as usize).saturating_sub(away);
            let mut emptied = room + AHEAD;
            for machine in self.due(wave, machines) {
                let worker = machine.worker.as_ref().filter(|w| self.workers.contains_key(*w));
                if let Some(worker) = worker
                    && emptied > 0
                {
                    emptied -= 1;
                    reserved.insert(worker.clone());
                }
                if room == 0 {
                    continue;
                }
                let with_this = match worker {
                    Some(worker) => self.may_take(worker, &taken),
                    None => Ok(taken.clone()),
                };
                match with_this {
                    Ok(with_this) => {
                        taken = with_this;
                        room -= 1;
                        chosen.push(Upkeep { machine: machine.id.clone(), wave: wave.number });
                    }
                    Err(wait) => waits.push((machine.id.clone(), wait)),
                }
            }
        }
        for (machine, wait) in waits {
            self.thin_out(&wait, &taken, now);
            if self.waits.insert(machine.clone(), wait.clone()).as_ref() != Some(&wait) {
                self.note(Note::UpkeepWaits { machine, wait });
            }
        }
        for order in &chosen {
            // No start comes between the decision and the order.
            let worker = machines.get(&order.machine).and_then(|m| m.worker.clone());
            reserved.extend(worker);
        }
        for (id, worker) in &mut self.workers {
            worker.reserved =
                reserved.contains(id) || self.moves.ordered.contains_key(&worker.listed.machine);
        }
        chosen
    }

    /// Those of the chosen orders that still hold now that they are announced: a task may have been
    /// lost meanwhile that its step cannot miss as well.
    pub fn confirm_upkeep(
        &mut self,
        chosen: &[Upkeep],
        machines: &IndexMap<MachineId, Machine>,
        now: Time,
    ) -> Vec<Upkeep> {
        let mut again = self.plan_upkeep(machines, now);
        again.retain(|order| chosen.contains(order));
        again
    }

    /// Machines of a wave that can begin, those first that hold the fewest tasks.
    fn due<'a>(&self, wave: &Wave, machines: &'a IndexMap<MachineId, Machine>) -> Vec<&'a Machine> {
        let left = self.waves.left(wave).filter_map(|id| machines.get(id));
        let mut due: Vec<&Machine> =
            left.filter(|m| m.state == MachineState::Up && self.is_free(&m.id)).collect();
        let worker = |m: &Machine| m.worker.as_ref().and_then(|id| self.workers.get(id));
        // One that is being emptied already stays first, so that none is emptied in vain.
        due.sort_by_key(|m| {
            worker(m).map_or((false, 0), |w| (!w.reserved && !w.held.is_empty(), w.held.len()))
        });
        due
    }

    /// Moves one lasting task off a machine that holds more of a step than the step may miss.
    /// `taken` holds what machines chosen in the same pass take.
    fn thin_out(&mut self, wait: &Wait, taken: &StepCounts, now: Time) {
        let Wait::Tolerance { task, here, may_miss, .. } = wait else { return };
        // Counted anew: another machine of this pass may have lost a task of the step.
        let away = self.away(task) + taken.get(&step_key(task)).copied().unwrap_or(0);
        if here > may_miss && away < *may_miss {
            self.stop_task(task, now);
        }
    }

    /// A machine's maintenance has begun, now or earlier: the platform answers a repeat in the same
    /// way, so only the list of machines tells whether its worker is over.
    pub fn upkeep_began(&mut self, order: &Upkeep) {
        self.waves.begin(order.wave, order.machine.clone());
        self.dirty_waves.insert(order.wave);
    }

    /// Workers of machines that are away for a move or maintenance are over, with all they ran.
    pub fn machines_listed(&mut self, machines: &IndexMap<MachineId, Machine>, now: Time) {
        let away = |m: &Machine| matches!(m.state, MachineState::Moving | MachineState::Upkeep);
        let over = self
            .workers
            .values()
            .filter(|w| w.over.is_none() && machines.get(&w.listed.machine).is_some_and(away));
        let over: Vec<WorkerId> = over.map(|w| w.listed.id.clone()).collect();
        for id in over {
            self.replaced(&id, now);
        }
    }

    /// A machine does not belong to the wave, or is gone.
    pub fn upkeep_unfit(&mut self, order: &Upkeep) {
        self.waves.begin(order.wave, order.machine.clone());
        self.dirty_waves.insert(order.wave);
    }

    /// Notes that an order about a machine had no answer: it may be down by now.
    pub fn upkeep_unsure(&mut self, order: &Upkeep, now: Time) {
        self.unsure_upkeep.insert(order.machine.clone(), now);
    }

    /// The lasting tasks that a worker takes with it, by step, or why it must not go now.
    /// `taken` holds what machines chosen in the same pass take.
    fn may_take(&self, worker: &str, taken: &StepCounts) -> Result<StepCounts, Wait> {
        let mut all = taken.clone();
        let Some(worker) = self.workers.get(worker) else { return Ok(all) };
        for task in worker.held.keys() {
            if self.step_of(task).is_none_or(|step| !step.lasting) {
                return Err(Wait::ShortTask { task: task.clone() });
            }
            *all.entry(step_key(task)).or_insert(0) += 1;
        }
        for task in worker.held.keys() {
            let Some(may_miss) = self.step_of(task).and_then(|step| step.may_miss) else {
                continue;
            };
            let here = all.get(&step_key(task)).copied().unwrap_or(0);
            let away = self.away(task);
            if away + here > may_miss {
                return Err(Wait::Tolerance { task: task.clone(), away, here, may_miss });
            }
        }
        Ok(all)
    }

    /// Tasks of a task's step that are not at work, or may have lost their machine.
    fn away(&self, task: &TaskId) -> u32 {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        let Some(open) = job.open.iter().find(|o| o.number == task.occurrence) else { return 0 };
        let Some(tasks) = open.steps.get(task.step as usize) else { return 0 };
        let away = tasks.iter().filter(|t| match &t.phase {
            Phase::Held(held) => {
                held.stopping || held.at_work_since.is_none() || self.may_be_down(&held.worker)
            }
            Phase::Waiting | Phase::Done => true,
        });
        away.count() as u32
    }

    fn may_be_down(&self, worker: &str) -> bool {
        let Some(worker) = self.workers.get(worker) else { return true };
        let asked = self.unsure_upkeep.get(&worker.listed.machine);
        worker.unanswered > 0 || asked.is_some_and(|at| *at >= worker.last_answer)
    }
}

/// Tasks by job, occurrence and step.
type StepCounts = IndexMap<(JobId, u32, u32), u32>;

fn step_key(task: &TaskId) -> (JobId, u32, u32) {
    (task.job.clone(), task.occurrence, task.step)
}
