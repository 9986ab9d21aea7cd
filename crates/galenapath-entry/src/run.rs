//! Starting and running an entry instance.

use crate::control::{self, ControlPlane, Wiring};
use crate::data::{self, DataPlane};
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::{EntryError, signals};
use error_stack::{Report, ResultExt};
use galenapath_protocol::Incarnation;
use galenapath_settings::Settings;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;

/// Most events and commands that wait between two threads.
const QUEUE: usize = 4_096;

/// Runs an entry instance until it is told to stop and has drained.
///
/// # Errors
///
/// When an address, the token file, a thread or a runtime cannot be had. Nothing has been served
/// then.
pub fn run(settings: Settings) -> Result<(), Report<EntryError>> {
    abort_on_panic();
    let token = read_token(&settings.token_file)?;
    let callers = listen("callers", settings.listen.callers)?;
    let peers = listen("peers", settings.listen.peers)?;
    let operators = listen("operators", settings.listen.operators)?;
    let stops = signals::stop_requests()?;
    let plane =
        galenapath_peers::start(peers).change_context(EntryError::Start("the peers' plane"))?;
    let callers_address = local_address(&callers)?;
    log::info!(
        callers:% = callers_address,
        peers:% = plane.address,
        operators:% = local_address(&operators)?;
        "listening"
    );
    let metrics = Metrics::new().change_context(EntryError::Start("the metrics"))?;
    let incarnation = Incarnation(rand::random());
    let shared = Shared::new(settings, incarnation, callers_address, metrics);
    let (events_tx, events) = flume::bounded(QUEUE);
    let (commands, commands_rx) = flume::bounded(QUEUE);
    let wiring = Wiring {
        events,
        commands,
        calls: plane.calls,
        requests: plane.requests,
        stops,
        peers: plane.address,
        token,
    };
    start_data(Arc::clone(&shared), callers, events_tx, commands_rx)?;
    run_control(shared, operators, wiring)
}

/// Ends the process when any thread panics. An instance that lost one of its threads would go on
/// answering probes while it serves nobody; callers and peers notice a dead one within seconds.
fn abort_on_panic() {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        std::process::abort();
    }));
}

/// Starts the data thread. It ends with the process.
fn start_data(
    shared: Arc<Shared>,
    listener: TcpListener,
    events: flume::Sender<crate::shared::ControlEvent>,
    commands: flume::Receiver<data::DataCommand>,
) -> Result<(), Report<EntryError>> {
    let run = move || {
        let result = block_on(async {
            let listener = to_monoio(listener)?;
            data::serve(DataPlane::new(shared, events), listener, commands).await;
            Ok(())
        });
        if let Err(e) = result {
            log::error!(error:? = e; "callers cannot be served");
            std::process::exit(1);
        }
    };
    std::thread::Builder::new()
        .name("data".into())
        .spawn(run)
        .change_context(EntryError::Start("the data thread"))?;
    Ok(())
}

fn run_control(
    shared: Arc<Shared>,
    operators: TcpListener,
    wiring: Wiring,
) -> Result<(), Report<EntryError>> {
    block_on(async {
        let listener = to_monoio(operators)?;
        control::run(ControlPlane::new(shared, wiring), listener).await;
        Ok(())
    })
}

/// Runs `work` on a runtime with the epoll driver, whatever else is linked.
fn block_on<T>(
    work: impl Future<Output = Result<T, Report<EntryError>>>,
) -> Result<T, Report<EntryError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(EntryError::Start("a runtime"))?;
    runtime.block_on(work)
}

fn to_monoio(listener: TcpListener) -> Result<monoio::net::TcpListener, Report<EntryError>> {
    listener.set_nonblocking(true).change_context(EntryError::Start("a listener"))?;
    monoio::net::TcpListener::from_std(listener).change_context(EntryError::Start("a listener"))
}

fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, Report<EntryError>> {
    TcpListener::bind(address).change_context(EntryError::Listen { key, address })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<EntryError>> {
    listener.local_addr().change_context(EntryError::Start("a listener"))
}

fn read_token(file: &Path) -> Result<String, Report<EntryError>> {
    let error = || EntryError::Token { file: file.to_owned() };
    let text = std::fs::read_to_string(file).change_context_lazy(error)?;
    let token = text.lines().next().unwrap_or("").trim().to_owned();
    if token.is_empty() {
        return Err(Report::new(error()));
    }
    Ok(token)
}
