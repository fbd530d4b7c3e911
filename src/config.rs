//! Typed configuration parsed from the published declarations: zones, teams, pools, profiles and
//! services.
//!
//! Declarations are a list of sections with keys and values. The same check runs for a file, for a
//! `Publish` record and at process start.

use crate::ids::*;
use crate::record::{Class, SectionChange, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a zone, team, pool, profile or service name in bytes.
pub const MAX_NAME_LEN: usize = 40;
/// Maximum length of a value in bytes; the longest useful value is a list of classes.
pub const MAX_VALUE_LEN: usize = 200;
const DAY_MS: u32 = 86_400_000;
/// Format of a name, as shown in mistakes.
pub const NAME_FORMAT: &str = "1 to 40 lower-case letters, digits and -, the first one not -";

/// One published section.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Section {
    /// Log offset of the last change of the section.
    pub version: Version,
    /// Keys and values, as published.
    pub values: IndexMap<String, String>,
}

/// Published sections by header, for example `profile guarded`.
pub type Sections = IndexMap<String, Section>;

/// A mistake in declarations or settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mistake {
    /// Section header as written, without brackets.
    pub section: String,
    /// Key within the section; `None` if the mistake concerns the section itself.
    pub key: Option<String>,
    /// Value found, truncated to `MAX_VALUE_LEN`.
    pub found: String,
    /// Accepted values.
    pub allowed: String,
    /// Description of the mistake.
    pub message: String,
}

/// Kind of object that a section declares.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SectionKind {
    Zone,
    Team,
    Pool,
    Profile,
    Service,
}

impl SectionKind {
    /// All kinds, in the order in which they appear in files.
    pub const ALL: [SectionKind; 5] = [
        SectionKind::Zone,
        SectionKind::Team,
        SectionKind::Pool,
        SectionKind::Profile,
        SectionKind::Service,
    ];

    /// First word of the section header.
    pub fn as_str(self) -> &'static str {
        match self {
            SectionKind::Zone => "zone",
            SectionKind::Team => "team",
            SectionKind::Pool => "pool",
            SectionKind::Profile => "profile",
            SectionKind::Service => "service",
        }
    }
}

/// Parsed content of all published sections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub zones: IndexMap<ZoneId, Zone>,
    pub teams: IndexMap<TeamId, Team>,
    pub pools: IndexMap<PoolId, Pool>,
    pub profiles: IndexMap<ProfileId, Profile>,
    pub services: IndexMap<ServiceId, Service>,
}

/// `[zone NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Region of the zone.
    pub region: String,
}

/// `[team NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Weight for dividing the slots under full load, at least 1. A profile can override it for its services.
    pub share: u32,
    /// Maximum number of requests and jobs running in the whole fleet.
    pub limit: u32,
}

/// `[pool NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Whether the pool lends its instances to other pools.
    pub spare: bool,
    /// Minimum number of instances that stay in the pool.
    pub min_instances: u32,
}

/// `[profile NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// `share.TEAM`: weights that override `share` of the teams.
    pub shares: IndexMap<TeamId, u32>,
    /// `limit.TEAM`: limits of teams within the services of this profile, in addition to their
    /// fleet-wide limits.
    pub limits: IndexMap<TeamId, u32>,
    /// `class_order`: classes from highest to lowest priority. A lower class waits while a higher one has
    /// work, except for `class_floor_percent` of the slots.
    pub class_order: Vec<Class>,
    /// `class_floor_percent`: part of the slots that the lower classes keep together.
    pub class_floor_percent: u32,
    /// `queue_bound`: maximum number of requests and jobs of one team waiting at one entry instance.
    pub queue_bound: u32,
    /// `max_deadline_ms`: maximum and default deadline of a request.
    pub max_deadline: Duration,
    /// `urgent_start_ms`: time within which urgent work must start; if that is not possible, it is refused
    /// early.
    pub urgent_start: Duration,
    /// `unavailable_percent`: maximum part of a pool's instances that may be unavailable, including
    /// unplanned outages.
    pub unavailable_percent: u32,
    /// `unavailable_per_rack`: maximum number of instances of one rack drained at once.
    pub unavailable_per_rack: u32,
    /// `drain_timeout_ms`: time that a drain waits for running work before it checkpoints and stops jobs.
    pub drain_timeout: Duration,
    /// `maintenance_days`: interval within which each instance is maintained once.
    pub maintenance_interval: Duration,
    /// `reserve_percent`: part of each team's limit that the entry instances hold without a lease.
    pub reserve_percent: u32,
    /// `stale_limit_ms`: maximum age of the view with which requests are admitted; `None` (`never`) for
    /// no limit.
    pub stale_limit: Option<Duration>,
    /// `buffer_percent`: maximum number of spare slots that a pool keeps above its measured need.
    pub buffer_percent: u32,
}

/// `[service NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub profile: ProfileId,
    pub pool: PoolId,
    /// Team to which work without a key is attributed; `None` if a key is required.
    pub open_to: Option<TeamId>,
    /// Default class of requests.
    pub class: Class,
}

impl Default for Profile {
    /// Returns the values of the keys that are missing in a `[profile NAME]` section.
    fn default() -> Profile {
        Profile {
            shares: IndexMap::new(),
            limits: IndexMap::new(),
            class_order: vec![Class::Urgent, Class::Planned, Class::Overnight],
            class_floor_percent: 10,
            queue_bound: 200,
            max_deadline: Duration::from_secs(30),
            urgent_start: Duration::from_millis(1_400),
            unavailable_percent: 20,
            unavailable_per_rack: 1,
            drain_timeout: Duration::from_secs(120),
            maintenance_interval: Duration::from_secs(21 * 86_400),
            reserve_percent: 50,
            stale_limit: Some(Duration::from_secs(600)),
            buffer_percent: 50,
        }
    }
}

impl Config {
    /// Creates a configuration without sections.
    pub fn new() -> Config {
        Config::default()
    }

    /// Applies changed sections: all of them, or none if there are mistakes.
    ///
    /// Only the changed sections are parsed. A reference can only break when its target is removed, so
    /// unchanged sections are checked only for removals. `base` is not checked here.
    pub fn change(&mut self, changes: &[SectionChange]) -> Result<(), Vec<Mistake>> {
        let mut mistakes = Vec::new();
        let parsed = parse_changes(changes, &mut mistakes);
        let view = Overlay::new(self, &parsed);
        for change in &parsed {
            view.check_change(change, &mut mistakes);
        }
        view.check_referrers(&parsed, &mut mistakes);
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        for change in parsed {
            self.apply(change);
        }
        Ok(())
    }

    /// Returns the weight of a team in the services of a profile, or 0 if the team does not exist.
    pub fn share(&self, profile: &ProfileId, team: &TeamId) -> u32 {
        let own = self.profiles.get(profile).and_then(|profile| profile.shares.get(team));
        own.copied().unwrap_or_else(|| self.teams.get(team).map_or(0, |team| team.share))
    }

    /// Returns whether a section exists.
    pub fn has(&self, kind: SectionKind, name: &str) -> bool {
        match kind {
            SectionKind::Zone => self.zones.contains_key(name),
            SectionKind::Team => self.teams.contains_key(name),
            SectionKind::Pool => self.pools.contains_key(name),
            SectionKind::Profile => self.profiles.contains_key(name),
            SectionKind::Service => self.services.contains_key(name),
        }
    }

    /// Returns the names of the sections of one kind, in the order of their first publication.
    pub fn names(&self, kind: SectionKind) -> Vec<&str> {
        match kind {
            SectionKind::Zone => self.zones.keys().map(|name| &**name).collect(),
            SectionKind::Team => self.teams.keys().map(|name| &**name).collect(),
            SectionKind::Pool => self.pools.keys().map(|name| &**name).collect(),
            SectionKind::Profile => self.profiles.keys().map(|name| &**name).collect(),
            SectionKind::Service => self.services.keys().map(|name| &**name).collect(),
        }
    }

    fn apply(&mut self, change: ParsedChange) {
        let name: Arc<str> = change.name.into();
        match change.value {
            Some(ParsedSection::Zone(zone)) => drop(self.zones.insert(name, zone)),
            Some(ParsedSection::Team(team)) => drop(self.teams.insert(name, team)),
            Some(ParsedSection::Pool(pool)) => drop(self.pools.insert(name, pool)),
            Some(ParsedSection::Profile(profile)) => drop(self.profiles.insert(name, *profile)),
            Some(ParsedSection::Service(service)) => drop(self.services.insert(name, service)),
            None => self.remove(change.kind, &name),
        }
    }

    fn remove(&mut self, kind: SectionKind, name: &str) {
        match kind {
            SectionKind::Zone => drop(self.zones.shift_remove(name)),
            SectionKind::Team => drop(self.teams.shift_remove(name)),
            SectionKind::Pool => drop(self.pools.shift_remove(name)),
            SectionKind::Profile => drop(self.profiles.shift_remove(name)),
            SectionKind::Service => drop(self.services.shift_remove(name)),
        }
    }
}

/// Returns whether a text has the format of a name, see `NAME_FORMAT`.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_LEN).contains(&text.len()) && !text.starts_with('-') && text.bytes().all(allowed)
}

/// Splits a section header into its kind and name.
pub fn split_section(section: &str) -> Result<(SectionKind, &str), Mistake> {
    let (word, name) = section.split_once(' ').unwrap_or((section, ""));
    let Some(kind) = SectionKind::ALL.into_iter().find(|kind| kind.as_str() == word) else {
        let words = SectionKind::ALL.map(SectionKind::as_str);
        let message = format!("unknown kind of section{}", did_you_mean(word, words));
        return Err(Mistake::in_section(section, &format!("{} NAME", words.join(" | ")), &message));
    };
    if !is_name(name) {
        let message = format!("the name of the {word} is malformed");
        return Err(Mistake::in_section(section, NAME_FORMAT, &message));
    }
    Ok((kind, name))
}

/// Returns the end of a message that suggests the most similar known word, or an empty text if no word
/// is similar.
pub fn did_you_mean<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    // A word with more than a third of its letters wrong is more likely a different word.
    const MIN_SIMILARITY: f64 = 0.6;
    let found = truncate(found);
    let scored =
        known.into_iter().map(|word| (strsim::normalized_damerau_levenshtein(&found, word), word));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((similarity, word)) if similarity >= MIN_SIMILARITY => {
            format!("; did you mean {word}?")
        }
        _ => String::new(),
    }
}

/// Truncates a text to `MAX_VALUE_LEN` bytes, to bound the size of a mistake.
pub(crate) fn truncate(text: &str) -> String {
    if text.len() <= MAX_VALUE_LEN {
        return text.to_string();
    }
    let end = (0..=MAX_VALUE_LEN).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    format!("{}...", &text[..end])
}

impl Mistake {
    /// Creates a mistake that concerns a section itself.
    pub fn in_section(section: &str, allowed: &str, message: &str) -> Mistake {
        Mistake {
            section: truncate(section),
            key: None,
            found: truncate(section),
            allowed: allowed.to_string(),
            message: message.to_string(),
        }
    }

    /// Creates a mistake in a key of a section.
    pub fn in_key(section: &str, key: &str, found: &str, allowed: &str, message: &str) -> Mistake {
        Mistake {
            section: truncate(section),
            key: Some(truncate(key)),
            found: truncate(found),
            allowed: allowed.to_string(),
            message: message.to_string(),
        }
    }
}

/// Reads the values of one section and records which keys are known.
///
/// After a mistake, a getter reports it and returns a value within bounds, so that one pass finds all
/// mistakes.
pub struct SectionReader<'a> {
    section: &'a str,
    values: &'a IndexMap<String, String>,
    known_keys: Vec<&'static str>,
    prefixes: Vec<&'static str>,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section that adds mistakes to `mistakes`.
    pub fn new(
        section: &'a str,
        values: &'a IndexMap<String, String>,
        mistakes: &'a mut Vec<Mistake>,
    ) -> SectionReader<'a> {
        SectionReader { section, values, known_keys: Vec::new(), prefixes: Vec::new(), mistakes }
    }

    /// Returns the value of a key, or `None` if the section does not have it.
    pub fn get(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.values.get(key).map(String::as_str)
    }

    /// Returns whether the section has a key.
    pub fn has(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    /// Returns the value of a required key, or an empty text after a mistake.
    pub fn required(&mut self, key: &'static str, allowed: &str) -> &'a str {
        let value = self.get(key);
        if value.is_none() {
            self.mistake(key, "", allowed, "the key is missing");
        }
        value.unwrap_or("")
    }

    /// Returns the name in a required key, or an empty name after a mistake.
    pub fn name(&mut self, key: &'static str) -> Arc<str> {
        let value = self.required(key, NAME_FORMAT);
        if self.has(key) {
            self.check_name_format(key, value);
        }
        value.into()
    }

    /// Reports a mistake if a value does not have the format of a name.
    pub fn check_name_format(&mut self, key: &str, value: &str) {
        if !is_name(value) {
            self.mistake(key, value, NAME_FORMAT, "the name is malformed");
        }
    }

    /// Returns a number within a range, or the default if the key is absent. A key without a default is
    /// required.
    pub fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: Option<u32>,
    ) -> u32 {
        let low = *range.start();
        match self.get(key) {
            Some(value) => self.parse_number(key, value, &range).unwrap_or(low),
            None => default.unwrap_or_else(|| {
                self.mistake(key, "", &allowed_range(&range), "the key is missing");
                low
            }),
        }
    }

    /// Returns whether a key says `on` or `off`, or the default if the key is absent.
    pub fn switch(&mut self, key: &'static str, default: bool) -> bool {
        self.keyword(key, &[("on", true), ("off", false)], default)
    }

    /// Returns a duration in milliseconds within a range, or the default if the key is absent.
    pub fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: Duration,
    ) -> Duration {
        match self.get(key) {
            Some(value) => {
                let number = self.parse_number(key, value, &range).unwrap_or(*range.start());
                Duration::from_millis(number.into())
            }
            None => default,
        }
    }

    /// Returns the numbers of all keys with a prefix, by the rest of the key, which must be a name.
    pub fn prefixed_numbers(
        &mut self,
        prefix: &'static str,
        range: RangeInclusive<u32>,
    ) -> IndexMap<Arc<str>, u32> {
        self.prefixes.push(prefix);
        let mut numbers = IndexMap::new();
        for (key, value) in self.values {
            let Some(name) = key.strip_prefix(prefix) else { continue };
            self.check_name_format(key, name);
            if let Some(number) = self.parse_number(key, value, &range) {
                numbers.insert(name.into(), number);
            }
        }
        numbers
    }

    /// Returns the value of a keyword, or the default if the key is absent or the keyword unknown.
    pub fn keyword<T: Copy>(&mut self, key: &'static str, keywords: &[(&str, T)], default: T) -> T {
        match self.get(key) {
            Some(value) => self.parse_keyword(key, value, keywords).unwrap_or(default),
            None => default,
        }
    }

    /// Parses one of a fixed set of keywords.
    pub fn parse_keyword<T: Copy>(
        &mut self,
        key: &str,
        value: &str,
        keywords: &[(&str, T)],
    ) -> Option<T> {
        let found = keywords.iter().find(|(word, _)| *word == value);
        if found.is_none() {
            let known: Vec<&str> = keywords.iter().map(|(word, _)| *word).collect();
            let message = format!("unknown value{}", did_you_mean(value, known.iter().copied()));
            self.mistake(key, value, &known.join(" | "), &message);
        }
        found.map(|(_, value)| *value)
    }

    /// Parses a non-negative integer of decimal digits within a range.
    pub fn parse_number(
        &mut self,
        key: &str,
        value: &str,
        range: &RangeInclusive<u32>,
    ) -> Option<u32> {
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let number = if digits { value.parse().ok() } else { None };
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let message = if digits { "the number is out of range" } else { "not a whole number" };
            self.mistake(key, value, &allowed_range(range), message);
        }
        number
    }

    /// Reports a mistake in a key.
    pub fn mistake(&mut self, key: &str, found: &str, allowed: &str, message: &str) {
        self.mistakes.push(Mistake::in_key(self.section, key, found, allowed, message));
    }

    /// Reports every key that no getter has read as unknown.
    pub fn finish(mut self) {
        let values = self.values;
        for (key, value) in values {
            let prefixed = self.prefixes.iter().any(|prefix| key.starts_with(prefix));
            if prefixed || self.known_keys.contains(&key.as_str()) {
                continue;
            }
            let message =
                format!("unknown key{}", did_you_mean(key, self.known_keys.iter().copied()));
            let prefixes = self.prefixes.iter().map(|prefix| format!("{prefix}TEAM"));
            let known = self.known_keys.iter().map(|known| known.to_string());
            let allowed: Vec<String> = known.chain(prefixes).collect();
            self.mistake(key, value, &format!("keys {}", allowed.join(", ")), &message);
        }
    }
}

fn allowed_range(range: &RangeInclusive<u32>) -> String {
    format!("{} to {}", range.start(), range.end())
}

/// Parsed content of a section.
enum ParsedSection {
    Zone(Zone),
    Team(Team),
    Pool(Pool),
    Profile(Box<Profile>),
    Service(Service),
}

/// A parsed change; `value` is `None` if the section is removed.
struct ParsedChange<'a> {
    section: &'a str,
    kind: SectionKind,
    name: &'a str,
    value: Option<ParsedSection>,
}

fn parse_changes<'a>(
    changes: &'a [SectionChange],
    mistakes: &mut Vec<Mistake>,
) -> Vec<ParsedChange<'a>> {
    let mut parsed = Vec::with_capacity(changes.len());
    for change in changes {
        let section = change.section.as_str();
        match split_section(section) {
            Ok((kind, name)) => {
                let value =
                    change.body.as_ref().map(|body| parse_body(section, kind, body, mistakes));
                parsed.push(ParsedChange { section, kind, name, value });
            }
            Err(mistake) => mistakes.push(mistake),
        }
    }
    parsed
}

fn parse_body(
    section: &str,
    kind: SectionKind,
    body: &IndexMap<String, String>,
    mistakes: &mut Vec<Mistake>,
) -> ParsedSection {
    let mut reader = SectionReader::new(section, body, mistakes);
    let value = match kind {
        SectionKind::Zone => {
            ParsedSection::Zone(Zone { region: reader.name("region").to_string() })
        }
        SectionKind::Team => ParsedSection::Team(parse_team(&mut reader)),
        SectionKind::Pool => ParsedSection::Pool(parse_pool(&mut reader)),
        SectionKind::Profile => ParsedSection::Profile(Box::new(parse_profile(&mut reader))),
        SectionKind::Service => ParsedSection::Service(parse_service(&mut reader)),
    };
    reader.finish();
    value
}

fn parse_team(reader: &mut SectionReader) -> Team {
    Team {
        share: reader.number("share", SHARE_RANGE, Some(1)),
        limit: reader.number("limit", LIMIT_RANGE, None),
    }
}

fn parse_pool(reader: &mut SectionReader) -> Pool {
    Pool {
        spare: reader.keyword("spare", &[("false", false), ("true", true)], false),
        min_instances: reader.number("min_instances", 0..=10_000, Some(1)),
    }
}

fn parse_profile(reader: &mut SectionReader) -> Profile {
    let default = Profile::default();
    let profile = Profile {
        shares: reader.prefixed_numbers("share.", SHARE_RANGE),
        limits: reader.prefixed_numbers("limit.", LIMIT_RANGE),
        class_order: class_order(reader, default.class_order),
        class_floor_percent: reader.number(
            "class_floor_percent",
            0..=50,
            Some(default.class_floor_percent),
        ),
        queue_bound: reader.number("queue_bound", 1..=100_000, Some(default.queue_bound)),
        max_deadline: reader.millis("max_deadline_ms", 10..=3_600_000, default.max_deadline),
        urgent_start: reader.millis("urgent_start_ms", 10..=60_000, default.urgent_start),
        unavailable_percent: reader.number(
            "unavailable_percent",
            1..=90,
            Some(default.unavailable_percent),
        ),
        unavailable_per_rack: reader.number(
            "unavailable_per_rack",
            1..=100,
            Some(default.unavailable_per_rack),
        ),
        drain_timeout: reader.millis("drain_timeout_ms", 1_000..=DAY_MS, default.drain_timeout),
        maintenance_interval: maintenance_interval(reader, default.maintenance_interval),
        reserve_percent: reader.number("reserve_percent", 0..=100, Some(default.reserve_percent)),
        stale_limit: stale_limit(reader, default.stale_limit),
        buffer_percent: reader.number("buffer_percent", 0..=500, Some(default.buffer_percent)),
    };
    check_urgent_start(reader, &profile);
    profile
}

fn parse_service(reader: &mut SectionReader) -> Service {
    let open_to = reader.get("open_to");
    if let Some(team) = open_to {
        reader.check_name_format("open_to", team);
    }
    Service {
        profile: reader.name("profile"),
        pool: reader.name("pool"),
        open_to: open_to.map(TeamId::from),
        class: reader.keyword("class", &CLASS_NAMES, Class::Planned),
    }
}

/// Accepted weights. With a spread of more than 1,000, the smallest team gets less than one slot in
/// every pool.
const SHARE_RANGE: RangeInclusive<u32> = 1..=1_000;
/// Accepted limits; the fleet is designed for 76,000 slots.
const LIMIT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const CLASS_NAMES: [(&str, Class); 3] =
    [("urgent", Class::Urgent), ("planned", Class::Planned), ("overnight", Class::Overnight)];

/// Returns the name of a class in declarations, headers and metrics.
pub fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Planned => "planned",
        Class::Overnight => "overnight",
    }
}

fn class_order(reader: &mut SectionReader, default: Vec<Class>) -> Vec<Class> {
    let Some(value) = reader.get("class_order") else { return default };
    let mut order = Vec::new();
    for word in value.split(',').map(str::trim) {
        order.extend(reader.parse_keyword("class_order", word, &CLASS_NAMES));
    }
    let complete = CLASS_NAMES.iter().all(|(_, class)| order.contains(class));
    if !complete || order.len() != CLASS_NAMES.len() {
        let allowed = "urgent, planned and overnight in any order, separated by commas";
        reader.mistake("class_order", value, allowed, "each class must occur exactly once");
    }
    order
}

fn maintenance_interval(reader: &mut SectionReader, default: Duration) -> Duration {
    let default_days = (default.as_secs() / 86_400) as u32;
    let days = reader.number("maintenance_days", 1..=365, Some(default_days));
    Duration::from_secs(u64::from(days) * 86_400)
}

fn stale_limit(reader: &mut SectionReader, default: Option<Duration>) -> Option<Duration> {
    let value = match reader.get("stale_limit_ms") {
        Some("never") => return None,
        Some(value) => value,
        None => return default,
    };
    let range = 1_000..=DAY_MS;
    let number = Some(value)
        .filter(|value| !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|value| value.parse::<u32>().ok())
        .filter(|number| range.contains(number));
    if number.is_none() {
        let allowed = format!("never or {}", allowed_range(&range));
        reader.mistake("stale_limit_ms", value, &allowed, "neither never nor a number in range");
    }
    number.map(|number| Duration::from_millis(number.into()))
}

fn check_urgent_start(reader: &mut SectionReader, profile: &Profile) {
    if profile.urgent_start <= profile.max_deadline {
        return;
    }
    let allowed = format!("at most max_deadline_ms = {}", profile.max_deadline.as_millis());
    let found = profile.urgent_start.as_millis().to_string();
    reader.mistake("urgent_start_ms", &found, &allowed, "work would start after its deadline");
}

/// The sections as they will be after the changes.
struct Overlay<'a> {
    cfg: &'a Config,
    /// Changed sections; true if the section exists after the change.
    changed: HashMap<(SectionKind, &'a str), bool>,
    /// Sections that occur more than once in the list of changes.
    repeated: Vec<&'a str>,
}

impl<'a> Overlay<'a> {
    fn new(cfg: &'a Config, changes: &[ParsedChange<'a>]) -> Overlay<'a> {
        let mut changed = HashMap::with_capacity(changes.len());
        let mut repeated = Vec::new();
        for change in changes {
            if changed.insert((change.kind, change.name), change.value.is_some()).is_some() {
                repeated.push(change.section);
            }
        }
        Overlay { cfg, changed, repeated }
    }

    fn has(&self, kind: SectionKind, name: &str) -> bool {
        let changed = self.changed.get(&(kind, name));
        changed.copied().unwrap_or_else(|| self.cfg.has(kind, name))
    }

    fn is_changed(&self, kind: SectionKind, name: &str) -> bool {
        self.changed.contains_key(&(kind, name))
    }

    fn check_change(&self, change: &ParsedChange, mistakes: &mut Vec<Mistake>) {
        let section = change.section;
        if self.repeated.contains(&section) {
            let message = "the section occurs more than once";
            mistakes.push(Mistake::in_section(section, "one section of each name", message));
        }
        match &change.value {
            Some(ParsedSection::Profile(profile)) => self.check_profile(section, profile, mistakes),
            Some(ParsedSection::Service(service)) => self.check_service(section, service, mistakes),
            Some(ParsedSection::Zone(_) | ParsedSection::Team(_) | ParsedSection::Pool(_)) => {}
            None if self.cfg.has(change.kind, change.name) => {}
            None => {
                let message = "the section to remove does not exist";
                mistakes.push(Mistake::in_section(section, "a published section", message));
            }
        }
    }

    fn check_profile(&self, section: &str, profile: &Profile, mistakes: &mut Vec<Mistake>) {
        for (prefix, numbers) in [("share", &profile.shares), ("limit", &profile.limits)] {
            for team in numbers.keys() {
                let key = || format!("{prefix}.{team}");
                self.check_reference(section, key, SectionKind::Team, team, mistakes);
            }
        }
    }

    fn check_service(&self, section: &str, service: &Service, mistakes: &mut Vec<Mistake>) {
        let profile = || "profile".to_string();
        let pool = || "pool".to_string();
        let open_to = || "open_to".to_string();
        self.check_reference(section, profile, SectionKind::Profile, &service.profile, mistakes);
        self.check_reference(section, pool, SectionKind::Pool, &service.pool, mistakes);
        if let Some(team) = &service.open_to {
            self.check_reference(section, open_to, SectionKind::Team, team, mistakes);
        }
    }

    fn check_reference(
        &self,
        section: &str,
        key: impl Fn() -> String,
        kind: SectionKind,
        name: &str,
        mistakes: &mut Vec<Mistake>,
    ) {
        // A malformed name has already been reported.
        if !is_name(name) || self.has(kind, name) {
            return;
        }
        let known = self.names(kind);
        let suggestion = did_you_mean(name, known.iter().copied());
        let word = kind.as_str();
        let message = format!("there is no section [{word} {name}]{suggestion}");
        let allowed = format!("the name of a [{word} ..] section");
        mistakes.push(Mistake::in_key(section, &key(), name, &allowed, &message));
    }

    fn names(&self, kind: SectionKind) -> Vec<&str> {
        let mut names = self.cfg.names(kind);
        names.retain(|name| !self.is_changed(kind, name));
        let added = self.changed.iter().filter(|(key, exists)| key.0 == kind && **exists);
        names.extend(added.map(|(key, _)| key.1));
        names.sort_unstable();
        names
    }

    /// Checks the unchanged sections that reference removed ones.
    fn check_referrers(&self, changes: &[ParsedChange], mistakes: &mut Vec<Mistake>) {
        for change in changes.iter().filter(|change| change.value.is_none()) {
            match change.kind {
                SectionKind::Team => {
                    self.check_profiles_referencing(change.name, mistakes);
                    self.check_services(mistakes, |s| s.open_to.as_deref() == Some(change.name));
                }
                SectionKind::Pool => self.check_services(mistakes, |s| *s.pool == *change.name),
                SectionKind::Profile => {
                    self.check_services(mistakes, |s| *s.profile == *change.name)
                }
                SectionKind::Zone | SectionKind::Service => {}
            }
        }
    }

    fn check_profiles_referencing(&self, team: &str, mistakes: &mut Vec<Mistake>) {
        for (name, profile) in &self.cfg.profiles {
            let references = profile.shares.contains_key(team) || profile.limits.contains_key(team);
            if references && !self.is_changed(SectionKind::Profile, name) {
                self.check_profile(&format!("profile {name}"), profile, mistakes);
            }
        }
    }

    fn check_services(&self, mistakes: &mut Vec<Mistake>, references: impl Fn(&Service) -> bool) {
        for (name, service) in &self.cfg.services {
            if references(service) && !self.is_changed(SectionKind::Service, name) {
                self.check_service(&format!("service {name}"), service, mistakes);
            }
        }
    }
}
