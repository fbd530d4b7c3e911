//! Machines that recently received orders, so that two owners do not give orders for the same
//! machine within a short time.
//!
//! The names of machines that are about to receive an order are stored before the order is sent.
//! The store rejects writes of an owner once a later owner has taken over. The record that a new
//! owner reads therefore contains every machine that previous owners ordered or may still order.
//! The new owner does not touch those machines until the minimum gap between two holders has
//! passed, and may order all others immediately.

use crate::batch::maintenance::MachineId;
use crate::ids::Time;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time from an announcement until it is stored. While the store is slow, an append takes up
/// to 0.6 s, and the announcement may have to wait for the one before. What was planned holds that
/// long: machines to be moved get no starts, and maintenance is confirmed again.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Longest time from an announcement to its last order: `ANNOUNCE_TIMEOUT`, and time for some hundred
/// orders.
pub const ORDER_WINDOW: Duration = Duration::from_secs(2);

/// Machines that received orders from this owner or from previous ones.
#[derive(Clone, Debug, Default)]
pub struct OrderedMachines {
    /// When this owner last announced an order for a machine.
    own: IndexMap<MachineId, Time>,
    /// When a machine announced by a previous owner may receive orders again.
    previous: IndexMap<MachineId, Time>,
    /// When all orders of previous owners have taken effect, for any machine.
    previous_settled_at: Time,
    /// Minimum time from an announcement to an order by another holder.
    handover_gap: Duration,
    /// Number of announcements.
    announcements: u64,
    /// Number of announcements that are stored.
    stored_announcements: u64,
}

impl OrderedMachines {
    /// Creates an empty set. Orders of two holders of one machine must be `holder_gap` apart.
    pub fn new(holder_gap: Duration, now: Time) -> OrderedMachines {
        OrderedMachines {
            handover_gap: holder_gap + ORDER_WINDOW,
            previous_settled_at: now + holder_gap,
            ..OrderedMachines::default()
        }
    }

    /// Restores the stored machines, each with the minimum time since its announcement.
    pub fn restore(&mut self, machines: Vec<(MachineId, Duration)>, now: Time) {
        let handover_gap = self.handover_gap;
        let free_at = |age: Duration| now + handover_gap.saturating_sub(age);
        self.previous = machines.into_iter().map(|(id, age)| (id, free_at(age))).collect();
    }

    /// Drops machines whose gap has passed.
    pub fn expire(&mut self, now: Time) {
        let handover_gap = self.handover_gap;
        self.own.retain(|_, at| now < *at + handover_gap);
        self.previous.retain(|_, free_at| now < *free_at);
    }

    /// Whether all orders of previous owners have taken effect.
    pub fn previous_orders_settled(&self, now: Time) -> bool {
        now >= self.previous_settled_at
    }

    /// Whether a previous owner may have recently ordered the machine.
    pub fn was_ordered_by_previous(&self, machine: &str) -> bool {
        self.previous.contains_key(machine)
    }

    /// Announces orders for machines. Returns the number to pass to `is_stored`.
    pub fn announce<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a MachineId>,
        now: Time,
    ) -> u64 {
        self.own.extend(machines.map(|m| (m.clone(), now)));
        self.announcements += 1;
        self.announcements
    }

    /// Whether an announcement is stored, so that its orders may be sent.
    pub fn is_stored(&self, announcement: u64) -> bool {
        self.stored_announcements >= announcement
    }

    /// Returns the machines to store, each with the time since its announcement, and the latest
    /// announcement that they cover; `None` if everything is stored.
    pub(super) fn unstored(&self, now: Time) -> Option<(Vec<(MachineId, Duration)>, u64)> {
        let own = self.own.iter().map(|(id, at)| (id.clone(), now.saturating_sub(*at)));
        let left = |free_at: Time| free_at.saturating_sub(now);
        let previous = self
            .previous
            .iter()
            .map(|(id, free_at)| (id.clone(), self.handover_gap.saturating_sub(left(*free_at))));
        (self.announcements > self.stored_announcements)
            .then(|| (previous.chain(own).collect(), self.announcements))
    }

    /// Marks all announcements up to this one as stored.
    pub(super) fn mark_stored(&mut self, announcement: u64) {
        self.stored_announcements = self.stored_announcements.max(announcement);
    }
}
