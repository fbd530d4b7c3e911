//! A small deployment: the store, workers of one pool, the service for machines, and instances of the
//! project's program, each a process of its own.

use crate::http::{self, Handler, Resp, Server};
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Sizes, Worker};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "host.example";
pub const PREFIX: &str = "/q/";
pub const KEY: &str = "key-of-team-1";
const POOL: &str = "pool";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Instance {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    _store: Server,
}

pub struct World {
    pub store: Store,
    pub record: Record,
    pub workers: Vec<Arc<Worker>>,
    pub instances: Vec<Instance>,
    sizes: Sizes,
    folder: PathBuf,
    cloud: Server,
}

impl Drop for World {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Returns the first of `count` free ports that follow each other, below the range from which outgoing
/// connections take theirs. Each process of this program has a block of its own.
fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let block = 12_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let first = block + NEXT.fetch_add(count, Ordering::Relaxed) % 96;
        if (first..first + count).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return first;
        }
    }
}

/// Starts the program with the command of the deploy file.
fn start_process(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let child = Command::new("target/release/jacinthhook")
        .arg("run")
        .env("JACINTHHOOK_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn();
    child.unwrap_or_else(|e| {
        println!("target/release/jacinthhook cannot be started: {e}");
        std::process::exit(2)
    })
}

/// A step of a job as clients send it.
pub struct Step {
    pub fields: Vec<(&'static str, Json)>,
}

impl Step {
    pub fn new(count: u64, cpu: u64, mem_mb: u64, estimate_ms: u64) -> Step {
        let fields = vec![
            ("count", n(count)),
            ("cpu", n(cpu)),
            ("memMb", n(mem_mb)),
            ("estimateMs", n(estimate_ms)),
        ];
        Step { fields }
    }

    pub fn with(mut self, name: &'static str, value: Json) -> Step {
        self.fields.push((name, value));
        self
    }
}

impl World {
    /// Starts the store and `kinds` workers; the instances follow.
    pub fn new(name: &str, record: Record, kinds: Vec<Kind>) -> World {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (store, sizes) = (Store::default(), Sizes::default());
        declare(&store, 1, true, 0);
        let workers: Vec<Arc<Worker>> =
            kinds.into_iter().map(|k| Worker::start(k, POOL, &store, &record, &sizes)).collect();
        let machines = workers.clone();
        let cloud: Handler = Arc::new(move |req| Some(answer_machines(&req.path, &machines)));
        let cloud = Server::start(0, cloud).expect("a port for the machines");
        World { store, record, workers, instances: Vec::new(), sizes, folder, cloud }
    }

    /// Starts an instance with the command of the deploy file.
    pub fn start_instance(&mut self, name: &str) {
        let number = self.instances.len();
        let store = self.store.serve(number);
        let (callers, readiness, control) = (free_ports(1), free_ports(1), free_ports(1));
        let first = free_ports(2);
        let local = |port: u16| s(&format!("127.0.0.1:{port}"));
        let bounds = "{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\
            \"drainMs\":2000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":2000,\
            \"rollbackSlackMs\":250,\"maxSkewMs\":5000,\"strictRevocation\":true,\"revokeMs\":5000,\
            \"evacuateMs\":5000,\"recoveryS\":12,\"maxHoldMs\":MAX_HOLD,\"stopMs\":900,\
            \"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\
            \"finish_s\":14,\"status_s\":120,\"checkpointS\":0.5,\"restoreMs\":600,\"noticeMs\":4500,\
            \"migrateS\":1.5,\"maintenanceS\":2,\"enforceFencing\":true,\"leaseMs\":3000,\
            \"thawMs\":300,\"rateMs\":100,\"impactMs\":4000}";
        let max_hold_ms = self.workers[0].kind.max_hold_ms.to_string();
        let bounds = bounds.replace("MAX_HOLD", &max_hold_ms);
        let bounds = Json::parse(bounds.as_bytes()).expect("the bounds");
        let limits = obj(&[
            ("cpuShare", Json::Num(0.25)),
            ("cores", n(1)),
            ("memoryMb", n(260)),
            ("maxFds", n(4_100)),
            ("linkMbps", n(1_000)),
        ]);
        let addrs = obj(&[
            ("frontend", local(callers)),
            ("readiness", local(readiness)),
            ("controlPlane", local(control)),
        ]);
        let platform = obj(&[
            ("address", s(&store.addr.to_string())),
            ("form", s("log")),
            ("writesPerS", n(800)),
            ("readsPerS", n(2_000)),
            ("parts", n(32)),
            ("appendMs", n(2)),
            ("recordBytes", n(262_144)),
            ("requestBytes", n(2_097_152)),
            ("keep_s", n(300)),
        ]);
        let cloud = obj(&[
            ("address", s(&self.cloud.addr.to_string())),
            ("ratePerS", n(64)),
            ("dutyPerS", n(64)),
        ]);
        let settings = obj(&[
            ("nodeName", s(name)),
            ("role", s("entry")),
            ("machineClass", s("frontend")),
            ("serves", Json::Arr(vec![s("frontend")])),
            ("ip", s("127.0.0.1")),
            ("zone", s(&format!("z{number}"))),
            ("bindAddrs", addrs),
            ("portRange", Json::Arr(vec![n(first.into()), n(u64::from(first) + 1)])),
            ("bootstrap", Json::Bool(true)),
            ("limits", limits),
            ("discovery", s("platform")),
            ("heartbeatMs", n(1_500)),
            ("bounds", bounds),
            ("orders", s("request")),
            ("platform", platform),
            ("cloud", cloud),
        ]);
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("the settings");
        let log = self.folder.join(format!("{name}.log"));
        let child = start_process(&file, &log);
        self.record.say(&format!("instance {name} begins: callers at 127.0.0.1:{callers}"));
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, readiness) = (at(callers), at(readiness));
        self.instances.push(Instance { child, settings: file, log, callers, readiness, _store: store });
    }

    /// Waits until all instances are ready, and an owner has asked all workers.
    pub fn await_ready(&self) {
        for instance in &self.instances {
            self.await_true("an instance is ready", 20.0, || {
                let timeout = Duration::from_secs(1);
                let host = [("host", "ready")];
                http::call(instance.readiness, "GET", "/-/readyz", &host, b"", timeout)
                    .is_some_and(|(status, _)| status == 200)
            });
        }
        thread::sleep(Duration::from_secs(4));
        self.record.say("all instances are ready");
    }

    /// Waits for a condition without which the case cannot run.
    pub fn await_true(&self, what: &str, seconds: f64, check: impl Fn() -> bool) {
        if !self.wait(seconds, check) {
            self.record.say(&format!("cannot run: not within {seconds} s: {what}"));
            self.quit(2);
        }
    }

    /// Waits for a condition. Returns whether it held in time.
    pub fn wait(&self, seconds: f64, check: impl Fn() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if check() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn quit(&self, code: i32) -> ! {
        for instance in &self.instances {
            let _ = Command::new("kill").arg("-9").arg(instance.child.id().to_string()).status();
        }
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }

    fn call(&self, instance: usize, method: &str, id: &str, body: &str) -> (u16, Json) {
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-jacinthhook-credential", KEY),
            ("x-jacinthhook-deadline-ms", "3000"),
        ];
        let (addr, path) = (self.instances[instance].callers, format!("{PREFIX}{id}"));
        let answer = http::call(addr, method, &path, &headers, body.as_bytes(), CALL_TIMEOUT);
        match answer {
            Some((status, body)) => (status, Json::parse(&body).unwrap_or(Json::Null)),
            None => (0, Json::Null),
        }
    }

    /// Submits a job as a client does, up to five times. Returns whether it was accepted.
    pub fn submit(&self, instance: usize, id: &str, spec: &str, steps: &[Step]) -> bool {
        let sizes = steps.iter().map(|step| {
            let step = obj(&step.fields);
            (step.num("cpu"), step.num("memMb"))
        });
        self.sizes.lock().unwrap().insert(id.to_string(), sizes.collect());
        let steps = Json::Arr(steps.iter().map(|step| obj(&step.fields)).collect());
        let body = obj(&[("spec", s(spec)), ("steps", steps)]).to_string();
        for _ in 0..5 {
            let (status, _) = self.call(instance, "POST", id, &body);
            let shown: String = body.chars().take(300).collect();
            self.record.say(&format!("POST {PREFIX}{id} {shown} -> {status}"));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Asks for a job's state. Returns the status and the state.
    pub fn state(&self, instance: usize, id: &str) -> (u16, String) {
        let (status, body) = self.call(instance, "GET", id, "");
        (status, body.text("state").to_string())
    }

    /// Asks until there is a state, up to three times, and records the answer.
    pub fn ask(&self, instance: usize, id: &str) -> (u16, String) {
        let mut answer = (0, String::new());
        for _ in 0..3 {
            answer = self.state(instance, id);
            if answer.0 == 200 {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        self.record.say(&format!("GET {PREFIX}{id} -> {} {}", answer.0, answer.1));
        answer
    }

    /// Cancels a job.
    pub fn cancel(&self, instance: usize, id: &str) -> u16 {
        let (status, _) = self.call(instance, "DELETE", id, "");
        self.record.say(&format!("DELETE {PREFIX}{id} at instance {instance} -> {status}"));
        status
    }

    /// Returns the process id of an instance.
    pub fn pid(&self, instance: usize) -> u32 {
        self.instances[instance].child.id()
    }

    /// Kills the process of an instance with SIGKILL.
    pub fn kill(&mut self, instance: usize) {
        let child = &mut self.instances[instance].child;
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process of an instance again, with the same settings.
    pub fn restart(&mut self, instance: usize) {
        let instance = &mut self.instances[instance];
        instance.child = start_process(&instance.settings, &instance.log);
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, task: &str) -> Option<&Arc<Worker>> {
        self.workers.iter().find(|w| w.running().contains(task))
    }

    /// Returns the number of the instance that the store names as the owner.
    pub fn owner(&self, names: &[&str]) -> Option<usize> {
        let record = self.store.newest("keyed.owner", "owner")?;
        names.iter().position(|name| *name == record.text("name"))
    }
}

/// Writes a version of the config, with or without the route of the jobs, and with a limit for the
/// processors of the team; 0 means none.
pub fn declare(store: &Store, version: u64, has_route: bool, limit: u64) {
    let route = |name: &str, prefix: &str| {
        obj(&[
            ("name", s(name)),
            ("host", s(HOST)),
            ("pathPrefix", s(prefix)),
            ("service", s(POOL)),
            ("priority", n(0)),
            ("maxAttempts", n(3)),
            ("slackFactor", Json::Num(1.6)),
            ("targetLatencyMs", n(600)),
        ])
    };
    let mut routes = vec![route("r-other", "/other/")];
    if has_route {
        routes.push(route("r-jobs", PREFIX));
    }
    let pool = obj(&[("name", s(POOL)), ("enforcesCapacity", Json::Bool(true))]);
    let team = obj(&[
        ("name", s("team-1")),
        ("apiKeys", Json::Arr(vec![s(KEY)])),
        ("weight", n(1)),
        ("maxCount", obj(&[("cpu", n(limit))])),
    ]);
    let config = obj(&[
        ("version", n(version)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(vec![pool])),
        ("tenants", Json::Arr(vec![team])),
    ]);
    store.put("keyed.op", "config", Some(&config));
}

/// Answers for the service of the machines: all are up, and none is asked to move here.
fn answer_machines(path: &str, workers: &[Arc<Worker>]) -> Resp {
    if path != "/-/machines" {
        return Resp { status: 429, body: b"{}".to_vec() };
    }
    let machines = workers.iter().map(|w| {
        let capacity = obj(&[("cpu", n(w.kind.cpu)), ("memMb", n(w.kind.mem_mb))]);
        obj(&[
            ("machine", s(&w.kind.machine)),
            ("pool", s(POOL)),
            ("state", s("up")),
            ("zone", s(&w.kind.zone)),
            ("labels", Json::Arr(vec![s("a"), s(&w.kind.rack)])),
            ("capacity", capacity),
            ("id", s(&w.kind.id)),
        ])
    });
    let body = obj(&[("machines", Json::Arr(machines.collect()))]);
    Resp { status: 200, body: body.to_string().into_bytes() }
}
