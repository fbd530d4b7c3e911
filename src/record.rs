//! Log records, batches, and the framing of a log entry.
//!
//! An entry is `JHR1`, the crc32 of the body in big endian, and the body: one batch as JSON.

use crate::ids::*;
use crate::protocol::hex_bytes;
use bytes::{BufMut, Bytes, BytesMut};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// First bytes of every entry; the digit is the version of the framing.
pub const MAGIC: &[u8; 4] = b"JHR1";
/// Length of magic and checksum in bytes.
const HEADER_LEN: usize = 8;
/// Largest entry in bytes that is written or decoded.
pub const MAX_ENTRY_LEN: usize = 256 * 1024;
/// Largest payload of a job in bytes.
pub const MAX_JOB_PAYLOAD_LEN: usize = 64 * 1024;
/// Largest result of a job in bytes.
pub const MAX_JOB_RESULT_LEN: usize = 16 * 1024;

/// Hash of a caller's own request id together with its team.
pub type ClaimId = u128;
/// Version of a section: the offset of its last change.
pub type Version = Offset;

/// Urgency of a request or job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for it.
    Urgent,
    /// Due before a time, such as the start of a shift.
    Planned,
    /// May wait for the night.
    Overnight,
}

/// Which units of a lapsed holder are freed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpireLevel {
    /// Units above the reserve.
    Borrowed,
    /// All units; only for a holder that the platform's list showed as gone.
    All,
}

/// Units of one team that a holder asks for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// Units wanted in all; the fold clamps them, never below the lesser of this and the units held.
    pub units: u32,
    /// Part of `units` that is to outlast the lease; clamped in the same way.
    pub reserve: u32,
    /// Requests waiting at this entry instance when the record was made.
    pub waiting: u32,
}

/// One section of the published declarations, for example `[profile guarded]`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionChange {
    /// Kind and name as in the INI header, for example `profile guarded`.
    pub section: String,
    /// Version that the change is based on; `None` for a new section.
    pub base: Option<Version>,
    /// New keys and values; `None` removes the section.
    pub body: Option<IndexMap<String, String>>,
}

/// What a caller declared about a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Id under which the job is known.
    pub job: JobId,
    /// Team of the key, or the open queue's team.
    pub team: TeamId,
    /// Service whose pool runs it.
    pub service: ServiceId,
    /// Urgency.
    pub class: Class,
    /// Whether it may be started again when an earlier start's fate is unknown.
    pub idempotent: bool,
    /// Declared run time in milliseconds; often far off.
    pub declared_ms: u64,
    /// Time allowed from submit to end in milliseconds; 0 for none.
    pub deadline_ms: u64,
    /// Input handed to the task.
    #[serde(with = "hex_bytes")]
    pub payload: Bytes,
}

/// How a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnding {
    /// It finished; the bytes are its result.
    Done(#[serde(with = "hex_bytes")] Bytes),
    /// It ran and failed; the text says why.
    Failed(String),
    /// It failed on several instances that run other work well.
    CannotRun(String),
    /// It was cancelled.
    Cancelled,
    /// It was started and nobody can tell how it ended.
    Unknown,
}

/// Why an instance is drained.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// Regular maintenance with a reboot.
    Maintenance,
    /// Its pool gives it to another pool.
    Move,
}

/// One record of the shared log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "t")]
pub enum Record {
    /// Heartbeat of an entry instance and its request for units.
    Renew {
        zone: ZoneId,
        http_addr: String,
        peer_addr: String,
        /// First offset that the writer had not folded yet.
        seen: Offset,
        want: IndexMap<TeamId, Want>,
        departing: bool,
    },
    /// Frees units of a holder whose lease lapsed.
    Expire {
        holder: EntryId,
        holder_incarnation: Incarnation,
        /// Offset of the holder's last `Renew` that the writer watched.
        renewed_at: Offset,
        level: ExpireLevel,
    },
    /// Changes sections of the declarations; all or none.
    Publish { op: OpId, changes: Vec<SectionChange> },
    /// Lets a key stand for a team. `hash` is the hex SHA-256 of the secret part.
    KeyGrant { op: OpId, key: KeyId, team: TeamId, hash: String },
    /// Ends a key for good.
    KeyWithdraw { op: OpId, key: KeyId },
    /// Takes an availability zone out.
    ZoneOut { op: OpId, zone: ZoneId },
    /// Takes an availability zone back; `undoes` is the offset of the `ZoneOut` in force.
    ZoneBack { op: OpId, zone: ZoneId, undoes: Offset },
    /// Takes an upstream instance out.
    InstanceOut { op: OpId, instance: InstanceId },
    /// Takes an upstream instance back; `undoes` is the offset of the `InstanceOut` in force.
    InstanceBack { op: OpId, instance: InstanceId, undoes: Offset },
    /// First sight of an upstream instance in the platform's list.
    InstanceSeen { instance: InstanceId, pool: PoolId, zone: ZoneId, rack: RackId },
    /// An upstream or entry instance left the platform's list.
    InstanceGone { instance: InstanceId },
    /// Starts to move an instance; it stays in `from` and gets no new work.
    MoveStart { instance: InstanceId, from: PoolId, to: PoolId },
    /// Ends a move; the instance is in the new pool from here on.
    /// `started` is the offset of the `MoveStart` in force, so that a late record ends no later move.
    MoveEnd { instance: InstanceId, started: Offset },
    /// Gives a move up; the instance stays where it was.
    MoveCancel { instance: InstanceId, started: Offset },
    /// Starts to drain an instance under the availability budgets.
    DrainStart { instance: InstanceId, reason: DrainReason },
    /// Ends a drain; `done` tells whether the maintenance took place.
    /// `started` is the offset of the `DrainStart` in force.
    DrainEnd { instance: InstanceId, started: Offset, done: bool },
    /// Last maintenance of an instance by the writer's clock, in Unix seconds; for an instance that
    /// nobody has maintained yet, where its interval is taken to have begun.
    Maintained { instance: InstanceId, at_s: u64 },
    /// First use of callers' own request ids.
    Claim {
        #[serde(with = "hex_claims")]
        ids: Vec<ClaimId>,
    },
    /// A new job.
    JobSubmit { spec: JobSpec },
    /// The writer starts a job at an upstream.
    JobClaim { job: JobId, attempt: Attempt, upstream: InstanceId },
    /// The writer takes over a running job whose holder's lease was expired.
    JobAdopt { job: JobId, attempt: Attempt },
    /// The job was surely not started in this attempt and waits again.
    JobRelease { job: JobId, attempt: Attempt },
    /// The job ended.
    JobEnd { job: JobId, attempt: Attempt, ending: JobEnding },
    /// A caller wants the job to stop.
    JobCancel { op: OpId, job: JobId, team: TeamId },
    /// One part of a snapshot; never changes the state.
    SnapshotPart {
        snapshot: u64,
        /// First offset that the snapshot does not cover.
        upto: Offset,
        index: u32,
        count: u32,
        /// crc32 of the whole encoded state.
        crc: u32,
        #[serde(with = "hex_bytes")]
        data: Bytes,
    },
}

/// Records that one writer appends together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// The entry instance that wrote it.
    pub writer: EntryId,
    /// Which life of the writer.
    pub incarnation: Incarnation,
    /// Rises by one with each batch of an incarnation, from 1; a repeat is ignored by the fold.
    pub seq: u64,
    /// In the order in which they apply.
    pub records: Vec<Record>,
}

/// Why bytes are not an entry.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DecodeError {
    /// Longer than `MAX_ENTRY_LEN`.
    #[snafu(display("entry of {len} bytes exceeds {MAX_ENTRY_LEN}"))]
    TooLong { len: usize },
    /// Shorter than its header or with another magic.
    #[snafu(display("entry does not start with JHR1 and a checksum"))]
    Header,
    /// The checksum does not match the body.
    #[snafu(display("checksum {found:08x} does not match {expected:08x}"))]
    Checksum { expected: u32, found: u32 },
    /// The body is not a batch of this version.
    #[snafu(display("body is not a batch: {message}"))]
    Body { message: String },
}

/// Encodes a batch as one log entry.
pub fn encode(batch: &Batch) -> Result<Bytes, DecodeError> {
    let body =
        serde_json::to_vec(batch).map_err(|e| DecodeError::Body { message: e.to_string() })?;
    let len = body.len() + HEADER_LEN;
    if len > MAX_ENTRY_LEN {
        return Err(DecodeError::TooLong { len });
    }
    let mut buf = BytesMut::with_capacity(len);
    buf.put_slice(MAGIC);
    buf.put_u32(crc32fast::hash(&body));
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Decodes one log entry; damaged bytes give an error and no part of a batch.
pub fn decode(entry: &[u8]) -> Result<Batch, DecodeError> {
    if entry.len() > MAX_ENTRY_LEN {
        return Err(DecodeError::TooLong { len: entry.len() });
    }
    let (header, body) = entry.split_at_checked(HEADER_LEN).ok_or(DecodeError::Header)?;
    let (magic, sum) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(DecodeError::Header);
    }
    let expected = u32::from_be_bytes([sum[0], sum[1], sum[2], sum[3]]);
    let found = crc32fast::hash(body);
    if expected != found {
        return Err(DecodeError::Checksum { expected, found });
    }
    serde_json::from_slice(body).map_err(|e| DecodeError::Body { message: e.to_string() })
}

/// Claims as hex strings in JSON; a tagged enum cannot decode numbers of 128 bits.
mod hex_claims {
    use super::ClaimId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

    pub fn serialize<S: Serializer>(ids: &[ClaimId], serializer: S) -> Result<S::Ok, S::Error> {
        let texts: Vec<String> = ids.iter().map(|id| format!("{id:032x}")).collect();
        texts.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<ClaimId>, D::Error> {
        let texts = Vec::<String>::deserialize(de)?;
        let parse = |text: &String| ClaimId::from_str_radix(text, 16).map_err(de::Error::custom);
        texts.iter().map(parse).collect()
    }
}
