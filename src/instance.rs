//! One instance on the users' platform: takes jobs from callers, follows what operators declare, and
//! stands ready to own the decisions about all batch work.

pub mod boottime;
pub mod config;
pub mod follow;
pub mod front;
pub mod intake;
pub mod peers;
pub mod process;
pub mod shared;
pub mod term;
pub mod upkeep;
pub mod workers;
