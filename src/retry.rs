//! Decides which attempts are retried: retry budgets, backoff with jitter, and the rule that work
//! that is not idempotent is retried only if it certainly has not run.

use crate::health::AttemptOutcome;
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Maximum number of attempts for one request: the first one and two retries.
pub const MAX_ATTEMPTS: u32 = 3;
/// Number of requests that add one retry to the budget, so retries add at most a tenth to the load.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Maximum, and initial, number of retries in the budget of a service.
pub const MAX_BUDGETED_RETRIES: u32 = 10;
/// Upper bound of the random delay before the first retry; doubles with each retry.
pub const BASE_BACKOFF: Duration = Duration::from_millis(10);

/// Decision after an attempt has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Pass the upstream's response to the caller, whatever its status.
    PassThrough,
    /// Retry at another upstream after this delay.
    RetryAfter(Duration),
    /// Return this refusal to the caller. After `AttemptOutcome::LostInBody`, the caller's
    /// connection is closed instead.
    Refuse(Refusal),
}

/// Attempts that were made for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempts {
    idempotent: bool,
    completed: u32,
    /// Whether any attempt may have run the work.
    maybe_ran: bool,
}

impl Attempts {
    /// Creates the state before the first attempt.
    pub fn new(idempotent: bool) -> Attempts {
        Attempts { idempotent, completed: 0, maybe_ran: false }
    }

    /// Returns the number of attempts that have ended.
    pub fn completed(&self) -> u32 {
        self.completed
    }

    /// Returns whether the work may have run so far.
    pub fn ran(&self) -> Ran {
        if self.maybe_ran { Ran::Unknown } else { Ran::NotRun }
    }
}

/// Retry decisions and the retry budgets of all services at one entry instance.
#[derive(Debug)]
pub struct RetryPolicy {
    rng: ChaCha8Rng,
    /// Remaining budget of each service; a retry costs `REQUESTS_PER_RETRY`.
    budgets: IndexMap<ServiceId, u32>,
}

impl RetryPolicy {
    /// Creates a policy with full budgets. The seed is used for jitter.
    pub fn new(seed: u64) -> RetryPolicy {
        RetryPolicy { rng: ChaCha8Rng::seed_from_u64(seed), budgets: IndexMap::new() }
    }

    /// Adds one request to the budget of a service.
    pub fn on_request(&mut self, service: &ServiceId) {
        let budget = self.budget(service);
        *budget = (*budget + 1).min(MAX_BUDGETED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Records the outcome of an attempt and decides what to do next.
    pub fn on_attempt_end(
        &mut self,
        service: &ServiceId,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        attempts.completed += 1;
        attempts.maybe_ran |= may_have_run(outcome);
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            return RetryDecision::PassThrough;
        }
        let allowed = may_retry(attempts, outcome) && attempts.completed < MAX_ATTEMPTS;
        if allowed && self.try_spend(service) {
            return RetryDecision::RetryAfter(self.backoff(attempts.completed));
        }
        RetryDecision::Refuse(refusal(outcome, attempts.ran()))
    }

    /// Same as `on_attempt_end`, for a caller that keeps no `Attempts`. Earlier attempts of
    /// idempotent work are assumed to have possibly run. `completed` counts the ended attempts,
    /// including this one.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        idempotent: bool,
        completed: u32,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        let before = completed.saturating_sub(1);
        let maybe_ran = idempotent && before > 0;
        self.on_attempt_end(
            service,
            &mut Attempts { idempotent, completed: before, maybe_ran },
            outcome,
        )
    }

    /// Spends one retry from the budget of a service and returns false if the budget is used up.
    /// Also called for hedged attempts.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        let budget = self.budget(service);
        match budget.checked_sub(REQUESTS_PER_RETRY) {
            Some(left) => {
                *budget = left;
                true
            }
            None => false,
        }
    }

    fn budget(&mut self, service: &ServiceId) -> &mut u32 {
        let full = MAX_BUDGETED_RETRIES * REQUESTS_PER_RETRY;
        self.budgets.entry(service.clone()).or_insert(full)
    }

    fn backoff(&mut self, completed: u32) -> Duration {
        let longest = BASE_BACKOFF * 2_u32.pow(completed.saturating_sub(1));
        longest.mul_f64(self.rng.random_range(0.0..=1.0))
    }
}

/// Whether an attempt with this outcome may have run the work.
pub fn may_have_run(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::NotRun | AttemptOutcome::ConnectFailed => false,
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::LostBeforeHead
        | AttemptOutcome::LostInBody
        | AttemptOutcome::TimedOut => true,
    }
}

/// Whether another attempt is safe, regardless of the budget and the number of attempts. After the
/// response head, the caller may already have received a part of the response.
fn may_retry(attempts: &Attempts, outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered { .. } | AttemptOutcome::LostInBody => false,
        _ => attempts.idempotent || !attempts.maybe_ran,
    }
}

fn refusal(outcome: AttemptOutcome, ran: Ran) -> Refusal {
    let kind = match outcome {
        AttemptOutcome::TimedOut => Kind::DeadlinePassed,
        AttemptOutcome::LostBeforeHead | AttemptOutcome::LostInBody => Kind::UpstreamLost,
        _ if ran != Ran::NotRun => Kind::UpstreamLost,
        AttemptOutcome::ConnectFailed => Kind::NoUpstream,
        AttemptOutcome::NotRun | AttemptOutcome::Answered { .. } => Kind::UpstreamBusy,
    };
    Refusal::new(kind).with_ran(ran)
}
