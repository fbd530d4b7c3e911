//! What operators have declared about queues, pools, teams, zones and maintenance waves, and the
//! bounds that the platform sets.

use crate::batch::job::QueueId;
use crate::fair::Resources;
use crate::ids::{PoolId, TeamId, ZoneId};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Which requests belong to a queue, and how its jobs run.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub id: QueueId,
    pub host: Arc<str>,
    /// Begins and ends with `/`.
    pub path_prefix: Arc<str>,
    pub pool: PoolId,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails; at least 1.
    pub max_attempts: u32,
    /// Objective of a job as a multiple of its longest chain of work.
    pub slack_factor: f64,
    /// Added to the objective.
    pub target_latency: Duration,
    /// Open to callers without a key.
    pub public: bool,
    /// Only workers that the advisory service allows may run its steps. Nobody asks it yet, so such a
    /// queue's jobs wait.
    pub requires_advice: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Its machines are off and cost nothing.
    pub standby: bool,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub weight: u32,
    /// Most that it may have running; zero in a resource for no limit.
    pub limit: Resources,
}

/// Machines due for maintenance.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    pub number: u64,
    pub machines: Vec<Arc<str>>,
    pub duration: Duration,
    pub max_at_once: u32,
}

/// One version of the operators' declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    pub version: u64,
    pub queues: Vec<Queue>,
    pub pools: IndexMap<PoolId, Pool>,
    pub teams: IndexMap<TeamId, Team>,
    /// Team of each key in force.
    pub keys: IndexMap<Arc<str>, TeamId>,
}

impl Declarations {
    /// The queue of a request: its host and the longest prefix that the path begins with.
    pub fn queue_for_request(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| &*q.host == host && path.starts_with(&*q.path_prefix);
        self.queues.iter().filter(fits).max_by_key(|q| q.path_prefix.len())
    }

    /// The queue with this id.
    pub fn queue(&self, id: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.id == id)
    }
}

/// Everything that operators have in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveConfig {
    pub declarations: Arc<Declarations>,
    pub zones_out: IndexSet<ZoneId>,
    pub waves: IndexMap<u64, Wave>,
}

/// Bounds that the platform sets for orders to workers and machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest lease.
    pub max_lease: Duration,
    /// A withdrawn key must not work longer than this after the withdrawal was stored.
    pub max_revocation_delay: Duration,
    /// Time in which a job that ended stays known.
    pub ended_job_retention: Duration,
    /// Two holders of one machine stay this far apart.
    pub holder_gap: Duration,
}
