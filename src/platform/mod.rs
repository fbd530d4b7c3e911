//! Translates between the users' platform and the product: settings file, metadata store, list of
//! workers, workers, machines, and callers' jobs. The platform's names are known
//! only here; everything outside this folder uses the product's types.

pub mod boot;
pub mod declared;
pub mod http;
pub mod ingress;
pub mod json;
pub mod machines;
pub mod registry;
pub mod runner;
pub mod store;
