//! `load` command: sends load to one address and reports rate and latencies.

use crate::exit::{CommandError, Exit};
use crate::load::{self, LoadOptions, Pace};
use crate::operator_commands::Report;
use argh::FromArgs;
use reqwest::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Send load to one address and report rate and latencies.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// path and query of the requests
    #[argh(positional)]
    path: String,
    /// address of an entry instance or upstream (IP:PORT)
    #[argh(option)]
    at: SocketAddr,
    /// requests per second at even intervals; by default, each connection sends its next request as soon as
    /// it has a response
    #[argh(option)]
    rate: Option<f64>,
    /// maximum number of concurrent requests (64)
    #[argh(option, default = "64")]
    connections: usize,
    /// duration of the measurement in milliseconds (5000)
    #[argh(option, default = "5_000")]
    duration_ms: u64,
    /// warm-up before the measurement in milliseconds (1000)
    #[argh(option, default = "1_000")]
    warmup_ms: u64,
    /// timeout for a response in milliseconds (10000)
    #[argh(option, default = "10_000")]
    timeout_ms: u64,
    /// request method (GET)
    #[argh(option, default = "Method::GET")]
    method: Method,
    /// request header as 'name: value'; may be repeated
    #[argh(option)]
    header: Vec<String>,
    /// request body (none)
    #[argh(option, default = "String::new()")]
    body: String,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// Sends the load and returns the report.
pub async fn run(args: LoadArgs) -> Result<Report, CommandError> {
    let json = args.json;
    let options = load_options(args).map_err(argument_error)?;
    let report = load::run(options).await.map_err(argument_error)?;
    let text = if json {
        serde_json::to_string_pretty(&report)
            .map_err(|e| CommandError::Process { message: e.to_string() })?
    } else {
        report.to_string()
    };
    Ok(Report { exit: Exit::Done, text })
}

fn load_options(args: LoadArgs) -> Result<LoadOptions, load::LoadError> {
    let times = (Duration::from_millis(args.warmup_ms), Duration::from_millis(args.duration_ms));
    let mut options = LoadOptions::new(args.at.to_string(), args.path)
        .with_connections(args.connections)
        .with_times(times.0, times.1);
    if let Some(per_second) = args.rate {
        options = options.with_pace(Pace::Open { per_second });
    }
    for line in &args.header {
        options = options.with_header(line)?;
    }
    options.method = args.method;
    options.body = args.body.into();
    options.timeout = Duration::from_millis(args.timeout_ms);
    Ok(options)
}

fn argument_error(e: load::LoadError) -> CommandError {
    CommandError::Argument { message: e.to_string() }
}
