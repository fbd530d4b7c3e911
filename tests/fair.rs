//! Tests of the shares of a pool. Guard against starvation, credit accumulated while idle, and
//! charges that ignore the dominant resource.

use jacinthhook::fair::{FairShares, Resources};
use jacinthhook::ids::Time;
use std::time::Duration;

const ORDER: [usize; 3] = [0, 1, 2];
const SLOTS: u32 = 10;

/// Serves `rounds` pieces of work of one slot-second each and returns their number by team.
fn serve(fair: &mut FairShares, weights: &[u32], rounds: usize) -> Vec<usize> {
    let mut served = vec![0; weights.len()];
    for _ in 0..rounds {
        let (team, _) = fair.pick(&ORDER, SLOTS).expect("every team has work");
        fair.start(team, weights[team as usize], 1.0);
        fair.end(team);
        served[team as usize] += 1;
    }
    served
}

#[test]
fn pick_by_weight() {
    let weights = [1, 2, 7];
    let mut fair = FairShares::new();
    for (team, weight) in weights.iter().enumerate() {
        fair.set_ready(team as u32, 1, *weight, SLOTS, 0.1);
    }
    assert_eq!(serve(&mut fair, &weights, 1_000), vec![100, 200, 700]);
}

#[test]
fn pick_after_idle_time() {
    // A team that was idle for a long time must not take over the pool when it has work again.
    let weights = [1, 1];
    let mut fair = FairShares::new();
    fair.set_ready(0, 1, 1, SLOTS, 0.1);
    serve(&mut fair, &weights, 10_000);
    fair.set_ready(1, 1, 1, SLOTS, 0.1);
    let served = serve(&mut fair, &weights, 100);
    assert!((50..=54).contains(&served[1]), "the returning team got {} of 100", served[1]);
}

#[test]
fn pick_after_one_long_job() {
    // A team with one long job and no waiting work must not accumulate credit either.
    let weights = [1, 1];
    let mut fair = FairShares::new();
    fair.set_ready(0, 1, 1, SLOTS, 0.1);
    fair.start(1, 1, 0.1);
    serve(&mut fair, &weights, 10_000);
    fair.set_ready(1, 1, 1, SLOTS, 0.1);
    let served = serve(&mut fair, &weights, 100);
    assert!(served[1] <= 54, "the returning team got {} of 100", served[1]);
}

#[test]
fn pick_class_within_lead() {
    // Urgent work goes first among teams close to their share, but not for a team far ahead of it.
    let mut fair = FairShares::new();
    fair.set_ready(0, 0, 1, SLOTS, 0.1);
    fair.set_ready(1, 1, 1, SLOTS, 0.1);
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((0, 0)));
    fair.start(0, 1, 50.0);
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((1, 1)));
}

#[test]
fn charge_all_overtime_between_picks() {
    // Work that runs past its upfront charge must be charged to its team while it runs.
    let secs = Duration::from_secs;
    let mut fair = FairShares::new();
    fair.set_ready(0, 1, 1, SLOTS, 0.1);
    fair.set_ready(1, 1, 1, SLOTS, 0.1);
    fair.start(0, 1, 0.1);
    fair.start(1, 1, 0.2);
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((0, 1)));
    fair.add_overtime(secs(1), 0, 1.0, Time::ZERO);
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((1, 1)));
    fair.charge(1, 1, 4.0);
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((0, 1)));
    fair.charge_all_overtime(secs(5));
    assert_eq!(fair.pick(&ORDER, SLOTS), Some((1, 1)));
}

#[test]
fn dominant_slots_largest_fraction() {
    let total = Resources { slots: 100, processors: 1_000, memory: 1_000, accelerators: 10 };
    let need = Resources { slots: 1, processors: 10, memory: 50, accelerators: 2 };
    assert_eq!(need.dominant_slots(&total), 20.0);
    // A resource whose total is unknown cannot be dominant.
    let unknown = Resources { slots: 100, ..Resources::default() };
    assert_eq!(need.dominant_slots(&unknown), 1.0);
}
