//! `measure` command: runs simulated experiments with the scheduling policies.

use crate::exit::{CommandError, Exit};
use crate::measure::{self, Experiment, Options};
use crate::operator_commands::Report;
use argh::FromArgs;

/// Measure the scheduling policies in a simulation with a virtual clock.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct MeasureArgs {
    /// number of seeds per experiment (20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// first seed (1)
    #[argh(option, default = "1")]
    first_seed: u64,
    /// number of threads that run seeds in parallel (3)
    #[argh(option, default = "3")]
    threads: usize,
    /// experiment to run; may be repeated (all)
    #[argh(option, from_str_fn(parse_experiment))]
    only: Vec<Experiment>,
    /// output directory for the JSON report and the plots
    #[argh(option)]
    out: Option<std::path::PathBuf>,
}

fn parse_experiment(name: &str) -> Result<Experiment, String> {
    let names = Experiment::ALL.map(Experiment::name).join(", ");
    Experiment::from_name(name).ok_or_else(|| format!("no experiment {name:?}; one of {names}"))
}

/// Runs the experiments and returns their results as a table.
pub fn run(args: MeasureArgs) -> Result<Report, CommandError> {
    let MeasureArgs { seeds, first_seed, threads, only, out } = args;
    if seeds == 0 || threads == 0 {
        return Err(CommandError::Argument {
            message: "--seeds and --threads must be above 0".into(),
        });
    }
    let report = measure::run(&Options { seeds, first_seed, threads, only, out })
        .map_err(|e| CommandError::Process { message: e.to_string() })?;
    Ok(Report { exit: Exit::Done, text: report.table() })
}
