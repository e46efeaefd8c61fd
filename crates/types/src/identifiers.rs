//! Names and numbers that identify entities across processes.
//!
//! Names appear in settings, object keys, metrics labels and headers. They are
//! validated once, when they enter the system, so that no later use has to
//! escape them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use uuid::Uuid;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IdentifierError {
    /// The name is empty or longer than 63 bytes.
    #[error("`{0}` must have between 1 and 63 characters")]
    Length(String),
    /// The name contains a character outside `a-z`, `0-9`, `.`, `_` and `-`.
    #[error("`{0}` may hold only a-z, 0-9, '.', '_' and '-', and starts with a letter or digit")]
    Character(String),
}

fn validate_name(name: &str) -> Result<(), IdentifierError> {
    let permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    match name {
        "" => Err(IdentifierError::Length(name.to_owned())),
        _ if name.len() > MAX_NAME_BYTES => Err(IdentifierError::Length(name.to_owned())),
        _ if name.starts_with(['.', '_', '-']) => Err(IdentifierError::Character(name.to_owned())),
        _ if !name.chars().all(permitted) => Err(IdentifierError::Character(name.to_owned())),
        _ => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `name` and creates the identifier.
            ///
            /// # Errors
            ///
            /// Returns an error if the name is empty, too long or contains a
            /// character that would need escaping in an object key.
            pub fn new(name: &str) -> Result<Self, IdentifierError> {
                validate_name(name)?;
                Ok(Self(name.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdentifierError;

            fn from_str(name: &str) -> Result<Self, Self::Err> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdentifierError;

            fn try_from(name: String) -> Result<Self, Self::Error> {
                Self::new(&name)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

names! {
    /// Name of a workspace, the unit of billing and of fair queueing.
    WorkspaceName;
    /// Name of a request class within a workspace, such as `triage` or `summary`.
    ClassName;
    /// Name of a data centre.
    DataCentreName;
    /// Name of a host.
    HostName;
    /// Name of an upstream, which is a model engine or a plain service.
    UpstreamName;
    /// Name of a model that engines serve.
    ModelName;
    /// Name of a route to a plain service.
    RouteName;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns this number plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Revision of the configuration; increases by one with each accepted change.
    Revision;
    /// Epoch of a data centre's lease, and the fencing token of orders sent under it.
    Epoch;
    /// Number of a process start: the time of the start, in milliseconds since the
    /// Unix epoch.
    Incarnation;
    /// Position of a record within one incarnation of a process.
    Sequence;
}

/// Identifies one request of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Creates a new unique identifier.
    #[expect(
        clippy::new_without_default,
        reason = "two calls give different values"
    )]
    pub fn new() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Uuid::from_str(text).map(Self)
    }
}

/// The daemon that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// `lagoonlift-entry`.
    Entry,
    /// `lagoonlift-steward`.
    Steward,
}

impl fmt::Display for ProcessRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Steward => "steward",
        })
    }
}

/// Identifies a process across its restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The host that the process runs on.
    pub host: HostName,
    /// The daemon that it runs.
    pub role: ProcessRole,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.host, self.role)
    }
}
