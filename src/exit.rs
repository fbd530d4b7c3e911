//! Exit codes of the commands and the errors behind them. `docs/cli.md` documents the codes for
//! operators.

use crate::admin_api::{OpResult, Outcome, RefusalBody};
use crate::config::Mistake;
use crate::file::FileMistake;
use snafu::Snafu;
use std::fmt::Write;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Success; a change is in effect on every known entry instance.
    Done = 0,
    /// A local file, socket or process failed.
    Local = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// The file is invalid.
    Mistakes = 3,
    /// The entry instance is unreachable or its response is invalid; nothing was changed.
    Unreachable = 4,
    /// The command was refused or rejected; nothing was changed.
    Refused = 5,
    /// The change is in effect or held, but not on every known entry instance within the wait.
    Partial = 6,
    /// The command was sent and its outcome is not known; a repeat with the same `--op` is safe.
    FateUnknown = 7,
}

impl Exit {
    /// All exit codes, in the order of `docs/cli.md`.
    pub const ALL: [Exit; 8] = [
        Exit::Done,
        Exit::Local,
        Exit::Usage,
        Exit::Mistakes,
        Exit::Unreachable,
        Exit::Refused,
        Exit::Partial,
        Exit::FateUnknown,
    ];

    /// Returns the exit code for the outcome of an operator's command.
    pub fn of(outcome: &Outcome) -> Exit {
        match outcome.result {
            OpResult::Applied { .. } if outcome.in_force_everywhere() => Exit::Done,
            OpResult::Applied { .. } | OpResult::Held => Exit::Partial,
            OpResult::Rejected { .. } => Exit::Refused,
            OpResult::Pending | OpResult::Unknown => Exit::FateUnknown,
        }
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// A file could not be read.
    #[snafu(display("cannot read {file}: {source}"))]
    Read { file: String, source: std::io::Error },
    /// A local process could not start or run.
    #[snafu(display("{message}"))]
    Process { message: String },
    /// An argument has an invalid value.
    #[snafu(display("{message}"))]
    Argument { message: String },
    /// A file is invalid.
    #[snafu(display("{}", format_file_mistakes(mistakes)))]
    Mistakes { mistakes: Vec<FileMistake> },
    /// No valid response was received, and nothing was sent or the call changes nothing.
    #[snafu(display("no valid response from an entry instance at {at}: {message}"))]
    Unreachable { at: String, message: String },
    /// The entry instance refused the command.
    #[snafu(display("refused: {}{}", refusal.message, format_mistakes(mistakes)))]
    Refused { refusal: RefusalBody, mistakes: Vec<Mistake> },
    /// The command does not apply to the current state.
    #[snafu(display("{message}"))]
    NothingToUndo { message: String },
    /// The command was sent and its outcome could not be determined.
    #[snafu(display("the outcome of op {op} is not known: {message}"))]
    FateUnknown { op: String, message: String },
}

impl CommandError {
    /// Returns the exit code of the error.
    pub fn exit(&self) -> Exit {
        match self {
            CommandError::Read { .. } | CommandError::Process { .. } => Exit::Local,
            CommandError::Argument { .. } => Exit::Usage,
            CommandError::Mistakes { .. } => Exit::Mistakes,
            CommandError::Unreachable { .. } => Exit::Unreachable,
            CommandError::Refused { .. } | CommandError::NothingToUndo { .. } => Exit::Refused,
            CommandError::FateUnknown { .. } => Exit::FateUnknown,
        }
    }
}

fn format_file_mistakes(mistakes: &[FileMistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(FileMistake::to_string).collect();
    format!("{}\n{} mistakes", lines.join("\n"), mistakes.len())
}

fn format_mistakes(mistakes: &[Mistake]) -> String {
    let mut text = String::new();
    for Mistake { section, key, found, allowed, message } in mistakes {
        let key = key.as_deref().unwrap_or("");
        // Writing to a `String` cannot fail.
        let _ = write!(text, "\n[{section}] {key} = {found}: {message} (allowed: {allowed})");
    }
    text
}
