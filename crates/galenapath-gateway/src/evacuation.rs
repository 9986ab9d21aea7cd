//! Applies evacuations of failure domains, as read from the store or received from other instances.

use crate::instance::Instance;
use crate::state::{REAPPEAR_TIMEOUT, Source};
use galenapath_platform::{Item, KeyEvent};
use galenapath_protocol::{DomainId, StorePosition};
use galenapath_routes::Evacuation;

impl Instance {
    /// Applies a change of the key that evacuates `domain` while it exists.
    pub(crate) fn apply_evacuation_event(&self, domain: DomainId, event: &KeyEvent) {
        let (revision, is_in_force) = match event {
            KeyEvent::Put(item) => (item.revision.0, true),
            KeyEvent::Deleted { revision, .. } => (revision.0, false),
        };
        self.apply_evacuation(Evacuation { domain, revision, is_in_force }, Source::Store);
    }

    /// Returns the failure domain evacuated by an operator key, or `None` for any other key.
    pub(crate) fn evacuated_domain(&self, key: &str) -> Option<DomainId> {
        let domain = key.strip_prefix(self.dialect.evacuations_prefix())?;
        (!domain.is_empty()).then(|| DomainId(domain.into()))
    }

    /// Applies all operator keys as read from the store at `position`: the configuration and the
    /// evacuations.
    pub(crate) fn apply_operator_items(&self, position: StorePosition, items: &[Item]) {
        let mut evacuations = Vec::new();
        for Item { key, value, revision } in items {
            if key == self.dialect.config_key() {
                self.apply_config(value);
            } else if let Some(domain) = self.evacuated_domain(key) {
                evacuations.push(Evacuation { domain, revision: revision.0, is_in_force: true });
            }
        }
        let kept_until = self.now() + REAPPEAR_TIMEOUT;
        let mut state = self.state.borrow_mut();
        let changed = state.evacuations.apply_snapshot(position, evacuations, kept_until);
        drop(state);
        changed.iter().for_each(|evacuation| self.log_evacuation_change(evacuation, Source::Store));
    }

    /// Applies the evacuations received from another instance, which has processed the store up to
    /// `position`.
    pub(crate) fn apply_evacuations(&self, evacuations: Vec<Evacuation>, position: StorePosition) {
        let kept_until = self.now() + REAPPEAR_TIMEOUT;
        let mut state = self.state.borrow_mut();
        let changed = state.evacuations.merge(position, evacuations, kept_until);
        drop(state);
        changed.iter().for_each(|evacuation| self.log_evacuation_change(evacuation, Source::Peer));
    }

    /// Ends the evacuations that the store has lost and that nobody has written again.
    pub(crate) fn expire_evacuations(&self) {
        let ended = self.state.borrow_mut().evacuations.expire(self.now());
        ended.iter().for_each(|evacuation| self.log_evacuation_change(evacuation, Source::Store));
    }

    fn apply_evacuation(&self, evacuation: Evacuation, source: Source) {
        let is_change = self.state.borrow_mut().evacuations.apply(evacuation.clone());
        if is_change {
            self.log_evacuation_change(&evacuation, source);
        }
    }

    fn log_evacuation_change(&self, evacuation: &Evacuation, source: Source) {
        let Evacuation { domain, revision, is_in_force } = evacuation;
        let (revision, source) = (*revision, source.as_str());
        let in_force = self.state.borrow().evacuations.in_force().count();
        self.metrics.evacuated_domains.set(i64::try_from(in_force).unwrap_or(i64::MAX));
        if *is_in_force {
            log::info!(domain:% = domain, revision, source; "failure domain evacuated");
        } else {
            log::info!(domain:% = domain, revision, source; "failure domain restored");
        }
    }
}
