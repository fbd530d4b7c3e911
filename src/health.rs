//! Health of upstreams as seen by one entry instance.
//!
//! Decides which instances are ejected (events and metrics call this "set aside"), which generation
//! of connections is in use, and whether a failure is caused by the job or by the instance.

use crate::ids::*;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time without a received byte after which the upstream of an attempt is probed on a new
/// connection.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a probe without a response has failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of consecutive failures of different jobs or requests after which an instance is ejected.
pub const MAX_CONSECUTIVE_FAILURES: usize = 5;
/// Number of consecutive calls that do not reach an instance after which it is ejected.
pub const MAX_CONSECUTIVE_UNREACHED: u32 = 3;
/// Number of otherwise healthy instances on which a job must fail before it is given up.
pub const JOB_FAILURE_INSTANCES: usize = 3;
/// Maximum percentage of a pool that may be ejected; at least one instance, but never the last one.
pub const MAX_EJECTED_PERCENT: usize = 30;
/// Number of generations retired without a response in between from which on timeouts count as
/// failures. New connections have not helped by then, so the instance hangs.
const MAX_CONSECUTIVE_RETIRED: u32 = 3;
/// Duration of the first ejection of an instance; doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of doublings of `BASE_EJECTION_TIME`, which limits an ejection to 128 s.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Interval between probes of an instance that is ejected or was not reached.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream responded with at least the response head; `failed` for status 500 and above.
    Answered { failed: bool },
    /// The upstream refused the work and will not run it.
    NotRun,
    /// The connection could not be established; no byte was written.
    ConnectFailed,
    /// The connection was lost before the response head; the request may have been written.
    LostBeforeHead,
    /// The connection was lost while the response body was received.
    LostInBody,
    /// The response head did not arrive in time; the work may be running.
    TimedOut,
}

/// Action after a failed job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFailureAction {
    /// Start the job on another instance.
    TryElsewhere,
    /// Give the job up: it failed on instances that run other work successfully.
    CannotRun,
}

/// Action for an attempt that has received no byte for `SILENCE_TIMEOUT`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Probe the upstream on a new connection, report the result to `on_probe` and call again.
    Probe,
    /// A probe is in progress, or the generation of the attempt is already retired.
    Wait,
    /// The generation was retired. New attempts use the next one.
    Retire,
    /// The upstream does not respond on new connections either and was ejected.
    Eject,
}

/// Reason for the ejection of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EjectionReason {
    /// Its work fails. A successful probe does not end the ejection.
    Failing,
    /// It cannot be reached. A successful probe ends the ejection.
    Unreached,
}

/// Ejection of an instance for a limited time.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    reason: EjectionReason,
    until: Time,
}

/// State of the silence check for the current generation.
#[derive(Clone, Copy, Debug, Default)]
enum SilenceState {
    #[default]
    None,
    Probing {
        since: Time,
    },
    Probed {
        at: Time,
        ok: bool,
    },
}

/// Health of one upstream.
#[derive(Debug, Default)]
struct UpstreamHealth {
    generation: u64,
    silence: SilenceState,
    /// Number of generations retired since the last successful response.
    consecutive_retired: u32,
    /// Number of consecutive calls that did not reach the upstream.
    unreached: u32,
    /// Jobs that failed since the last success.
    failed_jobs: IndexSet<JobId>,
    /// Number of requests that failed since the last success.
    failed_requests: usize,
    /// Time of the first failure since the last success.
    first_failure_at: Time,
    last_success: Option<Time>,
    /// When the upstream was first used, or returned from its last ejection.
    healthy_since: Time,
    ejection: Option<Ejection>,
    /// Number of ejections since the last success.
    ejection_count: u32,
    next_probe: Time,
}

impl UpstreamHealth {
    fn failures(&self) -> usize {
        self.failed_jobs.len() + self.failed_requests
    }

    /// Whether the last work succeeded, not counting failures of `job`.
    fn is_healthy_except_for(&self, job: &JobId) -> bool {
        let others = self.failed_jobs.iter().filter(|failed| *failed != job).count();
        self.last_success.is_some() && others == 0 && self.failed_requests == 0
    }

    fn record_success(&mut self, now: Time) {
        if self.ejection.take().is_some() {
            self.healthy_since = now;
        }
        self.failed_jobs.clear();
        self.failed_requests = 0;
        self.unreached = 0;
        self.consecutive_retired = 0;
        self.ejection_count = 0;
        self.last_success = Some(now);
    }

    fn is_ejected(&self, now: Time) -> bool {
        self.ejection.is_some_and(|ejection| now < ejection.until)
    }

    /// Returns the time from the last return to use until the last success.
    fn healthy_duration(&self) -> Duration {
        self.last_success.unwrap_or(self.healthy_since).saturating_sub(self.healthy_since)
    }
}

/// Health of all upstreams known to one entry instance.
#[derive(Debug)]
pub struct Health {
    rng: ChaCha8Rng,
    upstreams: IndexMap<InstanceId, UpstreamHealth>,
    /// Instances on which each job failed, with the time of its last failure there.
    failed_on: IndexMap<JobId, IndexMap<InstanceId, Time>>,
}

impl Health {
    /// Creates the health state without any upstream. The seed is used for jitter.
    pub fn new(seed: u64) -> Health {
        Health {
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: IndexMap::new(),
            failed_on: IndexMap::new(),
        }
    }

    /// Records the outcome of an attempt. Attempts that were ended by the caller must not be
    /// reported.
    pub fn on_attempt(&mut self, now: Time, upstream: &InstanceId, outcome: AttemptOutcome) {
        let state = self.upstream_mut(now, upstream);
        match outcome {
            AttemptOutcome::Answered { failed: false } => state.record_success(now),
            AttemptOutcome::Answered { failed: true } => self.record_request_failure(now, upstream),
            AttemptOutcome::NotRun => state.unreached = 0,
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::LostBeforeHead
            | AttemptOutcome::LostInBody => {
                self.record_unreached(now, upstream);
            }
            // The timeout may be caused by a silent connection instead of the upstream.
            AttemptOutcome::TimedOut if state.consecutive_retired < MAX_CONSECUTIVE_RETIRED => (),
            AttemptOutcome::TimedOut => self.record_request_failure(now, upstream),
        }
    }

    /// Records the result of a probe.
    pub fn on_probe(&mut self, now: Time, upstream: &InstanceId, ok: bool) {
        let state = self.upstream_mut(now, upstream);
        if matches!(state.silence, SilenceState::Probing { .. }) {
            state.silence = SilenceState::Probed { at: now, ok };
        }
        if !ok {
            self.record_unreached(now, upstream);
            return;
        }
        state.unreached = 0;
        if state.ejection.is_some_and(|ejection| ejection.reason == EjectionReason::Unreached) {
            state.ejection = None;
            state.healthy_since = now;
        }
    }

    /// Records the failure of a job and returns what to do with the job.
    pub fn on_job_failure(
        &mut self,
        now: Time,
        job: &JobId,
        upstream: &InstanceId,
    ) -> JobFailureAction {
        self.upstream_mut(now, upstream);
        self.failed_on.entry(job.clone()).or_default().insert(upstream.clone(), now);
        if self.count_healthy_instances(job, upstream) >= JOB_FAILURE_INSTANCES {
            self.absolve_instances(job);
            return JobFailureAction::CannotRun;
        }
        self.record_failure(now, upstream, |state| {
            state.failed_jobs.insert(job.clone());
        });
        JobFailureAction::TryElsewhere
    }

    /// Counts the instances on which a job failed but other work succeeds. An instance may have
    /// become unhealthy just before it got the job, so all but the latest instance must have had a
    /// success after the failure of the job.
    fn count_healthy_instances(&self, job: &JobId, latest: &InstanceId) -> usize {
        let Some(failed_on) = self.failed_on.get(job) else { return 0 };
        let healthy = failed_on.iter().filter(|(id, failed)| {
            self.upstreams.get(*id).is_some_and(|state| {
                let success_since = state.last_success.is_some_and(|success| success > **failed);
                state.is_healthy_except_for(job) && (success_since || *id == latest)
            })
        });
        healthy.count()
    }

    /// Records the success of a job.
    pub fn on_job_success(&mut self, now: Time, job: &JobId, upstream: &InstanceId) {
        self.failed_on.shift_remove(job);
        self.upstream_mut(now, upstream).record_success(now);
    }

    /// Removes the failures of a job that ended in another way.
    pub fn forget_job(&mut self, job: &JobId) {
        self.failed_on.shift_remove(job);
    }

    /// Removes the state of an upstream that no longer exists.
    pub fn forget_upstream(&mut self, upstream: &InstanceId) {
        self.upstreams.shift_remove(upstream);
    }

    /// Returns the instances of a pool that may get work, in the given order. At most
    /// `MAX_EJECTED_PERCENT` are excluded. If more are ejected, those that were healthy for the
    /// longest time stay in use.
    pub fn usable(&self, now: Time, pool: &[InstanceId]) -> Vec<InstanceId> {
        let mut ejected: Vec<(&InstanceId, Duration)> = pool
            .iter()
            .filter(|id| self.is_ejection_effective(now, id, pool))
            .map(|id| {
                (
                    id,
                    self.upstreams
                        .get(id)
                        .map(UpstreamHealth::healthy_duration)
                        .unwrap_or_default(),
                )
            })
            .collect();
        ejected.sort_by_key(|(_, healthy_duration)| *healthy_duration);
        ejected.truncate(max_ejected(pool.len()));
        let excluded: IndexSet<&InstanceId> = ejected.into_iter().map(|(id, _)| id).collect();
        pool.iter().filter(|id| !excluded.contains(id)).cloned().collect()
    }

    /// Returns the instances to probe now and starts the interval until their next probe.
    pub fn due_probes(&mut self, now: Time) -> Vec<InstanceId> {
        let due = self.upstreams.iter_mut().filter(|(_, state)| {
            (state.ejection.is_some() || state.unreached > 0) && state.next_probe <= now
        });
        due.map(|(id, state)| {
            state.next_probe = now + PROBE_INTERVAL;
            id.clone()
        })
        .collect()
    }

    /// Returns the current generation of connections to an upstream.
    pub fn generation(&self, upstream: &InstanceId) -> u64 {
        self.upstreams.get(upstream).map_or(0, |state| state.generation)
    }

    /// Retires the current generation of connections, for example after a response that belongs to
    /// another request.
    pub fn retire(&mut self, now: Time, upstream: &InstanceId) {
        let state = self.upstream_mut(now, upstream);
        state.generation += 1;
        state.silence = SilenceState::None;
    }

    /// Same as `on_silence_in` for the current generation.
    pub fn on_silence(&mut self, now: Time, upstream: &InstanceId) -> SilenceAction {
        self.on_silence_in(now, upstream, self.generation(upstream))
    }

    /// Decides what to do about an attempt on a connection of `generation` that has received no
    /// byte for `SILENCE_TIMEOUT`, or that timed out earlier. The caller must do only what the
    /// returned action says: an upstream that responds to the probe is not the cause and must not
    /// be ejected.
    pub fn on_silence_in(
        &mut self,
        now: Time,
        upstream: &InstanceId,
        generation: u64,
    ) -> SilenceAction {
        let state = self.upstream_mut(now, upstream);
        if generation < state.generation {
            return SilenceAction::Wait;
        }
        match state.silence {
            SilenceState::Probing { since } if now < since + PROBE_TIMEOUT => SilenceAction::Wait,
            SilenceState::Probed { at, ok: true } if now < at + SILENCE_TIMEOUT => {
                state.consecutive_retired += 1;
                self.retire(now, upstream);
                SilenceAction::Retire
            }
            SilenceState::Probing { .. } => self.eject_silent(now, upstream),
            SilenceState::Probed { at, ok: false } if now < at + SILENCE_TIMEOUT => {
                self.eject_silent(now, upstream)
            }
            SilenceState::None | SilenceState::Probed { .. } => {
                state.silence = SilenceState::Probing { since: now };
                SilenceAction::Probe
            }
        }
    }

    fn upstream_mut(&mut self, now: Time, id: &InstanceId) -> &mut UpstreamHealth {
        let state = self.upstreams.entry(id.clone());
        state.or_insert_with(|| UpstreamHealth { healthy_since: now, ..UpstreamHealth::default() })
    }

    fn record_request_failure(&mut self, now: Time, upstream: &InstanceId) {
        self.record_failure(now, upstream, |state| state.failed_requests += 1);
    }

    fn record_failure(
        &mut self,
        now: Time,
        upstream: &InstanceId,
        count: impl FnOnce(&mut UpstreamHealth),
    ) {
        let state = self.upstream_mut(now, upstream);
        if state.failures() == 0 {
            state.first_failure_at = now;
        }
        count(state);
        if state.failures() >= MAX_CONSECUTIVE_FAILURES && !state.is_ejected(now) {
            self.eject(now, upstream, EjectionReason::Failing);
        }
    }

    fn record_unreached(&mut self, now: Time, upstream: &InstanceId) {
        let state = self.upstream_mut(now, upstream);
        state.unreached += 1;
        if state.unreached >= MAX_CONSECUTIVE_UNREACHED && !state.is_ejected(now) {
            self.eject(now, upstream, EjectionReason::Unreached);
        }
    }

    fn eject_silent(&mut self, now: Time, upstream: &InstanceId) -> SilenceAction {
        let state = self.upstream_mut(now, upstream);
        state.silence = SilenceState::None;
        if !state.is_ejected(now) {
            self.eject(now, upstream, EjectionReason::Unreached);
        }
        SilenceAction::Eject
    }

    fn eject(&mut self, now: Time, upstream: &InstanceId, reason: EjectionReason) {
        // Jitter keeps the entry instances from retrying the same upstream at the same time.
        let jitter = self.rng.random_range(0.8..1.2);
        let state = self.upstream_mut(now, upstream);
        let time = BASE_EJECTION_TIME * 2_u32.pow(state.ejection_count.min(MAX_EJECTION_DOUBLINGS));
        state.ejection = Some(Ejection { reason, until: now + time.mul_f64(jitter) });
        state.ejection_count += 1;
    }

    /// Whether an instance is ejected and, if its work fails, work on another instance of the pool
    /// has succeeded since the failures began. Otherwise the work itself may be the cause.
    fn is_ejection_effective(&self, now: Time, id: &InstanceId, pool: &[InstanceId]) -> bool {
        let Some(state) = self.upstreams.get(id) else { return false };
        let Some(ejection) = state.ejection.filter(|ejection| now < ejection.until) else {
            return false;
        };
        match ejection.reason {
            EjectionReason::Unreached => true,
            EjectionReason::Failing => pool.iter().filter(|other| *other != id).any(|other| {
                let success = self.upstreams.get(other).and_then(|state| state.last_success);
                success.is_some_and(|t| t >= state.first_failure_at)
            }),
        }
    }

    /// Removes a job that cannot run from the failures of all instances, which ends ejections that
    /// it caused.
    fn absolve_instances(&mut self, job: &JobId) {
        self.failed_on.shift_remove(job);
        for state in self.upstreams.values_mut() {
            let removed = state.failed_jobs.shift_remove(job);
            let failing =
                state.ejection.is_some_and(|ejection| ejection.reason == EjectionReason::Failing);
            if removed && failing && state.failures() < MAX_CONSECUTIVE_FAILURES {
                state.ejection = None;
                state.ejection_count = state.ejection_count.saturating_sub(1);
            }
        }
    }
}

/// Returns the maximum number of instances of a pool that may be ejected.
fn max_ejected(pool: usize) -> usize {
    (pool * MAX_EJECTED_PERCENT / 100).max(1).min(pool.saturating_sub(1))
}
