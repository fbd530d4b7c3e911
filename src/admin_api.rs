//! Request and response types of the operators' interface, `/v1/admin/*`.
//!
//! `docs/operators-api.md` lists the routes. On every route, a refusal has a `RefusalBody`.

use crate::config::{Mistake, Sections};
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::record::SectionChange;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `GET`: returns the sections in force as `Declarations`.
pub const SECTIONS: &str = "/v1/admin/sections";
/// `POST` of `Publish`: returns `Outcome`, or `MistakesBody` with status 422.
pub const PUBLISH: &str = "/v1/admin/publish";
/// `GET`: returns all keys ever granted as `Keys`.
pub const KEYS: &str = "/v1/admin/keys";
/// `POST` of `KeyGrant`: returns `Outcome`.
pub const KEY_GRANT: &str = "/v1/admin/keys/grant";
/// `POST` of `KeyWithdraw`: returns `Outcome`.
pub const KEY_WITHDRAW: &str = "/v1/admin/keys/withdraw";
/// `POST` of `InstanceOut`: returns `Outcome`.
pub const INSTANCE_OUT: &str = "/v1/admin/instances/out";
/// `POST` of `InstanceBack`: returns `Outcome`.
pub const INSTANCE_BACK: &str = "/v1/admin/instances/back";
/// `POST` of `ZoneOut`: returns `Outcome`.
pub const ZONE_OUT: &str = "/v1/admin/zones/out";
/// `POST` of `ZoneBack`: returns `Outcome`.
pub const ZONE_BACK: &str = "/v1/admin/zones/back";
/// `GET <OPS>/<op>?wait_ms=`: returns the outcome of a command as `Outcome`. Answers as soon as the
/// command is rejected or in force on every entry instance, or after `wait_ms`.
pub const OPS: &str = "/v1/admin/ops";
/// `GET`: returns the state of the fleet, as this entry instance sees it, as `Status`.
pub const STATUS: &str = "/v1/admin/status";

/// Maximum `wait_ms` of `OPS`; longer values are reduced to it.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Answer to `GET /v1/admin/sections`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Declarations {
    /// First offset that the view does not cover.
    pub next: Offset,
    /// Age of the view in milliseconds.
    pub view_age_ms: u64,
    /// Sections in force, each with the version that a change must give as its base.
    pub sections: Sections,
}

/// Body of `POST /v1/admin/publish`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publish {
    pub op: OpId,
    /// Changes of sections, which take effect all or none.
    pub changes: Vec<SectionChange>,
}

/// Body of a refusal of kind `check_failed`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MistakesBody {
    #[serde(flatten)]
    pub refusal: RefusalBody,
    /// Every mistake found.
    pub mistakes: Vec<Mistake>,
}

/// Body of `POST /v1/admin/keys/grant`.
///
/// A caller sends `KEY.SECRET` in the header `jacinthhook-key`. Only the operator and the caller
/// know the secret.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyGrant {
    pub op: OpId,
    /// Public part of the key, `KEY`.
    pub key: KeyId,
    pub team: TeamId,
    /// SHA-256 of the bytes of `SECRET` in lower-case hex.
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
    /// Keys in the order of their grants, without secrets and hashes.
    pub keys: Vec<KeyInfo>,
}

/// A key, as shown to operators.
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
    /// Withdrawn by a hold that is not in the log yet.
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

/// Result of a command, and its standing on each entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    pub op: OpId,
    #[serde(flatten)]
    pub result: OpResult,
    /// All entry instances known to the answering one, which comes first.
    pub entries: Vec<EntryOutcome>,
}

/// Result of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OpResult {
    /// The record was accepted at this offset.
    Applied { offset: Offset },
    /// The record was rejected at this offset; nothing changed.
    Rejected { offset: Offset, reason: String },
    /// In force as a hold; not in the log yet.
    Held,
    /// Proposed to the log; not accepted or rejected yet.
    Pending,
    /// This entry instance does not know the command.
    Unknown,
}

/// Standing of a command on one entry instance, with the identity of the instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryOutcome {
    pub entry: EntryId,
    pub zone: ZoneId,
    #[serde(flatten)]
    pub standing: Standing,
}

/// Standing of a command on one entry instance, as known to the answering one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "standing")]
pub enum Standing {
    /// The instance has applied the record.
    InForce { offset: Offset },
    /// The instance has acknowledged the hold.
    Held,
    /// The instance last reported its status this long ago, without the record.
    NotHeard { ago_ms: u64 },
}

impl Outcome {
    /// Returns whether every known entry instance has applied the record.
    pub fn in_force_everywhere(&self) -> bool {
        let in_force = |entry: &EntryOutcome| matches!(entry.standing, Standing::InForce { .. });
        matches!(self.result, OpResult::Applied { .. }) && self.entries.iter().all(in_force)
    }
}

/// Answer to `GET /v1/admin/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Id of the answering entry instance.
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
    /// All known entry instances, including the answering one.
    pub entries: Vec<EntryStatus>,
    /// Declared zones, zones that are out, and zones of any other instance.
    pub zones: Vec<ZoneStatus>,
    pub pools: Vec<PoolStatus>,
    pub teams: Vec<TeamStatus>,
    /// Upstream instances that are taken out, moving, draining or ejected.
    pub instances: Vec<InstanceStatus>,
    /// Commands in force as holds, described without secrets.
    pub holds: Vec<HoldStatus>,
    /// Jobs that have not ended, by state.
    pub jobs: IndexMap<String, u32>,
}

/// An entry instance, as known to another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryStatus {
    pub entry: EntryId,
    pub zone: ZoneId,
    pub http_addr: String,
    /// First offset that it had not applied at its last report.
    pub seen: Offset,
    /// Time since its last status report in milliseconds; 0 for the answering instance.
    pub heard_ms_ago: u64,
    pub departing: bool,
    /// Whether the log records its lease as expired.
    pub expired: bool,
}

/// Status of an availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    pub zone: ZoneId,
    /// Offset of the `ZoneOut` in force.
    pub out_since: Option<Offset>,
    /// Whether a hold takes it out of service.
    pub held: bool,
    /// Number of upstream instances in the zone.
    pub instances: u32,
}

/// Status of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolStatus {
    pub pool: PoolId,
    pub instances: u32,
    /// Instances that can receive new work now.
    pub usable: u32,
    pub moving: u32,
    pub draining: u32,
    /// Requests and jobs queued at the answering entry instance.
    pub waiting: u32,
}

/// Status of a team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamStatus {
    pub team: TeamId,
    /// Fleet-wide limit of units.
    pub limit: u32,
    /// Units granted to entry instances or held by jobs in the whole fleet.
    pub granted: u32,
    /// Units in use at the answering entry instance.
    pub running: u32,
    /// Requests and jobs queued at the answering entry instance.
    pub waiting: u32,
}

/// An upstream instance that does not receive work as usual.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    pub instance: InstanceId,
    pub pool: PoolId,
    pub zone: ZoneId,
    /// Offset of the `InstanceOut` in force.
    pub out_since: Option<Offset>,
    /// Whether a hold takes it out of service.
    pub held: bool,
    /// Pool that it is moving to.
    pub moving_to: Option<PoolId>,
    pub draining: bool,
    /// Whether the answering entry instance has ejected it because of failures.
    pub set_aside: bool,
}

/// A hold in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldStatus {
    pub op: OpId,
    /// Description of the command, for example `zone_out south-a`.
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
