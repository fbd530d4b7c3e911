//! Plans moves of instances between pools: spare pools lend instances to pools that are short.
//!
//! A lent instance stays in its pool until another pool needs it; it is not returned for its own
//! sake, because that would move it twice for each burst. Only instances whose home is a spare pool
//! are moved, because others may be of a different type. A pool that received an instance gives
//! none away for `MOVE_COOLDOWN`, which keeps instances from moving back and forth.

use crate::fleet::*;
use crate::ids::*;
use indexmap::IndexMap;
use std::time::Duration;

/// Time for which a pool must be short before an instance is moved to it.
pub const MIN_SHORTAGE_DURATION: Duration = Duration::from_millis(500);
/// Time for which a pool that received an instance gives none away. Does not apply to spare pools.
pub const MOVE_COOLDOWN: Duration = Duration::from_secs(5);
/// Maximum number of concurrent moves to one pool. Keeps an overestimated need from draining the
/// other pools.
const MAX_INCOMING_MOVES: u32 = 8;

/// Plans moves between pools and keeps the history that this needs between calls.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    history: IndexMap<PoolId, PoolHistory>,
}

/// Past events of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolHistory {
    short_since: Option<Time>,
    last_received: Option<Time>,
}

/// Capacity of a pool, including instances that are moving to it.
#[derive(Clone, Debug, Default)]
struct PoolCapacity {
    serving: u32,
    slots: u32,
    /// Number of instances that are moving to the pool.
    incoming: u32,
}

impl MovePlanner {
    /// Creates a planner without history.
    pub fn new() -> MovePlanner {
        MovePlanner::default()
    }

    /// Decides which instances to move. `incoming` contains the target pool of each instance that
    /// is already moving.
    pub fn plan(
        &mut self,
        now: Time,
        view: &FleetView,
        incoming: &IndexMap<InstanceId, PoolId>,
    ) -> Plan {
        let mut plan = Plan::default();
        let mut capacities = capacities(view, incoming);
        let lendable: Vec<&InstanceView> =
            view.instances.iter().filter(|instance| is_lendable(view, instance)).collect();
        let step = max_lendable_slots(view);
        let mut chosen: Vec<InstanceId> = Vec::new();
        for (pool, missing) in self.short_pools(now, view, &capacities) {
            let mut left = missing;
            // Rounds to the nearest whole instance: rounding up moved one too many in half of the
            // bursts.
            while left * 2 > step && capacities[&pool].incoming < MAX_INCOMING_MOVES {
                let Some(donor) =
                    self.choose_donor(now, view, &lendable, &capacities, &pool, &chosen)
                else {
                    plan.add_wait(&pool, WaitReason::NothingToLend { short: left });
                    break;
                };
                left = left.saturating_sub(donor.slots);
                chosen.push(donor.id.clone());
                self.record_move(now, donor, &pool, &mut capacities);
                let (instance, from) = (donor.id.clone(), donor.pool.clone());
                let action = Action::MoveStart { instance, from, to: pool.clone() };
                plan.add_action(action, ActionReason::PoolShort);
            }
        }
        self.add_brief_shortage_waits(now, &mut plan);
        plan
    }

    /// Returns the pools that have been short for `MIN_SHORTAGE_DURATION` and the number of missing
    /// slots, ordered by the missing fraction of the required slots, largest first.
    fn short_pools(
        &mut self,
        now: Time,
        view: &FleetView,
        capacities: &IndexMap<PoolId, PoolCapacity>,
    ) -> Vec<(PoolId, u32)> {
        let mut short = Vec::new();
        // A shortage of up to three quarters of an instance is within the normal variation of the
        // load.
        let tolerance = max_lendable_slots(view) * 3 / 4;
        for (pool, rules) in &view.pools {
            let history = self.history.entry(pool.clone()).or_default();
            let capacity = &capacities[pool];
            let missing = rules.required_slots.saturating_sub(capacity.slots);
            if missing <= tolerance || rules.spare {
                history.short_since = None;
                continue;
            }
            let since = *history.short_since.get_or_insert(now);
            if now >= since + MIN_SHORTAGE_DURATION {
                short.push((missing * 1_000 / rules.required_slots.max(1), pool.clone(), missing));
            }
        }
        short.sort_by_key(|(permille, _, _)| std::cmp::Reverse(*permille));
        short.into_iter().map(|(_, pool, missing)| (pool, missing)).collect()
    }

    /// Returns the instance that is cheapest to move: with the fewest planned jobs, then in a spare
    /// pool, then with the least running work.
    fn choose_donor<'a>(
        &self,
        now: Time,
        view: &'a FleetView,
        lendable: &[&'a InstanceView],
        capacities: &IndexMap<PoolId, PoolCapacity>,
        to: &PoolId,
        chosen: &[InstanceId],
    ) -> Option<&'a InstanceView> {
        let is_donor = |instance: &&InstanceView| {
            instance.pool != *to
                && !chosen.contains(&instance.id)
                && self.can_give(now, view, capacities, instance)
        };
        let cost = |instance: &&InstanceView| {
            let spare = view.pools.get(&instance.pool).is_some_and(|pool| pool.spare);
            (instance.planned_jobs, !spare, instance.running, instance.id.clone())
        };
        lendable.iter().copied().filter(is_donor).min_by_key(cost)
    }

    fn can_give(
        &self,
        now: Time,
        view: &FleetView,
        capacities: &IndexMap<PoolId, PoolCapacity>,
        instance: &InstanceView,
    ) -> bool {
        let Some(rules) = view.pools.get(&instance.pool) else { return false };
        let capacity = &capacities[&instance.pool];
        let last_received =
            self.history.get(&instance.pool).and_then(|history| history.last_received);
        let in_cooldown = !rules.spare
            && last_received.is_some_and(|last_received| now < last_received + MOVE_COOLDOWN);
        let need = if rules.spare { 0 } else { rules.required_slots };
        !in_cooldown
            && capacity.serving > rules.min_instances
            && capacity.slots >= need + instance.slots
    }

    fn record_move(
        &mut self,
        now: Time,
        donor: &InstanceView,
        to: &PoolId,
        capacities: &mut IndexMap<PoolId, PoolCapacity>,
    ) {
        self.history.entry(to.clone()).or_default().last_received = Some(now);
        if let Some(from) = capacities.get_mut(&donor.pool) {
            from.serving -= 1;
            from.slots -= donor.slots;
        }
        if let Some(to) = capacities.get_mut(to) {
            to.slots += donor.slots;
            to.incoming += 1;
        }
    }

    fn add_brief_shortage_waits(&self, now: Time, plan: &mut Plan) {
        for (pool, history) in &self.history {
            if history.short_since.is_some_and(|since| now < since + MIN_SHORTAGE_DURATION) {
                plan.add_wait(pool, WaitReason::ShortTooBriefly);
            }
        }
    }
}

/// Whether an instance is serving, its zone is in service, and its home is a spare pool.
fn is_lendable(view: &FleetView, instance: &InstanceView) -> bool {
    instance.status == Status::Serving
        && view.pools.get(&instance.home_pool).is_some_and(|home| home.spare)
        && view.zone_state(&instance.zone) == ZoneState::In
}

/// Returns the slots of the largest instance whose home is a spare pool.
fn max_lendable_slots(view: &FleetView) -> u32 {
    let lendable = |i: &&InstanceView| view.pools.get(&i.home_pool).is_some_and(|home| home.spare);
    view.instances.iter().filter(lendable).map(|i| i.slots).max().unwrap_or(0)
}

fn capacities(
    view: &FleetView,
    incoming: &IndexMap<InstanceId, PoolId>,
) -> IndexMap<PoolId, PoolCapacity> {
    let mut capacities: IndexMap<PoolId, PoolCapacity> =
        view.pools.keys().map(|pool| (pool.clone(), PoolCapacity::default())).collect();
    for instance in &view.instances {
        if instance.status == Status::Serving {
            let capacity = capacities.entry(instance.pool.clone()).or_default();
            capacity.serving += 1;
            capacity.slots += instance.slots;
        }
        if let Some(to) = incoming.get(&instance.id) {
            let capacity = capacities.entry(to.clone()).or_default();
            capacity.slots += instance.slots;
            capacity.incoming += 1;
        }
    }
    capacities
}
