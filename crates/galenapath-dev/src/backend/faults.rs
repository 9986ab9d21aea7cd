//! Faults that a test sets while the server runs.

use serde::Deserialize;

/// Faults of a server. The default is a healthy server.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Factor by which work takes longer; 1 on a healthy server.
    pub straggle_factor: f64,
    /// Nothing is read, run or answered while this is set.
    pub freeze: bool,
    /// Every request fails immediately with status 500.
    pub fail_fast: bool,
    /// Answers are bytes that are not valid HTTP.
    pub garbage: bool,
    /// Answers carry more bytes than their head declares.
    pub too_much: bool,
    /// Answers stop after half of the body and the connection closes.
    pub stop_halfway: bool,
    /// A request whose path contains this text crashes the server while it runs.
    pub crash_on: Option<String>,
    /// Fault of the load reports.
    pub reports: ReportFault,
}

/// Fault of a server's load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportFault {
    /// Reports are correct.
    #[default]
    None,
    /// Reports show an idle server.
    Lie,
    /// Reports are one second old.
    Late,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            straggle_factor: 1.0,
            freeze: false,
            fail_fast: false,
            garbage: false,
            too_much: false,
            stop_halfway: false,
            crash_on: None,
            reports: ReportFault::None,
        }
    }
}

/// Body of `PUT /admin/faults`. Omitted faults keep their values.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultsChange {
    /// Name of the server; all servers of the process if omitted.
    pub server: Option<String>,
    /// See [`Faults::straggle_factor`].
    pub straggle_factor: Option<f64>,
    /// See [`Faults::freeze`].
    pub freeze: Option<bool>,
    /// See [`Faults::fail_fast`].
    pub fail_fast: Option<bool>,
    /// See [`Faults::garbage`].
    pub garbage: Option<bool>,
    /// See [`Faults::too_much`].
    pub too_much: Option<bool>,
    /// See [`Faults::stop_halfway`].
    pub stop_halfway: Option<bool>,
    /// See [`Faults::crash_on`]; an empty text clears it.
    pub crash_on: Option<String>,
    /// See [`Faults::reports`].
    pub reports: Option<ReportFault>,
}

impl Faults {
    /// Applies `change`.
    pub fn apply(&mut self, change: &FaultsChange) {
        set(&mut self.straggle_factor, change.straggle_factor);
        set(&mut self.freeze, change.freeze);
        set(&mut self.fail_fast, change.fail_fast);
        set(&mut self.garbage, change.garbage);
        set(&mut self.too_much, change.too_much);
        set(&mut self.stop_halfway, change.stop_halfway);
        set(&mut self.reports, change.reports);
        if let Some(marker) = &change.crash_on {
            self.crash_on = Some(marker.clone()).filter(|marker| !marker.is_empty());
        }
    }
}

fn set<T>(field: &mut T, change: Option<T>) {
    if let Some(value) = change {
        *field = value;
    }
}
