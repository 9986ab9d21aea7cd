//! Generated from `schema/peers.schema.json` by the codegen example. Do not edit.

///A backend server as the platform lists it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BackendWire {
    ///Address that it listens on, IP and port.
    pub address: ::std::string::String,
    ///Failure domain.
    pub domain: ::std::string::String,
    ///Name of the backend server.
    pub id: ::std::string::String,
    ///Whether it is leaving and takes no new requests.
    pub leaving: bool,
    ///Service that it belongs to.
    pub service: ::std::string::String,
    ///Start of the run, milliseconds since the Unix epoch.
    pub started: u64,
}
///Changes that the requesting instance's list of backend servers lacks; none if `to` is not ahead of its position.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BackendsWire {
    ///Position that the changes start from; zero if `put` is the complete list.
    pub from: u64,
    ///Backend servers that were added or changed.
    pub put: ::std::vec::Vec<BackendWire>,
    ///Names of the backend servers that were removed.
    pub removed: ::std::vec::Vec<::std::string::String>,
    ///Position after the changes.
    pub to: u64,
}
///A crash suspect that was answered completely.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClearedWire {
    ///Time since the answer, in milliseconds.
    pub age_ms: u64,
    ///Fingerprint of the request, in hexadecimal.
    pub fingerprint: ::std::string::String,
}
///The sender's configuration: the records that the requesting instance lacks, or the complete configuration if it is too far behind.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigWire {
    ///JSON document of the head of the chain of changes.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub head: ::std::option::Option<::std::string::String>,
    ///JSON document of the records after the requesting instance's version; if present, the other fields are null.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub records: ::std::option::Option<::std::string::String>,
    ///JSON document of the configuration at that head.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub snapshot: ::std::option::Option<::std::string::String>,
}
///A backend server that crashed and the requests that it was running.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CrashWire {
    ///Time since the crash, in milliseconds.
    pub age_ms: u64,
    ///Hash of the name of the backend server.
    pub backend: u64,
    ///Fingerprints of the requests, in hexadecimal.
    pub fingerprints: ::std::vec::Vec<::std::string::String>,
}
///Updates that two entry instances exchange on every probe, in both directions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ExchangeWire {
    ///Crash suspects that have been answered since.
    pub cleared: ::std::vec::Vec<ClearedWire>,
    ///Version of the configuration that the sender has.
    pub config_version: u64,
    ///Crashes of backend servers.
    pub crashes: ::std::vec::Vec<CrashWire>,
    ///Backend servers newly known to be leaving.
    pub leaving: ::std::vec::Vec<LeavingWire>,
    ///Position of the list of backend servers that the sender has.
    #[serde(default)]
    pub list_position: u64,
    ///Status of entry instances; the sender comes first.
    pub members: ::std::vec::Vec<MemberWire>,
}
///Outcomes of the filings of an incarnation that is shutting down.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HandOverWire {
    ///The incarnation that is shutting down.
    pub incarnation: u64,
    ///Outcomes of its filings.
    pub outcomes: ::std::vec::Vec<OutcomeWire>,
}
///A header of an answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HeaderWire {
    ///Name.
    pub name: ::std::string::String,
    ///Value.
    pub value: ::std::string::String,
}
///A process run of a backend server that is leaving.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeavingWire {
    ///Name of the backend server.
    pub backend: ::std::string::String,
    ///Start of the run, milliseconds since the Unix epoch.
    pub started: u64,
}
///Status of a member.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MemberStatusWire {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for MemberStatusWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Suspect => f.write_str("suspect"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for MemberStatusWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "suspect" => Ok(Self::Suspect),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MemberStatusWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MemberStatusWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One incarnation of an entry instance.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberWire {
    ///Version of the status, raised only by the member itself when it changes or refutes the status.
    pub beat: u64,
    ///Address for callers, IP and port.
    pub callers: ::std::string::String,
    ///Failure domain.
    pub domain: ::std::string::String,
    ///Name of the instance.
    pub id: ::std::string::String,
    ///Incarnation of the instance.
    pub incarnation: u64,
    ///Address for peers, IP and port.
    pub peers: ::std::string::String,
    pub status: MemberStatusWire,
}
///The known outcome of one filing.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OutcomeWire {
    ///Body of a stored answer, in hexadecimal; null if only the status is known.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub body: ::std::option::Option<::std::string::String>,
    ///Fingerprint of the request, in hexadecimal.
    pub fingerprint: ::std::string::String,
    ///Headers of a stored answer.
    pub headers: ::std::vec::Vec<HeaderWire>,
    ///Identity of the idempotency key, in hexadecimal.
    pub key: ::std::string::String,
    ///Status of the answer.
    pub status: u16,
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
