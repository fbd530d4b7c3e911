//! Maintenance and moves of machines, in one term.

use crate::batch::maintenance::{Machine, MachineId};
use crate::batch::ordered_machines::ORDER_WINDOW;
use crate::event::{Event, Field};
use crate::ids::Time;
use crate::instance::shared::Shared;
use crate::instance::term::Term;
use crate::platform::declared;
use crate::platform::machines::{Holder, MachineAnswer, Machines};
use crate::platform::store::{self, Guard, StoreError};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two passes; upkeep of a machine takes 2 s, a move 1.5 s.
const PASS_EVERY: Duration = Duration::from_millis(300);

/// Longest time between a plan and its orders: one pass. The store usually takes a few ms.
const ANNOUNCED_WITHIN: Duration = PASS_EVERY;

/// Carries out waves of maintenance and moves.
pub async fn run(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.cfg.machines.clone() else { return };
    let machines = Machines::new(shared.http.clone(), address);
    let mut reported: HashMap<u64, bool> = HashMap::new();
    let mut status_number = 0;
    loop {
        sleep(PASS_EVERY).await;
        if !term.may_order() {
            continue;
        }
        let open = open_waves(&shared, &reported);
        let Some(listed) = list(&shared, &machines).await else { continue };
        pass(&shared, &term, &machines, &listed).await;
        move_machines(&shared, &term, &machines, &listed).await;
        // Workers whose machines have just gone are over now, not one pass later.
        let Some(listed) = list(&shared, &machines).await else { continue };
        for wave in open {
            let complete = is_complete(&shared, wave, &listed);
            if reported.get(&wave) == Some(&complete) {
                continue;
            }
            if report(&shared, &term, wave, complete, &mut status_number).await {
                reported.insert(wave, complete);
            }
        }
    }
}

/// Reads the machines and tells the owner.
async fn list(shared: &Shared, machines: &Machines) -> Option<IndexMap<MachineId, Machine>> {
    let listed = machines.list().await?;
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.apply_machine_list(&listed, shared.now());
        shared.wake.notify_one();
    }
    Some(listed)
}

/// Waves in force that were not reported as complete.
fn open_waves(shared: &Shared, reported: &HashMap<u64, bool>) -> Vec<u64> {
    let active_config = shared.active_config();
    active_config.waves.keys().copied().filter(|w| reported.get(w) != Some(&true)).collect()
}

/// Stores which machines are about to get orders. Answers until when the orders may be sent; `None`
/// where that took so long that their reasons may no longer hold.
async fn announced(shared: &Shared, machines: impl Iterator<Item = &MachineId>) -> Option<Time> {
    let now = shared.now();
    let number = shared.owner.lock().as_mut()?.ordered_machines.announce(machines, now);
    shared.wake.notify_one();
    let stored = async {
        loop {
            let committed = shared.committed.notified();
            match shared.owner.lock().as_ref() {
                Some(owner) if owner.ordered_machines.is_stored(number) => return true,
                Some(_) => {}
                None => return false,
            }
            committed.await;
        }
    };
    let is_stored = timeout(ANNOUNCED_WITHIN, stored).await.unwrap_or(false);
    is_stored.then_some(now + ORDER_WINDOW)
}

async fn pass(
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
    let Some(until) = announced(shared, ids).await else { return };
    let confirmed = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        owner.confirm_maintenance(&chosen, listed, shared.now())
    };
    let holder = Holder { name: shared.cfg.name.to_string(), fence: term.number };
    for order in confirmed {
        if !term.may_order() || shared.now() > until {
            return;
        }
        let answer = machines.upkeep(&order.machine, order.wave, &holder).await;
        let aim = ("wave", order.wave.into());
        log_order(shared, Event::UpkeepOrdered, &order.machine, aim, answer);
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match answer {
            MachineAnswer::Begun => owner.record_maintenance_start(&order),
            MachineAnswer::Unfit => owner.skip_maintenance(&order),
            MachineAnswer::Fenced => return term.end("a later owner ordered machines"),
            // The next pass asks again; the platform answers well if it was done.
            MachineAnswer::Unknown => owner.record_unanswered_maintenance(&order, shared.now()),
            MachineAnswer::Busy | MachineAnswer::Refused => {}
        }
    }
}

async fn move_machines(
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
    let until = announced(shared, moves.iter().map(|order| &order.machine)).await;
    let holder = Holder { name: shared.cfg.name.to_string(), fence: term.number };
    for order in moves {
        if !term.may_order() {
            return;
        }
        if until.is_none_or(|until| shared.now() > until) {
            let mut lock = shared.owner.lock();
            let Some(owner) = lock.as_mut() else { return };
            owner.abandon_move(&order);
            continue;
        }
        let answer = machines.move_to(&order.machine, &order.to, &holder).await;
        let aim = ("pool", (&order.to).into());
        log_order(shared, Event::MachineMoveOrdered, &order.machine, aim, answer);
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match answer {
            MachineAnswer::Fenced => return term.end("a later owner ordered machines"),
            // Its worker gets no starts until the list tells.
            MachineAnswer::Begun | MachineAnswer::Unknown => {}
            MachineAnswer::Busy | MachineAnswer::Unfit | MachineAnswer::Refused => {
                owner.abandon_move(&order);
            }
        }
    }
}

fn log_order(
    shared: &Shared,
    event: Event,
    machine: &MachineId,
    aim: (&'static str, Field<'_>),
    answer: MachineAnswer,
) {
    let word = format!("{answer:?}");
    shared.log.event(event, &[("machine", machine.into()), aim, ("answer", (&word).into())]);
}

/// Whether every machine of a wave that still exists has begun its maintenance.
fn is_complete(shared: &Shared, wave: u64, listed: &IndexMap<MachineId, Machine>) -> bool {
    let active_config = shared.active_config();
    let lock = shared.owner.lock();
    let (Some(wave), Some(owner)) = (active_config.waves.get(&wave), lock.as_ref()) else {
        return false;
    };
    owner.wave_progress.remaining_machines(wave).all(|m| !listed.contains_key(m))
}

async fn report(shared: &Shared, term: &Term, wave: u64, complete: bool, number: &mut u64) -> bool {
    let (key, value) = declared::wave_status(wave, complete);
    let guard = Guard { at: None, term: Some((term.number, *number)) };
    match shared.store.append(store::STATUS, &[(&key, Some(&value))], guard).await {
        Ok(_) => {
            *number += 1;
            if complete {
                shared.log.event(Event::WaveComplete, &[("wave", wave.into())]);
            }
            true
        }
        Err(StoreError::Sequence { expected }) => {
            *number = expected;
            false
        }
        Err(_) => false,
    }
}
