//! Reads and checks INI files: settings of an entry instance, and declarations.
//!
//! A check does not stop at the first mistake; one run reports all of them.

use crate::config::{Config, Mistake, SectionReader, did_you_mean};
use crate::file::{FileMistake, FileSections};
use crate::ids::*;
use crate::instance::run_settings::{self, RunSettings};
use crate::record::SectionChange;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Keys and values by section header, for example `profile guarded`.
pub type SectionValues = IndexMap<String, IndexMap<String, String>>;

/// Settings of one entry instance, fixed while the process runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// `[entry] id`: name of this entry instance, unique in the fleet and in the format of `NAME_FORMAT`.
    pub id: EntryId,
    /// `[entry] zone`: availability zone that the process runs in.
    pub zone: ZoneId,
    /// `[entry] http_addr`: IP address and port for callers and operators; port 0 lets the system choose.
    pub http_addr: SocketAddr,
    /// `[entry] peer_addr`: IP address and port for other entry instances; port 0 lets the system choose.
    pub peer_addr: SocketAddr,
    /// `[entry] platform_addr`: IP address and port of the platform's service.
    pub platform_addr: SocketAddr,
    /// `[entry] peers`: peer addresses of other entry instances, contacted if the platform does not
    /// respond before any peer is known from the log.
    pub peers: Vec<SocketAddr>,
    /// `[entry] entry_instances`: number of entry instances in the whole fleet. Each team's reserve is
    /// divided by it, so it must be the same on all of them.
    pub entry_instances: u32,
    /// `[limits] body_bytes`: maximum length of a request body in bytes.
    pub body_bytes: u64,
    /// `[limits] header_bytes`: maximum length of a request head in bytes.
    pub header_bytes: u32,
    /// `[limits] requests`: maximum number of requests in progress and waiting.
    pub requests: u32,
    /// `[limits] upstream_connections`: maximum number of connections to one upstream.
    pub upstream_connections: u32,
    /// `[limits] connect_timeout_ms`: timeout for connecting to an upstream, a peer or the platform.
    pub connect_timeout: Duration,
    /// `[limits] platform_timeout_ms`: timeout for a response of the platform, in addition to the wait of
    /// a long poll.
    pub platform_timeout: Duration,
    /// `[limits] peer_timeout_ms`: timeout for a response of another entry instance.
    pub peer_timeout: Duration,
    /// `[limits] stop_timeout_ms`: maximum time after SIGTERM for work in progress to finish.
    pub stop_timeout: Duration,
    /// `[limits] worker_threads`: number of threads that serve requests.
    pub worker_threads: u32,
    /// `[log] format`: output format of the events on standard error.
    pub log_format: LogFormat,
    /// `[log] level`: minimum severity of the events that are written.
    pub log_level: LogLevel,
}

/// Output format of log events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    Debug,
    Info,
    Warning,
    Error,
}

impl Settings {
    /// Creates settings with the default limits for a fleet of one entry instance.
    pub fn new(
        id: EntryId,
        zone: ZoneId,
        http_addr: SocketAddr,
        peer_addr: SocketAddr,
        platform_addr: SocketAddr,
    ) -> Settings {
        Settings {
            id,
            zone,
            http_addr,
            peer_addr,
            platform_addr,
            peers: Vec::new(),
            entry_instances: 1,
            body_bytes: 16 * 1024 * 1024,
            header_bytes: 16 * 1024,
            requests: 4_096,
            upstream_connections: 64,
            connect_timeout: Duration::from_millis(250),
            platform_timeout: Duration::from_millis(1_000),
            peer_timeout: Duration::from_millis(500),
            stop_timeout: Duration::from_secs(30),
            worker_threads: 2,
            log_format: LogFormat::Json,
            log_level: LogLevel::Info,
        }
    }
}

/// Content of a file without mistakes.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedFile {
    Settings(Box<Settings>),
    RunSettings(Box<RunSettings>),
    Declarations(Box<Config>),
}

/// Checks a file of any kind. A file with an `[entry]` section contains settings of an entry instance, one
/// with a section of `run_settings` those of `run`, any other declarations.
pub fn check(file: &str, text: &str) -> Result<CheckedFile, Vec<FileMistake>> {
    let (sections, _) = FileSections::read(file, text);
    if sections.sections.contains_key("entry") {
        return read_settings(file, text).map(|settings| CheckedFile::Settings(Box::new(settings)));
    }
    if run_settings::SECTION_NAMES.iter().any(|name| sections.sections.contains_key(*name)) {
        let settings = run_settings::read(file, text);
        return settings.map(|settings| CheckedFile::RunSettings(Box::new(settings)));
    }
    check_declarations(file, text).map(|cfg| CheckedFile::Declarations(Box::new(cfg)))
}

/// Reads the sections of a declarations file without checking their content.
pub fn read_declarations(file: &str, text: &str) -> Result<SectionValues, Vec<FileMistake>> {
    let (sections, mistakes) = FileSections::read(file, text);
    if mistakes.is_empty() { Ok(section_values(sections)) } else { Err(mistakes) }
}

/// Reads and checks a declarations file.
pub fn check_declarations(file: &str, text: &str) -> Result<Config, Vec<FileMistake>> {
    let (sections, mut mistakes) = FileSections::read(file, text);
    let mut cfg = Config::new();
    if let Err(found) = cfg.change(&section_additions(section_values(sections.clone()))) {
        mistakes.extend(sections.locate(found));
    }
    if sections.sections.is_empty() && mistakes.is_empty() {
        let missing =
            Mistake::in_section("", "[zone ..], [team ..], ..", "the file has no section");
        mistakes.extend(sections.locate(vec![missing]));
    }
    value_or_mistakes(cfg, mistakes)
}

/// Returns the changes that add the sections to an empty configuration.
pub fn section_additions(section_values: SectionValues) -> Vec<SectionChange> {
    let add = |(section, body)| SectionChange { section, base: None, body: Some(body) };
    section_values.into_iter().map(add).collect()
}

/// Reads and checks a settings file of an entry instance.
pub fn read_settings(file: &str, text: &str) -> Result<Settings, Vec<FileMistake>> {
    let (sections, mut mistakes) = FileSections::read(file, text);
    let mut found = Vec::new();
    let settings = parse_settings(&sections, &mut found);
    mistakes.extend(sections.locate(found));
    value_or_mistakes(settings, mistakes)
}

fn value_or_mistakes<T>(value: T, mut mistakes: Vec<FileMistake>) -> Result<T, Vec<FileMistake>> {
    mistakes.sort_by_key(|mistake| mistake.line);
    if mistakes.is_empty() { Ok(value) } else { Err(mistakes) }
}

/// Returns the keys and values by section header.
pub fn section_values(sections: FileSections) -> SectionValues {
    sections.sections.into_iter().map(|(name, section)| (name, section.values)).collect()
}

const SECTION_NAMES: [&str; 3] = ["entry", "limits", "log"];

fn parse_settings(sections: &FileSections, mistakes: &mut Vec<Mistake>) -> Settings {
    check_sections(sections, mistakes);
    let empty = IndexMap::new();
    let values = |name: &str| sections.sections.get(name).map_or(&empty, |found| &found.values);
    let mut settings = parse_entry(values("entry"), mistakes);
    parse_limits(&mut settings, values("limits"), mistakes);
    parse_log(&mut settings, values("log"), mistakes);
    settings
}

fn check_sections(sections: &FileSections, mistakes: &mut Vec<Mistake>) {
    let allowed = SECTION_NAMES.map(|name| format!("[{name}]")).join(", ");
    for name in sections.sections.keys().filter(|name| !SECTION_NAMES.contains(&name.as_str())) {
        let message = format!("unknown section{}", did_you_mean(name, SECTION_NAMES));
        mistakes.push(Mistake::in_section(name, &allowed, &message));
    }
    if !sections.sections.contains_key("entry") {
        mistakes.push(Mistake::in_section("entry", &allowed, "the section is missing"));
    }
}

/// Accepted number of entry instances. The design has 9; divided among more than 64, a team's reserve
/// is less than one unit.
const ENTRY_INSTANCES_RANGE: RangeInclusive<u32> = 1..=64;

fn parse_entry(values: &IndexMap<String, String>, mistakes: &mut Vec<Mistake>) -> Settings {
    let mut reader = SectionReader::new("entry", values, mistakes);
    let id = reader.name("id");
    let zone = reader.name("zone");
    let http_addr = parse_required_address(&mut reader, "http_addr", PortZero::Allowed);
    let peer_addr = parse_required_address(&mut reader, "peer_addr", PortZero::Allowed);
    let platform_addr = parse_required_address(&mut reader, "platform_addr", PortZero::Refused);
    let mut settings = Settings::new(id, zone, http_addr, peer_addr, platform_addr);
    settings.peers = parse_peers(&mut reader, peer_addr);
    settings.entry_instances = reader.number("entry_instances", ENTRY_INSTANCES_RANGE, None);
    check_addresses(&mut reader, &settings);
    check_entry_instances(&mut reader, &settings);
    reader.finish();
    settings
}

/// Whether an address may have port 0.
#[derive(Clone, Copy, PartialEq)]
enum PortZero {
    Allowed,
    Refused,
}

/// Placeholder for an address that is missing or malformed.
const PLACEHOLDER_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn parse_required_address(
    reader: &mut SectionReader,
    key: &'static str,
    port_zero: PortZero,
) -> SocketAddr {
    let value = reader.required(key, ADDRESS_FORMAT);
    if !reader.has(key) {
        return PLACEHOLDER_ADDR;
    }
    parse_address(reader, key, value, port_zero).unwrap_or(PLACEHOLDER_ADDR)
}

const ADDRESS_FORMAT: &str = "an IP address and port, such as 10.1.0.7:7801";

fn parse_address(
    reader: &mut SectionReader,
    key: &str,
    value: &str,
    port_zero: PortZero,
) -> Option<SocketAddr> {
    let Ok(addr) = value.parse::<SocketAddr>() else {
        reader.mistake(key, value, ADDRESS_FORMAT, "not an IP address and port");
        return None;
    };
    if addr.ip().is_unspecified() {
        // Other processes connect to this address, which is impossible with 0.0.0.0.
        reader.mistake(key, value, ADDRESS_FORMAT, "the address must be one that others can reach");
        return None;
    }
    if addr.port() == 0 && port_zero == PortZero::Refused {
        reader.mistake(key, value, ADDRESS_FORMAT, "the port must not be 0");
        return None;
    }
    Some(addr)
}

fn parse_peers(reader: &mut SectionReader, own_addr: SocketAddr) -> Vec<SocketAddr> {
    let mut peers = Vec::new();
    let value = reader.get("peers").unwrap_or("");
    if value.is_empty() {
        return peers;
    }
    for item in value.split(',').map(str::trim) {
        let Some(addr) = parse_address(reader, "peers", item, PortZero::Refused) else { continue };
        if addr == own_addr {
            reader.mistake("peers", item, "other entry instances", "this is the own peer_addr");
        } else if peers.contains(&addr) {
            reader.mistake("peers", item, "each address once", "the address occurs again");
        } else {
            peers.push(addr);
        }
    }
    peers
}

fn check_addresses(reader: &mut SectionReader, settings: &Settings) {
    let addresses = [
        ("http_addr", settings.http_addr),
        ("peer_addr", settings.peer_addr),
        ("platform_addr", settings.platform_addr),
    ];
    for (i, (key, addr)) in addresses.iter().enumerate() {
        let same = addresses[..i].iter().find(|(_, other)| other == addr && addr.port() != 0);
        if let Some((other, _)) = same {
            let message = format!("the address is the same as {other}");
            reader.mistake(key, &addr.to_string(), "an address of its own", &message);
        }
    }
}

fn check_entry_instances(reader: &mut SectionReader, settings: &Settings) {
    let min_instances = settings.peers.len() + 1;
    let covers_peers = settings.entry_instances as usize >= min_instances;
    if !covers_peers && reader.has("entry_instances") {
        let found = settings.entry_instances.to_string();
        let allowed = format!("at least {min_instances}, this instance and its peers");
        reader.mistake("entry_instances", &found, &allowed, "fewer instances than addresses");
    }
}

/// Accepted request and connect timeouts in milliseconds. A shorter one expires on a scheduling delay;
/// a longer one keeps a caller waiting past its deadline.
const TIMEOUT_RANGE_MS: RangeInclusive<u32> = 10..=60_000;

fn parse_limits(
    settings: &mut Settings,
    values: &IndexMap<String, String>,
    mistakes: &mut Vec<Mistake>,
) {
    let mut reader = SectionReader::new("limits", values, mistakes);
    let defaults = settings.clone();
    let body_bytes = Some(defaults.body_bytes as u32);
    settings.body_bytes = reader.number("body_bytes", 1..=1_073_741_824, body_bytes).into();
    settings.header_bytes =
        reader.number("header_bytes", 1_024..=65_536, Some(defaults.header_bytes));
    settings.requests = reader.number("requests", 1..=100_000, Some(defaults.requests));
    settings.upstream_connections =
        reader.number("upstream_connections", 1..=1_024, Some(defaults.upstream_connections));
    settings.connect_timeout =
        reader.millis("connect_timeout_ms", TIMEOUT_RANGE_MS, defaults.connect_timeout);
    settings.platform_timeout =
        reader.millis("platform_timeout_ms", TIMEOUT_RANGE_MS, defaults.platform_timeout);
    settings.peer_timeout =
        reader.millis("peer_timeout_ms", TIMEOUT_RANGE_MS, defaults.peer_timeout);
    settings.stop_timeout = reader.millis("stop_timeout_ms", 0..=3_600_000, defaults.stop_timeout);
    settings.worker_threads =
        reader.number("worker_threads", 1..=64, Some(defaults.worker_threads));
    reader.finish();
}

const LOG_FORMATS: [(&str, LogFormat); 2] =
    [("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];
const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("debug", LogLevel::Debug),
    ("info", LogLevel::Info),
    ("warning", LogLevel::Warning),
    ("error", LogLevel::Error),
];

fn parse_log(
    settings: &mut Settings,
    values: &IndexMap<String, String>,
    mistakes: &mut Vec<Mistake>,
) {
    let mut reader = SectionReader::new("log", values, mistakes);
    settings.log_format = reader.keyword("format", &LOG_FORMATS, settings.log_format);
    settings.log_level = reader.keyword("level", &LOG_LEVELS, settings.log_level);
    reader.finish();
}
