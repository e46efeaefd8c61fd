//! What can be wrong with a settings file.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A settings file that can't be used, and where the fault is.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The text isn't INI.
    #[error("{}: line {line}: {detail}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// A section that has no meaning, or stands twice.
    #[error("{}: [{section}]: {detail}", file.display())]
    Section {
        /// The file.
        file: PathBuf,
        /// The section.
        section: String,
        /// What is wrong.
        detail: String,
    },
    /// A key that has no meaning, is missing, or has a wrong value.
    #[error("{}: [{section}] {key}: {detail}", file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
}
