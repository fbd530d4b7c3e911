//! Tests of moves between pools. Guard against instances that move back and forth, pools below
//! their minimum size, and moves of instances that run planned jobs.

use indexmap::IndexMap;
use jacinthhook::fleet::*;
use jacinthhook::ids::{InstanceId, PoolId, Time};
use jacinthhook::pool_moves::MovePlanner;
use quickcheck::quickcheck;
use std::time::Duration;

const SEC: Duration = Duration::from_secs(1);

fn view(sizes: &[u32]) -> FleetView {
    let mut fleet = FleetView::default();
    for (pool, size) in sizes.iter().enumerate() {
        let id: PoolId = format!("p{pool}").into();
        for n in 0..*size {
            fleet.instances.push(InstanceView {
                id: format!("p{pool}-i{n}").into(),
                pool: id.clone(),
                home_pool: id.clone(),
                zone: format!("z{}", n % 3).into(),
                rack: format!("z{}-r{}", n % 3, n / 12).into(),
                status: Status::Serving,
                slots: 8,
                running: 0,
                planned_jobs: 0,
                checkpointed: None,
                maintenance_due: 1_000_000 * SEC,
            });
        }
        let rules = PoolView {
            spare: pool == 0,
            min_instances: 1,
            unavailable_percent: 10,
            unavailable_per_rack: 1,
            drain_timeout: 10 * SEC,
            maintenance_interval: 1_000_000 * SEC,
            required_slots: 0,
        };
        fleet.pools.insert(id, rules);
    }
    fleet
}

/// A planner, a fleet and the moves in progress. Each move ends after one step.
struct Simulation {
    planner: MovePlanner,
    fleet: FleetView,
    incoming: IndexMap<InstanceId, PoolId>,
    moves: Vec<(InstanceId, PoolId, PoolId)>,
}

impl Simulation {
    fn new(sizes: &[u32]) -> Simulation {
        Simulation {
            planner: MovePlanner::new(),
            fleet: view(sizes),
            incoming: IndexMap::new(),
            moves: Vec::new(),
        }
    }

    fn step(&mut self, now: Time) -> Plan {
        for (id, to) in std::mem::take(&mut self.incoming) {
            let moved = self.fleet.instances.iter_mut().find(|i| i.id == id).expect("listed");
            (moved.pool, moved.status) = (to, Status::Serving);
        }
        let plan = self.planner.plan(now, &self.fleet, &self.incoming);
        for decision in &plan.decisions {
            let Action::MoveStart { instance, from, to } = &decision.action else {
                panic!("the move planner only starts moves");
            };
            let moved =
                self.fleet.instances.iter_mut().find(|i| i.id == *instance).expect("listed");
            assert_eq!(moved.status, Status::Serving, "{instance} moved twice at once");
            assert_eq!(moved.pool, *from);
            moved.status = Status::Moving { since: now };
            self.incoming.insert(instance.clone(), to.clone());
            self.moves.push((instance.clone(), from.clone(), to.clone()));
        }
        plan
    }

    fn set_need(&mut self, pool: usize, slots: u32) {
        self.fleet.pools[pool].required_slots = slots;
    }

    fn size(&self, pool: &str) -> usize {
        self.fleet.instances.iter().filter(|i| &*i.pool == pool).count()
    }
}

#[test]
fn plan_spare_lends() {
    let mut sim = Simulation::new(&[4, 4, 4]);
    sim.set_need(1, 48);
    (0..4).for_each(|t| drop(sim.step(SEC * t)));
    assert_eq!((sim.size("p0"), sim.size("p1"), sim.size("p2")), (2, 6, 4));
}

#[test]
fn plan_alternating_bursts() {
    // Two pools that burst alternately share the same lent instances, which are not returned
    // between the bursts.
    let mut sim = Simulation::new(&[3, 4, 4]);
    for t in 0..200 {
        let bursting = 1 + (t / 40) % 2;
        sim.set_need(bursting, 48);
        sim.set_need(3 - bursting, 8);
        sim.step(SEC * t as u32);
    }
    // 2 moves for the first burst, and at most 2 for each of the 4 bursts that follow.
    assert!(sim.moves.len() <= 10, "{} moves", sim.moves.len());
    assert!(
        sim.moves.iter().all(|(_, _, to)| &**to != "p0"),
        "an instance was returned to the spare pool without need"
    );
}

#[test]
fn plan_brief_shortage() {
    // A shortage that lasts only one step must not cause a move.
    let mut sim = Simulation::new(&[3, 4]);
    for t in 0..20 {
        sim.set_need(1, if t % 2 == 0 { 64 } else { 8 });
        let plan = sim.step(SEC / 2 * t);
        assert!(plan.decisions.is_empty());
    }
}

#[test]
fn plan_instance_with_planned_job_moved_last() {
    let mut sim = Simulation::new(&[3, 2]);
    for i in 0..2 {
        sim.fleet.instances[i].planned_jobs = 1;
    }
    sim.set_need(1, 24);
    (0..3).for_each(|t| drop(sim.step(SEC * t)));
    assert_eq!(sim.moves.len(), 1);
    assert_eq!(&*sim.moves[0].0, "p0-i2");
}

#[test]
fn plan_nothing_to_lend() {
    let mut sim = Simulation::new(&[1, 2, 2]);
    sim.set_need(1, 64);
    sim.set_need(2, 16);
    sim.step(Time::ZERO);
    let plan = sim.step(SEC);
    let reason = WaitReason::NothingToLend { short: 48 };
    assert!(plan.waits.contains(&Wait { pool: "p1".into(), reason }));
}

quickcheck! {
    /// For any sequence of needs, pools keep their minimum size, and no instance moves back to the
    /// pool it came from within the cooldown.
    fn plan_any_needs(needs: Vec<(u8, u8)>) -> Result<bool, String> {
        let mut sim = Simulation::new(&[3, 3, 3, 3]);
        let mut last: IndexMap<InstanceId, (PoolId, Time)> = IndexMap::new();
        for (t, (pool, need)) in (0u32..).zip(needs) {
            let now = SEC * t;
            sim.set_need(1 + usize::from(pool) % 3, u32::from(need % 64));
            let moves_before = sim.moves.len();
            sim.step(now);
            for (id, from, to) in &sim.moves[moves_before..] {
                if let Some((origin, when)) = last.insert(id.clone(), (from.clone(), now))
                    && origin == *to && now < when + jacinthhook::pool_moves::MOVE_COOLDOWN {
                    return Err(format!("{id} moved back to {to} within the cooldown"));
                }
            }
            if (0..4).any(|p| sim.size(&format!("p{p}")) < 1) {
                return Err("a pool fell below its minimum size".into());
            }
        }
        Ok(true)
    }
}
