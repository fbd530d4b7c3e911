//! Tests of the health of upstreams. Guard against the ejection of a whole pool, failures
//! attributed to a good job or instance, silent connections that stay in use, and ejections because
//! of them.

use jacinthhook::health::*;
use jacinthhook::ids::*;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::time::Duration;

const GOOD: AttemptOutcome = AttemptOutcome::Answered { failed: false };
const BAD: AttemptOutcome = AttemptOutcome::Answered { failed: true };

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(80, seed))
}

fn pool(size: usize) -> Vec<InstanceId> {
    (0..size).map(|i| format!("u{i}").into()).collect()
}

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn report(health: &mut Health, now: Time, upstream: &InstanceId, what: u8) {
    let job: JobId = format!("j{}", what % 5).into();
    match what % 11 {
        0 => health.on_attempt(now, upstream, GOOD),
        1 => health.on_attempt(now, upstream, BAD),
        2 => health.on_attempt(now, upstream, AttemptOutcome::NotRun),
        3 => health.on_attempt(now, upstream, AttemptOutcome::ConnectFailed),
        4 => health.on_attempt(now, upstream, AttemptOutcome::LostBeforeHead),
        5 => health.on_attempt(now, upstream, AttemptOutcome::TimedOut),
        6 => health.on_probe(now, upstream, false),
        7 => health.on_probe(now, upstream, true),
        8 => health.on_job_success(now, &job, upstream),
        9 => drop(health.on_silence(now, upstream)),
        _ => drop(health.on_job_failure(now, &job, upstream)),
    }
}

#[test]
fn usable_ejects_a_bounded_fraction() {
    fn bounded(seed: u64, size: u8, reports: Vec<(u8, u8, u16)>) -> bool {
        let pool = pool(size as usize % 40);
        let mut health = Health::new(seed);
        let mut now = Duration::ZERO;
        let most = (pool.len() * 3 / 10).max(1).min(pool.len().saturating_sub(1));
        reports.iter().all(|(upstream, what, later)| {
            now += ms(u64::from(*later) % 1_000);
            if let Some(upstream) = pool.get(*upstream as usize % pool.len().max(1)) {
                report(&mut health, now, upstream, *what);
            }
            let usable = health.usable(now, &pool);
            let mut rest = pool.iter();
            usable.len() + most >= pool.len() && usable.iter().all(|id| rest.any(|p| p == id))
        })
    }
    check(1).quickcheck(bounded as fn(u64, u8, Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn usable_pool_that_fails_as_a_whole_is_kept() {
    let pool = pool(10);
    let mut health = Health::new(1);
    for upstream in pool.iter().cycle().take(200) {
        health.on_attempt(ms(5), upstream, BAD);
    }
    assert_eq!(health.usable(ms(6), &pool), pool);
}

#[test]
fn usable_failing_instance_is_ejected_for_growing_times() {
    let pool = pool(4);
    let mut health = Health::new(1);
    let mut now = ms(0);
    let mut times = Vec::new();
    for _ in 0..4 {
        while health.usable(now, &pool).len() == 4 {
            health.on_attempt(now, &pool[1], BAD);
            health.on_attempt(now, &pool[0], GOOD);
        }
        let from = now;
        while health.usable(now, &pool).len() == 3 {
            now += ms(10);
        }
        times.push(now - from);
    }
    assert!(times.windows(2).all(|pair| pair[1] > pair[0]), "{times:?}");
    health.on_attempt(now, &pool[1], GOOD);
    health.on_attempt(now, &pool[1], BAD);
    assert_eq!(health.usable(now, &pool).len(), 4);
}

#[test]
fn usable_keeps_instance_that_was_healthy_longest() {
    let pool = pool(4);
    let mut health = Health::new(1);
    health.on_attempt(ms(0), &pool[2], GOOD);
    health.on_attempt(ms(0), &pool[1], GOOD);
    health.on_attempt(ms(900), &pool[2], GOOD);
    for upstream in [&pool[1], &pool[2]] {
        for _ in 0..MAX_CONSECUTIVE_UNREACHED {
            health.on_attempt(ms(1_000), upstream, AttemptOutcome::ConnectFailed);
        }
    }
    let usable = health.usable(ms(1_000), &pool);
    assert!(usable.contains(&pool[2]) && !usable.contains(&pool[1]), "{usable:?}");
}

#[test]
fn on_probe_ends_ejection_of_unreached_instance() {
    let pool = pool(3);
    let mut health = Health::new(1);
    for _ in 0..MAX_CONSECUTIVE_UNREACHED {
        health.on_attempt(ms(0), &pool[0], AttemptOutcome::ConnectFailed);
    }
    assert_eq!(health.usable(ms(1), &pool).len(), 2);
    assert_eq!(health.due_probes(ms(1)), [pool[0].clone()]);
    assert!(health.due_probes(ms(2)).is_empty());
    health.on_probe(ms(3), &pool[0], true);
    assert_eq!(health.usable(ms(3), &pool).len(), 3);
}

#[test]
fn on_probe_keeps_ejection_of_failing_instance() {
    let pool = pool(3);
    let mut health = Health::new(1);
    for _ in 0..MAX_CONSECUTIVE_FAILURES {
        health.on_attempt(ms(0), &pool[0], BAD);
    }
    health.on_attempt(ms(1), &pool[1], GOOD);
    health.on_probe(ms(2), &pool[0], true);
    assert_eq!(health.usable(ms(2), &pool), pool[1..]);
}

/// Result of a simulated run of jobs.
struct Run {
    given_up: HashSet<usize>,
    done: HashSet<usize>,
    ejected: HashSet<InstanceId>,
}

/// Runs jobs in random order on random usable instances until each one has succeeded or was given
/// up. A job fails if the job or its instance is bad.
fn run_jobs(seed: u64, jobs: usize, is_bad: impl Fn(usize) -> bool, bad: &[InstanceId]) -> Run {
    let pool = pool(10);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut health = Health::new(seed);
    let mut run = Run { given_up: HashSet::new(), done: HashSet::new(), ejected: HashSet::new() };
    for step in 0..20_000 {
        let now = ms(step * 10);
        let usable = health.usable(now, &pool);
        run.ejected.extend(pool.iter().filter(|id| !usable.contains(id)).cloned());
        let open: Vec<usize> = (0..jobs)
            .filter(|job| !run.given_up.contains(job) && !run.done.contains(job))
            .collect();
        let Some(job) = open.choose(&mut rng) else { return run };
        let upstream = usable.choose(&mut rng).expect("a usable instance");
        let id: JobId = format!("j{job}").into();
        if is_bad(*job) || bad.contains(upstream) {
            if health.on_job_failure(now, &id, upstream) == JobFailureAction::CannotRun {
                run.given_up.insert(*job);
            }
        } else {
            health.on_job_success(now, &id, upstream);
            run.done.insert(*job);
        }
        // Requests continue alongside the jobs, even when only bad jobs are left.
        let other = usable.choose(&mut rng).expect("a usable instance");
        let end = if bad.contains(other) { BAD } else { GOOD };
        health.on_attempt(now, other, end);
    }
    panic!("jobs left after 20,000 steps with seed {seed}");
}

#[test]
fn on_job_failure_distinguishes_bad_jobs_from_bad_instances() {
    fn attributed(seed: u64, bad_jobs: u8, bad_instances: u8) -> bool {
        let bad_jobs = bad_jobs as usize % 20;
        let bad: Vec<InstanceId> = pool(bad_instances as usize % 4);
        let run = run_jobs(seed, 60, |job| job < bad_jobs, &bad);
        run.given_up.len() == bad_jobs && run.given_up.iter().all(|job| *job < bad_jobs)
    }
    check(2).quickcheck(attributed as fn(u64, u8, u8) -> bool);
}

#[test]
fn on_job_failure_ejects_bad_instances() {
    let bad = pool(3);
    for seed in 0..50 {
        let run = run_jobs(seed, 200, |job| job < 5, &bad);
        assert!(bad.iter().all(|id| run.ejected.contains(id)), "seed {seed}");
    }
}

#[test]
fn on_job_failure_idle_pool_with_bad_instances_gives_up_no_job() {
    let pool = pool(10);
    let mut health = Health::new(1);
    for upstream in &pool {
        health.on_attempt(ms(0), upstream, GOOD);
    }
    for (i, upstream) in pool[..3].iter().enumerate() {
        let verdict = health.on_job_failure(ms(10 + i as u64), &"good".into(), upstream);
        assert_eq!(verdict, JobFailureAction::TryElsewhere);
    }
}

#[test]
fn on_silence_retires_connection_without_ejecting_upstream() {
    fn found(seed: u64, round_trip: u16, timeouts: u8, others: Vec<u8>) -> bool {
        let pool = pool(5);
        let mut health = Health::new(seed);
        for (i, upstream) in others.iter().enumerate() {
            health.on_attempt(ms(i as u64), &pool[*upstream as usize % 5], GOOD);
        }
        let mut now = ms(10_000) + SILENCE_TIMEOUT;
        let probed = health.on_silence(now, &pool[0]) == SilenceAction::Probe
            && health.on_silence(now, &pool[0]) == SilenceAction::Wait;
        now += ms(u64::from(round_trip) % 1_000);
        health.on_probe(now, &pool[0], true);
        let retired = health.on_silence(now, &pool[0]) == SilenceAction::Retire;
        for _ in 0..timeouts {
            now += ms(1);
            health.on_attempt(now, &pool[0], AttemptOutcome::TimedOut);
            health.on_attempt(now, &pool[1], GOOD);
        }
        let late = health.on_silence_in(now, &pool[0], 0) == SilenceAction::Wait;
        let kept = health.usable(now, &pool) == pool;
        probed && retired && late && kept && health.generation(&pool[0]) == 1
    }
    check(3).quickcheck(found as fn(u64, u16, u8, Vec<u8>) -> bool);
}

#[test]
fn on_silence_ejects_upstream_that_fails_the_probe() {
    let pool = pool(4);
    for answered in [true, false] {
        let mut health = Health::new(1);
        assert_eq!(health.on_silence(ms(2_000), &pool[0]), SilenceAction::Probe);
        if answered {
            health.on_probe(ms(2_100), &pool[0], false);
        }
        let now = ms(2_000) + PROBE_TIMEOUT;
        assert_eq!(health.on_silence(now, &pool[0]), SilenceAction::Eject);
        assert_eq!(health.usable(now, &pool), pool[1..]);
    }
}

#[test]
fn on_silence_upstream_that_hangs_on_all_work_is_ejected() {
    let pool = pool(4);
    let mut health = Health::new(1);
    let mut now = ms(0);
    while health.usable(now, &pool).len() == 4 {
        now += SILENCE_TIMEOUT;
        assert!(now < Duration::from_secs(60), "a hanging upstream is still in use after 60 s");
        assert_eq!(health.on_silence(now, &pool[0]), SilenceAction::Probe);
        health.on_probe(now, &pool[0], true);
        assert_eq!(health.on_silence(now, &pool[0]), SilenceAction::Retire);
        health.on_attempt(now, &pool[0], AttemptOutcome::TimedOut);
        health.on_attempt(now, &pool[1], GOOD);
    }
}

#[test]
fn retire_one_upstream_only() {
    let pool = pool(2);
    let mut health = Health::new(1);
    health.retire(ms(0), &pool[0]);
    assert_eq!((health.generation(&pool[0]), health.generation(&pool[1])), (1, 0));
}

/// Lets a job fail on three instances, with a success before and after each failure. On the
/// instance at index `other_failure`, another job fails last.
fn fail_on_three(
    health: &mut Health,
    job: &JobId,
    other_failure: Option<usize>,
) -> Vec<JobFailureAction> {
    let pool = pool(4);
    let mut verdicts = Vec::new();
    for (i, upstream) in pool[1..].iter().enumerate() {
        let now = ms(1_000 + 10 * i as u64);
        health.on_attempt(now, upstream, GOOD);
        verdicts.push(health.on_job_failure(now + ms(1), job, upstream));
        health.on_attempt(now + ms(2), upstream, GOOD);
        if other_failure == Some(i) {
            health.on_job_failure(now + ms(3), &"other".into(), upstream);
        }
    }
    verdicts
}

#[test]
fn on_job_failure_needs_three_healthy_instances() {
    use JobFailureAction::{CannotRun, TryElsewhere};
    let conclusive = fail_on_three(&mut Health::new(1), &"j".into(), None);
    assert_eq!(conclusive, [TryElsewhere, TryElsewhere, CannotRun]);
    let inconclusive = fail_on_three(&mut Health::new(1), &"j".into(), Some(0));
    assert_eq!(inconclusive, [TryElsewhere; 3]);
}

#[test]
fn on_job_failure_ends_ejection_caused_by_bad_jobs() {
    let pool = pool(4);
    let mut health = Health::new(1);
    for job in ["a", "b", "c", "d", "e"] {
        health.on_job_failure(ms(1), &job.into(), &pool[0]);
    }
    health.on_attempt(ms(2), &pool[1], GOOD);
    assert_eq!(health.usable(ms(2), &pool), pool[1..]);
    fail_on_three(&mut health, &"a".into(), None);
    assert_eq!(health.usable(ms(1_100), &pool), pool);
}
