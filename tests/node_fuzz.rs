//! Stateful fuzzing of the core of an entry instance. Guards against every violation of the invariants
//! that needs several faults to meet; `docs/proof.md` lists what is proved and what is not.
//!
//! `FUZZ_SEED`, `FUZZ_CASES` and `FUZZ_STEPS` choose another run.

mod fuzz;

use fuzz::run::{Failure, search};
use fuzz::world::Taken;
use jacinthhook::node::Mutation;

/// Sequences of a run by default.
const CASES: u64 = 2_000;
/// Steps of a sequence by default.
const STEPS: u64 = 60;
/// First seed by default.
const SEED: u64 = 1;
/// Threads that share a run.
const THREADS: u64 = 4;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn report(failure: &Failure) -> String {
    format!(
        "seed {}: {}\nshrunk to {} steps:\n{:#?}",
        failure.sequence.seed,
        failure.text,
        failure.sequence.steps.len(),
        failure.sequence.steps
    )
}

#[test]
fn node_random_sequences() {
    let (seed, cases) = (number("FUZZ_SEED", SEED), number("FUZZ_CASES", CASES));
    let steps = number("FUZZ_STEPS", STEPS) as usize;
    std::panic::set_hook(Box::new(|_| {}));
    let part = |k: u64| {
        let (from, to) = (seed + cases * k / THREADS, seed + cases * (k + 1) / THREADS);
        std::thread::spawn(move || search(from..to, steps, Taken::default()))
    };
    let threads: Vec<_> = (0..THREADS).map(part).collect();
    let found = threads.into_iter().filter_map(|t| t.join().expect("the search does not panic"));
    let failures: Vec<String> = found.map(|failure| report(&failure)).collect();
    let _ = std::panic::take_hook();
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// A mechanism that is taken out, the point whose violation the oracle must then see, and a seed with
/// which it does.
struct Row(&'static str, Taken, &'static str, u64);

fn rows() -> Vec<Row> {
    let core = |mutation| Taken { core: Some(mutation), ..Taken::default() };
    let drain = Taken { drain_without_log: true, ..Taken::default() };
    let late = Taken { late_starts: true, ..Taken::default() };
    let timeout = Taken { timeout_is_not_run: true, ..Taken::default() };
    vec![
        Row("drain without the log", drain, "point 1", 0),
        Row("ignore pools", core(Mutation::IgnorePools), "point 2", 0),
        Row("ignore keys", core(Mutation::IgnoreKeys), "point 3", 0),
        Row("ignore withdrawn keys", core(Mutation::IgnoreWithdrawnKeys), "point 3", 0),
        Row("lease never lapses", core(Mutation::LeaseNeverLapses), "point 4", 0),
        Row("expire at once", core(Mutation::ExpireAtOnce), "point 4", 0),
        Row("ignore zones out", core(Mutation::IgnoreZonesOut), "point 5", 0),
        Row("trust append answers", core(Mutation::TrustAppendAnswers), "point 6", 0),
        Row("withdraw sent records", core(Mutation::WithdrawSent), "point 7", 0),
        Row("timeout is not run", timeout, "point 7", 0),
        Row("late starts", late, "point ", 0),
        Row("claim always wins", core(Mutation::ClaimAlwaysWins), "point 8", 0),
        Row("issued ids reusable", core(Mutation::IssuedIdsReusable), "point 8", 0),
        Row("start any job", core(Mutation::StartAnyJob), "point 8", 0),
        Row("release unknown tasks", core(Mutation::ReleaseUnknownTasks), "point 8", 0),
        Row("ignore closed", core(Mutation::IgnoreClosedInstances), "point 9", 0),
        Row("leave at once", core(Mutation::LeaveAtOnce), "point 10", 0),
        Row("skip gaps", core(Mutation::SkipGaps), "point 11", 0),
        Row("never expire", core(Mutation::NeverExpire), "liveness", 0),
        Row("no snapshots", core(Mutation::NoSnapshots), "liveness", 0),
    ]
}

#[test]
fn node_discover() {
    std::panic::set_hook(Box::new(|_| {}));
    let threads: Vec<_> = rows()
        .into_iter()
        .map(|row| {
            std::thread::spawn(move || {
                let mut text = String::new();
                for seed in 1..3000 {
                    if let Some(f) = search(seed..seed + 1, 60, row.1) {
                        let t = format!("{}: {}\n", row.0, report(&f));
                        if f.text.starts_with(row.2) {
                            return format!("{t}");
                        }
                        text += &format!(
                            "(other {}: {}) ",
                            seed,
                            f.text.chars().take(60).collect::<String>()
                        );
                    }
                }
                format!("NOT FOUND {} {text}", row.0)
            })
        })
        .collect();
    for t in threads {
        println!("{}", t.join().unwrap());
    }
}
