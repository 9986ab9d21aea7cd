//! Where the programs are.

use super::error::ScenarioError;
use std::path::{Path, PathBuf};

/// The programs that scenarios start.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The entry instance.
    pub instance: PathBuf,
    /// The operators' command line.
    pub operator: PathBuf,
    /// Stand-in of the platform's store.
    pub store: PathBuf,
    /// Stand-in of backend servers.
    pub backend: PathBuf,
}

impl Programs {
    /// The programs of a build whose output directory is `dir`.
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

    /// The programs beside the running test, which lies in `deps/` of the output directory.
    ///
    /// # Errors
    ///
    /// One of them is missing, or the test's own path is unknown.
    pub fn beside_test() -> Result<Self, ScenarioError> {
        let exe = std::env::current_exe().map_err(ScenarioError::io("path of the test"))?;
        let dir = exe.parent().and_then(Path::parent).unwrap_or(Path::new("."));
        Self::in_dir(dir)
    }
}
