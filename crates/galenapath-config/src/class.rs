//! Classes of work.

use crate::{Target, Version};

/// A class of work: which requests belong to it, and its target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Name, unique in the configuration.
    pub name: String,
    /// Service whose requests belong to the class.
    pub service: String,
    /// What its requests do.
    pub kind: ClassKind,
    /// Methods that belong to the class, in upper case; empty for all.
    pub methods: Vec<String>,
    /// Path that the requests lie at or below; starts with `/`.
    pub path_prefix: String,
    /// How fast and how reliably it must be served.
    pub target: Target,
    /// Version of the configuration that last changed the class; zero in a change not yet
    /// accepted.
    pub revision: Version,
}

/// What the requests of a class do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClassKind {
    /// Quick reads; they may be retried and hedged.
    Lookup,
    /// Requests that change records; each runs at most once.
    Filing,
    /// Large reads, streamed.
    Transfer,
}

/// Upper bound of what a class takes in a snapshot beside its texts, in bytes.
const CLASS_BYTES: usize = 190;

/// Upper bound of what a method takes in a snapshot beside its text, in bytes.
const METHOD_BYTES: usize = 3;

impl Class {
    /// Upper bound of what the class takes in a snapshot, in bytes.
    pub(crate) fn snapshot_bytes(&self) -> usize {
        let methods: usize = self.methods.iter().map(|m| m.len() + METHOD_BYTES).sum();
        // A path may hold characters that JSON escapes.
        let path = 2 * self.path_prefix.len();
        CLASS_BYTES + self.name.len() + self.service.len() + path + methods
    }

    /// Whether the class covers `method`.
    pub fn has_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Whether `path` lies at or below the class's prefix. `/maps` covers `/maps` and `/maps/1`,
    /// not `/mapsets`.
    pub fn has_path(&self, path: &str) -> bool {
        match path.strip_prefix(self.path_prefix.as_str()) {
            Some(rest) => {
                rest.is_empty() || self.path_prefix.ends_with('/') || rest.starts_with('/')
            }
            None => false,
        }
    }

    /// Whether some request could belong to both classes with neither being more specific.
    pub fn overlaps(&self, other: &Self) -> bool {
        let prefix = |class: &Self| class.path_prefix.trim_end_matches('/').to_owned();
        let methods = |a: &Self, b: &Self| a.methods.iter().any(|m| b.has_method(m));
        self.service == other.service
            && prefix(self) == prefix(other)
            && (self.methods.is_empty() || methods(self, other) || methods(other, self))
    }
}
