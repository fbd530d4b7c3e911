//! Jobs: which ones this instance may claim, start, adopt, and how an adopter resolves them.

use super::*;
use crate::lease::observer_timeout;
use crate::record::JobEnding;
use crate::state::{Job, JobState};

/// A start that may be written to the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobStart {
    pub upstream: InstanceId,
    pub attempt: Attempt,
    /// Offset of the claim in force.
    pub fence: Offset,
    /// Latest start on the own clock, to be translated to the upstream's.
    pub start_by: Time,
}

/// What the upstream of an adopted job says about its task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskObservation {
    Running,
    Done(Bytes),
    Failed(String),
    /// It was stopped before its end.
    Stopped,
    /// The upstream lives, has run since before the claim, and does not know the task.
    Unknown,
    /// The upstream is gone or was started anew; nobody can tell.
    Gone,
}

impl Node {
    /// Jobs that this instance may claim now, oldest first.
    pub fn pending_jobs(&self) -> Vec<JobId> {
        if !self.may_start_jobs() {
            return Vec::new();
        }
        let state = self.state();
        let waits = |job: &Job| {
            job.state == JobState::Pending
                && !job.cancel
                && state.units_in_use(&job.spec.team) < state.team_limit(&job.spec.team)
        };
        self.jobs_where(waits)
    }

    /// Running jobs without a live holder, which this instance may adopt.
    pub fn orphaned_jobs(&self) -> Vec<JobId> {
        if !self.may_start_jobs() {
            return Vec::new();
        }
        let state = self.state();
        self.jobs_where(|job| state.is_orphaned(job))
    }

    fn jobs_where(&self, wanted: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let free = |id: &JobId| !self.claiming.contains_key(id);
        let jobs = self.state().jobs.iter().filter(|(id, job)| wanted(job) && free(id));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// A lease that is valid by the own clock, and a log to write to.
    fn may_start_jobs(&self) -> bool {
        self.has_view()
            && !self.stopping
            && self.platform_reachable
            && self.state().is_live(self.cfg.incarnation)
            && self.now < self.units.valid_until()
    }

    /// Running jobs that this instance holds by the log.
    pub fn held_jobs(&self) -> Vec<JobId> {
        let me = self.cfg.incarnation;
        let mine =
            |job: &Job| matches!(job.state, JobState::Running { holder, .. } if holder == me);
        let jobs = self.state().jobs.iter().filter(|(_, job)| mine(job));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Last check before a claimed job is started at its upstream. The start happens within the
    /// own lease, so that an adopter, which comes later, knows that no start is still to come.
    pub fn job_start(&self, now: Time, job: &JobId) -> Result<JobStart, Refusal> {
        let cancelled = || Refusal::new(Kind::Cancelled);
        let known = self.state().jobs.get(job).ok_or_else(cancelled)?;
        let JobState::Running { holder, upstream, fence } = &known.state else {
            return Err(cancelled());
        };
        let start = JobStart {
            upstream: upstream.clone(),
            attempt: known.attempt,
            fence: *fence,
            start_by: self.units.valid_until().min(now + START_WINDOW),
        };
        if self.mutated(Mutation::StartAnyJob) {
            return Ok(JobStart { start_by: now + START_WINDOW, ..start });
        }
        if *holder != self.cfg.incarnation || known.cancel {
            return Err(cancelled());
        }
        if now >= self.units.valid_until() {
            return Err(Refusal::new(Kind::LogUnavailable));
        }
        let service = self.state().config.services.get(&known.spec.service);
        let service = service.ok_or_else(|| Refusal::new(Kind::NotFound))?;
        self.may_use(upstream, &service.pool)?;
        Ok(start)
    }

    /// Time after a start's `start_by` from which an upstream that does not know the task never
    /// will.
    pub fn start_ruled_out_at(start: &JobStart) -> Time {
        start.start_by + observer_timeout(START_WINDOW)
    }

    /// The record that resolves a job that this instance holds, whose start nobody waits for any
    /// more; `None` while its task runs.
    pub fn resolve_job(&self, job: &JobId, seen: TaskObservation) -> Option<Record> {
        let known = self.state().jobs.get(job)?;
        let attempt = known.attempt;
        let end = |ending| Record::JobEnd { job: job.clone(), attempt, ending };
        let release = Record::JobRelease { job: job.clone(), attempt };
        let again = known.spec.idempotent || self.mutated(Mutation::ReleaseUnknownTasks);
        match seen {
            TaskObservation::Running => None,
            TaskObservation::Done(result) => Some(end(JobEnding::Done(result))),
            TaskObservation::Failed(message) => Some(end(JobEnding::Failed(message))),
            TaskObservation::Unknown => Some(release),
            TaskObservation::Stopped | TaskObservation::Gone if known.cancel => {
                Some(end(JobEnding::Cancelled))
            }
            TaskObservation::Stopped | TaskObservation::Gone if again => Some(release),
            TaskObservation::Stopped | TaskObservation::Gone => Some(end(JobEnding::Unknown)),
        }
    }
}
