//! Parses the `Range` header of a request for a file's content.

/// The part of a file that a `Range` header requests.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ByteRange {
    /// The whole file.
    Full,
    /// One range of bytes within the file.
    Part {
        /// The offset of the first byte.
        start: u64,
        /// The offset after the last byte.
        end: u64,
    },
    /// A range outside the file.
    Unsatisfiable,
}

/// Parses a `Range` header for a file of `size` bytes. Multiple ranges, other units and invalid
/// values yield the whole file, as RFC 9110 (section 14.2) allows.
pub(super) fn parse_range(text: &str, size: u64) -> ByteRange {
    let range = text.strip_prefix("bytes=").and_then(|r| r.split_once('-'));
    let Some((first, last)) = range.map(|(first, last)| (first.trim(), last.trim())) else {
        return ByteRange::Full;
    };
    match (first.parse::<u64>(), last.parse::<u64>()) {
        (Ok(first), Ok(last)) if first > last => ByteRange::Full,
        (Ok(first), _) if first >= size => ByteRange::Unsatisfiable,
        (Ok(first), Ok(last)) => ByteRange::Part {
            start: first,
            end: last.saturating_add(1).min(size),
        },
        (Ok(first), Err(_)) if last.is_empty() => ByteRange::Part {
            start: first,
            end: size,
        },
        (Err(_), Ok(0)) if first.is_empty() => ByteRange::Unsatisfiable,
        (Err(_), Ok(suffix)) if first.is_empty() && size > 0 => ByteRange::Part {
            start: size.saturating_sub(suffix),
            end: size,
        },
        _ => ByteRange::Full,
    }
}

#[cfg(test)]
mod tests;
