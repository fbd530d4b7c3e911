//! Tests of the size of the buffer. Guard against a buffer that does not meet its requirements, and
//! against one that is larger than necessary.

use jacinthhook::buffer::{BindingConstraint, Demand, Requirements, Sample, smallest_buffer};
use std::time::Duration;

fn requirements() -> Requirements {
    Requirements {
        zones: 3,
        instance_slots: 8,
        lend_delay: Duration::from_secs(2),
        max_urgent_wait: Duration::from_millis(1_400),
        urgent_percent: 100,
        max_other_wait: Duration::from_millis(1_400),
        max_percent: 1_000,
    }
}

/// Returns the demand of `pools` pools whose loads rise from 20 to `peak` slots for 10 s each. The
/// bursts follow one after the other, 12 s apart.
fn alternating_bursts(pools: usize, peak: f64) -> Demand {
    let mut demand = Demand::new();
    for t in 0..600 {
        for pool in 0..pools {
            let bursts = (t / 12) % pools == pool && t % 12 < 10;
            let offered = if bursts { peak } else { 20.0 };
            let sample = Sample { offered, used: offered as u32, waiting: 0.0 };
            demand.observe(&format!("p{pool}").into(), sample);
        }
    }
    demand
}

#[test]
fn smallest_buffer_no_record() {
    assert_eq!(smallest_buffer(&Demand::new(), &requirements()), None);
}

#[test]
fn smallest_buffer_steady_load() {
    // Without bursts, the buffer is needed only for the loss of a zone: half of the remaining
    // slots.
    let buffer = smallest_buffer(&alternating_bursts(4, 20.0), &requirements()).unwrap();
    assert_eq!(buffer.binding, BindingConstraint::ZoneLoss);
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    // A load of 80 slots requires 120; rounding up to whole instances in 4 pools adds at most 16.
    assert!((120..=136).contains(&held), "{held} slots held");
}

#[test]
fn smallest_buffer_alternating_bursts() {
    // Pools that burst one after the other share one buffer: fewer slots than the sum of the peaks,
    // but at least the peak of the summed load.
    let one_zone = Requirements { zones: 1, ..requirements() };
    let buffer = smallest_buffer(&alternating_bursts(5, 100.0), &one_zone).unwrap();
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    assert!(held < 5 * 104 * 3 / 4, "{held} slots held");
    assert!(f64::from(held) >= 180.0, "{held} slots are not enough for the summed load");
}

#[test]
fn smallest_buffer_bursts_and_zone_loss() {
    // For the same bursts with one of three zones lost, at most half as many slots again are
    // needed.
    let buffer = smallest_buffer(&alternating_bursts(5, 100.0), &requirements()).unwrap();
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    assert_eq!(buffer.binding, BindingConstraint::ZoneLoss);
    assert!(held < 5 * 104 * 3 / 4 * 3 / 2, "{held} slots held");
    assert!(
        f64::from(held) * 2.0 / 3.0 >= 180.0,
        "{held} slots are not enough for the summed load"
    );
}

#[test]
fn smallest_buffer_half_of_load_urgent() {
    // Work that may wait must not require additional slots for every burst.
    let demand = alternating_bursts(5, 100.0);
    let all = smallest_buffer(&demand, &requirements()).unwrap();
    let part = Requirements {
        urgent_percent: 50,
        max_other_wait: Duration::from_secs(10),
        ..requirements()
    };
    let half = smallest_buffer(&demand, &part).unwrap();
    assert!(half.cost < all.cost, "{} slots with half urgent, {} with all", half.cost, all.cost);
}

#[test]
fn smallest_buffer_up_to_limit() {
    let limited = Requirements { max_percent: 10, ..requirements() };
    let buffer = smallest_buffer(&alternating_bursts(4, 20.0), &limited).unwrap();
    assert_eq!(buffer.binding, BindingConstraint::Limit);
}

#[test]
fn need_follows_offered_load() {
    // The need of a full pool must include the load that it refuses, and must fall again after a
    // burst, so that another pool can get the instances.
    let mut demand = Demand::new();
    let pool = "p".into();
    for _ in 0..3 {
        demand.observe(&pool, Sample { offered: 50.0, used: 8, waiting: 20.0 });
    }
    assert_eq!(demand.need(&pool), 51);
    for _ in 0..3 {
        demand.observe(&pool, Sample { offered: 2.0, used: 8, waiting: 0.0 });
    }
    assert_eq!(demand.need(&pool), 2);
}
