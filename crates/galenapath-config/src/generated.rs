//! Generated from `schema/config.schema.json` by the codegen example. Do not edit.

///The value of `audit/VERSION`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditPageWire {
    ///Records, oldest first; the last made VERSION.
    pub records: ::std::vec::Vec<ChangeRecordWire>,
}
///An accepted change.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecordWire {
    ///When it was proposed, in milliseconds since 1970-01-01 UTC.
    pub at_unix_ms: u64,
    ///Operator who proposed the change.
    pub author: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub from: ::std::option::Option<ClassWire>,
    ///Identifier of the change.
    pub id: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub to: ::std::option::Option<ClassWire>,
    ///Version that the change made.
    pub version: u64,
}
///A proposed change and the revision that its author based it on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequestWire {
    ///Operator who proposes the change.
    pub author: ::std::string::String,
    ///Revision of the class that the author based the change on; 0 if the class never existed.
    pub base: u64,
    pub change: ChangeWire,
    ///Identifier; a retry of the change uses the same one.
    pub id: ::std::string::String,
}
///A change that an operator requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ChangeWire {
    #[serde(rename = "create_class")]
    CreateClass(ClassWire),
    #[serde(rename = "set_target")]
    SetTarget(SetTargetWire),
    #[serde(rename = "remove_class")]
    RemoveClass(RemoveClassWire),
}
impl ::std::convert::From<ClassWire> for ChangeWire {
    fn from(value: ClassWire) -> Self {
        Self::CreateClass(value)
    }
}
impl ::std::convert::From<SetTargetWire> for ChangeWire {
    fn from(value: SetTargetWire) -> Self {
        Self::SetTarget(value)
    }
}
impl ::std::convert::From<RemoveClassWire> for ChangeWire {
    fn from(value: RemoveClassWire) -> Self {
        Self::RemoveClass(value)
    }
}
///Kind of the requests of a class.
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
pub enum ClassKindWire {
    #[serde(rename = "lookup")]
    Lookup,
    #[serde(rename = "filing")]
    Filing,
    #[serde(rename = "transfer")]
    Transfer,
}
impl ::std::fmt::Display for ClassKindWire {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Lookup => f.write_str("lookup"),
            Self::Filing => f.write_str("filing"),
            Self::Transfer => f.write_str("transfer"),
        }
    }
}
impl ::std::str::FromStr for ClassKindWire {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "lookup" => Ok(Self::Lookup),
            "filing" => Ok(Self::Filing),
            "transfer" => Ok(Self::Transfer),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClassKindWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClassKindWire {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A class of work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassWire {
    pub kind: ClassKindWire,
    ///Methods that belong to the class; empty for all.
    pub methods: ::std::vec::Vec<::std::string::String>,
    ///Name, unique in the configuration.
    pub name: ::std::string::String,
    ///Path that the requests lie at or below.
    pub path_prefix: ::std::string::String,
    ///Version that last changed the class; 0 in a change not yet accepted.
    pub revision: u64,
    ///Service whose requests belong to the class.
    pub service: ::std::string::String,
    pub target: TargetWire,
}
///The value of `config/head`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeadWire {
    ///Version of the newest snapshot.
    pub snapshot: u64,
    ///The last records, oldest first.
    pub tail: ::std::vec::Vec<ChangeRecordWire>,
    ///Newest version.
    pub version: u64,
}
///The last change of a class; kept for removed classes too.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MarkWire {
    ///Name of the class.
    pub class: ::std::string::String,
    ///Identifier of the change.
    pub id: ::std::string::String,
    ///Version that the change made.
    pub revision: u64,
}
///Removes a class.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RemoveClassWire {
    ///Name of the class.
    pub class: ::std::string::String,
}
///Replaces the target of a class.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SetTargetWire {
    ///Name of the class.
    pub class: ::std::string::String,
    pub target: TargetWire,
}
///The value of `config/snapshot/VERSION`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SnapshotWire {
    pub classes: ::std::vec::Vec<ClassWire>,
    pub marks: ::std::vec::Vec<MarkWire>,
    ///Version of the configuration.
    pub version: u64,
}
///Latency target of a class.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TargetWire {
    ///Latency in milliseconds.
    pub latency_ms: u32,
    ///Share of the requests that must be answered within the latency, such as 0.99.
    pub share: f64,
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
