//! Operator declarations for queues, pools, teams, zones and maintenance waves, and the bounds set
//! by the platform.

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
    /// Starts and ends with `/`.
    pub path_prefix: Arc<str>,
    pub pool: PoolId,
    /// Lower values run first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails; at least 1.
    pub max_attempts: u32,
    /// Latency objective of a job, as a multiple of the estimated run time of its critical path.
    pub slack_factor: f64,
    /// Constant added to the latency objective.
    pub target_latency: Duration,
    /// Accepts requests without a key.
    pub public: bool,
    /// Only workers approved by the advisory service may run its steps. The advisory service is not
    /// called yet, so jobs of such a queue wait.
    pub requires_advice: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Workers reject tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Its machines are switched off and cost nothing.
    pub standby: bool,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub weight: u32,
    /// Number of jobs per second up to which its jobs go before those of teams that send more; `None` for no limit.
    pub job_rate: Option<u32>,
    /// Upper limit of the resources in use; zero means no limit for that resource.
    pub limit: Resources,
}

/// A maintenance wave: a set of machines due for maintenance.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    pub number: u64,
    pub machines: Vec<Arc<str>>,
    pub duration: Duration,
    pub max_at_once: u32,
}

/// What one request of a caller may send, and how long it may take to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    pub max_head_bytes: usize,
    pub max_body_bytes: usize,
    /// Time from the first byte of a head, or of empty lines before it, to its end.
    pub head_timeout: Duration,
    /// Time without a byte between two requests, and within a body.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// The limits until operators declare others. They are those of the platform's pages for callers.
    fn default() -> RequestLimits {
        RequestLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    pub version: u64,
    pub queues: Vec<Queue>,
    pub pools: IndexMap<PoolId, Pool>,
    pub teams: IndexMap<TeamId, Team>,
    /// Team of each valid key.
    pub keys: IndexMap<Arc<str>, TeamId>,
    pub request_limits: RequestLimits,
}

impl Declarations {
    /// Returns the queue for a request: the host must match, and the longest matching path prefix
    /// wins.
    pub fn queue_for_request(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| &*q.host == host && path.starts_with(&*q.path_prefix);
        self.queues.iter().filter(fits).max_by_key(|q| q.path_prefix.len())
    }

    /// Returns the queue with this id.
    pub fn queue(&self, id: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.id == id)
    }
}

/// The operator configuration in effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveConfig {
    pub declarations: Arc<Declarations>,
    pub zones_out: IndexSet<ZoneId>,
    pub waves: IndexMap<u64, Wave>,
}

/// Bounds that the platform sets for orders to workers and machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub max_stop_duration: Duration,
    /// Longest time that a withdrawn key may still be accepted after its withdrawal was stored.
    pub max_revocation_delay: Duration,
    /// How long an ended job remains queryable.
    pub ended_job_retention: Duration,
    /// Minimum time between orders of two different holders for the same machine.
    pub holder_gap: Duration,
}
