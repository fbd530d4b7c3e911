//! Log records, batches, and the framing of a log entry.
//!
//! An entry consists of `JHR1`, the big-endian CRC-32 of the body, and the body, which is one batch
//! as JSON.

use crate::ids::*;
use crate::protocol::hex_bytes;
use bytes::{BufMut, Bytes, BytesMut};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// First bytes of every entry. The digit is the version of the framing.
pub const MAGIC: &[u8; 4] = b"JHR1";
/// Length of the magic and the checksum in bytes.
const HEADER_LEN: usize = 8;
/// Maximum length of an entry in bytes, for encoding and decoding.
pub const MAX_ENTRY_LEN: usize = 256 * 1024;
/// Maximum length of a job's payload in bytes.
pub const MAX_JOB_PAYLOAD_LEN: usize = 64 * 1024;
/// Maximum length of a job's result in bytes.
pub const MAX_JOB_RESULT_LEN: usize = 16 * 1024;

/// Hash of a request id chosen by a caller, together with the caller's team.
pub type ClaimId = u128;
/// Version of a declared section: the offset of its last change.
pub type Version = Offset;

/// Urgency of a request or job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The caller is waiting for the result.
    Urgent,
    /// Has to finish by a given time, such as the start of a shift.
    Planned,
    /// May be delayed until the night.
    Overnight,
}

/// Units of a lapsed holder that are released.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpireLevel {
    /// Units above the reserve.
    Borrowed,
    /// All units. Valid only for a holder that is marked as gone.
    All,
}

/// Request of a holder for units of one team.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// Total number of units requested. The state machine clamps it, but never below the lesser of
    /// this and the units held.
    pub units: u32,
    /// Part of `units` that should remain usable after the lease lapses; clamped in the same way.
    pub reserve: u32,
    /// Number of requests waiting at the holder when the record was created.
    pub waiting: u32,
}

/// Change of one declared section, for example `[profile guarded]`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionChange {
    /// Kind and name as in the INI header, for example `profile guarded`.
    pub section: String,
    /// Version on which the change is based; `None` for a new section.
    pub base: Option<Version>,
    /// New keys and values; `None` removes the section.
    pub body: Option<IndexMap<String, String>>,
}

/// Declaration of a job by its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Unique id of the job.
    pub job: JobId,
    /// Team of the caller's key, or the service's `open_to` team.
    pub team: TeamId,
    /// Service whose pool runs the job.
    pub service: ServiceId,
    pub class: Class,
    /// Whether the job may be restarted if the outcome of an earlier start is unknown.
    pub idempotent: bool,
    /// Run time in milliseconds as declared by the caller; often inaccurate.
    pub declared_ms: u64,
    /// Time allowed from submission to completion in milliseconds; 0 for no limit.
    pub deadline_ms: u64,
    /// Input of the task.
    #[serde(with = "hex_bytes")]
    pub payload: Bytes,
}

/// How a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnding {
    /// It finished with this result.
    Done(#[serde(with = "hex_bytes")] Bytes),
    /// It ran and failed for this reason.
    Failed(String),
    /// It failed on several instances on which other work succeeds.
    CannotRun(String),
    Cancelled,
    /// It was started, but its outcome cannot be determined.
    Unknown,
}

/// Reason for draining an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// Regular maintenance with a reboot.
    Maintenance,
    /// Transfer to another pool.
    Move,
}

/// One record of the shared log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "t")]
pub enum Record {
    /// Heartbeat of an entry instance, with its request for units.
    Renew {
        zone: ZoneId,
        http_addr: String,
        peer_addr: String,
        /// First offset that the writer had not applied.
        seen: Offset,
        want: IndexMap<TeamId, Want>,
        departing: bool,
    },
    /// Releases units of a holder whose lease lapsed.
    Expire {
        holder: EntryId,
        holder_incarnation: Incarnation,
        /// Offset of the `Renew` whose lease the writer observed to lapse.
        renewed_at: Offset,
        level: ExpireLevel,
    },
    /// Changes declared sections; either all changes take effect or none.
    Publish { op: OpId, changes: Vec<SectionChange> },
    /// Grants a key to a team. `hash` is the hexadecimal SHA-256 of the secret part.
    KeyGrant { op: OpId, key: KeyId, team: TeamId, hash: String },
    /// Withdraws a key permanently.
    KeyWithdraw { op: OpId, key: KeyId },
    /// Takes an availability zone out of service.
    ZoneOut { op: OpId, zone: ZoneId },
    /// Puts an availability zone back into service; `undoes` is the offset of the `ZoneOut` in
    /// force.
    ZoneBack { op: OpId, zone: ZoneId, undoes: Offset },
    /// Takes an upstream instance out of service.
    InstanceOut { op: OpId, instance: InstanceId },
    /// Puts an upstream instance back into service; `undoes` is the offset of the `InstanceOut` in
    /// force.
    InstanceBack { op: OpId, instance: InstanceId, undoes: Offset },
    /// Registers an upstream instance that appeared in the platform's list.
    InstanceSeen { instance: InstanceId, pool: PoolId, zone: ZoneId, rack: RackId },
    /// Marks an upstream or entry instance as gone from the platform's list.
    InstanceGone { instance: InstanceId },
    /// Starts to move an instance to another pool. Until `MoveEnd` it stays in `from` and gets no
    /// new work.
    MoveStart { instance: InstanceId, from: PoolId, to: PoolId },
    /// Completes a move: from here on the instance is in the new pool. `started` is the offset of
    /// the `MoveStart` in force, so that a delayed record cannot end a later move.
    MoveEnd { instance: InstanceId, started: Offset },
    /// Cancels a move; the instance stays in its pool.
    MoveCancel { instance: InstanceId, started: Offset },
    /// Starts to drain an instance, within the availability budgets.
    DrainStart { instance: InstanceId, reason: DrainReason },
    /// Ends a drain. `done` says whether the maintenance took place, and `started` is the offset of
    /// the `DrainStart` in force.
    DrainEnd { instance: InstanceId, started: Offset, done: bool },
    /// Time of an instance's last maintenance by the writer's clock, in Unix seconds. For an
    /// instance that was never maintained, it is the assumed start of its maintenance interval.
    Maintained { instance: InstanceId, at_s: u64 },
    /// Claims request ids chosen by callers.
    Claim {
        #[serde(with = "hex_claims")]
        ids: Vec<ClaimId>,
    },
    /// Submits a job.
    JobSubmit { spec: JobSpec },
    /// Claims a pending job, which the writer then starts at an upstream.
    JobClaim { job: JobId, attempt: Attempt, upstream: InstanceId },
    /// Adopts a running job whose holder's lease has expired.
    JobAdopt { job: JobId, attempt: Attempt },
    /// Returns a job to pending, because this attempt certainly did not start or the job may be
    /// restarted.
    JobRelease { job: JobId, attempt: Attempt },
    /// Ends a job.
    JobEnd { job: JobId, attempt: Attempt, ending: JobEnding },
    /// Requests the cancellation of a job on behalf of its team.
    JobCancel { op: OpId, job: JobId, team: TeamId },
    /// One part of a snapshot; does not change the state.
    SnapshotPart {
        snapshot: u64,
        /// First offset that the snapshot does not cover.
        upto: Offset,
        index: u32,
        count: u32,
        /// CRC-32 of the whole encoded state.
        crc: u32,
        #[serde(with = "hex_bytes")]
        data: Bytes,
    },
}

/// Records that one writer appends as one log entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Entry instance that wrote the batch.
    pub writer: EntryId,
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Sequence number, which starts at 1 and increases by one per batch of an incarnation. The
    /// state machine ignores repeats.
    pub seq: u64,
    /// Records in the order in which they are applied.
    pub records: Vec<Record>,
}

/// Reason why bytes are not a valid entry.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DecodeError {
    #[snafu(display("entry of {len} bytes exceeds {MAX_ENTRY_LEN}"))]
    TooLong { len: usize },
    /// The entry is shorter than its header or has another magic.
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

/// Decodes one log entry. Damaged bytes yield an error, never part of a batch.
pub fn decode(entry: &[u8]) -> Result<Batch, DecodeError> {
    if entry.len() > MAX_ENTRY_LEN {
        return Err(DecodeError::TooLong { len: entry.len() });
    }
    let (header, body) = entry.split_at_checked(HEADER_LEN).ok_or(DecodeError::Header)?;
    let (magic, checksum) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(DecodeError::Header);
    }
    let expected = u32::from_be_bytes([checksum[0], checksum[1], checksum[2], checksum[3]]);
    let found = crc32fast::hash(body);
    if expected != found {
        return Err(DecodeError::Checksum { expected, found });
    }
    serde_json::from_slice(body).map_err(|e| DecodeError::Body { message: e.to_string() })
}

/// Serializes claims as hexadecimal strings, because serde cannot decode 128-bit numbers in an
/// internally tagged enum.
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
