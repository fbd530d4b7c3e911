//! State machine of the shared log. Every entry instance applies the same batches in offset order
//! and arrives at the same state. All validity rules are in this module.

use crate::config::{Config, Mistake, Section, Sections};
use crate::ids::*;
use crate::record::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::VecDeque;
use std::time::Duration;

mod budget;
mod claims;
mod grants;
mod jobs;

pub use claims::Claims;
pub use grants::{Grant, Holder};
pub use jobs::{Job, JobState};

/// Maximum number of operator commands that are remembered to detect repeats.
const MAX_REMEMBERED_OPS: usize = 10_000;
/// Maximum number of incarnations whose last batch sequence is remembered.
const MAX_REMEMBERED_WRITERS: usize = 10_000;

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// Team to which calls with the key are charged.
    pub team: TeamId,
    /// Hex SHA-256 of the secret part.
    pub hash: String,
    /// Offset of the withdrawal. Never cleared, so that no later record can restore the key.
    pub withdrawn_at: Option<Offset>,
}

/// An upstream instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The pool that contains the instance; changed only by `MoveEnd`.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack within the zone.
    pub rack: RackId,
    /// Target pool of the move in progress, and the offset of its `MoveStart`.
    pub moving: Option<(PoolId, Offset)>,
    /// Reason of the drain in progress, and the offset of its `DrainStart`.
    pub draining: Option<(DrainReason, Offset)>,
    /// Offset of the record that marked it as missing from the platform's list.
    pub gone_at: Option<Offset>,
    /// End of its last maintenance in Unix seconds. Used only for planning, because clocks may
    /// differ.
    pub maintained_at: Option<u64>,
}

/// Outcome of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The record was valid, whether or not it changed the state.
    Applied,
    /// The same batch, command or job was applied before.
    Repeated,
    /// The record was not valid at its offset and changed nothing.
    Rejected(RejectReason),
}

/// Why a record is not valid at its offset.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RejectReason {
    #[snafu(display("section {section:?} was changed by another command"))]
    VersionConflict { section: String },
    #[snafu(display("{message}"))]
    InvalidSections { message: String },
    #[snafu(display("key {key:?} was withdrawn and cannot be granted again"))]
    KeyWithdrawn { key: KeyId },
    #[snafu(display("key {key:?} exists with another team or secret"))]
    KeyConflict { key: KeyId },
    #[snafu(display("no {what} {name:?}"))]
    NotFound { what: &'static str, name: String },
    #[snafu(display("{name:?} is not out since offset {undoes}"))]
    NotOut { name: String, undoes: Offset },
    #[snafu(display("{instance:?} is in another pool or already moves"))]
    WrongPool { instance: InstanceId },
    #[snafu(display("{instance:?} does not move or drain"))]
    NotInProgress { instance: InstanceId },
    #[snafu(display("the availability budget of {domain} is used up: {down} of {allowed} down"))]
    BudgetExceeded { domain: String, down: u32, allowed: u32 },
    #[snafu(display("the writer's lease was expired or never granted"))]
    WriterNotLive,
    #[snafu(display("the holder renewed or is not known as gone"))]
    HolderNotLapsed,
    #[snafu(display("team {team:?} is at its upper limit of {limit}"))]
    AtLimit { team: TeamId, limit: u32 },
    #[snafu(display("job {job:?} is in another state or attempt, or held by another writer"))]
    JobConflict { job: JobId },
    #[snafu(display("the backlog of jobs is full"))]
    BacklogFull,
    #[snafu(display("{instance:?} is out, drains, moves or is gone"))]
    InstanceUnavailable { instance: InstanceId },
    #[snafu(display("an entry instance has not read yet that {instance:?} moves"))]
    MoveNotSeen { instance: InstanceId },
    #[snafu(display("the request id was claimed before"))]
    DuplicateClaim,
    #[snafu(display("the record of {len} bytes does not fit into an entry"))]
    TooLarge { len: usize },
    #[snafu(display("too many records wait for the log"))]
    QueueFull,
}

/// The shared state at one offset.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    next: Offset,
    /// Parsed form of `sections`; rebuilt after decoding.
    #[serde(skip)]
    pub config: Config,
    /// Declared sections by `KIND NAME`.
    pub sections: Sections,
    /// Granted keys, including withdrawn ones.
    pub keys: IndexMap<KeyId, Key>,
    /// Availability zones out of service and the offset of the `ZoneOut`.
    pub zones_out: IndexMap<ZoneId, Offset>,
    /// Instances out of service and the offset of the `InstanceOut`.
    pub instances_out: IndexMap<InstanceId, Offset>,
    /// Upstream instances.
    pub instances: IndexMap<InstanceId, Instance>,
    /// Entry instances that hold or may still hold units, by incarnation.
    pub holders: IndexMap<Incarnation, Holder>,
    /// Pending, running and recently ended jobs.
    pub jobs: IndexMap<JobId, Job>,
    /// Request ids chosen by callers that were claimed.
    pub claims: Claims,
    /// Totals over `jobs`, kept so that no rule iterates over all of them.
    job_totals: jobs::JobTotals,
    /// Last batch sequence by incarnation, oldest incarnation first.
    writers: IndexMap<Incarnation, u64>,
    /// Longest deadline that any profile has ever allowed, in milliseconds.
    longest_deadline_ms: u64,
    ops: IndexMap<OpId, Offset>,
    op_order: VecDeque<OpId>,
}

/// Position and writer of the record being applied.
#[derive(Clone, Copy)]
struct Cx<'a> {
    offset: Offset,
    writer: &'a EntryId,
    incarnation: Incarnation,
}

type Applied = Result<ApplyOutcome, RejectReason>;

impl State {
    /// Creates the state before offset 0.
    pub fn new() -> State {
        State::default()
    }

    /// Returns the first offset that is not applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Skips an entry that cannot be decoded; such an entry changes nothing else.
    pub fn skip(&mut self, offset: Offset) {
        self.next = offset + 1;
    }

    /// Applies the batch at `offset` and returns one outcome per record. Offsets must increase.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Vec<ApplyOutcome> {
        debug_assert!(offset >= self.next, "entry {offset} applied twice");
        self.next = offset + 1;
        if !self.accept_sequence(batch) {
            return batch.records.iter().map(|_| ApplyOutcome::Repeated).collect();
        }
        let cx = Cx { offset, writer: &batch.writer, incarnation: batch.incarnation };
        let apply = |record| self.apply_record(cx, record).unwrap_or_else(ApplyOutcome::Rejected);
        batch.records.iter().map(apply).collect()
    }

    /// Parses the declarations again; required after decoding a snapshot.
    pub fn rebuild_config(&mut self) -> Result<(), RejectReason> {
        let as_change = |(name, section): (&String, &Section)| SectionChange {
            section: name.clone(),
            base: None,
            body: Some(section.values.clone()),
        };
        let changes: Vec<SectionChange> = self.sections.iter().map(as_change).collect();
        let mut config = Config::new();
        config.change(&changes).map_err(invalid_sections)?;
        self.config = config;
        Ok(())
    }

    /// Returns a checksum of the whole state, which is equal on all instances at equal offsets.
    pub fn digest(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Records the sequence of a batch. Returns false for a repeat, whose sequence is not above the
    /// last one of its incarnation.
    fn accept_sequence(&mut self, batch: &Batch) -> bool {
        if self.writers.get(&batch.incarnation).is_some_and(|last| batch.seq <= *last) {
            return false;
        }
        self.writers.insert(batch.incarnation, batch.seq);
        if self.writers.len() > MAX_REMEMBERED_WRITERS {
            self.evict_oldest_writer();
        }
        true
    }

    /// Returns the sequence of the last batch applied from an incarnation.
    pub fn last_seq(&self, incarnation: Incarnation) -> Option<u64> {
        self.writers.get(&incarnation).copied()
    }

    /// Returns the longest time that a request may take. The work of an entry instance that ended
    /// is over after that time.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_millis(self.longest_deadline_ms)
    }

    /// Drops the oldest incarnation that is not a holder.
    fn evict_oldest_writer(&mut self) {
        let idle = |incarnation: &Incarnation| !self.holders.contains_key(incarnation);
        if let Some(oldest) = self.writers.keys().copied().find(|i| idle(i)) {
            self.writers.shift_remove(&oldest);
        }
    }

    fn apply_record(&mut self, cx: Cx, record: &Record) -> Applied {
        match record {
            Record::Renew { zone, http_addr, peer_addr, seen, want, departing } => {
                let addresses = grants::Addresses {
                    zone: zone.clone(),
                    http_addr: http_addr.clone(),
                    peer_addr: peer_addr.clone(),
                };
                self.renew(cx, addresses, *seen, want, *departing)
            }
            Record::Expire { holder: _, holder_incarnation, renewed_at, level } => {
                self.expire(*holder_incarnation, *renewed_at, *level)
            }
            Record::Publish { op, changes } => {
                self.apply_once(cx, op, |state| state.publish(cx, changes))
            }
            Record::KeyGrant { op, key, team, hash } => {
                self.apply_once(cx, op, |state| state.grant_key(key, team, hash))
            }
            Record::KeyWithdraw { op, key } => {
                self.apply_once(cx, op, |state| state.withdraw_key(cx, key))
            }
            Record::ZoneOut { op, zone } => {
                self.apply_once(cx, op, |state| state.zone_out(cx, zone))
            }
            Record::ZoneBack { op, zone, undoes } => {
                self.apply_once(cx, op, |state| restore(&mut state.zones_out, zone, *undoes))
            }
            Record::InstanceOut { op, instance } => {
                self.apply_once(cx, op, |state| state.instance_out(cx, instance))
            }
            Record::InstanceBack { op, instance, undoes } => self
                .apply_once(cx, op, |state| restore(&mut state.instances_out, instance, *undoes)),
            Record::InstanceSeen { instance, pool, zone, rack } => {
                self.instance_seen(instance, pool, zone, rack)
            }
            Record::InstanceGone { instance } => self.instance_gone(cx, instance),
            Record::MoveStart { instance, from, to } => self.move_start(cx, instance, from, to),
            Record::MoveEnd { instance, started } => self.move_end(instance, *started, true),
            Record::MoveCancel { instance, started } => self.move_end(instance, *started, false),
            Record::DrainStart { instance, reason } => self.drain_start(cx, instance, *reason),
            Record::DrainEnd { instance, started, .. } => self.drain_end(instance, *started),
            Record::Maintained { instance, at_s } => self.maintained(instance, *at_s),
            Record::Claim { ids } => self.claim(cx, ids),
            Record::JobSubmit { spec } => self.job_submit(cx, spec),
            Record::JobClaim { job, attempt, upstream } => {
                self.job_claim(cx, job, *attempt, upstream)
            }
            Record::JobAdopt { job, attempt } => self.job_adopt(cx, job, *attempt),
            Record::JobRelease { job, attempt } => self.job_release(cx, job, *attempt),
            Record::JobEnd { job, attempt, ending } => self.job_end(cx, job, *attempt, ending),
            Record::JobCancel { op, job, team } => {
                self.apply_once(cx, op, |state| state.job_cancel(cx, job, team))
            }
            Record::SnapshotPart { .. } => Ok(ApplyOutcome::Applied),
        }
    }

    /// Runs an operator command unless its id was applied before. A rejected command does not use
    /// up its id.
    fn apply_once(
        &mut self,
        cx: Cx,
        op: &OpId,
        command: impl FnOnce(&mut State) -> Applied,
    ) -> Applied {
        if self.ops.contains_key(op) {
            return Ok(ApplyOutcome::Repeated);
        }
        let outcome = command(self)?;
        self.ops.insert(op.clone(), cx.offset);
        self.op_order.push_back(op.clone());
        if self.op_order.len() > MAX_REMEMBERED_OPS
            && let Some(oldest) = self.op_order.pop_front()
        {
            self.ops.swap_remove(&oldest);
        }
        Ok(outcome)
    }

    /// Returns the offset at which an operator command was applied.
    pub fn op_offset(&self, op: &OpId) -> Option<Offset> {
        self.ops.get(op).copied()
    }

    fn publish(&mut self, cx: Cx, changes: &[SectionChange]) -> Applied {
        for change in changes {
            let current = self.sections.get(&change.section).map(|section| section.version);
            if current != change.base {
                return Err(RejectReason::VersionConflict { section: change.section.clone() });
            }
        }
        self.config.change(changes).map_err(invalid_sections)?;
        let longest = self.config.profiles.values().map(|p| p.max_deadline).max();
        let longest_ms = longest.unwrap_or_default().as_millis() as u64;
        self.longest_deadline_ms = self.longest_deadline_ms.max(longest_ms);
        for change in changes {
            match &change.body {
                Some(values) => {
                    let section = Section { version: cx.offset, values: values.clone() };
                    self.sections.insert(change.section.clone(), section);
                }
                None => {
                    self.sections.shift_remove(&change.section);
                }
            }
        }
        Ok(ApplyOutcome::Applied)
    }

    fn grant_key(&mut self, key: &KeyId, team: &TeamId, hash: &str) -> Applied {
        if !self.config.teams.contains_key(team) {
            return Err(not_found("team", team));
        }
        match self.keys.get(key) {
            Some(known) if known.withdrawn_at.is_some() => {
                Err(RejectReason::KeyWithdrawn { key: key.clone() })
            }
            Some(known) if known.team == *team && known.hash == hash => Ok(ApplyOutcome::Repeated),
            Some(_) => Err(RejectReason::KeyConflict { key: key.clone() }),
            None => {
                let granted =
                    Key { team: team.clone(), hash: hash.to_string(), withdrawn_at: None };
                self.keys.insert(key.clone(), granted);
                Ok(ApplyOutcome::Applied)
            }
        }
    }

    fn withdraw_key(&mut self, cx: Cx, key: &KeyId) -> Applied {
        let known = self.keys.get_mut(key).ok_or_else(|| not_found("key", key))?;
        known.withdrawn_at.get_or_insert(cx.offset);
        Ok(ApplyOutcome::Applied)
    }

    fn zone_out(&mut self, cx: Cx, zone: &ZoneId) -> Applied {
        if !self.config.zones.contains_key(zone) {
            return Err(not_found("zone", zone));
        }
        // A later command replaces the offset, so that only the undo of that command brings the
        // zone back.
        self.zones_out.insert(zone.clone(), cx.offset);
        Ok(ApplyOutcome::Applied)
    }

    fn instance_out(&mut self, cx: Cx, instance: &InstanceId) -> Applied {
        if !self.instances.contains_key(instance) {
            return Err(not_found("instance", instance));
        }
        self.instances_out.insert(instance.clone(), cx.offset);
        Ok(ApplyOutcome::Applied)
    }

    fn claim(&mut self, cx: Cx, ids: &[ClaimId]) -> Applied {
        self.require_live(cx)?;
        for id in ids {
            self.claims.claim(*id, cx.incarnation);
        }
        Ok(ApplyOutcome::Applied)
    }
}

fn restore(out: &mut IndexMap<std::sync::Arc<str>, Offset>, name: &str, undoes: Offset) -> Applied {
    if out.get(name) != Some(&undoes) {
        return Err(RejectReason::NotOut { name: name.to_string(), undoes });
    }
    out.shift_remove(name);
    Ok(ApplyOutcome::Applied)
}

fn not_found(what: &'static str, name: &str) -> RejectReason {
    RejectReason::NotFound { what, name: name.to_string() }
}

fn invalid_sections(mistakes: Vec<Mistake>) -> RejectReason {
    let line = |mistake: &Mistake| match &mistake.key {
        Some(key) => format!("[{}] {key}: {}", mistake.section, mistake.message),
        None => format!("[{}]: {}", mistake.section, mistake.message),
    };
    let lines: Vec<String> = mistakes.iter().map(line).collect();
    RejectReason::InvalidSections { message: lines.join("; ") }
}
