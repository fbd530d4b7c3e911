//! Instances as real processes against a stand-in of the users' platform with workers that restart.
#![allow(dead_code)] // Each program uses only part of this module.

#[path = "../users_platform/mod.rs"]
mod users_platform;

mod http;
pub mod modes;
pub mod soak;
pub mod trace;
pub mod worker;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Method;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;
use trace::Trace;
use users_platform::Platform;
use worker::{Front, HEARTBEAT, MAX_LEASE, STOP_DURATION, TASK_SIZE, Worker};

pub const WORKER_COUNT: usize = 12;
const INSTANCE_COUNT: usize = 3;
/// Timeout of conditions that usually hold within a few seconds.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// How long a client waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest age that the clock of a worker's first process shows.
const MAX_CLOCK: Duration = Duration::from_secs(300);
/// Duration of the longest tasks.
pub const TASK_MS: u64 = 9_000;
/// Breaches of the rule TWICE that a report shows.
const SHOWN_BREACHES: usize = 4;
const HOST: &str = "host.example";
const KEY: &str = "k1";

/// Program of the instances: `JACINTHHOOK_BIN`, or else, in a test, that of this build.
fn main_program() -> PathBuf {
    let chosen = std::env::var_os("JACINTHHOOK_BIN").map(PathBuf::from);
    chosen
        .or_else(|| option_env!("CARGO_BIN_EXE_jacinthhook").map(PathBuf::from))
        .expect("JACINTHHOOK_BIN")
}

/// Program of another version for the first instance: `JACINTHHOOK_OTHER_BIN`.
pub fn other_program() -> Option<PathBuf> {
    std::env::var_os("JACINTHHOOK_OTHER_BIN").map(PathBuf::from)
}

struct Instance {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    callers: SocketAddr,
    readiness: SocketAddr,
}

impl Instance {
    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("open the log");
        let child = Command::new(&self.program)
            .arg("run")
            .env("JACINTHHOOK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share the log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("start the program"));
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Job that was accepted.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub task_count: u64,
}

pub struct World {
    pub trace: Arc<Trace>,
    pub workers: Vec<Arc<Worker>>,
    platform: Arc<Platform>,
    instances: Mutex<Vec<Instance>>,
    client: reqwest::Client,
    dir: PathBuf,
    jobs: Mutex<Vec<Job>>,
    job_count: AtomicUsize,
    seed: u64,
    keeps_logs: AtomicBool,
}

impl Drop for World {
    fn drop(&mut self) {
        self.instances.lock().iter_mut().for_each(Instance::kill);
        self.workers.iter().for_each(|worker| worker.crash());
        if !self.keeps_logs.load(Ordering::Relaxed) {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a generator of its own for a part of a seeded series.
fn fork(rng: &mut ChaCha8Rng) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(rng.random())
}

/// Loopback address of a world. Its ports are its own, so that nothing else takes that of a worker that
/// is down.
fn next_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let (second, third) = (10 + pid % 200, pid / 200 % 250);
    Ipv4Addr::new(127, second as u8, third as u8, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

impl World {
    /// Starts the platform, the workers behind `front`, and the instances, the first one with the program
    /// `other`.
    pub async fn start(name: &str, seed: u64, front: Front, other: Option<PathBuf>) -> Arc<World> {
        let platform = Platform::new();
        let store = platform.serve().await;
        declare(&platform);
        let ip = next_address();
        let trace = Arc::new(Trace::new());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut workers = Vec::new();
        for number in 0..WORKER_COUNT {
            let address = SocketAddr::new(ip, 8_100 + number as u16);
            let (platform, trace) = (platform.clone(), trace.clone());
            let worker = Worker::new(number, address, front, seed, platform, trace);
            worker.start(rng.random_range(MAX_CLOCK / 5..MAX_CLOCK)).await;
            workers.push(worker);
        }
        let dir =
            std::env::temp_dir().join(format!("restart-{}-{name}-{seed}-{ip}", std::process::id()));
        fs::create_dir_all(&dir).expect("create the folder");
        let mut instances = Vec::new();
        for number in 0..INSTANCE_COUNT {
            let program = other.clone().filter(|_| number == 0).unwrap_or_else(main_program);
            let mut instance = configure(number, program, &dir, ip, store);
            instance.spawn();
            instances.push(instance);
        }
        let client = reqwest::Client::builder().timeout(CALL_TIMEOUT).build().expect("a client");
        let world = Arc::new(World {
            trace,
            workers,
            platform,
            instances: Mutex::new(instances),
            client,
            dir,
            jobs: Mutex::default(),
            job_count: AtomicUsize::new(0),
            seed,
            keeps_logs: AtomicBool::new(true),
        });
        for number in 0..INSTANCE_COUNT {
            world.wait_until("an instance is ready", || world.is_ready(number)).await;
        }
        world
    }

    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        what: &str,
        mut check: impl FnMut() -> F,
    ) {
        let started = Instant::now();
        while !check().await {
            assert!(started.elapsed() < WAIT_LIMIT, "{what}: not in time, {}", self.dir.display());
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn is_ready(&self, number: usize) -> bool {
        let readiness = self.instances.lock()[number].readiness;
        let url = format!("http://{readiness}/-/readyz");
        self.client.get(url).send().await.is_ok_and(|answer| answer.status() == 200)
    }

    async fn call(&self, number: usize, method: Method, id: &str, body: String) -> (u16, Value) {
        let callers = self.instances.lock()[number].callers;
        let request = self.client.request(method, format!("http://{callers}/q/{id}"));
        let request = request.header("host", HOST).header("x-jacinthhook-credential", KEY);
        match request.header("x-jacinthhook-deadline-ms", "3000").body(body).send().await {
            Ok(answer) => (answer.status().as_u16(), answer.json().await.unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job of one step, at one instance after the other until one accepts it. Returns whether
    /// one did.
    pub async fn submit(&self, task_count: u64, task_ms: u64) -> bool {
        let number = self.job_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", (self.seed << 20) + number as u64);
        let (cpu, mem) = TASK_SIZE;
        let step = json!({ "count": task_count, "cpu": cpu, "memMb": mem, "estimateMs": task_ms });
        let body = json!({ "spec": task_ms.to_string(), "steps": [step] }).to_string();
        for attempt in 0..INSTANCE_COUNT * 3 {
            let instance = (number + attempt) % INSTANCE_COUNT;
            let (status, _) = self.call(instance, Method::POST, &id, body.clone()).await;
            if status == 200 {
                self.jobs.lock().push(Job { id, task_count });
                return true;
            }
            sleep(Duration::from_millis(200)).await;
        }
        false
    }

    /// Waits until a worker of the group runs a task, and cancels the last `count` jobs with tasks there.
    pub async fn cancel_jobs_on(&self, group: &[Arc<Worker>], count: usize) {
        let runs_there =
            |job: &Job| group.iter().any(|worker| worker.running_jobs().contains(&job.id));
        self.wait_until("the group runs a job", || async {
            self.jobs.lock().iter().any(runs_there)
        })
        .await;
        let cancelled = {
            let mut jobs = self.jobs.lock();
            let (there, mut kept): (Vec<Job>, Vec<Job>) = jobs.drain(..).partition(runs_there);
            let mut others = there;
            let cancelled = others.split_off(others.len().saturating_sub(count));
            kept.append(&mut others);
            *jobs = kept;
            cancelled
        };
        for job in cancelled {
            self.call(0, Method::DELETE, &job.id, String::new()).await;
        }
    }

    /// Submits jobs of seeded sizes `pause` apart, and asks each instance for the state of one on connections
    /// that stay open, until the set is dropped.
    pub fn submit_jobs(
        self: &Arc<World>,
        task_counts: RangeInclusive<u64>,
        task_ms: RangeInclusive<u64>,
        pause: Duration,
    ) -> JoinSet<()> {
        let (world, mut rng) = (self.clone(), self.rng());
        let mut jobs = JoinSet::new();
        jobs.spawn(async move {
            loop {
                let count = rng.random_range(task_counts.clone());
                world.submit(count, rng.random_range(task_ms.clone())).await;
                let asked = world.jobs.lock().choose(&mut rng).cloned();
                for instance in 0..asked.as_ref().map_or(0, |_| INSTANCE_COUNT) {
                    let id = asked.as_ref().map_or("", |job| &job.id);
                    world.call(instance, Method::GET, id, String::new()).await;
                }
                sleep(pause).await;
            }
        });
        jobs
    }

    /// Returns the number of the instance that is the owner by its last record.
    pub fn owner(&self) -> Option<usize> {
        let record = self.platform.newest_record("keyed.owner", "owner")?;
        let name = record["name"].as_str()?.to_string();
        self.instances.lock().iter().position(|instance| instance.name == name)
    }

    /// Kills owners until an instance is the owner.
    pub async fn make_owner(&self, wanted: usize) {
        self.wait_until("an owner", || async { self.owner().is_some() }).await;
        let until = Instant::now() + WAIT_LIMIT;
        while self.owner() != Some(wanted) {
            assert!(Instant::now() < until, "instance {wanted} does not become the owner");
            let killed = self.kill_owner();
            sleep(Duration::from_millis(1_500)).await;
            self.restart(killed);
            sleep(Duration::from_millis(1_500)).await;
        }
    }

    /// Kills the process of the owner. Returns the owner's number.
    pub fn kill_owner(&self) -> usize {
        let owner = self.owner().expect("an owner");
        self.kill(owner);
        owner
    }

    pub fn kill(&self, number: usize) {
        self.trace.line("", format!("instance {number} is killed"));
        self.instances.lock()[number].kill();
    }

    /// Starts the process of an instance again.
    pub fn restart(&self, number: usize) {
        self.trace.line("", format!("instance {number} starts again"));
        let instance = &mut self.instances.lock()[number];
        instance.kill();
        instance.spawn();
    }

    pub fn signal(&self, number: usize, signal: Signal) {
        self.trace.line("", format!("instance {number} gets {signal:?}"));
        if let Some(child) = &self.instances.lock()[number].child {
            let _ = rustix::process::kill_process(rustix::process::Pid::from_child(child), signal);
        }
    }

    /// Takes a seeded generator for the events of a case.
    pub fn rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(!self.seed)
    }

    /// Waits, for at most `limit`, until the process of an instance has ended.
    pub async fn await_exit(&self, number: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let is_running = || {
            let mut instances = self.instances.lock();
            let child = instances[number].child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        while is_running() && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn in_zone(&self, zone: &str) -> Vec<Arc<Worker>> {
        self.workers.iter().filter(|worker| worker.zone == zone).cloned().collect()
    }

    pub async fn await_runs(&self, least: usize) {
        let count = || self.workers.iter().map(|worker| worker.running_count()).sum::<usize>();
        self.wait_until("tasks run", || async { count() >= least }).await;
    }

    /// Waits until all accepted jobs are shown as complete, and returns what was wrong.
    pub async fn finish(&self, limit: Duration) -> Outcome {
        let runs = |job: &Job| format!("{}{}", job.id, self.trace.runs(&job.id));
        let mut open = self.jobs.lock().clone();
        let (job_count, until) = (open.len(), Instant::now() + limit);
        let (mut wrong, mut failed) = (Vec::new(), Vec::new());
        while !open.is_empty() && Instant::now() < until {
            let mut left = Vec::new();
            for (position, job) in open.into_iter().enumerate() {
                let instance = position % INSTANCE_COUNT;
                let answer = self.call(instance, Method::GET, &job.id, String::new()).await;
                match (answer.0, answer.1["state"].as_str().unwrap_or("")) {
                    (200, "complete") if self.trace.is_done(&job.id, job.task_count) => {}
                    (200, "complete") => {
                        wrong.push(format!("complete with tasks open: {}", runs(&job)))
                    }
                    (200, "failed") => failed.push(format!("shown as failed: {}", runs(&job))),
                    (410, _) => wrong.push(format!("not known: {}", runs(&job))),
                    _ => left.push(job),
                }
            }
            open = left;
            sleep(Duration::from_millis(300)).await;
        }
        wrong.extend(open.iter().map(|job| format!("not complete in time: {}", runs(job))));
        wrong.extend(self.trace.stray_stops_and_reused_runs());
        let (twice, stray_count) = (self.trace.twice(), self.trace.stray_count());
        let late_count = twice.iter().filter(|text| text.contains("carried out late")).count();
        let outcome = Outcome { twice, wrong, failed, stray_count };
        self.keeps_logs.store(!outcome.is_sound(), Ordering::Relaxed);
        println!(
            "{} seed {}: {job_count} jobs, {} runs, {} strays, {} TWICE ({late_count} by late starts), {} others, {} failed",
            self.dir.display(),
            self.seed,
            self.trace.run_count(),
            outcome.stray_count,
            outcome.twice.len(),
            outcome.wrong.len(),
            outcome.failed.len()
        );
        outcome
    }
}

/// What a world showed.
pub struct Outcome {
    /// Breaches of the rule TWICE.
    pub twice: Vec<String>,
    /// Jobs that were lost or shown as complete too early, and orders that met another process and did harm.
    pub wrong: Vec<String>,
    /// Jobs that were shown as failed. None of their runs ended so.
    pub failed: Vec<String>,
    /// Number of orders that met another process than the one they were meant for.
    pub stray_count: usize,
}

impl Outcome {
    pub fn is_sound(&self) -> bool {
        self.twice.is_empty() && self.wrong.is_empty() && self.failed.is_empty()
    }

    /// Panics with the trace unless nothing was wrong.
    pub fn check(&self) {
        assert!(self.is_sound(), "{}", self.report());
    }

    pub fn report(&self) -> String {
        let twice = self.twice.iter().take(SHOWN_BREACHES);
        twice.chain(&self.wrong).chain(&self.failed).map(|text| format!("{text}\n")).collect()
    }
}

fn declare(platform: &Platform) {
    let route = json!({
        "name": "q", "host": HOST, "pathPrefix": "/q/", "service": "pool",
        "maxAttempts": 3, "slackFactor": 1.6, "targetLatencyMs": 600, "priority": 0,
    });
    let config = json!({
        "version": 1, "routes": [route],
        "services": [{ "name": "pool", "enforcesCapacity": true }],
        "tenants": [{ "name": "team", "apiKeys": [KEY], "weight": 1 }],
    });
    platform.put_record("keyed.op", "config", &config);
}

fn configure(
    number: usize,
    program: PathBuf,
    dir: &Path,
    ip: IpAddr,
    store: SocketAddr,
) -> Instance {
    let name = format!("frontend-{number}");
    let at = |port: usize| SocketAddr::new(ip, (8_300 + number * 10 + port) as u16);
    let (callers, readiness, peers) = (at(0), at(1), at(2));
    let settings = json!({
        "nodeName": name, "role": "entry", "machineClass": "frontend", "serves": ["frontend"],
        "zone": format!("z{}", number + 1), "ip": ip.to_string(),
        "bindAddrs": { "frontend": callers.to_string(), "readiness": readiness.to_string() },
        "portRange": [peers.port(), peers.port() + 1], "bootstrap": true,
        "limits": { "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000 },
        "discovery": "platform", "heartbeatMs": HEARTBEAT.as_millis() as u64, "orders": "request",
        "bounds": {
            "maxHoldMs": MAX_LEASE.as_millis() as u64, "stopMs": STOP_DURATION.as_millis() as u64,
            "revokeMs": 5000, "status_s": 120, "graceS": 6, "leaseMs": 3000, "drainMs": 2000,
        },
        "platform": { "address": store.to_string(), "form": "log", "writesPerS": 600, "readsPerS": 2000 },
    });
    let file = dir.join(format!("{name}.json"));
    fs::write(&file, settings.to_string()).expect("write the settings");
    Instance {
        log: dir.join(format!("{name}.log")),
        name,
        program,
        settings: file,
        child: None,
        callers,
        readiness,
    }
}
