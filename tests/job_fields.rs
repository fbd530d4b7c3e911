//! A body within the limits whose unknown fields take two hundred times their length once parsed.

use jacinthhook::batch::declarations::Queue;
use jacinthhook::platform::job_format::{decode_stored_job, encode_stored_job, parse_job};
use std::time::Duration;

const MAX_BODY_BYTES: usize = 262_144;
/// What handing in one job may add to the memory of a process. Parsed as a whole, the body below takes 50 MB.
const MAX_GROWTH_KIB: u64 = 8 * 1_024;

fn queue() -> Queue {
    Queue {
        id: "loans".into(),
        host: "loans.example".into(),
        path_prefix: "/loans/".into(),
        pool: "counter".into(),
        priority: 0,
        max_attempts: 3,
        slack_factor: 1.5,
        target_latency: Duration::from_millis(600),
        public: false,
        requires_advice: false,
    }
}

/// Returns the largest memory that the process has used so far.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// One test in this program: the peak is that of the whole process.
#[test]
fn parse_job_wide_unknown_field() {
    let mut body = br#"{"spec":"s","steps":[{"count":2,"cpu":500,"after":[]}],"x":["#.to_vec();
    while body.len() < MAX_BODY_BYTES - 400 {
        body.extend_from_slice(br#"{"":0},"#);
    }
    body.extend_from_slice(br#"{"":0}]}"#);
    let before = peak_kib();
    let spec = parse_job(&body).expect("a job");
    let stored = encode_stored_job(&queue(), None, &body, Duration::ZERO).expect("a record");
    let job = decode_stored_job(&stored).expect("a stored job");
    let growth = peak_kib() - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
    assert_eq!(job.spec, spec);
    assert_eq!(job.spec.steps[0].count, 2);
    assert!(parse_job(br#"{"steps":{"0":{"count":1}}}"#).is_err());
    assert!(parse_job(br#"{"steps":[{"count":[1]}]}"#).is_err());
}
