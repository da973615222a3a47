//! Request keys: the callers' idempotency keys.

use std::fmt;
use std::str;
use std::time;

/// An idempotency key: a version 7 UUID, which contains its creation time.
///
/// The creation time lets the proxy reject a key that is older than the group's key
/// retention, when it can no longer tell whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(uuid::Uuid);

/// Time that keys are stored beyond the retention, so that no key is deleted that an
/// instance could still accept. Covers the longest deadline and clock differences.
pub const SWEEP_MARGIN: time::Duration = time::Duration::from_secs(2 * 3600);

/// Returns the smallest key text to keep at Unix time `now`; keys whose text compares
/// below it may be deleted.
pub fn oldest_kept(now: time::Duration, retention: time::Duration) -> String {
    let limit = now.saturating_sub(retention).saturating_sub(SWEEP_MARGIN);
    uuid::Uuid::from_u128(limit.as_millis() << CREATED_SHIFT_BITS).to_string()
}

/// Number of UUID bits below the creation time.
const CREATED_SHIFT_BITS: u32 = 80;

/// Reason why a text is not a valid request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The text is not a UUID.
    NotUuid,
    /// The UUID does not have version 7.
    NotVersion7,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUuid => f.write_str("request key is not a UUID"),
            Self::NotVersion7 => f.write_str("request key is not a version 7 UUID"),
        }
    }
}

impl std::error::Error for KeyError {}

impl RequestKey {
    /// Wraps a version 7 UUID.
    ///
    /// # Errors
    /// [`KeyError::NotVersion7`] for any other version.
    pub fn new(id: uuid::Uuid) -> Result<Self, KeyError> {
        if id.get_version_num() != 7 {
            return Err(KeyError::NotVersion7);
        }
        Ok(Self(id))
    }

    /// Creation time since the Unix epoch, by the caller's clock.
    pub fn created(&self) -> time::Duration {
        let millis = self.0.as_u128() >> CREATED_SHIFT_BITS;
        time::Duration::from_millis(millis as u64)
    }

    /// Whether the key is older than `retention` at Unix time `now`.
    pub fn is_expired(&self, now: time::Duration, retention: time::Duration) -> bool {
        now.saturating_sub(self.created()) > retention
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let id = uuid::Uuid::parse_str(text).map_err(|_| KeyError::NotUuid)?;
        Self::new(id)
    }
}
