//! Exit codes and the failures behind them. `docs/cli.md` has the table for operators.

use crate::api::{OpResult, Outcome, RefusalBody};
use crate::config::Mistake;
use crate::file::FileMistake;
use snafu::Snafu;
use std::fmt::Write;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done; a change is in force on every known entry instance.
    Done = 0,
    /// A file, a socket or a process of this side failed.
    Local = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// The file has mistakes.
    Mistakes = 3,
    /// The entry instance cannot be reached or does not answer as one; nothing was sent.
    Unreachable = 4,
    /// Refused or rejected; nothing changed.
    Refused = 5,
    /// In force or held, but not on every known entry instance within the wait.
    Partial = 6,
    /// The command was sent and its fate is not known; a repeat with the same `--op` is safe.
    FateUnknown = 7,
}

impl Exit {
    /// All codes, in the order of `docs/cli.md`.
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

    /// Exit code for what became of an operator's command.
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
    /// A process of ours could not start or run.
    #[snafu(display("{message}"))]
    Process { message: String },
    /// An argument has a value that is not allowed.
    #[snafu(display("{message}"))]
    Argument { message: String },
    /// A file has mistakes.
    #[snafu(display("{}", format_file_mistakes(mistakes)))]
    Mistakes { mistakes: Vec<FileMistake> },
    /// No answer that makes sense came, and nothing was sent or nothing could change.
    #[snafu(display("{at} does not answer as an entry instance: {message}"))]
    Unreachable { at: String, message: String },
    /// The entry instance refused.
    #[snafu(display("refused: {}{}", refusal.message, format_mistakes(mistakes)))]
    Refused { refusal: RefusalBody, mistakes: Vec<Mistake> },
    /// The command cannot apply to what is in force.
    #[snafu(display("{message}"))]
    NothingToUndo { message: String },
    /// The command was sent and no answer tells its fate.
    #[snafu(display("the fate of op {op} is not known: {message}"))]
    FateUnknown { op: String, message: String },
}

impl CommandError {
    /// The exit code of a failure.
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
        // Writing to a string does not fail.
        let _ = write!(text, "\n[{section}] {key} = {found}: {message} (allowed: {allowed})");
    }
    text
}
