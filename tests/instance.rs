//! Instances as separate processes on a stand-in of the users' platform.

mod common;
mod users_platform;

use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use users_platform::Platform;

/// Longest wait for something that is to happen within a few seconds.
const SOON: Duration = Duration::from_secs(30);

struct Instance {
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    log: Arc<Mutex<Vec<Value>>>,
    _dir: std::path::PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// First port for instances: below the range from which the system picks ports for connections, so that
/// none of these takes a port before the instance does.
const FIRST_PORT: u16 = 12_000;
/// Ports for one test process, and test processes before the ports come again.
const PORTS: u16 = 200;
const PROCESSES: u32 = 100;

/// A free port that no other instance of this test process gets.
fn port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = (std::process::id() % PROCESSES) as u16;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(next < PORTS, "this process has no ports left");
        let port = FIRST_PORT + process * PORTS + next;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start(name: &str, store: SocketAddr) -> Instance {
    start_that_keeps(name, store, 120)
}

/// An instance that keeps jobs for so many seconds after their end.
fn start_that_keeps(name: &str, store: SocketAddr, keep_secs: u64) -> Instance {
    let dir = std::env::temp_dir().join(format!("jacinthhook-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let (front, ready, first) = (port(), port(), port());
    let settings = json!({
        "nodeName": name, "zone": "z1", "ip": "127.0.0.1",
        "bindAddrs": {
            "frontend": format!("127.0.0.1:{front}"), "readiness": format!("127.0.0.1:{ready}"),
        },
        "portRange": [first, first],
        "bounds": { "maxHoldMs": 10000, "revokeMs": 5000, "status_s": keep_secs, "graceS": 6 },
        "platform": { "address": store.to_string() },
    });
    let file = dir.join("local.json");
    std::fs::write(&file, settings.to_string()).expect("settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthhook"))
        .arg("run")
        .env("JACINTHHOOK_BOOT", &file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program");
    let log = Arc::new(Mutex::new(Vec::new()));
    let (lines, out) = (log.clone(), child.stdout.take().expect("its output"));
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            lines.lock().push(serde_json::from_str(&line).unwrap_or_default());
        }
    });
    Instance {
        child,
        callers: ([127, 0, 0, 1], front).into(),
        readiness: ([127, 0, 0, 1], ready).into(),
        log,
        _dir: dir,
    }
}

impl Instance {
    async fn call(
        &self,
        method: reqwest::Method,
        path: &str,
        key: &str,
        body: &str,
    ) -> (u16, Value) {
        let client = reqwest::Client::new();
        let url = format!("http://{}{path}", self.callers);
        let request = client.request(method, url).header("host", "host.example");
        let request = request.header("x-jacinthhook-credential", key).body(body.to_string());
        match request.send().await {
            Ok(answer) => {
                let status = answer.status().as_u16();
                (status, answer.json().await.unwrap_or_default())
            }
            Err(_) => (0, Value::Null),
        }
    }

    async fn is_ready(&self) -> bool {
        let url = format!("http://{}/-/readyz", self.readiness);
        reqwest::get(url).await.is_ok_and(|a| a.status() == 200)
    }

    fn events(&self, name: &str) -> Vec<Value> {
        let log = self.log.lock();
        log.iter().filter(|line| line["name"] == name).cloned().collect()
    }
}

async fn until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let started = Instant::now();
    while !check().await {
        assert!(started.elapsed() < SOON, "not within {SOON:?}: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn declare(platform: &Platform, version: u64, keys: &[&str]) {
    let route = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": "host.example", "pathPrefix": prefix, "service": "pool",
            "maxAttempts": 2, "slackFactor": 1.6, "targetLatencyMs": 600,
        })
    };
    let config = json!({
        "version": version, "routes": [route("q", "/q/")],
        "services": [{ "name": "pool", "enforcesCapacity": true }],
        "tenants": [{ "name": "team", "apiKeys": keys, "weight": 1 }],
    });
    platform.put("keyed.op", "config", &config);
}

async fn platform() -> (Arc<Platform>, SocketAddr) {
    let platform = Platform::new();
    let address = platform.serve().await;
    declare(&platform, 1, &["k1", "k2"]);
    let entry = json!({
        "service": "pool", "address": address.to_string(), "zone": "z1", "state": "ready",
        "labels": ["a", "r1"], "capacity": { "cpu": 16000, "memMb": 32768 }, "machine": "m1",
        "born": 1,
    });
    platform.put("keyed.servers", "w1", &entry);
    (platform, address)
}

const JOB: &str = r#"{"spec":"x","steps":[{"count":3,"cpu":500,"memMb":64,"estimateMs":100},{"count":1,"cpu":500,"after":[0]}]}"#;

fn post() -> reqwest::Method {
    reqwest::Method::POST
}

fn get() -> reqwest::Method {
    reqwest::Method::GET
}

/// The whole path on two processes: refusals, a job to its end at the other instance, its log lines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_from_submit_to_complete() {
    let (platform, address) = platform().await;
    let (a, b) = (start("path-a", address), start("path-b", address));
    until("both are ready", async || a.is_ready().await && b.is_ready().await).await;
    let path = "/q/00000000000000a1";
    assert_eq!(a.call(post(), path, "none", JOB).await.0, 401);
    assert_eq!(a.call(post(), "/other/00000000000000a1", "k1", JOB).await.0, 404);
    assert_eq!(a.call(post(), path, "k1", "not JSON").await.0, 400);
    assert_eq!(a.call(post(), path, "k1", JOB).await.0, 200);
    assert_eq!(b.call(post(), path, "k1", JOB).await.0, 200, "a repeat is the same job");
    until("the job is complete at both", async || {
        let (at_a, at_b) =
            (a.call(get(), path, "k1", "").await, b.call(get(), path, "k1", "").await);
        at_a.1["state"] == "complete" && at_b.1["state"] == "complete"
    })
    .await;
    let starts = platform.starts();
    assert_eq!(starts.len(), 4);
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    assert_eq!(b.call(get(), "/q/00000000000000ff", "k1", "").await.0, 410);
    let accepted = a.events("BatchJobAccepted");
    assert_eq!(accepted[0]["job"], "00000000000000a1");
    let refused = a.events("BatchCallRefused");
    assert_eq!(refused[0]["status"], 401, "{refused:?}");
    let placed = [a.events("TaskPlaced"), b.events("TaskPlaced")].concat();
    assert_eq!(placed.len(), 4, "the owner logs each start");
}

/// A withdrawn key stops working, also while the store does not answer (CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_is_refused() {
    let (platform, address) = platform().await;
    let a = start("keys", address);
    until("it is ready", async || a.is_ready().await).await;
    let path = "/q/00000000000000b1";
    declare(&platform, 5, &["k1"]);
    until("the key is refused", async || a.call(get(), path, "k2", "").await.0 == 401).await;
    platform.down.store(true, Ordering::Relaxed);
    until("keys are not known to be in force", async || {
        a.call(post(), path, "k1", JOB).await.0 == 503 && !a.is_ready().await
    })
    .await;
    platform.down.store(false, Ordering::Relaxed);
    until("it is ready again", async || a.is_ready().await).await;
}

/// The owner is killed while tasks run: the other instance takes over, nothing is lost or doubled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_killed_under_work() {
    let (platform, address) = platform().await;
    let mut pair = [start("kill-a", address), start("kill-b", address)];
    until("both are ready", async || pair[0].is_ready().await && pair[1].is_ready().await).await;
    until("there is an owner", async || pair.iter().any(|i| !i.events("OwnerReady").is_empty()))
        .await;
    let owner = pair.iter().position(|i| !i.events("OwnerReady").is_empty()).expect("an owner");
    let lasts =
        r#"{"spec":"lasts","steps":[{"count":2,"cpu":500,"longRunning":true,"mayMiss":1}]}"#;
    assert_eq!(pair[owner].call(post(), "/q/00000000000000c1", "k1", lasts).await.0, 200);
    until("both tasks run", async || platform.starts().len() == 2).await;
    pair[owner].child.kill().expect("a signal");
    let other = &pair[1 - owner];
    assert_eq!(other.call(post(), "/q/00000000000000c2", "k1", JOB).await.0, 200);
    until("the other job is complete", async || {
        other.call(get(), "/q/00000000000000c2", "k1", "").await.1["state"] == "complete"
    })
    .await;
    let starts: HashMap<String, u32> = platform.starts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    let state = other.call(get(), "/q/00000000000000c1", "k1", "").await.1;
    assert_eq!(state["state"], "running");
    let cancelled = other.call(reqwest::Method::DELETE, "/q/00000000000000c1", "k1", "").await.0;
    assert_eq!(cancelled, 200);
    until("the cancelled job is shown as such", async || {
        other.call(get(), "/q/00000000000000c1", "k1", "").await.1["state"] == "cancelled"
    })
    .await;
}

/// The owner is stopped as planned: the other takes over at once and hears that the earlier one gives
/// no orders any more, so that it need not wait for long leases (LOST on hunt-3a1e-19 of tt-jobs).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_stopped_hands_over() {
    let (_platform, address) = platform().await;
    let pair = [start("stop-a", address), start("stop-b", address)];
    until("both are ready", async || pair[0].is_ready().await && pair[1].is_ready().await).await;
    until("there is an owner", async || pair.iter().any(|i| !i.events("OwnerReady").is_empty()))
        .await;
    let owner = pair.iter().position(|i| !i.events("OwnerReady").is_empty()).expect("an owner");
    let pid = rustix::process::Pid::from_child(&pair[owner].child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("a signal");
    let other = &pair[1 - owner];
    until("it hears that the earlier owner is over", async || {
        !other.events("EarlierOwnerOver").is_empty()
    })
    .await;
    assert_eq!(other.events("OwnerReady").len(), 1);
    assert_eq!(pair[owner].events("OwnerGone")[0]["reason"], "stopping");
}

/// An instance that was the owner in an earlier life takes over at once; it waited for the silence of
/// itself (1.5 s without an owner on both incidents).
#[test]
fn silence_before_earlier_life() {
    use jacinthhook::instance::shared::Leader;
    use jacinthhook::instance::term::silence_before;
    let leader = Leader {
        term: 3,
        life: 7,
        name: "a".into(),
        zone: "z1".into(),
        peers: "127.0.0.1:1".into(),
    };
    assert_eq!(silence_before(&leader, "a", 8), Duration::ZERO);
    assert!(silence_before(&leader, "b", 8) > Duration::ZERO);
    assert!(silence_before(&leader, "a", 7) > Duration::ZERO);
}

/// A job that ended long ago is dropped whole: the next owner took its hand-in, which was kept, for a
/// new job and ran it again (TWICE after a change of owner later than 120 s after the end).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_job_stays_dropped() {
    let (platform, address) = platform().await;
    let mut pair = [start_that_keeps("drop-a", address, 1), start_that_keeps("drop-b", address, 1)];
    until("both are ready", async || pair[0].is_ready().await && pair[1].is_ready().await).await;
    until("there is an owner", async || pair.iter().any(|i| !i.events("OwnerReady").is_empty()))
        .await;
    let owner = pair.iter().position(|i| !i.events("OwnerReady").is_empty()).expect("an owner");
    let path = "/q/00000000000000d1";
    assert_eq!(pair[owner].call(post(), path, "k1", JOB).await.0, 200);
    until("the job is gone", async || {
        platform.starts().len() == 4 && pair[1 - owner].call(get(), path, "k1", "").await.0 == 410
    })
    .await;
    pair[owner].child.kill().expect("a signal");
    let other = &pair[1 - owner];
    until("the other owns", async || !other.events("OwnerReady").is_empty()).await;
    let another = "/q/00000000000000d2";
    assert_eq!(other.call(post(), another, "k1", JOB).await.0, 200);
    until("another job runs", async || platform.starts().len() == 8).await;
    let starts = platform.starts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}
