//! Gateway instances, started with the command of the deploy file.

use crate::net::{Ports, ip};
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest time until an instance is ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// The deployment that instances belong to.
pub struct Deployment {
    /// Where settings and logs are written.
    pub dir: PathBuf,
    /// The ports of all instances.
    pub ports: Ports,
    /// The platform's store.
    pub store: SocketAddr,
    /// Numbers of the addresses of the seeds.
    pub seeds: Vec<u8>,
    /// The part of a core that each instance has.
    pub cores: f64,
}

/// A running instance. It is killed when dropped.
pub struct Gateway {
    /// Number of its address.
    pub number: u8,
    /// Its log.
    pub log: PathBuf,
    ports: Ports,
    child: Child,
}

impl Deployment {
    /// Starts an instance at the address number `number` in the failure domain `domain`.
    pub fn start(&self, number: u8, domain: &str) -> io::Result<Gateway> {
        let (at, ports) = (ip(number), self.ports);
        let seeds: Vec<String> =
            self.seeds.iter().map(|n| format!("\"{}:{}\"", ip(*n), ports.peers)).collect();
        let text = format!(
            "[instance]\nname = \"front-{domain}-{number}\"\ndomain = \"{domain}\"\n\
             cores = {}\nlink_mbps = 1000.0\nmemory_mb = 260\n\n\
             [listen]\ncallers = \"{at}:{}\"\nreadiness = \"{at}:{}\"\naddresses = \"{at}:{}\"\n\
             peers = \"{at}:{}\"\nseeds = [{}]\n\n[platform]\naddress = \"{}\"\n\n\
             [retries]\nratio = 0.2\nslack = 60\nwindow = \"10s\"\n\n\
             [probes]\nper_second = 60\n\n[stop]\ngrace = \"6s\"\n",
            self.cores,
            ports.callers,
            ports.readiness,
            ports.addresses,
            ports.peers,
            seeds.join(", "),
            self.store,
        );
        let settings = self.dir.join(format!("settings-{number}.toml"));
        fs::write(&settings, text)?;
        let log = self.dir.join(format!("log-{number}.txt"));
        let child = spawn(&settings, &log)?;
        // For `run.sh`, which ends the processes if it is interrupted.
        let mut pids = File::options().create(true).append(true).open(self.dir.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Gateway { number, log, ports, child })
    }

    /// Starts an instance and waits until it is ready.
    pub fn start_ready(&self, number: u8, domain: &str) -> io::Result<Gateway> {
        let gateway = self.start(number, domain)?;
        gateway.wait_until_ready()?;
        Ok(gateway)
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let program = std::env::var("GALENAPATH").unwrap_or("target/release/galenapath".to_owned());
    let mut command = Command::new(program);
    command.args(["gateway", "--settings"]).arg(settings).stdin(Stdio::null());
    command.stderr(out.try_clone()?).stdout(out).spawn()
}

impl Gateway {
    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((ip(self.number), self.ports.callers))
    }

    /// Where the instance says whether it is ready.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::from((ip(self.number), self.ports.readiness))
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + READY_WITHIN;
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other(format!("instance {} is not ready", self.number)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        crate::client::get_status(self.readiness(), "/-/ready") == Some(200)
    }

    /// Sends SIGKILL, and does not wait for the end of the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
