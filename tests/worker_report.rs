//! Malformed responses of workers to polls. No network.

mod batch;

use batch::{Cluster, short_step};
use jacinthhook::batch::job::JobState;
use jacinthhook::batch::orders::RunOutcome;
use jacinthhook::platform::worker_client::decode_report;
use serde_json::json;
use std::time::Duration;

const AT: Duration = Duration::ZERO;
const FENCE: u64 = 7;

/// Guards against a malformed response that is read as an empty list: all runs of the worker would
/// count as over, and their tasks start elsewhere while they run.
#[test]
fn decode_report_malformed() {
    let row = json!(["00000000000000a1.0.0.0", 1, "", 100]);
    let complete = json!({ "clockMs": 5, "born": 1, "running": [row], "finished": [] });
    assert_eq!(decode_report(&complete, AT, FENCE).expect("a report").running.len(), 1);
    let malformed = [
        json!(null),
        json!({}),
        json!({ "born": 1, "running": [row] }),
        json!({ "clockMs": "5", "running": [row] }),
        json!({ "clockMs": 5, "running": "none" }),
        json!({ "clockMs": 5, "running": [row, ["00000000000000a1.0.0.1"]] }),
        json!({ "clockMs": 5, "running": [row], "finished": 3 }),
    ];
    for body in malformed {
        assert_eq!(decode_report(&body, AT, FENCE), None, "{body}");
    }
}

/// Guards against taking a report without an incarnation for that of a restarted worker.
#[test]
fn apply_report_without_incarnation() {
    let mut cluster = Cluster::new(1);
    cluster.submit("00000000000000a1", vec![short_step(1)]);
    cluster.settle();
    let mut report = cluster.report(&"w0".into());
    report.incarnation = 0;
    cluster.owner.apply_report(&"w0".into(), report, cluster.now);
    assert!(cluster.owner.workers["w0"].synced);
    assert_eq!(cluster.owner.workers["w0"].assigned.len(), 1);
}

/// A worker lists its finished runs some at a time. Guards against taking a run for lost whose end is
/// not listed yet: its task started again although it was done.
#[test]
fn apply_report_finished_list_cut() {
    let mut cluster = Cluster::new(2);
    cluster.submit("00000000000000a1", vec![short_step(1)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    cluster.finish_run(&worker, &task, run, RunOutcome::Done);
    let mut report = cluster.report(&worker);
    report.finished.clear();
    report.more_finished = true;
    cluster.owner.apply_report(&worker, report, cluster.now);
    cluster.advance(Duration::from_millis(100));
    assert_eq!(cluster.decide().orders.starts, []);
    assert!(cluster.owner.workers[&worker].needs_poll());
    cluster.poll(&worker);
    cluster.decide();
    assert_eq!(cluster.owner.jobs["00000000000000a1"].state, JobState::Complete);
}

/// A list of finished runs is complete if it is shorter than what a worker lists at a time.
#[test]
fn decode_report_finished_list_cut() {
    for (rows, more_finished) in [(0, false), (499, false), (500, true)] {
        let row = |index| json!([index + 1, "00000000000000a1.0.0.0", 1, "done", ""]);
        let finished: Vec<_> = (0..rows).map(row).collect();
        let body = json!({ "clockMs": 5, "born": 1, "running": [], "finished": finished });
        let report = decode_report(&body, AT, FENCE).expect("a report");
        assert_eq!((report.finished.len(), report.more_finished), (rows, more_finished));
    }
}
