//! An owner with workers that do what they are told, on a clock of the test's own.
#![allow(dead_code)] // Each test program uses a part.

use indexmap::IndexMap;
use jacinthhook::batch::declared::{Bounds, Declarations, InForce, Pool, Queue, Team};
use jacinthhook::batch::job::{JobSpec, Step, TaskId, WorkerId};
use jacinthhook::batch::order::{Ended, How, Look, Running, Start, StartAnswer, Stop};
use jacinthhook::batch::owner::{Batch, Owner};
use jacinthhook::batch::worker::Listed;
use jacinthhook::fair::Resources;
use std::sync::Arc;
use std::time::Duration;

/// Room of each worker, in thousandths of a processor.
pub const ROOM: u64 = 16_000;
const POOL: &str = "pool";
const QUEUE: &str = "queue";
pub const TEAM: &str = "team";

/// Lists of one worker as the worker itself keeps them.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    pub born: u64,
    pub fence: u64,
    pub running: IndexMap<TaskId, u32>,
    pub ended: Vec<Ended>,
    pub count: u64,
    /// Tail reported for every task that runs there, in ms.
    pub load: u64,
}

/// An owner and its workers.
pub struct World {
    pub owner: Owner,
    pub now: Duration,
    pub lists: IndexMap<WorkerId, Lists>,
    /// Orders that were handed out since the last look at them.
    pub stops: Vec<Stop>,
    pub starts: Vec<Start>,
    in_force: InForce,
}

/// A step of short tasks.
pub fn short(count: u32) -> Step {
    let need = Resources { processors: 1_000, ..Resources::default() };
    Step { count, need, estimate: Duration::from_secs(1), ..Step::default() }
}

/// A step of lasting tasks, one a worker.
pub fn lasting(count: u32, may_miss: u32) -> Step {
    Step { lasting: true, max_per_worker: 1, may_miss: Some(may_miss), ..short(count) }
}

/// Bounds as the platform sets them for Derwent.
pub fn bounds() -> Bounds {
    Bounds {
        max_lease: Duration::from_secs(10),
        revoke: Duration::from_secs(5),
        keep_ended: Duration::from_secs(120),
        holder_gap: Duration::from_secs(3),
    }
}

pub fn in_force() -> InForce {
    let queue = Queue {
        id: QUEUE.into(),
        host: "host.example".into(),
        path_prefix: "/q/".into(),
        pool: POOL.into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        target_latency: Duration::from_millis(600),
        open: false,
        advised: false,
    };
    let mut declared = Declarations { version: 1, queues: vec![queue], ..Declarations::default() };
    declared.pools.insert(POOL.into(), Pool { guarded: true, standby: false });
    declared.teams.insert(TEAM.into(), Team { weight: 1, limit: Resources::default() });
    InForce { declared: Arc::new(declared), ..InForce::default() }
}

pub fn listed(id: &str, index: usize) -> Listed {
    Listed {
        id: id.into(),
        machine: format!("m-{index}").into(),
        pool: POOL.into(),
        zone: format!("zone-{}", index % 3).into(),
        rack: format!("rack-{index}").into(),
        labels: vec!["a".into()],
        address: format!("10.0.0.{index}:80").into(),
        capacity: Resources { slots: 0, processors: ROOM, memory: 32 << 30, accelerators: 0 },
        draining: false,
        born: 1,
    }
}

impl World {
    /// An owner in its first term with so many workers, all greeted.
    pub fn new(workers: usize) -> World {
        let mut world = World::with_term(1, in_force());
        let ids: Vec<String> = (0..workers).map(|i| format!("w{i}")).collect();
        let list = ids.iter().enumerate().map(|(i, id)| (Arc::from(id.as_str()), listed(id, i)));
        world.owner.list(&list.collect(), world.now);
        for id in ids {
            world.lists.insert(id.as_str().into(), Lists { born: 1, ..Lists::default() });
        }
        world.look_all();
        world
    }

    pub fn with_term(term: u64, in_force: InForce) -> World {
        let now = Duration::from_secs(100);
        World {
            owner: Owner::new(term, bounds(), Arc::new(in_force.clone()), now),
            now,
            lists: IndexMap::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            in_force,
        }
    }

    /// Changes what operators have in force.
    pub fn change(&mut self, f: impl FnOnce(&mut InForce)) {
        f(&mut self.in_force);
        self.owner.in_force = Arc::new(self.in_force.clone());
    }

    pub fn submit(&mut self, id: &str, steps: Vec<Step>) {
        let spec = JobSpec { payload: "p".into(), steps, ..JobSpec::default() };
        self.owner.accept(id.into(), Arc::new(spec), QUEUE.into(), Some(TEAM.into()), self.now);
    }

    /// Decides and stores; answers the batch, whose orders were not sent.
    pub fn decide(&mut self) -> Batch {
        self.owner.tick(self.now, Duration::ZERO);
        self.owner.plan(self.now);
        let batch = self.owner.collect(self.now);
        self.owner.stored(&batch);
        batch
    }

    /// Decides, stores, carries out all orders, and looks at all workers.
    pub fn settle(&mut self) {
        for _ in 0..4 {
            let batch = self.decide();
            for start in batch.orders.starts {
                self.run(&start);
                self.owner.start_answered(&start, StartAnswer::Started, self.now);
                self.starts.push(start);
            }
            for stop in batch.orders.stops {
                self.stop(&stop);
                self.owner.stop_answered(&stop, self.now);
                self.stops.push(stop);
            }
            self.pass(Duration::from_millis(100));
            self.look_all();
        }
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// A worker carries out a start.
    pub fn run(&mut self, start: &Start) {
        let lists = &mut self.lists[&start.worker];
        lists.running.insert(start.task.clone(), start.run);
    }

    /// A worker carries out a stop.
    pub fn stop(&mut self, stop: &Stop) {
        if self.lists[&stop.worker].running.swap_remove(&stop.task).is_some() {
            self.end(&stop.worker, &stop.task, stop.run, How::Stopped);
        }
    }

    pub fn end(&mut self, worker: &WorkerId, task: &TaskId, run: u32, how: How) {
        let lists = &mut self.lists[worker];
        lists.running.swap_remove(task);
        lists.count += 1;
        let number = lists.count;
        let task = Some(task.clone());
        lists.ended.push(Ended { number, task, run, how, checkpoint: "".into() });
    }

    /// All that runs ends in the same way.
    pub fn end_all(&mut self, how: How) {
        for (worker, task, run) in self.running() {
            self.end(&worker, &task, run, how);
        }
    }

    pub fn running(&self) -> Vec<(WorkerId, TaskId, u32)> {
        let all = self.lists.iter();
        all.flat_map(|(w, l)| l.running.iter().map(|(t, r)| (w.clone(), t.clone(), *r))).collect()
    }

    pub fn look_all(&mut self) {
        let ids: Vec<WorkerId> = self.lists.keys().cloned().collect();
        for id in ids {
            self.look(&id);
        }
    }

    /// The owner reads a worker's lists.
    pub fn look(&mut self, id: &WorkerId) {
        let lists = &self.lists[id];
        let running = lists.running.iter().map(|(task, run)| Running {
            task: Some(task.clone()),
            name: task.to_string().into(),
            run: *run,
            checkpoint: "".into(),
            percent: 100,
            load: lists.load,
        });
        let look = Look {
            born: lists.born,
            clock: self.now,
            running: running.collect(),
            ended: lists.ended.clone(),
            asked_at: self.now,
        };
        self.owner.looked(id, look, self.now);
        // As the next look does.
        self.owner.lease(self.now, id);
    }
}
