//! Operators' commands: sends each command to an entry instance and formats the result.

use crate::admin_api::*;
use crate::admin_client::AdminClient;
use crate::command_output;
use crate::config::{Config, Mistake, NAME_FORMAT, Sections, is_name};
use crate::exit::{CommandError, Exit};
use crate::file::{FileMistake, FileSections};
use crate::record::SectionChange;
use crate::section_diff::{MissingSections, diff_sections, format_diff};
use crate::settings::{section_additions, section_values};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::time::Duration;

/// Address and options of a command.
pub struct CommandTarget {
    /// HTTP address of any entry instance.
    pub at: SocketAddr,
    /// Longest wait for the command to be in force on every entry instance.
    pub wait: Duration,
    /// Op id of a command to repeat; `None` generates a new one.
    pub op: Option<String>,
}

/// Output and exit status of a command.
#[derive(Debug, Eq, PartialEq)]
pub struct Report {
    pub exit: Exit,
    pub text: String,
}

impl CommandTarget {
    /// Returns the given op id, or generates one.
    fn op(&self) -> Result<String, CommandError> {
        match &self.op {
            // The op id becomes part of a request path.
            Some(op) => check_name("op", op).map(|()| op.clone()),
            None => Ok(format!("op-{:016x}", rand::random::<u64>())),
        }
    }

    async fn command<B: serde::Serialize>(
        &self,
        path: &str,
        op: &str,
        body: &B,
    ) -> Result<Report, CommandError> {
        let outcome = AdminClient::new(self.at)?.command(path, op, body, self.wait).await?;
        Ok(Report { exit: Exit::of(&outcome), text: command_output::format_outcome(&outcome) })
    }
}

fn success(text: String) -> Report {
    Report { exit: Exit::Done, text }
}

/// Whether a publish changes anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishMode {
    /// Shows the difference without publishing it.
    DryRun,
    Apply,
}

/// Publishes the difference between a file and the declarations in force.
pub async fn publish(
    target: &CommandTarget,
    file: &str,
    text: &str,
    missing: MissingSections,
    mode: PublishMode,
) -> Result<Report, CommandError> {
    let (sections, mistakes) = FileSections::read(file, text);
    let current: Declarations = AdminClient::new(target.at)?.read(SECTIONS).await?;
    let wanted = section_values(sections.clone());
    let changes = diff_sections(&current.sections, &wanted, missing);
    check_changes(&current.sections, &changes, &sections, mistakes)?;
    let shown = format_diff(&current.sections, &changes);
    if changes.is_empty() {
        return Ok(success(format!(
            "no difference to what is in force at offset {}",
            current.next
        )));
    }
    if mode == PublishMode::DryRun {
        let age = current.view_age_ms;
        let note =
            format!("dry run; nothing published (view at offset {}, {age} ms old)", current.next);
        return Ok(success(format!("{shown}\n{note}")));
    }
    let op = target.op()?;
    let body = Publish { op: op.as_str().into(), changes };
    let report = target.command(PUBLISH, &op, &body).await?;
    Ok(Report { text: format!("{shown}\n{}", report.text), ..report })
}

/// Runs the check of the entry instance locally, so that mistakes are reported with their line
/// numbers.
fn check_changes(
    in_force: &Sections,
    changes: &[SectionChange],
    sections: &FileSections,
    mut mistakes: Vec<FileMistake>,
) -> Result<(), CommandError> {
    let current = in_force.iter().map(|(name, section)| (name.clone(), section.values.clone()));
    let mut cfg = Config::new();
    // If this version rejects the sections in force, another version accepted them; then the entry
    // instance does the check.
    if cfg.change(&section_additions(current.collect())).is_ok() {
        let found: Vec<Mistake> = cfg.change(changes).err().unwrap_or_default();
        mistakes.extend(sections.locate(found));
    }
    if mistakes.is_empty() { Ok(()) } else { Err(CommandError::Mistakes { mistakes }) }
}

/// Length of a key's secret part in bytes.
const SECRET_LEN: usize = 32;

/// Grants a new key to a team and shows it once; the secret is not stored.
pub async fn key_grant(target: &CommandTarget, team: &str) -> Result<Report, CommandError> {
    check_name("team", team)?;
    let op = target.op()?;
    let key = format!("k{:016x}", rand::random::<u64>());
    let secret = hex::encode(rand::random::<[u8; SECRET_LEN]>());
    let hash = hex::encode(Sha256::digest(secret.as_bytes()));
    let body =
        KeyGrant { op: op.as_str().into(), key: key.as_str().into(), team: team.into(), hash };
    let report = target.command(KEY_GRANT, &op, &body).await.map_err(|e| withdraw_hint(e, &key))?;
    let shown = match report.exit {
        Exit::Done | Exit::Partial => format!("key: {key}.{secret}"),
        _ => format!("key id: {key}; withdraw it and grant another one"),
    };
    Ok(Report { text: format!("{}\n{shown}", report.text), ..report })
}

/// Adds to an error of unknown outcome that the key must be withdrawn. Such a grant cannot be
/// repeated, since its secret was not shown.
fn withdraw_hint(error: CommandError, key: &str) -> CommandError {
    match error {
        CommandError::FateUnknown { op, message } => {
            let message = format!("{message}; withdraw key {key} and grant another one");
            CommandError::FateUnknown { op, message }
        }
        other => other,
    }
}

/// Withdraws a key permanently.
pub async fn key_withdraw(target: &CommandTarget, key: &str) -> Result<Report, CommandError> {
    // A full key is accepted, but its secret part is not sent.
    let key = key.split_once('.').map_or(key, |(id, _)| id);
    check_name("key", key)?;
    let op = target.op()?;
    let body = KeyWithdraw { op: op.as_str().into(), key: key.into() };
    target.command(KEY_WITHDRAW, &op, &body).await
}

/// Lists all keys.
pub async fn key_list(at: SocketAddr) -> Result<Report, CommandError> {
    let keys: Keys = AdminClient::new(at)?.read(KEYS).await?;
    Ok(success(command_output::format_keys(&keys)))
}

/// Takes an upstream instance out of service.
pub async fn instance_out(target: &CommandTarget, instance: &str) -> Result<Report, CommandError> {
    let op = target.op()?;
    let body = InstanceOut { op: op.as_str().into(), instance: instance.into() };
    target.command(INSTANCE_OUT, &op, &body).await
}

/// Returns an upstream instance to service. `undoes` defaults to the offset that the entry instance
/// reports in its status.
pub async fn instance_back(
    target: &CommandTarget,
    instance: &str,
    undoes: Option<u64>,
) -> Result<Report, CommandError> {
    let undoes = match undoes {
        Some(offset) => offset,
        None => {
            let status: Status = AdminClient::new(target.at)?.read(STATUS).await?;
            let mut instances = status.instances.iter();
            let found = instances.find(|found| *found.instance == *instance);
            let (since, held) = found.map_or((None, false), |found| (found.out_since, found.held));
            offset_to_undo("instance", instance, since, held)?
        }
    };
    let op = target.op()?;
    let body = InstanceBack { op: op.as_str().into(), instance: instance.into(), undoes };
    target.command(INSTANCE_BACK, &op, &body).await
}

/// Takes an availability zone out of service.
pub async fn zone_out(target: &CommandTarget, zone: &str) -> Result<Report, CommandError> {
    check_name("zone", zone)?;
    let op = target.op()?;
    let body = ZoneOut { op: op.as_str().into(), zone: zone.into() };
    target.command(ZONE_OUT, &op, &body).await
}

/// Returns an availability zone to service. `undoes` defaults to the offset that the entry instance
/// reports in its status.
pub async fn zone_back(
    target: &CommandTarget,
    zone: &str,
    undoes: Option<u64>,
) -> Result<Report, CommandError> {
    check_name("zone", zone)?;
    let undoes = match undoes {
        Some(offset) => offset,
        None => {
            let status: Status = AdminClient::new(target.at)?.read(STATUS).await?;
            let found = status.zones.iter().find(|found| *found.zone == *zone);
            let (since, held) = found.map_or((None, false), |found| (found.out_since, found.held));
            offset_to_undo("zone", zone, since, held)?
        }
    };
    let op = target.op()?;
    let body = ZoneBack { op: op.as_str().into(), zone: zone.into(), undoes };
    target.command(ZONE_BACK, &op, &body).await
}

/// Returns the offset that a command to return to service must name.
fn offset_to_undo(
    what: &str,
    name: &str,
    since: Option<u64>,
    held: bool,
) -> Result<u64, CommandError> {
    let message = match (since, held) {
        (Some(offset), _) => return Ok(offset),
        (None, true) => format!("{what} {name} is out by a hold that the log does not have yet"),
        (None, false) => format!("{what} {name} is not out"),
    };
    Err(CommandError::NothingToUndo { message })
}

fn check_name(what: &str, name: &str) -> Result<(), CommandError> {
    if is_name(name) {
        return Ok(());
    }
    Err(CommandError::Argument {
        message: format!("{what} {name:?} is not a name ({NAME_FORMAT})"),
    })
}

/// Output format of a status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusFormat {
    Json,
    Text,
}

/// Shows the state of the fleet as one entry instance sees it.
pub async fn status(at: SocketAddr, format: StatusFormat) -> Result<Report, CommandError> {
    let status: Status = AdminClient::new(at)?.read(STATUS).await?;
    let text = match format {
        StatusFormat::Text => command_output::format_status(&status),
        StatusFormat::Json => serde_json::to_string_pretty(&status)
            .map_err(|e| CommandError::Process { message: e.to_string() })?,
    };
    Ok(success(text))
}
