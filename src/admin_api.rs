//! Requests and answers of the operators' interface, `/v1/admin/*`.
//!
//! `docs/operators-api.md` lists the routes. A refusal has the body `RefusalBody` on every route.

use crate::config::{Mistake, Sections};
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::record::SectionChange;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `GET`: sections in force, as `Declarations`.
pub const SECTIONS: &str = "/v1/admin/sections";
/// `POST` of `Publish`: answers `Outcome`, or `MistakesBody` with status 422.
pub const PUBLISH: &str = "/v1/admin/publish";
/// `GET`: all keys ever granted, as `Keys`.
pub const KEYS: &str = "/v1/admin/keys";
/// `POST` of `KeyGrant`: answers `Outcome`.
pub const KEY_GRANT: &str = "/v1/admin/keys/grant";
/// `POST` of `KeyWithdraw`: answers `Outcome`.
pub const KEY_WITHDRAW: &str = "/v1/admin/keys/withdraw";
/// `POST` of `InstanceOut`: answers `Outcome`.
pub const INSTANCE_OUT: &str = "/v1/admin/instances/out";
/// `POST` of `InstanceBack`: answers `Outcome`.
pub const INSTANCE_BACK: &str = "/v1/admin/instances/back";
/// `POST` of `ZoneOut`: answers `Outcome`.
pub const ZONE_OUT: &str = "/v1/admin/zones/out";
/// `POST` of `ZoneBack`: answers `Outcome`.
pub const ZONE_BACK: &str = "/v1/admin/zones/back";
/// `GET <OPS>/<op>?wait_ms=`: where a command is in force, as `Outcome`. Answers as soon as it is in force
/// on every entry instance, or after `wait_ms`.
pub const OPS: &str = "/v1/admin/ops";
/// `GET`: the state of the fleet as this entry instance sees it, as `Status`.
pub const STATUS: &str = "/v1/admin/status";

/// Longest `wait_ms` of `OPS` in milliseconds; a longer one is cut.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Answer to `GET /v1/admin/sections`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Declarations {
    /// First offset that the view does not cover.
    pub next: Offset,
    /// Age of the view in milliseconds.
    pub view_age_ms: u64,
    /// Sections in force, each with the version that a change must name as its base.
    pub sections: Sections,
}

/// Body of `POST /v1/admin/publish`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publish {
    pub op: OpId,
    /// All take effect together, or none.
    pub changes: Vec<SectionChange>,
}

/// Body of an answer with kind `check_failed`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MistakesBody {
    #[serde(flatten)]
    pub refusal: RefusalBody,
    /// Every mistake found.
    pub mistakes: Vec<Mistake>,
}

/// Body of `POST /v1/admin/keys/grant`.
///
/// A caller presents `KEY.SECRET` in the header `jacinthhook-key`. The secret stays with the operator and
/// the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyGrant {
    pub op: OpId,
    /// Public part, `KEY`.
    pub key: KeyId,
    pub team: TeamId,
    /// Lower-case hex SHA-256 of the bytes of `SECRET`.
    pub hash: String,
}

/// Body of `POST /v1/admin/keys/withdraw`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyWithdraw {
    pub op: OpId,
    pub key: KeyId,
}

/// Answer to `GET /v1/admin/keys`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Keys {
    /// In the order of their grants; holds no secret and no hash.
    pub keys: Vec<KeyInfo>,
}

/// One key as operators see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyInfo {
    pub key: KeyId,
    pub team: TeamId,
    pub standing: KeyStanding,
}

/// Whether a key is accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyStanding {
    Granted,
    /// Withdrawn in the log.
    Withdrawn,
    /// Withdrawn by a hold that the log does not have yet.
    Held,
}

/// Body of `POST /v1/admin/instances/out`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceOut {
    pub op: OpId,
    pub instance: InstanceId,
}

/// Body of `POST /v1/admin/instances/back`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceBack {
    pub op: OpId,
    pub instance: InstanceId,
    /// Offset of the `InstanceOut` that the operator saw in `Status`; a later one stays in force.
    pub undoes: Offset,
}

/// Body of `POST /v1/admin/zones/out`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneOut {
    pub op: OpId,
    pub zone: ZoneId,
}

/// Body of `POST /v1/admin/zones/back`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneBack {
    pub op: OpId,
    pub zone: ZoneId,
    /// Offset of the `ZoneOut` that the operator saw in `Status`; a later one stays in force.
    pub undoes: Offset,
}

/// What became of a command, and where.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    pub op: OpId,
    #[serde(flatten)]
    pub result: OpResult,
    /// Every entry instance that the answering one knows of, itself first.
    pub entries: Vec<EntryOutcome>,
}

/// What became of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OpResult {
    /// The record is valid at this offset.
    Applied { offset: Offset },
    /// The record was read at this offset and rejected; nothing changed.
    Rejected { offset: Offset, reason: String },
    /// In force as a hold; the log does not have it yet.
    Held,
    /// Handed to the log; its fate has not been read.
    Pending,
    /// This entry instance does not know the command.
    Unknown,
}

/// Where a command stands on one entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryOutcome {
    pub entry: EntryId,
    pub zone: ZoneId,
    #[serde(flatten)]
    pub standing: Standing,
}

/// Where a command stands on one entry instance, as far as the answering one was told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "standing")]
pub enum Standing {
    /// The instance has folded the record.
    InForce { offset: Offset },
    /// The instance has acknowledged the hold.
    Held,
    /// The instance was last heard of this long ago, before the record.
    NotHeard { ago_ms: u64 },
}

impl Outcome {
    /// Whether every known entry instance has the record.
    pub fn in_force_everywhere(&self) -> bool {
        let in_force = |entry: &EntryOutcome| matches!(entry.standing, Standing::InForce { .. });
        matches!(self.result, OpResult::Applied { .. }) && self.entries.iter().all(in_force)
    }
}

/// Answer to `GET /v1/admin/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The entry instance that answers.
    pub entry: EntryId,
    pub zone: ZoneId,
    pub ready: bool,
    pub stopping: bool,
    /// Whether the platform's log answered within the last second.
    pub log_reachable: bool,
    /// First offset that the view does not cover.
    pub next: Offset,
    /// Age of the view in milliseconds.
    pub view_age_ms: u64,
    /// State digest at `next`; equal on all instances at equal offsets.
    pub digest: u32,
    /// Offset of the newest accepted `Publish`; `None` before the first.
    pub published_at: Option<Offset>,
    /// Every known entry instance, the answering one included.
    pub entries: Vec<EntryStatus>,
    /// Declared zones, and others that an instance lies in.
    pub zones: Vec<ZoneStatus>,
    pub pools: Vec<PoolStatus>,
    pub teams: Vec<TeamStatus>,
    /// Upstream instances that are out, moving, draining or set aside.
    pub instances: Vec<InstanceStatus>,
    /// Commands in force as holds, in words without secrets.
    pub holds: Vec<HoldStatus>,
    /// Jobs that have not ended, by state.
    pub jobs: IndexMap<String, u32>,
}

/// One entry instance as another one knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryStatus {
    pub entry: EntryId,
    pub zone: ZoneId,
    pub http_addr: String,
    /// First offset that it had not folded when it was last heard of.
    pub seen: Offset,
    /// Time since it was last heard of, in milliseconds; 0 for the answering one.
    pub heard_ms_ago: u64,
    pub departing: bool,
    /// Whether its lease was expired in the log.
    pub expired: bool,
}

/// One availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    pub zone: ZoneId,
    /// Offset of the `ZoneOut` in force.
    pub out_since: Option<Offset>,
    /// Whether a hold takes it out.
    pub held: bool,
    /// Upstream instances that lie in it.
    pub instances: u32,
}

/// One pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolStatus {
    pub pool: PoolId,
    pub instances: u32,
    /// Instances that may get new work now.
    pub usable: u32,
    pub moving: u32,
    pub draining: u32,
    /// Requests and jobs waiting at the answering entry instance.
    pub waiting: u32,
}

/// One team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamStatus {
    pub team: TeamId,
    /// Fleet-wide upper limit.
    pub limit: u32,
    /// Units granted to entry instances and held by jobs, in the whole fleet.
    pub granted: u32,
    /// Units in use at the answering entry instance.
    pub running: u32,
    /// Requests and jobs waiting at the answering entry instance.
    pub waiting: u32,
}

/// One upstream instance that does not take work as usual.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    pub instance: InstanceId,
    pub pool: PoolId,
    pub zone: ZoneId,
    /// Offset of the `InstanceOut` in force.
    pub out_since: Option<Offset>,
    /// Whether a hold takes it out.
    pub held: bool,
    /// Pool that it moves to.
    pub moving_to: Option<PoolId>,
    pub draining: bool,
    /// Set aside by the answering entry instance for failures.
    pub set_aside: bool,
}

/// One hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldStatus {
    pub op: OpId,
    /// For example `zone_out south-a`.
    pub what: String,
}

/// Body of every refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalBody {
    pub kind: Kind,
    pub ran: Ran,
    pub retry_after_ms: Option<u64>,
    pub message: String,
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> RefusalBody {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        RefusalBody {
            kind: refusal.kind,
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after.map(millis),
            message: refusal.message.clone(),
        }
    }
}
