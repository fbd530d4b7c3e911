//! Demand that is about to come, from the work that arrived lately.
//!
//! A machine takes seconds to change its pool, so a pool that follows only the tasks it already has is
//! short for as long as its demand rises. Work that arrives at a steady rate keeps as many processors
//! busy as processor-seconds arrive in a second (Little's law); the rate is carried forward by its trend
//! over the time that a move takes.

use crate::batch::job::{JobSpec, Step};
use crate::ids::{PoolId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Length of each of the two spans whose rates are compared; some ten jobs of a busy queue.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time from a decision to the first start on a moved machine: a move of 1.5 s, the pass before it
/// and the look after it.
const FORECAST_HORIZON: Duration = Duration::from_millis(2_000);

/// Most that a rate is expected to grow within `LEAD`: the first seconds of a demand look like an ever
/// steeper rise.
const MAX_GROWTH_FACTOR: f64 = 2.0;

/// Work that arrived within the last two spans.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// Since when arrivals are counted.
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
    /// Nothing has arrived yet.
    pub fn new(now: Time) -> Arrivals {
        Arrivals { counting_since: now, recent: VecDeque::new() }
    }

    /// Takes note of a job that was accepted for a pool.
    pub fn record(&mut self, pool: &PoolId, spec: &JobSpec, now: Time) {
        self.expire(now);
        let processor_time = processor_time(spec);
        if processor_time > 0.0 {
            self.recent.push_back(Arrival { at: now, pool: pool.clone(), processor_time });
        }
    }

    /// Thousandths of a processor that the jobs of a pool keep busy when a machine that is ordered now
    /// takes its first task.
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
        // A fresh owner has not seen the earlier span.
        if now < self.counting_since + 2 * RATE_WINDOW {
            return later as u64;
        }
        // The later rate is that of the middle of its span.
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

/// Processor time of a job by its declared run times. Tasks that last or fill take no part: the first
/// count while they run, the others take only what is left.
fn processor_time(spec: &JobSpec) -> f64 {
    let counted = spec.steps.iter().filter(|s| !s.long_running && !s.best_effort);
    let step =
        |s: &Step| f64::from(s.count) * s.resources.processors as f64 * s.estimate.as_secs_f64();
    counted.map(step).sum()
}
