//! The users' platform as their pages describe it: the store, the runners and the list of machines.

use crate::http::{self, Reply, Request};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The store's answers take this long.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Way to a runner in another zone and back.
const RUNNER_DELAY: Duration = Duration::from_millis(1);
/// Time between two registrations of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Silence after which the store removes a registration: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Longest lease that a runner takes.
pub const MAX_HOLD_MS: u64 = 10_000;
/// How long a runner takes to stop a run; at most `stopMs`, 200.
const STOP_TIME: Duration = Duration::from_millis(50);
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    last: VecDeque<(u64, u64, u64)>,
}

/// What a step's tasks do on a runner.
#[derive(Clone)]
pub struct StepWork {
    pub count: u64,
    pub cpu: u64,
    pub work: Duration,
    pub gang: bool,
    pub lasts: bool,
}

struct Run {
    run: u64,
    began: Instant,
    /// When its work ends; `None` if it lasts, or waits for its gang.
    ends: Option<Instant>,
    stops: Option<Instant>,
    cpu: u64,
    gang: Option<GangKey>,
    lasts: bool,
}

/// Step's name and run.
type GangKey = (String, u64);

#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    complete: bool,
    broken: bool,
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    rack: String,
    address: SocketAddr,
    capacity: u64,
    started: Instant,
    born: u64,
    /// The process runs.
    pub up: bool,
    /// The system and the store cannot reach it.
    pub cut: bool,
    registered_at: Option<Instant>,
    last_heartbeat: Instant,
    sequence: u64,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or ended here.
    over: HashMap<String, u64>,
}

impl Runner {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// A start, an end or a note of an end, as a runner saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub what: &'static str,
    pub task: String,
    pub run: u64,
    pub runner: String,
}

#[derive(Default)]
pub struct State {
    topics: HashMap<String, Topic>,
    pub runners: Vec<Runner>,
    gangs: HashMap<GangKey, Gang>,
    /// Steps of the jobs that clients hand in.
    pub jobs: HashMap<String, Vec<StepWork>>,
    pub seen: Vec<Seen>,
    pub record: Vec<String>,
    /// Instance that last wrote to the store under a condition.
    pub leader: Option<usize>,
    /// Job of which the next start is carried out and not answered.
    pub unanswered_start: Option<String>,
    /// Connections of an instance to the store that were opened before are silent.
    pub silent_since: HashMap<usize, Instant>,
}

pub struct Platform {
    pub began: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn answer(status: u16, body: String) -> Reply {
    Reply::Answer(status, body.into_bytes())
}

pub fn listen() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("bind a free port")
}

impl Platform {
    pub fn start() -> Arc<Platform> {
        let platform = Arc::new(Platform {
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let ticking = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        platform
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let mut state = self.state();
        self.note_in(&mut state, text);
    }

    fn note_in(&self, state: &mut State, text: &str) {
        let line = format!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        state.record.push(line);
    }

    /// Serves the store to one instance.
    pub fn serve_store(self: &Arc<Platform>, instance: usize) -> SocketAddr {
        let listener = listen();
        let addr = listener.local_addr().expect("bound");
        let platform = self.clone();
        http::serve(listener, Arc::new(move |request| platform.store_call(instance, request)));
        addr
    }

    /// Serves the list of machines.
    pub fn serve_cloud(self: &Arc<Platform>) -> SocketAddr {
        let listener = listen();
        let addr = listener.local_addr().expect("bound");
        let platform = self.clone();
        http::serve(listener, Arc::new(move |request| platform.cloud_call(request)));
        addr
    }

    /// Adds a runner with `capacity` thousandths of a core.
    pub fn add_runner(self: &Arc<Platform>, name: &str, rack: &str, capacity: u64) {
        let listener = listen();
        let address = listener.local_addr().expect("bound");
        let now = Instant::now();
        let mut state = self.state();
        let index = state.runners.len();
        state.runners.push(Runner {
            id: format!("i-{name}"),
            machine: format!("m-{name}"),
            rack: rack.into(),
            address,
            capacity,
            started: now,
            born: unix_ms(),
            up: true,
            cut: false,
            registered_at: None,
            last_heartbeat: now,
            sequence: 0,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            over: HashMap::new(),
        });
        drop(state);
        let platform = self.clone();
        http::serve(listener, Arc::new(move |request| platform.runner_call(index, request)));
    }

    /// Ends a runner's process.
    pub fn crash(&self, index: usize) {
        let mut state = self.state();
        let tasks: Vec<(String, u64)> =
            state.runners[index].running.iter().map(|(t, r)| (t.clone(), r.run)).collect();
        let id = state.runners[index].id.clone();
        self.note_in(&mut state, &format!("runner {id} crashes"));
        for (task, run) in tasks {
            self.end_run(&mut state, index, &task, run, "gone");
        }
        let runner = &mut state.runners[index];
        runner.up = false;
        runner.finished.clear();
        self.changed.notify_all();
    }

    /// Starts a runner's process again under the same id.
    pub fn restart(&self, index: usize) {
        let id = self.state().runners[index].id.clone();
        self.restart_as(index, id);
    }

    /// Starts a new runner on the machine and at the address of one that crashed. The store removes the
    /// registration of the earlier one after three heartbeats of silence.
    pub fn replace(self: &Arc<Platform>, index: usize) {
        let (old, last_heartbeat) = {
            let state = self.state();
            (state.runners[index].id.clone(), state.runners[index].last_heartbeat)
        };
        self.restart_as(index, format!("{old}-next"));
        let platform = self.clone();
        thread::spawn(move || {
            thread::sleep((last_heartbeat + ENTRY_LIFETIME).saturating_duration_since(Instant::now()));
            platform.put("keyed.servers", &old, "");
            platform.note(&format!("the registration of {old} is removed"));
        });
    }

    fn restart_as(&self, index: usize, id: String) {
        let mut state = self.state();
        let runner = &mut state.runners[index];
        runner.up = true;
        runner.id = id;
        (runner.started, runner.born) = (Instant::now(), unix_ms());
        (runner.sequence, runner.fence, runner.lease, runner.ends) = (0, 0, 0, 0);
        runner.over.clear();
        runner.registered_at = None;
        let id = runner.id.clone();
        self.note_in(&mut state, &format!("runner {id} starts again"));
    }

    /// Cuts a runner off from the system and the store, or connects it again.
    pub fn set_cut(&self, index: usize, cut: bool) {
        let mut state = self.state();
        state.runners[index].cut = cut;
        let id = state.runners[index].id.clone();
        let what = if cut { "is cut off" } else { "is reachable again" };
        self.note_in(&mut state, &format!("runner {id} {what}"));
        self.changed.notify_all();
    }

    /// Writes a record of a keyed topic as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        Self::put_in(&mut self.state(), topic, key, value);
        self.changed.notify_all();
    }

    fn put_in(state: &mut State, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        state.topics.entry(topic.into()).or_default().records.push(record);
    }

    fn tick(&self) {
        let mut state = self.state();
        let now = Instant::now();
        for index in 0..state.runners.len() {
            self.tick_runner(&mut state, index, now);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn tick_runner(&self, state: &mut State, index: usize, now: Instant) {
        self.register(state, index, now);
        let runner = &state.runners[index];
        if !runner.up {
            return;
        }
        let lapsed = runner.clock() > runner.lease;
        let mut over = Vec::new();
        for (task, run) in &runner.running {
            let how = if lapsed {
                "lapsed"
            } else if run.stops.is_some_and(|at| now >= at) {
                "stopped"
            } else if run.ends.is_some_and(|at| now >= at) {
                "done"
            } else if let Some(key) = &run.gang {
                match state.gangs.get(key) {
                    Some(gang) if gang.broken => "broken",
                    Some(gang) if !gang.complete && now >= run.began + GANG_TIMEOUT => "alone",
                    _ => continue,
                }
            } else {
                continue;
            };
            over.push((task.clone(), run.run, how));
        }
        for (task, run, how) in over {
            self.end_run(state, index, &task, run, how);
        }
    }

    /// Keeps the registration of a runner as it has to be.
    fn register(&self, state: &mut State, index: usize, now: Instant) {
        let runner = &mut state.runners[index];
        let reaches_store = runner.up && !runner.cut;
        match runner.registered_at {
            Some(_) if !reaches_store => {
                if now >= runner.last_heartbeat + ENTRY_LIFETIME {
                    runner.registered_at = None;
                    let id = runner.id.clone();
                    Self::put_in(state, "keyed.servers", &id, "");
                }
            }
            Some(at) if now < at + HEARTBEAT => {}
            _ if !reaches_store => {}
            _ => {
                runner.registered_at = Some(now);
                runner.last_heartbeat = now;
                runner.sequence += 1;
                let entry = format!(
                    "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{},\
                     \"born\":{},\"machine\":\"{}\",\"labels\":[\"a\",\"{}\"],\
                     \"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpu\":0}}}}",
                    runner.address,
                    runner.sequence,
                    runner.born,
                    runner.machine,
                    runner.rack,
                    runner.capacity
                );
                let id = runner.id.clone();
                Self::put_in(state, "keyed.servers", &id, &entry);
            }
        }
    }

    /// Ends a run, and the runs of its gang with it.
    fn end_run(
        &self,
        state: &mut State,
        index: usize,
        task: &str,
        run: u64,
        how: &'static str,
    ) {
        let runner = &mut state.runners[index];
        let Some(removed) = runner.running.remove(task) else { return };
        let over = runner.over.entry(task.into()).or_insert(0);
        *over = (*over).max(run);
        runner.ends += 1;
        let (number, id) = (runner.ends, runner.id.clone());
        runner.finished.push((number, task.into(), run, how));
        self.see(state, how, task, run, &id);
        // The members end done together; any other end breaks the gang.
        if let Some(gang) = removed.gang.and_then(|key| state.gangs.get_mut(&key)) {
            gang.broken |= how != "done";
        }
    }

    fn see(&self, state: &mut State, what: &'static str, task: &str, run: u64, runner: &str) {
        self.note_in(state, &format!("runner {runner}: {task} run {run} {what}"));
        state.seen.push(Seen {
            at: Instant::now(),
            what,
            task: task.into(),
            run,
            runner: runner.into(),
        });
    }

    fn cloud_call(&self, request: &Request) -> Reply {
        if request.path != "/-/machines" {
            return answer(409, "{\"reason\":\"busy\"}".into());
        }
        let state = self.state();
        let machines = state.runners.iter().map(|r| {
            let up = if r.up { "up" } else { "down" };
            format!(
                "{{\"machine\":\"{}\",\"pool\":\"pool\",\"state\":\"{up}\",\"zone\":\"z1\",\
                 \"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpu\":0}},\
                 \"id\":\"{}\"}}",
                r.machine, r.rack, r.capacity, r.id
            )
        });
        let machines: Vec<String> = machines.collect();
        answer(200, format!("{{\"machines\":[{}]}}", machines.join(",")))
    }

    fn store_call(&self, instance: usize, request: &Request) -> Reply {
        if self.is_silent(instance, request) {
            return Reply::Silent;
        }
        thread::sleep(STORE_DELAY);
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let reply = match request.path.as_str() {
            "/-/log-append" => self.append(instance, request, &topic),
            "/-/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.read(&topic, from, Instant::now() + wait)
            }
            "/-/log-newest" => self.newest(&topic, request.query.get("after")),
            _ => answer(400, "{}".into()),
        };
        // A connection that fell silent meanwhile returns nothing.
        if self.is_silent(instance, request) { Reply::Silent } else { reply }
    }

    fn is_silent(&self, instance: usize, request: &Request) -> bool {
        let state = self.state();
        state.silent_since.get(&instance).is_some_and(|since| request.opened_at < *since)
    }

    fn append(&self, instance: usize, request: &Request, topic: &str) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let mut state = self.state();
        let entry = state.topics.entry(topic.into()).or_default();
        let end = entry.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return answer(412, format!("{{\"end\":{end}}}"));
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + len].to_vec());
            rest = &rest[4 + len..];
        }
        let new_end = end + records.len() as u64;
        if let (Some(name), Some(epoch), Some(sequence)) =
            (request.query.get("producer"), number("epoch"), number("sequence"))
        {
            let producer = entry.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return answer(409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch == producer.epoch {
                if let Some((_, offset, end)) = producer.last.iter().find(|l| l.0 == sequence) {
                    return answer(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if let Some(next) = producer.sequence.map(|s| s + 1).filter(|n| *n != sequence) {
                    return answer(409, format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"));
                }
            } else {
                producer.last.clear();
            }
            (producer.epoch, producer.sequence) = (epoch, Some(sequence));
            producer.last.push_back((sequence, end, new_end));
            if producer.last.len() > 5 {
                producer.last.pop_front();
            }
        }
        entry.records.extend(records);
        if topic == "keyed.owner" {
            state.leader = Some(instance);
        }
        drop(state);
        self.changed.notify_all();
        answer(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, topic: &str, from: usize, until: Instant) -> Reply {
        let mut state = self.state();
        loop {
            let records = &state.topics.entry(topic.into()).or_default().records;
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend(record);
                }
                return Reply::Answer(200, out);
            }
            state = self.changed.wait_timeout(state, until - now).expect("no panics").0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&String>) -> Reply {
        let mut state = self.state();
        let records = &state.topics.entry(topic.into()).or_default().records;
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let len = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            match &record[1 + len..] {
                [] => newest.remove(&key),
                value => newest.insert(key, (offset, value)),
            };
        }
        let items = newest.iter().filter(|(key, _)| after.is_none_or(|a| *key > a));
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}", quote(key))
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        let items = items.join(",");
        answer(200, format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}"))
    }

    fn runner_call(&self, index: usize, request: &Request) -> Reply {
        thread::sleep(RUNNER_DELAY);
        let mut state = self.state();
        let runner = &state.runners[index];
        if runner.cut {
            return Reply::Silent;
        }
        if !runner.up || request.opened_at < runner.started {
            return Reply::Close;
        }
        let expected = request.headers.get("x-jacinthhook-expected-instance");
        if expected.is_some_and(|id| *id != runner.id) {
            return answer(421, "{}".into());
        }
        let Some(body) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
            return answer(400, "{}".into());
        };
        let refuse = |runner: &Runner, reason: &str| {
            answer(409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", runner.clock()))
        };
        let runner = &mut state.runners[index];
        if body.num("fence") < runner.fence {
            return refuse(runner, "fence");
        }
        runner.fence = body.num("fence");
        let (clock, deadline) = (runner.clock(), body.num("deadlineMs"));
        let accepted = Json::Map(vec![("clockMs".into(), Json::Num(clock as f64))]).to_string();
        let (task, run) = (body.text("task").to_string(), body.num("run"));
        match request.path.as_str() {
            "/-/run-start" => {
                if deadline <= clock {
                    return refuse(runner, "late");
                }
                runner.lease = runner.lease.max(deadline.min(clock + MAX_HOLD_MS));
                if runner.running.get(&task).is_some_and(|r| r.run == run) {
                    return answer(200, accepted);
                }
                if runner.running.contains_key(&task)
                    || runner.over.get(&task).is_some_and(|over| run <= *over)
                {
                    return refuse(runner, "old");
                }
                let is_unanswered =
                    state.unanswered_start.as_ref().is_some_and(|job| task.starts_with(job));
                let reply = self.begin(&mut state, index, &task, run, accepted);
                if is_unanswered {
                    state.unanswered_start = None;
                    self.note_in(&mut state, "the answer to that start is lost");
                    return Reply::Silent;
                }
                reply
            }
            "/-/run-stop" => {
                match runner.running.get_mut(&task) {
                    Some(running) if running.run == run => {
                        running.stops.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    _ => {
                        let over = runner.over.entry(task).or_insert(0);
                        *over = (*over).max(run);
                    }
                }
                answer(200, accepted)
            }
            "/-/pace" => answer(200, accepted),
            "/-/hold" => {
                if body.has("deadlineMs") {
                    runner.lease = runner.lease.max(deadline.min(clock + MAX_HOLD_MS));
                }
                let noted = body.num("ackIndex");
                let (id, started) = (runner.id.clone(), runner.started);
                let (old, kept) = std::mem::take(&mut runner.finished)
                    .into_iter()
                    .partition::<Vec<_>, _>(|f| f.0 <= noted);
                runner.finished = kept;
                for (_, task, run, _) in old {
                    self.see(&mut state, "noted", &task, run, &id);
                }
                let wait = Duration::from_millis(body.num("waitMs").min(2_000));
                self.hold(state, index, started, Instant::now() + wait)
            }
            _ => answer(404, "{}".into()),
        }
    }

    fn begin(
        &self,
        state: &mut State,
        index: usize,
        task: &str,
        run: u64,
        accepted: String,
    ) -> Reply {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or("");
        let step = parts.nth(1).and_then(|s| s.parse::<usize>().ok()).unwrap_or(usize::MAX);
        let work = state.jobs.get(job).and_then(|steps| steps.get(step)).cloned();
        let Some(work) = work else { return answer(400, "{}".into()) };
        let runner = &mut state.runners[index];
        let used: u64 = runner.running.values().map(|r| r.cpu).sum();
        if used + work.cpu > runner.capacity {
            let clock = runner.clock();
            return answer(409, format!("{{\"clockMs\":{clock},\"reason\":\"room\"}}"));
        }
        let now = Instant::now();
        let group = task.rsplit_once('.').map_or("", |(group, _)| group).to_string();
        let gang = work.gang.then_some((group, run));
        let ends = (!work.lasts && !work.gang).then(|| now + work.work);
        let (id, cpu, lasts) = (runner.id.clone(), work.cpu, work.lasts);
        let new = Run { run, began: now, ends, stops: None, cpu, gang: gang.clone(), lasts };
        runner.running.insert(task.into(), new);
        self.see(state, "starts", task, run, &id);
        if let Some(key) = gang {
            let gang = state.gangs.entry(key.clone()).or_default();
            gang.present.insert(task.into());
            if gang.present.len() as u64 == work.count && !gang.broken {
                // The work begins with the last member.
                gang.complete = true;
                let members = state.runners.iter_mut().flat_map(|r| r.running.values_mut());
                for member in members.filter(|m| m.gang.as_ref() == Some(&key)) {
                    member.ends = Some(now + work.work);
                }
            }
        }
        answer(200, accepted)
    }

    fn hold<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        index: usize,
        started: Instant,
        until: Instant,
    ) -> Reply {
        loop {
            let runner = &state.runners[index];
            if runner.cut {
                return Reply::Silent;
            }
            if !runner.up || runner.started != started {
                return Reply::Close;
            }
            let now = Instant::now();
            if !runner.finished.is_empty() || now >= until {
                let running = runner.running.iter().map(|(task, r)| {
                    let startup = Duration::from_millis(200);
                    let percent = if r.lasts && r.began.elapsed() < startup { 0 } else { 100 };
                    format!("[{},{},\"\",{percent},0]", quote(task), r.run)
                });
                let running: Vec<String> = running.collect();
                let finished = runner.finished.iter().take(500);
                let finished = finished.map(|(n, task, run, how)| {
                    format!("[{n},{},{run},\"{how}\",\"\"]", quote(task))
                });
                let finished: Vec<String> = finished.collect();
                return answer(
                    200,
                    format!(
                        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                        runner.clock(),
                        runner.born,
                        running.join(","),
                        finished.join(",")
                    ),
                );
            }
            state = self.changed.wait_timeout(state, until - now).expect("no panics").0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
