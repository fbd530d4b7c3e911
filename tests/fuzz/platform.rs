//! The platform's log and list.

use super::Ms;
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::protocol::*;

/// How long the list lags behind.
pub const LIST_LAG: Ms = 2_000;
/// Entries in one answer.
const READ_MAX: usize = 64;

#[derive(Default)]
pub struct Platform {
    pub log: Vec<Bytes>,
    pub first: Offset,
    pub down: bool,
    pub slow: Ms,
    pub lose_answers: bool,
    pub disorder: bool,
    /// States of the list with their time; the newest last.
    pub lists: Vec<(Ms, InstanceList)>,
}

impl Platform {
    pub fn append(&mut self, bytes: &Bytes) -> Offset {
        self.log.push(bytes.clone());
        self.log.len() as Offset - 1
    }

    pub fn next(&self) -> Offset {
        self.log.len() as Offset
    }

    pub fn read(&self, from: Offset) -> ReadAnswer {
        let from = from.max(self.first);
        let entries = self.log.iter().enumerate().skip(from as usize).take(READ_MAX);
        let entries = entries.map(|(i, data)| LogEntry { offset: i as Offset, data: data.clone() });
        ReadAnswer { first: self.first, next: self.next(), entries: entries.collect() }
    }

    /// The list as it was `LIST_LAG` ago.
    pub fn list(&self, now: Ms) -> InstanceList {
        let old = self.lists.iter().rev().find(|(at, _)| at + LIST_LAG <= now);
        old.or(self.lists.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
