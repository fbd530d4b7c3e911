//! Runs the experiments of `jacinthhook::measure` and prints their results as a table.
//!
//! All arguments are optional, for example `seeds=20 first=1 threads=3 out=DIR only=shares,zone`.

use jacinthhook::measure::{Experiment, Options, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut options = Options::default();
    for arg in std::env::args().skip(1) {
        let known = match arg.split_once('=') {
            Some(("seeds", value)) => value.parse().map(|seeds| options.seeds = seeds).is_ok(),
            Some(("first", value)) => value.parse().map(|seed| options.first_seed = seed).is_ok(),
            Some(("threads", value)) => value.parse().map(|n| options.threads = n).is_ok(),
            Some(("out", value)) => {
                options.out = Some(value.into());
                true
            }
            Some(("only", value)) => {
                options.only = value.split(',').filter_map(Experiment::from_name).collect();
                options.only.len() == value.split(',').count()
            }
            _ => false,
        };
        if !known {
            eprintln!("unknown argument {arg:?}");
            return ExitCode::from(2);
        }
    }
    match run(&options) {
        Ok(report) => {
            print!("{}", report.table());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
