//! Runs the steps of a scenario in order.

use super::backend::Backends;
use super::cluster::{Cluster, TOKEN_FILE};
use super::error::ScenarioError;
use super::expect::{expect, limit, wait};
use super::instance::Instance;
use super::line::{Line, parse};
use super::programs::Programs;
use super::send::{SentRequest, read_spec};
use super::store::Store;
use super::{execution_check, idle, metric};
use crate::link::LinkFault;
use crate::load::{self, ClassLoad};
use clap::Parser;
use monoio::{LegacyDriver, RuntimeBuilder};
use rustix::process::Signal;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Operators' token that all instances of a scenario accept.
const TOKEN: &str = "scenario-operators-token\n";
/// Token that no instance accepts, and its file.
const INVALID_TOKEN: &str = "scenario-wrong-token\n";
const INVALID_TOKEN_FILE: &str = "wrong-token";
/// Limit for each request that is still running after the last step.
const FINAL_ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// Runs the scenario in `file`; its processes write their files to `dir`. The error text names the
/// failed line and ends with the last output of each process.
///
/// # Errors
///
/// A step failed, or the results that callers received contradict what the backend servers ran.
pub fn run_file(file: &Path, programs: Programs, dir: &Path) -> Result<(), String> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let lines = parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        write_tokens(dir).map_err(|e| e.to_string())?;
        let mut cluster = Cluster::new(programs, dir.to_owned());
        for line in &lines {
            if let Err(e) = run_step(&mut cluster, line).await {
                let location = format!("{}:{}", file.display(), line.number);
                return Err(format!(
                    "{location}: `{}`: {e}\n{}",
                    line.words.join(" "),
                    cluster.process_output()
                ));
            }
        }
        finish(&cluster)
            .await
            .map_err(|e| format!("after the last step: {e}\n{}", cluster.process_output()))
    })
}

fn write_tokens(dir: &Path) -> std::io::Result<()> {
    std::fs::write(dir.join(TOKEN_FILE), TOKEN)?;
    std::fs::write(dir.join(INVALID_TOKEN_FILE), INVALID_TOKEN)
}

/// Waits for loads, requests and backend servers to finish, then compares the results that callers
/// received with what the backend servers ran.
async fn finish(cluster: &Cluster) -> Result<(), ScenarioError> {
    for name in cluster.loads.keys() {
        metric::wait_load(cluster, name).await?;
    }
    for sent in cluster.sent.values() {
        sent.wait(FINAL_ANSWER_LIMIT).await?;
    }
    for backends in cluster.backends.values() {
        backends.wait_idle().await?;
    }
    cluster.users.check()?;
    execution_check::check(&cluster.executions(), &cluster.caller_results())
}

async fn run_step(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    match line.word(0) {
        "store" | "class" | "backend" | "instance" | "start" => start(cluster, line).await,
        "gateway" | "server" | "routes" | "mark" | "trouble" | "cool" | "says" | "evacuate"
        | "restore" | "backup" => run_users_platform_step(cluster, line),
        "press" => {
            let names = cluster.process_names(line.word(1));
            let callers = names.iter().map(|name| Ok(cluster.instance(name)?.callers));
            let to = callers.collect::<Result<Vec<_>, ScenarioError>>()?;
            cluster.users.send_lookups(line, &to).await
        }
        "paths" => {
            let pid = cluster.running(line.word(1))?.id();
            cluster.users.set_paths(line, pid)
        }
        "ask" => {
            let addr = cluster.instance(line.word(2))?.callers;
            cluster.users.send_request(line, addr).await
        }
        "send" | "resend" | "load" | "idle" => send(cluster, line).await,
        "freeze" | "thaw" | "kill" | "stop" | "roll" => control_processes(cluster, line).await,
        "cut" | "hold" | "delay" | "mend" => set_link_fault(cluster, line),
        "platform" => match &cluster.store {
            Some(store) => store.set_faults(line).await,
            None => Err(ScenarioError::bad("the scenario has not started a store")),
        },
        "fault" | "drain" | "crash" => operate_backends(cluster, line).await,
        "ctl" | "race" => run_operators(cluster, line).await,
        "expect" => expect(cluster, line).await,
        "wait" => wait(cluster, line).await,
        other => Err(ScenarioError::bad(format!("unknown step `{other}`"))),
    }
}

fn run_users_platform_step(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    match line.word(0) {
        "gateway" => {
            let store = cluster.users.store_addr()?;
            let (programs, net) = (&cluster.programs, &mut cluster.net);
            let (gateway, peers) =
                Instance::start_gateway(line, programs, net, store, &cluster.peers, &cluster.dir)?;
            cluster.peers.push(peers);
            cluster.instances.insert(line.word(1).to_owned(), gateway);
            Ok(())
        }
        "server" => cluster.users.start_server(line),
        "routes" => cluster.users.set_routes(line),
        "mark" => cluster.users.set_entry_state(line.word(1), line.word(2)),
        "cool" => cluster.users.set_cold(line),
        "says" => cluster.users.set_stated_limits(line),
        "evacuate" => {
            cluster.users.evacuate(line.word(1));
            Ok(())
        }
        "restore" => {
            cluster.users.restore(line.word(1));
            Ok(())
        }
        "backup" => cluster.users.back_up(line.word(1)),
        _ => cluster.users.set_fault(line.word(1), line.word(2)),
    }
}

async fn start(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    let dir = cluster.dir.clone();
    match line.word(0) {
        "store" => {
            let store = Store::start(line, &cluster.programs, &mut cluster.net, &dir).await?;
            cluster.store = Some(store);
        }
        "class" => {
            let store = cluster.store_addr()?;
            cluster.preset.add(line, store).await?;
        }
        "backend" => {
            let store = cluster.store_addr()?;
            let (programs, net) = (&cluster.programs, &mut cluster.net);
            let backends = Backends::start(line, programs, net, store, &dir).await?;
            cluster.backends.insert(line.word(1).to_owned(), backends);
        }
        "instance" => {
            let store = cluster.store_addr()?;
            let (programs, net) = (&cluster.programs, &mut cluster.net);
            let (instance, peers) =
                Instance::start(line, programs, net, store, &cluster.peers, &dir)?;
            cluster.peers.push(peers);
            cluster.instances.insert(line.word(1).to_owned(), instance);
        }
        _ => restart(cluster, line.word(1)).await?,
    }
    Ok(())
}

async fn restart(cluster: &mut Cluster, list: &str) -> Result<(), ScenarioError> {
    for name in cluster.process_names(list) {
        if let Some(instance) = cluster.instances.get_mut(&name) {
            instance.restart(&cluster.programs)?;
        } else if let Some(backends) = cluster.backends.get_mut(&name) {
            backends.restart(&cluster.programs).await?;
        } else {
            return Err(ScenarioError::bad(format!("no process is named {name}")));
        }
    }
    Ok(())
}

async fn send(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    match line.word(0) {
        "send" => {
            let addr = cluster.instance(line.word(2))?.callers;
            let unique = cluster.unique(line);
            let spec = read_spec(line, addr, &unique).await?;
            cluster.sent.insert(line.word(1).to_owned(), SentRequest::start(spec, addr));
        }
        "resend" => {
            // resend ID as OTHER to INSTANCE
            let sent = cluster.sent.get(line.word(1));
            let spec = sent.map(|sent| sent.spec.clone());
            let spec = spec.ok_or_else(|| ScenarioError::bad("no request has this name"))?;
            let addr = cluster.instance(line.word(5))?.callers;
            cluster.sent.insert(line.word(3).to_owned(), SentRequest::start(spec, addr));
        }
        "idle" => {
            // idle COUNT to INSTANCE
            let addr = cluster.instance(line.word(3))?.callers;
            let count = line
                .word(1)
                .parse()
                .map_err(|_| ScenarioError::bad("the count must be a whole number"))?;
            cluster.idle.append(&mut idle::open(addr, count).await?);
        }
        _ => start_load(cluster, line)?,
    }
    Ok(())
}

/// `load ID LIST for=… attempts=… CLASS-OPTIONS`
fn start_load(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    let mut args = vec!["load".to_owned(), "--class".to_owned()];
    let load_options = ["for", "attempts"];
    let fields = line.options.iter().filter(|(name, _)| !load_options.contains(&name.as_str()));
    let mut spec = format!("name={}", line.word(1));
    fields.for_each(|(name, value)| spec.push_str(&format!(",{name}={value}")));
    spec.parse::<ClassLoad>().map_err(|e| ScenarioError::bad(e.to_string()))?;
    args.push(spec);
    for name in cluster.instance_names(line.word(2)) {
        args.extend(["--entry".to_owned(), cluster.instance(&name)?.callers.to_string()]);
    }
    args.extend(["--duration".to_owned(), line.option("for").unwrap_or("3s").to_owned()]);
    args.extend(["--attempts".to_owned(), line.option("attempts").unwrap_or("3").to_owned()]);
    let opts = load::Options::try_parse_from(args);
    let opts = opts.map_err(|e| ScenarioError::bad(e.to_string()))?;
    let result = Rc::new(RefCell::new(None));
    cluster.loads.insert(line.word(1).to_owned(), Rc::clone(&result));
    monoio::spawn(async move {
        let report = load::run(&opts).await.pop();
        *result.borrow_mut() = report;
    });
    Ok(())
}

async fn control_processes(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    for name in cluster.process_names(line.word(1)) {
        match line.word(0) {
            "freeze" => cluster.running(&name)?.signal(Signal::STOP)?,
            "thaw" => cluster.running(&name)?.signal(Signal::CONT)?,
            "stop" => cluster.running(&name)?.signal(Signal::TERM)?,
            "kill" => *cluster.process(&name)? = None,
            _ => roll(cluster, line, &name).await?,
        }
    }
    Ok(())
}

/// Stops a process with SIGTERM and starts it again; waits until an instance is ready.
async fn roll(cluster: &mut Cluster, line: &Line, name: &str) -> Result<(), ScenarioError> {
    let limit = limit(line)?;
    let process = cluster.running(name)?;
    process.signal(Signal::TERM)?;
    let status = process.wait_end(limit).await?;
    if !status.success() {
        let expected = format!("{name} exits with code 0");
        return Err(ScenarioError::Unexpected { expected, got: status.to_string() });
    }
    restart(cluster, name).await?;
    if cluster.instances.contains_key(name) {
        let words = ["wait", "ready", name].map(str::to_owned).to_vec();
        let ready = Line { number: line.number, words, options: line.options.clone() };
        wait(cluster, &ready).await?;
    }
    Ok(())
}

fn set_link_fault(cluster: &Cluster, line: &Line) -> Result<(), ScenarioError> {
    let fault = match (line.word(0), line.option("replies")) {
        ("cut", Some(_)) => LinkFault::CutReplies,
        ("cut", None) => LinkFault::Cut,
        ("hold", _) => LinkFault::Hold,
        ("delay", _) => LinkFault::Delay(duration(line.option("time").unwrap_or("0ms"))?),
        _ => LinkFault::None,
    };
    for name in line.word(1).split(',') {
        cluster.links(name)?.iter().for_each(|link| link.set_fault(fault));
    }
    Ok(())
}

async fn operate_backends(cluster: &Cluster, line: &Line) -> Result<(), ScenarioError> {
    for name in cluster.process_names(line.word(1)) {
        let backends = cluster.backends.get(&name);
        let backends = backends
            .ok_or_else(|| ScenarioError::bad(format!("no backend process is named {name}")))?;
        match line.word(0) {
            "fault" => backends.set_faults(line).await?,
            operation => {
                let server = line.option("server").map(|s| serde_json::json!({ "server": s }));
                let body = server.map_or_else(|| "{}".to_owned(), |body| body.to_string());
                backends.operate(operation, &body).await?;
            }
        }
    }
    Ok(())
}

/// `ctl INSTANCE [exit=…] [token=wrong] WORDS…` or `race accepted=… (INSTANCE "WORDS")…`
async fn run_operators(cluster: &mut Cluster, line: &Line) -> Result<(), ScenarioError> {
    if line.word(0) == "ctl" {
        let token = if line.option("token").is_some() { INVALID_TOKEN_FILE } else { TOKEN_FILE };
        let ended =
            cluster.operator_with_token(token, line.word(1), &line.words[2..])?.wait().await?;
        let expected = line.option("exit").unwrap_or("0");
        if ended.code.to_string() == expected {
            return Ok(());
        }
        let got = format!("{}: {}", ended.code, ended.output);
        return Err(ScenarioError::Unexpected { expected: format!("exit code {expected}"), got });
    }
    let mut running = Vec::new();
    for pair in line.words[1..].chunks_exact(2) {
        let words: Vec<_> = pair[1].split_whitespace().map(str::to_owned).collect();
        running.push(cluster.operator(&pair[0], &words)?);
    }
    let mut ends = Vec::new();
    for operator in running {
        ends.push(operator.wait().await?);
    }
    let accepted = ends.iter().filter(|end| end.code == 0).count();
    if line.option("accepted").is_none_or(|n| n == accepted.to_string()) {
        return Ok(());
    }
    let expected = format!("{:?} accepted", line.option("accepted"));
    Err(ScenarioError::Unexpected { expected, got: format!("{accepted}: {ends:?}") })
}

/// Parses a duration such as `250ms`.
pub fn duration(text: &str) -> Result<Duration, ScenarioError> {
    humantime::parse_duration(text).map_err(|e| ScenarioError::bad(format!("{text}: {e}")))
}
