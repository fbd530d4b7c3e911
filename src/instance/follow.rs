//! Follows what operators declare and who owns the decisions.

use crate::batch::declarations::ActiveConfig;
use crate::event::Event;
use crate::instance::boottime;
use crate::instance::shared::{Leader, Shared};
use crate::platform::declared::{self, Subject};
use crate::platform::store::{self, Record, StoreError, Tail};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Wait of a read of the operators' topic. Short, so that a connection gone silent costs less than
/// the 2 s in which a version is to be in force.
const READ_WAIT: Duration = Duration::from_millis(700);
/// Pause after a read that failed.
const READ_AGAIN: Duration = Duration::from_millis(100);
/// Key of the one record that names the owner.
pub const OWNER_KEY: &str = "owner";

/// The record that names the owner.
#[derive(Deserialize, Serialize)]
struct OwnerRecord {
    term: u64,
    life: u64,
    name: String,
    zone: String,
    peers: String,
    /// The owner gives its office back.
    resigned: bool,
}

/// Follows the operators' topic for as long as the process lives.
pub async fn operators(shared: Arc<Shared>) {
    let mut next: Option<u64> = None;
    loop {
        let asked = boottime::now();
        match read(&shared, store::OPERATORS, next, READ_WAIT).await {
            Ok((tail, whole)) => {
                shared.store_answered(true, "");
                next = Some(tail.next);
                apply(&shared, &tail, whole);
                if tail.next >= tail.end {
                    shared.view.lock().confirmed = Some(asked);
                }
            }
            Err(StoreError::Gone { .. }) => next = None,
            Err(e) => {
                shared.store_answered(false, &e.to_string());
                sleep(READ_AGAIN).await;
            }
        }
    }
}

/// The topic from an offset on, or the newest record of each key. Answers whether the records are
/// all that there is.
pub async fn read(
    shared: &Shared,
    topic: &str,
    from: Option<u64>,
    wait: Duration,
) -> Result<(Tail, bool), StoreError> {
    match from {
        Some(from) => Ok((shared.store.read(topic, from, wait).await?, false)),
        None => Ok((shared.store.newest(topic).await?, true)),
    }
}

fn apply(shared: &Shared, tail: &Tail, whole: bool) {
    if tail.unreadable > 0 {
        let error = format!("{} records of operators have no key", tail.unreadable);
        shared.log.event(Event::RecordUnreadable, &[("error", (&error).into())]);
    }
    if tail.records.is_empty() && !whole {
        return;
    }
    let mut view = shared.view.lock();
    let mut active_config = ActiveConfig::clone(&view.active_config);
    if whole {
        active_config.zones_out.clear();
        active_config.waves.clear();
    }
    for record in &tail.records {
        apply_record(shared, &mut active_config, record);
    }
    view.active_config = Arc::new(active_config);
    drop(view);
    let active_config = shared.active_config();
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.active_config = active_config;
    }
    shared.wake.notify_one();
}

fn apply_record(shared: &Shared, active_config: &mut ActiveConfig, record: &Record) {
    match (declared::subject(&record.key), &record.value) {
        (Some(Subject::Declarations), Some(value)) => match declared::declarations(value) {
            // A version never goes back, whatever order records are read in.
            Some(newer) if newer.version > active_config.declarations.version => {
                let fields = [("version", newer.version.into()), ("offset", record.offset.into())];
                shared.log.event(Event::VersionInForce, &fields);
                active_config.declarations = Arc::new(newer);
            }
            Some(_) => {}
            None => {
                let error = "declarations cannot be read";
                shared.log.event(Event::RecordUnreadable, &[("error", error.into())]);
            }
        },
        (Some(Subject::Declarations), None) => {}
        (Some(Subject::ZoneOut(zone)), Some(_)) => {
            let fields = [("zone", (&zone).into()), ("offset", record.offset.into())];
            shared.log.event(Event::ZoneOut, &fields);
            active_config.zones_out.insert(zone);
        }
        (Some(Subject::ZoneOut(zone)), None) => {
            shared.log.event(Event::ZoneBack, &[("zone", (&zone).into())]);
            active_config.zones_out.swap_remove(&zone);
        }
        (Some(Subject::Wave(number)), Some(value)) => {
            if let Some(wave) = declared::wave(number, value) {
                let machines = wave.machines.len() as u64;
                let fields = [("wave", number.into()), ("machines", machines.into())];
                shared.log.event(Event::WaveAsked, &fields);
                active_config.waves.insert(number, wave);
            }
        }
        (Some(Subject::Wave(number)), None) => {
            active_config.waves.swap_remove(&number);
        }
        (None, _) => {}
    }
}

/// The record by which an instance says that it owns the decisions.
pub fn owner_record(shared: &Shared, term: u64, resigned: bool) -> Vec<u8> {
    let record = OwnerRecord {
        term,
        life: shared.life,
        name: shared.cfg.name.to_string(),
        zone: shared.cfg.zone.to_string(),
        peers: shared.cfg.peers.to_string(),
        resigned,
    };
    // Numbers and texts always encode.
    serde_json::to_vec(&record).unwrap_or_default()
}

/// Who owns the decisions by the newest such record; the second is whether the office was given back.
pub fn leader(record: &Record) -> Option<(Leader, bool)> {
    if record.key != OWNER_KEY {
        return None;
    }
    let record: OwnerRecord = serde_json::from_slice(record.value.as_ref()?).ok()?;
    let leader = Leader {
        term: record.term,
        life: record.life,
        name: record.name.as_str().into(),
        zone: record.zone.as_str().into(),
        peers: record.peers,
    };
    Some((leader, record.resigned))
}
