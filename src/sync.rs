//! Background loops that keep an entry instance's view up to date: they read the log's tail, append
//! records, read the platform's list, relay the log from peers while the platform does not answer,
//! exchange holds with peers, and drive timers.

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

/// Longest wait of the platform in a long poll of the log. It delays the detection of an outage by
/// as much.
const READ_LONG_POLL: Duration = Duration::from_secs(1);
/// Maximum number of entries in one read.
const MAX_READ_ENTRIES: usize = 1_000;
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without an answer of the platform after which the log is read from peers.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval between rounds of relay calls to all peers.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks for records to append; a notification triggers a check at once.
const APPEND_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed append.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Shortest interval between reads of the list, used while the list changes.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between reads of the list. A list of 60 instances is 11 KB long, so this costs
/// 2.2 KB/s.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the timer loop.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// Timer intervals per tick of the node, which requires a tick every 50 ms.
const INTERVALS_PER_NODE_TICK: u32 = 5;
/// Timer intervals per refresh of the scheduler's upstreams, whose health depends on time.
const INTERVALS_PER_REFRESH: u32 = 25;
/// Interval between exchanges with peers while holds are in force or the platform is unreachable.
const HOLD_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads new entries of the log by long polling.
pub async fn read_log(entry: Arc<Entry>) {
    loop {
        let from = entry.node.lock().next_offset();
        let started = Instant::now();
        match entry.platform.read(from, MAX_READ_ENTRIES, READ_LONG_POLL).await {
            // A process that was suspended may find an old answer in its socket. It is discarded,
            // since it would make an outdated view count as current.
            Ok(_) if started.elapsed() > READ_LONG_POLL + entry.settings.platform_timeout => {}
            Ok(answer) => {
                entry.record_platform_answer();
                entry.node.lock().on_read(entry.now(), &answer);
                apply_view_change(&entry);
            }
            Err(_) => {
                entry.node.lock().set_platform_reachable(entry.now(), false);
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Updates everything that depends on the view, if entries were applied since the last call.
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

/// Appends the records that this instance has proposed.
pub async fn append_records(entry: Arc<Entry>) {
    loop {
        let next = entry.node.lock().next_append(entry.now());
        let Some((seq, bytes)) = next else {
            let _ =
                tokio::time::timeout(APPEND_CHECK_INTERVAL, entry.append_notify.notified()).await;
            continue;
        };
        let answer = entry.platform.append(bytes).await;
        let offset = answer.as_ref().ok().copied();
        entry.node.lock().on_append(entry.now(), seq, offset);
        if let Err(e) = answer {
            let error = e.to_string();
            let fields = [("seq", seq.into()), ("error", (&error).into())];
            entry.log.event(Event::AppendLost, &fields);
            sleep(APPEND_RETRY_DELAY).await;
        }
    }
}

/// Reads the platform's list of instances, less often while the list does not change.
pub async fn read_list(entry: Arc<Entry>) {
    let mut interval = MIN_LIST_INTERVAL;
    loop {
        if let Ok(list) = entry.platform.list().await {
            entry.record_platform_answer();
            interval = next_list_interval(interval, update_list(&entry, list));
        }
        // Jitter prevents the entry instances from reading the list at the same time.
        let jittered = interval.mul_f64(rand::rng().random_range(0.9..1.1));
        sleep(jittered).await;
    }
}

fn next_list_interval(last: Duration, changed: bool) -> Duration {
    if changed { MIN_LIST_INTERVAL } else { (last * 3 / 2).min(MAX_LIST_INTERVAL) }
}

/// Applies a list; returns whether it differs from the previous one.
fn update_list(entry: &Entry, list: InstanceList) -> bool {
    entry.node.lock().on_list(entry.now(), &list);
    let list = Arc::new(list);
    let last = std::mem::replace(&mut *entry.list.lock(), list.clone());
    let changed = last.instances != list.instances;
    if changed {
        dispatch::refresh_upstreams(entry);
    }
    changed
}

/// Reads the log's tail from peers while the platform does not answer, and loads a view from a peer
/// while this instance has none.
pub async fn relay_from_peers(entry: Arc<Entry>) {
    let mut relaying = false;
    loop {
        sleep(RELAY_INTERVAL).await;
        let platform_lost = entry.time_since_platform_answer() >= OUTAGE_THRESHOLD;
        if platform_lost && !relaying {
            let next = entry.node.lock().next_offset();
            entry.log.event(Event::RelayUsed, &[("next", next.into())]);
        }
        relaying = platform_lost;
        let has_view = entry.node.lock().has_view();
        if has_view && !platform_lost {
            continue;
        }
        // The calls run concurrently, so that an unreachable peer does not delay the others.
        let peers = entry.peer_addrs();
        join_all(peers.iter().map(|peer| read_from_peer(&entry, peer, has_view))).await;
    }
}

async fn read_from_peer(entry: &Entry, peer: &str, has_view: bool) {
    match has_view {
        true => relay_from(entry, peer).await,
        false => load_view_from(entry, peer).await,
    }
}

async fn relay_from(entry: &Entry, peer: &str) {
    let from = entry.node.lock().next_offset();
    let started = Instant::now();
    let Ok(mut relayed) = entry.peers.relay(peer, from).await else { return };
    // The peer computed the age when it answered, which may be as long ago as the call was sent.
    relayed.age = relayed.age.map(|age| age.saturating_add(started.elapsed()));
    entry.node.lock().on_relayed(entry.now(), &relayed);
    apply_view_change(entry);
}

async fn load_view_from(entry: &Entry, peer: &str) {
    let Ok(Some(view)) = entry.peers.view(peer).await else { return };
    // A damaged view is discarded; another peer or the next round supplies one.
    if entry.node.lock().load_view(entry.now(), &view).is_ok() {
        let fields = [("source", peer.into()), ("bytes", (view.len() as u64).into())];
        entry.log.event(Event::ViewLoaded, &fields);
        apply_view_change(entry);
    }
}

/// Sends holds to peers, and adopts the peers' holds while the platform is unreachable.
pub async fn spread_holds(entry: Arc<Entry>) {
    loop {
        sleep(HOLD_EXCHANGE_INTERVAL).await;
        let holds = entry.node.lock().holds();
        let platform_lost = entry.time_since_platform_answer() >= OUTAGE_THRESHOLD;
        if holds.is_empty() && !platform_lost {
            continue;
        }
        let peers = entry.peer_addrs();
        join_all(peers.iter().map(|peer| exchange_holds(&entry, peer, &holds, platform_lost)))
            .await;
    }
}

async fn exchange_holds(entry: &Entry, peer: &str, holds: &[Record], platform_lost: bool) {
    let Ok(status) = entry.peers.status(peer).await else { return };
    for hold in holds {
        let known =
            crate::hold::Holds::restrictive_op(hold).is_some_and(|op| status.holds.contains(op));
        if !known {
            // A failed call is repeated in the next round.
            let _ = entry.peers.hold(peer, hold.clone()).await;
        }
    }
    entry.record_peer_status(status);
    if platform_lost && let Ok(peer_holds) = entry.peers.holds(peer).await {
        add_holds(entry, peer_holds);
    }
}

/// Puts holds in force on this instance.
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

/// Requests the status of all known peers and records the answers.
pub async fn refresh_peer_statuses(entry: &Entry) {
    let peers = entry.peer_addrs();
    let answers = join_all(peers.iter().map(|peer| entry.peers.status(peer))).await;
    for status in answers.into_iter().flatten() {
        entry.record_peer_status(status);
    }
}

/// Drives the timers of the node and the scheduler.
pub async fn run_timers(entry: Arc<Entry>) {
    let mut interval = tokio::time::interval(TIMER_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks: u32 = 0;
    loop {
        interval.tick().await;
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(INTERVALS_PER_NODE_TICK) {
            entry.node.lock().tick(entry.now());
        }
        if ticks.is_multiple_of(INTERVALS_PER_REFRESH) {
            dispatch::refresh_upstreams(&entry);
        } else if !entry.dispatcher.lock().is_idle() {
            dispatch::start_ready_work(&entry);
        }
    }
}
