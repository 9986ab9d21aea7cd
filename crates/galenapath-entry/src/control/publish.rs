//! Publishes views of the control thread's state for the data thread.

use super::plane::ControlPlane;
use crate::fleet::Fleet;
use crate::shared::MemberView;
use std::sync::Arc;

impl ControlPlane {
    /// Publishes the entry instances if they have changed.
    pub(super) fn publish_members(&self) {
        let members = self.members.borrow();
        if self.shared.members.load().version == members.version() {
            return;
        }
        let usable: Vec<_> = members.usable().cloned().collect();
        self.shared.metrics.members.set(i64::try_from(usable.len()).unwrap_or(i64::MAX));
        let known = members.all().cloned().collect();
        let view = MemberView { version: members.version(), usable, known };
        self.shared.members.store(Arc::new(view));
    }

    /// Publishes the backend servers.
    pub(super) fn publish_fleet(&self) {
        let version = self.shared.fleet.load().version + 1;
        let fleet =
            Fleet::from_list(version, self.backends.borrow().entries(), &self.marks.borrow());
        self.shared.fleet.store(Arc::new(fleet));
        self.update_readiness();
    }

    /// Publishes the configuration.
    pub(super) fn publish_config(&self) {
        let replica = self.replica.borrow();
        let version = replica.version().0;
        self.shared.config.store(Arc::clone(replica.config()));
        self.shared.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version; "configuration in force");
        self.update_readiness();
    }

    fn update_readiness(&self) {
        let knows_fleet = self.shared.fleet.load().version > 0;
        let knows_config = self.replica.borrow().version().0 > 0;
        if knows_fleet && knows_config {
            self.shared.set_ready();
        }
    }
}
