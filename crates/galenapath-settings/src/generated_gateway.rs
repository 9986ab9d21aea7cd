//! Generated from `schema/gateway.schema.json` by the codegen example. Do not edit.

///Answers about addresses, and connections from callers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayCallersWire {
    ///Maximum number of connections from callers; default 3000.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub connections: ::std::option::Option<::std::num::NonZeroU32>,
    ///How long callers may cache an address answer; default `1s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub keep_addresses: ::std::option::Option<::std::string::String>,
}
///Identity and resources of this instance.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayInstanceWire {
    ///Processor cores, or part of one, that the instance may use; default 1.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cores: ::std::option::Option<f64>,
    ///Failure domain that the instance runs in.
    pub domain: ::std::string::String,
    ///Bandwidth of the instance's network link in Mbit/s; default 1000.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub link_mbps: ::std::option::Option<f64>,
    ///Memory that the instance may use, in MB; default 256.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub memory_mb: ::std::option::Option<f64>,
    ///Name of the instance, unique in the deployment.
    pub name: ::std::string::String,
}
///Addresses, IP and port, that the instance listens on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayListenWire {
    ///Address for requests about which instances callers connect to.
    pub addresses: ::std::string::String,
    ///Address for callers' requests.
    pub callers: ::std::string::String,
    ///Address for metrics; without it, no metrics are served.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    ///Address for other instances, TCP and UDP; the port is the same on all instances.
    pub peers: ::std::string::String,
    ///Address for readiness checks.
    pub readiness: ::std::string::String,
    ///Other instances, by any of their addresses; the port of `peers` is used.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::string::String>,
}
///Logging.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayLogWire {
    ///Least severe level that is logged; default `info`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub level: ::std::option::Option<GatewayLogWireLevel>,
    ///Maximum number of lines a second about successful requests; default 20.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lines_per_second: ::std::option::Option<::std::num::NonZeroU32>,
}
///Least severe level that is logged; default `info`.
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
pub enum GatewayLogWireLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::fmt::Display for GatewayLogWireLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for GatewayLogWireLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for GatewayLogWireLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for GatewayLogWireLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The platform's key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayPlatformWire {
    ///Address of the service, IP and port.
    pub address: ::std::string::String,
    ///Time within which a change in the service takes effect on all instances; default `2s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub apply_within: ::std::option::Option<::std::string::String>,
    ///Longest wait for one call; default three tenths of `apply_within`, `600ms` at most.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout: ::std::option::Option<::std::string::String>,
}
///Load probes to backend servers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayProbesWire {
    ///Maximum number of probes a second to one backend server from all instances together; default 60.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub per_second: ::std::option::Option<f64>,
}
///Retry budget: what all instances together may send to a service beyond the first send of each request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayRetriesWire {
    ///Share of the requests; default 0.2.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ratio: ::std::option::Option<f64>,
    ///Sends in one window beyond the share; default 60.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub slack: ::std::option::Option<f64>,
    ///Length of the window; default `10s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub window: ::std::option::Option<::std::string::String>,
}
///Settings file of a gateway instance. Durations are texts such as `250ms` or `5s`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettingsWire {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub callers: ::std::option::Option<GatewayCallersWire>,
    pub instance: GatewayInstanceWire,
    pub listen: GatewayListenWire,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log: ::std::option::Option<GatewayLogWire>,
    pub platform: GatewayPlatformWire,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub probes: ::std::option::Option<GatewayProbesWire>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retries: ::std::option::Option<GatewayRetriesWire>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stop: ::std::option::Option<GatewayStopWire>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspaces: ::std::option::Option<GatewayWorkspacesWire>,
}
///Planned shutdown.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayStopWire {
    ///Time from the stop signal until the process is killed; default `6s`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub grace: ::std::option::Option<::std::string::String>,
}
///Keys and quotas of workspaces.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayWorkspacesWire {
    ///Requests that all instances together may run beyond a quota in a few seconds, because they do not know at once of each other; default 0.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub quota_tolerance: ::std::option::Option<f64>,
    ///If set, an instance that may have missed the removal of a key for this long serves no request that needs a key.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revoke_within: ::std::option::Option<::std::string::String>,
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
