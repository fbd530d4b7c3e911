//! Tests of the estimated run times and sizes. Guard against reliance on wrong declarations and
//! against unbounded estimates.

use jacinthhook::estimator::Estimator;
use jacinthhook::fair::Resources;
use quickcheck::quickcheck;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn estimate_declared_first() {
    let estimator = Estimator::new();
    let estimate = estimator.estimate((0, 0), MS * 700);
    assert_eq!((estimate.typical, estimate.min_plausible), (MS * 700, Duration::ZERO));
}

#[test]
fn estimate_declarations_too_long() {
    // If all declared run times are too long by the same factor, the factor is learned.
    let mut estimator = Estimator::new();
    for n in 1..200u32 {
        estimator.on_run((0, 0), MS * 1_000 * (n % 5 + 1), MS * 100 * (n % 5 + 1));
    }
    let estimate = estimator.estimate((0, 0), MS * 3_000).typical;
    assert!((MS * 270..MS * 330).contains(&estimate), "{estimate:?}");
}

#[test]
fn estimate_declarations_at_random() {
    // If the declared run times are unrelated to the actual ones, the actual run time is learned.
    let mut estimator = Estimator::new();
    for n in 1..200u32 {
        estimator.on_run((0, 0), MS * 20 * (1 << (n * 7 % 8)), MS * 200);
    }
    let estimate = estimator.estimate((0, 0), MS * 100).typical;
    assert!((MS * 180..MS * 220).contains(&estimate), "{estimate:?}");
}

#[test]
fn size_overstated_memory() {
    let mut estimator = Estimator::new();
    let declared = Resources { slots: 1, processors: 4_000, memory: 8_000, accelerators: 1 };
    let used = Resources { slots: 1, processors: 4_000, memory: 3_000, accelerators: 1 };
    for _ in 0..200 {
        estimator.on_size((0, 0), &declared, &used);
    }
    let size = estimator.size((0, 0), &declared);
    assert!((2_900..3_200).contains(&size.memory), "{size:?}");
    assert_eq!((size.processors, size.slots, size.accelerators), (4_000, 1, 1));
}

quickcheck! {
    fn estimate_within_bounds(runs: Vec<u32>, declared: u32) -> bool {
        let declared = MS * (declared % 100_000 + 1);
        let mut estimator = Estimator::new();
        for run in runs {
            estimator.on_run((0, 0), declared, MS * run);
        }
        let estimate = estimator.estimate((0, 0), declared);
        let tolerance = 1.001;
        estimate.typical <= declared.mul_f64(64.0 * tolerance)
            && estimate.typical >= declared.mul_f64(1.0 / 64.0 / tolerance)
            && estimate.min_plausible <= estimate.typical
    }
}
