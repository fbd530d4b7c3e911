//! Workers as PROTOCOL.md describes them, each on a port of its own, with restarts, cuts, a proxy that
//! keeps connections open over a restart, and calls that are carried out late.

use super::http::{self, Request, Response};
use super::trace::{Run, RunEnd, Trace};
use super::users_platform::Platform;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// `maxHoldMs`.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// `stopMs`.
pub const STOP_DURATION: Duration = Duration::from_millis(200);
/// `heartbeatMs`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Silence after which the platform removes a worker's entry.
const ENTRY_EXPIRY: Duration = Duration::from_millis(4_500);
/// Time within which a process registers itself that follows another one.
const MAX_REGISTRATION_MS: u64 = 600;
/// How often due ends and heartbeats are looked for.
const TICK: Duration = Duration::from_millis(5);
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Runs listed at a time.
const MAX_FINISHED_ROWS: usize = 500;
/// Tasks that a worker has room for.
pub const TASK_SLOTS: usize = 16;
/// `cpu` and `memMb` of each task.
pub const TASK_SIZE: (u64, u64) = (4_000, 1_024);
/// Time for which a proxy waits for the next process before it answers 502.
const PROXY_WAIT: Duration = Duration::from_secs(1);

/// What stands before a worker's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Front {
    /// Nothing: connections end with the process.
    Direct,
    /// A proxy whose client side stays open over a restart. A call in progress meanwhile is answered with 502.
    ProxyRefuses,
    /// The same; a call in progress gets no response.
    ProxyLoses,
    /// The same; a call in progress is sent again, to the next process.
    ProxyRepeats,
}

/// Calls that get no response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Losses {
    /// Path of these calls; an empty one stands for all.
    pub path: &'static str,
    pub share: f64,
    /// Share of these that is carried out after `delay_ms`; the rest is carried out at once or never.
    pub late_share: f64,
    pub delay_ms: (u64, u64),
}

impl Losses {
    pub const NONE: Losses =
        Losses { path: "", share: 0.0, late_share: 0.0, delay_ms: (2_000, 12_000) };
}

/// What happens to a call.
enum Fate {
    Answered,
    /// Carried out after this time, or never, without a response.
    Lost(Option<Duration>),
}

struct LiveRun {
    run: u64,
    ends_at: Instant,
    stops_at: Option<Instant>,
    index: usize,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: RunEnd,
    index: usize,
    /// Whether the lease lapsed after the end.
    has_lapsed: bool,
}

/// Process of a worker.
struct Process {
    number: u64,
    born: u64,
    /// When its clock was 0. May lie before its begin, so that clocks differ widely.
    clock_zero: Instant,
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<String, LiveRun>,
    finished: Vec<Finished>,
    last_number: u64,
    /// Highest run of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    sequence: u64,
}

/// What connections of a worker follow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Condition {
    /// Number of the process; 0 while there is none.
    process: u64,
    is_cut: bool,
    /// Changes with each end of a run.
    ends: u64,
}

struct State {
    process: Option<Process>,
    process_count: u64,
    heard_at: Instant,
    next_heartbeat: Instant,
    is_listed: bool,
    losses: Losses,
    lost_count: u64,
    calls_in_progress: u32,
    rng: ChaCha8Rng,
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    rack: String,
    address: SocketAddr,
    front: Front,
    /// Speed of its clock: 1, or up to 2 % less.
    clock_speed: f64,
    state: Mutex<State>,
    condition: watch::Sender<Condition>,
    platform: Arc<Platform>,
    trace: Arc<Trace>,
}

/// Waits for a process as a proxy does. Returns its number; 0 if there is none in time.
async fn await_process(condition: &mut watch::Receiver<Condition>) -> u64 {
    let up = condition.wait_for(|c| c.process != 0);
    timeout(PROXY_WAIT, up).await.map_or(0, |c| c.map_or(0, |c| c.process))
}

impl Worker {
    /// Creates a worker without a process.
    pub fn new(
        number: usize,
        address: SocketAddr,
        front: Front,
        seed: u64,
        platform: Arc<Platform>,
        trace: Arc<Trace>,
    ) -> Arc<Worker> {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let clock_speed = rng.random_range(0.98..=1.0);
        Arc::new(Worker {
            id: format!("w{number}"),
            zone: format!("z{}", number % 3 + 1),
            rack: format!("r{}", number % 3 + 1),
            address,
            front,
            clock_speed,
            state: Mutex::new(State {
                process: None,
                process_count: 0,
                heard_at: Instant::now(),
                next_heartbeat: Instant::now(),
                is_listed: false,
                losses: Losses::NONE,
                lost_count: 0,
                calls_in_progress: 0,
                rng,
            }),
            condition: watch::Sender::new(Condition::default()),
            platform,
            trace,
        })
    }

    /// Starts a process whose clock shows `clock`; a worker that restarts has 0.
    pub async fn start(self: &Arc<Worker>, clock: Duration) {
        let is_first = self.state.lock().process_count == 0;
        // A proxy listens on while the process behind it restarts.
        let listener = (is_first || self.front == Front::Direct).then(|| self.listen());
        let number = {
            let mut state = self.state.lock();
            state.process_count += 1;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
            let number = state.process_count;
            state.process = Some(Process {
                number,
                born: (now - clock).as_millis() as u64,
                clock_zero: Instant::now()
                    .checked_sub(clock)
                    .expect("the machine is up long enough"),
                fence: 0,
                lease_ms: 0,
                running: BTreeMap::new(),
                finished: Vec::new(),
                last_number: 0,
                over: HashMap::new(),
                sequence: 0,
            });
            // A process may answer before it has registered itself.
            let delay = if is_first { 0 } else { state.rng.random_range(0..MAX_REGISTRATION_MS) };
            state.next_heartbeat = Instant::now() + Duration::from_millis(delay);
            number
        };
        self.condition.send_modify(|c| c.process = number);
        self.trace.line(&self.id, format!("process {number} starts"));
        if let Some(listener) = listener {
            tokio::spawn(self.clone().accept_loop(listener, number));
        }
        tokio::spawn(self.clone().run_process(number));
    }

    /// Ends the process without a word.
    pub fn crash(&self) {
        let mut state = self.state.lock();
        self.advance(&mut state);
        let Some(process) = state.process.take() else { return };
        let now = Instant::now();
        for run in process.running.values() {
            self.trace.end_run(run.index, now, RunEnd::Crashed);
        }
        drop(state);
        let count = process.running.len();
        self.trace.line(&self.id, format!("process {} crashes with {count} runs", process.number));
        self.condition.send_modify(|c| c.process = 0);
    }

    /// Cuts the worker off, or ends the cut. Nothing passes either way meanwhile.
    pub fn set_cut(&self, is_cut: bool) {
        let text = if is_cut { "is cut off" } else { "is reachable" };
        self.trace.line(&self.id, text.into());
        self.condition.send_modify(|c| c.is_cut = is_cut);
    }

    pub fn set_losses(&self, losses: Losses) {
        self.state.lock().losses = losses;
    }

    /// Waits, for at most `limit`, until no call is in progress.
    pub async fn await_no_call(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.state.lock().calls_in_progress > 0 && Instant::now() < until {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Number of calls that got no response.
    pub fn lost_count(&self) -> u64 {
        self.state.lock().lost_count
    }

    /// Returns the ids of the jobs of which a task runs here.
    pub fn running_jobs(&self) -> Vec<String> {
        let state = self.state.lock();
        let tasks = state.process.iter().flat_map(|process| process.running.keys());
        tasks.filter_map(|task| task.split('.').next()).map(String::from).collect()
    }

    pub fn running_count(&self) -> usize {
        self.state.lock().process.as_ref().map_or(0, |p| p.running.len())
    }

    fn listen(&self) -> TcpListener {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("the option is known");
        socket.bind(self.address).expect("the port is free");
        socket.listen(256).expect("listen on the port")
    }

    async fn accept_loop(self: Arc<Worker>, listener: TcpListener, number: u64) {
        let mut condition = self.condition.subscribe();
        loop {
            let is_direct = self.front == Front::Direct;
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("accept a connection").0,
                _ = condition.wait_for(|c| is_direct && c.process != number) => return,
            };
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve(stream, number));
        }
    }

    async fn serve(self: Arc<Worker>, mut stream: TcpStream, accepted_by: u64) {
        let mut condition = self.condition.subscribe();
        let was_cut = condition.borrow().is_cut;
        let is_direct = self.front == Front::Direct;
        let mut buf = Vec::new();
        loop {
            let request = tokio::select! {
                request = http::read_request(&mut stream, &mut buf) => request,
                _ = condition.wait_for(|c| is_direct && c.process != accepted_by) => return,
            };
            let Some(request) = request else { return };
            let _ = condition.wait_for(|c| !c.is_cut).await;
            if was_cut {
                // It would not have been opened.
                return;
            }
            let number = match is_direct {
                true => accepted_by,
                false => await_process(&mut condition).await,
            };
            if let Fate::Lost(late) = self.fate(&request) {
                if let Some(delay) = late {
                    tokio::spawn(self.clone().carry_out_late(request, delay, number));
                }
                // Nothing more is returned on this connection.
                tokio::select! {
                    _ = http::read_to_end(&mut stream) => {}
                    _ = condition.wait_for(|c| is_direct && c.process != accepted_by) => {}
                }
                return;
            }
            self.state.lock().calls_in_progress += 1;
            let response = self.answer(&request, number, &mut condition).await;
            self.state.lock().calls_in_progress -= 1;
            let _ = condition.wait_for(|c| !c.is_cut).await;
            let is_broken = condition.borrow().process != number;
            let response = match (response, self.front) {
                (Some(response), Front::Direct) if !is_broken => response,
                (_, Front::Direct) => return,
                (Some(response), _) => response,
                (None, Front::ProxyRefuses) => Response { status: 502, body: json!({}) },
                (None, Front::ProxyLoses) => return http::read_to_end(&mut stream).await,
                (None, Front::ProxyRepeats) => {
                    let next = await_process(&mut condition).await;
                    match self.answer(&request, next, &mut condition).await {
                        Some(response) => response,
                        None => return,
                    }
                }
            };
            if !http::write_response(&mut stream, &response).await {
                return;
            }
        }
    }

    fn fate(&self, request: &Request) -> Fate {
        let state = &mut *self.state.lock();
        let losses = state.losses;
        let is_meant = losses.path.is_empty() || losses.path == request.path;
        if !is_meant || !state.rng.random_bool(losses.share) {
            return Fate::Answered;
        }
        state.lost_count += 1;
        if state.rng.random_bool(losses.late_share) {
            let (least, most) = losses.delay_ms;
            return Fate::Lost(Some(Duration::from_millis(state.rng.random_range(least..=most))));
        }
        Fate::Lost(state.rng.random_bool(0.5).then_some(Duration::ZERO))
    }

    /// Carries a call out after `delay` at the process that is there then.
    async fn carry_out_late(self: Arc<Worker>, request: Request, delay: Duration, sent_to: u64) {
        sleep(delay).await;
        let mut condition = self.condition.subscribe();
        if condition.wait_for(|c| c.process != 0 && !c.is_cut).await.is_err() {
            return;
        }
        let mut state = self.state.lock();
        self.advance(&mut state);
        let is_late = !delay.is_zero();
        if let Some(process) = state.process.as_mut() {
            self.carry_out(process, &request, is_late, sent_to);
        }
    }

    /// Carries out a call and returns the response, after the wait of a poll. `None` if the process ended.
    async fn answer(
        &self,
        request: &Request,
        number: u64,
        condition: &mut watch::Receiver<Condition>,
    ) -> Option<Response> {
        condition.mark_unchanged();
        let (refusal, has_finished, ends) = {
            let mut state = self.state.lock();
            self.advance(&mut state);
            let process = state.process.as_mut().filter(|p| p.number == number)?;
            let refusal = self.carry_out(process, request, false, number);
            (refusal, !process.finished.is_empty(), self.condition.borrow().ends)
        };
        if refusal.is_some() {
            return refusal;
        }
        let wait = Duration::from_millis(request.body["waitMs"].as_u64().unwrap_or(0));
        let wait = wait.min(MAX_WAIT);
        if !wait.is_zero() && !has_finished {
            let ended = condition.wait_for(|c| c.process != number || c.ends != ends);
            let _ = timeout(wait, ended).await;
        }
        let mut state = self.state.lock();
        self.advance(&mut state);
        let process = state.process.as_ref().filter(|p| p.number == number)?;
        let mut body = json!({ "clockMs": self.clock_ms(process) });
        if request.path == "/-/hold" {
            let running = process.running.iter().map(|(t, r)| json!([t, r.run, "", 100, 0]));
            let finished = process.finished.iter().take(MAX_FINISHED_ROWS);
            let finished = finished.map(|f| json!([f.number, f.task, f.run, f.how.name(), ""]));
            body["born"] = json!(process.born);
            body["running"] = running.collect();
            body["finished"] = finished.collect();
        }
        Some(Response { status: 200, body })
    }

    /// Carries out a call. Returns the response if it is refused.
    fn carry_out(
        &self,
        process: &mut Process,
        request: &Request,
        is_late: bool,
        sent_to: u64,
    ) -> Option<Response> {
        if request.expected_worker != self.id {
            return Some(Response { status: 421, body: json!({}) });
        }
        let clock = self.clock_ms(process);
        let body = &request.body;
        let number = |field: &str| body[field].as_u64().unwrap_or(0);
        let (fence, run, deadline) = (number("fence"), number("run"), number("deadlineMs"));
        let task = body["task"].as_str().unwrap_or("").to_string();
        let refuse = |reason: &str| {
            let body = json!({ "clockMs": clock, "reason": reason });
            Some(Response { status: 409, body })
        };
        let fence_before = process.fence;
        let lease_before = process.lease_ms;
        let is_fenced = fence < process.fence;
        if !is_fenced {
            process.fence = fence;
            let longest = clock + MAX_LEASE.as_millis() as u64;
            process.lease_ms = process.lease_ms.max(deadline.min(longest));
        }
        let is_stray = process.number != sent_to || deadline > clock + MAX_LEASE.as_millis() as u64;
        let text = format!(
            "{} {task} run {run} born {} clockMs {clock} deadlineMs {deadline} ackIndex {} lease {lease_before} -> {} \
             fence {fence} (seen {fence_before}){}",
            request.path,
            process.born,
            number("ackIndex"),
            process.lease_ms,
            if is_late { " late" } else { "" },
        );
        self.trace.order_line(&self.id, text, is_stray);
        if is_fenced {
            return refuse("fence");
        }
        match request.path.as_str() {
            "/-/run-start" => {
                if process.running.get(&task).is_some_and(|r| r.run == run) {
                    return None;
                }
                if process.over.get(&task).is_some_and(|over| run <= *over) {
                    return refuse("old");
                }
                if process.lease_ms <= clock || deadline <= clock {
                    return refuse("late");
                }
                if process.running.len() >= TASK_SLOTS {
                    return refuse("room");
                }
                let work = body["spec"].as_str().and_then(|s| s.parse().ok()).unwrap_or(1_000);
                let now = Instant::now();
                let index = self.trace.push_run(Run {
                    task: task.clone(),
                    run,
                    worker: self.id.clone(),
                    born: process.born,
                    fence,
                    began: self.trace.seconds(now),
                    end: None,
                    is_late,
                    is_end_acknowledged: false,
                });
                let ends_at = now + Duration::from_millis(work);
                let live = LiveRun { run, ends_at, stops_at: None, index };
                if let Some(other) = process.running.insert(task, live) {
                    // Both were there.
                    let at = now + Duration::from_millis(1);
                    self.trace.end_run(other.index, at, RunEnd::Stopped);
                }
            }
            "/-/run-stop" => {
                let over = process.over.entry(task.clone()).or_insert(0);
                *over = (*over).max(run);
                if let Some(live) = process.running.get_mut(&task).filter(|live| live.run == run) {
                    if is_stray {
                        self.trace.note_stray_stop(&self.id, &task, run);
                    }
                    live.stops_at.get_or_insert(Instant::now() + STOP_DURATION);
                }
            }
            "/-/hold" => {
                let acknowledged = number("ackIndex");
                let is_dropped = |f: &Finished| f.number <= acknowledged;
                for finished in process.finished.iter().filter(|f| is_dropped(f) && !f.has_lapsed) {
                    self.trace.acknowledge_end(finished.index);
                }
                process.finished.retain(|f| !is_dropped(f));
            }
            _ => {}
        }
        None
    }

    fn clock_ms(&self, process: &Process) -> u64 {
        (process.clock_zero.elapsed().as_secs_f64() * self.clock_speed * 1_000.0) as u64
    }

    /// When the clock of a process shows `clock_ms`.
    fn time_of(&self, process: &Process, clock_ms: u64) -> Instant {
        process.clock_zero + Duration::from_secs_f64(clock_ms as f64 / 1_000.0 / self.clock_speed)
    }

    /// Ends the runs that are due.
    fn advance(&self, state: &mut State) {
        let Some(process) = state.process.as_mut() else { return };
        let now = Instant::now();
        let lapses_at = self.time_of(process, process.lease_ms);
        let due = process.running.iter().filter_map(|(task, live)| {
            let ends = [(live.ends_at, RunEnd::Done), (lapses_at, RunEnd::Lapsed)];
            let stop = live.stops_at.map(|at| (at, RunEnd::Stopped));
            let end = ends.into_iter().chain(stop).min_by_key(|(at, _)| *at)?;
            (end.0 <= now).then(|| (task.clone(), end))
        });
        let mut due: Vec<(String, (Instant, RunEnd))> = due.collect();
        due.sort_by_key(|(_, (at, _))| *at);
        for (task, (at, how)) in &due {
            let Some(live) = process.running.remove(task) else { continue };
            self.trace.end_run(live.index, *at, *how);
            let over = process.over.entry(task.clone()).or_insert(0);
            *over = (*over).max(live.run);
            process.last_number += 1;
            process.finished.push(Finished {
                number: process.last_number,
                task: task.clone(),
                run: live.run,
                how: *how,
                index: live.index,
                has_lapsed: false,
            });
        }
        if lapses_at <= now {
            process.finished.iter_mut().for_each(|f| f.has_lapsed = true);
        }
        if !due.is_empty() {
            self.condition.send_modify(|c| c.ends += 1);
        }
    }

    /// Ends runs and keeps the registry entry, until another process follows or the entry of the last one
    /// has expired.
    async fn run_process(self: Arc<Worker>, number: u64) {
        loop {
            sleep(TICK).await;
            let mut state = self.state.lock();
            self.advance(&mut state);
            let has_ended = state.process.is_none();
            let is_heard = !has_ended && !self.condition.borrow().is_cut;
            if is_heard && Instant::now() >= state.next_heartbeat {
                self.register(&mut state);
            } else if state.is_listed && state.heard_at.elapsed() >= ENTRY_EXPIRY {
                self.platform.put_bytes("keyed.servers", self.id.as_bytes(), &[]);
                state.is_listed = false;
                self.trace.line(&self.id, "is no longer listed".into());
            }
            if state.process_count != number || (has_ended && !state.is_listed) {
                return;
            }
        }
    }

    fn register(&self, state: &mut State) {
        let (cpu, mem) = TASK_SIZE;
        let slots = TASK_SLOTS as u64;
        let Some(process) = state.process.as_mut() else { return };
        process.sequence += 1;
        let entry: Value = json!({
            "service": "pool", "address": self.address.to_string(), "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": process.sequence,
            "labels": ["a", self.rack], "machine": format!("m-{}", self.id), "born": process.born,
            "capacity": { "cpu": cpu * slots, "memMb": mem * slots, "gpu": 0 },
        });
        self.platform.put_record("keyed.servers", &self.id, &entry);
        (state.heard_at, state.is_listed) = (Instant::now(), true);
        state.next_heartbeat = state.heard_at + HEARTBEAT;
    }
}
