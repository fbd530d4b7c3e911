//! How many units this instance asks for in its next `Renew`, and what it may use meanwhile.

use super::*;
use crate::lease::{RENEW_INTERVAL, RENEW_MIN_INTERVAL};
use crate::state::Grant;

/// Time between two `Renew` records while demand is not met and does not change.
const UNMET_INTERVAL: Duration = Duration::from_secs(1);

/// The last `Renew` that was made.
#[derive(Clone, Debug, Default)]
pub(super) struct LastRenew {
    at: Option<Time>,
    waiting: HashMap<TeamId, u32>,
}

impl Node {
    /// Units of a team that may be in use now: what the log grants, and no more than a `Renew` on
    /// its way asks for, since it may be folded before it is read.
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
        if self.mutated(Mutation::LeaseNeverLapses) {
            grant.reserve = grant.units;
        }
        grant
    }

    /// The `Renew` to put in front of the next batch, if one is due.
    pub(super) fn due_renew(&mut self, now: Time) -> Option<Record> {
        if self.left || !self.is_renew_due(now) {
            return None;
        }
        let want = self.wants(now);
        self.renewed = LastRenew { at: Some(now), waiting: self.waiting.clone() };
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
        let Some(at) = self.renewed.at else { return true };
        let since = now.saturating_sub(at);
        if since >= RENEW_INTERVAL {
            return true;
        }
        if since < RENEW_MIN_INTERVAL {
            return false;
        }
        if self.stopping || !self.state().is_live(self.cfg.incarnation) {
            return since >= UNMET_INTERVAL;
        }
        let teams = self.state().config.teams.keys();
        let changed = |team: &TeamId| self.waiting.get(team) != self.renewed.waiting.get(team);
        let unmet = |team: &&TeamId| {
            self.is_unmet(now, team) || self.is_hoarding(now, team) || self.is_over(team)
        };
        teams.filter(unmet).any(|team| since >= UNMET_INTERVAL || changed(team))
    }

    /// The last `Renew` told of requests that no longer wait; others leave them room until they hear.
    fn is_over(&self, team: &TeamId) -> bool {
        let told = self.renewed.waiting.get(team).copied().unwrap_or(0);
        told > 0 && self.waiting.get(team).copied().unwrap_or(0) == 0
    }

    /// More work than units.
    fn is_unmet(&self, now: Time, team: &TeamId) -> bool {
        let waiting = self.waiting.get(team).copied().unwrap_or(0);
        let wanted = self.units.running(now, team).saturating_add(waiting);
        waiting > 0 && wanted > self.usable_units(team).units
    }

    /// Units that others wait for and this instance does not use.
    fn is_hoarding(&self, now: Time, team: &TeamId) -> bool {
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

    /// Never below what is in use: until this instance reads the record, it may go on using it.
    fn want(&mut self, now: Time, team: &TeamId) -> Want {
        let running = self.units.running(now, team);
        let beyond_lease = self.units.beyond_lease(now, team);
        let waiting = self.waiting.get(team).copied().unwrap_or(0);
        let peak = self.units.take_peak(now, team);
        let demand = peak.saturating_add(waiting);
        let target = self.target(team, demand);
        let units = target.max(running);
        let share = if self.stopping { 0 } else { self.reserve_share(team) };
        Want { units, reserve: share.min(units).max(beyond_lease), waiting }
    }

    fn target(&self, team: &TeamId, demand: u32) -> u32 {
        let state = self.state();
        let limit = state.team_limit(team);
        let share = if self.stopping { 0 } else { self.reserve_share(team) };
        let headroom = if demand > 0 && !self.stopping { demand / 4 + 1 } else { 0 };
        let mut target = demand.saturating_add(headroom).max(share).min(limit);
        let others = self.demand_of_others(team);
        let total = others + u64::from(demand);
        if total > u64::from(limit) {
            let portion = u64::from(limit) * u64::from(demand) / total;
            // Others' waiting may be long over, so the portion of a demand never rounds to nothing.
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

    /// Units held and requests waiting at other instances, and running jobs.
    fn demand_of_others(&self, team: &TeamId) -> u64 {
        let state = self.state();
        let others = state.holders.iter().filter(|(id, _)| **id != self.cfg.incarnation);
        let grants = others.filter_map(|(_, holder)| holder.grants.get(team));
        let demand = |grant: &Grant| u64::from(grant.units) + u64::from(grant.waiting);
        grants.map(demand).sum::<u64>() + u64::from(state.running_jobs(team))
    }

    /// This instance's part of a team's reserve.
    fn reserve_share(&self, team: &TeamId) -> u32 {
        self.state().reserve_limit(team) / self.cfg.entry_instances.max(1)
    }
}
