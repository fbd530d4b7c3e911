//! Demand that is about to come, without I/O.

mod batch;

use batch::{long_running_step, short_step};
use jacinthhook::batch::forecast::Arrivals;
use jacinthhook::batch::job::{JobSpec, Step};
use jacinthhook::ids::{PoolId, Time};
use std::time::Duration;

const POOL: &str = "pool";

fn seconds(tenths: u64) -> Time {
    Duration::from_millis(100 * tenths)
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec { steps, ..JobSpec::default() }
}

/// Jobs of one task of `processors` for a second that arrive every tenth of a second, with `count(t)`
/// tasks at tenth `t`.
fn arrivals_with(from: u64, to: u64, count: impl Fn(u64) -> u32) -> Arrivals {
    let mut arrivals = Arrivals::new(seconds(from));
    for tenth in from..to {
        let step = Step { estimate: Duration::from_secs(1), ..short_step(count(tenth)) };
        arrivals.record(&PoolId::from(POOL), &job(vec![step]), seconds(tenth));
    }
    arrivals
}

/// Asked half-way between two arrivals, so that ten of them lie within a second.
fn expected(arrivals: &mut Arrivals, pool: &str, tenth: u64) -> u64 {
    arrivals.expected_demand(&PoolId::from(pool), seconds(tenth) - Duration::from_millis(50))
}

/// Thousandths of a processor of one task.
fn one() -> u64 {
    short_step(1).resources.processors
}

/// Guards against a pool that wants more machines though its demand does not change.
#[test]
fn expected_steady_demand() {
    let mut arrivals = arrivals_with(0, 40, |_| 1);
    assert_eq!(expected(&mut arrivals, POOL, 40), 10 * one());
    assert_eq!(expected(&mut arrivals, "other", 40), 0);
}

/// Guards against a pool that is short for as long as its demand rises (worst seconds of quiet-1): the
/// demand of two seconds later is wanted now.
#[test]
fn expected_rising_demand() {
    let mut arrivals = arrivals_with(0, 40, |tenth| tenth as u32);
    let later: u64 = (60..70).sum();
    let got = expected(&mut arrivals, POOL, 40) / one();
    // The rate of a span is that of its middle, half a second before its end.
    assert!(got + 60 >= later && got <= later, "{got} of {later}");
}

/// Guards against machines that stay for a demand that goes away.
#[test]
fn expected_falling_demand() {
    let mut arrivals = arrivals_with(0, 40, |tenth| 40 - tenth as u32);
    assert_eq!(expected(&mut arrivals, POOL, 40), 0);
    let mut over = arrivals_with(0, 40, |_| 1);
    assert_eq!(expected(&mut over, POOL, 70), 0);
}

/// Guards against a fresh owner that takes the first second that it sees for a steep rise, and moves
/// every machine there is.
#[test]
fn expected_fresh_owner() {
    let mut arrivals = arrivals_with(100, 115, |_| 1);
    assert_eq!(expected(&mut arrivals, POOL, 115), 10 * one());
}

/// Lasting tasks count while they run; filling tasks take only what is left over.
#[test]
fn expected_other_tasks() {
    let mut arrivals = Arrivals::new(seconds(0));
    let best_effort = Step { best_effort: true, estimate: Duration::from_secs(1), ..short_step(5) };
    arrivals.record(
        &PoolId::from(POOL),
        &job(vec![long_running_step(5, 1), best_effort]),
        seconds(30),
    );
    assert_eq!(expected(&mut arrivals, POOL, 31), 0);
}
