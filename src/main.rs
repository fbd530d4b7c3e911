use jacinthhook::cli;
use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Arguments that are not text fail as wrong names later.
    let args: Vec<String> =
        std::env::args_os().map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    // Not locked for the whole command: the log's thread writes to standard error too.
    let exit = cli::run(&args, &mut stdout(), &mut stderr());
    ExitCode::from(exit as u8)
}
