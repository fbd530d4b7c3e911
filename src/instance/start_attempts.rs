//! When a call to a worker that has no answer yet is sent again beside the earlier attempts.
//!
//! The load: for seconds a share of all calls gets no answer, a start may be carried out seconds later, and workers
//! answer the others within a few ms. Waiting for the timeout costs a task 0.6 s, and a job of sixteen tasks has one
//! such start in more than half of the cases. A call that is overdue by what answers take lately goes out again, within
//! a budget: when all answers are slow, or many workers are silent, repeats would only add to the load.

use crate::config::SectionReader;
use crate::ids::Time;
use std::time::Duration;

/// Answer times that are kept; at some hundred starts a second they span less than a second.
const KEPT_ANSWERS: usize = 64;
/// A call is overdue after this many times what nine of ten answers took.
const OVERDUE_FACTOR: u32 = 4;
/// Early repeats of one call. With a tenth of the answers lost, one start in a thousand needs more.
const MAX_EARLY_REPEATS: u32 = 2;
/// Time over which calls and repeats are counted; the count spans one to two of these.
const WINDOW: Duration = Duration::from_secs(1);
/// Early repeats in two windows that need no share of the calls: a few callers' jobs on an idle fleet, and the first ones
/// that show whether repeats are answered.
const FREE_REPEATS: u32 = 8;
/// Lost answers in two windows, and their share of the calls in percent, from which on answers count as being lost.
/// A single one may be a connection that ended.
const MIN_LOST: u32 = 3;
const MIN_LOST_PERCENT: u32 = 1;

/// Settings of the section `[start_orders]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartSettings {
    /// Whether the part is in use.
    pub enabled: bool,
    /// Shortest time after which a call without an answer is sent again. Workers answer within a few ms, and
    /// objectives of short jobs are about 2 s.
    pub response_time: Duration,
    /// Calls that may be sent again early, in percent of all calls of a second. Above the share of answers that are
    /// lost while the links are bad, far below twice the load.
    pub repeat_percent: u32,
    /// Longest wait of a poll while answers are lost. A lost answer hides the ends of a worker's runs this long.
    pub lossy_poll_wait: Duration,
}

impl Default for StartSettings {
    fn default() -> StartSettings {
        StartSettings {
            enabled: true,
            response_time: Duration::from_millis(100),
            repeat_percent: 20,
            lossy_poll_wait: Duration::from_millis(300),
        }
    }
}

impl StartSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
        self.response_time = reader.millis("response_ms", 20..=600, self.response_time);
        self.repeat_percent = reader.number("repeat_percent", 0..=100, Some(self.repeat_percent));
        self.lossy_poll_wait =
            reader.millis("lossy_poll_wait_ms", 100..=1_000, self.lossy_poll_wait);
    }
}

/// Calls of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    calls: u32,
    repeats: u32,
    /// Calls whose repeat was answered before them.
    lost: u32,
}

/// Calls of one kind to all workers, and how long their answers took lately.
#[derive(Debug)]
pub struct CallRepeats {
    settings: StartSettings,
    /// A ring of the latest answer times; only `answer_count` entries, at most all, are in use.
    answer_times: [Duration; KEPT_ANSWERS],
    answer_count: usize,
    current: Window,
    previous: Window,
    /// Number of the current window since the process started.
    window_number: u128,
}

impl CallRepeats {
    /// Creates the state of a term that has sent no calls.
    pub fn new(settings: StartSettings) -> CallRepeats {
        CallRepeats {
            settings,
            answer_times: [Duration::ZERO; KEPT_ANSWERS],
            answer_count: 0,
            current: Window::default(),
            previous: Window::default(),
            window_number: 0,
        }
    }

    /// Counts a call that is sent for the first time.
    pub fn record_call(&mut self, now: Time) {
        self.advance(now);
        self.current.calls += 1;
    }

    /// Records how long an answer took, without the time for which the worker was asked to wait.
    pub fn record_answer(&mut self, took: Duration) {
        self.answer_times[self.answer_count % KEPT_ANSWERS] = took;
        self.answer_count += 1;
    }

    /// Records that a call was answered only when it was sent again.
    pub fn record_lost(&mut self, now: Time) {
        self.advance(now);
        self.current.lost += 1;
    }

    /// Returns the time from the latest attempt at a call after which it is overdue, after `earlier` early repeats;
    /// `None` if it is left to its timeout.
    pub fn overdue_after(&self, earlier: u32, timeout: Duration) -> Option<Duration> {
        if !self.settings.enabled || earlier >= MAX_EARLY_REPEATS {
            return None;
        }
        let least = self.settings.response_time.max(self.usual_answer_time() * OVERDUE_FACTOR);
        Some(least * 2u32.pow(earlier)).filter(|after| *after < timeout)
    }

    /// Takes an early repeat from the budget; returns whether it may be sent.
    pub fn try_repeat(&mut self, now: Time) -> bool {
        self.advance(now);
        let sum = |count: fn(&Window) -> u32| count(&self.current) + count(&self.previous);
        let (lost, repeats) = (sum(|w| w.lost), sum(|w| w.repeats));
        // Repeats that nobody answers, for instance in a zone that is cut off, only take connections.
        let are_answered = lost >= MIN_LOST && lost * 2 >= repeats;
        let percent = if are_answered { self.settings.repeat_percent } else { 0 };
        let share = u64::from(sum(|w| w.calls)) * u64::from(percent) / 100;
        let is_within = u64::from(repeats) < u64::from(FREE_REPEATS) + share;
        self.current.repeats += u32::from(is_within);
        is_within
    }

    /// Whether answers are being lost, by repeats that were answered. Those of silent workers do not count.
    pub fn loses_answers(&mut self, now: Time) -> bool {
        self.advance(now);
        let lost = self.current.lost + self.previous.lost;
        let calls = self.current.calls + self.previous.calls;
        self.settings.enabled && lost >= MIN_LOST && lost * 100 >= calls * MIN_LOST_PERCENT
    }

    /// Returns the time within which nine of ten of the latest answers came; zero before the first.
    pub fn usual_answer_time(&self) -> Duration {
        let count = self.answer_count.min(KEPT_ANSWERS);
        let mut times = self.answer_times;
        match count {
            0 => Duration::ZERO,
            _ => *times[..count].select_nth_unstable(count * 9 / 10).1,
        }
    }

    fn advance(&mut self, now: Time) {
        let number = now.as_millis() / WINDOW.as_millis();
        if number == self.window_number {
            return;
        }
        self.previous = match number == self.window_number + 1 {
            true => self.current,
            false => Window::default(),
        };
        (self.current, self.window_number) = (Window::default(), number);
    }
}
