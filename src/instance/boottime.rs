//! Time since the machine started, counted also while it is suspended.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the machine started. Ages that bound what may still be answered use it, since a
/// monotonic clock stands still while the machine is suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
