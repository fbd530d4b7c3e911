//! Forecast of a pool's demand from recent arrivals.
//!
//! Moving a machine to another pool takes seconds, so a pool that reacts only to the tasks it
//! already has is short of capacity whenever its demand rises. At a steady arrival rate, the number
//! of busy processors equals the processor-seconds that arrive per second (Little's law). The rate
//! is extrapolated by its trend over the time that a move takes.

use crate::batch::job::{JobSpec, Step};
use crate::ids::{PoolId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Length of each of the two windows whose arrival rates are compared. Covers about ten jobs of a
/// busy queue.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time from a decision to the first start on a moved machine: a move of 1.5 s, the pass before it
/// and the poll after it.
pub(super) const FORECAST_HORIZON: Duration = Duration::from_millis(2_000);

/// Upper bound for the growth of the rate within `FORECAST_HORIZON`. The first seconds of new
/// demand look like an ever steeper rise.
const MAX_GROWTH_FACTOR: f64 = 2.0;

/// Arrivals within the last two rate windows.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// Start of the observation.
    counting_since: Time,
    /// Oldest first.
    recent: VecDeque<Arrival>,
}

#[derive(Clone, Debug)]
struct Arrival {
    at: Time,
    pool: PoolId,
    /// Thousandths of a processor, times seconds.
    processor_time: f64,
}

impl Arrivals {
    /// Starts counting, with no arrivals yet.
    pub fn new(now: Time) -> Arrivals {
        Arrivals { counting_since: now, recent: VecDeque::new() }
    }

    /// Records a job that was accepted for a pool.
    pub fn record(&mut self, pool: &PoolId, spec: &JobSpec, now: Time) {
        self.expire(now);
        let processor_time = processor_time(spec);
        if processor_time > 0.0 {
            self.recent.push_back(Arrival { at: now, pool: pool.clone(), processor_time });
        }
    }

    /// Returns the expected demand of a pool at the time when a machine ordered now could take its
    /// first task, in thousandths of a processor.
    pub fn expected_demand(&mut self, pool: &PoolId, now: Time) -> u64 {
        self.expire(now);
        let (mut earlier, mut later) = (0.0, 0.0);
        for arrival in self.recent.iter().filter(|a| a.pool == *pool) {
            if now < arrival.at + RATE_WINDOW {
                later += arrival.processor_time
            } else {
                earlier += arrival.processor_time
            }
        }
        let (earlier, later) =
            (earlier / RATE_WINDOW.as_secs_f64(), later / RATE_WINDOW.as_secs_f64());
        // A new owner has not observed the earlier window yet.
        if now < self.counting_since + 2 * RATE_WINDOW {
            return later as u64;
        }
        // The later rate is that of the middle of its window.
        let ahead = FORECAST_HORIZON + RATE_WINDOW / 2;
        let trend = (later - earlier) / RATE_WINDOW.as_secs_f64();
        (later + trend * ahead.as_secs_f64()).clamp(0.0, MAX_GROWTH_FACTOR * later) as u64
    }

    fn expire(&mut self, now: Time) {
        while self.recent.front().is_some_and(|oldest| now >= oldest.at + 2 * RATE_WINDOW) {
            self.recent.pop_front();
        }
    }
}

/// Processor time of a job by its declared run times. Excludes long-running tasks, which count
/// while they run, and best-effort tasks, which only use idle capacity.
fn processor_time(spec: &JobSpec) -> f64 {
    let steps = spec.steps.iter().filter(|s| !s.long_running && !s.best_effort);
    let step_time =
        |s: &Step| f64::from(s.count) * s.resources.processors as f64 * s.estimate.as_secs_f64();
    steps.map(step_time).sum()
}
