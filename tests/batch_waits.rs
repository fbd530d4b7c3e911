//! Waits and counts through series of changes: of the owner, of workers, of answers. No network.

mod batch;

use batch::series::{PASS, Series};
use batch::{Cluster, FakeWorker, bounds, long_running_step, short_step};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{Declarations, Pool, Wave};
use jacinthhook::batch::job::{JobState, Step, TaskId, WorkerId};
use jacinthhook::batch::maintenance::{LATE_ORDER_WINDOW, Machine, MachineId, MachineState};
use jacinthhook::batch::ordered_machines::ORDER_WINDOW;
use jacinthhook::batch::orders::RunOutcome;
use jacinthhook::ids::JobId;
use jacinthhook::instance::term::Term;
use jacinthhook::instance::workers::record_failed_poll;
use jacinthhook::platform::worker_client::{PollError, WorkerTarget};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const OTHER_JOB: &str = "00000000000000a2";
/// Numbers of changes of owner that follow each other.
const CHANGES: [u32; 3] = [2, 4, 8];
/// Largest difference of two machines' times of day: on days on which clocks jump, schedules may be 5 s
/// early by either clock.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(10);
/// Time without an owner after one that resigned, and after one that was killed.
const GAPS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(2_500)];
/// Slowest clock of a worker, as the platform guarantees it.
const MIN_CLOCK_RATE: f64 = 0.98;

/// A worker refuses every poll, which extends no lease, so that its runs lapse. Guards against sending
/// a new lease with each poll and waiting for its end: the task was never started again.
#[test]
fn record_failed_poll_refused() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    let other: WorkerId = cluster.fake_workers.keys().find(|id| **id != worker).expect("w").clone();
    let term = Term::new(1, cluster.now);
    let lapsed_at = cluster.now + bounds().max_lease.div_f64(MIN_CLOCK_RATE);
    let mut starts = Vec::new();
    while starts.is_empty() {
        assert!(cluster.now <= lapsed_at, "the task still waits for its worker");
        let fence = cluster.owner.fence(&worker);
        cluster.owner.extend_lease(cluster.now, &worker);
        let target = WorkerTarget {
            address: "10.0.0.1:80".into(),
            worker: worker.clone(),
            fence,
            incarnation: 1,
        };
        record_failed_poll(&mut cluster.owner, &term, &target, PollError::Refused, cluster.now);
        cluster.poll(&other);
        starts = cluster.decide().orders.starts;
        cluster.advance(PASS);
    }
    assert_eq!((&starts[0].worker, &starts[0].task), (&other, &task));
    assert!(starts[0].run > run);
}

/// Owners are replaced one after the other before their stops of a cancelled job arrive. Guards against
/// runs that fill a worker and are neither counted nor stopped again once their job has ended: the next
/// owner started others beside them.
#[test]
fn restore_record_ended_job_runs() {
    for (changes, gap) in CHANGES.into_iter().flat_map(|c| GAPS.map(|gap| (c, gap))) {
        let mut series = Series::new(1);
        series.submit(JOB, vec![short_step(16)]);
        series.run_for(PASS * 3);
        assert_eq!(series.cluster.running_tasks().len(), 16);
        series.cancel(JOB);
        series.submit(OTHER_JOB, vec![short_step(16)]);
        for change in 0..=changes {
            let lost = series.pass();
            assert_eq!(lost.starts, [], "change {change} of {changes}: no room");
            assert_eq!(lost.stops.len(), 16, "change {change} of {changes}");
            assert!(series.cluster.owner.workers["w0"].needs_poll());
            if change < changes {
                series.change_owner(gap);
                series.cluster.poll_all();
            }
        }
        series.cluster.advance(bounds().max_lease / 10);
        let repeated = series.pass();
        assert_eq!((repeated.starts.len(), repeated.stops.len()), (0, 16));
        series.carry_out(repeated);
        series.run_for(PASS * 3);
        let running = series.cluster.running_tasks();
        assert_eq!(running.len(), 16);
        assert!(running.iter().all(|(_, task, _)| &*task.job == OTHER_JOB));
        series.change_owner(gap);
        assert_eq!(series.pass().stops, [], "the runs of the ended job are over");
    }
}

/// Owners follow each other faster than an ended job is kept. Guards against keeping it anew with each
/// owner: the store and the time to load it grew without end. Also against dropping it too early.
#[test]
fn drop_old_jobs_owner_changes() {
    let retention = bounds().ended_job_retention;
    let every_second = (Duration::from_millis(700), 3_600);
    let series = CHANGES.map(|changes| (retention.mul_f64(0.6), changes));
    for (term, changes) in series.into_iter().chain([every_second]) {
        let mut series = Series::new(1);
        series.submit(JOB, vec![short_step(1)]);
        series.run_for(PASS * 3);
        series.cluster.finish_all(RunOutcome::Done);
        series.run_for(PASS * 3);
        assert_eq!(series.cluster.owner.jobs[JOB].state, JobState::Complete);
        let ended_at = series.cluster.now;
        let keep_until = ended_at + retention - PASS * 3;
        let drop_by = ended_at + retention + CLOCK_DIFFERENCE + term + GAPS[0];
        for _ in 0..changes {
            series.cluster.advance(term);
            series.pass();
            series.change_owner(GAPS[0]);
            series.pass();
            let (now, kept) = (series.cluster.now, series.submitted.contains_key(JOB));
            assert!(kept || now > keep_until, "dropped after {:?}", now - ended_at);
            assert!(!kept || now < drop_by, "kept after {:?}", now - ended_at);
        }
        assert_eq!(series.stored.len(), series.submitted.len());
    }
}

/// A job arrives in each term of a series of owners, and there is room for one at a time. Guards against
/// starting the newest ones first, because a new owner takes all jobs for accepted at the same time: the
/// oldest job never ran.
#[test]
fn schedule_tasks_owner_changes() {
    for changes in CHANGES {
        let mut series = Series::new(1);
        let full = vec![short_step(16)];
        series.submit("00000000000000b0", full.clone());
        series.run_for(PASS);
        series.submit(JOB, full.clone());
        for change in 0..changes {
            series.submit(&format!("00000000000000c{change}"), full.clone());
            series.change_owner(GAPS[0]);
            series.cluster.poll_all();
            series.cluster.finish_all(RunOutcome::Done);
            series.run_for(PASS * 5);
            let running = series.cluster.running_tasks();
            let job = |task: &TaskId| task.job.to_string();
            let expected = match change {
                0 => JOB.to_string(),
                later => format!("00000000000000c{}", later - 1),
            };
            assert!(running.iter().all(|(_, task, _)| job(task) == expected), "{running:?}");
        }
    }
}

/// Jobs wait that were accepted before a change of owner. Guards against a job that goes behind all others
/// when an old one is dropped.
#[test]
fn drop_old_jobs_keeps_order() {
    let mut series = Series::new(1);
    series.submit("00000000000000a0", vec![short_step(1)]);
    series.run_for(PASS * 3);
    series.cluster.finish_all(RunOutcome::Done);
    series.run_for(PASS * 3);
    series.cluster.advance(bounds().ended_job_retention);
    series.cluster.poll_all();
    let full = vec![short_step(16)];
    ["00000000000000b0", JOB, OTHER_JOB, "00000000000000a3"]
        .into_iter()
        .for_each(|job| series.submit(job, full.clone()));
    series.run_for(PASS);
    series.change_owner(GAPS[0]);
    series.cluster.poll_all();
    while series.submitted.len() > 4 {
        series.run_for(PASS);
    }
    for job in [JOB, OTHER_JOB, "00000000000000a3"] {
        series.cluster.finish_all(RunOutcome::Done);
        series.run_for(PASS * 2);
        let running = series.cluster.running_tasks();
        assert_eq!(running.len(), 16);
        assert!(running.iter().all(|(_, task, _)| &*task.job == job), "{running:?}");
    }
}

/// The submissions of dropped jobs cannot be deleted for now. Guards against holding up all decisions, and
/// against deleting the progress first: the next owner would run the job again.
#[test]
fn drop_old_jobs_submission_stored() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    cluster.advance(bounds().ended_job_retention);
    cluster.poll_all();
    cluster.submit(OTHER_JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts.len(), 1);
    assert!(batch.updates.iter().all(|update| update.value.is_some()));
    let dropped: Vec<JobId> = cluster.owner.dropped_jobs().cloned().collect();
    assert_eq!(dropped, [JobId::from(JOB)]);
    cluster.owner.record_submissions_deleted(&dropped);
    let deleted = cluster.decide().updates.into_iter().find(|update| update.value.is_none());
    assert_eq!(deleted.map(|update| update.key), Some(JOB.into()));
}

/// A cancellation whose job never arrives is dropped like an ended job. Guards against keeping its record
/// for good.
#[test]
fn drop_old_jobs_early_cancellation() {
    let retention = bounds().ended_job_retention;
    let mut series = Series::new(1);
    series.cancel(JOB);
    let cancelled_at = series.cluster.now;
    while !series.cancelled.is_empty() {
        let passed = series.cluster.now - cancelled_at;
        assert!(passed < retention + CLOCK_DIFFERENCE * 2, "kept after {passed:?}");
        series.pass();
        series.cluster.advance(Duration::from_millis(700));
        series.pass();
        series.change_owner(GAPS[0]);
    }
    assert!(series.cluster.now - cancelled_at > retention);
    series.pass();
    assert!(series.stored.is_empty(), "{:?}", series.stored);
}

/// A job arrives after its cancellation and a change of owner. Guards against running it.
#[test]
fn restore_record_early_cancellation() {
    let mut series = Series::new(1);
    series.cancel(JOB);
    series.pass();
    series.change_owner(GAPS[0]);
    series.submit(JOB, vec![short_step(1)]);
    series.cluster.poll_all();
    assert_eq!(series.pass().starts, []);
    series.change_owner(GAPS[0]);
    series.cluster.poll_all();
    assert_eq!(series.pass().starts, []);
    assert_eq!(series.cluster.owner.jobs[JOB].state, JobState::Cancelled);
}

/// Guards against a record without the time of an end, as earlier versions wrote it, that is kept for
/// good or dropped at once.
#[test]
fn restore_record_end_without_time() {
    let mut series = Series::new(1);
    series.submit(JOB, vec![short_step(1)]);
    let earlier = br#"{"state":"Complete","begun":1,"started":true,"open":[]}"#;
    series.stored.insert(JOB.into(), earlier.to_vec().into());
    series.change_owner(GAPS[0]);
    let restored_at = series.cluster.now;
    while series.submitted.contains_key(JOB) {
        let passed = series.cluster.now - restored_at;
        assert!(passed < bounds().ended_job_retention + CLOCK_DIFFERENCE * 2, "{passed:?}");
        series.pass();
        series.cluster.advance(Duration::from_secs(1));
        series.pass();
        series.change_owner(GAPS[0]);
    }
    assert!(series.cluster.now - restored_at > bounds().ended_job_retention);
}

/// A wave of maintenance over all machines of a series, and the machines that are down for it.
struct Maintenance {
    series: Series,
    wave: Wave,
    /// Until when machines are down.
    down_until: IndexMap<MachineId, Duration>,
    began: Vec<MachineId>,
}

impl Maintenance {
    /// The platform's time for the maintenance of one machine.
    const DURATION: Duration = Duration::from_secs(2);

    fn new(workers: usize, steps: Vec<Step>) -> Maintenance {
        let mut series = Series::new(workers);
        if !steps.is_empty() {
            series.submit(JOB, steps);
        }
        series.run_for(PASS * 10);
        let machines = series.machines().into_keys().collect();
        let duration = Duration::from_secs(20);
        let wave = Wave { number: 1, machines, duration, max_at_once: 1 };
        series.update_config(|active_config| {
            active_config.waves.insert(1, wave.clone());
        });
        Maintenance { series, wave, down_until: IndexMap::new(), began: Vec::new() }
    }

    fn is_done(&self) -> bool {
        self.wave.machines.iter().all(|m| self.began.contains(m))
    }

    /// Makes a pass of the owner with the orders for machines, all of which the platform carries out.
    fn pass(&mut self) {
        let now = self.series.cluster.now;
        let mut machines = self.series.machines();
        for (machine, until) in std::mem::take(&mut self.down_until) {
            if now < until {
                machines[&machine].state = MachineState::Maintenance;
                self.down_until.insert(machine, until);
            }
        }
        self.series.list_workers();
        self.series.cluster.owner.apply_machine_list(&machines, now, now);
        let chosen = self.series.cluster.owner.plan_maintenance(&machines, now);
        if !chosen.is_empty() {
            self.series.cluster.owner.ordered_machines.announce_maintenance(&chosen, now);
        }
        let orders = self.series.pass();
        self.series.carry_out(orders);
        let owner = &mut self.series.cluster.owner;
        for order in owner.confirm_maintenance(&chosen, &machines, now) {
            assert!(self.down_until.is_empty(), "two machines at once: {order:?}");
            self.began.push(order.machine.clone());
            self.down_until.insert(order.machine.clone(), now + Self::DURATION);
            owner.record_maintenance_start(&order);
            let worker = machines[&order.machine].worker.clone().expect("a worker");
            let incarnation = self.series.cluster.fake_workers[&worker].incarnation + 1;
            let started_at = now + Self::DURATION;
            self.series.cluster.fake_workers[&worker] =
                FakeWorker { incarnation, started_at, ..FakeWorker::default() };
        }
        self.series.cluster.advance(PASS);
        let up: Vec<WorkerId> = machines
            .values()
            .filter(|m| !self.down_until.contains_key(&m.id))
            .filter_map(|m| m.worker.clone())
            .collect();
        up.iter().for_each(|worker| self.series.cluster.poll(worker));
    }
}

/// Owners follow each other faster than orders for machines settle. Guards against a wave that makes no
/// progress because each owner waits for the orders of the one before.
#[test]
fn plan_maintenance_owner_changes() {
    for gap in GAPS {
        for steps in [vec![], vec![long_running_step(3, 1)]] {
            let mut maintenance = Maintenance::new(4, steps);
            let began_at = maintenance.series.cluster.now;
            while !maintenance.is_done() {
                let passed = maintenance.series.cluster.now - began_at;
                let done = maintenance.began.len();
                assert!(passed <= maintenance.wave.duration, "{done} done after {passed:?}");
                (0..10).for_each(|_| maintenance.pass());
                maintenance.series.change_owner(gap);
                let workers: Vec<WorkerId> =
                    maintenance.series.cluster.fake_workers.keys().cloned().collect();
                let down = |w: &WorkerId| maintenance.down_until.contains_key(&machine_of(w));
                let up: Vec<WorkerId> = workers.into_iter().filter(|w| !down(w)).collect();
                up.iter().for_each(|worker| maintenance.series.cluster.poll(worker));
            }
        }
    }
}

/// Returns the machine of a worker of the harness.
fn machine_of(worker: &str) -> MachineId {
    worker.replacen('w', "m-", 1).into()
}

/// A machine's maintenance was announced by an owner that ended before it was known to begin. Guards
/// against taking another machine down beside it.
#[test]
fn plan_maintenance_ordered_by_previous() {
    let mut maintenance = Maintenance::new(2, vec![long_running_step(2, 1)]);
    let series = &mut maintenance.series;
    let machines = series.machines();
    let now = series.cluster.now;
    let chosen = series.cluster.owner.plan_maintenance(&machines, now);
    assert_eq!(chosen.len(), 1);
    series.cluster.owner.ordered_machines.announce_maintenance(&chosen, now);
    series.pass();
    series.change_owner(Duration::ZERO);
    let settled_at = series.cluster.now + bounds().holder_gap + ORDER_WINDOW;
    while series.cluster.now + PASS < settled_at {
        series.run_for(PASS);
        let now = series.cluster.now;
        assert_eq!(series.cluster.owner.plan_maintenance(&machines, now), []);
    }
    series.run_for(PASS * 2);
    let now = series.cluster.now;
    assert_eq!(series.cluster.owner.plan_maintenance(&machines, now).len(), 1);
}

/// A worker lists a run as running while it carries out the stop of the previous owner. Guards against a
/// new owner that takes down a second task of the step meanwhile.
#[test]
fn plan_maintenance_stop_by_previous() {
    let mut maintenance = Maintenance::new(3, vec![long_running_step(3, 1)]);
    let series = &mut maintenance.series;
    let machines = series.machines();
    series.change_owner(GAPS[0]);
    series.cluster.poll_all();
    let listed_at = series.cluster.now;
    let (worker, task, run) = series.cluster.running_tasks().remove(0);
    let stop_time = Duration::from_millis(200);
    while series.cluster.now <= listed_at + stop_time {
        let now = series.cluster.now;
        assert_eq!(series.cluster.owner.plan_maintenance(&machines, now), []);
        series.cluster.advance(PASS / 2);
        series.cluster.poll_all();
    }
    series.cluster.finish_run(&worker, &task, run, RunOutcome::Stopped);
    for _ in 0..10 {
        series.cluster.poll_all();
        let now = series.cluster.now;
        // The machine without a task may go down.
        let mut orders = series.cluster.owner.plan_maintenance(&machines, now);
        orders.retain(|order| order.machine != machine_of(&worker));
        assert_eq!(orders, []);
        series.cluster.advance(PASS);
    }
}

/// Returns a series with machines in a standby pool, and those machines.
fn standby_series(workers: usize) -> (Series, IndexMap<MachineId, Machine>) {
    let mut series = Series::new(workers);
    series.update_config(|active_config| {
        let mut declarations = Declarations::clone(&active_config.declarations);
        declarations.pools.insert("spare".into(), Pool { enforces_capacity: true, standby: true });
        active_config.declarations = Arc::new(declarations);
    });
    let spare = Machine {
        id: "s-0".into(),
        pool: "spare".into(),
        zone: "zone-0".into(),
        state: MachineState::Up,
        worker: None,
    };
    let machines = series.machines().into_iter().chain([(spare.id.clone(), spare)]).collect();
    (series, machines)
}

/// Owners follow each other faster than orders for machines settle. Guards against leaving a machine
/// alone for good that one of them announced long ago.
#[test]
fn plan_moves_owner_changes() {
    for gap in GAPS {
        let (mut series, machines) = standby_series(1);
        series.submit(JOB, vec![short_step(60)]);
        series.pass();
        let moves = series.cluster.owner.plan_moves(&machines, series.cluster.now);
        assert_eq!(moves.len(), 1);
        let (announced_at, ids) = (series.cluster.now, [moves[0].machine.clone()]);
        series.cluster.owner.ordered_machines.announce(ids.iter(), announced_at);
        series.pass();
        let settled_at = announced_at + bounds().holder_gap + ORDER_WINDOW;
        loop {
            series.change_owner(gap);
            series.cluster.poll_all();
            series.pass();
            let now = series.cluster.now;
            let again = series.cluster.owner.plan_moves(&machines, now);
            if !again.is_empty() {
                assert_eq!(again, moves);
                assert!(now >= settled_at, "{:?}", now - announced_at);
                break;
            }
            assert!(now < settled_at + CLOCK_DIFFERENCE + gap, "{:?}", now - announced_at);
        }
    }
}

/// All orders for machines stay without a response. Guards against machines without tasks that are never
/// used again, because each repeated order keeps them out of use.
#[test]
fn plan_moves_unanswered_for_good() {
    let (mut series, machines) = standby_series(5);
    let submitted_at = submit_after_moves(&mut series, &machines);
    loop {
        let now = series.cluster.now;
        let owner = &mut series.cluster.owner;
        owner.plan_maintenance(&machines, now);
        for order in owner.plan_moves(&machines, now) {
            owner.record_unanswered_move(&order, now);
        }
        series.run_for(PASS);
        if series.cluster.running_tasks().len() == 80 {
            break;
        }
        let passed = series.cluster.now - submitted_at;
        assert!(passed < LATE_ORDER_WINDOW * 2 + PASS * 2, "idle after {passed:?}");
    }
}

/// Guards against the same while the list of machines cannot be read, by which alone moves were
/// forgotten and machines released.
#[test]
fn tick_machine_list_unavailable() {
    let (mut series, machines) = standby_series(5);
    let submitted_at = submit_after_moves(&mut series, &machines);
    while series.cluster.running_tasks().len() < 80 {
        series.run_for(PASS);
        let passed = series.cluster.now - submitted_at;
        assert!(passed < LATE_ORDER_WINDOW + PASS * 5, "idle after {passed:?}");
    }
}

/// Lets moves of unwanted machines stay without a response, then submits a job that needs all machines.
/// Returns when it was submitted.
fn submit_after_moves(series: &mut Series, machines: &IndexMap<MachineId, Machine>) -> Duration {
    series.cluster.owner.plan_moves(machines, series.cluster.now);
    series.run_for(Duration::from_secs(3));
    let now = series.cluster.now;
    let owner = &mut series.cluster.owner;
    let moves = owner.plan_moves(machines, now);
    assert_eq!(moves.len(), 3);
    moves.iter().for_each(|order| owner.record_unanswered_move(order, now));
    series.submit(JOB, vec![short_step(80)]);
    now
}

/// Owners follow each other faster than a machine counts as unwanted. Guards against paying for machines
/// for as long as the series lasts.
#[test]
fn plan_moves_surplus_owner_changes() {
    let (mut series, machines) = standby_series(5);
    let began_at = series.cluster.now;
    loop {
        for _ in 0..10 {
            series.run_for(PASS);
            let now = series.cluster.now;
            if !series.cluster.owner.plan_moves(&machines, now).is_empty() {
                return;
            }
            assert!(now < began_at + Duration::from_secs(60), "five machines without work");
        }
        series.change_owner(GAPS[0]);
        series.cluster.poll_all();
    }
}
