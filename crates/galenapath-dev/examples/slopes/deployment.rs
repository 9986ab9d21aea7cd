//! A store, entry instances and registered backend servers on loopback.

use galenapath_dev::wire::exchange;
use monoio::time::sleep;
use std::error::Error;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

/// Peer port of every instance.
pub const PEERS_PORT: u16 = 7001;
/// Limit for all instances to discover each other.
const START_LIMIT: Duration = Duration::from_secs(40);

/// Kills a process on drop.
pub struct Guard(pub Child);

impl Drop for Guard {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Running programs and their files.
pub struct Deployment {
    programs: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
    /// Network prefix of the instances' addresses.
    pub net: String,
    /// Address of the store.
    pub store: SocketAddr,
    /// Entry instances.
    pub entries: Vec<Guard>,
    _store: Guard,
}

impl Deployment {
    /// Starts a store, registers `backends` servers, six per service, and starts the instances.
    pub async fn start(
        programs: &Path,
        instances: usize,
        backends: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("slopes-{id}-{instances}-{backends}"));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("token"), "slopes-token-0123456789abcdef\n")?;
        let mut command = Command::new(programs.join("examples/store"));
        let store = spawn(&mut command, &dir.join("store"))?;
        let mut deployment = Self {
            programs: programs.to_owned(),
            net: format!("127.{}.{}", 30 + id % 200, (instances + backends / 100) % 250 + 1),
            store: wait_address(&dir.join("store.out")).await?,
            dir,
            entries: Vec::new(),
            _store: store,
        };
        for n in 0..backends {
            deployment.list_backend(n, "live").await?;
        }
        for n in 0..instances {
            deployment.start_entry(n)?;
        }
        Ok(deployment)
    }

    /// Registers a backend server with the platform, or updates its state there.
    pub async fn list_backend(&self, n: usize, state: &str) -> Result<(), Box<dyn Error>> {
        let body = serde_json::json!({
            "ID": format!("backend-{n}"),
            "Name": "backend",
            "Address": format!("10.1.{}.{}", n / 250, n % 250 + 1),
            "Port": 8080,
            "Meta": {
                "service": format!("service-{}", n / 6),
                "domain": format!("d{}", n % 3),
                "state": state,
                "started": "1780000000000",
            },
        });
        let path = "/v1/agent/service/register";
        exchange(self.store, "PUT", path, body.to_string().as_bytes()).await?;
        Ok(())
    }

    /// Returns the IP address of an instance.
    pub fn address(&self, n: usize) -> String {
        format!("{}.{}", self.net, n + 1)
    }

    fn start_entry(&mut self, n: usize) -> Result<(), Box<dyn Error>> {
        let (ip, dir) = (self.address(n), self.dir.display());
        let domain = n % 3;
        let store = self.store;
        let settings = format!(
            "[instance]\nname = \"entry-{n}\"\ndomain = \"d{domain}\"\n\
             [listen]\ncallers = \"{ip}:7000\"\npeers = \"{ip}:{PEERS_PORT}\"\n\
             operators = \"{ip}:7002\"\n[platform]\naddress = \"{store}\"\n\
             [operators]\ntoken_file = \"{dir}/token\"\n[log]\nlevel = \"info\"\n"
        );
        let file = self.dir.join(format!("entry-{n}.toml"));
        std::fs::write(&file, settings)?;
        let mut command = Command::new(self.programs.join("galenapath"));
        command.arg("--settings").arg(file);
        self.entries.push(spawn(&mut command, &self.dir.join(format!("entry-{n}")))?);
        Ok(())
    }

    /// Waits until every instance knows all members; returns the time that this took.
    pub async fn wait_converged(&self) -> Result<Duration, Box<dyn Error>> {
        let began = Instant::now();
        for n in 0..self.entries.len() {
            while self.metric(n, "galenapath_members").await? < self.entries.len() as f64 {
                if began.elapsed() > START_LIMIT {
                    return Err("the instances did not discover each other in time".into());
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(began.elapsed())
    }

    /// Returns the sum over the lines of a metric of one instance, or 0 if it does not answer.
    pub async fn metric(&self, n: usize, name: &str) -> Result<f64, Box<dyn Error>> {
        let operators: SocketAddr = format!("{}:7002", self.address(n)).parse()?;
        let Ok(answer) = exchange(operators, "GET", "/metrics", b"").await else { return Ok(0.0) };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        Ok(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }

    /// Returns the number of calls to the store.
    pub async fn store_calls(&self) -> Result<f64, Box<dyn Error>> {
        let answer = exchange(self.store, "GET", "/admin/counters", b"").await?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let calls = all["calls"].as_object();
        Ok(calls.into_iter().flatten().filter_map(|(_, n)| n.as_f64()).sum())
    }

    /// Returns the length of the platform's list of backend servers in bytes.
    pub async fn list_bytes(&self) -> Result<f64, Box<dyn Error>> {
        let answer = exchange(self.store, "GET", "/v1/health/service/backend", b"").await?;
        Ok(answer.body.len() as f64)
    }

    /// Creates a class through the first instance. Returns the time until it was in force, in ms,
    /// for each instance.
    pub async fn change(&self, number: usize) -> Result<Vec<f64>, Box<dyn Error>> {
        let began = SystemTime::now();
        let name = format!("class-{number}");
        let instance = format!("{}:7002", self.address(0));
        let out = Command::new(self.programs.join("galenactl"))
            .args(["--instance", &instance, "--token-file"])
            .arg(self.dir.join("token"))
            .args(["class", "create", &name, "--service", &format!("service-{number}")])
            .args(["--kind", "lookup", "--path", "/", "--latency-ms", "50", "--share", "0.99"])
            .output()?;
        if !out.status.success() {
            return Err(String::from_utf8_lossy(&out.stderr).into_owned().into());
        }
        let version = format!("version={number}");
        let mut times = Vec::new();
        for n in 0..self.entries.len() {
            times.push(self.wait_in_force(n, &version, began).await?);
        }
        Ok(times)
    }

    async fn wait_in_force(
        &self,
        n: usize,
        version: &str,
        began: SystemTime,
    ) -> Result<f64, Box<dyn Error>> {
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            let log = std::fs::read_to_string(self.dir.join(format!("entry-{n}.err")))?;
            let mut lines = log.lines().filter(|line| line.contains("configuration in force"));
            let line = lines.find(|line| line.ends_with(version));
            if let Some(at) = line.and_then(|line| line.split(' ').next()) {
                let at = humantime::parse_rfc3339(at)?;
                let took = at.duration_since(began).unwrap_or_default();
                return Ok(took.as_secs_f64() * 1e3);
            }
            sleep(Duration::from_millis(20)).await;
        }
        let log = std::fs::read_to_string(self.dir.join(format!("entry-{n}.err")))?;
        Err(format!("{version} is not in force at entry-{n} after 20 s; log:\n{log}").into())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        // If this fails, only a few small files remain in the directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts a program; its output goes to files that end in `.out` and `.err`.
pub fn spawn(command: &mut Command, output: &Path) -> Result<Guard, Box<dyn Error>> {
    let out = File::create(output.with_extension("out"))?;
    let err = File::create(output.with_extension("err"))?;
    Ok(Guard(command.stdin(Stdio::null()).stdout(out).stderr(err).spawn()?))
}

async fn wait_address(file: &Path) -> Result<SocketAddr, Box<dyn Error>> {
    for _ in 0..500 {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        if let Some(address) = text.lines().find_map(|line| line.strip_prefix("listening ")) {
            return Ok(address.trim().parse()?);
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err("the store did not start in time".into())
}
