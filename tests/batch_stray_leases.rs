//! Leases that a restarted worker may hold by orders for its earlier process. No network.

mod batch;

use batch::{
    Cluster, FakeWorker, active_config, bounds, long_running_step, short_step, worker_info,
};
use indexmap::IndexMap;
use jacinthhook::batch::job::{Step, WorkerId};
use jacinthhook::batch::orders::{StartOrder, StartOutcome, WorkerReport};
use jacinthhook::batch::owner::{LEASE_DURATION, Owner, OwnerEvent};
use jacinthhook::batch::prior_leases::{LeaseRecord, PriorLeases};
use jacinthhook::batch::stray_lease::{LeaseOrderEnd, StraySource};
use jacinthhook::batch::worker::WorkerInfo;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Time between two passes of the owner.
const PASS: Duration = Duration::from_millis(100);
/// Lowest rate of a worker's clock by the users' pages.
const SLOWEST_CLOCK: f64 = 0.98;
/// Longest time after which an order without a response is carried out.
const LATEST_ORDER: Duration = Duration::from_secs(15);
/// By the users' rules, a long-running task may not be missing for this long.
const LONG_RUNNING_BOUND: Duration = Duration::from_secs(9);

fn restart(cluster: &mut Cluster, worker: &str, incarnation: u64) {
    let started_at = cluster.now;
    cluster.fake_workers[worker] = FakeWorker { incarnation, started_at, ..FakeWorker::default() };
}

/// Polls a worker twice: the first report shows its restart, the second one is under a higher fence.
fn resync(cluster: &mut Cluster, worker: &WorkerId) {
    cluster.poll(worker);
    cluster.advance(PASS);
    cluster.poll(worker);
    assert!(cluster.owner.workers[worker].synced);
}

/// Stores an owner record.
fn announce(cluster: &mut Cluster) -> LeaseRecord {
    let record = cluster.owner.announce_leases(false, cluster.now);
    cluster.owner.record_leases_announced();
    record
}

/// Lets passes go by for `duration`. Returns the starts that they order.
fn pass_for(cluster: &mut Cluster, duration: Duration) -> Vec<StartOrder> {
    let until = cluster.now + duration;
    let mut starts = Vec::new();
    while cluster.now < until {
        starts.extend(cluster.decide().orders.starts);
        cluster.advance(PASS);
    }
    starts
}

/// Two workers; one restarts while an order with a lease to it ends as `end`, and reports again.
fn restart_with_order(end: LeaseOrderEnd) -> (Cluster, WorkerId) {
    let mut cluster = Cluster::new(2);
    let worker: WorkerId = "w0".into();
    let now = cluster.now;
    let order = cluster.owner.begin_lease_order(&worker, now).expect("a worker");
    cluster.owner.end_lease_order(&worker, order, end);
    restart(&mut cluster, &worker, 2);
    resync(&mut cluster, &worker);
    (cluster, worker)
}

/// Starts a task of `step` on a worker, which is silent from then on.
fn start_then_silent(cluster: &mut Cluster, worker: &WorkerId, step: Step) -> StartOrder {
    for (id, other) in &mut cluster.owner.workers {
        other.cordoned = id != worker;
    }
    cluster.submit(JOB, vec![step]);
    let start = cluster.decide().orders.starts.remove(0);
    assert_eq!(cluster.carry_out_start(&start), StartOutcome::Started);
    cluster.owner.record_start_outcome(&start, StartOutcome::Started, cluster.now);
    cluster.owner.record_unanswered_poll(worker);
    cluster.owner.workers.values_mut().for_each(|other| other.cordoned = false);
    start
}

/// The worker's task starts elsewhere when the longest lease from `reported_at` is over by a slow clock: not
/// before, and not much later.
fn assert_waits_for_longest_lease(cluster: &mut Cluster, reported_at: Duration) {
    let lease = bounds().max_lease.div_f64(SLOWEST_CLOCK);
    let left = (reported_at + lease).saturating_sub(cluster.now);
    assert_eq!(pass_for(cluster, left), []);
    assert_eq!(pass_for(cluster, PASS * 5).len(), 1);
}

/// Guards against a second run of a task while the first goes on under a lease that an order without a response
/// brought the worker's next process.
#[test]
fn tick_stray_lease_unanswered_order() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    let reported_at = cluster.now;
    announce(&mut cluster);
    start_then_silent(&mut cluster, &worker, short_step(1));
    assert_waits_for_longest_lease(&mut cluster, reported_at);
}

/// Guards against the same where a connection outlived the process that accepted it, and the next one answered.
#[test]
fn tick_stray_lease_misdirected_order() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Misdirected);
    let reported_at = cluster.now;
    let events = cluster.decide().events;
    let source = events.iter().find_map(|event| match event {
        OwnerEvent::WorkerStrayLease { source, .. } => Some(*source),
        _ => None,
    });
    assert_eq!(source, Some(StraySource::Misdirected));
    announce(&mut cluster);
    start_then_silent(&mut cluster, &worker, short_step(1));
    assert_waits_for_longest_lease(&mut cluster, reported_at);
}

/// Guards against waiting for the longest lease where all orders to the earlier process were answered by it.
#[test]
fn tick_stray_lease_answered_orders() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Settled);
    start_then_silent(&mut cluster, &worker, short_step(1));
    assert_eq!(pass_for(&mut cluster, LEASE_DURATION.div_f64(SLOWEST_CLOCK) - PASS), []);
    assert_eq!(pass_for(&mut cluster, PASS * 5).len(), 1);
}

/// Guards against waiting for an order that was lost so long ago that it is not carried out any more.
#[test]
fn stray_source_old_order() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    let now = cluster.now;
    let _ = cluster.owner.begin_lease_order(&worker, now);
    cluster.advance(Duration::from_secs(30));
    restart(&mut cluster, &worker, 2);
    resync(&mut cluster, &worker);
    assert_eq!(cluster.owner.announce_leases(false, cluster.now).workers, []);
    cluster.submit(JOB, vec![short_step(1)]);
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// Another process of the worker carries out a start and answers it. Guards against the longest lease, which that
/// brought, being forgotten with the first report that names the process.
#[test]
fn end_start_attempt_clock_went_back() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = start.worker.clone();
    let now = cluster.now;
    let order = cluster.owner.begin_lease_order(&worker, now).expect("a worker");
    restart(&mut cluster, &worker, 2);
    cluster.fake_workers[&worker].running.insert(start.task.clone(), start.run);
    let clock = Some(Duration::from_millis(5));
    let outcome = cluster.owner.end_start_attempt(&start, order, StartOutcome::Started, clock, now);
    assert_eq!(outcome, StartOutcome::Unknown, "another process runs the task");
    cluster.owner.record_start_clock(&start, Duration::from_millis(5), now, now);
    cluster.owner.record_start_outcome(&start, outcome, now);
    resync(&mut cluster, &worker);
    assert_eq!(cluster.running_tasks().len(), 1, "the run goes on");
    let reported_at = cluster.now;
    cluster.owner.record_unanswered_poll(&worker);
    assert_waits_for_longest_lease(&mut cluster, reported_at);
}

/// Guards against a start on a worker whose stray lease only this owner knows: if it is killed, the next one does
/// not wait for that lease.
#[test]
fn schedule_tasks_stray_lease_unannounced() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    for (id, other) in &mut cluster.owner.workers {
        other.cordoned = *id != worker;
    }
    cluster.submit(JOB, vec![short_step(1)]);
    assert!(cluster.owner.awaits_stray_announcement(&worker, cluster.now));
    assert_eq!(cluster.decide().orders.starts, []);
    let record = cluster.owner.announce_leases(false, cluster.now);
    assert_eq!(record.workers.len(), 1);
    assert!(!record.workers[0].withheld);
    assert_eq!(cluster.decide().orders.starts, [], "the record is not stored yet");
    cluster.owner.record_leases_announced();
    assert!(!cluster.owner.awaits_stray_announcement(&worker, cluster.now));
    assert_eq!(cluster.decide().orders.starts.len(), 1);
    // The lease of the worker is extended as usual.
    assert!(cluster.owner.extend_lease(cluster.now, &worker).is_some());
}

/// Returns an owner that knows of no worker yet, after one that stored `record`.
fn next_owner(cluster: &Cluster, term: u64, record: &LeaseRecord) -> Cluster {
    let mut next = Cluster::with_term(term, active_config());
    next.now = cluster.now;
    next.owner = Owner::new(term, bounds(), Arc::new(active_config()), next.now)
        .with_prior_leases(PriorLeases::new(record, next.now));
    next.fake_workers = cluster.fake_workers.clone();
    next
}

fn list_workers(cluster: &mut Cluster) {
    let listed = cluster.fake_workers.iter().enumerate().map(|(i, (id, fake_worker))| {
        let incarnation = fake_worker.incarnation;
        (id.clone(), WorkerInfo { incarnation, ..worker_info(id, i) })
    });
    let listed: IndexMap<WorkerId, WorkerInfo> = listed.collect();
    cluster.owner.update_workers(&listed, cluster.now);
}

/// Takes over the stored jobs of the owner before.
fn restore(cluster: &mut Cluster, batch: &jacinthhook::batch::owner::DecisionBatch, step: Step) {
    cluster.submit(JOB, vec![step]);
    for update in &batch.updates {
        let value = update.value.as_ref().expect("progress");
        cluster.owner.restore_record(&update.key, value, cluster.now);
    }
    cluster.owner.finish_restore(cluster.now);
}

/// The owner is killed after it has started a task on a restarted worker, which is cut off. Guards against a next
/// owner that waits for the usual lease only.
#[test]
fn with_prior_lease_stray_lease() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    let reported_at = cluster.now;
    let record = announce(&mut cluster);
    cluster.owner.workers[1].cordoned = true;
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts[0].worker, worker);
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    restore(&mut next, &batch, short_step(1));
    next.owner.record_previous_owners_stopped(next.now);
    next.poll(&"w1".into());
    announce(&mut next);
    next.owner.record_unanswered_poll(&worker);
    assert_waits_for_longest_lease(&mut next, reported_at);
}

/// Guards against an owner that is killed before it has loaded: its record has to repeat the stray lease.
#[test]
fn inherited_record_stray_lease() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    let record = announce(&mut cluster);
    let prior_leases = PriorLeases::new(&record, cluster.now);
    let later = cluster.now + Duration::from_secs(2);
    let inherited = prior_leases.inherited_record(false, later);
    assert_eq!(inherited.workers.len(), 1);
    assert_eq!(inherited.workers[0].worker, worker);
    let elapsed = record.workers[0].stray_ms - inherited.workers[0].stray_ms;
    assert_eq!(elapsed, 2_000);
    let over = cluster.now + bounds().max_lease.mul_f64(1.1);
    assert_eq!(prior_leases.inherited_record(false, over).workers, []);
}

/// A worker restarts while its owner is killed, which leaves orders under way. Guards against a next owner that
/// takes the worker's new process for one that they cannot reach.
#[test]
fn apply_report_restart_beside_owner_change() {
    let mut cluster = Cluster::new(2);
    let record = announce(&mut cluster);
    let worker: WorkerId = "w0".into();
    cluster.advance(Duration::from_secs(2));
    restart(&mut cluster, &worker, 2);
    let mut next = next_owner(&cluster, 2, &record);
    next.advance(PASS);
    list_workers(&mut next);
    next.poll_all();
    let reported_at = next.now;
    assert!(next.owner.awaits_stray_announcement(&worker, next.now));
    assert!(!next.owner.awaits_stray_announcement("w1", next.now), "it has not restarted");
    announce(&mut next);
    start_then_silent(&mut next, &worker, short_step(1));
    assert_waits_for_longest_lease(&mut next, reported_at);
}

/// Guards against the same after an owner of an earlier version, which gave starts to restarted workers without
/// naming them.
#[test]
fn apply_report_restart_under_earlier_version() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    cluster.advance(Duration::from_secs(15));
    let record = LeaseRecord::default();
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    next.poll_all();
    assert!(next.owner.awaits_stray_announcement(&worker, next.now));
    assert_eq!(announce(&mut next).workers.len(), 1);
}

/// Guards against waiting for the longest lease at a worker that the owner before knew, and that has run its tasks.
#[test]
fn apply_report_known_process() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    resync(&mut cluster, &worker);
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts.len(), 1);
    cluster.carry_out_start(&batch.orders.starts[0]);
    let record = announce(&mut cluster);
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    restore(&mut next, &batch, short_step(1));
    next.advance(PASS);
    next.poll_all();
    assert!(!next.owner.awaits_stray_announcement(&worker, next.now));
    assert!(
        next.owner.workers[&worker].leases_expire_at() <= next.now + LEASE_DURATION.mul_f64(1.05)
    );
}

/// Guards against the same after an owner that resigned when all of its orders had been answered.
#[test]
fn apply_report_resigned_without_open_orders() {
    let mut cluster = Cluster::new(2);
    let now = cluster.now;
    let _ = cluster.owner.begin_lease_order("w1", now);
    let record = cluster.owner.announce_leases(true, cluster.now);
    cluster.advance(PASS);
    restart(&mut cluster, "w0", 2);
    restart(&mut cluster, "w1", 2);
    let mut next = next_owner(&cluster, 2, &record);
    next.advance(PASS);
    list_workers(&mut next);
    next.poll_all();
    assert!(!next.owner.awaits_stray_announcement("w0", next.now));
    assert!(next.owner.awaits_stray_announcement("w1", next.now));
}

/// Guards against forgetting, with a worker whose entry expires, that an order to it is under way: it comes back
/// under its id as another process.
#[test]
fn update_workers_open_order_entry_expired() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    let now = cluster.now;
    let _ = cluster.owner.begin_lease_order(&worker, now);
    cluster.owner.update_workers(&IndexMap::new(), cluster.now);
    cluster.advance(Duration::from_secs(5));
    restart(&mut cluster, &worker, 2);
    list_workers(&mut cluster);
    resync(&mut cluster, &worker);
    assert!(cluster.owner.awaits_stray_announcement(&worker, cluster.now));
}

/// A start is not answered; the worker restarts and falls silent. Guards against giving the run up while the next
/// process may still carry out the start, or runs it: it keeps a late run for the longest lease.
#[test]
fn tick_unanswered_start_silent_restarted_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = start.worker.clone();
    let sent_at = cluster.now;
    let _ = cluster.owner.begin_lease_order(&worker, sent_at);
    cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, cluster.now);
    cluster.owner.record_unanswered_poll(&worker);
    restart(&mut cluster, &worker, 2);
    list_workers(&mut cluster);
    assert_waits_for_longest_lease(&mut cluster, sent_at + LATEST_ORDER);
}

/// Guards against keeping the run when the next process has reported that it does not run it.
#[test]
fn apply_report_unanswered_start_restarted_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = start.worker.clone();
    let sent_at = cluster.now;
    let _ = cluster.owner.begin_lease_order(&worker, sent_at);
    cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, cluster.now);
    restart(&mut cluster, &worker, 2);
    list_workers(&mut cluster);
    cluster.advance(PASS);
    cluster.poll(&worker);
    assert_eq!(pass_for(&mut cluster, PASS * 5).len(), 1);
}

/// Guards against tasks that wait for the longest lease, if the worker falls silent, although another had room.
#[test]
fn schedule_tasks_stray_lease_other_room() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    announce(&mut cluster);
    cluster.submit(JOB, vec![short_step(4)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|start| start.worker != worker), "{starts:?}");
}

/// Guards against a long-running task that is missing for too long because it was placed on a worker which may hold
/// it for the longest lease.
#[test]
fn schedule_tasks_long_running_stray_lease() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    announce(&mut cluster);
    for (id, other) in &mut cluster.owner.workers {
        other.cordoned = *id != worker;
    }
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    let submitted_at = cluster.now;
    let mut placed = None;
    while placed.is_none() && cluster.now < submitted_at + LONG_RUNNING_BOUND {
        cluster.poll(&worker);
        announce(&mut cluster);
        placed = cluster.decide().orders.starts.pop();
        cluster.advance(PASS);
    }
    // It runs nowhere else meanwhile.
    assert!(
        cluster.now - submitted_at < Duration::from_secs(3),
        "{:?}",
        cluster.now - submitted_at
    );
    cluster.owner.workers.values_mut().for_each(|other| other.cordoned = false);
    let gone_at = cluster.now;
    cluster.owner.record_unanswered_poll(&worker);
    while cluster.decide().orders.starts.is_empty() {
        cluster.advance(PASS);
    }
    assert!(cluster.now - gone_at < LONG_RUNNING_BOUND, "{:?}", cluster.now - gone_at);
}

/// The owner is killed, and a worker restarts when the next one has polled it. Guards against taking its new process
/// for one that orders of the killed owner cannot reach.
#[test]
fn begin_incarnation_after_owner_change() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    let record = announce(&mut cluster);
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    next.poll_all();
    next.advance(Duration::from_secs(2));
    restart(&mut next, &worker, 2);
    resync(&mut next, &worker);
    assert!(next.owner.awaits_stray_announcement(&worker, next.now));
}

/// The owner learns of a restart by the registry only, and is killed. Guards against a next owner that takes the
/// process for one that had reported.
#[test]
fn may_hide_restart_registry_only() {
    for resigning in [false, true] {
        let mut cluster = Cluster::new(1);
        let worker: WorkerId = "w0".into();
        cluster.submit(JOB, vec![short_step(1)]);
        cluster.settle();
        let now = cluster.now;
        let _ = cluster.owner.begin_lease_order(&worker, now);
        restart(&mut cluster, &worker, 2);
        list_workers(&mut cluster);
        cluster.owner.record_unanswered_poll(&worker);
        cluster.advance(Duration::from_secs(3));
        let record = cluster.owner.announce_leases(resigning, cluster.now);
        assert_eq!(record.workers.len(), 1);
        let mut next = next_owner(&cluster, 2, &record);
        list_workers(&mut next);
        next.poll_all();
        let stray = next.owner.workers[&worker].stray_lease;
        assert!(stray.left(next.now).is_some(), "resigning: {resigning}, {stray:?}");
    }
}

/// Guards against a stray lease that is forgotten when another writer's entry names a later process.
#[test]
fn update_workers_false_entry_stray_lease() {
    let (mut cluster, worker) = restart_with_order(LeaseOrderEnd::Unanswered);
    announce(&mut cluster);
    cluster.fake_workers[&worker].incarnation = 9;
    list_workers(&mut cluster);
    cluster.fake_workers[&worker].incarnation = 2;
    cluster.advance(PASS);
    resync(&mut cluster, &worker);
    assert!(cluster.owner.workers[&worker].stray_lease.left(cluster.now).is_some());
}

/// Guards against taking workers for restarted that are older than the process of a new owner.
#[test]
fn may_hide_restart_old_worker_young_owner() {
    let mut cluster = Cluster::new(1);
    cluster.advance(Duration::from_secs(60));
    let record = announce(&mut cluster);
    let began_at = Duration::from_secs(1);
    let mut next = Cluster::with_term(2, active_config());
    next.now = began_at;
    next.owner = Owner::new(2, bounds(), Arc::new(active_config()), began_at)
        .with_prior_leases(PriorLeases::new(&record, began_at));
    next.fake_workers = cluster.fake_workers.clone();
    list_workers(&mut next);
    let worker: WorkerId = "w0".into();
    let clock = Duration::from_secs(160);
    let report = WorkerReport { clock, ..report_of(&next, &worker) };
    next.owner.apply_report(&worker, report, next.now);
    assert!(!next.owner.awaits_stray_announcement(&worker, next.now));
}

fn report_of(cluster: &Cluster, id: &WorkerId) -> WorkerReport {
    WorkerReport {
        incarnation: cluster.fake_workers[id].incarnation,
        clock: Duration::ZERO,
        running: Vec::new(),
        finished: Vec::new(),
        more_finished: false,
        requested_at: cluster.now,
        fence: cluster.owner.fence(id),
    }
}

/// A report of the earlier process arrives while a start is under way that the next one answers. Guards against taking
/// that answer for one of the earlier process.
#[test]
fn clock_went_back_reading_after_sending() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    let sent_at = cluster.now;
    cluster.advance(PASS);
    cluster.poll(&worker);
    let known = &cluster.owner.workers[&worker];
    assert!(known.clock_went_back(Duration::from_millis(5), sent_at));
    assert!(!known.clock_went_back(sent_at, sent_at));
}

/// The registry names the next process before that one's answer to a start is processed, and the worker falls silent.
/// Guards against giving the run up with the lease of the earlier process.
#[test]
fn end_start_attempt_restart_known() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = start.worker.clone();
    let now = cluster.now;
    let order = cluster.owner.begin_lease_order(&worker, now).expect("a worker");
    restart(&mut cluster, &worker, 2);
    list_workers(&mut cluster);
    let clock = Some(Duration::from_millis(5));
    let outcome = cluster.owner.end_start_attempt(&start, order, StartOutcome::Started, clock, now);
    cluster.owner.record_start_outcome(&start, outcome, now);
    cluster.owner.record_unanswered_poll(&worker);
    assert_eq!(pass_for(&mut cluster, bounds().max_lease.div_f64(SLOWEST_CLOCK)), []);
}

/// An owner is killed when it has sent a start for a process that has ended; the next one hears nothing of the new
/// process. Guards against starting the task elsewhere while that process may run it.
#[test]
fn finish_restore_run_of_earlier_process() {
    let mut cluster = Cluster::new(2);
    let record = announce(&mut cluster);
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    let worker = batch.orders.starts[0].worker.clone();
    restart(&mut cluster, &worker, 2);
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    restore(&mut next, &batch, short_step(1));
    next.owner.record_previous_owners_stopped(next.now);
    for id in next.fake_workers.keys().cloned().collect::<Vec<_>>() {
        match id == worker {
            true => next.owner.record_unanswered_poll(&id),
            false => next.poll(&id),
        }
    }
    let from = next.now;
    assert_waits_for_longest_lease(&mut next, from + LATEST_ORDER);
}

/// Guards against a log that does not tell until when the next owner waits for a worker that was silent before.
#[test]
fn announce_leases_silent_event() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    cluster.owner.record_unanswered_poll(&worker);
    cluster.advance(Duration::from_secs(3));
    let record = announce(&mut cluster);
    let mut next = next_owner(&cluster, 2, &record);
    list_workers(&mut next);
    restore(&mut next, &batch, short_step(1));
    for owner in [&mut cluster, &mut next] {
        owner.owner.record_unanswered_poll(&worker);
        announce(owner);
        announce(owner);
        let left: Vec<Duration> = owner.decide().events.iter().filter_map(lease_left).collect();
        assert_eq!(left.len(), 1, "once a silence");
        assert!(left[0] > Duration::ZERO && left[0] < LEASE_DURATION, "{left:?}");
    }
}

fn lease_left(event: &OwnerEvent) -> Option<Duration> {
    match event {
        OwnerEvent::WorkerSilent { lease_left, .. } => Some(*lease_left),
        _ => None,
    }
}

/// An owner of an earlier version gives a task to a worker that has just restarted, and is killed; the worker is cut
/// off. Guards against a second run within the longest lease, which that version does not name in its records.
#[test]
fn may_be_unnamed_stray_earlier_version() {
    let unix_time = Duration::from_secs(1_800_000_000);
    for (age, waits) in [(Duration::from_secs(3), true), (Duration::from_secs(60), false)] {
        let mut cluster = Cluster::new(1);
        let worker: WorkerId = "w0".into();
        let incarnation = (unix_time - age).as_millis() as u64;
        restart(&mut cluster, &worker, incarnation);
        list_workers(&mut cluster);
        cluster.poll(&worker);
        cluster.submit(JOB, vec![short_step(1)]);
        let batch = cluster.decide();
        assert_eq!(batch.orders.starts.len(), 1);
        let mut next = next_owner(&cluster, 2, &LeaseRecord::default());
        list_workers(&mut next);
        restore(&mut next, &batch, short_step(1));
        next.owner.record_previous_owners_stopped(next.now);
        next.owner.record_unanswered_poll(&worker);
        next.advance(bounds().max_lease);
        next.owner.tick(next.now, unix_time + bounds().max_lease);
        assert_eq!(!next.owner.workers[&worker].assigned.is_empty(), waits, "{age:?}");
    }
}

/// Like tick_unanswered_start_silent_restarted_worker, but an early repeat was answered: the first attempt is still open.
#[test]
fn tick_repeated_start_silent_restarted_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = start.worker.clone();
    let sent_at = cluster.now;
    // Dropped without an answer.
    cluster.owner.begin_start_attempt(&start, sent_at).expect("a worker");
    let second = cluster.owner.begin_start_attempt(&start, sent_at).expect("a worker");
    let answer = StartOutcome::Started;
    let answer = cluster.owner.end_start_attempt(&start, second, answer, None, sent_at);
    cluster.owner.record_start_outcome(&start, answer, cluster.now);
    cluster.owner.record_unanswered_poll(&worker);
    restart(&mut cluster, &worker, 2);
    list_workers(&mut cluster);
    assert_waits_for_longest_lease(&mut cluster, sent_at + LATEST_ORDER);
}
