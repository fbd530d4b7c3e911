//! Units in use at an entry instance by its local clock, and observation of other holders' leases.
//!
//! Clocks of different instances are never compared. A holder counts its lease from before it sent
//! the `Renew`; an observer counts a longer time from when it read the `Renew`.

use crate::ids::*;
use crate::state::{Grant, Holder};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which borrowed units may be used after a `Renew` was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);
/// Time between two `Renew` records while demand is stable.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time between two `Renew` records when demand changes.
pub const RENEW_MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum amount by which an observer's clock may run faster than a holder's, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 5;
/// Additional time by the observer's clock before it treats a lease as lapsed.
pub const EXPIRE_MARGIN: Duration = Duration::from_secs(1);

/// Returns how long an observer must wait by its own clock until `time` has certainly passed on
/// another instance's clock.
pub fn observer_timeout(time: Duration) -> Duration {
    time * (100 + CLOCK_DRIFT_PERCENT) / 100 + EXPIRE_MARGIN
}

/// Units in use at this instance, by team.
#[derive(Clone, Debug, Default)]
pub struct LocalUnits {
    /// End of the lease on the local clock; borrowed units may be used until then.
    valid_until: Time,
    teams: HashMap<TeamId, InUse>,
}

#[derive(Clone, Debug, Default)]
struct InUse {
    /// Deadlines of the units in use, earliest first. Invariants: work under a unit ends by its
    /// deadline; the number of units whose deadline is after `valid_until` is at most the reserve
    /// that was usable when they were acquired.
    deadlines: Vec<Time>,
    /// Maximum number of units in use since the last `Renew`.
    peak: u32,
}

impl LocalUnits {
    /// Creates an instance's units without a lease.
    pub fn new() -> LocalUnits {
        LocalUnits::default()
    }

    /// Extends the lease after a `Renew` that was first sent at `sent_at` was read back from the
    /// log.
    pub fn extend_lease(&mut self, sent_at: Time) {
        self.valid_until = self.valid_until.max(sent_at + LEASE_DURATION);
    }

    /// Returns the end of the lease, up to which borrowed units may be used and jobs started.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Acquires one unit and returns the deadline by which the work under it must end: `deadline`,
    /// or the end of the lease if only a borrowed unit is available. Returns `None` if no unit is
    /// available.
    pub fn acquire(
        &mut self,
        now: Time,
        team: &TeamId,
        deadline: Time,
        grant: Grant,
    ) -> Option<Time> {
        let valid_until = self.valid_until;
        let usable = if now < valid_until { grant.units } else { grant.reserve };
        if self.running(now, team) >= usable || deadline <= now {
            return None;
        }
        let reserve_left = self.beyond_lease(now, team) < grant.reserve;
        let granted_until = if reserve_left { deadline } else { deadline.min(valid_until) };
        let in_use = self.teams.entry(team.clone()).or_default();
        let at = in_use.deadlines.partition_point(|d| *d <= granted_until);
        in_use.deadlines.insert(at, granted_until);
        let running = self.running(now, team);
        let in_use = self.teams.entry(team.clone()).or_default();
        in_use.peak = in_use.peak.max(running);
        Some(granted_until)
    }

    /// Releases one unit of unknown deadline. The unit with the earliest deadline is removed, so
    /// that the remaining ones are counted at least as long as those really in use.
    pub fn release_any(&mut self, team: &TeamId) {
        if let Some(in_use) = self.teams.get_mut(team)
            && !in_use.deadlines.is_empty()
        {
            in_use.deadlines.remove(0);
        }
    }

    /// Releases the unit that was acquired with this deadline.
    pub fn release(&mut self, team: &TeamId, deadline: Time) {
        let Some(in_use) = self.teams.get_mut(team) else { return };
        match in_use.deadlines.binary_search(&deadline) {
            Ok(at) => {
                in_use.deadlines.remove(at);
            }
            Err(_) => self.release_any(team),
        }
    }

    /// Returns the number of units whose work may still be running.
    pub fn running(&self, now: Time, team: &TeamId) -> u32 {
        self.count_after(now, team)
    }

    /// Returns the number of units whose work may continue after the lease ends; they need a
    /// reserve.
    pub fn beyond_lease(&self, now: Time, team: &TeamId) -> u32 {
        self.count_after(now.max(self.valid_until), team)
    }

    fn count_after(&self, time: Time, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |in_use| {
            let ended = in_use.deadlines.partition_point(|d| *d <= time);
            (in_use.deadlines.len() - ended) as u32
        })
    }

    pub fn is_idle(&self, now: Time) -> bool {
        self.teams.keys().all(|team| self.running(now, team) == 0)
    }

    /// Returns the maximum number of units in use since the last call, and resets it.
    pub fn take_peak(&mut self, now: Time, team: &TeamId) -> u32 {
        let running = self.running(now, team);
        match self.teams.get_mut(team) {
            Some(in_use) => std::mem::replace(&mut in_use.peak, running).max(running),
            None => 0,
        }
    }
}

/// Local times at which this instance observed the other holders' renewals.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    observations: HashMap<Incarnation, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    renewed_at: Offset,
    read_at: Time,
    gone_since: Option<Time>,
}

impl LeaseObserver {
    pub fn new() -> LeaseObserver {
        LeaseObserver::default()
    }

    /// Records the holders as read at `now`.
    pub fn update(&mut self, now: Time, holders: &IndexMap<Incarnation, Holder>) {
        self.observations.retain(|incarnation, _| holders.contains_key(incarnation));
        for (incarnation, holder) in holders {
            let fresh =
                Observation { renewed_at: holder.renewed_at, read_at: now, gone_since: None };
            let observation = self.observations.entry(*incarnation).or_insert(fresh);
            if observation.renewed_at != holder.renewed_at {
                *observation = fresh;
            }
            if holder.gone {
                observation.gone_since.get_or_insert(now);
            } else {
                observation.gone_since = None;
            }
        }
    }

    /// Whether the lease that began with the holder's last `Renew` has certainly lapsed.
    pub fn is_lapsed(&self, now: Time, incarnation: Incarnation) -> bool {
        self.observations.get(&incarnation).is_some_and(|observation| {
            now.saturating_sub(observation.read_at) >= observer_timeout(LEASE_DURATION)
        })
    }

    /// Whether a holder that is known to be gone can have no work left, given that any work takes
    /// at most `longest`.
    pub fn is_ended(&self, now: Time, incarnation: Incarnation, longest: Duration) -> bool {
        let gone_since =
            self.observations.get(&incarnation).and_then(|observation| observation.gone_since);
        gone_since.is_some_and(|since| now.saturating_sub(since) >= observer_timeout(longest))
    }
}
