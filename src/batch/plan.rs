//! Which waiting tasks start now, and where.
//!
//! A pool's waiting tasks are taken by the priority of their queue, those whose objective can still
//! be met first, then by how far their team is below its share, then by objective.

use crate::batch::declared::{Queue, Team};
use crate::batch::job::{Job, Occurrence, Phase, Step, Task, TaskId, WorkerId};
use crate::batch::owner::{Owner, task_id};
use crate::batch::place::{self, Wanted};
use crate::fair::Resources;
use crate::ids::{JobId, PoolId, RackId, TeamId, Time};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fails of one step to find room in a pass after which its other tasks are not tried.
const TRIES_PER_STEP: u32 = 1;

/// One step of an open occurrence with tasks that may start.
struct Ready {
    job: JobId,
    team: Option<TeamId>,
    pool: PoolId,
    occurrence: u32,
    step: usize,
    /// Indexes of tasks that may start, in order.
    tasks: Vec<usize>,
    order: Order,
}

/// Smaller goes first; the team's share comes between `priority` and `due`.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    late: bool,
    priority: u32,
    due: Time,
}

impl Owner {
    /// Places waiting tasks while room and limits allow.
    pub fn plan(&mut self, now: Time) {
        let mut teams: BTreeMap<Option<TeamId>, Vec<Ready>> = BTreeMap::new();
        for ready in self.ready(now) {
            teams.entry(ready.team.clone()).or_default().push(ready);
        }
        for queue in teams.values_mut() {
            // The next one stands last.
            queue.sort_by_key(|ready| Reverse(ready.order));
        }
        while let Some(team) = self.next_team(&teams) {
            let Some(queue) = teams.get_mut(&team) else { break };
            let Some(ready) = queue.pop() else { break };
            self.start_step(&ready, now);
        }
    }

    /// The team whose next step goes first.
    fn next_team(&self, teams: &BTreeMap<Option<TeamId>, Vec<Ready>>) -> Option<Option<TeamId>> {
        let heads = teams.iter().filter_map(|(team, queue)| Some((team, queue.last()?)));
        let best = heads.min_by_key(|(team, head)| {
            (head.order.late, head.order.priority, self.share_used(team.as_ref()), head.order.due)
        });
        best.map(|(team, _)| team.clone())
    }

    /// Processors in use over weight.
    fn share_used(&self, team: Option<&TeamId>) -> u64 {
        let Some(id) = team else { return 0 };
        let weight = self.in_force.declared.teams.get(id).map_or(1, |t| t.weight.max(1));
        self.used_by(id).processors / u64::from(weight)
    }

    fn ready(&self, now: Time) -> Vec<Ready> {
        let mut found = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let Some(queue) = self.in_force.declared.queue(&job.queue) else { continue };
            if queue.advised {
                // Workers refuse a start without a ticket of the advisory service.
                continue;
            }
            for open in &job.open {
                for step in 0..open.steps.len() {
                    let tasks = startable(job, open, step, now);
                    if tasks.is_empty() {
                        continue;
                    }
                    found.push(Ready {
                        job: id.clone(),
                        team: job.team.clone(),
                        pool: queue.pool.clone(),
                        occurrence: open.number,
                        step,
                        tasks,
                        order: order(job, &job.spec.steps[step], queue, now),
                    });
                }
            }
        }
        found
    }

    fn start_step(&mut self, ready: &Ready, now: Time) {
        let Some(job) = self.jobs.get(&ready.job) else { return };
        let Some(step) = job.spec.steps.get(ready.step).cloned() else { return };
        let Some(open) = job.open.iter().find(|o| o.number == ready.occurrence) else { return };
        let (mut beside, mut racks) = self.spread(open, ready.step);
        let mut chosen: Vec<(TaskId, WorkerId, u32)> = Vec::new();
        let run = open.steps[ready.step].iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let mut tries = 0;
        for index in &ready.tasks {
            let Some(job) = self.jobs.get(&ready.job) else { return };
            let id = task_id(&ready.job, ready.occurrence, ready.step, *index);
            let Some(task) = job.task(&id).cloned() else { return };
            if !self.team_allows(ready.team.as_ref(), &step) {
                break;
            }
            let Some(worker) = self.choose(&ready.pool, &step, &task, &beside, &racks, now) else {
                tries += 1;
                if tries >= TRIES_PER_STEP {
                    break;
                }
                continue;
            };
            *beside.entry(worker.clone()).or_insert(0) += 1;
            if let Some(w) = self.workers.get(&worker) {
                *racks.entry(w.listed.rack.clone()).or_insert(0) += 1;
            }
            let run = if step.gang { run } else { task.run + 1 };
            self.hold(&id, &worker, run, now);
            chosen.push((id, worker, run));
        }
        if step.gang && chosen.len() < step.count as usize {
            self.take_back(&chosen);
        }
    }

    fn choose(
        &self,
        pool: &PoolId,
        step: &Step,
        task: &Task,
        beside: &IndexMap<WorkerId, u32>,
        racks: &IndexMap<RackId, u32>,
        now: Time,
    ) -> Option<WorkerId> {
        let wanted = Wanted { pool, step, task, beside, racks };
        place::place(&self.workers, &self.in_force.zones_out, now, &wanted)
    }

    /// Tasks of the step at each worker and on each rack.
    fn spread(
        &self,
        open: &Occurrence,
        step: usize,
    ) -> (IndexMap<WorkerId, u32>, IndexMap<RackId, u32>) {
        let (mut beside, mut racks) = (IndexMap::new(), IndexMap::new());
        for task in &open.steps[step] {
            let Phase::Held(held) = &task.phase else { continue };
            *beside.entry(held.worker.clone()).or_insert(0) += 1;
            if let Some(worker) = self.workers.get(&held.worker) {
                *racks.entry(worker.listed.rack.clone()).or_insert(0) += 1;
            }
        }
        (beside, racks)
    }

    /// Whether the team may have one more task of the step running.
    fn team_allows(&self, team: Option<&TeamId>, step: &Step) -> bool {
        let Some(id) = team else { return true };
        // A team that is no longer declared keeps its accepted jobs; no limit is known for it.
        let Some(declared) = self.in_force.declared.teams.get(id) else { return true };
        within(&self.used_by(id), &step.need, declared)
    }
}

/// Whether a team that uses `used` may use `more`; zero is no limit. A team that uses under half of
/// its limit may exceed it by one task, or a task larger than what is left would never run. The
/// platform allows a tenth and one task beyond the limit.
fn within(used: &Resources, more: &Resources, team: &Team) -> bool {
    let ok = |used: u64, more: u64, limit: u64| {
        limit == 0 || used.saturating_add(more) <= limit || used < limit / 2
    };
    let limit = &team.limit;
    ok(used.processors, more.processors, limit.processors)
        && ok(used.memory, more.memory, limit.memory)
        && ok(used.accelerators.into(), more.accelerators.into(), limit.accelerators.into())
}

/// Indexes of the tasks of a step that may start.
pub(super) fn startable(job: &Job, open: &Occurrence, step: usize, now: Time) -> Vec<usize> {
    let Some(spec) = job.spec.steps.get(step) else { return Vec::new() };
    if !spec.after.iter().all(|earlier| open.step_done(*earlier)) {
        return Vec::new();
    }
    let tasks = &open.steps[step];
    let waits = |t: &Task| t.phase == Phase::Waiting && now >= t.not_before;
    if spec.gang && !tasks.iter().all(waits) {
        return Vec::new();
    }
    let waiting = tasks.iter().enumerate().filter(|(_, t)| waits(t));
    waiting.map(|(index, _)| index).collect()
}

fn order(job: &Job, step: &Step, queue: &Queue, now: Time) -> Order {
    if step.lasting {
        // Each second that such a task is away counts, however old its job is.
        return Order { late: false, priority: 0, due: Time::ZERO };
    }
    let objective = longest_chain(job).mul_f64(queue.slack_factor) + queue.target_latency;
    let due = job.known_at + objective;
    Order { late: now > due, priority: queue.priority, due }
}

/// Declared run time of the longest chain of steps.
fn longest_chain(job: &Job) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.spec.steps.len());
    for step in &job.spec.steps {
        // Steps name only earlier ones; the parser checks it.
        let starts = step.after.iter().filter_map(|s| ends.get(*s as usize)).max();
        ends.push(starts.copied().unwrap_or_default() + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
