//! Settings file of `run`.

use jacinthhook::instance::run_settings::{RunSettings, read};
use jacinthhook::settings::{CheckedFile, check};
use std::process::Command;
use std::time::Duration;

#[test]
fn read_empty_file() {
    assert_eq!(read("run.ini", ""), Ok(RunSettings::default()));
}

/// `[overload]` is off by default, the other parts are on.
#[test]
fn read_switched_parts() {
    let defaults = RunSettings::default();
    assert!(!defaults.overload.enabled && defaults.start_orders.enabled);
    let text = "[overload]\nenabled = on\nteam_burst_ms = 250\n[start_orders]\nenabled = off\n";
    let settings = read("run.ini", text).expect("no mistakes");
    assert!(settings.overload.enabled && settings.submissions.enabled);
    assert_eq!(settings.overload.team_burst, Duration::from_millis(250));
    assert!(!settings.start_orders.enabled);
    assert!(read("run.ini", "[overload]\nteam_burst_ms = 60001\n").is_err());
}

#[test]
fn read_reports_all_mistakes() {
    let text = "[overlaod]\nenabled = off\n[submissions]\nenabled = maybe\npartitons = 3\n";
    assert_eq!(read("run.ini", text).expect_err("mistakes").len(), 3);
}

#[test]
fn check_run_settings() {
    let checked = check("run.ini", "[start_orders]\nenabled = on\n");
    assert!(matches!(checked, Ok(CheckedFile::RunSettings(_))));
}

/// What the users' platform starts: `deploy/system.toml` names the file, and `check` accepts it.
#[test]
fn check_deployed_settings() {
    let root = env!("CARGO_MANIFEST_DIR");
    let system = std::fs::read_to_string(format!("{root}/deploy/system.toml")).expect("a file");
    assert!(system.contains("jacinthhook run --settings deploy/run.ini\""));
    let check = Command::new(env!("CARGO_BIN_EXE_jacinthhook"))
        .args(["check", "deploy/run.ini"])
        .current_dir(root)
        .output()
        .expect("run the program");
    assert!(check.status.success(), "{check:?}");
    let text = std::fs::read_to_string(format!("{root}/deploy/run.ini")).expect("a file");
    assert_eq!(read("run.ini", &text).expect("no mistakes").submissions.partitions, 1);
}
