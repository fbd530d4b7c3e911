//! Tests of the scheduler as a whole. Guard against unfair sharing, overcommitted instances,
//! unbounded queues, and refusals of work that was already started.

use jacinthhook::config::{Config, Pool, Profile, Service, Team, Zone};
use jacinthhook::fair::Resources;
use jacinthhook::ids::Time;
use jacinthhook::kind::Kind;
use jacinthhook::protocol::{ListedInstance, Presence, Role};
use jacinthhook::record::Class;
use jacinthhook::sched::{Scheduler, Work};
use quickcheck::{QuickCheck, quickcheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn profile(queue_bound: u32) -> Profile {
    Profile {
        shares: Default::default(),
        limits: Default::default(),
        class_order: vec![Class::Urgent, Class::Planned, Class::Overnight],
        class_floor_percent: 10,
        queue_bound,
        max_deadline: Duration::from_secs(60),
        urgent_start: 1_400 * MS,
        unavailable_percent: 10,
        unavailable_per_rack: 1,
        drain_timeout: Duration::from_secs(30),
        maintenance_interval: Duration::from_secs(1_814_400),
        reserve_percent: 20,
        stale_limit: None,
        buffer_percent: 50,
    }
}

fn config(shares: &[u32], queue_bound: u32) -> Config {
    let mut cfg = Config::default();
    cfg.zones.insert("z1".into(), Zone { region: "r1".into() });
    for (i, share) in shares.iter().enumerate() {
        cfg.teams.insert(format!("t{i}").into(), Team { share: *share, limit: 1_000 });
    }
    cfg.pools.insert("p1".into(), Pool { spare: false, min_instances: 1 });
    cfg.profiles.insert("f1".into(), profile(queue_bound));
    let (profile, pool) = ("f1".into(), "p1".into());
    let service = Service { profile, pool, open_to: None, class: Class::Urgent };
    cfg.services.insert("s1".into(), service);
    cfg
}

fn listed(n: u32, zone: &str) -> ListedInstance {
    ListedInstance {
        id: format!("{zone}-i{n}").into(),
        role: Role::Upstream,
        pool: "p1".into(),
        zone: zone.into(),
        rack: format!("{zone}-r{}", n / 4).into(),
        addr: String::new(),
        presence: Presence::Live,
        slots: 8,
        connections: 64,
    }
}

fn sched(shares: &[u32], queue_bound: u32, instances: u32) -> Scheduler {
    let mut sched = Scheduler::new(1, "z1".into());
    sched.set_config(&config(shares, queue_bound));
    let list: Vec<ListedInstance> = (0..instances).map(|n| listed(n, "z1")).collect();
    sched.set_upstreams(Time::ZERO, &"p1".into(), &list);
    sched
}

fn work(id: u64, team: usize, class: Class, deadline: Time) -> Work {
    Work {
        id,
        service: "s1".into(),
        team: format!("t{team}").into(),
        class,
        deadline,
        need: Resources::ONE_SLOT,
        declared: 100 * MS,
    }
}

fn start_all(sched: &mut Scheduler, now: Time) -> Vec<(u64, String)> {
    let mut started = Vec::new();
    while let Some(placed) = sched.next(now, &mut |_| true) {
        started.push((placed.id, placed.upstream.to_string()));
    }
    started
}

/// Keeps a backlog for every team, whose work runs for the team's entry of `runs` in milliseconds.
/// Returns the slot-seconds used by each team in each window of 10 s.
fn saturate(shares: &[u32], runs: &[u64], windows: usize) -> Vec<Vec<f64>> {
    let mut sched = sched(shares, 100, 10);
    let mut running: BTreeMap<(Time, u64), usize> = BTreeMap::new();
    let mut used = vec![vec![0.0; shares.len()]; windows];
    let mut id = 0;
    for step in 0..(windows as u64 * 2_000) {
        let now = MS * 5 * step as u32;
        while let Some((&(end, done), &team)) = running.first_key_value() {
            if end > now {
                break;
            }
            running.pop_first();
            sched.finish(now, done, MS * runs[team] as u32, false);
        }
        for team in 0..shares.len() {
            while sched.waiting(&format!("t{team}").into()) < 50 {
                id += 1;
                let deadline = now + Duration::from_secs(3_600);
                // Planned work has no start limit, so every team keeps its backlog.
                sched
                    .enqueue(now, work(id * 10 + team as u64, team, Class::Planned, deadline))
                    .expect("the backlog is below the queue bound");
            }
        }
        for (started, _) in start_all(&mut sched, now) {
            let team = (started % 10) as usize;
            running.insert((now + MS * runs[team] as u32, started), team);
        }
        for team in running.values() {
            used[step as usize / 2_000][*team] += 0.005;
        }
    }
    used
}

fn check_shares(shares: &[u32], runs: &[u64]) -> Result<(), String> {
    let used = saturate(shares, runs, 2);
    let sum: u32 = shares.iter().sum();
    // The first window is skipped, because it starts with an empty pool.
    for (window, used) in used.iter().enumerate().skip(1) {
        let all: f64 = used.iter().sum();
        for (team, share) in shares.iter().enumerate() {
            let entitled = all * f64::from(*share) / f64::from(sum);
            if used[team] < 0.95 * entitled {
                return Err(format!(
                    "window {window}: team {team} got {} of {entitled} slot-seconds",
                    used[team]
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn next_shares_at_full_pool() {
    check_shares(&[5, 1, 3, 1, 2, 8], &[100, 100, 100, 100, 100, 100]).unwrap();
}

#[test]
fn next_shares_with_unlike_run_times() {
    check_shares(&[1, 1, 2], &[20, 400, 100]).unwrap();
}

fn shares_of_any_weights(raw: Vec<(u8, u8)>) -> Result<bool, String> {
    let shares: Vec<u32> = raw.iter().take(6).map(|(w, _)| u32::from(*w % 9) + 1).collect();
    let runs: Vec<u64> = raw.iter().take(6).map(|(_, r)| u64::from(*r) + 20).collect();
    if shares.len() < 2 {
        return Ok(true);
    }
    check_shares(&shares, &runs).map(|()| true)
}

#[test]
fn next_shares_of_any_weights() {
    // Each case simulates 20 s and takes about 0.3 s in a debug build.
    QuickCheck::new().tests(12).quickcheck(shares_of_any_weights as fn(_) -> _);
}

quickcheck! {
    /// For any sequence of arrivals, cancellations and ends: work starts at most once, refused and
    /// cancelled work never starts, no instance runs more work than it has slots, and no queue
    /// exceeds its bound.
    fn next_any_sequence(steps: Vec<(u8, u8)>) -> bool {
        let mut sched = sched(&[1, 2, 3], 5, 2);
        let mut dropped = BTreeSet::new();
        let mut started = BTreeSet::new();
        let mut running: Vec<(u64, String)> = Vec::new();
        for (id, (step, arg)) in (0u64..).zip(steps) {
            let now = MS * (id as u32 * 20);
            match step % 6 {
                0..=2 => {
                    let class = [Class::Urgent, Class::Planned, Class::Overnight][usize::from(arg % 3)];
                    let deadline = now + MS * (u32::from(arg) * 20);
                    if sched.enqueue(now, work(id, usize::from(arg % 3), class, deadline)).is_err() {
                        dropped.insert(id);
                    }
                }
                3 => {
                    let victim = id.saturating_sub(u64::from(arg % 10));
                    if sched.cancel(victim) {
                        dropped.insert(victim);
                    }
                }
                4 if !running.is_empty() => {
                    let (done, _) = running.swap_remove(usize::from(arg) % running.len());
                    sched.finish(now, done, MS * 10, arg % 2 == 0);
                }
                _ => {}
            }
            dropped.extend(sched.expired(now));
            for (id, upstream) in start_all(&mut sched, now) {
                if dropped.contains(&id) || !started.insert(id) {
                    return false;
                }
                running.push((id, upstream));
            }
            let mut used_slots: BTreeMap<&str, u32> = BTreeMap::new();
            for (_, upstream) in &running {
                *used_slots.entry(upstream).or_default() += 1;
            }
            let bounded = (0..3).all(|t| sched.waiting(&format!("t{t}").into()) <= 5);
            if !bounded || used_slots.values().any(|slots| *slots > 8) {
                return false;
            }
        }
        true
    }
}

#[test]
fn enqueue_deadline_too_soon() {
    // Work that cannot start before its deadline must be refused immediately, with a retry delay.
    let mut sched = sched(&[1], 10_000, 1);
    let mut refused = None;
    for id in 0..1_000 {
        if let Err(refusal) = sched.enqueue(Time::ZERO, work(id, 0, Class::Urgent, MS * 60_000)) {
            refused = Some((id, refusal));
            break;
        }
        start_all(&mut sched, Time::ZERO);
    }
    let (id, refusal) = refused.unwrap();
    assert_eq!(refusal.kind, Kind::DeadlineTooSoon);
    assert!(refusal.retry_after.is_some());
    // 8 slots with runs of 0.1 s start 112 pieces of work in 1.4 s, and 8 are running.
    assert!((110..=130).contains(&id), "refused after {id}");
}

#[test]
fn enqueue_unknown_service() {
    let mut sched = sched(&[1], 10, 1);
    let mut unknown = work(1, 0, Class::Urgent, MS * 1_000);
    unknown.service = "other".into();
    assert_eq!(sched.enqueue(Time::ZERO, unknown).unwrap_err().kind, Kind::NotFound);
}

#[test]
fn next_team_at_limit() {
    // A team at its upper limit must not block other teams.
    let mut sched = sched(&[1, 1], 100, 1);
    for id in 0..6 {
        sched.enqueue(Time::ZERO, work(id, (id % 2) as usize, Class::Urgent, MS * 9_000)).unwrap();
    }
    let mut started = Vec::new();
    while let Some(placed) = sched.next(Time::ZERO, &mut |work| &*work.team == "t1") {
        started.push(placed.id);
    }
    assert_eq!(started, vec![1, 3, 5]);
    let later = start_all(&mut sched, MS * 20);
    assert_eq!(later.len(), 3, "work of a team at its limit must be considered again");
}

#[test]
fn next_urgent_before_planned() {
    let mut sched = sched(&[1], 100, 1);
    for id in 0..40 {
        let class = if id < 20 { Class::Planned } else { Class::Urgent };
        sched.enqueue(Time::ZERO, work(id, 0, class, MS * 60_000)).unwrap();
    }
    let started = start_all(&mut sched, Time::ZERO);
    let urgent = started.iter().filter(|(id, _)| *id >= 20).count();
    // The class floor of 10% of 8 slots reserves one slot for the classes after urgent.
    assert_eq!((started.len(), urgent), (8, 7));
}

#[test]
fn place_elsewhere_other_instance() {
    let mut sched = sched(&[1], 100, 8);
    sched.enqueue(Time::ZERO, work(1, 0, Class::Urgent, MS * 1_000)).unwrap();
    let first = sched.next(Time::ZERO, &mut |_| true).unwrap().upstream;
    let second = sched.place_elsewhere(MS, 1, std::slice::from_ref(&first)).unwrap().upstream;
    assert_ne!(first, second);
    // The second placement avoids the rack of the first.
    assert_ne!(rack_of(&first), rack_of(&second));
}

fn rack_of(id: &str) -> u32 {
    id.trim_start_matches("z1-i").parse::<u32>().expect("a number") / 4
}

#[test]
fn requeue_refused_work() {
    // Work that its instance refused is queued again, and the instance gets no work until it
    // reports its load.
    let mut sched = sched(&[1], 100, 1);
    sched.enqueue(Time::ZERO, work(1, 0, Class::Urgent, MS * 9_000)).unwrap();
    let placed = sched.next(Time::ZERO, &mut |_| true).unwrap();
    assert_eq!(sched.place_elsewhere(MS, 1, std::slice::from_ref(&placed.upstream)), None);
    assert!(sched.requeue(MS, 1, false));
    assert_eq!((sched.next(MS, &mut |_| true), sched.waiting(&"t0".into())), (None, 1));
    sched.on_load(MS * 2, &placed.upstream, 0);
    assert_eq!(sched.next(MS * 2, &mut |_| true), Some(placed));
}

#[test]
fn requeue_after_latest_start() {
    // Work that never started expires at its latest start; interrupted work may start again until
    // its deadline.
    for (ran, late) in [(false, vec![1]), (true, vec![])] {
        let mut sched = sched(&[1], 100, 1);
        sched.enqueue(Time::ZERO, work(1, 0, Class::Urgent, MS * 9_000)).unwrap();
        sched.next(Time::ZERO, &mut |_| true).unwrap();
        assert!(sched.requeue(MS * 1_000, 1, ran));
        assert_eq!(sched.expired(MS * 1_500), late);
    }
}

#[test]
fn cancel_burst() {
    // A burst of cancellations must remove all waiting work and must not affect running work.
    let mut sched = sched(&[1], 10_000, 1);
    for id in 0..2_000 {
        sched.enqueue(Time::ZERO, work(id, 0, Class::Planned, MS * 900_000)).unwrap();
    }
    let started: Vec<u64> = start_all(&mut sched, Time::ZERO).iter().map(|(id, _)| *id).collect();
    let cancelled = (0..2_000).filter(|id| sched.cancel(*id)).count();
    assert_eq!((started.len(), cancelled), (8, 1_992));
    assert_eq!(sched.waiting(&"t0".into()), 0);
    assert_eq!(sched.pool_load(&"p1".into()).waiting_cost, 0.0);
    for id in started {
        sched.finish(MS, id, MS, false);
    }
    assert!(start_all(&mut sched, MS).is_empty());
}

/// Returns the run time of work in ms, from 50 to 150. With equal run times, all slots would become
/// free at the same time.
fn run(id: u64) -> u32 {
    50 + (id * 37 % 101) as u32
}

/// Returns the mean wait of a small team's urgent work in ms, while a large team offers `load`
/// times the capacity of the pool.
fn small_team_wait(load: f64) -> f64 {
    let mut sched = sched(&[8, 2], 2_000, 10);
    let mut running: BTreeMap<(Time, u64), ()> = BTreeMap::new();
    let mut arrived: BTreeMap<u64, Time> = BTreeMap::new();
    let (mut waited, mut count, mut id, mut offered_work) = (0.0, 0.0, 0, 0.0);
    for step in 0..4_000u32 {
        let now = MS * 5 * step;
        while let Some((&(end, done), ())) = running.first_key_value() {
            if end > now {
                break;
            }
            running.pop_first();
            sched.finish(now, done, MS * run(done), false);
        }
        // With 80 slots and runs of 0.1 s, 4 pieces of work per step fill the pool. The small team
        // offers a tenth of that.
        offered_work += 4.0 * load;
        let mut offers: Vec<usize> = (0..offered_work as u32).map(|_| 0).collect();
        offered_work -= offered_work.floor();
        offers.extend((step % 5 < 2).then_some(1));
        for team in offers {
            id += 1;
            let offered = work(id, team, Class::Urgent, now + MS * 10_000);
            if sched.enqueue(now, offered).is_ok() && team == 1 {
                arrived.insert(id, now);
            }
        }
        sched.expired(now);
        for (started, _) in start_all(&mut sched, now) {
            running.insert((now + MS * run(started), started), ());
            if let Some(since) = arrived.remove(&started) {
                waited += (now - since).as_secs_f64() * 1_000.0;
                count += 1.0;
            }
        }
    }
    waited / count
}

#[test]
fn next_burst_of_another_team() {
    // A burst of one team to five times the capacity of the pool must hardly increase the wait of a
    // team below its share: a slot becomes free every 1.25 ms.
    let (quiet, burst) = (small_team_wait(0.5), small_team_wait(5.0));
    assert!(quiet < 1.0, "{quiet} ms without a burst");
    assert!(burst < 10.0, "{burst} ms with a burst");
}

#[test]
fn set_upstreams_moved_instance() {
    // An instance that moved to another pool must get no work from its old pool.
    let mut sched = sched(&[1], 100, 1);
    sched.set_upstreams(MS, &"p2".into(), &[listed(0, "z1")]);
    sched.enqueue(MS, work(1, 0, Class::Planned, MS * 1_000)).unwrap();
    assert_eq!(sched.next(MS, &mut |_| true), None);
}
