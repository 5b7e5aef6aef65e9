//! Expands host patterns: plain names, and names with a numeric range such as `card-[01:12]`.

use crate::inventory::MAX_HOSTS;
use crate::inventory::error::LineError;

/// The parts of a pattern that contains a range. Both bounds are inclusive.
struct HostRange<'a> {
    prefix: &'a str,
    first: &'a str,
    last: &'a str,
    suffix: &'a str,
}

/// The host names of a pattern: one for each number of its range, or the pattern itself if it has
/// no range. Numbers are padded with zeros to the width of the first bound.
pub(super) fn host_names(pattern: &str) -> Result<Vec<String>, LineError> {
    let Some(range) = HostRange::find(pattern) else {
        return Ok(vec![pattern.to_string()]);
    };
    range
        .names()
        .ok_or_else(|| LineError::InvalidRange(pattern.to_string()))
}

impl<'a> HostRange<'a> {
    fn find(pattern: &'a str) -> Option<HostRange<'a>> {
        let (prefix, rest) = pattern.split_once('[')?;
        let (bounds, suffix) = rest.split_once(']')?;
        let (first, last) = bounds.split_once(':')?;
        Some(HostRange {
            prefix,
            first,
            last,
            suffix,
        })
    }

    /// The host names of the range. `None` if the bounds are not ascending numbers or are too far
    /// apart.
    fn names(&self) -> Option<Vec<String>> {
        let first: usize = self.first.parse().ok()?;
        let last: usize = self.last.parse().ok()?;
        if first > last || last - first >= MAX_HOSTS {
            return None;
        }
        let HostRange { prefix, suffix, .. } = self;
        let width = self.first.len();
        let names = (first..=last).map(|number| format!("{prefix}{number:0width$}{suffix}"));
        Some(names.collect())
    }
}
