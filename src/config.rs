//! The published declarations as types: profiles, teams, services, pools and zones.
//!
//! A declaration is a list of sections with keys and values. The same check runs for a file, for a
//! `Publish` record and at the start of a process.

use crate::ids::*;
use crate::record::Class;
use indexmap::IndexMap;
use std::time::Duration;

/// Everything that operators have published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub zones: IndexMap<ZoneId, Zone>,
    pub teams: IndexMap<TeamId, Team>,
    pub pools: IndexMap<PoolId, Pool>,
    pub profiles: IndexMap<ProfileId, Profile>,
    pub services: IndexMap<ServiceId, Service>,
}

/// `[zone NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Region that the zone lies in.
    pub region: String,
}

/// `[team NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Weight in full periods, from 1; a profile may override it for its services.
    pub share: u32,
    /// Most requests and jobs running at once in the whole fleet.
    pub limit: u32,
}

/// `[pool NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Whether it lends its instances to other pools.
    pub spare: bool,
    /// Least instances that stay in the pool.
    pub min_instances: u32,
}

/// `[profile NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// `share.TEAM`: weights that replace the teams' own.
    pub shares: IndexMap<TeamId, u32>,
    /// `limit.TEAM`: upper limits for a team within services of this profile; the team's own fleet-wide limit
    /// holds besides.
    pub limits: IndexMap<TeamId, u32>,
    /// `class_order`: classes from first to last; a later one waits while an earlier one has work, but
    /// for `class_floor_percent` of the slots.
    pub class_order: Vec<Class>,
    /// `class_floor_percent`: part of the slots that later classes keep together.
    pub class_floor_percent: u32,
    /// `queue_bound`: most requests and jobs of one team waiting at one entry instance.
    pub queue_bound: u32,
    /// `max_deadline_ms`: longest deadline of a request; also the default.
    pub max_deadline: Duration,
    /// `urgent_start_ms`: urgent work starts within this time or is refused early.
    pub urgent_start: Duration,
    /// `unavailable_percent`: most instances of a pool down at once, unplanned ones included.
    pub unavailable_percent: u32,
    /// `unavailable_per_rack`: most instances of one rack drained at once.
    pub unavailable_per_rack: u32,
    /// `drain_timeout_ms`: a drain waits this long for running work, then checkpoints and stops jobs.
    pub drain_timeout: Duration,
    /// `maintenance_days`: every instance is maintained once in this time.
    pub maintenance_interval: Duration,
    /// `reserve_percent`: part of each team's limit that entry instances hold without a lease.
    pub reserve_percent: u32,
    /// `stale_limit_ms`: a view older than this admits nothing; `None` (`never`) for no bound.
    pub stale_limit: Option<Duration>,
    /// `buffer_percent`: spare slots that a pool keeps above its measured need, at most.
    pub buffer_percent: u32,
}

/// `[service NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub profile: ProfileId,
    pub pool: PoolId,
    /// Team that work without a key counts for; `None` when a key is needed.
    pub open_to: Option<TeamId>,
    /// Class of requests that do not name one.
    pub class: Class,
}
