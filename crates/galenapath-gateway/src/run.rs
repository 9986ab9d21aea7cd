//! Starting and running a gateway instance.

use crate::dialect::Dialect;
use crate::instance::Instance;
use crate::metrics::Metrics;
use crate::reload::{self, ReadSettings};
use crate::stop::Signals;
use crate::{
    GatewayError, caller, control, crash, fleet, notices, probe, quota, reach, sharing, stop,
    usage, watch,
};
use error_stack::{Report, ResultExt};
use futures::future::{Either, select};
use galenapath_platform::KeyStore;
use galenapath_settings::GatewaySettings;
use monoio::net::TcpStream;
use monoio::net::udp::UdpSocket;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Capacity of the epoll event buffer. The runtime's default takes 48 KiB.
const EVENT_CAPACITY: u32 = 256;

/// Sockets that the instance listens on.
struct Sockets {
    callers: TcpListener,
    readiness: TcpListener,
    addresses: TcpListener,
    peers: TcpListener,
    datagrams: std::net::UdpSocket,
    metrics: Option<TcpListener>,
}

/// Runs an instance until it is asked to stop and has drained. `store` is the client of the
/// platform's key-value service; `read_settings` reads the settings again when they may have
/// changed.
///
/// # Errors
///
/// If a listen address or the runtime cannot be set up. No requests have been served by then.
pub fn run<S: KeyStore + 'static>(
    settings: GatewaySettings,
    dialect: Box<dyn Dialect>,
    store: S,
    read_settings: ReadSettings,
) -> Result<(), Report<GatewayError>> {
    let signals = Signals::install()?;
    let sockets = listen(&settings)?;
    let metrics = Metrics::new().change_context(GatewayError::Start("the metrics"))?;
    let out = sockets.datagrams.try_clone();
    let out = out.change_context(GatewayError::Start("the datagram socket"))?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .with_entries(EVENT_CAPACITY)
        .enable_timer()
        .build()
        .change_context(GatewayError::Start("a runtime"))?;
    runtime.block_on(async {
        let instance = Instance::new(settings, dialect, metrics, out, signals.clone());
        log_start(&instance);
        start(&instance, sockets, store)?;
        monoio::spawn(reload::run(Rc::clone(&instance), signals.clone(), read_settings));
        stop::run(&instance, &signals).await;
        Ok(())
    })
}

fn log_start(instance: &Instance) {
    let settings = instance.settings();
    let listen = &settings.listen;
    log::info!(
        name = settings.name.0.as_str(),
        domain:% = settings.domain,
        incarnation:% = instance.incarnation,
        callers:% = listen.callers,
        peers:% = listen.peers,
        platform:% = settings.platform,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
}

fn start<S: KeyStore + 'static>(
    instance: &Rc<Instance>,
    sockets: Sockets,
    store: S,
) -> Result<(), Report<GatewayError>> {
    let backlog = sockets.callers.try_clone().change_context(GatewayError::Start("a listener"))?;
    let callers = to_monoio(sockets.callers)?;
    for listener in [sockets.readiness, sockets.addresses].into_iter().chain(sockets.metrics) {
        monoio::spawn(control::serve(Rc::clone(instance), to_monoio(listener)?));
    }
    let datagrams = UdpSocket::from_std(sockets.datagrams)
        .change_context(GatewayError::Start("the datagram socket"))?;
    monoio::spawn(accept(Rc::clone(instance), callers, backlog));
    monoio::spawn(fleet::serve_peers(Rc::clone(instance), to_monoio(sockets.peers)?));
    monoio::spawn(fleet::receive(Rc::clone(instance), datagrams));
    monoio::spawn(fleet::join(Rc::clone(instance)));
    monoio::spawn(fleet::run(Rc::clone(instance)));
    monoio::spawn(sharing::run(Rc::clone(instance)));
    monoio::spawn(probe::run(Rc::clone(instance)));
    monoio::spawn(reach::run(Rc::clone(instance)));
    monoio::spawn(notices::run(Rc::clone(instance)));
    monoio::spawn(crash::run(Rc::clone(instance)));
    monoio::spawn(crash::follow_abandoned(Rc::clone(instance)));
    monoio::spawn(quota::run(Rc::clone(instance)));
    monoio::spawn(usage::run(Rc::clone(instance)));
    monoio::spawn(watch::run(Rc::clone(instance), store));
    Ok(())
}

/// Accepts connections from callers until the instance closes.
async fn accept(instance: Rc<Instance>, listener: monoio::net::TcpListener, backlog: TcpListener) {
    loop {
        let accepting = pin!(listener.accept());
        match select(accepting, instance.stop.closing()).await {
            Either::Left((Ok((io, _)), _)) => serve(&instance, io),
            Either::Left((Err(e), _)) => {
                log::warn!(error:% = e; "failed to accept a connection from a caller");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => break,
        }
    }
    accept_backlog(&instance, &backlog);
    drop((listener, backlog));
    stop::log_listener_closed(&instance);
}

/// Accepts the connections that have been established already. The kernel resets those that are
/// not accepted when the listener closes.
fn accept_backlog(instance: &Rc<Instance>, backlog: &TcpListener) {
    for _ in 0..room(instance) {
        let Ok((io, _)) = backlog.accept() else { return };
        match io.set_nonblocking(true).and_then(|()| TcpStream::from_std(io)) {
            Ok(io) => serve(instance, io),
            Err(e) => log::warn!(error:% = e; "failed to accept a connection from a caller"),
        }
    }
}

fn serve(instance: &Rc<Instance>, io: TcpStream) {
    if room(instance) > 0 {
        monoio::spawn(caller::serve(Rc::clone(instance), io));
    } else {
        log::warn!("connection from a caller rejected: too many connections");
    }
}

/// How many more connections from callers may be open.
fn room(instance: &Instance) -> usize {
    let open = usize::try_from(instance.metrics.callers.get()).unwrap_or(0);
    instance.settings().caller_connections.saturating_sub(open)
}

fn listen(settings: &GatewaySettings) -> Result<Sockets, Report<GatewayError>> {
    let at = &settings.listen;
    let failed = GatewayError::Listen { key: "peers", address: at.peers };
    let datagrams = std::net::UdpSocket::bind(at.peers).change_context(failed)?;
    datagrams.set_nonblocking(true).change_context(GatewayError::Start("the datagram socket"))?;
    Ok(Sockets {
        callers: bind("callers", at.callers)?,
        readiness: bind("readiness", at.readiness)?,
        addresses: bind("addresses", at.addresses)?,
        peers: bind("peers", at.peers)?,
        datagrams,
        metrics: at.metrics.and_then(listen_for_metrics),
    })
}

/// Metrics are optional: if their address is in use, the instance serves without them.
fn listen_for_metrics(address: SocketAddr) -> Option<TcpListener> {
    bind("metrics", address)
        .inspect_err(|e| log::warn!(error:% = e; "cannot listen for metrics; serving without them"))
        .ok()
}

fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, Report<GatewayError>> {
    TcpListener::bind(address).change_context(GatewayError::Listen { key, address })
}

fn to_monoio(listener: TcpListener) -> Result<monoio::net::TcpListener, Report<GatewayError>> {
    const WHAT: GatewayError = GatewayError::Start("a listener");
    listener.set_nonblocking(true).change_context(WHAT)?;
    monoio::net::TcpListener::from_std(listener).change_context(WHAT)
}
