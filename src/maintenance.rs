//! Plans drains and restarts for maintenance, and the evacuation and return of availability zones.
//!
//! Drains respect the availability budgets of pools and racks, which also count instances that are
//! down unplanned. Within a pool, drains are concentrated in one zone, so that the other zones keep
//! all their instances and the loss of one of them does not coincide with drains there.

use crate::fleet::*;
use crate::ids::*;
use crate::record::DrainReason;
use indexmap::IndexMap;
use std::collections::HashMap;
use std::time::Duration;

/// Time that jobs get to save a checkpoint before they are stopped.
pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a restart counts as failed.
pub const REBOOT_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after the return of a zone during which no drain starts.
pub const ZONE_RETURN_HOLD: Duration = Duration::from_secs(60);
/// Time over which the usable slots of a returned zone are raised to all of them.
pub const ZONE_RETURN_RAMP: Duration = Duration::from_secs(10);
/// Fraction of its slots that an instance may use immediately after its zone returned.
const ZONE_RETURN_START_FRACTION: f64 = 0.25;
/// Expected duration of one drain and restart, used to calculate how early maintenance must start.
const EXPECTED_DRAIN_TIME: Duration = Duration::from_secs(120);

/// Returns the fraction of its slots that an instance may use, given the time since its zone
/// returned.
pub fn zone_return_fraction(age: Duration) -> f64 {
    let ramp = age.as_secs_f64() / ZONE_RETURN_RAMP.as_secs_f64();
    (ZONE_RETURN_START_FRACTION + (1.0 - ZONE_RETURN_START_FRACTION) * ramp).min(1.0)
}

/// Instances of one pool, counted by status.
struct PoolCount<'a> {
    size: u32,
    planned: u32,
    unplanned: u32,
    serving: Vec<&'a InstanceView>,
    serving_slots: u32,
    /// Number of planned unavailable instances by zone.
    draining: HashMap<&'a ZoneId, u32>,
}

/// Plans the next steps of drains, restarts and zone evacuations.
pub fn plan(now: Time, view: &FleetView) -> Plan {
    let mut plan = Plan::default();
    let zone_away = is_any_zone_away(now, view);
    for instance in &view.instances {
        plan_next_step(now, view, instance, zone_away, &mut plan);
    }
    let mut racks = rack_counts(view);
    for (pool, count) in count_pools(view) {
        start_drains(now, view, pool, &count, zone_away, &mut racks, &mut plan);
    }
    plan
}

/// Whether any zone is out of service, or returned so recently that no drain may start.
fn is_any_zone_away(now: Time, view: &FleetView) -> bool {
    view.zones.iter().any(|zone| match zone.state {
        ZoneState::In => false,
        ZoneState::Out { .. } => true,
        ZoneState::Back { since } => now < since + ZONE_RETURN_HOLD,
    })
}

/// Plans the next step for an instance that drains, restarts, or is in a zone out of service.
fn plan_next_step(
    now: Time,
    view: &FleetView,
    instance: &InstanceView,
    zone_away: bool,
    plan: &mut Plan,
) {
    if let ZoneState::Out { stop_by } = view.zone_state(&instance.zone) {
        vacate_zone(now, instance, stop_by, plan);
        return;
    }
    let id = instance.id.clone();
    match instance.status {
        Status::Draining { reason: DrainReason::Maintenance, since } => {
            if zone_away {
                // The capacity is needed while a zone is away; maintenance starts again later.
                plan.add_action(
                    Action::DrainEnd { instance: id, done: false },
                    ActionReason::ZoneOut,
                );
            } else if instance.running == 0 {
                plan.add_action(Action::Reboot { instance: id }, ActionReason::Empty);
            } else {
                let timeout = drain_timeout(view, instance);
                let stop_at = since + timeout + CHECKPOINT_TIMEOUT;
                checkpoint_then_stop(
                    now,
                    instance,
                    since + timeout,
                    stop_at,
                    ActionReason::DrainTimeout,
                    plan,
                );
            }
        }
        Status::Rebooting { since } if now >= since + REBOOT_TIMEOUT => {
            plan.add_action(
                Action::DrainEnd { instance: id, done: false },
                ActionReason::RestartFailed,
            );
        }
        Status::Rebooted => {
            plan.add_action(Action::DrainEnd { instance: id, done: true }, ActionReason::Restarted)
        }
        _ => {}
    }
}

fn drain_timeout(view: &FleetView, instance: &InstanceView) -> Duration {
    view.pools.get(&instance.pool).map_or(Duration::ZERO, |pool| pool.drain_timeout)
}

/// Requests a checkpoint at `checkpoint_at`, and the stop of the remaining work at `stop_at`, but
/// not before `CHECKPOINT_TIMEOUT` has passed since the checkpoint request.
fn checkpoint_then_stop(
    now: Time,
    instance: &InstanceView,
    checkpoint_at: Time,
    stop_at: Time,
    reason: ActionReason,
    plan: &mut Plan,
) {
    let id = instance.id.clone();
    match instance.checkpointed {
        None if now >= checkpoint_at => {
            plan.add_action(Action::Checkpoint { instance: id }, reason)
        }
        Some(checkpointed_at) if now >= stop_at.max(checkpointed_at + CHECKPOINT_TIMEOUT) => {
            plan.add_action(Action::Stop { instance: id }, reason);
        }
        _ => {}
    }
}

/// Evacuates an instance in a zone that is out of service: its jobs are asked for a checkpoint
/// immediately and are stopped by `stop_by`. No drain is recorded, because a zone that is out of
/// service gets no new work and its evacuation is not subject to the availability budgets.
fn vacate_zone(now: Time, instance: &InstanceView, stop_by: Time, plan: &mut Plan) {
    let down = matches!(instance.status, Status::Down { .. } | Status::Rebooting { .. });
    if instance.running == 0 || down {
        return;
    }
    let id = instance.id.clone();
    match instance.checkpointed {
        None => plan.add_action(Action::Checkpoint { instance: id }, ActionReason::ZoneOut),
        // At short notice, the time to save a checkpoint is cut to the time until `stop_by`.
        Some(checkpointed_at) if now >= stop_by.min(checkpointed_at + CHECKPOINT_TIMEOUT) => {
            plan.add_action(Action::Stop { instance: id }, ActionReason::ZoneOut);
        }
        Some(_) => {}
    }
}

fn count_pools(view: &FleetView) -> IndexMap<&PoolId, PoolCount<'_>> {
    let mut counts: IndexMap<&PoolId, PoolCount> = IndexMap::new();
    for instance in &view.instances {
        let count = counts.entry(&instance.pool).or_insert_with(|| PoolCount {
            size: 0,
            planned: 0,
            unplanned: 0,
            serving: Vec::new(),
            serving_slots: 0,
            draining: HashMap::new(),
        });
        count.size += 1;
        if instance.status == Status::Serving {
            count.serving.push(instance);
            count.serving_slots += instance.slots;
        } else if instance.status.is_planned() {
            count.planned += 1;
            *count.draining.entry(&instance.zone).or_default() += 1;
        } else {
            count.unplanned += 1;
        }
    }
    counts
}

/// Counts the instances of each rack that are not serving, for any reason.
fn rack_counts(view: &FleetView) -> HashMap<RackId, u32> {
    let mut racks: HashMap<RackId, u32> = HashMap::new();
    for instance in view.instances.iter().filter(|i| i.status != Status::Serving) {
        *racks.entry(instance.rack.clone()).or_default() += 1;
    }
    racks
}

/// Starts as many drains in a pool as its budgets allow, or records the reason why none starts.
fn start_drains(
    now: Time,
    view: &FleetView,
    pool: &PoolId,
    count: &PoolCount<'_>,
    zone_away: bool,
    racks: &mut HashMap<RackId, u32>,
    plan: &mut Plan,
) {
    let Some(rules) = view.pools.get(pool) else { return };
    let allowed = max_unavailable(count.size, rules.unavailable_percent);
    let lead = lead_time(rules, count.size, allowed);
    let mut due: Vec<&InstanceView> =
        count.serving.iter().copied().filter(|i| now + lead >= i.maintenance_due).collect();
    if due.is_empty() {
        return;
    }
    if let Some(reason) = blocking_reason(count, allowed, zone_away) {
        plan.add_wait(pool, reason);
        return;
    }
    let zone = preferred_zone(count, &due);
    due.sort_by_key(|i| {
        (i.planned_jobs > 0, Some(&i.zone) != zone.as_ref(), i.running, i.maintenance_due)
    });
    let max_starts = allowed - count.planned - count.unplanned;
    let mut remaining_slots = count.serving_slots;
    let mut started = 0;
    let mut blocked_by_load = false;
    for instance in due {
        if started == max_starts {
            break;
        }
        let is_late = now + lead / 4 >= instance.maintenance_due;
        if !is_late && remaining_slots < rules.required_slots + instance.slots {
            blocked_by_load = true;
            continue;
        }
        let rack = racks.entry(instance.rack.clone()).or_default();
        if *rack >= rules.unavailable_per_rack {
            continue;
        }
        *rack += 1;
        remaining_slots -= instance.slots;
        started += 1;
        let reason = DrainReason::Maintenance;
        plan.add_action(
            Action::DrainStart { instance: instance.id.clone(), reason },
            ActionReason::Due,
        );
    }
    if started == 0 {
        let reason =
            if blocked_by_load { WaitReason::LoadNeedsAll } else { WaitReason::RackBudgetUsed };
        plan.add_wait(pool, reason);
    }
}

fn blocking_reason(count: &PoolCount<'_>, allowed: u32, zone_away: bool) -> Option<WaitReason> {
    let (planned, unplanned) = (count.planned, count.unplanned);
    if zone_away {
        Some(WaitReason::ZoneAway)
    } else if allowed == 0 {
        Some(WaitReason::PoolTooSmall { size: count.size })
    } else if planned + unplanned >= allowed {
        Some(WaitReason::BudgetUsed { planned, unplanned, allowed })
    } else {
        None
    }
}

/// Returns how long before the due time maintenance in a pool may start: a quarter of the interval,
/// or twice the time to maintain all instances within the budget if that is longer, but at most the
/// interval.
fn lead_time(rules: &PoolView, size: u32, allowed: u32) -> Duration {
    let all = EXPECTED_DRAIN_TIME * size / allowed.max(1) * 2;
    (rules.maintenance_interval / 4).max(all).min(rules.maintenance_interval)
}

/// Returns the zone with the most drains in progress if it has instances due, else the zone with
/// the most instances due.
fn preferred_zone(count: &PoolCount<'_>, due: &[&InstanceView]) -> Option<ZoneId> {
    let most_draining =
        count.draining.iter().max_by_key(|(zone, drains)| (**drains, zone.len(), **zone));
    if let Some((zone, _)) = most_draining.filter(|(zone, _)| due.iter().any(|i| i.zone == ***zone))
    {
        return Some((*zone).clone());
    }
    let mut zones: IndexMap<&ZoneId, u32> = IndexMap::new();
    for instance in due {
        *zones.entry(&instance.zone).or_default() += 1;
    }
    let most_due = zones.into_iter().max_by(|a, b| (a.1, b.0).cmp(&(b.1, a.0)));
    most_due.map(|(zone, _)| zone.clone())
}
