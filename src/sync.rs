//! The loops that keep an entry instance's view up to date: the log's tail, appends, the list, the
//! relay from peers while the platform does not answer, holds, and timers.

use crate::dispatch;
use crate::entry::Entry;
use crate::event::Event;
use crate::protocol::InstanceList;
use crate::record::Record;
use futures::future::join_all;
use rand::RngExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Wait of a long poll. An outage of the platform is noticed this much later.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Entries in one read.
const READ_MAX: usize = 1_000;
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Time without an answer of the platform after which peers are asked.
const RELAY_AFTER: Duration = Duration::from_secs(1);
/// Time between two rounds of asking peers.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks for records to append; a new record is looked at without delay.
const APPEND_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failed append.
const APPEND_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two reads of the list, while it changes.
const LIST_MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two reads of the list. 60 instances are 11 KB, which makes 2.2 KB/s.
const LIST_MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two looks at the timers.
const TICK: Duration = Duration::from_millis(10);
/// Looks between two ticks of the node, which asks for one every 50 ms.
const NODE_TICKS: u32 = 5;
/// Looks between two updates of the scheduler's upstreams, which depend on time through health.
const REFRESH_TICKS: u32 = 25;
/// Time between two exchanges with peers while holds are in force or the platform is away.
const HOLD_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the log's tail.
pub async fn read_log(entry: Arc<Entry>) {
    loop {
        let from = entry.node.lock().next_offset();
        let asked = Instant::now();
        match entry.platform.read(from, READ_MAX, READ_WAIT).await {
            // A process that was stopped may find an old answer in its socket; a view that it
            // completes is not fresh.
            Ok(_) if asked.elapsed() > READ_WAIT + entry.settings.platform_timeout => {}
            Ok(answer) => {
                entry.record_platform_answer();
                entry.node.lock().on_read(entry.now(), &answer);
                apply_view_change(&entry);
            }
            Err(_) => {
                entry.node.lock().set_platform_reachable(entry.now(), false);
                sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Brings everything that depends on the view up to date.
pub fn apply_view_change(entry: &Entry) {
    if !entry.notify_applied() {
        return;
    }
    {
        let node = entry.node.lock();
        let mut dispatcher = entry.dispatcher.lock();
        dispatcher.set_config_if_changed(node.state());
    }
    dispatch::refresh_upstreams(entry);
    entry.append_notify.notify_one();
}

/// Appends own records.
pub async fn append(entry: Arc<Entry>) {
    loop {
        let next = entry.node.lock().next_append(entry.now());
        let Some((seq, bytes)) = next else {
            let _ = tokio::time::timeout(APPEND_INTERVAL, entry.append_notify.notified()).await;
            continue;
        };
        let answer = entry.platform.append(bytes).await;
        let offset = answer.as_ref().ok().copied();
        entry.node.lock().on_append(entry.now(), seq, offset);
        if let Err(e) = answer {
            let error = e.to_string();
            let fields = [("seq", seq.into()), ("error", (&error).into())];
            entry.log.event(Event::AppendLost, &fields);
            sleep(APPEND_PAUSE).await;
        }
    }
}

/// Reads the platform's list; less often while it does not change.
pub async fn read_list(entry: Arc<Entry>) {
    let mut interval = LIST_MIN_INTERVAL;
    loop {
        if let Ok(list) = entry.platform.list().await {
            entry.record_platform_answer();
            interval = next_list_interval(interval, on_list(&entry, list));
        }
        // Spread, so that the instances of a fleet do not ask at the same time.
        let spread = interval.mul_f64(rand::rng().random_range(0.9..1.1));
        sleep(spread).await;
    }
}

fn next_list_interval(last: Duration, changed: bool) -> Duration {
    if changed { LIST_MIN_INTERVAL } else { (last * 3 / 2).min(LIST_MAX_INTERVAL) }
}

/// Takes a list; true when it differs from the last one.
fn on_list(entry: &Entry, list: InstanceList) -> bool {
    entry.node.lock().on_list(entry.now(), &list);
    let list = Arc::new(list);
    let last = std::mem::replace(&mut *entry.list.lock(), list.clone());
    let changed = last.instances != list.instances;
    if changed {
        dispatch::refresh_upstreams(entry);
    }
    changed
}

/// Asks peers for the log's tail while the platform does not answer, and for a view without one.
pub async fn relay(entry: Arc<Entry>) {
    let mut relaying = false;
    loop {
        sleep(RELAY_INTERVAL).await;
        let away = entry.time_since_platform_answer() >= RELAY_AFTER;
        if away && !relaying {
            let next = entry.node.lock().next_offset();
            entry.log.event(Event::RelayUsed, &[("next", next.into())]);
        }
        relaying = away;
        let has_view = entry.node.lock().has_view();
        if has_view && !away {
            continue;
        }
        // All at once: one that is cut off must not keep the others' tail waiting.
        let peers = entry.peer_addrs();
        join_all(peers.iter().map(|peer| ask_peer(&entry, peer, has_view))).await;
    }
}

async fn ask_peer(entry: &Entry, peer: &str, has_view: bool) {
    match has_view {
        true => relay_from(entry, peer).await,
        false => load_view_from(entry, peer).await,
    }
}

async fn relay_from(entry: &Entry, peer: &str) {
    let from = entry.node.lock().next_offset();
    let asked = Instant::now();
    let Ok(mut relayed) = entry.peers.relay(peer, from).await else { return };
    // The peer's age is counted from its answer, which may be as old as the call.
    relayed.age = relayed.age.map(|age| age.saturating_add(asked.elapsed()));
    entry.node.lock().on_relayed(entry.now(), &relayed);
    apply_view_change(entry);
}

async fn load_view_from(entry: &Entry, peer: &str) {
    let Ok(Some(view)) = entry.peers.view(peer).await else { return };
    // A damaged view changes nothing, and the next peer or round is asked.
    if entry.node.lock().load_view(entry.now(), &view).is_ok() {
        let fields = [("source", peer.into()), ("bytes", (view.len() as u64).into())];
        entry.log.event(Event::ViewLoaded, &fields);
        apply_view_change(entry);
    }
}

/// Spreads holds to peers and takes theirs while the platform is away.
pub async fn spread_holds(entry: Arc<Entry>) {
    loop {
        sleep(HOLD_INTERVAL).await;
        let holds = entry.node.lock().holds();
        let away = entry.time_since_platform_answer() >= RELAY_AFTER;
        if holds.is_empty() && !away {
            continue;
        }
        let peers = entry.peer_addrs();
        join_all(peers.iter().map(|peer| exchange_holds(&entry, peer, &holds, away))).await;
    }
}

async fn exchange_holds(entry: &Entry, peer: &str, holds: &[Record], away: bool) {
    let Ok(seen) = entry.peers.seen(peer).await else { return };
    for hold in holds {
        let known =
            crate::hold::Holds::restrictive_op(hold).is_some_and(|op| seen.holds.contains(op));
        if !known {
            // A failure is made good in the next round.
            let _ = entry.peers.hold(peer, hold.clone()).await;
        }
    }
    entry.record_peer_status(seen);
    if away && let Ok(theirs) = entry.peers.holds(peer).await {
        add_holds(entry, theirs);
    }
}

/// Puts holds in force here.
pub fn add_holds(entry: &Entry, holds: Vec<Record>) {
    let now = entry.now();
    let new = {
        let mut node = entry.node.lock();
        holds.into_iter().filter(|hold| node.add_hold(now, hold.clone())).count()
    };
    if new > 0 {
        dispatch::refresh_upstreams(entry);
    }
}

/// Asks all known peers how far they are.
pub async fn refresh_peer_statuses(entry: &Entry) {
    let peers = entry.peer_addrs();
    let asked = join_all(peers.iter().map(|peer| entry.peers.seen(peer))).await;
    for seen in asked.into_iter().flatten() {
        entry.record_peer_status(seen);
    }
}

/// Drives the timers of node and scheduler.
pub async fn tick(entry: Arc<Entry>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks: u32 = 0;
    loop {
        interval.tick().await;
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(NODE_TICKS) {
            entry.node.lock().tick(entry.now());
        }
        if ticks.is_multiple_of(REFRESH_TICKS) {
            dispatch::refresh_upstreams(&entry);
        } else if !entry.dispatcher.lock().is_idle() {
            dispatch::start_ready_work(&entry);
        }
    }
}
