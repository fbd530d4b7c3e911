//! What owner records say about leases, and what follows from it. No network.

mod batch;

use batch::{Cluster, FakeWorker, active_config, bounds, long_running_step, worker_info};
use jacinthhook::batch::job::WorkerId;
use jacinthhook::batch::owner::{LEASE_DURATION, MAX_STORE_OUTAGE, Owner};
use jacinthhook::batch::prior_leases::{LeaseRecord, MAX_NAMED_WORKERS, PriorLeases, WorkerLease};
use jacinthhook::instance::config::MachineSize;
use jacinthhook::instance::election::Election;
use jacinthhook::instance::term::Term;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const PASS: Duration = Duration::from_millis(100);
/// Silence after which the lease of a worker is not extended any more.
const SILENCE: Duration = Duration::from_secs(2);

/// An owner with a long-running task on `w0`, its only worker, which is silent.
fn silent_worker() -> (Cluster, WorkerId) {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    cluster.settle();
    let worker: WorkerId = "w0".into();
    cluster.owner.record_unanswered_poll(&worker);
    cluster.advance(SILENCE);
    (cluster, worker)
}

/// Returns an owner that knows of no worker yet, after one that stored `record`.
fn next_owner(cluster: &Cluster, record: &LeaseRecord) -> Cluster {
    let mut next = Cluster::with_term(2, active_config());
    next.now = cluster.now;
    next.owner = Owner::new(2, bounds(), Arc::new(active_config()), next.now)
        .with_prior_leases(PriorLeases::new(record, next.now));
    next.fake_workers = cluster.fake_workers.clone();
    next
}

/// Guards against a lease that is sent to a worker although the latest owner record, by which a later
/// owner starts its tasks elsewhere, says that it is not extended.
#[test]
fn announce_leases_silent_worker() {
    let (mut cluster, worker) = silent_worker();
    let record = cluster.owner.announce_leases(false, cluster.now);
    assert_eq!(record.workers.len(), 1);
    assert!(record.workers[0].withheld);
    cluster.poll(&worker);
    assert_eq!(cluster.owner.extend_lease(cluster.now, &worker), None);
    cluster.submit("00000000000000a2", vec![long_running_step(1, 1)]);
    assert_eq!(cluster.decide().orders.starts, []);
    // The record before is stored, the next one is not.
    cluster.owner.record_leases_announced();
    assert_eq!(cluster.owner.extend_lease(cluster.now, &worker), None);
    assert_eq!(cluster.owner.announce_leases(false, cluster.now).workers, []);
    assert_eq!(cluster.owner.extend_lease(cluster.now, &worker), None);
    cluster.owner.record_leases_announced();
    let lease = cluster.owner.extend_lease(cluster.now, &worker).expect("a lease");
    assert!(lease > cluster.now - cluster.fake_workers[&worker].started_at);
}

/// Guards against a record that names a lease which ends before the one that was sent.
#[test]
fn announce_leases_latest_lease() {
    let (mut cluster, _) = silent_worker();
    let record = cluster.owner.announce_leases(false, cluster.now);
    assert!(Duration::from_millis(record.workers[0].lease_ms) >= LEASE_DURATION - SILENCE);
    assert_eq!(record.others_ms, None);
    let resigned = cluster.owner.announce_leases(true, cluster.now);
    assert!(resigned.others_ms.is_some());
}

/// Guards against a record of a large fleet that the store does not take, and against leaving out the lease
/// of a worker that it does not name.
#[test]
fn announce_leases_large_fleet() {
    let count = MAX_NAMED_WORKERS + 10;
    let mut cluster = Cluster::new(count);
    let record = cluster.owner.announce_leases(true, cluster.now);
    assert_eq!(record.workers.len(), MAX_NAMED_WORKERS);
    assert!(Duration::from_millis(record.others_ms.expect("no orders")) >= LEASE_DURATION - PASS);
    let size = serde_json::to_vec(&record).expect("a record").len();
    assert!(size < 250 * 1_024, "{size}");
}

/// Guards against an owner record that the store refuses for good because workers have long ids: no owner could
/// keep its term.
#[test]
fn announce_leases_long_ids() {
    let mut cluster = Cluster::new(0);
    let ids: Vec<String> = (0..2_000).map(|i| format!("{i:0250}")).collect();
    let entry = |(i, id): (usize, &String)| (id.as_str().into(), worker_info(id, i));
    cluster.owner.update_workers(&ids.iter().enumerate().map(entry).collect(), cluster.now);
    for id in &ids {
        let fake = FakeWorker { incarnation: u64::MAX / 2, ..FakeWorker::default() };
        cluster.fake_workers.insert(id.as_str().into(), fake);
    }
    cluster.poll_all();
    cluster.poll_all();
    let record = cluster.owner.announce_leases(true, cluster.now);
    let size = serde_json::to_vec(&record).expect("a record").len();
    assert!(size < 250 * 1_024, "{size}");
    assert!(record.workers.len() > 500);
    assert!(Duration::from_millis(record.others_ms.expect("no orders")) >= LEASE_DURATION - PASS);
}

/// A worker restarts while no owner looks. Guards against a wait for the longest lease, which no order for
/// the incarnation before can have brought, and against taking the registry's word that that one is gone.
#[test]
fn with_prior_lease_restarted_worker() {
    let (mut cluster, worker) = silent_worker();
    let record = cluster.owner.announce_leases(true, cluster.now);
    let named = Duration::from_millis(record.workers[0].lease_ms);
    let mut next = next_owner(&cluster, &record);
    let mut info = worker_info("w0", 0);
    info.incarnation = 2;
    next.owner.update_workers(&[(worker.clone(), info)].into_iter().collect(), next.now);
    let until = next.owner.workers[&worker].leases_expire_at();
    assert_eq!(until, next.now + named);
    assert!(until <= next.now + LEASE_DURATION.mul_f64(1.05), "{until:?}");
}

/// A worker that has been up for a few seconds reports to the owner before and to this one, and dies.
/// Guards against taking it for one that restarted under a lease of an earlier owner: its tasks waited for
/// the longest lease.
#[test]
fn settle_first_report_known_incarnation() {
    let (mut cluster, worker) = silent_worker();
    let started_at = cluster.now - Duration::from_secs(2);
    cluster.fake_workers[&worker] =
        FakeWorker { incarnation: 5, started_at, ..FakeWorker::default() };
    let lease = WorkerLease {
        worker: worker.clone(),
        incarnation: 5,
        lease_ms: 4_000,
        stray_ms: 0,
        withheld: false,
    };
    let record = LeaseRecord {
        names_stray_leases: true,
        workers: vec![lease],
        others_ms: Some(4_000),
        ..LeaseRecord::default()
    };
    let mut next = next_owner(&cluster, &record);
    let mut info = worker_info("w0", 0);
    info.incarnation = 5;
    next.owner.update_workers(&[(worker.clone(), info)].into_iter().collect(), next.now);
    next.poll(&worker);
    let until = next.owner.workers[&worker].leases_expire_at();
    assert!(until <= next.now + LEASE_DURATION.mul_f64(1.05), "{until:?}");
}

/// Guards against trusting a record that says nothing of leases, as instances of earlier versions write
/// it, and against a sum that overflows on one that says too much.
#[test]
fn prior_leases_unknown_or_odd() {
    let size = MachineSize { processors_milli: 250, link_mbps: 1_000 };
    let mut election = Election::new("a".into(), 8, size, Duration::ZERO);
    election
        .record_leases(Some(&LeaseRecord { others_ms: Some(0), ..LeaseRecord::default() }), PASS);
    assert_eq!(election.prior_leases().others_until(), Some(PASS));
    election.record_leases(None, PASS);
    assert_eq!(election.prior_leases().others_until(), None);
    let owner = Owner::new(2, bounds(), Arc::new(active_config()), PASS)
        .with_prior_leases(election.prior_leases().clone());
    assert!(owner.prior_leases_until() >= PASS + MAX_STORE_OUTAGE + LEASE_DURATION);
    let odd = LeaseRecord { others_ms: Some(u64::MAX), ..LeaseRecord::default() };
    election.record_leases(Some(&odd), PASS);
    assert!(election.prior_leases().others_until().is_some());
}

/// Guards against rows that another version cannot read.
#[test]
fn lease_record_round_trip() {
    let (mut cluster, _) = silent_worker();
    let record = cluster.owner.announce_leases(true, cluster.now);
    let json = serde_json::to_string(&record).expect("a record");
    assert!(json.starts_with(r#"{"workers":[["w0",1,"#), "{json}");
    assert_eq!(serde_json::from_str::<LeaseRecord>(&json).expect("a record"), record);
}

/// Guards against orders after the record that says that the owner sends none, which must still be
/// appended.
#[test]
fn may_send_orders_resigning() {
    let now = Duration::from_secs(90);
    let term = Term::new(1, now);
    term.resign();
    assert!(!term.may_send_orders(now));
    assert!(term.may_append(now));
    assert!(!term.may_append(now + MAX_STORE_OUTAGE));
}
