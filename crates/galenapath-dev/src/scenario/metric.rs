//! Reads the numbers that conditions compare.

use super::cluster::Cluster;
use super::error::ScenarioError;
use super::process::POLL;
use monoio::time::sleep;
use std::time::{Duration, Instant};

/// Limit for a load to end when a condition or the end of the scenario waits for it.
const LOAD_LIMIT: Duration = Duration::from_secs(120);

/// Reads `field` of the request, load, process or group called `name`.
pub async fn read(cluster: &Cluster, name: &str, field: &str) -> Result<f64, ScenarioError> {
    if let Some(sent) = cluster.sent.get(name) {
        return match field {
            "executions" => {
                Ok(f64::from(cluster.executions().count(&sent.spec.key, &sent.spec.path)))
            }
            "begun" => Ok(f64::from(u8::from(sent.has_begun()))),
            "ms" => Ok(sent.ended().map_or(f64::INFINITY, |end| end.took.as_secs_f64() * 1_000.0)),
            _ => Err(ScenarioError::bad(format!("requests have no {field}"))),
        };
    }
    if cluster.loads.contains_key(name) {
        return load(cluster, name, field).await;
    }
    if let Some(backends) = cluster.backends.get(name) {
        return backends.counter(field).await;
    }
    if let Some(instance) = cluster.instances.get(name) {
        return instance.metric(field).await;
    }
    if let Some(value) = cluster.users.counter(name, field) {
        return Ok(value);
    }
    match (name, &cluster.store) {
        ("store", Some(store)) => store.counter(field).await,
        ("backends", _) => all_backends(cluster, field).await,
        ("instances", _) => all_instances(cluster, field).await,
        _ => Err(ScenarioError::bad(format!("nothing is named {name}"))),
    }
}

/// Waits for a load to end and returns one figure of its report.
async fn load(cluster: &Cluster, name: &str, field: &str) -> Result<f64, ScenarioError> {
    wait_load(cluster, name).await?;
    let result = cluster.loads[name].borrow();
    let row = result.as_ref().and_then(|report| serde_json::to_value(&report.row).ok());
    let value = row.and_then(|row| match &row[field] {
        serde_json::Value::Bool(value) => Some(f64::from(u8::from(*value))),
        value => value.as_f64(),
    });
    value.ok_or_else(|| ScenarioError::bad(format!("loads have no {field}")))
}

/// Waits for a load to end.
pub async fn wait_load(cluster: &Cluster, name: &str) -> Result<(), ScenarioError> {
    let began = Instant::now();
    while cluster.loads[name].borrow().is_none() {
        if began.elapsed() >= LOAD_LIMIT {
            return Err(ScenarioError::bad(format!(
                "load {name} did not end within {LOAD_LIMIT:?}"
            )));
        }
        sleep(POLL).await;
    }
    Ok(())
}

/// Returns the sum over the running backend processes.
async fn all_backends(cluster: &Cluster, field: &str) -> Result<f64, ScenarioError> {
    let mut sum = 0.0;
    for backends in cluster.backends.values().filter(|b| b.process.is_some()) {
        sum += backends.counter(field).await?;
    }
    Ok(sum)
}

/// Returns the sum over the running instances.
async fn all_instances(cluster: &Cluster, field: &str) -> Result<f64, ScenarioError> {
    let mut sum = 0.0;
    for instance in cluster.instances.values().filter(|i| i.process.is_some()) {
        sum += instance.metric(field).await?;
    }
    Ok(sum)
}
