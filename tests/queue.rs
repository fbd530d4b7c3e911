//! Tests of the queue of one team. Guard against a wrong order, and against cost sums that do not
//! match the queued work.

use jacinthhook::ids::Time;
use jacinthhook::queue::{TeamQueue, Waiting, latest_start};
use jacinthhook::record::Class;
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::time::Duration;

const SEC: Duration = Duration::from_secs(1);
const ORDER: [usize; 3] = [0, 1, 2];

#[test]
fn head_earliest_latest_start() {
    let mut queue = TeamQueue::default();
    for (seq, latest) in [(0, 9), (1, 3), (2, 3), (3, 5)] {
        queue.push(1, (SEC * latest, seq), Waiting { key: seq as u32, cost: 1.0 });
    }
    let mut order = Vec::new();
    while let Some((position, waiting)) = queue.head(1) {
        order.push(waiting.key);
        queue.remove(1, position);
    }
    assert_eq!(order, vec![1, 2, 3, 0]);
}

#[test]
fn latest_start_by_class() {
    let bound = Duration::from_millis(1_400);
    assert_eq!(latest_start(SEC, Class::Urgent, 60 * SEC, SEC, bound), SEC + bound);
    assert_eq!(latest_start(SEC, Class::Urgent, 2 * SEC, SEC, bound), SEC);
    assert_eq!(latest_start(SEC, Class::Planned, 60 * SEC, SEC, bound), 59 * SEC);
}

quickcheck! {
    /// Compares the cost ahead with a sorted map: the cost of earlier classes and earlier
    /// positions.
    fn cost_ahead_matches_map(steps: Vec<(u8, u8, u8)>, class: u8, latest: u8) -> bool {
        let mut queue = TeamQueue::default();
        let mut map: BTreeMap<(usize, (Time, u64)), f64> = BTreeMap::new();
        for (seq, (class, latest, cost)) in (0u64..).zip(steps) {
            let (class, position) = (usize::from(class % 3), (SEC * u32::from(latest), seq));
            if cost % 4 == 0 {
                if let Some((&(class, position), _)) = map.iter().nth(usize::from(latest)) {
                    queue.remove(class, position);
                    map.remove(&(class, position));
                }
            } else {
                queue.push(class, position, Waiting { key: 0, cost: f64::from(cost) });
                map.insert((class, position), f64::from(cost));
            }
        }
        let (class, position) = (usize::from(class % 3), (SEC * u32::from(latest), 0));
        let before = |(c, t): &(usize, (Time, u64))| *c < class || (*c == class && *t < position);
        let expected: f64 = map.iter().filter(|(at, _)| before(at)).map(|(_, cost)| cost).sum();
        let found = queue.cost_ahead(&ORDER, class, position, 0.0);
        (found - expected).abs() < 1e-6 && queue.len() == map.len()
    }
}
