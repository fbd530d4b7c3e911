//! What the planners of moves and maintenance see of the fleet, and what they decide.
//!
//! The planners are pure functions of this view; the caller writes the records and calls the
//! platform.

use crate::ids::*;
use crate::record::DrainReason;
use indexmap::IndexMap;
use std::fmt;
use std::time::Duration;

/// What an instance is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Takes new work.
    Serving,
    /// Takes no new work since `since`.
    Draining { reason: DrainReason, since: Time },
    /// Restarts for maintenance.
    Rebooting { since: Time },
    /// Restarted and answers again, but its drain has not been ended.
    Rebooted,
    /// Takes no new work because it changes pools; it still counts in its old pool.
    Moving { since: Time },
    /// Does not answer, or operators took it out.
    Down { since: Time },
}

impl Status {
    /// Whether it is out of service by our own decision.
    pub fn is_planned(&self) -> bool {
        !matches!(self, Status::Serving | Status::Down { .. })
    }
}

/// One upstream instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceView {
    pub id: InstanceId,
    /// The one pool that it is in.
    pub pool: PoolId,
    /// Pool that the platform started it in. An instance whose home is a spare pool may be lent.
    pub home_pool: PoolId,
    pub zone: ZoneId,
    pub rack: RackId,
    pub status: Status,
    pub slots: u32,
    /// Work under way.
    pub running: u32,
    /// Planned jobs among it.
    pub planned_jobs: u32,
    /// When its jobs were told to save their progress, if they still run.
    pub checkpointed: Option<Time>,
    /// Time at which its next maintenance is due; zero for overdue.
    pub maintenance_due: Time,
}

/// One pool, with the rules of its profile.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// Whether it lends instances.
    pub spare: bool,
    pub min_instances: u32,
    /// Most instances down at once, unplanned ones included.
    pub unavailable_percent: u32,
    /// Most instances of one rack down at once.
    pub unavailable_per_rack: u32,
    pub drain_timeout: Duration,
    pub maintenance_interval: Duration,
    /// Slots that its load needs, including its buffer.
    pub required_slots: u32,
}

/// A zone that operators have taken out, or that came back.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    pub id: ZoneId,
    pub state: ZoneState,
}

/// Availability of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ZoneState {
    /// In service.
    In,
    /// Out; work in it has to have stopped by `stop_by`.
    Out { stop_by: Time },
    /// In service again since then.
    Back { since: Time },
}

/// The fleet at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    pub instances: Vec<InstanceView>,
    pub pools: IndexMap<PoolId, PoolView>,
    pub zones: Vec<ZoneView>,
}

impl FleetView {
    /// State of a zone; a zone that is not listed is in service.
    pub fn zone_state(&self, zone: &ZoneId) -> ZoneState {
        let found = self.zones.iter().find(|view| view.id == *zone);
        found.map_or(ZoneState::In, |view| view.state)
    }
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts a drain for maintenance.
    DrainStart { instance: InstanceId, reason: DrainReason },
    /// Tells the jobs of an instance to save their progress.
    Checkpoint { instance: InstanceId },
    /// Stops what an instance still runs.
    Stop { instance: InstanceId },
    /// Restarts an empty instance.
    Reboot { instance: InstanceId },
    /// Ends a drain; `done` tells whether the maintenance took place.
    DrainEnd { instance: InstanceId, done: bool },
    /// Starts to move an instance to another pool.
    MoveStart { instance: InstanceId, from: PoolId, to: PoolId },
}

/// An action and its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    pub action: Action,
    pub reason: ActionReason,
}

/// Why an action is taken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ActionReason {
    /// Its maintenance is due.
    Due,
    /// What it ran has ended.
    Empty,
    /// The drain reached its time limit.
    DrainTimeout,
    /// Operators took its zone out.
    ZoneOut,
    /// It is in service again.
    Restarted,
    /// It did not come back from its restart in time, or failed while it drained.
    RestartFailed,
    /// A pool needs more than it has.
    PoolShort,
}

/// Why nothing is done for a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wait {
    pub pool: PoolId,
    pub reason: WaitReason,
}

/// Reason of a wait.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// As many instances are down as the budget allows.
    BudgetUsed { planned: u32, unplanned: u32, allowed: u32 },
    /// The budget allows no instance of a pool of this size to be down.
    PoolTooSmall { size: u32 },
    /// Every instance that is due has a rack with its budget used.
    RackBudgetUsed,
    /// A zone is out, or came back only just now.
    ZoneAway,
    /// The load needs every instance, and there is time left until they are due.
    LoadNeedsAll,
    /// The pool needs more instances and no other pool can give one.
    NothingToLend { short: u32 },
    /// The pool is short, but not for long enough to be worth a move.
    ShortTooBriefly,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::BudgetUsed { planned, unplanned, allowed } => write!(
                f,
                "budget used: {planned} down as planned, {unplanned} unplanned, {allowed} allowed"
            ),
            WaitReason::PoolTooSmall { size } => {
                write!(f, "the budget allows none of {size} instances to be down")
            }
            WaitReason::RackBudgetUsed => f.write_str("the budgets of the racks are used"),
            WaitReason::ZoneAway => {
                f.write_str("an availability zone is out or came back just now")
            }
            WaitReason::LoadNeedsAll => f.write_str("the load needs every instance"),
            WaitReason::NothingToLend { short } => {
                write!(f, "short of {short} slots and no pool can lend")
            }
            WaitReason::ShortTooBriefly => f.write_str("short, but not for long enough to move"),
        }
    }
}

/// What a planner decided, and what it left alone and why.
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

/// Most instances of a pool of `size` that may be down at once. Rounded down: a budget is never
/// exceeded by a part of an instance, and a pool that is too small for its percentage waits.
pub fn max_unavailable(size: u32, percent: u32) -> u32 {
    size * percent.min(100) / 100
}
