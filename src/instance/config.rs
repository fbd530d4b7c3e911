//! Configuration of an instance.

use crate::batch::declarations::Bounds;
use crate::ids::{EntryId, ZoneId};
use crate::instance::caller_limits::ProcessRoom;
use crate::instance::run_settings::RunSettings;
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

impl MachineSize {
    /// Returns the capacity relative to another machine's, in the resource that falls behind most.
    pub fn lowest_ratio(&self, other: &MachineSize) -> f64 {
        self.ratios(other).into_iter().fold(f64::INFINITY, f64::min)
    }

    /// Whether the machine is `factor` times larger than another in one resource, and smaller in
    /// none.
    pub fn is_larger(&self, other: &MachineSize, factor: f64) -> bool {
        let ratios = self.ratios(other);
        ratios.iter().all(|r| *r >= 1.0) && ratios.iter().any(|r| *r >= factor)
    }

    /// A resource that is unknown on one of the machines counts as equal.
    fn ratios(&self, other: &MachineSize) -> [f64; 2] {
        let ratio = |own: u32, other: u32| match (own, other) {
            (0, _) | (_, 0) => 1.0,
            _ => f64::from(own) / f64::from(other),
        };
        [
            ratio(self.processors_milli, other.processors_milli),
            ratio(self.link_mbps, other.link_mbps),
        ]
    }
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
    /// Partitions of each topic of the store, at least 1.
    pub store_partitions: u32,
    /// Address of the service that manages the machines, `IP:PORT`.
    pub machines_addr: Option<String>,
    /// Time between the stop signal and the forced end of the process.
    pub stop_timeout: Duration,
    pub machine: MachineSize,
    pub room: ProcessRoom,
    pub bounds: Bounds,
    /// The product's own settings.
    pub settings: RunSettings,
}
