//! When an instance may leave for maintenance, and how a zone leaves and returns.
//!
//! Drains keep within the availability budgets of the pool and the rack, and these count instances
//! that are down unplanned. Within a pool, drains gather in one zone, so that the loss of another
//! zone does not add to them.

use crate::fleet::*;
use crate::ids::*;
use crate::record::DrainReason;
use indexmap::IndexMap;
use std::collections::HashMap;
use std::time::Duration;

/// Time that jobs get to save their progress before they are stopped.
pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(5);
/// A restart that takes longer has failed.
pub const MAX_REBOOT: Duration = Duration::from_secs(600);
/// Time after a zone's return in which no drain starts.
pub const ZONE_RETURN_HOLD: Duration = Duration::from_secs(60);
/// Time after which a zone that came back takes its full load.
pub const ZONE_RETURN_RAMP: Duration = Duration::from_secs(10);
/// Part of its slots that an instance of a zone that came back takes at once.
const RETURN_START: f64 = 0.25;
/// Expected time of one drain and restart, for planning ahead.
const ONE_DRAIN: Duration = Duration::from_secs(120);

/// Part of its slots that an instance may use, by the time since its zone came back.
pub fn zone_return_fraction(age: Duration) -> f64 {
    let ramp = age.as_secs_f64() / ZONE_RETURN_RAMP.as_secs_f64();
    (RETURN_START + (1.0 - RETURN_START) * ramp).min(1.0)
}

/// Instances of one pool, sorted out by status.
struct PoolCount<'a> {
    size: u32,
    planned: u32,
    unplanned: u32,
    serving: Vec<&'a InstanceView>,
    serving_slots: u32,
    /// Zones with drains under way, and how many.
    draining: HashMap<&'a ZoneId, u32>,
}

/// Decides what happens next with drains, restarts and zones that leave.
pub fn plan(now: Time, view: &FleetView) -> Plan {
    let mut plan = Plan::default();
    let away = zone_away(now, view);
    for instance in &view.instances {
        advance(now, view, instance, away, &mut plan);
    }
    let mut racks = rack_counts(view);
    for (pool, count) in count_pools(view) {
        start_drains(now, view, pool, &count, away, &mut racks, &mut plan);
    }
    plan
}

/// Whether a zone is out or came back so recently that no drain may start.
fn zone_away(now: Time, view: &FleetView) -> bool {
    view.zones.iter().any(|zone| match zone.state {
        ZoneState::In => false,
        ZoneState::Out { .. } => true,
        ZoneState::Back { since } => now < since + ZONE_RETURN_HOLD,
    })
}

/// Next step of an instance that is on its way out or back.
fn advance(now: Time, view: &FleetView, instance: &InstanceView, away: bool, plan: &mut Plan) {
    if let ZoneState::Out { stop_by } = view.zone_state(&instance.zone) {
        leave_with_zone(now, instance, stop_by, plan);
        return;
    }
    let id = instance.id.clone();
    match instance.status {
        Status::Draining { reason: DrainReason::Maintenance, since } => {
            if away {
                // The others need the capacity now; the maintenance starts again later.
                plan.add_action(
                    Action::DrainEnd { instance: id, done: false },
                    ActionReason::ZoneOut,
                );
            } else if instance.running == 0 {
                plan.add_action(Action::Reboot { instance: id }, ActionReason::Empty);
            } else {
                let timeout = drain_timeout(view, instance);
                let stop_at = since + timeout + CHECKPOINT_TIMEOUT;
                save_and_stop(
                    now,
                    instance,
                    since + timeout,
                    stop_at,
                    ActionReason::DrainTimeout,
                    plan,
                );
            }
        }
        Status::Rebooting { since } if now >= since + MAX_REBOOT => {
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

/// Checkpoint first, stop only at `stop_at` and after the time to save.
fn save_and_stop(
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
        Some(saved) if now >= stop_at.max(saved + CHECKPOINT_TIMEOUT) => {
            plan.add_action(Action::Stop { instance: id }, reason);
        }
        _ => {}
    }
}

/// Jobs in a zone that leaves save at once and are stopped before the time is up. No drain is
/// recorded: a zone that is out gets no new work anyway, and it does not ask the budgets.
fn leave_with_zone(now: Time, instance: &InstanceView, stop_by: Time, plan: &mut Plan) {
    let down = matches!(instance.status, Status::Down { .. } | Status::Rebooting { .. });
    if instance.running == 0 || down {
        return;
    }
    let id = instance.id.clone();
    match instance.checkpointed {
        None => plan.add_action(Action::Checkpoint { instance: id }, ActionReason::ZoneOut),
        // At short notice the time to save is cut to what is left.
        Some(saved) if now >= stop_by.min(saved + CHECKPOINT_TIMEOUT) => {
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

/// Instances of each rack that are down for any reason.
fn rack_counts(view: &FleetView) -> HashMap<RackId, u32> {
    let mut racks: HashMap<RackId, u32> = HashMap::new();
    for instance in view.instances.iter().filter(|i| i.status != Status::Serving) {
        *racks.entry(instance.rack.clone()).or_default() += 1;
    }
    racks
}

/// Starts as many drains in a pool as its budgets allow, or notes why there are none.
fn start_drains(
    now: Time,
    view: &FleetView,
    pool: &PoolId,
    count: &PoolCount<'_>,
    away: bool,
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
    if let Some(reason) = blocked(count, allowed, away) {
        plan.add_wait(pool, reason);
        return;
    }
    let zone = drain_zone(count, &due);
    due.sort_by_key(|i| {
        (i.planned_jobs > 0, Some(&i.zone) != zone.as_ref(), i.running, i.maintenance_due)
    });
    let room = allowed - count.planned - count.unplanned;
    let mut slots = count.serving_slots;
    let mut started = 0;
    let mut held_by_load = false;
    for instance in due {
        if started == room {
            break;
        }
        let late = now + lead / 4 >= instance.maintenance_due;
        if !late && slots < rules.required_slots + instance.slots {
            held_by_load = true;
            continue;
        }
        let rack = racks.entry(instance.rack.clone()).or_default();
        if *rack >= rules.unavailable_per_rack {
            continue;
        }
        *rack += 1;
        slots -= instance.slots;
        started += 1;
        let reason = DrainReason::Maintenance;
        plan.add_action(
            Action::DrainStart { instance: instance.id.clone(), reason },
            ActionReason::Due,
        );
    }
    if started == 0 {
        let reason =
            if held_by_load { WaitReason::LoadNeedsAll } else { WaitReason::RackBudgetUsed };
        plan.add_wait(pool, reason);
    }
}

fn blocked(count: &PoolCount<'_>, allowed: u32, away: bool) -> Option<WaitReason> {
    let (planned, unplanned) = (count.planned, count.unplanned);
    if away {
        Some(WaitReason::ZoneAway)
    } else if allowed == 0 {
        Some(WaitReason::PoolTooSmall { size: count.size })
    } else if planned + unplanned >= allowed {
        Some(WaitReason::BudgetUsed { planned, unplanned, allowed })
    } else {
        None
    }
}

/// How long before its due time the maintenance of a pool begins: a quarter of the interval, and at
/// least twice what all its instances take one after the other within the budget.
fn lead_time(rules: &PoolView, size: u32, allowed: u32) -> Duration {
    let all = ONE_DRAIN * size / allowed.max(1) * 2;
    (rules.maintenance_interval / 4).max(all).min(rules.maintenance_interval)
}

/// Zone in which the pool drains now, or else the one with the most instances due.
fn drain_zone(count: &PoolCount<'_>, due: &[&InstanceView]) -> Option<ZoneId> {
    let busy = count.draining.iter().max_by_key(|(zone, drains)| (**drains, zone.len(), **zone));
    if let Some((zone, _)) = busy.filter(|(zone, _)| due.iter().any(|i| i.zone == ***zone)) {
        return Some((*zone).clone());
    }
    let mut zones: IndexMap<&ZoneId, u32> = IndexMap::new();
    for instance in due {
        *zones.entry(&instance.zone).or_default() += 1;
    }
    let most = zones.into_iter().max_by(|a, b| (a.1, b.0).cmp(&(b.1, a.0)));
    most.map(|(zone, _)| zone.clone())
}
