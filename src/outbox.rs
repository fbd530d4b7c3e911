//! Queue of records that this instance proposes for the log. One batch is in flight at a time; its
//! outcome is learned only by reading the log.

use crate::ids::*;
use crate::record::{self, Batch, Record, Want};
use crate::replica::AppliedEntry;
use crate::state::{ApplyOutcome, RejectReason};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum encoded length of the records of one batch in bytes; leaves room for the framing within
/// `MAX_ENTRY_LEN`.
const MAX_BATCH_LEN: usize = record::MAX_ENTRY_LEN - 4 * 1024;
/// Maximum number of queued records. An outage of the log must not exhaust the memory.
const MAX_QUEUED_RECORDS: usize = 10_000;
/// Maximum number of proposal statuses that are kept for queries.
const MAX_STATUSES: usize = 20_000;
/// Minimum time between two batches, so that nine instances stay below several hundred appends per
/// second.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a batch is resent after its append answer was lost.
const LOST_ANSWER_RESEND_DELAY: Duration = Duration::from_millis(500);
/// Delay before a batch is resent if neither an answer nor a failure was reported, or if it was
/// acknowledged but not read back.
const NO_ANSWER_RESEND_DELAY: Duration = Duration::from_secs(2);

/// Status of a proposed record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalStatus {
    /// It is queued, or was sent and has not been read back.
    Pending,
    /// It was applied at this offset, or repeats a record that was applied before.
    Applied(Offset),
    /// It was not valid and changed nothing; offset 0 if it was never sent.
    Rejected(Offset, RejectReason),
    /// It was sent, but the entries that contain its outcome were trimmed; or the ticket is too
    /// old.
    Unknown,
}

#[derive(Clone, Debug)]
struct Queued {
    ticket: u64,
    len: usize,
    record: Record,
}

/// A batch that was sent and has not been read back from the log.
#[derive(Clone, Debug)]
pub struct InFlightBatch {
    pub seq: u64,
    /// Time of the first send.
    pub sent_at: Time,
    /// Units requested by its `Renew`, if it contains one.
    pub want: Option<IndexMap<TeamId, Want>>,
    pub records: Vec<Record>,
    bytes: Bytes,
    resend_at: Time,
    /// Tickets in the order of the records; 0 stands for the `Renew`.
    tickets: Vec<u64>,
}

/// Proposed records that have not been read back, and the statuses of earlier ones.
#[derive(Clone, Debug)]
pub struct Outbox {
    writer: EntryId,
    incarnation: Incarnation,
    last_seq: u64,
    last_ticket: u64,
    queue: VecDeque<Queued>,
    in_flight: Option<InFlightBatch>,
    statuses: IndexMap<u64, ProposalStatus>,
    next_batch_at: Time,
}

impl Outbox {
    pub fn new(writer: EntryId, incarnation: Incarnation) -> Outbox {
        Outbox {
            writer,
            incarnation,
            last_seq: 0,
            last_ticket: 0,
            queue: VecDeque::new(),
            in_flight: None,
            statuses: IndexMap::new(),
            next_batch_at: Time::ZERO,
        }
    }

    /// Queues a record and returns its ticket. A record that is too large, or for which the queue
    /// has no room, is rejected immediately.
    pub fn propose(&mut self, record: Record) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let len = serde_json::to_vec(&record).map_or(usize::MAX, |json| json.len());
        if len > MAX_BATCH_LEN {
            self.set_status(ticket, ProposalStatus::Rejected(0, RejectReason::TooLarge { len }));
        } else if self.queue.len() >= MAX_QUEUED_RECORDS {
            self.set_status(ticket, ProposalStatus::Rejected(0, RejectReason::QueueFull));
        } else {
            self.set_status(ticket, ProposalStatus::Pending);
            self.queue.push_back(Queued { ticket, len, record });
        }
        ticket
    }

    /// Removes a record that was never sent from the queue. Returns false if it was sent or already
    /// has a final status.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let Some(at) = self.queue.iter().position(|queued| queued.ticket == ticket) else {
            return false;
        };
        self.queue.remove(at);
        self.statuses.shift_remove(&ticket);
        true
    }

    /// Returns the status of a ticket.
    pub fn status(&self, ticket: u64) -> ProposalStatus {
        self.statuses.get(&ticket).cloned().unwrap_or(ProposalStatus::Unknown)
    }

    /// Returns the number of queued records.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether no record is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns the batch in flight.
    pub fn in_flight(&self) -> Option<&InFlightBatch> {
        self.in_flight.as_ref()
    }

    /// Whether a new batch may be built now.
    pub fn may_build_batch(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.next_batch_at
    }

    /// Returns the batch in flight if it is due to be resent.
    pub fn due_resend(&mut self, now: Time) -> Option<(u64, Bytes)> {
        let in_flight = self.in_flight.as_mut().filter(|sent| now >= sent.resend_at)?;
        in_flight.resend_at = now + NO_ANSWER_RESEND_DELAY;
        Some((in_flight.seq, in_flight.bytes.clone()))
    }

    /// Builds a batch of `renew` and the queued records. Call it only if `may_build_batch` returns
    /// true.
    pub fn build_batch(&mut self, now: Time, renew: Option<Record>) -> Option<(u64, Bytes)> {
        let mut tickets = Vec::new();
        let mut records = Vec::new();
        let mut len = 0;
        if let Some(renew) = renew {
            len += serde_json::to_vec(&renew).map_or(0, |json| json.len());
            tickets.push(0);
            records.push(renew);
        }
        while let Some(queued) = self.queue.pop_front_if(|q| len + q.len < MAX_BATCH_LEN) {
            len += queued.len + 1;
            tickets.push(queued.ticket);
            records.push(queued.record);
        }
        if records.is_empty() {
            return None;
        }
        self.send(now, records, tickets)
    }

    fn send(&mut self, now: Time, records: Vec<Record>, tickets: Vec<u64>) -> Option<(u64, Bytes)> {
        let seq = self.last_seq + 1;
        let batch =
            Batch { writer: self.writer.clone(), incarnation: self.incarnation, seq, records };
        let Ok(bytes) = record::encode(&batch) else {
            let too_large = RejectReason::TooLarge { len: MAX_BATCH_LEN };
            for ticket in tickets {
                self.set_status(ticket, ProposalStatus::Rejected(0, too_large.clone()));
            }
            return None;
        };
        self.last_seq = seq;
        self.next_batch_at = now + MIN_BATCH_INTERVAL;
        let want = batch.records.iter().find_map(|record| match record {
            Record::Renew { want, .. } => Some(want.clone()),
            _ => None,
        });
        self.in_flight = Some(InFlightBatch {
            seq,
            sent_at: now,
            want,
            records: batch.records,
            bytes: bytes.clone(),
            resend_at: now + NO_ANSWER_RESEND_DELAY,
            tickets,
        });
        Some((seq, bytes))
    }

    /// Makes the batch in flight due immediately. Called when the log is reachable again, since the
    /// answer to the batch was probably lost in the outage.
    pub fn resend_now(&mut self, now: Time) {
        if let Some(sent) = &mut self.in_flight {
            sent.resend_at = sent.resend_at.min(now);
        }
    }

    /// Handles the answer to an append. Even a successful answer only postpones the next resend:
    /// whether the records were applied is read from the log.
    pub fn on_append(&mut self, now: Time, seq: u64, answer: Option<Offset>) {
        if let Some(sent) = self.in_flight.as_mut().filter(|sent| sent.seq == seq) {
            let wait =
                if answer.is_some() { NO_ANSWER_RESEND_DELAY } else { LOST_ANSWER_RESEND_DELAY };
            sent.resend_at = now + wait;
        }
    }

    /// Marks the records of a batch as applied because its append was acknowledged. Wrong by
    /// design; used only by the fuzzer's `TrustAppendAnswers` mutation.
    #[doc(hidden)]
    pub fn assume_applied(&mut self, seq: u64, offset: Offset) {
        let sent = self.in_flight.as_ref().filter(|sent| sent.seq == seq);
        let tickets = sent.map_or(Vec::new(), |sent| sent.tickets.clone());
        for ticket in tickets {
            self.set_status(ticket, ProposalStatus::Applied(offset));
        }
    }

    /// Handles an applied entry. Returns the batch in flight if the entry contains it.
    pub fn on_entry_applied(&mut self, entry: &AppliedEntry) -> Option<InFlightBatch> {
        let is_own = entry.batch.incarnation == self.incarnation;
        let sent = self.in_flight.take_if(|sent| is_own && sent.seq == entry.batch.seq)?;
        for (ticket, outcome) in sent.tickets.iter().zip(&entry.outcomes) {
            let status = match outcome {
                ApplyOutcome::Applied | ApplyOutcome::Repeated => {
                    ProposalStatus::Applied(entry.offset)
                }
                ApplyOutcome::Rejected(reject) => {
                    ProposalStatus::Rejected(entry.offset, reject.clone())
                }
            };
            self.set_status(*ticket, status);
        }
        Some(sent)
    }

    /// Handles a loaded snapshot that covers batches up to `last_seq` of this incarnation. Returns
    /// the batch in flight if it is covered; the statuses of its records become unknown.
    pub fn on_snapshot_loaded(&mut self, last_seq: Option<u64>) -> Option<InFlightBatch> {
        let covered = |sent: &mut InFlightBatch| last_seq.is_some_and(|last| sent.seq <= last);
        let sent = self.in_flight.take_if(covered)?;
        for ticket in &sent.tickets {
            self.set_status(*ticket, ProposalStatus::Unknown);
        }
        Some(sent)
    }

    fn set_status(&mut self, ticket: u64, status: ProposalStatus) {
        if ticket == 0 {
            return;
        }
        self.statuses.insert(ticket, status);
        if self.statuses.len() > MAX_STATUSES {
            self.evict_statuses();
        }
    }

    /// Evicts a quarter of the statuses, oldest first and pending ones excepted. Evicting many at a
    /// time spreads the cost.
    fn evict_statuses(&mut self) {
        let mut to_evict = MAX_STATUSES / 4;
        self.statuses.retain(|_, status| {
            let evict = to_evict > 0 && *status != ProposalStatus::Pending;
            to_evict -= usize::from(evict);
            !evict
        });
    }
}
