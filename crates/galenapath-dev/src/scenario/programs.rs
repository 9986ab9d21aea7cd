//! Paths of the programs that scenarios start.

use super::error::ScenarioError;
use std::path::{Path, PathBuf};

/// Paths of the programs that scenarios start.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Entry instance.
    pub instance: PathBuf,
    /// Operators' command-line tool.
    pub operator: PathBuf,
    /// Stand-in for the platform's store.
    pub store: PathBuf,
    /// Stand-in for backend servers.
    pub backend: PathBuf,
}

impl Programs {
    /// Finds the programs in `dir`, the output directory of a build.
    ///
    /// # Errors
    ///
    /// One of them is missing.
    pub fn in_dir(dir: &Path) -> Result<Self, ScenarioError> {
        let find = |name: &str| {
            let path = dir.join(name);
            if path.is_file() { Ok(path) } else { Err(ScenarioError::MissingProgram(path)) }
        };
        Ok(Self {
            instance: find("galenapath")?,
            operator: find("galenactl")?,
            store: find("examples/store")?,
            backend: find("examples/backend")?,
        })
    }

    /// Finds the programs of the build that the running test belongs to. The test is in `deps/` of
    /// the output directory.
    ///
    /// # Errors
    ///
    /// One of them is missing, or the path of the test is unknown.
    pub fn beside_test() -> Result<Self, ScenarioError> {
        let exe = std::env::current_exe().map_err(ScenarioError::io("path of the test"))?;
        let dir = exe.parent().and_then(Path::parent).unwrap_or(Path::new("."));
        Self::in_dir(dir)
    }
}
