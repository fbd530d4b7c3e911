//! How callers' records are spread over the store's partitions.

use crate::config::SectionReader;

/// Settings of the section `[submissions]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubmissionSettings {
    /// Whether the part is in use.
    pub enabled: bool,
}

impl Default for SubmissionSettings {
    fn default() -> SubmissionSettings {
        SubmissionSettings { enabled: true }
    }
}

impl SubmissionSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
    }
}
