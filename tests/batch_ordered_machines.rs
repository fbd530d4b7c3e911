//! Orders about machines under one owner after the other, without I/O.

mod batch;

use batch::{Cluster, active_config, bounds, short_step};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{Declarations, Pool};
use jacinthhook::batch::maintenance::{Machine, MachineId, MachineState};
use jacinthhook::batch::moves::Move;
use jacinthhook::batch::ordered_machines::ORDER_WINDOW;
use jacinthhook::batch::records::{ORDERED_MACHINES_KEY, RecordUpdate};
use quickcheck::{Gen, QuickCheck};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

/// A world without workers whose standby pool has three machines.
fn cluster(term: u64) -> (Cluster, IndexMap<MachineId, Machine>) {
    let mut active_config = active_config();
    let mut declared = Declarations::clone(&active_config.declarations);
    declared.pools.insert("spare".into(), Pool { enforces_capacity: true, standby: true });
    active_config.declarations = Arc::new(declared);
    let machine = |i: usize| Machine {
        id: format!("s-{i}").into(),
        pool: "spare".into(),
        zone: format!("zone-{i}").into(),
        state: MachineState::Up,
        worker: None,
    };
    let machines = (0..3).map(machine).map(|m| (m.id.clone(), m)).collect();
    (Cluster::with_term(term, active_config), machines)
}

/// Announces orders and stores them; answers the record.
fn announced(cluster: &mut Cluster, machines: &[&str]) -> RecordUpdate {
    let machines: Vec<MachineId> = machines.iter().map(|m| MachineId::from(*m)).collect();
    let number = cluster.owner.ordered_machines.announce(machines.iter(), cluster.now);
    assert!(
        !cluster.owner.ordered_machines.is_stored(number),
        "an order before its record is stored"
    );
    let batch = cluster.owner.take_decisions(cluster.now);
    assert!(
        !cluster.owner.ordered_machines.is_stored(number),
        "an order before its record is stored"
    );
    cluster.owner.mark_stored(&batch);
    assert!(cluster.owner.ordered_machines.is_stored(number));
    let mut updates = batch.updates.into_iter();
    updates.find(|entry| &*entry.key == ORDERED_MACHINES_KEY).expect("a record of the machines")
}

fn restore(cluster: &mut Cluster, entry: &RecordUpdate) {
    let value = entry.value.as_ref().expect("a value");
    cluster.owner.restore_record(&entry.key, value, cluster.now);
}

fn moved(moves: &[Move]) -> Vec<&str> {
    let mut moved: Vec<&str> = moves.iter().map(|m| &*m.machine).collect();
    moved.sort();
    moved
}

/// Guards against two holders that take turns on one machine, and against an owner that moves nothing
/// at all in its first seconds (scale-1 --seed 11 of dglc-sched: five owners in ten seconds).
#[test]
fn later_owner_leaves_ordered_machines_alone() {
    let (mut first, _) = cluster(1);
    let entry = announced(&mut first, &["s-1"]);
    let (mut later, machines) = cluster(2);
    restore(&mut later, &entry);
    later.submit(JOB, vec![short_step(60)]);
    later.decide();
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-0", "s-2"]);
    later.now += bounds().holder_gap + ORDER_WINDOW;
    moves.iter().for_each(|order| later.owner.abandon_move(order));
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-1", "s-2"]);
}

/// Guards against a third owner that knows only of the second one's orders.
#[test]
fn record_names_machines_of_all_earlier_owners() {
    let (mut first, _) = cluster(1);
    let entry = announced(&mut first, &["s-1"]);
    let (mut second, _) = cluster(2);
    restore(&mut second, &entry);
    let entry = announced(&mut second, &["s-2"]);
    let (mut third, machines) = cluster(3);
    restore(&mut third, &entry);
    third.submit(JOB, vec![short_step(60)]);
    third.decide();
    let moves = third.owner.plan_moves(&machines, third.now);
    assert_eq!(moved(&moves), ["s-0"]);
}

/// Guards against a record that grows with every machine that was ever moved.
#[test]
fn record_drops_old_orders() {
    let (mut first, machines) = cluster(1);
    announced(&mut first, &["s-1"]);
    first.now += bounds().holder_gap + ORDER_WINDOW;
    first.owner.plan_moves(&machines, first.now);
    let entry = announced(&mut first, &["s-2"]);
    assert_eq!(entry.value.as_deref(), Some(&b"[[\"s-2\",0]]"[..]));
}

/// Guards against machines that stay untouched for the whole time again though their order was given
/// long before the owner ended (scale-1 --seed 11 of tt-jobs: 25 machines moved 3 s late).
#[test]
fn record_tells_age_of_orders() {
    let (mut first, _) = cluster(1);
    announced(&mut first, &["s-1"]);
    first.now += bounds().holder_gap;
    let entry = announced(&mut first, &["s-2"]);
    let (mut later, machines) = cluster(2);
    restore(&mut later, &entry);
    later.submit(JOB, vec![short_step(60)]);
    later.decide();
    later.now += ORDER_WINDOW - Duration::from_millis(1);
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-0"]);
    later.now += Duration::from_millis(1);
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-1"]);
}

/// A record that cannot be read names no machine, and is noted.
#[test]
fn malformed_record_is_noted() {
    let (mut later, _) = cluster(2);
    let value = Some(b"{".to_vec().into());
    restore(&mut later, &RecordUpdate { key: ORDERED_MACHINES_KEY.into(), value });
    assert_eq!(later.owner.take_decisions(later.now).events.len(), 1);
}

/// One owner after the other, in true time. An earlier owner's orders may be sent up to
/// `ORDERED_WITHIN` after their announcement, whoever has followed meanwhile.
struct OwnerSequence {
    cluster: Cluster,
    machines: IndexMap<MachineId, Machine>,
    term: u64,
    record: Option<RecordUpdate>,
    /// True time at which the present owner's clock was at its start.
    began: Duration,
    /// Machine, term and true time of each order.
    sent: Vec<(MachineId, u64, Duration)>,
}

impl OwnerSequence {
    fn new() -> OwnerSequence {
        let (cluster, machines) = cluster(1);
        let (record, sent, began) = (None, Vec::new(), Duration::ZERO);
        let mut first = OwnerSequence { cluster, machines, term: 1, record, began, sent };
        first.take_work();
        first
    }

    fn take_work(&mut self) {
        self.cluster.submit(JOB, vec![short_step(60)]);
        self.cluster.decide();
    }

    fn true_time(&self) -> Duration {
        self.began + self.cluster.now - cluster(1).0.now
    }

    fn follow(&mut self) {
        self.began = self.true_time();
        self.term += 1;
        self.cluster = cluster(self.term).0;
        if let Some(record) = self.record.clone() {
            restore(&mut self.cluster, &record);
        }
        self.take_work();
    }

    fn order(&mut self, delay: Duration) {
        let moves = self.cluster.owner.plan_moves(&self.machines, self.cluster.now);
        let names: Vec<&str> = moves.iter().map(|m| &*m.machine).collect();
        if names.is_empty() {
            return;
        }
        self.record = Some(announced(&mut self.cluster, &names));
        let at = self.true_time() + delay.min(ORDER_WINDOW);
        let term = self.term;
        self.sent.extend(moves.into_iter().map(|m| (m.machine, term, at)));
    }
}

/// Guards against any course of orders and owners in which two holders take turns on a machine.
#[test]
fn holders_stay_apart() {
    type Steps = Vec<(u8, u8)>;
    fn property(steps: Steps) -> Result<(), String> {
        let mut owners = OwnerSequence::new();
        for (what, number) in steps {
            let time = Duration::from_millis(u64::from(number) * 4);
            match what % 4 {
                0 => owners.follow(),
                1 => owners.cluster.now += 4 * time,
                2 => owners.cluster.now += time,
                _ => owners.order(time),
            }
        }
        for (i, (machine, term, at)) in owners.sent.iter().enumerate() {
            for (other, later, then) in &owners.sent[i + 1..] {
                if other == machine && later != term && *then < *at + bounds().holder_gap {
                    return Err(format!("{machine}: term {term} at {at:?}, {later} at {then:?}"));
                }
            }
        }
        Ok(())
    }
    let property: fn(Steps) -> Result<(), String> = property;
    // Fixed, so that a failure comes again.
    let random = Gen::from_size_and_seed(60, 1);
    QuickCheck::new().rng(random).tests(2_000).quickcheck(property);
}
