//! Waiting work of one team in one pool, ordered by class and latest start.
//!
//! Work in a queue has not been sent to an upstream, so a refusal at this stage can state with
//! certainty that the work did not run.

use crate::ids::Time;
use crate::record::Class;
use std::collections::BTreeMap;
use std::time::Duration;

pub const CLASS_COUNT: usize = 3;

/// Index of a class in per-class arrays.
pub fn class_index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Planned => 1,
        Class::Overnight => 2,
    }
}

/// Sort key of waiting work: latest start, then arrival number.
pub type QueuePosition = (Time, u64);

/// One piece of waiting work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Key of the work in the scheduler's table.
    pub key: u32,
    /// Expected slot-seconds.
    pub cost: f64,
}

/// Queue of one team in one pool, with one ordered queue per class.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    classes: [ClassQueue; CLASS_COUNT],
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    waiting: BTreeMap<QueuePosition, Waiting>,
    cost: f64,
}

impl TeamQueue {
    /// Number of pieces of work waiting in all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Whether no work is waiting.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|queue| queue.waiting.is_empty())
    }

    /// Whether no work of a class is waiting.
    pub fn is_class_empty(&self, class: usize) -> bool {
        self.classes[class].waiting.is_empty()
    }

    /// Adds work. The caller must have checked the queue bound.
    pub fn push(&mut self, class: usize, position: QueuePosition, waiting: Waiting) {
        let queue = &mut self.classes[class];
        queue.cost += waiting.cost;
        queue.waiting.insert(position, waiting);
    }

    /// Returns the work of a class with the earliest latest start.
    pub fn head(&self, class: usize) -> Option<(QueuePosition, Waiting)> {
        self.classes[class]
            .waiting
            .first_key_value()
            .map(|(position, waiting)| (*position, *waiting))
    }

    /// Removes work from any position.
    pub fn remove(&mut self, class: usize, position: QueuePosition) -> Option<Waiting> {
        let queue = &mut self.classes[class];
        let waiting = queue.waiting.remove(&position)?;
        queue.cost -= waiting.cost;
        if queue.waiting.is_empty() {
            // Discards the rounding error that has accumulated in the sum.
            queue.cost = 0.0;
        }
        Some(waiting)
    }

    /// Returns the expected slot-seconds of the team's work that starts before work of `class` at
    /// the given position.
    ///
    /// `order` lists the classes by precedence. The result is exact only above `threshold`: if all
    /// work of this class and the earlier ones stays within it, their total is returned early.
    pub fn cost_ahead(
        &self,
        order: &[usize],
        class: usize,
        position: QueuePosition,
        threshold: f64,
    ) -> f64 {
        let earlier: f64 = order
            .iter()
            .take_while(|earlier| **earlier != class)
            .map(|earlier| self.classes[*earlier].cost)
            .sum();
        let queue = &self.classes[class];
        if earlier + queue.cost <= threshold {
            return earlier + queue.cost;
        }
        let ahead: f64 = queue.waiting.range(..position).map(|(_, waiting)| waiting.cost).sum();
        earlier + ahead
    }
}

/// Returns the latest start of work: its deadline minus the shortest plausible run time, and for
/// urgent work at most the profile's start limit after `now`.
pub fn latest_start(
    now: Time,
    class: Class,
    deadline: Time,
    shortest_run: Duration,
    urgent_start: Duration,
) -> Time {
    let by_deadline = deadline.saturating_sub(shortest_run);
    match class {
        Class::Urgent => by_deadline.min(now + urgent_start),
        Class::Planned | Class::Overnight => by_deadline,
    }
}
