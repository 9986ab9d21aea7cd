//! Generated from `schema/fleet.schema.json` by the codegen example. Do not edit.

///A heartbeat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BeatWire {
    ///Incarnations from which the sender no longer receives heartbeats.
    pub accused: ::std::vec::Vec<u64>,
    ///Requests a second that the sender can serve without overload.
    pub capacity: u32,
    ///Version of the configuration in force.
    pub config_version: u64,
    ///Exclusive or of the incarnations that the sender considers up, its own included.
    pub digest: u64,
    ///Bits: 1 ready, 2 leaving, 4 watches the store, 8 the store answers, 16 the store does not answer, 32 serves callers, 64 sends requests beyond its failure domain, 128 has lost the paths to most backend servers of a service.
    pub flags: u8,
    ///Incarnation of the sender.
    pub from: u64,
    ///Position of the list of backend servers.
    pub position: u64,
    ///Requests a second that the sender receives from callers.
    pub rate: u32,
    ///Epoch of the store that `position` is of; 0 if the store does not state one. Fields are encoded by position in the order of their names; one that an earlier release does not know has to sort behind all that it knows.
    #[serde(default)]
    pub store_epoch: u64,
    ///Milliseconds since the store last answered an instance that follows it, as far as the sender knows; at least 1, or 0 if it knows of no answer.
    #[serde(default)]
    pub store_seen_ms: u32,
    ///Whether the sender asks for a heartbeat.
    #[serde(default)]
    pub wants_answer: bool,
}
///A backend server crashed while a request of the sender ran there.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashWire {
    ///Upper half of the request's fingerprint.
    pub request_high: u64,
    ///Lower half of the request's fingerprint.
    pub request_low: u64,
    ///Hash of the server's identity.
    pub server: u64,
}
///One datagram.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DatagramWire {
    #[serde(rename = "b")]
    B(BeatWire),
    #[serde(rename = "h")]
    H(HelloWire),
    #[serde(rename = "m")]
    M(MembersWire),
    #[serde(rename = "l")]
    L(LoadsWire),
    #[serde(rename = "n")]
    N(NoticesWire),
    #[serde(rename = "q")]
    Q(UsagesWire),
    #[serde(rename = "e")]
    E(EndWire),
    #[serde(rename = "p")]
    P(PathQueryWire),
    #[serde(rename = "r")]
    R(PathReportWire),
}
impl ::std::convert::From<BeatWire> for DatagramWire {
    fn from(value: BeatWire) -> Self {
        Self::B(value)
    }
}
impl ::std::convert::From<HelloWire> for DatagramWire {
    fn from(value: HelloWire) -> Self {
        Self::H(value)
    }
}
impl ::std::convert::From<MembersWire> for DatagramWire {
    fn from(value: MembersWire) -> Self {
        Self::M(value)
    }
}
impl ::std::convert::From<LoadsWire> for DatagramWire {
    fn from(value: LoadsWire) -> Self {
        Self::L(value)
    }
}
impl ::std::convert::From<NoticesWire> for DatagramWire {
    fn from(value: NoticesWire) -> Self {
        Self::N(value)
    }
}
impl ::std::convert::From<UsagesWire> for DatagramWire {
    fn from(value: UsagesWire) -> Self {
        Self::Q(value)
    }
}
impl ::std::convert::From<EndWire> for DatagramWire {
    fn from(value: EndWire) -> Self {
        Self::E(value)
    }
}
impl ::std::convert::From<PathQueryWire> for DatagramWire {
    fn from(value: PathQueryWire) -> Self {
        Self::P(value)
    }
}
impl ::std::convert::From<PathReportWire> for DatagramWire {
    fn from(value: PathReportWire) -> Self {
        Self::R(value)
    }
}
///The sender is shutting down now.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndWire {
    pub from: u64,
}
///The operator's latest decision on evacuating a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EvacuationWire {
    pub domain: ::std::string::String,
    ///Whether the failure domain is evacuated, so that its backend servers get no requests; false once it is restored.
    pub in_force: bool,
    pub revision: u64,
}
///A backend server failed requests of the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FailureWire {
    ///Hash of the server's identity.
    pub server: u32,
    ///Weight of the failures in hundredths of an ordinary failure.
    pub weight: u32,
}
///One instance.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetMemberWire {
    pub callers: ::std::string::String,
    pub domain: ::std::string::String,
    pub incarnation: u64,
    pub name: ::std::string::String,
    pub peers: ::std::string::String,
}
///Messages between gateway instances: datagrams, and the exchange by which an instance with outdated state fetches the current one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetWire {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub datagram: ::std::option::Option<DatagramWire>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub forward: ::std::option::Option<ForwardWire>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub forward_result: ::std::option::Option<ForwardResultWire>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub pull: ::std::option::Option<PullWire>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub state: ::std::option::Option<StateWire>,
}
///What goes with the answer to a forwarded request, in a header.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ForwardResultWire {
    ///Whether the answer is a backend server's, not the instance's own.
    pub is_answered: bool,
    ///Whether the request may have run.
    pub may_have_run: bool,
    ///How often the request has been sent to backend servers, the sender's sends included.
    pub sends: u32,
}
///What goes with a request that an instance forwards to another one, in a header.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ForwardWire {
    ///Incarnation of the sender.
    pub from: u64,
    ///Whether the caller has sent the request before.
    pub is_repeated: bool,
    ///Time within which the request has to be answered.
    pub left_ms: u32,
    ///Name of the request's route.
    pub route: ::std::string::String,
    ///How often the request has been sent to backend servers already.
    pub sends: u32,
    ///The service that the sender has selected for the request.
    pub service: ::std::string::String,
    ///Time until the latency target; 0 if that has passed.
    pub target_ms: u32,
    ///Incarnation of the receiver.
    pub to: u64,
    ///Workspace that the request belongs to; empty if it needs none.
    pub workspace: ::std::string::String,
}
///Introduces the sender and requests the list of known instances.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HelloWire {
    pub from: FleetMemberWire,
}
///One backend server's rate limit.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitWire {
    ///Age of the server's statement when this message was sent.
    pub age_ms: u32,
    ///Whether the server states a limit; false once it no longer states one.
    pub is_named: bool,
    ///Requests a second that the server accepts from all instances together.
    pub per_second: f64,
    ///Hash of the server's identity.
    pub server: u64,
}
///Entry of a backend server in the list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedServerWire {
    pub address: ::std::string::String,
    pub cold_ms: u32,
    pub domain: ::std::string::String,
    pub id: ::std::string::String,
    ///Time in milliseconds until an entry missing from the store is dropped; 0 for an entry that is present.
    pub lapses_ms: u32,
    pub leaving: bool,
    pub revision: u64,
    pub service: ::std::string::String,
    pub slots: u32,
    ///Start of the server's process in Unix milliseconds; 0 if the server does not report it.
    #[serde(default)]
    pub started: u64,
}
///One backend server's load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadWire {
    ///Age of the report when it was sent.
    pub age_ms: u32,
    ///Work time in percent of the usual; 0 if not reported.
    pub pace: u32,
    pub running: u32,
    ///Hash of the server's identity.
    pub server: u32,
    pub slots: u32,
    pub waiting: u32,
}
///Recent observations of backend servers by the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadsWire {
    pub crashes: ::std::vec::Vec<CrashWire>,
    pub failures: ::std::vec::Vec<FailureWire>,
    pub loads: ::std::vec::Vec<LoadWire>,
    ///Servers that have become cold or are no longer cold.
    #[serde(default)]
    pub warmth: ::std::vec::Vec<WarmthWire>,
}
///The instances that the sender knows, as many as fit into one datagram.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MembersWire {
    pub members: ::std::vec::Vec<FleetMemberWire>,
    ///Incarnations of those members that the store does not answer. Fields are encoded by position in the order of their names; this field is unknown to the previous release and therefore has to sort last.
    #[serde(default)]
    pub turned_away: ::std::vec::Vec<u64>,
}
///What backend servers have reported about themselves in their answers besides load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NoticesWire {
    ///Hashes of the identities of the servers that are leaving.
    pub leaving: ::std::vec::Vec<u64>,
    pub limits: ::std::vec::Vec<LimitWire>,
    ///Requests that crash servers or do not. Fields are encoded by position in the order of their names; this field is unknown to the previous release and therefore has to sort last.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub requests: ::std::option::Option<RequestsWire>,
}
///Asks whether the receiver reaches backend servers that do not answer the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PathQueryWire {
    ///Incarnation of the sender.
    pub from: u64,
    ///Hashes of the servers' identities.
    pub servers: ::std::vec::Vec<u32>,
}
///Which backend servers the sender reaches on new connections.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PathReportWire {
    ///Incarnation of the sender.
    pub from: u64,
    ///Whether other backend servers answer the sender, so that those which it does not reach have failed.
    pub has_paths: bool,
    pub reached: ::std::vec::Vec<ReachedWire>,
    ///Hashes of the identities of the servers that do not answer the sender.
    pub unreached: ::std::vec::Vec<u32>,
}
///State that the requesting instance already has.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PullWire {
    pub config_version: u64,
    pub position: u64,
    ///Whether to send a newer configuration; the list of backend servers is sent in any case.
    pub wants_config: bool,
    ///Epoch of the store that `position` and all revisions are of. Not stated if the store does not state one. This field is unknown to the previous release and therefore has to sort last.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub within_epoch: ::std::option::Option<u64>,
}
///A backend server that the sender reached on a new connection.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReachedWire {
    ///Time since then when this message was sent.
    pub age_ms: u32,
    ///Hash of the server's identity.
    pub server: u32,
}
///An entry that was removed from the list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RemovalWire {
    pub id: ::std::string::String,
    pub revision: u64,
}
///A request and the age of an event: its last crash, or its answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestWire {
    ///Age of the event when this message was sent.
    pub age_ms: u32,
    ///Upper half of the request's fingerprint.
    pub request_high: u64,
    ///Lower half of the request's fingerprint.
    pub request_low: u64,
}
///What instances know of requests that may crash backend servers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestsWire {
    ///Requests known to crash backend servers, with the time since the last crash.
    pub rejected: ::std::vec::Vec<RequestWire>,
    ///Requests that the receiver takes for the cause of crashes, with the time since a server answered them.
    pub served: ::std::vec::Vec<RequestWire>,
}
///State that the requesting instance lacks.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StateWire {
    ///The operator's configuration as stored, deflated, in base64; empty if the requesting instance has it or did not request it.
    pub config: ::std::string::String,
    ///Whether the sender is answering too many requests for state at once; if so, it sends no state.
    pub is_busy: bool,
    ///Whether `puts` is the complete list of backend servers.
    pub is_whole: bool,
    pub position: u64,
    ///Short forms of the identities of all listed servers; empty if `puts` and `removals` describe the list completely.
    pub present: ::std::vec::Vec<u32>,
    pub puts: ::std::vec::Vec<ListedServerWire>,
    pub removals: ::std::vec::Vec<RemovalWire>,
    ///Known evacuations of failure domains. Fields are encoded by position in the order of their names; it sorts before the fields that later releases have added.
    #[serde(default)]
    pub withdrawn: ::std::vec::Vec<EvacuationWire>,
    ///Epoch of the store that `position` and all revisions are of. Not stated if the store does not state one. This field is unknown to the previous release and therefore has to sort last.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub within_epoch: ::std::option::Option<u64>,
}
///One workspace at the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UsageWire {
    ///Tenths of a request a second that the workspace sends to the sender.
    pub demand: u32,
    ///Tenths of a request that may be granted now by what the sender knows.
    pub level: i64,
    ///Requests granted since the sender started, less those that did not run.
    pub used: i64,
    ///Hash of the workspace's name.
    pub workspace: u64,
}
///What the sender has charged to the quotas of workspaces.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UsagesWire {
    ///Incarnation of the sender.
    pub from: u64,
    pub notes: ::std::vec::Vec<UsageWire>,
}
///Remaining time that a backend server stays cold.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WarmthWire {
    ///Remaining time in milliseconds; 0 for a server that is no longer cold.
    pub left_ms: u32,
    ///Hash of the server's identity.
    pub server: u32,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
