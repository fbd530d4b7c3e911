//! Selection of the waiting tasks to start, and of their workers.
//!
//! Waiting steps are ordered by their standing (`batch::overload`), the priority of their queue, the
//! resource use of their team relative to its weight, and their due time.

use crate::batch::crashes::{Isolation, Suspicion};
use crate::batch::declarations::{Queue, Team};
use crate::batch::job::{Job, Occurrence, Phase, Step, Task, TaskId, WorkerId};
use crate::batch::overload::{self, Delay, Standing, WaitingJob};
use crate::batch::owner::{Owner, OwnerEvent, task_id};
use crate::batch::placement::{Candidates, Placement, PlacementRequest};
use crate::batch::pool_room::{pool_room, waiting_job};
use crate::fair::Resources;
use crate::ids::{JobId, PoolId, RackId, TeamId, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Failed placements of a step in one pass after which its remaining tasks are skipped.
const MAX_FAILED_PLACEMENTS_PER_STEP: u32 = 1;

/// Time from a decision to the first work of a task, and from its end to the next decision: an
/// append to the store, an order and a poll.
const STEP_OVERHEAD: Duration = Duration::from_millis(100);

/// A step of an open occurrence that has tasks ready to start.
struct ReadyStep {
    job: JobId,
    team: Option<TeamId>,
    pool: PoolId,
    occurrence: u32,
    step: usize,
    /// Indexes of the tasks that may start, in ascending order.
    tasks: Vec<usize>,
    long_running: bool,
    /// Latest time at which it has to start for its job to meet its objective.
    latest_start: Time,
    sort_key: SortKey,
}

/// Position of a step in its team's queue; smaller values go first. Across teams, the team's
/// weighted usage is compared between `priority` and `due`.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct SortKey {
    standing: Standing,
    priority: u32,
    /// Its job could meet its objective only at the expense of more callers of the same priority.
    is_set_aside: bool,
    due: Time,
}

/// Ready steps of a team, the next one at the end, and the team's weighted usage.
#[derive(Default)]
struct TeamQueue {
    steps: Vec<ReadyStep>,
    weighted_usage: u64,
}

/// Returns the position of the team whose next step is scheduled first.
fn next_team(teams: &[(Option<TeamId>, TeamQueue)]) -> Option<usize> {
    let next_steps = teams.iter().enumerate().filter_map(|(position, (_, queue))| {
        let key = queue.steps.last()?.sort_key;
        Some((
            position,
            (key.standing, key.priority, key.is_set_aside, queue.weighted_usage, key.due),
        ))
    });
    next_steps.min_by_key(|(_, key)| *key).map(|(position, _)| position)
}

impl Owner {
    /// Places waiting tasks while capacity and team limits allow, and makes room for long-running tasks
    /// that have to leave their worker.
    pub fn schedule_tasks(&mut self, now: Time) {
        let mut candidates = Candidates::new(&self.workers, &self.active_config.zones_out, now);
        let mut steps = self.ready_steps(now);
        if self.overload.enabled {
            self.set_aside_steps(&mut steps, &candidates, now);
        }
        let leaving = self.leaving_tasks(now);
        if !leaving.is_empty() {
            // Those that wait are unavailable already and go first.
            let (long_running, others) = steps.into_iter().partition(|ready| ready.long_running);
            self.start_steps(long_running, &mut candidates, now);
            steps = others;
        }
        self.move_from_draining_workers(leaving, &mut candidates, now);
        self.start_steps(steps, &mut candidates, now);
    }

    /// Places the tasks of steps, team by team, while capacity and team limits allow.
    fn start_steps(&mut self, steps: Vec<ReadyStep>, candidates: &mut Candidates, now: Time) {
        let mut teams: IndexMap<Option<TeamId>, TeamQueue> = IndexMap::new();
        for ready in steps {
            teams.entry(ready.team.clone()).or_default().steps.push(ready);
        }
        let mut teams: Vec<(Option<TeamId>, TeamQueue)> = teams.into_iter().collect();
        for (team, queue) in &mut teams {
            // In reverse because steps are popped from the end. Steps of the same key stay in the order
            // in which their jobs were accepted.
            queue.steps.sort_by_key(|ready| ready.sort_key);
            queue.steps.reverse();
            queue.weighted_usage = self.weighted_usage(team.as_ref());
        }
        // Teams with equal usage and due time go by name.
        teams.sort_by(|(a, _), (b, _)| a.cmp(b));
        let mut isolation = self.isolation(now);
        while let Some(next) = next_team(&teams) {
            let (team, queue) = &mut teams[next];
            let Some(ready) = queue.steps.pop() else { break };
            if self.start_step(&ready, candidates, &mut isolation, now) {
                queue.weighted_usage = self.weighted_usage(team.as_ref());
            }
        }
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
            let Some(queue) = job.queue_in(&self.active_config.declarations) else { continue };
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
                    let (sort_key, latest_start) = sort_key(job, step, queue, now);
                    ready_steps.push(ReadyStep {
                        job: id.clone(),
                        team: job.team.clone(),
                        pool: queue.pool.clone(),
                        occurrence: occurrence.number,
                        step,
                        tasks,
                        long_running: job.spec.steps.get(step).is_some_and(|s| s.long_running),
                        latest_start,
                        sort_key,
                    });
                }
            }
        }
        ready_steps
    }

    /// Sets aside jobs of the pools whose room is too small for their waiting tasks.
    fn set_aside_steps(&mut self, steps: &mut [ReadyStep], candidates: &Candidates, now: Time) {
        let mut waiting: IndexMap<PoolId, Resources> = IndexMap::new();
        for ready in steps.iter() {
            let Some(step) = self.jobs.get(&ready.job).and_then(|j| j.spec.steps.get(ready.step))
            else {
                continue;
            };
            let tasks = ready.tasks.len() as u64;
            let sum = waiting.entry(ready.pool.clone()).or_default();
            *sum = sum.plus(&step.reservation().times(tasks));
        }
        waiting.retain(|pool, needed| !needed.fits(&candidates.free(pool)));
        for pool in waiting.keys() {
            self.set_aside_in_pool(pool, steps, now);
        }
    }

    fn set_aside_in_pool(&mut self, pool: &PoolId, steps: &mut [ReadyStep], now: Time) {
        // The first step of each job; its later ones do not start sooner.
        let mut jobs: IndexMap<JobId, WaitingJob> = IndexMap::new();
        for ready in steps.iter() {
            if ready.long_running
                || ready.pool != *pool
                || ready.sort_key.standing != Standing::OnTime
            {
                continue;
            }
            let Some(job) = self.jobs.get(&ready.job) else { continue };
            let (priority, latest_start) = (ready.sort_key.priority, ready.latest_start);
            jobs.entry(ready.job.clone())
                .and_modify(|job| job.latest_start = job.latest_start.min(latest_start))
                .or_insert_with(|| {
                    let mut waiting = waiting_job(job, priority, latest_start);
                    waiting.is_fixed |= job.set_aside_until.is_some_and(|until| now >= until);
                    waiting
                });
        }
        let room = pool_room(self, pool, now);
        let inputs: Vec<WaitingJob> = jobs.values().copied().collect();
        let selection = overload::select(&inputs, &room, now);
        for ready in steps.iter_mut().filter(|r| !r.long_running && r.pool == *pool) {
            let Some(index) = jobs.get_index_of(&ready.job) else { continue };
            ready.sort_key.is_set_aside = selection.set_aside[index];
        }
        for (index, id) in jobs.keys().enumerate().filter(|(i, _)| selection.set_aside[*i]) {
            let unknown = |job: &&mut Job| job.set_aside_until.is_none();
            let Some(job) = self.jobs.get_mut(id).filter(unknown) else { continue };
            // A wide job waits for others for half of the time that it has, and then no longer.
            let slack = inputs[index].latest_start.saturating_sub(now);
            job.set_aside_until = Some(now + slack / 2);
            let delay = Delay::SetAside {
                pool: pool.clone(),
                start_within: inputs[index].latest_start.saturating_sub(now),
                kept_time: selection.kept_time,
                set_aside_time: selection.set_aside_time,
            };
            self.emit(OwnerEvent::JobDelayed { job: id.clone(), delay });
        }
    }

    /// Places the tasks of a step for which there is room. Returns whether any was placed.
    fn start_step(
        &mut self,
        ready: &ReadyStep,
        candidates: &mut Candidates,
        isolation: &mut Isolation,
        now: Time,
    ) -> bool {
        let Some(job) = self.jobs.get(&ready.job) else { return false };
        let Some(step) = job.spec.steps.get(ready.step) else { return false };
        if !candidates.may_fit(&ready.pool, step) {
            return false;
        }
        let step = step.clone();
        let Some(occurrence) = job.open_occurrences.iter().find(|o| o.number == ready.occurrence)
        else {
            return false;
        };
        let (mut tasks_per_worker, mut tasks_per_rack) =
            self.count_assigned(&ready.job, occurrence, ready.step);
        // Assigned once it is known that a gang fits as a whole.
        let mut chosen: Vec<(TaskId, WorkerId, u32)> = Vec::new();
        let gang_run = occurrence.steps[ready.step].iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let mut failed_placements = 0;
        let mut lacks_isolation = false;
        let reservation = step.reservation();
        let mut team_usage = ready.team.as_ref().map(|t| self.team_usage(t)).unwrap_or_default();
        let before = step.gang.then(|| candidates.clone());
        let mut previous: Option<Placement> = None;
        for index in &ready.tasks {
            let id = task_id(&ready.job, ready.occurrence, ready.step, *index);
            let Some(task) = self.jobs.get(&ready.job).and_then(|job| job.task(&id)) else { break };
            if !self.team_limit_allows(ready.team.as_ref(), &team_usage, &step) {
                break;
            }
            let suspicion = isolation.suspicion(&ready.job, task, &step);
            if suspicion == Suspicion::Strong && lacks_isolation {
                continue;
            }
            let request = PlacementRequest {
                pool: &ready.pool,
                step: &step,
                job: &ready.job,
                task,
                suspicion,
                isolation,
                tasks_per_worker: &tasks_per_worker,
                tasks_per_rack: &tasks_per_rack,
            };
            let placed = candidates.best_worker(&self.workers, &request, previous.as_ref());
            let Some(placement) = placed else {
                if suspicion == Suspicion::Strong {
                    self.reserve_worker(isolation, &ready.job, &ready.pool, &step, now);
                    lacks_isolation = true;
                    continue;
                }
                failed_placements += 1;
                if failed_placements >= MAX_FAILED_PLACEMENTS_PER_STEP {
                    break;
                }
                continue;
            };
            let run = if step.gang { gang_run } else { task.run + 1 };
            let worker = placement.worker.clone();
            *tasks_per_worker.entry(worker.clone()).or_insert(0) += 1;
            if let Some(w) = self.workers.get(&worker) {
                *tasks_per_rack.entry(w.info.rack.clone()).or_insert(0) += 1;
            }
            candidates.reserve(&ready.pool, &placement, &reservation);
            team_usage = team_usage.plus(&reservation);
            previous = Some(placement);
            if suspicion == Suspicion::Strong {
                self.release_reserved(isolation, &ready.job);
            }
            isolation.place(&worker, &ready.job, suspicion);
            chosen.push((id, worker, run));
        }
        if let Some(before) = before
            && chosen.len() < step.count as usize
        {
            *candidates = before;
            if !isolation.is_empty() {
                *isolation = self.isolation(now);
            }
            return false;
        }
        for (id, worker, run) in &chosen {
            self.assign(id, worker, *run, now);
        }
        !chosen.is_empty()
    }

    /// Counts the assigned tasks of a step by worker and by rack, with runs that are being stopped.
    pub(super) fn count_assigned(
        &self,
        job: &JobId,
        occurrence: &Occurrence,
        step: usize,
    ) -> (IndexMap<WorkerId, u32>, IndexMap<RackId, u32>) {
        let (mut tasks_per_worker, mut tasks_per_rack) = (IndexMap::new(), IndexMap::new());
        let tasks = &occurrence.steps[step];
        let assigned = tasks.iter().filter_map(|task| match &task.phase {
            Phase::Assigned(assignment) => Some(&assignment.worker),
            Phase::Waiting | Phase::Done => None,
        });
        let is_of_step = |id: &TaskId| {
            id.job == *job && id.occurrence == occurrence.number && id.step as usize == step
        };
        let stopping = self.stop_ordered_at.keys().filter(|stop| {
            // A run that is still assigned counts above.
            let task = tasks.get(stop.task.index as usize);
            is_of_step(&stop.task)
                && task.is_some_and(|task| !matches!(task.phase, Phase::Assigned(_)))
        });
        for worker in assigned.chain(stopping.map(|stop| &stop.worker)) {
            *tasks_per_worker.entry(worker.clone()).or_insert(0) += 1;
            if let Some(known) = self.workers.get(worker) {
                *tasks_per_rack.entry(known.info.rack.clone()).or_insert(0) += 1;
            }
        }
        (tasks_per_worker, tasks_per_rack)
    }

    /// Whether the limit of a team that uses `used` allows one more task of the step.
    fn team_limit_allows(&self, team: Option<&TeamId>, used: &Resources, step: &Step) -> bool {
        let Some(id) = team else { return true };
        // A team that is no longer declared keeps its accepted jobs and has no known limit.
        let Some(team) = self.active_config.declarations.teams.get(id) else { return true };
        within_team_limit(used, &step.resources, team)
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

/// Returns the position of a step, as far as it depends on its own job, and its latest start.
fn sort_key(job: &Job, index: usize, queue: &Queue, now: Time) -> (SortKey, Time) {
    if job.spec.steps.get(index).is_some_and(|step| step.long_running) {
        // Long-running tasks go first regardless of the age of their job, because every second of
        // unavailability counts.
        let (standing, due) = (Standing::OnTime, Time::ZERO);
        return (SortKey { standing, priority: 0, is_set_aside: false, due }, Time::ZERO);
    }
    // Callers declare run times of any length, and operators any factor.
    let path_secs = job.critical_path().as_secs_f64() * queue.slack_factor;
    let path = Duration::try_from_secs_f64(path_secs).unwrap_or(Duration::MAX);
    let due = job.first_seen_at.saturating_add(path).saturating_add(queue.target_latency);
    let latest_start = due.saturating_sub(job.remaining_path(index).saturating_add(STEP_OVERHEAD));
    // A job that cannot meet its objective any more must not hold back one that can.
    let standing = match (job.is_beyond_rate, now > latest_start) {
        (true, _) => Standing::BeyondRate,
        (false, true) => Standing::Late,
        (false, false) => Standing::OnTime,
    };
    let key = SortKey { standing, priority: queue.priority, is_set_aside: false, due };
    (key, latest_start)
}
