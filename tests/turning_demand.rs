//! Pattern: the demand turns from one queue to the next within seconds, and hundreds of machines have
//! to follow it. No network.

mod batch;

use batch::{Cluster, short_step, worker_info};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{Declarations, Pool};
use jacinthhook::batch::maintenance::{Machine, MachineId, MachineState};
use jacinthhook::batch::ordered_machines::ORDER_WINDOW;
use jacinthhook::instance::machine_orders::for_each_order;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Guards against orders that wait for each other: the rest of a series was given up at the end of
/// the order window, and pools got some ten machines a second while hundreds stood idle.
#[tokio::test]
async fn for_each_order_hundreds_of_machines() {
    let sent = AtomicUsize::new(0);
    let started = Instant::now();
    for_each_order((0..300).collect(), async |_: usize| {
        sleep(Duration::from_millis(20)).await;
        sent.fetch_add(1, Ordering::Relaxed);
    })
    .await;
    assert_eq!(sent.load(Ordering::Relaxed), 300);
    assert!(started.elapsed() < ORDER_WINDOW, "{:?}", started.elapsed());
}

/// Two pools are short at the turn, and there are fewer machines than both want. Guards against the
/// larger deficit taking all of them while the other pool gets none for seconds.
#[test]
fn plan_moves_two_pools_short() {
    let mut cluster = Cluster::new(2);
    cluster.update_config(|active_config| {
        let mut declarations = Declarations::clone(&active_config.declarations);
        let mut queue = declarations.queues[0].clone();
        (queue.id, queue.pool) = ("other-queue".into(), "other-pool".into());
        declarations.queues.push(queue);
        let pool = |standby| Pool { enforces_capacity: true, standby };
        declarations.pools.insert("other-pool".into(), pool(false));
        declarations.pools.insert("spare".into(), pool(true));
        active_config.declarations = Arc::new(declarations);
    });
    let mut other = worker_info("w2", 2);
    other.pool = "other-pool".into();
    let mut registry: IndexMap<_, _> =
        cluster.owner.workers.iter().map(|(id, w)| (id.clone(), w.info.clone())).collect();
    registry.insert("w2".into(), other);
    cluster.owner.update_workers(&registry, cluster.now);
    let pooled = cluster.owner.workers.values().map(|w| Machine {
        id: w.info.machine.clone(),
        pool: w.info.pool.clone(),
        zone: w.info.zone.clone(),
        state: MachineState::Up,
        worker: Some(w.info.id.clone()),
    });
    let spare = (0..20).map(|i| Machine {
        id: format!("s-{i}").into(),
        pool: "spare".into(),
        zone: "zone-0".into(),
        state: MachineState::Up,
        worker: None,
    });
    let machines: IndexMap<MachineId, Machine> =
        pooled.chain(spare).map(|m| (m.id.clone(), m)).collect();
    // The first pool wants about three times as many machines as the other one.
    cluster.submit("00000000000000a1", vec![short_step(1_500)]);
    cluster.submit_to("other-queue", "00000000000000a2", vec![short_step(500)]);
    cluster.decide();
    let moves = cluster.owner.plan_moves(&machines, cluster.now);
    let to = |pool: &str| moves.iter().filter(|m| &*m.to == pool).count();
    assert_eq!(to("pool") + to("other-pool"), 20);
    assert!(to("other-pool") >= 4, "{} and {}", to("pool"), to("other-pool"));
    assert!(to("pool") > 2 * to("other-pool"), "{} and {}", to("pool"), to("other-pool"));
}
