//! Position in the log: folds entries in order, detects trimmed ones, finds snapshots while scanning,
//! and keeps the last entries for peers.

use crate::ids::*;
use crate::protocol::{LogEntry, ReadAnswer};
use crate::record::{self, Batch, Record};
use crate::snapshot::{self, CompleteSnapshot, PartAssembler, SnapshotError};
use crate::state::{ApplyOutcome, State};
use std::collections::VecDeque;

/// Entries kept for peers that cannot reach the log.
pub const RELAY_ENTRIES: usize = 4_096;
/// Bytes kept for peers; snapshot parts would otherwise fill the memory of an instance.
pub const RELAY_BYTES: usize = 4 * 1024 * 1024;
/// `ReadAnswer::next` of entries that a peer relays. A peer does not know the end of the log, and an
/// answer that looked like one from the log could make an empty replica take itself for complete.
pub const RELAYED_NEXT: Offset = Offset::MAX;

/// One entry that was folded.
#[derive(Clone, Debug)]
pub struct AppliedEntry {
    pub offset: Offset,
    pub batch: Batch,
    /// One per record of the batch.
    pub outcomes: Vec<ApplyOutcome>,
}

/// What an answer brought.
#[derive(Clone, Debug, Default)]
pub struct AnswerOutcome {
    pub applied: Vec<AppliedEntry>,
    /// The state was replaced by a snapshot; batches in between were not seen.
    pub snapshot_loaded: bool,
}

#[derive(Clone, Debug)]
enum Mode {
    /// Folding entries in order.
    Fold,
    /// Entries that the state needs are trimmed; reading from `pos` for a snapshot.
    Scan { pos: Offset, parts: PartAssembler },
}

/// The replica of the shared state at one entry instance.
#[derive(Clone, Debug)]
pub struct Replica {
    state: State,
    mode: Mode,
    /// The known end of the log was reached since the state was last replaced.
    complete: bool,
    /// Oldest offset that the log keeps, as far as known.
    first: Offset,
    /// End of the log, as far as known.
    tail: Offset,
    recent: VecDeque<LogEntry>,
    recent_bytes: usize,
    /// Series of snapshot parts in the log, counted without their data.
    series: PartAssembler,
    newest_snapshot: Option<Offset>,
    /// See `with_gaps_skipped`.
    skip_gaps: bool,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica::new()
    }
}

impl Replica {
    /// An empty replica without a view.
    pub fn new() -> Replica {
        Replica {
            state: State::new(),
            mode: Mode::Fold,
            complete: false,
            first: 0,
            tail: 0,
            recent: VecDeque::new(),
            recent_bytes: 0,
            series: PartAssembler::new(true),
            newest_snapshot: None,
            skip_gaps: false,
        }
    }

    /// Folds on after missing entries. Only for the fuzzer, which must notice the fault.
    #[doc(hidden)]
    pub fn with_gaps_skipped(mut self, skip: bool) -> Replica {
        self.skip_gaps = skip;
        self
    }

    /// The state as far as folded.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether the state reflects an unbroken prefix of the log that once reached its end.
    pub fn has_view(&self) -> bool {
        self.complete && matches!(self.mode, Mode::Fold)
    }

    /// Offset to read from.
    pub fn next_offset(&self) -> Offset {
        match &self.mode {
            Mode::Fold => self.state.next(),
            Mode::Scan { pos, .. } => *pos,
        }
    }

    /// Oldest offset that the log keeps.
    pub fn first_offset(&self) -> Offset {
        self.first
    }

    /// First offset not covered by the newest complete snapshot in the log.
    pub fn newest_snapshot(&self) -> Option<Offset> {
        self.newest_snapshot
    }

    /// Whether everything up to the known end of the log is folded.
    pub fn is_current(&self) -> bool {
        self.has_view() && self.state.next() >= self.tail
    }

    /// Folds an answer of the log or of a peer (`next` is `RELAYED`). Entries before the position
    /// were seen; entries beyond it are dropped and read again.
    pub fn apply_answer(&mut self, answer: &ReadAnswer) -> AnswerOutcome {
        let from_log = answer.next != RELAYED_NEXT;
        if from_log {
            self.first = self.first.max(answer.first);
            self.tail = self.tail.max(answer.next);
            self.start_scan_if_trimmed();
        }
        let mut step = AnswerOutcome::default();
        for entry in &answer.entries {
            if self.skip_gaps && entry.offset > self.state.next() {
                self.state.skip(entry.offset - 1);
            }
            if entry.offset != self.next_offset() {
                continue;
            }
            match self.mode {
                Mode::Fold => step.applied.extend(self.fold(entry)),
                Mode::Scan { .. } => step.snapshot_loaded |= self.scan(entry),
            }
        }
        // A peer's entries complete the state only where the log itself told its end.
        let told = from_log || self.tail > 0;
        self.complete |= told && matches!(self.mode, Mode::Fold) && self.at_tail();
        step
    }

    fn at_tail(&self) -> bool {
        self.state.next() >= self.tail
    }

    fn start_scan_if_trimmed(&mut self) {
        let first = self.first;
        match &mut self.mode {
            Mode::Fold if self.state.next() < first && !self.skip_gaps => {
                self.mode = Mode::Scan { pos: first, parts: PartAssembler::new(false) };
            }
            Mode::Scan { pos, .. } => *pos = first.max(*pos),
            Mode::Fold => {}
        }
    }

    fn fold(&mut self, entry: &LogEntry) -> Option<AppliedEntry> {
        self.keep(entry);
        let Ok(batch) = record::decode(&entry.data) else {
            self.state.skip(entry.offset);
            return None;
        };
        let outcomes = self.state.apply(entry.offset, &batch);
        for part in &batch.records {
            if let Some(complete) = self.series.add(batch.incarnation, part) {
                self.newest_snapshot = self.newest_snapshot.max(Some(complete.upto));
            }
        }
        Some(AppliedEntry { offset: entry.offset, batch, outcomes })
    }

    /// Looks for a snapshot; true when one was loaded.
    fn scan(&mut self, entry: &LogEntry) -> bool {
        let Mode::Scan { pos, parts } = &mut self.mode else { return false };
        *pos = entry.offset + 1;
        let Ok(batch) = record::decode(&entry.data) else { return false };
        let parts_of_batch = batch.records.iter().filter(is_part);
        let complete: Vec<CompleteSnapshot> =
            parts_of_batch.filter_map(|part| parts.add(batch.incarnation, part)).collect();
        let usable = complete.iter().rev().filter(|c| c.upto >= self.first);
        let Some(state) = usable.filter_map(|c| c.decode().ok()).next() else { return false };
        self.newest_snapshot = self.newest_snapshot.max(Some(state.next()));
        self.replace(state);
        true
    }

    fn replace(&mut self, state: State) {
        self.recent.clear();
        self.recent_bytes = 0;
        self.state = state;
        self.mode = Mode::Fold;
        self.complete = false;
    }

    /// Loads a peer's view if it is ahead of what is known; true when it was loaded. A view that lacks
    /// entries that the log is known to have is not decided by until they are folded: withdrawn keys and
    /// zones out may be among them.
    pub fn load_view(&mut self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let state = snapshot::decode(bytes)?;
        let ahead = !self.has_view() || state.next() > self.state.next();
        if !ahead || state.next() < self.first || state.next() < self.state.next() {
            return Ok(false);
        }
        self.replace(state);
        self.complete = self.at_tail();
        Ok(true)
    }

    fn keep(&mut self, entry: &LogEntry) {
        self.recent_bytes += entry.data.len();
        self.recent.push_back(entry.clone());
        while self.recent.len() > RELAY_ENTRIES || self.recent_bytes > RELAY_BYTES {
            let Some(oldest) = self.recent.pop_front() else { return };
            self.recent_bytes -= oldest.data.len();
        }
    }

    /// Entries from `from` on for a peer; empty when they are not kept any more.
    pub fn relay(&self, from: Offset, max: usize) -> ReadAnswer {
        let kept_from = self.recent.front().map_or(self.state.next(), |entry| entry.offset);
        let skip = from.checked_sub(kept_from).map_or(self.recent.len(), |skip| skip as usize);
        let entries = self.recent.iter().skip(skip).take(max).cloned().collect();
        ReadAnswer { first: 0, next: RELAYED_NEXT, entries }
    }
}

fn is_part(record: &&Record) -> bool {
    matches!(record, Record::SnapshotPart { .. })
}
