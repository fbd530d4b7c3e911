//! Fleet capacity and maintenance manager: admission, routing, limits, maintenance and recovery
//! between callers and upstreams. `docs/design.md` describes the division into modules.

pub mod admin;
pub mod api;
pub mod catalogue;
pub mod cli;
pub mod config;
pub mod connection;
pub mod difference;
pub mod event;
pub mod exit;
pub mod file;
pub mod hold;
pub mod ids;
pub mod kind;
pub mod lease;
pub mod metrics;
pub mod node;
pub mod operate;
pub mod outbox;
pub mod protocol;
pub mod record;
pub mod replica;
pub mod report;
pub mod reqid;
pub mod settings;
pub mod snapshot;
pub mod standin;
pub mod standin_command;
pub mod standin_platform;
mod standin_tasks;
pub mod standin_upstream;
pub mod state;
pub mod stop_signal;
