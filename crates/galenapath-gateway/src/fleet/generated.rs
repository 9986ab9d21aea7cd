//! Generated from `schema/fleet.schema.json` by the codegen example. Do not edit.

///A heartbeat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BeatWire {
    ///Incarnations that the sender finds silent.
    pub accused: ::std::vec::Vec<u64>,
    ///Requests a second that it can take with ease.
    pub capacity: u32,
    ///Version of the configuration in force.
    pub config_version: u64,
    ///Exclusive or of the incarnations that the sender believes in, its own included.
    pub digest: u64,
    ///Bits: 1 ready, 2 leaving, 4 watches the store, 8 the store answers, 16 the store does not answer, 32 serves callers, 64 sends requests beyond its failure domain.
    pub flags: u8,
    ///Incarnation of the sender.
    pub from: u64,
    ///Position of the list of backend servers.
    pub position: u64,
    ///Requests a second that callers send it.
    pub rate: u32,
}
///A backend server crashed while a request of the sender ran there.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashWire {
    ///Upper half of the request's fingerprint.
    pub request_high: u64,
    ///Lower half of it.
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
    #[serde(rename = "e")]
    E(EndWire),
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
impl ::std::convert::From<EndWire> for DatagramWire {
    fn from(value: EndWire) -> Self {
        Self::E(value)
    }
}
///The sender ends now.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndWire {
    pub from: u64,
}
///What the operator last said of a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EvacuationWire {
    pub domain: ::std::string::String,
    ///Whether its backend servers get nothing; false once it is restored.
    pub in_force: bool,
    pub revision: u64,
}
///A backend server failed requests of the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FailureWire {
    ///Hash of the server's identity.
    pub server: u32,
    ///Hundredths of a plain failure.
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
///Messages between gateway instances: datagrams, and the exchange by which an instance that is behind takes in the state.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetWire {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub datagram: ::std::option::Option<DatagramWire>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub pull: ::std::option::Option<PullWire>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub state: ::std::option::Option<StateWire>,
}
///An instance tells who it is and asks who is there.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HelloWire {
    pub from: FleetMemberWire,
}
///One backend server's rate limit.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitWire {
    ///Age of its word when this was sent.
    pub age_ms: u32,
    ///Whether it names a limit; false once it names none any more.
    pub is_named: bool,
    ///Requests a second that it takes from all instances together.
    pub per_second: f64,
    ///Hash of the server's identity.
    pub server: u64,
}
///A backend server's entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedServerWire {
    pub address: ::std::string::String,
    pub cold_ms: u32,
    pub domain: ::std::string::String,
    pub id: ::std::string::String,
    ///Time left for a vanished entry to come back; 0 for an entry that stands.
    pub lapses_ms: u32,
    pub leaving: bool,
    pub revision: u64,
    pub service: ::std::string::String,
    pub slots: u32,
    ///Unix milliseconds of the start of its process; 0 where it does not tell.
    #[serde(default)]
    pub started: u64,
}
///One backend server's load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadWire {
    ///Age of the report when it was sent.
    pub age_ms: u32,
    ///Percent of the usual; 0 when not told.
    pub pace: u32,
    pub running: u32,
    ///Hash of the server's identity.
    pub server: u32,
    pub slots: u32,
    pub waiting: u32,
}
///What the sender has just seen of backend servers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadsWire {
    pub crashes: ::std::vec::Vec<CrashWire>,
    pub failures: ::std::vec::Vec<FailureWire>,
    pub loads: ::std::vec::Vec<LoadWire>,
    ///Servers that have turned cold or are cold no more.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub warmth: ::std::vec::Vec<WarmthWire>,
}
///Who is there, as far as one datagram holds it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MembersWire {
    pub members: ::std::vec::Vec<FleetMemberWire>,
}
///What backend servers have said of themselves in their answers, beside their loads.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NoticesWire {
    ///Hashes of the identities of those that leave.
    pub leaving: ::std::vec::Vec<u64>,
    pub limits: ::std::vec::Vec<LimitWire>,
}
///What the asking instance has.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PullWire {
    pub config_version: u64,
    pub position: u64,
    ///Whether a newer configuration is to be sent; the list is sent in any case.
    pub wants_config: bool,
}
///A removed entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RemovalWire {
    pub id: ::std::string::String,
    pub revision: u64,
}
///What the asking instance lacks.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StateWire {
    ///The operator's configuration as it stands in the store, deflated, in base64; empty where the asker has it or did not ask for it.
    pub config: ::std::string::String,
    ///Nothing else is sent: too many ask at once.
    pub is_busy: bool,
    ///Whether `puts` is the whole list.
    pub is_whole: bool,
    pub position: u64,
    ///Short forms of the identities of all servers listed; empty where `puts` and `removals` say all.
    pub present: ::std::vec::Vec<u32>,
    pub puts: ::std::vec::Vec<ListedServerWire>,
    pub removals: ::std::vec::Vec<RemovalWire>,
    ///What is known of evacuated failure domains. Fields go by place in the order of their names, and this one, which the former release does not know, is the last.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdrawn: ::std::vec::Vec<EvacuationWire>,
}
///How much longer a backend server stays cold.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WarmthWire {
    ///0 for one that is cold no more.
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
