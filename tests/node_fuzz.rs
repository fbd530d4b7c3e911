//! Stateful fuzzing of the entry instance's state machine. Guards against invariant violations that
//! need a combination of faults. `docs/proof.md` lists what is checked and what is not.
//!
//! `FUZZ_SEED`, `FUZZ_CASES` and `FUZZ_STEPS` select another run.

mod fuzz;

use fuzz::command::Sequence;
use fuzz::run::{Failure, run, search};
use fuzz::world::DisabledChecks;
use jacinthhook::node::Mutation;

/// Default number of sequences.
const CASES: u64 = 2_000;
/// Default number of steps per sequence.
const STEPS: u64 = 60;
/// Default first seed.
const SEED: u64 = 1;
/// Number of threads among which the seeds are divided.
const THREADS: u64 = 4;

fn env_number(name: &str, default: u64) -> u64 {
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
    let (seed, cases) = (env_number("FUZZ_SEED", SEED), env_number("FUZZ_CASES", CASES));
    let steps = env_number("FUZZ_STEPS", STEPS) as usize;
    std::panic::set_hook(Box::new(|_| {}));
    let search_part = |k: u64| {
        let (from, to) = (seed + cases * k / THREADS, seed + cases * (k + 1) / THREADS);
        std::thread::spawn(move || search(from..to, steps, DisabledChecks::default()))
    };
    let threads: Vec<_> = (0..THREADS).map(search_part).collect();
    let found = threads.into_iter().filter_map(|t| t.join().expect("the search does not panic"));
    let failures: Vec<String> = found.map(|failure| report(&failure)).collect();
    let _ = std::panic::take_hook();
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// Runs one sequence that failed earlier with this seed.
fn run_seed(seed: u64) {
    if let Some(failure) = search(seed..seed + 1, STEPS as usize, DisabledChecks::default()) {
        panic!("{}", report(&failure));
    }
}

#[test]
fn node_seed_2016000() {
    // A batch in flight during an outage of the log was resent only 5 s after the log was reachable
    // again.
    run_seed(2_016_000);
}

#[test]
fn node_seed_2007721() {
    // An entry instance that was cut off under load got no unit within a deadline of 4.4 s.
    run_seed(2_007_721);
}

#[test]
fn node_seed_2001134() {
    // As seed 2007721: the share of a small demand was rounded down to zero units.
    run_seed(2_001_134);
}

#[test]
fn node_seed_2023681() {
    // As seed 2007721: requests that had stopped waiting still kept units from being granted to
    // other instances.
    run_seed(2_023_681);
}

#[test]
fn node_seed_2013688() {
    // After the log was trimmed, an entry instance based decisions on a peer's view that was more
    // than 4 s behind.
    run_seed(2_013_688);
}

#[test]
fn node_seed_2018885() {
    // Peers kept sending a hold whose record the log had rejected, so that the hold never ended.
    run_seed(2_018_885);
}

/// A disabled safety check with its name, the invariant that the oracle must report as violated,
/// and a seed for which it does.
type MutationCase = (&'static str, DisabledChecks, &'static str, u64);

fn node_mutation(mutation: Mutation) -> DisabledChecks {
    DisabledChecks { mutation: Some(mutation), ..DisabledChecks::default() }
}

fn mutation_cases() -> Vec<MutationCase> {
    let drain = DisabledChecks { drain_without_log: true, ..DisabledChecks::default() };
    let late = DisabledChecks { late_starts: true, ..DisabledChecks::default() };
    let timeout = DisabledChecks { timeout_is_not_run: true, ..DisabledChecks::default() };
    vec![
        ("drain without the log", drain, "point 1", 27),
        ("ignore pools", node_mutation(Mutation::IgnorePools), "point 2", 1),
        ("ignore keys", node_mutation(Mutation::IgnoreKeys), "point 3", 1),
        ("ignore withdrawn keys", node_mutation(Mutation::IgnoreWithdrawnKeys), "point 3", 5),
        ("lease never lapses", node_mutation(Mutation::LeaseNeverLapses), "point 4", 308),
        ("expire at once", node_mutation(Mutation::ExpireAtOnce), "point 4", 11),
        ("ignore zones out", node_mutation(Mutation::IgnoreZonesOut), "point 5", 10),
        ("trust append answers", node_mutation(Mutation::TrustAppendAnswers), "point 6", 6),
        ("withdraw sent records", node_mutation(Mutation::WithdrawSent), "point 7", 29),
        ("timeout is not run", timeout, "point 7", 1),
        ("late starts", late, "point 8", 8),
        ("claim always wins", node_mutation(Mutation::ClaimAlwaysWins), "point 8", 4),
        ("issued ids reusable", node_mutation(Mutation::IssuedIdsReusable), "point 8", 28),
        ("start any job", node_mutation(Mutation::StartAnyJob), "point 8", 2767),
        ("release unknown tasks", node_mutation(Mutation::ReleaseUnknownTasks), "point 8", 143),
        ("ignore closed instances", node_mutation(Mutation::IgnoreClosedInstances), "point 9", 7),
        ("leave at once", node_mutation(Mutation::LeaveAtOnce), "point 10", 3),
        ("skip gaps", node_mutation(Mutation::SkipGaps), "point 11", 1),
        ("never expire", node_mutation(Mutation::NeverExpire), "liveness", 1),
        ("no snapshots", node_mutation(Mutation::NoSnapshots), "liveness", 1),
    ]
}

/// Prints the first seed that detects each disabled check. Run it with `FUZZ_FIND` set after the
/// generator has changed.
fn find_seeds() {
    for (name, disabled, invariant, _) in mutation_cases() {
        let seen = |seed: &u64| {
            let sequence = Sequence::generate(*seed, STEPS as usize);
            run(&sequence, disabled).is_err_and(|text| text.starts_with(invariant))
        };
        println!("{name}: {:?}", (1..3_000).find(seen));
    }
}

/// Guards against an oracle that detects no violation: each disabled safety check must be reported.
/// With `FUZZ_SHRINK` set, the shrunk sequences are printed.
#[test]
fn node_mechanism_taken_out() {
    if std::env::var("FUZZ_FIND").is_ok() {
        return find_seeds();
    }
    let shrink = std::env::var("FUZZ_SHRINK").is_ok();
    for (name, disabled, invariant, seed) in mutation_cases() {
        let sequence = Sequence::generate(seed, STEPS as usize);
        let text = run(&sequence, disabled).expect_err(name);
        assert!(text.starts_with(invariant), "{name}: {text}");
        if shrink && let Some(failure) = search(seed..seed + 1, STEPS as usize, disabled) {
            println!("{name}: {}", report(&failure));
        }
    }
}
