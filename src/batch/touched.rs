//! Machines that got orders lately, so that two owners never take turns on one.
//!
//! The names of machines that are about to get an order are stored before the order is sent. An append
//! of an owner fails once a later one has begun, so whatever an earlier owner ordered, or still may, is
//! in the record that its successor reads. The successor leaves those machines alone for the time that
//! two holders must stay apart; all others it orders at once.

use crate::batch::upkeep::MachineId;
use crate::ids::Time;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Orders about machines, of this owner and of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Touched {
    /// When this owner last announced an order.
    own: IndexMap<MachineId, Time>,
    /// Machines that an earlier owner announced; empty once the holders have stayed apart.
    earlier: IndexSet<MachineId>,
    /// When the earlier owners' machines are free.
    earlier_until: Time,
    /// Time that two holders of a machine stay apart.
    gap: Duration,
    /// Announcements in all.
    announced: u64,
    /// Announcements that are stored.
    stored: u64,
}

impl Touched {
    /// No orders yet. Two holders of a machine stay `gap` apart.
    pub fn new(gap: Duration, now: Time) -> Touched {
        Touched { gap, earlier_until: now + gap, ..Touched::default() }
    }

    /// Takes in the stored names.
    pub fn restore(&mut self, machines: IndexSet<MachineId>) {
        self.earlier = machines;
    }

    /// Drops what is old enough.
    pub fn forget(&mut self, now: Time) {
        let gap = self.gap;
        self.own.retain(|_, at| now < *at + gap);
        if now >= self.earlier_until {
            self.earlier.clear();
        }
    }

    /// Whether the earlier owner's orders have had their effect.
    pub fn is_apart(&self, now: Time) -> bool {
        now >= self.earlier_until
    }

    /// Whether an earlier owner may have ordered a machine a short time ago.
    pub(super) fn is_earlier(&self, machine: &str) -> bool {
        self.earlier.contains(machine)
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

    /// Names to store, and the announcement that they cover; `None` when nothing is new.
    pub(super) fn to_store(&self) -> Option<(IndexSet<MachineId>, u64)> {
        let names = || self.earlier.iter().chain(self.own.keys()).cloned().collect();
        (self.announced > self.stored).then(|| (names(), self.announced))
    }

    /// The names that an announcement needs are stored.
    pub(super) fn stored(&mut self, announced: u64) {
        self.stored = self.stored.max(announced);
    }
}
