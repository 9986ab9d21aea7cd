//! The steps `expect` and `wait`.

use super::cluster::Cluster;
use super::condition::Condition;
use super::error::ScenarioError;
use super::line::Line;
use super::process::POLL;
use super::send::{SentRequest, outcome_name, read_spec};
use super::{metric, run};
use crate::load::Outcome;
use monoio::time::sleep;
use std::time::{Duration, Instant};

/// Limit of a step without `within=`.
const DEFAULT_LIMIT: Duration = Duration::from_secs(15);
/// Pause between two attempts of a request or command that a step repeats.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// Returns the time limit of a step, from `within=`.
pub fn limit(line: &Line) -> Result<Duration, ScenarioError> {
    let Some(text) = line.option("within") else { return Ok(DEFAULT_LIMIT) };
    run::duration(text)
}

/// `expect ID OUTCOME [or OUTCOME]…` or `expect NAME.FIELD COMPARISON NUMBER`.
pub async fn expect(cluster: &Cluster, line: &Line) -> Result<(), ScenarioError> {
    let Some(sent) = cluster.sent.get(line.word(1)) else {
        let condition = Condition::read(line, 1)?;
        let seen = metric::read(cluster, &condition.name, &condition.field).await?;
        return match condition.holds(seen) {
            true => Ok(()),
            false => Err(ScenarioError::Unexpected {
                expected: condition.to_string(),
                got: seen.to_string(),
            }),
        };
    };
    let attempt = sent.wait(limit(line)?).await?;
    let got = outcome_name(attempt.outcome());
    let mut expected = line.words[2..].iter().filter(|word| *word != "or");
    if expected.any(|word| word == got) {
        return Ok(());
    }
    let got = format!("{attempt:?}");
    Err(ScenarioError::Unexpected { expected: line.words[1..].join(" "), got })
}

/// `wait ready LIST`, `wait end NAME [code=…]`, `wait answered INSTANCE METHOD SERVICE PATH`,
/// `wait ctl LIST contains=… WORDS` or `wait NAME.FIELD COMPARISON NUMBER`.
pub async fn wait(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    match line.word(1) {
        "ready" => wait_ready(cluster, line).await,
        "end" => wait_end(cluster, line).await,
        "answered" => wait_answered(cluster, line).await,
        "ctl" => wait_ctl(cluster, line).await,
        _ => wait_condition(cluster, line).await,
    }
}

/// Time by which the condition of a step must hold.
struct Deadline {
    began: Instant,
    limit: Duration,
}

impl Deadline {
    fn of(line: &Line) -> Result<Self, ScenarioError> {
        Ok(Self { began: Instant::now(), limit: limit(line)? })
    }

    /// Sleeps for `pause`, or fails if the limit has passed.
    async fn pause(
        &self,
        line: &Line,
        seen: impl Into<String>,
        pause: Duration,
    ) -> Result<(), ScenarioError> {
        if self.began.elapsed() < self.limit {
            sleep(pause).await;
            return Ok(());
        }
        Err(ScenarioError::Timeout {
            condition: line.words[1..].join(" "),
            seen: seen.into(),
            limit_ms: self.limit.as_millis(),
        })
    }
}

async fn wait_ready(cluster: &Cluster, line: &Line) -> Result<(), ScenarioError> {
    let deadline = Deadline::of(line)?;
    for name in cluster.instance_names(line.word(2)) {
        let instance = cluster.instance(&name)?;
        while !instance.is_ready().await {
            deadline.pause(line, format!("{name} is not ready"), POLL).await?;
        }
    }
    Ok(())
}

async fn wait_end(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    let limit = limit(line)?;
    for name in cluster.process_names(line.word(2)) {
        let status = cluster.running(&name)?.wait_end(limit).await?;
        let code = status.code().map_or("signal".to_owned(), |code| code.to_string());
        let expected = line.option("code").unwrap_or("0");
        if code != expected {
            let expected = format!("{name} exits with code {expected}");
            return Err(ScenarioError::Unexpected { expected, got: code });
        }
        *cluster.process(&name)? = None;
    }
    Ok(())
}

/// Repeats the request, with a new key each time, until one is answered. These requests are not
/// recorded in the cluster.
async fn wait_answered(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    let deadline = Deadline::of(line)?;
    for name in cluster.instance_names(line.word(2)) {
        let addr = cluster.instance(&name)?.callers;
        loop {
            let unique = cluster.unique(line);
            let spec = read_spec(line, addr, &unique).await;
            let seen = match spec {
                Ok(spec) => {
                    let sent = SentRequest::start(spec, addr);
                    let attempt = sent.wait(deadline.limit).await?;
                    if attempt.outcome() == Outcome::Answered {
                        break;
                    }
                    format!("{name}: {attempt:?}")
                }
                Err(e) => format!("{name}: {e}"),
            };
            deadline.pause(line, seen, RESEND_PAUSE).await?;
        }
    }
    Ok(())
}

async fn wait_ctl(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    let deadline = Deadline::of(line)?;
    let expected = line.option("contains").unwrap_or("");
    for name in cluster.instance_names(line.word(2)) {
        loop {
            let ended = cluster.operator(&name, &line.words[3..])?.wait().await?;
            if ended.code == 0 && ended.output.contains(expected) {
                break;
            }
            let seen = format!("{name}: code {}: {}", ended.code, ended.output);
            deadline.pause(line, seen, RESEND_PAUSE).await?;
        }
    }
    Ok(())
}

async fn wait_condition(cluster: &Cluster, line: &Line) -> Result<(), ScenarioError> {
    let deadline = Deadline::of(line)?;
    let condition = Condition::read(line, 1)?;
    loop {
        // Reading the metric fails while a process is starting or stopped.
        let seen = metric::read(cluster, &condition.name, &condition.field).await;
        if seen.as_ref().is_ok_and(|seen| condition.holds(*seen)) {
            return Ok(());
        }
        deadline.pause(line, format!("{seen:?}"), POLL).await?;
    }
}
