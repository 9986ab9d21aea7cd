//! Measurements by the number of instances and of backend servers.

use crate::deployment::{Deployment, PEERS_PORT};
use crate::proc_files::{control_cpu, rss_mib};
use crate::sockets::Sockets;
use crate::table::Row;
use monoio::time::sleep;
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

/// Wait for the gossip after startup to settle.
const GOSSIP_SETTLE: Duration = Duration::from_secs(4);
/// Duration of the idle measurement; equal to the wait time of a blocking read of the store.
const MEASURED_SPAN: Duration = Duration::from_secs(30);
/// Configuration changes per size.
const CHANGES: usize = 10;
/// Changes to the list of backend servers per size.
const LIST_CHANGES: usize = 8;
/// Backend servers while the number of instances varies.
const FEW_BACKENDS: usize = 36;
/// Instances while the number of backend servers varies.
const FEW_INSTANCES: usize = 4;

/// Measures the cost per instance by the number of instances.
pub async fn by_instances(programs: &Path, sizes: &[usize]) -> Result<Vec<Row>, Box<dyn Error>> {
    let mut rows = Vec::new();
    for &size in sizes {
        rows.push(measure_instances(programs, size).await?);
    }
    Ok(rows)
}

async fn measure_instances(programs: &Path, size: usize) -> Result<Row, Box<dyn Error>> {
    let deployment = Deployment::start(programs, size, FEW_BACKENDS).await?;
    let converged = deployment.wait_converged().await?;
    sleep(GOSSIP_SETTLE).await;
    let mut columns = idle(&deployment).await?;
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        times.extend(deployment.change(number).await?);
    }
    times.sort_by(f64::total_cmp);
    columns.push(("in_force_p50_ms", times[times.len() / 2]));
    columns.push(("in_force_max_ms", times[times.len() - 1]));
    columns.push(("whole_after_s", converged.as_secs_f64()));
    println!("{size} instances: {columns:?}");
    Ok(Row { size, columns })
}

/// Measures the cost of an idle deployment: per instance, except for the calls to the store.
async fn idle(deployment: &Deployment) -> Result<Vec<(&'static str, f64)>, Box<dyn Error>> {
    let count = deployment.entries.len() as f64;
    let calls = deployment.store_calls().await?;
    let messages = deployment.metric(0, "galenapath_peer_messages_total").await?;
    let cpu = cpu(deployment);
    let began = Instant::now();
    let mut sockets = Sockets::default();
    while began.elapsed() < MEASURED_SPAN {
        sockets.sample(&deployment.net, PEERS_PORT);
        sleep(Duration::from_secs(1)).await;
    }
    sockets.sample(&deployment.net, PEERS_PORT);
    let span = began.elapsed().as_secs_f64();
    let cpu = (self::cpu(deployment) - cpu) / span / count * 100.0;
    let messages = deployment.metric(0, "galenapath_peer_messages_total").await? - messages;
    let calls = deployment.store_calls().await? - calls;
    // Each byte is sent by one instance and received by another.
    let bytes = 2.0 * sockets.bytes as f64 / span / count;
    let rss = deployment.entries.iter().map(|e| rss_mib(e.0.id())).sum::<f64>() / count;
    Ok(vec![
        ("peer_bytes_per_s", bytes),
        ("peer_messages_per_s", messages / span),
        ("control_cpu_percent", cpu),
        ("rss_mib", rss),
        ("store_calls_per_s", calls / span),
    ])
}

fn cpu(deployment: &Deployment) -> f64 {
    deployment.entries.iter().map(|entry| control_cpu(entry.0.id())).sum()
}

/// Measures the cost per instance by the number of backend servers.
pub async fn by_backends(programs: &Path, sizes: &[usize]) -> Result<Vec<Row>, Box<dyn Error>> {
    let mut rows = Vec::new();
    for &size in sizes {
        rows.push(measure_backends(programs, size).await?);
    }
    Ok(rows)
}

async fn measure_backends(programs: &Path, size: usize) -> Result<Row, Box<dyn Error>> {
    let deployment = Deployment::start(programs, FEW_INSTANCES, size).await?;
    deployment.wait_converged().await?;
    sleep(Duration::from_secs(2)).await;
    let before = cpu(&deployment);
    sleep(Duration::from_secs(5)).await;
    let idle = (cpu(&deployment) - before) / 5.0;
    let before = cpu(&deployment);
    let began = Instant::now();
    for n in 0..LIST_CHANGES {
        deployment.list_backend(n, "leaving").await?;
        sleep(Duration::from_millis(600)).await;
    }
    let used = cpu(&deployment) - before - idle * began.elapsed().as_secs_f64();
    let per_change = used / (LIST_CHANGES * FEW_INSTANCES) as f64 * 1e3;
    let rss = deployment.entries.iter().map(|e| rss_mib(e.0.id())).sum::<f64>();
    let columns = vec![
        ("rss_mib", rss / FEW_INSTANCES as f64),
        ("list_bytes", deployment.list_bytes().await?),
        ("cpu_ms_per_list_change", per_change),
    ];
    println!("{size} backend servers: {columns:?}");
    Ok(Row { size, columns })
}
