//! Bounds on callers' connections and bodies, as they follow from the machine and the settings. No network.

use jacinthhook::batch::declarations::RequestLimits;
use jacinthhook::instance::caller_limits::{
    CallerLimits, LimitTooHigh, ListenerBounds, ProcessRoom,
};
use jacinthhook::instance::run_settings;
use jacinthhook::platform::operator_records::decode_declarations;
use std::time::Duration;

const SMALLEST: ProcessRoom = ProcessRoom { memory: 160 << 20, descriptors: 4_100 };

/// Guards against bounds that clients inside the limits meet on the smallest machine: hundreds of connections, and 64
/// bodies of full size.
#[test]
fn bounds_smallest_machine() {
    let bounds = CallerLimits::default().bounds(&SMALLEST).expect("the defaults fit");
    let limits = RequestLimits::default();
    assert!(bounds.callers.connections_for(limits.max_head_bytes) >= 400, "{bounds:?}");
    assert!(bounds.callers.body_bytes >= 64 * limits.max_body_bytes, "{bounds:?}");
    // Two fifths of the memory and half of the descriptors are left.
    let held = bounds.callers.connection_bytes + bounds.callers.body_bytes;
    assert!(held + bounds.peers.connection_bytes <= SMALLEST.memory / 10 * 6);
    assert!(bounds.callers.connections + bounds.peers.connections < SMALLEST.descriptors / 2);
}

/// Guards against long heads that operators allow: fewer connections fit.
#[test]
fn connections_for_long_heads() {
    let bounds = CallerLimits::default().bounds(&SMALLEST).expect("the defaults fit");
    assert!(bounds.callers.connections_for(1 << 20) < 20);
    assert!(bounds.callers.connections_for(usize::MAX) > 0);
}

#[test]
fn bounds_settings_beyond_machine() {
    let limits = CallerLimits { bodies_kib: Some(160 * 1_024 + 1), ..CallerLimits::default() };
    let expected = LimitTooHigh { key: "bodies_kib", found: 163_841, allowed: 163_840 };
    assert_eq!(limits.bounds(&SMALLEST), Err(expected));
    let limits = CallerLimits { connections: Some(4_000), ..CallerLimits::default() };
    assert!(limits.bounds(&SMALLEST).is_err());
}

#[test]
fn bounds_not_in_use() {
    let limits = CallerLimits { enabled: false, ..CallerLimits::default() };
    let bounds = limits.bounds(&SMALLEST).expect("no bounds");
    assert_eq!(bounds.callers, ListenerBounds::NONE);
    assert_eq!(bounds.callers.connections_for(usize::MAX), usize::MAX);
}

#[test]
fn read_settings() {
    let text = "[caller_limits]\nconnections = 100\nbodies_kib = 2048\n";
    let settings = run_settings::read("run.ini", text).expect("no mistakes").caller_limits;
    assert_eq!((settings.connections, settings.bodies_kib), (Some(100), Some(2_048)));
    let text = "[caller_limits]\nconnections = 0\npeer_connections = 0\nbodies_kib = 0\n";
    assert_eq!(run_settings::read("run.ini", text).expect_err("mistakes").len(), 3);
}

/// Limits of the operators are in force; missing ones, and those of value 0, keep their defaults.
#[test]
fn decode_declared_limits() {
    let value = br#"{"version":3,"limits":{"maxHeaderBytes":4096,"headerTimeoutMs":500,"idleTimeoutMs":0}}"#;
    let declared = decode_declarations(value).expect("declarations").request_limits;
    let expected = RequestLimits {
        max_head_bytes: 4_096,
        head_timeout: Duration::from_millis(500),
        ..RequestLimits::default()
    };
    assert_eq!(declared, expected);
    let without = decode_declarations(br#"{"version":3}"#).expect("declarations");
    assert_eq!(without.request_limits, RequestLimits::default());
}
