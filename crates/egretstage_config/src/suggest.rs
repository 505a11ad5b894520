//! Suggestions of the closest allowed name for an unknown one.

use compact_str::{CompactString, ToCompactString};
use std::fmt::Write;

/// Minimum Jaro-Winkler similarity of a suggested name, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the allowed name that is most similar to a text, if one is similar
/// enough.
#[must_use]
pub fn closest<'a>(text: &str, allowed: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    allowed
        .map(|name| (strsim::jaro_winkler(text, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// Lists the allowed names and suggests the closest one, if one is similar
/// enough.
#[must_use]
pub fn list_allowed<'a>(text: &str, names: impl Iterator<Item = &'a str>) -> CompactString {
    let names: Vec<&str> = names.collect();
    let mut list = names.join(", ").to_compact_string();
    if let Some(name) = closest(text, names.into_iter()) {
        let _ = write!(list, "; did you mean {name}?");
    }
    list
}

/// Adds the closest allowed name to serde's message about an unknown one.
///
/// Such a message quotes the unknown name first and then the allowed ones.
#[must_use]
pub fn with_suggestion(message: &str) -> CompactString {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next().filter(|_| message.starts_with("unknown "));
    match unknown.and_then(|text| closest(text, quoted)) {
        Some(name) => compact_str::format_compact!("{message}; did you mean `{name}`?"),
        None => message.into(),
    }
}
