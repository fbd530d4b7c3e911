//! Settings file of `run`.

use jacinthhook::instance::run_settings::{RunSettings, read};
use jacinthhook::settings::{CheckedFile, check};
use std::time::Duration;

#[test]
fn read_empty_file() {
    assert_eq!(read("run.ini", ""), Ok(RunSettings::default()));
}

/// `[overload]` is off by default, the other parts are on.
#[test]
fn read_switched_parts() {
    let defaults = RunSettings::default();
    assert!(!defaults.overload.enabled && defaults.pool_demand.enabled);
    let text = "[overload]\nenabled = on\nteam_burst_ms = 250\n[pool_demand]\nenabled = off\n";
    let settings = read("run.ini", text).expect("no mistakes");
    assert!(settings.overload.enabled && settings.submissions.enabled);
    assert_eq!(settings.overload.team_burst, Duration::from_millis(250));
    assert!(!settings.pool_demand.enabled);
    assert!(read("run.ini", "[overload]\nteam_burst_ms = 60001\n").is_err());
}

#[test]
fn read_reports_all_mistakes() {
    let text = "[overlaod]\nenabled = off\n[submissions]\nenabled = maybe\npartitons = 3\n";
    assert_eq!(read("run.ini", text).expect_err("mistakes").len(), 3);
}

#[test]
fn check_run_settings() {
    let checked = check("run.ini", "[pool_demand]\nenabled = on\n");
    assert!(matches!(checked, Ok(CheckedFile::RunSettings(_))));
}
