//! Deciding on a change request.

use crate::check::check_request;
use crate::{
    AuditPage, Chain, Change, ChangeRecord, ChangeRequest, Class, Config, Head, InvalidField,
    LastChange, TailLimits, Version,
};
use std::sync::Arc;
use thiserror::Error;

/// Largest snapshot in bytes: the store holds values up to a megabyte, and a margin stays for the
/// revisions, which grow by a digit with each tenfold of changes.
pub const MAX_SNAPSHOT_BYTES: usize = 1_000_000;

/// The head that accepts a change, once it is swapped in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The new head.
    pub head: Head,
    /// What must be in the store before the new head.
    pub compaction: Option<Compaction>,
}

/// A full tail's oldest page and the snapshot that takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Compaction {
    /// The page.
    pub page: AuditPage,
    /// The configuration before the change.
    pub snapshot: Arc<Config>,
}

/// Why a change is not proposed.
#[derive(Clone, Debug, Error, PartialEq, Eq, Hash)]
pub enum ChangeRejection {
    /// The same change was accepted before; a success for whoever sends it again.
    #[error("already accepted as version {version}")]
    AlreadyAccepted {
        /// Version that it made.
        version: Version,
    },
    /// The class has changed since the author saw it.
    #[error("class `{class}` was changed meanwhile by change `{}` (version {})", newer.id, newer.revision)]
    Conflict {
        /// The class.
        class: String,
        /// The newer change.
        newer: LastChange,
    },
    /// The class has changed, and the change may be one of those that are no longer in the tail.
    #[error("class `{class}` has changed so long ago that only the audit trail tells by whom")]
    BaseTooOld {
        /// The class.
        class: String,
    },
    /// Another change has the identifier.
    #[error("another change, version {version}, has the same identifier")]
    IdReused {
        /// Version of the other change.
        version: Version,
    },
    /// There is no such class.
    #[error("there is no class `{class}`")]
    NoSuchClass {
        /// The class.
        class: String,
    },
    /// There is a class of that name.
    #[error("class `{class}` exists already")]
    ClassExists {
        /// The class.
        class: String,
    },
    /// Another class covers the same requests.
    #[error("class `{other}` covers the same service, path and method")]
    Overlap {
        /// The other class.
        other: String,
    },
    /// The classes, and what is kept of removed ones, would not fit a value of the store.
    #[error("the configuration would be larger than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// A field cannot be accepted.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// Builds the head that accepts `req` on top of `chain`, or says why not.
///
/// `at_unix_ms` goes into the audit trail and decides nothing.
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
    let to = result(config, &req.change, version)?;
    let id = req.id.clone();
    let author = req.author.clone();
    let record = ChangeRecord { version, id, author, at_unix_ms, from, to };
    Ok(match chain.head().cut(limits) {
        Some((head, page)) => {
            let cut = Compaction { page, snapshot: config.clone() };
            Proposal { head: head.with(record), compaction: Some(cut) }
        }
        None => Proposal { head: chain.head().with(record), compaction: None },
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
    let mark = chain.config().last_changes().get(req.change.class_name());
    match mark {
        Some(mark) if mark.id == req.id => {
            Err(ChangeRejection::AlreadyAccepted { version: mark.revision })
        }
        _ => Ok(()),
    }
}

fn check_base(chain: &Chain, req: &ChangeRequest) -> Result<(), ChangeRejection> {
    let class = req.change.class_name().to_owned();
    let mark = chain.config().last_changes().get(&class);
    if mark.map_or(Version(0), |mark| mark.revision) == req.base {
        return Ok(());
    }
    match mark {
        Some(newer) if req.base >= chain.head().before_tail() => {
            Err(ChangeRejection::Conflict { class, newer: newer.clone() })
        }
        Some(_) => Err(ChangeRejection::BaseTooOld { class }),
        None => Err(ChangeRejection::NoSuchClass { class }),
    }
}

fn result(
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
