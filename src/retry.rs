//! Which attempts are followed by another one: the retry budget, backoff with jitter, and the rule
//! that work which is not idempotent is sent again only if it surely reached no upstream.

use crate::health::AttemptOutcome;
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Most attempts for one request: the first and two retries.
pub const MAX_ATTEMPTS: u32 = 3;
/// Requests that pay for one retry: retries add at most a tenth to the load.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Most retries that a service saves up, and what it starts with.
pub const MAX_SAVED_RETRIES: u32 = 10;
/// Longest wait before the first retry; doubles with each retry.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// What follows an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The upstream's answer goes to the caller, whatever its status.
    PassThrough,
    /// Another attempt at another upstream after this time.
    RetryAfter(Duration),
    /// The caller gets this refusal. After `LostInBody` the caller's connection is closed instead.
    Refuse(Refusal),
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
pub struct RetryPolicy {
    rng: ChaCha8Rng,
    /// What each service has saved up, in requests.
    saved: IndexMap<ServiceId, u32>,
}

impl RetryPolicy {
    /// With full budgets; the seed is for jitter.
    pub fn new(seed: u64) -> RetryPolicy {
        RetryPolicy { rng: ChaCha8Rng::seed_from_u64(seed), saved: IndexMap::new() }
    }

    /// Counts a request of a service, which refills its budget.
    pub fn on_request(&mut self, service: &ServiceId) {
        let saved = self.saved(service);
        *saved = (*saved + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Decides what follows the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        service: &ServiceId,
        attempts: &mut Attempts,
        end: AttemptOutcome,
    ) -> RetryDecision {
        attempts.tries += 1;
        attempts.maybe_ran |= may_have_run(end);
        if matches!(end, AttemptOutcome::Answered { .. }) {
            return RetryDecision::PassThrough;
        }
        let allowed = may_repeat(attempts, end) && attempts.tries < MAX_ATTEMPTS;
        if allowed && self.try_spend(service) {
            return RetryDecision::RetryAfter(self.backoff(attempts.tries));
        }
        RetryDecision::Refuse(refusal(end, attempts.ran()))
    }

    /// As `step`, for a caller that keeps no `Attempts`: of the earlier attempts of idempotent work
    /// it assumes that they may have run. `tries` counts the ended attempts, this one included.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        idempotent: bool,
        tries: u32,
        end: AttemptOutcome,
    ) -> RetryDecision {
        let before = tries.saturating_sub(1);
        let maybe_ran = idempotent && before > 0;
        self.on_attempt_end(service, &mut Attempts { idempotent, tries: before, maybe_ran }, end)
    }

    /// Takes a retry out of a service's budget, also for a second attempt beside a slow first one.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
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
pub fn may_have_run(end: AttemptOutcome) -> bool {
    match end {
        AttemptOutcome::NotRun | AttemptOutcome::ConnectFailed => false,
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::LostBeforeHead
        | AttemptOutcome::LostInBody
        | AttemptOutcome::TimedOut => true,
    }
}

/// Whether another attempt would be right, budget and number aside. After the answer's head the
/// caller may have seen a part of the answer.
fn may_repeat(attempts: &Attempts, end: AttemptOutcome) -> bool {
    match end {
        AttemptOutcome::Answered { .. } | AttemptOutcome::LostInBody => false,
        _ => attempts.idempotent || !attempts.maybe_ran,
    }
}

fn refusal(end: AttemptOutcome, ran: Ran) -> Refusal {
    let kind = match end {
        AttemptOutcome::TimedOut => Kind::DeadlinePassed,
        AttemptOutcome::LostBeforeHead | AttemptOutcome::LostInBody => Kind::UpstreamLost,
        _ if ran != Ran::NotRun => Kind::UpstreamLost,
        AttemptOutcome::ConnectFailed => Kind::NoUpstream,
        AttemptOutcome::NotRun | AttemptOutcome::Answered { .. } => Kind::UpstreamBusy,
    };
    Refusal::new(kind).with_ran(ran)
}
