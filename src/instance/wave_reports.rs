//! Status records of waves, which the owner appends for operators.

use crate::platform::store::StoreError;
use indexmap::IndexMap;

/// Status of a wave to append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaveReport {
    pub wave: u64,
    pub complete: bool,
    /// Sequence number of the append.
    pub sequence: u64,
}

/// What one owner has appended. The store answers a second append under the same sequence number as
/// a repeat of the first, so a record without a response is appended again before any other.
#[derive(Clone, Debug, Default)]
pub struct WaveReports {
    /// Whether the last stored status of a wave is complete.
    reported: IndexMap<u64, bool>,
    sequence: u64,
    /// Record whose append may have taken effect, or may still do so.
    unsettled: Option<WaveReport>,
}

impl WaveReports {
    /// Whether a wave is stored as complete.
    pub fn is_complete(&self, wave: u64) -> bool {
        self.reported.get(&wave) == Some(&true)
    }

    /// Returns the record to append next when a wave has this status, or `None` if that is stored.
    /// The record may be an unsettled one of any wave.
    pub fn next(&self, wave: u64, complete: bool) -> Option<WaveReport> {
        let is_stored = self.reported.get(&wave) == Some(&complete);
        let report = WaveReport { wave, complete, sequence: self.sequence };
        self.unsettled.or((!is_stored).then_some(report))
    }

    /// Processes the result of an append.
    pub fn record_result(&mut self, report: WaveReport, result: &Result<u64, StoreError>) {
        match result {
            Ok(_) => {
                self.reported.insert(report.wave, report.complete);
                self.sequence = report.sequence + 1;
                self.unsettled = None;
            }
            Err(StoreError::NoResponse) => self.unsettled = Some(report),
            Err(StoreError::SequenceMismatch { expected }) => {
                self.sequence = *expected;
                self.unsettled = None;
            }
            // Had no effect, but an earlier append of the same record may have had.
            Err(_) => {}
        }
    }
}
