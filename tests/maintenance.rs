//! Tests of drains under availability budgets. Guard against too many instances down at the same
//! time, work stopped without a checkpoint, and maintenance that never happens.

use jacinthhook::fleet::*;
use jacinthhook::ids::Time;
use jacinthhook::maintenance::{ZONE_RETURN_HOLD, plan};
use jacinthhook::record::DrainReason;
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::time::Duration;

const SEC: Duration = Duration::from_secs(1);

fn instance(pool: u32, n: u32, zones: u32) -> InstanceView {
    let zone = n % zones;
    InstanceView {
        id: format!("p{pool}-i{n}").into(),
        pool: format!("p{pool}").into(),
        home_pool: format!("p{pool}").into(),
        zone: format!("z{zone}").into(),
        rack: format!("z{zone}-r{}", n / zones / 4).into(),
        status: Status::Serving,
        slots: 8,
        running: 0,
        planned_jobs: 0,
        checkpointed: None,
        maintenance_due: Time::ZERO,
    }
}

fn view(pools: u32, size: u32, percent: u32, per_rack: u32) -> FleetView {
    let rules = PoolView {
        spare: false,
        min_instances: 1,
        unavailable_percent: percent,
        unavailable_per_rack: per_rack,
        drain_timeout: 10 * SEC,
        maintenance_interval: 10_000 * SEC,
        required_slots: 0,
    };
    FleetView {
        instances: (0..pools).flat_map(|p| (0..size).map(move |n| instance(p, n, 3))).collect(),
        pools: (0..pools).map(|p| (format!("p{p}").into(), rules.clone())).collect(),
        zones: Vec::new(),
    }
}

fn apply(view: &mut FleetView, now: Time, action: &Action) {
    let (Action::DrainStart { instance, .. }
    | Action::Checkpoint { instance }
    | Action::Stop { instance }
    | Action::Reboot { instance }
    | Action::DrainEnd { instance, .. }
    | Action::MoveStart { instance, .. }) = action;
    let found = view.instances.iter_mut().find(|i| i.id == *instance).expect("listed");
    match action {
        Action::DrainStart { reason, .. } => {
            found.status = Status::Draining { reason: *reason, since: now };
        }
        Action::Checkpoint { .. } => found.checkpointed = Some(now),
        Action::Stop { .. } => {
            assert!(found.checkpointed.is_some(), "{instance} was stopped without a checkpoint");
            found.running = 0;
        }
        Action::Reboot { .. } => found.status = Status::Rebooting { since: now },
        Action::DrainEnd { done, .. } => {
            found.maintenance_due = if *done { now + 10_000 * SEC } else { found.maintenance_due };
            found.status = Status::Serving;
        }
        Action::MoveStart { .. } => panic!("the maintenance planner must not start moves"),
    }
    if found.running == 0 {
        found.checkpointed = None;
    }
}

/// Returns a description of a pool or rack in which the decisions exceeded the budget, if there is
/// one.
fn budget_violation(
    before: &FleetView,
    after: &FleetView,
    percent: u32,
    per_rack: u32,
) -> Option<String> {
    let count = |view: &FleetView, key: &dyn Fn(&InstanceView) -> String| {
        let mut down: BTreeMap<String, u32> = BTreeMap::new();
        for i in view.instances.iter().filter(|i| i.status != Status::Serving) {
            *down.entry(key(i)).or_default() += 1;
        }
        down
    };
    let check = |key: &dyn Fn(&InstanceView) -> String, limit: &dyn Fn(&str) -> u32| {
        let old = count(before, key);
        let new = count(after, key);
        // Faults alone may exceed a budget. Decisions must then not take more instances down.
        new.into_iter()
            .find(|(name, down)| *down > limit(name).max(old.get(name).copied().unwrap_or(0)))
    };
    let sizes = |name: &str| {
        let size = after.instances.iter().filter(|i| &*i.pool == name).count() as u32;
        max_unavailable(size, percent)
    };
    check(&|i| i.pool.to_string(), &sizes)
        .or_else(|| check(&|i| i.rack.to_string(), &|_| per_rack))
        .map(|(name, down)| format!("{name} has {down} instances down"))
}

quickcheck! {
    /// For any sequence of faults, repairs, work and restarts, decisions stay within the budgets.
    fn plan_budgets_hold(steps: Vec<(u8, u8)>, percent: u8, racks: u8) -> Result<bool, String> {
        let (percent, per_rack) = (u32::from(percent % 40), u32::from(racks % 3));
        let mut fleet = view(2, 12, percent, per_rack);
        for (step, (kind, arg)) in steps.into_iter().enumerate() {
            let now = SEC * (step as u32 * 3);
            let at = usize::from(arg) % fleet.instances.len();
            let victim = &mut fleet.instances[at];
            match (kind % 5, victim.status) {
                (0, _) => victim.status = Status::Down { since: now },
                (1, Status::Down { .. }) => victim.status = Status::Serving,
                (2, Status::Rebooting { .. }) => victim.status = Status::Rebooted,
                (3, Status::Serving) => victim.running = u32::from(arg % 4),
                _ => victim.running = 0,
            }
            let before = fleet.clone();
            for decision in plan(now, &before).decisions {
                apply(&mut fleet, now, &decision.action);
            }
            if let Some(violation) = budget_violation(&before, &fleet, percent, per_rack) {
                return Err(violation);
            }
        }
        Ok(true)
    }
}

#[test]
fn plan_every_instance_maintained() {
    // All instances of a pool must be maintained within the interval, even if all of them run work.
    let mut fleet = view(1, 10, 10, 1);
    let mut done = 0;
    for step in 0..1_000 {
        let now = SEC * step;
        for i in &mut fleet.instances {
            if let Status::Rebooting { since } = i.status
                && now >= since + 30 * SEC
            {
                i.status = Status::Rebooted;
            }
            if i.status == Status::Serving {
                i.running = 3;
            }
        }
        for decision in plan(now, &fleet.clone()).decisions {
            done += u32::from(matches!(decision.action, Action::DrainEnd { done: true, .. }));
            apply(&mut fleet, now, &decision.action);
        }
    }
    assert_eq!(done, 10);
}

#[test]
fn plan_budget_used_by_faults() {
    // When faults use up the budget, maintenance must wait and report the reason.
    let mut fleet = view(1, 10, 10, 1);
    fleet.instances[4].status = Status::Down { since: Time::ZERO };
    let plan = plan(SEC, &fleet);
    assert!(plan.decisions.is_empty());
    let reason = WaitReason::BudgetUsed { planned: 0, unplanned: 1, allowed: 1 };
    assert_eq!(plan.waits, vec![Wait { pool: "p0".into(), reason }]);
}

#[test]
fn plan_instances_with_planned_jobs_last() {
    let mut fleet = view(1, 20, 10, 9);
    for i in &mut fleet.instances {
        (i.running, i.planned_jobs) = (1, 1);
    }
    for idle in [3, 7] {
        (fleet.instances[idle].running, fleet.instances[idle].planned_jobs) = (5, 0);
    }
    let started: Vec<_> = plan(SEC, &fleet)
        .decisions
        .into_iter()
        .filter_map(|d| match d.action {
            Action::DrainStart { instance, .. } => Some(instance.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(started.len(), 2);
    assert!(started.contains(&"p0-i3".to_string()) && started.contains(&"p0-i7".to_string()));
}

#[test]
fn plan_zone_out_at_short_notice() {
    // Jobs in the zone must save a checkpoint before they are stopped, and must be stopped before
    // the time limit. Drains in other zones must end.
    let mut fleet = view(1, 9, 50, 9);
    let reason = DrainReason::Maintenance;
    fleet.instances[1].status = Status::Draining { reason, since: Time::ZERO };
    for i in &mut fleet.instances {
        i.running = 2;
    }
    fleet.zones = vec![ZoneView { id: "z0".into(), state: ZoneState::Out { stop_by: 8 * SEC } }];
    let mut first = plan(SEC, &fleet).decisions;
    assert!(
        first
            .iter()
            .any(|d| d.action == Action::DrainEnd { instance: "p0-i1".into(), done: false })
    );
    first.retain(|d| !matches!(d.action, Action::DrainEnd { .. }));
    assert_eq!(first.len(), 3, "a checkpoint for each of the three instances of the zone");
    for decision in &first {
        apply(&mut fleet, SEC, &decision.action);
    }
    let stops = |now| {
        let plan = plan(now, &fleet);
        plan.decisions.iter().filter(|d| matches!(d.action, Action::Stop { .. })).count()
    };
    assert_eq!((stops(2 * SEC), stops(6 * SEC)), (0, 3));
}

#[test]
fn plan_zone_returned() {
    // No drain may reduce the capacity while a zone returns.
    let mut fleet = view(1, 9, 50, 9);
    fleet.zones = vec![ZoneView { id: "z0".into(), state: ZoneState::Back { since: SEC } }];
    assert_eq!(plan(2 * SEC, &fleet).waits[0].reason, WaitReason::ZoneAway);
    assert!(!plan(SEC + ZONE_RETURN_HOLD, &fleet).decisions.is_empty());
}
