//! The operators' commands: what is asked of an entry instance and how the answer reads.

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

/// Where a command goes and how long it waits.
pub struct CommandTarget {
    /// HTTP address of any entry instance.
    pub at: SocketAddr,
    /// How long to wait until the command is in force everywhere.
    pub wait: Duration,
    /// Op id to repeat; `None` draws a new one.
    pub op: Option<String>,
}

/// What a command prints and how it ends.
#[derive(Debug, Eq, PartialEq)]
pub struct Report {
    pub exit: Exit,
    pub text: String,
}

impl CommandTarget {
    /// The op id given, or a new one.
    fn op(&self) -> Result<String, CommandError> {
        match &self.op {
            // It becomes part of a path.
            Some(op) => name("op", op).map(|()| op.clone()),
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

fn done(text: String) -> Report {
    Report { exit: Exit::Done, text }
}

/// Whether a publish takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishMode {
    /// Only the difference is shown.
    DryRun,
    Apply,
}

/// Publishes what differs between a file and the declarations in force.
pub async fn publish(
    target: &CommandTarget,
    file: &str,
    text: &str,
    missing: MissingSections,
    run: PublishMode,
) -> Result<Report, CommandError> {
    let (sections, mistakes) = FileSections::read(file, text);
    let in_force: Declarations = AdminClient::new(target.at)?.read(SECTIONS).await?;
    let wanted = section_values(sections.clone());
    let changes = diff_sections(&in_force.sections, &wanted, missing);
    check_changes(&in_force.sections, &changes, &sections, mistakes)?;
    let shown = format_diff(&in_force.sections, &changes);
    if changes.is_empty() {
        return Ok(done(format!("no difference to what is in force at offset {}", in_force.next)));
    }
    if run == PublishMode::DryRun {
        let age = in_force.view_age_ms;
        let note =
            format!("dry run; nothing published (view at offset {}, {age} ms old)", in_force.next);
        return Ok(done(format!("{shown}\n{note}")));
    }
    let op = target.op()?;
    let body = Publish { op: op.as_str().into(), changes };
    let report = target.command(PUBLISH, &op, &body).await?;
    Ok(Report { text: format!("{shown}\n{}", report.text), ..report })
}

/// Runs the check that the entry instance runs, so that mistakes get their lines.
fn check_changes(
    in_force: &Sections,
    changes: &[SectionChange],
    sections: &FileSections,
    mut mistakes: Vec<FileMistake>,
) -> Result<(), CommandError> {
    let current = in_force.iter().map(|(name, section)| (name.clone(), section.values.clone()));
    let mut cfg = Config::new();
    // What another version of this program accepted is left to the entry instance to judge.
    if cfg.change(&section_additions(current.collect())).is_ok() {
        let found: Vec<Mistake> = cfg.change(changes).err().unwrap_or_default();
        mistakes.extend(sections.locate(found));
    }
    if mistakes.is_empty() { Ok(()) } else { Err(CommandError::Mistakes { mistakes }) }
}

/// Bytes of a key's secret part.
const SECRET_LEN: usize = 32;

/// Grants a new key to a team and prints it; the secret is not kept anywhere.
pub async fn key_grant(target: &CommandTarget, team: &str) -> Result<Report, CommandError> {
    name("team", team)?;
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

/// A grant of unknown fate cannot be repeated, since its secret was not shown.
fn withdraw_hint(failure: CommandError, key: &str) -> CommandError {
    match failure {
        CommandError::FateUnknown { op, message } => {
            let message = format!("{message}; withdraw key {key} and grant another one");
            CommandError::FateUnknown { op, message }
        }
        other => other,
    }
}

/// Withdraws a key for good.
pub async fn key_withdraw(target: &CommandTarget, key: &str) -> Result<Report, CommandError> {
    // A caller's full key is accepted, and its secret part is not sent on.
    let key = key.split_once('.').map_or(key, |(id, _)| id);
    name("key", key)?;
    let op = target.op()?;
    let body = KeyWithdraw { op: op.as_str().into(), key: key.into() };
    target.command(KEY_WITHDRAW, &op, &body).await
}

/// Lists all keys.
pub async fn key_list(at: SocketAddr) -> Result<Report, CommandError> {
    let keys: Keys = AdminClient::new(at)?.read(KEYS).await?;
    Ok(done(command_output::format_keys(&keys)))
}

/// Takes an upstream instance out.
pub async fn instance_out(target: &CommandTarget, instance: &str) -> Result<Report, CommandError> {
    let op = target.op()?;
    let body = InstanceOut { op: op.as_str().into(), instance: instance.into() };
    target.command(INSTANCE_OUT, &op, &body).await
}

/// Takes an upstream instance back; `undoes` defaults to what the entry instance shows in force.
pub async fn instance_back(
    target: &CommandTarget,
    instance: &str,
    undoes: Option<u64>,
) -> Result<Report, CommandError> {
    let undoes = match undoes {
        Some(offset) => offset,
        None => {
            let status: Status = AdminClient::new(target.at)?.read(STATUS).await?;
            let mut found = status.instances.iter();
            let found = found.find(|found| *found.instance == *instance);
            let (since, held) = found.map_or((None, false), |found| (found.out_since, found.held));
            in_force("instance", instance, since, held)?
        }
    };
    let op = target.op()?;
    let body = InstanceBack { op: op.as_str().into(), instance: instance.into(), undoes };
    target.command(INSTANCE_BACK, &op, &body).await
}

/// Takes an availability zone out.
pub async fn zone_out(target: &CommandTarget, zone: &str) -> Result<Report, CommandError> {
    name("zone", zone)?;
    let op = target.op()?;
    let body = ZoneOut { op: op.as_str().into(), zone: zone.into() };
    target.command(ZONE_OUT, &op, &body).await
}

/// Takes an availability zone back; `undoes` defaults to what the entry instance shows in force.
pub async fn zone_back(
    target: &CommandTarget,
    zone: &str,
    undoes: Option<u64>,
) -> Result<Report, CommandError> {
    name("zone", zone)?;
    let undoes = match undoes {
        Some(offset) => offset,
        None => {
            let status: Status = AdminClient::new(target.at)?.read(STATUS).await?;
            let found = status.zones.iter().find(|found| *found.zone == *zone);
            let (since, held) = found.map_or((None, false), |found| (found.out_since, found.held));
            in_force("zone", zone, since, held)?
        }
    };
    let op = target.op()?;
    let body = ZoneBack { op: op.as_str().into(), zone: zone.into(), undoes };
    target.command(ZONE_BACK, &op, &body).await
}

/// The offset that a command to take back must name.
fn in_force(what: &str, name: &str, since: Option<u64>, held: bool) -> Result<u64, CommandError> {
    let message = match (since, held) {
        (Some(offset), _) => return Ok(offset),
        (None, true) => format!("{what} {name} is out by a hold that the log does not have yet"),
        (None, false) => format!("{what} {name} is not out"),
    };
    Err(CommandError::NothingToUndo { message })
}

fn name(what: &str, name: &str) -> Result<(), CommandError> {
    if is_name(name) {
        return Ok(());
    }
    Err(CommandError::Argument {
        message: format!("{what} {name:?} is not a name ({NAME_FORMAT})"),
    })
}

/// How a status is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusFormat {
    Json,
    Text,
}

/// Shows the fleet as one entry instance sees it.
pub async fn status(at: SocketAddr, format: StatusFormat) -> Result<Report, CommandError> {
    let status: Status = AdminClient::new(at)?.read(STATUS).await?;
    let text = match format {
        StatusFormat::Text => command_output::format_status(&status),
        StatusFormat::Json => serde_json::to_string_pretty(&status)
            .map_err(|e| CommandError::Process { message: e.to_string() })?,
    };
    Ok(done(text))
}
