//! Tests of instances as separate processes against a stand-in of the users' platform.

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

/// Timeout of conditions that usually hold within a few seconds.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

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

/// First port for instances. It is below the system's ephemeral port range, so that no outgoing
/// connection takes a port before the instance does.
const FIRST_PORT: u16 = 12_000;
/// Ports per test process, and number of such blocks before ports are reused.
const PORTS_PER_PROCESS: u16 = 200;
const PORT_BLOCKS: u32 = 100;

/// Returns a free port that no other instance of this test process uses.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = (std::process::id() % PORT_BLOCKS) as u16;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(next < PORTS_PER_PROCESS, "this test process has used all of its ports");
        let port = FIRST_PORT + process * PORTS_PER_PROCESS + next;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start(name: &str, store: SocketAddr) -> Instance {
    start_with_settings(name, store, json!({}))
}

/// Starts an instance that keeps ended jobs for `retention_secs`.
fn start_with_retention(name: &str, store: SocketAddr, retention_secs: u64) -> Instance {
    let bounds =
        json!({ "maxHoldMs": 10000, "revokeMs": 5000, "status_s": retention_secs, "graceS": 6 });
    start_with_settings(name, store, json!({ "bounds": bounds }))
}

/// Size of a machine on which an instance runs.
#[derive(Clone, Copy)]
enum Machine {
    Small,
    Large,
}

/// Starts an instance on a machine of a size.
fn start_on(machine: Machine, name: &str, store: SocketAddr) -> Instance {
    let limits = match machine {
        Machine::Small => json!({ "cpuShare": 0.12, "cores": 1, "linkMbps": 10 }),
        Machine::Large => json!({ "cpuShare": 0.5, "cores": 1, "linkMbps": 200 }),
    };
    start_with_settings(name, store, json!({ "limits": limits }))
}

/// Starts an instance with settings that replace or extend the usual ones.
fn start_with_settings(name: &str, store: SocketAddr, changed: Value) -> Instance {
    start_with_args(name, store, changed, &[])
}

fn start_with_args(name: &str, store: SocketAddr, changed: Value, run_args: &[&str]) -> Instance {
    let dir = std::env::temp_dir().join(format!("jacinthhook-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the folder");
    // A process that another test starts holds the listener of `free_port` until it has replaced its
    // program; the port would then still be in use when this instance binds it.
    static STARTING: Mutex<()> = Mutex::new(());
    let starting = STARTING.lock();
    let (front, ready, first) = (free_port(), free_port(), free_port());
    let mut settings = json!({
        "nodeName": name, "zone": "z1", "ip": "127.0.0.1",
        "bindAddrs": {
            "frontend": format!("127.0.0.1:{front}"), "readiness": format!("127.0.0.1:{ready}"),
        },
        "portRange": [first, first],
        "bounds": { "maxHoldMs": 10000, "revokeMs": 5000, "status_s": 120, "graceS": 6 },
        "platform": { "address": store.to_string() },
    });
    for (field, value) in changed.as_object().into_iter().flatten() {
        settings[field] = value.clone();
    }
    let file = dir.join("local.json");
    std::fs::write(&file, settings.to_string()).expect("write the settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthhook"))
        .arg("run")
        .args(run_args)
        .env("JACINTHHOOK_BOOT", &file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("start the program");
    drop(starting);
    let log = Arc::new(Mutex::new(Vec::new()));
    let (lines, out) = (log.clone(), child.stdout.take().expect("stdout is piped"));
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

async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let started = Instant::now();
    while !check().await {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out after {WAIT_LIMIT:?}: {what}");
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
    platform.put_record("keyed.op", "config", &config);
}

async fn start_platform() -> (Arc<Platform>, SocketAddr) {
    let platform = Platform::new();
    let address = platform.serve().await;
    declare(&platform, 1, &["k1", "k2"]);
    let entry = json!({
        "service": "pool", "address": address.to_string(), "zone": "z1", "state": "ready",
        "labels": ["a", "r1"], "capacity": { "cpu": 16000, "memMb": 32768 }, "machine": "m1",
        "born": 1,
    });
    platform.put_record("keyed.servers", "w1", &entry);
    (platform, address)
}

const JOB: &str = r#"{"spec":"x","steps":[{"count":3,"cpu":500,"memMb":64,"estimateMs":100},{"count":1,"cpu":500,"after":[0]}]}"#;

fn post() -> reqwest::Method {
    reqwest::Method::POST
}

fn get() -> reqwest::Method {
    reqwest::Method::GET
}

/// Runs a job from submission to completion on two instances: rejected calls, a retried submission
/// at the other instance, and the log lines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_from_submit_to_complete() {
    let (platform, address) = start_platform().await;
    let (a, b) = (start("path-a", address), start("path-b", address));
    wait_until("both instances are ready", async || a.is_ready().await && b.is_ready().await).await;
    let path = "/q/00000000000000a1";
    assert_eq!(a.call(post(), path, "none", JOB).await.0, 401);
    assert_eq!(a.call(post(), "/other/00000000000000a1", "k1", JOB).await.0, 404);
    assert_eq!(a.call(post(), path, "k1", "not JSON").await.0, 400);
    assert_eq!(a.call(post(), path, "k1", JOB).await.0, 200);
    assert_eq!(
        b.call(post(), path, "k1", JOB).await.0,
        200,
        "a retried submission is the same job"
    );
    wait_until("the job is complete at both", async || {
        let (at_a, at_b) =
            (a.call(get(), path, "k1", "").await, b.call(get(), path, "k1", "").await);
        at_a.1["state"] == "complete" && at_b.1["state"] == "complete"
    })
    .await;
    let starts = platform.start_counts();
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

/// A share of the starts of a job gets no answer and is carried out seconds later. Guards against a job that waits for
/// their timeouts, and against a task that runs again by the late order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_with_lost_starts() {
    let (platform, address) = start_platform().await;
    let a = start("lost-starts", address);
    wait_until("the instance is ready", async || a.is_ready().await).await;
    let submit = async |id: u64| {
        let path = format!("/q/{id:016x}");
        let job = r#"{"spec":"x","steps":[{"count":16,"cpu":500,"memMb":64,"estimateMs":100}]}"#;
        let submitted_at = Instant::now();
        assert_eq!(a.call(post(), &path, "k1", job).await.0, 200);
        wait_until("the job is complete", async || {
            a.call(get(), &path, "k1", "").await.1["state"] == "complete"
        })
        .await;
        submitted_at.elapsed()
    };
    // The owner is there, and knows the worker.
    submit(0xa1).await;
    platform.lost_starts.store(3, Ordering::Relaxed);
    let took = submit(0xa2).await;
    // Three attempts at one start go out within 300 ms; by their timeouts alone they take 1.2 s.
    assert!(took < Duration::from_millis(1_200), "{took:?}");
    assert_eq!(platform.lost_starts.load(Ordering::Relaxed), 0);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let starts = platform.start_counts();
    assert_eq!(starts.len(), 32);
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    assert!(!a.events("StartRepeated").is_empty());
}

/// A withdrawn key is rejected, also while the store does not respond.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_is_refused() {
    let (platform, address) = start_platform().await;
    let a = start("keys", address);
    wait_until("the instance is ready", async || a.is_ready().await).await;
    let path = "/q/00000000000000b1";
    declare(&platform, 5, &["k1"]);
    wait_until("the withdrawn key is rejected", async || {
        a.call(get(), path, "k2", "").await.0 == 401
    })
    .await;
    platform.store_down.store(true, Ordering::Relaxed);
    wait_until("calls are rejected once the view is too old", async || {
        a.call(post(), path, "k1", JOB).await.0 == 503 && !a.is_ready().await
    })
    .await;
    platform.store_down.store(false, Ordering::Relaxed);
    wait_until("the instance is ready again", async || a.is_ready().await).await;
}

/// The owner is killed while tasks run: the other instance takes over, and every task starts
/// exactly once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_killed_while_tasks_run() {
    let (platform, address) = start_platform().await;
    let mut pair = [start("kill-a", address), start("kill-b", address)];
    wait_until("both instances are ready", async || {
        pair[0].is_ready().await && pair[1].is_ready().await
    })
    .await;
    wait_until("there is an owner", async || {
        pair.iter().any(|i| !i.events("OwnerReady").is_empty())
    })
    .await;
    let owner = pair
        .iter()
        .position(|i| !i.events("OwnerReady").is_empty())
        .expect("one instance is the owner");
    let long_running = r#"{"spec":"until-stopped","steps":[{"count":2,"cpu":500,"longRunning":true,"mayMiss":1}]}"#;
    assert_eq!(pair[owner].call(post(), "/q/00000000000000c1", "k1", long_running).await.0, 200);
    wait_until("both tasks run", async || platform.start_counts().len() == 2).await;
    pair[owner].child.kill().expect("send the signal");
    let other = &pair[1 - owner];
    assert_eq!(other.call(post(), "/q/00000000000000c2", "k1", JOB).await.0, 200);
    wait_until("the other job is complete", async || {
        other.call(get(), "/q/00000000000000c2", "k1", "").await.1["state"] == "complete"
    })
    .await;
    let starts: HashMap<String, u32> = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    let state = other.call(get(), "/q/00000000000000c1", "k1", "").await.1;
    assert_eq!(state["state"], "running");
    let cancelled = other.call(reqwest::Method::DELETE, "/q/00000000000000c1", "k1", "").await.0;
    assert_eq!(cancelled, 200);
    wait_until("the job is shown as cancelled", async || {
        other.call(get(), "/q/00000000000000c1", "k1", "").await.1["state"] == "cancelled"
    })
    .await;
}

/// The owner is stopped gracefully: the other instance takes over and learns that the earlier owner
/// no longer sends orders. Guards against waiting for the expiry of long leases after such a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_stopped_hands_over() {
    let (_platform, address) = start_platform().await;
    let pair = [start("stop-a", address), start("stop-b", address)];
    wait_until("both instances are ready", async || {
        pair[0].is_ready().await && pair[1].is_ready().await
    })
    .await;
    wait_until("there is an owner", async || {
        pair.iter().any(|i| !i.events("OwnerReady").is_empty())
    })
    .await;
    let owner = pair
        .iter()
        .position(|i| !i.events("OwnerReady").is_empty())
        .expect("one instance is the owner");
    let pid = rustix::process::Pid::from_child(&pair[owner].child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("send the signal");
    let other = &pair[1 - owner];
    wait_until("the new owner learns that the earlier one has stopped", async || {
        !other.events("EarlierOwnerOver").is_empty()
    })
    .await;
    assert_eq!(other.events("OwnerReady").len(), 1);
    assert_eq!(pair[owner].events("OwnerGone")[0]["reason"], "stopping");
}

/// The submission of a job that ended long ago is deleted together with its progress. The
/// submission used to be kept, so that an owner elected after the retention time of the progress
/// (120 s by default) took it for a new job and ran it twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_job_stays_dropped() {
    let (platform, address) = start_platform().await;
    let mut pair =
        [start_with_retention("drop-a", address, 1), start_with_retention("drop-b", address, 1)];
    wait_until("both instances are ready", async || {
        pair[0].is_ready().await && pair[1].is_ready().await
    })
    .await;
    wait_until("there is an owner", async || {
        pair.iter().any(|i| !i.events("OwnerReady").is_empty())
    })
    .await;
    let owner = pair
        .iter()
        .position(|i| !i.events("OwnerReady").is_empty())
        .expect("one instance is the owner");
    let path = "/q/00000000000000d1";
    assert_eq!(pair[owner].call(post(), path, "k1", JOB).await.0, 200);
    wait_until("the job is deleted", async || {
        platform.start_counts().len() == 4
            && pair[1 - owner].call(get(), path, "k1", "").await.0 == 410
    })
    .await;
    pair[owner].child.kill().expect("send the signal");
    let other = &pair[1 - owner];
    wait_until("the other instance is the owner", async || !other.events("OwnerReady").is_empty())
        .await;
    let another = "/q/00000000000000d2";
    assert_eq!(other.call(post(), another, "k1", JOB).await.0, 200);
    wait_until("another job runs", async || platform.start_counts().len() == 8).await;
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

/// The owner on a large machine is killed while an instance on a small machine and one on a large
/// machine follow. Guards against an owner that its machine slows down: the election ignored the
/// size, and starts fell to a third when an instance on a small machine appended first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_killed_larger_machine_follows() {
    let (_platform, address) = start_platform().await;
    let mut first = start_on(Machine::Large, "large-a", address);
    wait_until("the first instance is the owner", async || !first.events("OwnerReady").is_empty())
        .await;
    // By their names, `small-f` has the shortest delay before it takes over and `large-g` the longest.
    let small = start_on(Machine::Small, "small-f", address);
    let large = start_on(Machine::Large, "large-g", address);
    wait_until("the others follow", async || {
        !small.events("OwnerSeen").is_empty() && !large.events("OwnerSeen").is_empty()
    })
    .await;
    first.child.kill().expect("send the signal");
    wait_until("there is another owner", async || {
        [&small, &large].iter().any(|i| !i.events("OwnerHere").is_empty())
    })
    .await;
    assert!(small.events("OwnerHere").is_empty(), "the instance on the small machine took over");
}

/// An instance on a larger machine joins while one on a small machine is the owner: it takes over,
/// and every task starts exactly once. Guards against an owner on a small machine that stays for as
/// long as it lives, for example because it was the first to start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_on_smaller_machine_replaced() {
    let (platform, address) = start_platform().await;
    let small = start_on(Machine::Small, "small-c", address);
    wait_until("the instance is the owner", async || !small.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || small.is_ready().await).await;
    let long_running = r#"{"spec":"until-stopped","steps":[{"count":2,"cpu":500,"longRunning":true,"mayMiss":1}]}"#;
    assert_eq!(small.call(post(), "/q/00000000000000e1", "k1", long_running).await.0, 200);
    wait_until("both tasks run", async || platform.start_counts().len() == 2).await;
    let large = start_on(Machine::Large, "large-c", address);
    wait_until("the larger machine has the owner", async || {
        !large.events("OwnerReady").is_empty() && !small.events("OwnerGone").is_empty()
    })
    .await;
    assert_eq!(large.call(post(), "/q/00000000000000e2", "k1", JOB).await.0, 200);
    wait_until("the other job is complete", async || {
        large.call(get(), "/q/00000000000000e2", "k1", "").await.1["state"] == "complete"
    })
    .await;
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

/// The worker has accepted an order of a later owner. Guards against an owner that goes on although
/// its orders are rejected: it polled for up to 6 s, disturbed the later owner, and answered callers
/// with old states.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_rejected_by_worker_ends_term() {
    let (platform, address) = start_platform().await;
    let a = start("fence-a", address);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    assert_eq!(a.call(post(), "/q/00000000000000f1", "k1", JOB).await.0, 200);
    wait_until("the job is complete", async || {
        a.call(get(), "/q/00000000000000f1", "k1", "").await.1["state"] == "complete"
    })
    .await;
    // Between the tokens of term 1 and those of term 2.
    platform.set_worker_fence((2 << 32) - 1);
    assert_eq!(a.call(post(), "/q/00000000000000f2", "k1", JOB).await.0, 200);
    wait_until("the term ends", async || !a.events("OwnerGone").is_empty()).await;
    assert_eq!(a.events("OwnerGone")[0]["reason"], "a worker has accepted a later owner's orders");
    wait_until("the other job is complete in the next term", async || {
        a.call(get(), "/q/00000000000000f2", "k1", "").await.1["state"] == "complete"
    })
    .await;
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

/// Another incarnation's record of the owner's term is in the owner topic. Guards against two owners of
/// one term that both go on: neither the store nor the workers can tell them apart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_of_given_term_ends() {
    let (platform, address) = start_platform().await;
    let a = start("conflict-a", address);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    let record = json!({
        "term": 1, "life": 1, "name": "other", "zone": "z1", "peers": "127.0.0.1:1",
        "resigned": false,
    });
    platform.put_record("keyed.owner", "owner", &record);
    wait_until("the term ends", async || !a.events("OwnerGone").is_empty()).await;
    assert_eq!(a.events("TermConflict")[0]["entry"], "other");
    wait_until("there is an owner of the next term", async || {
        a.events("OwnerHere").iter().any(|e| e["term"] == 2)
    })
    .await;
}

/// A heartbeat of an earlier owner reaches the store after another instance has taken over. Guards
/// against a store that takes it: the earlier owner then counted as the owner again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_heartbeat_is_refused() {
    let (_platform, address) = start_platform().await;
    let mut a = start("late-a", address);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    let b = start("late-b", address);
    wait_until("the other one follows", async || !b.events("OwnerSeen").is_empty()).await;
    a.child.kill().expect("send the signal");
    let client = reqwest::Client::new();
    let query = "topic=keyed.owner&part=0&producer=owner&epoch=1&sequence=0";
    let url = format!("http://{address}/-/log-append?{query}");
    while b.events("OwnerHere").is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let answer: Value =
        client.post(url).send().await.expect("an answer").json().await.expect("JSON");
    assert_eq!(answer["reason"], "fenced");
}

/// Returns records of another writer: topic, key and value.
fn odd_records() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let entry = |address: &str, capacity: &str| {
        format!(
            r#"{{"service":"pool","address":"{address}","zone":"z1","state":"ready","capacity":{capacity}}}"#
        )
    };
    let values: Vec<Vec<u8>> = vec![
        nested.into_bytes(),
        b"\xff\xfe\x00".to_vec(),
        b"[1]".to_vec(),
        b"{".to_vec(),
        b"{\"version\":1e400}".to_vec(),
        format!("{{\"text\":\"{}\"}}", "x".repeat(1 << 20)).into_bytes(),
        entry("10.0.0.1:0", "{\"cpu\":1}").into_bytes(),
        entry("10.0.0.1:65536", "{\"cpu\":1}").into_bytes(),
        entry("10.0.0.1:80", "{\"cpu\":18446744073709551616}").into_bytes(),
        br#"{"term":18446744073709551615,"life":1,"name":"x","zone":"z","peers":"x","resigned":false}"#
            .to_vec(),
    ];
    let topics: [(&str, &[&[u8]]); 5] = [
        ("keyed.servers", &[b"odd", b"", b"\xff"]),
        ("keyed.op", &[b"config", b"wave/7", b"odd", b"", b"\xff"]),
        ("keyed.jobs", &[b"00000000000000e1", b"odd", b"", b"\xff"]),
        ("keyed.progress", &[b"00000000000000e1", b"wave/7", b"machines", b"odd", b"", b"\xff"]),
        ("keyed.owner", &[b"owner", b"odd", b"", b"\xff"]),
    ];
    let mut records = Vec::new();
    for (topic, keys) in topics {
        for key in keys {
            let values = values.iter();
            records.extend(values.map(|value| (topic, key.to_vec(), value.clone())));
        }
    }
    records
}

/// Another writer leaves odd records in all topics, before and after the start. Guards against an
/// instance that ends, stops following a topic, or logs the same record at each read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_records_are_skipped() {
    let (platform, address) = start_platform().await;
    let records = odd_records();
    let put_all = || {
        for (topic, key, value) in &records {
            platform.put_bytes(topic, key, value);
        }
    };
    put_all();
    declare(&platform, 2, &["k1"]);
    let a = start("odd", address);
    wait_until("the instance is ready", async || a.is_ready().await).await;
    for (round, id) in ["00000000000000f1", "00000000000000f2"].into_iter().enumerate() {
        let path = format!("/q/{id}");
        wait_until("the job is accepted", async || a.call(post(), &path, "k1", JOB).await.0 == 200)
            .await;
        wait_until("the job is complete", async || {
            a.call(get(), &path, "k1", "").await.1["state"] == "complete"
        })
        .await;
        if round == 0 {
            put_all();
            declare(&platform, 5, &["k1", "k3"]);
            wait_until("the next version is in force", async || {
                a.call(get(), "/q/00000000000000ff", "k3", "").await.0 == 410
            })
            .await;
        }
    }
    assert!(a.events("TaskPanicked").is_empty());
    assert_eq!(a.events("OwnerGone").len(), 0);
    let named: Vec<(String, u64)> = a
        .events("RecordUnreadable")
        .iter()
        .filter(|event| event["offset"].is_u64())
        .map(|e| (e["topic"].as_str().unwrap_or("").into(), e["offset"].as_u64().unwrap_or(0)))
        .collect();
    assert!(!named.is_empty());
    let distinct: std::collections::HashSet<_> = named.iter().collect();
    assert_eq!(distinct.len(), named.len(), "{named:?}");
}

/// Callers submit jobs with absurd numbers. Guards against an owner that plans nothing any more, or ends
/// again and again: other jobs go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn absurd_jobs_hold_up_no_other() {
    let (_platform, address) = start_platform().await;
    let a = start("absurd", address);
    wait_until("the instance is ready", async || a.is_ready().await).await;
    let chain: Vec<Value> = (0..1_000u64)
        .map(|i| {
            let after: Vec<u64> = i.checked_sub(1).into_iter().collect();
            json!({ "count": 1, "cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX,
                "estimateMs": u64::MAX, "after": after })
        })
        .collect();
    let step = json!({ "count": 5_000, "cpu": u64::MAX });
    let jobs = [
        json!({ "spec": "x", "steps": chain }),
        json!({ "spec": "x", "steps": [step], "repeats": u32::MAX, "intervalMs": 1 }),
        json!({ "spec": "x", "steps": [], "repeats": u32::MAX }),
        json!({ "spec": "x", "steps": [step], "repeats": 2, "startAtMs": u64::MAX,
            "intervalMs": u64::MAX }),
    ];
    for (index, job) in jobs.iter().enumerate() {
        let path = format!("/q/00000000000000e{index}");
        assert_eq!(a.call(post(), &path, "k1", &job.to_string()).await.0, 200, "{index}");
    }
    let path = "/q/00000000000000f1";
    assert_eq!(a.call(post(), path, "k1", JOB).await.0, 200);
    wait_until("the other job is complete", async || {
        a.call(get(), path, "k1", "").await.1["state"] == "complete"
    })
    .await;
    assert_eq!(a.events("OwnerGone").len(), 0);
}

/// Starts an instance whose platform offers several partitions a topic, with the deployed settings.
fn start_with_partitions(name: &str, store: SocketAddr, retention_secs: u64) -> Instance {
    let bounds =
        json!({ "maxHoldMs": 10000, "revokeMs": 5000, "status_s": retention_secs, "graceS": 6 });
    let platform = json!({ "address": store.to_string(), "parts": 32 });
    let args =
        ["--settings", concat!(env!("CARGO_MANIFEST_DIR"), "/tests/users_platform/partitions.ini")];
    start_with_args(name, store, json!({ "bounds": bounds, "platform": platform }), &args)
}

/// Without settings, no job is where an owner of an earlier version does not read it: it would delete the
/// job's progress, and the next owner would run the job again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn default_first_partition() {
    let (platform, address) = start_platform().await;
    let offered = json!({ "platform": { "address": address.to_string(), "parts": 32 } });
    let a = start_with_settings("default", address, offered);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        assert_eq!(a.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
        assert_eq!(platform.partitions_with("keyed.jobs", id), ["keyed.jobs"]);
    }
}

/// Jobs are spread over partitions, one is cancelled, and the owner is killed while they run: the next one
/// knows all of them, and every task starts exactly once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_all_partitions_next_owner() {
    let (platform, address) = start_platform().await;
    let mut a = start_with_partitions("spread-a", address, 120);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    let b = start_with_partitions("spread-b", address, 120);
    wait_until("the other one follows", async || {
        !b.events("OwnerSeen").is_empty() && b.is_ready().await
    })
    .await;
    let ids: Vec<String> = (0..8).map(|n| format!("{:016x}", 0xa1 + n)).collect();
    for id in &ids {
        assert_eq!(b.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
    }
    let kept: Vec<Vec<String>> =
        ids.iter().map(|id| platform.partitions_with("keyed.jobs", id)).collect();
    assert!(kept.iter().all(|partitions| partitions.len() == 1), "{kept:?}");
    let used: std::collections::HashSet<_> = kept.iter().flatten().collect();
    assert!(used.len() > 2, "{used:?}");
    let long_running =
        r#"{"spec":"until-stopped","steps":[{"count":1,"cpu":500,"longRunning":true}]}"#;
    let cancelled = "/q/00000000000000c5";
    assert_eq!(b.call(post(), cancelled, "k1", long_running).await.0, 200);
    assert_eq!(b.call(reqwest::Method::DELETE, cancelled, "k1", "").await.0, 200);
    let key = "00000000000000c5";
    let (job, cancellation) = (
        platform.partitions_with("keyed.jobs", key),
        platform.partitions_with("keyed.jobs", &format!("{key}/cancel")),
    );
    assert_eq!(job, cancellation);
    a.child.kill().expect("send the signal");
    wait_until("all jobs are complete", async || {
        let mut complete = 0;
        for id in &ids {
            let state = b.call(get(), &format!("/q/{id}"), "k1", "").await.1;
            complete += usize::from(state["state"] == "complete");
        }
        complete == ids.len()
    })
    .await;
    assert_eq!(b.call(get(), cancelled, "k1", "").await.1["state"], "cancelled");
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

/// The owner is an instance of an earlier version, which reads the first partition only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn earlier_owner_first_partition() {
    let (platform, address) = start_platform().await;
    let record = json!({
        "term": 1, "life": 1, "name": "earlier", "zone": "z1", "peers": "127.0.0.1:1",
        "resigned": false,
    });
    let owner = platform.clone();
    let heartbeats = tokio::spawn(async move {
        loop {
            owner.put_record("keyed.owner", "owner", &record);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
    let a = start_with_partitions("mixed", address, 120);
    wait_until("the instance is ready", async || a.is_ready().await).await;
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        assert_eq!(a.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
        assert_eq!(platform.partitions_with("keyed.jobs", id), ["keyed.jobs"]);
    }
    heartbeats.abort();
}

/// A cancellation in another partition is read before the submission: the job never starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_in_other_partition_before() {
    let (platform, address) = start_platform().await;
    let a = start_with_partitions("cancel-first", address, 120);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    let id = "00000000000000a1";
    platform.put_bytes("keyed.jobs/31", format!("{id}/cancel").as_bytes(), b"1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(a.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
    wait_until("the job is shown as cancelled", async || {
        a.call(get(), &format!("/q/{id}"), "k1", "").await.1["state"] == "cancelled"
    })
    .await;
    assert_eq!(platform.start_counts().len(), 0);
}

/// A job that an instance of an earlier version stored in the first partition comes again in its own: it
/// runs once, and both records are deleted before its progress. Guards against a next owner that takes one of
/// them for a new job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_in_two_partitions_is_dropped() {
    let (platform, address) = start_platform().await;
    let mut a = start_with_partitions("two-a", address, 1);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    let id = "00000000000000a3";
    let stored = json!({ "queue": "q", "team": "team", "job": serde_json::from_str::<Value>(JOB).expect("JSON") });
    platform.put_record("keyed.jobs", id, &stored);
    assert_eq!(a.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
    assert_eq!(platform.partitions_with("keyed.jobs", id).len(), 2);
    wait_until("the job is deleted", async || {
        platform.start_counts().len() == 4
            && platform.partitions_with("keyed.jobs", id).is_empty()
            && platform.partitions_with("keyed.progress", id).is_empty()
    })
    .await;
    let b = start_with_partitions("two-b", address, 1);
    a.child.kill().expect("send the signal");
    wait_until("there is another owner", async || !b.events("OwnerReady").is_empty()).await;
    assert_eq!(b.call(post(), "/q/00000000000000a4", "k1", JOB).await.0, 200);
    wait_until("another job runs", async || platform.start_counts().len() == 8).await;
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

/// A partition cannot be read when an owner follows: it waits, and names the partition once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partition_unread_at_load() {
    let (platform, address) = start_platform().await;
    *platform.unreadable.lock() = Some("keyed.jobs/5".into());
    let a = start_with_partitions("unread", address, 120);
    wait_until("the partition is named", async || !a.events("TopicUnread").is_empty()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(a.events("OwnerReady").len(), 0);
    let named = a.events("TopicUnread");
    assert_eq!(named.len(), 1, "{named:?}");
    assert_eq!(named[0]["topic"], "keyed.jobs/5");
    *platform.unreadable.lock() = None;
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
}

/// A partition cannot be read: queries for unknown jobs that it may hold are not answered 410, others are, and
/// so are all of them soon after it can be read again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_job_partition_unread() {
    let (platform, address) = start_platform().await;
    let a = start_with_partitions("unknown", address, 120);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    *platform.unreadable.lock() = Some("keyed.jobs/4".into());
    // Longer than the poll in flight and the age up to which the owner may say that there is no job.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (here, elsewhere) = ("/q/00000000000000a1", "/q/5c0e7a21d94b36f8");
    assert_eq!(a.call(get(), here, "k1", "").await.0, 503);
    assert_eq!(a.call(get(), elsewhere, "k1", "").await.0, 410);
    *platform.unreadable.lock() = None;
    let readable_at = Instant::now();
    wait_until("the partition is read", async || a.call(get(), here, "k1", "").await.0 == 410)
        .await;
    // A poll takes 1.3 s.
    assert!(readable_at.elapsed() < Duration::from_millis(1_200), "{:?}", readable_at.elapsed());
}

/// One of a job's two partitions cannot be read until the retention is over. Guards against deleting the
/// progress meanwhile: the record that is read later would be a new job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_record_unread_past_retention() {
    let (platform, address) = start_platform().await;
    let a = start_with_partitions("rev-two", address, 1);
    wait_until("the instance is the owner", async || !a.events("OwnerReady").is_empty()).await;
    wait_until("the instance is ready", async || a.is_ready().await).await;
    *platform.unreadable.lock() = Some("keyed.jobs".into());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let id = "00000000000000a3";
    let stored = json!({ "queue": "q", "team": "team", "job": serde_json::from_str::<Value>(JOB).expect("JSON") });
    platform.put_record("keyed.jobs", id, &stored);
    assert_eq!(a.call(post(), &format!("/q/{id}"), "k1", JOB).await.0, 200);
    wait_until("the job is complete", async || {
        a.call(get(), &format!("/q/{id}"), "k1", "").await.1["state"] == "complete"
    })
    .await;
    // The retention is 1 s.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(!platform.partitions_with("keyed.progress", id).is_empty());
    *platform.unreadable.lock() = None;
    wait_until("the job is deleted", async || {
        platform.partitions_with("keyed.jobs", id).is_empty()
            && platform.partitions_with("keyed.progress", id).is_empty()
    })
    .await;
    let starts = platform.start_counts();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}
