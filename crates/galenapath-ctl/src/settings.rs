//! The command `galenactl settings check`.

use crate::CtlError;
use std::path::Path;

pub(crate) fn check(file: &Path) -> Result<(), CtlError> {
    match galenapath_settings::load(file) {
        Ok(_) => {
            println!("{}: settings are good", file.display());
            Ok(())
        }
        Err(e) => Err(CtlError::Settings(e.to_string())),
    }
}
