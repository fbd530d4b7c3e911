//! Tests the report of measurements. Guards against tables that hide a missed target, and plots
//! that cannot be drawn, for example because a value is not finite.

use jacinthhook::chart;
use jacinthhook::decision_cost::CostRow;
use jacinthhook::measure::{Experiment, Options, Report, Row, Target, run};

fn report() -> Report {
    let row = Row {
        experiment: Experiment::Zone,
        deployment: "derwent",
        variant: "jacinthhook",
        measure: "work done over best of the rest",
        target: Some(Target::AtLeast(0.95)),
        values: vec![0.9, 0.97, f64::NAN],
        low: 0.9,
        median: 0.97,
        high: 0.97,
        met: Some(1),
    };
    let cost = CostRow {
        decision: "placement",
        unit: "us",
        target_us: Some(20.0),
        points: vec![(100, 1.0, 2.0), (200, 1.5, 3.0)],
        exponent: 0.58,
    };
    Report { rows: vec![row], costs: vec![cost] }
}

#[test]
fn table_shows_target_and_seeds() {
    let table = report().table();
    assert!(table.contains(">= 0.95 | 1/3"), "{table}");
    assert!(table.contains("| placement | us | 1.00 / 2.00 | 1.50 / 3.00 | 0.58 | p99 <= 20 |"));
}

#[test]
fn draw_non_finite_values() {
    let dir = std::env::temp_dir().join(format!("jacinthhook-chart-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    chart::draw(&report(), &dir).unwrap();
    let svg =
        std::fs::read_to_string(dir.join("zone_work_done_over_best_of_the_rest.svg")).unwrap();
    assert!(svg.contains("<svg") && svg.contains("derwent jacinthhook"));
    assert!(dir.join("decision_cost.svg").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn from_name_all_experiments() {
    for experiment in Experiment::ALL {
        assert_eq!(Experiment::from_name(experiment.name()), Some(experiment));
    }
    assert_eq!(Experiment::from_name("other"), None);
}

#[test]
fn run_unwritable_directory() {
    let file = std::env::temp_dir().join(format!("jacinthhook-file-{}", std::process::id()));
    std::fs::write(&file, "").unwrap();
    let only = vec![Experiment::Moves];
    let options = Options { seeds: 0, only, out: Some(file.join("below")), ..Options::default() };
    let error = run(&options).unwrap_err().to_string();
    assert!(error.contains("cannot write"), "{error}");
    std::fs::remove_file(&file).unwrap();
}
