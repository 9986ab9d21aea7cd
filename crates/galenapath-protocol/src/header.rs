//! Names of the HTTP headers that galenapath reads and writes.

/// Idempotency key of a filing, set by the caller.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Verdict on the request, set on every answer: `answered`, `not-run` or `may-have-run`.
pub const VERDICT_HEADER: &str = "galenapath-verdict";
/// Identifier of the request, set on every answer and passed to the backend server.
pub const REQUEST_ID_HEADER: &str = "galenapath-request-id";
/// Workspace that the caller belongs to; absent means the workspace `default`.
pub const WORKSPACE_HEADER: &str = "galenapath-workspace";
/// Time left for the request in milliseconds, carried along call chains.
pub const DEADLINE_HEADER: &str = "galenapath-deadline-ms";
/// Number of attempts of a call over the whole call chain. A request carries the number including
/// the running attempt, an answer the maximum of all levels below. Absent means one.
pub const ATTEMPT_HEADER: &str = "galenapath-attempt";
/// Number of entry instances that the request has passed through, which limits forwarding.
pub const HOPS_HEADER: &str = "galenapath-hops";
/// Load report that a backend server attaches to its answers; never passed to callers.
pub const REPORT_HEADER: &str = "galenapath-report";
/// Backend server that answered.
pub const BACKEND_HEADER: &str = "galenapath-backend";
