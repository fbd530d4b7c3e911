//! Number of machines that a pool wants.

use crate::config::SectionReader;

/// Settings of the section `[pool_demand]`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    /// Whether the part is in use.
    pub enabled: bool,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings { enabled: true }
    }
}

impl PoolSettings {
    /// Reads the keys of the section; absent ones keep their defaults.
    pub fn read(&mut self, reader: &mut SectionReader<'_>) {
        self.enabled = reader.switch("enabled", self.enabled);
    }
}
