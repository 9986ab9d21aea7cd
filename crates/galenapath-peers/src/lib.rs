//! How entry instances talk to each other: `tarpc` over TCP on a thread of its own.
//!
//! `tarpc` needs a `tokio` runtime for its timers, so the plane has a thread with a current-thread
//! runtime; the rest of the instance reaches it through channels and stays on `monoio`.

mod call;
mod codec;
mod convert;
mod error;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
mod plane;
mod pool;
mod rpc;
mod server;

pub use call::{PeerCall, PeerRequest};
pub use convert::{crashes_and_cleared, hand_over, outcomes, suspects};
pub use error::{BadNews, PeerError};
pub use generated::{
    BackendWire, BackendsWire, ClearedWire, ConfigWire, CrashWire, ExchangeWire, HandOverWire,
    HeaderWire, LeavingWire, MemberStatusWire, MemberWire, OutcomeWire,
};
pub use plane::{PeerPlane, start};
