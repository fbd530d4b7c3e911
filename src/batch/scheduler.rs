//! Selection of the waiting tasks to start, and of their workers.
//!
//! Waiting steps are ordered by whether their objective can still be met, the priority of their
//! queue, the resource use of their team relative to its weight, and their due time.

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

/// Failed placements of a step in one pass after which its remaining tasks are skipped.
const MAX_FAILED_PLACEMENTS_PER_STEP: u32 = 1;

/// A step of an open occurrence that has tasks ready to start.
struct ReadyStep {
    job: JobId,
    team: Option<TeamId>,
    pool: PoolId,
    occurrence: u32,
    step: usize,
    /// Indexes of the tasks that may start, in ascending order.
    tasks: Vec<usize>,
    sort_key: SortKey,
}

/// Position of a step in its team's queue; smaller values go first. Across teams, the team's
/// weighted usage is compared between `priority` and `due`.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct SortKey {
    late: bool,
    priority: u32,
    due: Time,
}

impl Owner {
    /// Places waiting tasks while capacity and team limits allow.
    pub fn schedule_tasks(&mut self, now: Time) {
        let mut teams: BTreeMap<Option<TeamId>, Vec<ReadyStep>> = BTreeMap::new();
        for ready in self.ready_steps(now) {
            teams.entry(ready.team.clone()).or_default().push(ready);
        }
        for queue in teams.values_mut() {
            // Sorted in reverse because steps are popped from the end.
            queue.sort_by_key(|ready| Reverse(ready.sort_key));
        }
        while let Some(team) = self.next_team(&teams) {
            let Some(queue) = teams.get_mut(&team) else { break };
            let Some(ready) = queue.pop() else { break };
            self.start_step(&ready, now);
        }
    }

    /// Returns the team whose next step is scheduled first.
    fn next_team(
        &self,
        teams: &BTreeMap<Option<TeamId>, Vec<ReadyStep>>,
    ) -> Option<Option<TeamId>> {
        let next_steps = teams.iter().filter_map(|(team, queue)| Some((team, queue.last()?)));
        let best = next_steps.min_by_key(|(team, next)| {
            (
                next.sort_key.late,
                next.sort_key.priority,
                self.weighted_usage(team.as_ref()),
                next.sort_key.due,
            )
        });
        best.map(|(team, _)| team.clone())
    }

    /// Processors in use divided by the team's weight.
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
                // Workers reject a start without a ticket from the advisory service.
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
        let gang_run = occurrence.steps[ready.step].iter().map(|t| t.run).max().unwrap_or(0) + 1;
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
            let run = if step.gang { gang_run } else { task.run + 1 };
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

    /// Counts the assigned tasks of a step by worker and by rack.
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

    /// Whether the team's limit allows one more task of the step.
    fn team_limit_allows(&self, team: Option<&TeamId>, step: &Step) -> bool {
        let Some(id) = team else { return true };
        // A team that is no longer declared keeps its accepted jobs and has no known limit.
        let Some(team) = self.active_config.declarations.teams.get(id) else { return true };
        within_team_limit(&self.team_usage(id), &step.resources, team)
    }
}

/// Whether a team that uses `used` may use `additional` as well; a limit of zero means no limit. A
/// team below half of its limit may exceed it by one task; otherwise a task larger than the
/// remaining limit would never run. The platform allows teams to exceed their limit by a tenth plus
/// one task.
fn within_team_limit(used: &Resources, additional: &Resources, team: &Team) -> bool {
    let fits = |used: u64, additional: u64, limit: u64| {
        limit == 0 || used.saturating_add(additional) <= limit || used < limit / 2
    };
    let limit = &team.limit;
    fits(used.processors, additional.processors, limit.processors)
        && fits(used.memory, additional.memory, limit.memory)
        && fits(used.accelerators.into(), additional.accelerators.into(), limit.accelerators.into())
}

/// Returns the indexes of the tasks of a step that may start.
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
        // Long-running tasks go first regardless of the age of their job, because every second of
        // unavailability counts.
        return SortKey { late: false, priority: 0, due: Time::ZERO };
    }
    let objective = critical_path(job).mul_f64(queue.slack_factor) + queue.target_latency;
    let due = job.first_seen_at + objective;
    SortKey { late: now > due, priority: queue.priority, due }
}

/// Sum of the declared run times along the longest chain of dependent steps.
fn critical_path(job: &Job) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.spec.steps.len());
    for step in &job.spec.steps {
        // Steps depend only on earlier ones; the parser enforces this.
        let starts = step.after.iter().filter_map(|s| ends.get(*s as usize)).max();
        ends.push(starts.copied().unwrap_or_default() + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
