//! Model of the platform around the owner: workers, transport, store, and the checks.

pub mod command;
pub mod messages;
pub mod oracle;
pub mod process;
pub mod run;
pub mod trace;
pub mod worker;
pub mod world;
