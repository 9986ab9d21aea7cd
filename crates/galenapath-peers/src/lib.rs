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
pub use convert::{decode_hand_over, decode_suspects, encode_hand_over, encode_suspects};
pub use error::{InvalidMessage, PeerError};
pub use generated::{
    BackendWire, BackendsWire, ClearedWire, ConfigWire, CrashWire, ExchangeWire, HandOverWire,
    HeaderWire, LeavingWire, MemberStatusWire, MemberWire, OutcomeWire,
};
pub use plane::{PeerPlane, start};
