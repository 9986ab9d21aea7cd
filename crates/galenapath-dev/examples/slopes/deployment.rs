//! A store, entry instances and listed backend servers on loopback.

use galenapath_dev::wire::exchange;
use monoio::time::sleep;
use std::error::Error;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

/// Port of every instance for peers.
pub const PEERS_PORT: u16 = 7001;
/// Longest wait for the instances to know each other.
const START_LIMIT: Duration = Duration::from_secs(40);

/// Ends a process when it is dropped.
pub struct Guard(pub Child);

impl Drop for Guard {
    fn drop(&mut self) {
        // Both fail only on a process that has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The running programs.
pub struct Deployment {
    programs: PathBuf,
    /// Directory of settings and logs.
    pub dir: PathBuf,
    /// First bytes of the instances' addresses.
    pub net: String,
    /// Address of the store.
    pub store: SocketAddr,
    /// Entry instances.
    pub entries: Vec<Guard>,
    _store: Guard,
}

impl Deployment {
    /// Starts a store, lists `backends` servers in services of about six, and starts instances.
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

    /// Puts a backend server on the platform's list.
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

    /// Address of an instance, without port.
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

    /// Waits until every instance knows as many members as there are.
    pub async fn wait_whole(&self) -> Result<Duration, Box<dyn Error>> {
        let began = Instant::now();
        for n in 0..self.entries.len() {
            while self.metric(n, "galenapath_members").await? < self.entries.len() as f64 {
                if began.elapsed() > START_LIMIT {
                    return Err("the instances do not find each other".into());
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(began.elapsed())
    }

    /// Sum over the lines of a metric of one instance.
    pub async fn metric(&self, n: usize, name: &str) -> Result<f64, Box<dyn Error>> {
        let operators: SocketAddr = format!("{}:7002", self.address(n)).parse()?;
        let Ok(answer) = exchange(operators, "GET", "/metrics", b"").await else { return Ok(0.0) };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        Ok(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }

    /// Calls that the store has counted.
    pub async fn store_calls(&self) -> Result<f64, Box<dyn Error>> {
        let answer = exchange(self.store, "GET", "/admin/counters", b"").await?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let calls = all["calls"].as_object();
        Ok(calls.into_iter().flatten().filter_map(|(_, n)| n.as_f64()).sum())
    }

    /// Bytes of the platform's list of backend servers.
    pub async fn list_bytes(&self) -> Result<f64, Box<dyn Error>> {
        let answer = exchange(self.store, "GET", "/v1/health/service/backend", b"").await?;
        Ok(answer.body.len() as f64)
    }

    /// Creates a class through the first instance; times until each had it in force, in ms.
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
            times.push(self.in_force(n, &version, began).await?);
        }
        Ok(times)
    }

    async fn in_force(
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
        Err(format!("{version} is not in force at entry-{n} after 20 s; its log:\n{log}").into())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        // What stays behind is a few small files in the directory for temporary ones.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts a program; its output goes to files.
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
    Err("the store does not start".into())
}
