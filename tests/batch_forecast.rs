//! Forecast of a pool's demand, without I/O.

mod batch;

use batch::{long_running_step, short_step};
use jacinthhook::batch::forecast::Arrivals;
use jacinthhook::batch::job::{JobSpec, Step};
use jacinthhook::ids::{PoolId, Time};
use std::time::Duration;

const POOL: &str = "pool";

fn at_tenth(tenth: u64) -> Time {
    Duration::from_millis(100 * tenth)
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec { steps, ..JobSpec::default() }
}

/// Arrivals of one job every tenth of a second, with `count(t)` tasks of one second each at tenth
/// `t`.
fn arrivals_with(from: u64, to: u64, count: impl Fn(u64) -> u32) -> Arrivals {
    let mut arrivals = Arrivals::new(at_tenth(from));
    for tenth in from..to {
        let step = Step { estimate: Duration::from_secs(1), ..short_step(count(tenth)) };
        arrivals.record(&PoolId::from(POOL), &job(vec![step]), at_tenth(tenth));
    }
    arrivals
}

/// Expected demand half-way between two arrivals, so that each rate window contains exactly ten.
fn expected(arrivals: &mut Arrivals, pool: &str, tenth: u64) -> u64 {
    arrivals.expected_demand(&PoolId::from(pool), at_tenth(tenth) - Duration::from_millis(50))
}

/// Processors of one task, in thousandths.
fn task_processors() -> u64 {
    short_step(1).resources.processors
}

/// Guards against a pool that requests more machines although its demand does not change.
#[test]
fn expected_demand_steady() {
    let mut arrivals = arrivals_with(0, 40, |_| 1);
    assert_eq!(expected(&mut arrivals, POOL, 40), 10 * task_processors());
    assert_eq!(expected(&mut arrivals, "other", 40), 0);
}

/// Guards against a pool that is short of machines for as long as its demand rises. The forecast
/// must return the demand two tenths of a second ahead.
#[test]
fn expected_demand_rising() {
    let mut arrivals = arrivals_with(0, 40, |tenth| tenth as u32);
    let demand_ahead: u64 = (60..70).sum();
    let forecast = expected(&mut arrivals, POOL, 40) / task_processors();
    // The rate of a window applies to its middle, half a second before its end.
    assert!(
        forecast + 60 >= demand_ahead && forecast <= demand_ahead,
        "{forecast} of {demand_ahead}"
    );
}

/// Guards against keeping machines for demand that is going away.
#[test]
fn expected_demand_falling() {
    let mut arrivals = arrivals_with(0, 40, |tenth| 40 - tenth as u32);
    assert_eq!(expected(&mut arrivals, POOL, 40), 0);
    let mut ended = arrivals_with(0, 40, |_| 1);
    assert_eq!(expected(&mut ended, POOL, 70), 0);
}

/// Guards against a new owner that takes the first second it observes for a steep rise, and moves
/// every available machine.
#[test]
fn expected_demand_new_owner() {
    let mut arrivals = arrivals_with(100, 115, |_| 1);
    assert_eq!(expected(&mut arrivals, POOL, 115), 10 * task_processors());
}

/// Long-running tasks count while they run, and best-effort tasks only use idle capacity.
#[test]
fn expected_demand_excluded_tasks() {
    let mut arrivals = Arrivals::new(at_tenth(0));
    let best_effort = Step { best_effort: true, estimate: Duration::from_secs(1), ..short_step(5) };
    arrivals.record(
        &PoolId::from(POOL),
        &job(vec![long_running_step(5, 1), best_effort]),
        at_tenth(30),
    );
    assert_eq!(expected(&mut arrivals, POOL, 31), 0);
}
