//! The gateway as a process: its behaviour towards callers, backend servers and the store.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway/changes.rs"]
mod changes;
#[path = "gateway/control.rs"]
mod control;
#[path = "gateway/crashes.rs"]
mod crashes;
#[path = "gateway/crashes_abandoned.rs"]
mod crashes_abandoned;
#[path = "gateway/cut_answers.rs"]
mod cut_answers;
#[path = "gateway/endless.rs"]
mod endless;
#[path = "gateway/evacuation.rs"]
mod evacuation;
#[path = "gateway/fleet.rs"]
mod fleet;
#[path = "gateway/forwarding.rs"]
mod forwarding;
#[path = "gateway/isolation.rs"]
mod isolation;
#[path = "gateway/leaving.rs"]
mod leaving;
#[path = "gateway/limits.rs"]
mod limits;
#[path = "gateway/lost_fleet.rs"]
mod lost_fleet;
#[path = "gateway/many_answers.rs"]
mod many_answers;
#[path = "gateway/odd_entries.rs"]
mod odd_entries;
#[path = "gateway/paths.rs"]
mod paths;
#[path = "gateway/paths_in_flight.rs"]
mod paths_in_flight;
#[path = "gateway/pauses.rs"]
mod pauses;
#[path = "gateway/peer_ends.rs"]
mod peer_ends;
#[path = "gateway/pipelining.rs"]
mod pipelining;
#[path = "gateway/requests.rs"]
mod requests;
#[path = "gateway/restored_store.rs"]
mod restored_store;
#[path = "gateway/sent_ahead.rs"]
mod sent_ahead;
#[path = "gateway/servers.rs"]
mod servers;
#[path = "gateway/slow_callers.rs"]
mod slow_callers;
#[path = "gateway/splits.rs"]
mod splits;
#[path = "gateway/statuses.rs"]
mod statuses;
#[path = "gateway/stop_lines.rs"]
mod stop_lines;
#[path = "gateway/stops.rs"]
mod stops;
#[path = "gateway/stops_close.rs"]
mod stops_close;
#[path = "gateway/stops_delivery.rs"]
mod stops_delivery;
#[path = "gateway/stops_forwarding.rs"]
mod stops_forwarding;
#[path = "gateway/stops_grace.rs"]
mod stops_grace;
#[path = "gateway/stops_half_close.rs"]
mod stops_half_close;
#[path = "gateway/store.rs"]
mod store;
#[path = "gateway/store_takeover.rs"]
mod store_takeover;
#[path = "gateway/support.rs"]
mod support;
#[path = "gateway/traces.rs"]
mod traces;
#[path = "gateway/warming.rs"]
mod warming;
#[path = "gateway/workspaces.rs"]
mod workspaces;
