//! Jobs that this instance may claim, start or adopt, and how an adopted job is resolved.

use super::*;
use crate::lease::observer_timeout;
use crate::record::JobEnding;
use crate::state::{Job, JobState};

/// Parameters of a job start that may be sent to the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobStart {
    pub upstream: InstanceId,
    pub attempt: Attempt,
    /// Fencing token: the offset of the claim or adoption in force.
    pub fence: Offset,
    /// Latest start time on the local clock; the caller converts it to the upstream's clock.
    pub start_by: Time,
}

/// State of an adopted job's task as seen at its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskObservation {
    Running,
    Done(Bytes),
    Failed(String),
    /// The task was stopped before it finished.
    Stopped,
    /// The upstream is alive, has been running since before the claim, and does not know the task.
    Unknown,
    /// The upstream is gone or was restarted, so the outcome of the task cannot be determined.
    Gone,
}

impl Node {
    /// Returns the jobs that this instance may claim now, oldest first.
    pub fn pending_jobs(&self) -> Vec<JobId> {
        if !self.may_start_jobs() {
            return Vec::new();
        }
        let state = self.state();
        let is_claimable = |job: &Job| {
            job.state == JobState::Pending
                && !job.cancel
                && state.units_in_use(&job.spec.team) < state.team_limit(&job.spec.team)
        };
        self.jobs_where(is_claimable)
    }

    /// Returns the running jobs without a live holder, which this instance may adopt.
    pub fn orphaned_jobs(&self) -> Vec<JobId> {
        if !self.may_start_jobs() {
            return Vec::new();
        }
        let state = self.state();
        self.jobs_where(|job| state.is_orphaned(job))
    }

    fn jobs_where(&self, wanted: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let is_unclaimed = |id: &JobId| !self.claiming.contains_key(id);
        let jobs = self.state().jobs.iter().filter(|(id, job)| wanted(job) && is_unclaimed(id));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Whether the lease is valid by the local clock and the log can be written.
    fn may_start_jobs(&self) -> bool {
        self.has_view()
            && !self.stopping
            && self.platform_reachable
            && self.state().is_live(self.cfg.incarnation)
            && self.now < self.units.valid_until()
    }

    /// Returns the running jobs that are held by this instance according to the log.
    pub fn held_jobs(&self) -> Vec<JobId> {
        let me = self.cfg.incarnation;
        let is_held =
            |job: &Job| matches!(job.state, JobState::Running { holder, .. } if holder == me);
        let jobs = self.state().jobs.iter().filter(|(_, job)| is_held(job));
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Checks whether a claimed job may still be started at its upstream. The start must happen
    /// within the lease of this instance: an adopter acts only after the lease has lapsed, so it
    /// knows that no start is still under way.
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
        if self.has_mutation(Mutation::StartAnyJob) {
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

    /// Returns the time from which an upstream that does not know the task will never start it.
    pub fn start_ruled_out_at(start: &JobStart) -> Time {
        start.start_by + observer_timeout(START_WINDOW)
    }

    /// Returns the record that resolves a job held by this instance for which no start is in
    /// progress; `None` while its task runs.
    pub fn resolve_job(&self, job: &JobId, seen: TaskObservation) -> Option<Record> {
        let known = self.state().jobs.get(job)?;
        let attempt = known.attempt;
        let end = |ending| Record::JobEnd { job: job.clone(), attempt, ending };
        let release = Record::JobRelease { job: job.clone(), attempt };
        let may_restart = known.spec.idempotent || self.has_mutation(Mutation::ReleaseUnknownTasks);
        match seen {
            TaskObservation::Running => None,
            TaskObservation::Done(result) => Some(end(JobEnding::Done(result))),
            TaskObservation::Failed(message) => Some(end(JobEnding::Failed(message))),
            TaskObservation::Unknown => Some(release),
            TaskObservation::Stopped | TaskObservation::Gone if known.cancel => {
                Some(end(JobEnding::Cancelled))
            }
            TaskObservation::Stopped | TaskObservation::Gone if may_restart => Some(release),
            TaskObservation::Stopped | TaskObservation::Gone => Some(end(JobEnding::Unknown)),
        }
    }
}
