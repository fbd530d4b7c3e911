//! Pattern: a burst in which seconds may pass between a decision and its order, because the owner's
//! processor, its link or the store is slow. No network.

mod batch;

use batch::{Cluster, short_step};
use jacinthhook::batch::job::WorkerId;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Longer than a lease.
const LONG_IDLE: Duration = Duration::from_secs(20);

/// The lease of a worker that idled for long is over when a task is assigned to it. Guards against
/// giving up the task before its order is sent: the order then started a second run.
#[test]
fn tick_task_on_idle_worker() {
    let mut cluster = Cluster::new(1);
    cluster.advance(LONG_IDLE);
    cluster.submit(JOB, vec![short_step(3)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 3);
    cluster.advance(Duration::from_millis(25));
    cluster.decide();
    let worker: WorkerId = "w0".into();
    assert_eq!(cluster.owner.workers[&worker].assigned.len(), 3, "the tasks were given up");
}
