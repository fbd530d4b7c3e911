//! Order of waiting work while a pool has too little room.

use crate::config::SectionReader;

/// Settings of the section `[overload]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverloadSettings {
    /// Whether the part is in use.
    pub enabled: bool,
}

impl Default for OverloadSettings {
    fn default() -> OverloadSettings {
        OverloadSettings { enabled: true }
    }
}

impl OverloadSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
    }
}
