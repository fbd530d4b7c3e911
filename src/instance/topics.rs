//! Reads of the store's topics: operators' records and owner records.

use crate::batch::declarations::ActiveConfig;
use crate::batch::owner::MAX_TERM;
use crate::batch::prior_leases::LeaseRecord;
use crate::event::Event;
use crate::instance::boottime;
use crate::instance::config::MachineSize;
use crate::instance::shared::{OwnerInfo, Shared};
use crate::platform::operator_records::{self, OperatorKey};
use crate::platform::store::{self, Fetched, Partition, Record, StoreError};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest wait of a read of the operators' topic. It is short so that a dead connection costs less
/// than the 2 s within which a new version must be in force.
const OPERATORS_READ_WAIT: Duration = Duration::from_millis(700);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest owner record: the platform takes none that is longer.
const MAX_OWNER_RECORD_BYTES: usize = 256 * 1_024;
/// Key of the single record that names the owner.
pub const OWNER_KEY: &str = "owner";

/// Stored record that names the owner.
#[derive(Deserialize, Serialize)]
struct OwnerRecord {
    term: u64,
    #[serde(rename = "life")]
    incarnation: u64,
    name: String,
    zone: String,
    peers: String,
    /// Absent in records of earlier versions.
    #[serde(default)]
    machine: MachineSize,
    /// Whether the owner has resigned.
    resigned: bool,
    /// Absent in records of earlier versions.
    #[serde(default)]
    term_age_ms: u64,
    /// Absent in records of earlier versions.
    #[serde(default)]
    leases: Option<LeaseRecord>,
    /// Absent in records of earlier versions, whose owners read the first partition only.
    #[serde(default = "first_partition_only")]
    submission_partitions: u32,
}

fn first_partition_only() -> u32 {
    1
}

/// Content of an owner record.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerStatus {
    pub owner: OwnerInfo,
    pub has_resigned: bool,
    /// What the owner says about leases; `None` in records of earlier versions.
    pub leases: Option<LeaseRecord>,
    /// Partitions from which the owner reads callers' records, counted from the first.
    pub submission_partitions: u32,
}

/// Follows the operators' topic for as long as the process runs.
pub async fn follow_operators(shared: Arc<Shared>) {
    let mut next: Option<u64> = None;
    loop {
        let requested_at = boottime::now();
        match read_topic(&shared, store::OPERATORS_TOPIC, next, OPERATORS_READ_WAIT).await {
            Ok((fetched, is_full)) => {
                shared.set_store_reachable(true, "");
                next = Some(fetched.next_offset);
                apply_operator_records(&shared, &fetched, is_full);
                if fetched.next_offset >= fetched.end {
                    shared.view.lock().confirmed_at = Some(requested_at);
                }
            }
            Err(StoreError::Truncated { .. }) => next = None,
            Err(e) => {
                shared.set_store_reachable(false, &e.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads a partition from an offset on, or the latest record of each key if there is no offset. The
/// returned flag tells whether the records are the full content of the partition.
pub async fn read_topic(
    shared: &Shared,
    partition: impl Into<Partition<'_>>,
    from: Option<u64>,
    wait: Duration,
) -> Result<(Fetched, bool), StoreError> {
    let partition = partition.into();
    let fetched = match from {
        Some(from) => shared.store.read(partition, from, wait).await?,
        None => shared.store.read_latest(partition).await?,
    };
    log_unreadable_records(shared, partition, &fetched);
    Ok((fetched, from.is_none()))
}

/// Logs the records of a read that have no readable key or value.
pub fn log_unreadable_records(shared: &Shared, partition: Partition<'_>, fetched: &Fetched) {
    for offset in &fetched.unreadable {
        shared.log_unreadable(partition, *offset, "", "the record has no readable key or value");
    }
}

fn apply_operator_records(shared: &Shared, fetched: &Fetched, is_full: bool) {
    if fetched.records.is_empty() && !is_full {
        return;
    }
    let mut view = shared.view.lock();
    let mut active_config = ActiveConfig::clone(&view.active_config);
    if is_full {
        active_config.zones_out.clear();
        active_config.waves.clear();
    }
    for record in &fetched.records {
        apply_operator_record(shared, &mut active_config, record);
    }
    view.active_config = Arc::new(active_config);
    drop(view);
    let active_config = shared.active_config();
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.active_config = active_config;
    }
    shared.plan_needed.notify_one();
}

fn apply_operator_record(shared: &Shared, active_config: &mut ActiveConfig, record: &Record) {
    let log_unreadable = |error: &str| {
        shared.log_unreadable(store::OPERATORS_TOPIC, record.offset, &record.key, error);
    };
    match (operator_records::parse_key(&record.key), &record.value) {
        (Some(OperatorKey::Declarations), Some(value)) => {
            match operator_records::decode_declarations(value) {
                // The version never decreases, in whatever order records are read.
                Some(declarations) if declarations.version > active_config.declarations.version => {
                    let fields = [
                        ("version", declarations.version.into()),
                        ("offset", record.offset.into()),
                    ];
                    shared.log.event(Event::VersionInForce, &fields);
                    active_config.declarations = Arc::new(declarations);
                }
                Some(_) => {}
                None => log_unreadable("declarations are malformed"),
            }
        }
        (Some(OperatorKey::Declarations), None) => {}
        (Some(OperatorKey::ZoneOut(zone)), Some(_)) => {
            let fields = [("zone", (&zone).into()), ("offset", record.offset.into())];
            shared.log.event(Event::ZoneOut, &fields);
            active_config.zones_out.insert(zone);
        }
        (Some(OperatorKey::ZoneOut(zone)), None) => {
            shared.log.event(Event::ZoneBack, &[("zone", (&zone).into())]);
            active_config.zones_out.swap_remove(&zone);
        }
        (Some(OperatorKey::Wave(number)), Some(value)) => {
            let Some(wave) = operator_records::decode_wave(number, value) else {
                return log_unreadable("the wave is malformed");
            };
            let machines = wave.machines.len() as u64;
            let fields = [("wave", number.into()), ("machines", machines.into())];
            shared.log.event(Event::WaveAsked, &fields);
            active_config.waves.insert(number, wave);
        }
        (Some(OperatorKey::Wave(number)), None) => {
            active_config.waves.swap_remove(&number);
        }
        (None, Some(_)) => log_unreadable("the key is unknown"),
        (None, None) => {}
    }
}

/// Encodes the record by which this instance declares itself the owner of a term that began `term_age`
/// ago.
pub fn encode_owner_record(
    shared: &Shared,
    term: u64,
    term_age: Duration,
    resigned: bool,
    leases: LeaseRecord,
) -> Vec<u8> {
    let record = OwnerRecord {
        term,
        incarnation: shared.incarnation,
        name: shared.cfg.name.to_string(),
        zone: shared.cfg.zone.to_string(),
        peers: shared.cfg.peers_addr.to_string(),
        machine: shared.cfg.machine,
        resigned,
        term_age_ms: u64::try_from(term_age.as_millis()).unwrap_or(u64::MAX),
        leases: Some(leases),
        submission_partitions: shared.read_partitions(),
    };
    // Serializing numbers and strings cannot fail.
    serde_json::to_vec(&record).unwrap_or_default()
}

/// Decodes an owner record; `None` if it is another record or malformed. A term that leaves no room for
/// later ones is another writer's.
pub fn decode_owner_record(record: &Record) -> Option<OwnerStatus> {
    if record.key != OWNER_KEY {
        return None;
    }
    let value = record.value.as_ref().filter(|v| v.len() <= MAX_OWNER_RECORD_BYTES)?;
    let record: OwnerRecord = serde_json::from_slice(value).ok().filter(is_term_in_range)?;
    let owner = OwnerInfo {
        term: record.term,
        incarnation: record.incarnation,
        name: record.name.as_str().into(),
        zone: record.zone.as_str().into(),
        peers: record.peers,
        machine: record.machine,
        term_age: Duration::from_millis(record.term_age_ms),
    };
    Some(OwnerStatus {
        owner,
        has_resigned: record.resigned,
        leases: record.leases,
        submission_partitions: record.submission_partitions,
    })
}

fn is_term_in_range(record: &OwnerRecord) -> bool {
    record.term < MAX_TERM
}
