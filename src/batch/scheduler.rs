//! Which waiting tasks start now, and where.
//!
//! A pool's waiting tasks are taken by the priority of their queue, those whose objective can still
//! be met first, then by how far their team is below its share, then by objective.

use crate::batch::declarations::{Queue, Team};
use crate::batch::job::{Job, Occurrence, Phase, Step, Task, TaskId, WorkerId};
use crate::batch::owner::{Owner, task_id};
use crate::batch::placement::{self, PlacementRequest};
use crate::fair::Resources;
use crate::ids::{JobId, PoolId, RackId, TeamId, Time};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fails of one step to find room in a pass after which its other tasks are not tried.
const MAX_FAILED_PLACEMENTS_PER_STEP: u32 = 1;

/// One step of an open occurrence with tasks that may start.
struct ReadyStep {
    job: JobId,
    team: Option<TeamId>,
    pool: PoolId,
    occurrence: u32,
    step: usize,
    /// Indexes of tasks that may start, in order.
    tasks: Vec<usize>,
    sort_key: SortKey,
}

/// Smaller goes first; the team's share comes between `priority` and `due`.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct SortKey {
    late: bool,
    priority: u32,
    due: Time,
}

impl Owner {
    /// Places waiting tasks while room and limits allow.
    pub fn schedule_tasks(&mut self, now: Time) {
        let mut teams: BTreeMap<Option<TeamId>, Vec<ReadyStep>> = BTreeMap::new();
        for ready in self.ready_steps(now) {
            teams.entry(ready.team.clone()).or_default().push(ready);
        }
        for queue in teams.values_mut() {
            // The next one stands last.
            queue.sort_by_key(|ready| Reverse(ready.sort_key));
        }
        while let Some(team) = self.next_team(&teams) {
            let Some(queue) = teams.get_mut(&team) else { break };
            let Some(ready) = queue.pop() else { break };
            self.start_step(&ready, now);
        }
    }

    /// The team whose next step goes first.
    fn next_team(
        &self,
        teams: &BTreeMap<Option<TeamId>, Vec<ReadyStep>>,
    ) -> Option<Option<TeamId>> {
        let heads = teams.iter().filter_map(|(team, queue)| Some((team, queue.last()?)));
        let best = heads.min_by_key(|(team, head)| {
            (
                head.sort_key.late,
                head.sort_key.priority,
                self.weighted_usage(team.as_ref()),
                head.sort_key.due,
            )
        });
        best.map(|(team, _)| team.clone())
    }

    /// Processors in use over weight.
    fn weighted_usage(&self, team: Option<&TeamId>) -> u64 {
        let Some(id) = team else { return 0 };
        let weight = self.active_config.declarations.teams.get(id).map_or(1, |t| t.weight.max(1));
        self.team_usage(id).processors / u64::from(weight)
    }

    fn ready_steps(&self, now: Time) -> Vec<ReadyStep> {
        let mut ready_steps = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let Some(queue) = self.active_config.declarations.queue(&job.queue) else { continue };
            if queue.requires_advice {
                // Workers refuse a start without a ticket of the advisory service.
                continue;
            }
            for occurrence in &job.open_occurrences {
                for step in 0..occurrence.steps.len() {
                    let tasks = startable_tasks(job, occurrence, step, now);
                    if tasks.is_empty() {
                        continue;
                    }
                    ready_steps.push(ReadyStep {
                        job: id.clone(),
                        team: job.team.clone(),
                        pool: queue.pool.clone(),
                        occurrence: occurrence.number,
                        step,
                        tasks,
                        sort_key: sort_key(job, &job.spec.steps[step], queue, now),
                    });
                }
            }
        }
        ready_steps
    }

    fn start_step(&mut self, ready: &ReadyStep, now: Time) {
        let Some(job) = self.jobs.get(&ready.job) else { return };
        let Some(step) = job.spec.steps.get(ready.step).cloned() else { return };
        let Some(occurrence) = job.open_occurrences.iter().find(|o| o.number == ready.occurrence)
        else {
            return;
        };
        let (mut tasks_per_worker, mut tasks_per_rack) =
            self.count_assigned(occurrence, ready.step);
        let mut chosen: Vec<(TaskId, WorkerId, u32)> = Vec::new();
        let run = occurrence.steps[ready.step].iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let mut failed_placements = 0;
        for index in &ready.tasks {
            let Some(job) = self.jobs.get(&ready.job) else { return };
            let id = task_id(&ready.job, ready.occurrence, ready.step, *index);
            let Some(task) = job.task(&id).cloned() else { return };
            if !self.team_limit_allows(ready.team.as_ref(), &step) {
                break;
            }
            let Some(worker) = self.choose_worker(
                &ready.pool,
                &step,
                &task,
                &tasks_per_worker,
                &tasks_per_rack,
                now,
            ) else {
                failed_placements += 1;
                if failed_placements >= MAX_FAILED_PLACEMENTS_PER_STEP {
                    break;
                }
                continue;
            };
            *tasks_per_worker.entry(worker.clone()).or_insert(0) += 1;
            if let Some(w) = self.workers.get(&worker) {
                *tasks_per_rack.entry(w.info.rack.clone()).or_insert(0) += 1;
            }
            let run = if step.gang { run } else { task.run + 1 };
            self.assign(&id, &worker, run, now);
            chosen.push((id, worker, run));
        }
        if step.gang && chosen.len() < step.count as usize {
            self.undo_assignments(&chosen);
        }
    }

    fn choose_worker(
        &self,
        pool: &PoolId,
        step: &Step,
        task: &Task,
        tasks_per_worker: &IndexMap<WorkerId, u32>,
        tasks_per_rack: &IndexMap<RackId, u32>,
        now: Time,
    ) -> Option<WorkerId> {
        let request = PlacementRequest { pool, step, task, tasks_per_worker, tasks_per_rack };
        placement::best_worker(&self.workers, &self.active_config.zones_out, now, &request)
    }

    /// Tasks of the step at each worker and on each rack.
    fn count_assigned(
        &self,
        occurrence: &Occurrence,
        step: usize,
    ) -> (IndexMap<WorkerId, u32>, IndexMap<RackId, u32>) {
        let (mut tasks_per_worker, mut tasks_per_rack) = (IndexMap::new(), IndexMap::new());
        for task in &occurrence.steps[step] {
            let Phase::Assigned(assignment) = &task.phase else { continue };
            *tasks_per_worker.entry(assignment.worker.clone()).or_insert(0) += 1;
            if let Some(worker) = self.workers.get(&assignment.worker) {
                *tasks_per_rack.entry(worker.info.rack.clone()).or_insert(0) += 1;
            }
        }
        (tasks_per_worker, tasks_per_rack)
    }

    /// Whether the team may have one more task of the step running.
    fn team_limit_allows(&self, team: Option<&TeamId>, step: &Step) -> bool {
        let Some(id) = team else { return true };
        // A team that is no longer declared keeps its accepted jobs; no limit is known for it.
        let Some(declared) = self.active_config.declarations.teams.get(id) else { return true };
        within_team_limit(&self.team_usage(id), &step.resources, declared)
    }
}

/// Whether a team that uses `used` may use `more`; zero is no limit. A team that uses under half of
/// its limit may exceed it by one task, or a task larger than what is left would never run. The
/// platform allows a tenth and one task beyond the limit.
fn within_team_limit(used: &Resources, more: &Resources, team: &Team) -> bool {
    let ok = |used: u64, more: u64, limit: u64| {
        limit == 0 || used.saturating_add(more) <= limit || used < limit / 2
    };
    let limit = &team.limit;
    ok(used.processors, more.processors, limit.processors)
        && ok(used.memory, more.memory, limit.memory)
        && ok(used.accelerators.into(), more.accelerators.into(), limit.accelerators.into())
}

/// Indexes of the tasks of a step that may start.
pub(super) fn startable_tasks(
    job: &Job,
    occurrence: &Occurrence,
    step: usize,
    now: Time,
) -> Vec<usize> {
    let Some(spec) = job.spec.steps.get(step) else { return Vec::new() };
    if !spec.after.iter().all(|earlier| occurrence.is_step_done(*earlier)) {
        return Vec::new();
    }
    let tasks = &occurrence.steps[step];
    let is_startable = |t: &Task| t.phase == Phase::Waiting && now >= t.not_before;
    if spec.gang && !tasks.iter().all(is_startable) {
        return Vec::new();
    }
    let waiting = tasks.iter().enumerate().filter(|(_, t)| is_startable(t));
    waiting.map(|(index, _)| index).collect()
}

fn sort_key(job: &Job, step: &Step, queue: &Queue, now: Time) -> SortKey {
    if step.long_running {
        // Each second that such a task is away counts, however old its job is.
        return SortKey { late: false, priority: 0, due: Time::ZERO };
    }
    let objective = critical_path(job).mul_f64(queue.slack_factor) + queue.target_latency;
    let due = job.first_seen_at + objective;
    SortKey { late: now > due, priority: queue.priority, due }
}

/// Declared run time of the longest chain of steps.
fn critical_path(job: &Job) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.spec.steps.len());
    for step in &job.spec.steps {
        // Steps name only earlier ones; the parser checks it.
        let starts = step.after.iter().filter_map(|s| ends.get(*s as usize)).max();
        ends.push(starts.copied().unwrap_or_default() + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
