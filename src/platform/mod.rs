//! Adapter to the users' platform: settings file, metadata store, worker registry, workers,
//! machines, and callers' jobs. The platform's names appear only here; all code outside this module
//! uses the product's types.

pub mod boot_settings;
pub mod http;
pub mod job_fields;
pub mod job_format;
pub mod json;
pub mod machines;
pub mod operator_records;
pub mod registry;
pub mod store;
pub mod worker_client;
pub mod worker_connections;
