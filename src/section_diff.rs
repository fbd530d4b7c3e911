//! Differences between the declared sections in force and those in a file.

use crate::config::{Section, Sections};
use crate::record::SectionChange;
use crate::settings::SectionValues;
use indexmap::IndexMap;

/// Treatment of sections in force that the file does not contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissingSections {
    Keep,
    Remove,
}

/// Returns the changes that turn the sections in force into those of the file, each based on the
/// version in force.
pub fn diff_sections(
    in_force: &Sections,
    wanted: &SectionValues,
    missing: MissingSections,
) -> Vec<SectionChange> {
    let mut changes = Vec::new();
    for (name, body) in wanted {
        let current = in_force.get(name);
        // Maps compare without regard to key order, which has no meaning here.
        if current.is_none_or(|section| section.values != *body) {
            changes.push(section_change(name, current, Some(body.clone())));
        }
    }
    if missing == MissingSections::Remove {
        let removed = in_force.iter().filter(|(name, _)| !wanted.contains_key(*name));
        changes.extend(removed.map(|(name, section)| section_change(name, Some(section), None)));
    }
    changes
}

fn section_change(
    name: &str,
    current: Option<&Section>,
    body: Option<IndexMap<String, String>>,
) -> SectionChange {
    let base = current.map(|section| section.version);
    SectionChange { section: name.to_string(), base, body }
}

/// Formats the changes with one line per added, removed or changed section, and one line per key of
/// an added or changed section.
pub fn format_diff(in_force: &Sections, changes: &[SectionChange]) -> String {
    let mut lines = Vec::new();
    for change in changes {
        let before = in_force.get(&change.section).map(|section| &section.values);
        match (before, &change.body) {
            (None, Some(body)) => {
                lines.push(format!("+ [{}]", change.section));
                lines.extend(body.iter().map(|(key, value)| format!("+   {key} = {value}")));
            }
            (Some(before), Some(body)) => {
                lines.push(format!("~ [{}]", change.section));
                lines.extend(format_key_diff(before, body));
            }
            (_, None) => lines.push(format!("- [{}]", change.section)),
        }
    }
    lines.join("\n")
}

fn format_key_diff(
    before: &IndexMap<String, String>,
    after: &IndexMap<String, String>,
) -> Vec<String> {
    let mut lines = Vec::new();
    for (key, value) in after {
        match before.get(key) {
            None => lines.push(format!("+   {key} = {value}")),
            Some(old) if old != value => lines.push(format!("~   {key} = {old} -> {value}")),
            Some(_) => {}
        }
    }
    let removed = before.iter().filter(|(key, _)| !after.contains_key(*key));
    lines.extend(removed.map(|(key, value)| format!("-   {key} = {value}")));
    lines
}
