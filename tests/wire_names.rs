//! Checks that the users' platform's wire names occur only in the adapter, `src/platform`.

mod common;

use std::path::Path;

/// Wire names that have no other meaning in the product.
const NAMES: &[&str] = &[
    "ackIndex",
    "antiAffinity",
    "apiKeys",
    "bindAddrs",
    "clockMs",
    "deadlineMs",
    "enforcesCapacity",
    "estimateMs",
    "JACINTHHOOK_BOOT",
    "keyed.",
    "longRunning",
    "log-append",
    "log-newest",
    "log-read",
    "machine-move",
    "machine-upkeep",
    "maxCount",
    "mayMiss",
    "memMb",
    "pathPrefix",
    "run-start",
    "run-stop",
    "slackFactor",
    "targetLatencyMs",
    "waitMs",
    "X-Jacinthhook",
    "x-jacinthhook",
];

#[test]
fn wire_names_stay_in_the_adapter() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for (path, text) in common::sources(&src) {
        if path.starts_with(src.join("platform")) {
            continue;
        }
        for name in NAMES {
            assert!(!text.contains(name), "{} names {name}", path.display());
        }
    }
}
