//! Generated from `schema/peers.schema.json` by the codegen example. Do not edit.

///The configuration as the sender has it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigWire {
    ///JSON document of the configuration schema.
    pub document: ::std::string::String,
    ///Version of the configuration.
    pub version: u64,
}
///News that two entry instances tell each other on every probe, in both directions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ExchangeWire {
    ///Version of the configuration that the sender has.
    pub config_version: u64,
    ///Backend servers newly known to be leaving.
    pub leaving: ::std::vec::Vec<LeavingWire>,
    ///News of entry instances; the sender first.
    pub members: ::std::vec::Vec<MemberWire>,
    ///Requests suspected of crashing backend servers.
    pub suspects: ::std::vec::Vec<SuspectWire>,
}
///Outcomes of the filings of an incarnation that stops.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HandOverWire {
    ///The incarnation that stops.
    pub incarnation: u64,
    ///Its filings.
    pub outcomes: ::std::vec::Vec<OutcomeWire>,
}
///A run of a backend server that is leaving.
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
    ///Raised by the member itself when it speaks.
    pub beat: u64,
    ///Address for callers, IP and port.
    pub callers: ::std::string::String,
    ///Failure domain.
    pub domain: ::std::string::String,
    ///Name of the instance.
    pub id: ::std::string::String,
    ///This run of it.
    pub incarnation: u64,
    ///Address for peers, IP and port.
    pub peers: ::std::string::String,
    pub status: MemberStatusWire,
}
///How a filing stands.
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
pub enum OutcomeStateWire {
    #[serde(rename = "may_have_run")]
    MayHaveRun,
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "answered_not_kept")]
    AnsweredNotKept,
}
impl ::std::fmt::Display for OutcomeStateWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::MayHaveRun => f.write_str("may_have_run"),
            Self::Answered => f.write_str("answered"),
            Self::AnsweredNotKept => f.write_str("answered_not_kept"),
        }
    }
}
impl ::std::str::FromStr for OutcomeStateWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "may_have_run" => Ok(Self::MayHaveRun),
            "answered" => Ok(Self::Answered),
            "answered_not_kept" => Ok(Self::AnsweredNotKept),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OutcomeStateWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OutcomeStateWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What is known of one filing.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OutcomeWire {
    ///Body of a kept answer, in base64.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body: ::std::option::Option<::std::string::String>,
    ///Content type of a kept answer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content_type: ::std::option::Option<::std::string::String>,
    ///Hash of method, path and body.
    pub fingerprint: u64,
    ///Idempotency key.
    pub key: ::std::string::String,
    pub state: OutcomeStateWire,
    ///Status of the answer, where there is one.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u16>,
}
///A request suspected of crashing the backend servers that run it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SuspectWire {
    ///Time since the last crash, in milliseconds.
    pub age_ms: u64,
    ///Crashes seen with it in flight.
    pub crashes: u32,
    ///Hash of method, path and body.
    pub fingerprint: u64,
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
