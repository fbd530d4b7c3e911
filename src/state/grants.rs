//! Units of the teams' upper limits that are granted to entry instances.

use super::{Applied, ApplyOutcome, Cx, RejectReason, State, not_found};
use crate::ids::*;
use crate::record::{ExpireLevel, Want};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Units of one team that one holder may use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// All granted units. Invariant: the units of all holders plus the running jobs did not exceed
    /// the team's limit when the units were granted.
    pub units: u32,
    /// Part of `units` that remains usable after the lease lapses. Invariant: at most `units`.
    pub reserve: u32,
    /// Number of requests waiting at the holder when it renewed.
    pub waiting: u32,
}

/// Zone and addresses of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    pub zone: ZoneId,
    pub http_addr: String,
    pub peer_addr: String,
}

/// One incarnation of an entry instance that holds a lease or units.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Id of the entry instance; several incarnations may share it.
    pub id: EntryId,
    pub addresses: Addresses,
    /// Offset of its first `Renew`.
    pub first_renewed_at: Offset,
    /// Offset of its last `Renew`.
    pub renewed_at: Offset,
    /// First offset that it had not applied when it renewed.
    pub seen: Offset,
    /// It is stopping and accepts no new work.
    pub departing: bool,
    /// Its lease expired after `renewed_at`; only the reserves remain.
    pub expired: bool,
    /// It is missing from the platform's list, or a later incarnation of the same id renewed.
    pub gone: bool,
    /// Units by team.
    pub grants: IndexMap<TeamId, Grant>,
}

impl State {
    /// Returns the units of a team granted to all holders, plus its running jobs.
    pub fn units_in_use(&self, team: &TeamId) -> u32 {
        let granted: u32 = self.holders.values().map(|holder| granted_units(holder, team)).sum();
        granted + self.running_jobs(team)
    }

    /// Returns the upper limit of a team; 0 for an undeclared team.
    pub fn team_limit(&self, team: &TeamId) -> u32 {
        self.config.teams.get(team).map_or(0, |declared| declared.limit)
    }

    /// Returns the units that a holder may use now. They are fewer than granted if the limit was
    /// lowered after the grant.
    pub fn usable_grant(&self, incarnation: Incarnation, team: &TeamId) -> Grant {
        let Some(grant) = self.holders.get(&incarnation).and_then(|h| h.grants.get(team)) else {
            return Grant::default();
        };
        let in_use = self.units_in_use(team);
        let limit = self.team_limit(team);
        if in_use <= limit {
            return *grant;
        }
        let scaled = |units: u32| (u64::from(units) * u64::from(limit) / u64::from(in_use)) as u32;
        Grant { units: scaled(grant.units), reserve: scaled(grant.reserve), ..*grant }
    }

    /// Whether an incarnation has a lease that has not been expired in the log.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        self.holders.get(&incarnation).is_some_and(|holder| !holder.expired)
    }

    pub(super) fn require_live(&self, cx: Cx) -> Result<(), RejectReason> {
        if self.is_live(cx.incarnation) { Ok(()) } else { Err(RejectReason::WriterNotLive) }
    }

    pub(super) fn renew(
        &mut self,
        cx: Cx,
        addresses: Addresses,
        seen: Offset,
        want: &IndexMap<TeamId, Want>,
        departing: bool,
    ) -> Applied {
        self.mark_earlier_incarnations_gone(cx, seen);
        let known = self.holders.get(&cx.incarnation);
        let first_renewed_at = known.map_or(cx.offset, |known| known.first_renewed_at);
        let mut holder = Holder {
            id: cx.writer.clone(),
            addresses,
            first_renewed_at,
            renewed_at: cx.offset,
            seen,
            departing,
            expired: false,
            gone: false,
            grants: IndexMap::new(),
        };
        for (team, want) in want {
            let grant = self.grant_for(cx.incarnation, team, want);
            if grant.units > 0 || grant.waiting > 0 {
                holder.grants.insert(team.clone(), grant);
            }
        }
        self.holders.insert(cx.incarnation, holder);
        Ok(ApplyOutcome::Applied)
    }

    /// Marks the earlier incarnations of the writer's id as gone. The platform runs one process per
    /// entry id, so a new incarnation implies that earlier ones ended. Earlier incarnations are
    /// those whose first `Renew` the writer had applied: a delayed batch of an ended incarnation
    /// may arrive after the first batch of its successor and must not mark the successor as gone.
    fn mark_earlier_incarnations_gone(&mut self, cx: Cx, seen: Offset) {
        for (incarnation, holder) in &mut self.holders {
            let was_read = holder.first_renewed_at < seen;
            if holder.id == *cx.writer && *incarnation != cx.incarnation && was_read {
                holder.gone = true;
            }
        }
    }

    /// Clamps a request to the available units. The grant is never below the lesser of the
    /// requested and the held units, because the holder may use that many until it reads this
    /// record.
    fn grant_for(&self, incarnation: Incarnation, team: &TeamId, want: &Want) -> Grant {
        let held = self
            .holders
            .get(&incarnation)
            .and_then(|holder| holder.grants.get(team))
            .copied()
            .unwrap_or_default();
        let others = self.units_in_use(team) - held.units;
        let available = self.team_limit(team).saturating_sub(others);
        let units = want.units.min(available.max(held.units));
        let reserve_left =
            self.reserve_limit(team).saturating_sub(self.reserved(team) - held.reserve);
        let reserve = want.reserve.min(reserve_left.max(held.reserve)).min(units);
        Grant { units, reserve, waiting: want.waiting }
    }

    /// Returns how many units of a team all holders together may keep without a lease. It is the
    /// largest `reserve_percent` of the profiles, because the limit applies across services.
    pub fn reserve_limit(&self, team: &TeamId) -> u32 {
        let percent = self.config.profiles.values().map(|p| p.reserve_percent).max().unwrap_or(0);
        let limit = self.team_limit(team);
        let reserved = (u64::from(limit) * u64::from(percent.min(100)) / 100) as u32;
        // At least one unit is never reserved; otherwise no job of the team could ever be claimed.
        reserved.min(limit.saturating_sub(1))
    }

    fn reserved(&self, team: &TeamId) -> u32 {
        let reserve = |holder: &Holder| holder.grants.get(team).map_or(0, |g| g.reserve);
        self.holders.values().map(reserve).sum()
    }

    pub(super) fn expire(
        &mut self,
        incarnation: Incarnation,
        renewed_at: Offset,
        level: ExpireLevel,
    ) -> Applied {
        let holder = self
            .holders
            .get_mut(&incarnation)
            .ok_or_else(|| not_found("holder", &incarnation.to_string()))?;
        if holder.renewed_at != renewed_at {
            return Err(RejectReason::HolderNotLapsed);
        }
        match level {
            ExpireLevel::Borrowed => expire_borrowed(holder),
            ExpireLevel::All if holder.gone => {
                self.holders.shift_remove(&incarnation);
            }
            ExpireLevel::All => return Err(RejectReason::HolderNotLapsed),
        }
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn mark_holder_gone(&mut self, id: &EntryId) {
        for holder in self.holders.values_mut().filter(|holder| holder.id == *id) {
            holder.gone = true;
        }
    }
}

fn expire_borrowed(holder: &mut Holder) {
    holder.expired = true;
    for grant in holder.grants.values_mut() {
        grant.units = grant.reserve;
    }
}

fn granted_units(holder: &Holder, team: &TeamId) -> u32 {
    holder.grants.get(team).map_or(0, |grant| grant.units)
}
