//! The platform's store: keyed logs with appends, reads and the newest record of each key.
//!
//! Each machine reaches it at a port of its own.

use crate::http::{Handler, Req, Resp, Server};
use crate::json::{Json, n, obj, s};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    /// Sequence number and response of the last five appends.
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    /// Records without their length.
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn append(&mut self, record: &[u8]) {
        let len = record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..1 + len]).into_owned();
        let value = record[1 + len..].to_vec();
        let offset = self.records.len() as u64;
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (offset, value)),
        };
        self.records.push(record.to_vec());
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    cut: HashSet<usize>,
    /// Appends refused since a record was longer than the store takes, with that length.
    too_long: Vec<usize>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

fn json(status: u16, body: &Json) -> Resp {
    Resp { status, body: body.to_string().into_bytes() }
}

impl Store {
    /// Starts the port of machine `number`.
    pub fn serve(&self, number: usize) -> Server {
        let store = self.clone();
        let handler: Handler = Arc::new(move |req| {
            thread::sleep(ANSWER_TIME);
            if store.wait_for_cut(number) {
                return None;
            }
            let answer = store.answer(&req);
            if store.wait_for_cut(number) { None } else { Some(answer) }
        });
        Server::start(0, handler).expect("a port for the store")
    }

    /// Cuts a machine off from the store, or ends the cut. What it sends meanwhile is lost.
    pub fn cut(&self, number: usize, cut: bool) {
        let mut state = self.state.lock().unwrap();
        match cut {
            true => state.cut.insert(number),
            false => state.cut.remove(&number),
        };
    }

    /// Waits while a machine is cut off. Returns whether it was.
    fn wait_for_cut(&self, number: usize) -> bool {
        let mut was_cut = false;
        while self.state.lock().unwrap().cut.contains(&number) {
            was_cut = true;
            thread::sleep(Duration::from_millis(5));
        }
        was_cut
    }

    /// Lengths of the records that were refused for their length.
    pub fn too_long(&self) -> Vec<usize> {
        self.state.lock().unwrap().too_long.clone()
    }

    /// Writes a record as the operator or a worker does; without a value, its key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Json>) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.map(|v| v.to_string().into_bytes()).unwrap_or_default());
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.to_string()).or_default().append(&record);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the newest record of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        let (_, value) = state.topics.get(topic)?.newest.get(key)?;
        Json::parse(value)
    }

    fn answer(&self, req: &Req) -> Resp {
        let topic = req.param("topic").unwrap_or("").to_string();
        match &*req.path {
            "/-/log-append" => self.append(&topic, req),
            "/-/log-read" => self.read(&topic, req),
            "/-/log-newest" => self.newest_page(&topic, req),
            _ => json(404, &obj(&[])),
        }
    }

    fn append(&self, topic: &str, req: &Req) -> Resp {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return json(403, &obj(&[]));
        }
        let mut records = Vec::new();
        let mut rest = &req.body[..];
        while rest.len() >= 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + len || len == 0 {
                return json(400, &obj(&[]));
            }
            records.push(&rest[4..4 + len]);
            rest = &rest[4 + len..];
        }
        let mut state = self.state.lock().unwrap();
        let longest = records.iter().map(|r| r.len()).max().unwrap_or(0);
        if longest > RECORD_BYTES || req.body.len() > REQUEST_BYTES {
            state.too_long.push(longest);
            return json(400, &obj(&[("reason", s("size"))]));
        }
        let log = state.topics.entry(topic.to_string()).or_default();
        let end = log.records.len() as u64;
        let (epoch, sequence) = (req.number("epoch"), req.number("sequence"));
        let producer = req.param("producer").unwrap_or("").to_string();
        if let (Some(epoch), Some(sequence)) = (epoch, sequence) {
            let known = log.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return json(409, &obj(&[("reason", s("fenced"))]));
            }
            if epoch == known.epoch {
                if let Some((_, body)) = known.last.iter().find(|(q, _)| *q == sequence) {
                    return Resp { status: 200, body: body.clone().into_bytes() };
                }
                if sequence != known.sequence + 1 {
                    let expected = n(known.sequence + 1);
                    return json(409, &obj(&[("reason", s("seq")), ("sequence", expected)]));
                }
            }
        }
        if req.number("at").is_some_and(|at| at != end) {
            return json(412, &obj(&[("end", n(end))]));
        }
        for record in &records {
            log.append(record);
        }
        let new_end = n(log.records.len() as u64);
        let body = obj(&[("offset", n(end)), ("end", new_end)]);
        if let (Some(epoch), Some(sequence)) = (epoch, sequence) {
            let known = log.producers.entry(producer).or_default();
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            known.sequence = sequence;
            known.last.push((sequence, body.to_string()));
            if known.last.len() > 5 {
                known.last.remove(0);
            }
        }
        drop(state);
        self.changed.notify_all();
        json(200, &body)
    }

    fn read(&self, topic: &str, req: &Req) -> Resp {
        let from = req.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(req.number("waitMs").unwrap_or(0).min(30_000));
        let most = req.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.topics.entry(topic.to_string()).or_default();
            let end = log.records.len();
            if end > from || Instant::now() >= until {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + 4 + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Resp { status: 200, body };
            }
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest_page(&self, topic: &str, req: &Req) -> Resp {
        let after = req.param("after").unwrap_or("").to_string();
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic.to_string()).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &log.newest {
            if !after.is_empty() && *key <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes > 0 && bytes + value.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            let value = Json::Str(base64(value));
            items.push(obj(&[("key", s(key)), ("value", value), ("offset", n(*offset))]));
        }
        let end = n(log.records.len() as u64);
        let items = Json::Arr(items);
        json(200, &obj(&[("items", items), ("hasMore", Json::Bool(has_more)), ("end", end)]))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let all = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(LETTERS[(all >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
