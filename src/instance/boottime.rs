//! Time since boot, including the time for which the machine was suspended.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Returns the time since boot. Used for ages that limit how long data may be served, because a
/// monotonic clock stops while the machine is suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
