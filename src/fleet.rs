//! Input and output types of the planners for moves and maintenance.
//!
//! The planners decide from a `FleetView` and return a `Plan`. They do no I/O: the caller writes
//! the records and calls the platform.

use crate::ids::*;
use crate::record::DrainReason;
use indexmap::IndexMap;
use std::fmt;
use std::time::Duration;

/// Status of an upstream instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Accepts new work.
    Serving,
    /// Accepts no new work since `since`; its running work may end.
    Draining { reason: DrainReason, since: Time },
    /// Being restarted for maintenance.
    Rebooting { since: Time },
    /// Restarted and responding, but its drain has not been ended yet.
    Rebooted,
    /// Accepts no new work because it is moving to another pool; it still counts in its old pool.
    Moving { since: Time },
    /// Does not respond, or was taken out of service by an operator.
    Down { since: Time },
}

impl Status {
    /// Whether the instance is out of service because a planner decided so.
    pub fn is_planned(&self) -> bool {
        !matches!(self, Status::Serving | Status::Down { .. })
    }
}

/// Planner's view of one upstream instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceView {
    pub id: InstanceId,
    /// Pool that the instance currently belongs to.
    pub pool: PoolId,
    /// Pool in which the platform started the instance. Only instances whose home is a spare pool
    /// may be lent.
    pub home_pool: PoolId,
    pub zone: ZoneId,
    pub rack: RackId,
    pub status: Status,
    pub slots: u32,
    /// Number of running requests and jobs.
    pub running: u32,
    /// Number of running planned jobs.
    pub planned_jobs: u32,
    /// When its jobs were asked to save a checkpoint, if they are still running.
    pub checkpointed: Option<Time>,
    /// When the next maintenance is due; in the past if it is overdue.
    pub maintenance_due: Time,
}

/// Planner's view of one pool, with the rules of its profiles.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// Whether the pool lends instances to other pools.
    pub spare: bool,
    pub min_instances: u32,
    /// Maximum percentage of instances that may be down at the same time, planned or not.
    pub unavailable_percent: u32,
    /// Maximum number of instances of one rack that may be down at the same time.
    pub unavailable_per_rack: u32,
    pub drain_timeout: Duration,
    pub maintenance_interval: Duration,
    /// Slots that the load of the pool requires.
    pub required_slots: u32,
}

/// Planner's view of a zone that was taken out of service or has returned.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    pub id: ZoneId,
    pub state: ZoneState,
}

/// Service state of an availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ZoneState {
    /// In service.
    In,
    /// Out of service; its work must be stopped by `stop_by`.
    Out { stop_by: Time },
    /// In service again since `since`.
    Back { since: Time },
}

/// Snapshot of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    pub instances: Vec<InstanceView>,
    pub pools: IndexMap<PoolId, PoolView>,
    pub zones: Vec<ZoneView>,
}

impl FleetView {
    /// Returns the state of a zone. Zones that are not listed are in service.
    pub fn zone_state(&self, zone: &ZoneId) -> ZoneState {
        let found = self.zones.iter().find(|view| view.id == *zone);
        found.map_or(ZoneState::In, |view| view.state)
    }
}

/// Action that a planner requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts a drain for maintenance.
    DrainStart { instance: InstanceId, reason: DrainReason },
    /// Asks the jobs of an instance to save a checkpoint.
    Checkpoint { instance: InstanceId },
    /// Stops the work that is still running on an instance.
    Stop { instance: InstanceId },
    /// Restarts an instance that runs no work.
    Reboot { instance: InstanceId },
    /// Ends a drain; `done` is true if the maintenance was completed.
    DrainEnd { instance: InstanceId, done: bool },
    /// Starts moving an instance to another pool.
    MoveStart { instance: InstanceId, from: PoolId, to: PoolId },
}

/// Action and the reason for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    pub action: Action,
    pub reason: ActionReason,
}

/// Reason for an action.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ActionReason {
    /// Maintenance of the instance is due.
    Due,
    /// The instance runs no work any more.
    Empty,
    /// The drain reached its time limit.
    DrainTimeout,
    /// An operator took a zone out of service.
    ZoneOut,
    /// The instance has restarted.
    Restarted,
    /// The instance did not finish its restart in time.
    RestartFailed,
    /// A pool requires more slots than it has.
    PoolShort,
}

/// Pool for which a planner takes no action, and the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wait {
    pub pool: PoolId,
    pub reason: WaitReason,
}

/// Reason why a planner takes no action for a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// The maximum number of instances is already down.
    BudgetUsed { planned: u32, unplanned: u32, allowed: u32 },
    /// The pool is so small that its budget allows no instance to be down.
    PoolTooSmall { size: u32 },
    /// The racks of all instances that are due have used their budgets.
    RackBudgetUsed,
    /// A zone is out of service or returned recently.
    ZoneAway,
    /// The load requires all instances, and maintenance is not urgent yet.
    LoadNeedsAll,
    /// The pool is short and no other pool can lend an instance.
    NothingToLend { short: u32 },
    /// The pool has not been short for long enough to start a move.
    ShortTooBriefly,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::BudgetUsed { planned, unplanned, allowed } => write!(
                f,
                "instances down: {planned} planned, {unplanned} unplanned, {allowed} allowed"
            ),
            WaitReason::PoolTooSmall { size } => {
                write!(f, "the availability budget allows none of {size} instances to be down")
            }
            WaitReason::RackBudgetUsed => {
                f.write_str("the availability budgets of the racks are used")
            }
            WaitReason::ZoneAway => {
                f.write_str("an availability zone is out of service or returned recently")
            }
            WaitReason::LoadNeedsAll => f.write_str("the load requires all instances"),
            WaitReason::NothingToLend { short } => {
                write!(
                    f,
                    "the pool is short of {short} slots and no other pool can lend an instance"
                )
            }
            WaitReason::ShortTooBriefly => {
                f.write_str("the pool has not been short for long enough to start a move")
            }
        }
    }
}

/// Decisions of a planner, and the pools for which it takes no action.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    pub decisions: Vec<Decision>,
    pub waits: Vec<Wait>,
}

impl Plan {
    pub(crate) fn add_action(&mut self, action: Action, reason: ActionReason) {
        self.decisions.push(Decision { action, reason });
    }

    pub(crate) fn add_wait(&mut self, pool: &PoolId, reason: WaitReason) {
        self.waits.push(Wait { pool: pool.clone(), reason });
    }
}

/// Returns the maximum number of instances of a pool of `size` that may be down at the same time.
/// Rounds down, so that the percentage is never exceeded. The result may be zero for a small pool,
/// whose maintenance then waits.
pub fn max_unavailable(size: u32, percent: u32) -> u32 {
    size * percent.min(100) / 100
}
