//! Generated from `schema/settings.schema.json` by the codegen example. Do not edit.

///For comparisons only; never set it in a deployment.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ExperimentWire {
    ///How backend servers are chosen; default `galenapath`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub choice: ::std::option::Option<ExperimentWireChoice>,
}
///How backend servers are chosen; default `galenapath`.
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
pub enum ExperimentWireChoice {
    #[serde(rename = "galenapath")]
    Galenapath,
    #[serde(rename = "random")]
    Random,
    #[serde(rename = "round_robin")]
    RoundRobin,
    #[serde(rename = "least_in_flight")]
    LeastInFlight,
    #[serde(rename = "power_of_two")]
    PowerOfTwo,
}
impl ::std::fmt::Display for ExperimentWireChoice {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Galenapath => f.write_str("galenapath"),
            Self::Random => f.write_str("random"),
            Self::RoundRobin => f.write_str("round_robin"),
            Self::LeastInFlight => f.write_str("least_in_flight"),
            Self::PowerOfTwo => f.write_str("power_of_two"),
        }
    }
}
impl ::std::str::FromStr for ExperimentWireChoice {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "galenapath" => Ok(Self::Galenapath),
            "random" => Ok(Self::Random),
            "round_robin" => Ok(Self::RoundRobin),
            "least_in_flight" => Ok(Self::LeastInFlight),
            "power_of_two" => Ok(Self::PowerOfTwo),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ExperimentWireChoice {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ExperimentWireChoice {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Identity of this instance.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceWire {
    ///Failure domain that the instance runs in.
    pub domain: ::std::string::String,
    ///Name of the instance, unique in the deployment.
    pub name: ::std::string::String,
}
///Limits on the resources that callers can occupy.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitsWire {
    ///Maximum number of connections from callers; default 12000.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_connections: ::std::option::Option<::std::num::NonZeroU32>,
    ///Maximum time from the stop signal to the end of the process; default `30s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub drain_timeout: ::std::option::Option<::std::string::String>,
    ///Largest body of a filing; default 1048576.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub filing_bytes: ::std::option::Option<::std::num::NonZeroU32>,
    ///Largest request or response head; default 16384.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub header_bytes: ::std::option::Option<u32>,
    ///Longest time to send a request head; default `10s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub header_timeout: ::std::option::Option<::std::string::String>,
    ///Longest idle time of a caller's connection; default `60s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub idle_timeout: ::std::option::Option<::std::string::String>,
}
///Addresses, IP and port, that the instance listens on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenWire {
    ///Address for callers' requests.
    pub callers: ::std::string::String,
    ///Address for operators, health and metrics.
    pub operators: ::std::string::String,
    ///Address for other entry instances.
    pub peers: ::std::string::String,
    ///Peer addresses of other instances, used to start while the platform is down.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::string::String>,
}
///Logging.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogWire {
    ///Least severe level that is written; default `info`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub level: ::std::option::Option<LogWireLevel>,
}
///Least severe level that is written; default `info`.
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
pub enum LogWireLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "trace")]
    Trace,
}
impl ::std::fmt::Display for LogWireLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
            Self::Trace => f.write_str("trace"),
        }
    }
}
impl ::std::str::FromStr for LogWireLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogWireLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogWireLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Who may change the configuration.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorsWire {
    ///File whose first line is the operators' token.
    pub token_file: ::std::string::String,
}
///The platform's key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformWire {
    ///Address of the service, IP and port.
    pub address: ::std::string::String,
    ///Longest wait for one call; default `2s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout: ::std::option::Option<::std::string::String>,
}
///Settings file of an entry instance. Durations are texts such as `250ms` or `5s`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettingsWire {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub experiment: ::std::option::Option<ExperimentWire>,
    pub instance: InstanceWire,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<LimitsWire>,
    pub listen: ListenWire,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log: ::std::option::Option<LogWire>,
    pub operators: OperatorsWire,
    pub platform: PlatformWire,
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
