//! Own records on their way to the log: one batch in flight, its fate learned only by reading.

use crate::ids::*;
use crate::record::{self, Batch, Record, Want};
use crate::replica::AppliedEntry;
use crate::state::{ApplyOutcome, RejectReason};
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Encoded records of one batch in bytes; leaves room for the framing within `MAX_ENTRY_LEN`.
const MAX_BATCH_LEN: usize = record::MAX_ENTRY_LEN - 4 * 1024;
/// Records that wait for their turn. An outage of the log must not fill the memory.
const MAX_QUEUED: usize = 10_000;
/// Fates kept for those who ask.
const MAX_FATES: usize = 20_000;
/// Least time between two batches, so that nine instances stay below several hundred appends a second.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Wait before a batch is sent again whose answer was lost.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Wait before a batch is sent again of which nothing was heard, not even a failure.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// What became of a proposed record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalStatus {
    /// It waits, or was sent and is not read yet.
    Pending,
    /// It is in force since this offset, or was before.
    Applied(Offset),
    /// It was not valid and changed nothing.
    Rejected(Offset, RejectReason),
    /// It was sent, and the entries that would tell were trimmed, or the ticket is too old.
    Unknown,
}

#[derive(Clone, Debug)]
struct Queued {
    ticket: u64,
    len: usize,
    record: Record,
}

/// A batch that was sent and is not read yet.
#[derive(Clone, Debug)]
pub struct InFlightBatch {
    pub seq: u64,
    /// When it was sent first.
    pub sent: Time,
    /// The wants of its `Renew`, if it has one.
    pub want: Option<IndexMap<TeamId, Want>>,
    pub records: Vec<Record>,
    bytes: Bytes,
    resend_at: Time,
    /// Tickets in the order of the records; 0 for the `Renew`.
    tickets: Vec<u64>,
}

/// Own records that are not read back yet, and the fates of earlier ones.
#[derive(Clone, Debug)]
pub struct Outbox {
    writer: EntryId,
    incarnation: Incarnation,
    last_seq: u64,
    last_ticket: u64,
    queue: VecDeque<Queued>,
    in_flight: Option<InFlightBatch>,
    statuses: IndexMap<u64, ProposalStatus>,
    not_before: Time,
}

impl Outbox {
    /// Starts empty.
    pub fn new(writer: EntryId, incarnation: Incarnation) -> Outbox {
        Outbox {
            writer,
            incarnation,
            last_seq: 0,
            last_ticket: 0,
            queue: VecDeque::new(),
            in_flight: None,
            statuses: IndexMap::new(),
            not_before: Time::ZERO,
        }
    }

    /// Queues a record and returns its ticket. One that can never be sent is rejected at once.
    pub fn propose(&mut self, record: Record) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let len = serde_json::to_vec(&record).map_or(usize::MAX, |json| json.len());
        if len > MAX_BATCH_LEN {
            self.set_status(ticket, ProposalStatus::Rejected(0, RejectReason::TooLarge { len }));
        } else if self.queue.len() >= MAX_QUEUED {
            self.set_status(ticket, ProposalStatus::Rejected(0, RejectReason::QueueFull));
        } else {
            self.set_status(ticket, ProposalStatus::Pending);
            self.queue.push_back(Queued { ticket, len, record });
        }
        ticket
    }

    /// Takes a record back that was never sent; false when it was sent or its fate is known.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let Some(at) = self.queue.iter().position(|queued| queued.ticket == ticket) else {
            return false;
        };
        self.queue.remove(at);
        self.statuses.shift_remove(&ticket);
        true
    }

    /// The fate of a ticket.
    pub fn status(&self, ticket: u64) -> ProposalStatus {
        self.statuses.get(&ticket).cloned().unwrap_or(ProposalStatus::Unknown)
    }

    /// Records that wait for their turn.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits or is in flight.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// The batch in flight.
    pub fn in_flight(&self) -> Option<&InFlightBatch> {
        self.in_flight.as_ref()
    }

    /// Whether a new batch may be made now.
    pub fn may_build(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.not_before
    }

    /// The batch to send again, when its time has come.
    pub fn take_resend(&mut self, now: Time) -> Option<(u64, Bytes)> {
        let in_flight = self.in_flight.as_mut().filter(|sent| now >= sent.resend_at)?;
        in_flight.resend_at = now + SILENT_AFTER;
        Some((in_flight.seq, in_flight.bytes.clone()))
    }

    /// Makes a batch of `renew` and what waits. Call only when `may_build`.
    pub fn build(&mut self, now: Time, renew: Option<Record>) -> Option<(u64, Bytes)> {
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
        self.not_before = now + BATCH_INTERVAL;
        let want = batch.records.iter().find_map(|record| match record {
            Record::Renew { want, .. } => Some(want.clone()),
            _ => None,
        });
        self.in_flight = Some(InFlightBatch {
            seq,
            sent: now,
            want,
            records: batch.records,
            bytes: bytes.clone(),
            resend_at: now + SILENT_AFTER,
            tickets,
        });
        Some((seq, bytes))
    }

    /// The log answers again: a batch on its way is due, since its answer was lost with the rest.
    pub fn resend_now(&mut self, now: Time) {
        if let Some(sent) = &mut self.in_flight {
            sent.resend_at = sent.resend_at.min(now);
        }
    }

    /// The answer to an append. Even a positive one only postpones the next sending: the fate is
    /// read from the log.
    pub fn on_append(&mut self, now: Time, seq: u64, answer: Option<Offset>) {
        if let Some(sent) = self.in_flight.as_mut().filter(|sent| sent.seq == seq) {
            let wait = if answer.is_some() { SILENT_AFTER } else { RESEND_AFTER };
            sent.resend_at = now + wait;
        }
    }

    /// Takes an append's answer for the fate of its records, which it is not.
    #[doc(hidden)]
    pub fn assume_applied(&mut self, seq: u64, offset: Offset) {
        let sent = self.in_flight.as_ref().filter(|sent| sent.seq == seq);
        let tickets = sent.map_or(Vec::new(), |sent| sent.tickets.clone());
        for ticket in tickets {
            self.set_status(ticket, ProposalStatus::Applied(offset));
        }
    }

    /// Takes note of a folded entry; returns the batch in flight when it is the one.
    pub fn on_entry_applied(&mut self, folded: &AppliedEntry) -> Option<InFlightBatch> {
        let mine = folded.batch.incarnation == self.incarnation;
        let sent = self.in_flight.take_if(|sent| mine && sent.seq == folded.batch.seq)?;
        for (ticket, outcome) in sent.tickets.iter().zip(&folded.outcomes) {
            let fate = match outcome {
                ApplyOutcome::Applied | ApplyOutcome::Repeated => {
                    ProposalStatus::Applied(folded.offset)
                }
                ApplyOutcome::Rejected(reject) => {
                    ProposalStatus::Rejected(folded.offset, reject.clone())
                }
            };
            self.set_status(*ticket, fate);
        }
        Some(sent)
    }

    /// The state snapshot_loaded to a snapshot that covers batches up to `last_seq` of this incarnation.
    /// Returns the batch in flight if it is among them; its records' fates stay unknown.
    pub fn on_snapshot_loaded(&mut self, last_seq: Option<u64>) -> Option<InFlightBatch> {
        let covered = |sent: &mut InFlightBatch| last_seq.is_some_and(|last| sent.seq <= last);
        let sent = self.in_flight.take_if(covered)?;
        for ticket in &sent.tickets {
            self.set_status(*ticket, ProposalStatus::Unknown);
        }
        Some(sent)
    }

    fn set_status(&mut self, ticket: u64, fate: ProposalStatus) {
        if ticket == 0 {
            return;
        }
        self.statuses.insert(ticket, fate);
        if self.statuses.len() > MAX_FATES {
            self.evict_statuses();
        }
    }

    /// Drops the oldest fates that are known, a quarter at a time to spread the cost.
    fn evict_statuses(&mut self) {
        let mut left = MAX_FATES / 4;
        self.statuses.retain(|_, fate| {
            let drop = left > 0 && *fate != ProposalStatus::Pending;
            left -= usize::from(drop);
            !drop
        });
    }
}
