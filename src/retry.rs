//! Which attempts are followed by another one: the retry budget, backoff with jitter, and the rule
//! that work which is not idempotent is sent again only if it surely reached no upstream.

use crate::health::AttemptEnd;
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Most attempts for one request: the first and two retries.
pub const MAX_TRIES: u32 = 3;
/// Requests that pay for one retry: retries add at most a tenth to the load.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Most retries that a service saves up, and what it starts with.
pub const MAX_SAVED_RETRIES: u32 = 10;
/// Longest wait before the first retry; doubles with each retry.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// What follows an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryStep {
    /// The upstream's answer goes to the caller, whatever its status.
    Pass,
    /// Another attempt at another upstream after this time.
    After(Duration),
    /// The caller gets this refusal. After `LostInBody` the caller's connection is closed instead.
    Give(Refusal),
}

/// The attempts made for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempts {
    idempotent: bool,
    tries: u32,
    /// Whether an earlier attempt may have run the work.
    maybe_ran: bool,
}

impl Attempts {
    /// Before the first attempt.
    pub fn new(idempotent: bool) -> Attempts {
        Attempts { idempotent, tries: 0, maybe_ran: false }
    }

    /// Attempts that have ended.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// What is true of the work now.
    pub fn ran(&self) -> Ran {
        if self.maybe_ran { Ran::Unknown } else { Ran::NotRun }
    }
}

/// Retry budgets of all services at one entry instance.
#[derive(Debug)]
pub struct Retry {
    rng: ChaCha8Rng,
    /// What each service has saved up, in requests.
    saved: IndexMap<ServiceId, u32>,
}

impl Retry {
    /// With full budgets; the seed is for jitter.
    pub fn new(seed: u64) -> Retry {
        Retry { rng: ChaCha8Rng::seed_from_u64(seed), saved: IndexMap::new() }
    }

    /// Counts a request of a service, which refills its budget.
    pub fn on_request(&mut self, service: &ServiceId) {
        let saved = self.saved(service);
        *saved = (*saved + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Decides what follows the end of an attempt.
    pub fn step(
        &mut self,
        service: &ServiceId,
        attempts: &mut Attempts,
        end: AttemptEnd,
    ) -> RetryStep {
        attempts.tries += 1;
        attempts.maybe_ran |= may_have_run(end);
        if matches!(end, AttemptEnd::Answered { .. }) {
            return RetryStep::Pass;
        }
        let allowed = may_repeat(attempts, end) && attempts.tries < MAX_TRIES;
        if allowed && self.take(service) {
            return RetryStep::After(self.backoff(attempts.tries));
        }
        RetryStep::Give(refusal(end, attempts.ran()))
    }

    /// As `step`, for a caller that keeps no `Attempts`: of the earlier attempts of idempotent work
    /// it assumes that they may have run. `tries` counts the ended attempts, this one included.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        idempotent: bool,
        tries: u32,
        end: AttemptEnd,
    ) -> RetryStep {
        let before = tries.saturating_sub(1);
        let maybe_ran = idempotent && before > 0;
        self.step(service, &mut Attempts { idempotent, tries: before, maybe_ran }, end)
    }

    /// Takes a retry out of a service's budget, also for a second attempt beside a slow first one.
    pub fn take(&mut self, service: &ServiceId) -> bool {
        let saved = self.saved(service);
        match saved.checked_sub(REQUESTS_PER_RETRY) {
            Some(left) => {
                *saved = left;
                true
            }
            None => false,
        }
    }

    fn saved(&mut self, service: &ServiceId) -> &mut u32 {
        let full = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY;
        self.saved.entry(service.clone()).or_insert(full)
    }

    fn backoff(&mut self, tries: u32) -> Duration {
        let longest = FIRST_BACKOFF * 2_u32.pow(tries.saturating_sub(1));
        longest.mul_f64(self.rng.random_range(0.0..=1.0))
    }
}

/// Whether an attempt with this end may have run the work.
pub fn may_have_run(end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::NotRun | AttemptEnd::ConnectFailed => false,
        AttemptEnd::Answered { .. }
        | AttemptEnd::LostBeforeHead
        | AttemptEnd::LostInBody
        | AttemptEnd::TimedOut => true,
    }
}

/// Whether another attempt would be right, budget and number aside. After the answer's head the
/// caller may have seen a part of the answer.
fn may_repeat(attempts: &Attempts, end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered { .. } | AttemptEnd::LostInBody => false,
        _ => attempts.idempotent || !attempts.maybe_ran,
    }
}

fn refusal(end: AttemptEnd, ran: Ran) -> Refusal {
    let kind = match end {
        AttemptEnd::TimedOut => Kind::DeadlinePassed,
        AttemptEnd::LostBeforeHead | AttemptEnd::LostInBody => Kind::UpstreamLost,
        _ if ran != Ran::NotRun => Kind::UpstreamLost,
        AttemptEnd::ConnectFailed => Kind::NoUpstream,
        AttemptEnd::NotRun | AttemptEnd::Answered { .. } => Kind::UpstreamBusy,
    };
    Refusal::new(kind).with_ran(ran)
}
