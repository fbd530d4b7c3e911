//! Replica of the shared state: applies log entries in order, detects trimmed entries, finds
//! snapshots in the log, and keeps the latest entries for peers.

use crate::ids::*;
use crate::protocol::{LogEntry, ReadAnswer};
use crate::record::{self, Batch, Record};
use crate::snapshot::{self, CompleteSnapshot, PartAssembler, SnapshotError};
use crate::state::{ApplyOutcome, State};
use std::collections::VecDeque;

/// Maximum number of entries kept for peers that cannot reach the log.
pub const MAX_RELAY_ENTRIES: usize = 4_096;
/// Maximum number of bytes kept for peers. Snapshot parts would otherwise fill the memory of an
/// instance.
pub const MAX_RELAY_BYTES: usize = 4 * 1024 * 1024;
/// Value of `ReadAnswer::next` in answers relayed by a peer. A peer does not know the end of the
/// log; an answer that looked like one from the log could make an empty replica consider itself
/// complete.
pub const RELAYED_NEXT: Offset = Offset::MAX;

/// A log entry that was applied.
#[derive(Clone, Debug)]
pub struct AppliedEntry {
    pub offset: Offset,
    pub batch: Batch,
    /// Outcomes, one per record of the batch.
    pub outcomes: Vec<ApplyOutcome>,
}

/// Effect of applying an answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerOutcome {
    pub applied: Vec<AppliedEntry>,
    /// The state was replaced by a snapshot; the batches that it covers were not seen one by one.
    pub snapshot_loaded: bool,
}

#[derive(Clone, Debug)]
enum Mode {
    /// Applies entries in order.
    Apply,
    /// The next entries of the state were trimmed from the log; entries from `pos` on are searched
    /// for a snapshot.
    Scan { pos: Offset, parts: PartAssembler },
}

/// Replica of the shared state at one entry instance.
#[derive(Clone, Debug)]
pub struct Replica {
    state: State,
    mode: Mode,
    /// Whether the known end of the log was reached since the state was last replaced.
    complete: bool,
    /// Oldest known offset that the log retains.
    first: Offset,
    /// Known end of the log.
    tail: Offset,
    recent: VecDeque<LogEntry>,
    recent_bytes: usize,
    /// Snapshot series in the log, tracked without their data.
    snapshot_series: PartAssembler,
    newest_snapshot: Option<Offset>,
    /// Set by `with_gaps_skipped`.
    skip_gaps: bool,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica::new()
    }
}

impl Replica {
    /// Creates an empty replica without a view.
    pub fn new() -> Replica {
        Replica {
            state: State::new(),
            mode: Mode::Apply,
            complete: false,
            first: 0,
            tail: 0,
            recent: VecDeque::new(),
            recent_bytes: 0,
            snapshot_series: PartAssembler::new(true),
            newest_snapshot: None,
            skip_gaps: false,
        }
    }

    /// Continues after missing entries. Used only by the fuzzer, which must detect the fault.
    #[doc(hidden)]
    pub fn with_gaps_skipped(mut self, skip: bool) -> Replica {
        self.skip_gaps = skip;
        self
    }

    /// Returns the state after the last applied entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether the state results from a gapless prefix of the log that reached its end at least
    /// once.
    pub fn has_view(&self) -> bool {
        self.complete && matches!(self.mode, Mode::Apply)
    }

    /// Returns the offset from which the log is read next.
    pub fn next_offset(&self) -> Offset {
        match &self.mode {
            Mode::Apply => self.state.next(),
            Mode::Scan { pos, .. } => *pos,
        }
    }

    /// Returns the oldest offset that the log retains.
    pub fn first_offset(&self) -> Offset {
        self.first
    }

    /// Returns the first offset that is not covered by the newest complete snapshot in the log.
    pub fn newest_snapshot(&self) -> Option<Offset> {
        self.newest_snapshot
    }

    /// Whether all entries up to the known end of the log are applied.
    pub fn is_current(&self) -> bool {
        self.has_view() && self.state.next() >= self.tail
    }

    /// Applies an answer of the log, or one of a peer, whose `next` is `RELAYED_NEXT`. Entries
    /// before the current position were already applied and are ignored; entries beyond it are
    /// dropped and read again later.
    pub fn apply_answer(&mut self, answer: &ReadAnswer) -> AnswerOutcome {
        let from_log = answer.next != RELAYED_NEXT;
        if from_log {
            self.first = self.first.max(answer.first);
            self.tail = self.tail.max(answer.next);
            self.start_scan_if_trimmed();
        }
        let mut outcome = AnswerOutcome::default();
        for entry in &answer.entries {
            if self.skip_gaps && entry.offset > self.state.next() {
                self.state.skip(entry.offset - 1);
            }
            if entry.offset != self.next_offset() {
                continue;
            }
            match self.mode {
                Mode::Apply => outcome.applied.extend(self.apply_entry(entry)),
                Mode::Scan { .. } => outcome.snapshot_loaded |= self.scan_entry(entry),
            }
        }
        // Entries of a peer complete the state only if the log itself has reported its end.
        let end_known = from_log || self.tail > 0;
        self.complete |= end_known && matches!(self.mode, Mode::Apply) && self.at_tail();
        outcome
    }

    fn at_tail(&self) -> bool {
        self.state.next() >= self.tail
    }

    fn start_scan_if_trimmed(&mut self) {
        let first = self.first;
        match &mut self.mode {
            Mode::Apply if self.state.next() < first && !self.skip_gaps => {
                self.mode = Mode::Scan { pos: first, parts: PartAssembler::new(false) };
            }
            Mode::Scan { pos, .. } => *pos = first.max(*pos),
            Mode::Apply => {}
        }
    }

    fn apply_entry(&mut self, entry: &LogEntry) -> Option<AppliedEntry> {
        self.keep_for_relay(entry);
        let Ok(batch) = record::decode(&entry.data) else {
            self.state.skip(entry.offset);
            return None;
        };
        let outcomes = self.state.apply(entry.offset, &batch);
        for part in &batch.records {
            if let Some(complete) = self.snapshot_series.add(batch.incarnation, part) {
                self.newest_snapshot = self.newest_snapshot.max(Some(complete.upto));
            }
        }
        Some(AppliedEntry { offset: entry.offset, batch, outcomes })
    }

    /// Searches an entry for snapshot parts. Returns true if a snapshot was loaded.
    fn scan_entry(&mut self, entry: &LogEntry) -> bool {
        let Mode::Scan { pos, parts } = &mut self.mode else { return false };
        *pos = entry.offset + 1;
        let Ok(batch) = record::decode(&entry.data) else { return false };
        let parts_of_batch = batch.records.iter().filter(is_snapshot_part);
        let complete: Vec<CompleteSnapshot> =
            parts_of_batch.filter_map(|part| parts.add(batch.incarnation, part)).collect();
        let usable = complete.iter().rev().filter(|c| c.upto >= self.first);
        let Some(state) = usable.filter_map(|c| c.decode().ok()).next() else { return false };
        self.newest_snapshot = self.newest_snapshot.max(Some(state.next()));
        self.replace_state(state);
        true
    }

    fn replace_state(&mut self, state: State) {
        self.recent.clear();
        self.recent_bytes = 0;
        self.state = state;
        self.mode = Mode::Apply;
        self.complete = false;
    }

    /// Loads a peer's view if it is ahead of the local state. Returns true if it was loaded. A view
    /// that lacks entries known to be in the log is not used for decisions until they are applied,
    /// because they may withdraw keys or take zones out of service.
    pub fn load_view(&mut self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let state = snapshot::decode(bytes)?;
        let ahead = !self.has_view() || state.next() > self.state.next();
        if !ahead || state.next() < self.first || state.next() < self.state.next() {
            return Ok(false);
        }
        self.replace_state(state);
        self.complete = self.at_tail();
        Ok(true)
    }

    fn keep_for_relay(&mut self, entry: &LogEntry) {
        self.recent_bytes += entry.data.len();
        self.recent.push_back(entry.clone());
        while self.recent.len() > MAX_RELAY_ENTRIES || self.recent_bytes > MAX_RELAY_BYTES {
            let Some(oldest) = self.recent.pop_front() else { return };
            self.recent_bytes -= oldest.data.len();
        }
    }

    /// Returns entries from `from` on for a peer; empty if they are no longer kept.
    pub fn relay(&self, from: Offset, max: usize) -> ReadAnswer {
        let kept_from = self.recent.front().map_or(self.state.next(), |entry| entry.offset);
        let skip = from.checked_sub(kept_from).map_or(self.recent.len(), |skip| skip as usize);
        let entries = self.recent.iter().skip(skip).take(max).cloned().collect();
        ReadAnswer { first: 0, next: RELAYED_NEXT, entries }
    }
}

fn is_snapshot_part(record: &&Record) -> bool {
    matches!(record, Record::SnapshotPart { .. })
}
