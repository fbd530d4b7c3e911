//! Test harness: an owner with fake workers that carry out every order, on a simulated clock.
#![allow(dead_code)] // Each test program uses only part of this module.

pub mod series;

use indexmap::IndexMap;
use jacinthhook::batch::declarations::{ActiveConfig, Bounds, Declarations, Pool, Queue, Team};
use jacinthhook::batch::job::{JobSpec, Step, TaskId, WorkerId};
use jacinthhook::batch::orders::{
    FinishedRun, RunOutcome, RunningTask, StartOrder, StartOutcome, StopOrder, WorkerReport,
};
use jacinthhook::batch::overload::OverloadSettings;
use jacinthhook::batch::owner::{DecisionBatch, Owner};
use jacinthhook::batch::worker::WorkerInfo;
use jacinthhook::fair::Resources;
use jacinthhook::platform::worker_connections::is_same;
use std::sync::Arc;
use std::time::Duration;

/// Capacity of each worker, in thousandths of a processor.
pub const WORKER_PROCESSORS: u64 = 16_000;
const POOL: &str = "pool";
const QUEUE: &str = "queue";
pub const TEAM: &str = "team";

/// State that a fake worker reports.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    pub incarnation: u64,
    /// When its clock started.
    pub started_at: Duration,
    pub fence: u64,
    pub running: IndexMap<TaskId, u32>,
    pub finished: Vec<FinishedRun>,
    pub finished_count: u64,
    /// Tail latency in ms, reported for every running task.
    pub load: u64,
}

/// An owner and its fake workers.
pub struct Cluster {
    pub owner: Owner,
    pub now: Duration,
    pub fake_workers: IndexMap<WorkerId, FakeWorker>,
    /// Orders that `settle` has carried out.
    pub stops: Vec<StopOrder>,
    pub starts: Vec<StartOrder>,
    active_config: ActiveConfig,
}

/// Returns a step of short tasks.
pub fn short_step(count: u32) -> Step {
    let resources = Resources { processors: 1_000, ..Resources::default() };
    Step { count, resources, estimate: Duration::from_secs(1), ..Step::default() }
}

/// Returns a step of long-running tasks, at most one per worker.
pub fn long_running_step(count: u32, may_miss: u32) -> Step {
    Step { long_running: true, max_per_worker: 1, may_miss: Some(may_miss), ..short_step(count) }
}

/// Typical bounds of a platform.
pub fn bounds() -> Bounds {
    Bounds {
        max_lease: Duration::from_secs(10),
        max_stop_duration: Duration::from_millis(900),
        max_revocation_delay: Duration::from_secs(5),
        ended_job_retention: Duration::from_secs(120),
        holder_gap: Duration::from_secs(3),
    }
}

pub fn active_config() -> ActiveConfig {
    let queue = Queue {
        id: QUEUE.into(),
        host: "host.example".into(),
        path_prefix: "/q/".into(),
        pool: POOL.into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        target_latency: Duration::from_millis(600),
        public: false,
        requires_advice: false,
    };
    let mut declarations =
        Declarations { version: 1, queues: vec![queue], ..Declarations::default() };
    declarations.pools.insert(POOL.into(), Pool { enforces_capacity: true, standby: false });
    let team = Team { weight: 1, job_rate: None, limit: Resources::default() };
    declarations.teams.insert(TEAM.into(), team);
    ActiveConfig { declarations: Arc::new(declarations), ..ActiveConfig::default() }
}

pub fn worker_info(id: &str, index: usize) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        machine: format!("m-{index}").into(),
        pool: POOL.into(),
        zone: format!("zone-{}", index % 3).into(),
        rack: format!("rack-{index}").into(),
        labels: vec!["a".into()],
        address: format!("10.0.0.{index}:80").into(),
        capacity: Resources {
            slots: 0,
            processors: WORKER_PROCESSORS,
            memory: 32 << 30,
            accelerators: 0,
        },
        draining: false,
        time_left: Duration::ZERO,
        incarnation: 1,
    }
}

impl Cluster {
    /// Creates an owner in its first term with `workers` workers, all of them synced.
    pub fn new(workers: usize) -> Cluster {
        let mut cluster = Cluster::with_term(1, active_config());
        let ids: Vec<String> = (0..workers).map(|i| format!("w{i}")).collect();
        let registry =
            ids.iter().enumerate().map(|(i, id)| (Arc::from(id.as_str()), worker_info(id, i)));
        cluster.owner.update_workers(&registry.collect(), cluster.now);
        for id in ids {
            cluster
                .fake_workers
                .insert(id.as_str().into(), FakeWorker { incarnation: 1, ..FakeWorker::default() });
        }
        cluster.poll_all();
        cluster
    }

    pub fn with_term(term: u64, active_config: ActiveConfig) -> Cluster {
        let now = Duration::from_secs(100);
        Cluster {
            owner: Owner::new(term, bounds(), Arc::new(active_config.clone()), now),
            now,
            fake_workers: IndexMap::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            active_config,
        }
    }

    /// Changes the operator configuration in effect.
    pub fn update_config(&mut self, f: impl FnOnce(&mut ActiveConfig)) {
        f(&mut self.active_config);
        self.owner.active_config = Arc::new(self.active_config.clone());
    }

    /// Switches the order of `batch::overload` on or off.
    pub fn with_overload(mut self, enabled: bool) -> Cluster {
        let overload = OverloadSettings { enabled, ..OverloadSettings::default() };
        self.owner = self.owner.with_overload_settings(overload);
        self
    }

    /// Submits a job that arrives now, so that it counts toward the rate of its team.
    pub fn submit_by(&mut self, team: &str, id: &str, steps: Vec<Step>) {
        let spec = JobSpec { payload: "p".into(), steps, ..JobSpec::default() };
        let team = Some(team.into());
        self.owner.add_job(id.into(), Arc::new(spec), QUEUE.into(), team, self.now);
        self.owner.record_arrival(id, self.now);
    }

    pub fn submit(&mut self, id: &str, steps: Vec<Step>) {
        self.submit_to(QUEUE, id, steps);
    }

    pub fn submit_to(&mut self, queue: &str, id: &str, steps: Vec<Step>) {
        let spec = JobSpec { payload: "p".into(), steps, ..JobSpec::default() };
        self.owner.add_job(id.into(), Arc::new(spec), queue.into(), Some(TEAM.into()), self.now);
    }

    /// Makes and stores decisions. Returns the batch; its orders are not carried out.
    pub fn decide(&mut self) -> DecisionBatch {
        self.owner.tick(self.now, Duration::ZERO);
        self.owner.schedule_tasks(self.now);
        let batch = self.owner.take_decisions(self.now);
        self.owner.mark_stored(&batch);
        batch
    }

    /// Makes and stores decisions, carries out all orders and polls all workers, several times in a
    /// row.
    pub fn settle(&mut self) {
        for _ in 0..4 {
            let batch = self.decide();
            for start in batch.orders.starts {
                let outcome = self.carry_out_start(&start);
                self.owner.record_start_outcome(&start, outcome, self.now);
                self.starts.push(start);
            }
            for stop in batch.orders.stops {
                self.carry_out_stop(&stop);
                self.owner.record_stop_accepted(&stop, self.now);
                self.stops.push(stop);
            }
            self.advance(Duration::from_millis(100));
            self.poll_all();
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    /// Carries out a start order on its worker, unless that has restarted: the client of the workers sends
    /// it to the incarnation for which it is meant, or to none.
    pub fn carry_out_start(&mut self, start: &StartOrder) -> StartOutcome {
        let fake_worker = &mut self.fake_workers[&start.worker];
        if !is_same(start.incarnation, fake_worker.incarnation) {
            return StartOutcome::Restarted;
        }
        fake_worker.running.insert(start.task.clone(), start.run);
        StartOutcome::Started
    }

    /// Drops ended runs from the list of a worker as a poll that is sent now does, if it reaches the
    /// incarnation for which it is meant.
    pub fn acknowledge(&mut self, id: &WorkerId) {
        let worker = &self.owner.workers[id];
        let (incarnation, acknowledged) = (worker.incarnation, worker.next_acknowledged());
        let fake_worker = &mut self.fake_workers[id];
        if is_same(incarnation, fake_worker.incarnation) {
            fake_worker.finished.retain(|run| run.index > acknowledged);
        }
    }

    /// Carries out a stop order on its worker.
    pub fn carry_out_stop(&mut self, stop: &StopOrder) {
        if self.fake_workers[&stop.worker].running.swap_remove(&stop.task).is_some() {
            self.finish_run(&stop.worker, &stop.task, stop.run, RunOutcome::Stopped);
        }
    }

    pub fn finish_run(&mut self, worker: &WorkerId, task: &TaskId, run: u32, outcome: RunOutcome) {
        let fake_worker = &mut self.fake_workers[worker];
        fake_worker.running.swap_remove(task);
        fake_worker.finished_count += 1;
        let index = fake_worker.finished_count;
        let task = Some(task.clone());
        fake_worker.finished.push(FinishedRun { index, task, run, outcome, checkpoint: "".into() });
    }

    /// Ends all running tasks with the same outcome.
    pub fn finish_all(&mut self, outcome: RunOutcome) {
        for (worker, task, run) in self.running_tasks() {
            self.finish_run(&worker, &task, run, outcome);
        }
    }

    pub fn running_tasks(&self) -> Vec<(WorkerId, TaskId, u32)> {
        let workers = self.fake_workers.iter();
        workers
            .flat_map(|(id, w)| w.running.iter().map(|(t, run)| (id.clone(), t.clone(), *run)))
            .collect()
    }

    pub fn poll_all(&mut self) {
        let ids: Vec<WorkerId> = self.fake_workers.keys().cloned().collect();
        for id in ids {
            self.poll(&id);
        }
    }

    /// Polls a worker and applies its report.
    pub fn poll(&mut self, id: &WorkerId) {
        let report = self.report(id);
        self.owner.apply_report(id, report, self.now);
        // Every poll extends the lease.
        self.owner.extend_lease(self.now, id);
    }

    /// Returns what a worker answers to a poll that is sent now.
    pub fn report(&self, id: &WorkerId) -> WorkerReport {
        let fake_worker = &self.fake_workers[id];
        let running = fake_worker.running.iter().map(|(task, run)| RunningTask {
            task: Some(task.clone()),
            name: task.to_string().into(),
            run: *run,
            checkpoint: "".into(),
            speed_percent: 100,
            load: fake_worker.load,
        });
        WorkerReport {
            incarnation: fake_worker.incarnation,
            clock: self.now - fake_worker.started_at,
            running: running.collect(),
            finished: fake_worker.finished.clone(),
            more_finished: false,
            requested_at: self.now,
            fence: self.owner.fence(id),
        }
    }
}
