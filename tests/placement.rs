//! Tests of the choice of an instance. Guard against overcommitted instances, full load on a zone
//! immediately after its return, and retries in the rack that failed.

use jacinthhook::fair::Resources;
use jacinthhook::ids::{InstanceId, Time};
use jacinthhook::placement::PoolInstances;
use jacinthhook::protocol::{ListedInstance, Presence, Role};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

const SEC: Duration = Duration::from_secs(1);

fn listed(zone: u32, n: u32, slots: u32) -> ListedInstance {
    ListedInstance {
        id: format!("z{zone}-i{n}").into(),
        role: Role::Upstream,
        pool: "p".into(),
        zone: format!("z{zone}").into(),
        rack: format!("z{zone}-r{}", n / 2).into(),
        addr: String::new(),
        presence: Presence::Live,
        slots,
        connections: 64,
    }
}

fn list(zones: &[u32]) -> Vec<ListedInstance> {
    zones.iter().flat_map(|zone| (0..4).map(|n| listed(*zone, n, 8))).collect()
}

struct Placer {
    instances: PoolInstances,
    rng: ChaCha8Rng,
}

impl Placer {
    fn new(zones: &[u32]) -> Placer {
        let mut placer = Placer {
            instances: PoolInstances::new("z0".into()),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        placer.set(Time::ZERO, zones);
        placer
    }

    fn set(&mut self, now: Time, zones: &[u32]) {
        self.instances.set_listed(now, &list(zones), &mut self.rng);
    }

    fn place(&mut self, now: Time, exclude: &[InstanceId]) -> Option<InstanceId> {
        let index = self.instances.find(now, &Resources::ONE_SLOT, exclude)?;
        Some(self.instances.reserve(index, &Resources::ONE_SLOT, &mut self.rng))
    }
}

#[test]
fn find_own_zone_first() {
    let mut placer = Placer::new(&[0, 1]);
    let placed: Vec<_> = (0..64).map(|_| placer.place(Time::ZERO, &[]).unwrap()).collect();
    assert!(placed[..32].iter().all(|id| id.starts_with("z0")));
    assert!(placed[32..].iter().all(|id| id.starts_with("z1")));
    assert_eq!(placer.place(Time::ZERO, &[]), None);
}

#[test]
fn find_least_loaded() {
    let mut placer = Placer::new(&[0]);
    for (n, running) in [(0, 7), (1, 7), (2, 1), (3, 7)] {
        placer.instances.on_load(SEC, &format!("z0-i{n}").into(), running, &mut placer.rng);
    }
    assert_eq!(&*placer.place(SEC, &[]).unwrap(), "z0-i2");
}

#[test]
fn find_returned_zone() {
    // A zone that returned must get its load gradually; other zones are not affected.
    let mut placer = Placer::new(&[0, 1]);
    placer.set(SEC, &[1]);
    placer.set(60 * SEC, &[0, 1]);
    let count = |placer: &mut Placer, now| {
        let placed = std::iter::from_fn(|| placer.place(now, &[]));
        placed.filter(|id| id.starts_with("z0")).count()
    };
    assert_eq!(count(&mut placer, 60 * SEC), 8);
    assert_eq!(count(&mut placer, 70 * SEC), 24);
}

#[test]
fn find_other_rack() {
    let mut placer = Placer::new(&[0]);
    let first = placer.place(Time::ZERO, &[]).unwrap();
    let in_first_rack = |id: &InstanceId| id.ends_with("i0") || id.ends_with("i1");
    for _ in 0..16 {
        let next = placer.place(Time::ZERO, std::slice::from_ref(&first)).unwrap();
        assert_ne!(in_first_rack(&first), in_first_rack(&next));
    }
    // With the other rack full, the remaining instance of the first rack is used.
    let last = placer.place(Time::ZERO, std::slice::from_ref(&first)).unwrap();
    assert_eq!(in_first_rack(&first), in_first_rack(&last));
    assert_ne!(first, last);
}

#[test]
fn decay_stale_reports_lost_report() {
    // An instance that was reported as full must get work again when its reports stop.
    let mut placer = Placer::new(&[0]);
    for n in 0..4 {
        placer.instances.on_load(SEC, &format!("z0-i{n}").into(), 8, &mut placer.rng);
    }
    assert_eq!(placer.place(SEC, &[]), None);
    assert!(placer.instances.decay_stale_reports(10 * SEC, &mut placer.rng));
    assert!(placer.place(10 * SEC, &[]).is_some());
}

quickcheck! {
    /// For any sequence of placements, ends and lists, no instance gets more work than it has
    /// slots, and an instance that is not listed gets no work.
    fn reserve_within_slots(steps: Vec<(u8, u8)>) -> bool {
        let mut placer = Placer::new(&[0, 1, 2]);
        let mut held: BTreeMap<InstanceId, u32> = BTreeMap::new();
        let mut open = vec![0, 1, 2];
        for (step, (kind, arg)) in steps.into_iter().enumerate() {
            let now = SEC * step as u32;
            match kind % 4 {
                0 | 1 => {
                    for _ in 0..arg % 16 {
                        let Some(id) = placer.place(now, &[]) else { break };
                        let count = held.entry(id.clone()).or_default();
                        *count += 1;
                        let listed = open.iter().any(|zone| id.starts_with(&format!("z{zone}")));
                        if *count > 8 || !listed {
                            return false;
                        }
                    }
                }
                2 => {
                    let index = usize::from(arg) % held.len().max(1);
                    if let Some((id, count)) = held.iter_mut().nth(index) && *count > 0 {
                        *count -= 1;
                        placer.instances.release(id, &Resources::ONE_SLOT, &mut placer.rng);
                    }
                }
                _ => {
                    open = (0..3).filter(|zone| arg & (1 << zone) != 0).collect();
                    placer.set(now, &open);
                }
            }
        }
        true
    }
}
