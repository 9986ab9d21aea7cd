//! Everything that a scenario started, by name.

use super::backend::Backends;
use super::error::ScenarioError;
use super::instance::Instance;
use super::line::Line;
use super::net::Net;
use super::operator::Operator;
use super::preset::Preset;
use super::process::Process;
use super::programs::Programs;
use super::send::Sent;
use super::store::Store;
use super::truth::Executions;
use super::users::Users;
use crate::link::Relay;
use crate::load::{CallerResult, Report};
use crate::wire::Conn;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// File of the operators' token.
pub const TOKEN_FILE: &str = "token";

/// Where the result of a load in the background appears.
pub type LoadResult = Rc<RefCell<Option<Report>>>;

/// The processes, requests and loads of a running scenario.
pub struct Cluster {
    /// Programs to start.
    pub programs: Programs,
    /// Directory of the scenario's files.
    pub dir: PathBuf,
    /// Addresses.
    pub net: Net,
    /// Classes of the time before.
    pub preset: Preset,
    /// The store, once it was started.
    pub store: Option<Store>,
    /// The users' platform, for gateways.
    pub users: Users,
    /// Entry instances and gateways.
    pub instances: BTreeMap<String, Instance>,
    /// Peers' addresses of all instances.
    pub peers: Vec<SocketAddr>,
    /// Processes of backend servers.
    pub backends: BTreeMap<String, Backends>,
    /// Single requests.
    pub sent: BTreeMap<String, Sent>,
    /// Loads.
    pub loads: BTreeMap<String, LoadResult>,
    /// Idle connections.
    pub idle: Vec<Conn>,
    /// Number of runs of `galenactl` and of requests so far.
    pub count: usize,
}

impl Cluster {
    /// Nothing is started; files go to `dir`.
    pub fn new(programs: Programs, dir: PathBuf) -> Self {
        Self {
            programs,
            dir,
            net: Net::new(),
            preset: Preset::default(),
            store: None,
            users: Users::default(),
            instances: BTreeMap::new(),
            peers: Vec::new(),
            backends: BTreeMap::new(),
            sent: BTreeMap::new(),
            loads: BTreeMap::new(),
            idle: Vec::new(),
            count: 0,
        }
    }

    /// The store's address.
    pub fn store_addr(&self) -> Result<SocketAddr, ScenarioError> {
        let store = self.store.as_ref();
        store.map(|store| store.addr).ok_or_else(|| ScenarioError::bad("no store"))
    }

    /// The instance of that name.
    pub fn instance(&self, name: &str) -> Result<&Instance, ScenarioError> {
        self.instances.get(name).ok_or_else(|| ScenarioError::bad(format!("no instance {name}")))
    }

    /// The instances of a list such as `e1,e2`, or all for `instances`.
    pub fn instance_names(&self, list: &str) -> Vec<String> {
        match list {
            "instances" => self.instances.keys().cloned().collect(),
            list => list.split(',').map(str::to_owned).collect(),
        }
    }

    /// Names of instances and backend processes in a list, all instances for `instances`, all
    /// backend processes for `backends`.
    pub fn process_names(&self, list: &str) -> Vec<String> {
        match list {
            "backends" => self.backends.keys().cloned().collect(),
            list => self.instance_names(list),
        }
    }

    /// The place of a process.
    pub fn process(&mut self, name: &str) -> Result<&mut Option<Process>, ScenarioError> {
        if let Some(instance) = self.instances.get_mut(name) {
            return Ok(&mut instance.process);
        }
        if let Some(backends) = self.backends.get_mut(name) {
            return Ok(&mut backends.process);
        }
        Err(ScenarioError::bad(format!("no process {name}")))
    }

    /// A running process.
    pub fn running(&mut self, name: &str) -> Result<&mut Process, ScenarioError> {
        let process = self.process(name)?.as_mut();
        process.ok_or_else(|| ScenarioError::bad(format!("{name} does not run")))
    }

    /// The links of `NAME`, or of `NAME.store` for an instance's link to the store.
    pub fn links(&self, name: &str) -> Result<Vec<&Relay>, ScenarioError> {
        let instance = |name: &str| self.instances.get(name);
        let links: Vec<&Relay> = match (name.strip_suffix(".store"), self.backends.get(name)) {
            (Some(name), _) => {
                instance(name).and_then(|i| i.store_link.as_ref()).into_iter().collect()
            }
            (None, Some(backends)) => backends.links.iter().collect(),
            (None, None) => instance(name).and_then(|i| i.link.as_ref()).into_iter().collect(),
        };
        if links.is_empty() {
            return Err(ScenarioError::bad(format!("{name} has no link")));
        }
        Ok(links)
    }

    /// Starts a run of `galenactl` against an instance, with the operators' token.
    pub fn operator(&mut self, name: &str, words: &[String]) -> Result<Operator, ScenarioError> {
        self.operator_with(TOKEN_FILE, name, words)
    }

    /// The same with the token in another file of the scenario.
    pub fn operator_with(
        &mut self,
        token: &str,
        name: &str,
        words: &[String],
    ) -> Result<Operator, ScenarioError> {
        self.count += 1;
        let addr = self.instance(name)?.operators;
        Operator::start(&self.programs, addr, token, words, &self.dir, self.count)
    }

    /// A text that no other request of the scenario has.
    pub fn unique(&mut self, line: &Line) -> String {
        self.count += 1;
        format!("{}-{}", line.number, self.count)
    }

    /// What the backend servers noted so far.
    pub fn executions(&self) -> Executions {
        let mut executions = Executions::default();
        for backends in self.backends.values() {
            executions.add(&backends.log_path());
        }
        executions
    }

    /// What callers were told: single requests by key or path, in the order in which they ended,
    /// then loads.
    pub fn told(&self) -> Vec<CallerResult> {
        let mut ended: Vec<_> =
            self.sent.values().filter_map(|sent| Some((sent.ended()?, &sent.spec))).collect();
        ended.sort_by_key(|(end, _)| end.at);
        let mut told: BTreeMap<(&str, &str), CallerResult> = BTreeMap::new();
        for (end, spec) in ended {
            let id = (spec.key.as_str(), spec.path.as_str());
            told.entry(id).or_insert_with(|| CallerResult::new(spec)).record(end.attempt);
        }
        let mut all: Vec<CallerResult> = told.into_values().collect();
        for load in self.loads.values() {
            if let Some(report) = load.borrow().as_ref() {
                all.extend(report.results.iter().cloned());
            }
        }
        all
    }

    /// The last output of each process, for a failure's message.
    pub fn trace(&self) -> String {
        let instances = self.instances.iter().map(|(name, i)| (name, i.process.as_ref()));
        let backends = self.backends.iter().map(|(name, b)| (name, b.process.as_ref()));
        let mut text = String::new();
        for (name, process) in instances.chain(backends) {
            let tail = process.map_or_else(|| "does not run".to_owned(), Process::tail);
            text.push_str(&format!("--- {name}\n{tail}\n"));
        }
        text
    }
}
