//! A small fleet of real processes: one platform stand-in, upstream stand-ins and entry instances on
//! free ports. All end with the test.
#![allow(dead_code)] // Each test program uses a part.

pub mod link;

use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for something that happens soon; a busy machine needs some of it.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for an answer; longer than the longest deadline of `DECLARATIONS`.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for something that waits for a lapsed lease of 15 s.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(60);

/// Declarations with two zones, two teams, one pool and a closed and an open service.
pub const DECLARATIONS: &str = "\
[zone a]
region = r1
[zone b]
region = r1
[team counters]
share = 2
limit = 40
[team planners]
limit = 40
[pool main]
[profile guarded]
max_deadline_ms = 20000
queue_bound = 64
reserve_percent = 50
[service loans]
profile = guarded
pool = main
class = urgent
[service open]
profile = guarded
pool = main
open_to = planners
";

/// A child process that is killed at the end.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
    pub line: String,
}

impl Process {
    /// Starts the binary and reads the bound address from the first line of its output.
    fn start(args: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
        let child = command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.expect("the binary starts");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        let mut output = BufReader::new(stdout);
        output.read_line(&mut line).expect("a first line");
        let words = line.split([' ', ',', '\n']);
        let addr = words.filter_map(|word| word.parse().ok()).next();
        let addr = addr.unwrap_or_else(|| panic!("no address in {line:?} of {args:?}"));
        keep_output(args, child.id(), output);
        Process { child, addr, line }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process exists");
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("it ends");
    }

    /// Waits for its end; answers its exit code.
    pub async fn wait_for_exit(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status.code();
            }
            assert!(Instant::now() < until, "{} did not end in {within:?}", self.line);
            pause().await;
        }
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("the process exists");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a size");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The fleet. Fields are dropped in order, entry instances first.
pub struct Env {
    pub entries: Vec<Process>,
    pub upstreams: Vec<Process>,
    pub platform: Process,
    pub http: Client,
    dir: PathBuf,
}

/// Copies what a process writes to a file under the tests' folder until it ends, so that a failed test
/// can be explained afterwards.
fn keep_output(args: &[&str], id: u32, mut output: BufReader<ChildStdout>) {
    let name = format!("{}-{id}.log", args[0]);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    println!("{args:?} writes to {}", path.display());
    let mut file = std::fs::File::create(path).expect("a file");
    std::thread::spawn(move || std::io::copy(&mut output, &mut file));
}

static DIRS: AtomicU32 = AtomicU32::new(0);

/// How often a condition is looked at.
async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Waits until a condition holds.
pub async fn wait_until<F>(what: &str, within: Duration, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let until = Instant::now() + within;
    while !holds().await {
        assert!(Instant::now() < until, "not within {within:?}: {what}");
        pause().await;
    }
}

impl Env {
    /// A platform without upstreams and entry instances.
    pub fn platform_only() -> Env {
        let number = DIRS.fetch_add(1, Ordering::Relaxed);
        let name = format!("env-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("a directory");
        let http = Client::builder().no_proxy().build().expect("a client");
        let platform = Process::start(&["platform", "--addr", "127.0.0.1:0"]);
        Env { entries: Vec::new(), upstreams: Vec::new(), platform, http, dir }
    }

    /// Two upstreams and two entry instances in zones `a` and `b`, ready, with `DECLARATIONS` in force.
    pub async fn start() -> Env {
        let mut env = Env::platform_only();
        env.add_upstream("u-a", "a");
        env.add_upstream("u-b", "b");
        env.add_entry("entry-a", "a", "").await;
        env.add_entry("entry-b", "b", "").await;
        env.publish(DECLARATIONS).await;
        env.wait_for_upstreams(2).await;
        env
    }

    /// One upstream and one entry instance in zone `a`, with `DECLARATIONS` in force.
    pub async fn start_small() -> Env {
        let mut env = Env::platform_only();
        env.add_upstream("u-a", "a");
        env.add_entry("entry-a", "a", "").await;
        env.publish(DECLARATIONS).await;
        env.wait_for_upstreams(1).await;
        env
    }

    pub fn add_upstream(&mut self, id: &str, zone: &str) {
        let platform = self.platform.addr.to_string();
        let process = Process::start(&[
            "upstream",
            "--id",
            id,
            "--addr",
            "127.0.0.1:0",
            "--platform",
            &platform,
            "--pool",
            "main",
            "--zone",
            zone,
            "--rack",
            id,
        ]);
        self.upstreams.push(process);
    }

    /// Starts an entry instance, registers it as the platform would, and waits until it is ready.
    pub async fn add_entry(&mut self, id: &str, zone: &str, more: &str) {
        self.add_entry_at(id, zone, self.platform.addr, more).await;
    }

    /// As `add_entry`, with another way to the platform.
    pub async fn add_entry_at(&mut self, id: &str, zone: &str, platform: SocketAddr, more: &str) {
        let settings = format!(
            "[entry]\nid = {id}\nzone = {zone}\nhttp_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
             platform_addr = {platform}\nentry_instances = 2\n{more}\n[log]\nlevel = info\n"
        );
        let file = self.file(&format!("{id}.ini"), &settings);
        let process = Process::start(&["serve", &file]);
        self.register(id, zone, process.addr).await;
        self.entries.push(process);
        let at = self.entries.len() - 1;
        wait_until("entry instance ready", SHORT_TIMEOUT, async || {
            self.get(at, "/readyz").send().await.is_ok_and(|r| r.status() == 200)
        })
        .await;
    }

    async fn register(&self, id: &str, zone: &str, addr: SocketAddr) {
        let listed = serde_json::json!({
            "id": id, "role": "entry", "pool": "", "zone": zone, "rack": id,
            "addr": addr.to_string(), "presence": "live", "slots": 0, "connections": 0,
        });
        let url = self.platform.url(&format!("/instances/{id}"));
        let answer = self.http.put(url).json(&listed).send().await.expect("an answer");
        assert!(answer.status().is_success(), "registration of {id}: {}", answer.status());
    }

    /// Writes a file that lives as long as the fleet; answers its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_string_lossy().into_owned()
    }

    /// Runs a command of the binary against entry instance `at`.
    pub fn cli(&self, at: usize, args: &[&str]) -> Output {
        let at = self.entries[at].addr.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
        command.args(args).args(["--at", &at]).output().expect("the binary runs")
    }

    /// As `cli`, for a command that must succeed; answers its output.
    pub fn cli_ok(&self, at: usize, args: &[&str]) -> String {
        let output = self.cli(at, args);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            output.status.success(),
            "{args:?}: {:?}\n{text}{}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        );
        text
    }

    /// Publishes declarations through the first entry instance.
    pub async fn publish(&self, declarations: &str) {
        let file = self.file("declarations.ini", declarations);
        self.cli_ok(0, &["publish", &file, "--wait-ms", "20000"]);
    }

    /// Grants a key to a team; answers it as callers present it.
    pub fn grant(&self, team: &str) -> String {
        let text = self.cli_ok(0, &["key", "grant", team, "--wait-ms", "20000"]);
        let is_key = |word: &&str| word.split_once('.').is_some_and(|(_, s)| s.len() == 64);
        let key = text.split_whitespace().find(is_key);
        key.unwrap_or_else(|| panic!("no key in {text:?}")).to_string()
    }

    /// Waits until every entry instance can use this many upstreams.
    pub async fn wait_for_upstreams(&self, count: u32) {
        for at in 0..self.entries.len() {
            wait_until("upstreams usable", SHORT_TIMEOUT, async || {
                let status = self.json(at, "/v1/admin/status").await;
                status["pools"][0]["usable"] == count
            })
            .await;
        }
    }

    /// Waits until all entry instances together hold this many units of a team.
    pub async fn wait_for_units(&self, team: &str, units: u64) {
        wait_until("units granted", SHORT_TIMEOUT, async || {
            let status = self.json(0, "/v1/admin/status").await;
            let teams = status["teams"].as_array().expect("teams");
            let found = teams.iter().find(|t| t["team"] == team).expect("the team");
            found["granted"].as_u64() >= Some(units)
        })
        .await;
    }

    /// Requests to one entry instance that do not borrow the fleet.
    pub fn caller(&self, at: usize) -> Caller {
        Caller { http: self.http.clone(), addr: self.entries[at].addr }
    }

    pub fn request(&self, at: usize, method: Method, path: &str) -> RequestBuilder {
        self.caller(at).request(method, path)
    }

    pub fn get(&self, at: usize, path: &str) -> RequestBuilder {
        self.request(at, Method::GET, path)
    }

    pub fn post(&self, at: usize, path: &str) -> RequestBuilder {
        self.request(at, Method::POST, path)
    }

    pub async fn json(&self, at: usize, path: &str) -> Value {
        let answer = self.get(at, path).send().await.expect("an answer");
        answer.json().await.expect("JSON")
    }

    /// How often work with a tag started on all upstreams.
    pub async fn run_count(&self, tag: &str) -> u64 {
        let mut sum = 0;
        for upstream in &self.upstreams {
            let Ok(answer) = self.http.get(upstream.url("/runs")).send().await else { continue };
            let runs: Value = answer.json().await.expect("JSON");
            sum += runs[tag].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Sets the fault switches of a stand-in.
    pub async fn set_faults(&self, standin: &Process, faults: Value) {
        let answer = self.http.put(standin.url("/faults")).json(&faults).send().await;
        assert!(answer.expect("an answer").status().is_success());
    }
}

/// A caller of one entry instance.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    addr: SocketAddr,
}

impl Caller {
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.addr);
        self.http.request(method, url).timeout(RESPONSE_TIMEOUT)
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        // A directory that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Status, `jacinthhook-kind` and `jacinthhook-ran` of an answer.
pub fn response_outcome(answer: &Response) -> (u16, String, String) {
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    (answer.status().as_u16(), header("jacinthhook-kind"), header("jacinthhook-ran"))
}

/// Sends bytes over a connection of its own and reads to the end of what comes back.
pub async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(addr).await.expect("a connection");
    // The other end may close while the rest is written; what it sent before counts.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(SHORT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    // A reset after the answer is an end as well.
    let _ = read.expect("the connection ends");
    answer
}

/// Splits an answer into head and body.
pub fn split_answer(answer: &[u8]) -> (String, Vec<u8>) {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let end = end.unwrap_or_else(|| panic!("no head in {:?}", String::from_utf8_lossy(answer)));
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    (head, answer[end + 4..].to_vec())
}
