//! Processor time of the data threads by request rate.

use crate::deployment::{Deployment, Guard, spawn};
use crate::proc_files::data_cpu;
use crate::table::Row;
use monoio::time::sleep;
use std::error::Error;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Number of instances, one per failure domain.
const INSTANCES: usize = 3;
/// Number of backend servers, all in one process.
const SERVERS: usize = 12;
/// Duration of the load, in seconds.
const LOAD_S: u64 = 6;

/// Measures the cost of requests at each rate per second, spread over three instances.
pub async fn by_rate(programs: &Path, rates: &[usize]) -> Result<Vec<Row>, Box<dyn Error>> {
    let deployment = Deployment::start(programs, INSTANCES, 0).await?;
    deployment.wait_converged().await?;
    let _servers = start_servers(programs, &deployment)?;
    deployment.change(1).await?;
    sleep(Duration::from_secs(2)).await;
    let mut rows = Vec::new();
    for &rate in rates {
        rows.push(measure(programs, &deployment, rate)?);
    }
    Ok(rows)
}

fn start_servers(programs: &Path, deployment: &Deployment) -> Result<Guard, Box<dyn Error>> {
    let mut command = Command::new(programs.join("examples/backend"));
    command.arg("--store").arg(deployment.store.to_string());
    for n in 0..SERVERS {
        let domain = n % 3;
        let server = format!("name=s{n},service=service-1,domain=d{domain},work=constant:1");
        command.arg("--server").arg(server);
    }
    spawn(&mut command, &deployment.dir.join("servers"))
}

fn measure(programs: &Path, deployment: &Deployment, rate: usize) -> Result<Row, Box<dyn Error>> {
    let cpu = || deployment.entries.iter().map(|entry| data_cpu(entry.0.id())).sum::<f64>();
    let mut command = Command::new(programs.join("examples/load"));
    for n in 0..INSTANCES {
        command.arg("--entry").arg(format!("{}:7000", deployment.address(n)));
    }
    let class = format!("name=lookup,service=service-1,rate={rate},target_ms=50");
    command.args(["--json", "--duration", &format!("{LOAD_S}s"), "--class", &class]);
    let before = cpu();
    let output = command.output()?;
    let used = cpu() - before;
    let row: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let figure = |name: &str| row[name].as_f64().unwrap_or(f64::NAN);
    let answered = figure("answered");
    let columns = vec![
        ("answered", answered),
        ("sent", figure("sent")),
        ("data_cpu_us_per_request", used * 1e6 / answered),
        ("data_cpu_s_per_s", used / LOAD_S as f64),
        ("p50_ms", figure("p50_ms")),
        ("p99_ms", figure("p99_ms")),
    ];
    println!("{rate} requests a second: {columns:?}");
    Ok(Row { size: rate, columns })
}
