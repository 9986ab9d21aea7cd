//! Decides whether a change request can be accepted, and builds the head that includes it.

use crate::check::check_request;
use crate::{
    AuditPage, Chain, Change, ChangeRecord, ChangeRequest, Class, Config, Head, InvalidField,
    LastChange, TailLimits, Version,
};
use std::sync::Arc;
use thiserror::Error;

/// Maximum size of a snapshot in bytes. The store's limit for a value is one megabyte; the margin
/// is for the revisions, which become one digit longer whenever the number of changes grows
/// tenfold.
pub const MAX_SNAPSHOT_BYTES: usize = 1_000_000;

/// A head that includes a new change, and what to write before it. The change is accepted once the
/// head is in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The new head.
    pub head: Head,
    /// What must be written to the store before the new head, if its tail is compacted.
    pub compaction: Option<Compaction>,
}

/// The page of records removed from a full tail, and the snapshot that includes their effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Compaction {
    /// The records removed from the tail.
    pub page: AuditPage,
    /// The configuration before the change.
    pub snapshot: Arc<Config>,
}

/// Why a change request is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq, Hash)]
pub enum ChangeRejection {
    /// The same change is accepted already. For a retry this is a success.
    #[error("already accepted as version {version}")]
    AlreadyAccepted {
        /// Version that it created.
        version: Version,
    },
    /// The class has changed since the revision that the change is based on.
    #[error("class `{class}` was changed meanwhile by change `{}` (version {})", newer.id, newer.revision)]
    Conflict {
        /// The class.
        class: String,
        /// The newer change.
        newer: LastChange,
    },
    /// The class has changed since the revision that the change is based on. The tail does not go
    /// back to that revision, so the requested change itself may be among those accepted since.
    #[error("class `{class}` has changed so long ago that only the audit trail tells by whom")]
    BaseTooOld {
        /// The class.
        class: String,
    },
    /// Another change has the same identifier.
    #[error("another change, version {version}, has the same identifier")]
    IdReused {
        /// Version of the other change.
        version: Version,
    },
    /// No class has that name.
    #[error("there is no class `{class}`")]
    NoSuchClass {
        /// The class.
        class: String,
    },
    /// A class of that name exists already.
    #[error("class `{class}` exists already")]
    ClassExists {
        /// The class.
        class: String,
    },
    /// Another class with the same prefix matches some of the same requests.
    #[error("class `{other}` covers the same service, path and method")]
    Overlap {
        /// The other class.
        other: String,
    },
    /// The classes, and the last changes of removed ones, would not fit into a value of the store.
    #[error("the configuration would be larger than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// A field of the request has an invalid value.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// Builds the head that adds the change `req` to `chain`.
///
/// `at_unix_ms` is only written to the audit trail; no decision depends on it.
///
/// # Errors
///
/// The reason why the change cannot be accepted.
pub fn propose(
    chain: &Chain,
    req: &ChangeRequest,
    at_unix_ms: u64,
    limits: TailLimits,
) -> Result<Proposal, ChangeRejection> {
    check_request(req)?;
    check_id(chain, req)?;
    check_base(chain, req)?;
    let config = chain.config();
    let version = config.version().next();
    let from = config.class(req.change.class_name()).cloned();
    let to = resulting_class(config, &req.change, version)?;
    let id = req.id.clone();
    let author = req.author.clone();
    let record = ChangeRecord { version, id, author, at_unix_ms, from, to };
    Ok(match chain.head().compact(limits) {
        Some((head, page)) => {
            let compaction = Compaction { page, snapshot: config.clone() };
            Proposal { head: head.with_record(record), compaction: Some(compaction) }
        }
        None => Proposal { head: chain.head().with_record(record), compaction: None },
    })
}

fn check_id(chain: &Chain, req: &ChangeRequest) -> Result<(), ChangeRejection> {
    if let Some(record) = chain.head().find(&req.id) {
        let version = record.version;
        return Err(match record.is_result_of(req) {
            true => ChangeRejection::AlreadyAccepted { version },
            false => ChangeRejection::IdReused { version },
        });
    }
    let last_change = chain.config().last_changes().get(req.change.class_name());
    match last_change {
        Some(last) if last.id == req.id => {
            let version = last.revision;
            Err(match is_last_change(chain.config(), version, req) {
                true => ChangeRejection::AlreadyAccepted { version },
                false => ChangeRejection::IdReused { version },
            })
        }
        _ => Ok(()),
    }
}

/// Whether a request can be the one that was accepted as the last change of its class, at `version`:
/// it is based on an earlier version, and the class is as it leaves it.
fn is_last_change(config: &Config, version: Version, req: &ChangeRequest) -> bool {
    let has_effect = match (&req.change, config.class(req.change.class_name())) {
        (Change::CreateClass(new), Some(class)) => {
            Class { revision: new.revision, ..class.clone() } == *new
        }
        (Change::SetTarget { target, .. }, Some(class)) => class.target == *target,
        (Change::RemoveClass { .. }, None) => true,
        _ => false,
    };
    has_effect && req.base < version
}

fn check_base(chain: &Chain, req: &ChangeRequest) -> Result<(), ChangeRejection> {
    let class = req.change.class_name().to_owned();
    let last_change = chain.config().last_changes().get(&class);
    if last_change.map_or(Version(0), |last| last.revision) == req.base {
        return Ok(());
    }
    match last_change {
        Some(newer) if req.base >= chain.head().before_tail() => {
            Err(ChangeRejection::Conflict { class, newer: newer.clone() })
        }
        Some(_) => Err(ChangeRejection::BaseTooOld { class }),
        None => Err(ChangeRejection::NoSuchClass { class }),
    }
}

fn resulting_class(
    config: &Config,
    change: &Change,
    revision: Version,
) -> Result<Option<Class>, ChangeRejection> {
    let class = change.class_name().to_owned();
    match (change, config.class(&class)) {
        (Change::CreateClass(new), None) => create(config, new, revision).map(Some),
        (Change::CreateClass(_), Some(_)) => Err(ChangeRejection::ClassExists { class }),
        (Change::SetTarget { target, .. }, Some(old)) => {
            Ok(Some(Class { target: *target, revision, ..old.clone() }))
        }
        (Change::RemoveClass { .. }, Some(_)) => Ok(None),
        (Change::SetTarget { .. } | Change::RemoveClass { .. }, None) => {
            Err(ChangeRejection::NoSuchClass { class })
        }
    }
}

fn create(config: &Config, new: &Class, revision: Version) -> Result<Class, ChangeRejection> {
    if let Some(other) = config.classes().find(|other| other.overlaps(new)) {
        return Err(ChangeRejection::Overlap { other: other.name.clone() });
    }
    if config.snapshot_bytes_with(new) > MAX_SNAPSHOT_BYTES {
        return Err(ChangeRejection::TooLarge);
    }
    Ok(Class { revision, ..new.clone() })
}
