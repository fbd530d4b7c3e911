//! Attempts to send a start order.

use crate::config::SectionReader;

/// Settings of the section `[start_orders]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartSettings {
    /// Whether the part is in use.
    pub enabled: bool,
}

impl Default for StartSettings {
    fn default() -> StartSettings {
        StartSettings { enabled: true }
    }
}

impl StartSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
    }
}
