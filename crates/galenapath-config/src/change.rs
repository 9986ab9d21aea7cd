//! Changes of the configuration, asked for and accepted.

use crate::{ChangeId, Class, Target, Version};

/// A change that an operator asks for.
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
    /// Name of the class that changes.
    pub fn class_name(&self) -> &str {
        match self {
            Self::CreateClass(class) => &class.name,
            Self::SetTarget { class, .. } | Self::RemoveClass { class } => class,
        }
    }
}

/// A change with what is needed to accept it once and only on what its author saw.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRequest {
    /// Identifier; the same when the change is sent again.
    pub id: ChangeId,
    /// Who asks.
    pub author: String,
    /// Revision of the class that the author saw, also of a removed one; zero where there never
    /// was a class of that name.
    pub base: Version,
    /// What is asked for.
    pub change: Change,
}

/// An accepted change: the audit trail and the configuration in one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRecord {
    /// Version of the configuration that the change made.
    pub version: Version,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Who asked.
    pub author: String,
    /// When it was proposed, in milliseconds since 1970-01-01 UTC by the accepting instance's
    /// clock. For readers; nothing is decided by it.
    pub at_unix_ms: u64,
    /// The class before, if there was one.
    pub from: Option<Class>,
    /// The class after, if there is one. At least one of `from` and `to` is there, of one name.
    pub to: Option<Class>,
}

impl ChangeRecord {
    /// Name of the class that changed.
    pub fn class_name(&self) -> &str {
        let class = self.to.as_ref().or(self.from.as_ref());
        class.map_or("", |class| &class.name)
    }

    /// Whether the record is what accepting `req` at its base gave.
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
