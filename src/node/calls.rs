//! Admission checks for calls, and the use of team units.

use super::*;
use crate::config::Service;
use crate::protocol::Role;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

impl Node {
    /// Checks the service, key, class and deadline of a call against the view.
    pub fn check_call(&self, now: Time, call: &Call) -> Result<AdmittedCall, Refusal> {
        if self.stopping {
            return Err(Refusal::new(Kind::Stopping));
        }
        if !self.has_view() {
            return Err(Refusal::new(Kind::NoView));
        }
        let config = &self.state().config;
        let service = config.services.get(&call.service);
        let service = service.ok_or_else(|| service_not_found(&call.service))?;
        let profile = config.profiles.get(&service.profile);
        let profile = profile.ok_or_else(|| Refusal::new(Kind::NotFound))?;
        if profile.stale_limit.is_some_and(|limit| self.view_age(now) > limit) {
            return Err(Refusal::new(Kind::StaleView));
        }
        let team = self.team_of(service, call.key.as_deref())?;
        let allowed_time = call.deadline.unwrap_or(profile.max_deadline).min(profile.max_deadline);
        if allowed_time.is_zero() {
            return Err(Refusal::new(Kind::DeadlineTooSoon));
        }
        Ok(AdmittedCall {
            team,
            pool: service.pool.clone(),
            profile: service.profile.clone(),
            class: call.class.unwrap_or(service.class),
            deadline: now + allowed_time,
        })
    }

    /// Returns the team to which a call is charged: the team of its key, or the service's `open_to`
    /// team for a call without a key.
    fn team_of(&self, service: &Service, key: Option<&[u8]>) -> Result<TeamId, Refusal> {
        let Some(key) = key else {
            return service.open_to.clone().ok_or_else(|| Refusal::new(Kind::KeyMissing));
        };
        if self.has_mutation(Mutation::IgnoreKeys) {
            let any = self.state().config.teams.keys().next();
            return any.cloned().ok_or_else(|| Refusal::new(Kind::KeyUnknown));
        }
        self.team_of_key(key).ok_or_else(|| Refusal::new(Kind::KeyUnknown))
    }

    /// Returns the team of a key that is granted and neither withdrawn nor under a withdrawal hold.
    pub fn team_of_key(&self, key: &[u8]) -> Option<TeamId> {
        let (id, secret) = std::str::from_utf8(key).ok()?.split_once('.')?;
        let id = KeyId::from(id);
        let known = self.state().keys.get(&id)?;
        let hash = hex::encode(Sha256::digest(secret.as_bytes()));
        let matches = bool::from(hash.as_bytes().ct_eq(known.hash.as_bytes()));
        let withdrawn = known.withdrawn_at.is_some() || self.holds.has_key(&id);
        let withdrawn = withdrawn && !self.has_mutation(Mutation::IgnoreWithdrawnKeys);
        (matches && !withdrawn).then(|| known.team.clone())
    }

    /// Checks once more, just before the start is written, whether the call may start. The start
    /// must reach the upstream within `START_WINDOW`.
    pub fn may_start(
        &self,
        now: Time,
        allowed: &AdmittedCall,
        upstream: &ListedInstance,
    ) -> Result<(), Refusal> {
        if now >= allowed.deadline {
            return Err(Refusal::new(Kind::DeadlinePassed).with_ran(Ran::NotRun));
        }
        self.may_use(&upstream.id, &allowed.pool)
    }

    /// Checks whether an upstream may receive new work of a pool.
    pub(super) fn may_use(&self, upstream: &InstanceId, pool: &PoolId) -> Result<(), Refusal> {
        if !self.has_view() {
            return Err(Refusal::new(Kind::NoView));
        }
        let state = self.state();
        let Some(instance) = state.instances.get(upstream) else {
            return Err(Refusal::new(Kind::NoUpstream));
        };
        if instance.pool != *pool && !self.has_mutation(Mutation::IgnorePools) {
            return Err(Refusal::new(Kind::NoUpstream));
        }
        let zone_out =
            state.zones_out.contains_key(&instance.zone) || self.holds.has_zone(&instance.zone);
        if zone_out && !self.has_mutation(Mutation::IgnoreZonesOut) {
            return Err(Refusal::new(Kind::ZoneOut));
        }
        let closed = instance.draining.is_some()
            || instance.moving.is_some()
            || instance.gone_at.is_some()
            || state.instances_out.contains_key(upstream)
            || self.holds.has_instance(upstream)
            || self.draining.contains(upstream);
        if closed && !self.has_mutation(Mutation::IgnoreClosedInstances) {
            return Err(Refusal::new(Kind::NoUpstream));
        }
        Ok(())
    }

    /// Returns the upstreams of a pool that may receive new work now.
    pub fn upstreams(&self, _now: Time, pool: &PoolId) -> Vec<ListedInstance> {
        let Some(list) = &self.list else { return Vec::new() };
        let usable = |listed: &&ListedInstance| {
            listed.role == Role::Upstream
                && self.is_listed_live(listed)
                && self.may_use(&listed.id, pool).is_ok()
        };
        list.instances.iter().filter(usable).cloned().collect()
    }

    /// Sets the number of waiting requests that the next `Renew` reports for a team.
    pub fn set_waiting(&mut self, team: &TeamId, waiting: u32) {
        self.waiting.insert(team.clone(), waiting);
    }

    /// Acquires a unit of the team. The work under it must end by the returned deadline.
    pub fn acquire_unit(
        &mut self,
        now: Time,
        team: &TeamId,
        deadline: Time,
    ) -> Result<Time, Refusal> {
        self.advance_clock(now);
        if deadline <= now {
            return Err(Refusal::new(Kind::DeadlinePassed).with_ran(Ran::NotRun));
        }
        let grant = self.usable_units(team);
        self.units
            .acquire(now, team, deadline, grant)
            .ok_or_else(|| Refusal::new(Kind::LimitReached))
    }

    /// Releases a unit whose deadline is unknown. Call it only when the work under the unit has
    /// certainly ended, or at its deadline.
    pub fn release_any_unit(&mut self, now: Time, team: &TeamId) {
        self.advance_clock(now);
        self.units.release_any(team);
    }

    /// Releases the unit that was acquired with this deadline, which keeps the accounting exact.
    pub fn release_unit(&mut self, now: Time, team: &TeamId, deadline: Time) {
        self.advance_clock(now);
        self.units.release(team, deadline);
    }

    /// Starts the shutdown: new work is refused, and units are returned once they are unused.
    pub fn stop(&mut self, now: Time) {
        self.advance_clock(now);
        self.stopping = true;
    }

    /// Whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether the final `Renew` of this stopping instance, which returns all units, was read from
    /// the log.
    pub fn has_left(&self) -> bool {
        self.departed || self.stopping && self.has_mutation(Mutation::LeaveAtOnce)
    }
}

fn service_not_found(service: &ServiceId) -> Refusal {
    Refusal::new(Kind::NotFound).with_message(format!("no service {service:?}"))
}
