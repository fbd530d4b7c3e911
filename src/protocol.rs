//! The platform's interface as types: the log, the list of instances, and tasks at an upstream.
//!
//! `docs/platform.md` states the protocol over HTTP.

use crate::ids::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position; rises by one.
    pub offset: Offset,
    /// The bytes that were appended; hex in JSON.
    #[serde(with = "hex_bytes")]
    pub data: Bytes,
}

/// Answer to a read of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadAnswer {
    /// Oldest offset still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Entries from the wanted offset on; empty when none came within the wait.
    pub entries: Vec<LogEntry>,
}

/// What an instance in the list is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of this system.
    Entry,
    /// An upstream that runs requests and tasks.
    Upstream,
}

/// How the list shows an instance. A gone instance is absent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    Live,
    Departing,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    pub id: InstanceId,
    pub role: Role,
    /// Pool that the platform started it in; empty for entry instances.
    pub pool: PoolId,
    pub zone: ZoneId,
    pub rack: RackId,
    /// IP address and port of its HTTP interface.
    pub addr: String,
    pub presence: Presence,
    /// Tasks and requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// The platform's list; late, but it never shows as gone what still lives.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    pub instances: Vec<ListedInstance>,
}

/// Body of `POST /instances/<id>/reboot`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootRequest {
    /// Names one restart; a repeat asks only how far it is.
    pub op: String,
}

/// How far a restart is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RebootState {
    /// The instance restarts; the list shows it as departing or not at all.
    Rebooting,
    /// It has restarted and takes work again.
    Done,
}

/// Answer to `POST /instances/<id>/reboot`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootAnswer {
    pub state: RebootState,
}

/// Body of `PUT /tasks/<id>`: starts a task once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// Offset of the `JobClaim` or `JobAdopt`; an upstream refuses a lower one for the same task.
    pub fence: Offset,
    /// Latest start, on the upstream's own clock as in `UpstreamStatus::clock_ms`.
    pub start_by_ms: u64,
    /// How long the task runs on without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    #[serde(with = "hex_bytes")]
    pub payload: Bytes,
}

/// Body of `POST /tasks/<id>/renew`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRenew {
    pub fence: Offset,
    pub lease_ms: u64,
}

/// Body of `POST /tasks/<id>/throttle`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskThrottle {
    /// As in `TaskStart`.
    pub fence: Offset,
    /// Part of the full speed, from 1 to 100.
    pub percent: u32,
}

/// Body of `POST /tasks/<id>/checkpoint` and `POST /tasks/<id>/stop`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskFence {
    /// As in `TaskStart`.
    pub fence: Offset,
}

/// Answer to `POST /tasks/<id>/checkpoint`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// Work done, in milliseconds at full speed.
    pub done_ms: u64,
}

/// State of a task at an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TaskState {
    Running {
        fence: Offset,
    },
    Done {
        #[serde(with = "hex_bytes")]
        result: Bytes,
    },
    Failed {
        message: String,
    },
    /// Stopped on request or because its lease lapsed.
    Stopped,
}

/// Answer to `GET /status` of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    pub id: InstanceId,
    /// The upstream's own monotonic clock in milliseconds.
    pub clock_ms: u64,
    pub slots: u32,
    pub running: u32,
    /// It finishes what it runs and takes nothing new.
    pub draining: bool,
}

/// Header with the latest start on the upstream's own clock, in milliseconds.
pub const START_BY_HEADER: &str = "jacinthhook-start-by-ms";
/// Header with the time at which the work must end, on the upstream's own clock, in milliseconds.
pub const DEADLINE_HEADER: &str = "jacinthhook-deadline-ms";
/// Header by which an upstream marks an answer as a refusal: `not_run`.
pub const RAN_HEADER: &str = "jacinthhook-ran";
/// Header with an upstream's running work, sent with every answer.
pub const LOAD_HEADER: &str = "jacinthhook-load";
/// Header by which an upstream says that it takes nothing new.
pub const DRAINING_HEADER: &str = "jacinthhook-draining";
/// Header that ties an answer to its request: the upstream repeats it.
pub const EXCHANGE_HEADER: &str = "jacinthhook-exchange";

/// Bytes as a hex string in JSON.
pub mod hex_bytes {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Writes the hex string.
    pub fn serialize<S: Serializer>(data: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(data))
    }

    /// Reads the hex string.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        hex::decode(text).map(Bytes::from).map_err(de::Error::custom)
    }
}
