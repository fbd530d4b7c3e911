//! The product's own settings of `run`, beside those that the platform supplies.
//!
//! An INI file, named by `run --settings FILE`. Without one, and for each key that it leaves out, the defaults
//! hold. `check` reports all mistakes of such a file at once.

use crate::batch::overload::OverloadSettings;
use crate::config::{Mistake, SectionReader, did_you_mean};
use crate::file::{FileMistake, FileSections};
use crate::instance::caller_limits::CallerLimits;
use crate::instance::start_attempts::StartSettings;
use crate::instance::submissions::SubmissionSettings;
use indexmap::IndexMap;

/// Sections of the file. None of them is a section of declarations or of settings of an entry instance.
pub const SECTION_NAMES: [&str; 4] = ["caller_limits", "overload", "start_orders", "submissions"];

/// Settings of the parts of an instance, fixed while the process runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunSettings {
    /// What callers and other instances may send and hold.
    pub caller_limits: CallerLimits,
    /// Which jobs wait or are refused while there is too little room.
    pub overload: OverloadSettings,
    /// How starts that get no response are repeated.
    pub start_orders: StartSettings,
    /// How callers' records are stored.
    pub submissions: SubmissionSettings,
}

/// Reads and checks a settings file.
pub fn read(file: &str, text: &str) -> Result<RunSettings, Vec<FileMistake>> {
    let (sections, mut mistakes) = FileSections::read(file, text);
    let mut found = Vec::new();
    let settings = parse(&sections, &mut found);
    mistakes.extend(sections.locate(found));
    mistakes.sort_by_key(|mistake| mistake.line);
    if mistakes.is_empty() { Ok(settings) } else { Err(mistakes) }
}

fn parse(sections: &FileSections, mistakes: &mut Vec<Mistake>) -> RunSettings {
    let allowed = SECTION_NAMES.map(|name| format!("[{name}]")).join(", ");
    for name in sections.sections.keys().filter(|name| !SECTION_NAMES.contains(&name.as_str())) {
        let message = format!("unknown section{}", did_you_mean(name, SECTION_NAMES));
        mistakes.push(Mistake::in_section(name, &allowed, &message));
    }
    let empty = IndexMap::new();
    let mut settings = RunSettings::default();
    for name in SECTION_NAMES {
        let values = sections.sections.get(name).map_or(&empty, |found| &found.values);
        let mut reader = SectionReader::new(name, values, mistakes);
        match name {
            "caller_limits" => settings.caller_limits.read(&mut reader),
            "overload" => settings.overload.read(&mut reader),
            "start_orders" => settings.start_orders.read(&mut reader),
            _ => settings.submissions.read(&mut reader),
        }
        reader.finish();
    }
    settings
}
