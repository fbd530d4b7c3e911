//! The settings file that the platform writes for a process.

use crate::batch::declarations::Bounds;
use crate::instance::caller_limits::ProcessRoom;
use crate::instance::config::{InstanceConfig, MachineSize};
use crate::instance::run_settings::RunSettings;
use crate::platform::json;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "JACINTHHOOK_BOOT";

/// Error while loading the settings.
#[derive(Debug, Snafu)]
pub enum BootSettingsError {
    /// The variable with the path is not set.
    #[snafu(display("{SETTINGS_PATH_VARIABLE} is not set"))]
    NoPath,
    /// The file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read { path: String, source: std::io::Error },
    /// The file is not JSON.
    #[snafu(display("{path}: {source}"))]
    Json { path: String, source: serde_json::Error },
    /// A field is missing or has the wrong type.
    #[snafu(display("settings field {field} is missing or malformed"))]
    Field { field: &'static str },
}

/// Loads the settings of this process.
pub fn load() -> Result<InstanceConfig, BootSettingsError> {
    let path = std::env::var(SETTINGS_PATH_VARIABLE).ok().context(NoPathSnafu)?;
    let text = std::fs::read(&path).context(ReadSnafu { path: path.clone() })?;
    let value = match json::parse_tolerant(&text) {
        Some(value) => value,
        None => serde_json::from_slice(&text).context(JsonSnafu { path })?,
    };
    decode(&value)
}

/// Decodes the platform's settings.
pub fn decode(value: &Value) -> Result<InstanceConfig, BootSettingsError> {
    let bounds = value.get("bounds").cloned().unwrap_or_default();
    let ip = parse_field::<IpAddr>(Some(value), "ip")?;
    let bind_addrs = value.get("bindAddrs");
    // First and last of the ports reserved for use between the system's processes.
    let first_port = json::list(value, "portRange").first().and_then(Value::as_u64);
    let first_port = first_port.and_then(|p| u16::try_from(p).ok()).filter(|p| *p > 0);
    let first_port = first_port.context(FieldSnafu { field: "portRange" })?;
    let last_port = json::list(value, "portRange").get(1).and_then(Value::as_u64);
    let second_port = first_port.checked_add(1);
    let address = |section: &str| {
        let section = value.get(section)?;
        json::non_empty_text(section, "address").map(|a| a.to_string())
    };
    Ok(InstanceConfig {
        name: json::non_empty_text(value, "nodeName").context(FieldSnafu { field: "nodeName" })?,
        zone: json::non_empty_text(value, "zone").context(FieldSnafu { field: "zone" })?,
        callers_addr: parse_field::<SocketAddr>(bind_addrs, "frontend")?,
        readiness_addr: parse_field::<SocketAddr>(bind_addrs, "readiness")?,
        peers_addr: SocketAddr::new(ip, first_port),
        metrics_addr: second_port
            .filter(|port| last_port.is_some_and(|last| last >= u64::from(*port)))
            .map(|port| SocketAddr::new(ip, port)),
        store_addr: address("platform").context(FieldSnafu { field: "platform.address" })?,
        store_partitions: value.get("platform").map_or(1, |p| json::number_u32(p, "parts")).max(1),
        machines_addr: address("cloud"),
        stop_timeout: json::seconds(&bounds, "graceS").unwrap_or(Duration::from_secs(6)),
        machine: decode_machine_size(value.get("limits")),
        room: decode_room(value.get("limits")),
        bounds: Bounds {
            max_lease: at_least(json::millis(&bounds, "maxHoldMs"), 1_000),
            max_stop_duration: json::millis(&bounds, "stopMs"),
            max_revocation_delay: at_least(json::millis(&bounds, "revokeMs"), 1_000),
            ended_job_retention: json::seconds(&bounds, "status_s")
                .unwrap_or(Duration::from_secs(120)),
            holder_gap: json::millis(&bounds, "leaseMs"),
        },
        settings: RunSettings::default(),
    })
}

/// Decodes the limits of the machine.
fn decode_machine_size(limits: Option<&Value>) -> MachineSize {
    let number = |name| limits.and_then(|l| l.get(name)).and_then(Value::as_f64);
    // `cores` is the speed of the processor, not a number of processors.
    let processors = number("cpuShare").unwrap_or(0.0) * number("cores").unwrap_or(1.0);
    MachineSize {
        processors_milli: (processors * 1_000.0) as u32,
        link_mbps: number("linkMbps").unwrap_or(0.0) as u32,
    }
}

/// Decodes what the process may use of the machine. What is missing is what the system says.
fn decode_room(limits: Option<&Value>) -> ProcessRoom {
    let number = |name| limits.map_or(0, |l| json::number(l, name)) as usize;
    let system = ProcessRoom::of_system();
    let known = |number, unit, default| match number {
        0 => default,
        number => usize::saturating_mul(number, unit),
    };
    ProcessRoom {
        memory: known(number("memoryMb"), 1 << 20, system.memory),
        descriptors: known(number("maxFds"), 1, system.descriptors),
    }
}

fn at_least(time: Duration, ms: u64) -> Duration {
    time.max(Duration::from_millis(ms))
}

fn parse_field<T: std::str::FromStr>(
    value: Option<&Value>,
    field: &'static str,
) -> Result<T, BootSettingsError> {
    let text = value.map_or("", |v| json::text(v, field));
    text.parse().ok().context(FieldSnafu { field })
}
