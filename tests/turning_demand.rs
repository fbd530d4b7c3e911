//! Pattern: the demand turns from one queue to the next within seconds, and hundreds of machines have
//! to follow it. No network.

use jacinthhook::batch::ordered_machines::ORDER_WINDOW;
use jacinthhook::instance::machine_orders::for_each_order;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Guards against orders that wait for each other: the rest of a series was given up at the end of
/// the order window, and pools got some ten machines a second while hundreds stood idle.
#[tokio::test]
async fn for_each_order_hundreds_of_machines() {
    let sent = AtomicUsize::new(0);
    let started = Instant::now();
    for_each_order((0..300).collect(), async |_: usize| {
        sleep(Duration::from_millis(20)).await;
        sent.fetch_add(1, Ordering::Relaxed);
    })
    .await;
    assert_eq!(sent.load(Ordering::Relaxed), 300);
    assert!(started.elapsed() < ORDER_WINDOW, "{:?}", started.elapsed());
}
