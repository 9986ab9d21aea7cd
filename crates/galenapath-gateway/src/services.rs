//! The services of the configuration in force.

use crate::instance::Instance;
use crate::probe;
use crate::service::Service;
use galenapath_protocol::{FastMap, Micros};
use galenapath_routes::RouteTable;
use std::rc::Rc;

/// Time for which a service is remembered that a configuration leaves out: what its servers have asked for holds
/// on where a later one names it again.
const REMEMBERED_FOR: Micros = Micros::from_secs(60);

/// The services of the configuration in force, by name, and those that one before had.
#[derive(Default)]
pub(crate) struct Services {
    named: FastMap<String, Rc<Service>>,
    /// Those that are left out, and since when.
    left_out: FastMap<String, (Micros, Rc<Service>)>,
}

impl Services {
    /// The services of the configuration in force.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.named.values()
    }

    /// Takes over the services that `table` names.
    fn take_table(&mut self, instance: &Instance, table: &RouteTable) {
        let now = instance.now();
        self.left_out.retain(|_, (since, _)| now - *since < REMEMBERED_FOR);
        let gone = self.named.extract_if(|name, _| table.service(name).is_none());
        self.left_out.extend(gone.map(|(name, service)| (name, (now, service))));
        for (name, spec) in table.services() {
            if let Some(service) = self.named.get(name) {
                service.set_spec(spec);
                continue;
            }
            let service = match self.left_out.remove(name) {
                Some((_, service)) => {
                    service.set_spec(spec);
                    service.take_settings(instance);
                    service
                }
                None => Service::new(name, spec.clone(), instance),
            };
            self.named.insert(name.to_owned(), service);
        }
    }
}

impl Instance {
    /// A service of the configuration.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().named.get(name).cloned()
    }

    /// Takes in a changed configuration or list of servers.
    pub(crate) fn refresh_services(&self) {
        let table = Rc::clone(self.state.borrow().table());
        self.services.borrow_mut().take_table(self, &table);
        let all: Vec<Rc<Service>> = self.services.borrow().values().cloned().collect();
        let now = self.now();
        let in_use = || all.iter().filter(|service| !service.is_idle(now));
        in_use().for_each(|service| service.refresh(self));
        // Servers that have come back cold get their first requests at once.
        probe::assign_warming_and_limits(self);
        in_use().for_each(|service| service.poll(self));
        let state = self.state.borrow();
        let servers = i64::try_from(state.directory().servers().count()).unwrap_or(i64::MAX);
        let position = i64::try_from(state.position()).unwrap_or(i64::MAX);
        self.metrics.servers.set(servers);
        self.metrics.position.set(position);
    }
}
