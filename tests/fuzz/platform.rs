//! A simulated platform: its log and its instance list.

use super::Ms;
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::protocol::*;

/// Delay until a change is visible in the instance list.
pub const LIST_LAG: Ms = 2_000;
/// Most entries in one read answer.
const MAX_READ_ENTRIES: usize = 64;

#[derive(Default)]
pub struct Platform {
    pub log: Vec<Bytes>,
    pub first: Offset,
    pub down: bool,
    pub extra_delay: Ms,
    pub lose_answers: bool,
    pub disorder: bool,
    /// Versions of the instance list with the time of the change, oldest first.
    pub list_history: Vec<(Ms, InstanceList)>,
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
        let entries = self.log.iter().enumerate().skip(from as usize).take(MAX_READ_ENTRIES);
        let entries = entries.map(|(i, data)| LogEntry { offset: i as Offset, data: data.clone() });
        ReadAnswer { first: self.first, next: self.next(), entries: entries.collect() }
    }

    /// Returns the list as it was `LIST_LAG` ago.
    pub fn list(&self, now: Ms) -> InstanceList {
        let old = self.list_history.iter().rev().find(|(at, _)| at + LIST_LAG <= now);
        old.or(self.list_history.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
