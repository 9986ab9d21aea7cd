//! The services of the configuration in force.

use crate::instance::Instance;
use crate::probe;
use crate::service::Service;
use std::rc::Rc;

impl Instance {
    /// A service of the configuration.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Takes in a changed configuration or list of servers.
    pub(crate) fn refresh_services(&self) {
        let table = Rc::clone(self.state.borrow().table());
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| table.service(name).is_some());
        for (name, spec) in table.services() {
            match services.get(name) {
                Some(service) => service.set_spec(spec),
                None => {
                    services.insert(name.to_owned(), Service::new(name, spec.clone(), self));
                }
            }
        }
        let all: Vec<Rc<Service>> = services.values().cloned().collect();
        drop(services);
        let now = self.now();
        let in_use = || all.iter().filter(|service| !service.is_idle(now));
        in_use().for_each(|service| service.refresh(self));
        // Servers that have come back cold get their first requests at once.
        probe::share_scarce(self);
        in_use().for_each(|service| service.poll(self));
        let state = self.state.borrow();
        let servers = i64::try_from(state.directory().servers().count()).unwrap_or(i64::MAX);
        let position = i64::try_from(state.position()).unwrap_or(i64::MAX);
        self.metrics.servers.set(servers);
        self.metrics.position.set(position);
    }
}
