//! Client of the platform's metadata store, an append-only log divided into topics. Keyed topics
//! also serve the latest record of each key.

use crate::platform::http::{self, Call, CallFailure, Http, HttpResponse};
use crate::platform::json;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::Method;
use indexmap::IndexSet;
use snafu::Snafu;
use std::fmt;
use std::time::Duration;

/// Submitted jobs and cancellations, by job.
pub const JOBS_TOPIC: &str = "keyed.jobs";
/// Progress of jobs, by job.
pub const PROGRESS_TOPIC: &str = "keyed.progress";
/// Records that name the owner.
pub const OWNER_TOPIC: &str = "keyed.owner";
/// Records written by operators.
pub const OPERATORS_TOPIC: &str = "keyed.op";
/// Worker registrations.
pub const WORKERS_TOPIC: &str = "keyed.servers";
/// Status records for operators.
pub const STATUS_TOPIC: &str = "keyed.status";

/// Producer ID shared by all owners; the term is its epoch.
const PRODUCER_ID: &str = "owner";
/// Timeout of a call that does not wait for records. The store responds within 4 ms, or within 50
/// times that when slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Additional timeout of a call that waits for records.
const WAIT_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Maximum size of the records of one append, unless a single one is larger. A link of 2 Mbit/s
/// carries it in about half of `CALL_TIMEOUT`; the platform's own limit is 2 MB.
pub const MAX_APPEND_BYTES: usize = 128 * 1_024;
/// Maximum size of a record with its key, in bytes: the platform's `recordBytes`. The store refuses longer ones
/// for good.
pub const MAX_RECORD_BYTES: usize = 256 * 1_024;
/// Maximum size of one read in KB; the platform's default.
const READ_KB: u32 = 1_024;

/// Partition of a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Partition<'a> {
    pub topic: &'a str,
    /// From 0 on, below the number of partitions that the store offers.
    pub number: u32,
}

impl<'a> Partition<'a> {
    /// Creates a partition of a topic.
    pub fn new(topic: &'a str, number: u32) -> Partition<'a> {
        Partition { topic, number }
    }
}

impl<'a> From<&'a str> for Partition<'a> {
    /// Returns the first partition of a topic, the only one of most topics.
    fn from(topic: &'a str) -> Partition<'a> {
        Partition::new(topic, 0)
    }
}

impl fmt::Display for Partition<'_> {
    /// Writes the topic, and the number of a partition other than the first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.number {
            0 => write!(f, "{}", self.topic),
            number => write!(f, "{}/{number}", self.topic),
        }
    }
}

/// Why a call failed or has an unknown outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// A later term has appended.
    #[snafu(display("fenced by a later term"))]
    Fenced,
    /// The append has the wrong sequence number for its term.
    #[snafu(display("expected sequence number {expected}"))]
    SequenceMismatch { expected: u64 },
    /// The topic ends at another offset; nothing was appended.
    #[snafu(display("the topic ends at offset {end}"))]
    EndMismatch { end: u64 },
    /// The requested records are no longer retained; the oldest retained offset is `first`.
    #[snafu(display("records before offset {first} are no longer retained"))]
    Truncated { first: u64 },
    /// The call was refused and had no effect.
    #[snafu(display("refused with status {status}"))]
    Refused { status: u16 },
    /// No connection was established; the call had no effect.
    #[snafu(display("the store is unreachable"))]
    Unreachable,
    /// The call may have taken effect, or may still take effect.
    #[snafu(display("no response from the store"))]
    NoResponse,
}

impl From<CallFailure> for StoreError {
    fn from(failure: CallFailure) -> StoreError {
        match failure {
            CallFailure::NotSent => StoreError::Unreachable,
            CallFailure::NoResponse => StoreError::NoResponse,
        }
    }
}

/// Conditions of an append.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCondition {
    /// Required end offset of the topic.
    pub expected_end: Option<u64>,
    /// Term of the owner and sequence number of its append to this topic.
    pub producer: Option<(u64, u64)>,
}

/// Record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    pub offset: u64,
    pub key: String,
    /// `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Records read from a topic.
#[derive(Clone, Debug, Default)]
pub struct Fetched {
    /// Offset after the last record of the topic.
    pub end: u64,
    /// Offset from which to continue reading.
    pub next_offset: u64,
    pub records: Vec<Record>,
    /// Offsets of records without a readable key or value; 0 if the offset is unreadable, too.
    pub unreadable: Vec<u64>,
}

/// Pages of a read of the latest records that have been read so far.
#[derive(Debug, Default)]
pub struct LatestRead {
    fetched: Fetched,
    /// Last keys of the pages so far.
    page_ends: IndexSet<String>,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    http: Http,
    address: String,
}

impl Store {
    /// Creates a client of the store at `address`, `IP:PORT`.
    pub fn new(http: Http, address: String) -> Store {
        Store { http, address }
    }

    /// Appends records to a partition atomically. Returns the offset after them.
    pub async fn append(
        &self,
        partition: impl Into<Partition<'_>>,
        records: &[(&str, Option<&[u8]>)],
        condition: AppendCondition,
    ) -> Result<u64, StoreError> {
        let Partition { topic, number } = partition.into();
        let mut path = format!("/-/log-append?topic={topic}&part={number}");
        if let Some(at) = condition.expected_end {
            path.push_str(&format!("&at={at}"));
        }
        if let Some((term, sequence)) = condition.producer {
            path.push_str(&format!("&producer={PRODUCER_ID}&epoch={term}&sequence={sequence}"));
        }
        let response =
            self.send(Method::POST, &path, encode_records(records), CALL_TIMEOUT).await?;
        let body = response.json();
        match (response.status, json::text(&body, "reason")) {
            (200, _) => Ok(json::number(&body, "end")),
            (412, _) => Err(StoreError::EndMismatch { end: json::number(&body, "end") }),
            // The response holds the expected sequence number in the field of the same name.
            (409, "seq") => {
                Err(StoreError::SequenceMismatch { expected: json::number(&body, "sequence") })
            }
            (409, _) => Err(StoreError::Fenced),
            (status, _) if http::had_no_effect(status) => Err(StoreError::Refused { status }),
            _ => Err(StoreError::NoResponse),
        }
    }

    /// Reads a partition from an offset on. Waits up to `wait` for a record if there is none.
    pub async fn read(
        &self,
        partition: impl Into<Partition<'_>>,
        from: u64,
        wait: Duration,
    ) -> Result<Fetched, StoreError> {
        let Partition { topic, number } = partition.into();
        let wait_ms = wait.as_millis();
        let path = format!(
            "/-/log-read?topic={topic}&part={number}&from={from}&maxKb={READ_KB}&waitMs={wait_ms}"
        );
        let timeout = if wait.is_zero() { CALL_TIMEOUT } else { wait + WAIT_TIMEOUT_MARGIN };
        let response = self.send(Method::GET, &path, Bytes::new(), timeout).await?;
        match response.status {
            200 => decode_records(response.body, from).ok_or(StoreError::NoResponse),
            410 => Err(StoreError::Truncated { first: json::number(&response.json(), "first") }),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the latest record of each key, in the order in which they were appended. Records from
    /// the result's `next_offset` on may be missing.
    pub async fn read_latest(
        &self,
        partition: impl Into<Partition<'_>>,
    ) -> Result<Fetched, StoreError> {
        self.continue_read_latest(partition, &mut LatestRead::default()).await
    }

    /// Like `read_latest`. After an error, another call with the same `read` continues with the page
    /// that failed.
    pub async fn continue_read_latest(
        &self,
        partition: impl Into<Partition<'_>>,
        read: &mut LatestRead,
    ) -> Result<Fetched, StoreError> {
        let Partition { topic, number } = partition.into();
        loop {
            let mut path = format!("/-/log-newest?topic={topic}&part={number}");
            if let Some(key) = read.page_ends.last() {
                let key = http::percent_encode(key);
                path.push_str(&format!("&after={key}"));
            }
            let response = self.send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
            if response.status != 200 {
                return Err(StoreError::Refused { status: response.status });
            }
            let body = response.json_page();
            if !body.is_object() {
                return Err(StoreError::NoResponse);
            }
            let fetched = &mut read.fetched;
            let end = json::number(&body, "end");
            // The pages are no consistent snapshot. Changes after the first page are read from its
            // end offset on.
            if read.page_ends.is_empty() {
                fetched.end = end;
                fetched.next_offset = end;
            }
            let mut last_key = None;
            for item in json::list(&body, "items") {
                let (key, offset) =
                    (json::text(item, "key").to_string(), json::number(item, "offset"));
                if key.is_empty() {
                    fetched.unreadable.push(offset);
                    continue;
                }
                let value = BASE64_STANDARD.decode(json::text(item, "value"));
                last_key = Some(key.clone());
                match value {
                    Ok(value) => {
                        fetched.records.push(Record { offset, key, value: Some(value.into()) });
                    }
                    Err(_) => fetched.unreadable.push(offset),
                }
            }
            if !json::flag(&body, "hasMore") || json::list(&body, "items").is_empty() {
                let mut fetched = std::mem::take(read).fetched;
                fetched.records.sort_by_key(|record| record.offset);
                return Ok(fetched);
            }
            // From a key of an earlier page on, the same pages would follow again.
            if !last_key.is_some_and(|key| read.page_ends.insert(key)) {
                *read = LatestRead::default();
                return Err(StoreError::NoResponse);
            }
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let call = Call { method, address: &self.address, path, headers: &[], body, timeout };
        Ok(self.http.call(call).await?)
    }
}

/// Returns how many of the first records, given by their sizes in bytes, one append carries.
pub fn records_per_append(sizes: impl Iterator<Item = usize>) -> usize {
    let mut total = 0;
    let fits = |(index, size): &(usize, usize)| {
        total += size;
        *index == 0 || total <= MAX_APPEND_BYTES
    };
    sizes.enumerate().take_while(fits).count()
}

/// Encodes records of a keyed topic: length of the rest, length of the key, key, value.
fn encode_records(records: &[(&str, Option<&[u8]>)]) -> Bytes {
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

/// Bytes of the length before each record.
const RECORD_HEAD_BYTES: usize = 4;

/// Decodes the end offset, the first offset and the records. A record that is cut off is left to the next
/// read; returns `None` if there is none before it.
fn decode_records(mut body: Bytes, from: u64) -> Option<Fetched> {
    if body.len() < 16 {
        return None;
    }
    let mut fetched = Fetched { end: body.get_u64(), ..Fetched::default() };
    let _first = body.get_u64();
    fetched.next_offset = from;
    while !body.is_empty() {
        let len = body.first_chunk().map(|len| u32::from_be_bytes(*len) as usize);
        if len.is_none_or(|len| body.len() - RECORD_HEAD_BYTES < len) {
            return (fetched.next_offset > from).then_some(fetched);
        }
        let len = body.get_u32() as usize;
        match decode_record(body.split_to(len), fetched.next_offset) {
            Some(record) => fetched.records.push(record),
            None => fetched.unreadable.push(fetched.next_offset),
        }
        fetched.next_offset += 1;
    }
    Some(fetched)
}

fn decode_record(mut record: Bytes, offset: u64) -> Option<Record> {
    if record.is_empty() {
        return None;
    }
    let len = record.get_u8() as usize;
    if record.len() < len {
        return None;
    }
    let key = String::from_utf8(record.split_to(len).to_vec()).ok().filter(|k| !k.is_empty())?;
    Some(Record { offset, key, value: (!record.is_empty()).then_some(record) })
}
