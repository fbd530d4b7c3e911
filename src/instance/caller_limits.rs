//! Limits on what callers and other instances may send and hold.

use crate::config::SectionReader;

/// Settings of the section `[caller_limits]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Whether the part is in use.
    pub enabled: bool,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { enabled: true }
    }
}

impl CallerLimits {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
    }
}
