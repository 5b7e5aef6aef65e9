//! The few values that the cases read from JSON answers.

/// The text of the first member with this name, if it is a string.
pub fn text(json: &str, name: &str) -> Option<String> {
    let rest = after(json, name)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_string())
}

/// The first member with this name, if it is a whole number.
pub fn number(json: &str, name: &str) -> Option<u64> {
    let rest = after(json, name)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

fn after<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    Some(json[json.find(&key)? + key.len()..].trim_start())
}
