//! Entry instances and gateways of a scenario.

use super::error::ScenarioError;
use super::line::Line;
use super::net::Net;
use super::process::Process;
use super::programs::Programs;
use crate::link::Relay;
use crate::wire::exchange;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// KiB per MiB; `/proc` reports memory in KiB.
const KIB_PER_MIB: f64 = 1024.0;

/// Peer port of gateways. It is the same for all of them, so each gateway needs a separate loopback
/// IP.
const GATEWAY_PEER_PORT: u16 = 9_104;

/// Mode in which the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Entry instance with classes that operators define; reports readiness on the operators'
    /// address.
    Classes,
    /// Gateway; reports readiness on a separate address.
    Gateway {
        /// Address of the readiness check.
        readiness: SocketAddr,
    },
}

/// An entry instance or a gateway.
pub struct Instance {
    name: String,
    mode: Mode,
    settings: PathBuf,
    dir: PathBuf,
    /// Address for operators; for a gateway, the address of its metrics.
    pub operators: SocketAddr,
    /// Address for callers; with a link, that of the relay.
    pub callers: SocketAddr,
    /// Relay between callers and the instance.
    pub link: Option<Relay>,
    /// Relay between the instance and the store.
    pub store_link: Option<Relay>,
    /// The process; `None` while it is killed or stopped.
    pub process: Option<Process>,
}

impl Instance {
    /// `instance NAME domain=… [link=yes] [store_link=yes]`: starts an entry instance. Also returns
    /// its peer address.
    pub fn start(
        line: &Line,
        programs: &Programs,
        net: &mut Net,
        store: SocketAddr,
        seeds: &[SocketAddr],
        dir: &Path,
    ) -> Result<(Self, SocketAddr), ScenarioError> {
        let name = line.word(1).to_owned();
        let (listen, peers, operators) = (net.address()?, net.address()?, net.address()?);
        let link = relay(line, "link", net, listen)?;
        let store_link = relay(line, "store_link", net, store)?;
        let mut instance = Self {
            settings: dir.join(format!("{name}.toml")),
            dir: dir.to_owned(),
            operators,
            callers: link.as_ref().map_or(listen, |relay| relay.addr),
            link,
            store_link,
            process: None,
            mode: Mode::Classes,
            name,
        };
        let store = instance.store_link.as_ref().map_or(store, |relay| relay.addr);
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[instance]\nname = \"{}\"\ndomain = \"{}\"\n\n\
             [listen]\ncallers = \"{listen}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\n\
             seeds = [{}]\n\n\
             [platform]\naddress = \"{store}\"\ntimeout = \"1s\"\n\n\
             [operators]\ntoken_file = \"{}\"\n\n[log]\nlevel = \"{}\"\n",
            instance.name,
            line.option("domain").unwrap_or("d1"),
            seeds.join(", "),
            dir.join("token").display(),
            line.option("log").unwrap_or("info"),
        );
        std::fs::write(&instance.settings, text).map_err(ScenarioError::io("settings"))?;
        instance.restart(programs)?;
        Ok((instance, peers))
    }

    /// `gateway NAME [domain=…] [store_link=yes]`: starts a gateway. Also returns its peer address.
    pub fn start_gateway(
        line: &Line,
        programs: &Programs,
        net: &mut Net,
        store: SocketAddr,
        seeds: &[SocketAddr],
        dir: &Path,
    ) -> Result<(Self, SocketAddr), ScenarioError> {
        let name = line.word(1).to_owned();
        let peers = SocketAddr::new(Net::on_random_ip().ip(), GATEWAY_PEER_PORT);
        let (callers, readiness) = (net.address()?, net.address()?);
        let (addresses, metrics) = (net.address()?, net.address()?);
        let store_link = relay(line, "store_link", net, store)?;
        let store = store_link.as_ref().map_or(store, |relay| relay.addr);
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[instance]\nname = \"{name}\"\ndomain = \"{}\"\n\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             addresses = \"{addresses}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             seeds = [{}]\n\n[platform]\naddress = \"{store}\"\n",
            line.option("domain").unwrap_or("d1"),
            seeds.join(", "),
        );
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(ScenarioError::io("settings"))?;
        let mut gateway = Self {
            name,
            mode: Mode::Gateway { readiness },
            settings,
            dir: dir.to_owned(),
            operators: metrics,
            callers,
            link: None,
            store_link,
            process: None,
        };
        gateway.restart(programs)?;
        Ok((gateway, peers))
    }

    /// Starts the process, or starts it again on the same addresses.
    pub fn restart(&mut self, programs: &Programs) -> Result<(), ScenarioError> {
        self.process = None;
        let mut args = vec!["--settings".to_owned(), self.settings.display().to_string()];
        if self.mode != Mode::Classes {
            args.insert(0, "gateway".to_owned());
        }
        let process = Process::start(&self.name, &programs.instance, &args, &self.dir)?;
        self.process = Some(process);
        Ok(())
    }

    /// Returns whether the instance reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let (address, path) = match self.mode {
            Mode::Classes => (self.operators, "/readyz"),
            Mode::Gateway { readiness } => (readiness, "/-/ready"),
        };
        let answer = exchange(address, "GET", path, b"").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// Reads a metric as the sum over its labels, or the resident memory of the process in MiB for
    /// `memory_mb`.
    pub async fn metric(&self, field: &str) -> Result<f64, ScenarioError> {
        if field == "memory_mb" {
            return self.memory_mb();
        }
        let answer = exchange(self.operators, "GET", "/metrics", b"").await;
        let answer =
            answer.map_err(ScenarioError::call(format!("reading the metrics of {}", self.name)))?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let name = format!("galenapath_{field}");
        let values = text.lines().filter_map(|line| {
            let rest = line.strip_prefix(&name)?;
            rest.starts_with(['{', ' ']).then(|| rest.rsplit(' ').next()?.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }

    fn memory_mb(&self) -> Result<f64, ScenarioError> {
        let id = self.process.as_ref().map(Process::id);
        let id = id.ok_or_else(|| ScenarioError::bad(format!("{} is not running", self.name)))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.map_err(ScenarioError::io("memory"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        kb.map(|kb| kb / KIB_PER_MIB)
            .ok_or_else(|| ScenarioError::bad("the status of the process has no VmRSS"))
    }
}

fn relay(
    line: &Line,
    option: &str,
    net: &mut Net,
    target: SocketAddr,
) -> Result<Option<Relay>, ScenarioError> {
    if line.option(option).is_none() {
        return Ok(None);
    }
    let relay = Relay::start(net.address()?).map_err(ScenarioError::io("relay"))?;
    relay.set_target(target);
    Ok(Some(relay))
}
