//! The settings file that the platform writes for a process.

use crate::batch::declarations::Bounds;
use crate::instance::config::InstanceConfig;
use crate::platform::json;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "JACINTHHOOK_BOOT";

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
pub enum BootError {
    /// The variable with the path is not set.
    #[snafu(display("{PATH_VARIABLE} is not set"))]
    NoPath,
    /// The file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read { path: String, source: std::io::Error },
    /// The file is not JSON.
    #[snafu(display("{path}: {source}"))]
    Json { path: String, source: serde_json::Error },
    /// A field is missing or has another type.
    #[snafu(display("settings field {field} is missing or malformed"))]
    Field { field: &'static str },
}

/// Reads the settings of this process.
pub fn load() -> Result<InstanceConfig, BootError> {
    let path = std::env::var(PATH_VARIABLE).ok().context(NoPathSnafu)?;
    let text = std::fs::read(&path).context(ReadSnafu { path: path.clone() })?;
    let value = serde_json::from_slice(&text).context(JsonSnafu { path })?;
    decode(&value)
}

/// Settings from the platform's fields.
pub fn decode(value: &Value) -> Result<InstanceConfig, BootError> {
    let bounds = value.get("bounds").cloned().unwrap_or_default();
    let ip = parse::<IpAddr>(Some(value), "ip")?;
    let listen = value.get("bindAddrs");
    // First and last port that are free between processes of the system.
    let first_port = json::list(value, "portRange").first().and_then(Value::as_u64);
    let first_port = first_port.and_then(|p| u16::try_from(p).ok());
    let first_port = first_port.context(FieldSnafu { field: "portRange" })?;
    let last_port = json::list(value, "portRange").get(1).and_then(Value::as_u64);
    let address = |section: &str| {
        let section = value.get(section)?;
        json::some_text(section, "address").map(|a| a.to_string())
    };
    Ok(InstanceConfig {
        name: json::some_text(value, "nodeName").context(FieldSnafu { field: "nodeName" })?,
        zone: json::some_text(value, "zone").context(FieldSnafu { field: "zone" })?,
        callers: parse::<SocketAddr>(listen, "frontend")?,
        readiness: parse::<SocketAddr>(listen, "readiness")?,
        peers: SocketAddr::new(ip, first_port),
        metrics: last_port
            .filter(|last| *last > u64::from(first_port))
            .map(|_| SocketAddr::new(ip, first_port + 1)),
        store: address("platform").context(FieldSnafu { field: "platform.address" })?,
        machines: address("cloud"),
        stop_within: json::seconds(&bounds, "graceS").unwrap_or(Duration::from_secs(6)),
        bounds: Bounds {
            max_lease: at_least(json::millis(&bounds, "maxHoldMs"), 1_000),
            max_revocation_delay: at_least(json::millis(&bounds, "revokeMs"), 1_000),
            ended_job_retention: json::seconds(&bounds, "status_s")
                .unwrap_or(Duration::from_secs(120)),
            holder_gap: json::millis(&bounds, "leaseMs"),
        },
    })
}

fn at_least(time: Duration, ms: u64) -> Duration {
    time.max(Duration::from_millis(ms))
}

fn parse<T: std::str::FromStr>(value: Option<&Value>, field: &'static str) -> Result<T, BootError> {
    let text = value.map_or("", |v| json::text(v, field));
    text.parse().ok().context(FieldSnafu { field })
}
