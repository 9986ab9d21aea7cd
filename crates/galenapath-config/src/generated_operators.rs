//! Generated from `schema/operators.schema.json` by the codegen example. Do not edit.

///Answer of `POST /v1/changes`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceptedWire {
    ///Number of instances that have confirmed it, this one included.
    pub known_by: u32,
    ///Version that the change made.
    pub version: u64,
}
///Answer of `GET /v1/audit?after=VERSION`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditWire {
    ///False where more records follow the last one here.
    pub complete: bool,
    ///Records after VERSION, oldest first.
    pub records: ::std::vec::Vec<crate::wire::ChangeRecordWire>,
    ///Newest version that the instance knows.
    pub version: u64,
}
///Answer of `GET /v1/classes`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassesWire {
    pub classes: ::std::vec::Vec<crate::wire::ClassWire>,
    ///Last change of each class, including removed classes.
    pub marks: ::std::vec::Vec<crate::wire::MarkWire>,
    ///Version of the configuration.
    pub version: u64,
}
///Kind of an error.
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
pub enum ErrorCodeWire {
    #[serde(rename = "invalid")]
    Invalid,
    #[serde(rename = "unauthorized")]
    Unauthorized,
    #[serde(rename = "not_found")]
    NotFound,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "unavailable")]
    Unavailable,
    #[serde(rename = "store_behind")]
    StoreBehind,
}
impl ::std::fmt::Display for ErrorCodeWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Invalid => f.write_str("invalid"),
            Self::Unauthorized => f.write_str("unauthorized"),
            Self::NotFound => f.write_str("not_found"),
            Self::Conflict => f.write_str("conflict"),
            Self::Unavailable => f.write_str("unavailable"),
            Self::StoreBehind => f.write_str("store_behind"),
        }
    }
}
impl ::std::str::FromStr for ErrorCodeWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "invalid" => Ok(Self::Invalid),
            "unauthorized" => Ok(Self::Unauthorized),
            "not_found" => Ok(Self::NotFound),
            "conflict" => Ok(Self::Conflict),
            "unavailable" => Ok(Self::Unavailable),
            "store_behind" => Ok(Self::StoreBehind),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorCodeWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorCodeWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Answer to a call that was rejected.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ErrorWire {
    pub code: ErrorCodeWire,
    ///What is wrong and what to do.
    pub message: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub newer: ::std::option::Option<crate::wire::MarkWire>,
    pub verdict: VerdictWire,
}
///Answer of `GET /v1/requests/ID`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ExplainWire {
    ///Backend servers tried, in order.
    pub backends: ::std::vec::Vec<::std::string::String>,
    ///Class of the request.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub class: ::std::option::Option<::std::string::String>,
    ///Identifier of the request.
    pub id: ::std::string::String,
    ///Time in the queue, in microseconds.
    pub queued_us: u64,
    ///HTTP status of the answer.
    pub status: u16,
    ///Time from the request's head to the end of the answer, in microseconds.
    pub total_us: u64,
    ///Verdict of the answer.
    pub verdict: ::std::string::String,
    ///Reason for the verdict.
    pub why: ::std::string::String,
    ///Workspace of the caller.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspace: ::std::option::Option<::std::string::String>,
}
///State of an instance.
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
pub enum InstanceStateWire {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "serving")]
    Serving,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for InstanceStateWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Starting => f.write_str("starting"),
            Self::Serving => f.write_str("serving"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for InstanceStateWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "starting" => Ok(Self::Starting),
            "serving" => Ok(Self::Serving),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceStateWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceStateWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The instance's view of a peer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerStatusWire {
    ///Time since that report, in milliseconds.
    pub age_ms: u64,
    ///Name of the peer.
    pub name: ::std::string::String,
    ///Configuration version that the peer last reported.
    pub version: u64,
}
///Answer of `GET /v1/status`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StatusWire {
    ///Its failure domain.
    pub domain: ::std::string::String,
    ///Its incarnation.
    pub incarnation: ::std::string::String,
    ///Name of the instance.
    pub instance: ::std::string::String,
    pub peers: ::std::vec::Vec<PeerStatusWire>,
    pub state: InstanceStateWire,
    pub store: StoreStatusWire,
    ///Version of the configuration in force.
    pub version: u64,
}
///The instance's view of the platform's store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreStatusWire {
    ///Calls that failed since the start.
    pub failures: u64,
    ///Whether the last call was answered.
    pub reachable: bool,
    ///Reads since the start, watches among them.
    pub reads: u64,
    ///Whether the instance watches the head.
    pub watching: bool,
    ///Writes since the start.
    pub writes: u64,
}
///Whether the change may have been accepted.
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
pub enum VerdictWire {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
}
impl ::std::fmt::Display for VerdictWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::MayHaveRun => f.write_str("may_have_run"),
        }
    }
}
impl ::std::str::FromStr for VerdictWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VerdictWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VerdictWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
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
