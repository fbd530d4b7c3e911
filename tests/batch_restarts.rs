//! Workers that restart under their id, and what the owner may conclude from it. No network.

mod batch;

use batch::{Cluster, FakeWorker};
use jacinthhook::batch::job::WorkerId;
use jacinthhook::batch::owner::{OwnerEvent, RestartSource};

fn restart(cluster: &mut Cluster, worker: &str, incarnation: u64) {
    cluster.fake_workers[worker] = FakeWorker { incarnation, ..FakeWorker::default() };
}

/// Guards against a log from which the cause of a lost run cannot be read: which process restarted,
/// and how the owner learned of it.
#[test]
fn apply_report_restart_event() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    let event = OwnerEvent::WorkerRestarted {
        worker,
        earlier: 1,
        incarnation: 2,
        source: RestartSource::Report,
    };
    assert!(cluster.decide().events.contains(&event));
}
