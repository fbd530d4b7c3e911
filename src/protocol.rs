//! Types of the platform protocol: the log, the instance list, and tasks at an upstream.
//!
//! `docs/platform.md` specifies the protocol over HTTP.

use crate::ids::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position in the log; consecutive entries differ by one.
    pub offset: Offset,
    /// The bytes that were appended; hex in JSON.
    #[serde(with = "hex_bytes")]
    pub data: Bytes,
}

/// Response to a read of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadAnswer {
    /// Oldest offset that is still stored.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Entries from the requested offset on; empty if none was appended within the wait.
    pub entries: Vec<LogEntry>,
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of this system.
    Entry,
    /// An upstream that runs requests and tasks.
    Upstream,
}

/// State of a listed instance. An instance that is gone is not listed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    Live,
    Departing,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    pub id: InstanceId,
    pub role: Role,
    /// Pool in which the platform started the instance; empty for entry instances.
    pub pool: PoolId,
    pub zone: ZoneId,
    pub rack: RackId,
    /// IP address and port of its HTTP server.
    pub addr: String,
    pub presence: Presence,
    /// Maximum number of tasks and requests that it runs at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts at once.
    pub connections: u32,
}

/// The platform's list of instances. It may be out of date, but always includes every live
/// instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    pub instances: Vec<ListedInstance>,
}

/// Body of `POST /instances/<id>/reboot`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootRequest {
    /// Identifies one reboot; a repeated request only returns its state.
    pub op: String,
}

/// State of a reboot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RebootState {
    /// The instance is rebooting; it is listed as departing or not listed.
    Rebooting,
    /// The instance has rebooted and accepts work.
    Done,
}

/// Response to `POST /instances/<id>/reboot`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootAnswer {
    pub state: RebootState,
}

/// Body of `PUT /tasks/<id>`, which starts a task at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// Fencing token: offset of the `JobClaim` or `JobAdopt` record. An upstream refuses a lower
    /// token for the same task.
    pub fence: Offset,
    /// Latest start, by the upstream's own clock as in `UpstreamStatus::clock_ms`.
    pub start_by_ms: u64,
    /// Lease duration in milliseconds; the task is stopped if it is not renewed within this time.
    pub lease_ms: u64,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    #[serde(with = "hex_bytes")]
    pub payload: Bytes,
}

/// Body of `POST /tasks/<id>/renew`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRenew {
    /// Fencing token, as in `TaskStart`.
    pub fence: Offset,
    pub lease_ms: u64,
}

/// Body of `POST /tasks/<id>/throttle`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskThrottle {
    /// Fencing token, as in `TaskStart`.
    pub fence: Offset,
    /// Percentage of the full speed, from 1 to 100.
    pub percent: u32,
}

/// Body of `POST /tasks/<id>/checkpoint` and `POST /tasks/<id>/stop`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskFence {
    /// Fencing token, as in `TaskStart`.
    pub fence: Offset,
}

/// Response to `POST /tasks/<id>/checkpoint`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// Completed work, in milliseconds at full speed.
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
    /// Stopped on request or because its lease expired.
    Stopped,
}

/// Response to `GET /status` of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    pub id: InstanceId,
    /// The upstream's own monotonic clock in milliseconds.
    pub clock_ms: u64,
    pub slots: u32,
    pub running: u32,
    /// Whether it only finishes running work and accepts no new work.
    pub draining: bool,
}

/// Header with the latest start in milliseconds, by the upstream's own clock.
pub const START_BY_HEADER: &str = "jacinthhook-start-by-ms";
/// Header with the time by which the work must end in milliseconds, by the upstream's own clock.
pub const DEADLINE_HEADER: &str = "jacinthhook-deadline-ms";
/// Header that an upstream sets to `not_run` if it refused the work.
pub const RAN_HEADER: &str = "jacinthhook-ran";
/// Header with the number of running requests and tasks, sent with every response of an upstream.
pub const LOAD_HEADER: &str = "jacinthhook-load";
/// Header by which an upstream reports that it is draining.
pub const DRAINING_HEADER: &str = "jacinthhook-draining";
/// Header that associates a response with its request: the upstream repeats the value.
pub const EXCHANGE_HEADER: &str = "jacinthhook-exchange";

/// Serde format for bytes as a hex string.
pub mod hex_bytes {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Serializes the bytes.
    pub fn serialize<S: Serializer>(data: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(data))
    }

    /// Deserializes the bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        hex::decode(text).map(Bytes::from).map_err(de::Error::custom)
    }
}
