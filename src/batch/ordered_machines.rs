//! Machines that recently received orders, so that two owners do not give orders for the same
//! machine within a short time.
//!
//! The names of machines that are about to receive an order are stored before the order is sent.
//! The store rejects writes of an owner once a later owner has taken over. The record that a new
//! owner reads therefore contains every machine that previous owners ordered or may still order.
//! The new owner does not touch those machines until the minimum gap between two holders has
//! passed, and may order all others immediately.

use crate::batch::maintenance::{MachineId, MaintenanceOrder};
use crate::batch::wall_clock::{Moment, WallClock};
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

/// A machine that is about to receive an order, or has received one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    pub announced_at: Moment,
    /// Age at `announced_at.seen_at`, by the clocks of the owners so far.
    pub known_age: Duration,
    /// The wave, if the order begins maintenance.
    pub wave: Option<u64>,
}

impl Announcement {
    /// Returns the time that has passed for certain since the announcement.
    fn age(&self, clock: &WallClock, now: Time) -> Duration {
        let by_owners = self.known_age + now.saturating_sub(self.announced_at.seen_at);
        by_owners.max(clock.least_age(&self.announced_at, now))
    }
}

/// Machines that received orders from this owner or from previous ones.
#[derive(Clone, Debug, Default)]
pub struct OrderedMachines {
    /// Latest announcement of this owner for each machine.
    own: IndexMap<MachineId, Announcement>,
    /// Machines announced by previous owners, which may not receive orders yet.
    previous: IndexMap<MachineId, Announcement>,
    /// Minimum time from an announcement to an order by another holder.
    handover_gap: Duration,
    wall_clock: WallClock,
    /// Number of announcements.
    announcements: u64,
    /// Number of announcements that are stored.
    stored_announcements: u64,
}

impl OrderedMachines {
    /// Creates an empty set. Orders of two holders of one machine must be `holder_gap` apart.
    pub fn new(holder_gap: Duration) -> OrderedMachines {
        OrderedMachines { handover_gap: holder_gap + ORDER_WINDOW, ..OrderedMachines::default() }
    }

    /// Sets the time of day, by which the age of restored announcements is known.
    pub(super) fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = wall_clock;
    }

    /// Restores the stored machines.
    pub fn restore(&mut self, machines: Vec<(MachineId, Announcement)>) {
        self.previous = machines.into_iter().collect();
    }

    /// Drops machines whose gap has passed.
    pub fn expire(&mut self, now: Time) {
        let (clock, handover_gap) = (self.wall_clock, self.handover_gap);
        self.own.retain(|_, announcement| announcement.age(&clock, now) < handover_gap);
        self.previous.retain(|_, announcement| announcement.age(&clock, now) < handover_gap);
    }

    /// Whether a previous owner may have recently ordered the machine.
    pub fn was_ordered_by_previous(&self, machine: &str) -> bool {
        self.previous.contains_key(machine)
    }

    /// Returns the wave if a previous owner may have recently ordered the machine's maintenance.
    pub(super) fn wave_ordered_by_previous(&self, machine: &str) -> Option<u64> {
        self.previous.get(machine)?.wave
    }

    /// Announces moves of machines. Returns the number to pass to `is_stored`.
    pub fn announce<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a MachineId>,
        now: Time,
    ) -> u64 {
        self.announce_orders(machines.map(|machine| (machine, None)), now)
    }

    /// Announces orders for maintenance. Returns the number to pass to `is_stored`.
    pub fn announce_maintenance(&mut self, orders: &[MaintenanceOrder], now: Time) -> u64 {
        self.announce_orders(orders.iter().map(|order| (&order.machine, Some(order.wave))), now)
    }

    fn announce_orders<'a>(
        &mut self,
        orders: impl Iterator<Item = (&'a MachineId, Option<u64>)>,
        now: Time,
    ) -> u64 {
        let mut announced_at = Moment::new(now);
        announced_at.settle(&self.wall_clock);
        self.own.extend(orders.map(|(machine, wave)| {
            (machine.clone(), Announcement { announced_at, known_age: Duration::ZERO, wave })
        }));
        self.announcements += 1;
        self.announcements
    }

    /// Whether an announcement is stored, so that its orders may be sent.
    pub fn is_stored(&self, announcement: u64) -> bool {
        self.stored_announcements >= announcement
    }

    /// Returns the machines to store, each with the age of its announcement, and the number of the
    /// latest announcement that they cover; `None` if everything is stored.
    pub(super) fn unstored(&self, now: Time) -> Option<(Vec<(MachineId, Announcement)>, u64)> {
        let aged = |(id, announcement): (&MachineId, &Announcement)| {
            let known_age = announcement.age(&self.wall_clock, now);
            (id.clone(), Announcement { known_age, ..announcement.clone() })
        };
        (self.announcements > self.stored_announcements).then(|| {
            let machines = self.previous.iter().chain(&self.own).map(aged);
            (machines.collect(), self.announcements)
        })
    }

    /// Marks all announcements up to this one as stored.
    pub(super) fn mark_stored(&mut self, announcement: u64) {
        self.stored_announcements = self.stored_announcements.max(announcement);
    }
}
