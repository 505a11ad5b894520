//! Names of the platform's wire, kept in a text file.

const NAMES: &str = include_str!("../wire.txt");

/// Returns the wire's name for a term of the stand-ins.
pub fn wire(term: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(known, _)| *known == term);
    found.map_or_else(|| panic!("no wire name for {term}"), |(_, name)| name)
}
