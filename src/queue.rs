//! Waiting work of one pool: one bounded queue a team, ordered by class and latest start.
//!
//! A refusal here is final and true: the work was never handed out.

use crate::ids::Time;
use crate::record::Class;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of classes.
pub const CLASS_COUNT: usize = 3;

/// Index of a class in per-class arrays.
pub fn class_index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Planned => 1,
        Class::Overnight => 2,
    }
}

/// Order of waiting work: latest start, then arrival.
pub type QueuePosition = (Time, u64);

/// One piece of waiting work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Key of the work in the caller's table.
    pub key: u32,
    /// Expected slot-seconds.
    pub cost: f64,
}

/// Waiting work of one team in one pool.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    lanes: [Lane; CLASS_COUNT],
}

#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: BTreeMap<QueuePosition, Waiting>,
    cost: f64,
}

impl TeamQueue {
    /// Work waiting in all classes.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.waiting.is_empty())
    }

    /// Whether nothing waits in one class.
    pub fn is_class_empty(&self, class: usize) -> bool {
        self.lanes[class].waiting.is_empty()
    }

    /// Adds work. The caller has checked the bound.
    pub fn push(&mut self, class: usize, turn: QueuePosition, waiting: Waiting) {
        let lane = &mut self.lanes[class];
        lane.cost += waiting.cost;
        lane.waiting.insert(turn, waiting);
    }

    /// The work of a class that has to start first.
    pub fn head(&self, class: usize) -> Option<(QueuePosition, Waiting)> {
        self.lanes[class].waiting.first_key_value().map(|(turn, waiting)| (*turn, *waiting))
    }

    /// Takes work out, wherever it stands.
    pub fn remove(&mut self, class: usize, turn: QueuePosition) -> Option<Waiting> {
        let lane = &mut self.lanes[class];
        let waiting = lane.waiting.remove(&turn)?;
        lane.cost -= waiting.cost;
        if lane.waiting.is_empty() {
            // Rounding errors must not outlive the work they come from.
            lane.cost = 0.0;
        }
        Some(waiting)
    }

    /// Expected slot-seconds of the team that go before work of `class` with the given turn.
    ///
    /// `enough` ends the sum early: the exact value does not matter below it.
    pub fn cost_ahead(
        &self,
        order: &[usize],
        class: usize,
        turn: QueuePosition,
        enough: f64,
    ) -> f64 {
        let earlier: f64 = order
            .iter()
            .take_while(|earlier| **earlier != class)
            .map(|earlier| self.lanes[*earlier].cost)
            .sum();
        let lane = &self.lanes[class];
        if earlier + lane.cost <= enough {
            return earlier + lane.cost;
        }
        let ahead: f64 = lane.waiting.range(..turn).map(|(_, waiting)| waiting.cost).sum();
        earlier + ahead
    }
}

/// Latest start of work: its deadline less the shortest plausible run, and for urgent work the
/// profile's start time.
pub fn latest_start(
    now: Time,
    class: Class,
    deadline: Time,
    short_run: Duration,
    urgent_start: Duration,
) -> Time {
    let by_deadline = deadline.saturating_sub(short_run);
    match class {
        Class::Urgent => by_deadline.min(now + urgent_start),
        Class::Planned | Class::Overnight => by_deadline,
    }
}
