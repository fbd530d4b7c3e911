//! Clients that keep outside the limits, and one process of the system that they call.

use crate::users_platform::Platform;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Memory and descriptors of a machine, of which the process is told.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// A machine that is smaller than those of the deployments, so that a small crowd is too much for it.
pub const LOWERED: Machine = Machine { memory_mb: 64, descriptors: 600 };
/// The smallest machine of the deployments.
pub const SMALLEST: Machine = Machine { memory_mb: 160, descriptors: 4_100 };
/// Descriptors that are not for sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// Connections of a crowd.
pub const CROWD_SIZE: usize = 400;
/// Longest time for which a client of the crowd waits until its bytes are taken.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Timeout of conditions that usually hold within a few seconds.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Time in ms for which ordinary callers wait, so that a busy machine does not count as a store that does not answer.
pub const PATIENT_MS: &str = "60000";
/// Ports below the system's ephemeral range and beside those of `tests/instance.rs`.
const FIRST_PORT: u16 = 9_000;
const LAST_PORT: u16 = 11_900;

/// What one client of a crowd sends before it stays open.
#[derive(Clone, Debug)]
pub struct Sent {
    pub bytes: Vec<u8>,
    /// Bytes sent by the first write.
    first: usize,
    /// Bytes per further write, and the pause before it.
    piece: usize,
    pause: Duration,
}

impl Sent {
    pub fn at_once(bytes: Vec<u8>) -> Sent {
        Sent { first: bytes.len(), bytes, piece: 1, pause: Duration::ZERO }
    }

    pub fn with_pieces(bytes: Vec<u8>, piece: usize, pause: Duration) -> Sent {
        Sent { bytes, first: piece, piece, pause }
    }

    /// Sends one byte a second after the first ones.
    pub fn with_single_bytes_after(self, first: usize) -> Sent {
        Sent { first, piece: 1, pause: Duration::from_secs(1), ..self }
    }
}

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    _clients: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Lets `CROWD_SIZE` clients send at the same time what `sent` returns for the number of each. Returns when each
    /// has sent all, was cut off, or waits for the other end to read.
    pub async fn send(address: SocketAddr, sent: impl Fn(usize) -> Sent) -> Crowd {
        let clients: Vec<_> =
            (0..CROWD_SIZE).map(|n| tokio::spawn(send_one(address, sent(n)))).collect();
        let mut open = Vec::new();
        for client in clients {
            open.push(client.await.expect("no client panics"));
        }
        Crowd { _clients: open }
    }
}

async fn send_one(address: SocketAddr, sent: Sent) -> Option<TcpStream> {
    let mut stream = timeout(WRITE_LIMIT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (first, rest) = sent.bytes.split_at(sent.first);
    for (i, piece) in std::iter::once(first).chain(rest.chunks(sent.piece)).enumerate() {
        if i > 0 {
            tokio::time::sleep(sent.pause).await;
        }
        match timeout(WRITE_LIMIT, stream.write_all(piece)).await {
            Ok(Ok(())) => {}
            // Cut off.
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}

/// Sends bytes on one connection, and returns the status of the answer that comes; 0 if the connection closes without.
pub async fn answer_status(address: SocketAddr, sent: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The other end may answer and close before it has read all.
    let _ = stream.write_all(sent).await;
    let mut answer = [0; 12];
    let read =
        timeout(WAIT_LIMIT, stream.read_exact(&mut answer)).await.expect("an answer or an end");
    let status = read.ok().and_then(|_| std::str::from_utf8(&answer[9..]).ok()?.parse().ok());
    status.unwrap_or(0)
}

/// One process of the system.
pub struct Instance {
    child: Child,
    machine: Machine,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    log: Arc<Mutex<Vec<Value>>>,
    dir: std::path::PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % u32::from(LAST_PORT - FIRST_PORT)) as u16;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (first + next) % (LAST_PORT - FIRST_PORT);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    /// Starts an instance and waits until it is ready.
    pub async fn start(name: &str, store: SocketAddr, machine: Machine) -> Instance {
        Instance::start_with_settings(name, store, machine, "").await
    }

    /// Starts an instance with settings of `run`, and waits until it is ready.
    pub async fn start_with_settings(
        name: &str,
        store: SocketAddr,
        machine: Machine,
        run_settings: &str,
    ) -> Instance {
        let dir = std::env::temp_dir().join(format!("jacinthhook-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("create the folder");
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, readiness) = (local(free_port()), local(free_port()));
        let peers = local(free_port());
        let settings = json!({
            "nodeName": name, "zone": "z1", "ip": "127.0.0.1",
            "bindAddrs": { "frontend": callers.to_string(), "readiness": readiness.to_string() },
            "portRange": [peers.port(), peers.port()],
            "bounds": { "maxHoldMs": 10000, "revokeMs": 5000, "status_s": 120, "graceS": 6 },
            "platform": { "address": store.to_string() },
            "limits": {
                "cpuShare": 1.0, "cores": 1, "memoryMb": machine.memory_mb, "maxFds": machine.descriptors,
            },
        });
        let file = dir.join("local.json");
        std::fs::write(&file, settings.to_string()).expect("write the settings");
        let run_file = dir.join("run.ini");
        std::fs::write(&run_file, run_settings).expect("write the settings of run");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthhook"))
            .args(["run", "--settings"])
            .arg(&run_file)
            .env("JACINTHHOOK_BOOT", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the program");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, out) = (log.clone(), child.stdout.take().expect("stdout is piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines.lock().push(serde_json::from_str(&line).unwrap_or_default());
            }
        });
        let instance = Instance { child, machine, callers, readiness, peers, log, dir };
        instance.wait_until_ready().await;
        instance
    }

    pub async fn wait_until_ready(&self) {
        let url = format!("http://{}/-/readyz", self.readiness);
        wait_until("the instance is ready", async || {
            reqwest::get(&url).await.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    }

    pub fn events(&self, name: &str) -> Vec<Value> {
        self.log.lock().iter().filter(|line| line["name"] == name).cloned().collect()
    }

    pub fn is_owner(&self) -> bool {
        !self.events("OwnerReady").is_empty()
    }

    /// Checks what must hold during and after any crowd: the process lives, and it has kept within the memory and the
    /// descriptors of its machine.
    pub fn check_bounds(&mut self) {
        assert_eq!(self.child.try_wait().expect("ask for the process"), None, "the process lives");
        let dir = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{dir}/status")).expect("read the status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB")).expect("a peak in kB");
        let peak_mb = peak.parse::<u64>().expect("a number") / 1_024;
        let open = std::fs::read_dir(format!("{dir}/fd")).expect("list descriptors").count() as u64;
        println!("peak {peak_mb} MB, {open} descriptors");
        let Machine { memory_mb, descriptors } = self.machine;
        assert!(peak_mb <= memory_mb, "{peak_mb} MB of {memory_mb}");
        let sockets = descriptors - FILE_DESCRIPTORS;
        assert!(open <= sockets, "{open} descriptors of {sockets}");
    }

    /// Checks that an ordinary caller's job is accepted.
    pub async fn check_submission(&self, id: &str) {
        let url = format!("http://{}/q/{id}", self.callers);
        let request = reqwest::Client::new().post(url).header("host", "host.example");
        let request = request.header("x-jacinthhook-credential", "k1").body(JOB);
        let request = request.header("x-jacinthhook-deadline-ms", PATIENT_MS);
        let answer = request.timeout(WAIT_LIMIT).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    pub async fn job_state(&self, id: &str) -> Value {
        let url = format!("http://{}/q/{id}", self.callers);
        let request = reqwest::Client::new().get(url).header("host", "host.example");
        let request = request.header("x-jacinthhook-credential", "k1");
        let answer = request.timeout(WAIT_LIMIT).send().await.expect("an answer");
        answer.json::<Value>().await.unwrap_or_default()["state"].clone()
    }
}

pub const JOB: &str = r#"{"spec":"x","steps":[{"count":3,"cpu":500,"memMb":64,"estimateMs":100}]}"#;

pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let started = Instant::now();
    while !check().await {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out after {WAIT_LIMIT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts the platform with one queue, one key and one worker.
pub async fn start_platform() -> (Arc<Platform>, SocketAddr) {
    let platform = Platform::new();
    let address = platform.serve().await;
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "q", "host": "host.example", "pathPrefix": "/q/", "service": "pool", "maxAttempts": 2,
            "slackFactor": 1.6, "targetLatencyMs": 600,
        }],
        "services": [{ "name": "pool", "enforcesCapacity": true }],
        "tenants": [{ "name": "team", "apiKeys": ["k1"], "weight": 1 }],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    });
    platform.put_record("keyed.op", "config", &config);
    let entry = json!({
        "service": "pool", "address": address.to_string(), "zone": "z1", "state": "ready",
        "labels": ["a", "r1"], "capacity": { "cpu": 16000, "memMb": 32768 }, "machine": "m1", "born": 1,
    });
    platform.put_record("keyed.servers", "w1", &entry);
    (platform, address)
}
