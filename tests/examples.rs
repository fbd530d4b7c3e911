//! Tests the shipped example files. Guards against examples that contain mistakes, do not match the sizes of
//! the two firms, or leave no budget for maintenance.

use jacinthhook::config::Config;
use jacinthhook::settings::{Settings, check_declarations, read_settings};
use std::path::Path;

fn read_example(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(file);
    std::fs::read_to_string(path).expect("a shipped file")
}

fn load_firm(name: &str) -> (Config, Settings) {
    let (declarations, settings) = (format!("{name}.ini"), format!("{name}-entry.ini"));
    let cfg = check_declarations(&declarations, &read_example(&declarations)).expect("no mistakes");
    let settings = read_settings(&settings, &read_example(&settings)).expect("no mistakes");
    (cfg, settings)
}

fn check_firm(name: &str, zones: usize, spare: &str) {
    let (cfg, settings) = load_firm(name);
    assert_eq!((cfg.zones.len(), cfg.teams.len(), cfg.services.len()), (zones, 6, 5));
    assert!(cfg.zones.contains_key(&settings.zone));
    assert!((7..=9).contains(&settings.entry_instances));
    assert!(cfg.pools[spare].spare);
    for (name, service) in &cfg.services {
        let profile = &cfg.profiles[&service.profile];
        // The smallest pool has 8 instances; less than 13% of them is less than one instance.
        assert!(8 * profile.unavailable_percent / 100 >= 1, "{name}");
        assert!(cfg.pools[&service.pool].min_instances <= 12, "{name}");
        assert!(settings.stop_timeout > profile.max_deadline, "{name}");
    }
    for (name, team) in &cfg.teams {
        let reserve = |percent: u32| team.limit * percent / 100 / settings.entry_instances;
        let min_reserve =
            cfg.profiles.values().map(|profile| reserve(profile.reserve_percent)).min();
        assert!(
            min_reserve >= Some(1),
            "team {name} has no unit at an entry instance that is partitioned from the log"
        );
    }
}

#[test]
fn check_firm_derwent() {
    check_firm("derwent", 3, "administration");
}

#[test]
fn check_firm_tsagaan_tolgoi() {
    check_firm("tsagaan-tolgoi", 4, "admin-tools");
}

/// Guards against declarations that do not reflect the priorities of each firm.
#[test]
fn share_and_stale_limit_firm_priorities() {
    let (derwent, _) = load_firm("derwent");
    assert_eq!(derwent.profiles["guarded"].stale_limit, None);
    let (tsagaan, _) = load_firm("tsagaan-tolgoi");
    let cutting = "cutting".into();
    let planners = tsagaan.share(&cutting, &"planners".into());
    let others = tsagaan.teams.keys().filter(|team| &***team != "planners");
    assert!(others.into_iter().all(|team| tsagaan.share(&cutting, team) < planners));
}
