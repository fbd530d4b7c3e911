//! Settings file of `run`.

use jacinthhook::instance::run_settings::{RunSettings, read};
use jacinthhook::settings::{CheckedFile, check};

#[test]
fn read_empty_file() {
    assert_eq!(read("run.ini", ""), Ok(RunSettings::default()));
}

#[test]
fn read_disabled_parts() {
    let settings = read("run.ini", "[overload]\nenabled = off\n").expect("no mistakes");
    assert!(!settings.overload.enabled);
    assert!(settings.pool_demand.enabled);
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
