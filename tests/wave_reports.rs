//! Status records of waves when responses of the store are lost, without I/O.

use jacinthhook::instance::wave_reports::{WaveReport, WaveReports};
use jacinthhook::platform::store::StoreError;

const STORED: Result<u64, StoreError> = Ok(1);
const LOST: Result<u64, StoreError> = Err(StoreError::NoResponse);
const REFUSED: Result<u64, StoreError> = Err(StoreError::Refused { status: 503 });

/// Guards against a second record under the sequence number of one that may be stored: the store
/// answers it as a repeat, and operators never see that the wave is complete.
#[test]
fn next_lost_response() {
    let mut reports = WaveReports::default();
    let running = WaveReport { wave: 1, complete: false, sequence: 0 };
    assert_eq!(reports.next(1, false), Some(running));
    reports.record_result(running, &LOST);
    assert_eq!(reports.next(1, true), Some(running));
    assert_eq!(reports.next(2, false), Some(running));
    reports.record_result(running, &REFUSED);
    assert_eq!(reports.next(1, true), Some(running), "the first append may have been stored");
    reports.record_result(running, &STORED);
    let complete = WaveReport { wave: 1, complete: true, sequence: 1 };
    assert_eq!(reports.next(1, true), Some(complete));
    reports.record_result(complete, &STORED);
    assert_eq!(reports.next(1, true), None);
    assert!(reports.is_complete(1));
}

/// A refused record is replaced by the current status, under the same number or the expected one.
#[test]
fn next_refused() {
    let mut reports = WaveReports::default();
    let running = WaveReport { wave: 1, complete: false, sequence: 0 };
    reports.record_result(running, &REFUSED);
    let complete = WaveReport { wave: 1, complete: true, sequence: 0 };
    assert_eq!(reports.next(1, true), Some(complete));
    reports.record_result(complete, &Err(StoreError::SequenceMismatch { expected: 4 }));
    assert_eq!(reports.next(1, true), Some(WaveReport { sequence: 4, ..complete }));
}
