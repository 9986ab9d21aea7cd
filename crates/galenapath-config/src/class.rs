//! Classes of work.

use crate::{Target, Version};

/// A class of work: which requests belong to it, and its service target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Name; unique in the configuration.
    pub name: String,
    /// Service whose requests belong to the class.
    pub service: String,
    /// What its requests do.
    pub kind: ClassKind,
    /// Methods of the requests in the class, in upper case; empty for all methods.
    pub methods: Vec<String>,
    /// Path prefix of the requests in the class; starts with `/`.
    pub path_prefix: String,
    /// Service target.
    pub target: Target,
    /// Version of the configuration that last changed the class; zero in a change that is not
    /// accepted yet.
    pub revision: Version,
}

/// What the requests of a class do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClassKind {
    /// Quick reads, which may be retried and hedged.
    Lookup,
    /// Requests that change records. Each is executed at most once.
    Filing,
    /// Large reads, streamed.
    Transfer,
}

/// Upper bound on the size of a class in a snapshot, without its strings, in bytes.
const CLASS_BYTES: usize = 190;

/// Upper bound on the size of a method in a snapshot, without its name, in bytes.
const METHOD_BYTES: usize = 3;

impl Class {
    /// Returns an upper bound on the size of the class in a snapshot, in bytes.
    pub(crate) fn snapshot_bytes(&self) -> usize {
        let methods: usize = self.methods.iter().map(|m| m.len() + METHOD_BYTES).sum();
        // Each byte of a path may need an escape character in JSON.
        let path = 2 * self.path_prefix.len();
        CLASS_BYTES + self.name.len() + self.service.len() + path + methods
    }

    /// Returns whether the class includes `method`.
    pub fn has_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Returns whether `path` is at or below the class's prefix. The prefix `/maps` includes
    /// `/maps` and `/maps/1`, but not `/mapsets`.
    pub fn has_path(&self, path: &str) -> bool {
        match path.strip_prefix(self.path_prefix.as_str()) {
            Some(rest) => {
                rest.is_empty() || self.path_prefix.ends_with('/') || rest.starts_with('/')
            }
            None => false,
        }
    }

    /// Returns whether a request could match both classes with the same prefix, so that neither is
    /// the more specific one.
    pub fn overlaps(&self, other: &Self) -> bool {
        let prefix = |class: &Self| class.path_prefix.trim_end_matches('/').to_owned();
        let methods = |a: &Self, b: &Self| a.methods.iter().any(|m| b.has_method(m));
        self.service == other.service
            && prefix(self) == prefix(other)
            && (self.methods.is_empty() || methods(self, other) || methods(other, self))
    }
}
