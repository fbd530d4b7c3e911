//! Leases of workers that restart, leave or return while the owner changes. No network.

mod batch;

use batch::{Cluster, FakeWorker, active_config, bounds, long_running_step, worker_info};
use indexmap::IndexMap;
use jacinthhook::batch::job::WorkerId;
use jacinthhook::batch::owner::{LEASE_DURATION, MAX_STORE_OUTAGE, Owner};
use jacinthhook::batch::prior_leases::{LeaseRecord, PriorLeases};
use jacinthhook::batch::worker::WorkerInfo;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const PASS: Duration = Duration::from_millis(100);
/// Lowest rate of a worker's clock by the users' pages.
const SLOWEST_CLOCK: f64 = 0.98;
/// By the users' rules, a long-running task whose worker is gone runs again after this time.
const RESTART_BOUND: Duration = Duration::from_secs(6);

/// Returns a registry of `count` workers, all of one incarnation.
fn registry(count: usize, incarnation: u64) -> IndexMap<WorkerId, WorkerInfo> {
    let entry = |i| {
        let id = format!("w{i}");
        (WorkerId::from(id.as_str()), WorkerInfo { incarnation, ..worker_info(&id, i) })
    };
    (0..count).map(entry).collect()
}

/// Returns the owner of a later term after one that stored `record`.
fn next_owner(
    cluster: &Cluster,
    term: u64,
    record: &LeaseRecord,
    registry: &IndexMap<WorkerId, WorkerInfo>,
) -> Cluster {
    let mut next = Cluster::with_term(term, active_config());
    next.now = cluster.now;
    next.owner = Owner::new(term, bounds(), Arc::new(active_config()), next.now)
        .with_prior_leases(PriorLeases::new(record, next.now));
    next.fake_workers = cluster.fake_workers.clone();
    next.owner.update_workers(registry, next.now);
    next
}

/// All workers restart. The new incarnations hold no lease: the orders for the ones before do not reach them.
fn restart_all(cluster: &mut Cluster) {
    cluster.advance(PASS);
    for worker in cluster.fake_workers.values_mut() {
        *worker =
            FakeWorker { incarnation: 2, started_at: cluster.now - PASS, ..FakeWorker::default() };
    }
}

/// A task that starts now, on a worker that is silent from then on, starts elsewhere once the lease that
/// owners send is over by a slow clock: not before, and not much later.
fn assert_waits_for_lease(next: &mut Cluster) {
    let from = next.now;
    let wait = start_elsewhere(next).end - from;
    assert!(wait + PASS >= LEASE_DURATION.div_f64(SLOWEST_CLOCK), "{wait:?}");
    assert!(wait <= RESTART_BOUND, "{wait:?}");
}

/// Starts a task, silences its worker and returns when that was, and when the task is ordered to start on another.
fn start_elsewhere(cluster: &mut Cluster) -> Range<Duration> {
    cluster.poll_all();
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    cluster.settle();
    let submitted_at = cluster.now;
    while cluster.running_tasks().is_empty() {
        assert!(cluster.now < submitted_at + Duration::from_secs(3), "the task does not start");
        cluster.owner.announce_leases(false, cluster.now);
        cluster.owner.record_leases_announced();
        cluster.settle();
    }
    let silent_at = cluster.now;
    let (silent, ..) = cluster.running_tasks().remove(0);
    loop {
        let ids: Vec<WorkerId> = cluster.fake_workers.keys().cloned().collect();
        for id in ids {
            if id == silent {
                cluster.owner.record_unanswered_poll(&id);
            } else {
                cluster.poll(&id);
            }
        }
        let starts = cluster.decide().orders.starts;
        if starts.iter().any(|start| start.worker != silent) {
            return silent_at..cluster.now;
        }
        cluster.advance(PASS);
    }
}

/// Workers restart, no owner notices, and the owner resigns. The next one reads the new incarnation in the
/// first report, before the registry names it. Guards against a second run within the lease that the next
/// owner sends, and against a wait for the longest lease, which no order can have brought.
#[test]
fn apply_report_unnoticed_restart_after_resignation() {
    let mut cluster = Cluster::new(2);
    cluster.advance(Duration::from_secs(60));
    cluster.poll_all();
    restart_all(&mut cluster);
    let record = cluster.owner.announce_leases(true, cluster.now);
    let mut next = next_owner(&cluster, 2, &record, &registry(2, 1));
    assert_waits_for_lease(&mut next);
}

/// The same, where the owner has learned of the restart from the registry and resigns before the first
/// report of the new incarnation. Guards against a record that leaves out idle workers.
#[test]
fn announce_leases_restarted_idle_worker() {
    let mut cluster = Cluster::new(2);
    cluster.advance(Duration::from_secs(60));
    cluster.poll_all();
    restart_all(&mut cluster);
    cluster.owner.update_workers(&registry(2, 2), cluster.now);
    let record = cluster.owner.announce_leases(true, cluster.now);
    assert_eq!(record.workers.len(), 2);
    let mut next = next_owner(&cluster, 2, &record, &registry(2, 2));
    assert_waits_for_lease(&mut next);
}

/// The same two cases after an owner of an earlier version, which lets orders for the incarnations before reach these.
/// Guards against a second run within the longest lease that they may have got, and against a long-running task that
/// is missing for 9 s.
#[test]
fn apply_report_unnoticed_restart_earlier_version() {
    for incarnation in [1, 2] {
        let mut cluster = Cluster::new(2);
        cluster.advance(Duration::from_secs(60));
        cluster.poll_all();
        restart_all(&mut cluster);
        let record = LeaseRecord::default();
        let mut next = next_owner(&cluster, 2, &record, &registry(2, incarnation));
        next.owner.record_previous_owners_stopped(next.now);
        let reported_at = next.now;
        let silence = start_elsewhere(&mut next);
        let lease = bounds().max_lease.div_f64(SLOWEST_CLOCK);
        assert!(silence.end + PASS >= reported_at + lease, "{silence:?}");
        assert!(silence.end - silence.start < Duration::from_secs(9), "{silence:?}");
    }
}

/// A silent worker, whose lease the latest record names, leaves the registry when it is over and is listed
/// again before the next record. Guards against a lease that is extended although the latest record says
/// that it is not: the next owner starts the tasks elsewhere at once.
#[test]
fn update_workers_withheld_worker_returns() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    cluster.settle();
    let worker: WorkerId = "w0".into();
    cluster.owner.record_unanswered_poll(&worker);
    cluster.advance(LEASE_DURATION.mul_f64(1.05));
    let record = cluster.owner.announce_leases(false, cluster.now);
    cluster.owner.record_leases_announced();
    assert!(record.workers[0].withheld);
    cluster.advance(PASS);
    cluster.decide();
    cluster.owner.update_workers(&IndexMap::new(), cluster.now);
    cluster.owner.update_workers(&registry(1, 1), cluster.now);
    cluster.fake_workers[&worker].running.clear();
    cluster.poll(&worker);
    assert_eq!(cluster.owner.extend_lease(cluster.now, &worker), None);
    cluster.advance(PASS);
    assert_eq!(cluster.decide().orders.starts, []);
}

/// The same, and the owner is killed before its next record. Guards against a start elsewhere while the
/// lease that the returned worker got lasts.
#[test]
fn update_workers_withheld_worker_returns_next_owner() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    cluster.settle();
    let worker: WorkerId = "w0".into();
    cluster.owner.record_unanswered_poll(&worker);
    cluster.advance(LEASE_DURATION.mul_f64(1.05));
    let record = cluster.owner.announce_leases(false, cluster.now);
    cluster.owner.record_leases_announced();
    cluster.advance(PASS);
    cluster.decide();
    cluster.owner.update_workers(&IndexMap::new(), cluster.now);
    cluster.owner.update_workers(&registry(1, 1), cluster.now);
    cluster.fake_workers[&worker].running.clear();
    cluster.poll(&worker);
    cluster.advance(PASS);
    let batch = cluster.decide();
    let Some(start) = batch.orders.starts.first() else { return };
    cluster.carry_out_start(start);
    let lease = cluster.owner.authorize_start(start, cluster.now).expect("a lease");
    let held_until = cluster.fake_workers[&worker].started_at + lease;
    // The worker answers no order of the next owner.
    let mut next = next_owner(&cluster, 2, &record, &registry(2, 1));
    let other = FakeWorker { incarnation: 1, ..FakeWorker::default() };
    next.fake_workers.insert("w1".into(), other);
    next.submit(JOB, vec![long_running_step(1, 1)]);
    for update in &batch.updates {
        let value = update.value.as_ref().expect("progress");
        next.owner.restore_record(&update.key, value, next.now);
    }
    next.owner.finish_restore(next.now);
    while next.now < held_until {
        next.poll(&"w1".into());
        next.owner.record_unanswered_poll(&worker);
        let starts = next.decide().orders.starts;
        assert_eq!(starts, [], "at {:?}, lease until {held_until:?}", next.now);
        next.advance(PASS);
    }
}

/// A worker restarts and falls silent, and owners that resign follow each other. Guards against a wait that
/// begins anew with each owner, and against one for the longest lease.
#[test]
fn with_prior_lease_restarted_worker_series() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    let batch = cluster.decide();
    let silent = batch.orders.starts[0].worker.clone();
    cluster.carry_out_start(&batch.orders.starts[0]);
    cluster.poll_all();
    cluster.owner.record_unanswered_poll(&silent);
    let silent_at = cluster.now;
    for term in 2..=20 {
        let record = cluster.owner.announce_leases(true, cluster.now);
        cluster = next_owner(&cluster, term, &record, &registry(2, 2));
        cluster.submit(JOB, vec![long_running_step(1, 1)]);
        for update in &batch.updates {
            let value = update.value.as_ref().expect("progress");
            cluster.owner.restore_record(&update.key, value, cluster.now);
        }
        cluster.owner.finish_restore(cluster.now);
        assert_eq!(cluster.owner.workers[&silent].assigned.len(), 1);
        cluster.advance(Duration::from_secs(1));
        cluster.owner.record_unanswered_poll(&silent);
        cluster.owner.tick(cluster.now, Duration::ZERO);
        if cluster.owner.workers[&silent].assigned.is_empty() {
            break;
        }
    }
    let wait = cluster.now - silent_at;
    let waits = !cluster.owner.workers[&silent].assigned.is_empty();
    assert!(!waits && wait <= RESTART_BOUND, "waits: {waits}, after {wait:?}");
}

/// An owner resigns before it has loaded, and has sent no orders. Guards against a wait that begins anew
/// because its record does not repeat until when the leases of others last.
#[test]
fn inherited_record_resigned_before_load() {
    let cluster = Cluster::new(1);
    let resigned = LeaseRecord { others_ms: Some(1_000), ..LeaseRecord::default() };
    let prior = PriorLeases::new(&resigned, cluster.now);
    let record = prior.inherited_record(true, cluster.now);
    let mut next = next_owner(&cluster, 3, &record, &registry(1, 1));
    // The owner before began just now, so those before it count as able to act for a while.
    next.owner.record_previous_owners_stopped(next.now + MAX_STORE_OUTAGE);
    let wait = next.owner.prior_leases_until() - next.now;
    assert!(wait <= RESTART_BOUND, "{wait:?}");
}

/// A worker that misses one poll when the owner writes a record responds again while the store does not.
/// Guards against a lease that runs out meanwhile, which other workers keep.
#[test]
fn announce_leases_store_outage() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    cluster.settle();
    let worker: WorkerId = "w0".into();
    cluster.owner.record_unanswered_poll(&worker);
    cluster.owner.announce_leases(false, cluster.now);
    let until = cluster.now + MAX_STORE_OUTAGE;
    while cluster.now + PASS < until {
        cluster.poll(&worker);
        let worker = &cluster.owner.workers[&worker];
        let clock = cluster.now - cluster.fake_workers[&worker.info.id].started_at;
        assert!(worker.lease_until > clock, "no lease at {:?}", cluster.now);
        cluster.advance(PASS);
    }
}
