//! The platform's metadata store: a log of topics, with one address for each instance so that a single
//! machine can be partitioned from it.

use crate::http::{Answer, Request, Server};
use crate::json::{object, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Usual time of an answer, as the customers' sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Records of a page of newest records.
const PAGE: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    epoch: u64,
    sequence: Option<u64>,
    /// Sequence number, first offset and end of the latest appends of the epoch.
    recent: VecDeque<(u64, u64, u64)>,
}

impl Topic {
    /// Returns the newest record of each key: offset and value.
    fn newest(&self) -> BTreeMap<Vec<u8>, (usize, &[u8])> {
        let mut newest = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let len = record[0] as usize;
            let (key, value) = (record[1..=len].to_vec(), &record[1 + len..]);
            match value {
                [] => newest.remove(&key),
                value => newest.insert(key, (offset, value)),
            };
        }
        newest
    }
}

/// Path between one machine and the store.
#[derive(Default)]
pub struct Link {
    is_cut: Mutex<bool>,
}

impl Link {
    /// Cuts the machine off from the store without a reset, or heals the cut.
    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.lock().unwrap() = is_cut;
    }

    fn is_cut(&self) -> bool {
        *self.is_cut.lock().unwrap()
    }

    /// Waits for the end of a cut; what was under way by then is lost.
    fn await_end(&self) -> Answer {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<(String, u64), Topic>>,
    appended: Condvar,
}

impl Store {
    /// Serves the store for one machine.
    pub fn serve(self: &Arc<Store>, link: Arc<Link>) -> Server {
        let store = self.clone();
        let handler = move |request: Request| {
            if link.is_cut() {
                return link.await_end();
            }
            thread::sleep(ANSWER_TIME);
            let answer = store.handle(&request);
            if link.is_cut() { link.await_end() } else { Some(answer) }
        };
        Server::start(0, handler).expect("a free port")
    }

    /// Appends a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        if *value != Value::Null {
            record.extend(value.to_string().as_bytes());
        }
        let mut topics = self.topics.lock().unwrap();
        topics.entry((topic.to_string(), 0)).or_default().records.push(record);
        self.appended.notify_all();
    }

    /// Returns the newest record of a key in the first partition of a topic; null if there is none.
    pub fn newest(&self, topic: &str, key: &str) -> Value {
        let topics = self.topics.lock().unwrap();
        let Some(topic) = topics.get(&(topic.to_string(), 0)) else { return Value::Null };
        let newest = topic.newest();
        newest.get(key.as_bytes()).map_or(Value::Null, |(_, value)| crate::json::parse(value))
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.param("topic").unwrap_or("").to_string();
        let key = (topic, request.number("part").unwrap_or(0));
        match request.path.as_str() {
            "/-/log-append" => self.append(key, request),
            "/-/log-read" => self.read(key, request),
            "/-/log-newest" => self.list_newest(key, request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, key: (String, u64), request: &Request) -> (u16, Vec<u8>) {
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(key).or_default();
        let end = topic.records.len() as u64;
        let stored = |offset: u64, end: u64| {
            json(200, vec![("offset", offset.into()), ("end", end.into())])
        };
        if let (Some(epoch), Some(sequence)) = (request.number("epoch"), request.number("sequence")) {
            if epoch < topic.epoch {
                return json(409, vec![("reason", "fenced".into())]);
            }
            if epoch == topic.epoch {
                if let Some((_, first, end)) = topic.recent.iter().find(|(n, ..)| *n == sequence) {
                    return stored(*first, *end);
                }
                if let Some(last) = topic.sequence.filter(|last| sequence != last + 1) {
                    let fields = vec![("reason", "seq".into()), ("sequence", (last + 1).into())];
                    return json(409, fields);
                }
            }
            if request.number("at").is_some_and(|at| at != end) {
                return json(412, vec![("end", end.into())]);
            }
            if epoch > topic.epoch {
                topic.recent.clear();
            }
            (topic.epoch, topic.sequence) = (epoch, Some(sequence));
        } else if request.number("at").is_some_and(|at| at != end) {
            return json(412, vec![("end", end.into())]);
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.records.push(rest[4..4 + len].to_vec());
            rest = &rest[4 + len..];
        }
        let new_end = topic.records.len() as u64;
        if let Some(sequence) = topic.sequence.filter(|_| request.number("epoch").is_some()) {
            topic.recent.push_back((sequence, end, new_end));
            if topic.recent.len() > 5 {
                topic.recent.pop_front();
            }
        }
        self.appended.notify_all();
        stored(end, new_end)
    }

    fn read(&self, key: (String, u64), request: &Request) -> (u16, Vec<u8>) {
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(key.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut out = (topic.records.len() as u64).to_be_bytes().to_vec();
                out.extend(0u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend(record);
                }
                return (200, out);
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn list_newest(&self, key: (String, u64), request: &Request) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(key).or_default();
        let after = request.param("after").unwrap_or("").as_bytes();
        let newest = topic.newest();
        let mut rest = newest.into_iter().filter(|(key, _)| key.as_slice() > after);
        let page: Vec<_> = rest.by_ref().take(PAGE).collect();
        let items = page.iter().map(|(key, (offset, value))| {
            object(vec![
                ("key", Value::Text(String::from_utf8_lossy(key).into_owned())),
                ("value", Value::Text(base64(value))),
                ("offset", (*offset as u64).into()),
            ])
        });
        let items = Value::List(items.collect());
        let has_more = Value::Bool(rest.next().is_some());
        let end = (topic.records.len() as u64).into();
        json(200, vec![("items", items), ("hasMore", has_more), ("end", end)])
    }
}

fn json(status: u16, fields: Vec<(&str, Value)>) -> (u16, Vec<u8>) {
    (status, object(fields).to_string().into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * position) & 63) as usize];
            out.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
