//! Health of upstreams as seen by one entry instance: who is set aside, which generation of
//! connections is in use, and whether a job or an instance is to blame for a failure.

use crate::ids::*;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// An attempt without a byte for this long is followed by a probe on a new connection.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// A probe without an answer for this long has failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Different jobs or requests that fail in a row before an instance is set aside.
pub const FAILING_LIMIT: usize = 5;
/// Calls in a row that do not reach an instance before it is set aside.
pub const UNREACHED_LIMIT: u32 = 3;
/// Instances that run other work well, on which a job fails before it is given up.
pub const JOB_INSTANCES: usize = 3;
/// Most of a pool that may be set aside, in percent; at least one instance, but never the last.
pub const MAX_ASIDE_PERCENT: usize = 30;
/// Generations retired in a row without an answer in between, from which on a timeout counts as a
/// failure: new connections do not help, so the instance hangs.
const BARREN_LIMIT: u32 = 3;
/// First time for which an instance is set aside; doubles each time.
const FIRST_ASIDE: Duration = Duration::from_secs(2);
/// Doublings of `FIRST_ASIDE`: at most 128 s.
const MAX_DOUBLINGS: u32 = 6;
/// Time between two probes of an instance that is set aside.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete answer, or its head; `failed` for a status of 500 and above.
    Answered { failed: bool },
    /// The upstream refused the work and will not run it.
    NotRun,
    /// No connection came about; no byte was written.
    ConnectFailed,
    /// The connection was lost after a byte may have been written and before the answer's head.
    LostBeforeHead,
    /// The answer's head came and its body was cut.
    LostInBody,
    /// The answer's head did not come in time; the work may run.
    TimedOut,
}

/// What to do with a job that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFailureAction {
    /// Start it on another instance.
    TryElsewhere,
    /// It fails wherever other work runs well.
    CannotRun,
}

/// What to do about an attempt that has received no byte for `SILENCE`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Probe the upstream on a new connection, report it to `on_probe`, and ask again.
    Probe,
    /// A probe is under way, or the attempt's generation is retired already.
    Wait,
    /// The generation has been retired; new attempts use the next one.
    Retire,
    /// The upstream does not answer on new connections either and has been set aside.
    Eject,
}

/// Why an instance is set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// Its work fails; a probe proves nothing.
    Failing,
    /// It is not reached; a probe that is answered ends it.
    Unreached,
}

/// Time for which an instance is set aside.
#[derive(Clone, Copy, Debug)]
struct Aside {
    reason: Reason,
    until: Time,
}

/// What is known about silence of the present generation.
#[derive(Clone, Copy, Debug, Default)]
enum Silence {
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

/// One upstream.
#[derive(Debug, Default)]
struct Upstream {
    generation: u64,
    silence: Silence,
    /// Generations retired since the last answer.
    barren: u32,
    /// Calls in a row that did not reach it.
    unreached: u32,
    /// Different jobs that failed since the last success.
    failed_jobs: IndexSet<JobId>,
    /// Requests that failed since the last success.
    failed_requests: usize,
    /// When the first of the failures in a row came.
    failing_since: Time,
    last_success: Option<Time>,
    /// When it came into use or back into use.
    healthy_since: Time,
    aside: Option<Aside>,
    /// How often it was set aside without a success in between.
    times: u32,
    next_probe: Time,
}

impl Upstream {
    fn failures(&self) -> usize {
        self.failed_jobs.len() + self.failed_requests
    }

    /// Whether its last work was good, leaving one job out of account.
    fn runs_well_but_for(&self, job: &JobId) -> bool {
        let others = self.failed_jobs.iter().filter(|failed| *failed != job).count();
        self.last_success.is_some() && others == 0 && self.failed_requests == 0
    }

    fn succeed(&mut self, now: Time) {
        if self.aside.take().is_some() {
            self.healthy_since = now;
        }
        self.failed_jobs.clear();
        self.failed_requests = 0;
        self.unreached = 0;
        self.barren = 0;
        self.times = 0;
        self.last_success = Some(now);
    }

    fn is_aside(&self, now: Time) -> bool {
        self.aside.is_some_and(|aside| now < aside.until)
    }

    /// How long it ran without being set aside before its present failures.
    fn healthy_for(&self) -> Duration {
        self.last_success.unwrap_or(self.healthy_since).saturating_sub(self.healthy_since)
    }
}

/// Health of all upstreams known to one entry instance.
#[derive(Debug)]
pub struct Health {
    rng: ChaCha8Rng,
    upstreams: IndexMap<InstanceId, Upstream>,
    /// Instances on which each job failed, and when it last did.
    failed_on: IndexMap<JobId, IndexMap<InstanceId, Time>>,
}

impl Health {
    /// Without knowledge of any upstream; the seed is for jitter.
    pub fn new(seed: u64) -> Health {
        Health {
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: IndexMap::new(),
            failed_on: IndexMap::new(),
        }
    }

    /// Takes the end of an attempt into account. Ends that the caller caused must not be reported.
    pub fn on_attempt(&mut self, now: Time, upstream: &InstanceId, end: AttemptOutcome) {
        let known = self.upstream(now, upstream);
        match end {
            AttemptOutcome::Answered { failed: false } => known.succeed(now),
            AttemptOutcome::Answered { failed: true } => self.request_failed(now, upstream),
            AttemptOutcome::NotRun => known.unreached = 0,
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::LostBeforeHead
            | AttemptOutcome::LostInBody => {
                self.not_reached(now, upstream);
            }
            // A silent connection ends in timeouts that say nothing about the upstream.
            AttemptOutcome::TimedOut if known.barren < BARREN_LIMIT => (),
            AttemptOutcome::TimedOut => self.request_failed(now, upstream),
        }
    }

    /// Takes the end of a probe into account.
    pub fn on_probe(&mut self, now: Time, upstream: &InstanceId, ok: bool) {
        let known = self.upstream(now, upstream);
        if matches!(known.silence, Silence::Probing { .. }) {
            known.silence = Silence::Probed { at: now, ok };
        }
        if !ok {
            self.not_reached(now, upstream);
            return;
        }
        known.unreached = 0;
        if known.aside.is_some_and(|aside| aside.reason == Reason::Unreached) {
            known.aside = None;
            known.healthy_since = now;
        }
    }

    /// Takes the failure of a job into account and tells what to do with the job.
    pub fn on_job_failure(
        &mut self,
        now: Time,
        job: &JobId,
        upstream: &InstanceId,
    ) -> JobFailureAction {
        self.upstream(now, upstream);
        self.failed_on.entry(job.clone()).or_default().insert(upstream.clone(), now);
        if self.well_instances(job, upstream) >= JOB_INSTANCES {
            self.acquit(job);
            return JobFailureAction::CannotRun;
        }
        self.failed(now, upstream, |known| {
            known.failed_jobs.insert(job.clone());
        });
        JobFailureAction::TryElsewhere
    }

    /// Instances that failed a job but run other work well. An instance may have turned bad just
    /// before the job came, so a success before the failure counts only for the latest instance;
    /// the others must have had one since.
    fn well_instances(&self, job: &JobId, latest: &InstanceId) -> usize {
        let Some(failed_on) = self.failed_on.get(job) else { return 0 };
        let well = failed_on.iter().filter(|(id, failed)| {
            self.upstreams.get(*id).is_some_and(|known| {
                let since = known.last_success.is_some_and(|success| success > **failed);
                known.runs_well_but_for(job) && (since || *id == latest)
            })
        });
        well.count()
    }

    /// Takes the success of a job into account.
    pub fn on_job_success(&mut self, now: Time, job: &JobId, upstream: &InstanceId) {
        self.failed_on.shift_remove(job);
        self.upstream(now, upstream).succeed(now);
    }

    /// Forgets a job that ended otherwise.
    pub fn forget_job(&mut self, job: &JobId) {
        self.failed_on.shift_remove(job);
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &InstanceId) {
        self.upstreams.shift_remove(upstream);
    }

    /// The instances of a pool that may get work, in the given order. At most `MAX_ASIDE_PERCENT`
    /// are left out; when more are to be set aside, those that were healthy longest return first.
    pub fn usable(&self, now: Time, pool: &[InstanceId]) -> Vec<InstanceId> {
        let mut aside: Vec<(&InstanceId, Duration)> = pool
            .iter()
            .filter(|id| self.is_set_aside(now, id, pool))
            .map(|id| (id, self.upstreams.get(id).map(Upstream::healthy_for).unwrap_or_default()))
            .collect();
        aside.sort_by_key(|(_, healthy_for)| *healthy_for);
        aside.truncate(max_aside(pool.len()));
        let left_out: IndexSet<&InstanceId> = aside.into_iter().map(|(id, _)| id).collect();
        pool.iter().filter(|id| !left_out.contains(id)).cloned().collect()
    }

    /// Instances to probe now; asking starts the interval to the next probe.
    pub fn due_probes(&mut self, now: Time) -> Vec<InstanceId> {
        let due = self.upstreams.iter_mut().filter(|(_, known)| {
            (known.aside.is_some() || known.unreached > 0) && known.next_probe <= now
        });
        due.map(|(id, known)| {
            known.next_probe = now + PROBE_INTERVAL;
            id.clone()
        })
        .collect()
    }

    /// Generation of an upstream's connections.
    pub fn generation(&self, upstream: &InstanceId) -> u64 {
        self.upstreams.get(upstream).map_or(0, |known| known.generation)
    }

    /// Retires the present generation, for example after a crossed answer.
    pub fn retire(&mut self, now: Time, upstream: &InstanceId) {
        let known = self.upstream(now, upstream);
        known.generation += 1;
        known.silence = Silence::None;
    }

    /// As `silent_in` for the present generation.
    pub fn silent(&mut self, now: Time, upstream: &InstanceId) -> SilenceAction {
        self.on_silence_in(now, upstream, self.generation(upstream))
    }

    /// What to do about an attempt over a generation's connection that has received no byte for
    /// `SILENCE` or timed out sooner. Only what this answers is done: an upstream that answers a probe is not blamed.
    pub fn on_silence_in(
        &mut self,
        now: Time,
        upstream: &InstanceId,
        generation: u64,
    ) -> SilenceAction {
        let known = self.upstream(now, upstream);
        if generation < known.generation {
            return SilenceAction::Wait;
        }
        match known.silence {
            Silence::Probing { since } if now < since + PROBE_TIMEOUT => SilenceAction::Wait,
            Silence::Probed { at, ok: true } if now < at + SILENCE_TIMEOUT => {
                known.barren += 1;
                self.retire(now, upstream);
                SilenceAction::Retire
            }
            Silence::Probing { .. } => self.eject(now, upstream),
            Silence::Probed { at, ok: false } if now < at + SILENCE_TIMEOUT => {
                self.eject(now, upstream)
            }
            Silence::None | Silence::Probed { .. } => {
                known.silence = Silence::Probing { since: now };
                SilenceAction::Probe
            }
        }
    }

    fn upstream(&mut self, now: Time, id: &InstanceId) -> &mut Upstream {
        let known = self.upstreams.entry(id.clone());
        known.or_insert_with(|| Upstream { healthy_since: now, ..Upstream::default() })
    }

    fn request_failed(&mut self, now: Time, upstream: &InstanceId) {
        self.failed(now, upstream, |known| known.failed_requests += 1);
    }

    fn failed(&mut self, now: Time, upstream: &InstanceId, count: impl FnOnce(&mut Upstream)) {
        let known = self.upstream(now, upstream);
        if known.failures() == 0 {
            known.failing_since = now;
        }
        count(known);
        if known.failures() >= FAILING_LIMIT && !known.is_aside(now) {
            self.set_aside(now, upstream, Reason::Failing);
        }
    }

    fn not_reached(&mut self, now: Time, upstream: &InstanceId) {
        let known = self.upstream(now, upstream);
        known.unreached += 1;
        if known.unreached >= UNREACHED_LIMIT && !known.is_aside(now) {
            self.set_aside(now, upstream, Reason::Unreached);
        }
    }

    fn eject(&mut self, now: Time, upstream: &InstanceId) -> SilenceAction {
        let known = self.upstream(now, upstream);
        known.silence = Silence::None;
        if !known.is_aside(now) {
            self.set_aside(now, upstream, Reason::Unreached);
        }
        SilenceAction::Eject
    }

    fn set_aside(&mut self, now: Time, upstream: &InstanceId, reason: Reason) {
        // The jitter keeps entry instances from trying the same upstream again at the same time.
        let jitter = self.rng.random_range(0.8..1.2);
        let known = self.upstream(now, upstream);
        let time = FIRST_ASIDE * 2_u32.pow(known.times.min(MAX_DOUBLINGS));
        known.aside = Some(Aside { reason, until: now + time.mul_f64(jitter) });
        known.times += 1;
    }

    /// Whether an instance is set aside and, if its work fails, another one of the pool has worked
    /// well since the failures began. Without that the work may be to blame.
    fn is_set_aside(&self, now: Time, id: &InstanceId, pool: &[InstanceId]) -> bool {
        let Some(known) = self.upstreams.get(id) else { return false };
        let Some(aside) = known.aside.filter(|aside| now < aside.until) else { return false };
        match aside.reason {
            Reason::Unreached => true,
            Reason::Failing => pool.iter().filter(|other| *other != id).any(|other| {
                let success = self.upstreams.get(other).and_then(|known| known.last_success);
                success.is_some_and(|t| t >= known.failing_since)
            }),
        }
    }

    /// Takes a job that cannot run out of every instance's failures.
    fn acquit(&mut self, job: &JobId) {
        self.failed_on.shift_remove(job);
        for known in self.upstreams.values_mut() {
            let removed = known.failed_jobs.shift_remove(job);
            let failing = known.aside.is_some_and(|aside| aside.reason == Reason::Failing);
            if removed && failing && known.failures() < FAILING_LIMIT {
                known.aside = None;
                known.times = known.times.saturating_sub(1);
            }
        }
    }
}

/// Most instances of a pool that may be set aside.
fn max_aside(pool: usize) -> usize {
    (pool * MAX_ASIDE_PERCENT / 100).max(1).min(pool.saturating_sub(1))
}
