//! Conversions between the wire types and this crate's types.

use crate::wire::{
    AuditPageWire, ChangeRecordWire, ChangeRequestWire, ChangeWire, ClassKindWire, ClassWire,
    HeadWire, MarkWire, RemoveClassWire, SetTargetWire, SnapshotWire, TargetWire,
};
use crate::{
    AuditPage, ChainError, Change, ChangeId, ChangeRecord, ChangeRequest, Class, ClassKind, Config,
    Head, LastChange, Share, Target, Version,
};
use thiserror::Error;

/// Why a wire value cannot be converted.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The JSON does not match the schema.
    #[error("not as the schema says: {0}")]
    Json(#[from] serde_json::Error),
    /// A share is not between 0 and 1, exclusive.
    #[error("share {0} is not between 0 and 1, exclusive; write 99 % as 0.99")]
    Share(f64),
    /// A change record has no class, classes of two names, or a class whose revision is not the
    /// record's version.
    #[error("the record of version {0} does not describe one class at that version")]
    Record(u64),
    /// The parts contradict each other.
    #[error(transparent)]
    Chain(#[from] ChainError),
}

impl From<ClassKind> for ClassKindWire {
    fn from(kind: ClassKind) -> Self {
        match kind {
            ClassKind::Lookup => Self::Lookup,
            ClassKind::Filing => Self::Filing,
            ClassKind::Transfer => Self::Transfer,
        }
    }
}

impl From<ClassKindWire> for ClassKind {
    fn from(kind: ClassKindWire) -> Self {
        match kind {
            ClassKindWire::Lookup => Self::Lookup,
            ClassKindWire::Filing => Self::Filing,
            ClassKindWire::Transfer => Self::Transfer,
        }
    }
}

impl From<&Target> for TargetWire {
    fn from(target: &Target) -> Self {
        Self { latency_ms: target.latency_ms, share: target.share.as_f64() }
    }
}

impl TryFrom<TargetWire> for Target {
    type Error = DecodeError;

    fn try_from(wire: TargetWire) -> Result<Self, Self::Error> {
        let share = Share::from_f64(wire.share).ok_or(DecodeError::Share(wire.share))?;
        Ok(Self { latency_ms: wire.latency_ms, share })
    }
}

impl From<&Class> for ClassWire {
    fn from(class: &Class) -> Self {
        Self {
            name: class.name.clone(),
            service: class.service.clone(),
            kind: class.kind.into(),
            methods: class.methods.clone(),
            path_prefix: class.path_prefix.clone(),
            target: (&class.target).into(),
            revision: class.revision.0,
        }
    }
}

impl TryFrom<ClassWire> for Class {
    type Error = DecodeError;

    fn try_from(wire: ClassWire) -> Result<Self, Self::Error> {
        Ok(Self {
            name: wire.name,
            service: wire.service,
            kind: wire.kind.into(),
            methods: wire.methods,
            path_prefix: wire.path_prefix,
            target: wire.target.try_into()?,
            revision: Version(wire.revision),
        })
    }
}

impl From<&Change> for ChangeWire {
    fn from(change: &Change) -> Self {
        match change {
            Change::CreateClass(class) => Self::CreateClass(class.into()),
            Change::SetTarget { class, target } => {
                Self::SetTarget(SetTargetWire { class: class.clone(), target: target.into() })
            }
            Change::RemoveClass { class } => {
                Self::RemoveClass(RemoveClassWire { class: class.clone() })
            }
        }
    }
}

impl TryFrom<ChangeWire> for Change {
    type Error = DecodeError;

    fn try_from(wire: ChangeWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            ChangeWire::CreateClass(class) => Self::CreateClass(class.try_into()?),
            ChangeWire::SetTarget(SetTargetWire { class, target }) => {
                Self::SetTarget { class, target: target.try_into()? }
            }
            ChangeWire::RemoveClass(RemoveClassWire { class }) => Self::RemoveClass { class },
        })
    }
}

impl From<&ChangeRequest> for ChangeRequestWire {
    fn from(req: &ChangeRequest) -> Self {
        Self {
            id: req.id.0.clone(),
            author: req.author.clone(),
            base: req.base.0,
            change: (&req.change).into(),
        }
    }
}

impl TryFrom<ChangeRequestWire> for ChangeRequest {
    type Error = DecodeError;

    fn try_from(wire: ChangeRequestWire) -> Result<Self, Self::Error> {
        Ok(Self {
            id: ChangeId(wire.id),
            author: wire.author,
            base: Version(wire.base),
            change: wire.change.try_into()?,
        })
    }
}

impl From<&ChangeRecord> for ChangeRecordWire {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            version: record.version.0,
            id: record.id.0.clone(),
            author: record.author.clone(),
            at_unix_ms: record.at_unix_ms,
            from: record.from.as_ref().map(Into::into),
            to: record.to.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<ChangeRecordWire> for ChangeRecord {
    type Error = DecodeError;

    fn try_from(wire: ChangeRecordWire) -> Result<Self, Self::Error> {
        let from: Option<Class> = wire.from.map(TryInto::try_into).transpose()?;
        let to: Option<Class> = wire.to.map(TryInto::try_into).transpose()?;
        let one_class = match (&from, &to) {
            (None, None) => false,
            (Some(from), Some(to)) => from.name == to.name,
            _ => true,
        };
        let at_version = to.as_ref().is_none_or(|to| to.revision.0 == wire.version);
        if !one_class || !at_version {
            return Err(DecodeError::Record(wire.version));
        }
        Ok(Self {
            version: Version(wire.version),
            id: ChangeId(wire.id),
            author: wire.author,
            at_unix_ms: wire.at_unix_ms,
            from,
            to,
        })
    }
}

impl From<&Head> for HeadWire {
    fn from(head: &Head) -> Self {
        Self {
            version: head.version().0,
            snapshot: head.snapshot().0,
            tail: head.tail().iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<HeadWire> for Head {
    type Error = DecodeError;

    fn try_from(wire: HeadWire) -> Result<Self, Self::Error> {
        let tail = records(wire.tail)?;
        Ok(Self::new(Version(wire.version), Version(wire.snapshot), tail)?)
    }
}

impl From<&AuditPage> for AuditPageWire {
    fn from(page: &AuditPage) -> Self {
        Self { records: page.records.iter().map(Into::into).collect() }
    }
}

impl TryFrom<AuditPageWire> for AuditPage {
    type Error = DecodeError;

    fn try_from(wire: AuditPageWire) -> Result<Self, Self::Error> {
        Ok(Self { records: records(wire.records)? })
    }
}

impl From<&Config> for SnapshotWire {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version().0,
            classes: config.classes().map(Into::into).collect(),
            marks: last_change_wires(config),
        }
    }
}

impl TryFrom<SnapshotWire> for Config {
    type Error = DecodeError;

    fn try_from(wire: SnapshotWire) -> Result<Self, Self::Error> {
        let classes: Result<Vec<Class>, _> =
            wire.classes.into_iter().map(TryInto::try_into).collect();
        let last_change = |wire: MarkWire| {
            (wire.class, LastChange { revision: Version(wire.revision), id: ChangeId(wire.id) })
        };
        let last_changes = wire.marks.into_iter().map(last_change).collect();
        Ok(Self::new(Version(wire.version), classes?, last_changes)?)
    }
}

/// Converts the last change of each class, ordered by the class's name.
pub fn last_change_wires(config: &Config) -> Vec<MarkWire> {
    config.last_changes().iter().map(|(class, last)| last_change_wire(class, last)).collect()
}

/// Converts the last change of one class.
pub fn last_change_wire(class: &str, last_change: &LastChange) -> MarkWire {
    MarkWire {
        class: class.to_owned(),
        revision: last_change.revision.0,
        id: last_change.id.0.clone(),
    }
}

fn records(wires: Vec<ChangeRecordWire>) -> Result<Vec<ChangeRecord>, DecodeError> {
    wires.into_iter().map(TryInto::try_into).collect()
}
