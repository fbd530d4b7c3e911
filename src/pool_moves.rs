//! Which instances move between pools: the spare pool lends, and gets back only what another pool
//! or its own minimum needs.
//!
//! A lent instance stays where it is until it is needed elsewhere. Returning it at once would move
//! it twice for each burst. Only instances whose home is a spare pool move: others may be of another
//! kind. A pool that gave an instance away, or got one, keeps the rest for
//! `HOLD`, which rules out moves to and fro.

use crate::fleet::*;
use crate::ids::*;
use indexmap::IndexMap;
use std::time::Duration;

/// A pool has to be short for this long before an instance moves to it.
pub const SHORT_FOR: Duration = Duration::from_millis(500);
/// Time for which a pool that received an instance gives none away.
pub const HOLD: Duration = Duration::from_secs(5);
/// Most moves under way to one pool at once, so that an overestimated need does not empty others.
const MAX_INCOMING: u32 = 8;

/// What the planner remembers between calls.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    memory: IndexMap<PoolId, Memory>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    short_since: Option<Time>,
    received: Option<Time>,
}

/// Slots that a pool has, and could give.
#[derive(Clone, Debug, Default)]
struct Standing {
    serving: u32,
    slots: u32,
    /// Slots on their way to the pool.
    incoming: u32,
}

impl MovePlanner {
    /// Remembers nothing.
    pub fn new() -> MovePlanner {
        MovePlanner::default()
    }

    /// Decides which instances move. `incoming` gives the target of each move under way.
    pub fn plan(
        &mut self,
        now: Time,
        view: &FleetView,
        incoming: &IndexMap<InstanceId, PoolId>,
    ) -> Plan {
        let mut plan = Plan::default();
        let mut standings = standings(view, incoming);
        let lendable: Vec<&InstanceView> =
            view.instances.iter().filter(|instance| is_lendable(view, instance)).collect();
        let step = instance_slots(view);
        let mut taken: Vec<InstanceId> = Vec::new();
        for (pool, missing) in self.short_pools(now, view, &standings) {
            let mut left = missing;
            // Rounded to whole instances: rounding up moved one too many for half of the bursts.
            while left * 2 > step && standings[&pool].incoming < MAX_INCOMING {
                let Some(donor) = self.choose(now, view, &lendable, &standings, &pool, &taken)
                else {
                    plan.add_wait(&pool, WaitReason::NothingToLend { short: left });
                    break;
                };
                left = left.saturating_sub(donor.slots);
                taken.push(donor.id.clone());
                self.note(now, donor, &pool, &mut standings);
                let (instance, from) = (donor.id.clone(), donor.pool.clone());
                let action = Action::MoveStart { instance, from, to: pool.clone() };
                plan.add_action(action, ActionReason::PoolShort);
            }
        }
        self.note_brief(now, &mut plan);
        plan
    }

    /// Pools that have been short for long enough, with the slots that they miss; the shortest
    /// relative to its need first.
    fn short_pools(
        &mut self,
        now: Time,
        view: &FleetView,
        standings: &IndexMap<PoolId, Standing>,
    ) -> Vec<(PoolId, u32)> {
        let mut short = Vec::new();
        // Less than three quarters of an instance is within the scatter of a load.
        let scatter = instance_slots(view) * 3 / 4;
        for (pool, rules) in &view.pools {
            let memory = self.memory.entry(pool.clone()).or_default();
            let standing = &standings[pool];
            let missing = rules.required_slots.saturating_sub(standing.slots);
            if missing <= scatter || rules.spare {
                memory.short_since = None;
                continue;
            }
            let since = *memory.short_since.get_or_insert(now);
            if now >= since + SHORT_FOR {
                short.push((missing * 1_000 / rules.required_slots.max(1), pool.clone(), missing));
            }
        }
        short.sort_by_key(|(part, _, _)| std::cmp::Reverse(*part));
        short.into_iter().map(|(_, pool, missing)| (pool, missing)).collect()
    }

    /// The instance whose move costs least: of a spare pool, without planned work, idle.
    fn choose<'a>(
        &self,
        now: Time,
        view: &'a FleetView,
        lendable: &[&'a InstanceView],
        standings: &IndexMap<PoolId, Standing>,
        to: &PoolId,
        taken: &[InstanceId],
    ) -> Option<&'a InstanceView> {
        let gives = |instance: &&InstanceView| {
            instance.pool != *to
                && !taken.contains(&instance.id)
                && self.can_give(now, view, standings, instance)
        };
        let cost = |instance: &&InstanceView| {
            let spare = view.pools.get(&instance.pool).is_some_and(|pool| pool.spare);
            (instance.planned_jobs, !spare, instance.running, instance.id.clone())
        };
        lendable.iter().copied().filter(gives).min_by_key(cost)
    }

    fn can_give(
        &self,
        now: Time,
        view: &FleetView,
        standings: &IndexMap<PoolId, Standing>,
        instance: &InstanceView,
    ) -> bool {
        let Some(rules) = view.pools.get(&instance.pool) else { return false };
        let standing = &standings[&instance.pool];
        let received = self.memory.get(&instance.pool).and_then(|memory| memory.received);
        let held = !rules.spare && received.is_some_and(|received| now < received + HOLD);
        let need = if rules.spare { 0 } else { rules.required_slots };
        !held && standing.serving > rules.min_instances && standing.slots >= need + instance.slots
    }

    fn note(
        &mut self,
        now: Time,
        donor: &InstanceView,
        to: &PoolId,
        standings: &mut IndexMap<PoolId, Standing>,
    ) {
        self.memory.entry(to.clone()).or_default().received = Some(now);
        if let Some(from) = standings.get_mut(&donor.pool) {
            from.serving -= 1;
            from.slots -= donor.slots;
        }
        if let Some(to) = standings.get_mut(to) {
            to.slots += donor.slots;
            to.incoming += 1;
        }
    }

    fn note_brief(&self, now: Time, plan: &mut Plan) {
        for (pool, memory) in &self.memory {
            if memory.short_since.is_some_and(|since| now < since + SHORT_FOR) {
                plan.add_wait(pool, WaitReason::ShortTooBriefly);
            }
        }
    }
}

/// Whether an instance serves in a zone in service, and its home is a spare pool.
fn is_lendable(view: &FleetView, instance: &InstanceView) -> bool {
    instance.status == Status::Serving
        && view.pools.get(&instance.home_pool).is_some_and(|home| home.spare)
        && view.zone_state(&instance.zone) == ZoneState::In
}

/// Slots of the largest instance that may be lent.
fn instance_slots(view: &FleetView) -> u32 {
    let lendable = |i: &&InstanceView| view.pools.get(&i.home_pool).is_some_and(|home| home.spare);
    view.instances.iter().filter(lendable).map(|i| i.slots).max().unwrap_or(0)
}

fn standings(
    view: &FleetView,
    incoming: &IndexMap<InstanceId, PoolId>,
) -> IndexMap<PoolId, Standing> {
    let mut standings: IndexMap<PoolId, Standing> =
        view.pools.keys().map(|pool| (pool.clone(), Standing::default())).collect();
    for instance in &view.instances {
        if instance.status == Status::Serving {
            let standing = standings.entry(instance.pool.clone()).or_default();
            standing.serving += 1;
            standing.slots += instance.slots;
        }
        if let Some(to) = incoming.get(&instance.id) {
            let standing = standings.entry(to.clone()).or_default();
            standing.slots += instance.slots;
            standing.incoming += 1;
        }
    }
    standings
}
