//! Fleet capacity and maintenance manager: admission, routing, limits, maintenance and recovery
//! between callers and upstreams. `docs/design.md` describes the division into modules.

pub mod api;
pub mod config;
pub mod connection;
pub mod file;
pub mod ids;
pub mod kind;
pub mod protocol;
pub mod record;
pub mod settings;
pub mod standin;
pub mod standin_platform;
mod standin_tasks;
pub mod standin_upstream;
pub mod state;
