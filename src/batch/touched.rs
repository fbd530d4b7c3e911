//! Machines that got orders lately, so that two owners never take turns on one.
//!
//! The names of machines that are about to get an order are stored before the order is sent. An append
//! of an owner fails once a later one has begun, so whatever an earlier owner ordered, or still may, is
//! in the record that its successor reads. The successor leaves those machines alone for the time that
//! two holders must stay apart; all others it orders at once.

use crate::batch::upkeep::MachineId;
use crate::ids::Time;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time from an announcement to its last order: the answer of the store and of some 25 orders
/// one after the other.
pub const ORDERED_WITHIN: Duration = Duration::from_secs(1);

/// Orders about machines, of this owner and of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Touched {
    /// When this owner last announced an order.
    own: IndexMap<MachineId, Time>,
    /// When a machine that an earlier owner announced is free.
    earlier: IndexMap<MachineId, Time>,
    /// When the earlier owners' orders have had their effect, whichever they were.
    apart_at: Time,
    /// Time from an announcement to the time at which another holder may give orders.
    gap: Duration,
    /// Announcements in all.
    announced: u64,
    /// Announcements that are stored.
    stored: u64,
}

impl Touched {
    /// No orders yet. Two holders of a machine stay `apart` after each order.
    pub fn new(apart: Duration, now: Time) -> Touched {
        Touched { gap: apart + ORDERED_WITHIN, apart_at: now + apart, ..Touched::default() }
    }

    /// Takes in the stored names with the least time since their announcement.
    pub fn restore(&mut self, machines: Vec<(MachineId, Duration)>, now: Time) {
        let gap = self.gap;
        let free = |age: Duration| now + gap.saturating_sub(age);
        self.earlier = machines.into_iter().map(|(id, age)| (id, free(age))).collect();
    }

    /// Drops what is old enough.
    pub fn forget(&mut self, now: Time) {
        let gap = self.gap;
        self.own.retain(|_, at| now < *at + gap);
        self.earlier.retain(|_, free| now < *free);
    }

    /// Whether the earlier owner's orders have had their effect.
    pub fn is_apart(&self, now: Time) -> bool {
        now >= self.apart_at
    }

    /// Whether an earlier owner may have ordered a machine a short time ago.
    pub(super) fn is_earlier(&self, machine: &str) -> bool {
        self.earlier.contains_key(machine)
    }

    /// Announces orders. Answers the number that `is_stored` waits for.
    pub fn announce<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a MachineId>,
        now: Time,
    ) -> u64 {
        self.own.extend(machines.map(|m| (m.clone(), now)));
        self.announced += 1;
        self.announced
    }

    /// Whether an announcement is stored, so that its orders may be sent.
    pub fn is_stored(&self, announced: u64) -> bool {
        self.stored >= announced
    }

    /// Names to store with the time since their announcement, and the announcement that they cover;
    /// `None` when nothing is new.
    pub(super) fn to_store(&self, now: Time) -> Option<(Vec<(MachineId, Duration)>, u64)> {
        let own = self.own.iter().map(|(id, at)| (id.clone(), now.saturating_sub(*at)));
        let left = |free: Time| free.saturating_sub(now);
        let earlier = self
            .earlier
            .iter()
            .map(|(id, free)| (id.clone(), self.gap.saturating_sub(left(*free))));
        (self.announced > self.stored).then(|| (earlier.chain(own).collect(), self.announced))
    }

    /// The names that an announcement needs are stored.
    pub(super) fn stored(&mut self, announced: u64) {
        self.stored = self.stored.max(announced);
    }
}
