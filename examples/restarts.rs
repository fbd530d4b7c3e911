//! Plays a mode of `tests/restart_processes.rs` on seeds: `RESTART_MODE`, `RESTART_SEED` (the first), `RESTART_CASES`
//! and `RESTART_PARALLEL`. `JACINTHHOOK_BIN` names the program of the instances, and `JACINTHHOOK_OTHER_BIN` that of
//! the first instance in the mode `mixed`. Exits with 1 if a seed broke a promise.

#[path = "../tests/restart_world/mod.rs"]
mod restart_world;

use restart_world::modes::Mode;
use std::process::ExitCode;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let name = std::env::var("RESTART_MODE").expect("RESTART_MODE");
    let mode = Mode::parse(&name);
    let first = env_number("RESTART_SEED", 1);
    let seeds: Vec<u64> = (first..first + env_number("RESTART_CASES", 1)).collect();
    let mut broken = Vec::new();
    for batch in seeds.chunks(env_number("RESTART_PARALLEL", 1).max(1) as usize) {
        let runs: Vec<_> = batch.iter().map(|&seed| tokio::spawn(mode.run(seed))).collect();
        for (seed, run) in batch.iter().zip(runs) {
            let report = match run.await {
                Ok(outcome) if outcome.is_sound() => continue,
                Ok(outcome) => outcome.report(),
                Err(e) => e.to_string(),
            };
            println!("{name} seed {seed}:\n{report}");
            broken.push(*seed);
        }
    }
    println!("{name}: {} of {} broken: {broken:?}", broken.len(), seeds.len());
    match broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
