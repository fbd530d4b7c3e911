//! Batch work on a fleet of workers: jobs of many tasks, the workers that run them, and the one
//! owner that decides. Nothing here has I/O, a clock or randomness of its own.

pub mod declared;
pub mod forecast;
pub mod job;
pub mod ledger;
pub mod moves;
pub mod order;
pub mod owner;
pub mod place;
pub mod plan;
pub mod touched;
pub mod upkeep;
pub mod worker;
