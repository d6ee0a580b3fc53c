//! Names given by operators, and the keys that identify rows internally.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Longest name in bytes; names are sent in headers and written to log lines.
pub const NAME_MAX_BYTES: usize = 64;

/// A name given by an operator: 1 to 64 of `a-z`, `0-9`, `.`, `_` and `-`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct Name(Box<str>);

/// Why a text is not a [`Name`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum NameError {
    /// The length is out of bounds.
    #[error("a name has 1 to {NAME_MAX_BYTES} bytes, this one has {0}")]
    Length(usize),
    /// A character is not allowed.
    #[error("a name holds only a-z, 0-9, '.', '_' and '-', this one holds {0:?}")]
    Character(char),
}

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        if text.is_empty() || text.len() > NAME_MAX_BYTES {
            return Err(NameError::Length(text.len()));
        }
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '_' | '-');
        match text.chars().find(|&c| !allowed(c)) {
            Some(c) => Err(NameError::Character(c)),
            None => Ok(Name(text.into())),
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A small `Copy` key into an [`Arena`](crate::arena::Arena).
pub trait Id: Copy + Ord {
    /// Creates the key with number `raw`.
    fn from_raw(raw: u32) -> Self;
    /// Returns the number of this key.
    fn raw(self) -> u32;
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);

        impl Id for $name {
            fn from_raw(raw: u32) -> $name {
                $name(raw)
            }

            fn raw(self) -> u32 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

ids! {
    /// Key of an organisation.
    OrganisationId,
    /// Key of a caller's access key.
    KeyId,
    /// Key of an adapter.
    AdapterId,
    /// Key of one version of an adapter.
    VersionId,
    /// Key of an upstream.
    UpstreamId,
    /// Key of a route to plain services.
    RouteId,
    /// Key of a member: one daemon on one host.
    MemberId,
}

/// Configuration number. It only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Number(pub u64);

impl Number {
    /// Returns the following number.
    pub const fn next(self) -> Number {
        Number(self.0 + 1)
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of one request on every hop; 128 random bits, so that no two
/// requests share one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct RequestId(pub [u8; 16]);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<RequestId, hex::FromHexError> {
        let mut id = [0; 16];
        hex::decode_to_slice(text, &mut id)?;
        Ok(RequestId(id))
    }
}
