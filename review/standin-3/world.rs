//! The system's own processes, and what surrounds them.

use crate::http;
use crate::json::{self, object, Value};
use crate::record::Record;
use crate::runner::{Gangs, Place, Runner};
use crate::store::{Link, Store};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Two runners, in different zones and racks, are of another kind than all others.
pub const RARE_KIND: &str = "b";
const RARE_RUNNERS: [usize; 2] = [0, 5];
pub const HOST: &str = "jobs.example";
/// Time for which clients wait for an answer, as the customers' sheets state it.
const TIME_BUDGET: Duration = Duration::from_secs(3);
/// Events of the processes that the record repeats.
const SHOWN_EVENTS: [&str; 12] = [
    "OwnerHere", "OwnerReady", "OwnerGone", "EarlierOwnerOver", "StoreLost", "StoreBack",
    "BatchJobAccepted", "BatchJobCancelled", "BatchCallRefused", "BatchJobGivenUp", "BatchJobEnded",
    "WorkerCrashed",
];

/// One entry machine.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub link: Arc<Link>,
    readiness: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let headers = [("host", "x")];
        http::call(self.readiness, "GET", "/-/readyz", &headers, "", TIME_BUDGET).0 == 200
    }

    /// Whether its log has an event.
    pub fn has_event(&self, name: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.text("name") == name)
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    pub runners: Vec<Arc<Runner>>,
    dir: PathBuf,
    next_port: u16,
}

impl Drop for World {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// `maxCount` of the one tenant, in thousandths of a core; 0 for no limit.
pub fn config(version: u64, tenant_cpu: u64) -> Value {
    let route = object(vec![
        ("name", "jobs".into()),
        ("host", HOST.into()),
        ("pathPrefix", "/jobs/".into()),
        ("service", "pool".into()),
        ("maxAttempts", 3.into()),
        ("slackFactor", Value::Number(1.6)),
        ("targetLatencyMs", 600.into()),
    ]);
    let service = object(vec![("name", "pool".into()), ("enforcesCapacity", Value::Bool(true))]);
    let tenant = object(vec![
        ("name", "depot".into()),
        ("apiKeys", Value::List(vec!["key-1".into()])),
        ("weight", 20.into()),
        ("maxCount", object(vec![("cpu", tenant_cpu.into())])),
    ]);
    object(vec![
        ("version", version.into()),
        ("routes", Value::List(vec![route])),
        ("services", Value::List(vec![service])),
        ("tenants", Value::List(vec![tenant])),
    ])
}

impl World {
    /// Starts the store, `runners` runners in three zones and racks of four, and `instances` entry instances, and
    /// waits until these are ready and one of them decides.
    pub fn start(record_path: &str, instances: usize, runners: usize, config: &Value) -> World {
        let record = Arc::new(Record::create(record_path).expect("the record's folder"));
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", config);
        let dir = std::env::temp_dir().join(format!("jacinthhook-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let next_port = 16_000 + (std::process::id() % 100) as u16 * 100;
        let mut world =
            World { record, store, instances: Vec::new(), runners: Vec::new(), dir, next_port };
        let gangs = Arc::new(Gangs::default());
        for number in 0..runners {
            let (zone, rack) = (format!("z{}", number % 3 + 1), format!("k{}", number / 4 + 1));
            let kind = if RARE_RUNNERS.contains(&number) { RARE_KIND } else { "a" };
            let port = world.free_port();
            let place = Place { service: "pool", zone: &zone, rack: &rack, kind, port };
            let runner = Runner::start(number + 1, &place, &world.store, &world.record, &gangs);
            world.runners.push(runner);
        }
        for number in 0..instances {
            let instance = world.start_instance(number);
            world.instances.push(instance);
        }
        let is_up = |w: &World| {
            w.instances.iter().all(Instance::is_ready)
                && w.instances.iter().any(|i| i.has_event("OwnerReady"))
        };
        if !world.wait(Duration::from_secs(20), is_up) {
            world.give_up("the instances are not ready");
        }
        // Some rounds of polls, so that all runners are known.
        thread::sleep(Duration::from_secs(2));
        world.record.write("all instances are ready");
        world
    }

    /// Ends the case as one that could not run.
    pub fn give_up(&mut self, reason: &str) -> ! {
        self.record.write(&format!("the case could not run: {reason}"));
        println!("the case could not run: {reason}");
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.dir);
        std::process::exit(2);
    }

    fn free_port(&mut self) -> u16 {
        loop {
            self.next_port += 1;
            if TcpListener::bind(("127.0.0.1", self.next_port)).is_ok() {
                return self.next_port;
            }
        }
    }

    fn start_instance(&mut self, number: usize) -> Instance {
        let name = format!("frontend-z{}-1", number + 1);
        let (front, ready, first) = (self.free_port(), self.free_port(), self.free_port());
        let link = Arc::new(Link::default());
        let store = self.store.serve(link.clone()).address;
        let text = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"frontend","serves":["frontend"],
"ip":"127.0.0.1","zone":"z{zone}","region":"r","zones":{{"z1":"r","z2":"r","z3":"r"}},
"bindAddrs":{{"frontend":"127.0.0.1:{front}","readiness":"127.0.0.1:{ready}"}},
"portRange":[{first},{first}],"seeds":[],"bootstrap":true,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"bounds":{{"contactMs":3000,"ackMs":4000,"drainMs":2000,"graceS":6,"configApplyMs":2000,
"strictRevocation":true,"revokeMs":5000,"quotaOverage":0.1,"maxHoldMs":10000,"stopMs":200,
"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
"leaseMs":3000}},
"orders":"request","platform":{{"address":"{store}","form":"log","writesPerS":600,"readsPerS":2000,
"parts":32,"recordBytes":262144,"requestBytes":2097152,"keep_s":300,"partitionMb":200}}}}"#,
            zone = number + 1,
        );
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, text).expect("the settings file");
        let mut child = Command::new("target/release/jacinthhook")
            .args(["run", "--settings", "deploy/run.ini"])
            .env("JACINTHHOOK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program, built as the deploy file says");
        let log = Arc::new(Mutex::new(Vec::new()));
        let out = child.stdout.take().expect("a pipe");
        let (lines, record, shown) = (log.clone(), self.record.clone(), name.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let entry = json::parse(line.as_bytes());
                if SHOWN_EVENTS.contains(&entry.text("name")) {
                    record.write(&format!("{shown} logs {line}"));
                }
                lines.lock().unwrap().push(entry);
            }
        });
        Instance {
            name,
            callers: ([127, 0, 0, 1], front).into(),
            link,
            readiness: ([127, 0, 0, 1], ready).into(),
            child,
            log,
        }
    }

    /// Position of the instance that the latest owner record names.
    pub fn owner(&self) -> Option<usize> {
        let record = self.store.newest("keyed.owner", "owner");
        self.instances.iter().position(|i| i.name == record.text("name"))
    }

    /// Sends a client's call. Returns the status, 0 for no answer, and the body.
    pub fn call(&self, instance: usize, method: &str, id: &str, body: &str) -> (u16, Value) {
        let instance = &self.instances[instance];
        let budget = TIME_BUDGET.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-jacinthhook-credential", "key-1"),
            ("x-jacinthhook-deadline-ms", &budget),
        ];
        let path = format!("/jobs/{id}");
        let (status, answer) =
            http::call(instance.callers, method, &path, &headers, body, TIME_BUDGET);
        let answer = json::parse(&answer);
        let shown = if body.is_empty() { String::new() } else { format!(" with {body}") };
        self.record.write(&format!(
            "client: {method} {id}{shown} at {}: {status} {answer}",
            instance.name
        ));
        (status, answer)
    }

    /// Waits until a condition holds, for `limit` at most. Returns whether it does.
    pub fn wait(&self, limit: Duration, condition: impl Fn(&World) -> bool) -> bool {
        let until = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Sends a call until it is answered with a 2xx, for `limit` at most, as clients do after no answer.
    pub fn submit(&mut self, instance: usize, id: &str, body: &str) {
        for _ in 0..5 {
            if self.call(instance, "POST", id, body).0 == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.give_up("a job was not accepted");
    }
}
