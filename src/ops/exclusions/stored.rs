//! The stored form of an exclusion in a file or a message. Processes of other versions read it, so
//! its field names and units must not change, even if those of [`Exclusion`] do.

use serde::{Deserialize, Serialize};

use super::Exclusion;
use crate::interface::Timestamp;

/// The stored form of an [`Exclusion`]. Times are Unix times in microseconds.
#[derive(Serialize, Deserialize)]
#[serde(rename = "Exclusion", deny_unknown_fields)]
pub(super) struct StoredExclusion {
    name: String,
    since: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    back: Option<u64>,
}

impl From<Exclusion> for StoredExclusion {
    fn from(exclusion: Exclusion) -> StoredExclusion {
        StoredExclusion {
            name: exclusion.name,
            since: exclusion.excluded_at.as_micros(),
            back: exclusion.restored_at.map(Timestamp::as_micros),
        }
    }
}

impl From<StoredExclusion> for Exclusion {
    fn from(stored: StoredExclusion) -> Exclusion {
        Exclusion {
            name: stored.name,
            excluded_at: Timestamp::from_micros(stored.since),
            restored_at: stored.back.map(Timestamp::from_micros),
        }
    }
}
