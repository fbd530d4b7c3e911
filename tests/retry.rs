//! Retries. Guards against retries that multiply the load, work that is sent twice although it may
//! have run, and refusals that deny work that ran.

use jacinthhook::health::AttemptOutcome;
use jacinthhook::ids::ServiceId;
use jacinthhook::kind::Ran;
use jacinthhook::retry::*;
use quickcheck::{Gen, QuickCheck};

const ENDS: [AttemptOutcome; 6] = [
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

fn end(number: u8) -> AttemptOutcome {
    ENDS[number as usize % ENDS.len()]
}

/// Oracle: whether the upstream can have seen a byte of the work.
fn saw_work(end: AttemptOutcome) -> bool {
    !matches!(end, AttemptOutcome::NotRun | AttemptOutcome::ConnectFailed)
}

/// Runs one request whose attempts end as given; returns the ends used and the last step.
fn run(
    retry: &mut RetryPolicy,
    service: &ServiceId,
    idempotent: bool,
    ends: &[u8],
) -> (Vec<AttemptOutcome>, Option<RetryDecision>) {
    let mut attempts = Attempts::new(idempotent);
    let mut used = Vec::new();
    let mut last = None;
    for number in ends {
        used.push(end(*number));
        let step = retry.on_attempt_end(service, &mut attempts, end(*number));
        let more = matches!(step, RetryDecision::RetryAfter(_));
        last = Some(step);
        if !more {
            break;
        }
    }
    (used, last)
}

#[test]
fn step_budget_bounds_the_added_load() {
    fn bounded(seed: u64, requests: Vec<(u8, bool, Vec<u8>)>) -> bool {
        let mut retry = RetryPolicy::new(seed);
        let mut counts = [(0_u32, 0_u32); 3];
        for (service, idempotent, ends) in requests {
            let count = &mut counts[service as usize % 3];
            let service: ServiceId = format!("s{}", service % 3).into();
            retry.on_request(&service);
            let (used, _) = run(&mut retry, &service, idempotent, &ends);
            count.0 += 1;
            count.1 += used.len().saturating_sub(1) as u32;
        }
        counts.iter().all(|(all, retries)| *retries <= MAX_SAVED_RETRIES + all / REQUESTS_PER_RETRY)
    }
    check(1).quickcheck(bounded as fn(u64, Vec<(u8, bool, Vec<u8>)>) -> bool);
}

#[test]
fn step_budget_refills_by_a_tenth() {
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
fn step_not_idempotent_is_never_sent_twice() {
    fn once(seed: u64, ends: Vec<u8>) -> bool {
        let (used, _) = run(&mut RetryPolicy::new(seed), &"s".into(), false, &ends);
        used.iter().rev().skip(1).all(|end| !saw_work(*end))
    }
    check(2).quickcheck(once as fn(u64, Vec<u8>) -> bool);
}

#[test]
fn step_not_run_is_true() {
    fn honest(seed: u64, idempotent: bool, ends: Vec<u8>) -> bool {
        let (used, last) = run(&mut RetryPolicy::new(seed), &"s".into(), idempotent, &ends);
        let seen = used.iter().any(|end| saw_work(*end));
        match last {
            Some(RetryDecision::Refuse(refusal)) => (refusal.ran == Ran::NotRun) != seen,
            _ => true,
        }
    }
    check(3).quickcheck(honest as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn decide_is_never_more_hopeful_than_step() {
    fn careful(seed: u64, idempotent: bool, ends: Vec<u8>) -> bool {
        let service: ServiceId = "s".into();
        let (used, exact) = run(&mut RetryPolicy::new(seed), &service, idempotent, &ends);
        let mut retry = RetryPolicy::new(seed);
        let steps = used
            .iter()
            .enumerate()
            .map(|(i, end)| retry.decide(&service, idempotent, i as u32 + 1, *end));
        match (steps.last(), exact) {
            (Some(RetryDecision::Refuse(a)), Some(RetryDecision::Refuse(b))) => {
                a.ran == b.ran || a.ran == Ran::Unknown
            }
            (a, b) => a == b,
        }
    }
    check(4).quickcheck(careful as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn step_at_most_three_tries() {
    fn few(seed: u64, idempotent: bool, ends: Vec<u8>) -> bool {
        let (used, _) = run(&mut RetryPolicy::new(seed), &"s".into(), idempotent, &ends);
        used.len() <= 3
    }
    check(5).quickcheck(few as fn(u64, bool, Vec<u8>) -> bool);
}

#[test]
fn step_answers_pass() {
    let mut retry = RetryPolicy::new(1);
    let step = retry.on_attempt_end(&"s".into(), &mut Attempts::new(true), ENDS[0]);
    assert_eq!(step, RetryDecision::PassThrough);
}

#[test]
fn step_backoff_is_spread_over_its_range() {
    let mut waits: Vec<_> = (0..200)
        .map(|seed| {
            match RetryPolicy::new(seed).decide(&"s".into(), true, 2, AttemptOutcome::NotRun) {
                RetryDecision::RetryAfter(wait) => wait,
                other => panic!("no retry: {other:?}"),
            }
        })
        .collect();
    waits.sort();
    assert!(waits[199] <= FIRST_BACKOFF * 2);
    assert!(waits[50] < FIRST_BACKOFF && waits[150] > FIRST_BACKOFF, "{waits:?}");
}
