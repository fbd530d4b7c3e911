//! Ages of moments that outlast the process that saw them.
//!
//! Each process counts time from its own start, so a moment that later owners need is stored as a
//! time of day. The machines' times of day differ a little and may jump, so they only serve as an
//! upper bound for waits that would otherwise begin anew with each owner.

use crate::ids::Time;
use std::time::Duration;

/// Largest difference of two machines' times of day: the platform allows schedules 5 s more on days
/// on which clocks jump, and either of the two may be off by that.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(10);

/// The owner's clock and the time of day, read together.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    /// Latest reading: the owner's clock, and the time since the Unix epoch.
    reading: Option<(Time, Duration)>,
}

impl WallClock {
    /// Records a reading. A time of day before 1970 counts as unknown.
    pub fn set(&mut self, now: Time, unix_time: Duration) {
        self.reading = (!unix_time.is_zero()).then_some((now, unix_time));
    }

    /// Returns the time of day at `at`, since the Unix epoch; `None` if it is unknown.
    pub fn unix_time(&self, at: Time) -> Option<Duration> {
        let (now, unix_time) = self.reading?;
        Some((unix_time + at).saturating_sub(now))
    }

    /// Returns the time that has passed for certain since a moment.
    pub fn least_age(&self, moment: &Moment, now: Time) -> Duration {
        let by_time_of_day = match (self.unix_time(now), moment.unix_time) {
            (Some(now), Some(then)) => now.saturating_sub(then + MAX_CLOCK_DIFFERENCE),
            _ => Duration::ZERO,
        };
        by_time_of_day.max(now.saturating_sub(moment.seen_at))
    }
}

/// A moment whose age later owners can tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Moment {
    /// By the clock of the current owner; when it learned of the moment if that was earlier.
    pub seen_at: Time,
    /// Time since the Unix epoch; `None` until it is known.
    pub unix_time: Option<Duration>,
}

impl Moment {
    /// Creates a moment of this term.
    pub fn new(now: Time) -> Moment {
        Moment { seen_at: now, unix_time: None }
    }

    /// Restores a moment of an earlier term from what is stored of it.
    pub fn restored(unix_time: Option<Duration>, now: Time) -> Moment {
        Moment { seen_at: now, unix_time }
    }

    /// Sets the time of day if it is not known yet. Returns whether it has become known.
    pub fn settle(&mut self, clock: &WallClock) -> bool {
        if self.unix_time.is_some() {
            return false;
        }
        self.unix_time = clock.unix_time(self.seen_at);
        self.unix_time.is_some()
    }
}
