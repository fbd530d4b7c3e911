//! The platform's store: an append-only log in topics. Topics with keys also answer with the newest
//! record of each key.

use crate::platform::http::{Answer, Call, Http, Lost};
use crate::platform::json;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use reqwest::Method;
use snafu::Snafu;
use std::time::Duration;

/// Jobs and cancellations that callers handed in, by job.
pub const JOBS: &str = "keyed.jobs";
/// Progress of jobs, by job.
pub const PROGRESS: &str = "keyed.progress";
/// Who owns the decisions.
pub const OWNER: &str = "keyed.owner";
/// What operators wrote.
pub const OPERATORS: &str = "keyed.op";
/// What workers wrote about themselves.
pub const WORKERS: &str = "keyed.servers";
/// What operators read.
pub const STATUS: &str = "keyed.status";

/// Identity under which all owners write; the term is its epoch.
const PRODUCER: &str = "owner";
/// Time for an answer that does not wait; the store answers in 4 ms, and 50 times later when slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time beyond the wait of a call that waits for a record.
const WAIT_SLACK: Duration = Duration::from_millis(800);
/// Kilobytes asked for in one read; the platform's default.
const READ_KB: u32 = 1_024;

/// Why a call was not carried out, or may not have been.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// A later term has written.
    #[snafu(display("a later term has written"))]
    Fenced,
    /// The next number of the term's appends is another one.
    #[snafu(display("append number {expected} was expected"))]
    Sequence { expected: u64 },
    /// The topic ends elsewhere; nothing was appended.
    #[snafu(display("the topic ends at {end}"))]
    OtherEnd { end: u64 },
    /// The records are no longer kept; the oldest kept is `first`.
    #[snafu(display("records before {first} are gone"))]
    Gone { first: u64 },
    /// Nothing was done.
    #[snafu(display("refused with status {status}"))]
    Refused { status: u16 },
    /// No connection came about; nothing was done.
    #[snafu(display("not reached"))]
    NotReached,
    /// It may have been done, or may still be.
    #[snafu(display("no answer"))]
    NoAnswer,
}

impl From<Lost> for StoreError {
    fn from(lost: Lost) -> StoreError {
        match lost {
            Lost::NotSent => StoreError::NotReached,
            Lost::NoAnswer => StoreError::NoAnswer,
        }
    }
}

/// Condition of an append.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Guard {
    /// The topic ends here.
    pub at: Option<u64>,
    /// Term of the owner, and number of its append to this topic.
    pub term: Option<(u64, u64)>,
}

/// A record with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    pub offset: u64,
    pub key: String,
    /// `None` when the key was dropped.
    pub value: Option<Bytes>,
}

/// A part of a topic.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    /// Offset after the last record of the topic.
    pub end: u64,
    /// Offset after the last record given here.
    pub next: u64,
    pub records: Vec<Record>,
    /// Records that have no key that can be read.
    pub unreadable: u64,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    http: Http,
    address: String,
}

impl Store {
    /// A client of the store at `address`, `IP:PORT`.
    pub fn new(http: Http, address: String) -> Store {
        Store { http, address }
    }

    /// Appends records to a topic, all or none. Answers the offset after them.
    pub async fn append(
        &self,
        topic: &str,
        records: &[(&str, Option<&[u8]>)],
        guard: Guard,
    ) -> Result<u64, StoreError> {
        let mut path = format!("/-/log-append?topic={topic}&part=0");
        if let Some(at) = guard.at {
            path.push_str(&format!("&at={at}"));
        }
        if let Some((term, number)) = guard.term {
            path.push_str(&format!("&producer={PRODUCER}&epoch={term}&sequence={number}"));
        }
        let answer = self.send(Method::POST, &path, encode(records), CALL_TIMEOUT).await?;
        let body = answer.json();
        match (answer.status, json::text(&body, "reason")) {
            (200, _) => Ok(json::number(&body, "end")),
            (412, _) => Err(StoreError::OtherEnd { end: json::number(&body, "end") }),
            // The expected number stands in the field of the number sent.
            (409, "seq") => Err(StoreError::Sequence { expected: json::number(&body, "sequence") }),
            (409, _) => Err(StoreError::Fenced),
            (status, _) => Err(StoreError::Refused { status }),
        }
    }

    /// Reads a topic from an offset on; waits for a record if there is none.
    pub async fn read(&self, topic: &str, from: u64, wait: Duration) -> Result<Tail, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/-/log-read?topic={topic}&part=0&from={from}&maxKb={READ_KB}&waitMs={wait_ms}"
        );
        let timeout = if wait.is_zero() { CALL_TIMEOUT } else { wait + WAIT_SLACK };
        let answer = self.send(Method::GET, &path, Bytes::new(), timeout).await?;
        match answer.status {
            200 => decode(answer.body, from).ok_or(StoreError::NoAnswer),
            410 => Err(StoreError::Gone { first: json::number(&answer.json(), "first") }),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the newest record of every key. Records from the answer's `next` on may be missing.
    pub async fn newest(&self, topic: &str) -> Result<Tail, StoreError> {
        let mut all = Tail::default();
        let mut after: Option<String> = None;
        loop {
            let mut path = format!("/-/log-newest?topic={topic}&part=0");
            if let Some(key) = &after {
                let key = percent(key);
                path.push_str(&format!("&after={key}"));
            }
            let answer = self.send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
            if answer.status != 200 {
                return Err(StoreError::Refused { status: answer.status });
            }
            let body = answer.json();
            let end = json::number(&body, "end");
            // Pages are no snapshot: what changed after the first one is read from its end on.
            if after.is_none() {
                all.end = end;
                all.next = end;
            }
            for item in json::list(&body, "items") {
                let key = json::text(item, "key").to_string();
                let value = BASE64_STANDARD.decode(json::text(item, "value"));
                after = Some(key.clone());
                match value {
                    Ok(value) => {
                        let offset = json::number(item, "offset");
                        all.records.push(Record { offset, key, value: Some(value.into()) });
                    }
                    Err(_) => all.unreadable += 1,
                }
            }
            if !json::flag(&body, "hasMore") || json::list(&body, "items").is_empty() {
                return Ok(all);
            }
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, StoreError> {
        let call = Call { method, address: &self.address, path, headers: &[], body, timeout };
        Ok(self.http.call(call).await?)
    }
}

/// Records of keyed topics: length of what follows, length of the key, key, value.
fn encode(records: &[(&str, Option<&[u8]>)]) -> Bytes {
    let mut buf = BytesMut::new();
    for (key, value) in records {
        let value = value.unwrap_or(&[]);
        buf.put_u32((1 + key.len() + value.len()) as u32);
        buf.put_u8(key.len() as u8);
        buf.put_slice(key.as_bytes());
        buf.put_slice(value);
    }
    buf.freeze()
}

/// End and first offset, then records. `None` where the answer was cut.
fn decode(mut body: Bytes, from: u64) -> Option<Tail> {
    if body.len() < 16 {
        return None;
    }
    let mut tail = Tail { end: body.get_u64(), ..Tail::default() };
    let _first = body.get_u64();
    tail.next = from;
    while !body.is_empty() {
        if body.len() < 4 {
            return None;
        }
        let len = body.get_u32() as usize;
        if body.len() < len {
            return None;
        }
        match keyed(body.split_to(len), tail.next) {
            Some(record) => tail.records.push(record),
            None => tail.unreadable += 1,
        }
        tail.next += 1;
    }
    Some(tail)
}

fn keyed(mut record: Bytes, offset: u64) -> Option<Record> {
    if record.is_empty() {
        return None;
    }
    let len = record.get_u8() as usize;
    if record.len() < len {
        return None;
    }
    let key = String::from_utf8(record.split_to(len).to_vec()).ok()?;
    Some(Record { offset, key, value: (!record.is_empty()).then_some(record) })
}

/// A key in a query.
fn percent(key: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    key.bytes()
        .map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}
