//! Gateway instances as processes, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports of an instance; the same on all instances of a run.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    peers: u16,
    metrics: u16,
}

/// A running instance. Ended when dropped.
pub struct Gateway {
    pub name: String,
    pub zone: String,
    ip: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Five ports that are free at all the addresses.
pub fn free_ports(ips: &[String]) -> io::Result<Ports> {
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && UdpSocket::bind((ip.as_str(), port)).is_ok()
        })
    };
    let start = 20_000 + (std::process::id() % 400) as u16 * 20;
    let free: Vec<u16> = (start..start + 4_000).filter(|port| is_free(*port)).take(5).collect();
    match free.as_slice() {
        [front, ready, directory, peers, metrics] => Ok(Ports {
            front: *front,
            ready: *ready,
            directory: *directory,
            peers: *peers,
            metrics: *metrics,
        }),
        _ => Err(io::Error::other("no free ports")),
    }
}

/// Addresses of `count` instances, of this process alone.
pub fn instance_ips(count: usize) -> Vec<String> {
    let id = std::process::id();
    let (a, b) = (100 + id / 250 % 100, 1 + id % 250);
    (0..count).map(|n| format!("127.{a}.{b}.{}", n + 1)).collect()
}

impl Gateway {
    /// Starts an instance with settings as the template of the deploy file gives them.
    pub fn start(
        (name, zone): (&str, &str),
        (ip, ips): (&str, &[String]),
        ports: Ports,
        store: SocketAddr,
        dir: &Path,
    ) -> io::Result<Self> {
        let Ports { front, ready, directory, peers, metrics } = ports;
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{front}\"")).collect();
        let text = format!(
            "[instance]\nname = \"{name}\"\ndomain = \"{zone}\"\ncores = 0.2\n\
             link_mbps = 1000.0\nmemory_mb = 260\n\n[listen]\ncallers = \"{ip}:{front}\"\n\
             readiness = \"{ip}:{ready}\"\naddresses = \"{ip}:{directory}\"\n\
             peers = \"{ip}:{peers}\"\nmetrics = \"{ip}:{metrics}\"\nseeds = [{}]\n\n\
             [platform]\naddress = \"{store}\"\napply_within = \"2000ms\"\n\n[retries]\n\
             ratio = 0.2\nslack = 60\nwindow = \"10s\"\n\n[probes]\nper_second = 60\n\n\
             [stop]\ngrace = \"6s\"\n\n[workspaces]\n",
            seeds.join(",")
        );
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let (name, zone, ip) = (name.to_owned(), zone.to_owned(), ip.to_owned());
        Ok(Self { name, zone, ip, ports, settings, log, child })
    }

    /// Address for consumers.
    pub fn front(&self) -> SocketAddr {
        self.at(self.ports.front)
    }

    /// Address that answers where to connect.
    pub fn directory(&self) -> SocketAddr {
        self.at(self.ports.directory)
    }

    fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    /// Whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        crate::client::get_status(self.at(self.ports.ready), "/-/ready") == Some(200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/galenapath");
    command
        .args(["gateway", "--settings"])
        .arg(settings)
        .env("GALENAPATH_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out);
    // No instance outlives the script, however that ends.
    // SAFETY: `prctl` may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

/// Waits until `condition` holds, for at most `limit`; returns whether it does.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Opens a connection within a second, as consumers do.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1))
}
