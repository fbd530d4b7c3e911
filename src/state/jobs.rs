//! Jobs: submitted once, held by at most one entry instance at a time, and ended once.

use super::{Applied, ApplyOutcome, Cx, RejectReason, State, not_found};
use crate::ids::*;
use crate::record::{JobEnding, JobSpec};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of pending and running jobs of one team.
const MAX_OPEN_JOBS_PER_TEAM: u32 = 10_000;
/// Maximum total payload of all pending and running jobs, in bytes; keeps the state below 32 MB.
const MAX_PAYLOAD_BYTES: u64 = 8 * 1024 * 1024;
/// Maximum number of ended jobs that are kept with their results.
const MAX_ENDED_JOBS: usize = 10_000;
/// Maximum total result size of all kept ended jobs, in bytes.
const MAX_RESULT_BYTES: u64 = 4 * 1024 * 1024;

/// Lifecycle state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum JobState {
    /// The job waits for its next start.
    Pending,
    /// The job runs, or may run, at one upstream.
    Running {
        /// Incarnation that is responsible for the job.
        holder: Incarnation,
        /// Upstream at which it is started.
        upstream: InstanceId,
        /// Fencing token: the offset of the claim or adoption in force.
        fence: Offset,
    },
    /// The job ended; this state is final.
    Ended {
        ending: JobEnding,
        /// Offset of the record that ended it.
        at: Offset,
    },
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Declaration of the caller; the payload is dropped when the job ends.
    pub spec: JobSpec,
    /// Offset of the `JobSubmit`.
    pub submitted_at: Offset,
    /// Number of starts so far.
    pub attempt: Attempt,
    /// Whether cancellation was requested.
    pub cancel: bool,
    pub state: JobState,
}

/// Totals over all jobs. Invariant: equal to a recount over `State::jobs`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct JobTotals {
    open: IndexMap<TeamId, u32>,
    running: IndexMap<TeamId, u32>,
    payload_bytes: u64,
    result_bytes: u64,
    /// Ended jobs, oldest first.
    ended: VecDeque<JobId>,
}

impl State {
    /// Returns the number of jobs of a team that run or may run.
    pub fn running_jobs(&self, team: &TeamId) -> u32 {
        self.job_totals.running.get(team).copied().unwrap_or(0)
    }

    /// Whether a running job's holder is gone or its lease has expired.
    pub fn is_orphaned(&self, job: &Job) -> bool {
        match job.state {
            JobState::Running { holder, .. } => !self.is_live(holder),
            JobState::Pending | JobState::Ended { .. } => false,
        }
    }

    pub(super) fn job_submit(&mut self, cx: Cx, spec: &JobSpec) -> Applied {
        if let Some(known) = self.jobs.get(&spec.job) {
            return match known.spec.team == spec.team && known.spec.service == spec.service {
                true => Ok(ApplyOutcome::Repeated),
                false => Err(RejectReason::JobConflict { job: spec.job.clone() }),
            };
        }
        if !self.config.teams.contains_key(&spec.team) {
            return Err(not_found("team", &spec.team));
        }
        if !self.config.services.contains_key(&spec.service) {
            return Err(not_found("service", &spec.service));
        }
        let bytes = self.job_totals.payload_bytes + spec.payload.len() as u64;
        let open = self.job_totals.open.entry(spec.team.clone()).or_insert(0);
        if *open >= MAX_OPEN_JOBS_PER_TEAM || bytes > MAX_PAYLOAD_BYTES {
            return Err(RejectReason::BacklogFull);
        }
        *open += 1;
        self.job_totals.payload_bytes = bytes;
        let job = Job {
            spec: spec.clone(),
            submitted_at: cx.offset,
            attempt: 0,
            cancel: false,
            state: JobState::Pending,
        };
        self.jobs.insert(spec.job.clone(), job);
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn job_claim(
        &mut self,
        cx: Cx,
        id: &JobId,
        attempt: Attempt,
        upstream: &InstanceId,
    ) -> Applied {
        self.require_live(cx)?;
        let job = self.jobs.get(id).ok_or_else(|| not_found("job", id))?;
        if job.state != JobState::Pending || attempt != job.attempt + 1 || job.cancel {
            return Err(RejectReason::JobConflict { job: id.clone() });
        }
        self.require_available(upstream)?;
        let service = self.config.services.get(&job.spec.service);
        if service.map(|s| &s.pool) != self.instances.get(upstream).map(|i| &i.pool) {
            return Err(RejectReason::WrongPool { instance: upstream.clone() });
        }
        let team = job.spec.team.clone();
        let limit = self.team_limit(&team);
        if self.units_in_use(&team) >= limit {
            return Err(RejectReason::AtLimit { team, limit });
        }
        *self.job_totals.running.entry(team).or_insert(0) += 1;
        let job = &mut self.jobs[id];
        job.attempt = attempt;
        job.state = JobState::Running {
            holder: cx.incarnation,
            upstream: upstream.clone(),
            fence: cx.offset,
        };
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn job_adopt(&mut self, cx: Cx, id: &JobId, attempt: Attempt) -> Applied {
        self.require_live(cx)?;
        let job = self.jobs.get(id).ok_or_else(|| not_found("job", id))?;
        let orphaned = self.is_orphaned(job);
        let job = &mut self.jobs[id];
        match &mut job.state {
            JobState::Running { holder, fence, .. } if orphaned && attempt == job.attempt => {
                *holder = cx.incarnation;
                *fence = cx.offset;
                Ok(ApplyOutcome::Applied)
            }
            _ => Err(RejectReason::JobConflict { job: id.clone() }),
        }
    }

    pub(super) fn job_release(&mut self, cx: Cx, id: &JobId, attempt: Attempt) -> Applied {
        self.require_holder(cx, id, attempt)?;
        let job = &mut self.jobs[id];
        job.state = JobState::Pending;
        let cancelled = job.cancel;
        let team = job.spec.team.clone();
        self.decrement_running(&team);
        if cancelled {
            self.end_job(cx, id, JobEnding::Cancelled);
        }
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn job_end(
        &mut self,
        cx: Cx,
        id: &JobId,
        attempt: Attempt,
        ending: &JobEnding,
    ) -> Applied {
        self.require_holder(cx, id, attempt)?;
        let team = self.jobs[id].spec.team.clone();
        self.decrement_running(&team);
        self.end_job(cx, id, ending.clone());
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn job_cancel(&mut self, cx: Cx, id: &JobId, team: &TeamId) -> Applied {
        let job = self.jobs.get_mut(id).ok_or_else(|| not_found("job", id))?;
        if job.spec.team != *team {
            return Err(not_found("job", id));
        }
        match job.state {
            JobState::Pending => self.end_job(cx, id, JobEnding::Cancelled),
            JobState::Running { .. } => job.cancel = true,
            JobState::Ended { .. } => return Ok(ApplyOutcome::Repeated),
        }
        Ok(ApplyOutcome::Applied)
    }

    /// Checks that the writer holds the running job in this attempt; no other instance may end or
    /// release it.
    fn require_holder(&self, cx: Cx, id: &JobId, attempt: Attempt) -> Result<(), RejectReason> {
        let job = self.jobs.get(id).ok_or_else(|| not_found("job", id))?;
        match job.state {
            JobState::Running { holder, .. }
                if holder == cx.incarnation && attempt == job.attempt =>
            {
                Ok(())
            }
            _ => Err(RejectReason::JobConflict { job: id.clone() }),
        }
    }

    fn decrement_running(&mut self, team: &TeamId) {
        if let Some(running) = self.job_totals.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
    }

    fn end_job(&mut self, cx: Cx, id: &JobId, ending: JobEnding) {
        let job = &mut self.jobs[id];
        let totals = &mut self.job_totals;
        totals.payload_bytes -= job.spec.payload.len() as u64;
        totals.result_bytes += result_len(&ending);
        if let Some(open) = totals.open.get_mut(&job.spec.team) {
            *open = open.saturating_sub(1);
        }
        totals.ended.push_back(id.clone());
        job.spec.payload = Bytes::new();
        job.state = JobState::Ended { ending, at: cx.offset };
        self.evict_ended();
    }

    fn evict_ended(&mut self) {
        while self.job_totals.ended.len() > MAX_ENDED_JOBS
            || self.job_totals.result_bytes > MAX_RESULT_BYTES
        {
            let Some(oldest) = self.job_totals.ended.pop_front() else { return };
            if let Some(job) = self.jobs.swap_remove(&oldest)
                && let JobState::Ended { ending, .. } = &job.state
            {
                self.job_totals.result_bytes -= result_len(ending);
            }
        }
    }
}

fn result_len(ending: &JobEnding) -> u64 {
    match ending {
        JobEnding::Done(result) => result.len() as u64,
        JobEnding::Failed(message) | JobEnding::CannotRun(message) => message.len() as u64,
        JobEnding::Cancelled | JobEnding::Unknown => 0,
    }
}
