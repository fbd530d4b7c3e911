//! Fleet capacity and maintenance manager: admission, routing, limits, maintenance and recovery
//! between callers and upstreams. `docs/design.md` describes the division into modules.

pub mod baseline;
pub mod buffer;
pub mod chart;
pub mod config;
pub mod decision_cost;
pub mod driver;
pub mod fair;
pub mod fleet;
pub mod ids;
pub mod kind;
pub mod learn;
pub mod maintenance;
pub mod measure;
pub mod placement;
pub mod pools;
pub mod protocol;
pub mod queue;
pub mod record;
pub mod sched;
