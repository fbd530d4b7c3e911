//! Encoding of the state as checksummed bytes and as a series of log records. Damaged or incomplete
//! input yields an error and no state.

use crate::ids::*;
use crate::record::Record;
use crate::state::State;
use bytes::{BufMut, Bytes, BytesMut};
use snafu::Snafu;
use std::collections::{BTreeMap, HashMap};

/// First bytes of an encoded state. The digit is the version of the encoding.
const MAGIC: &[u8; 4] = b"JHS1";
/// Length of the magic and the checksum in bytes.
const HEADER_LEN: usize = 8;
/// Maximum data length of one part in bytes. Hex encoding doubles it; with the framing it stays
/// below `MAX_ENTRY_LEN`.
pub const MAX_PART_LEN: usize = 96 * 1024;
/// Maximum number of parts of one snapshot. Limits the memory that a reader spends on an incomplete
/// or malicious series.
pub const MAX_PARTS: u32 = 1_024;
/// Maximum number of incomplete series kept while reading; the oldest one is evicted first.
const MAX_OPEN_SERIES: usize = 8;

/// Reason why bytes are not a valid state.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SnapshotError {
    /// The bytes are too short or have another magic.
    #[snafu(display("snapshot does not start with JHS1 and a checksum"))]
    Header,
    /// The checksum does not match the body.
    #[snafu(display("snapshot checksum {found:08x} does not match {expected:08x}"))]
    Checksum { expected: u32, found: u32 },
    /// The body is not a state of this version.
    #[snafu(display("snapshot body is not a state: {message}"))]
    Body { message: String },
    /// The state covers other offsets than its parts declare.
    #[snafu(display("snapshot covers offsets below {found}, not {expected}"))]
    Upto { expected: Offset, found: Offset },
}

/// Encodes a state.
pub fn encode(state: &State) -> Result<Bytes, SnapshotError> {
    let body = serde_json::to_vec(state).map_err(body_error)?;
    let mut buf = BytesMut::with_capacity(body.len() + HEADER_LEN);
    buf.put_slice(MAGIC);
    buf.put_u32(crc32fast::hash(&body));
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Decodes a state.
pub fn decode(bytes: &[u8]) -> Result<State, SnapshotError> {
    let (header, body) = bytes.split_at_checked(HEADER_LEN).ok_or(SnapshotError::Header)?;
    let (magic, checksum) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(SnapshotError::Header);
    }
    let expected = u32::from_be_bytes([checksum[0], checksum[1], checksum[2], checksum[3]]);
    let found = crc32fast::hash(body);
    if expected != found {
        return Err(SnapshotError::Checksum { expected, found });
    }
    let mut state: State = serde_json::from_slice(body).map_err(body_error)?;
    state.rebuild_config().map_err(body_error)?;
    Ok(state)
}

fn body_error(e: impl std::fmt::Display) -> SnapshotError {
    SnapshotError::Body { message: e.to_string() }
}

/// Splits an encoded state into the series of records that carries it in the log.
pub fn split(state: &State, snapshot: u64) -> Result<Vec<Record>, SnapshotError> {
    let bytes = encode(state)?;
    let count = bytes.len().div_ceil(MAX_PART_LEN) as u32;
    if count > MAX_PARTS {
        return Err(SnapshotError::Body { message: format!("{count} parts exceed {MAX_PARTS}") });
    }
    let crc = crc32fast::hash(&bytes);
    let part = |index: u32| {
        let start = index as usize * MAX_PART_LEN;
        let data = bytes.slice(start..bytes.len().min(start + MAX_PART_LEN));
        Record::SnapshotPart { snapshot, upto: state.next(), index, count, crc, data }
    };
    Ok((0..count).map(part).collect())
}

/// Identity of one series. Only parts that agree in all fields are combined.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct SeriesId {
    writer: Incarnation,
    snapshot: u64,
    upto: Offset,
    count: u32,
    crc: u32,
}

/// Data of a complete series.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteSnapshot {
    /// First offset that the snapshot does not cover.
    pub upto: Offset,
    pub crc: u32,
    pub bytes: Bytes,
}

impl CompleteSnapshot {
    /// Decodes the state. Fails if the data is damaged or covers other offsets than declared.
    pub fn decode(&self) -> Result<State, SnapshotError> {
        let found = crc32fast::hash(&self.bytes);
        if found != self.crc {
            return Err(SnapshotError::Checksum { expected: self.crc, found });
        }
        let state = decode(&self.bytes)?;
        if state.next() != self.upto {
            return Err(SnapshotError::Upto { expected: self.upto, found: state.next() });
        }
        Ok(state)
    }
}

/// Assembles snapshots from the parts found while reading the log.
#[derive(Clone, Debug, Default)]
pub struct PartAssembler {
    open_series: HashMap<SeriesId, (u64, BTreeMap<u32, Bytes>)>,
    /// Number of series started so far. The open series with the lowest number is the oldest.
    series_started: u64,
    /// Whether only the identity of parts is kept, not their data.
    count_only: bool,
}

impl PartAssembler {
    /// Creates an assembler without parts. With `count_only`, series are tracked without their
    /// data.
    pub fn new(count_only: bool) -> PartAssembler {
        PartAssembler { count_only, ..PartAssembler::default() }
    }

    /// Adds a part. Returns the series if the part completes it, with empty `bytes` for
    /// `count_only`.
    pub fn add(&mut self, writer: Incarnation, part: &Record) -> Option<CompleteSnapshot> {
        let Record::SnapshotPart { snapshot, upto, index, count, crc, data } = part else {
            return None;
        };
        if *count == 0 || *count > MAX_PARTS || index >= count || data.len() > MAX_PART_LEN {
            return None;
        }
        let id = SeriesId { writer, snapshot: *snapshot, upto: *upto, count: *count, crc: *crc };
        self.evict_oldest_series(&id);
        let started = self.series_started;
        let (_, parts) = self.open_series.entry(id).or_insert_with(|| (started, BTreeMap::new()));
        let kept = if self.count_only { Bytes::new() } else { data.clone() };
        parts.insert(*index, kept);
        if parts.len() < *count as usize {
            return None;
        }
        let (_, parts) = self.open_series.remove(&id)?;
        let mut bytes = BytesMut::new();
        parts.values().for_each(|data| bytes.put_slice(data));
        Some(CompleteSnapshot { upto: *upto, crc: *crc, bytes: bytes.freeze() })
    }

    fn evict_oldest_series(&mut self, id: &SeriesId) {
        if self.open_series.contains_key(id) {
            return;
        }
        self.series_started += 1;
        if self.open_series.len() < MAX_OPEN_SERIES {
            return;
        }
        let oldest =
            self.open_series.iter().min_by_key(|(_, (started, _))| *started).map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.open_series.remove(&oldest);
        }
    }
}
