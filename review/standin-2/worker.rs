//! Workers ("runners"): they run tasks on orders, under a lease, and list what runs and what has ended.
//!
//! The `spec` of a job tells how its tasks behave: `dN=MS` is the work of a task of step N, `lasts=N`
//! names a step whose tasks run until they are stopped, `fail=STEP.INDEX.RUNS` lets the first runs of a task fail
//! halfway (`*` names all tasks of the step), `lfail=INDEX.MS` lets the first run of a task that lasts fail
//! after that time, and `ck=1` makes checkpoints.

use crate::http::{Handler, Req, Resp, Server};
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::Store;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CHECKPOINT_MS: u64 = 500;
const BEAT: Duration = Duration::from_millis(1_500);
/// Silence after which the platform removes an entry: three beats.
const REMOVED_AFTER: Duration = Duration::from_millis(4_500);
const LISTED_ENDS: usize = 500;

#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub machine: String,
    pub rack: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Time that a stop takes; the pages allow `stopMs`, 900 ms.
    pub stop_time: Duration,
    /// Longest lease that it takes: `maxHoldMs`.
    pub max_hold_ms: u64,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    spec: String,
    cpu: u64,
    mem_mb: u64,
    /// Work that the checkpoint from which it resumed has saved, in ms.
    resumed_ms: u64,
    ends_at: Option<Instant>,
    fails: bool,
    stops_at: Option<Instant>,
}

struct State {
    up: bool,
    /// Cut off from all others; it runs on.
    cut: bool,
    beat_at: Instant,
    /// Pages: Unix millisecond of the start of this life.
    born: u64,
    since: Instant,
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    /// Highest run of a task that was stopped or has ended here.
    over: HashMap<String, u64>,
    sequence: u64,
}

pub struct Worker {
    pub kind: Kind,
    pool: String,
    state: Mutex<State>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    port: Mutex<u16>,
    /// Sizes of the tasks of each job, as its client sent them: processors and memory by step.
    sizes: Arc<Mutex<HashMap<String, Vec<(u64, u64)>>>>,
    store: Store,
    record: Record,
}

pub type Sizes = Arc<Mutex<HashMap<String, Vec<(u64, u64)>>>>;

fn setting<'a>(spec: &'a str, name: &str) -> Option<&'a str> {
    spec.split(';').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    fn checkpoint(run: &Run) -> String {
        if setting(&run.spec, "ck").is_none() {
            return String::new();
        }
        let worked = run.resumed_ms + run.since.elapsed().as_millis() as u64;
        let saved = worked / CHECKPOINT_MS * CHECKPOINT_MS;
        if saved == 0 { String::new() } else { format!("{saved:08x}87a21d94") }
    }

    fn end(&mut self, at: usize, how: &'static str, record: &Record, worker: &str) {
        let run = self.runs.swap_remove(at);
        self.last_end += 1;
        let over = self.over.entry(run.task.clone()).or_insert(0);
        *over = (*over).max(run.run);
        let saved = if how == "done" { String::new() } else { State::checkpoint(&run) };
        record.line(&format!("end {} run {} on {worker}: {how}", run.task, run.run));
        record.ended(&run.task, run.run, how);
        self.finished.push((self.last_end, run.task, run.run, how, saved));
    }

    /// Ends what is due by now. Returns whether anything ended.
    fn advance(&mut self, record: &Record, worker: &str) -> bool {
        let now = Instant::now();
        let lapsed = self.clock_ms() > self.lease_ms;
        let before = self.last_end;
        let mut at = 0;
        while at < self.runs.len() {
            let run = &self.runs[at];
            let how = if lapsed {
                Some("lapsed")
            } else if run.stops_at.is_some_and(|t| now >= t) {
                Some("stopped")
            } else if run.ends_at.is_some_and(|t| now >= t) {
                Some(if run.fails { "failed" } else { "done" })
            } else {
                None
            };
            match how {
                Some(how) => self.end(at, how, record, worker),
                None => at += 1,
            }
        }
        self.last_end > before
    }
}

impl Worker {
    pub fn start(kind: Kind, pool: &str, store: &Store, record: &Record, sizes: &Sizes) -> Arc<Worker> {
        let state = State {
            up: false,
            cut: false,
            beat_at: Instant::now(),
            born: 0,
            since: Instant::now(),
            fence: 0,
            lease_ms: 0,
            runs: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
            sequence: 0,
        };
        let worker = Arc::new(Worker {
            kind,
            pool: pool.to_string(),
            state: Mutex::new(state),
            ended: Condvar::new(),
            server: Mutex::new(None),
            port: Mutex::new(0),
            sizes: sizes.clone(),
            store: store.clone(),
            record: record.clone(),
        });
        worker.begin(Duration::ZERO);
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let mut state = ticking.state.lock().unwrap();
                if !state.up {
                    continue;
                }
                if state.advance(&ticking.record, &ticking.kind.id) {
                    ticking.ended.notify_all();
                }
                let silence = state.beat_at.elapsed();
                if !state.cut && silence >= BEAT {
                    ticking.register(&mut state);
                } else if state.cut && silence >= REMOVED_AFTER {
                    state.beat_at = Instant::now() + Duration::from_secs(3_600);
                    ticking.store.put("keyed.servers", &ticking.kind.id, None);
                }
            }
        });
        worker
    }

    /// Begins a life: nothing runs, and no fence number has been seen. The address stays. It registers
    /// after `registers_after`.
    pub fn begin(self: &Arc<Worker>, registers_after: Duration) {
        let worker = self.clone();
        let handler: Handler = Arc::new(move |req| {
            if worker.wait_for_cut() {
                return None;
            }
            let answer = worker.answer(&req);
            if worker.wait_for_cut() { None } else { answer }
        });
        let mut port = self.port.lock().unwrap();
        let server = Server::start(*port, handler).expect("a port for a worker");
        *port = server.addr.port();
        *self.server.lock().unwrap() = Some(server);
        drop(port);
        let mut state = self.state.lock().unwrap();
        state.up = true;
        state.born = unix_ms();
        state.since = Instant::now();
        (state.fence, state.lease_ms, state.last_end) = (0, 0, 0);
        state.over.clear();
        self.record.line(&format!("worker {} begins, rack {}", self.kind.id, self.kind.rack));
        match registers_after.is_zero() {
            true => self.register(&mut state),
            // The next beat registers it.
            false => state.beat_at = Instant::now() - BEAT + registers_after,
        }
    }

    /// Ends the process without a word, as SIGKILL does.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        let runs: Vec<Run> = state.runs.drain(..).collect();
        state.finished.clear();
        drop(state);
        self.ended.notify_all();
        for run in &runs {
            self.record.ended(&run.task, run.run, "lost");
        }
        let names: Vec<String> =
            runs.iter().take(4).map(|r| format!("{} run {}", r.task, r.run)).collect();
        let (id, count) = (&self.kind.id, runs.len());
        self.record.line(&format!("worker {id} crashes with {count} runs: {}", names.join(", ")));
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    fn register(&self, state: &mut State) {
        state.sequence += 1;
        state.beat_at = Instant::now();
        let capacity = obj(&[("cpu", n(self.kind.cpu)), ("memMb", n(self.kind.mem_mb))]);
        let port = *self.port.lock().unwrap();
        let entry = obj(&[
            ("service", s(&self.pool)),
            ("address", s(&format!("127.0.0.1:{port}"))),
            ("zone", s(&self.kind.zone)),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("coldRemainingMs", n(0)),
            ("sequence", n(state.sequence)),
            ("labels", Json::Arr(vec![s("a"), s(&self.kind.rack)])),
            ("capacity", capacity),
            ("machine", s(&self.kind.machine)),
            ("born", n(state.born)),
        ]);
        self.store.put("keyed.servers", &self.kind.id, Some(&entry));
    }

    /// Cuts the worker off from all others, or ends the cut. What arrives meanwhile is lost.
    pub fn cut(&self, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.cut = cut;
        let id = &self.kind.id;
        self.record.line(&format!("worker {id} is {}", if cut { "cut off" } else { "reachable" }));
        if !cut {
            self.register(&mut state);
        }
        drop(state);
        self.ended.notify_all();
    }

    /// Waits while the worker is cut off. Returns whether it was.
    fn wait_for_cut(&self) -> bool {
        let mut was_cut = false;
        while self.state.lock().unwrap().cut {
            was_cut = true;
            thread::sleep(Duration::from_millis(5));
        }
        was_cut
    }

    /// Names of the tasks that run here.
    pub fn running(&self) -> HashSet<String> {
        self.state.lock().unwrap().runs.iter().map(|r| r.task.clone()).collect()
    }

    fn answer(&self, req: &Req) -> Option<Resp> {
        if req.header("x-jacinthhook-expected-instance") != self.kind.id {
            return Some(Resp { status: 421, body: b"{}".to_vec() });
        }
        let body = Json::parse(&req.body)?;
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return None;
        }
        state.advance(&self.record, &self.kind.id);
        let clock = |state: &State| ("clockMs", n(state.clock_ms()));
        let refuse = |state: &State, reason: &str| {
            let body = obj(&[clock(state), ("reason", s(reason))]);
            Some(Resp { status: 409, body: body.to_string().into_bytes() })
        };
        let fence = body.num("fence");
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        let (task, run) = (body.text("task").to_string(), body.num("run"));
        match &*req.path {
            "/-/run-start" => {
                extend_lease(&mut state, body.num("deadlineMs"), self.kind.max_hold_ms);
                if state.runs.iter().any(|r| r.task == task && r.run == run) {
                    return accept(&state);
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return refuse(&state, "old");
                }
                if state.clock_ms() > state.lease_ms {
                    return refuse(&state, "late");
                }
                let mut parts = task.split('.');
                let job = parts.next().unwrap_or("").to_string();
                let step = parts.nth(1).and_then(|p| p.parse::<usize>().ok()).unwrap_or(0);
                let index = parts.next().unwrap_or("").to_string();
                let size = self.sizes.lock().unwrap().get(&job).and_then(|j| j.get(step).copied());
                let (cpu, mem_mb) = size.unwrap_or((0, 0));
                let used: (u64, u64) =
                    state.runs.iter().fold((0, 0), |u, r| (u.0 + r.cpu, u.1 + r.mem_mb));
                if used.0 + cpu > self.kind.cpu || used.1 + mem_mb > self.kind.mem_mb {
                    return refuse(&state, "room");
                }
                let spec = body.text("spec").to_string();
                let lasts = setting(&spec, "lasts") == Some(&step.to_string());
                let work: u64 = setting(&spec, &format!("d{step}"))
                    .and_then(|d| d.parse().ok())
                    .unwrap_or(1_000);
                let fails = setting(&spec, "fail").is_some_and(|f| {
                    let mut f = f.split('.');
                    f.next() == Some(&step.to_string())
                        && f.next().is_some_and(|i| i == index || i == "*")
                        && f.next().and_then(|r| r.parse::<u64>().ok()).is_some_and(|r| run <= r)
                });
                let checkpoint = body.text("checkpoint");
                let resumed_ms =
                    checkpoint.get(..8).and_then(|c| u64::from_str_radix(c, 16).ok()).unwrap_or(0);
                // The first run of a task that lasts may fail by itself.
                let lapse = setting(&spec, "lfail").and_then(|f| f.split_once('.'));
                let lapse = lapse.filter(|(i, _)| lasts && run == 1 && *i == index);
                let fails_after = lapse.and_then(|(_, ms)| ms.parse().ok()).map(Duration::from_millis);
                let fails = fails || fails_after.is_some();
                let left = work.saturating_sub(resumed_ms) / if fails { 2 } else { 1 };
                let now = Instant::now();
                self.record.line(&format!("start {task} run {run} on {}", self.kind.id));
                self.record.started(&task, run);
                state.runs.push(Run {
                    task,
                    run,
                    since: now,
                    spec,
                    cpu,
                    mem_mb,
                    resumed_ms,
                    ends_at: match lasts {
                        true => fails_after.map(|after| now + after),
                        false => Some(now + Duration::from_millis(left)),
                    },
                    fails,
                    stops_at: None,
                });
                accept(&state)
            }
            "/-/run-stop" => {
                let over = state.over.entry(task.clone()).or_insert(0);
                *over = (*over).max(run);
                let stops_at = Instant::now() + self.kind.stop_time;
                for r in state.runs.iter_mut().filter(|r| r.task == task && r.run == run) {
                    r.stops_at.get_or_insert(stops_at);
                }
                accept(&state)
            }
            "/-/pace" => accept(&state),
            "/-/hold" => {
                extend_lease(&mut state, body.num("deadlineMs"), self.kind.max_hold_ms);
                let acked = body.num("ackIndex");
                state.finished.retain(|(number, ..)| *number > acked);
                let until = Instant::now() + Duration::from_millis(body.num("waitMs").min(2_000));
                let born = state.born;
                while state.finished.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                    if !state.up || state.born != born || state.cut {
                        return None;
                    }
                }
                let running = state.runs.iter().map(|r| {
                    let percent = if r.since.elapsed() > Duration::from_millis(100) { 100 } else { 0 };
                    let saved = s(&State::checkpoint(r));
                    Json::Arr(vec![s(&r.task), n(r.run), saved, n(percent), n(0)])
                });
                let running = Json::Arr(running.collect());
                let listed = state.finished.iter().take(LISTED_ENDS);
                let finished = listed.map(|(number, task, run, how, saved)| {
                    Json::Arr(vec![n(*number), s(task), n(*run), s(how), s(saved)])
                });
                let finished = Json::Arr(finished.collect());
                let body = obj(&[
                    clock(&state),
                    ("born", n(state.born)),
                    ("running", running),
                    ("finished", finished),
                ]);
                Some(Resp { status: 200, body: body.to_string().into_bytes() })
            }
            _ => Some(Resp { status: 404, body: b"{}".to_vec() }),
        }
    }
}

fn accept(state: &State) -> Option<Resp> {
    let body = obj(&[("clockMs", n(state.clock_ms()))]);
    Some(Resp { status: 200, body: body.to_string().into_bytes() })
}

fn extend_lease(state: &mut State, deadline_ms: u64, max_hold_ms: u64) {
    let longest = state.clock_ms() + max_hold_ms;
    state.lease_ms = state.lease_ms.max(deadline_ms.min(longest));
}
