//! Changes to the configuration, as requested and as accepted.

use crate::{ChangeId, Class, Target, Version};

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Adds a class. Its `revision` is zero until the change is accepted.
    CreateClass(Class),
    /// Replaces the target of a class.
    SetTarget {
        /// Name of the class.
        class: String,
        /// The new target.
        target: Target,
    },
    /// Removes a class.
    RemoveClass {
        /// Name of the class.
        class: String,
    },
}

impl Change {
    /// Returns the name of the class that changes.
    pub fn class_name(&self) -> &str {
        match self {
            Self::CreateClass(class) => &class.name,
            Self::SetTarget { class, .. } | Self::RemoveClass { class } => class,
        }
    }
}

/// A change, with an identifier that prevents it from being accepted twice and the revision that
/// its author based it on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRequest {
    /// Identifier of the change; a retry has the same one.
    pub id: ChangeId,
    /// Who requests the change.
    pub author: String,
    /// Revision of the class that the author based the change on. For a removed class, the revision
    /// of its removal; zero if no class of that name ever existed.
    pub base: Version,
    /// The requested change.
    pub change: Change,
}

/// An accepted change. Records make up the audit trail, and the configuration follows from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRecord {
    /// Version of the configuration that the change created.
    pub version: Version,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Who requested the change.
    pub author: String,
    /// When the change was proposed, in milliseconds since 1970-01-01 UTC by the accepting
    /// instance's clock. Only for people who read the audit trail; no decision depends on it.
    pub at_unix_ms: u64,
    /// The class before the change, if it existed.
    pub from: Option<Class>,
    /// The class after the change, if it still exists. At least one of `from` and `to` is present;
    /// where both are, their names are equal.
    pub to: Option<Class>,
}

impl ChangeRecord {
    /// Returns the name of the class that changed.
    pub fn class_name(&self) -> &str {
        let class = self.to.as_ref().or(self.from.as_ref());
        class.map_or("", |class| &class.name)
    }

    /// Returns whether the record is the result of accepting `req` at its base revision.
    pub fn is_result_of(&self, req: &ChangeRequest) -> bool {
        let same_effect = match (&req.change, &self.to) {
            (Change::CreateClass(class), Some(to)) => {
                let unversioned = Class { revision: class.revision, ..to.clone() };
                self.from.is_none() && unversioned == *class
            }
            (Change::SetTarget { target, .. }, Some(to)) => {
                self.from.is_some() && to.target == *target
            }
            (Change::RemoveClass { .. }, None) => true,
            _ => false,
        };
        same_effect
            && self.id == req.id
            && self.author == req.author
            && self.class_name() == req.change.class_name()
    }
}
