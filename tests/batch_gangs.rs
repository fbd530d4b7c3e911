//! Gangs: what one member's report says about the others, and gangs that do not fit. No network.

mod batch;

use batch::{Cluster, short_step};
use jacinthhook::batch::job::{JobState, Phase, Step, TaskId, WorkerId};
use jacinthhook::batch::orders::RunOutcome;
use jacinthhook::batch::owner::LEASE_DURATION;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Time between two passes of the owner.
const PASS: Duration = Duration::from_millis(100);

/// Returns a gang of `count` members, each on a worker of its own.
fn gang_step(count: u32) -> Step {
    Step { gang: true, max_per_worker: 1, ..short_step(count) }
}

/// Starts a gang of two with a step after it. Returns its runs.
fn start_gang(cluster: &mut Cluster) -> Vec<(WorkerId, TaskId, u32)> {
    cluster.submit(JOB, vec![gang_step(2), Step { after: vec![0], ..short_step(1) }]);
    cluster.settle();
    let runs = cluster.running_tasks();
    assert_eq!(runs.len(), 2, "{runs:?}");
    runs
}

/// Lets a worker be silent until its lease is over, while the others answer.
fn silence(cluster: &mut Cluster, silent: &WorkerId) {
    let until = cluster.now + LEASE_DURATION * 2;
    while cluster.now < until {
        cluster.owner.record_unanswered_poll(silent);
        let ids: Vec<WorkerId> = cluster.fake_workers.keys().cloned().collect();
        ids.iter().filter(|id| *id != silent).for_each(|id| cluster.poll(id));
        for start in cluster.decide().orders.starts {
            cluster.carry_out_start(&start);
            cluster.starts.push(start);
        }
        cluster.advance(PASS);
    }
}

/// A gang ends, and one member's end is lost with its worker. Guards against a step after the gang that never
/// starts.
#[test]
fn apply_report_gang_done_end_lost() {
    let mut cluster = Cluster::new(3);
    let runs = start_gang(&mut cluster);
    let (listed, lost) = (&runs[0], &runs[1]);
    cluster.finish_run(&listed.0, &listed.1, listed.2, RunOutcome::Done);
    cluster.fake_workers[&lost.0].running.clear();
    cluster.starts.clear();
    silence(&mut cluster, &lost.0);
    let steps: Vec<u32> = cluster.starts.iter().map(|s| s.task.step).collect();
    assert_eq!(steps, [1], "only the step after the gang starts");
}

/// Both members list their ends, one after the other. Guards against an end that is counted twice: the step
/// after the gang starts once, and no resources stay reserved.
#[test]
fn apply_report_gang_done_both_listed() {
    let mut cluster = Cluster::new(3);
    let runs = start_gang(&mut cluster);
    for (worker, task, run) in &runs {
        cluster.finish_run(worker, task, *run, RunOutcome::Done);
    }
    cluster.starts.clear();
    cluster.settle();
    assert_eq!(cluster.starts.len(), 1);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Complete);
    assert!(cluster.owner.workers.values().all(|w| w.assigned.is_empty()));
    assert_eq!(cluster.owner.team_usage(batch::TEAM).processors, 0);
}

/// An earlier run of a gang turns out to be done after the gang was started again. Guards against members of the
/// later run that go on, and against their end counting for a step that has ended.
#[test]
fn apply_report_gang_done_in_earlier_run() {
    let mut cluster = Cluster::new(4);
    let first = start_gang(&mut cluster);
    let (silent, task, run) = &first[0];
    // Nothing is heard of the first member, and the other one is lost with it.
    let other = &first[1];
    cluster.finish_run(&other.0, &other.1, other.2, RunOutcome::Broken);
    silence(&mut cluster, silent);
    let later: Vec<_> = cluster.running_tasks().into_iter().filter(|(_, _, r)| r > run).collect();
    assert_eq!(later.len(), 2, "{later:?}");
    cluster.finish_run(silent, task, *run, RunOutcome::Done);
    cluster.stops.clear();
    cluster.settle();
    let stopped: Vec<&TaskId> = cluster.stops.iter().map(|s| &s.task).collect();
    assert!(later.iter().all(|(_, task, _)| stopped.contains(&task)), "{stopped:?}");
    let job = &cluster.owner.jobs[JOB];
    let gang = &job.open_occurrences[0].steps[0];
    assert!(gang.iter().all(|t| t.phase == Phase::Done));
}

/// The members report different checkpoints before the gang is started again. Guards against members that resume
/// from different ones, which the platform does not take for one gang.
#[test]
fn apply_report_gang_checkpoints() {
    let mut cluster = Cluster::new(4);
    let runs = start_gang(&mut cluster);
    for ((worker, task, run), checkpoint) in runs.iter().zip(["early", "late"]) {
        cluster.finish_run(worker, task, *run, RunOutcome::Stopped);
        let ends = &mut cluster.fake_workers[worker].finished;
        ends.last_mut().expect("the run has just ended").checkpoint = checkpoint.into();
    }
    cluster.starts.clear();
    cluster.settle();
    let checkpoints: Vec<&str> = cluster.starts.iter().map(|s| &*s.checkpoint).collect();
    assert_eq!(checkpoints, ["late", "late"]);
}

/// Guards against a job that waits for good because an earlier version stored the end of its gang for one member.
#[test]
fn restore_record_gang_done_for_one_member() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![gang_step(2), Step { after: vec![0], ..short_step(1) }]);
    let record = r#"{"state":"Running","begun":1,"started":true,
        "open":[[0,[[[1,0,0,"","",true],[1,0,0,"","",false]],[[0,0,0,"","",false]]]]]}"#;
    let now = cluster.now;
    cluster.owner.restore_record(JOB, record.as_bytes(), now);
    cluster.owner.finish_restore(now);
    cluster.settle();
    assert_eq!(cluster.starts.iter().map(|s| s.task.step).collect::<Vec<_>>(), [1]);
}

/// Two runs of a gang fail, each by another member. Guards against a gang that is started without end, since no
/// member fails often enough by itself.
#[test]
fn apply_report_gang_failures() {
    let mut cluster = Cluster::new(4);
    start_gang(&mut cluster);
    for failed in 0..2 {
        let runs = cluster.running_tasks();
        assert_eq!(runs.len(), 2, "{runs:?}");
        for (worker, task, run) in &runs {
            let outcome = match task.index == failed {
                true => RunOutcome::Failed,
                false => RunOutcome::Broken,
            };
            cluster.finish_run(worker, task, *run, outcome);
        }
        cluster.settle();
    }
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Failed);
}

/// Both members list the failure of one run. Guards against a gang that is given up after one attempt.
#[test]
fn apply_report_gang_failure_both_listed() {
    let mut cluster = Cluster::new(4);
    start_gang(&mut cluster);
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Running);
    assert_eq!(cluster.running_tasks().len(), 2);
}

/// The same with nothing after the gang. Guards against a job without open tasks that never ends.
#[test]
fn finish_restore_gang_done_for_one_member() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![gang_step(2)]);
    let record = r#"{"state":"Running","begun":1,"started":true,
        "open":[[0,[[[1,0,0,"","",true],[1,0,0,"","",false]]]]]}"#;
    let now = cluster.now;
    cluster.owner.restore_record(JOB, record.as_bytes(), now);
    cluster.owner.finish_restore(now);
    cluster.settle();
    assert_eq!(cluster.starts, []);
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Complete);
}

/// Gangs that do not fit wait. Guards against a job without a start that no longer counts as pending, and is shown as
/// running.
#[test]
fn schedule_tasks_gang_does_not_fit() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![gang_step(3)]);
    cluster.settle();
    assert_eq!(cluster.starts, []);
    assert_eq!(cluster.owner.pending_jobs("queue"), 1);
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Queued);
}

/// Guards against decisions about a gang that does not fit which are stored and sent again in each pass.
#[test]
fn take_decisions_gang_does_not_fit() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![gang_step(3)]);
    cluster.settle();
    for _ in 0..3 {
        cluster.advance(PASS);
        assert!(cluster.decide().is_empty());
    }
    assert!(cluster.owner.workers.values().all(|w| w.assigned.is_empty()));
    assert_eq!(cluster.owner.team_usage(batch::TEAM).processors, 0);
    assert_eq!(cluster.owner.jobs[JOB].open_occurrences[0].steps[0][0].run, 0);
}
