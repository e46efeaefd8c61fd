//! Names and numbers that identify things across processes.
//!
//! Names appear in settings, object keys, metrics labels and headers. They are
//! validated once, when they enter the system, so that no later reader has to
//! escape them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use uuid::Uuid;

/// Longest permitted name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A name that breaks the rules for identifiers.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IdentifierError {
    /// The name is empty or longer than 63 bytes.
    #[error("`{0}` must have between 1 and 63 characters")]
    Length(String),
    /// The name holds a character outside `a-z`, `0-9`, `.`, `_` and `-`.
    #[error("`{0}` may hold only a-z, 0-9, '.', '_' and '-', and starts with a letter or digit")]
    Character(String),
}

fn check_name(name: &str) -> Result<(), IdentifierError> {
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
            /// Checks `name` and wraps it.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, too long or holds a character that
            /// would need escaping in an object key.
            pub fn new(name: &str) -> Result<Self, IdentifierError> {
                check_name(name)?;
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
    /// Names a workspace: the unit of billing and fairness.
    WorkspaceName;
    /// Names a request class within a workspace, such as `triage` or `summary`.
    ClassName;
    /// Names a data centre.
    DataCentreName;
    /// Names a host.
    HostName;
    /// Names an upstream: a model engine or a plain service.
    UpstreamName;
    /// Names a model served by engines.
    ModelName;
    /// Names a declared route to a plain service.
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
            /// Returns the number that follows this one.
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
    /// Revision of the configuration; rises by one with each accepted change.
    Revision;
    /// Epoch of a data centre's lease; the fencing number of its orders.
    Epoch;
    /// Start of a process: milliseconds since the Unix epoch when it started.
    Incarnation;
    /// Position of a record within one incarnation of a process.
    Sequence;
}

/// Identifies one request of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Creates an identifier that no other request has.
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

/// Which of the system's daemons a process is.
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

/// Identifies one process of the system, whatever its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The host that the process runs on.
    pub host: HostName,
    /// Which daemon it is.
    pub role: ProcessRole,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.host, self.role)
    }
}
