//! Applies configurations, as read from the store or received from other instances.

use crate::compression::CompressedConfig;
use crate::instance::Instance;
use crate::state::Source;
use galenapath_routes::RouteTable;
use std::rc::Rc;

/// Maximum number of entries of one configuration whose problems are logged one by one.
const MAX_PROBLEM_LINES: usize = 10;

impl Instance {
    /// Applies a configuration read from the store if it is newer than the one in force.
    pub(crate) fn apply_config(&self, text: &[u8]) {
        self.apply_config_text(text, Source::Store, || CompressedConfig::compress(text));
    }

    /// Applies a configuration received from another instance if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// If it cannot be decompressed.
    pub(crate) fn apply_compressed_config(
        &self,
        compressed: CompressedConfig,
    ) -> std::io::Result<()> {
        let text = compressed.decompress()?;
        self.apply_config_text(&text, Source::Peer, || compressed);
        Ok(())
    }

    fn apply_config_text(
        &self,
        text: &[u8],
        source: Source,
        compressed: impl FnOnce() -> CompressedConfig,
    ) {
        let before = self.state.borrow().table().version();
        let source = source.as_str();
        let table = match self.dialect.parse_route_table(text) {
            Ok(table) => table,
            Err(e) => {
                self.metrics.rejected_configs.inc();
                log::error!(error = e, source, in_force = before; "configuration refused");
                return;
            }
        };
        let (version, routes) = (table.version(), table.len());
        let is_first = self.state.borrow().config().is_none();
        if version <= before && !is_first {
            return;
        }
        self.report_config_problems(&table, source);
        self.apply_quotas(&table);
        self.state.borrow_mut().set_config(Rc::new(table), compressed());
        self.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version, before, routes, source; "configuration in force");
        self.refresh_services();
    }

    /// Counts and logs the entries of a configuration that cannot be used as written.
    fn report_config_problems(&self, table: &RouteTable, source: &str) {
        let (version, problems) = (table.version(), table.problems());
        self.metrics.config_problems.set(i64::try_from(problems.len()).unwrap_or(i64::MAX));
        for problem in problems.iter().take(MAX_PROBLEM_LINES) {
            let (resource_type, name) = (problem.resource_type.as_str(), problem.name.as_str());
            let reason = problem.fault.to_string();
            log::warn!(version, resource_type, name, reason, source;
                "entry of the configuration cannot be used as written; the others are in force");
        }
        let remaining = problems.len().saturating_sub(MAX_PROBLEM_LINES);
        if remaining > 0 {
            log::warn!(version, remaining; "further entries of the configuration cannot be used");
        }
    }
}
