//! Which lost runs count as crashes of their workers, and which do not. No network.

mod batch;

use batch::{Cluster, FakeWorker, active_config, short_step, worker_info};
use indexmap::IndexMap;
use jacinthhook::batch::job::{JobState, WorkerId};
use jacinthhook::batch::orders::{StartOrder, StartOutcome};
use jacinthhook::batch::owner::OwnerEvent;
use jacinthhook::batch::records;
use jacinthhook::batch::worker::WorkerInfo;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Time between two passes of the owner.
const PASS: Duration = Duration::from_millis(100);

fn registry(cluster: &Cluster) -> IndexMap<WorkerId, WorkerInfo> {
    cluster.owner.workers.iter().map(|(id, w)| (id.clone(), w.info.clone())).collect()
}

/// Starts a new process under a worker's id; it reports no runs.
fn restart(cluster: &mut Cluster, worker: &WorkerId, incarnation: u64) {
    let started_at = cluster.now;
    cluster.fake_workers[worker] = FakeWorker { incarnation, started_at, ..FakeWorker::default() };
}

/// Passes on the present process of a worker: one poll shows the restart, the next one its runs.
fn report_restart(cluster: &mut Cluster, worker: &WorkerId) {
    cluster.advance(PASS);
    cluster.poll(worker);
    cluster.advance(PASS);
    cluster.poll(worker);
}

/// Makes decisions until there is a start, and returns it with the events until then.
fn next_start(cluster: &mut Cluster) -> (StartOrder, Vec<OwnerEvent>) {
    let mut events = Vec::new();
    for _ in 0..100 {
        let batch = cluster.decide();
        events.extend(batch.events);
        if let Some(start) = batch.orders.starts.into_iter().next() {
            return (start, events);
        }
        cluster.advance(PASS);
    }
    panic!("no start was ordered: {events:?}");
}

/// Returns for each crash in `events` how many runs the worker had confirmed.
fn crashes(events: &[OwnerEvent]) -> Vec<u64> {
    let started = |e: &OwnerEvent| match e {
        OwnerEvent::WorkerCrashed { counts, .. } => Some(counts.started),
        _ => None,
    };
    events.iter().filter_map(started).collect()
}

/// Idle workers were replaced, which the registry does not show yet, and polls show it before the answers to
/// starts. Guards against a job that is given up for crashes under runs that never started.
#[test]
fn record_lost_runs_start_refused_after_poll() {
    let mut cluster = Cluster::new(4);
    let mut listed = registry(&cluster);
    for index in 0..3 {
        let info = worker_info(&format!("new-{index}"), index);
        let incarnation = 100_000 + 1_000 * index as u64;
        listed.insert(info.id.clone(), WorkerInfo { incarnation, ..info });
    }
    let now = cluster.now;
    cluster.owner.update_workers(&listed, now);
    let replaced: Vec<WorkerId> = (0..3).map(|i| format!("w{i}").into()).collect();
    cluster.submit(JOB, vec![short_step(6)]);
    let mut events = Vec::new();
    let mut refused = 0;
    for _ in 0..40 {
        let batch = cluster.decide();
        events.extend(batch.events);
        let starts = batch.orders.starts;
        cluster.advance(PASS / 2);
        for worker in replaced.iter().filter(|w| starts.iter().any(|s| s.worker == **w)) {
            let (fence, now) = (cluster.owner.fence(worker), cluster.now);
            cluster.owner.record_other_worker(worker, fence, now);
        }
        events.extend(cluster.decide().events);
        for start in starts {
            let is_replaced = replaced.contains(&start.worker);
            let outcome = match is_replaced {
                true => StartOutcome::OtherWorker,
                false => StartOutcome::Started,
            };
            refused += u32::from(is_replaced);
            let now = cluster.now;
            cluster.owner.record_start_outcome(&start, outcome, now);
        }
        cluster.advance(PASS / 2);
    }
    assert!(refused >= 3, "only {refused} starts went to replaced workers");
    assert_eq!(crashes(&events), Vec::<u64>::new());
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Running);
}

/// Guards against a crash that counts under a run which was ordered to the process that follows: a start
/// without an answer that the new process does not list.
#[test]
fn tick_unanswered_start_after_restart() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let mut events = Vec::new();
    for incarnation in 2..8 {
        restart(&mut cluster, &"w0".into(), incarnation);
        cluster.advance(PASS);
        let (start, before) = next_start(&mut cluster);
        events.extend(before);
        let now = cluster.now;
        cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, now);
        report_restart(&mut cluster, &start.worker);
    }
    events.extend(cluster.decide().events);
    assert_eq!(crashes(&events), Vec::<u64>::new());
    assert!(!cluster.owner.jobs[JOB].state.is_final());
}

/// A task crashes each worker that receives it before that one answers. Guards against starts without end,
/// because a run that was never confirmed does not count.
#[test]
fn tick_unanswered_start_before_restart() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    // Blamed four times; one start fewer than the platform allows.
    for crash in 1..=4 {
        let (start, _) = next_start(&mut cluster);
        let now = cluster.now;
        cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, now);
        cluster.advance(PASS);
        restart(&mut cluster, &start.worker, 1 + crash);
        report_restart(&mut cluster, &start.worker);
        let events = cluster.decide().events;
        assert_eq!(crashes(&events), [0], "crash {crash}");
    }
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Failed);
}

/// The answer to a start comes after the news of the crash. Guards against a crash that does not count, and
/// against one that counts before it is known whether the run had started.
#[test]
fn record_start_outcome_after_loss() {
    for (outcome, expected) in [(StartOutcome::Started, vec![1]), (StartOutcome::NotSent, vec![])] {
        let mut cluster = Cluster::new(1);
        cluster.submit(JOB, vec![short_step(1)]);
        let (start, _) = next_start(&mut cluster);
        cluster.advance(PASS);
        restart(&mut cluster, &start.worker, 2);
        report_restart(&mut cluster, &start.worker);
        assert_eq!(crashes(&cluster.decide().events), Vec::<u64>::new(), "{outcome:?}");
        let now = cluster.now;
        cluster.owner.record_start_outcome(&start, outcome, now);
        assert_eq!(crashes(&cluster.decide().events), expected, "{outcome:?}");
    }
}

/// Guards against certainty about runs that an earlier owner decided on and may never have ordered: a job
/// given up after three changes of owner beside restarts of idle workers.
#[test]
fn restore_record_run_not_sent() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let spec = cluster.owner.jobs[JOB].spec.clone();
    for term in 2..5 {
        // The crash is counted, and the task placed again, in one pass.
        let (_, events) = next_start(&mut cluster);
        assert!(!events.iter().any(|e| matches!(e, OwnerEvent::JobGivenUp { .. })), "{events:?}");
        cluster.advance(PASS);
        restart(&mut cluster, &"w0".into(), term);
        let workers = cluster.fake_workers.clone();
        let stored = records::encode_job(&JOB.into(), &cluster.owner.jobs[JOB]).value;
        let stored = stored.expect("an unfinished job has progress");
        let (listed, now) = (registry(&cluster), cluster.now);
        cluster = Cluster::with_term(term, active_config());
        cluster.now = now;
        cluster.fake_workers = workers;
        let owner = &mut cluster.owner;
        owner.add_job(JOB.into(), spec.clone(), "queue".into(), Some("team".into()), now);
        owner.restore_record(JOB, &stored, now);
        owner.record_previous_owners_stopped(now);
        owner.update_workers(&listed, now);
        owner.finish_restore(now);
        report_restart(&mut cluster, &"w0".into());
    }
}

/// An idle worker restarted unnoticed before a start reached it, and runs the task after that; later it is silent
/// until its lease is over, and answers again. Guards against taking the process that ran the task for the one
/// that replaced it, or the start that never arrived for a run: a crash that never was.
#[test]
fn apply_report_run_of_unnoticed_restart() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let (start, mut events) = next_start(&mut cluster);
    let worker = start.worker.clone();
    restart(&mut cluster, &worker, 2);
    let outcome = cluster.carry_out_start(&start);
    assert_eq!(outcome, StartOutcome::Restarted);
    cluster.owner.record_start_outcome(&start, outcome, cluster.now);
    report_restart(&mut cluster, &worker);
    let (start, more) = next_start(&mut cluster);
    events.extend(more);
    let outcome = cluster.carry_out_start(&start);
    assert_eq!(outcome, StartOutcome::Started);
    cluster.owner.record_start_outcome(&start, outcome, cluster.now);
    report_restart(&mut cluster, &worker);
    assert!(cluster.owner.workers[&worker].assigned.contains_key(&start.task));
    for _ in 0..150 {
        cluster.owner.record_unanswered_poll(&worker);
        events.extend(cluster.decide().events);
        cluster.advance(PASS);
    }
    assert!(!cluster.owner.workers[&worker].assigned.contains_key(&start.task));
    cluster.fake_workers[&worker].running.clear();
    report_restart(&mut cluster, &worker);
    events.extend(cluster.decide().events);
    assert_eq!(crashes(&events), Vec::<u64>::new());
}
