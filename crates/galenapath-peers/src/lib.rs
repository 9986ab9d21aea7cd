//! Remote procedure calls between entry instances: `tarpc` over TCP on a separate thread.
//!
//! `tarpc` needs a `tokio` runtime for its timers, so the peer plane runs a current-thread runtime
//! on its own thread. The rest of the instance stays on `monoio` and reaches it through channels.

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
