//! Tests of retries. Guard against retries that multiply the load, work that is sent again although
//! it may have run and is not idempotent, and refusals that report work as not run although it may
//! have.

use jacinthhook::health::AttemptOutcome;
use jacinthhook::ids::ServiceId;
use jacinthhook::kind::Ran;
use jacinthhook::retry::*;
use quickcheck::{Gen, QuickCheck};

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Answered { failed: true },
    AttemptOutcome::NotRun,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::LostBeforeHead,
    AttemptOutcome::LostInBody,
    AttemptOutcome::TimedOut,
];

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(60, seed))
}

fn outcome(number: u8) -> AttemptOutcome {
    OUTCOMES[number as usize % OUTCOMES.len()]
}

/// Whether the upstream may have received any byte of the work.
fn may_have_received(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::NotRun | AttemptOutcome::ConnectFailed)
}

/// Runs one request whose attempts have the given outcomes. Returns the outcomes used and the last
/// decision.
fn run(
    retry: &mut RetryPolicy,
    service: &ServiceId,
    idempotent: bool,
    outcomes: &[u8],
) -> (Vec<AttemptOutcome>, Option<RetryDecision>) {
    let mut attempts = Attempts::new(idempotent);
    let mut used = Vec::new();
    let mut last = None;
    for number in outcomes {
        used.push(outcome(*number));
        let decision = retry.on_attempt_end(service, &mut attempts, outcome(*number));
        let more = matches!(decision, RetryDecision::RetryAfter(_));
        last = Some(decision);
        if !more {
            break;
        }
    }
    (used, last)
}

#[test]
fn on_attempt_end_budget_bounds_the_added_load() {
    fn bounded(seed: u64, requests: Vec<(u8, bool, Vec<u8>)>) -> bool {
        let mut retry = RetryPolicy::new(seed);
        let mut counts = [(0_u32, 0_u32); 3];
        for (service, idempotent, outcomes) in requests {
            let count = &mut counts[service as usize % 3];
            let service: ServiceId = format!("s{}", service % 3).into();
            retry.on_request(&service);
            let (used, _) = run(&mut retry, &service, idempotent, &outcomes);
            count.0 += 1;
            count.1 += used.len().saturating_sub(1) as u32;
        }
        counts
            .iter()
            .all(|(all, retries)| *retries <= MAX_BUDGETED_RETRIES + all / REQUESTS_PER_RETRY)
    }
    check(1).quickcheck(bounded as fn(u64, Vec<(u8, bool, Vec<u8>)>) -> bool);
}

#[test]
fn on_attempt_end_budget_refills_by_a_tenth() {
    let mut retry = RetryPolicy::new(1);
    let service: ServiceId = "s".into();
    while retry.try_spend(&service) {}
    let mut retries = 0;
    for _ in 0..1_000 {
        retry.on_request(&service);
        retries += u32::from(retry.try_spend(&service));
    }
    assert_eq!(retries, 100);
}

#[test]
fn on_attempt_end_not_idempotent_is_never_sent_twice() {
    fn once(seed: u64, outcomes: Vec<u8>) -> bool {
        let (used, _) = run(&mut RetryPolicy::new(seed), &"s".into(), false, &outcomes);
        used.iter().rev().skip(1).all(|outcome| !may_have_received(*outcome))
    }
    check(2).quickcheck(once as fn(u64, Vec<u8>) -> bool);
}

#[test]
fn on_attempt_end_reports_not_run_truthfully() {
    fn truthful(seed: u64, idempotent: bool, outcomes: Vec<u8>) -> bool {
        let (used, last) = run(&mut RetryPolicy::new(seed), &"s".into(), idempotent, &outcomes);
        let seen = used.iter().any(|outcome| may_have_received(*outcome));
        match last {
            Some(RetryDecision::Refuse(refusal)) => (refusal.ran == Ran::NotRun) != seen,
            _ => true,
        }
    }
    check(3).quickcheck(truthful as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn decide_is_as_conservative_as_on_attempt_end() {
    fn conservative(seed: u64, idempotent: bool, outcomes: Vec<u8>) -> bool {
        let service: ServiceId = "s".into();
        let (used, exact) = run(&mut RetryPolicy::new(seed), &service, idempotent, &outcomes);
        let mut retry = RetryPolicy::new(seed);
        let decisions = used
            .iter()
            .enumerate()
            .map(|(i, outcome)| retry.decide(&service, idempotent, i as u32 + 1, *outcome));
        match (decisions.last(), exact) {
            (Some(RetryDecision::Refuse(a)), Some(RetryDecision::Refuse(b))) => {
                a.ran == b.ran || a.ran == Ran::Unknown
            }
            (a, b) => a == b,
        }
    }
    check(4).quickcheck(conservative as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn on_attempt_end_at_most_three_attempts() {
    fn few(seed: u64, idempotent: bool, outcomes: Vec<u8>) -> bool {
        let (used, _) = run(&mut RetryPolicy::new(seed), &"s".into(), idempotent, &outcomes);
        used.len() <= 3
    }
    check(5).quickcheck(few as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn on_attempt_end_passes_responses_through() {
    let mut retry = RetryPolicy::new(1);
    let decision = retry.on_attempt_end(&"s".into(), &mut Attempts::new(true), OUTCOMES[0]);
    assert_eq!(decision, RetryDecision::PassThrough);
}

#[test]
fn on_attempt_end_backoff_is_spread_over_its_range() {
    let mut delays: Vec<_> = (0..200)
        .map(|seed| {
            match RetryPolicy::new(seed).decide(&"s".into(), true, 2, AttemptOutcome::NotRun) {
                RetryDecision::RetryAfter(delay) => delay,
                other => panic!("expected a retry, got {other:?}"),
            }
        })
        .collect();
    delays.sort();
    assert!(delays[199] <= BASE_BACKOFF * 2);
    assert!(delays[50] < BASE_BACKOFF && delays[150] > BASE_BACKOFF, "{delays:?}");
}
