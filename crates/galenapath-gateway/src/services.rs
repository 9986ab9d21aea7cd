//! The services of the current configuration.

use crate::instance::Instance;
use crate::probe;
use crate::service::Service;
use galenapath_protocol::{FastMap, Micros, StorePosition};
use galenapath_routes::RouteTable;
use std::rc::Rc;

/// Time for which a service removed from the configuration is kept, so that the pauses and limits
/// stated by its servers stay in force if a later configuration adds it again.
const REMOVED_SERVICE_RETENTION: Micros = Micros::from_secs(60);

/// The services of the current configuration by name, and recently removed ones.
#[derive(Default)]
pub(crate) struct Services {
    configured: FastMap<String, Rc<Service>>,
    /// Removed services and the time of their removal.
    removed: FastMap<String, (Micros, Rc<Service>)>,
}

impl Services {
    /// The services of the current configuration.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.configured.values()
    }

    /// Applies the services of a changed configuration.
    fn apply_table(&mut self, instance: &Instance, table: &RouteTable) {
        let now = instance.now();
        self.removed.retain(|_, (since, _)| now - *since < REMOVED_SERVICE_RETENTION);
        let removed = self.configured.extract_if(|name, _| table.service(name).is_none());
        self.removed.extend(removed.map(|(name, service)| (name, (now, service))));
        for (name, spec) in table.services() {
            if let Some(service) = self.configured.get(name) {
                service.set_spec(spec);
                continue;
            }
            let service = match self.removed.remove(name) {
                Some((_, service)) => {
                    service.set_spec(spec);
                    service.apply_settings(instance);
                    service
                }
                None => Service::new(name, spec.clone(), instance),
            };
            self.configured.insert(name.to_owned(), service);
        }
    }
}

impl Instance {
    /// Returns a service of the current configuration.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().configured.get(name).cloned()
    }

    /// Applies a changed configuration or server list.
    pub(crate) fn refresh_services(&self) {
        let table = Rc::clone(self.state.borrow().table());
        self.services.borrow_mut().apply_table(self, &table);
        let all: Vec<Rc<Service>> = self.services.borrow().values().cloned().collect();
        let now = self.now();
        let in_use = || all.iter().filter(|service| !service.is_idle(now));
        in_use().for_each(|service| service.refresh(self));
        // Servers that have become cold again get their first requests at once.
        probe::assign_warming_and_limits(self);
        in_use().for_each(|service| service.poll(self));
        let state = self.state.borrow();
        let servers = i64::try_from(state.directory().servers().count()).unwrap_or(i64::MAX);
        let StorePosition { epoch, revision } = state.position();
        let position = i64::try_from(revision).unwrap_or(i64::MAX);
        self.metrics.servers.set(servers);
        self.metrics.position.set(position);
        self.metrics.store_epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }
}
