//! Configuration of an instance.

use crate::batch::declarations::Bounds;
use crate::ids::{EntryId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Processor and network capacity of the machine on which an instance runs. 0 stands for unknown.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MachineSize {
    /// Thousandths of a processor of normal speed.
    pub processors_milli: u32,
    /// Bandwidth of the machine's link in Mbit/s.
    pub link_mbps: u32,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceConfig {
    pub name: EntryId,
    pub zone: ZoneId,
    /// Address for callers.
    pub callers_addr: SocketAddr,
    /// Address for the load balancer's readiness probes.
    pub readiness_addr: SocketAddr,
    /// Address for other instances.
    pub peers_addr: SocketAddr,
    /// Address for metrics; `None` if the platform assigns no port for them.
    pub metrics_addr: Option<SocketAddr>,
    /// Address of the metadata store, `IP:PORT`.
    pub store_addr: String,
    /// Address of the service that manages the machines, `IP:PORT`.
    pub machines_addr: Option<String>,
    /// Time between the stop signal and the forced end of the process.
    pub stop_timeout: Duration,
    pub machine: MachineSize,
    pub bounds: Bounds,
}
