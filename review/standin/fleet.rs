//! The project's instances as separate processes, and the clients that call them.

use crate::http;
use crate::platform::Platform;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How the deploy file starts the program.
const PROGRAM: [&str; 2] = ["target/release/jacinthhook", "run"];
const PREFIX: &str = "/queue/";
/// How long a client waits for an answer.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3_000);

/// Ports below those that the system gives to outgoing connections, which could take one before an
/// instance does.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

/// Returns ports on which nothing listens. Cases that run at the same time begin to look at different ones.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let offset = (std::process::id() % u32::from(PORTS / 20)) as u16 * 20;
    let ports = (0..PORTS).map(|n| FIRST_PORT + (offset + n) % PORTS);
    let addrs = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    addrs.filter(|addr| TcpListener::bind(addr).is_ok()).take(count).collect()
}

pub struct Fleet {
    platform: Arc<Platform>,
    children: Vec<Child>,
    callers: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts `count` instances and waits until all of them are ready.
    pub fn start(platform: &Arc<Platform>, count: usize) -> Result<Fleet, String> {
        platform.put(
            "keyed.op",
            "config",
            "{\"version\":3,\"routes\":[{\"name\":\"queue\",\"host\":\"jobs.example\",\
             \"pathPrefix\":\"/queue/\",\"service\":\"pool\",\"priority\":0,\"maxAttempts\":2,\
             \"slackFactor\":2,\"targetLatencyMs\":600}],\
             \"services\":[{\"name\":\"pool\",\"enforcesCapacity\":true}],\
             \"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"key-1\"],\"weight\":10,\
             \"maxCount\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}],\"limits\":{}}",
        );
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let cloud = platform.serve_cloud();
        let mut fleet = Fleet {
            platform: platform.clone(),
            children: Vec::new(),
            callers: Vec::new(),
            readiness: Vec::new(),
            folder,
        };
        let ports = free_ports(3 * count);
        for index in 0..count {
            let [front, ready, control] = [ports[3 * index], ports[3 * index + 1], ports[3 * index + 2]];
            let store = platform.serve_store(index);
            let name = format!("frontend-{}", index + 1);
            let control_port = control.port();
            let settings = format!(
                "{{\"nodeName\":\"{name}\",\"role\":\"entry\",\"machineClass\":\"frontend\",\
                 \"serves\":[\"frontend\"],\"ip\":\"127.0.0.1\",\"zone\":\"z1\",\"region\":\"r\",\
                 \"zones\":{{\"z1\":\"r\"}},\"bindAddrs\":{{\"frontend\":\"{front}\",\
                 \"readiness\":\"{ready}\"}},\"portRange\":[{control_port},{control_port}],\
                 \"seeds\":[],\"bootstrap\":true,\"countsAsLoss\":false,\
                 \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\
                 \"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\
                 \"entry\":\"vip\",\"heartbeatMs\":1500,\"bounds\":{{\"contactMs\":3000,\
                 \"ackMs\":4000,\"drainMs\":2000,\"graceS\":6,\"configApplyMs\":2000,\
                 \"revokeMs\":5000,\"maxHoldMs\":10000,\"stopMs\":200,\"gangTimeoutMs\":3000,\
                 \"cancel_ms\":3000,\"visible_ms\":3000,\"finish_s\":14,\"status_s\":120,\
                 \"leaseMs\":3000,\"enforceFencing\":true}},\"orders\":\"request\",\
                 \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writesPerS\":600,\
                 \"readsPerS\":2000}},\"cloud\":{{\"address\":\"{cloud}\",\"ratePerS\":64.0,\
                 \"duties\":[],\"dutyPerS\":64.0}}}}"
            );
            let file = fleet.folder.join(format!("{name}.json"));
            fs::write(&file, settings).map_err(|e| e.to_string())?;
            let log = fs::File::create(fleet.folder.join(format!("{name}.log")));
            let child = Command::new(PROGRAM[0])
                .arg(PROGRAM[1])
                .env("JACINTHHOOK_BOOT", &file)
                .stdin(Stdio::null())
                .stdout(log.map_err(|e| e.to_string())?)
                .spawn()
                .map_err(|e| format!("{}: {e}", PROGRAM[0]))?;
            fleet.children.push(child);
            fleet.callers.push(front);
            fleet.readiness.push(ready);
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..count).all(|i| fleet.is_ready(i)) {
            if Instant::now() > until {
                return Err("the instances are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The first owner takes over and reads the runners.
        thread::sleep(Duration::from_secs(5));
        Ok(fleet)
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, instance: usize, signal: &str) {
        let command = format!("kill -s {signal} {}", self.children[instance].id());
        self.platform.note(&format!("frontend-{} gets SIG{signal}", instance + 1));
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    fn is_ready(&self, instance: usize) -> bool {
        let addr = self.readiness[instance];
        let answer = http::call(addr, "GET", "/-/readyz", &[], "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Makes a client's call of an instance and records it.
    pub fn call(&self, instance: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("host", "jobs.example"),
            ("x-jacinthhook-credential", "key-1"),
            ("x-jacinthhook-deadline-ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let name = instance + 1;
        self.platform.note(&format!("client -> frontend-{name}: {method} {path} {body}"));
        let addr = self.callers[instance];
        let answer = http::call(addr, method, &path, &headers, body, CLIENT_DEADLINE);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.platform.note(&format!("client <- frontend-{name}: {method} {path}: {shown}"));
        answer
    }

    /// Hands a job in as a client does: again at the next instance until it is accepted.
    pub fn submit(&self, first: usize, id: &str, body: &str) -> Result<(), String> {
        for attempt in 0..5 {
            let instance = (first + attempt) % self.callers.len();
            if let Some((200..=299, _)) = self.call(instance, "POST", id, body) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Returns the state of a job as an instance shows it.
    pub fn job_state(&self, instance: usize, id: &str) -> String {
        match self.call(instance, "GET", id, "") {
            Some((200, body)) => crate::json::Json::parse(&body)
                .map(|b| b.text("state").to_string())
                .unwrap_or_default(),
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        }
    }

    /// Shows the lines of the instances' logs that contain a word.
    pub fn show_logs(&self, word: &str) {
        for index in 0..self.callers.len() {
            let file = self.folder.join(format!("frontend-{}.log", index + 1));
            let text = fs::read_to_string(file).unwrap_or_default();
            for line in text.lines().filter(|l| l.contains(word)) {
                self.platform.note(&format!("log of frontend-{}: {line}", index + 1));
            }
        }
    }

    pub fn len(&self) -> usize {
        self.callers.len()
    }
}
