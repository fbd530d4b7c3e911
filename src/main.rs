use jacinthhook::cli;
use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Arguments that are not valid UTF-8 are rejected later as invalid names.
    let args: Vec<String> =
        std::env::args_os().map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    // Standard error is not locked for the whole command, because the log thread writes to it too.
    let exit = cli::run(&args, &mut stdout(), &mut stderr());
    ExitCode::from(exit as u8)
}
