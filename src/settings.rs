//! The `settings` commands.

use std::{
    path::Path,
    process::ExitCode, //
};

use crate::config::Config;

/// Checks the settings in `path` and starts nothing.
pub fn check(path: &Path) -> anyhow::Result<ExitCode> {
    let config = Config::load(path)?;
    println!(
        "{}: host {} in region {}, settings are valid",
        path.display(),
        config.host,
        config.region
    );
    Ok(ExitCode::SUCCESS)
}

/// Prints all settings in force, defaults included.
pub fn show(path: &Path) -> anyhow::Result<ExitCode> {
    print!("{}", Config::load(path)?.to_ini());
    Ok(ExitCode::SUCCESS)
}
