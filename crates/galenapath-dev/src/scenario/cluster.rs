//! State of a running scenario: everything that it has started, by name.

use super::backend::Backends;
use super::error::ScenarioError;
use super::execution_check::Executions;
use super::instance::Instance;
use super::line::Line;
use super::net::Net;
use super::operator::Operator;
use super::preset::Preset;
use super::process::Process;
use super::programs::Programs;
use super::send::SentRequest;
use super::store::Store;
use super::users::Users;
use crate::link::Relay;
use crate::load::{CallerResult, Report};
use crate::wire::Conn;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// File that contains the operators' token.
pub const TOKEN_FILE: &str = "token";

/// Report of a load that runs in the background; `None` until it ends.
pub type LoadResult = Rc<RefCell<Option<Report>>>;

/// The processes, requests and loads of a running scenario.
pub struct Cluster {
    /// Programs to start.
    pub programs: Programs,
    /// Directory of the scenario's files.
    pub dir: PathBuf,
    /// Allocator of addresses.
    pub net: Net,
    /// Classes that the scenario adds directly to the store.
    pub preset: Preset,
    /// Store, once started.
    pub store: Option<Store>,
    /// The users' platform, for gateways.
    pub users: Users,
    /// Entry instances and gateways.
    pub instances: BTreeMap<String, Instance>,
    /// Peer addresses of all instances; seeds of those that start later.
    pub peers: Vec<SocketAddr>,
    /// Processes of backend servers, by name.
    pub backends: BTreeMap<String, Backends>,
    /// Single requests, by name.
    pub sent: BTreeMap<String, SentRequest>,
    /// Loads, by name.
    pub loads: BTreeMap<String, LoadResult>,
    /// Idle connections.
    pub idle: Vec<Conn>,
    /// Number of runs of `galenactl` and of requests so far, for unique names.
    pub count: usize,
}

impl Cluster {
    /// Creates a cluster in which nothing is started; its files are written to `dir`.
    pub fn new(programs: Programs, dir: PathBuf) -> Self {
        Self {
            programs,
            dir,
            net: Net::on_random_ip(),
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

    /// Returns the store's address.
    pub fn store_addr(&self) -> Result<SocketAddr, ScenarioError> {
        let store = self.store.as_ref();
        store
            .map(|store| store.addr)
            .ok_or_else(|| ScenarioError::bad("the scenario has not started a store"))
    }

    /// Returns the instance called `name`.
    pub fn instance(&self, name: &str) -> Result<&Instance, ScenarioError> {
        self.instances
            .get(name)
            .ok_or_else(|| ScenarioError::bad(format!("no instance is named {name}")))
    }

    /// Returns the names of a list such as `e1,e2`, or all instances for `instances`.
    pub fn instance_names(&self, list: &str) -> Vec<String> {
        match list {
            "instances" => self.instances.keys().cloned().collect(),
            list => list.split(',').map(str::to_owned).collect(),
        }
    }

    /// Returns the names of a list of instances and backend processes: all instances for
    /// `instances`, all backend processes for `backends`.
    pub fn process_names(&self, list: &str) -> Vec<String> {
        match list {
            "backends" => self.backends.keys().cloned().collect(),
            list => self.instance_names(list),
        }
    }

    /// Returns the process of an instance or of backend servers; `None` inside if it is stopped.
    pub fn process(&mut self, name: &str) -> Result<&mut Option<Process>, ScenarioError> {
        if let Some(instance) = self.instances.get_mut(name) {
            return Ok(&mut instance.process);
        }
        if let Some(backends) = self.backends.get_mut(name) {
            return Ok(&mut backends.process);
        }
        Err(ScenarioError::bad(format!("no process is named {name}")))
    }

    /// Returns a running process.
    pub fn running(&mut self, name: &str) -> Result<&mut Process, ScenarioError> {
        let process = self.process(name)?.as_mut();
        process.ok_or_else(|| ScenarioError::bad(format!("{name} is not running")))
    }

    /// Returns the links of `NAME`, or an instance's link to the store for `NAME.store`.
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

    /// Starts `galenactl` against an instance with the operators' token.
    pub fn operator(&mut self, name: &str, words: &[String]) -> Result<Operator, ScenarioError> {
        self.operator_with_token(TOKEN_FILE, name, words)
    }

    /// Starts `galenactl` against an instance with the token in the file `token`.
    pub fn operator_with_token(
        &mut self,
        token: &str,
        name: &str,
        words: &[String],
    ) -> Result<Operator, ScenarioError> {
        self.count += 1;
        let addr = self.instance(name)?.operators;
        Operator::start(&self.programs, addr, token, words, &self.dir, self.count)
    }

    /// Returns a text that is unique among the requests of the scenario.
    pub fn unique(&mut self, line: &Line) -> String {
        self.count += 1;
        format!("{}-{}", line.number, self.count)
    }

    /// Reads the execution logs of all backend servers.
    pub fn executions(&self) -> Executions {
        let mut executions = Executions::default();
        for backends in self.backends.values() {
            executions.add(&backends.log_path());
        }
        executions
    }

    /// Returns the results that callers received. Single requests come first, joined by key and
    /// path in the order in which their attempts ended; then those of loads.
    pub fn caller_results(&self) -> Vec<CallerResult> {
        let mut ended: Vec<_> =
            self.sent.values().filter_map(|sent| Some((sent.ended()?, &sent.spec))).collect();
        ended.sort_by_key(|(end, _)| end.at);
        let mut by_request: BTreeMap<(&str, &str), CallerResult> = BTreeMap::new();
        for (end, spec) in ended {
            let id = (spec.key.as_str(), spec.path.as_str());
            by_request.entry(id).or_insert_with(|| CallerResult::new(spec)).record(end.attempt);
        }
        let mut all: Vec<CallerResult> = by_request.into_values().collect();
        for load in self.loads.values() {
            if let Some(report) = load.borrow().as_ref() {
                all.extend(report.results.iter().cloned());
            }
        }
        all
    }

    /// Returns the last output of each process, for error messages.
    pub fn process_output(&self) -> String {
        let instances = self.instances.iter().map(|(name, i)| (name, i.process.as_ref()));
        let backends = self.backends.iter().map(|(name, b)| (name, b.process.as_ref()));
        let mut text = String::new();
        for (name, process) in instances.chain(backends) {
            let tail = process.map_or_else(|| "not running".to_owned(), Process::tail);
            text.push_str(&format!("--- {name}\n{tail}\n"));
        }
        text
    }
}
