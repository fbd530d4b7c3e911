//! Orders for maintenance and moves of machines during one term.

use crate::batch::maintenance::{Machine, MachineId, MaintenanceOrder};
use crate::batch::moves::Move;
use crate::batch::ordered_machines::{ANNOUNCE_TIMEOUT, ORDER_WINDOW, OrderedMachines};
use crate::event::{Event, Field};
use crate::ids::Time;
use crate::instance::shared::Shared;
use crate::instance::term::Term;
use crate::instance::wave_reports::{WaveReport, WaveReports};
use crate::platform::machines::{LeaseHolder, MachineOutcome, Machines};
use crate::platform::operator_records;
use crate::platform::store::{self, AppendCondition, StoreError};
use futures::stream::{self, StreamExt};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two passes. Maintenance of a machine takes 2 s and a move 1.5 s, and the list of a
/// thousand machines about 0.1 s to read.
const PASS_INTERVAL: Duration = Duration::from_millis(150);

/// Orders in flight at a time. Each takes a few ms, and the service accepts some hundred a second.
const MAX_CONCURRENT_ORDERS: usize = 16;

/// Carries out maintenance waves and moves of machines.
pub async fn run(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.cfg.machines_addr.clone() else { return };
    let machines = Machines::new(shared.http.clone(), address);
    let mut reports = WaveReports::default();
    loop {
        sleep(PASS_INTERVAL).await;
        if !term.may_send_orders(shared.now()) {
            continue;
        }
        let open_waves = open_waves(&shared, &reports);
        let Some(mut listed) = list_machines(&shared, &machines).await else { continue };
        let maintenance_ordered = order_maintenance(&shared, &term, &machines, &listed).await;
        order_moves(&shared, &term, &machines, &listed).await;
        if maintenance_ordered {
            // Workers of machines that have just disappeared are handled now and not one pass later.
            let Some(list_after) = list_machines(&shared, &machines).await else { continue };
            listed = list_after;
        }
        for wave in open_waves {
            let complete = is_complete(&shared, wave, &listed);
            if let Some(report) = reports.next(wave, complete) {
                let result = append_report(&shared, &term, report).await;
                reports.record_result(report, &result);
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
fn open_waves(shared: &Shared, reports: &WaveReports) -> Vec<u64> {
    let active_config = shared.active_config();
    active_config.waves.keys().copied().filter(|w| !reports.is_complete(*w)).collect()
}

/// Stores which machines are about to receive orders. Returns the time until which the orders may
/// be sent, or `None` if storing took so long that the reasons for the orders may no longer hold.
async fn announce_orders(
    shared: &Shared,
    announce: impl FnOnce(&mut OrderedMachines, Time) -> u64,
) -> Option<Time> {
    let now = shared.now();
    let announcement = announce(&mut shared.owner.lock().as_mut()?.ordered_machines, now);
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

/// Carries out orders, some at a time, so that a turn of the demand moves hundreds of machines within
/// one order window.
pub async fn for_each_order<T, F: Future<Output = ()>>(orders: Vec<T>, send: impl FnMut(T) -> F) {
    stream::iter(orders).for_each_concurrent(MAX_CONCURRENT_ORDERS, send).await;
}

/// A series of orders that has been announced.
struct Series<'a> {
    shared: &'a Shared,
    term: &'a Term,
    machines: &'a Machines,
    holder: LeaseHolder,
    /// `None` if the announcement was not stored in time.
    send_until: Option<Time>,
}

impl Series<'_> {
    /// Whether the next order may still be sent.
    fn is_in_time(&self) -> bool {
        let now = self.shared.now();
        self.term.may_send_orders(now) && self.send_until.is_some_and(|at| now <= at)
    }

    async fn send_maintenance(&self, order: MaintenanceOrder) {
        if !self.is_in_time() {
            return;
        }
        let outcome =
            self.machines.start_maintenance(&order.machine, order.wave, &self.holder).await;
        let target_field = ("wave", order.wave.into());
        log_order(self.shared, Event::UpkeepOrdered, &order.machine, target_field, outcome);
        let mut lock = self.shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match outcome {
            MachineOutcome::Begun => owner.record_maintenance_start(&order),
            MachineOutcome::Unfit => owner.skip_maintenance(&order),
            MachineOutcome::Fenced => self.end_term(),
            // The next pass retries; the platform also confirms maintenance that has already begun.
            MachineOutcome::Unknown => {
                owner.record_unanswered_maintenance(&order, self.shared.now());
            }
            MachineOutcome::Busy | MachineOutcome::Refused => {}
        }
    }

    async fn send_move(&self, order: Move) {
        let outcome = if self.is_in_time() {
            let outcome = self.machines.move_machine(&order.machine, &order.to, &self.holder).await;
            let target_field = ("pool", (&order.to).into());
            log_order(
                self.shared,
                Event::MachineMoveOrdered,
                &order.machine,
                target_field,
                outcome,
            );
            outcome
        } else {
            MachineOutcome::Refused
        };
        let mut lock = self.shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return };
        match outcome {
            MachineOutcome::Fenced => self.end_term(),
            // The worker on the machine gets no starts until the list of machines shows the result.
            MachineOutcome::Begun => {}
            MachineOutcome::Unknown => owner.record_unanswered_move(&order, self.shared.now()),
            MachineOutcome::Busy | MachineOutcome::Unfit | MachineOutcome::Refused => {
                owner.abandon_move(&order);
            }
        }
    }

    fn end_term(&self) {
        self.term.end("a later owner has sent orders to machines");
    }
}

/// Begins the maintenance of machines that are due. Returns whether any was ordered.
async fn order_maintenance(
    shared: &Shared,
    term: &Term,
    machines: &Machines,
    listed: &IndexMap<MachineId, Machine>,
) -> bool {
    let chosen = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return false };
        owner.plan_maintenance(listed, shared.now())
    };
    if chosen.is_empty() {
        return false;
    }
    let announce =
        |machines: &mut OrderedMachines, now| machines.announce_maintenance(&chosen, now);
    let Some(send_until) = announce_orders(shared, announce).await else { return false };
    let confirmed = {
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return false };
        owner.confirm_maintenance(&chosen, listed, shared.now())
    };
    let holder = LeaseHolder { name: shared.cfg.name.to_string(), fence: term.number };
    let series = &Series { shared, term, machines, holder, send_until: Some(send_until) };
    for_each_order(confirmed, |order| series.send_maintenance(order)).await;
    true
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
    let announce = |machines: &mut OrderedMachines, now| {
        machines.announce(moves.iter().map(|order| &order.machine), now)
    };
    let send_until = announce_orders(shared, announce).await;
    let holder = LeaseHolder { name: shared.cfg.name.to_string(), fence: term.number };
    let series = &Series { shared, term, machines, holder, send_until };
    for_each_order(moves, |order| series.send_move(order)).await;
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

async fn append_report(
    shared: &Shared,
    term: &Term,
    report: WaveReport,
) -> Result<u64, StoreError> {
    let WaveReport { wave, complete, sequence } = report;
    let (key, value) = operator_records::encode_wave_status(wave, complete);
    let condition = AppendCondition { expected_end: None, producer: Some((term.number, sequence)) };
    let result = shared.store.append(store::STATUS_TOPIC, &[(&key, Some(&value))], condition).await;
    if result.is_ok() && complete {
        shared.log.event(Event::WaveComplete, &[("wave", wave.into())]);
    }
    result
}
