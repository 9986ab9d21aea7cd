//! Starts and runs an entry instance.

use crate::EntryError;
use crate::control::{self, ControlPlane, Wiring};
use crate::data::{self, DataPlane};
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::signals::StopSignals;
use error_stack::{Report, ResultExt};
use galenapath_protocol::Incarnation;
use galenapath_settings::Settings;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;

/// Capacity of the channels between the data thread and the control thread, in messages.
const CHANNEL_CAPACITY: usize = 4_096;

/// Runs an entry instance until it has received a stop signal and has drained.
///
/// # Errors
///
/// If an address or the token file cannot be used, or a thread or runtime cannot be started. No
/// request has been served in that case.
pub fn run(settings: Settings) -> Result<(), Report<EntryError>> {
    abort_on_panic();
    let token = read_token(&settings.token_file)?;
    let callers = listen("callers", settings.listen.callers)?;
    let peers = listen("peers", settings.listen.peers)?;
    let operators = listen("operators", settings.listen.operators)?;
    let stops = StopSignals::install()?;
    let plane =
        galenapath_peers::start(peers).change_context(EntryError::Start("peer communication"))?;
    let caller_address = local_address(&callers)?;
    log::info!(
        callers:% = caller_address,
        peers:% = plane.address,
        operators:% = local_address(&operators)?;
        "listening"
    );
    let metrics = Metrics::new().change_context(EntryError::Start("the metrics"))?;
    let incarnation = Incarnation(rand::random());
    let shared = Shared::new(settings, incarnation, caller_address, metrics, stops.clone());
    let (events_tx, events) = flume::bounded(CHANNEL_CAPACITY);
    let (commands, commands_rx) = flume::bounded(CHANNEL_CAPACITY);
    let wiring = Wiring {
        events,
        commands,
        calls: plane.calls,
        requests: plane.requests,
        stops,
        peer_address: plane.address,
        token,
    };
    start_data(Arc::clone(&shared), callers, events_tx, commands_rx)?;
    run_control(shared, operators, wiring)
}

/// Aborts the process when any thread panics. An instance that has lost a thread could still answer
/// probes without serving any requests, whereas callers and peers detect a dead process within
/// seconds.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}

/// Starts the data thread, which runs until the process ends.
fn start_data(
    shared: Arc<Shared>,
    listener: TcpListener,
    events: flume::Sender<crate::shared::ControlEvent>,
    commands: flume::Receiver<data::DataCommand>,
) -> Result<(), Report<EntryError>> {
    let run = move || {
        let result = block_on(async {
            StopSignals::receive_here()?;
            let listener = to_monoio(listener)?;
            data::serve(DataPlane::new(shared, events), listener, commands).await;
            Ok(())
        });
        if let Err(e) = result {
            log::error!(error:? = e; "cannot start serving callers");
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

/// Runs a future on a runtime with the epoll driver, regardless of which other drivers are compiled
/// in.
fn block_on<T>(
    future: impl Future<Output = Result<T, Report<EntryError>>>,
) -> Result<T, Report<EntryError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(EntryError::Start("a runtime"))?;
    runtime.block_on(future)
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
