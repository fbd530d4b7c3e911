//! Runs the policy simulation. Guards against runs that differ for the same seed, starts in a zone
//! that is out, work that runs twice, and rollouts that exceed their time bound.

use jacinthhook::driver::{self, Deployment, Drains, Load, Scenario};
use std::time::Duration;

fn scenario(secs: u64) -> Scenario {
    Scenario {
        load: Load::Steady,
        length: Duration::from_secs(secs),
        zone_out: None,
        rollout: false,
        faults: false,
        drains: Drains::Planned,
        policy: None,
        moves_enabled: true,
    }
}

/// Returns a small deployment, because a debug build is slow.
fn small() -> Deployment {
    Deployment {
        runners: vec![4, 4],
        means: vec![10.0, 10.0],
        guarded_workers: 4,
        spare_instances: 2,
        entries_per_zone: 1,
        ..driver::derwent()
    }
}

#[test]
fn run_same_seed() {
    let (first, second) =
        (driver::run(&small(), &scenario(8), 3), driver::run(&small(), &scenario(8), 3));
    assert!(first.completed > 100);
    assert_eq!(first.completed, second.completed);
    assert_eq!(first.urgent_waits, second.urgent_waits);
    assert_ne!(first.offered, driver::run(&small(), &scenario(8), 4).offered);
}

#[test]
fn run_zone_out() {
    let zone_out = Some((Duration::from_secs(4), Duration::from_secs(12)));
    let out = driver::run(&small(), &Scenario { zone_out, ..scenario(16) }, 1);
    assert_eq!((out.starts_in_zone_out, out.duplicated, out.admitted_lost), (0, 0, 0));
}

#[test]
fn run_rollout() {
    // Every instance must be maintained within 1.25 times the time that the budget needs.
    let out = driver::run(&small(), &Scenario { rollout: true, ..scenario(160) }, 1);
    assert_eq!(out.rollouts.len(), 4);
    for (took, bound) in out.rollouts {
        assert!(took <= 1.25 * bound, "took {took} s, bound {bound} s");
    }
}

#[test]
fn burst_factor_mean() {
    // The load of a queue must average to its mean over a cycle.
    let steps = 6_000;
    let sum: f64 =
        (0..steps).map(|t| driver::burst_factor(Duration::from_millis(t * 10), 2, 5)).sum();
    assert!((sum / steps as f64 - 1.0).abs() < 0.01);
}
