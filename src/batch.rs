//! Batch work on a fleet of workers: jobs of many tasks, the workers that run them, and the one
//! owner that decides. Nothing here has I/O, a clock or randomness of its own.

pub mod declarations;
pub mod forecast;
pub mod job;
pub mod maintenance;
pub mod moves;
pub mod ordered_machines;
pub mod orders;
pub mod owner;
pub mod placement;
pub mod records;
pub mod scheduler;
pub mod worker;
