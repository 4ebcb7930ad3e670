//! The request id: a UUIDv7 whose time decides which seats may speak for it.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Version;

use super::UnixMillis;

/// How many bits of a UUIDv7 stand behind its 48 bits of time.
const BITS_BELOW_TIME: u32 = 80;

/// A request's id (RFC 9562 UUIDv7), made by the caller and the same on each resend.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(u128);

/// Why a text is no request id.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RequestIdError {
    /// The text is no UUID.
    #[display("not a UUID")]
    NotUuid,
    /// The UUID is of another version, so it carries no time.
    #[display("not a version 7 UUID")]
    NotVersion7,
}

impl RequestId {
    /// Makes a new id for `now` with fresh random bits.
    pub fn generate(now: UnixMillis) -> Self {
        let random: [u8; 10] = rand::random();
        Self(
            uuid::Builder::from_unix_timestamp_millis(now, &random)
                .into_uuid()
                .as_u128(),
        )
    }

    /// Returns the lowest value with this time; it bounds ids and is none itself.
    pub const fn min_at(time: UnixMillis) -> Self {
        Self((time as u128) << BITS_BELOW_TIME)
    }

    /// Returns the time in the id, in milliseconds since the Unix epoch.
    pub fn time(self) -> UnixMillis {
        (self.0 >> BITS_BELOW_TIME) as UnixMillis
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(text).map_err(|_| RequestIdError::NotUuid)?;
        match uuid.get_version() {
            Some(Version::SortRand) => Ok(Self(uuid.as_u128())),
            _ => Err(RequestIdError::NotVersion7),
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).hyphenated().fmt(formatter)
    }
}
