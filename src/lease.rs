//! An entry instance's own units by its own clock, and its observation of other holders' leases.
//!
//! Clocks are never compared. A holder counts its lease from before it sent the `Renew`; an observer
//! counts a longer time from when it read the `Renew`.

use crate::ids::*;
use crate::state::{Grant, Holder};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::time::Duration;

/// How long borrowed units may be used without another `Renew`.
pub const LEASE: Duration = Duration::from_secs(15);
/// Time between two `Renew` records at rest.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Least time between two `Renew` records when demand changes.
pub const RENEW_MIN_INTERVAL: Duration = Duration::from_millis(200);
/// How much faster an observer's clock may run than a holder's, in percent.
pub const DRIFT_PERCENT: u32 = 5;
/// Time that an observer waits beyond the longest lease by its own clock.
pub const EXPIRE_MARGIN: Duration = Duration::from_secs(1);

/// How long an observer waits after an event before it counts `time` of another clock as over.
pub fn observer_timeout(time: Duration) -> Duration {
    time * (100 + DRIFT_PERCENT) / 100 + EXPIRE_MARGIN
}

/// Units in use at this instance.
#[derive(Clone, Debug, Default)]
pub struct LocalUnits {
    /// End of the right to use borrowed units, on the own clock.
    valid_until: Time,
    teams: HashMap<TeamId, InUse>,
}

#[derive(Clone, Debug, Default)]
struct InUse {
    /// Deadlines of the units in use, earliest first. Invariant: work under a unit ends by its
    /// deadline, and units whose deadline lies after `valid_until` number at most the reserve that
    /// was usable when they were taken.
    deadlines: Vec<Time>,
    /// Most units in use since the last `Renew`.
    peak: u32,
}

impl LocalUnits {
    /// Starts without a lease.
    pub fn new() -> LocalUnits {
        LocalUnits::default()
    }

    /// A `Renew` sent first at `sent` was read back from the log.
    pub fn renewed(&mut self, sent: Time) {
        self.valid_until = self.valid_until.max(sent + LEASE);
    }

    /// End of the right to use borrowed units and to start jobs.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Takes one unit and returns the deadline that the work under it must keep: `deadline`, or the
    /// end of the lease when only a borrowed unit is left. `None` when no unit is left.
    pub fn take(&mut self, now: Time, team: &TeamId, deadline: Time, grant: Grant) -> Option<Time> {
        let valid_until = self.valid_until;
        let usable = if now < valid_until { grant.units } else { grant.reserve };
        if self.running(now, team) >= usable || deadline <= now {
            return None;
        }
        let reserve_left = self.beyond_lease(now, team) < grant.reserve;
        let cut = if reserve_left { deadline } else { deadline.min(valid_until) };
        let in_use = self.teams.entry(team.clone()).or_default();
        let at = in_use.deadlines.partition_point(|d| *d <= cut);
        in_use.deadlines.insert(at, cut);
        let running = self.running(now, team);
        let in_use = self.teams.entry(team.clone()).or_default();
        in_use.peak = in_use.peak.max(running);
        Some(cut)
    }

    /// Frees one unit. Which one is not said, so the one with the earliest deadline is dropped: the
    /// units that stay on the books then outlast those truly in use.
    pub fn free(&mut self, team: &TeamId) {
        if let Some(in_use) = self.teams.get_mut(team)
            && !in_use.deadlines.is_empty()
        {
            in_use.deadlines.remove(0);
        }
    }

    /// Frees the unit that was taken with this deadline.
    pub fn free_exact(&mut self, team: &TeamId, deadline: Time) {
        let Some(in_use) = self.teams.get_mut(team) else { return };
        match in_use.deadlines.binary_search(&deadline) {
            Ok(at) => {
                in_use.deadlines.remove(at);
            }
            Err(_) => self.free(team),
        }
    }

    /// Units whose work may still run.
    pub fn running(&self, now: Time, team: &TeamId) -> u32 {
        self.count_after(now, team)
    }

    /// Units whose work may run on after the lease; they need a reserve.
    pub fn beyond_lease(&self, now: Time, team: &TeamId) -> u32 {
        self.count_after(now.max(self.valid_until), team)
    }

    fn count_after(&self, time: Time, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |in_use| {
            let ended = in_use.deadlines.partition_point(|d| *d <= time);
            (in_use.deadlines.len() - ended) as u32
        })
    }

    /// Whether no unit is in use.
    pub fn is_idle(&self, now: Time) -> bool {
        self.teams.keys().all(|team| self.running(now, team) == 0)
    }

    /// Most units in use since the last call.
    pub fn take_peak(&mut self, now: Time, team: &TeamId) -> u32 {
        let running = self.running(now, team);
        match self.teams.get_mut(team) {
            Some(in_use) => std::mem::replace(&mut in_use.peak, running).max(running),
            None => 0,
        }
    }
}

/// When this instance read what it knows of the other holders.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    seen: HashMap<Incarnation, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    renewed_at: Offset,
    read_at: Time,
    gone_since: Option<Time>,
}

impl LeaseObserver {
    /// Starts without observations.
    pub fn new() -> LeaseObserver {
        LeaseObserver::default()
    }

    /// Takes note of the holders as read by `now`.
    pub fn update(&mut self, now: Time, holders: &IndexMap<Incarnation, Holder>) {
        self.seen.retain(|incarnation, _| holders.contains_key(incarnation));
        for (incarnation, holder) in holders {
            let fresh = Seen { renewed_at: holder.renewed_at, read_at: now, gone_since: None };
            let seen = self.seen.entry(*incarnation).or_insert(fresh);
            if seen.renewed_at != holder.renewed_at {
                *seen = fresh;
            }
            if holder.gone {
                seen.gone_since.get_or_insert(now);
            } else {
                seen.gone_since = None;
            }
        }
    }

    /// Whether the lease that began with the holder's last `Renew` is surely over.
    pub fn is_lapsed(&self, now: Time, incarnation: Incarnation) -> bool {
        self.seen
            .get(&incarnation)
            .is_some_and(|seen| now.saturating_sub(seen.read_at) >= observer_timeout(LEASE))
    }

    /// Whether a holder known as gone can have no work left that took at most `longest`.
    pub fn is_ended(&self, now: Time, incarnation: Incarnation, longest: Duration) -> bool {
        let gone_since = self.seen.get(&incarnation).and_then(|seen| seen.gone_since);
        gone_since.is_some_and(|since| now.saturating_sub(since) >= observer_timeout(longest))
    }
}
