//! Batch work on a fleet of workers: jobs with many tasks, the workers that run them, and the
//! owner, the single instance that makes all decisions. The code here does no I/O and reads no
//! clock or random numbers; callers pass in the time.

pub mod crashes;
pub mod declarations;
pub mod drains;
pub mod forecast;
pub mod job;
pub mod maintenance;
pub mod moves;
pub mod ordered_machines;
pub mod orders;
pub mod overload;
pub mod owner;
pub mod placement;
mod poll_waits;
pub mod pool_room;
pub mod prior_leases;
pub mod record_parts;
pub mod records;
mod run_failures;
pub mod scheduler;
pub mod stray_lease;
pub mod wall_clock;
pub mod worker;
