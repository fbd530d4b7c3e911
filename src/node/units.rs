//! Number of units that this instance requests in its next `Renew`, and how many it may use in the
//! meantime.

use super::*;
use crate::lease::{RENEW_INTERVAL, RENEW_MIN_INTERVAL};
use crate::state::Grant;

/// Minimum time between two `Renew` records while demand is unmet and unchanged.
const UNMET_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time and reported demand of the last `Renew`.
#[derive(Clone, Debug, Default)]
pub(super) struct LastRenew {
    at: Option<Time>,
    waiting: HashMap<TeamId, u32>,
}

impl Node {
    /// Returns the units of a team that may be in use now: what the log grants, limited to what a
    /// `Renew` in flight requests, because the log may apply that record before this instance reads
    /// it.
    pub(super) fn usable_units(&self, team: &TeamId) -> Grant {
        if !self.has_view() {
            return Grant::default();
        }
        let mut grant = self.state().usable_grant(self.cfg.incarnation, team);
        if let Some(want) = self.outbox.in_flight().and_then(|sent| sent.want.as_ref()) {
            let want = want.get(team).copied().unwrap_or_default();
            grant.units = grant.units.min(want.units);
            grant.reserve = grant.reserve.min(want.reserve);
        }
        if self.has_mutation(Mutation::LeaseNeverLapses) {
            grant.reserve = grant.units;
        }
        grant
    }

    /// Returns the `Renew` to put at the front of the next batch, if one is due.
    pub(super) fn build_renew(&mut self, now: Time) -> Option<Record> {
        if self.departed || !self.is_renew_due(now) {
            return None;
        }
        let want = self.wants(now);
        self.last_renew = LastRenew { at: Some(now), waiting: self.waiting.clone() };
        Some(Record::Renew {
            zone: self.cfg.zone.clone(),
            http_addr: self.cfg.http_addr.clone(),
            peer_addr: self.cfg.peer_addr.clone(),
            seen: self.state().next(),
            want,
            departing: self.stopping,
        })
    }

    fn is_renew_due(&self, now: Time) -> bool {
        let Some(at) = self.last_renew.at else { return true };
        let since = now.saturating_sub(at);
        if since >= RENEW_INTERVAL {
            return true;
        }
        if since < RENEW_MIN_INTERVAL {
            return false;
        }
        if self.stopping || !self.state().is_live(self.cfg.incarnation) {
            return since >= UNMET_RENEW_INTERVAL;
        }
        let teams = self.state().config.teams.keys();
        let changed = |team: &TeamId| self.waiting.get(team) != self.last_renew.waiting.get(team);
        let unmet = |team: &&TeamId| {
            self.has_unmet_demand(now, team)
                || self.has_excess_units(now, team)
                || self.has_stale_waiting(team)
        };
        teams.filter(unmet).any(|team| since >= UNMET_RENEW_INTERVAL || changed(team))
    }

    /// Whether the last `Renew` reported waiting requests and none wait now. Other instances leave
    /// room for these requests until the next `Renew` corrects the number.
    fn has_stale_waiting(&self, team: &TeamId) -> bool {
        let reported = self.last_renew.waiting.get(team).copied().unwrap_or(0);
        reported > 0 && self.waiting.get(team).copied().unwrap_or(0) == 0
    }

    /// Whether there is more work than usable units.
    fn has_unmet_demand(&self, now: Time, team: &TeamId) -> bool {
        let waiting = self.waiting.get(team).copied().unwrap_or(0);
        let wanted = self.units.running(now, team).saturating_add(waiting);
        waiting > 0 && wanted > self.usable_units(team).units
    }

    /// Whether this instance holds clearly more units than it uses while other instances wait for
    /// some.
    fn has_excess_units(&self, now: Time, team: &TeamId) -> bool {
        let state = self.state();
        let me = self.cfg.incarnation;
        let others_wait = state.holders.iter().any(|(id, holder)| {
            *id != me && holder.grants.get(team).is_some_and(|g| g.waiting > 0)
        });
        let granted = state.usable_grant(me, team);
        let used = self.units.running(now, team).max(granted.reserve);
        others_wait && granted.units > used + used / 4 + 1
    }

    fn wants(&mut self, now: Time) -> IndexMap<TeamId, Want> {
        let teams: Vec<TeamId> = self.state().config.teams.keys().cloned().collect();
        let mut wants = IndexMap::new();
        for team in teams {
            let want = self.want(now, &team);
            if want != Want::default() {
                wants.insert(team, want);
            }
        }
        wants
    }

    /// Returns the request for one team. It is never below the units in use, because this instance
    /// may keep using them until it reads the record from the log.
    fn want(&mut self, now: Time, team: &TeamId) -> Want {
        let running = self.units.running(now, team);
        let beyond_lease = self.units.beyond_lease(now, team);
        let waiting = self.waiting.get(team).copied().unwrap_or(0);
        let peak = self.units.take_peak(now, team);
        let demand = peak.saturating_add(waiting);
        let target = self.target_units(team, demand);
        let units = target.max(running);
        let share = if self.stopping { 0 } else { self.reserve_share(team) };
        Want { units, reserve: share.min(units).max(beyond_lease), waiting }
    }

    fn target_units(&self, team: &TeamId, demand: u32) -> u32 {
        let state = self.state();
        let limit = state.team_limit(team);
        let share = if self.stopping { 0 } else { self.reserve_share(team) };
        let headroom = if demand > 0 && !self.stopping { demand / 4 + 1 } else { 0 };
        let mut target = demand.saturating_add(headroom).max(share).min(limit);
        let others = self.demand_of_others(team);
        let total = others + u64::from(demand);
        if total > u64::from(limit) {
            let portion = u64::from(limit) * u64::from(demand) / total;
            // The waiting requests reported by other instances may be outdated, so a non-zero
            // demand is never rounded down to zero units.
            let portion = (portion as u32).max(demand.min(1));
            target = target.min(portion.max(share));
        }
        let grant = state.holders.get(&self.cfg.incarnation).and_then(|h| h.grants.get(team));
        let usable = state.usable_grant(self.cfg.incarnation, team);
        if grant.is_some_and(|grant| usable.units < grant.units) {
            target = target.min(usable.units);
        }
        target
    }

    /// Returns the units granted to and requests waiting at other instances, plus the running jobs.
    fn demand_of_others(&self, team: &TeamId) -> u64 {
        let state = self.state();
        let others = state.holders.iter().filter(|(id, _)| **id != self.cfg.incarnation);
        let grants = others.filter_map(|(_, holder)| holder.grants.get(team));
        let demand = |grant: &Grant| u64::from(grant.units) + u64::from(grant.waiting);
        grants.map(demand).sum::<u64>() + u64::from(state.running_jobs(team))
    }

    /// Returns this instance's share of a team's reserve.
    fn reserve_share(&self, team: &TeamId) -> u32 {
        self.state().reserve_limit(team) / self.cfg.entry_instances.max(1)
    }
}
