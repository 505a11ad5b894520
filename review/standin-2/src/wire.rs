//! The wire names and bodies of the users' platform, from the text files beside the sources.

/// The configuration that the operator writes.
pub const CONFIGURATION: &str = include_str!("../wire/configuration.json");

/// The configuration of a deployment with a group of model runners.
pub const GROUP_CONFIGURATION: &str = include_str!("../wire/group.json");

/// The record of an upstream, with placeholders.
pub const UPSTREAM: &str = include_str!("../wire/upstream.json");

const NAMES: &str = include_str!("../wire/names.txt");

/// Returns a name of the platform by its key in `names.txt`.
pub fn name(key: &str) -> &'static str {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let mut values = pairs.filter(|(known, _)| *known == key);
    values.next().expect("a known name").1
}
