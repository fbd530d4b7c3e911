//! Orders for maintenance and moves of machines during one term.

use crate::batch::maintenance::{Machine, MachineId};
use crate::batch::ordered_machines::ORDER_WINDOW;
use crate::event::{Event, Field};
use crate::ids::Time;
use crate::instance::shared::Shared;
use crate::instance::term::Term;
use crate::platform::machines::{LeaseHolder, MachineOutcome, Machines};
use crate::platform::operator_records;
use crate::platform::store::{self, AppendCondition, StoreError};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two passes. Maintenance of a machine takes 2 s and a move 1.5 s.
const PASS_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time between planning and sending orders: one pass. The store usually responds within a
/// few ms.
const ANNOUNCE_TIMEOUT: Duration = PASS_INTERVAL;

/// Carries out maintenance waves and moves of machines.
pub async fn run(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.cfg.machines_addr.clone() else { return };
    let machines = Machines::new(shared.http.clone(), address);
    let mut reported_waves: HashMap<u64, bool> = HashMap::new();
    let mut status_sequence = 0;
    loop {
        sleep(PASS_INTERVAL).await;
        if !term.may_send_orders() {
            continue;
        }
        let open_waves = open_waves(&shared, &reported_waves);
        let Some(listed) = list_machines(&shared, &machines).await else { continue };
        order_maintenance(&shared, &term, &machines, &listed).await;
        order_moves(&shared, &term, &machines, &listed).await;
        // Lists the machines again, so that workers of machines that have just disappeared are
        // handled now and not one pass later.
        let Some(listed) = list_machines(&shared, &machines).await else { continue };
        for wave in open_waves {
            let complete = is_complete(&shared, wave, &listed);
            if reported_waves.get(&wave) == Some(&complete) {
                continue;
            }
            if report_wave(&shared, &term, wave, complete, &mut status_sequence).await {
                reported_waves.insert(wave, complete);
            }
        }
    }
}

/// Reads the list of machines and passes it to the owner.
async fn list_machines(
    shared: &Shared,
    machines: &Machines,
) -> Option<IndexMap<MachineId, Machine>> {
    let requested_at = shared.now();
    let listed = machines.list().await?;
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.apply_machine_list(&listed, requested_at, shared.now());
        shared.plan_needed.notify_one();
    }
    Some(listed)
}

/// Returns the declared waves that have not been reported as complete.
fn open_waves(shared: &Shared, reported_waves: &HashMap<u64, bool>) -> Vec<u64> {
    let active_config = shared.active_config();
    active_config.waves.keys().copied().filter(|w| reported_waves.get(w) != Some(&true)).collect()
}

/// Stores which machines are about to receive orders. Returns the time until which the orders may
/// be sent, or `None` if storing took so long that the reasons for the orders may no longer hold.
async fn announce_orders(
    shared: &Shared,
    machines: impl Iterator<Item = &MachineId>,
) -> Option<Time> {
    let now = shared.now();
    let announcement = shared.owner.lock().as_mut()?.ordered_machines.announce(machines, now);
    shared.plan_needed.notify_one();
    let stored = async {
        loop {
            let batch_stored = shared.batch_stored.notified();
            match shared.owner.lock().as_ref() {
                Some(owner) if owner.ordered_machines.is_stored(announcement) => return true,
                Some(_) => {}
                None => return false,
            }
            batch_stored.await;
        }
    };
    let is_stored = timeout(ANNOUNCE_TIMEOUT, stored).await.unwrap_or(false);
    is_stored.then_some(now + ORDER_WINDOW)
}

async fn order_maintenance(
    shared: &Shared,
    term: &Term,
    machines: &Machines,
    listed: &IndexMap<MachineId, Machine>,
) {
    let chosen = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        owner.plan_maintenance(listed, shared.now())
    };
    if chosen.is_empty() {
        return;
    }
    let ids = chosen.iter().map(|order| &order.machine);
    let Some(send_until) = announce_orders(shared, ids).await else { return };
    let confirmed = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        owner.confirm_maintenance(&chosen, listed, shared.now())
    };
    let holder = LeaseHolder { name: shared.cfg.name.to_string(), fence: term.number };
    for order in confirmed {
        if !term.may_send_orders() || shared.now() > send_until {
            return;
        }
        let outcome = machines.start_maintenance(&order.machine, order.wave, &holder).await;
        let target_field = ("wave", order.wave.into());
        log_order(shared, Event::UpkeepOrdered, &order.machine, target_field, outcome);
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match outcome {
            MachineOutcome::Begun => owner.record_maintenance_start(&order),
            MachineOutcome::Unfit => owner.skip_maintenance(&order),
            MachineOutcome::Fenced => return term.end("a later owner has sent orders to machines"),
            // The next pass retries; the platform also confirms maintenance that has already begun.
            MachineOutcome::Unknown => owner.record_unanswered_maintenance(&order, shared.now()),
            MachineOutcome::Busy | MachineOutcome::Refused => {}
        }
    }
}

async fn order_moves(
    shared: &Shared,
    term: &Term,
    machines: &Machines,
    listed: &IndexMap<MachineId, Machine>,
) {
    let moves = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        owner.plan_moves(listed, shared.now())
    };
    if moves.is_empty() {
        return;
    }
    let send_until = announce_orders(shared, moves.iter().map(|order| &order.machine)).await;
    let holder = LeaseHolder { name: shared.cfg.name.to_string(), fence: term.number };
    for order in moves {
        if !term.may_send_orders() {
            return;
        }
        if send_until.is_none_or(|send_until| shared.now() > send_until) {
            let mut lock = shared.owner.lock();
            let Some(owner) = lock.as_mut() else { return };
            owner.abandon_move(&order);
            continue;
        }
        let outcome = machines.move_machine(&order.machine, &order.to, &holder).await;
        let target_field = ("pool", (&order.to).into());
        log_order(shared, Event::MachineMoveOrdered, &order.machine, target_field, outcome);
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match outcome {
            MachineOutcome::Fenced => return term.end("a later owner has sent orders to machines"),
            // The worker on the machine gets no starts until the list of machines shows the result.
            MachineOutcome::Begun | MachineOutcome::Unknown => {}
            MachineOutcome::Busy | MachineOutcome::Unfit | MachineOutcome::Refused => {
                owner.abandon_move(&order);
            }
        }
    }
}

fn log_order(
    shared: &Shared,
    event: Event,
    machine: &MachineId,
    target_field: (&'static str, Field<'_>),
    outcome: MachineOutcome,
) {
    let outcome_name = format!("{outcome:?}");
    shared.log.event(
        event,
        &[("machine", machine.into()), target_field, ("answer", (&outcome_name).into())],
    );
}

/// Whether all machines of a wave that still exist have begun their maintenance.
fn is_complete(shared: &Shared, wave: u64, listed: &IndexMap<MachineId, Machine>) -> bool {
    let active_config = shared.active_config();
    let lock = shared.owner.lock();
    let (Some(wave), Some(owner)) = (active_config.waves.get(&wave), lock.as_ref()) else {
        return false;
    };
    owner.wave_progress.remaining_machines(wave).all(|m| !listed.contains_key(m))
}

async fn report_wave(
    shared: &Shared,
    term: &Term,
    wave: u64,
    complete: bool,
    sequence: &mut u64,
) -> bool {
    let (key, value) = operator_records::encode_wave_status(wave, complete);
    let condition =
        AppendCondition { expected_end: None, producer: Some((term.number, *sequence)) };
    match shared.store.append(store::STATUS_TOPIC, &[(&key, Some(&value))], condition).await {
        Ok(_) => {
            *sequence += 1;
            if complete {
                shared.log.event(Event::WaveComplete, &[("wave", wave.into())]);
            }
            true
        }
        Err(StoreError::SequenceMismatch { expected }) => {
            *sequence = expected;
            false
        }
        Err(_) => false,
    }
}
