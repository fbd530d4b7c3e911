//! Settings of an entry instance, and declarations in INI files.
//!
//! Both kinds of file are checked to the end, so that one run reports every mistake.

use crate::config::{Config, Mistake, Reader, nearest};
use crate::file::{FileMistake, FileSections};
use crate::ids::*;
use crate::record::SectionChange;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Keys and values by section, for example `profile guarded`.
pub type SectionValues = IndexMap<String, IndexMap<String, String>>;

/// Settings of one entry instance. They hold for the life of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// `[entry] id`: name of this entry instance, unique in the fleet; the shape of a team name.
    pub id: EntryId,
    /// `[entry] zone`: availability zone that the process runs in.
    pub zone: ZoneId,
    /// `[entry] http_addr`: IP address and port for callers and operators; port 0 lets the system choose.
    pub http_addr: SocketAddr,
    /// `[entry] peer_addr`: IP address and port for other entry instances; port 0 lets the system choose.
    pub peer_addr: SocketAddr,
    /// `[entry] platform_addr`: IP address and port of the platform's service.
    pub platform_addr: SocketAddr,
    /// `[entry] peers`: peer addresses of other entry instances, asked when the platform does not answer
    /// and the log has named none yet.
    pub peers: Vec<SocketAddr>,
    /// `[entry] entry_instances`: entry instances of the whole fleet, by which each team's reserve is
    /// divided. Must be equal on all of them.
    pub entry_instances: u32,
    /// `[limits] body_bytes`: longest body of a request in bytes.
    pub body_bytes: u64,
    /// `[limits] header_bytes`: longest head of a request in bytes.
    pub header_bytes: u32,
    /// `[limits] requests`: most requests in progress and waiting at once.
    pub requests: u32,
    /// `[limits] upstream_connections`: most connections to one upstream.
    pub upstream_connections: u32,
    /// `[limits] connect_timeout_ms`: time for a connection to an upstream, a peer or the platform.
    pub connect_timeout: Duration,
    /// `[limits] platform_timeout_ms`: time for an answer of the platform, beyond a long poll's own wait.
    pub platform_timeout: Duration,
    /// `[limits] peer_timeout_ms`: time for an answer of another entry instance.
    pub peer_timeout: Duration,
    /// `[limits] stop_timeout_ms`: time after SIGTERM for work in progress to finish.
    pub stop_timeout: Duration,
    /// `[limits] worker_threads`: threads that serve requests.
    pub worker_threads: u32,
    /// `[log] format`: how events are written to standard error.
    pub log_format: LogFormat,
    /// `[log] level`: least severity that is written.
    pub log_level: LogLevel,
}

/// How events are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
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
    /// Settings with the default limits for a fleet of one entry instance.
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

/// A file that passed its check.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedFile {
    Settings(Box<Settings>),
    Declarations(Box<Config>),
}

/// Checks a file of either kind; one with a section `[entry]` holds settings.
pub fn check(file: &str, text: &str) -> Result<CheckedFile, Vec<FileMistake>> {
    let (sections, _) = FileSections::read(file, text);
    if sections.sections.contains_key("entry") {
        return read_settings(file, text).map(|settings| CheckedFile::Settings(Box::new(settings)));
    }
    check_declarations(file, text).map(|cfg| CheckedFile::Declarations(Box::new(cfg)))
}

/// Reads the sections of a declarations file without a check of their content.
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
    finish(cfg, mistakes)
}

/// The sections as changes that add them to an empty configuration.
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
    finish(settings, mistakes)
}

fn finish<T>(value: T, mut mistakes: Vec<FileMistake>) -> Result<T, Vec<FileMistake>> {
    mistakes.sort_by_key(|mistake| mistake.line);
    if mistakes.is_empty() { Ok(value) } else { Err(mistakes) }
}

/// Keys and values by section.
pub fn section_values(sections: FileSections) -> SectionValues {
    sections.sections.into_iter().map(|(name, section)| (name, section.values)).collect()
}

/// Sections of a settings file.
const SECTIONS: [&str; 3] = ["entry", "limits", "log"];

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
    let allowed = SECTIONS.map(|name| format!("[{name}]")).join(", ");
    for name in sections.sections.keys().filter(|name| !SECTIONS.contains(&name.as_str())) {
        let message = format!("unknown section{}", nearest(name, SECTIONS));
        mistakes.push(Mistake::in_section(name, &allowed, &message));
    }
    if !sections.sections.contains_key("entry") {
        mistakes.push(Mistake::in_section("entry", &allowed, "the section is missing"));
    }
}

/// Entry instances of a fleet; the design has 9, and a reserve divided further holds no unit.
const ENTRY_INSTANCES: RangeInclusive<u32> = 1..=64;

fn parse_entry(values: &IndexMap<String, String>, mistakes: &mut Vec<Mistake>) -> Settings {
    let mut reader = Reader::new("entry", values, mistakes);
    let id = reader.name("id");
    let zone = reader.name("zone");
    let http_addr = address(&mut reader, "http_addr", PortZero::Allowed);
    let peer_addr = address(&mut reader, "peer_addr", PortZero::Allowed);
    let platform_addr = address(&mut reader, "platform_addr", PortZero::Refused);
    let mut settings = Settings::new(id, zone, http_addr, peer_addr, platform_addr);
    settings.peers = peers(&mut reader, peer_addr);
    settings.entry_instances = reader.number("entry_instances", ENTRY_INSTANCES, None);
    check_addresses(&mut reader, &settings);
    check_fleet(&mut reader, &settings);
    reader.finish();
    settings
}

/// Whether port 0 may stand in an address.
#[derive(Clone, Copy, PartialEq)]
enum PortZero {
    Allowed,
    Refused,
}

/// Stands for an address that has a mistake of its own.
const NO_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn address(reader: &mut Reader, key: &'static str, zero: PortZero) -> SocketAddr {
    let value = reader.required(key, ADDRESS_SHAPE);
    if !reader.has(key) {
        return NO_ADDR;
    }
    parse_address(reader, key, value, zero).unwrap_or(NO_ADDR)
}

const ADDRESS_SHAPE: &str = "an IP address and port, such as 10.1.0.7:7801";

fn parse_address(
    reader: &mut Reader,
    key: &str,
    value: &str,
    zero: PortZero,
) -> Option<SocketAddr> {
    let Ok(addr) = value.parse::<SocketAddr>() else {
        reader.mistake(key, value, ADDRESS_SHAPE, "not an IP address and port");
        return None;
    };
    if addr.ip().is_unspecified() {
        // Other processes are told this address, and nobody can connect to 0.0.0.0.
        reader.mistake(key, value, ADDRESS_SHAPE, "the address must be one that others can reach");
        return None;
    }
    if addr.port() == 0 && zero == PortZero::Refused {
        reader.mistake(key, value, ADDRESS_SHAPE, "the port must not be 0");
        return None;
    }
    Some(addr)
}

fn peers(reader: &mut Reader, own: SocketAddr) -> Vec<SocketAddr> {
    let mut peers = Vec::new();
    let value = reader.get("peers").unwrap_or("");
    if value.is_empty() {
        return peers;
    }
    for item in value.split(',').map(str::trim) {
        let Some(addr) = parse_address(reader, "peers", item, PortZero::Refused) else { continue };
        if addr == own {
            reader.mistake("peers", item, "other entry instances", "this is the own peer_addr");
        } else if peers.contains(&addr) {
            reader.mistake("peers", item, "each address once", "the address occurs again");
        } else {
            peers.push(addr);
        }
    }
    peers
}

fn check_addresses(reader: &mut Reader, settings: &Settings) {
    let named = [
        ("http_addr", settings.http_addr),
        ("peer_addr", settings.peer_addr),
        ("platform_addr", settings.platform_addr),
    ];
    for (i, (key, addr)) in named.iter().enumerate() {
        let earlier = named[..i].iter().find(|(_, other)| other == addr && addr.port() != 0);
        if let Some((other, _)) = earlier {
            let message = format!("the address is the same as {other}");
            reader.mistake(key, &addr.to_string(), "an address of its own", &message);
        }
    }
}

fn check_fleet(reader: &mut Reader, settings: &Settings) {
    let named = settings.peers.len() + 1;
    let known = settings.entry_instances as usize >= named;
    if !known && reader.has("entry_instances") {
        let found = settings.entry_instances.to_string();
        let allowed = format!("at least {named}, this instance and its peers");
        reader.mistake("entry_instances", &found, &allowed, "fewer instances than addresses");
    }
}

/// Times of the edge in milliseconds; a shorter one fails on a scheduling delay, and a longer one keeps
/// a caller waiting after its deadline.
const TIMEOUT_MS: RangeInclusive<u32> = 10..=60_000;

fn parse_limits(
    settings: &mut Settings,
    values: &IndexMap<String, String>,
    mistakes: &mut Vec<Mistake>,
) {
    let mut reader = Reader::new("limits", values, mistakes);
    let own = settings.clone();
    let body_bytes = Some(own.body_bytes as u32);
    settings.body_bytes = reader.number("body_bytes", 1..=1_073_741_824, body_bytes).into();
    settings.header_bytes = reader.number("header_bytes", 1_024..=65_536, Some(own.header_bytes));
    settings.requests = reader.number("requests", 1..=100_000, Some(own.requests));
    settings.upstream_connections =
        reader.number("upstream_connections", 1..=1_024, Some(own.upstream_connections));
    settings.connect_timeout = reader.millis("connect_timeout_ms", TIMEOUT_MS, own.connect_timeout);
    settings.platform_timeout =
        reader.millis("platform_timeout_ms", TIMEOUT_MS, own.platform_timeout);
    settings.peer_timeout = reader.millis("peer_timeout_ms", TIMEOUT_MS, own.peer_timeout);
    settings.stop_timeout = reader.millis("stop_timeout_ms", 0..=3_600_000, own.stop_timeout);
    settings.worker_threads = reader.number("worker_threads", 1..=64, Some(own.worker_threads));
    reader.finish();
}

/// Words for log formats.
const FORMATS: [(&str, LogFormat); 2] =
    [("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];
/// Words for severities.
const LEVELS: [(&str, LogLevel); 4] = [
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
    let mut reader = Reader::new("log", values, mistakes);
    settings.log_format = reader.word("format", &FORMATS, settings.log_format);
    settings.log_level = reader.word("level", &LEVELS, settings.log_level);
    reader.finish();
}
