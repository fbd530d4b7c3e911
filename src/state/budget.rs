//! Upstream instances: pool membership, moves, drains, and the availability budgets that limit
//! them.

use super::{Applied, ApplyOutcome, Cx, Instance, RejectReason, State, not_found};
use crate::config::Profile;
use crate::fleet::max_unavailable;
use crate::ids::*;
use crate::record::DrainReason;

impl State {
    /// Whether an instance provides no capacity to its pool because it is out of service, draining,
    /// moving or gone.
    pub fn is_down(&self, id: &InstanceId, instance: &Instance) -> bool {
        instance.gone_at.is_some()
            || instance.draining.is_some()
            || instance.moving.is_some()
            || self.instances_out.contains_key(id)
            || self.zones_out.contains_key(&instance.zone)
    }

    /// Returns how many instances of a pool may be down: the smallest budget among the profiles
    /// whose services use the pool, or `None` for a pool without services.
    pub fn pool_budget(&self, pool: &PoolId) -> Option<u32> {
        let percent = self.pool_profiles(pool).map(|p| p.unavailable_percent).min()?;
        let size = self.instances.values().filter(|i| i.pool == *pool).count() as u32;
        Some(max_unavailable(size, percent))
    }

    /// Returns the profiles of the services that use a pool.
    pub fn pool_profiles(&self, pool: &PoolId) -> impl Iterator<Item = &Profile> {
        let services = self.config.services.values().filter(move |s| s.pool == *pool);
        services.filter_map(|s| self.config.profiles.get(&s.profile))
    }

    /// Returns the number of instances of a pool that are down for any reason.
    pub fn pool_down(&self, pool: &PoolId) -> u32 {
        let down = |(id, i): &(&InstanceId, &Instance)| i.pool == *pool && self.is_down(id, i);
        self.instances.iter().filter(down).count() as u32
    }

    /// Checks that the pool and rack budgets allow one more instance to be taken down as planned
    /// work.
    fn require_budget(&self, instance: &Instance) -> Result<(), RejectReason> {
        if let Some(allowed) = self.pool_budget(&instance.pool) {
            let down = self.pool_down(&instance.pool);
            if down >= allowed {
                return Err(RejectReason::BudgetExceeded {
                    domain: format!("pool {}", instance.pool),
                    down,
                    allowed,
                });
            }
        }
        self.require_rack_budget(instance)
    }

    /// Checks the budgets for an instance that is already down. Its maintenance uses no additional
    /// budget now, but the instance may be brought back into service during the drain. Drains and
    /// moves counted by themselves must therefore stay within the budget.
    fn require_planned_budget(&self, instance: &Instance) -> Result<(), RejectReason> {
        let Some(allowed) = self.pool_budget(&instance.pool) else { return Ok(()) };
        let planned = |i: &&Instance| {
            i.pool == instance.pool
                && i.gone_at.is_none()
                && (i.draining.is_some() || i.moving.is_some())
        };
        let down = self.instances.values().filter(planned).count() as u32;
        if instance.gone_at.is_none() && down >= allowed {
            return Err(RejectReason::BudgetExceeded {
                domain: format!("pool {}", instance.pool),
                down,
                allowed,
            });
        }
        self.require_rack_budget(instance)
    }

    fn require_rack_budget(&self, instance: &Instance) -> Result<(), RejectReason> {
        let profiles = self.pool_profiles(&instance.pool);
        let allowed = profiles.map(|p| p.unavailable_per_rack).min();
        let Some(allowed) = allowed else { return Ok(()) };
        let same_rack = |i: &&Instance| i.zone == instance.zone && i.rack == instance.rack;
        let planned = |i: &&Instance| i.draining.is_some() || i.moving.is_some();
        let down = self.instances.values().filter(same_rack).filter(planned).count() as u32;
        if down >= allowed {
            return Err(RejectReason::BudgetExceeded {
                domain: format!("rack {}", instance.rack),
                down,
                allowed,
            });
        }
        Ok(())
    }

    /// Checks that an instance may receive new work.
    pub(super) fn require_available(&self, id: &InstanceId) -> Result<(), RejectReason> {
        let instance = self.instances.get(id).ok_or_else(|| not_found("instance", id))?;
        match self.is_down(id, instance) {
            true => Err(RejectReason::InstanceUnavailable { instance: id.clone() }),
            false => Ok(()),
        }
    }

    pub(super) fn instance_seen(
        &mut self,
        id: &InstanceId,
        pool: &PoolId,
        zone: &ZoneId,
        rack: &RackId,
    ) -> Applied {
        if let Some(known) = self.instances.get_mut(id) {
            known.gone_at = None;
            known.zone = zone.clone();
            known.rack = rack.clone();
            return Ok(ApplyOutcome::Applied);
        }
        self.remove_replaced_instance(pool);
        let instance = Instance {
            pool: pool.clone(),
            zone: zone.clone(),
            rack: rack.clone(),
            moving: None,
            draining: None,
            gone_at: None,
            maintained_at: None,
        };
        self.instances.insert(id.clone(), instance);
        Ok(ApplyOutcome::Applied)
    }

    /// Removes one gone instance of a pool. A gone instance counts as down until another one
    /// replaces it.
    fn remove_replaced_instance(&mut self, pool: &PoolId) {
        let gone = |i: &Instance| i.pool == *pool && i.gone_at.is_some();
        let replaced = self.instances.iter().find(|(_, i)| gone(i)).map(|(id, _)| id.clone());
        if let Some(id) = replaced {
            self.instances.shift_remove(&id);
            self.instances_out.shift_remove(&id);
        }
    }

    pub(super) fn instance_gone(&mut self, cx: Cx, id: &InstanceId) -> Applied {
        self.mark_holder_gone(id);
        if let Some(instance) = self.instances.get_mut(id) {
            instance.gone_at.get_or_insert(cx.offset);
        }
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn move_start(
        &mut self,
        cx: Cx,
        id: &InstanceId,
        from: &PoolId,
        to: &PoolId,
    ) -> Applied {
        if !self.config.pools.contains_key(to) {
            return Err(not_found("pool", to));
        }
        let instance = self.instances.get(id).ok_or_else(|| not_found("instance", id))?;
        if instance.pool != *from || from == to || instance.moving.is_some() {
            return Err(RejectReason::WrongPool { instance: id.clone() });
        }
        if self.is_down(id, instance) {
            return Err(RejectReason::InstanceUnavailable { instance: id.clone() });
        }
        self.require_budget(instance)?;
        self.require_min_instances(from)?;
        self.instances[id].moving = Some((to.clone(), cx.offset));
        Ok(ApplyOutcome::Applied)
    }

    fn require_min_instances(&self, pool: &PoolId) -> Result<(), RejectReason> {
        let min = self.config.pools.get(pool).map_or(0, |p| p.min_instances);
        let size = self.instances.values().filter(|i| i.pool == *pool).count() as u32;
        let up = size - self.pool_down(pool);
        if up > min {
            return Ok(());
        }
        let allowed = size.saturating_sub(min);
        Err(RejectReason::BudgetExceeded {
            domain: format!("pool {pool}"),
            down: size - up,
            allowed,
        })
    }

    /// Whether every entry instance that may still send work has applied the entry at `offset`. An
    /// instance that is cut off from the log counts too, because it keeps serving by its old view.
    fn all_have_applied(&self, offset: Offset) -> bool {
        self.holders
            .values()
            .all(|h| h.seen > offset || h.gone || h.departing && h.grants.is_empty())
    }

    pub(super) fn move_end(
        &mut self,
        id: &InstanceId,
        started: Offset,
        completed: bool,
    ) -> Applied {
        let seen = !completed || self.all_have_applied(started);
        let instance = self.instances.get_mut(id).ok_or_else(|| not_found("instance", id))?;
        let Some((to, _)) = instance.moving.take_if(|(_, at)| *at == started && seen) else {
            return Err(match instance.moving {
                Some((_, at)) if at == started => {
                    RejectReason::MoveNotSeen { instance: id.clone() }
                }
                _ => RejectReason::NotInProgress { instance: id.clone() },
            });
        };
        if completed {
            instance.pool = to;
        }
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn drain_start(&mut self, cx: Cx, id: &InstanceId, reason: DrainReason) -> Applied {
        let instance = self.instances.get(id).ok_or_else(|| not_found("instance", id))?;
        if instance.draining.is_some() || instance.moving.is_some() {
            return Err(RejectReason::InstanceUnavailable { instance: id.clone() });
        }
        if self.is_down(id, instance) {
            self.require_planned_budget(instance)?;
        } else {
            self.require_budget(instance)?;
        }
        self.instances[id].draining = Some((reason, cx.offset));
        Ok(ApplyOutcome::Applied)
    }

    pub(super) fn drain_end(&mut self, id: &InstanceId, started: Offset) -> Applied {
        let instance = self.instances.get_mut(id).ok_or_else(|| not_found("instance", id))?;
        if instance.draining.take_if(|(_, at)| *at == started).is_none() {
            return Err(RejectReason::NotInProgress { instance: id.clone() });
        }
        Ok(ApplyOutcome::Applied)
    }

    /// Sets the time of the last maintenance. An earlier time is ignored, so that a delayed record
    /// does not make the next maintenance due too early.
    pub(super) fn maintained(&mut self, id: &InstanceId, at_s: u64) -> Applied {
        let instance = self.instances.get_mut(id).ok_or_else(|| not_found("instance", id))?;
        instance.maintained_at = instance.maintained_at.max(Some(at_s));
        Ok(ApplyOutcome::Applied)
    }
}
