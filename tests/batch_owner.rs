//! Decisions of the owner about starts, ends, leases and limits, without I/O.

mod batch;

use batch::{TEAM, World, in_force, lasting, listed, short};
use jacinthhook::batch::declared::{Declarations, InForce, Team};
use jacinthhook::batch::job::{JobState, Step};
use jacinthhook::batch::order::{How, StartAnswer};
use jacinthhook::batch::owner::LEASE;
use jacinthhook::fair::Resources;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

fn state(world: &World, job: &str) -> JobState {
    world.owner.jobs[job].shown
}

fn limit_team(world: &mut World, processors: u64) {
    world.change(|in_force| {
        let mut declared = Declarations::clone(&in_force.declared);
        let limit = Resources { processors, ..Resources::default() };
        declared.teams.insert(TEAM.into(), Team { weight: 1, limit });
        in_force.declared = Arc::new(declared);
    });
}

/// Steps in order, all tasks done, the job complete once that is stored.
#[test]
fn job_runs_steps_in_order() {
    let mut world = World::new(3);
    let second = Step { after: vec![0], ..short(2) };
    world.submit(JOB, vec![short(3), second]);
    world.settle();
    assert_eq!(world.running().len(), 3);
    assert_eq!(state(&world, JOB), JobState::Running);
    world.end_all(How::Done);
    world.settle();
    assert!(world.running().iter().all(|(_, task, _)| task.step == 1));
    assert_eq!(world.running().len(), 2);
    world.end_all(How::Done);
    world.settle();
    assert_eq!(state(&world, JOB), JobState::Complete);
    assert_eq!(world.starts.len(), 5, "a task started twice");
}

/// A start that goes out before it is stored is unknown to the next owner (TWICE).
#[test]
fn collect_start_with_its_record() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    let batch = world.decide();
    assert_eq!(batch.orders.starts.len(), 1);
    let record = batch.entries.iter().find(|e| &*e.key == JOB).expect("a record of the job");
    let text = String::from_utf8(record.value.clone().expect("a value").to_vec()).expect("text");
    assert!(text.contains(&*batch.orders.starts[0].worker), "{text}");
}

/// An end that is acknowledged before it is stored is forgotten with its owner (TWICE).
#[test]
fn end_acknowledged_after_it_is_stored() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.end_all(How::Done);
    world.look_all();
    assert_eq!(world.owner.workers["w0"].stored, 0);
    let batch = world.owner.collect(world.now);
    assert_eq!(world.owner.workers["w0"].stored, 0);
    world.owner.stored(&batch);
    assert_eq!(world.owner.workers["w0"].stored, 1);
}

/// Complete is shown before it is stored, and the next owner takes it back (MIXED).
#[test]
fn complete_shown_after_it_is_stored() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.end_all(How::Done);
    world.look_all();
    let batch = world.owner.collect(world.now);
    assert_eq!(state(&world, JOB), JobState::Running);
    world.owner.stored(&batch);
    assert_eq!(state(&world, JOB), JobState::Complete);
}

/// Tasks that fail for good end their job and are not started again (BUDGET).
#[test]
fn job_fails_after_its_attempts() {
    let mut world = World::new(3);
    world.submit(JOB, vec![short(1)]);
    for _ in 0..2 {
        world.settle();
        world.end_all(How::Failed);
    }
    world.settle();
    assert_eq!(state(&world, JOB), JobState::Failed);
    assert_eq!(world.starts.len(), 2);
    assert!(world.running().is_empty());
}

/// A failed run is tried at another worker.
#[test]
fn failed_run_moves_to_other_worker() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.end_all(How::Failed);
    world.settle();
    assert_ne!(world.starts[0].worker, world.starts[1].worker);
    assert!(world.starts[1].run > world.starts[0].run);
}

/// A cancelled job's runs are stopped and no other starts (UNASKED).
#[test]
fn cancel_stops_all_runs() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(4), Step { after: vec![0], ..short(1) }]);
    world.settle();
    assert!(world.owner.cancel(JOB, world.now));
    world.settle();
    assert!(world.running().is_empty());
    assert_eq!(state(&world, JOB), JobState::Cancelled);
    assert_eq!(world.starts.len(), 4);
    assert!(!world.owner.cancel("00000000000000ff", world.now));
}

/// A stop that is lost is ordered again until the run is gone (UNASKED).
#[test]
fn cancel_repeats_a_lost_stop() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.owner.cancel(JOB, world.now);
    assert_eq!(world.decide().orders.stops.len(), 1);
    assert_eq!(world.decide().orders.stops.len(), 0);
    world.pass(Duration::from_secs(1));
    assert_eq!(world.decide().orders.stops.len(), 1);
}

/// The lease of a worker that does not answer must end some time, or its tasks never run again
/// (LOST on trouble-2 of tt-jobs).
#[test]
fn lease_of_silent_worker_ends() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    let lease = world.owner.lease(world.now, "w0").expect("a clock");
    for _ in 0..20 {
        world.pass(Duration::from_millis(400));
        world.owner.look_unanswered(&"w0".into());
        assert_eq!(world.owner.lease(world.now, "w0"), Some(lease));
    }
    world.decide();
    assert!(world.owner.workers["w0"].held.is_empty());
}

/// A task is started anew while its earlier run may go on (TWICE).
#[test]
fn silent_worker_keeps_its_tasks_until_the_lease_is_over() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.owner.lease(world.now, "w0");
    world.owner.lease(world.now, "w1");
    world.owner.look_unanswered(&"w0".into());
    world.owner.look_unanswered(&"w1".into());
    world.pass(LEASE - Duration::from_millis(10));
    assert!(world.decide().orders.starts.is_empty());
}

/// An order without an answer may take effect later: the run is stopped before another starts (TWICE).
#[test]
fn start_without_answer_is_stopped_first() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(1)]);
    let start = world.decide().orders.starts.remove(0);
    world.owner.start_answered(&start, StartAnswer::Unknown, world.now);
    world.pass(Duration::from_secs(2));
    world.look_all();
    let batch = world.decide();
    assert_eq!(batch.orders.stops.len(), 1);
    assert!(batch.orders.starts.is_empty());
    world.pass(Duration::from_millis(100));
    world.owner.stop_answered(&batch.orders.stops[0], world.now);
    world.pass(Duration::from_millis(100));
    world.look_all();
    world.pass(Duration::from_millis(100));
    let again = world.decide().orders.starts;
    assert_eq!(again.len(), 1);
    assert!(again[0].run > start.run);
}

/// A worker that starts anew under its id is read again under a higher fence before its tasks run
/// elsewhere: orders to its earlier life must not take effect (TWICE).
#[test]
fn reborn_worker_is_greeted_under_a_higher_fence() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    let (worker, _, _) = world.running().remove(0);
    let fence = world.owner.fence(&worker);
    world.lists[&worker] = batch::Lists { born: 2, ..batch::Lists::default() };
    world.look(&worker);
    assert!(world.owner.fence(&worker) > fence);
    assert!(world.decide().orders.starts.is_empty());
    world.pass(Duration::from_millis(100));
    world.look(&worker);
    world.pass(Duration::from_millis(100));
    assert_eq!(world.decide().orders.starts.len(), 1);
}

/// A run that no owner knows of is stopped.
#[test]
fn unknown_run_is_stopped() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    let (worker, task, run) = world.running().remove(0);
    let earlier = jacinthhook::batch::job::TaskId { index: 7, ..task };
    world.lists[&worker].running.insert(earlier.clone(), run);
    world.look(&worker);
    let stops = world.decide().orders.stops;
    assert_eq!(stops.iter().map(|s| &s.task).collect::<Vec<_>>(), [&earlier]);
}

/// A fresh owner that starts what runs already (TWICE), or loses what was done (LOST).
#[test]
fn fresh_owner_knows_runs_and_ends() {
    let mut world = World::new(2);
    world.submit(JOB, vec![short(3)]);
    world.settle();
    let (worker, task, run) = world.running().remove(0);
    world.end(&worker, &task, run, How::Done);
    world.look_all();
    let record = world.owner.collect(world.now).entries.remove(0).value.expect("a value");
    let mut next = World::with_term(2, in_force());
    next.submit(JOB, vec![short(3)]);
    next.owner.restore(JOB, &record, next.now);
    let list = (0..2).map(|i| (Arc::from(format!("w{i}")), listed(&format!("w{i}"), i)));
    next.owner.list(&list.collect(), next.now);
    next.owner.restored(next.now);
    next.lists = world.lists.clone();
    // One run is lost with its message; the other goes on.
    let (worker, lost, _) = next.running().remove(0);
    next.lists[&worker].running.swap_remove(&lost);
    next.pass(Duration::from_millis(100));
    next.look_all();
    next.pass(Duration::from_millis(100));
    let starts = next.decide().orders.starts;
    assert_eq!(starts.len(), 1);
    assert_eq!((&starts[0].task, starts[0].run), (&lost, 2));
    assert!(next.owner.fence("w0") > world.owner.fence("w0"));
}

/// Tasks of a worker that a fresh owner cannot reach wait for the earlier owner's leases, and no
/// longer than one lease once the earlier owner is over.
#[test]
fn fresh_owner_waits_for_earlier_leases() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    let record = world.decide().entries.remove(0).value.expect("a value");
    let mut next = World::with_term(2, in_force());
    next.submit(JOB, vec![short(1)]);
    next.owner.restore(JOB, &record, next.now);
    next.owner.restored(next.now);
    next.pass(LEASE);
    next.decide();
    assert_eq!(next.owner.workers["w0"].held.len(), 1);
    next.owner.earlier_is_over(next.now);
    next.pass(LEASE.mul_f64(1.1));
    next.decide();
    assert!(next.owner.workers.get("w0").is_none_or(|w| w.held.is_empty()));
}

/// No start beyond a team's upper limit (QUOTA).
#[test]
fn team_limit_bounds_starts() {
    let mut world = World::new(3);
    limit_team(&mut world, 2_000);
    world.submit(JOB, vec![short(5)]);
    world.settle();
    assert_eq!(world.running().len(), 2);
    world.end_all(How::Done);
    world.settle();
    assert_eq!(world.running().len(), 2);
}

/// A task larger than its team's limit waits for good (LOST on quiet-1 --seed 311772238664).
#[test]
fn team_limit_below_one_task() {
    let mut world = World::new(1);
    limit_team(&mut world, 600);
    world.submit(JOB, vec![short(2)]);
    world.settle();
    assert_eq!(world.running().len(), 1);
}

/// A lasting task that ended waits behind newer jobs for as long as its pool is full (LOST on
/// trouble-2 --seed 803139116678 of tt-jobs).
#[test]
fn lasting_task_goes_before_waiting_jobs() {
    let mut world = World::new(1);
    world.submit("00000000000000a0", vec![lasting(1, 0)]);
    world.settle();
    world.submit(JOB, vec![short(40)]);
    for _ in 0..30 {
        world.pass(Duration::from_secs(1));
        world.look_all();
    }
    world.settle();
    let (worker, task, run) =
        world.running().into_iter().find(|(_, t, _)| &*t.job != JOB).expect("it runs");
    world.end(&worker, &task, run, How::Failed);
    world.settle();
    assert!(world.running().iter().any(|(_, t, _)| *t == task));
}

/// No start in a zone that is out, on a draining worker, or on one that left (EVAC, DRAIN).
#[test]
fn no_start_where_none_is_welcome() {
    let mut world = World::new(3);
    world.change(|in_force| {
        in_force.zones_out.insert("zone-0".into());
    });
    let mut list: Vec<_> = (0..3).map(|i| listed(&format!("w{i}"), i)).collect();
    list[1].draining = true;
    list.remove(2);
    world.owner.list(&list.into_iter().map(|l| (l.id.clone(), l)).collect(), world.now);
    world.submit(JOB, vec![short(1)]);
    assert!(world.decide().orders.starts.is_empty());
}

/// All members of a gang start together with one run, or none does (GANG).
#[test]
fn gang_starts_whole_or_not() {
    let gang = |count| Step { gang: true, ..short(count) };
    let mut world = World::new(1);
    world.submit(JOB, vec![gang(17)]);
    assert!(world.decide().orders.starts.is_empty());
    assert_eq!(world.owner.used_by(TEAM).processors, 0);
    world.submit("00000000000000a2", vec![gang(4)]);
    let starts = world.decide().orders.starts;
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|s| s.run == starts[0].run));
}

/// Tasks of a step that must be apart are, and a label is needed where one is asked for (ROUTE).
#[test]
fn placement_keeps_apart_and_labels() {
    let mut world = World::new(2);
    let apart = Step { max_per_worker: 1, ..short(3) };
    let other = Step { label: Some("b".into()), ..short(1) };
    world.submit(JOB, vec![apart, other]);
    let starts = world.decide().orders.starts;
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

/// A worker that fails one run after another gets no more for a while.
#[test]
fn failing_worker_is_set_aside() {
    let mut world = World::new(1);
    for i in 0..4 {
        world.submit(&format!("00000000000000b{i}"), vec![short(1)]);
    }
    world.settle();
    world.end_all(How::Failed);
    world.settle();
    assert!(world.running().is_empty());
}

/// Tasks that fill are slowed when one that serves beside them nears its target, and sped up again
/// (HARM).
#[test]
fn filling_task_is_paced_by_tail() {
    let mut world = World::new(1);
    let serves = Step { tail_target: Duration::from_millis(100), ..lasting(1, 0) };
    let fills = Step { fills: true, ..lasting(1, 0) };
    world.submit(JOB, vec![serves, fills]);
    world.settle();
    world.lists["w0"].load = 120;
    world.look_all();
    assert_eq!(world.decide().orders.paces[0].percent, 50);
    world.lists["w0"].load = 10;
    world.look_all();
    assert!(world.decide().orders.paces[0].percent > 50);
}

/// A version without the queue does not lose its accepted jobs; one that has it again runs them.
#[test]
fn dropped_queue_keeps_its_jobs() {
    let mut world = World::new(1);
    let before = in_force();
    world.change(|in_force| *in_force = InForce::default());
    world.submit(JOB, vec![short(1)]);
    assert!(world.decide().orders.starts.is_empty());
    world.change(|in_force| *in_force = before);
    assert_eq!(world.decide().orders.starts.len(), 1);
}

/// Occurrences start when they are due, not before (ORDER).
#[test]
fn schedule_starts_when_due() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    let spec = jacinthhook::batch::job::JobSpec {
        steps: vec![short(1)],
        repeats: 2,
        first_at: Duration::from_secs(50),
        interval: Duration::from_secs(10),
        ..Default::default()
    };
    let id = "00000000000000c1";
    world.owner.accept(id.into(), Arc::new(spec), "queue".into(), None, world.now);
    for (wall, open) in [(49, 0), (50, 1), (59, 1), (60, 2)] {
        world.owner.tick(world.now, Duration::from_secs(wall));
        assert_eq!(world.owner.jobs[id].open.len(), open, "at {wall} s");
    }
}

/// A failed run that was stored but not acknowledged is listed to the next owner again; counting it
/// twice fails a job that could be done (LOST on trouble-2 of tt-jobs).
#[test]
fn fresh_owner_counts_a_failed_run_once() {
    let mut world = World::new(1);
    world.submit(JOB, vec![short(1)]);
    world.settle();
    world.end_all(How::Failed);
    world.look_all();
    let record = world.owner.collect(world.now).entries.remove(0).value.expect("a value");
    let mut next = World::with_term(2, in_force());
    next.submit(JOB, vec![short(1)]);
    next.owner.restore(JOB, &record, next.now);
    next.owner.list(&[("w0".into(), listed("w0", 0))].into_iter().collect(), next.now);
    next.owner.restored(next.now);
    next.lists = world.lists.clone();
    next.pass(Duration::from_millis(100));
    next.look_all();
    next.settle();
    assert_eq!(state(&next, JOB), JobState::Running);
    assert_eq!(next.running().len(), 1);
}

/// A start without an answer may be carried out later, though a repeat of it was refused (TWICE on
/// trouble-1 --seed 154492278224 of dglc-sched).
#[test]
fn start_answer_then_refusal() {
    use StartAnswer::{Busy, NoRoom, NotSent, Over, Started, Unknown};
    for refusal in [Busy, NoRoom, NotSent] {
        assert_eq!(Unknown.then(refusal), Unknown);
        assert_eq!(NotSent.then(refusal), refusal);
    }
    for there in [Started, Over] {
        assert_eq!(Unknown.then(there), there);
    }
}
