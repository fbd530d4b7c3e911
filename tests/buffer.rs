//! Size of the buffer. Guards against a buffer that does not carry what it has to, and against one
//! that is larger than needed.

use jacinthhook::buffer::{BindingConstraint, Demand, Requirements, Sample, smallest_buffer};
use std::time::Duration;

fn terms() -> Requirements {
    Requirements {
        zones: 3,
        instance_slots: 8,
        lend_delay: Duration::from_secs(2),
        wait: Duration::from_millis(1_400),
        urgent_percent: 100,
        other_wait: Duration::from_millis(1_400),
        max_percent: 1_000,
    }
}

/// `pools` pools whose loads rise from 20 to `peak` slots in turn, for 10 s of each minute.
fn in_turn(pools: usize, peak: f64) -> Demand {
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
fn least_no_record() {
    assert_eq!(smallest_buffer(&Demand::new(), &terms()), None);
}

#[test]
fn least_steady_load() {
    // Without bursts only the loss of a zone needs a buffer: half of what is left.
    let buffer = smallest_buffer(&in_turn(4, 20.0), &terms()).unwrap();
    assert_eq!(buffer.binding, BindingConstraint::ZoneLoss);
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    // 80 slots of load need 120; whole instances in each of 4 pools add at most 16.
    assert!((120..=136).contains(&held), "{held} slots held");
}

#[test]
fn least_bursts_in_turn() {
    // Bursts in turn share one buffer: less than the peak of each pool, at least the peak sum.
    let one_zone = Requirements { zones: 1, ..terms() };
    let buffer = smallest_buffer(&in_turn(5, 100.0), &one_zone).unwrap();
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    assert!(held < 5 * 104 * 3 / 4, "{held} slots held");
    assert!(f64::from(held) >= 180.0, "{held} slots do not carry the summed load");
}

#[test]
fn least_bursts_without_a_zone() {
    // The same bursts with one of three zones gone: half as much again, no more.
    let buffer = smallest_buffer(&in_turn(5, 100.0), &terms()).unwrap();
    let held: u32 = buffer.own.values().sum::<u32>() + buffer.shared;
    assert_eq!(buffer.binding, BindingConstraint::ZoneLoss);
    assert!(held < 5 * 104 * 3 / 4 * 3 / 2, "{held} slots held");
    assert!(f64::from(held) * 2.0 / 3.0 >= 180.0, "{held} slots do not carry the summed load");
}

#[test]
fn least_urgent_part() {
    // Work that may wait must not be given slots of its own for every burst.
    let demand = in_turn(5, 100.0);
    let all = smallest_buffer(&demand, &terms()).unwrap();
    let part = Requirements { urgent_percent: 50, other_wait: Duration::from_secs(10), ..terms() };
    let half = smallest_buffer(&demand, &part).unwrap();
    assert!(half.cost < all.cost, "{} slots with half urgent, {} with all", half.cost, all.cost);
}

#[test]
fn least_up_to_limit() {
    let limited = Requirements { max_percent: 10, ..terms() };
    let buffer = smallest_buffer(&in_turn(4, 20.0), &limited).unwrap();
    assert_eq!(buffer.binding, BindingConstraint::Limit);
}

#[test]
fn need_follows_offered_load() {
    // A pool that is full must show the load that it refuses, and a burst that ended must not hold
    // instances that another pool needs.
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
