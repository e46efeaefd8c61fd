//! Errors of reading a settings file.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Error of reading a settings file, with its location in the file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The text is not valid INI.
    #[error("{}: line {line}: {detail}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// A section is unknown, missing, duplicate or invalid as a whole.
    #[error("{}: [{section}]: {detail}", file.display())]
    Section {
        /// The file.
        file: PathBuf,
        /// The section.
        section: String,
        /// What is wrong.
        detail: String,
    },
    /// A key is unknown, missing, duplicate or has an invalid value.
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
