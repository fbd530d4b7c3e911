//! Machines that got orders lately, so that two owners never take turns on one.
//!
//! The names of machines that are about to get an order are stored before the order is sent. An append
//! of an owner fails once a later one has begun, so whatever an earlier owner ordered, or still may, is
//! in the record that its successor reads. The successor leaves those machines alone for the time that
//! two holders must stay apart; all others it orders at once.

use crate::batch::maintenance::MachineId;
use crate::ids::Time;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time from an announcement to its last order: the answer of the store and of some 25 orders
/// one after the other.
pub const ORDER_WINDOW: Duration = Duration::from_secs(1);

/// Orders about machines, of this owner and of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct OrderedMachines {
    /// When this owner last announced an order.
    own: IndexMap<MachineId, Time>,
    /// When a machine that an earlier owner announced is free.
    previous: IndexMap<MachineId, Time>,
    /// When the earlier owners' orders have had their effect, whichever they were.
    previous_settled_at: Time,
    /// Time from an announcement to the time at which another holder may give orders.
    handover_gap: Duration,
    /// Announcements in all.
    announcements: u64,
    /// Announcements that are stored.
    stored_announcements: u64,
}

impl OrderedMachines {
    /// No orders yet. Two holders of a machine stay `apart` after each order.
    pub fn new(holder_gap: Duration, now: Time) -> OrderedMachines {
        OrderedMachines {
            handover_gap: holder_gap + ORDER_WINDOW,
            previous_settled_at: now + holder_gap,
            ..OrderedMachines::default()
        }
    }

    /// Takes in the stored names with the least time since their announcement.
    pub fn restore(&mut self, machines: Vec<(MachineId, Duration)>, now: Time) {
        let handover_gap = self.handover_gap;
        let free = |age: Duration| now + handover_gap.saturating_sub(age);
        self.previous = machines.into_iter().map(|(id, age)| (id, free(age))).collect();
    }

    /// Drops what is old enough.
    pub fn expire(&mut self, now: Time) {
        let handover_gap = self.handover_gap;
        self.own.retain(|_, at| now < *at + handover_gap);
        self.previous.retain(|_, free| now < *free);
    }

    /// Whether the earlier owner's orders have had their effect.
    pub fn previous_orders_settled(&self, now: Time) -> bool {
        now >= self.previous_settled_at
    }

    /// Whether an earlier owner may have ordered a machine a short time ago.
    pub(super) fn was_ordered_by_previous(&self, machine: &str) -> bool {
        self.previous.contains_key(machine)
    }

    /// Announces orders. Answers the number that `is_stored` waits for.
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

    /// Names to store with the time since their announcement, and the announcement that they cover;
    /// `None` when nothing is new.
    pub(super) fn unstored(&self, now: Time) -> Option<(Vec<(MachineId, Duration)>, u64)> {
        let own = self.own.iter().map(|(id, at)| (id.clone(), now.saturating_sub(*at)));
        let left = |free: Time| free.saturating_sub(now);
        let previous = self
            .previous
            .iter()
            .map(|(id, free)| (id.clone(), self.handover_gap.saturating_sub(left(*free))));
        (self.announcements > self.stored_announcements)
            .then(|| (previous.chain(own).collect(), self.announcements))
    }

    /// The names that an announcement needs are stored.
    pub(super) fn mark_stored(&mut self, announcement: u64) {
        self.stored_announcements = self.stored_announcements.max(announcement);
    }
}
