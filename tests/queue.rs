//! Queues of one team. Guards against wrong order, and against sums that drift from the work they
//! stand for.

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
    while let Some((turn, waiting)) = queue.head(1) {
        order.push(waiting.key);
        queue.remove(1, turn);
    }
    assert_eq!(order, vec![1, 2, 3, 0]);
}

#[test]
fn start_by_class() {
    let bound = Duration::from_millis(1_400);
    assert_eq!(latest_start(SEC, Class::Urgent, 60 * SEC, SEC, bound), SEC + bound);
    assert_eq!(latest_start(SEC, Class::Urgent, 2 * SEC, SEC, bound), SEC);
    assert_eq!(latest_start(SEC, Class::Planned, 60 * SEC, SEC, bound), 59 * SEC);
}

quickcheck! {
    /// Against a plain list: cost ahead is that of earlier classes and of earlier turns.
    fn cost_ahead_against_list(steps: Vec<(u8, u8, u8)>, class: u8, latest: u8) -> bool {
        let mut queue = TeamQueue::default();
        let mut list: BTreeMap<(usize, (Time, u64)), f64> = BTreeMap::new();
        for (seq, (class, latest, cost)) in (0u64..).zip(steps) {
            let (class, turn) = (usize::from(class % 3), (SEC * u32::from(latest), seq));
            if cost % 4 == 0 {
                if let Some((&(class, turn), _)) = list.iter().nth(usize::from(latest)) {
                    queue.remove(class, turn);
                    list.remove(&(class, turn));
                }
            } else {
                queue.push(class, turn, Waiting { key: 0, cost: f64::from(cost) });
                list.insert((class, turn), f64::from(cost));
            }
        }
        let (class, turn) = (usize::from(class % 3), (SEC * u32::from(latest), 0));
        let before = |(c, t): &(usize, (Time, u64))| *c < class || (*c == class && *t < turn);
        let expected: f64 = list.iter().filter(|(at, _)| before(at)).map(|(_, cost)| cost).sum();
        let found = queue.cost_ahead(&ORDER, class, turn, 0.0);
        (found - expected).abs() < 1e-6 && queue.len() == list.len()
    }
}
