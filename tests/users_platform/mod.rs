//! A small stand-in of the users' platform on real sockets: the store with keyed topics,
//! conditional and fenced appends, and one worker whose tasks run for a fixed time.
#![allow(dead_code)] // Each test program uses only some of the helpers.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Response};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// One partition of a topic.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    epoch: u64,
    sequence: Option<u64>,
}

/// How long each append to a partition takes, and the turn of the one that is being done.
#[derive(Clone, Default)]
struct SlowAppends {
    time: Duration,
    turn: Arc<tokio::sync::Mutex<()>>,
}

/// Run of a task on the worker.
struct Run {
    run: u64,
    ends_at: Instant,
    runs_until_stopped: bool,
}

#[derive(Default)]
struct Worker {
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ended_count: u64,
    start_counts: HashMap<String, u32>,
    /// Highest run of each task that has ended or was stopped.
    ended_runs: HashMap<String, u64>,
}

/// State of the stand-in.
pub struct Platform {
    started: Instant,
    /// By topic; a partition other than the first by topic, `/` and its number.
    topics: Mutex<HashMap<String, Topic>>,
    slow_appends: Mutex<HashMap<String, SlowAppends>>,
    worker: Mutex<Worker>,
    /// Makes the store respond with 503 to every call.
    pub store_down: AtomicBool,
    /// Partition whose reads get 503, as `Partition` writes it.
    pub unreadable: Mutex<Option<String>>,
    /// Starts that get no answer and are carried out after `LATE_START`, counted from the next one.
    pub lost_starts: AtomicU32,
}

/// Time for which a task runs, unless it runs until it is stopped.
const TASK_DURATION: Duration = Duration::from_millis(150);
/// Time after which a start without an answer is carried out, after all attempts to send it.
const LATE_START: Duration = Duration::from_secs(3);

impl Platform {
    pub fn new() -> Arc<Platform> {
        Arc::new(Platform {
            started: Instant::now(),
            topics: Mutex::default(),
            slow_appends: Mutex::default(),
            worker: Mutex::default(),
            store_down: AtomicBool::new(false),
            unreadable: Mutex::default(),
            lost_starts: AtomicU32::new(0),
        })
    }

    /// Serves the store and one worker on a free port.
    pub async fn serve(self: &Arc<Platform>) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let routes = [Method::Get, Method::Post]
            .map(|m| Route::new(m, "/<_..>", PlatformHandler(self.clone())));
        let rocket = jacinthhook::http_server::base(any).mount("/", routes);
        jacinthhook::http_server::launch(rocket).await.expect("bind a free port").0
    }

    /// Sets how long each append to a partition takes.
    pub fn set_append_time(&self, partition: &str, time: Duration) {
        self.slow_appends
            .lock()
            .insert(partition.into(), SlowAppends { time, ..SlowAppends::default() });
    }

    /// Appends a record as an operator or a worker does.
    pub fn put_record(&self, topic: &str, key: &str, value: &Value) {
        self.put_bytes(topic, key.as_bytes(), value.to_string().as_bytes());
    }

    /// Appends a record of any content. Returns its offset.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend(key);
        record.extend(value);
        let mut topics = self.topics.lock();
        let records = &mut topics.entry(topic.into()).or_default().records;
        records.push(record);
        records.len() as u64 - 1
    }

    /// Returns the newest record of a key, if it is JSON.
    pub fn newest_record(&self, topic: &str, key: &str) -> Option<Value> {
        let topics = self.topics.lock();
        let mut records = topics.get(topic)?.records.iter().rev();
        let record = records.find(|r| r.get(1..=r[0] as usize) == Some(key.as_bytes()))?;
        serde_json::from_slice(&record[1 + key.len()..]).ok()
    }

    /// Returns the partitions of a topic that hold a record of a key.
    pub fn partitions_with(&self, topic: &str, key: &str) -> Vec<String> {
        let topics = self.topics.lock();
        let partitions = topics.keys().filter(|name| name.split('/').next() == Some(topic));
        let names: Vec<String> = partitions.cloned().collect();
        drop(topics);
        names.into_iter().filter(|name| self.newest_record(name, key).is_some()).collect()
    }

    /// Lets the worker have accepted an order with a fencing token.
    pub fn set_worker_fence(&self, fence: u64) {
        self.worker.lock().fence = fence;
    }

    /// Returns how often each task was started.
    pub fn start_counts(&self) -> HashMap<String, u32> {
        self.worker.lock().start_counts.clone()
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn append(&self, query: &HashMap<String, String>, body: &[u8]) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let mut topics = self.topics.lock();
        let topic = topics.entry(partition_name(query)).or_default();
        let end = topic.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return json_response(412, &json!({ "end": end }));
        }
        if let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) {
            if epoch < topic.epoch {
                return json_response(409, &json!({ "reason": "fenced" }));
            }
            let next = topic.sequence.filter(|_| epoch == topic.epoch).map(|s| s + 1);
            match next {
                // A retry gets the first response again.
                Some(next) if sequence + 1 == next => {
                    return json_response(200, &json!({ "end": end }));
                }
                Some(next) if sequence != next => {
                    return json_response(409, &json!({ "reason": "seq", "sequence": next }));
                }
                _ => (topic.epoch, topic.sequence) = (epoch, Some(sequence)),
            }
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let len = u32::from_be_bytes(rest[..4].try_into().expect("four bytes")) as usize;
            topic.records.push(rest[4..4 + len].to_vec());
            rest = &rest[4 + len..];
        }
        json_response(200, &json!({ "offset": end, "end": topic.records.len() }))
    }

    fn is_unreadable(&self, query: &HashMap<String, String>) -> bool {
        self.unreadable.lock().as_deref() == Some(&*partition_name(query))
    }

    async fn read(&self, query: &HashMap<String, String>) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            {
                let mut topics = self.topics.lock();
                let topic = topics.entry(partition_name(query)).or_default();
                let end = topic.records.len() as u64;
                if end > number("from") || Instant::now() >= until {
                    let mut out = end.to_be_bytes().to_vec();
                    out.extend(0u64.to_be_bytes());
                    for record in topic.records.iter().skip(number("from") as usize) {
                        out.extend((record.len() as u32).to_be_bytes());
                        out.extend(record);
                    }
                    return (200, out);
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn newest(&self, query: &HashMap<String, String>) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock();
        let topic = topics.entry(partition_name(query)).or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in topic.records.iter().enumerate() {
            let len = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            match &record[1 + len..] {
                [] => newest.remove(&key),
                value => newest.insert(key, (offset, BASE64_STANDARD.encode(value))),
            };
        }
        let items: Vec<Value> = newest
            .into_iter()
            .map(|(key, (offset, value))| json!({ "key": key, "value": value, "offset": offset }))
            .collect();
        let end = topic.records.len();
        json_response(200, &json!({ "items": items, "hasMore": false, "end": end }))
    }

    fn end_due_runs(&self) {
        let mut worker = self.worker.lock();
        let now = Instant::now();
        let lease_lapsed = worker.lease < self.clock();
        let ended: Vec<(String, u64, bool)> = worker
            .running
            .iter()
            .filter(|(_, r)| lease_lapsed || (!r.runs_until_stopped && now >= r.ends_at))
            .map(|(task, r)| (task.clone(), r.run, !r.runs_until_stopped && now >= r.ends_at))
            .collect();
        for (task, run, done) in ended {
            worker.running.remove(&task);
            worker.ended_runs.insert(task.clone(), run);
            worker.ended_count += 1;
            let number = worker.ended_count;
            worker.ended.push((number, task, run, if done { "done" } else { "lapsed" }));
        }
    }

    fn handle_order(&self, path: &str, body: &Value) -> (u16, Vec<u8>) {
        self.end_due_runs();
        let clock = self.clock();
        let mut worker = self.worker.lock();
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < worker.fence {
            return json_response(409, &json!({ "clockMs": clock, "reason": "fence" }));
        }
        worker.fence = fence;
        worker.lease = worker.lease.max(body["deadlineMs"].as_u64().unwrap_or(0));
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        match path {
            "/-/run-start" => {
                if worker.ended_runs.get(&task).is_some_and(|ended| run <= *ended) {
                    return json_response(409, &json!({ "clockMs": clock, "reason": "old" }));
                }
                if !worker.running.contains_key(&task) {
                    *worker.start_counts.entry(task.clone()).or_insert(0) += 1;
                    let runs_until_stopped = body["spec"] == "until-stopped";
                    worker.running.insert(
                        task,
                        Run { run, ends_at: Instant::now() + TASK_DURATION, runs_until_stopped },
                    );
                }
                json_response(200, &json!({ "clockMs": clock }))
            }
            "/-/run-stop" => {
                worker.ended_runs.insert(task.clone(), run);
                if worker.running.remove(&task).is_some() {
                    worker.ended_count += 1;
                    let number = worker.ended_count;
                    worker.ended.push((number, task, run, "stopped"));
                }
                json_response(200, &json!({ "clockMs": clock }))
            }
            _ => {
                let acknowledged = body["ackIndex"].as_u64().unwrap_or(0);
                worker.ended.retain(|(number, ..)| *number > acknowledged);
                let running: Vec<Value> =
                    worker.running.iter().map(|(t, r)| json!([t, r.run, "", 100, 0])).collect();
                let ended: Vec<Value> =
                    worker.ended.iter().map(|(n, t, r, how)| json!([n, t, r, how, ""])).collect();
                let lists = json!({
                    "clockMs": clock, "born": 1, "running": running, "finished": ended,
                });
                json_response(200, &lists)
            }
        }
    }
}

fn partition_name(query: &HashMap<String, String>) -> String {
    let topic = &query["topic"];
    match query["part"].as_str() {
        "0" => topic.clone(),
        number => format!("{topic}/{number}"),
    }
}

fn json_response(status: u16, body: &Value) -> (u16, Vec<u8>) {
    (status, body.to_string().into_bytes())
}

#[derive(Clone)]
struct PlatformHandler(Arc<Platform>);

#[rocket::async_trait]
impl Handler for PlatformHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = data.open(8.mebibytes()).into_bytes().await.map(|b| b.into_inner());
        let body = body.unwrap_or_default();
        let path = req.uri().path().to_string();
        let query: HashMap<String, String> = req
            .uri()
            .query()
            .map(|q| q.segments().map(|(k, v)| (k.to_string(), v.to_string())).collect())
            .unwrap_or_default();
        let store_down = self.0.store_down.load(Ordering::Relaxed) && path.starts_with("/-/log");
        let take_one = |left: u32| left.checked_sub(1);
        if path == "/-/run-start"
            && self
                .0
                .lost_starts
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_one)
                .is_ok()
        {
            let platform = self.0.clone();
            let order: Value = serde_json::from_slice(&body).unwrap_or_default();
            tokio::spawn(async move {
                tokio::time::sleep(LATE_START).await;
                platform.handle_order("/-/run-start", &order);
            });
            return std::future::pending().await;
        }
        let (status, body) = match path.as_str() {
            _ if store_down => (503, Vec::new()),
            "/-/log-read" | "/-/log-newest" if self.0.is_unreadable(&query) => (503, Vec::new()),
            "/-/log-append" => {
                let slow = self.0.slow_appends.lock().get(&partition_name(&query)).cloned();
                if let Some(SlowAppends { time, turn }) = slow {
                    let _turn = turn.lock().await;
                    tokio::time::sleep(time).await;
                }
                self.0.append(&query, &body)
            }
            "/-/log-read" => self.0.read(&query).await,
            "/-/log-newest" => self.0.newest(&query),
            path => self.0.handle_order(path, &serde_json::from_slice(&body).unwrap_or_default()),
        };
        let mut response = Response::new();
        response.set_status(Status::new(status));
        response.set_sized_body(body.len(), Cursor::new(body));
        Outcome::Success(response)
    }
}
