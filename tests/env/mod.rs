//! Starts a small fleet of real processes: one platform stand-in, upstream stand-ins and entry
//! instances, all on free ports. The processes are killed when the test ends.
#![allow(dead_code)] // Each test program uses only some of the helpers.

pub mod link;

use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Timeout for conditions that usually hold within milliseconds; generous for a busy machine.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of an HTTP request; longer than the longest deadline in `DECLARATIONS`.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for conditions that need a lease of 15 s to lapse first.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(60);

/// Two zones, two teams, one pool, a service that requires a key and one that does not.
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

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
    pub first_line: String,
}

impl Process {
    /// Starts the binary and reads the bound address from the first line of its output.
    fn start(args: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
        let child = command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.expect("the binary should start");
        let stdout = child.stdout.take().expect("stdout should be piped");
        let mut first_line = String::new();
        let mut output = BufReader::new(stdout);
        output.read_line(&mut first_line).expect("the first line should be readable");
        let words = first_line.split([' ', ',', '\n']);
        let addr = words.filter_map(|word| word.parse().ok()).next();
        let addr =
            addr.unwrap_or_else(|| panic!("no address in first line {first_line:?} of {args:?}"));
        copy_output_to_file(args, child.id(), output);
        Process { child, addr, first_line }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process should exist");
    }

    /// Kills the process with SIGKILL, as in a crash.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process should exist");
        self.child.wait().expect("the process should exit");
    }

    /// Waits until the process exits and returns its exit code.
    pub async fn wait_for_exit(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait().expect("the exit status should be readable")
            {
                return status.code();
            }
            assert!(Instant::now() < until, "{} did not exit within {within:?}", self.first_line);
            poll_delay().await;
        }
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("the process should exist");
        let line =
            status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS should be listed");
        line.split_whitespace()
            .nth(1)
            .expect("VmRSS should have a value")
            .parse()
            .expect("VmRSS should be a number")
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet of processes. Fields drop in order, so entry instances are stopped first.
pub struct Env {
    pub entries: Vec<Process>,
    pub upstreams: Vec<Process>,
    pub platform: Process,
    pub http: Client,
    dir: PathBuf,
}

/// Copies the output of a process to a file in the temporary directory of the tests, so that a failed
/// test can be analysed afterwards.
fn copy_output_to_file(args: &[&str], id: u32, mut output: BufReader<ChildStdout>) {
    let name = format!("{}-{id}.log", args[0]);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    println!("{args:?} writes to {}", path.display());
    let mut file = std::fs::File::create(path).expect("the log file should be created");
    std::thread::spawn(move || std::io::copy(&mut output, &mut file));
}

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Waits between two checks of a condition.
async fn poll_delay() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Polls a condition until it holds; panics after `within`.
pub async fn wait_until<F>(what: &str, within: Duration, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let until = Instant::now() + within;
    while !holds().await {
        assert!(Instant::now() < until, "timed out after {within:?} waiting for: {what}");
        poll_delay().await;
    }
}

impl Env {
    /// Starts a platform stand-in without upstreams and entry instances.
    pub fn platform_only() -> Env {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let name = format!("env-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("the directory should be created");
        let http = Client::builder().no_proxy().build().expect("the client should build");
        let platform = Process::start(&["platform", "--addr", "127.0.0.1:0"]);
        Env { entries: Vec::new(), upstreams: Vec::new(), platform, http, dir }
    }

    /// Starts an upstream and an entry instance in each of the zones `a` and `b`, publishes
    /// `DECLARATIONS` and waits until all are ready.
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

    /// Starts one upstream and one entry instance in zone `a`, publishes `DECLARATIONS` and waits until
    /// both are ready.
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

    /// Starts an entry instance, adds it to the platform's instance list, and waits until it is ready.
    /// `extra_settings` is appended to the `[entry]` section.
    pub async fn add_entry(&mut self, id: &str, zone: &str, extra_settings: &str) {
        self.add_entry_at(id, zone, self.platform.addr, extra_settings).await;
    }

    /// Like `add_entry`, but reaches the platform at the given address, such as that of a `Link`.
    pub async fn add_entry_at(
        &mut self,
        id: &str,
        zone: &str,
        platform: SocketAddr,
        extra_settings: &str,
    ) {
        let settings = format!(
            "[entry]\nid = {id}\nzone = {zone}\nhttp_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
             platform_addr = {platform}\nentry_instances = 2\n{extra_settings}\n[log]\nlevel = info\n"
        );
        let file = self.file(&format!("{id}.ini"), &settings);
        let process = Process::start(&["serve", &file]);
        self.register(id, zone, process.addr).await;
        self.entries.push(process);
        let entry = self.entries.len() - 1;
        wait_until("entry instance ready", SHORT_TIMEOUT, async || {
            self.get(entry, "/readyz").send().await.is_ok_and(|r| r.status() == 200)
        })
        .await;
    }

    async fn register(&self, id: &str, zone: &str, addr: SocketAddr) {
        let listed = serde_json::json!({
            "id": id, "role": "entry", "pool": "", "zone": zone, "rack": id,
            "addr": addr.to_string(), "presence": "live", "slots": 0, "connections": 0,
        });
        let url = self.platform.url(&format!("/instances/{id}"));
        let response =
            self.http.put(url).json(&listed).send().await.expect("the platform should respond");
        assert!(response.status().is_success(), "registration of {id}: {}", response.status());
    }

    /// Writes a file that is removed with the fleet and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("the file should be written");
        path.to_string_lossy().into_owned()
    }

    /// Runs a command of the binary against an entry instance, given by its index in `entries`.
    pub fn cli(&self, entry: usize, args: &[&str]) -> Output {
        let addr = self.entries[entry].addr.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
        command.args(args).args(["--at", &addr]).output().expect("the binary should run")
    }

    /// Runs a command as `cli` does, panics if it fails, and returns its standard output.
    pub fn cli_ok(&self, entry: usize, args: &[&str]) -> String {
        let output = self.cli(entry, args);
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

    /// Grants a key to a team and returns it in the form that callers send, `<key id>.<secret>`.
    pub fn grant(&self, team: &str) -> String {
        let text = self.cli_ok(0, &["key", "grant", team, "--wait-ms", "20000"]);
        let is_key = |word: &&str| word.split_once('.').is_some_and(|(_, s)| s.len() == 64);
        let key = text.split_whitespace().find(is_key);
        key.unwrap_or_else(|| panic!("no key in {text:?}")).to_string()
    }

    /// Waits until every entry instance reports this many usable upstreams.
    pub async fn wait_for_upstreams(&self, count: u32) {
        for entry in 0..self.entries.len() {
            wait_until("upstreams usable", SHORT_TIMEOUT, async || {
                let status = self.json(entry, "/v1/admin/status").await;
                status["pools"][0]["usable"] == count
            })
            .await;
        }
    }

    /// Waits until the entry instances together hold at least this many units of a team.
    pub async fn wait_for_units(&self, team: &str, units: u64) {
        wait_until("units granted", SHORT_TIMEOUT, async || {
            let status = self.json(0, "/v1/admin/status").await;
            let teams = status["teams"].as_array().expect("teams should be listed");
            let found =
                teams.iter().find(|t| t["team"] == team).expect("the team should be listed");
            found["granted"].as_u64() >= Some(units)
        })
        .await;
    }

    /// Returns a client of one entry instance that does not borrow the fleet.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller { http: self.http.clone(), addr: self.entries[entry].addr }
    }

    pub fn request(&self, entry: usize, method: Method, path: &str) -> RequestBuilder {
        self.caller(entry).request(method, path)
    }

    pub fn get(&self, entry: usize, path: &str) -> RequestBuilder {
        self.request(entry, Method::GET, path)
    }

    pub fn post(&self, entry: usize, path: &str) -> RequestBuilder {
        self.request(entry, Method::POST, path)
    }

    pub async fn json(&self, entry: usize, path: &str) -> Value {
        let response =
            self.get(entry, path).send().await.expect("the entry instance should respond");
        response.json().await.expect("the body should be JSON")
    }

    /// Returns how many requests and tasks with a tag were started, summed over all reachable upstreams.
    pub async fn run_count(&self, tag: &str) -> u64 {
        let mut sum = 0;
        for upstream in &self.upstreams {
            let Ok(response) = self.http.get(upstream.url("/runs")).send().await else { continue };
            let runs: Value = response.json().await.expect("the body should be JSON");
            sum += runs[tag].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Replaces the fault switches of a stand-in.
    pub async fn set_faults(&self, standin: &Process, faults: Value) {
        let response = self.http.put(standin.url("/faults")).json(&faults).send().await;
        assert!(response.expect("the stand-in should respond").status().is_success());
    }
}

/// A client of one entry instance.
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
        // A directory that cannot be removed does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns the status and the `jacinthhook-kind` and `jacinthhook-ran` headers of a response.
pub fn response_outcome(response: &Response) -> (u16, String, String) {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    (response.status().as_u16(), header("jacinthhook-kind"), header("jacinthhook-ran"))
}

/// Sends bytes over a new connection and reads the response until the connection closes.
pub async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream =
        tokio::net::TcpStream::connect(addr).await.expect("the connection should open");
    // The peer may close the connection during the write; the response is still read.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(SHORT_TIMEOUT, stream.read_to_end(&mut response)).await;
    // A reset after the response also ends the connection.
    let _ = read.expect("the connection should close");
    response
}

/// Splits a raw HTTP response into its lowercased head and its body.
pub fn split_response(response: &[u8]) -> (String, Vec<u8>) {
    let end = response.windows(4).position(|w| w == b"\r\n\r\n");
    let end = end
        .unwrap_or_else(|| panic!("no end of headers in {:?}", String::from_utf8_lossy(response)));
    let head = String::from_utf8_lossy(&response[..end]).to_lowercase();
    (head, response[end + 4..].to_vec())
}
