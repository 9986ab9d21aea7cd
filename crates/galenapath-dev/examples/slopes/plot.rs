//! Plots of the measured figures.

use crate::table::{Row, fit};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (640, 400);

/// Plots the figures that depend on the number of instances.
pub fn instances(out: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    for name in ["peer_bytes_per_s", "control_cpu_percent", "rss_mib", "in_force_max_ms"] {
        draw(out, "instances", rows, name)?;
    }
    draw(out, "instances", rows, "store_calls_per_s")
}

/// Plots the figures that depend on the number of backend servers.
pub fn backends(out: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    for name in ["rss_mib", "list_bytes", "cpu_ms_per_list_change"] {
        draw(out, "backends", rows, name)?;
    }
    Ok(())
}

/// Plots the figures that depend on the rate of requests.
pub fn requests(out: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    draw(out, "requests", rows, "data_cpu_s_per_s")
}

/// Plots the figures that depend on the number of classes.
pub fn classes(out: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    draw(out, "classes", rows, "snapshot_bytes")
}

/// Plots the figures that depend on the number of members.
pub fn members(out: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    draw(out, "members", rows, "us_per_probe_and_news")
}

fn draw(out: &Path, by: &str, rows: &[Row], name: &str) -> Result<(), Box<dyn Error>> {
    let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.size as f64, row.get(name))).collect();
    let (start, slope) = fit(&points);
    println!("fit of {name}: {start:.3} + {slope:.6} x {by}");
    let widest = points.iter().fold(1.0_f64, |max, p| max.max(p.0));
    let highest = points.iter().fold(1e-9_f64, |max, p| max.max(p.1)) * 1.1;
    let path = out.join(format!("{by}-{name}.svg"));
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{name} by {by}"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..widest, 0.0..highest)?;
    chart.configure_mesh().x_desc(by).draw()?;
    let line = [(0.0, start.max(0.0)), (widest, (start + slope * widest).max(0.0))];
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
