//! Fleet capacity and maintenance manager: admission, routing, limits, maintenance and recovery
//! between callers and upstreams. `docs/design.md` describes the division into modules.

pub mod config;
pub mod connection;
pub mod health;
pub mod ids;
pub mod kind;
pub mod load;
pub mod platform;
pub mod protocol;
pub mod record;
pub mod retry;
pub mod standin;
pub mod standin_platform;
mod standin_tasks;
pub mod standin_upstream;
pub mod transport;
pub mod upstream;
