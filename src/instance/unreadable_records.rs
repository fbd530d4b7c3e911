//! Records of the store that were logged as unreadable.

use indexmap::IndexSet;

/// Maximum number of records to remember; older ones are logged again if they are read again.
const MAX_RECORDS: usize = 1_024;

/// Topics and offsets of the records that were logged. A record is read more than once if a topic is read
/// anew, for example in each term.
#[derive(Clone, Debug, Default)]
pub struct UnreadableRecords {
    logged: IndexSet<(String, u64)>,
}

impl UnreadableRecords {
    /// Adds a record. Returns whether it is new.
    pub fn insert(&mut self, topic: &str, offset: u64) -> bool {
        let is_new = self.logged.insert((topic.to_string(), offset));
        if self.logged.len() > MAX_RECORDS {
            self.logged.shift_remove_index(0);
        }
        is_new
    }
}
