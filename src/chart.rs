//! Plots the results of a report as SVG files.

use crate::decision_cost::CostRow;
use crate::measure::{MeasureError, Report, Row};
use indexmap::IndexMap;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (820, 460);

/// Draws one plot for each measure, and one for the decision costs.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn draw(report: &Report, dir: &Path) -> Result<(), MeasureError> {
    let mut groups: IndexMap<String, Vec<&Row>> = IndexMap::new();
    for row in &report.rows {
        let name = format!("{} {}", row.experiment.name(), row.measure);
        groups.entry(name).or_default().push(row);
    }
    for (name, rows) in groups {
        let path = dir.join(format!("{}.svg", svg_file_name(&name)));
        let draw_error = |message: String| MeasureError::Draw { path: path.clone(), message };
        draw_rows(&path, &name, &rows).map_err(|e| draw_error(e.to_string()))?;
    }
    if !report.costs.is_empty() {
        let path = dir.join("decision_cost.svg");
        let draw_error = |message: String| MeasureError::Draw { path: path.clone(), message };
        draw_costs(&path, &report.costs).map_err(|e| draw_error(e.to_string()))?;
    }
    Ok(())
}

fn svg_file_name(name: &str) -> String {
    let normalize = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '_' };
    name.chars().map(normalize).collect()
}

/// Draws a column for each deployment and variant, with a dot for each seed and a line at the
/// median.
fn draw_rows(path: &Path, name: &str, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let finite = |value: &f64| value.is_finite();
    let max_value =
        rows.iter().flat_map(|row| &row.values).copied().filter(finite).fold(0.0, f64::max);
    let min_value =
        rows.iter().flat_map(|row| &row.values).copied().filter(finite).fold(0.0, f64::min);
    let columns = rows.len();
    let labels: Vec<String> =
        rows.iter().map(|row| format!("{} {}", row.deployment, row.variant)).collect();
    let mut chart = ChartBuilder::on(&root)
        .caption(name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            -0.5..columns as f64 - 0.5,
            min_value..(max_value * 1.1).max(min_value + 1e-3),
        )?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(columns)
        .x_label_formatter(&|x| labels.get(x.round() as usize).cloned().unwrap_or_default())
        .draw()?;
    for (column, row) in rows.iter().enumerate() {
        let color = Palette99::pick(column).to_rgba();
        let x = column as f64;
        let dots = row.values.iter().enumerate().filter(|(_, value)| value.is_finite());
        let dot_x = |at: usize| x + (at as f64 / row.values.len().max(1) as f64 - 0.5) * 0.4;
        chart.draw_series(
            dots.map(|(at, value)| Circle::new((dot_x(at), *value), 3, color.filled())),
        )?;
        let median = [(x - 0.3, row.median), (x + 0.3, row.median)];
        chart.draw_series(LineSeries::new(median, color.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}

/// Draws the mean time by number of workers, with logarithmic axes.
fn draw_costs(path: &Path, rows: &[CostRow]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let sizes = rows.iter().flat_map(|row| &row.points).map(|(size, _, _)| f64::from(*size));
    let (min_size, max_size) = (sizes.clone().fold(f64::MAX, f64::min), sizes.fold(1.0, f64::max));
    let mut chart = ChartBuilder::on(&root)
        .caption("decision cost, mean in microseconds", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (min_size * 0.9..max_size * 1.1).log_scale(),
            (0.05..1e6).log_scale(),
        )?;
    chart.configure_mesh().x_desc("workers").y_desc("us").draw()?;
    for (index, row) in rows.iter().filter(|row| row.unit == "us").enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = row.points.iter().map(|(size, mean, _)| (f64::from(*size), *mean));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(row.decision)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
