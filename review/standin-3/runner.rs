//! Runners as PROTOCOL.md describes them. What a task needs and how long it works stands in its `spec`:
//! words like `ms=5000 cpu=2000 gang=4`; a task without `ms` lasts until it is stopped.

use crate::http::{Answer, Request, Server};
use crate::json::{self, object, Value};
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const MAX_LEASE_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(5);

/// Members of a gang that are present in a run, and when all of them were.
#[derive(Default)]
pub struct Gangs(Mutex<HashMap<(String, u64), (HashSet<String>, Option<Instant>)>>);

impl Gangs {
    /// Adds a member. Returns since when all of `count` members are present.
    fn full_at(&self, task: &str, run: u64, count: u64) -> Option<Instant> {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step).to_string();
        let mut gangs = self.0.lock().unwrap();
        let (members, full_at) = gangs.entry((step, run)).or_default();
        members.insert(task.to_string());
        if members.len() as u64 >= count {
            full_at.get_or_insert_with(Instant::now);
        }
        *full_at
    }
}

struct Run {
    run: u64,
    spec: String,
    started_at: Instant,
    stops_at: Option<Instant>,
}

impl Run {
    fn word(&self, name: &str) -> Option<u64> {
        word(&self.spec, name)
    }
}

fn word(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(n, _)| *n == name)?.1.parse().ok()
}

struct Process {
    born: u64,
    zero: Instant,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    over: HashMap<String, u64>,
    sequence: u64,
    registers_at: Instant,
    server: Server,
}

impl Process {
    fn clock(&self) -> u64 {
        self.zero.elapsed().as_millis() as u64
    }

    fn finish(&mut self, task: String, run: u64, how: &'static str) {
        self.last_number += 1;
        let over = self.over.entry(task.clone()).or_insert(0);
        *over = run.max(*over);
        self.finished.push((self.last_number, task, run, how));
    }
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    /// `cpu` and `memMb`.
    pub capacity: (u64, u64),
    port: u16,
    store: Arc<Store>,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    process: Mutex<Option<Process>>,
    /// Notified when a run ends.
    ended: Condvar,
}

/// Where a runner stands.
pub struct Place<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub rack: &'a str,
    pub kind: &'a str,
    pub port: u16,
}

impl Runner {
    /// Creates a runner and starts its process.
    pub fn start(
        number: usize,
        place: &Place<'_>,
        store: &Arc<Store>,
        record: &Arc<Record>,
        gangs: &Arc<Gangs>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: format!("r{number}"),
            machine: format!("m{number}"),
            service: place.service.into(),
            zone: place.zone.into(),
            rack: place.rack.into(),
            kind: place.kind.into(),
            capacity: (16_000, 32_768),
            port: place.port,
            store: store.clone(),
            record: record.clone(),
            gangs: gangs.clone(),
            process: Mutex::new(None),
            ended: Condvar::new(),
        });
        runner.up();
        let ticking = runner.clone();
        thread::spawn(move || loop {
            thread::sleep(TICK);
            ticking.tick();
        });
        runner
    }

    /// Starts the process, under the same id and address as the one before.
    pub fn up(self: &Arc<Runner>) {
        let runner = self.clone();
        let server = Server::start(self.port, move |request| runner.handle(&request));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        *self.process.lock().unwrap() = Some(Process {
            born,
            zero: Instant::now(),
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_number: 0,
            over: HashMap::new(),
            sequence: 0,
            registers_at: Instant::now(),
            server: server.expect("the runner's port"),
        });
        self.record.write(&format!("runner {} is up, born {born}", self.id));
    }

    /// Ends the process at once: all that it knows and runs is gone.
    pub fn crash(&self) {
        let Some(process) = self.process.lock().unwrap().take() else { return };
        self.record.write(&format!("runner {} crashes", self.id));
        for (task, run) in &process.running {
            self.record.run_ended(task, run.run, &self.id, "crashed");
        }
        process.server.close();
    }

    pub fn runs(&self, task: &str) -> bool {
        let process = self.process.lock().unwrap();
        process.as_ref().is_some_and(|p| p.running.contains_key(task))
    }

    fn tick(&self) {
        let mut lock = self.process.lock().unwrap();
        let Some(process) = lock.as_mut() else { return };
        let now = Instant::now();
        if now >= process.registers_at {
            process.registers_at = now + HEARTBEAT;
            process.sequence += 1;
            self.register(process);
        }
        let lapsed = process.clock() > process.lease;
        let mut ends = Vec::new();
        for (task, run) in &process.running {
            let begin = match run.word("gang") {
                Some(count) => self.gangs.full_at(task, run.run, count),
                None => Some(run.started_at),
            };
            let time = run.word("ms").map(Duration::from_millis);
            let is_done = begin.zip(time).is_some_and(|(begin, time)| now >= begin + time);
            match (run.stops_at.is_some_and(|at| now >= at), is_done, lapsed) {
                (_, _, true) => ends.push((task.clone(), run.run, "lapsed")),
                (true, ..) => ends.push((task.clone(), run.run, "stopped")),
                (_, true, _) => ends.push((task.clone(), run.run, "done")),
                _ => {}
            }
        }
        for (task, run, how) in ends {
            process.running.remove(&task);
            self.record.run_ended(&task, run, &self.id, how);
            process.finish(task, run, how);
            self.ended.notify_all();
        }
    }

    fn register(&self, process: &Process) {
        let capacity = object(vec![
            ("cpu", self.capacity.0.into()),
            ("memMb", self.capacity.1.into()),
        ]);
        let labels = Value::List(vec![self.kind.as_str().into(), self.rack.as_str().into()]);
        let entry = object(vec![
            ("service", self.service.as_str().into()),
            ("address", format!("127.0.0.1:{}", self.port).as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("sequence", process.sequence.into()),
            ("machine", self.machine.as_str().into()),
            ("capacity", capacity),
            ("labels", labels),
            ("born", process.born.into()),
        ]);
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.header("x-jacinthhook-expected-instance") != self.id {
            return Some((421, Vec::new()));
        }
        let body = json::parse(&request.body);
        let mut lock = self.process.lock().unwrap();
        let process = lock.as_mut()?;
        let clock = process.clock();
        let refusal = |reason: &str| {
            let fields = vec![("clockMs", clock.into()), ("reason", reason.into())];
            Some((409, object(fields).to_string().into_bytes()))
        };
        if body.number("fence") < process.fence {
            return refusal("fence");
        }
        process.fence = body.number("fence");
        let lease = body.number("deadlineMs").min(clock + MAX_LEASE_MS);
        process.lease = process.lease.max(lease);
        let accepted = Some((200, object(vec![("clockMs", clock.into())]).to_string().into_bytes()));
        let (task, run) = (body.text("task").to_string(), body.number("run"));
        match request.path.as_str() {
            "/-/run-start" => {
                if process.running.get(&task).is_some_and(|known| known.run == run) {
                    return accepted;
                }
                if process.over.get(&task).is_some_and(|over| run <= *over) {
                    return refusal("old");
                }
                if process.lease < clock {
                    return refusal("late");
                }
                let spec = body.text("spec").to_string();
                let used = process.running.values().filter_map(|run| run.word("cpu")).sum::<u64>();
                if used + word(&spec, "cpu").unwrap_or(0) > self.capacity.0 {
                    return refusal("room");
                }
                self.record.run_started(&task, run, &self.id);
                let started = Run { run, spec, started_at: Instant::now(), stops_at: None };
                process.running.insert(task, started);
                accepted
            }
            "/-/run-stop" => {
                self.record.write(&format!("runner {} is told to stop {task} run {run}", self.id));
                let over = process.over.entry(task.clone()).or_insert(0);
                *over = run.max(*over);
                if let Some(known) = process.running.get_mut(&task).filter(|known| known.run <= run) {
                    known.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                accepted
            }
            "/-/pace" => accepted,
            "/-/hold" => {
                let acknowledged = body.number("ackIndex");
                process.finished.retain(|(number, ..)| *number > acknowledged);
                let until = Instant::now() + Duration::from_millis(body.number("waitMs"));
                let (born, before) = (process.born, process.last_number);
                loop {
                    let process = lock.as_ref().filter(|p| p.born == born)?;
                    let left = until.saturating_duration_since(Instant::now());
                    if process.last_number > before || left.is_zero() {
                        return Some((200, lists(process).to_string().into_bytes()));
                    }
                    let left = left.min(Duration::from_millis(50));
                    lock = self.ended.wait_timeout(lock, left).unwrap().0;
                }
            }
            _ => Some((404, Vec::new())),
        }
    }
}

fn lists(process: &Process) -> Value {
    let running = process.running.iter().map(|(task, run)| {
        let percent = Value::Number(100.0);
        Value::List(vec![task.as_str().into(), run.run.into(), "".into(), percent, 0.into()])
    });
    let finished = process.finished.iter().take(500).map(|(number, task, run, how)| {
        let (number, run) = ((*number).into(), (*run).into());
        Value::List(vec![number, task.as_str().into(), run, (*how).into(), "".into()])
    });
    object(vec![
        ("clockMs", process.clock().into()),
        ("born", process.born.into()),
        ("running", Value::List(running.collect())),
        ("finished", Value::List(finished.collect())),
    ])
}
