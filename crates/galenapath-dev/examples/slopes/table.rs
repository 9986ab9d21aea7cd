//! Tables of measured figures.

use std::fmt::Write;
use std::io;
use std::path::Path;

/// Figures measured at one size, by column.
pub struct Row {
    /// Number of instances, backend servers, classes or members, or request rate.
    pub size: usize,
    /// Column name (with unit) and figure.
    pub columns: Vec<(&'static str, f64)>,
}

impl Row {
    /// Returns the figure of a column, or NaN if it is missing.
    pub fn get(&self, name: &str) -> f64 {
        self.columns.iter().find(|(n, _)| *n == name).map_or(f64::NAN, |(_, figure)| *figure)
    }
}

/// Prints rows as tab-separated values and writes them to `path`.
pub fn write(path: &Path, rows: &[Row]) -> io::Result<()> {
    let mut text = String::from("size");
    for (name, _) in rows.iter().take(1).flat_map(|row| &row.columns) {
        let _ = write!(text, "\t{name}");
    }
    text.push('\n');
    for row in rows {
        let _ = write!(text, "{}", row.size);
        for (_, figure) in &row.columns {
            let _ = write!(text, "\t{figure:.3}");
        }
        text.push('\n');
    }
    print!("{text}");
    std::fs::write(path, text)
}

/// Fits a line by least squares. Returns the figure at size zero and the increase per unit of size.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
