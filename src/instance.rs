//! One instance on the users' platform. It accepts jobs from callers, follows the operators'
//! declarations, and takes part in the election of the owner, the instance that decides about all
//! batch work.

pub mod append_queue;
pub mod boottime;
pub mod caller_limits;
pub mod config;
pub mod connection_table;
pub mod election;
pub mod http_api;
pub mod listener;
pub mod machine_orders;
pub mod owner_load;
pub mod peers;
pub mod process;
pub mod repeated_append;
pub mod run_settings;
pub mod shared;
pub mod start_attempts;
pub mod submissions;
pub mod tasks;
pub mod term;
pub mod topics;
pub mod unreadable_records;
pub mod wave_reports;
pub mod workers;
